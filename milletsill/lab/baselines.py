"""Baselines that stand in the module's place, in the laboratory only: the same door, no thought.

`fifo`: one queue a box, in turn of arrival, so many out at a time. `flood`: everything at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Any

from milletsill.interface import (
    Answer,
    Arrival,
    Facts,
    Listed,
    News,
    Outcome,
    Port,
    Readiness,
)

OUT_AT_A_BOX = 8


class Fifo:
    """First in, first out; nothing is given up before its client leaves."""

    most_out = OUT_AT_A_BOX

    def __init__(self, facts: Facts, seed: int, now: int, port: Port) -> None:
        self.facts, self.port = facts, port
        self.cells: dict[int, int] = {}
        self.ready: dict[int, int] = {}  # node -> out
        self.queues: dict[int, deque[Arrival]] = {}
        self.held: dict[int, Arrival] = {}
        self.turn = 0
        port.watch()

    def part(
        self, now: int, what: str, id: int, share: float | None, ends: int, after: float
    ) -> None:
        """Knows no rules."""

    def advised(self, now: int, id: int, strain: float, away: bool, until: int) -> None:
        """Hears no advice."""

    def listed(self, now: int, news: News, entries: Sequence[Listed]) -> None:
        if news is News.FAILED:
            return self.port.wake(now + self.facts["ask_within"] // 4, "ask")
        if news is News.WHOLE:
            self.cells.clear()
        for each in entries:
            if each.readiness is Readiness.READY:
                self.cells[each.cell] = each.node
                self.ready.setdefault(each.node, 0)
            elif self.cells.get(each.cell) == each.node:
                del self.cells[each.cell]

    def taken(self, now: int, arrival: Arrival) -> None:
        self.held[arrival.id] = arrival
        self.port.wake(arrival.ends - 2 * self.facts["tick"], arrival.id)
        cell = arrival.cell
        if cell is None and self.cells:
            self.turn += 1
            cell = sorted(self.cells)[self.turn % len(self.cells)]
        self.queues.setdefault(-1 if cell is None else cell, deque()).append(arrival)

    def settle(self, now: int) -> None:
        for cell, queue in self.queues.items():
            node = self.cells.get(cell)
            while queue and node is not None and self.ready[node] < self.most_out:
                arrival = queue.popleft()
                if arrival.id in self.held:
                    self.ready[node] += 1
                    self.port.send(arrival.id, node, 0)

    def returned(self, now: int, answer: Answer) -> None:
        self.ready[answer.node] = self.ready.get(answer.node, 1) - 1
        if answer.over or answer.outcome is Outcome.SATISFIED:
            self.held.pop(answer.id, None)
        elif self.held.pop(answer.id, None) is not None:
            self.port.abort(answer.id)

    def abandoned(self, now: int, transfer: int) -> None:
        self.held.pop(transfer, None)

    def woken(self, now: int, what: Any) -> None:
        if what == "ask":
            self.port.watch()
        elif self.held.pop(what, None) is not None:
            self.port.abort(what)


class Flood(Fifo):
    """Everything at once."""

    most_out = 1 << 30


MODULES = {"fifo": Fifo, "flood": Flood}
