"""The ordinary path (docs/design.md): what a node gets next, and what gives way. The gate: every send passes
`wait_for` and then `dispatch`, and nothing else sends.
"""

from milletsill.scheduler.queues import Queues
from milletsill.scheduler.records import Dispatch, Node, Queue, Transfer
from milletsill.scheduler.tables import (
    HIT,
    HOPE,
    LOST,
    MOST_WINDOW,
    NEVER,
    Cue,
    Health,
    Phase,
)


class Ordinary(Queues):
    def choose(self, node: Node, now: int) -> Transfer | None:
        """The ordinary path: a follower while the head is not due, then the head, then background."""
        if (
            node.health is not Health.STEADY
        ):  # a returned node gets a little of the work that is worth most
            useful = sorted(node.due, key=lambda each: -each[2].utility)
            return self.lawful(node, useful or node.background, now)
        head, last = self.lawful(node, node.due, now), node.follow
        if head is not None and head.tag > now and last is not None:
            near = node.run_of(last) + [
                each[2] for each in node.due if each[2].volume is last.volume
            ]
            for transfer in near:  # its cost is charged to the head's slack
                if self.service(node, transfer) <= head.tag - now and not self.wait_for(
                    transfer, node, now
                ):
                    return transfer
            bound = min(node.follow_until, head.tag - int(self.service(node, head)))
            if node.out and now < bound and int(node.window) - len(node.out) == 1:
                self.wake(node, bound, now)
                return None
        held_back = head is not None or node.out and node.crowded()
        return head if held_back else self.lawful(node, node.background, now)

    def run_on(self, node: Node, first: Transfer, now: int) -> None:
        """The rest of a run leaves behind its first, beyond the window, as far as the head's slack bears it:
        else others' sends come between and the node forgets the extent. Harms short work behind: bounded.
        """
        slack = min((each[2].tag - now for each in node.due[:1]), default=NEVER)
        for transfer in node.run_of(first):
            slack -= self.service(node, transfer) * HIT
            if (
                slack < 0
                or len(node.out) >= MOST_WINDOW
                or self.wait_for(transfer, node, now)
            ):
                return
            self.dispatch(transfer, node, now)

    def lawful(
        self, node: Node, queue: Queue, now: int
    ) -> Transfer | None:  # the first that may go
        soonest = NEVER
        for _, _, transfer in queue:
            wait = max(
                self.wait_for(transfer, node, now), self.surplus_wait(transfer, now)
            )
            if not wait:
                return transfer
            soonest = min(soonest, wait)
        if soonest < NEVER:
            self.wake(node, now + soonest, now)
        return None

    def wait_for(self, transfer: Transfer, node: Node, now: int) -> int:
        """0 if the transfer may go to the node now, else how long to wait before asking again."""
        if (
            transfer.phase is Phase.OVER
            or now >= transfer.ends
            or node.health is Health.BARRED
        ):
            return NEVER  # rules 1 and 3; no grace is used
        return max(
            self.repeat_wait(transfer, node, now),
            self.cold_wait(transfer, node, now),
            self.key_wait(transfer, now),
            self.limit_wait(transfer, now),
        )

    def dispatch(
        self, transfer: Transfer, node: Node, now: int
    ) -> None:  # the one place
        if number := len(transfer.dispatches):
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
        left, lost = (
            transfer.target - now,
            int(LOST * max(node.latency or 0, self.service(node, transfer))),
        )
        sent.final = left > 0 and (not transfer.reserved or node.lapses > 0)
        timeout = left if sent.final else max(left, lost)
        if (
            not number
            and node.latency is not None
            and node.credit > 0
            and 2 * lost <= left
        ):
            timeout, sent.final = lost, False
        self.port.send_attempt(
            transfer.id,
            node.id,
            0 if transfer.category["repeats"] == "exclusive" else timeout,
        )
        self.cue(transfer, Cue.SENT, now)

    def pump(self, node: Node, now: int) -> None:
        if now < node.rest_until:
            self.wake(node, node.rest_until, now)
        while (
            now >= node.rest_until
            and len(node.out) < int(node.window)
            and (chosen := self.choose(node, now)) is not None
        ):
            self.dispatch(chosen, node, now)
            self.run_on(node, chosen, now)

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

    def least_useful(
        self, node: Node, queue: Queue, clock: float, step: float
    ) -> Transfer | None:
        for place, (_, _, transfer) in enumerate(queue):
            useful = (
                transfer.reserved
                and not self.unreserved
                and transfer.category["late_utility"] > 0
            )
            late = queue is node.background and useful and not node.crowded()
            if clock + HOPE * self.service(node, transfer) > (
                transfer.ends if late else transfer.target
            ):
                return min(
                    queue[: place + 1], key=lambda each: (each[2].utility, each[0])
                )[2]
            clock += step * transfer.units
        return None
