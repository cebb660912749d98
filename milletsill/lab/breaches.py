"""Defines the audit's rules, a breach of one, and helpers that all checks share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from milletsill.lab.evidence import Evidence, RecordedAttempt

SOCKET_SLACK = 0.06
"""Seconds by which a packet may be read after it was written, on a busy machine."""
MAX_PACKETS_SHOWN = 5
RULES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "no attempts to draining nodes",
    4: "no cold node overloaded",
    5: "requests of a key in order",
    6: "retry budget",
    7: "volume limits",
}


@dataclass(slots=True)
class Breach:
    """A violation of a rule, with the packets that show it as lines of a report.

    `rule` is a key of `RULES`, or 0 for the ordering contract of a channel.
    """

    rule: int
    text: str
    packets: list[str] = field(default_factory=list)


def describe_last(attempts: Sequence[RecordedAttempt]) -> list[str]:
    """Return the last few attempts as lines of a report."""
    return [attempt.describe() for attempt in attempts[-MAX_PACKETS_SHOWN:]]


def in_time_order(attempts: list[RecordedAttempt]) -> list[RecordedAttempt]:
    """Return attempts in the order in which the nodes read them."""
    return sorted(attempts, key=lambda attempt: attempt.at)


def attempts_by_request(
    evidence: Evidence,
) -> dict[tuple[str, int, int], list[RecordedAttempt]]:
    """Return attempts by gateway, incarnation and request id, each in time order."""
    found: dict[tuple[str, int, int], list[RecordedAttempt]] = defaultdict(list)
    for attempt in in_time_order(evidence.attempts):
        found[attempt.gateway, attempt.incarnation, attempt.request].append(attempt)
    return found
