"""Audits a scenario run against the seven rules of `breaches.RULES`.

The audit relies only on packets that clients, stand-in nodes and the registry stand-in
recorded, never on what a gateway reports about itself. `audit` returns one `Breach` for
each violation, with the packets that show it. The checks tolerate the delay of a packet
on the sockets of a busy machine (`SOCKET_SLACK`); the report states the tolerance.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from milletsill.lab.audit_answers import check_answers, check_retries
from milletsill.lab.audit_load import (
    check_cold_nodes,
    check_limits,
    check_retry_budget,
)
from milletsill.lab.breaches import SOCKET_SLACK, Breach
from milletsill.lab.evidence import Evidence, ListedState, RecordedAttempt
from milletsill.settings.milletsill_pb2 import Scenario


@dataclass(frozen=True, slots=True)
class NotReady:
    """The last listed state of a node that is not ready, and since when it is not."""

    state: str
    since: float


def not_ready_at(states: list[ListedState], at: float) -> NotReady | None:
    """Return since when a node is listed as not ready at a time; None if it is ready.

    `states` are the states that the registry sent to one gateway, in time order.
    """
    found: NotReady | None = None
    for listed in states:
        if listed.at > at:
            break
        if listed.state == "ready":
            found = None
        else:
            since = listed.at if found is None else found.since
            found = NotReady(listed.state, since)
    return found


def check_drains(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 3: no attempt is sent to a draining or removed node after the drain grace.

    The grace starts when the registry sends the node's new state to the gateway.
    """
    grace = scenario.gateway.rules.drain_grace_ms / 1000 + SOCKET_SLACK
    by_pair: dict[tuple[str, int], list[ListedState]] = defaultdict(list)
    for gateway, states in evidence.listed_states.items():
        for listed in states:
            by_pair[gateway, listed.node].append(listed)
    for attempt in evidence.attempts:
        states = by_pair.get((attempt.gateway, attempt.node), [])
        not_ready = not_ready_at(states, attempt.at)
        if not_ready is not None and attempt.at > not_ready.since + grace:
            yield Breach(
                3,
                f"sent {attempt.at - not_ready.since:.3f} s after the registry told "
                f"the gateway that the node is {not_ready.state}",
                [attempt.describe()],
            )


def check_key_order(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 5: requests of one key run one at a time, in the order of their ids.

    The rule covers request classes with `in_order`. A node may still work on an attempt
    that it never answered, so such an attempt counts as running for `key_rest_ms`.
    """
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
                yield Breach(5, "two requests of one key at once", lines)
            elif before.request > after.request:
                yield Breach(5, "a key's requests out of order", lines)


CHECKS: dict[int, Callable[[Evidence, Scenario], Iterator[Breach]]] = {
    1: check_answers,
    2: check_retries,
    3: check_drains,
    4: check_cold_nodes,
    5: check_key_order,
    6: check_retry_budget,
    7: check_limits,
}


def audit(evidence: Evidence, scenario: Scenario) -> dict[int, list[Breach]]:
    """Return the breaches by rule number; the list of a rule that holds is empty."""
    return {rule: list(check(evidence, scenario)) for rule, check in CHECKS.items()}
