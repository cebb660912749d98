"""Estimates of unit times, node latencies and load factors."""

from milletsill.interface import AttemptResult
from milletsill.scheduler.constants import (
    FOLLOWER_WAIT,
    LATENCY_SMOOTHING,
    LOAD_FACTOR_SMOOTHING,
    UNIT_TIME_QUANTILE,
    UNIT_TIME_STEP,
)
from milletsill.scheduler.records import Attempt, QueuedRequest, StorageNode
from milletsill.scheduler.state import SchedulerState

# Field of a node's load report that says how busy the node is.
BUSY_FIELD = "busy"


class ServiceEstimator:
    """Learns from answers how long requests take and how loaded each node is.

    Attributes:
        unit_time: the usual time of a unit at a node of size 1, learnt over all nodes.
        mean_load_factor: the smoothed load factor over all nodes; used for a node
            without answers so far.
        shortest_objective: the shortest latency objective; the unit of load factors.
    """

    def __init__(self, state: SchedulerState) -> None:
        self._zone = state.config.zone
        self._cross_zone_cost = state.config.cross_zone_cost
        self.unit_time = 0.0
        self.mean_load_factor = 0.0
        objectives = (each.latency_objective for each in state.config.request_classes)
        self.shortest_objective = max(min(objectives, default=1), 1)

    def work_time(self, request: QueuedRequest, node: StorageNode) -> float:
        """Return how long a node usually works on a request."""
        return request.units * self.unit_time / node.size

    def service_time(self, request: QueuedRequest, node: StorageNode) -> float:
        """Return how long a request takes at a node, including its wait there."""
        return node.wait + request.units * self.unit_time / node.size

    def load_factor(self, node: StorageNode) -> float:
        """Return the load of a node, in shortest latency objectives."""
        in_flight = sum(each.request.units for each in node.in_flight)
        units = in_flight + sum(each[2].units for each in node.by_key)
        is_unknown = node.latency is None
        known = self.mean_load_factor if is_unknown else node.load_factor
        distance = self._cross_zone_cost if node.zone != self._zone else 0.0
        queued = units * self.unit_time / node.size / self.shortest_objective
        return known + distance + node.failures + queued

    def observe(self, attempt: Attempt, result: AttemptResult, now: int) -> None:
        """Learn from an attempt that succeeded."""
        node = attempt.node
        request = attempt.request
        node.last_served = request
        node.follower_wait_until = now + int(
            FOLLOWER_WAIT * self.service_time(request, node)
        )
        unit_latency = result.latency / request.units
        self._observe_unit_time(unit_latency * node.size)
        waited = max(result.latency - self.work_time(request, node), 0)
        node.wait += LATENCY_SMOOTHING * (waited - node.wait)
        self._observe_load(node, waited, result.load_report.get(BUSY_FIELD, 0.0))
        smoothing = 1 if node.latency is None else LATENCY_SMOOTHING
        known = (node.latency or 0.0) * (1 - smoothing)
        node.latency = known + result.latency * smoothing
        node.unit_latency += smoothing * (unit_latency - node.unit_latency)
        node.usual_unit_latency = self.unit_time / node.size

    def _observe_unit_time(self, unit_time: float) -> None:
        is_faster = unit_time < self.unit_time
        self.unit_time *= 1 + UNIT_TIME_STEP * (UNIT_TIME_QUANTILE - is_faster)
        self.unit_time = self.unit_time or unit_time

    def _observe_load(self, node: StorageNode, waited: float, busy: float) -> None:
        load_factor = waited / self.shortest_objective + busy
        node.load_factor += (
            LOAD_FACTOR_SMOOTHING * (load_factor - node.load_factor)
            if node.latency is not None
            else self.mean_load_factor
        )
        change = load_factor - self.mean_load_factor
        self.mean_load_factor += LOAD_FACTOR_SMOOTHING / 4 * change
