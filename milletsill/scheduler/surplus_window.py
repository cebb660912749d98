"""Limits each volume's requests in flight beyond its reserve, over all nodes.

It stops surges that are spread over so many gateways and nodes that no node's own
window limits them. The cost is that one slow node narrows the window for all nodes.
"""

from milletsill.scheduler.constants import (
    CONGESTED_WAIT,
    MAX_WINDOW,
    MIN_SURPLUS_WINDOW,
    SURPLUS_DECREASE,
)
from milletsill.scheduler.records import Attempt, QueuedRequest, VolumeState
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.state import SchedulerState


class SurplusWindow:
    """Maintains each volume's surplus window; pauses enforce a window below one."""

    def __init__(self, state: SchedulerState, estimator: ServiceEstimator) -> None:
        self._random = state.random
        self._estimator = estimator

    def wait_time(self, request: QueuedRequest, now: int) -> int:
        """Return 0 if the window admits a queued request now, else how long to wait."""
        queue = request.queue
        if (
            queue is None
            or request.node is None
            or queue is request.node.deadline_queue
        ):
            return 0
        volume = request.volume
        if volume.surplus_in_flight >= max(int(volume.surplus_window), 1):
            return int(CONGESTED_WAIT * self._estimator.shortest_objective) + 1
        return max(volume.surplus_paused_until - now, 0)

    def is_congested_wait(self, waited: float) -> bool:
        """Whether an answer took so long that its volume should send less."""
        return waited > CONGESTED_WAIT * self._estimator.shortest_objective

    def adjust_window(self, attempt: Attempt, is_congested: bool, now: int) -> None:
        """Narrow or widen the window after an attempt."""
        volume = attempt.request.volume
        if is_congested and attempt.sent_at >= volume.surplus_narrowed_at:
            narrowed = volume.surplus_window * SURPLUS_DECREASE
            volume.surplus_window = max(narrowed, MIN_SURPLUS_WINDOW)
            volume.surplus_narrowed_at = now
        elif not is_congested and volume.surplus_in_flight + 1 >= int(
            volume.surplus_window
        ):
            window = volume.surplus_window
            volume.surplus_window = min(window + min(window, 1 / window), MAX_WINDOW)
        if attempt.is_surplus:
            volume.surplus_in_flight -= 1
            self._pause(volume, now - attempt.sent_at, now)

    def _pause(self, volume: VolumeState, latency: int, now: int) -> None:
        pause_factor = max(1 / volume.surplus_window - 1, 0)
        pause = latency * pause_factor * self._random.uniform(0.5, 1.5)
        volume.surplus_paused_until = now + int(pause)
