"""Ids of requests whose clients may still wait for an answer."""

from __future__ import annotations

from itertools import islice

MAX_IDS = 16_384
EXPIRED_CHECKED = 8  # oldest ids that are checked when an id is added


class RecentRequestIds:
    """Stores request ids until their clients' deadlines, also of finished requests.

    Every request has a new id, and so has each retry by a client. Accepting a stored id
    could run a request twice. An id that is used again within the time-out of its first
    use is therefore refused, even if another client used it first. Times are tenths of
    a millisecond.
    """

    def __init__(self) -> None:
        self.until: dict[int, int] = {}  # in the order of addition

    def add(self, request_id: int, until: int, now: int) -> None:
        """Store an id; remove the oldest that have expired or exceed the limit."""
        for other in list(islice(self.until, EXPIRED_CHECKED)):
            if self.until[other] > now and len(self.until) < MAX_IDS:
                break
            del self.until[other]
        self.until[request_id] = until

    def contains(self, request_id: int, now: int) -> bool:
        """Whether the id is stored and has not expired."""
        return self.until.get(request_id, now) > now
