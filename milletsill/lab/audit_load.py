"""Checks rules 4, 6 and 7.

Rule 4: no node that is warming up is overloaded. Rule 6: retries stay within the retry
budget. Rule 7: volumes stay within the limits of their service plans.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from milletsill.lab.breaches import (
    SOCKET_SLACK,
    Breach,
    attempts_by_request,
    describe_last,
    in_time_order,
)
from milletsill.lab.evidence import (
    Evidence,
    NodeBoot,
    NodeOverload,
    RecordedAttempt,
)
from milletsill.settings.milletsill_pb2 import Scenario

WORK_SLACK_S = 1.0
"""Tolerance on the work that a cold node gets, since a request's cost varies."""
UNKNOWN_WORK = 0.001
"""Seconds of work of a request that neither reads nor writes.

Also the work per unit of a request class that the scenario's traffic lacks.
"""
READ_OR_WRITE = (5, 6)
"""SFTP packet types whose work is proportional to the size of the data."""


class ColdNodeCheck:
    """Rule 4: a cold node gets at most a multiple of the work that it can do.

    The limit applies to each window of `cold_window_ms` until the node is warm, and
    only to windows with more than `cold_units` units.
    """

    def __init__(self, evidence: Evidence, scenario: Scenario) -> None:
        self.rules = scenario.gateway.rules
        self.attempts = in_time_order(evidence.attempts)
        self.window = self.rules.cold_window_ms / 1000
        self.work_per_unit = {
            each.category: each.work_ms / 1000 / self.rules.unit_mean
            for each in scenario.traffic
        }

    def work(self, attempt: RecordedAttempt) -> float:
        """Return the seconds of work that an attempt takes."""
        if attempt.kind not in READ_OR_WRITE:
            return UNKNOWN_WORK
        per_unit = self.work_per_unit.get(attempt.request_class, UNKNOWN_WORK)
        return attempt.units * per_unit

    def capacity(self, boot: NodeBoot, at: float) -> float:
        """Return the seconds of work that a cold node may get within the window."""
        warmth = boot.cold_from + (1 - boot.cold_from) * min(
            (at - boot.at) / boot.cold_s, 1
        )
        return (
            self.rules.cold_multiple * boot.cores * warmth * self.window + WORK_SLACK_S
        )

    def check(self, boot: NodeBoot) -> Breach | None:
        """Return the first breach after a cold start; None if there is none."""
        warm_at = boot.at + boot.cold_s
        attempts = [
            each
            for each in self.attempts
            if each.node == boot.node and boot.at <= each.at < warm_at
        ]
        first = 0
        for place, attempt in enumerate(attempts):
            while attempts[first].at < attempt.at - self.window:
                first += 1
            within = attempts[first : place + 1]
            if sum(each.units for each in within) > self.rules.cold_units and sum(
                self.work(each) for each in within
            ) > self.capacity(boot, attempt.at):
                return Breach(
                    4,
                    f"more work than a cold node can take within {self.window:g} s",
                    describe_last(within),
                )
        return None


def check_cold_nodes(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 4, over all cold starts: no cold node is overloaded, and none crashed."""
    check = ColdNodeCheck(evidence, scenario)
    for note in evidence.notes:
        if isinstance(note, NodeOverload):
            yield Breach(
                4,
                f"node {note.node} crashed of overload",
                [f"{note.at:.4f} node {note.node} crashed"],
            )
        elif isinstance(note, NodeBoot) and note.cold:
            breach = check.check(note)
            if breach is not None:
                yield breach


def check_retry_budget(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 6: the retries in any window stay within the retry budget.

    A gateway may send `further_free` retries per window, and `further_ratio` more for
    each command that it received in the window.
    """
    rules = scenario.gateway.rules
    if not rules.HasField("further_window_ms"):
        return
    window = rules.further_window_ms / 1000
    received: dict[str, list[float]] = defaultdict(list)
    for command in evidence.commands:
        received[command.gateway].append(command.at)
    retries: dict[str, list[RecordedAttempt]] = defaultdict(list)
    for attempt in in_time_order(evidence.attempts):
        if attempt.number:
            retries[attempt.gateway].append(attempt)
    for gateway, attempts in retries.items():
        for place, attempt in enumerate(attempts):
            since = attempt.at - window
            within = [
                each for each in attempts[: place + 1] if each.at > since + SOCKET_SLACK
            ]
            commands = sum(
                since - SOCKET_SLACK <= at <= attempt.at for at in received[gateway]
            )
            if len(within) > rules.further_free + rules.further_ratio * commands:
                yield Breach(
                    6,
                    f"{len(within)} retries within {window:g} s, "
                    f"{commands} commands received",
                    describe_last(within),
                )
                break


def check_limits(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 7: the first attempts for a volume stay within its service plan's limit.

    The limit is a token bucket of units that all gateways share. It is full at the
    start, holds `limit_store` units and refills at `limit_rate` units per second.
    """
    plans = {each.name: each for each in scenario.gateway.plan}
    by_volume: dict[int, list[RecordedAttempt]] = defaultdict(list)
    for attempts in attempts_by_request(evidence).values():
        by_volume[attempts[0].volume].append(attempts[0])
    for volume, attempts in by_volume.items():
        if not 1 <= volume <= len(scenario.gateway.volume):
            continue
        plan = plans[scenario.gateway.volume[volume - 1].plan]
        if not plan.limit_rate:
            continue
        attempts.sort(key=lambda attempt: attempt.at)
        level = plan.limit_store
        at = attempts[0].at
        for attempt in attempts:
            filled = min(level + plan.limit_rate * (attempt.at - at), plan.limit_store)
            level = filled - attempt.units
            at = attempt.at
            if level < -plan.limit_slack - plan.limit_rate * SOCKET_SLACK:
                yield Breach(
                    7,
                    f"volume {volume} is {-level:.1f} units past its limit",
                    [attempt.describe()],
                )
                break
