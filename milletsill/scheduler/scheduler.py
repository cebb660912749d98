"""The scheduler as its host sees it: its components, and which events each gets."""

from collections.abc import Sequence
from weakref import ReferenceType, ref

from milletsill.deployment_config import DeploymentConfig, RequestClassConfig
from milletsill.interface import (
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    GrantedShare,
    QuotaKind,
    Request,
    SchedulerEffects,
)
from milletsill.scheduler.attempt_results import AttemptResults
from milletsill.scheduler.batch_delay_edf import BatchDelayEdf
from milletsill.scheduler.constants import (
    EVICTION_CHECKS_PER_REQUEST,
    NEVER,
    UNSENT_TIME_SHARE,
)
from milletsill.scheduler.endpoint_tracker import EndpointTracker
from milletsill.scheduler.key_ordering import KeyOrdering
from milletsill.scheduler.lifecycle import RequestLifecycle
from milletsill.scheduler.outlier_detection import OutlierDetection
from milletsill.scheduler.placement import Placement
from milletsill.scheduler.quota_shares import QuotaShares
from milletsill.scheduler.rate_limiter import RateLimiter
from milletsill.scheduler.records import QueuedRequest, StorageNode
from milletsill.scheduler.retry_budget import RetryBudget
from milletsill.scheduler.retry_policy import RetryPolicy
from milletsill.scheduler.send_gate import SendGate, SendRules
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.slow_start import SlowStart
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.surplus_window import SurplusWindow
from milletsill.scheduler.transitions import RequestEvent, RequestState, TimerToken
from milletsill.scheduler.volume_table import VolumeTable


class Scheduler:
    """All scheduling decisions of one gateway: what is sent, when and to which node.

    A host creates it with the configuration, a random seed, the time and its effects,
    reports events by the `on_...` methods, and calls `dispatch_pending` once it has
    reported all events that are known so far. It is deterministic: the same events at
    the same times have the same effects.

    Attributes:
        config: the configuration that the scheduler was created with.
        state: the state that its components share; for reports and tests.
    """

    def __init__(
        self, config: DeploymentConfig, seed: int, now: int, effects: SchedulerEffects
    ) -> None:
        state = SchedulerState(config, seed, now, effects)
        self.config = config
        self.state = state
        self.estimator = ServiceEstimator(state)
        self.quota_shares = QuotaShares()
        self.volumes = VolumeTable(state, self.quota_shares)
        self.retry_budget = RetryBudget(config)
        self.retry_policy = RetryPolicy(config, self.retry_budget)
        self.slow_start = SlowStart(state, self.quota_shares)
        self.ordering = KeyOrdering(config)
        self.rate_limiter = RateLimiter(self.quota_shares)
        self.surplus = SurplusWindow(state, self.estimator)
        self.placement = Placement(
            state, self.estimator, self.retry_policy, self.slow_start
        )
        self.lifecycle = RequestLifecycle(state, self.placement)
        self.gate = SendGate(
            state,
            self.estimator,
            SendRules(
                self.retry_policy, self.slow_start, self.ordering, self.rate_limiter
            ),
            self.lifecycle,
        )
        self.outliers = OutlierDetection(state, self.estimator, self.placement)
        self.results = AttemptResults(
            state,
            self.estimator,
            self.surplus,
            self.outliers,
            self.ordering,
            self.lifecycle,
        )
        self.edf = BatchDelayEdf(
            state,
            self.estimator,
            self.gate,
            self.surplus,
            self.placement,
            self.lifecycle,
        )
        self.endpoints = EndpointTracker(state, self.outliers, self.slow_start)
        self.endpoints.start()

    def on_endpoints(
        self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Process an update of the endpoint list."""
        self.endpoints.on_endpoints(now, kind, endpoints)

    def on_request(self, now: int, request: Request) -> None:
        """Accept a request; it waits for the next `dispatch_pending`."""
        config = self.config
        if request.request_class >= len(
            config.request_classes
        ) or request.service_plan >= len(config.service_plans):
            # The configuration has no such request class or service plan.
            self.state.effects.reject(request.id, 0)
            return
        self.evict_idle(now)
        queued = self._queued_request(request, now)
        self.state.requests[request.id] = queued
        self.slow_start.record_arrival(queued, now)
        self.volumes.charge_reserve(queued, now)
        self.retry_budget.record_request(now)
        self.ordering.add(queued)
        self._set_request_timers(queued, now)
        self.state.unplaced.append(queued)

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """Process the end of an attempt."""
        self.results.on_attempt_result(now, result)

    def on_client_cancelled(self, now: int, request_id: int) -> None:
        """Remove a request whose client has left."""
        request = self.state.requests.get(request_id)
        if request is not None:
            self.lifecycle.on_event(request, RequestEvent.CLOSED)

    def on_timer(self, now: int, token: object) -> None:
        """Handle a timer by the object that it was set with."""
        if isinstance(token, ReferenceType):
            token = token()
        if isinstance(token, QueuedRequest):
            self._on_request_timer(token, now)
        elif isinstance(token, StorageNode):
            token.timer_at = NEVER
            self.state.dirty_nodes[token.id] = token
        elif token is TimerToken.RENEW_WATCH:
            self.endpoints.on_watch_timer()

    def on_quota_share(
        self, now: int, kind: QuotaKind, id: int, granted: GrantedShare
    ) -> None:
        """Apply a share, other than the even one, of what all gateways share.

        A limit is first refilled at the share that was in force until now.
        """
        if kind is QuotaKind.LIMIT and id in self.volumes.by_id:
            self.rate_limiter.settle(self.volumes.by_id[id], now)
        self.quota_shares.grant(kind, id, granted)

    def on_health_advice(
        self, now: int, node_id: int, load_factor: float, avoid: bool, expires_at: int
    ) -> None:
        """Apply the fleet's health advice on a node."""
        node = self.state.nodes.get(node_id)
        if node is not None:
            self.outliers.on_health_advice(node, load_factor, avoid, expires_at, now)

    def dispatch_pending(self, now: int) -> None:
        """Place requests without a node, then fill the windows of all changed nodes."""
        state = self.state
        place = self.placement.place
        state.unplaced = [
            each
            for each in state.unplaced
            if each.state is RequestState.QUEUED and not place(each, now)
        ]
        for node in list(state.dirty_nodes.values()):
            self.edf.shed_late_requests(node, now)
            self.edf.fill_window(node, now)
        state.dirty_nodes.clear()

    def evict_idle(self, now: int) -> None:
        """Check a few of the least recently used records, and evict the idle ones."""
        for _ in range(EVICTION_CHECKS_PER_REQUEST):
            self.volumes.evict_idle(now)
            self.slow_start.evict_idle(now)
            self.ordering.evict_idle(now)

    def _queued_request(self, request: Request, now: int) -> QueuedRequest:
        request_class = self.config.request_classes[request.request_class]
        has_units = 0 < request.units < NEVER
        units = request.units if has_units else self.config.mean_request_units
        target = self._target(request, request_class, units, now)
        volume = self.volumes.use(request, now)
        return QueuedRequest(request, request_class, volume, units, target)

    def _target(
        self,
        request: Request,
        request_class: RequestClassConfig,
        units: float,
        now: int,
    ) -> int:
        """Return until when an answer has its full value.

        The objective of a client's retry counts from the client's first try. A retry
        with less time left than the objective is one of many short tries and counts
        from now.
        """
        stretch = request_class.objective_stretch * units * self.estimator.unit_time
        objective = request_class.latency_objective + int(stretch)
        start = now
        if request.is_retry and request.deadline - now >= objective:
            start = min(now, request.deadline - request_class.client_timeout)
        return min(start + objective, request.deadline)

    def _set_request_timers(self, request: QueuedRequest, now: int) -> None:
        """Set both timers of a request; they hold it by a weak reference.

        A host keeps a timer until it is due, possibly long after the request has
        finished.
        """
        set_timer = self.state.effects.set_timer
        set_timer(self.lifecycle.answer_time(request), ref(request))
        unsent_for = int(UNSENT_TIME_SHARE * (request.deadline - now))
        set_timer(now + unsent_for, ref(request))

    def _on_request_timer(self, request: QueuedRequest, now: int) -> None:
        """Give up a request that was never sent, or whose client is about to leave.

        A request that was never sent is given up early, while its client has time for
        another try. Otherwise a shard without a node or a long surge would hold it to
        the end in vain. The cost is the late weight that it might still have earned.
        """
        if not request.attempts or now >= self.lifecycle.answer_time(request):
            self.lifecycle.on_event(request, RequestEvent.GIVEN_UP)
