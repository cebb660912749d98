"""The only path by which attempts are sent: first `wait_time`, then `send`."""

from dataclasses import dataclass

from milletsill.deployment_config import RetrySafety
from milletsill.scheduler.constants import LOST_AFTER_LATENCIES, NEVER
from milletsill.scheduler.key_ordering import KeyOrdering
from milletsill.scheduler.lifecycle import RequestLifecycle
from milletsill.scheduler.rate_limiter import RateLimiter
from milletsill.scheduler.records import Attempt, QueuedRequest, StorageNode
from milletsill.scheduler.retry_policy import RetryPolicy
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.slow_start import SlowStart
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.transitions import NodeHealth, RequestEvent, RequestState


@dataclass(frozen=True, slots=True)
class SendRules:
    """The rules that every attempt has to satisfy, in the order of their checks."""

    retry_policy: RetryPolicy
    slow_start: SlowStart
    ordering: KeyOrdering
    rate_limiter: RateLimiter


class SendGate:
    """Checks attempts against the rules, and sends them."""

    def __init__(
        self,
        state: SchedulerState,
        estimator: ServiceEstimator,
        rules: SendRules,
        lifecycle: RequestLifecycle,
    ) -> None:
        self._state = state
        self._estimator = estimator
        self._lifecycle = lifecycle
        self._retry_policy = rules.retry_policy
        self._slow_start = rules.slow_start
        self._ordering = rules.ordering
        self._rate_limiter = rules.rate_limiter

    def wait_time(self, request: QueuedRequest, node: StorageNode, now: int) -> int:
        """Return 0 if the request may go to the node now, else how long to wait.

        A finished or expired request never goes, and neither does one to an unavailable
        node. A draining node gets no new attempts, even during its grace period.
        """
        if (
            request.state is RequestState.FINISHED
            or now >= request.deadline
            or node.health is NodeHealth.UNAVAILABLE
        ):
            return NEVER
        return max(
            self._retry_policy.wait_time(request, node, now),
            self._slow_start.wait_time(request, node, now),
            self._ordering.wait_time(request, now),
            self._rate_limiter.wait_time(request, now),
        )

    def send(self, request: QueuedRequest, node: StorageNode, now: int) -> None:
        """Send an attempt and charge it to all limits and budgets."""
        state = self._state
        number = len(request.attempts)
        if number:
            self._retry_policy.charge(request, node, now)
        else:
            self._rate_limiter.charge(request)
        attempt = Attempt(request, node, now)
        state.in_flight[request.id, number] = attempt
        request.volume.surplus_in_flight += attempt.is_surplus
        node.remove(request)
        request.attempts.append(attempt)
        node.in_flight.append(attempt)
        self._slow_start.charge(request, node, now)
        timeout = self._decide_timeout(attempt, number, now)
        safety = request.request_class.retry_safety
        if safety is RetrySafety.NON_IDEMPOTENT:
            timeout = 0
        state.effects.send_attempt(request.id, node.id, timeout)
        self._lifecycle.on_event(request, RequestEvent.ATTEMPT_SENT)

    def _decide_timeout(self, attempt: Attempt, number: int, now: int) -> int:
        """Return the timeout of an attempt, and decide whether another may follow it.

        A timeout recovers the window slot of an attempt that was lost without a
        response. It does not end before the target, because few answers make a poor
        estimate of the latency, except for a first attempt with as much time left for a
        second. Surplus, and every attempt at a node that has failed, ends at the
        target, so that no late work is done. The cost is late weight, and a second
        attempt at a node that only pauses.
        """
        request = attempt.request
        node = attempt.node
        time_left = request.target - now
        service_time = self._estimator.service_time(request, node)
        lost_after = int(LOST_AFTER_LATENCIES * max(node.latency or 0, service_time))
        if (
            not number
            and node.latency is not None
            and node.retry_credit > 0
            and 2 * lost_after <= time_left
        ):
            return lost_after
        attempt.is_final = time_left > 0 and (
            not request.is_reserved or node.failures > 0
        )
        return time_left if attempt.is_final else max(time_left, lost_after)
