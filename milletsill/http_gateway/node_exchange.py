"""One attempt at a node over HTTP, and the node's reply."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.http1.message import HttpMessage
from milletsill.http_gateway.request_parser import (
    ForwardedPayload,
    parse_load_report,
    parse_number,
)
from milletsill.interface import AttemptOutcome

OK = 200
# Statuses with which a node may reject a request; the X-Turned-Away field then states
# that the node did not run it.
REJECTING_STATUSES = (503, 504)
MAX_COUNT = 65_535


class HttpNodeReply:
    """The body of a node's response and the values of its header fields."""

    __slots__ = ("body", "elsewhere", "report", "used")

    def __init__(self, message: HttpMessage) -> None:
        fields = message.fields
        used = parse_number(fields.get(b"x-volume-use"), MAX_COUNT)
        elsewhere = parse_number(fields.get(b"x-served-elsewhere"), MAX_COUNT)
        self.body = message.body
        self.used: int | None = None if used is None else int(used)
        self.elsewhere: int = int(elsewhere or 0)
        self.report: Mapping[str, float] = parse_load_report(fields.get(b"x-pressure"))


def outcome_of(message: HttpMessage) -> AttemptOutcome:
    """Return the outcome of an attempt from its complete response."""
    if message.status == OK:
        return AttemptOutcome.SUCCEEDED
    rejected = message.fields.get(b"x-turned-away") == b"1"
    if rejected and message.status in REJECTING_STATUSES:
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR


class ExchangePool(Protocol):
    """The pool to which an exchange belongs."""

    def withdraw_waiting(self, exchange: HttpExchange, /) -> None:
        """Remove an exchange that waits for a connection."""

    def on_connection_aborted(self) -> None:
        """Handle the abort of a connection that carried an attempt."""


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    def close(self) -> None:
        """Abort the connection."""


class HttpExchange:
    """One attempt, with its connection and the callback for its end."""

    __slots__ = (
        "connection",
        "deadline",
        "ended",
        "over",
        "payload",
        "pool",
        "started_at",
    )

    def __init__(
        self,
        pool: ExchangePool,
        payload: ForwardedPayload,
        deadline: int,
        ended: AttemptEnded,
        started_at: int,
    ) -> None:
        self.pool = pool
        self.payload = payload
        self.deadline = deadline
        self.ended = ended
        self.started_at = started_at
        self.connection: ExchangeConnection | None = None
        self.over = False

    @property
    def begun(self) -> bool:
        """Whether octets of the attempt may have been sent."""
        return self.connection is not None

    def end(self, outcome: AttemptOutcome, reply: HttpNodeReply | None = None) -> None:
        """Report the outcome once; later calls are ignored."""
        if self.over:
            return
        self.over = True
        self.connection = None
        self.ended(outcome, reply)

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Withdraw the attempt; the close of its connection notifies the node."""
        connection = self.connection
        self.over = True
        self.connection = None
        if connection is not None:
            connection.close()
            self.pool.on_connection_aborted()
        else:
            self.pool.withdraw_waiting(self)
