"""State shared by all components of the scheduler: nodes, requests and randomness."""

from dataclasses import replace
from random import Random

from milletsill.deployment_config import DeploymentConfig, ServicePlanConfig
from milletsill.interface import SchedulerEffects
from milletsill.scheduler.constants import (
    IDLE_CLIENT_TIMEOUTS,
    MIN_WINDOW,
    SHARED_MIN_WINDOW,
)
from milletsill.scheduler.records import Attempt, QueuedRequest, StorageNode


class SchedulerState:
    """The state that belongs to no single component.

    Attributes:
        random: the source of every random draw of the scheduler; a replay needs the
            same seed and the same order of draws.
        started_at: when this scheduler was created.
        min_window: the smallest window of a node. It exceeds one where few gateways
            share a node, since one attempt in flight from each would leave most of the
            node idle.
        idle_timeout: the time after which unused records are evicted.
        nodes: the known nodes, by id.
        dirty_nodes: the nodes that the next dispatch has to check, by id.
        serving: the available nodes.
        shards: the available nodes, by shard.
        requests: the requests without a final answer, by id.
        in_flight: the attempts without an outcome, by request id and attempt number.
        unplaced: queued requests that are in no node's queue.
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
        self.idle_timeout = IDLE_CLIENT_TIMEOUTS * self.longest_client_timeout
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
        """Return the next number in the order in which requests enter queues."""
        self._sequence += 1
        return self._sequence

    def set_node_timer(self, node: StorageNode, at: int, now: int) -> None:
        """Check a node again at a time, unless an earlier check is already set."""
        if at < node.timer_at or node.timer_at <= now:
            node.timer_at = at
            self.effects.set_timer(at, node)


def plans_in_force(config: DeploymentConfig) -> tuple[ServicePlanConfig, ...]:
    """Return the plans, with the usual rate as the reserve if no plan has a reserve."""
    plans = config.service_plans
    if any(each.reserved_rate for each in plans):
        return plans
    return tuple(replace(each, reserved_rate=each.usual_rate) for each in plans)
