"""Log events of the fleet, limited in rate."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from milletsill.errors import MilletsillError
from milletsill.fleet import errors
from milletsill.fleet.membership.effects import OperatorEvent, OperatorEventKind
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.service_config import FleetCallbacks, FleetServiceConfig
from milletsill.fleet.transport import MemberChange, View

# Times are in tenths of a millisecond.
ERROR_INTERVAL = 100_000  # between two log events with the same cause
MEMBER_LINES_INTERVAL = 10_000  # in which MAX_MEMBER_LINES events are logged
MIN_LOGGED_STALL = 5000
TICKS_PER_MILLISECOND = 10

MAX_MEMBER_LINES = 50  # member changes logged per interval; metrics count the rest


class OperatorLog:
    """Writes the fleet's log events; docs/fleet.md describes each."""

    def __init__(
        self,
        config: FleetServiceConfig,
        callbacks: FleetCallbacks,
        now: Callable[[], int],
    ) -> None:
        self._config = config
        self._callbacks = callbacks
        self._now = now
        self._last_logged: dict[str, int] = {}
        self._member_lines = 0
        self._member_lines_since = 0

    def on_joining(self, address: str, incarnation: int) -> None:
        """Log that the service has started and joins the fleet."""
        self._callbacks.info(
            "fleet_joining",
            fleet=self._config.fleet,
            address=address,
            run=incarnation,
            join=len(self._config.seeds),
        )

    def on_view(self, view: View) -> None:
        """Log a new view."""
        self._callbacks.info(
            "view",
            version=view.version,
            members=len(view.members),
            digest=f"{view.digest:016x}",
        )

    def on_member_change(self, changed: MemberChange) -> None:
        """Log a change of one member, unless the interval's limit is reached."""
        now = self._now()
        if now - self._member_lines_since >= MEMBER_LINES_INTERVAL:
            self._member_lines = 0
            self._member_lines_since = now
        self._member_lines += 1
        if self._member_lines > MAX_MEMBER_LINES:
            return
        self._callbacks.info(
            "member",
            change=changed.change.name.lower(),
            member=changed.member.name,
            run=changed.member.incarnation,
            address=changed.member.address,
        )

    def on_rejected_frame(self, cause: str, error: MilletsillError) -> None:
        """Log a rejected frame, at most once per interval and cause."""
        if self._is_due(cause):
            self._log_error(error)

    def on_no_peers(self) -> None:
        """Log that no other gateway has answered since the start."""
        where = f"fleet {self._config.fleet!r}"
        self._log_error(
            errors.NoPeersReachableError(
                "no other gateway has answered since the start", where
            )
        )

    def on_event(self, event: OperatorEvent, membership: Membership) -> None:
        """Log an event that the membership reports to the operator."""
        match event.kind:
            case OperatorEventKind.INCARNATION_LOST:
                self._on_incarnation_lost(event, membership)
            case OperatorEventKind.DUPLICATE_NAME:
                self._on_duplicate_name(event, membership)
            case OperatorEventKind.MEMBER_LIMIT:
                self._on_member_limit(event)
            case OperatorEventKind.STALLED:
                if event.duration >= MIN_LOGGED_STALL:
                    duration = event.duration / TICKS_PER_MILLISECOND
                    self._callbacks.warn("fleet_stalled", ms=duration)
            case OperatorEventKind.REFUTED:
                self._callbacks.warn("fleet_refuted", doubt=membership.health.score)

    def _on_incarnation_lost(
        self, event: OperatorEvent, membership: Membership
    ) -> None:
        what = (
            f"other gateways know incarnation {event.incarnation} of "
            f"{self._config.name!r}, at {event.location}"
        )
        self._log_error(
            errors.IncarnationLostError(what, "state_dir"),
            run=membership.state.local.entry.incarnation,
        )

    def _on_duplicate_name(self, event: OperatorEvent, membership: Membership) -> None:
        what = f"another running gateway has the name {self._config.name!r}"
        self._log_error(
            errors.DuplicateMemberNameError(what, event.location),
            resting=membership.state.local.is_displaced,
        )

    def _on_member_limit(self, event: OperatorEvent) -> None:
        if not self._is_due("full"):
            return
        limit = self._config.membership.max_members
        what = f"member {event.location!r} exceeds the maximum of {limit} members"
        self._log_error(errors.MemberLimitReachedError(what, "fleet.most_members"))

    def _is_due(self, cause: str) -> bool:
        """Return whether a cause may be logged now; if so, start its next interval."""
        now = self._now()
        last = self._last_logged.get(cause)
        if last is not None and now - last < ERROR_INTERVAL:
            return False
        self._last_logged[cause] = now
        return True

    def _log_error(self, error: MilletsillError, **values: Any) -> None:
        self._callbacks.warn("fleet", **error.log_fields(), **values)
