"""Language tags of STATUS packets, by which a client learns what became of a command.

x-declined-MS         nothing was done; retry after MS milliseconds
x-declined-MS-next-N  the same; number N is awaited next (a gap, too far ahead)
x-aborted             it may have been done or not; OPEN and ASK tell more
x-claim-lost          a later claim holds; nothing was done by this request
x-superseded-N        (newest) N is settled or in progress: this one never
                      takes effect
x-over                finished long ago, the answer is no longer remembered
x-left-out            skipped: the client said so, or the outcome stayed
                      indeterminate; it is never released again
x-stopped-N           behind N, whose outcome is indeterminate, until the
                      client says (SAY) what became of it
x-contract            contradicts the contract; the message says how, and what
                      to do. Nothing was done
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from milletsill.sftp.packets import FAILURE, Status

WIRE_UNITS_PER_MS = 10  # pauses come in tenths of a millisecond


@dataclass(frozen=True, slots=True)
class StatusTag:
    """A status's language tag.

    Its word, and the pause in milliseconds and the number it may have.
    """

    word: str
    pause: int | None = None
    number: int | None = None


TAG = re.compile(
    r"x-(declined|aborted|claim-lost|superseded|over|left-out|stopped|contract)(?:-(\d+))?(?:-next-(\d+))?"
)


def parse_status_tag(language: str) -> StatusTag | None:
    """Return what a status's language tag says, None for a tag that is not ours."""
    found = TAG.fullmatch(language)
    if found is None:
        return None
    word, first, following = found[1], found[2], found[3]
    if word == "declined":
        return StatusTag(
            word, int(first) if first else None, int(following) if following else None
        )
    return StatusTag(word, None, int(first) if first else None)


def tagged_status(
    id: int, word: str, message: str, number: int | None = None, pause: int = 0
) -> Status:
    """Return a STATUS with one of our tags.

    `pause`, in tenths of a millisecond, is for `declined` alone.
    """
    tag = f"x-{word}"
    if word == "declined":
        tag += f"-{-(-pause // WIRE_UNITS_PER_MS)}" + (
            f"-next-{number}" if number is not None else ""
        )
    elif number is not None:
        tag += f"-{number}"
    return Status(id, FAILURE, message, tag)
