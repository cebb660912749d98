"""The scheduler's records of volumes, requests, attempts and nodes.

The records refer to each other. A request and its attempts form a reference cycle,
which `lifecycle` breaks once no attempt is in flight.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque

from milletsill.deployment_config import RequestClassConfig, ServicePlanConfig
from milletsill.interface import AttemptOutcome, Endpoint, Request
from milletsill.scheduler.constants import (
    MAX_BATCH_FOLLOWERS,
    MAX_RETRY_CREDIT,
    NARROW_ABOVE_LATENCY_RATIO,
    NEVER,
    RESERVE_EXPONENT,
)
from milletsill.scheduler.token_bucket import TokenBucket
from milletsill.scheduler.transitions import (
    NOT_EXECUTED_OUTCOMES,
    NodeHealth,
    RequestState,
)

# Entries are (order, sequence number, request), sorted.
Queue = list[tuple[int, int, "QueuedRequest"]]


class VolumeState:
    """One tenant's storage: its token buckets and its surplus window.

    The surplus of a volume is its requests beyond its reserve.

    Attributes:
        id: the volume's number.
        plan: its service plan, with the reserved rate that is in force.
        gateway_count: the largest number of gateways reported to share the volume.
        reserve: the units that this gateway's share of the reserve still covers.
        limit: the units that this gateway may still send under the rate limit. It
            starts empty, since a previous process of this gateway may have spent all of
            it.
        surplus_window: how many surplus requests may be in flight; pauses enforce a
            window below 1.
        surplus_in_flight: the number of surplus requests in flight.
        surplus_narrowed_at: when the surplus window was last narrowed.
        surplus_paused_until: no surplus request leaves before this time.
        used_at: when the volume's last request arrived.
    """

    __slots__ = (
        "id",
        "plan",
        "gateway_count",
        "reserve",
        "limit",
        "surplus_window",
        "surplus_in_flight",
        "surplus_narrowed_at",
        "surplus_paused_until",
        "used_at",
    )

    def __init__(
        self, id: int, plan: ServicePlanConfig, gateway_count: int, now: int
    ) -> None:
        self.id = id
        self.plan = plan
        self.gateway_count = gateway_count
        self.reserve = TokenBucket(plan.reserved_rate / gateway_count, now)
        self.limit = TokenBucket(0.0, now)
        self.surplus_window = 1.0
        self.surplus_in_flight = 0
        self.surplus_narrowed_at = now
        self.surplus_paused_until = now
        self.used_at = now

    def estimated_reserve_rate(self) -> float:
        """Return an estimate of this gateway's share; others' use of it is unknown."""
        share: float = self.gateway_count**-RESERVE_EXPONENT
        return self.plan.reserved_rate * share

    def fill_limit(self, divisor: float, now: int) -> float:
        """Refill the limit at 1 / `divisor` of its rate and burst; return its level."""
        plan = self.plan
        return self.limit.fill(
            now, plan.limit_rate / divisor, plan.limit_burst / divisor
        )

    def is_evictable(self, now: int, largest_request: float) -> bool:
        """Whether a new record would allow no more than this one.

        No surplus is in flight, and both buckets are full. The limit of a new record
        starts empty and fills from this gateway's start, so it cannot exceed a full
        one.
        """
        rate = self.estimated_reserve_rate()
        burst = self.plan.limit_burst / self.gateway_count
        is_limited = (
            self.plan.limit_rate and self.fill_limit(self.gateway_count, now) < burst
        )
        if self.surplus_in_flight or is_limited:
            return False
        depth = rate + largest_request
        return self.reserve.fill(now, rate, depth) >= depth


class QueuedRequest:
    """A client's request from its arrival to its final answer.

    Attributes:
        target: until when an answer has its full value.
        tag: when the request should leave; the sort key of the deadline queue.
        weight: the value of each of its units.
        is_reserved: whether the volume's reserve covers it.
        has_spent_credit: whether a node's retry credit has paid for its next attempt.
        arrival_gap: the time since this gateway's previous request for the same shard.
        admission_draw: its random number for slow-start draws; negative until drawn.
        node: the node that it was last queued at.
        queue: the queue that it is in, or None.
        queue_order: its sort key in that queue.
        sequence: a number that increases with each insertion of a request into a queue.
    """

    __slots__ = (
        "id",
        "key",
        "volume",
        "request_class",
        "shard",
        "units",
        "deadline",
        "target",
        "tag",
        "weight",
        "state",
        "is_reserved",
        "has_spent_credit",
        "attempts",
        "arrival_gap",
        "admission_draw",
        "node",
        "queue",
        "queue_order",
        "sequence",
        "__weakref__",
    )

    def __init__(
        self,
        request: Request,
        request_class: RequestClassConfig,
        volume: VolumeState,
        units: float,
        target: int,
    ) -> None:
        self.id = request.id
        self.key = request.key
        self.volume = volume
        self.request_class = request_class
        self.shard = request.shard
        self.units = units
        self.deadline = request.deadline
        self.target = target
        self.tag = target
        self.weight = request_class.priority_weight * volume.plan.price
        self.state = RequestState.QUEUED
        self.is_reserved = True
        self.has_spent_credit = False
        self.attempts: list[Attempt] = []
        self.arrival_gap = 0
        self.admission_draw = -1.0
        self.node: StorageNode | None = None
        self.queue: Queue | None = None
        self.queue_order = 0
        self.sequence = 0

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts that may have taken effect."""
        return [
            each for each in self.attempts if each.outcome not in NOT_EXECUTED_OUTCOMES
        ]

    def fits_any_node(self) -> bool:
        """Whether any node may take it: a new object that no node may hold yet."""
        return self.shard is None and not self.possibly_executed()

    def is_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(each.outcome is None for each in self.attempts)


class Attempt:
    """One sending of a request to a node.

    Attributes:
        is_final: whether no other attempt follows if this one times out.
        filled_window: whether it took the last slot of the node's window.
        is_surplus: whether it counts towards its volume's surplus window.
        outcome: None while it is in flight.
    """

    __slots__ = (
        "request",
        "node",
        "sent_at",
        "is_final",
        "filled_window",
        "is_surplus",
        "outcome",
    )

    def __init__(self, request: QueuedRequest, node: StorageNode, now: int) -> None:
        self.request = request
        self.node = node
        self.sent_at = now
        self.is_final = False
        self.filled_window = len(node.in_flight) + 1 >= int(node.window)
        self.is_surplus = (
            request.queue is not None and request.queue is not node.deadline_queue
        )
        self.outcome: AttemptOutcome | None = None


class StorageNode:
    """One node: its queues, its concurrency window and its measured performance.

    Attributes:
        deadline_queue: requests that can meet their target, by tag.
        background_queue: surplus and requests that will be late, first in, first out.
        by_key: the requests of both queues, by key.
        in_flight: its attempts without an outcome, oldest first.
        window: the maximum number of attempts in flight.
        retry_credit: earned by responses, spent on retries and new objects.
        size: the node's capacity, relative to a usual node.
        latency: the smoothed latency; None until one is known.
        wait: the smoothed part of the latency beyond the node's work on the request.
        unit_latency: the smoothed latency of a unit.
        usual_unit_latency: the usual time of a unit at a node of this size.
        load_factor: smoothed waits and reported load, in shortest latency objectives.
        fleet_load_factor: the load factor as other gateways see it.
        last_served: the request that succeeded last.
        follower_wait_until: how long the node's last free slot waits for a follower of
            `last_served`.
        backoff_until: nothing is sent to the node before this time.
        failures: the number of consecutive failures, up to a bound.
        failed_at: when the last failure was counted.
        last_response_at: when a result last showed that the node is alive.
        last_unanswered_at: when an attempt last ended without a response.
        timer_at: when its next timer is due.
        recent_sends: time and units of each send within the slow-start window.
    """

    __slots__ = (
        "id",
        "shard",
        "zone",
        "started_at",
        "deadline_queue",
        "background_queue",
        "by_key",
        "in_flight",
        "window",
        "retry_credit",
        "size",
        "latency",
        "wait",
        "unit_latency",
        "usual_unit_latency",
        "load_factor",
        "fleet_load_factor",
        "last_served",
        "follower_wait_until",
        "backoff_until",
        "failures",
        "failed_at",
        "advice_expires_at",
        "unavailable_since",
        "last_response_at",
        "last_unanswered_at",
        "health",
        "timer_at",
        "recent_sends",
    )

    def __init__(self, endpoint: Endpoint, window: float) -> None:
        self.id = endpoint.node
        self.shard = endpoint.shard
        self.zone = endpoint.zone
        self.started_at = endpoint.started_at
        self.deadline_queue = Queue()
        self.background_queue = Queue()
        self.by_key = Queue()
        self.in_flight: list[Attempt] = []
        self.window = window
        self.retry_credit = MAX_RETRY_CREDIT
        self.size = 1.0
        self.latency: float | None = None
        self.wait = 0.0
        self.unit_latency = 0.0
        self.usual_unit_latency = 0.0
        self.load_factor = 0.0
        self.fleet_load_factor = 0.0
        self.last_served: QueuedRequest | None = None
        self.follower_wait_until = 0
        self.backoff_until = 0
        self.failures = 0
        self.failed_at = 0
        self.advice_expires_at = 0
        self.unavailable_since = 0
        self.last_response_at = -NEVER
        self.last_unanswered_at = 0
        self.health = NodeHealth.HEALTHY
        self.timer_at = NEVER
        self.recent_sends: deque[tuple[int, float]] = deque()

    def is_congested(self) -> bool:
        """Whether low-value requests would delay other requests at the node."""
        return (
            self.failures > 0
            or self.unit_latency > NARROW_ABOVE_LATENCY_RATIO * self.usual_unit_latency
        )

    def available_credit(self, now: int) -> int:
        """Return the credit for retries and new objects.

        An idle node without credit is given one, since it could not earn any otherwise.
        """
        if self.health is NodeHealth.UNAVAILABLE:
            return 0
        is_idle = not self.in_flight and not self.by_key and now >= self.backoff_until
        return max(self.retry_credit, int(is_idle))

    def has_just_served_key_of(self, request: QueuedRequest) -> bool:
        """Whether the request has the same key as the one that was served last."""
        last = self.last_served
        return last is not None and 0 < last.key == request.key

    def queued_with_key_of(self, request: QueuedRequest) -> list[QueuedRequest]:
        """Return the first few requests queued at this node with the same key."""
        start = bisect_left(self.by_key, (request.key,))
        return [
            each[2]
            for each in self.by_key[start : start + MAX_BATCH_FOLLOWERS]
            if each[0] == request.key
        ]

    def insert(self, request: QueuedRequest, queue: Queue, sequence: int) -> None:
        """Insert a request into one of the two queues."""
        order = request.tag if queue is self.deadline_queue else sequence
        request.sequence = sequence
        request.queue = queue
        request.queue_order = order
        insort(queue, (order, sequence, request))
        insort(self.by_key, (request.key, sequence, request))

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request from its queue, if it is in one."""
        queue = request.queue
        if queue is None:
            return
        entry_key = (request.queue_order, request.sequence)
        del queue[bisect_left(queue, entry_key)]
        entry_key = (request.key, request.sequence)
        del self.by_key[bisect_left(self.by_key, entry_key)]
        request.queue = None
