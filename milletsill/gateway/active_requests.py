"""Requests and attempts that are not over, and who takes part in them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from milletsill.interface import AttemptOutcome, Request


class AttemptReply(Protocol):
    """What a node answered to an attempt, as far as the scheduler hears of it."""

    @property
    def used(self) -> int | None:
        """The volume's use everywhere, None where it is not told."""

    @property
    def elsewhere(self) -> int:
        """Units that were served through other gateways."""

    @property
    def report(self) -> Mapping[str, float]:
        """The node's load report."""


AttemptEnded = Callable[[AttemptOutcome, AttemptReply | None], None]


class AttemptExchange(Protocol):
    """One attempt under way on a connection."""

    @property
    def begun(self) -> bool:
        """Whether an octet of it may be on its way."""

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Stop waiting for it; its `AttemptEnded` is not called."""


class AttemptStarter(Protocol):
    """Starts one attempt, and returns None where no connection leads to the node.

    `ended` is called once, never from within; not at all after `withdraw`.
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
        """Send the payload to the node; it has to answer by the deadline."""


class ResponseSink(Protocol):
    """Who handed a request over. Exactly one of these is called, once."""

    def succeeded(self, reply: Any) -> None:
        """Hand over a node's answer."""

    def rejected(self, pause: int) -> None:
        """Say that a retry is harmless, best after the pause."""

    def failed(self) -> None:
        """Say that nothing is promised."""


class ActiveAttempt:
    """One attempt as the gateway sees it. `exchange` is None once it is over."""

    __slots__ = ("exchange", "node", "number", "over", "sent_at")

    def __init__(self, number: int, node: int, sent_at: int) -> None:
        self.number = number
        self.node = node
        self.sent_at = sent_at
        self.over = False
        self.exchange: AttemptExchange | None = None


class ActiveRequest:
    """One request that the scheduler was told of.

    It lives until it has its one final answer and all of its attempts have ended. The
    payload is dropped with the answer: timers hold the record until the deadline.
    """

    __slots__ = ("answered", "attempts", "payload", "request", "sink")

    def __init__(self, request: Request, sink: ResponseSink, payload: Any) -> None:
        self.request = request
        self.sink = sink
        self.payload = payload
        self.attempts: list[ActiveAttempt] = []
        self.answered = False
