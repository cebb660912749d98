"""The records of active requests and attempts, and the interfaces they rely on."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from milletsill.interface import AttemptOutcome, Request


class AttemptReply(Protocol):
    """The parts of a node's reply that are passed to the scheduler."""

    @property
    def used(self) -> int | None:
        """The volume's use through all gateways; None if it is not reported."""

    @property
    def elsewhere(self) -> int:
        """The units that the node served for other gateways."""

    @property
    def report(self) -> Mapping[str, float]:
        """The values of the node's load report by name."""


AttemptEnded = Callable[[AttemptOutcome, AttemptReply | None], None]


class AttemptExchange(Protocol):
    """The exchange of one attempt on a connection."""

    @property
    def begun(self) -> bool:
        """Whether any byte of the attempt may have been sent."""

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Abandon the attempt; its `AttemptEnded` callback is not called."""


class AttemptStarter(Protocol):
    """Starts one attempt, or returns None if no connection to the node is available.

    `ended` is called once, after this call has returned, unless the exchange is
    withdrawn.
    """

    def __call__(
        self,
        payload: Any,
        request: Request,
        number: int,
        node: int,
        deadline: int,
        ended: AttemptEnded,
    ) -> AttemptExchange | None:
        """Send the payload to the node, which must reply by the deadline."""


class ResponseSink(Protocol):
    """Receives a request's final answer: exactly one method is called, once."""

    def succeeded(self, reply: Any) -> None:
        """Deliver a node's reply."""

    def rejected(self, retry_after: int) -> None:
        """Answer that the request was not executed and may safely be retried.

        `retry_after` is the recommended delay before the retry, in ticks.
        """

    def failed(self) -> None:
        """Answer that the request failed; it may have been executed."""


class ActiveAttempt:
    """One attempt as the gateway tracks it; `exchange` is None once it has ended."""

    __slots__ = ("ended", "exchange", "node", "number", "sent_at")

    def __init__(self, number: int, node: int, sent_at: int) -> None:
        self.number = number
        self.node = node
        self.sent_at = sent_at
        self.ended = False
        self.exchange: AttemptExchange | None = None


class ActiveRequest:
    """One request that was passed to the scheduler.

    The record is active until the request has its final answer and all of its attempts
    have ended. The payload is released with the answer, since timers keep a reference
    to the record until the deadline.
    """

    __slots__ = ("answered", "attempts", "payload", "request", "sink")

    def __init__(self, request: Request, sink: ResponseSink, payload: Any) -> None:
        self.request = request
        self.sink = sink
        self.payload = payload
        self.attempts: list[ActiveAttempt] = []
        self.answered = False
