"""Every decision of milletsill: what leaves when, for which storage node, and what is given up.

A host makes one Scheduler per gateway with the facts, the seed, the time and a Port, tells it each event by
`listed`, `taken`, `returned`, `woken` and so on, and calls `settle` when it has told all it knows for now; the
module answers through the Port. The types are in interface.py, which also names the facts. Times are whole
tenths of a millisecond. The design is batch-and-delay EDF (docs/design.md): each Node has an extent-sorted queue,
a deadline queue and a background queue; `choose` is its ordinary path, `wait_for` the gate of the seven rules.
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
NEAR, FAR = 1.1, 1.4         # the window widens below, narrows above this multiple of the best pace
NARROWER = 0.95              # what an answer of a slow node leaves of the window
SMOOTH = 1 / 8               # weight of a new latency
FORGET = 1 / 800             # how fast the best pace is forgotten
FIRST_M = 10                 # M starts at the target time over this
HOPE = 0.6                   # share of the expected service that a transfer must still find before its target time
PART = 0.5                   # part of a volume's reserve where its use is not told: its gateways to the minus this
SHARE = 1.0                  # a volume's estimated share, against its usual rate
RUN, HIT = 4, 0.5
FOLLOW_WAIT = 0.5            # longest wait for a follower, as a share of the expected service
CREDITS = 4                  # new objects and further dispatches that a node may have unanswered at this gateway
ENDING_TICKS = 2             # a held transfer is answered this many ticks before its client gives up
ASK_AGAIN = 1 / 8            # share of the stated time after which a failed watch is asked for again
REST = 2                     # a node that did not answer is left alone for this many smoothed latencies


Phase = Enum("Phase", "HELD OUT OVER")
# SENT; CLOSED: the client has its answer or has left; AGAIN, LAST: no dispatch is out any more, and another is
# lawful or not; HOPELESS: nothing this gateway can still do would be of use; ENDING: the client is about to leave.
Cue = Enum("Cue", "SENT CLOSED AGAIN LAST HOPELESS ENDING")
# SILENT: did not answer, tried with one transfer at a time; RETURNED: proves itself; BARRED: draining or gone.
Health = Enum("Health", "STEADY SILENT RETURNED BARRED")
Sign = Enum("Sign", "ANSWER PROVEN LAPSE READY FRESH UNREADY")

TRANSFER_TABLE: Mapping[tuple[Phase, Cue], tuple[Phase, str]] = {
    (Phase.HELD, Cue.SENT): (Phase.OUT, ""),
    (Phase.HELD, Cue.CLOSED): (Phase.OVER, "forget"),
    (Phase.HELD, Cue.HOPELESS): (Phase.OVER, "give_up"),
    (Phase.HELD, Cue.ENDING): (Phase.OVER, "give_up"),
    (Phase.OUT, Cue.CLOSED): (Phase.OVER, "forget"),
    (Phase.OUT, Cue.AGAIN): (Phase.HELD, "hold"),
    (Phase.OUT, Cue.LAST): (Phase.OVER, "give_up"),
}
NODE_TABLE: Mapping[tuple[Health, Sign], tuple[Health, str]] = {
    **{(health, Sign.LAPSE): (Health.SILENT, "rest") for health in Health if health is not Health.BARRED},
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
        self.level = min(self.level + rate * (now - self.at) / 10_000, most)
        self.at = now
        return self.level


class Volume:
    """What this gateway knows of one volume."""

    def __init__(self, plan: Mapping[str, Any], gateways: int, now: int) -> None:
        self.plan, self.gateways = plan, gateways
        self.reserve, self.share = Store(plan["reserve_rate"] / gateways, now), Store(0.0, now)
        self.limit = Store(0.0, now)  # guards rule 7: a former self may have spent all of it
        self.own, self.others = Store(0.0, now), -1.0  # units a second that others seem to use; below 0: not told


class Transfer:
    """A transfer that this gateway has taken."""

    def __init__(self, arrival: Arrival, category: Mapping[str, Any], volume: Volume, now: int) -> None:
        self.id, self.extent, self.volume, self.category = arrival.id, arrival.extent, volume, category
        self.cell, self.units, self.ends = arrival.cell, arrival.units, arrival.ends
        # A client's repeat counts from its first try: its patience runs over all its tries.
        self.start = min(now, arrival.ends - category["patience"]) if arrival.repeat else now
        self.target = min(self.start + category["target_time"], arrival.ends)
        self.tag = self.target
        self.utility = category["utility"] * volume.plan["price"]  # a unit, times its level below
        self.phase = Phase.HELD
        self.node: Node | None = None
        self.queue: Queue | None = None
        self.spent = False
        self.dispatches: list[Dispatch] = []


class Dispatch:
    """One sending of a transfer; `outcome` is None while it is out."""

    def __init__(self, transfer: Transfer, node: Node, now: int, full: bool) -> None:
        self.transfer, self.node, self.sent, self.full = transfer, node, now, full
        self.outcome: Outcome | None = None


class KeyLine:
    """Transfers of one key whose order is kept (rule 5)."""

    def __init__(self) -> None:
        self.line: deque[Transfer] = deque()
        self.rest_until = 0


class Node:
    """All that is known of one storage node."""

    def __init__(self, entry: Listed) -> None:
        self.id, self.cell, self.zone, self.since = entry.node, entry.cell, entry.zone, entry.since
        self.health = Health.STEADY
        self.due: Queue = []         # deadline queue, by tag
        self.background: Queue = []  # by arrival
        self.late: Queue = []        # background past its target time
        self.extents: Queue = []     # all held ones, by extent
        self.out: list[Dispatch] = []
        self.units_held = 0.0
        self.window = FIRST_WINDOW
        self.latency: float | None = None  # M, smoothed
        self.pace: float | None = None     # smoothed latency a unit of cost
        self.best = 0.0
        self.credit = CREDITS
        self.follow: Transfer | None = None
        self.follow_until = 0
        self.heard = 0                     # when it last answered
        self.rest_until = 0
        self.wake_at = NEVER
        self.sends: deque[tuple[int, float]] = deque()  # units sent within the window of rule 4

    def put(self, queue: Queue, order: int, number: int, transfer: Transfer) -> None:
        transfer.node, transfer.queue = self, queue
        insort(queue, (order, number, transfer))
        insort(self.extents, (transfer.extent, number, transfer))
        self.units_held += transfer.units

    def take(self, transfer: Transfer) -> None:
        """Take a held transfer out of every queue."""
        queue = transfer.queue
        if queue is None:
            return
        queue[:] = [each for each in queue if each[2] is not transfer]
        at = bisect_left(self.extents, (transfer.extent,))
        while self.extents[at][2] is not transfer:
            at += 1
        del self.extents[at]
        self.units_held -= transfer.units
        transfer.queue = None


class Scheduler:
    """One gateway's decisions."""

    def __init__(self, facts: Facts, seed: int, now: int, port: Port) -> None:
        self.facts, self.port, self.born = facts, port, now
        self.uniform = Random(seed).uniform
        self.nodes: dict[int, Node] = {}
        self.volumes: dict[int, Volume] = {}
        self.transfers: dict[int, Transfer] = {}
        self.outstanding: dict[tuple[int, int], Dispatch] = {}
        self.keys: dict[int, KeyLine] = {}
        self.unplaced: list[Transfer] = []
        self.touched: dict[int, Node] = {}
        self.numbers = 0
        self.taken_at: deque[int] = deque()
        self.further_at: deque[int] = deque()
        self.asks = 0
        if facts["list_on_request"]:
            self.ask()

    # ---- the list of nodes ------------------------------------------------------------------------------

    def ask(self) -> None:
        self.asks += 1
        self.port.watch()

    def listed(self, now: int, news: News, entries: Sequence[Listed]) -> None:
        if news is News.FAILED:
            # Guards rule 3 against a lost or refused subscription, whatever the cause; each asking costs
            # list lines, so it harms if the list is slow for long: the pause then doubles.
            pause = self.facts["ask_within"] * min(ASK_AGAIN * 2 ** min(self.asks, 2), 1 / 2)
            self.port.wake(now + int(pause * self.uniform(0.3, 1)), "ask")
            return
        self.asks = 0 if news is not News.CACHED else self.asks
        named = {entry.node for entry in entries}
        for entry in entries:
            self.told_of(entry, now, news)
        if news is not News.CHANGES:
            for node in self.nodes.values():
                if node.id not in named:
                    self.sign(node, Sign.UNREADY, now)

    def told_of(self, entry: Listed, now: int, news: News) -> None:
        node = self.nodes.get(entry.node)
        if node is None:
            node = self.nodes[entry.node] = Node(entry)
            if news is News.CACHED:
                # Guards rule 4: a former self may have spent this gateway's part of a cold node's budget.
                node.sends.append((now, self.cold_part(node, now)))
        node.cell, node.zone = entry.cell, entry.zone
        fresh = entry.since is not None and entry.since != node.since
        node.since = entry.since
        ready = entry.readiness is Readiness.READY
        self.sign(node, Sign.UNREADY if not ready else Sign.FRESH if fresh else Sign.READY, now)

    def sign(self, node: Node, sign: Sign, now: int) -> None:
        """One step of a node's health by the table."""
        step = NODE_TABLE.get((node.health, sign))
        if step is None:
            return
        node.health, effect = step
        self.touched[node.id] = node
        if effect == "rest":
            node.window, node.credit = LEAST_WINDOW, 0
            node.rest_until = now + int(REST * (node.latency or self.facts["tick"]))
        elif effect == "restart":
            node.window, node.credit, node.rest_until = LEAST_WINDOW, 1, now
        elif effect == "empty":
            self.unplaced += (held := [each[2] for each in node.extents])
            for transfer in held:
                node.take(transfer)

    def place(self, transfer: Transfer, now: int) -> bool:
        """Give a transfer to the node of its cell; a new object goes where credit is left and the wait is least."""
        ready = [node for node in self.nodes.values() if node.health is not Health.BARRED
                 and (node.cell == transfer.cell if transfer.cell is not None else node.credit > 0)]
        if not ready:
            return False
        if transfer.cell is None:
            paces = [node.pace for node in ready if node.pace]
            usual = sum(paces) / len(paces) if paces else 1.0
            near = [node for node in ready if node.follow and node.follow.extent == transfer.extent]
            ready = near or [min(ready, key=lambda node: self.backlog(node, now, usual, transfer.units))]
            ready[0].credit -= 1
            transfer.spent = True
        self.hold(transfer, ready[0], now)
        return True

    def backlog(self, node: Node, now: int, usual: float, more: float) -> float:
        """How long some more units would take at a node; an answer long due counts as the node's pace."""
        ahead = sum(each.transfer.units for each in node.out) + node.units_held + more
        overdue = max((now - max(each.sent, node.heard) for each in node.out), default=0)
        return ahead * (node.pace or usual) / node.window + max(overdue - (node.latency or 0.0), 0.0)

    # ---- taking and classifying -------------------------------------------------------------------------

    def taken(self, now: int, arrival: Arrival) -> None:
        category = self.facts["categories"][arrival.category]
        volume = self.volumes.get(arrival.volume)
        if volume is None:
            plan = self.facts["plans"][arrival.plan]
            volume = self.volumes[arrival.volume] = Volume(plan, arrival.gateways, self.born)
        volume.gateways = max(volume.gateways, arrival.gateways)
        transfer = Transfer(arrival, category, volume, now)
        self.transfers[transfer.id] = transfer
        self.taken_at.append(now)
        if category["in_order"] and transfer.extent:
            self.keys.setdefault(transfer.extent, KeyLine()).line.append(transfer)
        self.port.wake(transfer.ends - ENDING_TICKS * self.facts["tick"], transfer)
        transfer.level = self.level(volume, transfer.units, now)
        transfer.utility *= (1.0, self.facts["share_utility"], self.facts["spare_utility"])[transfer.level]
        self.unplaced.append(transfer)

    def level(self, volume: Volume, units: float, now: int) -> int:
        """0 inside this gateway's estimated part of the volume's reserve, 1 inside that of its share, else 2."""
        rate, even = volume.plan["reserve_rate"], volume.gateways ** -PART
        reserve = max(rate / volume.gateways, rate - volume.others) if volume.others >= 0 else rate * even
        share = SHARE * volume.plan["usual_rate"] * even
        for level, (store, part) in enumerate(((volume.reserve, reserve), (volume.share, share))):
            if store.fill(now, part, part + self.facts["largest_units"]) >= units:
                store.level -= units
                return level
        return 2

    def hold(self, transfer: Transfer, node: Node, now: int) -> None:
        """Queue a transfer at a node: by its tag, or behind as background."""
        self.touched[node.id] = node
        m = node.latency if node.latency is not None else transfer.category["target_time"] / FIRST_M
        transfer.tag = transfer.target - int(m)
        missed = now + HOPE * self.service(transfer, node) > transfer.target
        queue = node.late if missed else node.background if transfer.level else node.due
        self.put(transfer, node, queue)

    def put(self, transfer: Transfer, node: Node, queue: Queue) -> None:
        self.numbers += 1
        node.put(queue, transfer.tag if queue is node.due else self.numbers, self.numbers, transfer)

    def service(self, transfer: Transfer, node: Node) -> float:
        """Expected time from a dispatch to its answer."""
        return (node.pace or 0.0) * transfer.units

    # ---- choosing ---------------------------------------------------------------------------------------

    def settle(self, now: int) -> None:
        """Place what has no node, then fill every node's window that something happened to."""
        if self.unplaced:
            self.unplaced = [each for each in self.unplaced
                             if each.phase is Phase.HELD and not self.place(each, now)]
        for node in list(self.touched.values()):
            self.relieve(node, now)
            self.pump(node, now)
        self.touched.clear()

    def relieve(self, node: Node, now: int) -> None:
        """Where a queue cannot all leave in time, its least useful transfers go behind, and from the last queue away.

        Keeps any overdue backlog (surge, slow node, stall, lost nodes) from making EDF serve late work only.
        """
        clock, step = float(now), (node.pace or 0.0) / node.window
        for queue, onward in ((node.due, node.background), (node.background, node.late), (node.late, None)):
            while (found := self.crowded(node, queue, clock, step, onward is None)) is not None:
                node.take(found)
                if onward is None:
                    self.cue(found, Cue.HOPELESS, now)
                else:
                    self.put(found, node, onward)
            clock += step * sum(each[2].units for each in queue)

    def crowded(self, node: Node, queue: Queue, clock: float, step: float, last: bool) -> Transfer | None:
        """The least useful of those up to the first that would leave too late, if one would."""
        for place, (_, _, transfer) in enumerate(queue):
            if clock + HOPE * self.service(transfer, node) > (transfer.ends if last else transfer.target):
                return min(queue[:place + 1], key=lambda each: (each[2].utility, each[0]))[2]
            clock += step * transfer.units
        return None

    def pump(self, node: Node, now: int) -> None:
        if now < node.rest_until:
            self.wake(node, node.rest_until, now)
        while now >= node.rest_until and len(node.out) < int(node.window) and node.extents:
            transfer = self.choose(node, now)
            if transfer is None:
                return
            self.dispatch(transfer, node, now)
            self.run_on(node, transfer, now)

    def run_on(self, node: Node, first: Transfer, now: int) -> None:
        """The rest of a run leaves behind its first transfer, before another extent comes between them."""
        slack = min((each[2].tag - now for each in node.due[:1]), default=NEVER)
        spent = 0.0
        at = bisect_left(node.extents, (first.extent,))
        run = [each[2] for each in node.extents[at:at + RUN] if each[0] == first.extent]
        for transfer in run:
            spent += self.service(transfer, node) * HIT
            if spent > slack or len(node.out) >= MOST_WINDOW or self.wait_for(transfer, node, now):
                return
            self.dispatch(transfer, node, now)

    def wake(self, node: Node, at: int, now: int) -> None:
        if at < node.wake_at or node.wake_at <= now:
            node.wake_at = at
            self.port.wake(at, node)

    def lawful(self, node: Node, queue: Queue, now: int) -> Transfer | None:
        """The first of a queue that every rule lets go now; else a wake for when one may."""
        soonest = NEVER
        for each in queue:
            wait = self.wait_for(each[2], node, now)
            if wait == 0:
                return each[2]
            soonest = min(soonest, now + wait)
        if soonest < NEVER:
            self.wake(node, soonest, now)
        return None

    def choose(self, node: Node, now: int) -> Transfer | None:
        """The ordinary path: a follower while the head is not due, then the head, then background."""
        if node.health is not Health.STEADY:
            # A node that comes back gets a little of the work that is worth most first.
            queue = sorted(node.due, key=lambda each: -each[2].utility) or node.background or node.late
            return self.lawful(node, queue, now)
        head = self.lawful(node, node.due, now)
        if head is not None and head.tag > now and node.follow is not None:
            follower = self.follower(node, node.follow, head, now)
            if follower is not None:
                return follower
            bound = min(node.follow_until, head.tag - int(self.service(head, node)))
            if node.out and now < bound and int(node.window) - len(node.out) == 1:
                self.wake(node, bound, now)
                return None
        return head or self.lawful(node, node.background, now) or self.lawful(node, node.late, now)

    def follower(self, node: Node, last: Transfer, head: Transfer, now: int) -> Transfer | None:
        """The next held transfer of the extent just finished, else of its volume, if the head can bear its cost."""
        slack = head.tag - now
        at = bisect_left(node.extents, (last.extent,))
        same = []
        while at < len(node.extents) and node.extents[at][0] == last.extent:
            same.append(node.extents[at][2])
            at += 1
        same += [each[2] for each in node.due if each[2].volume is last.volume]
        for transfer in same:
            if self.service(transfer, node) <= slack and self.wait_for(transfer, node, now) == 0:
                return transfer
        return None

    # ---- the gate: every send passes here ---------------------------------------------------------------

    def wait_for(self, transfer: Transfer, node: Node, now: int) -> int:
        """0 if the transfer may go to the node now, else how long to wait before asking again."""
        if transfer.phase is Phase.OVER or now >= transfer.ends:
            return NEVER  # rule 1
        if node.health is Health.BARRED:
            return NEVER  # rule 3: no grace is used
        return max(self.repeat_wait(transfer, node, now), self.cold_wait(transfer, node, now),
                   self.key_wait(transfer, now), self.limit_wait(transfer, now))

    def repeat_wait(self, transfer: Transfer, node: Node, now: int) -> int:
        """Rules 2 and 6, and credit: whether and when a further dispatch is lawful."""
        if not transfer.dispatches:
            return 0
        facts, category = self.facts, transfer.category
        if len(transfer.dispatches) >= facts["most_dispatches"] or (node.credit <= 0 and not transfer.spent):
            return NEVER
        if any(each.outcome is None for each in transfer.dispatches) and not facts["may_copy"]:
            return NEVER
        ran = [each for each in transfer.dispatches if each.outcome not in NEVER_RAN]
        if ran and category["repeats"] == "exclusive":
            return NEVER
        if ran and category["repeats"] == "ticketed":
            if now >= ran[0].sent + category["repeat_window"] or not all(
                    category["group"] == "all" or (category["group"] == "zone" and each.node.zone == node.zone)
                    or (category["group"] == "cell" and each.node.cell == node.cell) for each in ran):
                return NEVER
        span = facts["further_window"]
        if span is None:
            return 0
        while self.further_at and self.further_at[0] < now - span - 1:
            self.further_at.popleft()
        while self.taken_at and self.taken_at[0] <= now - span + 1:
            self.taken_at.popleft()
        most = facts["further_free"] + facts["further_ratio"] * len(self.taken_at)
        return 0 if len(self.further_at) + 1 <= most else max(self.further_at[0] + span + 2 - now, 1)

    def cold_part(self, node: Node, now: int) -> float:
        """This gateway's part of what a cold node bears within the window of rule 4, from the least it can be."""
        if node.since is None or now - node.since >= self.facts["warm_after"]:
            return 0.0
        least = self.facts["cold_from"] or 1.0
        grown = least + (1 - least) * max(now - node.since, 0) / self.facts["warm_after"]
        return self.facts["cold_units"] / self.facts["gateways"] * grown / least

    def cold_wait(self, transfer: Transfer, node: Node, now: int) -> int:
        """Rule 4."""
        span = self.facts["cold_window"]
        while node.sends and node.sends[0][0] < now - span - 1:
            node.sends.popleft()
        part = self.cold_part(node, now)
        if not part or sum(units for _, units in node.sends) + transfer.units <= part:
            return 0
        return max(node.sends[0][0] + span + 2 - now, 1) if node.sends else int(self.facts["tick"]) * 50

    def key_wait(self, transfer: Transfer, now: int) -> int:
        """Rule 5."""
        if not transfer.category["in_order"] or not transfer.extent:
            return 0
        keyed = self.keys[transfer.extent]
        while keyed.line[0] is not transfer and keyed.line[0].phase is Phase.OVER and all(
                each.outcome is not None for each in keyed.line[0].dispatches):
            keyed.line.popleft()
        if keyed.line[0] is not transfer:
            return NEVER
        return 0 if transfer.dispatches else max(keyed.rest_until - now, 0)

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
        if number and not transfer.spent:
            node.credit -= 1
            transfer.spent = True
        if number:
            self.further_at.append(now)
        elif transfer.volume.plan["limit_rate"]:
            transfer.volume.limit.level -= transfer.units
        node.take(transfer)
        sent = Dispatch(transfer, node, now, len(node.out) + 1 >= int(node.window))
        transfer.dispatches.append(sent)
        self.outstanding[transfer.id, number] = sent
        node.out.append(sent)
        node.sends.append((now, transfer.units))
        trial = node.health is Health.SILENT
        self.port.send(transfer.id, node.id, transfer.category["target_time"] if trial else 0)
        self.cue(transfer, Cue.SENT, now)

    # ---- answers ----------------------------------------------------------------------------------------

    def returned(self, now: int, answer: Answer) -> None:
        sent = self.outstanding.pop((answer.id, answer.number), None)
        if sent is None:
            return
        sent.outcome = answer.outcome
        node, transfer = sent.node, sent.transfer
        node.out.remove(sent)
        self.touched[node.id] = node
        if answer.outcome is Outcome.MOOT:
            node.credit += transfer.spent
        elif answer.outcome in NO_WORD:
            if node.heard <= sent.sent:
                self.sign(node, Sign.LAPSE, now)
        elif answer.outcome is not Outcome.CANCELLED:
            self.heard_from(node, sent, answer, now)
        if answer.outcome in UNSETTLED and transfer.extent in self.keys:
            self.keys[transfer.extent].rest_until = now + self.facts["key_rest"]
        if answer.used is not None:
            self.told_use(transfer.volume, answer, now)
        if answer.over or answer.outcome is Outcome.SATISFIED:
            self.cue(transfer, Cue.CLOSED, now)
        elif transfer.phase is Phase.OUT and not any(each.outcome is None for each in transfer.dispatches):
            transfer.spent = False
            late = now >= transfer.ends - ENDING_TICKS * self.facts["tick"]
            self.cue(transfer, Cue.LAST if late or self.repeat_wait(transfer, node, now) >= NEVER else Cue.AGAIN, now)

    def heard_from(self, node: Node, sent: Dispatch, answer: Answer, now: int) -> None:
        """An answer earns credit and moves M and the window."""
        node.heard, transfer = now, sent.transfer
        node.credit = min(node.credit + 1, CREDITS)
        self.sign(node, Sign.ANSWER, now)
        if answer.outcome is Outcome.TURNED_AWAY:
            node.window = max(node.window / 2, LEAST_WINDOW)
            node.rest_until = now + int(REST * (node.latency or self.facts["tick"]))
            return
        if answer.outcome is not Outcome.SATISFIED:
            return
        node.follow = transfer
        node.follow_until = now + int(FOLLOW_WAIT * self.service(transfer, node))
        transfer.volume.own.level += transfer.units
        pace = answer.latency / transfer.units
        if node.pace is None or node.latency is None:
            node.latency, node.pace, node.best = float(answer.latency), pace, pace
            return
        node.latency += SMOOTH * (answer.latency - node.latency)
        node.pace += SMOOTH * (pace - node.pace)
        node.best = min(node.best + FORGET * (node.pace - node.best), node.pace)
        if node.pace > FAR * node.best:
            node.window = max(node.window * NARROWER, LEAST_WINDOW)
        elif node.pace < NEAR * node.best and sent.full:
            node.window = min(node.window + 1 / node.window, MOST_WINDOW)
            if node.window >= FIRST_WINDOW:
                self.sign(node, Sign.PROVEN, now)

    def told_use(self, volume: Volume, answer: Answer, now: int) -> None:
        """From what the volume used everywhere, estimate what others use of it; own use is what was answered here."""
        total = (answer.used or 0) / 100 * volume.plan["usual_rate"]
        span = max(now - volume.own.at, 1)
        if span < max(self.facts["meter"], self.facts["tick"]):
            return
        own = volume.own.level * 10_000 / span
        others = max(total - own, 0.0)
        volume.others = others if volume.others < 0 else (volume.others + others) / 2
        volume.own = Store(0.0, now)

    def abandoned(self, now: int, transfer: int) -> None:
        if transfer in self.transfers:
            self.cue(self.transfers[transfer], Cue.CLOSED, now)

    def woken(self, now: int, what: object) -> None:
        if isinstance(what, Transfer):
            self.cue(what, Cue.ENDING, now)
        elif isinstance(what, Node):
            what.wake_at = NEVER
            self.touched[what.id] = what
        elif what == "ask":
            self.ask()

    def cue(self, transfer: Transfer, cue: Cue, now: int) -> None:
        """One step of a transfer by the table."""
        step = TRANSFER_TABLE.get((transfer.phase, cue))
        if step is None:
            return
        transfer.phase, effect = step
        if effect == "hold":
            self.hold(transfer, transfer.node, now)
        elif effect:
            self.end(transfer, effect == "give_up", now)

    def end(self, transfer: Transfer, answer: bool, now: int) -> None:
        """Take a transfer that is over out of every place; where its client has no answer yet, give it."""
        del self.transfers[transfer.id]
        if transfer.node is not None and transfer.queue is not None:
            transfer.node.take(transfer)
            transfer.node.credit += transfer.spent
        ran = [each for each in transfer.dispatches if each.outcome not in NEVER_RAN]
        category = transfer.category
        if answer and (not ran or category["repeats"] == "rerunnable"
                       or (category["repeats"] == "ticketed" and category["group"] == "all")):
            self.port.decline(transfer.id, self.facts["longest_pause"] if self.facts["pause_told"] else 0)
        elif answer:
            self.port.abort(transfer.id)
        for number, each in enumerate(transfer.dispatches):
            if each.outcome is None and self.facts["may_cancel"]:
                self.port.cancel(transfer.id, number)
