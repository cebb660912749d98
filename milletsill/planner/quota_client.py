"""The gateway's quota client: requests shares and applies the planner's grants.

The gateway never waits for the planner. Without grants it uses its even shares, minus
what it has lent until those loans end (docs/planner.md). A gateway whose file has no
`planner` block does not load this module.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from prometheus_client import CollectorRegistry

from milletsill.deployment_config import DeploymentConfig, ServicePlanConfig
from milletsill.interface import Endpoint, QuotaKind, Readiness, Request
from milletsill.named_timers import NamedTimers
from milletsill.planner.codec import encode_request
from milletsill.planner.demand_estimate import (
    DemandEstimate,
    share_for_rate,
    wanted_rate,
)
from milletsill.planner.plan_pb2 import Asks, Wish
from milletsill.planner.planner_session import PlannerSession, SessionEnvironment
from milletsill.planner.quota_client_config import QuotaClientConfig
from milletsill.planner.quota_client_metrics import QuotaClientMetrics
from milletsill.planner.quota_ledger import (
    GrantOutcome,
    QuotaForecast,
    QuotaLedger,
)
from milletsill.planner.quota_terms import (
    GRANT_GUARD,
    NEVER,
    SECOND,
    WHOLE,
    QuotaGrant,
    QuotaKey,
)

MAX_REQUESTS_PER_FRAME = 5000
REQUEST_JITTER = (0.9, 1.1)  # of the interval between requests
REQUEST_TIMER = "ask"
MAX_FORECAST_TIMER = 60 * SECOND  # no timer is set for a forecast that ends later
FIRST_INCARNATION = 1


class PendingQuotaRequest(Protocol):
    """A request that the scheduler host has not finished."""

    @property
    def request(self) -> Request:
        """The request."""

    @property
    def answered(self) -> bool:
        """Whether the request has its final answer."""

    @property
    def attempts(self) -> Sequence[object]:
        """The attempts made so far."""


class QuotaScheduler(Protocol):
    """The scheduler host, which enforces the shares that it is given.

    Attributes:
        max_decision_age: An attempt is not sent later than this after the decision to
            send it.
    """

    max_decision_age: int

    @property
    def active(self) -> Mapping[int, PendingQuotaRequest]:
        """Its active requests by id."""

    def on_quota_share(
        self, kind: QuotaKind, id: int, share: float | None, until: int, after: float, /
    ) -> None:
        """Set the share of a quota, as a fraction of the whole.

        Args:
            kind: The kind of quota.
            id: Number of the volume or node.
            share: The share until `until`; None means the even share.
            until: When the share may change.
            after: The least share at any time from `until` on.
        """


@dataclass(frozen=True, slots=True)
class QuotaClientEnvironment:
    """Collaborators of a quota client.

    Attributes:
        reactor: A Twisted reactor.
        now: Returns the present time, in tenths of a millisecond.
        scheduler: Receives each share that changes.
        warn: Logs a warning.
        registry: Registers the metrics.
    """

    reactor: Any
    now: Callable[[], int]
    scheduler: QuotaScheduler
    warn: Callable[..., None]
    registry: CollectorRegistry


class QuotaClient:
    """Requests one gateway's quota shares and passes them to its scheduler.

    Args:
        config: Settings.
        environment: Collaborators.
        incarnation: The gateway's incarnation.
        seed: Seeds the jitter of requests and reconnects.

    Attributes:
        ledger: The gateway's holdings, loans and grants.
        demands: Estimated demand by quota.
        quota_rates: Rate of each whole quota, in units per second.
        forecasts: The last forecast that the scheduler received, by quota.
        slow_start_nodes: The node that is warming up, by shard.
    """

    def __init__(
        self,
        config: QuotaClientConfig,
        environment: QuotaClientEnvironment,
        incarnation: int,
        seed: int,
    ) -> None:
        self.config = config
        self.ledger = QuotaLedger(
            config.name,
            incarnation,
            config.timings,
            environment.now(),
            fresh=incarnation == FIRST_INCARNATION,
        )
        self.demands: dict[QuotaKey, DemandEstimate] = {}
        self.quota_rates: dict[QuotaKey, float] = {}
        self.forecasts: dict[QuotaKey, QuotaForecast] = {}
        self.slow_start_nodes: dict[int, int] = {}
        self._now = environment.now
        self._scheduler = environment.scheduler
        self._metrics = QuotaClientMetrics(environment.registry)
        self._random = Random(seed)
        self._timers = NamedTimers(environment.reactor)
        self.session = PlannerSession(
            config.planner_address,
            self.ledger,
            SessionEnvironment(
                environment.reactor,
                environment.now,
                self._timers,
                self._random,
                environment.warn,
            ),
            self,
        )
        environment.scheduler.max_decision_age = GRANT_GUARD

    @classmethod
    def for_gateway(
        cls, gateway: Any, deployment: DeploymentConfig, seed: int
    ) -> QuotaClient:
        """Return the quota client of a gateway whose file has a `planner` block.

        Args:
            gateway: A gateway under construction that has its scheduler host already.
            deployment: The settings of its scheduler.
            seed: Seeds the jitter of requests and reconnects.
        """
        environment = QuotaClientEnvironment(
            gateway.reactor,
            gateway.now,
            gateway.host,
            gateway.warn,
            gateway.metrics.registry,
        )
        config = QuotaClientConfig.from_settings(gateway.file, deployment)
        return cls(config, environment, gateway.incarnation, seed)

    def start(self) -> None:
        """Connect to the planner and start the rounds of requests.

        Volumes that all gateways serve are tracked from the start, so that this gateway
        can lend its shares of them before it uses them.
        """
        for volume in self.config.volumes:
            self.track_volume(volume.number, self.config.gateways, volume.plan, 0.0)
        self.session.connect()
        interval = self.config.request_interval
        self._timers.set(REQUEST_TIMER, interval, self.send_requests)

    def stop(self) -> None:
        """Cancel the timers and close the connection."""
        self._timers.stop()
        self.session.close()

    def on_tick(self) -> None:
        """Drop quotas of warm nodes and update the metrics; called once a second."""
        self._forget_warm_nodes()
        holdings = list(self.ledger.holdings.values())
        self._metrics.update(self.session.is_established, holdings, self._now())

    def _forget_warm_nodes(self) -> None:
        """Drop quotas of nodes that are warm or gone, once no loan or grant is left.

        This bounds the memory of a gateway that runs for months while nodes are
        replaced; the volumes are bounded by the file. A node that starts again is
        tracked again.
        """
        now = self._now()
        warming_up = set(self.slow_start_nodes.values())
        warm = [
            key
            for key in self.demands
            if key.kind is QuotaKind.SLOW_START and key.id not in warming_up
        ]
        for key in warm:
            if self.ledger.is_idle(key, now):
                self._timers.cancel(_timer_name(key))
                del self.demands[key]
                del self.quota_rates[key]
                del self.forecasts[key]
                del self.ledger.holdings[key]
                self._scheduler.on_quota_share(key.kind, key.id, None, 0, 0.0)

    def on_request(self, request: Request) -> None:
        """Count a request's units as demand, before the scheduler receives it."""
        plan = self.config.plans[request.service_plan]
        units = request.units
        self.track_volume(request.volume, request.sharing_gateways, plan, units)
        key = self._slow_start_key(request)
        if key is not None and key in self.demands:
            self.demands[key].add(units, self._now())

    def _slow_start_key(self, request: Request) -> QuotaKey | None:
        """Return the slow-start quota that a request uses if its node is warming up."""
        if request.shard is None:
            return None
        node = self.slow_start_nodes.get(request.shard)
        return None if node is None else QuotaKey(QuotaKind.SLOW_START, node)

    def track_volume(
        self, number: int, gateways: int, plan: ServicePlanConfig, units: float
    ) -> None:
        """Track the quotas of a volume and add units to their demand."""
        if plan.limit_rate > 0:
            key = QuotaKey(QuotaKind.LIMIT, number)
            self._add_demand(key, gateways, plan.limit_rate, units)
        if plan.reserved_rate > 0:
            key = QuotaKey(QuotaKind.RESERVE, number)
            self._add_demand(key, gateways, plan.reserved_rate, units)

    def _add_demand(
        self, key: QuotaKey, gateways: int, quota_rate: float, units: float
    ) -> None:
        demand = self._track(key, gateways, quota_rate)
        if units:
            demand.add(units, self._now())

    def _track(self, key: QuotaKey, gateways: int, quota_rate: float) -> DemandEstimate:
        """Return the demand estimate of a quota.

        The first call starts to request shares of the quota and passes this gateway's
        own share to the scheduler.
        """
        demand = self.demands.get(key)
        if demand is None:
            demand = DemandEstimate(sampled_at=self._now())
            self.demands[key] = demand
            self.quota_rates[key] = quota_rate
            self.ledger.track(key, gateways)
            self._tell_scheduler(key)
        return demand

    def on_endpoints(self, endpoints: Sequence[Endpoint]) -> None:
        """Apply an update of the endpoint list.

        Slow-start budgets are shared while a node is warming up. The scheduler receives
        its share before it sends to the node, and again with each update, since it may
        have dropped the share of a node that was gone.
        """
        for endpoint in endpoints:
            if self._is_warming_up(endpoint):
                self.slow_start_nodes[endpoint.shard] = endpoint.node
                key = QuotaKey(QuotaKind.SLOW_START, endpoint.node)
                self._track(key, self.config.gateways, self.config.slow_start_rate)
                self._tell_scheduler(key)
            elif self.slow_start_nodes.get(endpoint.shard) == endpoint.node:
                del self.slow_start_nodes[endpoint.shard]

    def _is_warming_up(self, endpoint: Endpoint) -> bool:
        return (
            endpoint.started_at is not None
            and self._now() - endpoint.started_at < self.config.warm_up_time
            and endpoint.readiness is Readiness.READY
        )

    def _tell_scheduler(self, key: QuotaKey) -> None:
        """Pass the share to the scheduler if it changed, and again when it ends."""
        now = self._now()
        forecast = self.ledger.forecast(key, now)
        remaining = forecast.until - now
        if remaining < MAX_FORECAST_TIMER:
            self._timers.set(
                _timer_name(key), remaining / SECOND, self._tell_scheduler, key
            )
        if self.forecasts.get(key) == forecast and key.kind is not QuotaKind.SLOW_START:
            return
        self.forecasts[key] = forecast
        is_even = forecast.share == self.ledger.holdings[key].even_share
        share = forecast.share / WHOLE
        self._scheduler.on_quota_share(
            key.kind,
            key.id,
            None if is_even and forecast.until >= NEVER else share,
            forecast.until,
            forecast.least_after / WHOLE,
        )

    def on_established(self) -> None:
        """Send requests at once when the planner has accepted this gateway."""
        self.send_requests()

    def on_grant(self, grant: QuotaGrant) -> None:
        """Apply a grant, and pass the resulting share to the scheduler."""
        now = self._now()
        outcome = self.ledger.on_grant(grant, now)
        self._metrics.on_grant(outcome)
        has_effect = outcome in (GrantOutcome.ACCEPTED, GrantOutcome.EXPIRED)
        if has_effect and grant.key in self.demands:
            self.demands[grant.key].on_grant(grant, now)
            self._tell_scheduler(grant.key)

    def waiting_units(self) -> dict[QuotaKey, float]:
        """Return the units of requests without an attempt yet, by quota.

        Requests that a limit holds back do not raise the arrival rate, but they are
        demand.
        """
        waiting: dict[QuotaKey, float] = {}
        for active in self._scheduler.active.values():
            if active.answered or active.attempts:
                continue
            request = active.request
            for key in (
                QuotaKey(QuotaKind.LIMIT, request.volume),
                QuotaKey(QuotaKind.RESERVE, request.volume),
                self._slow_start_key(request),
            ):
                if key is not None and key in self.demands:
                    waiting[key] = waiting.get(key, 0.0) + request.units
        return waiting

    def send_requests(self) -> None:
        """Send the requests that are due, and schedule the next round."""
        interval = self.config.request_interval * self._random.uniform(*REQUEST_JITTER)
        self._timers.set(REQUEST_TIMER, interval, self.send_requests)
        self.session.check_silence()
        if not self.session.can_send_requests():
            return
        requests = self._due_requests()
        for start in range(0, max(len(requests), 1), MAX_REQUESTS_PER_FRAME):
            frame = requests[start : start + MAX_REQUESTS_PER_FRAME]
            self.session.send(asks=Asks(wish=frame))

    def _due_requests(self) -> list[Wish]:
        now = self._now()
        waiting = self.waiting_units()
        requests = []
        for key, demand in self.demands.items():
            rate = wanted_rate(demand.update_rate(now), waiting.get(key, 0.0))
            if demand.should_request(now, rate, self.config.timings):
                share = share_for_rate(rate, self.quota_rates[key])
                request = self.ledger.make_request(key, share, now)
                requests.append(encode_request(request, rate))
        return requests


def _timer_name(key: QuotaKey) -> str:
    return f"{key.kind} {key.id}"
