"""The list of boxes under hunts.

The very follower of `registry/` on a simulated clock, before a registry that
misbehaves.

Watches break, go past compaction or fall silent, calls fail or hang, the registry is
restored from a backup (its revision goes back), changes come in floods. At the end the
follower's view and what the module was told must be the registry's list, and nothing
may have been told twice or out of order. Each write has a number of its own, carried as
the box's size.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import Clock

from milletsill.interface import Endpoint, EndpointUpdateKind, Readiness
from milletsill.lab.hunt.decide import Event
from milletsill.registry import (
    endpoint_cache,
    endpoint_cache_writer,
    registry_watcher,
    watch_state,
)
from milletsill.registry.endpoint_view import EndpointView
from milletsill.registry.registered_node import RegisteredNode, parse_registered_node
from milletsill.registry.watch_state import (
    WATCHER_TABLE,
    WatcherEffect,
    WatcherEvent,
    WatcherState,
)

PREFIX, KEYS, LASTS, CALM = "b/", 8, 45.0, 90.0  # seconds
CONFIG = registry_watcher.RegistryConfig(
    address="127.0.0.1:1",
    prefix=PREFIX,
    gateway="g",
    call_timeout=1.0,
    connect_timeout=0.5,
    max_line=1 << 22,
    max_nodes=1024,
    warm_after=0,
    cache_path="list",
)


def coded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


class Connection:
    """One call's.

    What is said on it comes in order, until it is cut or falls silent.
    """

    def __init__(self, world: ListWorld, body: dict[str, Any]) -> None:
        self.world, self.body, self.over, self.silent, self.since, self.due = (
            world,
            body,
            False,
            False,
            0,
            0.0,
        )
        self.protocol: Any = None
        self.answered: Deferred[Any] = Deferred(lambda _: self.loseConnection())

    def later(self, call: Callable[[], None]) -> None:
        self.due = max(self.due, self.world.clock.seconds() + self.world.delay())
        self.world.clock.callLater(
            self.due - self.world.clock.seconds(), self.unless, call
        )

    def unless(self, call: Callable[[], None]) -> None:
        if not self.over and not self.silent:
            call()

    def head(self, code: int) -> None:
        self.answered.callback(SimpleNamespace(code=code, deliverBody=self.deliver))

    def deliver(self, protocol: Any) -> None:
        self.protocol, protocol.transport = protocol, self

    def say(self, data: bytes) -> None:
        self.later(lambda: self.protocol.dataReceived(data))

    def end(self) -> None:
        self.later(lambda: (self.loseConnection(), self.protocol.connectionLost(None)))

    def loseConnection(self) -> None:
        self.over = True
        self.world.watching.pop(self, None)

    def cut(self) -> None:
        """From the other side."""
        if not self.over and not self.silent:
            self.loseConnection()
            if self.protocol is not None:
                self.protocol.connectionLost(None)
            elif not self.answered.called:
                self.answered.errback(ConnectionError("cut"))


class ListWorld:
    """A registry, what is between, and one follower at a time with what its module knows."""

    def __init__(self, seed: int) -> None:
        self.clock, self.seed = Clock(), seed
        self.net = Random(seed)
        self.revision, self.compacted, self.serial, self.starts, self.cluster = (
            1,
            0,
            0,
            0,
            1,
        )
        self.held: dict[str, tuple[bytes, int]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.backups: list[tuple[int, dict[str, tuple[bytes, int]]]] = [(1, {})]
        self.watching: dict[Connection, None] = {}
        self.calls: list[Connection] = []
        self.away = self.hangs = 0.0
        self.kept: tuple[dict[str, RegisteredNode], int] = ({}, 0)
        self.wrong: str | None = None
        self.follower: Any = None
        self.begin()

    def delay(self) -> float:
        return self.net.uniform(0.001, 0.02)

    # The follower and its module.

    def begin(self) -> None:
        """The gateway starts, or starts again with the list that it kept."""
        if self.follower is not None:
            self.follower.stop()
        self.starts += 1
        self.known: dict[int, Endpoint] = {}
        self.gone: dict[
            int, float
        ] = {}  # writes of boxes that were told to be gone since the last whole list
        start, chance = self.starts, Random(self.seed * 1000 + self.starts)
        self.again = chance.uniform

        def hear(news: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
            if start == self.starts:
                self.hear(news, entries)

        self.follower = registry_watcher.RegistryWatcher(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            CONFIG,
            registry_watcher.RegistryCallbacks(
                hear, lambda nodes: None, lambda text: None
            ),
            chance.uniform,
            self.clock.seconds,
        )
        self.follower.client.agent = SimpleNamespace(request=self.call)
        self.follower.start()

    def hear(self, news: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        """What a module does with it; what comes as a change must be one."""
        if news is EndpointUpdateKind.FAILED:
            self.clock.callLater(self.again(0.3, 2.0), self.ask, self.starts)
        elif news is EndpointUpdateKind.DELTA:
            for each in entries:
                old = self.known.get(each.node)
                gone = each.readiness is Readiness.GONE
                before = max(
                    old.size if old is not None and not gone else 0,
                    self.gone.get(each.node, 0),
                )
                if (
                    each.size <= before
                    or gone
                    and old is not None
                    and each.size < old.size
                ):
                    order = "twice" if each.size == before else "out of order"
                    self.wrong = (
                        self.wrong
                        or f"write {each.size:.0f} of box {each.node}{' that went' * gone} is told {order}"
                    )
                if gone:
                    self.gone[each.node] = each.size
                    self.known.pop(each.node, None)
                else:
                    self.known[each.node] = each
        else:
            self.known, self.gone = {each.node: each for each in entries}, {}
            if news is EndpointUpdateKind.CACHED:
                self.clock.callLater(0, self.ask, self.starts)

    def ask(self, start: int) -> None:
        if start == self.starts:
            self.follower.request_watch()

    # The registry.

    def call(self, method: bytes, url: bytes, headers: Any, body: Any) -> Deferred[Any]:
        made = Connection(self, json.loads(body.data))
        self.calls = [each for each in self.calls if not each.over] + [made]
        self.clock.callLater(
            self.delay(),
            made.unless,
            lambda: self.arrived(made, url.endswith(b"range")),
        )
        return made.answered

    def arrived(self, made: Connection, whole: bool) -> None:
        now = self.clock.seconds()
        if now < self.hangs:
            made.silent = True
        elif now < self.away:
            made.cut()
        else:
            made.later(lambda: made.head(200))
            (self.range if whole else self.watch)(made)

    def range(self, made: Connection) -> None:
        kvs = [
            self.pair(key, value, revision)
            for key, (value, revision) in self.held.items()
        ]
        told = (
            sorted(kvs, key=lambda each: -int(each["mod_revision"]))[:1]
            if made.body.get("keys_only")
            else kvs
        )
        made.say(
            json.dumps(
                {"header": self.header(), "kvs": told, "count": str(len(kvs))}
            ).encode()
        )
        made.end()

    def watch(self, made: Connection) -> None:
        made.since = int(made.body["create_request"]["start_revision"])
        if made.since <= self.compacted:
            return self.tell(made, canceled=True, compact_revision=str(self.compacted))
        self.tell(made, created=True)
        missed = [event for revision, event in self.log if revision >= made.since]
        if missed:
            self.tell(made, events=missed)
        self.watching[made] = None

    def tell(self, made: Connection, **what: Any) -> None:
        made.say(
            json.dumps({"result": {"header": self.header(), **what}}).encode() + b"\n"
        )

    def header(self) -> dict[str, str]:
        return {"cluster_id": str(self.cluster), "revision": str(self.revision)}

    def pair(self, key: str, value: bytes, revision: int) -> dict[str, str]:
        return {
            "key": coded(key),
            "value": coded(value.decode()),
            "mod_revision": str(revision),
        }

    def changed(self, changes: Sequence[tuple[str, bytes | None]]) -> None:
        """One transaction: all at one revision."""
        self.revision += 1
        events = []
        for key, value in changes:
            if value is None:
                del self.held[key]
            else:
                self.held[key] = (value, self.revision)
            events.append(
                {
                    "type": "DELETE" if value is None else "PUT",
                    "kv": self.pair(key, value or b"", self.revision),
                }
            )
        self.log += [(self.revision, each) for each in events]
        for each in list(self.watching):
            if self.revision >= each.since:
                self.tell(each, events=events)

    # Events of a hunt.

    def put(self, place: int, draining: bool, number: int) -> None:
        self.changed([self.value(place, draining, number)])

    def value(self, place: int, draining: bool, number: int) -> tuple[str, bytes]:
        self.serial += 1
        return f"{PREFIX}{place}", json.dumps(
            {
                "id": number,
                "address": "127.0.0.1:9",
                "state": "draining" if draining else "ready",
                "size": self.serial,
                "cell": 0,
            }
        ).encode()

    def delete(self, place: int) -> None:
        if f"{PREFIX}{place}" in self.held:
            self.changed([(f"{PREFIX}{place}", None)])

    def swap(self, place: int, other: int) -> None:
        """One goes and one comes in one transaction."""
        if f"{PREFIX}{place}" in self.held and place != other:
            self.changed([(f"{PREFIX}{place}", None), self.value(other, False, other)])

    def flood(self, count: int) -> None:
        for each in range(count):
            self.put(each % KEYS, each % 3 == 0, each % KEYS)

    def compact(self) -> None:
        self.compacted, self.log = self.revision, []

    def backup(self) -> None:
        self.backups.append((self.revision, dict(self.held)))

    def restore(self, back: int, silently: bool) -> None:
        """The registry is what it was, under a new cluster's id, as its tool does it.

        Its watches break, or stand at something between that does not tell.
        """
        self.cluster += 1
        self.revision, held = self.backups[-1 - back % len(self.backups)]
        self.held, self.log, self.compacted = dict(held), [], self.revision
        watching, self.watching = list(self.watching), {}
        if not silently:
            [each.cut() for each in watching]

    def cut(self) -> None:
        [each.cut() for each in list(self.calls)]

    def silence(self) -> None:
        """What is open stays open, and nothing comes any more."""
        for each in self.calls:
            each.silent = True
        self.watching = {}

    def progress(self) -> None:
        [self.tell(each) for each in self.watching]

    def gone_for(self, tenths: int, hangs: bool) -> None:
        until = self.clock.seconds() + tenths / 10_000
        if hangs:
            self.hangs = until
        else:
            self.away = until
            self.cut()

    def restart(self) -> None:
        self.begin()

    # What must be so.

    def end(self) -> str | None:
        if self.wrong:
            return self.wrong
        there = {
            key: parse_registered_node(json.loads(value))
            for key, (value, _) in self.held.items()
        }
        if self.follower.view.by_key != there:
            return f"the view has {sizes(self.follower.view.by_key)}, the registry {sizes(there)}"
        told, truth = (
            {each.node: each.size for each in self.known.values()},
            {each.id: each.size for each in there.values()},
        )
        return (
            None
            if told == truth
            else f"the module was told {told}, the registry has {truth}"
        )


class Anything:
    """Equal to any number."""

    def __eq__(self, other: object) -> bool:
        return True

    __hash__ = None  # type: ignore[assignment]


@contextmanager
def restored_unseen() -> Iterator[None]:
    with (
        mock.patch.object(registry_watcher, "was_restored", lambda *_: False),
        mock.patch.object(watch_state, "was_restored", lambda *_: False),
    ):
        yield


# One guard out at a time, as hunts must find it.
MUTANTS: dict[str, Callable[[], Any]] = {
    "what is compacted asks for the whole list": lambda: mock.patch.dict(
        WATCHER_TABLE,
        {
            (WatcherState.WATCHING, WatcherEvent.COMPACTED): (
                WatcherState.WATCHING,
                WatcherEffect.NONE,
            ),
            (WatcherState.OPENING, WatcherEvent.COMPACTED): (
                WatcherState.WATCHING,
                WatcherEffect.NONE,
            ),
        },
    ),
    "a broken watch is told": lambda: mock.patch.dict(
        WATCHER_TABLE,
        {
            (WatcherState.WATCHING, WatcherEvent.FAILED): (
                WatcherState.WATCHING,
                WatcherEffect.NONE,
            )
        },
    ),
    "a silent watch is found": lambda: mock.patch.object(
        registry_watcher,
        "has_missed_changes",
        lambda newest, cluster, seen, keys: False,
    ),
    "keys that went are counted": lambda: mock.patch.object(
        EndpointView, "key_count", lambda self: Anything()
    ),
    "a restored registry is found": lambda: restored_unseen(),
    "a box whose key took another id goes": lambda: mock.patch.object(
        EndpointView, "_gone", lambda self, old: {}
    ),
}


def sizes(boxes: dict[str, RegisteredNode]) -> dict[str, int]:
    return {key: int(each.size) for key, each in sorted(boxes.items())}


class ListGame:
    """Histories of one follower."""

    def drawn(self, seed: int) -> list[Event]:
        chance, found = Random(seed), list[Event]()
        kinds: dict[str, tuple[float, Callable[[], tuple[Any, ...]]]] = {
            "put": (
                10,
                lambda: (
                    (place := chance.randrange(KEYS)),
                    chance.random() < 0.3,
                    place + KEYS * (chance.random() < 0.1),
                ),
            ),
            "delete": (4, lambda: (chance.randrange(KEYS),)),
            "swap": (2, lambda: (chance.randrange(KEYS), chance.randrange(KEYS))),
            "flood": (1, lambda: (chance.choice((5, 40, 400)),)),
            "compact": (2, tuple),
            "backup": (2, tuple),
            "restore": (1, lambda: (chance.randrange(3), chance.random() < 0.5)),
            "cut": (3, tuple),
            "silence": (2, tuple),
            "progress": (2, tuple),
            "restart": (1, tuple),
            "gone_for": (
                2,
                lambda: (chance.randrange(2000, 60_000), chance.random() < 0.5),
            ),
        }
        times = sorted(
            int(chance.uniform(0, LASTS) * 10_000)
            for _ in range(chance.randrange(10, 40))
        )
        for at in times:
            close = (
                found and chance.random() < 0.4
            )  # many things happen at nearly one moment
            what = chance.choices(
                list(kinds), [weight for weight, _ in kinds.values()]
            )[0]
            found.append(
                Event(
                    found[-1].at + chance.randrange(400) if close else at,
                    what,
                    kinds[what][1](),
                )
            )
        return sorted(found, key=lambda each: each.at)

    def play(self, seed: int, events: Sequence[Event]) -> str | None:
        kept: list[Any] = [({}, 0)]
        disk = SimpleNamespace(
            read_cache=lambda path: kept[-1],
            write_cache=lambda path, boxes, revision: kept.append(
                (dict(boxes), revision)
            ),
            EndpointCacheNotStoredError=endpoint_cache.EndpointCacheNotStoredError,
        )
        with (
            mock.patch.object(registry_watcher, "endpoint_cache", disk),
            mock.patch.object(endpoint_cache_writer, "endpoint_cache", disk),
            mock.patch.object(endpoint_cache_writer, "deferToThread", maybeDeferred),
        ):
            world = ListWorld(seed)
            for each in events:
                until(world.clock, each.at / 10_000)
                getattr(world, each.what)(*each.values)
            until(world.clock, LASTS + CALM)
            return world.end()


def until(clock: Clock, when: float) -> None:
    """To a time, call by call, so that each is made at its own."""
    while (calls := clock.getDelayedCalls()) and (
        first := min(each.getTime() for each in calls)
    ) <= when:
        clock.advance(max(first - clock.seconds(), 0))
    clock.advance(max(when - clock.seconds(), 0))
