"""Every decision of milletsill: what leaves when, for which storage node, and what is given up.

A host makes one Scheduler per gateway with the facts, the seed, the time and a Port, tells it each event by
`listed`, `taken`, `returned`, `abandoned`, `woken`, then calls `settle`; the module answers through the Port.
Types and the names of the facts are in interface.py. Times are whole tenths of a millisecond. The design is
batch-and-delay EDF (docs/design.md): each Node has an extent-sorted, a deadline and a background queue;
`choose` is the ordinary path, `wait_for` the rules' gate.
"""
from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from enum import Enum
from random import Random
from typing import Any, Mapping, Sequence

from milletsill.interface import Answer, Arrival, Facts, Listed, News, Outcome, Port, Readiness

# Tuned values. Shares and counts only: every span comes from the facts or from what is seen.
FIRST_WINDOW, LEAST_WINDOW, MOST_WINDOW = 2.0, 1.0, 32.0
NEAR, FAR = 1.1, 1.4  # the window widens below, narrows above this multiple of the best pace
NARROWER = 0.95       # what an answer above it leaves of the window
SMOOTH, FORGET = 1 / 8, 1 / 800  # weight of a new latency; how fast the best pace is forgotten
FIRST_M = 10          # M starts at the target time over this
HOPE = 0.6            # a transfer is still in time with this share of its expected service left
PART = 0.5            # a gateway's part of a volume's reserve is one over its gateways to this power
RUN, HIT = 2, 0.5     # most transfers that leave at once behind the first of their extent, and their cost
FOLLOW_WAIT = 0.5     # longest wait for a follower, as a share of the expected service
LOST = 6              # a dispatch without an answer for this many expected latencies is taken for lost
CREDITS = 4           # new objects and further dispatches that a node may have unanswered at this gateway
ENDING_TICKS = 2      # a held transfer is answered this many ticks before its client gives up
ASK_AGAIN = 1 / 8     # share of the stated time after which a failed watch is asked for again
EASE, LEAST_SURPLUS = 0.7, 1 / 16
CROWDED = 0.25
BASE, LOW = 0.05, 0.3
DRAWN, STRAIN = 8, 0.25
MOST_LAPSES = 3
REST = 2              # a node that turned away or lapsed is left alone for this many smoothed latencies

Phase = Enum("Phase", "HELD OUT OVER")
# CLOSED: the client has its answer or has left; AGAIN, LAST: no dispatch is out, and another is lawful or
# not; HOPELESS: the client is about to leave, or nothing this gateway can still do would be of use.
Cue = Enum("Cue", "SENT CLOSED AGAIN LAST HOPELESS")
# SILENT: did not answer, is tried one at a time; RETURNED: proves itself; BARRED: draining or gone.
Health = Enum("Health", "STEADY SILENT RETURNED BARRED")
Sign = Enum("Sign", "ANSWER PROVEN LAPSE READY FRESH UNREADY")

TRANSFER_TABLE: Mapping[tuple[Phase, Cue], tuple[Phase, str]] = {
    (Phase.HELD, Cue.SENT): (Phase.OUT, ""),
    (Phase.HELD, Cue.CLOSED): (Phase.OVER, "forget"),
    (Phase.HELD, Cue.HOPELESS): (Phase.OVER, "give_up"),
    (Phase.OUT, Cue.CLOSED): (Phase.OVER, "forget"),
    (Phase.OUT, Cue.AGAIN): (Phase.HELD, "hold"),
    (Phase.OUT, Cue.LAST): (Phase.OVER, "give_up"),
}
NODE_TABLE: Mapping[tuple[Health, Sign], tuple[Health, str]] = {
    (Health.STEADY, Sign.LAPSE): (Health.SILENT, "narrow"),
    (Health.RETURNED, Sign.LAPSE): (Health.SILENT, "narrow"),
    (Health.SILENT, Sign.LAPSE): (Health.SILENT, "rest"),
    **{(health, Sign.UNREADY): (Health.BARRED, "empty") for health in Health if health is not Health.BARRED},
    **{(health, Sign.FRESH): (Health.RETURNED, "restart") for health in Health},
    (Health.BARRED, Sign.READY): (Health.RETURNED, "restart"),
    (Health.SILENT, Sign.ANSWER): (Health.RETURNED, "restart"),
    (Health.RETURNED, Sign.PROVEN): (Health.STEADY, ""),
}
NEVER_RAN = (Outcome.TURNED_AWAY, Outcome.UNREACHED, Outcome.MOOT)
NO_WORD = (Outcome.TIMED_OUT, Outcome.UNREACHED, Outcome.RESET)
UNSETTLED = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)
NEVER = 1 << 60
Queue = list[tuple[int, int, "Transfer"]]  # (order, number, transfer)


class Store:
    """A store of units that fills at a rate (units a second) up to a most."""

    def __init__(self, level: float, now: int) -> None:
        self.level, self.at = level, now

    def fill(self, now: int, rate: float, most: float) -> float:
        self.level, self.at = min(self.level + rate * (now - self.at) / 10_000, most), now
        return self.level


class Volume:
    """What this gateway knows of one volume."""

    def __init__(self, plan: Mapping[str, Any], gateways: int, now: int) -> None:
        self.plan, self.gateways = plan, gateways
        self.reserve = Store(plan["reserve_rate"] / gateways, now)
        self.window, self.out, self.cut_at, self.rest_until = 1.0, 0, 0, 0  # of the surplus
        self.newest: Transfer | None = None
        self.waiting: dict[int, Node] = {}  # nodes where surplus waits for the window
        self.limit = Store(0.0, now)  # guards rule 7: a former self may have spent all of it


class Transfer:
    """A transfer that this gateway has taken."""

    def __init__(self, arrival: Arrival, category: Mapping[str, Any], volume: Volume, now: int) -> None:
        self.id, self.extent, self.volume, self.category = arrival.id, arrival.extent, volume, category
        self.cell, self.units, self.ends, self.reserved = arrival.cell, arrival.units, arrival.ends, True
        # A client's repeat counts from its first try: its patience runs over all its tries. One with less time
        # left than its target time is taken for a short try: dated back, its target would be long past.
        short = arrival.ends - now < category["target_time"]
        start = min(now, arrival.ends - category["patience"]) if arrival.repeat and not short else now
        self.target = self.tag = min(start + category["target_time"], arrival.ends)
        self.utility = category["utility"] * volume.plan["price"]  # of a unit
        self.phase, self.spent = Phase.HELD, False
        self.node: Node | None = None
        self.queue: Queue | None = None
        self.order = self.number = 0  # where it stands in its queues
        self.dispatches: list[Dispatch] = []

    def ran(self) -> list[Dispatch]:
        """The dispatches that may have run."""
        return [each for each in self.dispatches if each.outcome not in NEVER_RAN]


class Dispatch:
    """One sending of a transfer; `outcome` is None while it is out."""

    def __init__(self, transfer: Transfer, node: Node, now: int) -> None:
        self.transfer, self.node, self.sent = transfer, node, now
        self.full = len(node.out) + 1 >= int(node.window)
        self.surplus = transfer.queue is not None and transfer.queue is not node.due
        self.outcome: Outcome | None = None


class KeyLine(deque["Transfer"]):
    """Transfers of one key whose order is kept (rule 5)."""

    rest_until = 0


class Node:
    """All that is known of one storage node."""

    def __init__(self, entry: Listed) -> None:
        self.id, self.cell, self.zone, self.since = entry.node, entry.cell, entry.zone, entry.since
        self.health = Health.STEADY
        self.due: Queue = []         # deadline queue, by tag
        self.background: Queue = []  # first in, first out
        self.late: Queue = []        # background past its target time
        self.extents: Queue = []     # all of these, by extent
        self.out: list[Dispatch] = []
        self.window, self.credit = FIRST_WINDOW, CREDITS
        self.latency: float | None = None  # M
        self.strain: float | None = None
        self.wait, self.size = 0.0, entry.size or 1.0
        self.pace, self.best = 0.0, 0.0    # smoothed latency a unit, and its recent best
        self.follow: Transfer | None = None
        self.follow_until = self.heard = self.rest_until = 0
        self.drawn, self.lucky = -NEVER, False
        self.wake_at = NEVER
        self.lapses = self.struck = 0
        self.sends: deque[tuple[int, float]] = deque()  # units sent within the window of rule 4

    def crowded(self) -> bool:
        """Whether answers take so long that work of little use would delay what others have there."""
        return self.lapses > 0 or self.pace > FAR * self.best

    def take(self, transfer: Transfer) -> None:
        """Take a held transfer out of its queues."""
        if transfer.queue is not None:
            for queue, order in ((transfer.queue, transfer.order), (self.extents, transfer.extent)):
                del queue[bisect_left(queue, (order, transfer.number))]
            transfer.queue = None


class Scheduler:
    """One gateway's decisions."""

    def __init__(self, facts: Facts, seed: int, now: int, port: Port) -> None:
        self.facts, self.port, self.born = facts, port, now
        chance = Random(seed)
        self.uniform, self.choices = chance.uniform, chance.choices
        self.serving: list[Node] = []
        self.mean_strain = 0.0
        self.nodes: dict[int, Node] = {}
        self.cells: dict[int, list[Node]] = {}  # the nodes in service that hold a cell
        self.volumes: dict[int, Volume] = {}
        self.transfers: dict[int, Transfer] = {}
        self.outstanding: dict[tuple[int, int], Dispatch] = {}
        self.keys: dict[int, KeyLine] = {}
        self.unplaced: list[Transfer] = []
        self.touched: dict[int, Node] = {}
        self.taken_at: deque[int] = deque()
        self.further_at: deque[int] = deque()
        self.numbers = self.asks = 0
        self.base = 0.0  # a unit's usual time at a node of size 1, without waiting
        self.shortest = min((each["target_time"] for each in facts["categories"]), default=1)
        if facts["list_on_request"]:
            self.ask()

    def ask(self) -> None:
        self.asks += 1
        self.port.watch()

    def listed(self, now: int, news: News, entries: Sequence[Listed]) -> None:
        if news is News.FAILED:
            # Guards rule 3 against a lost or refused subscription, whatever the cause. Each asking costs list
            # lines, so it could harm a list that is slow for long: the pause then grows.
            pause = self.facts["ask_within"] * min(ASK_AGAIN * self.asks, 1 / 2)
            self.port.wake(now + int(pause * self.uniform(0.5, 1)), "ask")
            return
        self.asks = self.asks if news is News.CACHED else 0
        for entry in entries:
            node = self.nodes.get(entry.node)
            fresh = entry.since is not None and (node is None or entry.since != node.since)
            if node is None:
                node = self.nodes[entry.node] = Node(entry)
            node.cell, node.zone, node.since = entry.cell, entry.zone, entry.since
            node.size = entry.size or 1.0
            if fresh and now - self.born <= self.facts["cold_window"]:
                # Guards rule 4: a former self may have spent this gateway's part of a cold node's budget.
                node.sends.append((now, max(self.cold_part(node, now), self.facts["largest_units"])))
            ready = Sign.FRESH if fresh else Sign.READY
            self.sign(node, ready if entry.readiness is Readiness.READY else Sign.UNREADY, now)
        named = {entry.node for entry in entries}
        for node in self.nodes.values() if news is not News.CHANGES else ():
            if node.id not in named:
                self.sign(node, Sign.UNREADY, now)
        self.cells = {}
        self.serving = [node for node in self.nodes.values() if node.health is not Health.BARRED]
        for node in self.nodes.values():
            if node.health is not Health.BARRED:
                self.cells.setdefault(node.cell, []).append(node)

    def sign(self, node: Node, sign: Sign, now: int) -> None:
        """One step of a node's health by the table."""
        node.health, effect = NODE_TABLE.get((node.health, sign), (node.health, ""))
        self.touched[node.id] = node
        if effect == "narrow":
            node.window = LEAST_WINDOW
        elif effect == "rest":
            pass
        elif effect == "restart":
            node.window, node.credit, node.rest_until = LEAST_WINDOW, 1, now
        elif effect == "empty":
            for _, _, transfer in list(node.extents):
                node.take(transfer)
                self.unplaced.append(transfer)

    def taken(self, now: int, arrival: Arrival) -> None:
        category, plan = self.facts["categories"][arrival.category], self.facts["plans"][arrival.plan]
        volume = self.volumes.setdefault(arrival.volume, Volume(plan, arrival.gateways, self.born))
        volume.gateways = max(volume.gateways, arrival.gateways)
        transfer = self.transfers[arrival.id] = Transfer(arrival, category, volume, now)
        transfer.reserved = self.within_reserve(volume, transfer.units, now)
        transfer.utility *= 1.0 if transfer.reserved else self.facts["share_utility"]
        self.taken_at.append(now)
        if category["in_order"] and transfer.extent:
            self.keys.setdefault(transfer.extent, KeyLine()).append(transfer)
        self.port.wake(transfer.ends - ENDING_TICKS * self.facts["tick"], transfer)
        self.unplaced.append(transfer)

    def within_reserve(self, volume: Volume, units: float, now: int) -> bool:
        """Takes the units from this gateway's estimated part of the volume's reserve, if they are there."""
        rate = volume.plan["reserve_rate"] * volume.gateways ** -PART
        there = volume.reserve.fill(now, rate, rate + self.facts["largest_units"]) >= units
        volume.reserve.level -= units if there else 0
        return there

    def place(self, transfer: Transfer, now: int) -> bool:
        """To the node of its cell; a new object to one with credit left, where the wait is least."""
        if transfer.cell is not None:
            ready = self.cells.get(transfer.cell)
        else:
            last = transfer.volume.newest
            drawn = self.choices(self.serving, k=DRAWN) if self.serving else []
            if last is not None and last.extent == transfer.extent and last.node.health is not Health.BARRED:
                drawn = [last.node]
            ready = [node for node in drawn if self.credit(node, now) > 0] or [
                node for node in self.serving if self.credit(node, now) > 0]
        if not ready:
            return False
        if transfer.cell is None:
            ready = [min(ready, key=lambda node: self.strain(node, now))]
            ready[0].credit -= 1
            transfer.spent = True
            transfer.volume.newest = transfer
        self.hold(transfer, ready[0], now)
        return True

    def credit(self, node: Node, now: int) -> int:
        """A node without credit that has nothing to answer is tried with one, else it could earn none."""
        return max(node.credit, int(not node.out and not node.extents and now >= node.rest_until))

    def service(self, node: Node, transfer: Transfer) -> float:
        """Expected time from a dispatch to its answer."""
        return node.wait + transfer.units * self.base / node.size

    def strain(self, node: Node, now: int) -> float:
        """How much a node has to do, in shortest target times; an answer that is overdue counts in full."""
        units = sum(each.transfer.units for each in node.out) + sum(each[2].units for each in node.extents)
        overdue = max((now - max(each.sent, node.heard) for each in node.out), default=0)
        late = max(overdue - (node.latency or 0.0), 0.0) + units * self.base / node.size
        return (self.mean_strain if node.strain is None else node.strain) + late / self.shortest

    def hold(self, transfer: Transfer, node: Node, now: int) -> None:
        """Queue a transfer at a node: by its tag, or behind as background."""
        self.touched[node.id] = transfer.node = node
        m = node.latency if node.latency is not None else transfer.category["target_time"] / FIRST_M
        transfer.tag = transfer.target - int(m)
        missed = now + HOPE * self.service(node, transfer) > transfer.target
        self.put(transfer, node, node.late if missed else node.due if transfer.reserved else node.background)

    def put(self, transfer: Transfer, node: Node, queue: Queue) -> None:
        if queue is node.background:
            self.port.wake(transfer.target - int(HOPE * self.service(node, transfer)), node)
        self.numbers += 1
        transfer.queue, transfer.number = queue, self.numbers
        transfer.order = transfer.tag if queue is node.due else self.numbers
        insort(queue, (transfer.order, transfer.number, transfer))
        insort(node.extents, (transfer.extent, transfer.number, transfer))

    def settle(self, now: int) -> None:
        """Place what has no node, then fill the window of every node that something happened to."""
        held = [each for each in self.unplaced if each.phase is Phase.HELD]
        self.unplaced = [each for each in held if not self.place(each, now)]
        for node in list(self.touched.values()):
            self.relieve(node, now)
            self.pump(node, now)
        self.touched.clear()

    def relieve(self, node: Node, now: int) -> None:
        """Where a queue cannot all leave in time its least useful go behind, and from the last queue away.
        Keeps any overdue backlog (surge, slow, stalled or lost node) from making EDF serve late work only. It
        could harm where the pace misleads: work is declined that a quicker node would still have done.
        """
        clock, step = float(max(now, node.rest_until)), node.pace / node.window
        for queue, onward in ((node.due, node.background), (node.background, node.late), (node.late, None)):
            clock += NEVER if onward is None and node.crowded() else 0
            while (found := self.surplus(node, queue, clock, step, onward is None)) is not None:
                node.take(found)
                if onward is None or queue is node.background and not found.reserved:
                    self.cue(found, Cue.HOPELESS, now)
                else:
                    self.put(found, node, onward)
            clock += step * sum(each[2].units for each in queue)

    def surplus(self, node: Node, queue: Queue, clock: float, step: float, last: bool) -> Transfer | None:
        """The least useful of those up to the first that would leave too late, if one would."""
        for place, (_, _, transfer) in enumerate(queue):
            if clock + HOPE * self.service(node, transfer) > (transfer.ends if last else transfer.target):
                return min(queue[:place + 1], key=lambda each: (each[2].utility, each[0]))[2]
            clock += step * transfer.units
        return None

    def pump(self, node: Node, now: int) -> None:
        if now < node.rest_until:
            self.wake(node, node.rest_until, now)
        while now >= node.rest_until and len(node.out) < int(node.window) and (
                chosen := self.choose(node, now)) is not None:
            self.dispatch(chosen, node, now)
            self.run_on(node, chosen, now)

    def choose(self, node: Node, now: int) -> Transfer | None:
        """The ordinary path: a follower while the head is not due, then the head, then background."""
        if node.health is not Health.STEADY:  # a returned node gets a little of the work that is worth most
            useful = sorted(node.due, key=lambda each: -each[2].utility)
            return self.lawful(node, useful or node.background or node.late, now)
        head = self.lawful(node, node.due, now)
        if head is not None and head.tag > now and node.follow is not None:
            near = self.run_of(node, node.follow) + [each[2] for each in node.due if
                                                     each[2].volume is node.follow.volume]
            for transfer in near:  # its cost is charged to the head's slack
                if self.service(node, transfer) <= head.tag - now and not self.wait_for(transfer, node, now):
                    return transfer
            bound = min(node.follow_until, head.tag - int(self.service(node, head)))
            if node.out and now < bound and int(node.window) - len(node.out) == 1:
                self.wake(node, bound, now)
                return None
        if head is not None or node.out and node.crowded():
            return head
        return self.lawful(node, node.background, now) or self.lawful(node, node.late, now)

    def run_of(self, node: Node, last: Transfer) -> list[Transfer]:
        """The held transfers of the same extent."""
        at = bisect_left(node.extents, (last.extent,))
        return [each[2] for each in node.extents[at:at + RUN] if each[0] == last.extent]

    def run_on(self, node: Node, first: Transfer, now: int) -> None:
        """The rest of a run leaves behind its first, beyond the window, as far as the head's slack bears it.
        Guards against others' sends coming between, which make a node forget the extent. It could harm short
        work behind a long run: hence the bounds.
        """
        slack = min((each[2].tag - now for each in node.due[:1]), default=NEVER)
        for transfer in self.run_of(node, first):
            slack -= self.service(node, transfer) * HIT
            if slack < 0 or len(node.out) >= MOST_WINDOW or self.wait_for(transfer, node, now):
                return
            self.dispatch(transfer, node, now)

    def lawful(self, node: Node, queue: Queue, now: int) -> Transfer | None:
        """The first of a queue that every rule lets go now; else a wake for when one may."""
        soonest = NEVER
        for _, _, transfer in queue:
            wait = max(self.wait_for(transfer, node, now), self.surplus_wait(transfer, node, now))
            if not wait:
                return transfer
            soonest = min(soonest, wait)
        if soonest < NEVER:
            self.wake(node, now + soonest, now)
        return None

    def surplus_wait(self, transfer: Transfer, node: Node, now: int) -> int:
        volume = transfer.volume
        if transfer.queue is node.due:
            return 0
        if volume.out >= max(int(volume.window), 1):
            volume.waiting[node.id] = node
            return NEVER
        return max(volume.rest_until - now, 0)

    def ease(self, sent: Dispatch, now: int, crowded: bool) -> None:
        volume = sent.transfer.volume
        if crowded and sent.sent >= volume.cut_at:
            volume.window, volume.cut_at = max(volume.window * EASE, LEAST_SURPLUS), now
        elif not crowded and volume.out + 1 >= int(volume.window):
            volume.window = min(volume.window + min(volume.window, 1 / volume.window), MOST_WINDOW)
        if sent.surplus:
            volume.out -= 1
            if volume.window < 1:
                span = (now - sent.sent) * (1 / volume.window - 1) * self.uniform(0.5, 1.5)
                volume.rest_until = now + int(span)
            self.touched.update(volume.waiting)
            volume.waiting.clear()

    def wake(self, node: Node, at: int, now: int) -> None:
        if at < node.wake_at or node.wake_at <= now:
            node.wake_at = at
            self.port.wake(at, node)

    # The gate: every send passes `wait_for` and then `dispatch`, and nothing else sends.

    def wait_for(self, transfer: Transfer, node: Node, now: int) -> int:
        """0 if the transfer may go to the node now, else how long to wait before asking again."""
        if transfer.phase is Phase.OVER or now >= transfer.ends or node.health is Health.BARRED:
            return NEVER  # rules 1 and 3; no grace is used
        return max(self.repeat_wait(transfer, node, now), self.cold_wait(transfer, node, now),
                   self.key_wait(transfer, now), self.limit_wait(transfer, now))

    def repeat_wait(self, transfer: Transfer, node: Node, now: int) -> int:
        """Rules 2 and 6, and credit: whether and when a further dispatch is lawful."""
        if not transfer.dispatches:
            return 0
        facts, category, ran = self.facts, transfer.category, transfer.ran()
        places = {"all": lambda other: True, "zone": lambda other: other.zone == node.zone}
        same = places.get(category["group"], lambda other: other.cell == node.cell)
        if (len(transfer.dispatches) >= facts["most_dispatches"]
                or not transfer.spent and self.credit(node, now) <= 0
                or any(each.outcome is None for each in transfer.dispatches) and not facts["may_copy"]
                or ran and category["repeats"] == "exclusive"
                or ran and category["repeats"] == "ticketed" and not (
                    now < ran[0].sent + category["repeat_window"] and all(same(each.node) for each in ran))):
            return NEVER
        span = facts["further_window"]
        if span is None:
            return 0
        while self.further_at and self.further_at[0] < now - span - 1:
            self.further_at.popleft()
        while self.taken_at and self.taken_at[0] <= now - span + 1:
            self.taken_at.popleft()
        if len(self.further_at) + 1 <= facts["further_free"] + facts["further_ratio"] * len(self.taken_at):
            return 0
        return max(self.further_at[0] + span + 2 - now, 1) if self.further_at else span

    def cold_part(self, node: Node, now: int) -> float:
        """This gateway's part of what a cold node bears in the window of rule 4, at the least; 0: warm."""
        age, warm = now - (node.since or 0), self.facts["warm_after"]
        if node.since is None or age >= warm:
            return 0.0
        least = self.facts["cold_from"] or 1.0
        return self.facts["cold_units"] / self.facts["gateways"] * (1 + (1 / least - 1) * max(age, 0) / warm)

    def cold_wait(self, transfer: Transfer, node: Node, now: int) -> int:
        """Rule 4: sends less answers stay under a part that leaves room for once what the node can do."""
        span = self.facts["cold_window"] + 2
        while node.sends and node.sends[0][0] + span <= now:
            node.sends.popleft()
        part = self.cold_part(node, now) * (1 - 1 / max(self.facts["cold_multiple"], 1))
        if 0 < part < 1:
            if now >= node.drawn + span:
                node.drawn, node.lucky = now, self.uniform(0, self.facts["largest_units"]) < part
            part = self.facts["largest_units"] if node.lucky else -1.0
        if not part or sum(units for _, units in node.sends) + transfer.units <= part:
            return 0
        return node.sends[0][0] + span - now if node.sends else max(node.drawn + span - now, 1)

    def key_wait(self, transfer: Transfer, now: int) -> int:
        """Rule 5."""
        if not transfer.category["in_order"] or not transfer.extent:
            return 0
        keyed = self.keys[transfer.extent]
        while keyed[0].phase is Phase.OVER and all(each.outcome is not None for each in keyed[0].dispatches):
            keyed.popleft()
        rest = 0 if transfer.dispatches else max(keyed.rest_until - now, 0)
        return rest if keyed[0] is transfer else self.facts["tick"]

    def limit_wait(self, transfer: Transfer, now: int) -> int:
        """Rule 7: an even part of the volume's store, for the first dispatch."""
        volume = transfer.volume
        rate = volume.plan["limit_rate"] / volume.gateways
        if not rate or transfer.dispatches:
            return 0
        short = transfer.units - volume.limit.fill(now, rate, volume.plan["limit_store"] / volume.gateways)
        return 0 if short <= 0 else int(short * 10_000 / rate) + 1

    def dispatch(self, transfer: Transfer, node: Node, now: int) -> None:
        """The one place that sends; `wait_for` has let it pass."""
        number = len(transfer.dispatches)
        if number:
            node.credit -= not transfer.spent
            self.further_at.append(now)
        elif transfer.volume.plan["limit_rate"]:
            transfer.volume.limit.level -= transfer.units
        sent = self.outstanding[transfer.id, number] = Dispatch(transfer, node, now)
        transfer.volume.out += sent.surplus
        node.take(transfer)
        transfer.dispatches.append(sent)
        node.out.append(sent)
        node.sends.append((now, transfer.units))
        # Guards against dispatches lost without a word, by link or node, that would hold the window for a
        # patience. Harm: a node that slows at once does work twice; credit and rule 6 bound that.
        lost = LOST * max(node.latency or 0, self.service(node, transfer))
        lost = max(lost if transfer.reserved and node.lapses == 0 or transfer.target <= now else 0, transfer.target - now)
        self.port.send(transfer.id, node.id, 0 if transfer.category["repeats"] == "exclusive" else int(lost))
        self.cue(transfer, Cue.SENT, now)

    def returned(self, now: int, answer: Answer) -> None:
        sent = self.outstanding.pop((answer.id, answer.number), None)
        if sent is None:
            return
        sent.outcome, node, transfer = answer.outcome, sent.node, sent.transfer
        node.out.remove(sent)
        self.touched[node.id] = node
        spent = answer.latency - transfer.units * self.base / node.size
        self.ease(sent, now, answer.outcome is not Outcome.SATISFIED or spent > CROWDED * self.shortest)
        if answer.outcome in NO_WORD + (Outcome.TURNED_AWAY,) and sent.sent >= node.struck:
            node.lapses, node.struck = min(node.lapses + 1, MOST_LAPSES), now
            span = max(answer.latency, int(node.latency or self.facts["tick"]))
            node.rest_until = now + int(span * (2 ** node.lapses - 1) * self.uniform(0.5, 1.5))
        if answer.outcome in NO_WORD and node.heard <= sent.sent:
            self.sign(node, Sign.LAPSE, now)
        elif answer.outcome not in UNSETTLED + (Outcome.MOOT,):
            self.heard_from(sent, answer, now)
        if answer.outcome in UNSETTLED and transfer.extent in self.keys:
            self.keys[transfer.extent].rest_until = now + self.facts["key_rest"]
        if answer.over or answer.outcome is Outcome.SATISFIED:
            self.cue(transfer, Cue.CLOSED, now)
        elif not any(each.outcome is None for each in transfer.dispatches):
            transfer.spent = False
            late = now >= transfer.ends - ENDING_TICKS * self.facts["tick"]
            late = late or answer.outcome is Outcome.TIMED_OUT and now >= transfer.target and (
                not transfer.reserved or node.lapses > 0)
            never = late or self.repeat_wait(transfer, node, now) >= NEVER
            self.cue(transfer, Cue.LAST if never else Cue.AGAIN, now)

    def heard_from(self, sent: Dispatch, answer: Answer, now: int) -> None:
        """An answer earns credit and moves M and the window."""
        node, transfer = sent.node, sent.transfer
        node.heard, node.credit = now, min(node.credit + 1, CREDITS)
        self.sign(node, Sign.ANSWER, now)
        if answer.outcome is not Outcome.SATISFIED:
            return
        node.lapses = max(node.lapses - 1, 0)
        node.follow, node.follow_until = transfer, now + int(FOLLOW_WAIT * self.service(node, transfer))
        node.sends.append((now, -transfer.units))
        pace = answer.latency / transfer.units
        clear = pace * node.size
        self.base = self.base * (1 + BASE * (LOW - (clear < self.base))) if self.base else clear
        waited = max(answer.latency - transfer.units * self.base / node.size, 0)
        node.wait += SMOOTH * (waited - node.wait)
        strain = waited / self.shortest
        strain += answer.report.get("busy", 0.0)
        if node.strain is None:
            node.strain = self.mean_strain
        node.strain += STRAIN * (strain - node.strain)
        self.mean_strain += STRAIN / 4 * (strain - self.mean_strain)
        if node.latency is None:
            node.latency, node.pace, node.best = float(answer.latency), pace, pace
        node.latency += SMOOTH * (answer.latency - node.latency)
        node.pace += SMOOTH * (pace - node.pace)
        node.best = min(node.best + FORGET * (node.pace - node.best), node.pace)
        if node.crowded():
            node.window = max(node.window * NARROWER, LEAST_WINDOW)
        elif node.pace < NEAR * node.best and sent.full:
            node.window = min(node.window + 1 / node.window, MOST_WINDOW)
            self.sign(node, Sign.PROVEN, now)

    def abandoned(self, now: int, transfer: int) -> None:
        if transfer in self.transfers:
            self.cue(self.transfers[transfer], Cue.CLOSED, now)

    def woken(self, now: int, what: object) -> None:
        if isinstance(what, Transfer):
            self.cue(what, Cue.HOPELESS, now)
        elif isinstance(what, Node):
            what.wake_at = NEVER
            self.touched[what.id] = what
        elif what == "ask":
            self.ask()

    def cue(self, transfer: Transfer, cue: Cue, now: int) -> None:
        """One step of a transfer by the table."""
        transfer.phase, effect = TRANSFER_TABLE.get((transfer.phase, cue), (transfer.phase, ""))
        if effect == "hold" and (transfer.node is None or transfer.cell is None and not transfer.ran()):
            self.unplaced.append(transfer)
        elif effect == "hold":
            self.hold(transfer, transfer.node, now)
        elif effect:
            self.end(transfer, effect == "give_up")

    def end(self, transfer: Transfer, answer: bool) -> None:
        """Take a transfer that is over out of every place; answer its client at once if that is owed."""
        del self.transfers[transfer.id]
        if transfer.node is not None and transfer.queue is not None:
            transfer.node.credit += transfer.spent
            transfer.node.take(transfer)
        category = transfer.category
        harmless = (category["repeats"], category["group"]) == ("ticketed", "all")
        if answer and (harmless or category["repeats"] == "rerunnable" or not transfer.ran()):
            self.port.decline(transfer.id, self.facts["longest_pause"] if self.facts["pause_told"] else 0)
        elif answer:
            self.port.abort(transfer.id)
        for number, each in enumerate(transfer.dispatches):
            if each.outcome is None and self.facts["may_cancel"]:
                self.port.cancel(transfer.id, number)
