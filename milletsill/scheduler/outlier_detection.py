"""Which nodes are avoided: health, backoff after failures, and the fleet's advice."""

from milletsill.interface import AttemptOutcome, AttemptResult
from milletsill.scheduler.constants import (
    MAX_COUNTED_FAILURES,
    MAX_RETRY_CREDIT,
    RECENTLY_HEARD,
)
from milletsill.scheduler.placement import Placement
from milletsill.scheduler.records import Attempt, StorageNode
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.transitions import (
    INDETERMINATE,
    NODE_TRANSITIONS,
    SILENT,
    NodeEffect,
    NodeEvent,
)

# Outcomes that lengthen a node's backoff.
FAILURES = (*SILENT, AttemptOutcome.REJECTED)
# Outcomes that say nothing of whether the node lives.
NO_SIGN_OF_LIFE = (*INDETERMINATE, AttemptOutcome.WITHDRAWN)


class OutlierDetection:
    """Carries nodes through their states, and lets those back off that fail."""

    def __init__(
        self, state: SchedulerState, estimator: ServiceEstimator, placement: Placement
    ) -> None:
        self._state = state
        self._estimator = estimator
        self._placement = placement

    def on_node_event(self, node: StorageNode, event: NodeEvent, now: int) -> None:
        """Carry a node over to its next state."""
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
        """Learn from an outcome whether the node lives.

        A node does not back off for an attempt that was lost alone (a connection fell
        silent): the first without a word while the node was heard of lately. Harm: a
        node that hangs is known later.
        """
        node = attempt.node
        outcome = result.outcome
        is_silent = outcome in SILENT
        is_lost_alone = is_silent and self._was_heard_lately(attempt, result)
        if is_silent:
            node.last_silent_at = now
        if (
            outcome in FAILURES
            and attempt.sent_at >= node.failed_at
            and not is_lost_alone
        ):
            self._back_off(node, result.latency, now)
        if is_silent and node.last_heard_at <= attempt.sent_at and not is_lost_alone:
            self.on_node_event(node, NodeEvent.ATTEMPT_FAILED, now)
        elif outcome not in NO_SIGN_OF_LIFE:
            node.last_heard_at = now
            node.retry_credit = min(node.retry_credit + 1, MAX_RETRY_CREDIT)

    def on_health_advice(
        self, node: StorageNode, load_factor: float, avoid: bool, until: int, now: int
    ) -> None:
        """Take in the fleet's view of a node.

        What this gateway heard of the node just now goes before.
        """
        if now >= until:
            return
        node.fleet_load_factor = load_factor
        node.advice_expires_at = until
        self._state.dirty_nodes[node.id] = node
        known_for = now - max(node.last_heard_at, node.failed_at)
        if known_for <= RECENTLY_HEARD * self._estimator.shortest_objective:
            return
        if avoid:
            node.backoff_until = max(until, node.backoff_until)
            self._placement.requeue_all(node)
        elif load_factor <= 0:  # this gateway was chosen to try the node
            node.backoff_until = 0
            node.failures = 0
            self._placement.requeue_all(node)

    def _was_heard_lately(self, attempt: Attempt, result: AttemptResult) -> bool:
        node = attempt.node
        # A reset may come at once.
        span = max(result.latency, self._estimator.shortest_objective)
        since = attempt.sent_at - RECENTLY_HEARD * span
        return node.last_heard_at >= max(node.last_silent_at, since)

    def _back_off(self, node: StorageNode, latency: int, now: int) -> None:
        """Send a node nothing for a while, longer with each failure.

        Guards against many gateways that keep trying a node which is crowded, slow,
        hung or gone. Harm: after a short fault it is left idle for a while.
        """
        node.failures = min(node.failures + 1, MAX_COUNTED_FAILURES)
        node.failed_at = now
        span = max(latency, node.latency or self._state.config.timer_resolution)
        jitter = self._state.random.uniform(0.5, 1.5)
        node.backoff_until = now + int(span * (2**node.failures - 1) * jitter)
        self._placement.requeue_all(node)
