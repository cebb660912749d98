"""Batch-and-delay EDF: which queued request is sent next, and which are shed.

docs/design.md names the paper and lists where this implementation departs from it.
"""

from milletsill.scheduler.constants import (
    FOLLOWER_COST,
    IN_TIME_SERVICE_FRACTION,
    MAX_WINDOW,
    NEVER,
)
from milletsill.scheduler.lifecycle import RequestLifecycle
from milletsill.scheduler.placement import Placement
from milletsill.scheduler.records import Queue, QueuedRequest, StorageNode
from milletsill.scheduler.send_gate import SendGate
from milletsill.scheduler.service_estimator import ServiceEstimator
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.surplus_window import SurplusWindow
from milletsill.scheduler.transitions import NodeHealth, RequestEvent


class BatchDelayEdf:
    """Fills the concurrency windows of nodes from their queues."""

    def __init__(
        self,
        state: SchedulerState,
        estimator: ServiceEstimator,
        gate: SendGate,
        surplus: SurplusWindow,
        placement: Placement,
        lifecycle: RequestLifecycle,
    ) -> None:
        self._state = state
        self._estimator = estimator
        self._gate = gate
        self._surplus = surplus
        self._placement = placement
        self._lifecycle = lifecycle

    def fill_window(self, node: StorageNode, now: int) -> None:
        """Send requests that may leave now until the node's window is full."""
        if now < node.backoff_until:
            self._state.set_node_timer(node, node.backoff_until, now)
            return
        while len(node.in_flight) < int(node.window):
            chosen = self.choose_next(node, now)
            if chosen is None:
                return
            self._gate.send(chosen, node, now)
            self.dispatch_batch(node, chosen, now)

    def choose_next(self, node: StorageNode, now: int) -> QueuedRequest | None:
        """Return the request to send next, or None.

        A follower (a request of the key or volume that was served last) goes first
        while the head of the deadline queue is not due. Then comes the head, and then
        the background queue.
        """
        if node.health is not NodeHealth.HEALTHY:
            return self._choose_most_valuable(node, now)
        head = self._first_sendable(node, node.deadline_queue, now)
        last = node.last_served
        if head is not None and head.tag > now and last is not None:
            follower = self._choose_follower(node, head, last, now)
            if follower is not None:
                return follower
            if self._waits_for_follower(node, head, now):
                return None
        if head is not None or (node.in_flight and node.is_congested()):
            return head
        return self._first_sendable(node, node.background_queue, now)

    def dispatch_batch(self, node: StorageNode, first: QueuedRequest, now: int) -> None:
        """Send the next few requests of a key behind its first, beyond the window.

        Requests of other gateways in between would cost the node the locality of the
        key. The batch ends where it would use up the slack of the deadline queue's
        head. The cost is that short requests behind the batch wait for a bounded time.
        """
        queue = node.deadline_queue
        slack: float = queue[0][2].tag - now if queue else NEVER
        for request in node.queued_with_key_of(first):
            slack -= self._estimator.service_time(request, node) * FOLLOWER_COST
            if (
                slack < 0
                or len(node.in_flight) >= MAX_WINDOW
                or self._gate.wait_time(request, node, now)
            ):
                return
            self._gate.send(request, node, now)

    def shed_late_requests(self, node: StorageNode, now: int) -> None:
        """Shed requests that cannot leave in time, those of the lowest weight first.

        Reserved requests move to the background queue, where they may finish late
        unless the node is congested. All others are rejected. Without this, EDF under a
        persistent backlog would serve only requests that are already late. The cost is
        that a request is shed needlessly when the node is faster than its unit latency
        suggests.
        """
        start_time = float(max(now, node.backoff_until))
        time_per_unit = node.unit_latency / node.window
        for queue in (node.deadline_queue, node.background_queue):
            while True:
                found = self._request_to_shed(node, queue, start_time, time_per_unit)
                if found is None:
                    break
                if queue is node.deadline_queue:
                    node.remove(found)
                    self._placement.insert(found, node, node.background_queue)
                else:
                    self._lifecycle.on_event(found, RequestEvent.GIVEN_UP)
            start_time += time_per_unit * sum(each[2].units for each in queue)

    def _choose_most_valuable(
        self, node: StorageNode, now: int
    ) -> QueuedRequest | None:
        """Return the request of the highest weight, for a node that is not healthy.

        A recovering node gets only a few requests, so they are the most valuable ones.
        """
        by_weight = sorted(node.deadline_queue, key=lambda each: -each[2].weight)
        return self._first_sendable(node, by_weight or node.background_queue, now)

    def _choose_follower(
        self, node: StorageNode, head: QueuedRequest, last: QueuedRequest, now: int
    ) -> QueuedRequest | None:
        """Return the next request of the same key or volume that fits the slack."""
        followers = node.queued_with_key_of(last) + [
            each[2] for each in node.deadline_queue if each[2].volume is last.volume
        ]
        slack = head.tag - now
        for request in followers:
            if self._estimator.service_time(
                request, node
            ) <= slack and not self._gate.wait_time(request, node, now):
                return request
        return None

    def _waits_for_follower(
        self, node: StorageNode, head: QueuedRequest, now: int
    ) -> bool:
        """Whether the last free slot of the window is held open for a follower."""
        service_time = int(self._estimator.service_time(head, node))
        until = min(node.follower_wait_until, head.tag - service_time)
        if (
            node.in_flight
            and now < until
            and int(node.window) - len(node.in_flight) == 1
        ):
            self._state.set_node_timer(node, until, now)
            return True
        return False

    def _first_sendable(
        self, node: StorageNode, queue: Queue, now: int
    ) -> QueuedRequest | None:
        """Return the first request that may go now, if any.

        Otherwise set a timer for the soonest time at which one may go.
        """
        soonest = NEVER
        for _, _, request in queue:
            wait = max(
                self._gate.wait_time(request, node, now),
                self._surplus.wait_time(request, now),
            )
            if not wait:
                return request
            soonest = min(soonest, wait)
        if soonest < NEVER:
            self._state.set_node_timer(node, now + soonest, now)
        return None

    def _request_to_shed(
        self, node: StorageNode, queue: Queue, start_time: float, time_per_unit: float
    ) -> QueuedRequest | None:
        """Return the request to shed, or None if all of the queue can leave in time.

        It is the one of the lowest weight up to and including the first late request.
        """
        is_background = queue is node.background_queue
        may_be_late = is_background and not node.is_congested()
        for index, (_, _, request) in enumerate(queue):
            service_time = self._estimator.service_time(request, node)
            is_late = may_be_late and self._has_late_value(request)
            until = request.deadline if is_late else request.target
            if start_time + IN_TIME_SERVICE_FRACTION * service_time > until:
                entries = queue[: index + 1]
                return min(entries, key=lambda each: (each[2].weight, each[0]))[2]
            start_time += time_per_unit * request.units
        return None

    def _has_late_value(self, request: QueuedRequest) -> bool:
        return (
            request.is_reserved
            and self._state.has_reserves
            and request.request_class.late_weight > 0
        )
