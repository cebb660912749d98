"""Stands between a host and the decision module, both ways: what the module is told and what it does goes to a writer, in
order. Neither of them knows of it, and without it none of this is loaded.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from milletsill.interface import Answer, Arrival, Decisions, Facts, Listed, News, Port

Put = Callable[..., None]
Make = Callable[[Facts, int, int, Port], Decisions]


class Taker(Protocol):
    """Takes one record and never blocks; `trace.writer.Writer` is one."""

    def put(self, name: str, at: int, *values: Any) -> None: ...


class Ring:
    """A wake with the number that the trace knows it by."""

    __slots__ = ("number", "what")

    def __init__(self, number: int, what: object) -> None:
        self.number, self.what = number, what


class Done:
    """The Port of the module: each action is recorded, then passed to the host."""

    def __init__(self, port: Port, put: Put, now: int) -> None:
        self.port, self.put, self.now, self.wakes = port, put, now, 0

    def send(self, transfer: int, node: int, timeout: int) -> None:
        self.put("dispatch", self.now, transfer, node, timeout)
        self.port.send(transfer, node, timeout)

    def decline(self, transfer: int, pause: int) -> None:
        self.put("declined", self.now, transfer, pause)
        self.port.decline(transfer, pause)

    def abort(self, transfer: int) -> None:
        self.put("aborted", self.now, transfer)
        self.port.abort(transfer)

    def cancel(self, transfer: int, number: int) -> None:
        self.put("cancelled", self.now, transfer, number)
        self.port.cancel(transfer, number)

    def watch(self) -> None:
        self.put("watch", self.now)
        self.port.watch()

    def fetch(self) -> None:
        self.put("fetch", self.now)
        self.port.fetch()

    def probe(self, node: int) -> None:
        self.put("probe", self.now, node)
        self.port.probe(node)

    def wake(self, at: int, what: object) -> None:
        self.wakes += 1
        self.put("wake", self.now, at)
        self.port.wake(at, Ring(self.wakes, what))

    def remark(self, text: str) -> None:
        self.put("remark", self.now, text)
        self.port.remark(text)


class Told:
    """The module as the host sees it: each input is recorded, then passed on. `path` is of the next arrival."""

    def __init__(
        self,
        make: Make,
        facts: Facts,
        seed: int,
        now: int,
        port: Port,
        put: Put,
        names: Sequence[str],
    ) -> None:
        self.put, self.names, self.path = put, names, ""
        self.done = Done(port, put, now)
        self.module = make(facts, seed, now, self.done)

    def listed(self, now: int, news: News, entries: Sequence[Listed]) -> None:
        self.done.now = now
        self.put("listed", now, news.value, len(entries))
        for each in entries:
            self.put(
                "listing",
                now,
                each.node,
                each.readiness.value,
                each.size,
                each.kind,
                each.zone,
                each.since or 0,
                each.since is not None,
                each.cell,
            )
        self.module.listed(now, news, entries)

    def taken(self, now: int, arrival: Arrival) -> None:
        self.done.now = now
        each, names = arrival, self.names
        store = (
            names[each.volume - 1]
            if 0 < each.volume <= len(names)
            else str(each.volume)
        )
        self.put(
            "arrival",
            now,
            each.id,
            each.extent,
            each.volume,
            store,
            each.gateways,
            each.category,
            each.plan,
            each.repeat,
            each.write,
            -1 if each.cell is None else each.cell,
            each.units,
            each.ends,
            self.path,
        )
        self.path = ""
        self.module.taken(now, arrival)

    def returned(self, now: int, answer: Answer) -> None:
        self.done.now = now
        self.put(
            "outcome",
            now,
            answer.id,
            answer.number,
            answer.node,
            answer.outcome.value,
            answer.over,
            answer.latency,
            -1 if answer.used is None else answer.used,
            answer.elsewhere,
            json.dumps(answer.report, sort_keys=True) if answer.report else "",
        )
        self.module.returned(now, answer)

    def abandoned(self, now: int, transfer: int) -> None:
        self.done.now = now
        self.put("abandoned", now, transfer)
        self.module.abandoned(now, transfer)

    def woken(self, now: int, what: Any) -> None:
        self.done.now = now
        self.put("woken", now, what.number)
        self.module.woken(now, what.what)

    def part(
        self, now: int, what: str, id: int, share: float | None, ends: int, after: float
    ) -> None:
        self.done.now = now
        self.put("part", now, what, id, -1.0 if share is None else share, ends, after)
        self.module.part(now, what, id, share, ends, after)

    def advised(self, now: int, id: int, strain: float, away: bool, until: int) -> None:
        self.done.now = now
        self.put("advised", now, id, strain, int(away), until)
        self.module.advised(now, id, strain, away, until)

    def settle(self, now: int) -> None:
        self.done.now = now
        self.put("settled", now)
        self.module.settle(now)


class Recorder:
    """One instance's record. `names` are the stores' by number, from 1; `make` is given to the host in the module's place."""

    def __init__(self, writer: Taker, names: Sequence[str]) -> None:
        self.writer, self.names = writer, names
        self.told: Told | None = None
        self.made = 0  # when the module was: part of what a replay needs

    def around(self, make: Make) -> Make:
        """The same module with its record."""

        def made(facts: Facts, seed: int, now: int, port: Port) -> Decisions:
            self.made = now
            self.told = Told(make, facts, seed, now, port, self.writer.put, self.names)
            return self.told

        return made

    def path(self, path: str) -> None:
        """What the next arrival is about."""
        if self.told is not None:
            self.told.path = path

    def command(
        self,
        now: int,
        began: int,
        store: str,
        plan: int,
        category: int,
        operation: str,
        units: float,
        legs: int,
        tries: int,
        final: str,
        why: str,
    ) -> None:
        """What a client asked for, with its answer."""
        self.writer.put(
            "command",
            now,
            began,
            now - began,
            store,
            plan,
            category,
            operation,
            units,
            legs,
            tries,
            final,
            why,
        )
