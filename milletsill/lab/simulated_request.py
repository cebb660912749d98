"""Requests and their attempts in a traffic simulation."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.interface import Request


class SimulatedRequest:
    """One request at a gateway, kept until it is answered and its attempts have ended.

    Attributes:
        request: The request as the scheduler gets it.
        received_at: The time at which the request arrived.
        work: Seconds that one core of a node needs for it.
        path: The path of the object.
        operation: The operation that the client requested.
        attempt_count: Attempts sent so far.
        in_flight: Attempts that have not ended.
        is_answered: The final answer was given.
    """

    __slots__ = (
        "request",
        "received_at",
        "work",
        "path",
        "operation",
        "attempt_count",
        "in_flight",
        "is_answered",
    )

    def __init__(
        self, request: Request, received_at: int, work: float, path: str, operation: str
    ) -> None:
        self.request = request
        self.received_at = received_at
        self.work = work
        self.path = path
        self.operation = operation
        self.attempt_count = 0
        self.in_flight = 0
        self.is_answered = False


@dataclass(slots=True)
class SimulatedAttempt:
    """One attempt of a request at a node."""

    request: SimulatedRequest
    number: int
    node: int
    sent_at: int
    is_ended: bool = False
