"""How many requests beyond a volume's reserve may be in flight, over all nodes.

Guards against surges over so many gateways and nodes that no node's window holds them
back. Harm: one slow node narrows the window for the others.
"""

from milletsill.scheduler.constants import (
    CROWDED_WAIT,
    MAX_WINDOW,
    MIN_SURPLUS_WINDOW,
    SURPLUS_DECREASE,
)
from milletsill.scheduler.records import Attempt, QueuedRequest, VolumeState
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.state import SchedulerState


class SurplusWindow:
    """Keeps each volume's window of surplus; below one it is kept by pauses."""

    def __init__(self, state: SchedulerState, estimator: ServiceEstimator) -> None:
        self._random = state.random
        self._estimator = estimator

    def wait_time(self, request: QueuedRequest, now: int) -> int:
        """0 if the window lets a queued request go now, else how long to wait."""
        queue = request.queue
        if (
            queue is None
            or request.node is None
            or queue is request.node.deadline_queue
        ):
            return 0
        volume = request.volume
        if volume.surplus_in_flight >= max(int(volume.surplus_window), 1):
            return int(CROWDED_WAIT * self._estimator.shortest_objective) + 1
        return max(volume.surplus_paused_until - now, 0)

    def is_crowded_wait(self, waited: float) -> bool:
        """Whether an answer has waited so long that its volume should send less."""
        return waited > CROWDED_WAIT * self._estimator.shortest_objective

    def adjust_window(self, attempt: Attempt, is_crowded: bool, now: int) -> None:
        """Narrow or widen the window by one answer."""
        volume = attempt.request.volume
        if is_crowded and attempt.sent_at >= volume.surplus_narrowed_at:
            narrowed = volume.surplus_window * SURPLUS_DECREASE
            volume.surplus_window = max(narrowed, MIN_SURPLUS_WINDOW)
            volume.surplus_narrowed_at = now
        elif not is_crowded and volume.surplus_in_flight + 1 >= int(
            volume.surplus_window
        ):
            window = volume.surplus_window
            volume.surplus_window = min(window + min(window, 1 / window), MAX_WINDOW)
        if attempt.is_surplus:
            volume.surplus_in_flight -= 1
            self._pause(volume, now - attempt.sent_at, now)

    def _pause(self, volume: VolumeState, latency: int, now: int) -> None:
        pauses = max(1 / volume.surplus_window - 1, 0)
        pause = latency * pauses * self._random.uniform(0.5, 1.5)
        volume.surplus_paused_until = now + int(pause)
