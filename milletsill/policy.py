"""Every decision of milletsill: what leaves when, for which storage node, and what is given up.

A host makes one Scheduler per gateway with facts, seed, time and a Port, tells it events by `listed`,
`taken`, `returned`, `abandoned`, `woken`, then calls `settle`; it acts through the Port. Types: interface.py.
Times are whole tenths of a millisecond. `choose` is the ordinary path (docs/design.md), `wait_for` the gate.
"""
from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from enum import Enum
from random import Random
from typing import Any, Mapping, Sequence
from weakref import ReferenceType, ref

from milletsill.interface import Answer, Arrival, Facts, Listed, News, Outcome, Port, Readiness

# Tuned values. Shares and counts only: every span comes from the facts or from what is seen.
FIRST_WINDOW, LEAST_WINDOW, MOST_WINDOW = 2.0, 1.0, 32.0
TOGETHER = 9.0  # the least window is this over the gateways and one more, where that is above the one before
NEAR, FAR, NARROWER = 1.5, 2.0, 0.95  # a window widens below, narrows above these multiples of the best pace
SMOOTH, FIRST_M = 1 / 8, 10  # weight of a new latency in M, which starts at the target time over this
CLEAR, CLEAR_STEP = 0.3, 0.05  # best pace: what this share of answers stays under; how fast it is learnt
HOPE, PART = 0.6, 0.5  # in time with this share of its service left; a part of a reserve: gateways to it
RUN, HIT, FOLLOW_WAIT = 2, 0.5, 0.5  # most that leave behind a run's first; their cost, the wait, in services
LOST, MOST_LAPSES = 6, 3  # latencies without an answer until a dispatch is lost; doublings of a node's rest
UNSENT = 0.48  # of its client's time, until what was never dispatched is given up
HEARD = 2  # waits of a lost dispatch, or shortest target times, within which its node was heard of late
CREDITS = 4  # of a node
DRAWN, STRAIN = 8, 1 / 4  # nodes drawn for a new object; an answer's weight in a node's strain
ENDING_TICKS, ASK_AGAIN = 2, 1 / 8  # before a client gives up; share of the stated time until a failed watch
CROWDED, EASE, LEAST_SURPLUS = 1 / 4, 0.7, 1 / 16  # a volume's surplus: a crowded answer's wait; its window
IDLE, SWEPT = 16, 2  # longest patiences until what is idle is forgotten; records looked at with each transfer

Phase = Enum("Phase", "HELD OUT OVER")
# CLOSED: the client has its answer or has left; AGAIN, LAST: no dispatch is out, and another is lawful or
# not; HOPELESS: the client is about to leave, or nothing this gateway can still do would be of use.
Cue = Enum("Cue", "SENT CLOSED AGAIN LAST HOPELESS")
# RETURNED: came back or did not answer; proves itself with the most useful work. BARRED: draining or gone.
Health = Enum("Health", "STEADY RETURNED BARRED")
Sign = Enum("Sign", "PROVEN LAPSE READY FRESH UNREADY")

TRANSFER_TABLE: Mapping[tuple[Phase, Cue], tuple[Phase, str]] = {
    (Phase.HELD, Cue.SENT): (Phase.OUT, ""),
    (Phase.HELD, Cue.HOPELESS): (Phase.OVER, "give_up"),
    **{(phase, Cue.CLOSED): (Phase.OVER, "forget") for phase in (Phase.HELD, Phase.OUT)},
    (Phase.OUT, Cue.AGAIN): (Phase.HELD, "hold"),
    (Phase.OUT, Cue.LAST): (Phase.OVER, "give_up"),
}
NODE_TABLE: Mapping[tuple[Health, Sign], tuple[Health, str]] = {
    **{(health, Sign.LAPSE): (Health.RETURNED, "narrow") for health in (Health.STEADY, Health.RETURNED)},
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


class Store:  # of units; fills at a rate, units a second, up to a most
    def __init__(self, level: float, now: int) -> None:
        self.level, self.at = level, now

    def fill(self, now: int, rate: float, most: float) -> float:
        self.level, self.at = min(self.level + rate * (now - self.at) / 10_000, most), now
        return self.level


class Part:  # of a whole, as told: `share` until `ends`, then `after`
    def __init__(self, share: float, ends: int, after: float) -> None:
        self.share, self.ends, self.after = share, ends, after

    def least(self, since: int, now: int) -> float:  # that held at any moment of a span
        past = self.after if since >= self.ends else min(self.share, self.after)
        return self.share if now < self.ends else past


class Volume:  # `window`, `out`, `narrowed` and `rest_until` are of its surplus
    def __init__(self, plan: Mapping[str, Any], gateways: int, now: int) -> None:
        self.plan, self.gateways = plan, gateways
        self.reserve = Store(plan["reserve_rate"] / gateways, now)
        self.limit = Store(0.0, now)  # guards rule 7: a former self may have spent all of it
        self.window, self.out, self.narrowed, self.rest_until = 1.0, 0, now, now
        self.id, self.used_at = 0, now

    def forgettable(self, now: int, largest: float) -> bool:
        """Whether a new record would be no freer: nothing out, both stores full again (rule 7: a new limit
        store holds no more than one that has filled since this gateway's start)."""
        plan, rate = self.plan, self.plan["reserve_rate"] * self.gateways ** -PART
        most = plan["limit_store"] / self.gateways
        limited = plan["limit_rate"] and self.limit.fill(now, plan["limit_rate"] / self.gateways, most) < most
        return not self.out and not limited and self.reserve.fill(now, rate, rate + largest) >= rate + largest


class Transfer:
    def __init__(self, arrival: Arrival, category: Mapping[str, Any], volume: Volume, units: float,
                 clear: float, now: int) -> None:
        self.id, self.extent, self.volume, self.category = arrival.id, arrival.extent, volume, category
        self.cell, self.units, self.ends = arrival.cell, units, arrival.ends
        # From the client's first try; one with less than a target time left is one of many short tries.
        target_time = category["target_time"] + int(category["stretch"] * units * clear)
        dated = arrival.repeat and arrival.ends - now >= target_time
        start = min(now, arrival.ends - category["patience"]) if dated else now
        self.target = self.tag = min(start + target_time, arrival.ends)
        self.utility = category["utility"] * volume.plan["price"]  # of a unit
        self.phase, self.reserved, self.spent = Phase.HELD, True, False
        self.node: Node | None = None
        self.queue: Queue | None = None
        self.dispatches: list[Dispatch] = []

    def ran(self) -> list[Dispatch]:  # those that may have
        return [each for each in self.dispatches if each.outcome not in NEVER_RAN]


class Dispatch:  # `outcome` is None while it is out; nothing follows the time-out of a `final` one
    def __init__(self, transfer: Transfer, node: Node, now: int) -> None:
        self.transfer, self.node, self.sent, self.final = transfer, node, now, False
        self.full = len(node.out) + 1 >= int(node.window)
        self.surplus = transfer.queue is not None and transfer.queue is not node.due
        self.outcome: Outcome | None = None


class Node:
    def __init__(self, entry: Listed, window: float) -> None:
        self.id, self.cell, self.zone, self.since = entry.node, entry.cell, entry.zone, entry.since
        self.health = Health.STEADY
        self.due, self.extents = Queue(), Queue()  # deadline queue, by tag; both queues by extent
        self.background = Queue()  # surplus and what will be late, first in, first out
        self.out: list[Dispatch] = []
        self.window, self.credit, self.size = window, CREDITS, 1.0
        self.latency: float | None = None  # M
        self.wait = self.pace = self.best = 0.0  # smoothed wait, smoothed latency a unit, the best of late
        self.strain = 0.0  # smoothed wait, in shortest target times, and load
        self.follow: Transfer | None = None
        self.follow_until = self.rest_until = self.lapses = self.lapsed = 0
        self.barred_at, self.heard, self.silent = 0, -NEVER, 0  # silent: the last end without a word
        self.wake_at = NEVER
        self.sends: deque[tuple[int, float]] = deque()  # units sent within the window of rule 4

    def crowded(self) -> bool:
        """Whether work of little use would delay what others have there."""
        return self.lapses > 0 or self.pace > FAR * self.best

    def follows(self, transfer: Transfer) -> bool:
        """Whether its extent is the one that was answered last."""
        return self.follow is not None and 0 < self.follow.extent == transfer.extent

    def take(self, transfer: Transfer) -> None:
        if transfer.queue is not None:
            for queue, order in ((transfer.queue, transfer.order), (self.extents, transfer.extent)):
                del queue[bisect_left(queue, (order, transfer.number))]
            transfer.queue = None


class Scheduler:
    def __init__(self, facts: Facts, seed: int, now: int, port: Port) -> None:
        self.facts, self.port, self.born = facts, port, now
        chance = Random(seed)
        self.uniform, self.sample = chance.uniform, chance.sample
        index = facts["index"]  # among the gateways; by chance where it is not told
        self.index = int(self.uniform(0, facts["gateways"])) if index is None else index
        # Where few gateways share a node, one out from each leaves most of it idle.
        self.least = max(TOGETHER / (facts["gateways"] + 1), LEAST_WINDOW)
        self.nodes, self.volumes = dict[int, Node](), dict[int, Volume]()
        self.transfers = dict[int, Transfer]()
        self.cells, self.serving = dict[int, list[Node]](), list[Node]()  # in service, by cell; all of these
        self.outstanding = dict[tuple[int, int], Dispatch]()
        self.keys, self.key_rests = dict[int, deque[Transfer]](), dict[int, int]()  # rule 5
        self.unplaced, self.touched = list[Transfer](), dict[int, Node]()
        self.taken_at, self.further_at = deque[int](), deque[int]()
        self.parts = dict[tuple[str, int], Part]()  # those that are not even; as many as were told
        self.numbers, self.asks, self.strain, self.clear = 0, 0, 0.0, 0.0  # clear: a unit's usual time
        self.shortest = max(min((each["target_time"] for each in facts["categories"]), default=1), 1)
        # Where no plan has a reserve the usual rate stands in; without one all go by their target times.
        plans = facts["plans"]
        claims = [name for name in ("reserve_rate", "usual_rate") if any(plan[name] for plan in plans)]
        self.plans = [{**plan, "reserve_rate": plan[name]} for name in claims[:1] for plan in plans] or plans
        self.unreserved = not claims
        self.largest = facts["largest_units"] or facts["unit_mean"]
        self.idle = IDLE * max((each["patience"] for each in facts["categories"]), default=1)
        if facts["list_on_request"]:
            self.woken(now, "ask")

    def listed(self, now: int, news: News, entries: Sequence[Listed]) -> None:
        if news is News.FAILED:
            # Guards rule 3 against a lost or refused watch; could harm a slow list: the pause grows.
            span = self.facts["ask_within"] or self.idle // IDLE  # the longest patience, where none is told
            pause = span * min(ASK_AGAIN * self.asks, 1 / 2) * self.uniform(0.5, 1)
            return self.port.wake(now + int(pause), "ask")
        self.asks *= news is News.CACHED
        for entry in entries:
            node = self.nodes.get(entry.node)
            fresh = entry.since is not None and (node is None or entry.since != node.since)
            node = node or self.nodes.setdefault(entry.node, Node(entry, max(FIRST_WINDOW, self.least)))
            node.cell, node.zone, node.since = entry.cell, entry.zone, entry.since
            node.size = entry.size if self.facts["sized"] and 0 < entry.size < NEVER else 1
            if fresh and now - self.born <= self.facts["cold_window"]:
                node.sends.append((now, NEVER))  # guards rule 4: a former self may have spent its part
            ready = Sign.FRESH if fresh else Sign.READY
            self.sign(node, ready if entry.readiness is Readiness.READY else Sign.UNREADY, now)
        missing = self.nodes.keys() - {entry.node for entry in entries} if news is not News.CHANGES else ()
        for each in sorted(missing):
            self.sign(self.nodes[each], Sign.UNREADY, now)
        self.serving = [node for node in self.nodes.values() if node.health is not Health.BARRED]
        self.cells = {}
        for node in self.serving:
            self.cells.setdefault(node.cell, []).append(node)
        self.forget_nodes(now)

    def forget_nodes(self, now: int) -> None:
        """Guards a gateway that runs for months against nodes that left for good. One that comes back is new
        here: cold if the list tells its start. Harm: none once what was sent has left rule 4's window."""
        for node in list(self.nodes.values()):
            gone = node.health is Health.BARRED and not node.out and not node.extents
            if gone and now > node.barred_at + max(self.idle, self.facts["cold_window"] + 2):
                del self.nodes[node.id]

    def forget_idle(self, now: int) -> None:
        """Guards the same against volumes and keys seen once: the least lately used are looked at, a few with
        each transfer. Harm: a surplus window learnt long ago starts again at one."""
        for _ in range(SWEPT):
            oldest = next(iter(self.volumes), None)
            if oldest is not None and now - self.volumes[oldest].used_at > self.idle:
                volume = self.volumes.pop(oldest)
                parted = ("limit", oldest) in self.parts
                if parted or not volume.forgettable(now, self.largest):
                    self.volumes[oldest], volume.used_at = volume, now
            key = next(iter(self.keys), None)
            if key is not None and not self.live(key, now):
                del self.keys[key]
                self.key_rests.pop(key, None)
            elif key is not None:
                self.keys[key] = self.keys.pop(key)

    def live(self, key: int, now: int) -> bool:
        """Whether rule 5 still needs a key: a transfer not over, a dispatch without an end, a rest."""
        keyed = self.keys[key]
        while keyed and keyed[0].phase is Phase.OVER and all(each.outcome is not None
                                                             for each in keyed[0].dispatches):
            keyed.popleft()
        return bool(keyed) or now < self.key_rests.get(key, now)

    def sign(self, node: Node, sign: Sign, now: int) -> None:
        node.health, effect = NODE_TABLE.get((node.health, sign), (node.health, ""))
        self.touched[node.id] = node
        if effect in ("narrow", "restart"):
            node.window, node.credit = self.least, min(node.credit, 1)
        if effect == "restart":
            node.lapses, node.rest_until = 0, now
        if effect == "empty":
            node.barred_at = now
            self.hand_back(node)

    def hand_back(self, node: Node) -> None:
        """What is held at a node that left or rests is placed again where there is a choice. Guards against
        waiting for one node while others could. Harm: it loses its run; what credit was spent on stays.
        """
        for _, _, transfer in list(node.extents):
            if node.health is Health.BARRED or not transfer.spent and len(self.choice(transfer)) > 1:
                node.take(transfer)
                self.unplaced.append(transfer)

    def taken(self, now: int, arrival: Arrival) -> None:
        categories, plans = self.facts["categories"], self.plans
        if arrival.category >= len(categories) or arrival.plan >= len(plans):  # no rule is told for it
            return self.port.decline(arrival.id, 0)
        category, plan = categories[arrival.category], plans[arrival.plan]
        units = arrival.units if 0 < arrival.units < NEVER else self.facts["unit_mean"]
        self.forget_idle(now)
        gateways = arrival.gateways or self.facts["gateways"]  # guards rule 7: not told, it may be all
        volume = self.volumes.pop(arrival.volume, None) or Volume(plan, gateways, self.born)
        self.volumes[arrival.volume], volume.used_at = volume, now  # the least lately used stands first
        volume.id, volume.gateways = arrival.volume, max(volume.gateways, gateways)
        transfer = self.transfers[arrival.id] = Transfer(arrival, category, volume, units, self.clear, now)
        rate = plan["reserve_rate"] * volume.gateways ** -PART  # an estimate: others' use of it is not known
        if ("reserve", volume.id) in self.parts:
            rate = plan["reserve_rate"] / self.parted("reserve", volume.id, volume.gateways, now, now)
        there = volume.reserve.fill(now, rate, rate + self.largest)
        transfer.reserved = self.unreserved or there >= units
        volume.reserve.level -= units if transfer.reserved else 0
        transfer.utility *= 1.0 if transfer.reserved else self.facts["share_utility"]
        if self.facts["further_window"] is not None:  # nothing older is ever counted
            self.taken_at.append(now)
            self.lapse_counts(now)
        if category["in_order"] and transfer.extent:
            self.keys.setdefault(transfer.extent, deque()).append(transfer)
        # A host keeps its wakes until they are due: a weak one does not hold what is over.
        self.port.wake(transfer.ends - ENDING_TICKS * self.facts["tick"], ref(transfer))
        self.port.wake(now + int(UNSENT * (transfer.ends - now)), ref(transfer))
        self.unplaced.append(transfer)

    def choice(self, transfer: Transfer) -> Sequence[Node]:
        """The nodes that can take it: those of its cell; a new object's are all, until it may have run."""
        cell = transfer.cell
        if cell is None:
            if not (ran := transfer.ran()):
                return self.serving
            cell = ran[-1].node.cell
        return self.cells.get(cell, ())

    def place(self, transfer: Transfer, now: int) -> bool:
        """To the node of its cell; where there is a choice, to the best of some drawn by chance: gateways
        that see the same must not all choose the same. A new object is held until one has credit.
        """
        nodes, new = self.choice(transfer), transfer.cell is None and not transfer.ran()
        if transfer.dispatches:
            nodes = [each for each in nodes if self.repeat_wait(transfer, each, now) < NEVER] or nodes
        node = nodes[0] if nodes else None
        if node is not None and (new or len(nodes) > 1):
            drawn = self.sample(nodes, min(DRAWN, len(nodes)))
            node = min(drawn, key=lambda each: self.reluctance(transfer, each, now))
            if new and self.credit(node, now) <= 0:
                return False
            node.credit, transfer.spent = node.credit - new, new
        if node is not None:
            self.hold(transfer, node, now)
        return node is not None

    def reluctance(self, transfer: Transfer, node: Node, now: int) -> tuple[bool, bool, bool, float]:
        """What speaks against a node, weightiest first: no credit, a wait, that it was there, then its strain
        less what the transfer, where it is no new object, saves behind its extent."""
        waits = now < node.rest_until or self.cold_wait(transfer, node, now) > 0
        near = transfer.cell is not None and transfer.extent and (
            node.follows(transfer) or self.run_of(node, transfer))
        saved = transfer.units * self.clear / node.size / self.shortest * HIT if near else 0.0
        return self.credit(node, now) <= 0, waits, node is transfer.node, self.strain_of(node) - saved

    def credit(self, node: Node, now: int) -> int:
        """A node without credit that has nothing to answer is tried with one, else it could earn none."""
        idle = not node.out and not node.extents and now >= node.rest_until
        return max(node.credit, int(idle)) * (node.health is not Health.BARRED)

    def service(self, node: Node, transfer: Transfer) -> float:
        return node.wait + transfer.units * self.clear / node.size

    def strain_of(self, node: Node) -> float:  # in shortest target times; the mean of all until it is known
        units = sum(each.transfer.units for each in node.out) + sum(each[2].units for each in node.extents)
        known = self.strain if node.latency is None else node.strain
        away = self.facts["cross_fee"] if node.zone != self.facts["zone"] else 0.0
        return known + away + node.lapses + units * self.clear / node.size / self.shortest

    def hold(self, transfer: Transfer, node: Node, now: int) -> None:
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

    def settle(self, now: int) -> None:  # place, then fill the windows
        held = [each for each in self.unplaced if each.phase is Phase.HELD]
        self.unplaced = [each for each in held if not self.place(each, now)]
        for node in list(self.touched.values()):
            self.relieve(node, now)
            self.pump(node, now)
        self.touched.clear()

    def relieve(self, node: Node, now: int) -> None:
        """What cannot leave in time gives way, least useful first: reserved work to the background, to be
        late unless the node is crowded; the rest is declined. Guards against any backlog that would make EDF
        satisfy late work only; harm where the pace misleads: a quicker node would still have done it.
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
        for place, (_, _, transfer) in enumerate(queue):
            useful = transfer.reserved and not self.unreserved and transfer.category["late_utility"] > 0
            late = queue is node.background and useful and not node.crowded()
            if clock + HOPE * self.service(node, transfer) > (transfer.ends if late else transfer.target):
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
        held_back = head is not None or node.out and node.crowded()
        return head if held_back else self.lawful(node, node.background, now)

    def run_of(self, node: Node, last: Transfer) -> list[Transfer]:
        at = bisect_left(node.extents, (last.extent,))
        return [each[2] for each in node.extents[at:at + RUN] if each[0] == last.extent]

    def run_on(self, node: Node, first: Transfer, now: int) -> None:
        """The rest of a run leaves behind its first, beyond the window, as far as the head's slack bears it:
        else others' sends come between and the node forgets the extent. Harms short work behind: bounded.
        """
        slack = min((each[2].tag - now for each in node.due[:1]), default=NEVER)
        for transfer in self.run_of(node, first):
            slack -= self.service(node, transfer) * HIT
            if slack < 0 or len(node.out) >= MOST_WINDOW or self.wait_for(transfer, node, now):
                return
            self.dispatch(transfer, node, now)

    def lawful(self, node: Node, queue: Queue, now: int) -> Transfer | None:  # the first that may go
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
        """A volume's surplus waits for its window over all nodes. Guards against surges over so many gateways
        and nodes that no node's window holds them back. Harm: one slow node narrows it for the others.
        """
        volume = transfer.volume
        if transfer.queue is None or transfer.queue is transfer.node.due:
            return 0
        full = volume.out >= max(int(volume.window), 1)
        return int(CROWDED * self.shortest) + 1 if full else max(volume.rest_until - now, 0)

    def ease(self, sent: Dispatch, crowded: bool, now: int) -> None:  # below one the window is kept by pauses
        volume = sent.transfer.volume
        if crowded and sent.sent >= volume.narrowed:
            volume.window, volume.narrowed = max(volume.window * EASE, LEAST_SURPLUS), now
        elif not crowded and volume.out + 1 >= int(volume.window):
            volume.window = min(volume.window + min(volume.window, 1 / volume.window), MOST_WINDOW)
        if sent.surplus:
            volume.out -= 1
            rest = (now - sent.sent) * max(1 / volume.window - 1, 0) * self.uniform(0.5, 1.5)
            volume.rest_until = now + int(rest)

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

    def repeat_wait(self, transfer: Transfer, node: Node, now: int) -> int:  # 2, 6, credit
        if not transfer.dispatches:
            return 0
        facts, category, ran = self.facts, transfer.category, transfer.ran()
        place = {"all": lambda other: 0, "zone": lambda other: other.zone,
                 "cell": lambda other: other.cell}.get(category["group"], lambda other: other.id)
        if (len(transfer.dispatches) >= facts["most_dispatches"]
                or not transfer.spent and self.credit(node, now) <= 0
                or any(each.outcome is None for each in transfer.dispatches) and not facts["may_copy"]
                or ran and category["repeats"] == "exclusive"
                or ran and category["repeats"] == "ticketed" and not (
                    now < ran[0].sent + category["repeat_window"]
                    and all(place(each.node) == place(node) for each in ran))):
            return NEVER
        span = facts["further_window"]
        if span is None:
            return 0
        self.lapse_counts(now)
        if len(self.further_at) + 1 <= facts["further_free"] + facts["further_ratio"] * len(self.taken_at):
            return 0
        return max(self.further_at[0] + span + 2 - now, 1) if self.further_at else max(span, 1)

    def lapse_counts(self, now: int) -> None:  # rule 6: what lies before the window
        span = self.facts["further_window"]
        while self.further_at and self.further_at[0] < now - span - 1:
            self.further_at.popleft()
        while self.taken_at and self.taken_at[0] <= now - span + 1:
            self.taken_at.popleft()

    def cold_wait(self, transfer: Transfer, node: Node, now: int) -> int:
        """Rule 4: sends less answers stay under this gateway's part of what a cold node bears, cut to leave
        room for what it can do. A send weighs as a usual transfer at least and gives back its units, a
        follower less: guards against many small or cheap ones, each as much of a load. Harm: where all are
        small the node idles.
        """
        facts, age = self.facts, now - (node.since or -NEVER)
        span = facts["cold_window"] + 2
        while node.sends and node.sends[0][0] + span <= now:
            node.sends.popleft()
        if age >= facts["warm_after"] or not facts["cold_multiple"] * facts["cold_window"]:
            return 0
        part = self.bears(age) / self.parted("cold", node.id, facts["gateways"], now - span, now)
        if part < 1 and ("cold", node.id) not in self.parts:
            return self.turn_wait(transfer, node, max(age, 0), now)
        owed = sum(units for _, units in node.sends)
        weighs = max(transfer.units, facts["unit_mean"])
        if owed + weighs <= part or owed <= 0 and transfer.units <= part:
            return 0
        return max((node.sends[0][0] if node.sends else now - span) + span - now, 1)

    def bears(self, age: int) -> float:
        """Units that a cold node bears in any window of those who know of its start; one usual transfer where
        it is not told."""
        facts = self.facts
        units = facts["cold_units"] or facts["unit_mean"]
        grown = (1 / (facts["cold_from"] or 1.0) - 1) * max(age, 0) / max(facts["warm_after"], 1)
        return units * (1 - 1 / max(facts["cold_multiple"], 1)) * (1 + grown)

    def turn_wait(self, transfer: Transfer, node: Node, age: int, now: int) -> int:
        """Where an even part is below one unit, gateways take turns: each knows by the node's start and id
        whose turn it is. Guards rule 4 against the chance that many send together, whatever is asked where;
        a turn is open for a quarter of a window, and the pause behind it leaves a quarter for what is on its
        way. Harm: a turn of one who holds nothing is lost to the others.
        """
        facts, span = self.facts, self.facts["cold_window"] + 2
        turn, past = divmod(age, span * 3 // 2)
        bears = self.bears(turn * (span * 3 // 2) - span)
        share = min(bears, max(facts["unit_mean"], 1))
        takers = int(bears / share) if share else 0
        mine = (self.index - node.id - turn * takers) % facts["gateways"] < takers
        spent = sum(units for at, units in node.sends if at >= now - past and units > 0)
        if mine and past < span // 4 and spent + transfer.units <= share:
            return 0
        return span * 3 // 2 - past

    def part(self, now: int, what: str, id: int, share: float | None, ends: int, after: float) -> None:
        """Another part than the even one; None: the even one. What has filled until now fills at the old."""
        volume = self.volumes.get(id) if what == "limit" else None
        if volume is not None and volume.plan["limit_rate"]:
            parts = self.parted(what, id, volume.gateways, volume.limit.at, now)
            volume.limit.fill(now, volume.plan["limit_rate"] / parts, volume.plan["limit_store"] / parts)
        self.parts.pop((what, id), None)
        if share is not None:
            self.parts[what, id] = Part(share, ends, after)

    def parted(self, what: str, id: int, gateways: int, since: int, now: int) -> float:
        """Into how many parts like this gateway's a whole goes: rules 4 and 7 ask here at each send. A part
        whose time is over counts no longer, whatever kept the one who gave it from saying so."""
        told = self.parts.get((what, id))
        return gateways if told is None else 1 / max(told.least(since, now), 1e-9)

    def key_wait(self, transfer: Transfer, now: int) -> int:  # rule 5
        if not transfer.category["in_order"] or not transfer.extent:
            return 0
        self.live(transfer.extent, now)
        keyed = self.keys[transfer.extent]
        rest = 0 if transfer.dispatches else max(self.key_rests.get(transfer.extent, now) - now, 0)
        return rest if keyed[0] is transfer else max(self.facts["tick"], 1)

    def limit_wait(self, transfer: Transfer, now: int) -> int:  # rule 7: an even part
        volume = transfer.volume
        if not volume.plan["limit_rate"] or transfer.dispatches:
            return 0
        parts = self.parted("limit", volume.id, volume.gateways, volume.limit.at, now)
        rate, most = volume.plan["limit_rate"] / parts, volume.plan["limit_store"] / parts
        short = transfer.units - volume.limit.fill(now, rate, most)
        return 0 if short <= 0 else int(short * 10_000 / rate) + 1

    def dispatch(self, transfer: Transfer, node: Node, now: int) -> None:  # the one place
        number = len(transfer.dispatches)
        if number:
            node.credit -= not transfer.spent
            if self.facts["further_window"] is not None:
                self.further_at.append(now)
        elif transfer.volume.plan["limit_rate"]:
            transfer.volume.limit.level -= transfer.units
        sent = self.outstanding[transfer.id, number] = Dispatch(transfer, node, now)
        transfer.volume.out += sent.surplus
        node.take(transfer)
        transfer.dispatches.append(sent)
        node.out.append(sent)
        node.sends.append((now, max(transfer.units, self.facts["unit_mean"])))
        # Guards against dispatches lost without a word; not before the target (few answers make a poor
        # guess), but where as much time is left for another. Surplus, and all at a node that lapsed, ends at
        # the target: no late work. Harm: late utility; a node that pauses is asked twice.
        left, lost = transfer.target - now, int(LOST * max(node.latency or 0, self.service(node, transfer)))
        sent.final = left > 0 and (not transfer.reserved or node.lapses > 0)
        timeout = left if sent.final else max(left, lost)
        if not number and node.latency is not None and node.credit > 0 and 2 * lost <= left:
            timeout, sent.final = lost, False
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
        # Guards against resting a node for a dispatch that was lost alone (a connection fell silent): the
        # first without a word while the node was heard of late. Harm: a hung one is known later.
        of_late = sent.sent - HEARD * max(answer.latency, self.shortest)  # a reset may come at once
        alone = answer.outcome in NO_WORD and node.heard >= max(node.silent, of_late)
        node.silent = now if answer.outcome in NO_WORD else node.silent
        if answer.outcome in NO_WORD + (Outcome.TURNED_AWAY,) and sent.sent >= node.lapsed and not alone:
            # Guards against many gateways that keep trying a node which is crowded, slow, hung or gone. Harm:
            # after a short fault it is left idle for a while.
            node.lapses, node.lapsed = min(node.lapses + 1, MOST_LAPSES), now
            span = max(answer.latency, node.latency or self.facts["tick"])
            node.rest_until = now + int(span * (2 ** node.lapses - 1) * self.uniform(0.5, 1.5))
            self.hand_back(node)
        if answer.outcome in NO_WORD and node.heard <= sent.sent and not alone:
            self.sign(node, Sign.LAPSE, now)
        elif answer.outcome not in UNSETTLED + (Outcome.MOOT,):
            node.heard, node.credit = now, min(node.credit + 1, CREDITS)
        if answer.outcome is Outcome.SATISFIED:
            self.learn(sent, answer, now)
        if answer.outcome in UNSETTLED and transfer.extent in self.keys:
            self.key_rests[transfer.extent] = now + self.facts["key_rest"]
        if answer.over or answer.outcome is Outcome.SATISFIED:
            self.cue(transfer, Cue.CLOSED, now)
        elif not any(each.outcome is None for each in transfer.dispatches):
            transfer.spent = False
            late = now >= transfer.ends - ENDING_TICKS * self.facts["tick"]
            ended = late or sent.final and answer.outcome is Outcome.TIMED_OUT
            never = ended or all(self.repeat_wait(transfer, each, now) >= NEVER
                                 for each in self.choice(transfer))
            self.cue(transfer, Cue.LAST if never else Cue.AGAIN, now)
        self.let_go(transfer)

    def let_go(self, transfer: Transfer) -> None:
        """Cuts the circle of transfer and dispatches once nothing is out: freed at once, no host stands still
        while a garbage collector looks for it. Rule 5 needs only that it is over."""
        if transfer.phase is Phase.OVER and all(each.outcome is not None for each in transfer.dispatches):
            transfer.dispatches = []

    def learn(self, sent: Dispatch, answer: Answer, now: int) -> None:
        node, transfer = sent.node, sent.transfer
        node.lapses = max(node.lapses - 1, 0)
        node.sends.append((now, -transfer.units * (HIT if node.follows(transfer) else 1)))
        node.follow, node.follow_until = transfer, now + int(FOLLOW_WAIT * self.service(node, transfer))
        pace = answer.latency / transfer.units
        self.clear *= 1 + CLEAR_STEP * (CLEAR - (pace * node.size < self.clear))
        self.clear = self.clear or pace * node.size
        waited = max(answer.latency - transfer.units * self.clear / node.size, 0)
        node.wait += SMOOTH * (waited - node.wait)
        strain = waited / self.shortest + answer.report.get("busy", 0.0)
        node.strain += STRAIN * (strain - node.strain) if node.latency is not None else self.strain
        self.strain += STRAIN / 4 * (strain - self.strain)
        new = 1 if node.latency is None else SMOOTH
        node.latency = (node.latency or 0.0) * (1 - new) + answer.latency * new
        node.pace += new * (pace - node.pace)
        node.best = self.clear / node.size
        if node.crowded():
            node.window = max(node.window * NARROWER, self.least)
        elif node.pace < NEAR * node.best and sent.full:
            node.window = min(node.window + 1 / node.window, MOST_WINDOW)
            self.sign(node, Sign.PROVEN, now)

    def abandoned(self, now: int, transfer: int) -> None:
        if transfer in self.transfers:
            self.cue(self.transfers[transfer], Cue.CLOSED, now)

    def woken(self, now: int, what: object) -> None:
        if isinstance(what, ReferenceType):
            what = what()
        if isinstance(what, Transfer):
            # What was never dispatched is given up while its client has time for another try. Guards against
            # holding it to the end for nothing (a cell without a node, a long surge). Harm: its late utility.
            if not what.dispatches or now >= what.ends - ENDING_TICKS * self.facts["tick"]:
                self.cue(what, Cue.HOPELESS, now)
        elif isinstance(what, Node):
            what.wake_at = NEVER
            self.touched[what.id] = what
        elif what == "ask":
            self.asks += 1
            self.port.watch()

    def cue(self, transfer: Transfer, cue: Cue, now: int) -> None:
        transfer.phase, effect = TRANSFER_TABLE.get((transfer.phase, cue), (transfer.phase, ""))
        if effect == "hold":
            self.unplaced.append(transfer)
        elif effect:
            self.end(transfer, effect == "give_up")

    def end(self, transfer: Transfer, answer: bool) -> None:  # the one place that answers
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
        self.let_go(transfer)
