"""Effects: actions that a channel's sequencer requests from the channel's owner."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from milletsill.fleet.channels.commands import ChannelCommand
from milletsill.fleet.channels.tracked_numbers import PendingRequest


class ReplyKind(Enum):
    """Kind of answer to a command; values are status tags of the client protocol."""

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
        number: The number to release.
        request: The request to run.
        key_generation: How often the client resolved the number as not done; part of
            the idempotency key.
        is_retry: Whether an earlier attempt may have run.
        deadline: Latest time at which the attempt must have ended.
    """

    number: int
    request: PendingRequest
    key_generation: int
    is_retry: bool
    deadline: int


@dataclass(frozen=True, slots=True)
class Notify:
    """Answer a command.

    Attributes:
        recipient: The command; None if no command waits.
        kind: Kind of the answer.
        number: The number that the answer names, if any.
        retry_delay: When the client may retry, in tenths of a millisecond.
        status_code: Status code of the node's answer, for `OUTCOME`.
        text: Description of the contradiction, for `CONTRADICTION`.
    """

    recipient: ChannelCommand | None
    kind: ReplyKind
    number: int | None = None
    retry_delay: int = 0
    status_code: int = 0
    text: str = ""


@dataclass(frozen=True, slots=True)
class AnswerChannelOpen:
    """Answer an open command with the channel's status."""

    recipient: ChannelCommand


@dataclass(frozen=True, slots=True)
class AnswerNumberQuery:
    """Answer a query with the status of its number."""

    recipient: ChannelCommand
    number: int


Effect = Release | Notify | AnswerChannelOpen | AnswerNumberQuery
