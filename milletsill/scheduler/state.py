"""What all parts of the scheduler share: nodes, requests and the source of chance."""

from dataclasses import replace
from random import Random

from milletsill.deployment_config import DeploymentConfig, ServicePlanConfig
from milletsill.interface import SchedulerEffects
from milletsill.scheduler.constants import (
    IDLE_TIMEOUTS,
    MIN_WINDOW,
    SHARED_MIN_WINDOW,
)
from milletsill.scheduler.records import Attempt, QueuedRequest, StorageNode


class SchedulerState:
    """The state that is not one part's own.

    Attributes:
        random: every draw of the scheduler; a replay needs the same seed and order.
        started_at: when this scheduler was made.
        min_window: the least window of a node. Where few gateways share a node, one
            attempt in flight from each would leave most of it idle.
        idle_timeout: after which unused records are forgotten.
        nodes: the nodes that are known, by id.
        dirty_nodes: those whose window has to be looked at next.
        serving: those that are available.
        shards: the same, by shard.
        requests: the requests without a final answer, by id.
        in_flight: the attempts without an outcome, by request id and attempt number.
        unplaced: queued requests that stand in no node's queue.
    """

    def __init__(
        self, config: DeploymentConfig, seed: int, now: int, effects: SchedulerEffects
    ) -> None:
        self.config = config
        self.effects = effects
        self.started_at = now
        self.random = Random(seed)
        shared_min_window = SHARED_MIN_WINDOW / (config.gateway_count + 1)
        self.min_window = max(shared_min_window, MIN_WINDOW)
        self.longest_client_timeout = max(
            (each.client_timeout for each in config.request_classes), default=1
        )
        self.idle_timeout = IDLE_TIMEOUTS * self.longest_client_timeout
        self.nodes: dict[int, StorageNode] = {}
        self.dirty_nodes: dict[int, StorageNode] = {}
        self.serving: list[StorageNode] = []
        self.shards: dict[int, list[StorageNode]] = {}
        self.requests: dict[int, QueuedRequest] = {}
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.unplaced: list[QueuedRequest] = []
        self.service_plans = plans_in_force(config)
        self.has_reserves = any(each.reserved_rate for each in self.service_plans)
        self._sequence = 0

    def next_sequence(self) -> int:
        """The next number in the order in which requests were put into queues."""
        self._sequence += 1
        return self._sequence

    def set_node_timer(self, node: StorageNode, at: int, now: int) -> None:
        """Look at a node again at a time, unless it is looked at earlier anyway."""
        if at < node.timer_at or node.timer_at <= now:
            node.timer_at = at
            self.effects.set_timer(at, node)


def plans_in_force(config: DeploymentConfig) -> tuple[ServicePlanConfig, ...]:
    """The plans, with the usual rate as the reserve where no plan has a reserve."""
    plans = config.service_plans
    if any(each.reserved_rate for each in plans):
        return plans
    return tuple(replace(each, reserved_rate=each.usual_rate) for each in plans)
