"""Requests of one ordered key run in order of arrival (rule 5 in docs/design.md)."""

from collections import deque

from milletsill.deployment_config import DeploymentConfig
from milletsill.scheduler.records import QueuedRequest
from milletsill.scheduler.transitions import RequestState


class KeyQueue:
    """The requests of one key, and its quarantine."""

    __slots__ = ("requests", "quarantined_until")

    def __init__(self) -> None:
        self.requests: deque[QueuedRequest] = deque()
        self.quarantined_until = 0

    def drop_finished(self) -> None:
        """Drop finished requests without attempts in flight from the queue's front."""
        requests = self.requests
        while requests:
            first = requests[0]
            if first.state is not RequestState.FINISHED or first.is_in_flight():
                return
            requests.popleft()

    def is_needed(self, now: int) -> bool:
        """Whether the key still has requests or is in quarantine."""
        self.drop_finished()
        return bool(self.requests) or now < self.quarantined_until


class KeyOrdering:
    """Lets only the first request of each ordered key go.

    A key is quarantined after an attempt with an indeterminate outcome, because the
    node may still be executing that attempt.

    Attributes:
        queues: the queues by key, least recently checked for eviction first.
    """

    def __init__(self, config: DeploymentConfig) -> None:
        self._quarantine = config.key_quarantine
        self._recheck_after = max(config.timer_resolution, 1)
        self.queues: dict[int, KeyQueue] = {}

    def add(self, request: QueuedRequest) -> None:
        """Append a request that has just arrived to the queue of its key."""
        if request.request_class.is_ordered and request.key:
            queue = self.queues.get(request.key)
            if queue is None:
                queue = self.queues[request.key] = KeyQueue()
            queue.requests.append(request)

    def wait_time(self, request: QueuedRequest, now: int) -> int:
        """Return 0 if the request is the next of its key, else how long to wait."""
        if not request.request_class.is_ordered or not request.key:
            return 0
        queue = self.queues[request.key]
        queue.drop_finished()
        if queue.requests[0] is not request:
            return self._recheck_after
        return 0 if request.attempts else max(queue.quarantined_until - now, 0)

    def quarantine(self, key: int, now: int) -> None:
        """Quarantine a key after an indeterminate outcome."""
        queue = self.queues.get(key)
        if queue is not None:
            queue.quarantined_until = now + self._quarantine

    def evict_idle(self, now: int) -> None:
        """Evict the key that was checked longest ago, unless it is still needed."""
        key = next(iter(self.queues), None)
        if key is None:
            return
        queue = self.queues.pop(key)
        if queue.is_needed(now):
            self.queues[key] = queue
