"""Ids of requests whose clients may still wait for them."""

from __future__ import annotations

from itertools import islice

MAX_IDS = 16_384
EXPIRED_CHECKED = 8  # of the oldest, with each id that comes


class RecentRequestIds:
    """Remembers ids until their clients' deadlines, also of requests that are over.

    Every request has a fresh id, a client's retry too. An id that comes once more would
    be another's request run twice (rule 2): who uses one again within the time-out of
    its first use is refused, and so is who comes behind a stranger that used its id.
    Times are tenths of a millisecond.
    """

    def __init__(self) -> None:
        self.until: dict[int, int] = {}  # in the order of their coming

    def add(self, request_id: int, until: int, now: int) -> None:
        """Remember an id; the oldest whose time is over, or that are too many, go."""
        for other in list(islice(self.until, EXPIRED_CHECKED)):
            if self.until[other] > now and len(self.until) < MAX_IDS:
                break
            del self.until[other]
        self.until[request_id] = until

    def contains(self, request_id: int, now: int) -> bool:
        """Whether the id is remembered and its time is not over."""
        return self.until.get(request_id, now) > now
