"""Operators' commands to the planner (`milletsill ctl`): shares, freeze, drain."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from milletsill.planner.plan_pb2 import Question, Told
from milletsill.planner.quota_plan import QuotaShare
from milletsill.planner.quota_planner import QuotaPlanner
from milletsill.planner.quota_terms import QuotaKey

TICKS_PER_MS = 10
MAX_ECHOED_COMMAND = 20  # characters of an unknown command that the answer repeats

JsonObject = dict[str, Any]


class ConnectedGateway(Protocol):
    """The state of a gateway's connection that operators see."""

    incarnation: int
    requests: int
    last_heard_at: int


class OperatorCommands:
    """Answers operators' commands.

    Args:
        planner: The planner that the commands inspect and change.
        gateways: The connected gateways by name; the server keeps it up to date.
        now: Returns the present time.
        max_gateways: The most gateways that may be drained at once.
        log_event: Logs an event.
    """

    def __init__(
        self,
        planner: QuotaPlanner,
        gateways: Mapping[str, ConnectedGateway],
        now: Callable[[], int],
        max_gateways: int,
        log_event: Callable[..., None],
    ) -> None:
        self._planner = planner
        self._gateways = gateways
        self._now = now
        self._max_gateways = max_gateways
        self._log_event = log_event
        self._drained: set[str] = set()
        self._commands: dict[str, Callable[[Question], list[JsonObject]]] = {
            "shares": self.shares,
            "edges": self.gateways,
            "freeze": self._freeze,
            "thaw": self._freeze,
            "drain": self._drain,
            "undrain": self._drain,
        }

    def answer(self, question: Question) -> Told:
        """Return the answer as lines of JSON, or an error for an unknown command."""
        command = self._commands.get(question.what)
        if command is None:
            return Told(
                fault=f"no question {question.what[:MAX_ECHOED_COMMAND]!r}; "
                f"there are {', '.join(self._commands)}"
            )
        lines = command(question)[: max(question.most, 1)]
        return Told(line=[json.dumps(line) for line in lines])

    def shares(self, question: Question) -> list[JsonObject]:
        """Return each gateway's share of each quota: loans, grants and wanted share."""
        now = self._now()
        return [
            _describe_share(key, name, share, now)
            for key, quota in sorted(self._planner.quotas.items())
            for name, share in sorted(quota.shares.items())
            if question.edge in ("", name)
        ]

    def gateways(self, question: Question) -> list[JsonObject]:
        """Return the state of each connected gateway."""
        now = self._now()
        return [
            {
                "edge": name,
                "incarnation": gateway.incarnation,
                "epoch": self._planner.epoch,
                "asks": gateway.requests,
                "heard_ms_ago": (now - gateway.last_heard_at) // TICKS_PER_MS,
                "drained": name in self._drained,
                "frozen": self._planner.frozen,
            }
            for name, gateway in sorted(self._gateways.items())
        ]

    def _freeze(self, question: Question) -> list[JsonObject]:
        """Stop planning, so that plans stay as they are, or resume it."""
        self._planner.frozen = question.what == "freeze"
        self._log_event("planning", frozen=self._planner.frozen)
        return [{"frozen": self._planner.frozen}]

    def _drain(self, question: Question) -> list[JsonObject]:
        """Drain a gateway, so that plans treat it as wanting nothing, or undrain it."""
        if question.what == "drain" and len(self._drained) < self._max_gateways:
            self._drained.add(question.edge)
        else:
            self._drained.discard(question.edge)
        self._planner.drained = frozenset(self._drained)
        return [{"edge": question.edge, "drained": question.edge in self._drained}]


def _describe_share(
    key: QuotaKey, gateway: str, share: QuotaShare, now: int
) -> JsonObject:
    lent_until = max([loan.until for loan in share.loans] + [now])
    granted = share.granted(now)
    granted_until = max((grant.until for grant in share.grants), default=now)
    return {
        "what": key.kind.value,
        "id": key.id,
        "edge": gateway,
        "even": share.even_share,
        "want": share.wanted,
        "lent": share.lent(now),
        "lent_for_ms": lent_until // TICKS_PER_MS - now // TICKS_PER_MS,
        "granted": granted,
        "granted_for_ms": granted_until // TICKS_PER_MS - now // TICKS_PER_MS,
        "reported_ms_ago": (now - share.reported_at) // TICKS_PER_MS,
    }
