"""An attempt that a connection pool sends to a node, until its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from milletsill.interface import AttemptOutcome
from milletsill.sftp.extensions import NodeReply, NodeRequest

OnExchangeEnded = Callable[[AttemptOutcome, NodeReply | None], None]


class SendCheck(Protocol):
    """Decides, right before a delayed attempt is sent, whether it may still be sent."""

    def may_send(self) -> bool:
        """Return whether the attempt may still be sent."""


class ExchangeCarrier(Protocol):
    """A connection that carries exchanges."""

    def withdraw(self, exchange: PooledExchange, /) -> None:
        """Cancel the attempt at the node; its reply is no longer awaited."""


class ExchangeOwner(Protocol):
    """The pool of an exchange."""

    def withdraw(self, exchange: PooledExchange, outcome: AttemptOutcome, /) -> None:
        """Stop waiting for the attempt."""


def ignore_end(outcome: AttemptOutcome, reply: NodeReply | None) -> None:
    """Do nothing; replaces the callback of an attempt that has ended."""


class PooledExchange:
    """One attempt in a pool: its connection, and the callback for its end.

    `on_ended` is called exactly once, never before `NodeConnectionPool.send_attempt`
    returns. After `withdraw` it is not called at all.
    """

    __slots__ = (
        "connection",
        "on_ended",
        "send_check",
        "octets_sent",
        "request",
        "is_over",
        "packet_id",
        "pool",
        "started_at",
    )

    def __init__(
        self,
        pool: ExchangeOwner,
        request: NodeRequest,
        on_ended: OnExchangeEnded,
        started_at: int,
        send_check: SendCheck | None = None,
    ) -> None:
        self.pool = pool
        self.request = request
        self.on_ended = on_ended
        self.started_at = started_at
        self.send_check = send_check
        self.connection: ExchangeCarrier | None = None
        self.packet_id = 0
        self.is_over = False
        self.octets_sent = 0

    @property
    def begun(self) -> bool:
        """Whether an octet of the attempt may have been sent."""
        return self.connection is not None

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Stop waiting for the attempt; `on_ended` is not called."""
        self.pool.withdraw(self, outcome)

    def end(self, outcome: AttemptOutcome, reply: NodeReply | None = None) -> None:
        """Report how the attempt ended; calls after the first are ignored."""
        if self.is_over:
            return
        self.is_over = True
        on_ended = self.on_ended
        self.on_ended = ignore_end  # breaks the reference cycle through the callback
        on_ended(outcome, reply)
