"""Requests and their attempts in a simulation of traffic."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.interface import Request


class SimulatedRequest:
    """One request of a gateway, until its answer and the end of its attempts.

    Attributes:
        request: As the scheduler sees it.
        received_at: When it came.
        work: Seconds of one core at a node.
        path: Of the object.
        operation: The client's.
        attempt_count: Attempts until now.
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
    """One sending of a request to a node."""

    request: SimulatedRequest
    number: int
    node: int
    sent_at: int
    is_ended: bool = False
