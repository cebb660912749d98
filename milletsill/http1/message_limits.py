"""Size limits of HTTP/1.1 messages and the rules by which a head is refused.

Pure functions and constants: no I/O, no clock.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"
# Interim (1xx) responses that are accepted before one final response.
MAX_INTERIM_RESPONSES = 8
# Chunks of one body. Each chunk costs processor time however short it is, so without
# the limit one peer could slow down all others. Typical bodies stay far below it.
MAX_CHUNKS = 8192
MAX_LENGTH_DIGITS = 12  # of a Content-Length value
# Matches what two HTTP implementations may parse differently, which allows request
# smuggling: line ends that are not CR LF, folded lines, white space before the colon
# and NUL octets. Harmless peers that send such a head are refused too.
AMBIGUOUS = re.compile(rb"(?<!\r)\n|\r(?!\n)|\n[ \t]|\x00|\n[^:\r\n]*[ \t]:")
# Valid beginnings of a possibly incomplete head. Octets that can never become a head
# (the rest of a body that exceeds its stated length, noise without a line end) are
# refused at once instead of when the connection times out.
REQUEST_START = re.compile(rb"(?:\r\n|\r\Z)*(?:[A-Z]{1,20} |[A-Z]{0,20}\Z)")
RESPONSE_START = re.compile(rb"(?:\r\n|\r\Z)*(?:HTTP/|(?:|H|HT|HTT|HTTP)\Z)")


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Size limits of one message.

    Attributes:
        head: maximum octets of the head, its final empty line included.
        fields: maximum number of header lines.
        body: maximum octets of the body.
    """

    head: int = 8192
    fields: int = 64
    body: int = 65_536


@dataclass(frozen=True, slots=True)
class BodyFraming:
    """How the end of a message's body is determined.

    Attributes:
        length: octets of the body; -1 if the message states no length.
        chunked: whether the body uses the chunked transfer coding; `length` is then 0.
    """

    length: int
    chunked: bool = False


@dataclass(frozen=True, slots=True)
class FramingError:
    """Why the end of a body cannot be determined, with the response status for it."""

    status: int
    reason: str


def strip_field_whitespace(head: bytes) -> bytes:
    """Return a head without the optional white space after its field values.

    That white space carries no meaning, but llhttp leaves it in the value. After the
    value of Transfer-Encoding it makes llhttp treat a chunked body as not chunked.
    """
    return b"\r\n".join(line.rstrip(b" \t") or line for line in head.split(b"\r\n"))


def body_framing(
    fields: dict[bytes, bytes], repeated: set[bytes], limits: MessageLimits
) -> BodyFraming | FramingError:
    """Return how the end of the body is determined for these header fields."""
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
