"""What the scheduler remembers of each volume, request, attempt and node.

The records point to each other. A request and its attempts form a circle, which
`lifecycle` cuts when nothing is in flight any more.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque

from milletsill.deployment_config import RequestClassConfig, ServicePlanConfig
from milletsill.interface import AttemptOutcome, Endpoint, Request
from milletsill.scheduler.constants import (
    MAX_BATCH_FOLLOWERS,
    MAX_RETRY_CREDIT,
    NARROW_ABOVE_PACE,
    NEVER,
    RESERVE_EXPONENT,
)
from milletsill.scheduler.token_bucket import TokenBucket
from milletsill.scheduler.transitions import NOT_EXECUTED, NodeHealth, RequestState

# Entries are (order, sequence number, request), sorted.
Queue = list[tuple[int, int, "QueuedRequest"]]


class VolumeState:
    """One tenant's storage: its token buckets and the window of its surplus.

    Attributes:
        id: the volume's number.
        plan: its service plan, with the reserved rate that is in force.
        gateway_count: the most gateways that were said to share it.
        reserve: what this gateway's part of the reserve still covers.
        limit: what this gateway may still send under the limit (rule 7). Starts empty:
            a former self of this gateway may have spent all of it.
        surplus_window: how many requests beyond the reserve may be in flight; below 1
            it is kept by pauses.
        surplus_in_flight: how many are.
        surplus_narrowed_at: when the window was last made smaller.
        surplus_paused_until: until when no more of them leave.
        used_at: when its last request came.
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
        """This gateway's part of the reserve: an estimate, others' use is not known."""
        part: float = self.gateway_count**-RESERVE_EXPONENT
        return self.plan.reserved_rate * part

    def fill_limit(self, divisor: float, now: int) -> float:
        """Fill the limit at one part in `divisor` of its rate and burst; its level."""
        plan = self.plan
        return self.limit.fill(
            now, plan.limit_rate / divisor, plan.limit_burst / divisor
        )

    def is_forgettable(self, now: int, largest_request: float) -> bool:
        """Whether a new record would be no freer: none in flight, both buckets full.

        For rule 7: a new limit holds no more than one that has filled since this
        gateway's start.
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
        target: until when an answer has its full worth.
        tag: by when it should leave; the order of the deadline queue.
        weight: the worth of one of its units.
        is_reserved: whether the volume's reserve covers it.
        has_spent_credit: whether a node's credit has paid for its next attempt.
        arrival_gap: the span since this gateway's last request for the same shard.
        admission_draw: its number for slow-start draws; below 0 until it is drawn.
        node: the node that it was last queued at.
        queue: the queue that it is in; None: in none.
        queue_order: its place in that queue.
        sequence: grows with each time a request is put into a queue.
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
        """The attempts that may have had an effect."""
        return [each for each in self.attempts if each.outcome not in NOT_EXECUTED]

    def fits_any_node(self) -> bool:
        """Whether it is a new object that any node may take, since none may have it."""
        return self.shard is None and not self.possibly_executed()

    def is_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(each.outcome is None for each in self.attempts)


class Attempt:
    """One sending of a request to a node.

    Attributes:
        is_final: whether no other attempt follows its time-out.
        filled_window: whether it took the last place of the node's window.
        is_surplus: whether it counts in its volume's surplus window.
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
    """One node: its queues, its window and what is learnt of it.

    Attributes:
        deadline_queue: what can meet its target, by tag.
        background_queue: surplus and what will be late, first in, first out.
        by_key: the requests of both queues, by key.
        in_flight: its attempts without an outcome, oldest first.
        window: how many of them there may be.
        retry_credit: earned by answers, spent on retries and new objects.
        size: the node's capacity, in usual nodes.
        latency: the smoothed latency; None until one is known.
        wait: the smoothed part of the latency that is no work.
        pace: the smoothed latency of a unit.
        best_pace: the usual one.
        load_factor: smoothed waits and reported load, in shortest objectives.
        fleet_load_factor: the same as other gateways see it.
        last_served: the request that was answered last.
        follow_until: until when a request behind that one is waited for.
        backoff_until: until when nothing is sent.
        failures: how many attempts failed in a row, up to a bound.
        failed_at: when the last of them was counted.
        last_silent_at: when an attempt last ended without a word.
        timer_at: when its next timer is due.
        recent_sends: time and units of what was sent within the slow-start window.
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
        "pace",
        "best_pace",
        "load_factor",
        "fleet_load_factor",
        "last_served",
        "follow_until",
        "backoff_until",
        "failures",
        "failed_at",
        "advice_expires_at",
        "unavailable_since",
        "last_heard_at",
        "last_silent_at",
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
        self.pace = 0.0
        self.best_pace = 0.0
        self.load_factor = 0.0
        self.fleet_load_factor = 0.0
        self.last_served: QueuedRequest | None = None
        self.follow_until = 0
        self.backoff_until = 0
        self.failures = 0
        self.failed_at = 0
        self.advice_expires_at = 0
        self.unavailable_since = 0
        self.last_heard_at = -NEVER
        self.last_silent_at = 0
        self.health = NodeHealth.HEALTHY
        self.timer_at = NEVER
        self.recent_sends: deque[tuple[int, float]] = deque()

    def is_crowded(self) -> bool:
        """Whether work of little use would delay what others have there."""
        return self.failures > 0 or self.pace > NARROW_ABOVE_PACE * self.best_pace

    def available_credit(self, now: int) -> int:
        """The credit for retries and new objects.

        A node without credit that has nothing to answer is tried with one, else it
        could earn none.
        """
        if self.health is NodeHealth.UNAVAILABLE:
            return 0
        is_idle = not self.in_flight and not self.by_key and now >= self.backoff_until
        return max(self.retry_credit, int(is_idle))

    def has_just_served_key_of(self, request: QueuedRequest) -> bool:
        """Whether the request's key is that of the one that was answered last."""
        last = self.last_served
        return last is not None and 0 < last.key == request.key

    def queued_with_key_of(self, request: QueuedRequest) -> list[QueuedRequest]:
        """The first few that are queued here with the same key."""
        start = bisect_left(self.by_key, (request.key,))
        return [
            each[2]
            for each in self.by_key[start : start + MAX_BATCH_FOLLOWERS]
            if each[0] == request.key
        ]

    def insert(self, request: QueuedRequest, queue: Queue, sequence: int) -> None:
        """Put a request into one of the two queues."""
        order = request.tag if queue is self.deadline_queue else sequence
        request.sequence = sequence
        request.queue = queue
        request.queue_order = order
        insort(queue, (order, sequence, request))
        insort(self.by_key, (request.key, sequence, request))

    def remove(self, request: QueuedRequest) -> None:
        """Take a request out of its queue, where it is in one."""
        queue = request.queue
        if queue is None:
            return
        place = (request.queue_order, request.sequence)
        del queue[bisect_left(queue, place)]
        place = (request.key, request.sequence)
        del self.by_key[bisect_left(self.by_key, place)]
        request.queue = None
