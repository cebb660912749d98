"""Bounds of HTTP/1.1 messages, and what of a head is not believed. No I/O, no clock."""

from __future__ import annotations

import re
from dataclasses import dataclass

END = b"\r\n\r\n"  # of a head
MOST_INTERIM = 8  # 1xx answers ahead of one answer
MOST_CHUNKS = 8192  # of one body. Guards neighbours against what each costs, however short. Harm: none to a usual body
LONGEST_LENGTH = 12  # digits of a Content-Length
# A parser may be lax where two programs read a head differently, and one request hides in another: line ends that are
# not CR LF, folded lines, a space before the colon, a zero octet. Harm: a sloppy but honest peer is refused.
AMBIGUOUS = re.compile(rb"(?<!\r)\n|\r(?!\n)|\n[ \t]|\x00|\n[^:\r\n]*[ \t]:")


def bare(head: bytes) -> bytes:
    """A head without the whitespace that may stand behind a field's value and is no part of it. Guards against llhttp, which
    leaves it there, and takes a body for unchunked where it stands behind the coding. Harm: none; it carries no meaning.
    """
    return b"\r\n".join(line.rstrip(b" \t") or line for line in head.split(b"\r\n"))


# How a head begins, as far as it is here. Guards against waiting for the end of what can become no head: the rest of a body that
# was told too short, noise without an end of line. Harm: none to a message that could be read, it is refused sooner.
REQUEST_BEGINS = re.compile(rb"(?:\r\n|\r\Z)*(?:[A-Z]{1,20} |[A-Z]{0,20}\Z)")
ANSWER_BEGINS = re.compile(rb"(?:\r\n|\r\Z)*(?:HTTP/|(?:|H|HT|HTT|HTTP)\Z)")


@dataclass(frozen=True, slots=True)
class Bounds:
    """Of one message: octets and lines of the head, octets of the body."""

    head: int = 8192
    fields: int = 64
    body: int = 65_536


def length_of(
    fields: dict[bytes, bytes], doubled: set[bytes], bounds: Bounds
) -> tuple[int, bool, int, str]:
    """How the body is told: its length, whether it is chunked, and status and reason of an error (0: none)."""
    length, coding = fields.get(b"content-length"), fields.get(b"transfer-encoding")
    if (
        b"content-length" in doubled
        or b"transfer-encoding" in doubled
        or None not in (length, coding)
    ):
        return 0, False, 400, "the body's length is told twice"
    if coding is not None:
        return (
            0,
            True,
            *(
                (0, "")
                if coding.lower() == b"chunked"
                else (501, "a transfer coding that is not chunked")
            ),
        )
    if length is None:
        return -1, False, 0, ""
    if not length.isdigit() or len(length) > LONGEST_LENGTH:
        return 0, False, 400, "a body's length that is no number"
    if int(length) > bounds.body:
        return 0, False, 413, "a body over the bound"
    return int(length), False, 0, ""
