"""The part of the memory budget that one client holds."""

from __future__ import annotations

from milletsill.http_gateway.resource_limits import SMALL_REQUEST, BufferBudget


class ClientMemory:
    """Octets of one client that count against the memory budget.

    Attributes:
        answer: octets of an answer that the client has not read yet.
        pending: octets of requests that are arriving or wait behind the open request.
        body: octets counted for the body of the open request.
    """

    def __init__(self, budget: BufferBudget) -> None:
        self.budget = budget
        self.answer = 0
        self.pending = 0
        self.body = 0

    def reserve_body(self, octets: int) -> bool:
        """Reserve memory for the open request's body; False if there is not enough.

        It is counted twice because the connection to a node holds a copy.
        """
        if octets <= SMALL_REQUEST:
            return True
        if not self.budget.reserve(2 * octets):
            return False
        self.body = 2 * octets
        return True

    def reserve_pending(self, octets: int) -> bool:
        """Reserve memory for pending requests, unless they are small."""
        if octets <= max(SMALL_REQUEST, self.pending):
            return True
        if not self.budget.reserve_arriving(octets - self.pending):
            return False
        self.pending = octets
        return True

    def hold_answer(self, octets: int) -> None:
        """Count an answer that is already written, unless one is counted."""
        if not self.answer:
            self.answer = octets
            self.budget.hold(octets)

    def release_answer(self) -> None:
        """Release the memory counted for the answer."""
        self.budget.release(self.answer)
        self.answer = 0

    def release_pending(self) -> None:
        """Release the memory counted for pending requests."""
        self.budget.release(self.pending)
        self.pending = 0

    def release_body(self) -> None:
        """Release the memory counted for the open request's body."""
        self.budget.release(self.body)
        self.body = 0
