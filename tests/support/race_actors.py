"""Simulated peers of a gateway in the search for races.

Clients, storage nodes and discovery, which follow the moves of a run.
"""

import json
from functools import partial

from tests.support.race_observer import MS, SECOND, ClientRecord, parse_message
from tests.support.race_transports import SimulatedSocket

HEAD = b"HTTP/1.1 200 OK\r\n"
REPLY = {  # complete answers, by framing
    "whole": lambda body: HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body,
    "chunked": lambda body: (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    ),
    "interim": lambda body: b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + REPLY["whole"](body),
    "last": lambda body: (
        HEAD + b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    ),
    "behind": lambda body: (
        REPLY["whole"](body) + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    ),
    "bare": lambda body: HEAD + b"\r\n" + body,
}
ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"
BUSY = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
READ_SIZE = 65_536  # bytes that Twisted reads from a socket in a turn
AWAY = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


class Peer:
    gone = stopped_reading = False

    def on_data(self, data):
        pass

    def on_end(self, reset):
        self.gone = True


class Client(Peer):
    """One client connection.

    `plan` holds the requests as (request, bytes, pieces, pause before each piece),
    whether they are sent at once, how and when the client leaves, and what it reads.
    """

    def __init__(self, sim, observer, plan):
        self.sim, self.observer, self.plan = sim, observer, plan
        self.sock = SimulatedSocket(sim, self, plan["window"])
        self.stopped_reading = not plan["reads"]
        self.record = ClientRecord(self.sock)
        self.record.takes, self.record.answer_count = plan["reads"], self.answer_count
        self.next, self.text, self.answers, self.has_left = 0, b"", 0, False
        observer.records[self.sock] = self.record

    def connect(self):
        if self.sim.listener is None or self.sim.listener.closed:
            return
        self.sim.listener.backlog.append(self.sock)
        for span, call in self.plan["events"] + [
            (span, partial(self.leave, how)) for how, span in self.plan["leave"]
        ]:
            self.schedule_near(span, call)
        if self.stopped_reading and self.plan["resume_delay"]:
            self.sim.later(self.plan["resume_delay"], self.resume)
        if self.plan["malformed"]:
            self.record.extra = 1
            self.sock.feed(self.plan["malformed"])
        self.send_next()
        while self.plan["at once"] and self.next < len(self.plan["requests"]):
            self.send_next()

    def schedule_near(self, span, call):
        """Schedule a call `span` after the signal that the plan names."""
        signal, txn = self.plan["signal"], self.plan["signal_txn"]
        if signal is None:
            self.sim.later(span, call)
        elif signal in ("dial", "up"):  # next one of any client after its request
            self.sim.when(("sent", txn), 0, partial(self.sim.when, signal, span, call))
        else:
            self.sim.when((signal, txn), span, call)

    def resume(self):
        self.stopped_reading = False
        self.sock.deliver()

    def send_next(self):
        if self.next < len(self.plan["requests"]) and not self.has_left:
            request, octets, pieces, pause = self.plan["requests"][self.next]
            self.next += 1
            if self.plan["at once"]:
                pieces, pause = 1, 0
            size = -(-len(octets) // pieces)
            self.record.extra += 1  # it may be rejected half sent
            for number in range(pieces):
                self.sim.later(
                    pause * (number + 1),
                    partial(
                        self.send, request, octets, size, number, number + 1 == pieces
                    ),
                )

    def send(self, request, octets, size, number, last):
        if not self.has_left and not self.sock.closed and not self.gone:
            self.sock.feed(octets[number * size : (number + 1) * size])
            if last:
                self.record.extra -= 1
                self.observer.on_request_sent(self.record, request)
                self.sim.signal(("sent", request.txn))
                self.sim.signal("sent")

    def on_data(self, data):
        self.text += data
        self.record.received += data
        while (parts := parse_message(self.text)) is not None:
            self.text = parts[3]
            self.answers += 1
            if not self.plan["at once"]:
                self.send_next()

    def answer_count(self):
        return self.answers

    def on_end(self, reset):
        """Close the client's side after the gateway has closed its own."""
        if reset:
            self.gone = True
        else:
            self.sim.later(self.plan["close_delay"], partial(self.leave, "close"))

    def leave(self, how):
        if self.has_left or self.gone:
            return
        self.has_left = True
        self.observer.on_client_left(self.record)
        if how == "reset" or how == "close" and self.sock.outbox:
            self.gone = True
            self.sock.peer_reset()
        else:
            self.gone = how == "close"
            self.sock.peer_close()


class NodeSide(Peer):
    """The node's end of one connection."""

    def __init__(self, node, sock):
        self.node, self.sim, self.sock = node, node.sim, sock
        self.text, self.open_count, self.attempt, self.early = (b"", 0, None, None)

    def on_data(self, data):
        self.text += data
        if (parts := parse_message(self.text)) is None:
            return self.on_partial_request()
        _, fields, _, self.text = parts
        request = self.sim.observer.requests[int(fields[b"x-txn"], 16)]
        self.attempt = next(
            (
                each
                for each in request.attempts
                if each.sock is self.sock and not each.complete
            ),
            None,
        )
        if self.attempt is None:
            return self.sim.observer.breach(
                "a request twice on one connection:", f"{request.txn:x}"
            )
        self.attempt.complete, self.open_count = True, self.open_count + 1
        number = sum(each.complete for each in request.attempts) - 1
        actions = self.sim.node_actions.get(request.txn, ())
        kind, span, size = (
            actions[number] if number < len(actions) else ("whole", 2 * MS, 10)
        )
        body = (
            b"%x.%d.%s." % (request.txn, number, self.node.name.encode()) + b"x" * size
        )
        self.attempt.may_have_run = kind != "away"
        self.sim.signal(("came", request.txn))
        self.sim.signal("came")
        self.sim.later(span, partial(self.perform, self.attempt, kind, body, size))

    def on_partial_request(self):
        """Answer an incomplete request if the simulation has early answers."""
        head, mark, _ = self.text.partition(b"\r\n\r\n")
        if mark and self.early is None and self.sim.early:
            self.early = True
            self.write(AWAY)

    def write(self, data):
        if not self.gone and not self.sock.fin:
            self.sock.feed(data)

    def close(self, reset):
        if not self.gone:
            self.gone = True
            self.sock.peer_reset() if reset else self.sock.peer_close()
            if self.attempt is not None:
                self.attempt.finished = True

    def perform(self, attempt, kind, body, size):
        """Perform the node's action for one attempt."""
        if self.gone or self.sock.rst:
            return
        request, sim = attempt.request, self.sim
        if kind in ("reset", "close"):
            self.close(kind == "reset")
        elif kind in ("500", "503", "away"):
            self.answer(attempt, {"500": ERROR, "503": BUSY, "away": AWAY}[kind])
        elif kind in ("half reset", "half close"):
            self.write(REPLY["whole"](body)[:-4])
            sim.later(len(body) * 10, partial(self.close, kind == "half reset"))
        elif kind in ("bare close", "bare reset"):
            if kind == "bare close":
                request.good_bodies.append(body)
            self.write(REPLY["bare"](body))
            sim.later(len(body) * 10, partial(self.close, kind == "bare reset"))
        elif kind == "endless":
            self.write(HEAD + b"\r\n")
            self.send_endlessly(40)
        elif kind == "pieces":
            request.good_bodies.append(body)
            text = REPLY["whole"](body)
            cut = max(len(text) // 5, 1)
            for number, at in enumerate(range(0, len(text), cut)):
                last = at + cut >= len(text)
                sim.later(
                    number * 3 * MS,
                    partial(
                        self.answer if last else self.add_part,
                        attempt,
                        text[at : at + cut],
                    ),
                )
        elif kind == "twice":
            request.good_bodies.append(body)
            self.answer(attempt, REPLY["whole"](body))
            sim.later(
                size * 20, partial(self.repeat, self.sock.written, REPLY["whole"](body))
            )
        elif kind in REPLY:
            request.good_bodies.append(body)
            self.answer(attempt, REPLY[kind](body))
            if kind == "last":
                sim.later(MS, partial(self.close, False))
        # any other kind: the node never answers

    def add_part(self, attempt, data):
        self.write(data)

    def answer(self, attempt, data):
        self.write(data)
        if (
            attempt.request.good_bodies
            and len(attempt.request.good_bodies[-1]) < READ_SIZE
        ):  # a longer body takes several turns to read
            attempt.good_response = self.sim.time, self.sock.received
        attempt.finished, self.open_count = True, self.open_count - 1
        self.sim.signal(("answered", attempt.request.txn))
        self.sim.signal("answered")

    def repeat(self, sent, data):
        """Repeat an answer if the gateway has not begun to write another request.

        Within a round trip it could not tell the repetition from that one's answer.
        """
        if self.sock.written == sent and not self.sim.poll_in_progress:
            self.write(data)

    def send_endlessly(self, times):
        if times and not self.gone and not self.sock.rst:
            self.write(b"x" * 60_000)
            self.sim.later(2 * MS, partial(self.send_endlessly, times - 1))

    def on_end(self, reset):
        if self.attempt is not None:
            self.attempt.finished = True
        self.gone = True

    def close_idle(self, reset):
        """Close the connection if no request is open."""
        if self.open_count <= 0 and not self.text:
            self.close(reset)


class Node:
    """One storage node, at one address or, after a move, at two."""

    def __init__(self, sim, name, port, cell):
        self.sim, self.name, self.port, self.cell = sim, name, port, cell
        self.state, self.started, self.links = "active", 0, []
        self.dials = []  # (from, to, how, span): outcome of connects in a period

    def entry(self):
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "z",
            "kind": "m",
            "cell": self.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started,
        }

    def on_connect(self, sock):
        now, how, span = self.sim.time, "up", self.sim.rng.randrange(50, 1000)
        for since, to, *what in self.dials:
            if since <= now < to:
                how, span = what
        if how == "refused":
            self.sim.later(span, partial(self.refuse, sock))
        elif how == "up":
            self.sim.later(span, partial(self.up, sock))

    def refuse(self, sock):
        if not sock.closed:
            sock.error = 111

    def up(self, sock):
        if not sock.closed:
            sock.up, sock.peer = True, NodeSide(self, sock)
            sock.window = self.sim.node_window
            self.links.append(sock.peer)
            self.sim.signal("up")

    def close_idle(self, reset):
        for link in self.links:
            link.close_idle(reset)

    def crash(self, span):
        """Kill the node's process; it is back after `span`."""
        for link in self.links:
            link.close(True)
        self.dials.append((self.sim.time, self.sim.time + span, "refused", 100))


class DiscoveryCall(Peer):
    """Discovery's end of one call."""

    def __init__(self, discovery, sock):
        self.discovery, self.sock, self.text, self.watching, self.mute = (
            discovery,
            sock,
            b"",
            False,
            False,
        )

    def on_data(self, data):
        self.text += data
        if (parts := parse_message(self.text)) is not None and not self.watching:
            self.discovery.on_request(self, int(parts[0].split(b"from=")[1].split()[0]))

    def send_line(self, data):
        """Write one line of the watch; return whether it was written."""
        if self.gone or self.mute or self.sock.closed or self.sock.fin or self.sock.rst:
            return False
        self.sock.feed(b"%x\r\n%s\r\n" % (len(data), data))
        return True


class Discovery:
    """The discovery service, at all its addresses."""

    def __init__(self, sim, nodes):
        self.sim, self.nodes, self.version, self.calls = (
            sim,
            {each.name: each for each in nodes},
            4,
            [],
        )
        self.log = []  # (version, entry)
        self.troubles = []  # (from, to, how)
        self.whole_lists, self.omitted_at = False, 0  # version of a silent omission
        sim.later(2 * SECOND, self.send_heartbeats)

    def current_trouble(self):
        return next(
            (how for since, to, how in self.troubles if since <= self.sim.time < to),
            "",
        )

    def on_connect(self, sock):
        how = self.current_trouble()
        if how == "refused":
            self.sim.later(100, lambda: setattr(sock, "error", 111))
        elif how != "not up":
            self.sim.later(200, partial(self.up, sock))

    def up(self, sock):
        if not sock.closed:
            sock.up, sock.peer = True, DiscoveryCall(self, sock)
            self.calls.append(sock.peer)

    def on_request(self, call, version):
        how = self.current_trouble()
        if how == "503":
            return call.sock.feed(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        if how == "mute":
            return None
        call.watching = True
        call.sock.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        if version != self.version:
            self.send_list(
                call,
                self.whole_lists or version > self.version or version < self.omitted_at,
                version,
            )

    def send_heartbeats(self):
        for call in self.calls:
            if call.watching:
                call.send_line(b"\n")
        self.sim.later(2 * SECOND, self.send_heartbeats)

    def send_list(self, call, whole, since):
        entries = (
            [each.entry() for each in self.nodes.values() if each.state != "left"]
            if whole
            else list(
                {
                    entry["id"]: entry for version, entry in self.log if version > since
                }.values()
            )
        )
        text = (
            json.dumps(
                {"version": self.version, "full": whole, "servers": entries}
            ).encode()
            + b"\n"
        )
        if call.send_line(text):
            self.record_told(entries, whole)

    def record_told(self, entries, whole):
        observer, now = self.sim.observer, self.sim.time
        for entry in entries:
            name, port = entry["id"], int(entry["addr"].rpartition(":")[2])
            if observer.told.get(name, (0, "active"))[1] != entry["state"]:
                observer.told[name] = now, entry["state"]
            if (
                observer.addresses.get(name, (0, port))[1] != port
                or name not in observer.addresses
            ):
                observer.addresses[name] = now, port
        for name in (
            set(observer.addresses) - {each["id"] for each in entries} if whole else ()
        ):
            if observer.told.get(name, (0, "active"))[1] != "left":
                observer.told[name] = now, "left"

    def change(self, node):
        """Change a node's entry and send it to every open watch."""
        self.version += 1
        self.nodes[node.name] = node
        self.log.append((self.version, node.entry()))
        for call in self.calls:
            if call.watching:
                self.send_list(call, False, self.version - 1)

    def forget(self, node):
        """Omit a node from complete lists, without an entry that says it left."""
        self.version += 1
        node.state, self.omitted_at = "left", self.version
        for call in self.calls:
            if call.watching:
                self.send_list(call, True, 0)

    def mute_watches(self):
        for call in self.calls:
            call.mute = call.mute or call.watching

    def cut_watches(self, reset, half):
        for call in self.calls:
            if call.watching and not call.gone:
                if half and not call.mute and not call.sock.closed:
                    call.sock.feed(b'40\r\n{"version": 9')
                call.gone = True
                call.sock.peer_reset(True) if reset else call.sock.peer_close()
