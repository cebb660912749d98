"""A small HTTP/1.1 client: requests as the protocol page has them, and answers."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"


@dataclass
class Answer:
    """One answer of a gateway; `at` is the time of its last byte."""

    status: int
    body: bytes
    at: float
    closes: bool


@dataclass
class Call:
    """What a client asks for."""

    txn: str
    name: str
    shard: int
    remaining_ms: int
    body: bytes | None = None
    volume: int = 0x3B4D60021
    hosts: int = 1

    def encode(self) -> bytes:
        """Return the request; a call with a body is a write."""
        method = "GET" if self.body is None else "PUT"
        lines = [
            f"{method} /{self.name} HTTP/1.1",
            "Host: api.internal",
            f"X-Txn: {self.txn}",
            f"X-Lane: {self.name}",
            "X-Plan: priority",
            f"Cookie: block={self.txn}",
            f"X-Remaining-Ms: {self.remaining_ms}",
            f"X-IO: volume={self.volume:016x},units=2,shard={self.shard},"
            f"hosts={self.hosts}",
        ]
        if self.body is not None:
            lines.append(f"Idempotency-Key: k{self.txn}")
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + HEAD_END + (self.body or b"")


class Connection:
    """One connection to a gateway, read with a time limit."""

    def __init__(self, address: tuple[str, int], timeout: float = 5.0) -> None:
        self.socket = socket.create_connection(address, timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""

    def send(self, data: bytes, piece: int = 0) -> None:
        """Send octets, at once or in pieces of a size."""
        if not piece:
            self.socket.sendall(data)
            return
        for start in range(0, len(data), piece):
            self.socket.sendall(data[start : start + piece])

    def read_answer(self, until: float) -> Answer | None:
        """Return the next answer; None at the end of the connection.

        Raises:
            TimeoutError: there is no whole answer by the time `until`.
        """
        while HEAD_END not in self.buffer:
            if not self._read_more(until):
                return None
        head, _, rest = self.buffer.partition(HEAD_END)
        first, *lines = head.decode("latin-1").lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines)
        length = int(fields.get("content-length", "0"))
        self.buffer = rest
        while len(self.buffer) < length:
            if not self._read_more(until):
                return None
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        closes = fields.get("connection") == "close"
        return Answer(int(first.split(" ")[1]), body, time.monotonic(), closes)

    def _read_more(self, until: float) -> bool:
        left = until - time.monotonic()
        if left <= 0:
            raise TimeoutError
        self.socket.settimeout(left)
        try:
            data = self.socket.recv(65536)
        except ConnectionError:
            return False
        self.buffer += data
        return bool(data)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
