"""What owned channels need of the gateway around them: leases and attempts."""

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
        status_code: Of the node's answer, where it is SETTLED.
        retry_delay: When to come back, where it is not, in tenths of a millisecond.
        packet: The node's answer for the client, where it is SETTLED.
    """

    event: NumberEvent
    status_code: int = 0
    retry_delay: int = 0
    packet: Answer | None = None


class AttemptRunner(Protocol):
    """Runs what a channel releases."""

    def access_ranges(self, request: NumberedRequest) -> AccessRanges:
        """What a request touches."""

    def key_window(self, command: ChannelCommand) -> int:
        """For how long nodes remember the idempotency key of a numbered request."""

    def run_attempt(
        self,
        release: Release,
        lease: LeaseTerm,
        deadline: int,
        on_ended: Callable[[AttemptEnd], None],
    ) -> None:
        """Start an attempt that is over by `deadline`; `on_ended` is called once."""


class LeaseService(Protocol):
    """What channels need of the lease manager; keys are those of channels."""

    def acquire(self, key: str, on_acquired: OnAcquired) -> None:
        """Become the channel's owner, or renew; hears the lease, or why not."""

    def write(self, term: LeaseTerm, value: bytes, on_written: OnWritten) -> None:
        """Write the channel's record; hears None once a majority has it."""

    def holds(self, term: LeaseTerm) -> bool:
        """Whether nobody else can be the channel's owner now."""

    def release(self, term: LeaseTerm) -> None:
        """Give a lease up: another may own the channel at once."""

    def preferred_holder(self, key: str) -> str:
        """Which gateway should own a channel; empty where nobody knows."""
