"""The hunt of crossings as a game.

Settings and moves drawn by a seed, played on a whole gateway, and what broke first.

A move stands for itself: it brings its own stream of chance, so leaving others out
leaves it as it was.
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
from tests.support.race_observer import MS, SECOND, Request, Watch
from tests.support.race_transports import World

BEGIN, LENGTH = 100 * SECOND, 5 * SECOND
ADDRESSES = (8500, 8501)  # discovery's
FATES = ("whole",) * 8 + (
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
CUES = (None, None, "sent", "begin", "came", "answered", "up", "dial")
BAD = (
    b"GET / HTTP/1.1\r\n\r\n",
    b"\x00\xff\r\n\r\n",
    b"PUT /put HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
    b"GET /get HTTP/1.1\r\nHo",
    b"G" * 9000,
    b"PUT /put HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\nabc",
)


def settings_of(chance):
    """A shape of settings, by chance."""
    told = copy.deepcopy(SETTINGS)
    patience = chance.choice((400, 1000, 3000, 3000))
    for each in told["classes"]:
        each |= {
            "hard_limit_ns": patience * 1_000_000,
            "aim_ns": patience * 600_000,
            "idempotency": chance.choice(("free", "guarded", "guarded", "single_shot")),
            "group": chance.choice(("all", "cell")),
            "window_ns": chance.choice((0.3, 0.5, 5.0)) * patience * 1_000_000,
        }
    told["limits"] |= {
        "cancel": chance.random() < 0.7,
        "second_copies": chance.random() < 0.7,
        "max_attempts": chance.choice((1, 2, 3, 3, 4)),
        "retry_after": chance.random() < 0.8,
        "dial_timeout_ns": chance.choice((100, 250, 1000)) * 1_000_000,
        "conn_idle_ns": chance.choice((200, 1000, 30_000, 30_000)) * 1_000_000,
    }
    told["membership_mode"] = chance.choice(("on_request", "on_request", "pushed"))
    told["rules"]["stop_sending_within_ns"] = chance.choice((350, 1000)) * 1_000_000
    return told


class Play:
    """One play: the gateway, who it meets, and the watch."""

    def __init__(self, seed, settings=settings_of):
        chance = Random(f"{seed} settings")
        self.settings = settings(chance)
        self.nodes = [
            Node(None, f"s-{number}", 7100 + number, number % 2)
            for number in range(chance.choice((2, 3, 4)))
        ]
        given = CONFIG | {
            "settings": self.settings,
            "discovery": f"127.0.0.1:{ADDRESSES[0]}",
            "seed": f"{seed:x}",
            "limits": {"sockets": chance.choice((256, 256, 64, 58)), "memory_mb": 64},
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
        self.watch = Watch(
            {
                "categories": stored["categories"],
                "tries": stored["most_dispatches"],
                "copies": stored["may_copy"],
                "short": given["limits"]["sockets"] < 256,
                "pause": stored["pause_told"] and stored["longest_pause"],
                "grace": self.settings["rules"]["stop_sending_within_ns"] // 1000,
            }
        )
        self.world = self.watch.world = World(seed, self.watch)
        self.world.early, self.world.node_window = (
            chance.random() < 0.1,
            chance.choice((1 << 20, 1 << 20, 700)),
        )
        for each in self.nodes:
            each.world = self.world
            self.watch.addresses[each.name] = 0, each.port
        self.mild = (
            chance.random() < 0.5
        )  # nodes answer as a rule, and links stand idle
        self.discovery = Discovery(self.world, self.nodes)
        self.discovery.whole = chance.random() < 0.4
        self.world.dialled, self.world.node_at = self.dialled, self.node_at
        self.clients, self.by_port, self.term_at, self.heard_at = [], {}, None, 0
        self.last = self.nodes[0].port  # dialled
        for each in self.nodes:
            self.by_port[each.port] = each
        said = SimpleNamespace(info=lambda event, **values: None, warning=self.said)
        self.gateway = HttpGateway(deployment, self.world.reactor, self.now, 0, said)
        self.gateway.on_stopped = lambda: self.world.reactor.callLater(
            0, self.world.exit
        )

    def now(self):
        return -(-self.world.time // 100)

    def said(self, event, **values):
        if event == "module":
            self.watch.breach("the module said:", *values.values())

    def node_at(self, sock):
        return self.by_port.get(sock.where[1])

    def dialled(self, sock):
        port = sock.where[1]
        if port in ADDRESSES:
            return self.discovery.dialled(sock)
        self.world.cue("dial")
        self.last = port
        return self.by_port[port].dialled(sock) if port in self.by_port else 111

    # Moves.

    def move(self, event):
        """One move; its last two values are a cue to wait for and the time behind it."""
        *values, cue, span = event.values
        do = partial(
            getattr(self, event.kind), Random(f"{values[0]} move"), *values[1:]
        )
        self.world.at(
            BEGIN + event.at * 100,
            partial(self.world.when, cue, span, do) if cue else do,
        )

    def client(self, chance):
        if self.world.exited:
            return
        asks = [self.request(chance) for _ in range(chance.choice((1, 1, 2, 3)))]
        pick = chance.choice(asks)[0].txn
        cue = chance.choice(
            (None, "sent", "sent", "begin", "came", "answered", "dial", "up")
        )
        how = chance.choice(("", "", "close", "half", "reset"))
        near = (0, 0, 10, 1000, 30_000, 30_000, 60_000, 150_000)
        plan = {
            "asks": asks,
            "at once": chance.random() < 0.25,
            "takes": chance.random() < 0.85,
            "window": chance.choice((1 << 20, 1 << 20, 2000)),
            "cue": cue,
            "pick": pick,
            "leave": [(how, chance.choice(near))] if how else [],
            "crossing": [
                (chance.choice(near), self.crossing(chance))
                for _ in range(chance.choice((0, 0, 1, 1, 2)))
            ],
            "bad": chance.choice(BAD) if chance.random() < 0.08 else b"",
            "lingers": chance.choice((0, 2, 300)) * MS,
            "resumes": chance.choice((0, 20, 300, 900)) * MS,
        }
        self.come(plan)

    def come(self, plan):
        one = Client(self.world, self.watch, plan)
        self.clients.append(one)
        one.come()

    def warm(self, chance):
        """A client that is served: links stand idle behind it."""
        if not self.world.exited:
            asked = self.request(chance)
            self.world.fates[asked[0].txn] = [("whole", MS, 5)] * 4
            self.come(
                {
                    "asks": [asked],
                    "at once": True,
                    "takes": True,
                    "window": 1 << 20,
                    "cue": None,
                    "leave": [],
                    "crossing": [],
                    "bad": b"",
                    "lingers": 0,
                    "resumes": 0,
                }
            )

    def crossing(self, chance):
        """Something that happens around one of the client's moments."""
        what, *values = drawn_of(
            chance,
            chance.choice(
                (
                    "list",
                    "list",
                    "stall",
                    "stall",
                    "stall",
                    "rest",
                    "cut",
                    "dial",
                    "crash",
                )
            ),
        )
        return partial(getattr(self, what), chance, *values)

    def request(self, chance):
        txn = chance.getrandbits(64)
        place = chance.randrange(len(self.settings["classes"]))
        told = self.settings["classes"][place]
        write = bool(self.settings["extra"]["writes"][place])
        body = b"x" * chance.choice((20, 400, 3000)) if write else b""
        patience = int(
            told["hard_limit_ns"] // 1_000_000 * chance.choice((1, 1, 1, 0.4))
        )
        key = b"k%x" % txn
        text = req(
            txn,
            "PUT" if write else "GET",
            told["name"],
            body,
            X_Remaining_Ms=str(patience),
            X_Plan=self.settings["plans"][0]["name"],
            Idempotency_Key=key.decode(),
            Cookie="block=%016x" % chance.randrange(1, 9),
            X_IO="volume=%016x,units=%d,shard=%d,hosts=1"
            % (
                chance.randrange(1, 4),
                chance.choice((1, 2, 4)),
                chance.choice((0, 1, -1)),
            ),
        )
        fates = ("whole",) if self.mild and chance.random() < 0.85 else FATES
        self.world.fates[txn] = [
            (
                chance.choice(fates),
                chance.choice((0, 1, 5, 60, 300)) * MS,
                chance.choice((5, 5, 2000, 90_000)),
            )
            for _ in range(4)
        ]
        request = Request(
            txn,
            place,
            b"PUT" if write else b"GET",
            b"/" + told["name"].encode(),
            body,
            key,
            patience * MS,
        )
        return (
            request,
            text,
            chance.choice((1, 1, 2, 5)),
            chance.choice((0, 0, 1, 40)) * MS,
        )

    def place(self, place):
        """A node by its place, or the one that was dialled last."""
        last = self.by_port.get(self.last) if place < 0 else None
        return self.nodes.index(last) if last in self.nodes else place % len(self.nodes)

    def list(self, chance, place, what):
        place = self.place(place)
        node = self.nodes[place]
        if what == "moved":
            node.port = 7200 + len(self.by_port)
            self.by_port[node.port] = node
        elif what == "replaced":
            node.state = "left"
            self.discovery.change(node)
            made = Node(
                self.world,
                f"s-{len(self.discovery.nodes)}",
                7200 + len(self.by_port),
                node.cell,
            )
            self.by_port[made.port] = made
            self.nodes[place] = node = made
        elif what == "back":
            node.state, node.started = "active", max(self.world.time // 1000, 1)
        elif what == "forgotten":
            return self.discovery.forget(node)
        else:
            node.state = what
        self.discovery.change(node)

    def dial(self, chance, place, how, wait, span):
        now = self.world.time
        self.nodes[self.place(place)].dials.append((now, now + span, how, wait))

    def crash(self, chance, place, span):
        self.nodes[self.place(place)].crash(span)

    def rest(self, chance, place, reset):
        self.nodes[self.place(place)].rest(reset)

    def hush(self, chance):
        self.discovery.hush()

    def cut(self, chance, reset, half):
        self.discovery.cut(reset, half)

    def trouble(self, chance, how, span):
        self.discovery.troubles.append((self.world.time, self.world.time + span, how))

    def stall(self, chance, where, span):
        if self.world.time < BEGIN + LENGTH:
            self.world.stall(where, span)

    def hup(self, chance):
        other = self.given | {"discovery": f"127.0.0.1:{ADDRESSES[1]}"}
        self.world.reactor.callFromThread(
            self.gateway.reload, parse_configuration(other, {}, 0, lambda text: None)
        )

    def term(self, chance):
        self.term_at = self.term_at or self.world.time
        self.world.reactor.callFromThread(self.heard)

    def heard(self):
        """The signal, once the process has come to it."""
        self.heard_at = self.heard_at or self.world.time
        self.gateway.terminate()

    # The whole.

    def play(self, events):
        errors = []
        observer = errors.append
        log.addObserver(observer)
        try:
            self.gateway.start()
            for event in events:
                self.move(event)
            self.world.run(BEGIN + LENGTH + 200 * MS)
            self.end()
        finally:
            log.removeObserver(observer)
            if not self.world.exited:
                self.gateway.stop()
            self.world.reactor.runUntilCurrent()
            self.world.shut()
        for each in errors:
            if each["isError"]:
                self.watch.breach("an error:", str(each.get("failure", each))[:600])
        return self.watch.breaches[0] if self.watch.breaches else None

    def end(self):
        """Nothing new comes: what is owed is paid, and nothing is held behind it."""
        world = self.world
        if self.term_at is not None:
            world.run(self.term_at + 8 * SECOND)
            kill = self.heard_at + min(self.longest, 3 * SECOND) + 700 * MS
            if not world.exited or world.time > kill + self.watch.standing(
                kill - 400 * MS, kill + 2 * SECOND
            ):
                self.watch.breach("not away in time:", world.exited, world.time - kill)
            world.pass_time(world.time + SECOND)
            return self.watch.settle()
        world.run(
            world.time + 3 * self.longest + SECOND
        )  # those behind another on their connection wait for it
        self.watch.settle()
        for each in self.clients:
            each.leave("close")
        for node in self.by_port.values():
            for link in node.links:
                link.close(False)
        world.run(world.time + 8 * SECOND)  # so long until a list that was missed is in
        self.held()

    def held(self):
        gateway, fleet = self.gateway, self.gateway.node_pools
        listed = {
            each.name for each in self.discovery.nodes.values() if each.state != "left"
        }
        stand = sum(
            each.where is not None and each.where[1] in self.by_port
            for each in self.world.socks.values()
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
            self.watch.breach("held after all is quiet:", found)
        if len(self.world.reactor.getDelayedCalls()) > 12:
            self.watch.breach("timers:", len(self.world.reactor.getDelayedCalls()))
        if len(fleet.pools) > len(listed) + 1:
            self.watch.breach(
                "nodes that left are kept:", len(fleet.pools), len(listed)
            )


def drawn_of(chance, what):
    """A move but its client, by name and values."""
    place = chance.choice((-1, -1, 0, 1, 2, 3))
    if what == "list":
        return (
            what,
            place,
            chance.choice(
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
        how = chance.choice(("up", "up", "up", "refused", "never"))
        return (
            what,
            place,
            how,
            chance.choice((1, 20, 200, 600, 1500)) * MS,
            chance.choice((50, 500, 3000)) * MS,
        )
    if what == "stall":
        return (
            what,
            chance.choice(("timers", "timers", "timers", "poll", "collected")),
            chance.choice((200, 300, 500, 1200)) * MS,
        )
    if what in ("rest", "crash"):
        return (
            what,
            place,
            chance.random() < 0.5 if what == "rest" else chance.choice((20, 400)) * MS,
        )
    if what == "cut":
        return what, chance.random() < 0.5, chance.random() < 0.5
    if what == "trouble":
        return (
            what,
            chance.choice(("refused", "not up", "503", "mute")),
            chance.choice((300, 2000)) * MS,
        )
    return (what,)


WHAT = (
    ("client",) * 12
    + ("list",) * 4
    + ("dial",) * 4
    + ("rest", "crash", "hush", "cut", "trouble", "hup", "stall", "stall")
)
ENDS = (
    0,
    0,
    5000,
    5500,
    6000,
    6100,
)  # about when a leaving process takes its steps; all but the first behind the longest patience


class Crossings:
    """The game, for the hunt's own machine."""

    def __init__(self, moves=28, settings=settings_of):
        self.moves, self.settings = moves, settings

    def drawn(self, seed):
        chance = Random(f"{seed} moves")
        knots = [chance.randrange(1000, 48_000) for _ in range(3)]
        events = []
        if chance.random() < 0.5:
            told = self.settings(Random(f"{seed} settings"))["classes"]
            longest = min(
                max(each["hard_limit_ns"] for each in told) // 100_000, 30_000
            )
            term = chance.randrange(5000, max(45_000 - int(longest), 6000))
            knots = [
                int(term + each + longest * (each > 0))
                for each in chance.sample(ENDS, 3)
            ] + knots[:1]
            events = [
                FaultEvent(at, "term", (0, None, 0))
                for at in {term, term + chance.choice((0, 0, 3000))}
            ]
        for knot in knots:
            events += [
                FaultEvent(
                    max(knot - each, 1), "warm", (chance.getrandbits(32), None, 0)
                )
                for each in (900, 650, 640, 400)
            ]
        events += [self.one(chance, chance.choice(knots)) for _ in range(self.moves)]
        return sorted(events, key=lambda each: each.at)

    def one(self, chance, knot):
        at = max(knot + chance.choice((0, 0, 1, 5, 20, 300, -300, 3000, -3000)), 1)
        what, *values = drawn_of(chance, chance.choice(WHAT))
        cue = chance.choice(CUES) if what != "client" else None
        return FaultEvent(
            at,
            what,
            (
                chance.getrandbits(32),
                *values,
                cue,
                chance.choice((0, 0, 50, 200, 1000, 20_000)),
            ),
        )

    def play(self, seed, events):
        return Play(seed, self.settings).play(events)
