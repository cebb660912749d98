"""What is remembered: one record for each volume, transfer, dispatch and node; they point to each other."""

from bisect import bisect_left
from collections import defaultdict, deque
from random import Random

from milletsill.interface import (
    Request,
    Facts,
    Endpoint,
    AttemptOutcome,
    SchedulerEffects,
)
from milletsill.scheduler.tables import (
    CREDITS,
    FAR,
    IDLE,
    LEAST_WINDOW,
    NEVER,
    NEVER_RAN,
    PART,
    RUN,
    TOGETHER,
    Health,
    Phase,
)

Queue = list[tuple[int, int, "Transfer"]]  # (order, number, transfer)


class Store:  # of units; fills at a rate, units a second, up to a most
    def __init__(self, level: float, now: int) -> None:
        self.level, self.at = level, now

    def fill(self, now: int, rate: float, most: float) -> float:
        self.level, self.at = (
            min(self.level + rate * (now - self.at) / 10_000, most),
            now,
        )
        return self.level


class Volume:  # `window`, `out`, `narrowed` and `rest_until` are of its surplus
    def __init__(self, id: int, plan: Facts, gateways: int, now: int) -> None:
        self.id, self.plan, self.gateways = id, plan, gateways
        self.reserve = Store(plan["reserve_rate"] / gateways, now)
        self.limit = Store(
            0.0, now
        )  # guards rule 7: a former self may have spent all of it
        self.window, self.out = 1.0, 0
        self.narrowed = self.rest_until = self.used_at = now

    def forgettable(self, now: int, largest: float) -> bool:
        """Whether a new record would be no freer: nothing out, both stores full again (rule 7: a new limit
        store holds no more than one that has filled since this gateway's start).
        """
        plan, gateways = self.plan, self.gateways
        most, rate = (
            plan["limit_store"] / gateways,
            plan["reserve_rate"] * gateways**-PART,
        )
        limited = plan["limit_rate"] and self.filled(gateways, now) < most
        return (
            not self.out
            and not limited
            and self.reserve.fill(now, rate, rate + largest) >= rate + largest
        )

    def filled(
        self, parts: float, now: int
    ) -> float:  # the level of this gateway's part of its limit
        return self.limit.fill(
            now, self.plan["limit_rate"] / parts, self.plan["limit_store"] / parts
        )


class Transfer:
    def __init__(
        self,
        arrival: Request,
        category: Facts,
        volume: Volume,
        units: float,
        clear: float,
        now: int,
    ) -> None:
        self.id, self.extent, self.volume, self.category = (
            arrival.id,
            arrival.key,
            volume,
            category,
        )
        self.cell, self.units, self.ends = arrival.shard, units, arrival.deadline
        # From the client's first try; one with less than a target time left is one of many short tries.
        target_time = category["target_time"] + int(category["stretch"] * units * clear)
        dated = arrival.is_retry and arrival.deadline - now >= target_time
        start = min(now, arrival.deadline - category["patience"]) if dated else now
        self.target = self.tag = min(start + target_time, arrival.deadline)
        self.utility = category["utility"] * volume.plan["price"]  # of a unit
        self.phase, self.reserved, self.spent, self.dispatches = (
            Phase.HELD,
            True,
            False,
            list[Dispatch](),
        )
        self.gap, self.lot = (
            0,
            -1.0,
        )  # since its cell's last one; drawn where a cold node asks
        self.node: Node | None = None
        self.queue: Queue | None = None

    def ran(self) -> "list[Dispatch]":  # those that may have
        return [each for each in self.dispatches if each.outcome not in NEVER_RAN]

    def free(self) -> bool:  # a new object: any node may take it, until it may have run
        return self.cell is None and not self.ran()

    def out(self) -> bool:
        return any(each.outcome is None for each in self.dispatches)


class Line(
    deque[Transfer]
):  # of one key (rule 5): its transfers in order, and its rest
    rest_until = 0

    def live(self, now: int) -> bool:
        """Whether rule 5 still needs it: a transfer not over, a dispatch without an end, a rest."""
        while self and self[0].phase is Phase.OVER and not self[0].out():
            self.popleft()
        return bool(self) or now < self.rest_until


class Node:
    def __init__(self, entry: Endpoint, window: float) -> None:
        self.id, self.cell, self.zone, self.since = (
            entry.node,
            entry.shard,
            entry.zone,
            entry.started_at,
        )
        self.due, self.extents = (
            Queue(),
            Queue(),
        )  # deadline queue, by tag; both queues by extent
        self.background, self.out = (
            Queue(),
            list[Dispatch](),
        )  # surplus and what will be late; in order
        self.window, self.credit, self.size = window, CREDITS, 1.0
        self.latency: float | None = None  # M
        self.wait = self.pace = self.best = (
            0.0  # smoothed wait, smoothed latency a unit, the best of late
        )
        self.strain = self.fleet_load = (
            0.0  # smoothed wait, in shortest target times, and load; the fleet's
        )
        self.follow: Transfer | None = None
        self.follow_until = self.rest_until = self.lapses = self.lapsed = (
            self.advised_until
        ) = 0
        self.barred_at, self.heard, self.silent = (
            0,
            -NEVER,
            0,
        )  # silent: the last end without a word
        self.health, self.wake_at = Health.STEADY, NEVER
        self.sends: deque[tuple[int, float]] = (
            deque()
        )  # units sent within the window of rule 4

    def crowded(self) -> bool:  # work of little use would delay what others have there
        return self.lapses > 0 or self.pace > FAR * self.best

    def follows(
        self, transfer: Transfer
    ) -> bool:  # its extent is the one that was answered last
        return self.follow is not None and 0 < self.follow.extent == transfer.extent

    def run_of(self, last: Transfer) -> list[Transfer]:
        at = bisect_left(self.extents, (last.extent,))
        return [
            each[2] for each in self.extents[at : at + RUN] if each[0] == last.extent
        ]

    def take(self, transfer: Transfer) -> None:
        if transfer.queue is not None:
            for queue, order in (
                (transfer.queue, transfer.order),
                (self.extents, transfer.extent),
            ):
                del queue[bisect_left(queue, (order, transfer.number))]
            transfer.queue = None


class Dispatch:  # `outcome` is None while it is out; nothing follows the time-out of a `final` one
    def __init__(self, transfer: Transfer, node: Node, now: int) -> None:
        self.transfer, self.node, self.sent, self.final = transfer, node, now, False
        self.full = len(node.out) + 1 >= int(node.window)
        self.surplus = transfer.queue is not None and transfer.queue is not node.due
        self.outcome: AttemptOutcome | None = None


class State:  # of one gateway; `clear`: a unit's usual time, learnt over all nodes
    def __init__(
        self, facts: Facts, seed: int, now: int, port: SchedulerEffects
    ) -> None:
        self.facts, self.port, self.born = facts, port, now
        chance = Random(seed)
        self.uniform, self.sample = chance.uniform, chance.sample
        # Where few gateways share a node, one out from each leaves most of it idle.
        self.least = max(TOGETHER / (facts["gateways"] + 1), LEAST_WINDOW)
        self.nodes, self.touched, self.volumes = (
            dict[int, Node](),
            dict[int, Node](),
            dict[int, Volume](),
        )
        self.cells, self.serving = (
            dict[int, list[Node]](),
            list[Node](),
        )  # in service, by cell; all of these
        self.transfers, self.outstanding = (
            dict[int, Transfer](),
            dict[tuple[int, int], Dispatch](),
        )
        self.unplaced, self.keys = list[Transfer](), defaultdict[int, Line](Line)
        self.taken_at, self.further_at = deque[int](), deque[int]()
        self.last = dict[int | None, int]()  # by cell, when its last transfer came
        self.parts = dict[
            tuple[str, int], tuple[float, int, float]
        ]()  # not even: share, its end, after
        self.asks, self.numbers, self.strain, self.clear = (
            int(facts["list_on_request"]),
            0,
            0.0,
            0.0,
        )
        self.shortest = max(
            min((each["target_time"] for each in facts["categories"]), default=1), 1
        )
        # Where no plan has a reserve the usual rate stands in; without one all go by their target times.
        plans = facts["plans"]
        claims = [
            name
            for name in ("reserve_rate", "usual_rate")
            if any(plan[name] for plan in plans)
        ]
        self.plans = [
            {**plan, "reserve_rate": plan[name]}
            for name in claims[:1]
            for plan in plans
        ] or plans
        self.unreserved, self.largest = (
            not claims,
            facts["largest_units"] or facts["unit_mean"],
        )
        self.idle = IDLE * max(
            (each["patience"] for each in facts["categories"]), default=1
        )
        if facts["list_on_request"]:
            self.port.watch_endpoints()

    def choice(self, transfer: Transfer) -> list[Node]:  # the nodes that can take it
        if transfer.free():
            return self.serving
        cell = transfer.ran()[-1].node.cell if transfer.cell is None else transfer.cell
        return self.cells.get(cell, [])

    def credit(self, node: Node, now: int) -> int:
        """A node without credit that has nothing to answer is tried with one, else it could earn none."""
        idle = not node.out and not node.extents and now >= node.rest_until
        return max(node.credit, int(idle)) * (node.health is not Health.BARRED)

    def service(self, node: Node, transfer: Transfer) -> float:
        return node.wait + transfer.units * self.clear / node.size

    def strain_of(
        self, node: Node
    ) -> float:  # in shortest target times; the mean of all until it is known
        units = sum(each.transfer.units for each in node.out) + sum(
            each[2].units for each in node.extents
        )
        known = self.strain if node.latency is None else node.strain
        away = self.facts["cross_fee"] if node.zone != self.facts["zone"] else 0.0
        return (
            known + away + node.lapses + units * self.clear / node.size / self.shortest
        )

    def wake(self, node: Node, at: int, now: int) -> None:
        if at < node.wake_at or node.wake_at <= now:
            node.wake_at = at
            self.port.set_timer(at, node)
