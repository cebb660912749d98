"""Blocking HTTP/1.1 messages over sockets, as the platform's protocol page has them."""

from __future__ import annotations

import socket


class ConnectionEndedError(Exception):
    """The peer closed or reset the connection within a message or before it."""


class MessageStream:
    """Reads whole messages with a Content-Length from one socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""

    def read(self) -> tuple[str, dict[str, str], bytes]:
        """Return the first line, the header fields and the body of a message."""
        while b"\r\n\r\n" not in self.buffer:
            self._receive()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        while len(self.buffer) < length:
            self._receive()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return first, fields, body

    def _receive(self) -> None:
        try:
            data = self.sock.recv(65_536)
        except TimeoutError:
            raise
        except OSError as error:
            raise ConnectionEndedError(str(error)) from error
        if not data:
            raise ConnectionEndedError("closed")
        self.buffer += data


def encode(first: str, fields: dict[str, str], body: bytes) -> bytes:
    """Return an encoded message with a Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    if body or not first.startswith("GET "):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
