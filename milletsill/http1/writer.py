"""Encode HTTP/1.1 messages.

Names and values are not checked here: they come from a reader, which has checked them,
or from constants of this program.
"""

from __future__ import annotations

from collections.abc import Sequence
from http import HTTPStatus

REASON_PHRASES = {each.value: each.phrase.encode() for each in HTTPStatus}


def encode_response(
    status: int, body: bytes, keep_alive: bool, extra: bytes = b""
) -> bytes:
    """Return an encoded response; `extra` holds complete header lines."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s" % (
        status,
        REASON_PHRASES.get(status, b"Status"),
        len(body),
        b"" if keep_alive else b"Connection: close\r\n",
        extra,
        body,
    )


def encode_request(
    method: bytes,
    target: bytes,
    host: bytes,
    fields: Sequence[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Return an encoded request.

    It has a Content-Length if it has a body or its method anticipates one.
    """
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, host)]
    lines += [b"%s: %s\r\n" % field for field in fields]
    if body or method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines += [b"\r\n", body]
    return b"".join(lines)
