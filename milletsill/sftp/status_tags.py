"""Language tags of STATUS packets, which state the outcome of a command.

x-declined-MS         the command was not executed; retry after MS milliseconds
x-declined-MS-next-N  the same; the channel expects number N next, since numbers
                      are missing or the command's number is too far ahead
x-aborted             the command may have been executed or not; OPEN and ASK
                      return its status
x-claim-lost          a later claim holds the channel; this request had no effect
x-superseded-N        (order "newest") N is settled or in progress, so this
                      command never takes effect
x-over                the command finished long ago, its answer is no longer stored
x-left-out            the command was skipped, because the client said so (SAY) or
                      its outcome stayed indeterminate; it is never released again
x-stopped-N           the command waits behind N, whose outcome is indeterminate,
                      until the client resolves N (SAY)
x-contract            the command contradicts the contract and was not executed;
                      the message states the contradiction and the remedy
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from milletsill.sftp.packets import FAILURE, Status

TIME_UNITS_PER_MS = 10  # retry delays are given in tenths of a millisecond


@dataclass(frozen=True, slots=True)
class StatusTag:
    """The language tag of a STATUS packet, parsed.

    Attributes:
        kind: The tag's text between "x-" and its numbers, such as "declined".
        retry_delay_ms: The delay of a "declined" tag, None for others.
        number: The number of a command on the channel, None if the tag has none.
    """

    kind: str
    retry_delay_ms: int | None = None
    number: int | None = None


TAG = re.compile(
    r"x-(declined|aborted|claim-lost|superseded|over|left-out|stopped|contract)(?:-(\d+))?(?:-next-(\d+))?"
)


def parse_status_tag(language: str) -> StatusTag | None:
    """Return the parsed tag, None for a tag that this module does not define."""
    found = TAG.fullmatch(language)
    if found is None:
        return None
    kind, first, next_number = found[1], found[2], found[3]
    if kind == "declined":
        return StatusTag(
            kind,
            int(first) if first else None,
            int(next_number) if next_number else None,
        )
    return StatusTag(kind, None, int(first) if first else None)


def tagged_status(
    id: int, kind: str, message: str, number: int | None = None, retry_delay: int = 0
) -> Status:
    """Return a FAILURE status with a tag of the given kind.

    `retry_delay`, in tenths of a millisecond, applies to `declined` only and is rounded
    up to milliseconds.
    """
    tag = f"x-{kind}"
    if kind == "declined":
        tag += f"-{-(-retry_delay // TIME_UNITS_PER_MS)}" + (
            f"-next-{number}" if number is not None else ""
        )
    elif number is not None:
        tag += f"-{number}"
    return Status(id, FAILURE, message, tag)
