"""Baselines that stand in the module's place, in the laboratory only: the same door, no thought.

`fifo`: one queue a box, in turn of arrival, so many out at a time. `flood`: everything at once.
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

OUT_AT_A_BOX = 8


class Fifo:
    """First in, first out; nothing is given up before its client leaves."""

    most_out = OUT_AT_A_BOX

    def __init__(
        self, config: DeploymentConfig, seed: int, now: int, port: SchedulerEffects
    ) -> None:
        self.config, self.port = config, port
        self.cells: dict[int, int] = {}
        self.ready: dict[int, int] = {}  # node -> out
        self.queues: dict[int, deque[Request]] = {}
        self.held: dict[int, Request] = {}
        self.turn = 0
        port.watch_endpoints()

    def on_quota_share(
        self, now: int, kind: QuotaKind, id: int, granted: GrantedShare
    ) -> None:
        """Knows no rules."""

    def on_health_advice(
        self, now: int, node_id: int, load_factor: float, avoid: bool, expires_at: int
    ) -> None:
        """Hears no advice."""

    def on_endpoints(
        self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        if kind is EndpointUpdateKind.FAILED:
            return self.port.set_timer(now + self.config.rewatch_within // 4, "ask")
        if kind is EndpointUpdateKind.SNAPSHOT:
            self.cells.clear()
        for each in endpoints:
            if each.readiness is Readiness.READY:
                self.cells[each.shard] = each.node
                self.ready.setdefault(each.node, 0)
            elif self.cells.get(each.shard) == each.node:
                del self.cells[each.shard]

    def on_request(self, now: int, request: Request) -> None:
        self.held[request.id] = request
        self.port.set_timer(
            request.deadline - 2 * self.config.timer_resolution, request.id
        )
        cell = request.shard
        if cell is None and self.cells:
            self.turn += 1
            cell = sorted(self.cells)[self.turn % len(self.cells)]
        self.queues.setdefault(-1 if cell is None else cell, deque()).append(request)

    def dispatch_pending(self, now: int) -> None:
        for cell, queue in self.queues.items():
            node = self.cells.get(cell)
            while queue and node is not None and self.ready[node] < self.most_out:
                request = queue.popleft()
                if request.id in self.held:
                    self.ready[node] += 1
                    self.port.send_attempt(request.id, node, 0)

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        self.ready[result.node] = self.ready.get(result.node, 1) - 1
        if result.request_finished or result.outcome is AttemptOutcome.SUCCEEDED:
            self.held.pop(result.request_id, None)
        elif self.held.pop(result.request_id, None) is not None:
            self.port.fail(result.request_id)

    def on_client_cancelled(self, now: int, request_id: int) -> None:
        self.held.pop(request_id, None)

    def on_timer(self, now: int, token: Any) -> None:
        if token == "ask":
            self.port.watch_endpoints()
        elif self.held.pop(token, None) is not None:
            self.port.fail(token)


class Flood(Fifo):
    """Everything at once."""

    most_out = 1 << 30


MODULES = {"fifo": Fifo, "flood": Flood}
