"""What comes back: the end of each dispatch, and what is learnt of its node."""

from milletsill.interface import AttemptResult, AttemptOutcome
from milletsill.scheduler.queues import Queues
from milletsill.scheduler.records import Dispatch
from milletsill.scheduler.tables import (
    CLEAR,
    CLEAR_STEP,
    CREDITS,
    CROWDED,
    ENDING_TICKS,
    FOLLOW_WAIT,
    HEARD,
    MOST_LAPSES,
    MOST_WINDOW,
    NARROWER,
    NEAR,
    NEVER,
    NO_WORD,
    SMOOTH,
    STRAIN,
    UNSETTLED,
    Cue,
    Sign,
)


class Answers(Queues):
    def on_attempt_result(self, now: int, answer: AttemptResult) -> None:
        if (
            sent := self.outstanding.pop(
                (answer.request_id, answer.attempt_number), None
            )
        ) is None:
            return
        sent.outcome, node, transfer = answer.outcome, sent.node, sent.transfer
        node.out.remove(sent)
        self.touched[node.id] = node
        waited = answer.latency - transfer.units * self.clear / node.size
        self.ease(
            sent,
            answer.outcome is not AttemptOutcome.SUCCEEDED
            or waited > CROWDED * self.shortest,
            now,
        )
        # Guards against resting a node for a dispatch that was lost alone (a connection fell silent): the
        # first without a word while the node was heard of late. Harm: a hung one is known later.
        of_late = sent.sent - HEARD * max(
            answer.latency, self.shortest
        )  # a reset may come at once
        alone = answer.outcome in NO_WORD and node.heard >= max(node.silent, of_late)
        node.silent = now if answer.outcome in NO_WORD else node.silent
        if (
            answer.outcome in NO_WORD + (AttemptOutcome.REJECTED,)
            and sent.sent >= node.lapsed
            and not alone
        ):
            # Guards against many gateways that keep trying a node which is crowded, slow, hung or gone. Harm:
            # after a short fault it is left idle for a while.
            node.lapses, node.lapsed = min(node.lapses + 1, MOST_LAPSES), now
            span = max(answer.latency, node.latency or self.facts["tick"])
            node.rest_until = now + int(
                span * (2**node.lapses - 1) * self.uniform(0.5, 1.5)
            )
            self.hand_back(node)
        if answer.outcome in NO_WORD and node.heard <= sent.sent and not alone:
            self.sign(node, Sign.LAPSE, now)
        elif answer.outcome not in UNSETTLED + (AttemptOutcome.WITHDRAWN,):
            node.heard, node.credit = now, min(node.credit + 1, CREDITS)
        if answer.outcome is AttemptOutcome.SUCCEEDED:
            self.learn(sent, answer, now)
        if answer.outcome in UNSETTLED and transfer.extent in self.keys:
            self.keys[transfer.extent].rest_until = now + self.facts["key_rest"]
        if answer.request_finished or answer.outcome is AttemptOutcome.SUCCEEDED:
            self.cue(transfer, Cue.CLOSED, now)
        elif not transfer.out():
            transfer.spent = False
            late = now >= transfer.ends - ENDING_TICKS * self.facts["tick"]
            ended = late or sent.final and answer.outcome is AttemptOutcome.TIMED_OUT
            never = ended or all(
                self.repeat_wait(transfer, each, now) >= NEVER
                for each in self.choice(transfer)
            )
            self.cue(transfer, Cue.LAST if never else Cue.AGAIN, now)
        self.let_go(transfer)

    def learn(self, sent: Dispatch, answer: AttemptResult, now: int) -> None:
        node, transfer = sent.node, sent.transfer
        node.lapses = max(node.lapses - 1, 0)
        node.follow, node.follow_until = (
            transfer,
            now + int(FOLLOW_WAIT * self.service(node, transfer)),
        )
        pace = answer.latency / transfer.units
        self.clear *= 1 + CLEAR_STEP * (CLEAR - (pace * node.size < self.clear))
        self.clear = self.clear or pace * node.size
        waited = max(answer.latency - transfer.units * self.clear / node.size, 0)
        node.wait += SMOOTH * (waited - node.wait)
        strain = waited / self.shortest + answer.load_report.get("busy", 0.0)
        node.strain += (
            STRAIN * (strain - node.strain) if node.latency is not None else self.strain
        )
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
