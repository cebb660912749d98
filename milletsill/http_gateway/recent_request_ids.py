"""Ids of requests that nodes may have run or may still run."""

from __future__ import annotations

from itertools import islice

# Every request has a new id, so an id that comes again is an error of its client. It is
# refused for at least this long, in tenths of a millisecond, also after its client's
# time or once the client has left: a node may have run it.
MIN_ID_LIFETIME = 300_000
MAX_IDS = 32_768
EXPIRED_CHECKED = 8  # oldest ids that are checked when an id is added


class RecentRequestIds:
    """Stores request ids for some time, also of finished requests.

    Every request has a new id, and so has each retry by a client. Accepting a stored id
    could run a request twice. An id that is used again is therefore refused, even if
    another client used it first. Times are tenths of a millisecond.
    """

    def __init__(self) -> None:
        self.until: dict[int, int] = {}  # in the order of addition

    def add(self, request_id: int, deadline: int, now: int) -> None:
        """Store an id until its deadline, and for `MIN_ID_LIFETIME` at least.

        Removes the oldest that have expired or exceed the limit.
        """
        for other in list(islice(self.until, EXPIRED_CHECKED)):
            if self.until[other] > now and len(self.until) < MAX_IDS:
                break
            del self.until[other]
        self.until[request_id] = max(deadline, now + MIN_ID_LIFETIME)

    def contains(self, request_id: int, now: int) -> bool:
        """Whether the id is stored and has not expired."""
        return self.until.get(request_id, now) > now
