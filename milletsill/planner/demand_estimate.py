"""What an edge wants of a thing, and when it asks."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.planner.quota_terms import SECOND, SOON, WHOLE, Grant, Span

UP, DOWN = 2 * SECOND, 3 * SECOND


@dataclass(slots=True)
class Demand:
    """Units asked of one thing at one edge: a rate, smoothed over about a second. `due` is when it is next asked for."""

    rate: float = 0.0
    units: float = 0.0
    since: int = 0
    last: int = 0
    due: int = 0

    def asks(self, now: int, rate: float, span: Span) -> bool:
        """Whether to ask now: each time while it is in use, else so often that a promise does not run out between."""
        if rate <= 0 and now - self.last > span.longest and now < self.due:
            return False
        self.due = now + span.longest // SOON
        return True

    def told(self, grant: Grant, now: int) -> None:
        """When to ask again while nothing is wanted; at once where something was lent, so that the planner may count on it."""
        self.due = now if grant.lend and grant.again <= 0 else now + max(grant.again, 0)

    def add(self, units: float, now: int) -> None:
        self.units, self.last = self.units + units, now

    def look(self, now: int) -> float:
        """Units a second, as of now; called with each ask."""
        span = now - self.since
        if span >= SECOND // 10:
            fresh = self.units * SECOND / span
            # Up within UP, down within DOWN: a part that is given back too soon is asked for again with the next burst, and one
            # that a single large transfer asks for is missed elsewhere.
            self.rate += (fresh - self.rate) * min(
                span / (UP if fresh >= self.rate else DOWN), 1.0
            )
            self.units, self.since = 0.0, now
        return self.rate


def wanted(rate: float, waiting: float) -> float:
    """Units a second that would carry what arrives and send what waits within a second. Guards against clients that ask for no
    more until they are answered: what arrives is then no more than what the present part lets through. Harm: what waits for
    another reason (a slow box) asks for parts that it cannot use, for as long as it waits.
    """
    return rate + waiting


def want_of(rate: float, whole: float) -> int:
    """What part of a whole, units a second, carries a rate."""
    return WHOLE if whole <= 0 else min(max(round(rate / whole * WHOLE), 0), WHOLE)
