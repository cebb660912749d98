"""Simulation of a complete gateway that searches for races.

A seed draws settings and moves; a run plays them and returns the first breach. Each move
has its own random generator, so that omitting other moves does not change it.
"""

import copy
from functools import partial
from random import Random
from types import SimpleNamespace

from twisted.python import log

from milletsill.deployment_config import to_stored
from milletsill.http_gateway.configuration import parse_configuration
from milletsill.http_gateway.gateway import HttpGateway
from milletsill.lab.hunt.fault_search import FaultEvent
from tests.support.http_gateway_rig import CONFIG, SETTINGS, req
from tests.support.race_actors import Client, Discovery, Node
from tests.support.race_observer import MS, SECOND, RaceObserver, Request
from tests.support.race_transports import Simulation

START, DURATION = 100 * SECOND, 5 * SECOND  # in simulated microseconds
DISCOVERY_PORTS = (8500, 8501)
# What a node does with an attempt; NodeSide.perform has the details.
NODE_ACTIONS = ("whole",) * 8 + (
    "pieces",
    "chunked",
    "interim",
    "last",
    "behind",
    "bare close",
    "bare reset",
    "half reset",
    "half close",
    "500",
    "503",
    "away",
    "away",
    "reset",
    "reset",
    "close",
    "never",
    "never",
    "twice",
    "twice",
    "endless",
)
# A request is sent, an attempt is begun, has arrived or is answered; a connect to a node
# succeeds or begins.
SIGNALS = (None, None, "sent", "begin", "came", "answered", "up", "dial")
MALFORMED_INPUTS = (
    b"GET / HTTP/1.1\r\n\r\n",
    b"\x00\xff\r\n\r\n",
    b"PUT /put HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    b"GET /get HTTP/1.1\r\nHo",
    b"G" * 9000,
    b"PUT /put HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\nabc",
)


def draw_settings(rng):
    """Draw settings at random."""
    config = copy.deepcopy(SETTINGS)
    patience = rng.choice((400, 1000, 3000, 3000))
    for each in config["classes"]:
        each |= {
            "hard_limit_ns": patience * 1_000_000,
            "aim_ns": patience * 600_000,
            "idempotency": rng.choice(("free", "guarded", "guarded", "single_shot")),
            "group": rng.choice(("all", "cell")),
            "window_ns": rng.choice((0.3, 0.5, 5.0)) * patience * 1_000_000,
        }
    config["limits"] |= {
        "cancel": rng.random() < 0.7,
        "second_copies": rng.random() < 0.7,
        "max_attempts": rng.choice((1, 2, 3, 3, 4)),
        "retry_after": rng.random() < 0.8,
        "dial_timeout_ns": rng.choice((100, 250, 1000)) * 1_000_000,
        "conn_idle_ns": rng.choice((200, 1000, 30_000, 30_000)) * 1_000_000,
    }
    config["membership_mode"] = rng.choice(("on_request", "on_request", "pushed"))
    config["rules"]["stop_sending_within_ns"] = rng.choice((350, 1000)) * 1_000_000
    return config


class RaceRun:
    """One run: the gateway, its simulated peers, and the observer."""

    def __init__(self, seed, settings=draw_settings):
        rng = Random(f"{seed} settings")
        self.settings = settings(rng)
        self.nodes = [
            Node(None, f"s-{number}", 7100 + number, number % 2)
            for number in range(rng.choice((2, 3, 4)))
        ]
        given = CONFIG | {
            "settings": self.settings,
            "discovery": f"127.0.0.1:{DISCOVERY_PORTS[0]}",
            "seed": f"{seed:x}",
            "limits": {"sockets": rng.choice((256, 256, 64, 58)), "memory_mb": 64},
            "known": {
                "version": 4,
                "full": True,
                "servers": [each.entry() for each in self.nodes],
            },
        }
        self.given = given
        deployment = parse_configuration(given, {}, 0, lambda text: None)
        stored = to_stored(deployment.config)
        self.longest = max(each["patience"] for each in stored["categories"]) * 100
        self.observer = RaceObserver(
            {
                "categories": stored["categories"],
                "tries": stored["most_dispatches"],
                "copies": stored["may_copy"],
                "short": given["limits"]["sockets"] < 256,
                "pause": stored["pause_told"] and stored["longest_pause"],
                "grace": self.settings["rules"]["stop_sending_within_ns"] // 1000,
            }
        )
        self.sim = self.observer.sim = Simulation(seed, self.observer)
        self.sim.early, self.sim.node_window = (
            rng.random() < 0.1,
            rng.choice((1 << 20, 1 << 20, 700)),
        )
        for each in self.nodes:
            each.sim = self.sim
            self.observer.addresses[each.name] = 0, each.port
        self.calm = rng.random() < 0.5  # nodes mostly answer; connections become idle
        self.discovery = Discovery(self.sim, self.nodes)
        self.discovery.whole_lists = rng.random() < 0.4
        self.sim.on_connect, self.sim.node_at = self.on_connect, self.node_at
        self.clients, self.by_port, self.term_at, self.sigterm_at = [], {}, None, 0
        self.last = self.nodes[0].port  # of the last connect
        for each in self.nodes:
            self.by_port[each.port] = each
        logger = SimpleNamespace(
            info=lambda event, **values: None, warning=self.on_warning
        )
        self.gateway = HttpGateway(deployment, self.sim.reactor, self.now, 0, logger)
        if Random(f"{seed} rest").random() < 0.5:
            self.gateway.node_pools.reuse_delay = 0  # connections are used at once
        self.gateway.on_stopped = lambda: self.sim.reactor.callLater(0, self.sim.exit)

    def now(self):
        return -(-self.sim.time // 100)

    def on_warning(self, event, **values):
        if event == "module":
            self.observer.breach("the scheduler warned:", *values.values())

    def node_at(self, sock):
        return self.by_port.get(sock.address[1])

    def on_connect(self, sock):
        port = sock.address[1]
        if port in DISCOVERY_PORTS:
            return self.discovery.on_connect(sock)
        self.sim.signal("dial")
        self.last = port
        return self.by_port[port].on_connect(sock) if port in self.by_port else 111

    # Moves.

    def schedule(self, event):
        """Schedule a move; its last two values are a signal and the time after it."""
        *values, signal, span = event.values
        do = partial(
            getattr(self, event.kind), Random(f"{values[0]} move"), *values[1:]
        )
        self.sim.at(
            START + event.at * 100,
            partial(self.sim.when, signal, span, do) if signal else do,
        )

    def client(self, rng):
        if self.sim.exited:
            return
        planned = [self.request(rng) for _ in range(rng.choice((1, 1, 2, 3)))]
        signal_txn = rng.choice(planned)[0].txn
        signal = rng.choice(
            (None, "sent", "sent", "begin", "came", "answered", "dial", "up")
        )
        how = rng.choice(("", "", "close", "half", "reset"))
        near = (0, 0, 10, 1000, 30_000, 30_000, 60_000, 150_000)
        plan = {
            "requests": planned,
            "at once": rng.random() < 0.25,
            "reads": rng.random() < 0.85,
            "window": rng.choice((1 << 20, 1 << 20, 2000)),
            "signal": signal,
            "signal_txn": signal_txn,
            "leave": [(how, rng.choice(near))] if how else [],
            "events": [
                (rng.choice(near), self.draw_nearby_move(rng))
                for _ in range(rng.choice((0, 0, 1, 1, 2)))
            ],
            "malformed": rng.choice(MALFORMED_INPUTS) if rng.random() < 0.08 else b"",
            "close_delay": rng.choice((0, 2, 300)) * MS,
            "resume_delay": rng.choice((0, 20, 300, 900)) * MS,
        }
        self.add_client(plan)

    def add_client(self, plan):
        one = Client(self.sim, self.observer, plan)
        self.clients.append(one)
        one.connect()

    def warm(self, rng):
        """Add a client that is answered, so that idle connections remain."""
        if not self.sim.exited:
            planned = self.request(rng)
            self.sim.node_actions[planned[0].txn] = [("whole", MS, 5)] * 4
            self.add_client(
                {
                    "requests": [planned],
                    "at once": True,
                    "reads": True,
                    "window": 1 << 20,
                    "signal": None,
                    "leave": [],
                    "events": [],
                    "malformed": b"",
                    "close_delay": 0,
                    "resume_delay": 0,
                }
            )

    def draw_nearby_move(self, rng):
        """Draw a move that happens near a signal of the client."""
        what, *values = draw_move(
            rng,
            rng.choice(
                (
                    "update_node",
                    "update_node",
                    "stall",
                    "stall",
                    "stall",
                    "close_idle",
                    "cut",
                    "dial",
                    "crash",
                )
            ),
        )
        return partial(getattr(self, what), rng, *values)

    def request(self, rng):
        txn = rng.getrandbits(64)
        place = rng.randrange(len(self.settings["classes"]))
        config = self.settings["classes"][place]
        write = bool(self.settings["extra"]["writes"][place])
        body = b"x" * rng.choice((20, 400, 3000)) if write else b""
        patience = int(
            config["hard_limit_ns"] // 1_000_000 * rng.choice((1, 1, 1, 0.4))
        )
        key = b"k%x" % txn
        text = req(
            txn,
            "PUT" if write else "GET",
            config["name"],
            body,
            X_Remaining_Ms=str(patience),
            X_Plan=self.settings["plans"][0]["name"],
            Idempotency_Key=key.decode(),
            Cookie="block=%016x" % rng.randrange(1, 9),
            X_IO="volume=%016x,units=%d,shard=%d,hosts=1"
            % (
                rng.randrange(1, 4),
                rng.choice((1, 2, 4)),
                rng.choice((0, 1, -1)),
            ),
        )
        actions = ("whole",) if self.calm and rng.random() < 0.85 else NODE_ACTIONS
        self.sim.node_actions[txn] = [
            (
                rng.choice(actions),
                rng.choice((0, 1, 5, 60, 300)) * MS,
                rng.choice((5, 5, 2000, 90_000)),
            )
            for _ in range(4)
        ]
        request = Request(
            txn,
            place,
            b"PUT" if write else b"GET",
            b"/" + config["name"].encode(),
            body,
            key,
            patience * MS,
        )
        return (
            request,
            text,
            rng.choice((1, 1, 2, 5)),
            rng.choice((0, 0, 1, 40)) * MS,
        )

    def node_index(self, place):
        """Return a node's index; -1 stands for the node of the last connect."""
        last = self.by_port.get(self.last) if place < 0 else None
        return self.nodes.index(last) if last in self.nodes else place % len(self.nodes)

    def update_node(self, rng, place, what):
        place = self.node_index(place)
        node = self.nodes[place]
        if what == "moved":
            node.port = 7200 + len(self.by_port)
            self.by_port[node.port] = node
        elif what == "replaced":
            node.state = "left"
            self.discovery.change(node)
            made = Node(
                self.sim,
                f"s-{len(self.discovery.nodes)}",
                7200 + len(self.by_port),
                node.cell,
            )
            self.by_port[made.port] = made
            self.nodes[place] = node = made
        elif what == "back":
            node.state, node.started = "active", max(self.sim.time // 1000, 1)
        elif what == "forgotten":
            return self.discovery.forget(node)
        else:
            node.state = what
        self.discovery.change(node)

    def dial(self, rng, place, how, wait, span):
        now = self.sim.time
        self.nodes[self.node_index(place)].dials.append((now, now + span, how, wait))

    def crash(self, rng, place, span):
        self.nodes[self.node_index(place)].crash(span)

    def close_idle(self, rng, place, reset):
        self.nodes[self.node_index(place)].close_idle(reset)

    def mute(self, rng):
        self.discovery.mute_watches()

    def cut(self, rng, reset, half):
        self.discovery.cut_watches(reset, half)

    def disturb(self, rng, how, span):
        self.discovery.troubles.append((self.sim.time, self.sim.time + span, how))

    def stall(self, rng, where, span):
        if self.sim.time < START + DURATION:
            self.sim.stall(where, span)

    def reload(self, rng):
        other = self.given | {"discovery": f"127.0.0.1:{DISCOVERY_PORTS[1]}"}
        self.sim.reactor.callFromThread(
            self.gateway.reload, parse_configuration(other, {}, 0, lambda text: None)
        )

    def terminate(self, rng):
        self.term_at = self.term_at or self.sim.time
        self.sim.reactor.callFromThread(self.on_sigterm)

    def on_sigterm(self):
        """Handle SIGTERM once the process is running."""
        self.sigterm_at = self.sigterm_at or self.sim.time
        self.gateway.terminate()

    # The run.

    def play(self, events):
        errors = []
        observer = errors.append
        log.addObserver(observer)
        try:
            self.gateway.start()
            for event in events:
                self.schedule(event)
            self.sim.run(START + DURATION + 200 * MS)
            self.finish()
        finally:
            log.removeObserver(observer)
            if not self.sim.exited:
                self.gateway.stop()
            self.sim.reactor.runUntilCurrent()
            self.sim.close_all()
        for each in errors:
            if each["isError"]:
                self.observer.breach("log error:", str(each.get("failure", each))[:600])
        return self.observer.breaches[0] if self.observer.breaches else None

    def finish(self):
        """Check that all requests are answered and all resources released."""
        sim = self.sim
        if self.term_at is not None:
            sim.run(self.term_at + 8 * SECOND)
            kill = self.sigterm_at + min(self.longest, 3 * SECOND) + 700 * MS
            if not sim.exited or sim.time > kill + self.observer.stalled_time(
                kill - 400 * MS, kill + 2 * SECOND
            ):
                self.observer.breach("no exit in time:", sim.exited, sim.time - kill)
            sim.pass_time(sim.time + SECOND)
            return self.observer.check_unanswered()
        # pipelined requests wait for those before them
        sim.run(sim.time + 3 * self.longest + SECOND)
        self.observer.check_unanswered()
        for each in self.clients:
            each.leave("close")
        for node in self.by_port.values():
            for link in node.links:
                link.close(False)
        sim.run(sim.time + 8 * SECOND)  # time to receive a list that was missed
        self.check_leaks()

    def check_leaks(self):
        gateway, fleet = self.gateway, self.gateway.node_pools
        listed = {
            each.name for each in self.discovery.nodes.values() if each.state != "left"
        }
        stand = sum(
            each.address is not None and each.address[1] in self.by_port
            for each in self.sim.sockets.values()
        )
        found = {
            "live": len(gateway.host.active),
            "held": gateway.host.unanswered,
            "clients": len(gateway.listener.connections),
            "links": fleet.open_connections - stand,
            "octets": fleet.buffers.held,
            "dials": sum(each.dials for each in fleet.pools.values()),
            "waiting": sum(len(each.waiting) for each in fleet.pools.values()),
            "out": len(gateway.host.scheduler.state.in_flight),
            "transfers": len(gateway.host.scheduler.state.requests),
        }
        if any(found.values()):
            self.observer.breach("resources held after the run:", found)
        if len(self.sim.reactor.getDelayedCalls()) > 12:
            self.observer.breach(
                "timers left:", len(self.sim.reactor.getDelayedCalls())
            )
        if len(fleet.pools) > len(listed) + 1:
            self.observer.breach(
                "pools of nodes that left are kept:", len(fleet.pools), len(listed)
            )


def draw_move(rng, what):
    """Draw the name and values of a move other than a client."""
    place = rng.choice((-1, -1, 0, 1, 2, 3))
    if what == "update_node":
        return (
            what,
            place,
            rng.choice(
                (
                    "leaving",
                    "leaving",
                    "left",
                    "active",
                    "moved",
                    "replaced",
                    "back",
                    "forgotten",
                )
            ),
        )
    if what == "dial":
        how = rng.choice(("up", "up", "up", "refused", "never"))
        return (
            what,
            place,
            how,
            rng.choice((1, 20, 200, 600, 1500)) * MS,
            rng.choice((50, 500, 3000)) * MS,
        )
    if what == "stall":
        return (
            what,
            rng.choice(("timers", "timers", "timers", "poll", "collected")),
            rng.choice((200, 300, 500, 1200)) * MS,
        )
    if what in ("close_idle", "crash"):
        return (
            what,
            place,
            rng.random() < 0.5 if what == "close_idle" else rng.choice((20, 400)) * MS,
        )
    if what == "cut":
        return what, rng.random() < 0.5, rng.random() < 0.5
    if what == "disturb":
        return (
            what,
            rng.choice(("refused", "not up", "503", "mute")),
            rng.choice((300, 2000)) * MS,
        )
    return (what,)


MOVE_KINDS = (
    ("client",) * 12
    + ("update_node",) * 4
    + ("dial",) * 4
    + ("close_idle", "crash", "mute", "cut", "disturb", "reload", "stall", "stall")
)
# Ticks after SIGTERM near which the shutdown steps happen; all but zeros are added to the
# longest client timeout.
SHUTDOWN_OFFSETS = (0, 0, 5000, 5500, 6000, 6100)


class RaceSimulation:
    """Draws and plays runs, as a FaultSimulation."""

    def __init__(self, moves=28, settings=draw_settings):
        self.moves, self.settings = moves, settings

    def draw_events(self, seed):
        rng = Random(f"{seed} moves")
        moments = [rng.randrange(1000, 48_000) for _ in range(3)]
        events = []
        if rng.random() < 0.5:
            config = self.settings(Random(f"{seed} settings"))["classes"]
            longest = min(
                max(each["hard_limit_ns"] for each in config) // 100_000, 30_000
            )
            term = rng.randrange(5000, max(45_000 - int(longest), 6000))
            moments = [
                int(term + each + longest * (each > 0))
                for each in rng.sample(SHUTDOWN_OFFSETS, 3)
            ] + moments[:1]
            events = [
                FaultEvent(at, "terminate", (0, None, 0))
                for at in {term, term + rng.choice((0, 0, 3000))}
            ]
        for moment in moments:
            events += [
                FaultEvent(
                    max(moment - each, 1), "warm", (rng.getrandbits(32), None, 0)
                )
                for each in (900, 650, 640, 400)
            ]
        events += [self.draw_event(rng, rng.choice(moments)) for _ in range(self.moves)]
        return sorted(events, key=lambda each: each.at)

    def draw_event(self, rng, moment):
        at = max(moment + rng.choice((0, 0, 1, 5, 20, 300, -300, 3000, -3000)), 1)
        what, *values = draw_move(rng, rng.choice(MOVE_KINDS))
        signal = rng.choice(SIGNALS) if what != "client" else None
        return FaultEvent(
            at,
            what,
            (
                rng.getrandbits(32),
                *values,
                signal,
                rng.choice((0, 0, 50, 200, 1000, 20_000)),
            ),
        )

    def play(self, seed, events):
        return RaceRun(seed, self.settings).play(events)
