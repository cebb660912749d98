"""Checks the seven rules from what crossed the sockets; gateways have no say in it.

`audit` gives one `Breach` for each thing found, with the packets that show it. Slacks
are for the way through the sockets of a busy machine, and stated in the report.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from milletsill.lab.audit_answers import check_answers, check_repeats
from milletsill.lab.audit_load import (
    check_cold_nodes,
    check_limits,
    check_retry_budget,
)
from milletsill.lab.breaches import SOCKET_SLACK, Breach
from milletsill.lab.evidence import Evidence, ListedState, RecordedAttempt
from milletsill.settings.milletsill_pb2 import Scenario


@dataclass(frozen=True, slots=True)
class Unlisting:
    """A node is not listed as ready, and since when; its state as told last."""

    state: str
    since: float


def unlisting(states: list[ListedState], at: float) -> Unlisting | None:
    """Return whether and since when a node was told then to be other than ready."""
    found: Unlisting | None = None
    for listed in states:
        if listed.at > at:
            break
        if listed.state == "ready":
            found = None
        else:
            since = listed.at if found is None else found.since
            found = Unlisting(listed.state, since)
    return found


def check_drains(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 3: nothing to a node that drains or is gone, later than the grace.

    The grace counts from when the gateway was told so.
    """
    grace = scenario.gateway.rules.drain_grace_ms / 1000 + SOCKET_SLACK
    by_pair: dict[tuple[str, int], list[ListedState]] = defaultdict(list)
    for gateway, states in evidence.listed_states.items():
        for listed in states:
            by_pair[gateway, listed.node].append(listed)
    for attempt in evidence.attempts:
        states = by_pair.get((attempt.gateway, attempt.node), [])
        told = unlisting(states, attempt.at)
        if told is not None and attempt.at > told.since + grace:
            yield Breach(
                3,
                f"sent {attempt.at - told.since:.3f} s after the gateway was told that "
                f"the box is {told.state}",
                [attempt.describe()],
            )


def check_key_order(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 5: requests of one key run one at a time, in the order of their numbers."""
    ordered = {each.name for each in scenario.gateway.category if each.in_order}
    rest = scenario.gateway.rules.key_rest_ms / 1000
    by_key: dict[tuple[str, int, int], list[RecordedAttempt]] = defaultdict(list)
    for attempt in evidence.attempts:
        if attempt.request_class in ordered and attempt.key:
            key = (attempt.gateway, attempt.incarnation, attempt.key)
            by_key[key].append(attempt)
    for attempts in by_key.values():
        attempts.sort(key=lambda attempt: attempt.at)
        for before, after in zip(attempts, attempts[1:], strict=False):
            ends = before.ended_at
            if ends is None:
                ends = before.at + rest
            lines = [before.describe(), after.describe()]
            if before.request != after.request and after.at < ends - SOCKET_SLACK:
                yield Breach(5, "two transfers of one key at once", lines)
            elif before.request > after.request:
                yield Breach(5, "a key's transfers out of turn", lines)


CHECKS: dict[int, Callable[[Evidence, Scenario], Iterator[Breach]]] = {
    1: check_answers,
    2: check_repeats,
    3: check_drains,
    4: check_cold_nodes,
    5: check_key_order,
    6: check_retry_budget,
    7: check_limits,
}


def audit(evidence: Evidence, scenario: Scenario) -> dict[int, list[Breach]]:
    """Return the breaches of every rule; a rule that was kept has none."""
    return {rule: list(check(evidence, scenario)) for rule, check in CHECKS.items()}
