"""Processing of attempt results: learning about the node and finishing the request."""

from milletsill.interface import AttemptOutcome, AttemptResult
from milletsill.scheduler.constants import (
    MAX_WINDOW,
    WIDEN_BELOW_LATENCY_RATIO,
    WINDOW_DECREASE,
)
from milletsill.scheduler.key_ordering import KeyOrdering
from milletsill.scheduler.lifecycle import RequestLifecycle
from milletsill.scheduler.outlier_detection import OutlierDetection
from milletsill.scheduler.records import Attempt
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.surplus_window import SurplusWindow
from milletsill.scheduler.transitions import INDETERMINATE_OUTCOMES, NodeEvent


class AttemptResults:
    """Passes each attempt result, in a fixed order, to all that learn from it."""

    def __init__(
        self,
        state: SchedulerState,
        estimator: ServiceEstimator,
        surplus: SurplusWindow,
        outliers: OutlierDetection,
        ordering: KeyOrdering,
        lifecycle: RequestLifecycle,
    ) -> None:
        self._state = state
        self._estimator = estimator
        self._surplus = surplus
        self._outliers = outliers
        self._ordering = ordering
        self._lifecycle = lifecycle

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """Process one result; ignore it if the attempt is not in flight."""
        state = self._state
        attempt_id = (result.request_id, result.attempt_number)
        attempt = state.in_flight.pop(attempt_id, None)
        if attempt is None:
            return
        node = attempt.node
        request = attempt.request
        outcome = result.outcome
        has_succeeded = outcome is AttemptOutcome.SUCCEEDED
        attempt.outcome = outcome
        node.in_flight.remove(attempt)
        state.dirty_nodes[node.id] = node
        waited = result.latency - self._estimator.work_time(request, node)
        is_congested = not has_succeeded or self._surplus.is_congested_wait(waited)
        self._surplus.adjust_window(attempt, is_congested, now)
        self._outliers.on_attempt_result(attempt, result, now)
        if has_succeeded:
            self.learn_from_success(attempt, result, now)
        if outcome in INDETERMINATE_OUTCOMES:
            self._ordering.quarantine(request.key, now)
        self._lifecycle.on_attempt_result(attempt, result, now)

    def learn_from_success(
        self, attempt: Attempt, result: AttemptResult, now: int
    ) -> None:
        """Update the node's estimates and its concurrency window after a success."""
        node = attempt.node
        node.failures = max(node.failures - 1, 0)
        self._estimator.observe(attempt, result, now)
        if node.is_congested():
            narrowed = node.window * WINDOW_DECREASE
            node.window = max(narrowed, self._state.min_window)
        elif (
            attempt.filled_window
            and node.unit_latency < WIDEN_BELOW_LATENCY_RATIO * node.usual_unit_latency
        ):
            node.window = min(node.window + 1 / node.window, MAX_WINDOW)
            self._outliers.on_node_event(node, NodeEvent.RESPONDED_IN_TIME, now)
