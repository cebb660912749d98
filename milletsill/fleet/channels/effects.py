"""What a channel's sequencer wants done by the channel's owner."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from milletsill.fleet.channels.commands import ChannelCommand
from milletsill.fleet.channels.sequences import PendingNumber


class ReplyKind(Enum):
    """What a command is answered; values are the words of the clients' protocol."""

    OUTCOME = "answer"
    REJECTED = "declined"
    FAILED = "aborted"
    CLAIM_LOST = "claim-lost"
    SUPERSEDED = "superseded"
    FORGOTTEN = "over"
    SKIPPED = "left-out"
    STOPPED = "stopped"
    CONTRADICTION = "contract"


@dataclass(frozen=True, slots=True)
class Release:
    """Start an attempt of a request.

    Attributes:
        number: Its number.
        request: What is to be done.
        key_generation: Counts how often its client said that it was not done; part of
            the idempotency key.
        is_retry: Whether an earlier attempt may have run.
        deadline: When the attempt must be over, at the latest.
    """

    number: int
    request: PendingNumber
    key_generation: int
    is_retry: bool
    deadline: int


@dataclass(frozen=True, slots=True)
class Notify:
    """Answer a command.

    Attributes:
        recipient: The command; None where nobody waits.
        kind: What it is answered.
        number: The number that the answer names, if any.
        retry_delay: When to come back, in tenths of a millisecond.
        status_code: Of an `OUTCOME`.
        text: What contradicts what, of a `CONTRADICTION`.
    """

    recipient: ChannelCommand | None
    kind: ReplyKind
    number: int | None = None
    retry_delay: int = 0
    status_code: int = 0
    text: str = ""


@dataclass(frozen=True, slots=True)
class AnswerChannelOpen:
    """Answer an open command with how the channel stands."""

    recipient: ChannelCommand


@dataclass(frozen=True, slots=True)
class AnswerNumberQuery:
    """Answer a query with how its number stands."""

    recipient: ChannelCommand
    number: int


Effect = Release | Notify | AnswerChannelOpen | AnswerNumberQuery
