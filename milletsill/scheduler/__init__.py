"""Every decision of milletsill: what leaves when, for which storage node, and what is given up.

A host makes one Scheduler per gateway with facts, seed, time and a Port, tells it events by `listed`,
`taken`, `returned`, `abandoned`, `woken`, then calls `settle`; it acts through the Port, see interface.py.
"""

from collections.abc import Sequence
from weakref import ReferenceType, ref

from milletsill.interface import Request, Endpoint, EndpointUpdateKind, Readiness
from milletsill.scheduler.answers import Answers
from milletsill.scheduler.ordinary import Ordinary
from milletsill.scheduler.records import Node, Transfer, Volume
from milletsill.scheduler.tables import (
    ASK_AGAIN,
    ASK_MOST,
    ENDING_TICKS,
    FIRST_WINDOW,
    IDLE,
    NEVER,
    PART,
    SWEPT,
    UNSENT,
    Cue,
    Health,
    Phase,
    Sign,
)


class Scheduler(Ordinary, Answers):
    def on_endpoints(
        self, now: int, news: EndpointUpdateKind, entries: Sequence[Endpoint]
    ) -> None:
        if news is EndpointUpdateKind.FAILED:
            # Guards rule 3 against two failed watches in turn; could harm a slow list: the pause grows.
            span = (
                self.facts["ask_within"] or self.idle // IDLE
            )  # the longest patience, where none is told
            pause = span * min(ASK_AGAIN * self.asks, ASK_MOST) * self.uniform(0.5, 1)
            return self.port.set_timer(now + int(pause), "ask")
        self.asks = int(news is EndpointUpdateKind.CACHED)
        for entry in entries:
            node = self.nodes.get(entry.node)
            fresh = entry.started_at is not None and (
                node is None or entry.started_at != node.since
            )
            node = node or self.nodes.setdefault(
                entry.node, Node(entry, max(FIRST_WINDOW, self.least))
            )
            node.cell, node.zone, node.since = entry.shard, entry.zone, entry.started_at
            node.size = (
                entry.size if self.facts["sized"] and 0 < entry.size < NEVER else 1
            )
            for each in (
                self.transfers.values() if fresh else ()
            ):  # guards rule 4: all that were held
                each.gap *= each.cell not in (None, entry.shard)
            if fresh and now - self.born <= self.facts["cold_window"]:
                node.sends.append(
                    (now, NEVER)
                )  # guards rule 4: a former self may have spent its part
            ready = Sign.FRESH if fresh else Sign.READY
            self.sign(
                node, ready if entry.readiness is Readiness.READY else Sign.UNREADY, now
            )
        missing = (
            self.nodes.keys() - {entry.node for entry in entries}
            if news is not EndpointUpdateKind.DELTA
            else ()
        )
        for each in sorted(missing):
            self.sign(self.nodes[each], Sign.UNREADY, now)
        self.serving = [
            node for node in self.nodes.values() if node.health is not Health.BARRED
        ]
        self.cells = {}
        for node in self.serving:
            self.cells.setdefault(node.cell, []).append(node)
        self.forget_nodes(now)

    def forget_nodes(self, now: int) -> None:
        """Guards a gateway that runs for months against nodes that left for good. One that comes back is new
        here: cold if the list tells its start. Harm: none once what was sent has left rule 4's window.
        """
        for node in list(self.nodes.values()):
            gone = node.health is Health.BARRED and not node.out and not node.extents
            if gone and now > node.barred_at + max(
                self.idle, self.facts["cold_window"] + 2
            ):
                del self.nodes[node.id]

    def forget_idle(self, now: int) -> None:
        """Guards the same against volumes and keys seen once: the least lately used are looked at, a few with
        each transfer. Harm: a surplus window learnt long ago starts again at one.
        """
        for _ in range(SWEPT):
            volume = next(iter(self.volumes.values()), None)
            if volume is not None and now - volume.used_at > self.idle:
                del self.volumes[volume.id]
                if ("limit", volume.id) in self.parts or not volume.forgettable(
                    now, self.largest
                ):
                    self.volumes[volume.id], volume.used_at = volume, now
            if (
                now - self.last.get(cell := next(iter(self.last), None), now)
                > self.idle
            ):
                del self.last[cell]
            key = next(iter(self.keys), None)
            if key is not None and (line := self.keys.pop(key)).live(now):
                self.keys[key] = line

    def on_request(self, now: int, arrival: Request) -> None:
        categories, plans = self.facts["categories"], self.plans
        if arrival.request_class >= len(categories) or arrival.service_plan >= len(
            plans
        ):  # no rule is told for it
            return self.port.reject(arrival.id, 0)
        category, plan = categories[arrival.request_class], plans[arrival.service_plan]
        units = arrival.units if 0 < arrival.units < NEVER else self.facts["unit_mean"]
        self.forget_idle(now)
        gateways = (
            arrival.sharing_gateways or self.facts["gateways"]
        )  # guards rule 7: not told, it may be all
        volume = self.volumes.pop(arrival.volume, None) or Volume(
            arrival.volume, plan, gateways, self.born
        )
        self.volumes[arrival.volume], volume.used_at = (
            volume,
            now,
        )  # the least lately used stands first
        volume.gateways = max(volume.gateways, gateways)
        transfer = self.transfers[arrival.id] = Transfer(
            arrival, category, volume, units, self.clear, now
        )
        transfer.gap = min(now - self.last.pop(transfer.cell, self.born), self.idle)
        self.last[transfer.cell] = now
        rate = (
            plan["reserve_rate"] * volume.gateways**-PART
        )  # an estimate: others' use of it is not known
        if ("reserve", volume.id) in self.parts:
            rate = plan["reserve_rate"] / self.parted(
                "reserve", volume.id, volume.gateways, now, now
            )
        transfer.reserved = (
            volume.reserve.fill(now, rate, rate + self.largest) >= units
            or self.unreserved
        )
        volume.reserve.level -= units if transfer.reserved else 0
        transfer.utility *= 1.0 if transfer.reserved else self.facts["share_utility"]
        if self.facts["further_window"] is not None:  # nothing older is ever counted
            self.taken_at.append(now)
            self.within_budget(now)
        if category["in_order"] and transfer.extent:
            self.keys[transfer.extent].append(transfer)
        # A host keeps its wakes until they are due: a weak one does not hold what is over.
        self.port.set_timer(
            transfer.ends - ENDING_TICKS * self.facts["tick"], ref(transfer)
        )
        self.port.set_timer(now + int(UNSENT * (transfer.ends - now)), ref(transfer))
        self.unplaced.append(transfer)

    def on_client_cancelled(self, now: int, transfer: int) -> None:
        if transfer in self.transfers:
            self.cue(self.transfers[transfer], Cue.CLOSED, now)

    def on_timer(self, now: int, what: object) -> None:
        what = what() if isinstance(what, ReferenceType) else what
        if isinstance(what, Transfer):
            # What was never dispatched is given up while its client has time for another try. Guards against
            # holding it to the end for nothing (a cell without a node, a long surge). Harm: its late utility.
            if (
                not what.dispatches
                or now >= what.ends - ENDING_TICKS * self.facts["tick"]
            ):
                self.cue(what, Cue.HOPELESS, now)
        elif isinstance(what, Node):
            what.wake_at = NEVER
            self.touched[what.id] = what
        elif what == "ask":
            self.asks += 1
            self.port.watch_endpoints()

    def dispatch_pending(self, now: int) -> None:  # place, then fill the windows
        self.unplaced = [
            one
            for one in self.unplaced
            if one.phase is Phase.HELD and not self.place(one, now)
        ]
        for node in list(self.touched.values()):
            self.relieve(node, now)
            self.pump(node, now)
        self.touched.clear()
