"""One attempt on its way to a node and back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from milletsill.interface import AttemptOutcome
from milletsill.sftp.extensions import NodeReply, NodeRequest

ExchangeEnded = Callable[[AttemptOutcome, NodeReply | None], None]


class SendCheck(Protocol):
    """Asked again right before an attempt that had to wait is sent."""

    def may_send(self) -> bool:
        """Whether the attempt may still be sent."""


class ExchangeCarrier(Protocol):
    """A connection that carries exchanges."""

    def withdraw(self, exchange: PooledExchange, /) -> None:
        """Tell the node that nobody waits any more."""


class ExchangeOwner(Protocol):
    """The pool of an exchange."""

    def withdraw(self, exchange: PooledExchange, outcome: AttemptOutcome, /) -> None:
        """Stop waiting for it."""


def ignore_end(outcome: AttemptOutcome, verdict: NodeReply | None) -> None:
    """Listen to no end: the attempt is over."""


class PooledExchange:
    """One attempt at a pool: where it is, and whom to tell of its end.

    `ended` is called exactly once, never from within `NodeConnectionPool.send_attempt`;
    not at all after `withdraw`.
    """

    __slots__ = (
        "connection",
        "ended",
        "gate",
        "octets_sent",
        "order",
        "over",
        "packet_id",
        "pool",
        "started_at",
    )

    def __init__(
        self,
        pool: ExchangeOwner,
        order: NodeRequest,
        ended: ExchangeEnded,
        started_at: int,
        gate: SendCheck | None = None,
    ) -> None:
        self.pool = pool
        self.order = order
        self.ended = ended
        self.started_at = started_at
        self.gate = gate
        self.connection: ExchangeCarrier | None = None
        self.packet_id = 0
        self.over = False
        self.octets_sent = 0

    @property
    def begun(self) -> bool:
        """Whether an octet of it may be on its way."""
        return self.connection is not None

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Stop waiting for it; `ended` is not called."""
        self.pool.withdraw(self, outcome)

    def end(self, outcome: AttemptOutcome, verdict: NodeReply | None = None) -> None:
        """Tell how it ended, once; later calls are ignored."""
        if self.over:
            return
        self.over = True
        ended = self.ended
        self.ended = ignore_end  # no reference cycle through the listener
        ended(outcome, verdict)
