"""Nodes and their queues: which node a transfer waits for, and what becomes of it when that node leaves."""

from bisect import insort

from milletsill.scheduler.limits import Limits
from milletsill.scheduler.records import Node, Queue, Transfer
from milletsill.scheduler.repeats import Repeats
from milletsill.scheduler.tables import (
    DRAWN,
    FIRST_M,
    HEARD,
    HIT,
    HOPE,
    NEVER,
    NODE_TABLE,
    Health,
    Sign,
)


class Queues(Limits, Repeats):
    def place(self, transfer: Transfer, now: int) -> bool:
        """To the node of its cell; where there is a choice, to the best of some drawn by chance: gateways
        that see the same must not all choose the same. A new object is held until one has credit.
        """
        nodes, new = self.choice(transfer), transfer.free()
        if transfer.dispatches:
            nodes = [
                each for each in nodes if self.repeat_wait(transfer, each, now) < NEVER
            ] or nodes
        several = new or len(nodes) > 1
        drawn = self.sample(nodes, min(DRAWN, len(nodes))) if several else nodes
        node = min(
            drawn,
            key=lambda each: several and self.reluctance(transfer, each, now),
            default=None,
        )
        if node is None or new and self.credit(node, now) <= 0:
            return False
        node.credit, transfer.spent = node.credit - new, new
        self.hold(transfer, node, now)
        return True

    def reluctance(
        self, transfer: Transfer, node: Node, now: int
    ) -> tuple[bool, bool, bool, float]:
        """What speaks against a node, weightiest first: no credit, a wait, that it was there, then its strain
        less what the transfer, where it is no new object, saves behind its extent.
        """
        waits = now < node.rest_until or self.cold_wait(transfer, node, now) > 0
        near = (
            transfer.cell is not None
            and transfer.extent
            and (node.follows(transfer) or node.run_of(transfer))
        )
        saved = (
            transfer.units * self.clear / node.size / self.shortest * HIT
            if near
            else 0.0
        )
        said = node.fleet_load if now < node.advised_until else 0.0
        return (
            self.credit(node, now) <= 0,
            waits,
            node is transfer.node,
            self.strain_of(node) + said - saved,
        )

    def on_health_advice(
        self, now: int, id: int, strain: float, away: bool, until: int
    ) -> None:
        """The fleet's word on a node, until a time; what this gateway heard of it just now goes before."""
        if (node := self.nodes.get(id)) is not None and now < until:
            node.fleet_load, node.advised_until, self.touched[id] = strain, until, node
            fresh = now - max(node.heard, node.lapsed) <= HEARD * self.shortest
            if not fresh and (away or strain <= 0):  # kept away, or chosen to try it
                node.rest_until, node.lapses = (
                    max(until, node.rest_until) * away,
                    node.lapses * away,
                )
                self.hand_back(node)

    def hold(self, transfer: Transfer, node: Node, now: int) -> None:
        self.touched[node.id] = transfer.node = node
        m = (
            node.latency
            if node.latency is not None
            else transfer.category["target_time"] / FIRST_M
        )
        transfer.tag = transfer.target - int(m)
        missed = now + HOPE * self.service(node, transfer) > transfer.target
        self.put(
            transfer,
            node,
            node.due if transfer.reserved and not missed else node.background,
        )

    def put(self, transfer: Transfer, node: Node, queue: Queue) -> None:
        if (
            queue is node.background
        ):  # looked at again when it is about to miss its target
            self.port.set_timer(
                transfer.target - int(HOPE * self.service(node, transfer)), node
            )
        self.numbers = transfer.number = self.numbers + 1
        transfer.queue, transfer.order = (
            queue,
            transfer.tag if queue is node.due else self.numbers,
        )
        insort(queue, (transfer.order, transfer.number, transfer))
        insort(node.extents, (transfer.extent, transfer.number, transfer))

    def hand_back(self, node: Node) -> None:
        """What is held at a node that left or rests is placed again where there is a choice. Guards against
        waiting for one node while others could. Harm: it loses its run; what credit was spent on stays.
        """
        for _, _, transfer in list(node.extents):
            if (
                node.health is Health.BARRED
                or not transfer.spent
                and len(self.choice(transfer)) > 1
            ):
                node.take(transfer)
                self.unplaced.append(transfer)

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
