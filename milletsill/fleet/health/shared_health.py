"""Connects shared health to a gateway.

The results of the gateway's attempts become its report, reports travel over the fleet's
transport, and verdicts become advice to the gateway's scheduler. Nothing here waits for
another gateway. Advice expires ADVICE_PERIODS publish periods after it was last given.
A gateway imports this module only if the `fleet` block of its settings file has a
`health` block.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import xxhash
from prometheus_client import CollectorRegistry

from milletsill.fleet.health.health_evaluator import HealthEvaluator, VerdictChange
from milletsill.fleet.health.health_metrics import HealthMetrics
from milletsill.fleet.health.node_observer import NodeObserver, has_unreported
from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking
from milletsill.fleet.health.report_exchange import ReportExchange
from milletsill.fleet.health.report_store import MalformedHealthReportError, ReportStore
from milletsill.fleet.health.tuning import (
    ADVICE_PERIODS,
    GOSSIP_INTERVAL,
    OBSERVATION_DECAY_TIME,
    ROUTINE_REPORT_PERIODS,
    SECOND,
)
from milletsill.fleet.transport import (
    FleetTransport,
    Member,
    MessageKind,
    View,
    ViewChange,
)
from milletsill.interface import (
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    Readiness,
    Request,
)
from milletsill.named_timers import NamedTimers, ReactorTimers
from milletsill.settings.milletsill_pb2 import FleetLink

MALFORMED_LOG_INTERVAL = 10 * SECOND  # between two log events

LogEvent = Callable[..., None]


def origin_of(gateway_name: str) -> int:
    """Return a gateway's id in reports, a hash that is the same at all gateways."""
    return xxhash.xxh64_intdigest(gateway_name.encode("utf-8", "surrogateescape"))


class AdvisedScheduler(Protocol):
    """The scheduler host: it reports ended attempts and accepts health advice."""

    on_attempt_ended: Callable[[int, Request, AttemptResult], None]

    def on_health_advice(
        self, node: int, load: float, avoid: bool, until: int, /
    ) -> None:
        """Apply advice on a node until the time `until`."""


@dataclass(frozen=True, slots=True)
class HealthConfig:
    """Settings of shared health; times in tenths of a millisecond.

    Attributes:
        publish_interval: Time between two reports, and between two evaluations.
        report_lifetime: Age after which an observation is discarded.
        max_flagged_share: Largest share of all nodes, and of the nodes of a shard, that
            may be flagged at once.
        max_gateways: Maximum number of stored reports.
        max_nodes: Maximum number of nodes in a report.
        latency_objectives: Latency objective of each request class.
    """

    publish_interval: int
    report_lifetime: int
    max_flagged_share: float
    max_gateways: int
    max_nodes: int
    latency_objectives: Sequence[int]

    @classmethod
    def from_settings(
        cls, fleet: FleetLink, max_nodes: int, latency_objectives: Sequence[int]
    ) -> HealthConfig:
        """Return the settings in a `fleet` block that has a `health` block."""
        return cls(
            publish_interval=int(fleet.health.publish_ms * 10),
            report_lifetime=int(fleet.health.lasts_s * SECOND),
            max_flagged_share=fleet.health.most_part,
            max_gateways=fleet.most_members,
            max_nodes=max_nodes,
            latency_objectives=latency_objectives,
        )


@dataclass(frozen=True, slots=True)
class HealthEnvironment:
    """Collaborators of shared health.

    Attributes:
        reactor: Runs the timers.
        now: Returns the current time in tenths of a millisecond.
        transport: Sends frames to the other gateways and provides the view.
        scheduler: Accepts advice and reports ended attempts.
        warn: Logs an event that needs an operator's attention.
        inform: Logs an event of normal operation.
        registry: The registry in which metrics are registered.
    """

    reactor: ReactorTimers
    now: Callable[[], int]
    transport: FleetTransport
    scheduler: AdvisedScheduler
    warn: LogEvent
    inform: LogEvent
    registry: CollectorRegistry


class SharedHealth:
    """Runs shared health at one gateway.

    Args:
        config: The settings.
        environment: The collaborators.
        seed: Seed of the random choice of members that receive reports.
    """

    def __init__(
        self, config: HealthConfig, environment: HealthEnvironment, seed: int
    ) -> None:
        self.config = config
        self.environment = environment
        self.transport = environment.transport
        self.origin = origin_of(self.transport.name)
        self.store = ReportStore(
            self.origin,
            self.transport.incarnation,
            config.max_gateways,
            config.max_nodes,
        )
        self.exchange = ReportExchange(self.store, seed, self._send)
        self.observer = NodeObserver(config.latency_objectives)
        self.evaluator = HealthEvaluator(config.max_flagged_share)
        self.ranking = RendezvousRanking()
        self.shards: dict[int, int | None] = {}
        self._metrics = HealthMetrics(environment.registry)
        self._present = {self.origin}
        self._others: list[str] = []
        self._periods = 0
        self._counted_bytes = 0
        self._logged_malformed_at = environment.now() - MALFORMED_LOG_INTERVAL
        self._limit_exceeded = False
        self._timers = NamedTimers(environment.reactor)

    @classmethod
    def for_gateway(cls, gateway: Any, seed: int) -> SharedHealth:
        """Return the shared health of a gateway whose file has a `health` block.

        Args:
            gateway: A gateway under construction that already has its transport.
            seed: Seed of the random choices.
        """
        request_classes = gateway.host.config.request_classes
        config = HealthConfig.from_settings(
            gateway.file.fleet,
            gateway.file.registry.most_boxes,
            [each.latency_objective for each in request_classes],
        )
        environment = HealthEnvironment(
            gateway.reactor,
            gateway.now,
            gateway.fleet,
            gateway.host,
            gateway.warn,
            lambda event, **values: gateway.log.info(event, **values),
            gateway.metrics.registry,
        )
        return cls(config, environment, seed)

    def start(self) -> None:
        """Subscribe to the transport and the scheduler, and start the timers."""
        self.transport.subscribe(MessageKind.HEALTH, self.on_frame)
        self.transport.watch_view(self.on_view)
        self.environment.scheduler.on_attempt_ended = self.observer.on_attempt_result
        self.on_view(self.transport.view, ())
        interval = self.config.publish_interval / SECOND
        self._timers.repeat("gossip", GOSSIP_INTERVAL / SECOND, self.run_round)
        self._timers.repeat("publish", interval, self.publish)
        self._timers.repeat("evaluate", interval, self.evaluate)

    def stop(self) -> None:
        """Cancel the timers."""
        self._timers.stop()

    def _send(self, member: str, body: bytes) -> bool:
        return self.transport.send(member, MessageKind.HEALTH, body)

    def on_endpoints(
        self, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Apply an endpoint update; only ready nodes have verdicts."""
        if kind is EndpointUpdateKind.FAILED:
            return
        self.observer.on_endpoints(endpoints)
        shards: dict[int, int | None] = {
            endpoint.node: endpoint.shard
            for endpoint in endpoints
            if endpoint.readiness is Readiness.READY
        }
        if kind is EndpointUpdateKind.DELTA:
            updated = {endpoint.node for endpoint in endpoints}
            for node, shard in self.shards.items():
                if node not in updated:
                    shards[node] = shard
        self.shards = shards
        self.observer.keep_only(shards)

    def on_view(self, view: View, changes: Sequence[tuple[ViewChange, Member]]) -> None:
        """Apply a new view: the present gateways and their ranking for each node."""
        origins = {origin_of(name) for name in view.by_name}
        members = len(origins)
        self._present = origins | {self.origin}
        self._others = [name for name in view.by_name if name != self.transport.name]
        self.ranking.update(lambda name: map(origin_of, view.rendezvous(name, members)))
        self._expire(self.config.report_lifetime)

    def _expire(self, lifetime: int) -> None:
        self.store.expire(self._present, self.environment.now() - lifetime)

    def on_frame(self, member: str, incarnation: int, body: bytes) -> None:
        """Merge another gateway's frame; count and log a malformed one."""
        now = self.environment.now()
        try:
            self.exchange.on_frame(now, member, body, self._present.__contains__)
        except MalformedHealthReportError as error:
            self._metrics.on_malformed_frame()
            if now - self._logged_malformed_at >= MALFORMED_LOG_INTERVAL:
                self._logged_malformed_at = now
                self.environment.warn(
                    "health_report_rejected", member=member, **error.log_fields()
                )

    def publish(self) -> None:
        """Add results to the own report.

        Urgent results are added in each publish period, others only in every
        ROUTINE_REPORT_PERIODS-th period.
        """
        self._periods += 1
        self.store.restart(self.transport.incarnation)
        urgent = self.observer.has_urgent_results or has_unreported(
            self.observer.statistics, self.evaluator.not_healthy()
        )
        if urgent or self._periods % ROUTINE_REPORT_PERIODS == 0:
            now = self.environment.now()
            self.exchange.write(self.observer.take_observations(now))

    def run_round(self) -> None:
        """Run a round of the report exchange and count the bytes sent."""
        self.exchange.run_round(self.environment.now(), self._others)
        self._metrics.on_sent(self.exchange.sent_bytes - self._counted_bytes)
        self._counted_bytes = self.exchange.sent_bytes

    def evaluate(self) -> None:
        """Evaluate all reports, log verdict changes, and advise the scheduler."""
        now = self.environment.now()
        members = len(self._present)
        self._expire(min(self.config.report_lifetime, 4 * OBSERVATION_DECAY_TIME))
        changes = self.evaluator.evaluate(
            self.store, members, self.ranking, self.shards, now
        )
        for change in changes:
            self._log_change(change)
        avoided = self._advise(now, members)
        self._update_metrics(avoided)

    def _log_change(self, change: VerdictChange) -> None:
        self._metrics.on_verdict_change(change.current)
        self.environment.inform(
            "node_verdict_changed",
            node=change.node,
            old=change.previous.value,
            new=change.current.value,
            cause=change.cause,
        )

    def _advise(self, now: int, members: int) -> int:
        """Advise the scheduler; return the number of nodes that it should avoid."""
        until = now + ADVICE_PERIODS * self.config.publish_interval
        avoided = 0
        for node in self.evaluator.not_healthy():
            place = self.ranking.places(node).get(self.origin, members)
            advice = self.evaluator.advice(node, place, members)
            avoided += advice.avoid
            self.environment.scheduler.on_health_advice(
                node, advice.load_factor, advice.avoid, until
            )
        return avoided

    def _update_metrics(self, avoided: int) -> None:
        """Set the gauges; log when the limit on flagged nodes takes or loses effect."""
        disregarded = self.evaluator.disregarded
        self._metrics.set_verdicts(
            state.verdict for state in self.evaluator.nodes.values()
        )
        self._metrics.set_state(len(self.store.reports), disregarded, avoided)
        limit_exceeded = disregarded > 0
        if limit_exceeded is self._limit_exceeded:
            return
        self._limit_exceeded = limit_exceeded
        listed = len(self.shards)
        if limit_exceeded:
            self.environment.warn("health_limit_exceeded", nodes=disregarded, of=listed)
        else:
            self.environment.inform("health_limit_cleared", nodes=listed)
