"""Rule 4: a node that has just started is sent no more than it bears.

docs/design.md has the reasons and the proof of the admission draw.
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

# A window is this much longer than stated, for the rounding of clocks.
WINDOW_MARGIN = 2


class SlowStart:
    """Keeps what a node gets that warms up under this gateway's part of its budget.

    What was sent counts for a window, answered or not: that guards against a node
    quicker than promised, which would get more than the settings allow. A send weighs
    as a usual request at least, against many small ones. Harm: such a node idles.

    Attributes:
        last_arrivals: when the last request for each shard came; None: for a new
        object.
    """

    def __init__(self, state: SchedulerState, shares: QuotaShares) -> None:
        self._state = state
        self._config = state.config
        self._shares = shares
        self._span = state.config.slow_start_window + WINDOW_MARGIN
        self.last_arrivals: dict[int | None, int] = {}

    def wait_time(self, request: QueuedRequest, node: StorageNode, now: int) -> int:
        """0 if the node bears the request now, else how long to wait."""
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
        part = self._part(node, age, now)
        mean_units = config.mean_request_units
        is_granted = self._shares.is_granted(QuotaKind.SLOW_START, node.id)
        if part < mean_units and not is_granted:
            return self._draw_wait_time(request, age)
        charged = max(request.units, mean_units)
        if sum(units for _, units in sends) + charged <= part:
            return 0
        oldest = sends[0][0] if sends else now - span
        return max(oldest + span - now, 1)

    def charge(self, request: QueuedRequest, node: StorageNode, now: int) -> None:
        """Count an attempt at a node."""
        units = max(request.units, self._config.mean_request_units)
        node.recent_sends.append((now, units))

    def record_arrival(self, request: QueuedRequest, now: int) -> None:
        """Note the span since the last request for the same shard."""
        last = self.last_arrivals.pop(request.shard, self._state.started_at)
        request.arrival_gap = min(now - last, self._state.idle_timeout)
        self.last_arrivals[request.shard] = now

    def on_node_start(self, node: StorageNode, endpoint: Endpoint, now: int) -> None:
        """Guard against what is queued already and what a former self has sent."""
        for request in self._state.requests.values():
            if request.shard is None or request.shard == endpoint.shard:
                request.arrival_gap = 0
        if now - self._state.started_at <= self._config.slow_start_window:
            node.recent_sends.append((now, NEVER))

    def forget_idle(self, now: int) -> None:
        """Forget the shard that was asked for longest ago, where it is idle."""
        shard = next(iter(self.last_arrivals), None)
        idle_for = now - self.last_arrivals.get(shard, now)
        if idle_for > self._state.idle_timeout:
            del self.last_arrivals[shard]

    def _part(self, node: StorageNode, age: int, now: int) -> float:
        span = self._span
        divisor = self._shares.divisor(
            QuotaKind.SLOW_START, node.id, self._config.gateway_count, now - span, now
        )
        return self._budget(age - span) / divisor

    def _budget(self, age: int) -> float:
        """Units that a node bears in a window of all who know its start."""
        config = self._config
        units = config.slow_start_units or config.mean_request_units
        growth = 1 / (config.slow_start_initial_fraction or 1.0) - 1
        grown = growth * max(age, 0) / max(config.slow_start_duration, 1)
        return units * (1 + grown)

    def _draw_wait_time(self, request: QueuedRequest, age: int) -> int:
        """The same where an even part is below a usual request: each is drawn for once.

        The odds are those of the part that filled since this gateway's last request for
        the shard: over the fleet the mean is DRAWN_BUDGET_SHARE of what the node may
        get, or less where the spread leaves less; large requests pay for their weight.
        Harm: most of what is queued there never goes.
        """
        config = self._config
        span = self._span
        mean_units = config.mean_request_units
        budget = self._budget(age - span) / mean_units
        overload = budget + 2 * budget**0.5 + 2
        drawn = min(
            DRAWN_BUDGET_SHARE * budget,
            overload / exp(1 + OVERLOAD_CHANCE_EXPONENT / overload),
        )
        odds = (
            drawn
            / config.gateway_count
            * request.arrival_gap
            / span
            * (overload / drawn) ** min(1 - request.units / mean_units, 0)
        )
        if request.admission_draw < 0:
            request.admission_draw = self._state.random.uniform(0, 1)
        return 0 if request.admission_draw < odds and not request.attempts else span
