"""Repeats (rules 2 and 6), order by key (rule 5), and the one place that ends a transfer (rule 1)."""

from milletsill.scheduler.records import Node, State, Transfer
from milletsill.scheduler.tables import NEVER, TRANSFER_TABLE, Cue, Phase


class Repeats(State):
    def repeat_wait(
        self, transfer: Transfer, node: Node, now: int
    ) -> int:  # 2, 6, credit
        if not transfer.dispatches:
            return 0
        facts, category, ran = self.facts, transfer.category, transfer.ran()
        repeats, group = category["repeats"] if ran else "", category["group"]
        place = group if group in ("zone", "cell") else "id"
        if (
            len(transfer.dispatches) >= facts["most_dispatches"]
            or transfer.out()
            and not facts["may_copy"]
            or not transfer.spent
            and self.credit(node, now) <= 0
            or repeats == "exclusive"
            or repeats == "ticketed"
            and now + facts["dial"] >= ran[0].sent + category["repeat_window"]
            or repeats == "ticketed"
            and group != "all"
            and any(getattr(each.node, place) != getattr(node, place) for each in ran)
        ):
            return NEVER
        span = facts["further_window"]
        if span is None or self.within_budget(now):
            return 0
        return (
            max(self.further_at[0] + span + 2 - now, 1)
            if self.further_at
            else max(span, 1)
        )

    def within_budget(
        self, now: int
    ) -> bool:  # rule 6; what lies before the window lapses
        facts, since = self.facts, now - self.facts["further_window"]
        for times, last in ((self.further_at, since - 2), (self.taken_at, since + 1)):
            while times and times[0] <= last:
                times.popleft()
        return len(self.further_at) + 1 <= facts["further_free"] + facts[
            "further_ratio"
        ] * len(self.taken_at)

    def key_wait(self, transfer: Transfer, now: int) -> int:  # rule 5
        if not transfer.category["in_order"] or not transfer.extent:
            return 0
        line = self.keys[transfer.extent]
        line.live(now)
        rest = 0 if transfer.dispatches else max(line.rest_until - now, 0)
        return rest if line[0] is transfer else max(self.facts["tick"], 1)

    def cue(self, transfer: Transfer, cue: Cue, now: int) -> None:
        transfer.phase, effect = TRANSFER_TABLE.get(
            (transfer.phase, cue), (transfer.phase, "")
        )
        if effect == "hold":
            self.unplaced.append(transfer)
        elif effect:
            self.end(transfer, effect == "give_up")

    def end(
        self, transfer: Transfer, answer: bool
    ) -> None:  # the one place that answers
        del self.transfers[transfer.id]
        if transfer.node is not None and transfer.queue is not None:
            transfer.node.credit += transfer.spent
            transfer.node.take(transfer)
        category = transfer.category
        harmless = (category["repeats"], category["group"]) == ("ticketed", "all")
        if answer and (
            harmless or category["repeats"] == "rerunnable" or not transfer.ran()
        ):
            self.port.reject(
                transfer.id,
                self.facts["longest_pause"] if self.facts["pause_told"] else 0,
            )
        elif answer:
            self.port.fail(transfer.id)
        for number, each in enumerate(transfer.dispatches):
            if each.outcome is None and self.facts["may_cancel"]:
                self.port.cancel_attempt(transfer.id, number)
        self.let_go(transfer)

    def let_go(self, transfer: Transfer) -> None:
        """Cuts the circle of transfer and dispatches once nothing is out: freed at once, no host stands still
        while a garbage collector looks for it. Rule 5 needs only that it is over.
        """
        if transfer.phase is Phase.OVER and not transfer.out():
            transfer.dispatches = []
