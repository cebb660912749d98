"""Counts what the audit of contracts checked, and how long kills stopped channels."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from milletsill.lab.audit_contracts import ORDER_TITLES
from milletsill.lab.channel_history import OK, ChannelHistory, channel_histories
from milletsill.lab.evidence import Evidence
from milletsill.settings.milletsill_pb2 import Scenario


@dataclass(frozen=True, slots=True)
class GatewayKill:
    """Gateways that were killed together."""

    at: float
    gateways: Sequence[str]


@dataclass(slots=True)
class ContractFigures:
    """Counts over all channels whose contracts have the same order.

    `interruptions` holds, for each kill of a channel's owner, the seconds until the
    channel's next number was settled.
    """

    channels: int = 0
    claims: int = 0
    numbers: int = 0
    settled: int = 0
    without_effect: int = 0
    written: int = 0
    repeated_answers: int = 0
    interruptions: list[float] = field(default_factory=list)

    def add(self, history: ChannelHistory, kills: Sequence[GatewayKill]) -> None:
        """Count one channel."""
        self.channels += 1
        self.claims += sum(each.opening is not None for each in history.openings)
        self.numbers += len(history.commands)
        self.settled += len(history.settled)
        self.without_effect += len(history.ended)
        self.written += len(history.effects)
        settled_answers = sum(
            answer.code == OK
            for commands in history.commands.values()
            for command in commands
            for answer in command.answers
        )
        self.repeated_answers += settled_answers - len(history.settled)
        for kill in kills:
            seconds = interruption(history, kill)
            if seconds is not None:
                self.interruptions.append(seconds)

    def by_title(self) -> dict[str, float]:
        """Return the figures by the titles that a report prints, in its order."""
        figures: dict[str, float] = {
            "channels": self.channels,
            "claims": self.claims,
            "numbers": self.numbers,
            "settled": self.settled,
            "without effect": self.without_effect,
            "written": self.written,
            "repeated answers": self.repeated_answers,
        }
        if self.interruptions:
            seconds = sorted(self.interruptions)
            figures["owners killed"] = len(seconds)
            figures["interruption, median s"] = round(seconds[len(seconds) // 2], 2)
            figures["longest interruption, s"] = round(seconds[-1], 2)
        return figures


def interruption(history: ChannelHistory, kill: GatewayKill) -> float | None:
    """Return the seconds from a kill until the channel's next number was settled.

    The result is None where no killed gateway released the channel's last number before
    the kill, and where none was settled after it.
    """
    before = [each.gateway for each in history.effects if each.at < kill.at]
    after = [at for at in history.settled.values() if at > kill.at]
    if not before or before[-1] not in kill.gateways or not after:
        return None
    return min(after) - kill.at


def contract_figures(
    evidence: Evidence, scenario: Scenario, kills: Sequence[GatewayKill]
) -> dict[str, ContractFigures]:
    """Return the figures by the title of the contract's order."""
    found: dict[str, ContractFigures] = {}
    for history in channel_histories(evidence, scenario):
        title = ORDER_TITLES.get(history.order, "unknown")
        found.setdefault(title, ContractFigures()).add(history, kills)
    return found
