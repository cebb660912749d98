"""Numbers that a channel tracks: waiting requests, open and completed numbers.

Times are whole tenths of a millisecond on the owner's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from milletsill.fleet.channels.access_ranges import AccessRanges
from milletsill.fleet.channels.commands import ChannelCommand
from milletsill.fleet.channels.number_states import NumberState

UNKNOWN_RELEASE_TIME = -(1 << 60)
"""`first_released_at` of a number whose first release time is unknown.

It is so early that no retry falls within the window of an idempotency key.
"""


class CompletionOutcome(IntEnum):
    """How a number was completed; the stored record has these values."""

    SETTLED = 0
    STAYED_INDETERMINATE = 1
    SKIPPED = 2
    SUPERSEDED = 3


@dataclass(slots=True)
class PendingRequest:
    """A numbered request that waits for its release.

    Attributes:
        number: The number that the client assigned.
        claim: The claim under which the client sent it.
        digest: Digest of path and command; equal for identical requests.
        ranges: Access ranges of the request.
        deadline: Until when the client waits.
        key_window: How long nodes remember its idempotency key.
        recipient: The command to answer.
        batch: Its batch, from 1; 0 if the contract has no batches.
        ends_batch: Whether it is the last number of its batch.
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
class OpenNumber:
    """A tracked open number: one with a request or an attempt.

    Attributes:
        state: State of the number.
        digest: Digest of its request.
        ranges: Access ranges of its request.
        batch: Its batch; 0 if the contract has no batches.
        ends_batch: Whether it is the last number of its batch.
        pending: Its request, while that waits.
        recipients: The commands to answer when its attempt ends.
        first_released_at: When it was first released.
        quarantined_until: Until when one of its attempts may still run; 0 for none.
        reserved_until: Until when an indeterminate number stays open, so that its
            client can send the request again.
        gap_since: Since when it has waited for a lower number that is absent.
    """

    state: NumberState
    digest: int
    ranges: AccessRanges
    batch: int = 0
    ends_batch: bool = False
    pending: PendingRequest | None = None
    recipients: list[ChannelCommand] = field(default_factory=list)
    first_released_at: int = UNKNOWN_RELEASE_TIME
    quarantined_until: int = 0
    reserved_until: int = 0
    gap_since: int | None = None


@dataclass(frozen=True, slots=True)
class CompletedNumber:
    """The remembered outcome of a completed number.

    Attributes:
        outcome: A `CompletionOutcome`; a record of a later version may have others.
        status_code: Status code of the node's answer.
        digest: Digest of its request.
    """

    outcome: int
    status_code: int
    digest: int
