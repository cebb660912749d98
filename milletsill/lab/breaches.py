"""A broken rule, and what all checks of the audit share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from milletsill.lab.evidence import Evidence, RecordedAttempt

SOCKET_SLACK = 0.06
"""Seconds between a packet's being written and its being read on a busy machine."""
MAX_PACKETS_SHOWN = 5
RULES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "drains are kept",
    4: "no cold box pushed over",
    5: "order by key",
    6: "budget of further dispatches",
    7: "limits",
}


@dataclass(slots=True)
class Breach:
    """A broken rule and the packets that show it; rule 0 is a channel's contract."""

    rule: int
    text: str
    packets: list[str] = field(default_factory=list)


def describe_last(attempts: Sequence[RecordedAttempt]) -> list[str]:
    """Return the last few attempts as lines of a report."""
    return [attempt.describe() for attempt in attempts[-MAX_PACKETS_SHOWN:]]


def in_time_order(attempts: list[RecordedAttempt]) -> list[RecordedAttempt]:
    """Return attempts in the order in which nodes read them."""
    return sorted(attempts, key=lambda attempt: attempt.at)


def attempts_by_request(
    evidence: Evidence,
) -> dict[tuple[str, int, int], list[RecordedAttempt]]:
    """Return attempts by gateway, incarnation and request, in the order of time."""
    found: dict[tuple[str, int, int], list[RecordedAttempt]] = defaultdict(list)
    for attempt in in_time_order(evidence.attempts):
        found[attempt.gateway, attempt.incarnation, attempt.request].append(attempt)
    return found
