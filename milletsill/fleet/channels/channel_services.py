"""Interfaces through which owned channels use leases and run attempts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from milletsill.fleet.channels.access_ranges import AccessRanges
from milletsill.fleet.channels.commands import ChannelCommand, NumberedRequest
from milletsill.fleet.channels.effects import Release
from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.fleet.leases.lease_term import LeaseTerm, OnAcquired, OnWritten
from milletsill.sftp.packets import Answer


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How a released attempt ended.

    Attributes:
        event: SETTLED, NEVER_RAN or ANSWER_LOST.
        status_code: Status code of the node's answer, if SETTLED.
        retry_delay: When the client may retry, if not SETTLED; in tenths of a
            millisecond.
        packet: The node's answer for the client, if SETTLED.
    """

    event: NumberEvent
    status_code: int = 0
    retry_delay: int = 0
    packet: Answer | None = None


class AttemptRunner(Protocol):
    """Runs the attempts that a channel releases."""

    def access_ranges(self, request: NumberedRequest) -> AccessRanges:
        """Return the access ranges of a request."""

    def key_window(self, command: ChannelCommand) -> int:
        """Return how long nodes remember the idempotency key of a numbered request."""

    def run_attempt(
        self,
        release: Release,
        lease: LeaseTerm,
        deadline: int,
        on_ended: Callable[[AttemptEnd], None],
    ) -> None:
        """Start an attempt that ends by `deadline`; `on_ended` is called once."""


class LeaseService(Protocol):
    """The part of the lease manager that channels use; keys are channel keys."""

    def acquire(self, key: str, on_acquired: OnAcquired) -> None:
        """Acquire or renew a channel's lease; the callback gets it or an error."""

    def write(self, term: LeaseTerm, value: bytes, on_written: OnWritten) -> None:
        """Write a channel's record; the callback gets None once a majority has it."""

    def holds(self, term: LeaseTerm) -> bool:
        """Whether no other gateway can own the channel now."""

    def release(self, term: LeaseTerm) -> None:
        """Release a lease, so that another gateway can acquire it at once."""

    def preferred_holder(self, key: str) -> str:
        """Return the gateway that should own a channel; empty if unknown."""
