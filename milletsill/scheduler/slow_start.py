"""A node that has just started is sent no more than it can serve.

This is rule 4 in docs/design.md, which has the reasons and the proof of the admission
draw.
"""

from math import exp

from milletsill.interface import Endpoint, QuotaKind
from milletsill.scheduler.constants import (
    DRAWN_BUDGET_SHARE,
    NEVER,
    OVERLOAD_CHANCE_EXPONENT,
)
from milletsill.scheduler.quota_shares import QuotaShares
from milletsill.scheduler.records import QueuedRequest, StorageNode
from milletsill.scheduler.state import SchedulerState

# Added to each window, in clock ticks, to allow for the rounding of clocks.
WINDOW_MARGIN_TICKS = 2


class SlowStart:
    """Keeps sends to a warming-up node within this gateway's share of its budget.

    A send counts for a whole window, answered or not. Otherwise a node that is faster
    than configured would get more than the settings allow. Each send counts at least as
    much as a mean request, so that many small ones cannot exceed the budget. The cost
    is that a faster node is partly idle.

    Attributes:
        last_arrivals: when the last request for each shard arrived; the key None stands
            for new objects.
    """

    def __init__(self, state: SchedulerState, shares: QuotaShares) -> None:
        self._state = state
        self._config = state.config
        self._shares = shares
        self._span = state.config.slow_start_window + WINDOW_MARGIN_TICKS
        self.last_arrivals: dict[int | None, int] = {}

    def wait_time(self, request: QueuedRequest, node: StorageNode, now: int) -> int:
        """Return 0 if the node's budget admits the request, else how long to wait."""
        config = self._config
        span = self._span
        sends = node.recent_sends
        while sends and sends[0][0] + span <= now:
            sends.popleft()
        age = now - (node.started_at or -NEVER)
        if (
            age >= config.slow_start_duration
            or not config.slow_start_multiple * config.slow_start_window
        ):
            return 0
        share = self._budget_share(node, age, now)
        mean_units = config.mean_request_units
        is_granted = self._shares.is_granted(QuotaKind.SLOW_START, node.id)
        if share < mean_units and not is_granted:
            return self._draw_wait_time(request, age)
        charged = max(request.units, mean_units)
        if sum(units for _, units in sends) + charged <= share:
            return 0
        oldest = sends[0][0] if sends else now - span
        return max(oldest + span - now, 1)

    def charge(self, request: QueuedRequest, node: StorageNode, now: int) -> None:
        """Count an attempt at a node."""
        units = max(request.units, self._config.mean_request_units)
        node.recent_sends.append((now, units))

    def record_arrival(self, request: QueuedRequest, now: int) -> None:
        """Record the time since the last request for the same shard."""
        last = self.last_arrivals.pop(request.shard, self._state.started_at)
        request.arrival_gap = min(now - last, self._state.idle_timeout)
        self.last_arrivals[request.shard] = now

    def on_node_start(self, node: StorageNode, endpoint: Endpoint, now: int) -> None:
        """Account for queued requests and for what an earlier process may have sent.

        Requests that were queued before the start was known have no chance in admission
        draws. A gateway that has itself just started assumes that its previous process
        has spent its share of this window.
        """
        for request in self._state.requests.values():
            if request.shard is None or request.shard == endpoint.shard:
                request.arrival_gap = 0
        if now - self._state.started_at <= self._config.slow_start_window:
            node.recent_sends.append((now, NEVER))

    def evict_idle(self, now: int) -> None:
        """Evict the shard that was requested longest ago, if it is idle."""
        shard = next(iter(self.last_arrivals), None)
        idle_for = now - self.last_arrivals.get(shard, now)
        if idle_for > self._state.idle_timeout:
            del self.last_arrivals[shard]

    def _budget_share(self, node: StorageNode, age: int, now: int) -> float:
        span = self._span
        divisor = self._shares.divisor(
            QuotaKind.SLOW_START, node.id, self._config.gateway_count, now - span, now
        )
        return self._budget(age - span) / divisor

    def _budget(self, age: int) -> float:
        """Return the units that a node can serve in one window, from all gateways."""
        config = self._config
        units = config.slow_start_units or config.mean_request_units
        growth = 1 / (config.slow_start_initial_fraction or 1.0) - 1
        grown = growth * max(age, 0) / max(config.slow_start_duration, 1)
        return units * (1 + grown)

    def _draw_wait_time(self, request: QueuedRequest, age: int) -> int:
        """Return 0 if a random draw admits the request, else how long to wait.

        The draw replaces the check of the budget where the even share is below a mean
        request. Each request is drawn for once. Its probability is that of the share
        which has filled since this gateway's last request for the shard. Over the fleet
        the mean is DRAWN_BUDGET_SHARE of the node's budget, or less where the variance
        leaves less room. A larger request has a lower probability, by its weight. The
        cost is that most requests queued at such a node are never sent to it.
        """
        config = self._config
        span = self._span
        mean_units = config.mean_request_units
        budget = self._budget(age - span) / mean_units
        overload_threshold = budget + 2 * budget**0.5 + 2
        drawn_budget = min(
            DRAWN_BUDGET_SHARE * budget,
            overload_threshold / exp(1 + OVERLOAD_CHANCE_EXPONENT / overload_threshold),
        )
        probability = (
            drawn_budget
            / config.gateway_count
            * request.arrival_gap
            / span
            * (overload_threshold / drawn_budget)
            ** min(1 - request.units / mean_units, 0)
        )
        if request.admission_draw < 0:
            request.admission_draw = self._state.random.uniform(0, 1)
        return (
            0 if request.admission_draw < probability and not request.attempts else span
        )
