"""Answers of this gateway's own dispatches as words on boxes: what came to nothing, what came late, and the pace beside the
usual one of boxes of its kind with as much in work, size by size. No I/O, no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from math import exp, log2
from statistics import median
from typing import Any

from milletsill.deployment_config import DeploymentConfig
from milletsill.fleet.health.health_evaluator import (
    FAINT,
    KNOWN,
    MOST_KINDS,
    MOST_PACE,
    MOST_PACES,
    SIZES,
    TAU,
)
from milletsill.fleet.health.report_store import Word
from milletsill.interface import AttemptResult, Request, Endpoint, AttemptOutcome

LOST = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.RESET,
    AttemptOutcome.ERROR,
)


class Usual:
    """The median of log2 of the last paces."""

    def __init__(self) -> None:
        self.last: deque[float] = deque(maxlen=MOST_PACES)
        self.value, self.left = 0.0, 0

    def learn(self, pace: float) -> float | None:
        """How far a pace is from the usual; None until that is known."""
        self.last.append(pace)
        self.left -= 1
        if self.left <= 0:
            self.value, self.left = median(self.last), len(self.last) // 8
        return pace - self.value if len(self.last) >= KNOWN else None


class Sight:
    """What was seen of one box of late; all fade alike."""

    __slots__ = ("at", "seen", "lost", "waste", "paced", "pace", "told")

    def __init__(self, now: int) -> None:
        self.at, self.seen, self.lost, self.waste, self.paced, self.pace, self.told = (
            now,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            True,
        )

    def add(self, lost: bool, waste: bool, past: float | None) -> None:
        """One answer: whether it came to nothing, was of no use, and how far from the usual pace, as log2."""
        self.seen, self.lost, self.waste, self.told = (
            self.seen + 1,
            self.lost + lost,
            self.waste + waste,
            False,
        )
        if past is not None:
            self.paced, self.pace = (
                self.paced + 1,
                self.pace + min(max(past, -MOST_PACE), MOST_PACE),
            )

    def fade(self, now: int) -> None:
        left, self.at = exp(-max(now - self.at, 0) / TAU), now
        self.seen, self.lost, self.waste = (
            self.seen * left,
            self.lost * left,
            self.waste * left,
        )
        self.paced, self.pace = self.paced * left, self.pace * left


class Observer:
    """All boxes as one gateway sees them."""

    def __init__(self, config: DeploymentConfig) -> None:
        self.targets = [each.latency_objective for each in config.request_classes]
        self.sights: dict[int, Sight] = {}
        self.usual: dict[tuple[Any, ...], Usual] = {}
        self.listed: dict[int, Endpoint] = {}
        self.ill = False  # something since the last row came to nothing

    def list(self, entries: Sequence[Endpoint]) -> None:
        for each in entries:
            self.listed[each.node] = each

    def forget(self, boxes: Any) -> None:
        """Boxes that are listed no longer."""
        for held in (self.sights, self.listed):
            for box in [each for each in held if each not in boxes]:
                del held[box]

    def answer(self, now: int, arrival: Request, answer: AttemptResult) -> None:
        """One dispatch has ended. What was called off, turned away by a full box or overtaken says nothing of its health."""
        entry = self.listed.get(answer.node)
        if entry is None or answer.outcome not in LOST + (AttemptOutcome.SUCCEEDED,):
            return
        sight = self.sights.get(answer.node) or self.sights.setdefault(
            answer.node, Sight(now)
        )
        sight.fade(now)
        lost = answer.outcome is not AttemptOutcome.SUCCEEDED
        late = not lost and answer.latency > self.targets[arrival.request_class]
        past = None if lost else self.pace(entry, arrival, answer)
        sight.add(lost, lost or late, past)
        self.ill |= lost or past is not None and past > 1

    def pace(
        self, entry: Endpoint, arrival: Request, answer: AttemptResult
    ) -> float | None:
        """How much longer than usual, as log2: for its kind, size, and what it had in work. A box that reports nothing of that
        is taken as one with nothing in work: then much work looks like a slow box, and only the bounds hold.
        """
        cores = max(entry.size, 1.0)
        work = answer.load_report.get(
            "inflight",
            answer.load_report.get("queue", 0.0)
            + answer.load_report.get("busy", 0.0) * cores,
        )
        pace = log2(
            max(answer.latency, 1)
            / max(arrival.units, 1e-6)
            / max((work + 1) / cores, 1.0)
        )
        kind = (
            entry.kind,
            entry.size,
            arrival.is_write,
            int(log2(max(arrival.units, 1)) / SIZES),
        )
        usual = self.usual.get(kind)
        if usual is None:
            if len(self.usual) >= MOST_KINDS:
                return None
            usual = self.usual[kind] = Usual()
        return usual.learn(pace)

    def words(self, now: int) -> dict[int, Word]:
        """Those that have news since they were last told."""
        self.ill = False
        return words_of(self.sights, now)


def urgent(sights: dict[int, Sight], called: Iterable[int]) -> bool:
    """Whether there is news of a box that is called: few try it, so each of their words counts."""
    return any(box in sights and not sights[box].told for box in called)


def words_of(sights: dict[int, Sight], now: int) -> dict[int, Word]:
    """What was not told yet."""
    found = {}
    for box, each in sights.items():
        if not each.told:
            each.fade(now)
            each.told = True
            if each.seen > FAINT:
                found[box] = Word(
                    0,
                    now,
                    each.seen,
                    each.lost / each.seen,
                    each.waste / each.seen,
                    each.paced,
                    each.pace / each.paced if each.paced > 0 else 0.0,
                )
    return found
