"""Every decision of milletsill: what leaves when, for which storage node, and what is given up.

A host makes one Scheduler per gateway with the facts, the seed, the time and a Port, tells it each event by
`listed`, `taken`, `returned`, `abandoned`, `woken`, then calls `settle`; the module answers through the Port.
Types and names of the facts: interface.py. Times are whole tenths of a millisecond. The design is batch-and-
delay EDF (docs/design.md): `choose` is the ordinary path of a Node's queues, `wait_for` the rules' gate.
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
NEAR, FAR, NARROWER = 1.1, 1.4, 0.95  # the window widens below, narrows above these multiples of the best pace
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
CROWDED, EASE, LEAST_SURPLUS = 1 / 4, 0.7, 1 / 16  # a volume's surplus: a crowded answer's wait; its window
CLEAR, CLEAR_STEP = 0.3, 0.05  # a unit's usual time is what this share of answers stays under
DRAWN, STRAIN = 8, 1 / 4  # nodes drawn for a new object; weight of an answer in a node's strain
MOST_LAPSES = 3       # rests at a node grow from one span by doubling, up to this many times

Phase = Enum("Phase", "HELD OUT OVER")
# CLOSED: the client has its answer or has left; AGAIN, LAST: no dispatch is out, and another is lawful or
# not; HOPELESS: the client is about to leave, or nothing this gateway can still do would be of use.
Cue = Enum("Cue", "SENT CLOSED AGAIN LAST HOPELESS")
# RETURNED: came back or did not answer; proves itself with the most useful work. BARRED: draining or gone.
Health = Enum("Health", "STEADY RETURNED BARRED")
Sign = Enum("Sign", "PROVEN LAPSE READY FRESH UNREADY")

TRANSFER_TABLE: Mapping[tuple[Phase, Cue], tuple[Phase, str]] = {
    (Phase.HELD, Cue.SENT): (Phase.OUT, ""),
    (Phase.HELD, Cue.CLOSED): (Phase.OVER, "forget"),
    (Phase.HELD, Cue.HOPELESS): (Phase.OVER, "give_up"),
    (Phase.OUT, Cue.CLOSED): (Phase.OVER, "forget"),
    (Phase.OUT, Cue.AGAIN): (Phase.HELD, "hold"),
    (Phase.OUT, Cue.LAST): (Phase.OVER, "give_up"),
}
NODE_TABLE: Mapping[tuple[Health, Sign], tuple[Health, str]] = {
    (Health.STEADY, Sign.LAPSE): (Health.RETURNED, "narrow"),
    (Health.RETURNED, Sign.LAPSE): (Health.RETURNED, "narrow"),
    (Health.RETURNED, Sign.PROVEN): (Health.STEADY, ""),
    (Health.BARRED, Sign.READY): (Health.RETURNED, "restart"),
    **{(health, Sign.FRESH): (Health.RETURNED, "restart") for health in Health},
    **{(health, Sign.UNREADY): (Health.BARRED, "empty") for health in Health if health is not Health.BARRED},
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
        self.limit = Store(0.0, now)  # guards rule 7: a former self may have spent all of it
        self.window, self.out, self.narrowed = 1.0, 0, now  # of its surplus
        self.rest_until = now
        self.waiting: dict[int, Node] = {}  # where surplus waits for it
        self.newest: Transfer | None = None  # the last new object that was placed


class Transfer:
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

    def ran(self) -> list[Dispatch]:  # those that may have
        return [each for each in self.dispatches if each.outcome not in NEVER_RAN]


class Dispatch:
    """One sending of a transfer; `outcome` is None while it is out."""

    def __init__(self, transfer: Transfer, node: Node, now: int) -> None:
        self.transfer, self.node, self.sent = transfer, node, now
        self.full = len(node.out) + 1 >= int(node.window)
        self.surplus = transfer.queue is not None and transfer.queue is not node.due
        self.final = False  # nothing follows its time-out
        self.outcome: Outcome | None = None


class Node:
    """All that is known of one storage node."""

    def __init__(self, entry: Listed) -> None:
        self.id, self.cell, self.zone, self.since = entry.node, entry.cell, entry.zone, entry.since
        self.health = Health.STEADY
        self.due: Queue = []         # deadline queue, by tag
        self.background: Queue = []  # surplus and what will be late, first in, first out
        self.extents: Queue = []     # both, by extent
        self.out: list[Dispatch] = []
        self.window, self.credit, self.size = FIRST_WINDOW, CREDITS, 1.0
        self.latency: float | None = None  # M
        self.strain: float | None = None   # smoothed wait, in shortest target times, and reported load
        self.wait = self.pace = self.best = 0.0  # smoothed wait, smoothed latency a unit, its recent best
        self.follow: Transfer | None = None
        self.follow_until = self.heard = self.rest_until = self.lapses = self.lapsed = 0
        self.drawn, self.lucky = -NEVER, False  # whether it may be sent to while cold, in this window
        self.wake_at = NEVER
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
        self.nodes: dict[int, Node] = {}
        self.serving: list[Node] = []  # those not barred
        self.cells: dict[int, list[Node]] = {}  # the same, by cell
        self.volumes: dict[int, Volume] = {}
        self.transfers: dict[int, Transfer] = {}
        self.outstanding: dict[tuple[int, int], Dispatch] = {}
        self.keys: dict[int, deque[Transfer]] = {}  # transfers whose order is kept (rule 5)
        self.key_rests: dict[int, int] = {}
        self.unplaced: list[Transfer] = []
        self.touched: dict[int, Node] = {}
        self.taken_at: deque[int] = deque()
        self.further_at: deque[int] = deque()
        self.numbers = self.asks = 0
        self.clear = self.strain = 0.0  # a unit's usual time at a node of size 1, not waiting; mean strain
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
            node = node or self.nodes.setdefault(entry.node, Node(entry))
            node.cell, node.zone, node.since, node.size = entry.cell, entry.zone, entry.since, entry.size or 1.0
            if fresh and now - self.born <= self.facts["cold_window"]:
                # Guards rule 4: a former self may have spent this gateway's part of a cold node's budget.
                node.sends.append((now, max(self.cold_part(node, now), self.facts["largest_units"])))
            ready = Sign.FRESH if fresh else Sign.READY
            self.sign(node, ready if entry.readiness is Readiness.READY else Sign.UNREADY, now)
        named = {entry.node for entry in entries}
        for node in self.nodes.values() if news is not News.CHANGES else ():
            if node.id not in named:
                self.sign(node, Sign.UNREADY, now)
        self.serving, self.cells = [], {}
        for node in self.nodes.values():
            if node.health is not Health.BARRED:
                self.serving.append(node)
                self.cells.setdefault(node.cell, []).append(node)

    def sign(self, node: Node, sign: Sign, now: int) -> None:
        """One step of a node's health by the table."""
        node.health, effect = NODE_TABLE.get((node.health, sign), (node.health, ""))
        self.touched[node.id] = node
        if effect in ("narrow", "restart"):
            node.window, node.credit = LEAST_WINDOW, min(node.credit, 1)
        if effect == "restart":
            node.lapses, node.rest_until = 0, now
        if effect == "empty":
            for _, _, transfer in list(node.extents):
                node.take(transfer)
                self.unplaced.append(transfer)

    def taken(self, now: int, arrival: Arrival) -> None:
        category, plan = self.facts["categories"][arrival.category], self.facts["plans"][arrival.plan]
        volume = self.volumes.setdefault(arrival.volume, Volume(plan, arrival.gateways, self.born))
        volume.gateways = max(volume.gateways, arrival.gateways)
        transfer = self.transfers[arrival.id] = Transfer(arrival, category, volume, now)
        rate = plan["reserve_rate"] * volume.gateways ** -PART  # an estimate: others' use of it is not known
        transfer.reserved = volume.reserve.fill(now, rate, rate + self.facts["largest_units"]) >= transfer.units
        volume.reserve.level -= transfer.units if transfer.reserved else 0
        transfer.utility *= 1.0 if transfer.reserved else self.facts["share_utility"]
        self.taken_at.append(now)
        if category["in_order"] and transfer.extent:
            self.keys.setdefault(transfer.extent, deque()).append(transfer)
        self.port.wake(transfer.ends - ENDING_TICKS * self.facts["tick"], transfer)
        self.unplaced.append(transfer)

    def place(self, transfer: Transfer, now: int) -> bool:
        """To the node of its cell; a new object to the least strained of a few drawn that have credit left, or
        behind the last of its run. Drawing keeps gateways that see the same from all choosing the same node.
        """
        if transfer.cell is not None:
            ready = self.cells.get(transfer.cell, [])[:1]
        else:
            last = transfer.volume.newest
            run = last is not None and last.extent == transfer.extent and last.node.health is not Health.BARRED
            drawn = [last.node] if run else self.choices(self.serving, k=DRAWN) if self.serving else []
            ready = [node for node in drawn if self.credit(node, now) > 0] or [
                node for node in self.serving if self.credit(node, now) > 0]
            ready = sorted(ready, key=lambda node: self.strain_of(node, now))[:1]
            for node in ready:
                node.credit, transfer.spent, transfer.volume.newest = node.credit - 1, True, transfer
        for node in ready:
            self.hold(transfer, node, now)
        return bool(ready)

    def credit(self, node: Node, now: int) -> int:
        """A node without credit that has nothing to answer is tried with one, else it could earn none."""
        return max(node.credit, int(not node.out and not node.extents and now >= node.rest_until))

    def service(self, node: Node, transfer: Transfer) -> float:
        """Expected time from a dispatch to its answer."""
        return node.wait + transfer.units * self.clear / node.size

    def strain_of(self, node: Node, now: int) -> float:
        """How much a node has to do, in shortest target times; an answer that is overdue counts in full."""
        units = sum(each.transfer.units for each in node.out) + sum(each[2].units for each in node.extents)
        overdue = max((now - max(each.sent, node.heard) for each in node.out), default=0)
        late = max(overdue - (node.latency or 0.0), 0.0) + units * self.clear / node.size
        return (self.strain if node.strain is None else node.strain) + late / self.shortest

    def hold(self, transfer: Transfer, node: Node, now: int) -> None:
        """Queue a transfer at a node: by its tag, or behind as background."""
        self.touched[node.id] = transfer.node = node
        m = node.latency if node.latency is not None else transfer.category["target_time"] / FIRST_M
        transfer.tag = transfer.target - int(m)
        missed = now + HOPE * self.service(node, transfer) > transfer.target
        self.put(transfer, node, node.due if transfer.reserved and not missed else node.background)

    def put(self, transfer: Transfer, node: Node, queue: Queue) -> None:
        if queue is node.background:  # looked at again when it is about to miss its target
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
        """What of a queue cannot leave in time gives way, least useful first: reserved work to the background, to
        be satisfied late unless the node is crowded; surplus, and what cannot even be late, is declined at once.
        Keeps any overdue backlog (surge, slow, stalled or lost node) from making EDF serve late work only. It
        could harm where the pace misleads: work is declined that a quicker node would still have done.
        """
        clock, step = float(max(now, node.rest_until)), node.pace / node.window
        for queue in (node.due, node.background):
            while (found := self.least_useful(node, queue, clock, step)) is not None:
                if queue is node.due:
                    node.take(found)
                    self.put(found, node, node.background)
                else:
                    self.cue(found, Cue.HOPELESS, now)
            clock += step * sum(each[2].units for each in queue)

    def least_useful(self, node: Node, queue: Queue, clock: float, step: float) -> Transfer | None:
        """The least useful of those up to the first that would leave too late, if one would."""
        for place, (_, _, transfer) in enumerate(queue):
            may_be_late = queue is node.background and transfer.reserved and not node.crowded()
            if clock + HOPE * self.service(node, transfer) > (transfer.ends if may_be_late else transfer.target):
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
            return self.lawful(node, useful or node.background, now)
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
        return self.lawful(node, node.background, now)

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
            wait = max(self.wait_for(transfer, node, now), self.surplus_wait(transfer, now))
            if not wait:
                return transfer
            soonest = min(soonest, wait)
        if soonest < NEVER:
            self.wake(node, now + soonest, now)
        return None

    def surplus_wait(self, transfer: Transfer, now: int) -> int:
        """How long a volume's surplus waits for the window that it has over all nodes of this gateway. Guards
        against a surge spread over so many gateways and nodes that no node's window ever holds it back. It could
        harm a volume whose own slow node narrows it: its surplus at other nodes waits too.
        """
        volume, node = transfer.volume, transfer.node
        if node is None or transfer.queue is node.due:
            return 0
        if volume.out >= max(int(volume.window), 1):
            volume.waiting[node.id] = node
            return NEVER
        return max(volume.rest_until - now, 0)

    def ease(self, sent: Dispatch, crowded: bool, now: int) -> None:
        """An answer moves its volume's surplus window; below one it is kept by pauses."""
        volume = sent.transfer.volume
        if crowded and sent.sent >= volume.narrowed:
            volume.window, volume.narrowed = max(volume.window * EASE, LEAST_SURPLUS), now
        elif not crowded and volume.out + 1 >= int(volume.window):
            volume.window = min(volume.window + min(volume.window, 1 / volume.window), MOST_WINDOW)
        if sent.surplus:
            volume.out -= 1
            pause = (now - sent.sent) * max(1 / volume.window - 1, 0) * self.uniform(0.5, 1.5)
            volume.rest_until = now + int(pause)
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
        """Rule 4: sends less answers stay under a part that leaves room for once what the node can do. Where
        the part is less than a transfer, chance lets that share of the gateways send in each window.
        """
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
        rest = 0 if transfer.dispatches else max(self.key_rests.get(transfer.extent, now) - now, 0)
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
        # patience; not before the target, since few answers make a poor guess. Surplus, and all at a node that
        # lapsed, goes no further: nodes need not work off what is late. Harm: late utility is forgone there.
        left, lost = transfer.target - now, int(LOST * max(node.latency or 0, self.service(node, transfer)))
        sent.final = left > 0 and (not transfer.reserved or node.lapses > 0)
        timeout = left if sent.final else max(left, lost)
        self.port.send(transfer.id, node.id, 0 if transfer.category["repeats"] == "exclusive" else timeout)
        self.cue(transfer, Cue.SENT, now)

    def returned(self, now: int, answer: Answer) -> None:
        sent = self.outstanding.pop((answer.id, answer.number), None)
        if sent is None:
            return
        sent.outcome, node, transfer = answer.outcome, sent.node, sent.transfer
        node.out.remove(sent)
        self.touched[node.id] = node
        waited = answer.latency - transfer.units * self.clear / node.size
        self.ease(sent, answer.outcome is not Outcome.SATISFIED or waited > CROWDED * self.shortest, now)
        if answer.outcome in NO_WORD + (Outcome.TURNED_AWAY,) and sent.sent >= node.lapsed:
            # Guards against many gateways that keep trying a node which is crowded, slow, hung or gone: each
            # rests longer the more came to nothing. Harm: after a short fault a node is left idle for a while.
            node.lapses, node.lapsed = min(node.lapses + 1, MOST_LAPSES), now
            span = max(answer.latency, node.latency or self.facts["tick"])
            node.rest_until = now + int(span * (2 ** node.lapses - 1) * self.uniform(0.5, 1.5))
        if answer.outcome in NO_WORD and node.heard <= sent.sent:
            self.sign(node, Sign.LAPSE, now)
        elif answer.outcome not in UNSETTLED + (Outcome.MOOT,):
            self.heard_from(sent, answer, now)
        if answer.outcome in UNSETTLED and transfer.extent in self.keys:
            self.key_rests[transfer.extent] = now + self.facts["key_rest"]
        if answer.over or answer.outcome is Outcome.SATISFIED:
            self.cue(transfer, Cue.CLOSED, now)
        elif not any(each.outcome is None for each in transfer.dispatches):
            transfer.spent = False
            late = now >= transfer.ends - ENDING_TICKS * self.facts["tick"]
            late = late or sent.final and answer.outcome is Outcome.TIMED_OUT
            never = late or self.repeat_wait(transfer, node, now) >= NEVER
            self.cue(transfer, Cue.LAST if never else Cue.AGAIN, now)

    def heard_from(self, sent: Dispatch, answer: Answer, now: int) -> None:
        """An answer earns credit and moves M and the window."""
        node, transfer = sent.node, sent.transfer
        node.heard, node.credit = now, min(node.credit + 1, CREDITS)
        if answer.outcome is not Outcome.SATISFIED:
            return
        node.lapses = max(node.lapses - 1, 0)
        node.follow, node.follow_until = transfer, now + int(FOLLOW_WAIT * self.service(node, transfer))
        node.sends.append((now, -transfer.units))
        pace = answer.latency / transfer.units
        self.clear *= 1 + CLEAR_STEP * (CLEAR - (pace * node.size < self.clear))
        self.clear = self.clear or pace * node.size
        waited = max(answer.latency - transfer.units * self.clear / node.size, 0)
        node.wait += SMOOTH * (waited - node.wait)
        strain = waited / self.shortest + answer.report.get("busy", 0.0)
        node.strain = self.strain if node.strain is None else node.strain
        node.strain += STRAIN * (strain - node.strain)
        self.strain += STRAIN / 4 * (strain - self.strain)
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
