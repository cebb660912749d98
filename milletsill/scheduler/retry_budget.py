"""Retries per window stay within a share of its requests (rule 6 in docs/design.md)."""

from collections import deque

from milletsill.deployment_config import DeploymentConfig


class RetryBudget:
    """Counts requests and retries in a sliding window.

    The edges of the window count against the gateway: a retry counts a little longer
    than the window, a request a little shorter.

    Attributes:
        request_times: when the requests of the window arrived.
        retry_times: when the retries of the window were sent.
    """

    def __init__(self, config: DeploymentConfig) -> None:
        self._window = config.retry_budget_window
        self._free = config.retry_budget_free
        self._ratio = config.retry_budget_ratio
        self.request_times: deque[int] = deque()
        self.retry_times: deque[int] = deque()

    def record_request(self, now: int) -> None:
        """Count a request that has arrived, and drop all older than the window."""
        if self._window is not None:
            self.request_times.append(now)
            self._has_room(self._window, now)

    def record_retry(self, now: int) -> None:
        """Count a retry that is sent."""
        if self._window is not None:
            self.retry_times.append(now)

    def wait_time(self, now: int) -> int:
        """Return 0 if a retry may go now, else how long to wait."""
        window = self._window
        if window is None or self._has_room(window, now):
            return 0
        if not self.retry_times:
            return max(window, 1)
        return max(self.retry_times[0] + window + 2 - now, 1)

    def _has_room(self, window: int, now: int) -> bool:
        since = now - window
        _drop_until(self.retry_times, since - 2)
        _drop_until(self.request_times, since + 1)
        allowed = self._free + self._ratio * len(self.request_times)
        return len(self.retry_times) + 1 <= allowed


def _drop_until(times: deque[int], last: int) -> None:
    while times and times[0] <= last:
        times.popleft()
