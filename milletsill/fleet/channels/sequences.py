"""The numbers of a channel: requests that wait, open numbers, completed ones.

Times are whole tenths of a millisecond on the owner's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from milletsill.fleet.channels.access_ranges import AccessRanges
from milletsill.fleet.channels.commands import ChannelCommand
from milletsill.fleet.channels.number_states import NumberState

RELEASED_LONG_AGO = -(1 << 60)
"""When a number was first released, where nobody knows."""


class CompletionOutcome(IntEnum):
    """How a number was completed; values are those of the stored record."""

    SETTLED = 0
    STAYED_INDETERMINATE = 1
    SKIPPED = 2
    SUPERSEDED = 3


@dataclass(slots=True)
class PendingNumber:
    """A numbered request that waits for its release.

    Attributes:
        number: Its number.
        claim: The claim under which its client sent it.
        digest: Equal for requests that do the same.
        ranges: What it touches.
        deadline: Until when its client waits.
        key_window: For how long nodes remember its idempotency key.
        recipient: The command to answer.
        batch: Its batch, from 1; 0 where the contract has none.
        ends_batch: Whether it is the last of its batch.
    """

    number: int
    claim: int
    digest: int
    ranges: AccessRanges
    deadline: int
    key_window: int
    recipient: ChannelCommand
    batch: int = 0
    ends_batch: bool = False


@dataclass(slots=True)
class OpenSequence:
    """A number that is open, and of which something is known.

    Attributes:
        state: Where it stands.
        digest: Digest of its request.
        ranges: What its request touches.
        batch: Its batch; 0 where the contract has none.
        ends_batch: Whether it is the last of its batch.
        pending: Its request, while it waits.
        recipients: The commands to answer when its attempt ends.
        first_released_at: When it was first released.
        quarantined_until: Until when an attempt of it may still run; 0 if none may.
        reserved_until: Until when an indeterminate number is left open for its client
            to come again.
        gap_since: Since when it waits for a lower number that is absent.
    """

    state: NumberState
    digest: int
    ranges: AccessRanges
    batch: int = 0
    ends_batch: bool = False
    pending: PendingNumber | None = None
    recipients: list[ChannelCommand] = field(default_factory=list)
    first_released_at: int = RELEASED_LONG_AGO
    quarantined_until: int = 0
    reserved_until: int = 0
    gap_since: int | None = None


@dataclass(frozen=True, slots=True)
class CompletedSequence:
    """A completed number, as it is remembered.

    Attributes:
        outcome: A `CompletionOutcome`; a record of a later version may have others.
        status_code: Of the node's answer.
        digest: Digest of its request.
    """

    outcome: int
    status_code: int
    digest: int
