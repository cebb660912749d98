"""The ordinary path, batch-and-delay EDF: what leaves next, and what gives way.

docs/design.md has the paper, and where this departs from it.
"""

from milletsill.scheduler.constants import (
    FOLLOWER_COST,
    HOPEFUL_SERVICE_SHARE,
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
    """Fills the windows of nodes out of their queues."""

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
        """Send what may leave, until the window is full."""
        if now < node.backoff_until:
            self._state.set_node_timer(node, node.backoff_until, now)
            return
        while len(node.in_flight) < int(node.window):
            chosen = self.choose(node, now)
            if chosen is None:
                return
            self._gate.send(chosen, node, now)
            self.dispatch_batch(node, chosen, now)

    def choose(self, node: StorageNode, now: int) -> QueuedRequest | None:
        """A follower while the head is not due, then the head, then background."""
        if node.health is not NodeHealth.HEALTHY:
            return self._choose_worthiest(node, now)
        head = self._first_sendable(node, node.deadline_queue, now)
        last = node.last_served
        if head is not None and head.tag > now and last is not None:
            follower = self._choose_follower(node, head, last, now)
            if follower is not None:
                return follower
            if self._waits_for_follower(node, head, now):
                return None
        if head is not None or (node.in_flight and node.is_crowded()):
            return head
        return self._first_sendable(node, node.background_queue, now)

    def dispatch_batch(self, node: StorageNode, first: QueuedRequest, now: int) -> None:
        """Send the next few of a key behind its first, beyond the window.

        They go as far as the head's slack bears them: else others' sends come between
        and the node forgets the key. Harm: short work behind them waits, within bounds.
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

    def shed_hopeless(self, node: StorageNode, now: int) -> None:
        """Let give way what cannot leave in time, least useful first.

        Reserved work goes to the background, to be late unless the node is crowded; the
        rest is rejected. Guards against any backlog that would make EDF answer late
        work only. Harm where the pace misleads: a quicker node would still have done
        it.
        """
        clock = float(max(now, node.backoff_until))
        time_per_unit = node.pace / node.window
        for queue in (node.deadline_queue, node.background_queue):
            while True:
                found = self._least_useful(node, queue, clock, time_per_unit)
                if found is None:
                    break
                if queue is node.deadline_queue:
                    node.remove(found)
                    self._placement.insert(found, node, node.background_queue)
                else:
                    self._lifecycle.on_event(found, RequestEvent.HOPELESS)
            clock += time_per_unit * sum(each[2].units for each in queue)

    def _choose_worthiest(self, node: StorageNode, now: int) -> QueuedRequest | None:
        """A recovering node gets a little of the work that is worth most."""
        worthiest = sorted(node.deadline_queue, key=lambda each: -each[2].weight)
        return self._first_sendable(node, worthiest or node.background_queue, now)

    def _choose_follower(
        self, node: StorageNode, head: QueuedRequest, last: QueuedRequest, now: int
    ) -> QueuedRequest | None:
        """The next of the same key or volume whose cost the head's slack bears."""
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
        """Whether the last free place of the window is kept for a follower."""
        service_time = int(self._estimator.service_time(head, node))
        until = min(node.follow_until, head.tag - service_time)
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
        """The first of a queue that may go now; else a timer is set for the soonest."""
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

    def _least_useful(
        self, node: StorageNode, queue: Queue, clock: float, time_per_unit: float
    ) -> QueuedRequest | None:
        """The least useful up to the first that cannot leave in time, if any."""
        is_background = queue is node.background_queue
        may_be_late = is_background and not node.is_crowded()
        for place, (_, _, request) in enumerate(queue):
            service_time = self._estimator.service_time(request, node)
            is_late = may_be_late and self._is_useful_late(request)
            until = request.deadline if is_late else request.target
            if clock + HOPEFUL_SERVICE_SHARE * service_time > until:
                entries = queue[: place + 1]
                return min(entries, key=lambda each: (each[2].weight, each[0]))[2]
            clock += time_per_unit * request.units
        return None

    def _is_useful_late(self, request: QueuedRequest) -> bool:
        return (
            request.is_reserved
            and self._state.has_reserves
            and request.request_class.late_weight > 0
        )
