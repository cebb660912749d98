"""Which nodes are avoided: node health, backoff after failures, and health advice."""

from milletsill.interface import AttemptOutcome, AttemptResult
from milletsill.scheduler.constants import (
    MAX_COUNTED_FAILURES,
    MAX_RETRY_CREDIT,
    RECENT_RESPONSE_SPANS,
)
from milletsill.scheduler.placement import Placement
from milletsill.scheduler.records import Attempt, StorageNode
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.transitions import (
    INDETERMINATE_OUTCOMES,
    NODE_TRANSITIONS,
    UNANSWERED_OUTCOMES,
    NodeEffect,
    NodeEvent,
)

# Outcomes that lengthen a node's backoff.
BACKOFF_OUTCOMES = (*UNANSWERED_OUTCOMES, AttemptOutcome.REJECTED)
# Outcomes that do not show whether the node is alive.
INCONCLUSIVE_OUTCOMES = (*INDETERMINATE_OUTCOMES, AttemptOutcome.WITHDRAWN)


class OutlierDetection:
    """Moves nodes through their health states, and makes failing nodes back off."""

    def __init__(
        self, state: SchedulerState, estimator: ServiceEstimator, placement: Placement
    ) -> None:
        self._state = state
        self._estimator = estimator
        self._placement = placement

    def on_node_event(self, node: StorageNode, event: NodeEvent, now: int) -> None:
        """Move a node to its next state and carry out the effect of the transition."""
        self._state.dirty_nodes[node.id] = node
        transition = NODE_TRANSITIONS.get((node.health, event))
        if transition is None:
            return
        node.health, effect = transition
        if effect in (NodeEffect.NARROW_WINDOW, NodeEffect.RESET):
            node.window = self._state.min_window
            node.retry_credit = min(node.retry_credit, 1)
        if effect is NodeEffect.RESET:
            node.failures = 0
            node.backoff_until = now
        if effect is NodeEffect.REQUEUE_REQUESTS:
            node.unavailable_since = now
            self._placement.requeue_all(node)

    def on_attempt_result(
        self, attempt: Attempt, result: AttemptResult, now: int
    ) -> None:
        """Update a node's health, backoff and retry credit after an attempt.

        An isolated loss does not make a node back off: it is the first attempt without
        a response while the node has answered others recently, as when one connection
        goes silent. The cost is that a hung node is detected later.
        """
        node = attempt.node
        outcome = result.outcome
        is_unanswered = outcome in UNANSWERED_OUTCOMES
        is_isolated_loss = is_unanswered and self._responded_recently(attempt, result)
        if is_unanswered:
            node.last_unanswered_at = now
        if (
            outcome in BACKOFF_OUTCOMES
            and attempt.sent_at >= node.failed_at
            and not is_isolated_loss
        ):
            self._back_off(node, result.latency, now)
        if (
            is_unanswered
            and node.last_response_at <= attempt.sent_at
            and not is_isolated_loss
        ):
            self.on_node_event(node, NodeEvent.ATTEMPT_FAILED, now)
        elif outcome not in INCONCLUSIVE_OUTCOMES:
            node.last_response_at = now
            node.retry_credit = min(node.retry_credit + 1, MAX_RETRY_CREDIT)

    def on_health_advice(
        self, node: StorageNode, load_factor: float, avoid: bool, until: int, now: int
    ) -> None:
        """Apply the fleet's advice on a node.

        The advice does not override what this gateway itself has recently seen of the
        node.
        """
        if now >= until:
            return
        node.fleet_load_factor = load_factor
        node.advice_expires_at = until
        self._state.dirty_nodes[node.id] = node
        since_last_result = now - max(node.last_response_at, node.failed_at)
        if (
            since_last_result
            <= RECENT_RESPONSE_SPANS * self._estimator.shortest_objective
        ):
            return
        if avoid:
            node.backoff_until = max(until, node.backoff_until)
            self._placement.requeue_all(node)
        elif load_factor <= 0:  # this gateway was chosen to try the node
            node.backoff_until = 0
            node.failures = 0
            self._placement.requeue_all(node)

    def _responded_recently(self, attempt: Attempt, result: AttemptResult) -> bool:
        node = attempt.node
        # A reset may arrive at once; its latency alone is then too short a span.
        span = max(result.latency, self._estimator.shortest_objective)
        since = attempt.sent_at - RECENT_RESPONSE_SPANS * span
        return node.last_response_at >= max(node.last_unanswered_at, since)

    def _back_off(self, node: StorageNode, latency: int, now: int) -> None:
        """Send a node nothing for a while, longer with each failure.

        This keeps many gateways from retrying against a node that is congested, slow,
        hung or gone. The cost is that the node stays idle for a while after a short
        fault.
        """
        node.failures = min(node.failures + 1, MAX_COUNTED_FAILURES)
        node.failed_at = now
        span = max(latency, node.latency or self._state.config.timer_resolution)
        jitter = self._state.random.uniform(0.5, 1.5)
        node.backoff_until = now + int(span * (2**node.failures - 1) * jitter)
        self._placement.requeue_all(node)
