"""What one client's messages hold of the gateway's memory for long messages."""

from __future__ import annotations

from milletsill.http_gateway.resource_limits import BufferBudget


class ClientMemory:
    """Octets of a client that count against the budget.

    Attributes:
        answer: of an answer that the client has not taken yet.
        pending: of requests that come in or lie ahead of an open one.
        body: of the open request's body.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.answer = 0
        self.pending = 0
        self.body = 0

    def reserve_body(self, octets: int) -> bool:
        """Reserve room for the open request's body; False where there is none."""
        if octets and not self.budget.reserve(octets):
            return False
        self.body = octets
        return True

    def reserve_pending(self, octets: int, uncounted: int) -> bool:
        """Reserve room for what is pending, where that is more than usual."""
        if octets <= max(uncounted, self.pending):
            return True
        if not self.budget.reserve(octets - self.pending):
            return False
        self.pending = octets
        return True

    def hold_answer(self, octets: int) -> None:
        """Count an answer that is written already, unless another is counted."""
        if not self.answer:
            self.answer = octets
            self.budget.hold(octets)

    def release_answer(self) -> None:
        """Count the answer no more."""
        self.budget.release(self.answer)
        self.answer = 0

    def release_pending(self) -> None:
        """Count what is pending no more."""
        self.budget.release(self.pending)
        self.pending = 0

    def release_body(self) -> None:
        """Count the open request's body no more."""
        self.budget.release(self.body)
        self.body = 0
