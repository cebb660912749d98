"""One attempt on its way to a node over HTTP, and what the node answers."""

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
# A node says with X-Turned-Away that it did not run the request.
REJECTING_STATUSES = (503, 504)
MAX_COUNT = 65_535


class HttpNodeReply:
    """What a node's response says beside its body."""

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
    """Return how an attempt ended whose response is complete."""
    if message.status == OK:
        return AttemptOutcome.SUCCEEDED
    rejected = message.fields.get(b"x-turned-away") == b"1"
    if rejected and message.status in REJECTING_STATUSES:
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR


class ExchangePool(Protocol):
    """The pool of an exchange."""

    def withdraw_waiting(self, exchange: HttpExchange, /) -> None:
        """Forget an exchange that waits for a connection."""

    def on_attempt_cut(self) -> None:
        """A connection was cut under its attempt."""


class ExchangeConnection(Protocol):
    """The connection of an exchange."""

    def close(self) -> None:
        """Cut it."""


class HttpExchange:
    """One attempt: where it is, and whom to tell of its end."""

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
        """Whether an octet of it may be on its way."""
        return self.connection is not None

    def end(self, outcome: AttemptOutcome, reply: HttpNodeReply | None = None) -> None:
        """Tell how it ended, once; later calls are ignored."""
        if self.over:
            return
        self.over = True
        self.connection = None
        self.ended(outcome, reply)

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Stop waiting for it: its connection closes, which tells the node."""
        connection = self.connection
        self.over = True
        self.connection = None
        if connection is not None:
            connection.close()
            self.pool.on_attempt_cut()
        else:
            self.pool.withdraw_waiting(self)
