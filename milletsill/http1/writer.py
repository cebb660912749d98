"""Messages as bytes. Names and values come checked, from a reader or from our own tables."""

from __future__ import annotations

from http import HTTPStatus

PHRASES = {each.value: each.phrase.encode() for each in HTTPStatus}


def answer(status: int, body: bytes, keep: bool, extra: bytes = b"") -> bytes:
    """An answer; `extra` holds whole lines."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s" % (
        status,
        PHRASES.get(status, b"Status"),
        len(body),
        b"" if keep else b"Connection: close\r\n",
        extra,
        body,
    )


def request(
    method: bytes,
    target: bytes,
    host: bytes,
    fields: list[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """A request; its length is told where it has a body or its method means one."""
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, host)]
    lines += [b"%s: %s\r\n" % field for field in fields]
    if body or method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines += [b"\r\n", body]
    return b"".join(lines)
