"""Simple schedulers that the laboratory compares with the real one.

They implement the same interface as `milletsill.scheduler.Scheduler` and run only in
the laboratory. `fifo` keeps one first-in-first-out queue per shard and at most
`MAX_IN_FLIGHT_PER_NODE` attempts in flight at a node. `flood` sends every request at
once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Any

from milletsill.deployment_config import DeploymentConfig
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    GrantedShare,
    QuotaKind,
    Readiness,
    Request,
    SchedulerEffects,
)

MAX_IN_FLIGHT_PER_NODE = 8


class Fifo:
    """First in, first out; a request fails at its deadline or with its only attempt."""

    max_in_flight = MAX_IN_FLIGHT_PER_NODE

    def __init__(
        self, config: DeploymentConfig, seed: int, now: int, effects: SchedulerEffects
    ) -> None:
        self.config, self.effects = config, effects
        self.node_by_shard: dict[int, int] = {}
        self.in_flight: dict[int, int] = {}  # attempts in flight by ready node
        self.queues: dict[int, deque[Request]] = {}
        self.open_requests: dict[int, Request] = {}
        self.shard_index = 0
        effects.watch_endpoints()

    def on_quota_share(
        self, now: int, kind: QuotaKind, id: int, granted: GrantedShare
    ) -> None:
        """Ignore quota shares."""

    def on_health_advice(
        self, now: int, node_id: int, load_factor: float, avoid: bool, expires_at: int
    ) -> None:
        """Ignore health advice."""

    def on_endpoints(
        self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        if kind is EndpointUpdateKind.FAILED:
            return self.effects.set_timer(now + self.config.rewatch_within // 4, "ask")
        if kind is EndpointUpdateKind.SNAPSHOT:
            self.node_by_shard.clear()
        for endpoint in endpoints:
            if endpoint.readiness is Readiness.READY:
                self.node_by_shard[endpoint.shard] = endpoint.node
                self.in_flight.setdefault(endpoint.node, 0)
            elif self.node_by_shard.get(endpoint.shard) == endpoint.node:
                del self.node_by_shard[endpoint.shard]

    def on_request(self, now: int, request: Request) -> None:
        self.open_requests[request.id] = request
        self.effects.set_timer(
            request.deadline - 2 * self.config.timer_resolution, request.id
        )
        shard = request.shard
        if shard is None and self.node_by_shard:
            self.shard_index += 1
            shard = sorted(self.node_by_shard)[
                self.shard_index % len(self.node_by_shard)
            ]
        self.queues.setdefault(-1 if shard is None else shard, deque()).append(request)

    def dispatch_pending(self, now: int) -> None:
        for shard, queue in self.queues.items():
            node = self.node_by_shard.get(shard)
            while (
                queue and node is not None and self.in_flight[node] < self.max_in_flight
            ):
                request = queue.popleft()
                if request.id in self.open_requests:
                    self.in_flight[node] += 1
                    self.effects.send_attempt(request.id, node, 0)

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        self.in_flight[result.node] = self.in_flight.get(result.node, 1) - 1
        if result.request_finished or result.outcome is AttemptOutcome.SUCCEEDED:
            self.open_requests.pop(result.request_id, None)
        elif self.open_requests.pop(result.request_id, None) is not None:
            self.effects.fail(result.request_id)

    def on_client_cancelled(self, now: int, request_id: int) -> None:
        self.open_requests.pop(request_id, None)

    def on_timer(self, now: int, token: Any) -> None:
        if token == "ask":
            self.effects.watch_endpoints()
        elif self.open_requests.pop(token, None) is not None:
            self.effects.fail(token)


class Flood(Fifo):
    """Sends every request at once, whatever is in flight."""

    max_in_flight = 1 << 30


SCHEDULERS = {"fifo": Fifo, "flood": Flood}
