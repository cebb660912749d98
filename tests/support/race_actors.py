"""Who a gateway meets in a hunt of crossings.

Clients, storage nodes and discovery, each doing what a move of the hunt says.
"""

import json
from functools import partial

from tests.support.race_observer import MS, SECOND, Line, parts_of
from tests.support.race_transports import Sock

HEAD = b"HTTP/1.1 200 OK\r\n"
FORMS = {  # answers whole, by how their body ends
    "whole": lambda body: HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body,
    "chunked": lambda body: (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    ),
    "interim": lambda body: b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + FORMS["whole"](body),
    "last": lambda body: (
        HEAD + b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    ),
    "behind": lambda body: (
        FORMS["whole"](body) + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    ),
    "bare": lambda body: HEAD + b"\r\n" + body,
}
ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"
FULL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
ONE_READ = 65_536  # octets that Twisted reads in a turn
AWAY = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


class Agent:
    away = takes_nothing = False

    def heard(self, data):
        pass

    def ended(self, reset):
        self.away = True


class Client(Agent):
    """One connection of a client's.

    `plan`: requests as (request, octets, pieces, pause before), whether they go at
    once, how and when it leaves, and what it takes.
    """

    def __init__(self, world, watch, plan):
        self.world, self.watch, self.plan = world, watch, plan
        self.sock = Sock(world, self, plan["window"])
        self.takes_nothing = not plan["takes"]
        self.line = Line(self.sock)
        self.line.takes, self.line.got = plan["takes"], self.got
        self.next, self.text, self.answers, self.left = 0, b"", 0, False
        watch.lines[self.sock] = self.line

    def come(self):
        if self.world.door is None or self.world.door.closed:
            return
        self.world.door.backlog.append(self.sock)
        for span, call in self.plan["crossing"] + [
            (span, partial(self.leave, how)) for how, span in self.plan["leave"]
        ]:
            self.around(span, call)
        if self.takes_nothing and self.plan["resumes"]:
            self.world.later(self.plan["resumes"], self.resume)
        if self.plan["bad"]:
            self.line.extra = 1
            self.sock.put(self.plan["bad"])
        self.send_next()
        while self.plan["at once"] and self.next < len(self.plan["asks"]):
            self.send_next()

    def around(self, span, call):
        """Something happens so long after the moment of this client's that the plan names."""
        cue, txn = self.plan["cue"], self.plan["pick"]
        if cue is None:
            self.world.later(span, call)
        elif cue in ("dial", "up"):  # the next for anybody, once its request is sent
            self.world.when(("sent", txn), 0, partial(self.world.when, cue, span, call))
        else:
            self.world.when((cue, txn), span, call)

    def resume(self):
        self.takes_nothing = False
        self.sock.deliver()

    def send_next(self):
        if self.next < len(self.plan["asks"]) and not self.left:
            request, octets, pieces, pause = self.plan["asks"][self.next]
            self.next += 1
            if self.plan["at once"]:
                pieces, pause = 1, 0
            size = -(-len(octets) // pieces)
            self.line.extra += 1  # it may be refused half sent
            for number in range(pieces):
                self.world.later(
                    pause * (number + 1),
                    partial(
                        self.piece, request, octets, size, number, number + 1 == pieces
                    ),
                )

    def piece(self, request, octets, size, number, last):
        if not self.left and not self.sock.closed and not self.away:
            self.sock.put(octets[number * size : (number + 1) * size])
            if last:
                self.line.extra -= 1
                self.watch.sent(self.line, request)
                self.world.cue(("sent", request.txn))
                self.world.cue("sent")

    def heard(self, data):
        self.text += data
        self.line.heard += data
        while (parts := parts_of(self.text)) is not None:
            self.text = parts[3]
            self.answers += 1
            if not self.plan["at once"]:
                self.send_next()

    def got(self):
        return self.answers

    def ended(self, reset):
        """Our side of it was closed: it closes its own, now or later."""
        if reset:
            self.away = True
        else:
            self.world.later(self.plan["lingers"], partial(self.leave, "close"))

    def leave(self, how):
        if self.left or self.away:
            return
        self.left = True
        self.watch.gone(self.line)
        if how == "reset" or how == "close" and self.sock.queue:
            self.away = True
            self.sock.reset()
        else:
            self.away = how == "close"
            self.sock.finish()


class Link(Agent):
    """A node's end of one connection."""

    def __init__(self, node, sock):
        self.node, self.world, self.sock = node, node.world, sock
        self.text, self.open, self.tried, self.early = b"", 0, None, None

    def heard(self, data):
        self.text += data
        if (parts := parts_of(self.text)) is None:
            return self.half()
        _, fields, _, self.text = parts
        request = self.world.watch.requests[int(fields[b"x-txn"], 16)]
        self.tried = next(
            (
                each
                for each in request.tries
                if each.sock is self.sock and not each.whole
            ),
            None,
        )
        if self.tried is None:
            return self.world.watch.breach(
                "a request twice on one connection:", f"{request.txn:x}"
            )
        self.tried.whole, self.open = True, self.open + 1
        number = sum(each.whole for each in request.tries) - 1
        fates = self.world.fates.get(request.txn, ())
        kind, span, size = (
            fates[number] if number < len(fates) else ("whole", 2 * MS, 10)
        )
        body = (
            b"%x.%d.%s." % (request.txn, number, self.node.name.encode()) + b"x" * size
        )
        self.tried.ran = kind != "away"
        self.world.cue(("came", request.txn))
        self.world.cue("came")
        self.world.later(span, partial(self.act, self.tried, kind, body, size))

    def half(self):
        """A part of a request; some answer before they have it all."""
        head, mark, _ = self.text.partition(b"\r\n\r\n")
        if mark and self.early is None and self.world.early:
            self.early = True
            self.write(AWAY)

    def write(self, data):
        if not self.away and not self.sock.fin:
            self.sock.put(data)

    def close(self, reset):
        if not self.away:
            self.away = True
            self.sock.reset() if reset else self.sock.finish()
            if self.tried is not None:
                self.tried.over = True

    def act(self, tried, kind, body, size):
        """What becomes of one request."""
        if self.away or self.sock.rst:
            return
        request, world = tried.request, self.world
        if kind in ("reset", "close"):
            self.close(kind == "reset")
        elif kind in ("500", "503", "away"):
            self.done(tried, {"500": ERROR, "503": FULL, "away": AWAY}[kind])
        elif kind in ("half reset", "half close"):
            self.write(FORMS["whole"](body)[:-4])
            world.later(len(body) * 10, partial(self.close, kind == "half reset"))
        elif kind in ("bare close", "bare reset"):
            if kind == "bare close":
                request.made.append(body)
            self.write(FORMS["bare"](body))
            world.later(len(body) * 10, partial(self.close, kind == "bare reset"))
        elif kind == "endless":
            self.write(HEAD + b"\r\n")
            self.pour(40)
        elif kind == "pieces":
            request.made.append(body)
            text = FORMS["whole"](body)
            cut = max(len(text) // 5, 1)
            for number, at in enumerate(range(0, len(text), cut)):
                last = at + cut >= len(text)
                world.later(
                    number * 3 * MS,
                    partial(
                        self.done if last else self.more, tried, text[at : at + cut]
                    ),
                )
        elif kind == "twice":
            request.made.append(body)
            self.done(tried, FORMS["whole"](body))
            world.later(
                size * 20, partial(self.second, self.sock.sent, FORMS["whole"](body))
            )
        elif kind in FORMS:
            request.made.append(body)
            self.done(tried, FORMS[kind](body))
            if kind == "last":
                world.later(MS, partial(self.close, False))
        # else it never answers

    def more(self, tried, data):
        self.write(data)

    def done(self, tried, data):
        self.write(data)
        if (
            tried.request.made and len(tried.request.made[-1]) < ONE_READ
        ):  # a longer one takes several turns
            tried.good = self.world.time, self.sock.came
        tried.over, self.open = True, self.open - 1
        self.world.cue(("answered", tried.request.txn))
        self.world.cue("answered")

    def second(self, sent, data):
        """Late, but before anything of another request has come.

        What crosses within a round trip cannot be told apart.
        """
        if self.sock.sent == sent and not self.world.looked:
            self.write(data)

    def pour(self, times):
        if times and not self.away and not self.sock.rst:
            self.write(b"x" * 60_000)
            self.world.later(2 * MS, partial(self.pour, times - 1))

    def ended(self, reset):
        if self.tried is not None:
            self.tried.over = True
        self.away = True

    def rest(self, reset):
        """Closed early, if nothing is open."""
        if self.open <= 0 and not self.text:
            self.close(reset)


class Node:
    """One storage node, at one address or, once it has moved, at two."""

    def __init__(self, world, name, port, cell):
        self.world, self.name, self.port, self.cell = world, name, port, cell
        self.state, self.started, self.links = "active", 0, []
        self.dials = []  # (from, to, how, span): what becomes of a dial

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

    def dialled(self, sock):
        now, how, span = self.world.time, "up", self.world.chance.randrange(50, 1000)
        for since, to, *what in self.dials:
            if since <= now < to:
                how, span = what
        if how == "refused":
            self.world.later(span, partial(self.refuse, sock))
        elif how == "up":
            self.world.later(span, partial(self.up, sock))

    def refuse(self, sock):
        if not sock.closed:
            sock.error = 111

    def up(self, sock):
        if not sock.closed:
            sock.up, sock.agent = True, Link(self, sock)
            sock.window = self.world.node_window
            self.links.append(sock.agent)
            self.world.cue("up")

    def rest(self, reset):
        for link in self.links:
            link.rest(reset)

    def crash(self, span):
        """The process dies and is back later."""
        for link in self.links:
            link.close(True)
        self.dials.append((self.world.time, self.world.time + span, "refused", 100))


class Call(Agent):
    """Discovery's end of one call."""

    def __init__(self, discovery, sock):
        self.discovery, self.sock, self.text, self.watch, self.mute = (
            discovery,
            sock,
            b"",
            False,
            False,
        )

    def heard(self, data):
        self.text += data
        if (parts := parts_of(self.text)) is not None and not self.watch:
            self.discovery.asked(self, int(parts[0].split(b"from=")[1].split()[0]))

    def line(self, data):
        """One line of the watch, written whole; whether it was."""
        if self.away or self.mute or self.sock.closed or self.sock.fin or self.sock.rst:
            return False
        self.sock.put(b"%x\r\n%s\r\n" % (len(data), data))
        return True


class Discovery:
    """The one service, at all its addresses."""

    def __init__(self, world, nodes):
        self.world, self.nodes, self.version, self.calls = (
            world,
            {each.name: each for each in nodes},
            4,
            [],
        )
        self.log = []  # (version, entry)
        self.troubles = []  # (from, to, how)
        self.whole, self.forgot = (
            False,
            0,
        )  # answers with whole lists; the version that left one out without a word
        world.later(2 * SECOND, self.beat)

    def trouble(self):
        return next(
            (how for since, to, how in self.troubles if since <= self.world.time < to),
            "",
        )

    def dialled(self, sock):
        how = self.trouble()
        if how == "refused":
            self.world.later(100, lambda: setattr(sock, "error", 111))
        elif how != "not up":
            self.world.later(200, partial(self.up, sock))

    def up(self, sock):
        if not sock.closed:
            sock.up, sock.agent = True, Call(self, sock)
            self.calls.append(sock.agent)

    def asked(self, call, version):
        how = self.trouble()
        if how == "503":
            return call.sock.put(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        if how == "mute":
            return None
        call.watch = True
        call.sock.put(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        if version != self.version:
            self.tell(
                call,
                self.whole or version > self.version or version < self.forgot,
                version,
            )

    def beat(self):
        for call in self.calls:
            if call.watch:
                call.line(b"\n")
        self.world.later(2 * SECOND, self.beat)

    def tell(self, call, whole, since):
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
        if call.line(text):
            self.told(entries, whole)

    def told(self, entries, whole):
        watch, now = self.world.watch, self.world.time
        for entry in entries:
            name, port = entry["id"], int(entry["addr"].rpartition(":")[2])
            if watch.told.get(name, (0, "active"))[1] != entry["state"]:
                watch.told[name] = now, entry["state"]
            if (
                watch.addresses.get(name, (0, port))[1] != port
                or name not in watch.addresses
            ):
                watch.addresses[name] = now, port
        for name in (
            set(watch.addresses) - {each["id"] for each in entries} if whole else ()
        ):
            if watch.told.get(name, (0, "active"))[1] != "left":
                watch.told[name] = now, "left"

    def change(self, node):
        """A node's entry is another: every watch that stands hears of it."""
        self.version += 1
        self.nodes[node.name] = node
        self.log.append((self.version, node.entry()))
        for call in self.calls:
            if call.watch:
                self.tell(call, False, self.version - 1)

    def forget(self, node):
        """Left out of whole lists from now on, without a word of its own."""
        self.version += 1
        node.state, self.forgot = "left", self.version
        for call in self.calls:
            if call.watch:
                self.tell(call, True, 0)

    def hush(self):
        for call in self.calls:
            call.mute = call.mute or call.watch

    def cut(self, reset, half):
        for call in self.calls:
            if call.watch and not call.away:
                if half and not call.mute and not call.sock.closed:
                    call.sock.put(b'40\r\n{"version": 9')
                call.away = True
                call.sock.reset(True) if reset else call.sock.finish()
