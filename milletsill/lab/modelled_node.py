"""A simulated storage node: a model of its work on the simulated clock.

Times are ticks of 0.1 ms.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol

from milletsill.interface import AttemptOutcome
from milletsill.lab.engine import Engine, Job, Speed
from milletsill.lab.simulated_clock import SECOND
from milletsill.lab.simulated_request import SimulatedAttempt
from milletsill.settings.milletsill_pb2 import BoxKind, NodeRules

NETWORK_DELAY = 5  # between a gateway and a node, each way

OnAttemptEnded = Callable[[AttemptOutcome], None]


class NodeSurroundings(Protocol):
    """The part of the simulation that a node uses."""

    now: int
    report_fields: list[str]

    def call_at(self, when: int, call: Callable[..., object], *values: Any) -> None:
        """Schedule a call for a time."""


class ModelledNode:
    """A node that answers attempts in the time its engine model takes for them."""

    def __init__(
        self,
        simulation: NodeSurroundings,
        kind: BoxKind,
        rules: NodeRules,
        seed: int,
    ) -> None:
        self.simulation = simulation
        self.rules = rules
        self.random = Random(seed)
        self._next_check = 0
        now = simulation.now / SECOND
        self.engine = Engine(kind, rules, self.random, now, False, Speed())

    def take(self, attempt: SimulatedAttempt, on_ended: OnAttemptEnded) -> None:
        """Start an attempt, queue it, or reject it."""
        now = self.simulation.now / SECOND
        request = attempt.request.request
        self.finish(self.engine.advance(now))
        job = self.engine.take(
            now,
            attempt.request.work,
            request.units,
            request.key,
            attempt.number == 0,
            request.is_write,
            request.deadline / SECOND,
            on_ended,
        )
        if job is None:
            arrives_at = self.simulation.now + NETWORK_DELAY
            self.simulation.call_at(arrives_at, on_ended, AttemptOutcome.REJECTED)
        self._schedule_check()

    def _schedule_check(self) -> None:
        """Schedule a check at the next end of work; it replaces the previous one."""
        if not self.engine.working:
            return
        soonest = self.engine.soonest(self.simulation.now / SECOND)
        self._next_check = self.simulation.now + max(int(soonest * SECOND) + 1, 1)
        self.simulation.call_at(self._next_check, self._check, self._next_check)

    def _check(self, due: int) -> None:
        if due == self._next_check:
            self.finish(self.engine.advance(self.simulation.now / SECOND))
            self._schedule_check()

    def finish(self, jobs: Sequence[Job]) -> None:
        """Answer the attempts whose work is done."""
        for job in jobs:
            if job.what is not None:
                arrives_at = self.simulation.now + NETWORK_DELAY
                self.simulation.call_at(arrives_at, job.what, AttemptOutcome.SUCCEEDED)

    def report(self) -> dict[str, float]:
        """Return the load report that the node sends with an answer."""
        engine = self.engine
        load = {
            "queue": float(len(engine.queue)),
            "inflight": float(len(engine.queue) + len(engine.working)),
            "busy": min(len(engine.working) / engine.kind.cores, 1.0),
        }
        return {
            name: load[name] for name in self.simulation.report_fields if name in load
        }
