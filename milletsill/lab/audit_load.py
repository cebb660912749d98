"""Rules 4, 6 and 7: the load of cold nodes, the retry budget, the volumes' limits."""

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

WORK_SLACK = 1.0
"""Seconds of work of a cold node, for chance in what a request costs."""
UNKNOWN_WORK = 0.001
"""Seconds of work a unit of what is neither read nor written."""
READ_OR_WRITE = (5, 6)
"""SFTP types of packets whose work grows with their size."""


class ColdNodeCheck:
    """Rule 4: a cold node gets no more than a multiple of what it can do."""

    def __init__(self, evidence: Evidence, scenario: Scenario) -> None:
        self.rules = scenario.gateway.rules
        self.attempts = in_time_order(evidence.attempts)
        self.window = self.rules.cold_window_ms / 1000
        self.work_per_unit = {
            each.category: each.work_ms / 1000 / self.rules.unit_mean
            for each in scenario.traffic
        }

    def work(self, attempt: RecordedAttempt) -> float:
        """Return the seconds of work that an attempt means."""
        if attempt.kind not in READ_OR_WRITE:
            return UNKNOWN_WORK
        per_unit = self.work_per_unit.get(attempt.request_class, UNKNOWN_WORK)
        return attempt.units * per_unit

    def capacity(self, boot: NodeBoot, at: float) -> float:
        """Return the seconds of work that a cold node may get within the window."""
        warmth = boot.cold_from + (1 - boot.cold_from) * min(
            (at - boot.at) / boot.cold_s, 1
        )
        return self.rules.cold_multiple * boot.cores * warmth * self.window + WORK_SLACK

    def check(self, boot: NodeBoot) -> Breach | None:
        """Return the first breach after a cold start, if there is one."""
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
                    f"more than a cold box bears within {self.window:g} s",
                    describe_last(within),
                )
        return None


def check_cold_nodes(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 4, over all cold starts; and no node fell."""
    check = ColdNodeCheck(evidence, scenario)
    for note in evidence.notes:
        if isinstance(note, NodeOverload):
            yield Breach(
                4,
                f"box {note.node} fell over",
                [f"{note.at:.4f} box {note.node} fell"],
            )
        elif isinstance(note, NodeBoot) and note.cold:
            breach = check.check(note)
            if breach is not None:
                yield breach


def check_retry_budget(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 6: retries in any window against the commands that came in it."""
    rules = scenario.gateway.rules
    if not rules.HasField("further_window_ms"):
        return
    window = rules.further_window_ms / 1000
    taken: dict[str, list[float]] = defaultdict(list)
    for command in evidence.commands:
        taken[command.gateway].append(command.at)
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
                since - SOCKET_SLACK <= at <= attempt.at for at in taken[gateway]
            )
            if len(within) > rules.further_free + rules.further_ratio * commands:
                yield Breach(
                    6,
                    f"{len(within)} further dispatches within {window:g} s, "
                    f"{commands} commands taken",
                    describe_last(within),
                )
                break


def check_limits(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 7: first attempts for a volume against its plan's limit.

    The limit is a store of units that is full at the start and fills at a rate; all
    gateways draw on it.
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
