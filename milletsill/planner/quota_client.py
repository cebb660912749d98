"""The gateway's side of the planner: which shares it asks for, and what it is told.

Nothing here waits for the planner: without a word from it the gateway has its even
shares, or less where it has lent some, until that is over (docs/planner.md). A gateway
without a `planner` in its file loads none of this.
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
MAX_FORECAST_TIMER = 60 * SECOND  # what ends later needs no timer yet
FIRST_INCARNATION = 1


class PendingQuotaRequest(Protocol):
    """A request that the scheduler's host has not finished."""

    @property
    def request(self) -> Request:
        """The request."""

    @property
    def answered(self) -> bool:
        """Whether it has its final answer."""

    @property
    def attempts(self) -> Sequence[object]:
        """The attempts that were made."""


class QuotaScheduler(Protocol):
    """The scheduler's host, which keeps within the shares that it is told.

    Attributes:
        max_decision_age: Attempts decided longer ago than this are not sent.
    """

    max_decision_age: int

    @property
    def active(self) -> Mapping[int, PendingQuotaRequest]:
        """Its requests by id."""

    def on_quota_share(
        self, kind: QuotaKind, id: int, share: float | None, until: int, after: float, /
    ) -> None:
        """Take the share of a quota, until when it holds, and the least after that.

        A share of None is the even one.
        """


@dataclass(frozen=True, slots=True)
class QuotaClientEnvironment:
    """What a quota client works with.

    Attributes:
        reactor: A Twisted reactor.
        now: Returns the present time, in tenths of a millisecond.
        scheduler: Is told of each share that changes.
        warn: Logs an event that somebody should look at.
        registry: For the metrics.
    """

    reactor: Any
    now: Callable[[], int]
    scheduler: QuotaScheduler
    warn: Callable[..., None]
    registry: CollectorRegistry


class QuotaClient:
    """One gateway's shares of quotas.

    Args:
        config: Settings.
        environment: Collaborators.
        incarnation: This start of the gateway.
        seed: For the spread of requests and reconnects.

    Attributes:
        ledger: What the gateway holds.
        demands: What it wants, by quota.
        whole_rates: Units a second of each quota.
        forecasts: What the scheduler was last told of each.
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
        self.whole_rates: dict[QuotaKey, float] = {}
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
        """Return the quota client of a gateway whose file asks for it.

        Args:
            gateway: A gateway that is being made; it has its scheduler's host already.
            deployment: The settings that its scheduler has.
            seed: For random choices.
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
        """Connect to the planner, and begin to ask.

        Volumes of the whole fleet are known from the start, so that their shares may be
        lent before they are used.
        """
        for volume in self.config.volumes:
            self.track_volume(volume.number, self.config.gateways, volume.plan, 0.0)
        self.session.connect()
        interval = self.config.request_interval
        self._timers.set(REQUEST_TIMER, interval, self.send_requests)

    def stop(self) -> None:
        """Cancel the timers, and close the connection."""
        self._timers.stop()
        self.session.close()

    def on_tick(self) -> None:
        """Once a second: forget nodes that are warm, and update the metrics."""
        self._forget_warm_nodes()
        holdings = list(self.ledger.holdings.values())
        self._metrics.update(self.session.is_planned, holdings, self._now())

    def _forget_warm_nodes(self) -> None:
        """Drop quotas of nodes that are warm or gone, once nothing of them is held.

        So a gateway that runs for months does not keep every node that was replaced;
        volumes are those of the file. A node that starts again is tracked anew.
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
                del self.whole_rates[key]
                del self.forecasts[key]
                del self.ledger.holdings[key]
                self._scheduler.on_quota_share(key.kind, key.id, None, 0, 0.0)

    def on_request(self, request: Request) -> None:
        """Count a request, before the scheduler hears of it."""
        plan = self.config.plans[request.service_plan]
        units = request.units
        self.track_volume(request.volume, request.sharing_gateways, plan, units)
        key = self._slow_start_key(request)
        if key is not None and key in self.demands:
            self.demands[key].add(units, self._now())

    def _slow_start_key(self, request: Request) -> QuotaKey | None:
        """Return the budget that a request draws on, if its node is warming up."""
        if request.shard is None:
            return None
        node = self.slow_start_nodes.get(request.shard)
        return None if node is None else QuotaKey(QuotaKind.SLOW_START, node)

    def track_volume(
        self, number: int, gateways: int, plan: ServicePlanConfig, units: float
    ) -> None:
        """Track what of a volume is shared, and how much of it was asked for."""
        if plan.limit_rate > 0:
            key = QuotaKey(QuotaKind.LIMIT, number)
            self._use(key, gateways, plan.limit_rate, units)
        if plan.reserved_rate > 0:
            key = QuotaKey(QuotaKind.RESERVE, number)
            self._use(key, gateways, plan.reserved_rate, units)

    def _use(
        self, key: QuotaKey, gateways: int, whole_rate: float, units: float
    ) -> None:
        demand = self._track(key, gateways, whole_rate)
        if units:
            demand.add(units, self._now())

    def _track(self, key: QuotaKey, gateways: int, whole_rate: float) -> DemandEstimate:
        """Return the demand for a quota.

        From the first time on shares of it are asked for, and the scheduler knows its
        own.
        """
        demand = self.demands.get(key)
        if demand is None:
            demand = DemandEstimate(sampled_at=self._now())
            self.demands[key] = demand
            self.whole_rates[key] = whole_rate
            self.ledger.track(key, gateways)
            self._tell_scheduler(key)
        return demand

    def on_endpoints(self, endpoints: Sequence[Endpoint]) -> None:
        """Take an update of the endpoint list.

        Slow-start budgets are shared while a node is warming up; the scheduler is told
        its share before it sends, and again each time, since it may have forgotten a
        node that was gone.
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
        """Tell the scheduler its share if it changed, and again when it ends."""
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

    def on_planned(self) -> None:
        """Ask at once when the planner has taken this gateway."""
        self.send_requests()

    def on_grant(self, grant: QuotaGrant) -> None:
        """Take a grant, and tell the scheduler what comes of it."""
        now = self._now()
        outcome = self.ledger.on_grant(grant, now)
        self._metrics.on_grant(outcome)
        has_effect = outcome in (GrantOutcome.ACCEPTED, GrantOutcome.EXPIRED)
        if has_effect and grant.key in self.demands:
            self.demands[grant.key].on_grant(grant, now)
            self._tell_scheduler(grant.key)

    def waiting_units(self) -> dict[QuotaKey, float]:
        """Return the units that were taken and not sent yet, by quota.

        What a limit holds back does not arrive faster, but it is wanted.
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
        """Ask for all that is wanted, and again after an interval."""
        interval = self.config.request_interval * self._random.uniform(*REQUEST_JITTER)
        self._timers.set(REQUEST_TIMER, interval, self.send_requests)
        self.session.check_silence()
        if not self.session.can_send_requests():
            return
        wishes = self._due_requests()
        for start in range(0, max(len(wishes), 1), MAX_REQUESTS_PER_FRAME):
            frame = wishes[start : start + MAX_REQUESTS_PER_FRAME]
            self.session.send(asks=Asks(wish=frame))

    def _due_requests(self) -> list[Wish]:
        now = self._now()
        waiting = self.waiting_units()
        requests = []
        for key, demand in self.demands.items():
            rate = wanted_rate(demand.update_rate(now), waiting.get(key, 0.0))
            if demand.should_request(now, rate, self.config.timings):
                share = share_for_rate(rate, self.whole_rates[key])
                request = self.ledger.make_request(key, share, now)
                requests.append(encode_request(request, rate))
        return requests


def _timer_name(key: QuotaKey) -> str:
    return f"{key.kind} {key.id}"
