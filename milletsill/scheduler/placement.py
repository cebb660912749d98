"""At which node a request is queued; that node's queues decide when it leaves."""

from milletsill.scheduler.constants import (
    FOLLOWER_COST,
    IN_TIME_SERVICE_FRACTION,
    INITIAL_LATENCY_DIVISOR,
    MAX_CANDIDATES_DRAWN,
    NEVER,
)
from milletsill.scheduler.records import Queue, QueuedRequest, StorageNode
from milletsill.scheduler.retry_policy import RetryPolicy
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.slow_start import SlowStart
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.transitions import NodeHealth

# Reasons against a node, compared in this order; the smallest cost wins.
PlacementCost = tuple[bool, bool, bool, float]


class Placement:
    """Queues requests at nodes, and takes them back from nodes that leave."""

    def __init__(
        self,
        state: SchedulerState,
        estimator: ServiceEstimator,
        retry_policy: RetryPolicy,
        slow_start: SlowStart,
    ) -> None:
        self._state = state
        self._estimator = estimator
        self._retry_policy = retry_policy
        self._slow_start = slow_start

    def candidates(self, request: QueuedRequest) -> list[StorageNode]:
        """Return the available nodes that can serve the request."""
        state = self._state
        if request.fits_any_node():
            return state.serving
        shard = request.shard
        if shard is None:
            shard = request.possibly_executed()[-1].node.shard
        return state.shards.get(shard, [])

    def can_retry(self, request: QueuedRequest, now: int) -> bool:
        """Whether any node may get another attempt, now or later."""
        return any(
            self._retry_policy.wait_time(request, each, now) < NEVER
            for each in self.candidates(request)
        )

    def place(self, request: QueuedRequest, now: int) -> bool:
        """Queue a request at a node; return False if none can take it now.

        With several candidates, the node is the best of a random sample, so that
        gateways with the same view do not all choose the same node. A new object waits
        until the chosen node has credit.
        """
        is_new = request.fits_any_node()
        nodes = self._retry_candidates(request, now)
        has_choice = is_new or len(nodes) > 1
        if has_choice:
            count = min(MAX_CANDIDATES_DRAWN, len(nodes))
            nodes = self._state.random.sample(nodes, count)
        if not nodes:
            return False
        node = nodes[0]
        if has_choice:
            node = min(nodes, key=lambda each: self.placement_cost(request, each, now))
        if is_new:
            if node.available_credit(now) <= 0:
                return False
            node.retry_credit -= 1
        request.has_spent_credit = is_new
        self.enqueue(request, node, now)
        return True

    def placement_cost(
        self, request: QueuedRequest, node: StorageNode, now: int
    ) -> PlacementCost:
        """Return the cost of placing a request at a node.

        Its parts are, in this order: the node has no credit; the request would have to
        wait; the request was last queued there; and the node's load factor. The load
        factor is reduced by what an existing object's request saves behind others of
        its key.
        """
        must_wait = (
            now < node.backoff_until
            or self._slow_start.wait_time(request, node, now) > 0
        )
        load_factor = self._estimator.load_factor(node)
        advised = node.fleet_load_factor if now < node.advice_expires_at else 0.0
        return (
            node.available_credit(now) <= 0,
            must_wait,
            node is request.node,
            load_factor + advised - self._batching_discount(request, node),
        )

    def enqueue(self, request: QueuedRequest, node: StorageNode, now: int) -> None:
        """Queue a request at a node, in the queue that its expected service suits."""
        request.node = node
        self._state.dirty_nodes[node.id] = node
        latency = node.latency
        if latency is None:
            objective = request.request_class.latency_objective
            latency = objective / INITIAL_LATENCY_DIVISOR
        request.tag = request.target - int(latency)
        service_time = self._estimator.service_time(request, node)
        is_late = now + IN_TIME_SERVICE_FRACTION * service_time > request.target
        is_due = request.is_reserved and not is_late
        self.insert(
            request, node, node.deadline_queue if is_due else node.background_queue
        )

    def insert(self, request: QueuedRequest, node: StorageNode, queue: Queue) -> None:
        """Put a request into one queue of a node.

        A timer makes the node check a request of the background queue again when it is
        about to miss its target.
        """
        if queue is node.background_queue:
            service_time = self._estimator.service_time(request, node)
            last_start = request.target - int(IN_TIME_SERVICE_FRACTION * service_time)
            self._state.effects.set_timer(last_start, node)
        node.insert(request, queue, self._state.next_sequence())

    def requeue_all(self, node: StorageNode) -> None:
        """Take back the requests queued at a node that left or backs off.

        They are placed again. Otherwise they would wait for one node while others could
        serve them. The cost is that batches are split. At a node that backs off,
        requests that have spent retry credit stay.
        """
        is_unavailable = node.health is NodeHealth.UNAVAILABLE
        for _, _, request in list(node.by_key):
            if is_unavailable or (
                not request.has_spent_credit and len(self.candidates(request)) > 1
            ):
                node.remove(request)
                self._state.unplaced.append(request)

    def _retry_candidates(self, request: QueuedRequest, now: int) -> list[StorageNode]:
        """Return the candidates, or those that may get another attempt if any may."""
        nodes = self.candidates(request)
        if not request.attempts:
            return nodes
        wait_time = self._retry_policy.wait_time
        return [
            each for each in nodes if wait_time(request, each, now) < NEVER
        ] or nodes

    def _batching_discount(self, request: QueuedRequest, node: StorageNode) -> float:
        can_batch = (
            request.shard is not None
            and request.key
            and (
                node.has_just_served_key_of(request) or node.queued_with_key_of(request)
            )
        )
        if not can_batch:
            return 0.0
        estimator = self._estimator
        work_time = estimator.work_time(request, node)
        return work_time / estimator.shortest_objective * FOLLOWER_COST
