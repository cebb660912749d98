"""Clients of the platform's protocol: one request at a time on a connection."""

from __future__ import annotations

import random
import socket
import time
from dataclasses import dataclass

from review.standins.http import ConnectionEndedError, MessageStream, encode
from review.standins.record import Record

PLANS = ("basic", "standard", "priority")


@dataclass(frozen=True)
class ClientRequest:
    """One request; `txn` is fresh on every request, a volume has one plan.

    A write without a `key` has an idempotency key of its own.
    """

    txn: str
    lane: str
    plan: str
    shard: int
    units: int
    remaining_ms: int
    method: str = "GET"
    body: bytes = b""
    resent: bool = False
    hosts: int = 3
    key: str = ""

    def encoded(self) -> bytes:
        """Return the request as the protocol page shows it."""
        volume = f"{(PLANS.index(self.plan) << 16) + self.shard + 1:016x}"
        fields = {
            "Host": "api.internal",
            "X-Txn": self.txn,
            "X-Lane": self.lane,
            "X-Plan": self.plan,
            "Cookie": f"block={self.txn}",
            "X-Remaining-Ms": str(self.remaining_ms),
            "X-IO": f"volume={volume},units={self.units},shard={self.shard},"
            f"hosts={self.hosts}",
        }
        if self.method == "PUT":
            fields["Idempotency-Key"] = self.key or f"key-{self.txn}"
        if self.resent:
            fields["X-Resent"] = "1"
        return encode(f"{self.method} /{self.lane} HTTP/1.1", fields, self.body)


@dataclass(frozen=True)
class Answer:
    """How one request ended; `status` is 0 if the connection ended without an answer.

    Attributes:
        sent_at, ended_at: seconds of the record's clock.
    """

    request: ClientRequest
    status: int
    body: bytes
    sent_at: float
    ended_at: float

    @property
    def seconds(self) -> float:
        """The time from the request to its end."""
        return self.ended_at - self.sent_at


def fresh_txn(source: random.Random) -> str:
    """Return a request id that was not used before."""
    return f"{source.getrandbits(64):016x}"


class Client:
    """One client with one connection, which it keeps."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record = record
        self.name = name
        self.port = port
        self.stream: MessageStream | None = None

    def ask(self, request: ClientRequest, patience: float) -> Answer:
        """Send one request; wait `patience` seconds for its answer.

        A connection that the gateway closed between two requests is replaced, and the
        request is sent once more, as the page says.
        """
        for _ in range(2):
            is_kept = self.stream is not None
            sent_at = self.record.now()
            status, body = 0, b""
            try:
                stream = self.stream or self._connect()
                sent_at = self.record.now()
                stream.sock.settimeout(patience)
                stream.sock.sendall(request.encoded())
                self.record.write(self.name, f"asks {describe(request)}")
                first, fields, body = stream.read()
                status = int(first.split(" ")[1])
                if fields.get("connection") == "close":
                    self.close()
            except TimeoutError:
                self.close()
                break
            except (OSError, ConnectionEndedError):
                self.close()
                if is_kept:
                    continue
            break
        answer = Answer(request, status, body, sent_at, self.record.now())
        self.record.write(
            self.name,
            f"got {status} {body[:40]!r} for {request.txn} after {answer.seconds:.4f}",
        )
        return answer

    def _connect(self) -> MessageStream:
        sock = socket.create_connection(("127.0.0.1", self.port), timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = MessageStream(sock)
        return self.stream

    def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            self.stream.sock.close()
            self.stream = None


def describe(request: ClientRequest) -> str:
    """Return what the record says of a request."""
    return (
        f"{request.method} {request.lane} {request.txn} shard {request.shard} "
        f"units {request.units} remaining {request.remaining_ms} ms"
        f"{' resent' if request.resent else ''}"
    )


def pause(until: float, record: Record) -> None:
    """Sleep until a time of the record's clock."""
    time.sleep(max(until - record.now(), 0))
