"""Bounds of HTTP/1.1 messages and the rules by which a message head is refused.

Pure functions and constants: no I/O, no clock.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"
# Interim (1xx) responses that are accepted ahead of one final response.
MAX_INTERIM_RESPONSES = 8
# Chunks of one body. Each chunk costs processor time however short it is; without the
# bound one peer could slow down all others. A usual body stays far below it.
MAX_CHUNKS = 8192
MAX_LENGTH_DIGITS = 12  # of a Content-Length value
# A lax parser may read a head differently than another program does, which lets one
# request hide in another (request smuggling): line ends that are not CR LF, folded
# lines, white space before the colon, a zero octet. A careless but honest peer is
# refused too.
AMBIGUOUS = re.compile(rb"(?<!\r)\n|\r(?!\n)|\n[ \t]|\x00|\n[^:\r\n]*[ \t]:")
# How a head may begin, as far as it has arrived. What can never become a head (the rest
# of a body whose length was too short, noise without a line end) is refused at once
# instead of when the connection's time-out ends.
REQUEST_START = re.compile(rb"(?:\r\n|\r\Z)*(?:[A-Z]{1,20} |[A-Z]{0,20}\Z)")
RESPONSE_START = re.compile(rb"(?:\r\n|\r\Z)*(?:HTTP/|(?:|H|HT|HTT|HTTP)\Z)")


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Bounds of one message.

    Attributes:
        head: octets of the head, its empty line included.
        fields: header lines.
        body: octets of the body.
    """

    head: int = 8192
    fields: int = 64
    body: int = 65_536


@dataclass(frozen=True, slots=True)
class BodyFraming:
    """How a message says where its body ends.

    Attributes:
        length: octets of the body; -1 where the message does not tell.
        chunked: whether the body is sent in chunks; `length` is 0 then.
    """

    length: int
    chunked: bool = False


@dataclass(frozen=True, slots=True)
class FramingError:
    """Why a body cannot be framed: the status a server answers with, and the reason."""

    status: int
    reason: str


def strip_field_whitespace(head: bytes) -> bytes:
    """Return a head without optional white space behind its field values.

    llhttp leaves that white space in the value, and then takes a chunked body for an
    unchunked one when it stands behind the transfer coding. It carries no meaning.
    """
    return b"\r\n".join(line.rstrip(b" \t") or line for line in head.split(b"\r\n"))


def body_framing(
    fields: dict[bytes, bytes], repeated: set[bytes], limits: MessageLimits
) -> BodyFraming | FramingError:
    """Return how the body of a message with these header fields is framed."""
    length = fields.get(b"content-length")
    coding = fields.get(b"transfer-encoding")
    repeats = b"content-length" in repeated or b"transfer-encoding" in repeated
    if repeats or (length is not None and coding is not None):
        return FramingError(400, "the body's length is told twice")
    if coding is not None:
        if coding.lower() == b"chunked":
            return BodyFraming(0, chunked=True)
        return FramingError(501, "a transfer coding that is not chunked")
    if length is None:
        return BodyFraming(-1)
    if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
        return FramingError(400, "a body's length that is no number")
    if int(length) > limits.body:
        return FramingError(413, "a body over the bound")
    return BodyFraming(int(length))
