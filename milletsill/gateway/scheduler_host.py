"""The second host of the decision module, next to `wirehost`: real time, real links. It is the module's Port.

It serves any door: what a dispatch carries, and how it travels, is its door's (`carry`). It tells the module what happens, in order, and `settle` once for all events of a moment; it does what the module says.
Nothing about a transfer is decided here. A transfer lives from `take` to its one final answer (`finish`), and until
all of its dispatches have ended.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from milletsill.errors import error_location
from milletsill.gateway.reactor_turn import NextTurn
from milletsill.gateway.stall_detection import io_first
from milletsill.deployment_config import DeploymentConfig
from milletsill.interface import (
    AttemptResult,
    Request,
    SchedulerEvents,
    Endpoint,
    EndpointUpdateKind,
    AttemptOutcome,
    QuotaKind,
    SchedulerEffects,
)

NEVER = 1 << 60
LONGEST_SLEEP = 60.0  # seconds; a timer for later is set again then
Make = Callable[[DeploymentConfig, int, int, SchedulerEffects], SchedulerEvents]


class Verdict(Protocol):
    """What came back with a dispatch that ended, as far as the module hears of it."""

    @property
    def used(self) -> int | None: ...

    @property
    def elsewhere(self) -> int: ...

    @property
    def report(self) -> Mapping[str, float]: ...


Ended = Callable[[AttemptOutcome, "Verdict | None"], None]


class Sending(Protocol):
    """One dispatch under way."""

    @property
    def begun(self) -> bool:
        """Whether an octet of it may be on its way."""

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Nobody waits for it any more; `ended` is not called."""


class Carry(Protocol):
    """Starts one dispatch: cargo, transfer, its number, node, until when; None where no link leads to the node. `ended`
    is called once, never from within.
    """

    def __call__(
        self,
        cargo: Any,
        arrival: Request,
        number: int,
        node: int,
        ends: int,
        ended: Ended,
    ) -> Sending | None: ...


class Asker(Protocol):
    """Who handed a transfer over; exactly one of these is called, once."""

    def satisfied(self, verdict: Any) -> None: ...

    def declined(self, pause: int) -> None: ...

    def aborted(self) -> None: ...


class Out:
    """One dispatch as the host sees it."""

    __slots__ = ("number", "node", "sent", "sending", "over")

    def __init__(self, number: int, node: int, sent: int) -> None:
        self.number, self.node, self.sent, self.over = number, node, sent, False
        self.sending: Sending | None = None


class Live:
    """One transfer that the module was told of."""

    __slots__ = ("arrival", "asker", "cargo", "outs", "answered")

    def __init__(self, arrival: Request, asker: Asker, cargo: Any) -> None:
        self.arrival, self.asker, self.cargo = arrival, asker, cargo
        self.outs: list[Out] = []
        self.answered = False


class Host:
    """Drives one Scheduler. `watch` asks for the list; `carry` starts a dispatch; `note` counts events by name and value
    for the metrics.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        config: DeploymentConfig,
        seed: int,
        make: Make,
        carry: Carry,
        watch: Callable[[], None],
        remark: Callable[[str], None],
        note: Callable[..., None],
    ) -> None:
        self.reactor, self.now, self.config = reactor, now, config
        self.carry, self.ask_list, self.log, self.note = carry, watch, remark, note
        self.live: dict[int, Live] = {}
        self.held = 0  # those without a final answer
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.timer_count, self.alarm, self.alarm_at = 0, None, 0
        self.put_off, self.stopped = False, False
        self.turn = NextTurn(reactor, now, self.dispatch_pending)
        self.settled, self.most_stale = 0, NEVER
        self.module = make(config, seed, now(), self)
        self.overheard: Callable[[int, Request, AttemptResult], None] = (
            lambda now, arrival, answer: None
        )  # of each dispatch's end

    # Told by the edge.

    def take(self, arrival: Request, asker: Asker, cargo: Any) -> None:
        """A transfer for the module; its id is not live."""
        self.live[arrival.id] = Live(arrival, asker, cargo)
        self.held += 1
        # Guards rule 1 against a module that failed before it said what becomes of a transfer. Harm: none, it comes after
        # the last time-out and the module's own last word.
        self.at(arrival.deadline + 1, self.overdue, self.live[arrival.id])
        self.tell(self.module.on_request, arrival)
        self.settle_soon()

    def abandon(self, transfer: int) -> None:
        """Its client has left: no answer is owed."""
        live = self.live.get(transfer)
        if live is not None and not live.answered:
            self.close(live)
            self.tell(self.module.on_client_cancelled, transfer)
            self.settle_soon()

    def end_all(self) -> None:
        """The process is about to end: what has no final answer by now gets one."""
        for live in list(self.live.values()):
            self.overdue(live)

    def on_endpoints(
        self, news: EndpointUpdateKind, entries: Sequence[Endpoint]
    ) -> None:
        """News of the list."""
        self.tell(self.module.on_endpoints, news, entries)
        self.settle_soon()

    def on_quota_share(
        self, what: QuotaKind, id: int, share: float | None, ends: int, after: float
    ) -> None:
        """Another part than the even one."""
        self.module.on_quota_share(self.now(), what, id, share, ends, after)
        self.settle_soon()

    def on_health_advice(
        self, node: int, strain: float, away: bool, until: int
    ) -> None:
        """What other gateways make of a node."""
        self.tell(self.module.on_health_advice, node, strain, away, until)
        self.settle_soon()

    # The Port.

    def send_attempt(self, transfer: int, node: int, timeout: int) -> None:
        """One dispatch; how it ends is told later, never from within."""
        live, now = self.live.get(transfer), self.now()
        if live is None or live.answered:  # rule 1 at the last place that a send passes
            return self.log(
                f"a dispatch of transfer {transfer} after its end was not sent"
            )
        arrival = live.arrival
        out = Out(len(live.outs), node, now)
        live.outs.append(out)
        ends = min(now + timeout, arrival.deadline) if timeout else arrival.deadline
        self.at(ends, self.timed_out, live, out)
        self.note("dispatch", out.number)
        # Guards rules 4 and 7 against a process that stood between a decision and its send, for whatever reason: the
        # part that it was decided on may be another's by now. Harm: a lawful send of a slow moment is put off.
        if now - self.settled <= self.most_stale:
            out.sending = self.carry(
                live.cargo,
                arrival,
                out.number,
                node,
                ends,
                lambda outcome, verdict: self.ended(live, out, outcome, verdict),
            )
        if out.sending is None:
            self.at(now, self.ended, live, out, AttemptOutcome.UNREACHABLE, None)

    def reject(self, transfer: int, pause: int) -> None:
        live = self.live.get(transfer)
        if live is not None and not live.answered:
            self.close(live)
            live.asker.declined(max(pause, 0))

    def fail(self, transfer: int) -> None:
        live = self.live.get(transfer)
        if live is not None and not live.answered:
            self.close(live)
            live.asker.aborted()

    def cancel_attempt(self, transfer: int, number: int) -> None:
        live = self.live.get(transfer)
        if live is not None and number < len(live.outs) and not live.outs[number].over:
            self.at(
                self.now(),
                self.give_up,
                live,
                live.outs[number],
                AttemptOutcome.CANCELLED,
            )

    def watch_endpoints(self) -> None:
        self.ask_list()

    def fetch_endpoints(self) -> None:
        self.ask_list()

    def probe_node(self, node: int) -> None:
        """Nothing to ask beside the reports."""

    def set_timer(self, at: int, what: object) -> None:
        self.at(at, self.on_timer, what)

    # What happens.

    def tell(self, call: Callable[..., None], *values: Any) -> None:
        """One word to the module. Guards the process and its clients against an error in there, which is said with its
        place. Harm: what the module was about to do is left undone.
        """
        try:
            call(self.now(), *values)
        except Exception as error:
            self.log(error_location(error))

    def overdue(self, live: Live) -> None:
        if not live.answered:
            self.close(live)
            self.tell(self.module.on_client_cancelled, live.arrival.id)
            live.asker.aborted()

    def close(self, live: Live) -> None:
        """A transfer has its end; its record stays until its dispatches have theirs. Guards rule 1, and nodes, against work
        whose client has its answer or has left: what still waits for a link does not begin. Harm: none.
        """
        live.answered = True
        self.held -= 1
        for out in live.outs:
            if not out.over and out.sending is not None and not out.sending.begun:
                out.sending.withdraw(AttemptOutcome.WITHDRAWN)
                self.at(
                    self.now(), self.ended, live, out, AttemptOutcome.WITHDRAWN, None
                )
        self.clear(live)

    def clear(self, live: Live) -> None:
        live.cargo = (
            None if live.answered else live.cargo
        )  # timers hold the record until patience, not the data
        if live.answered and all(each.over for each in live.outs):
            self.live.pop(live.arrival.id, None)

    def on_timer(self, what: object) -> None:
        self.tell(self.module.on_timer, what)

    def timed_out(self, live: Live, out: Out) -> None:
        if not out.over:
            self.give_up(live, out, AttemptOutcome.TIMED_OUT)

    def give_up(self, live: Live, out: Out, outcome: AttemptOutcome) -> None:
        """Nobody waits for a dispatch any more; the box may still run it."""
        if not out.over:
            if out.sending is not None:
                out.sending.withdraw(outcome)
            self.ended(live, out, outcome, None)

    def ended(
        self, live: Live, out: Out, outcome: AttemptOutcome, verdict: Verdict | None
    ) -> None:
        """One dispatch has ended: the client's answer first, then the module, then what follows."""
        if out.over or self.stopped:
            return
        out.over, out.sending = (
            True,
            None,
        )  # cuts the circle of both and of what tells the end: freed at once
        now, first = self.now(), not live.answered
        satisfied = outcome is AttemptOutcome.SUCCEEDED and first
        if satisfied:
            self.close(live)
        else:
            self.clear(live)
        self.note("ended", outcome.value, now - out.sent)
        answer = AttemptResult(
            live.arrival.id,
            out.number,
            out.node,
            outcome,
            satisfied,
            now - out.sent,
            verdict.used if verdict else None,
            verdict.elsewhere if verdict else 0,
            verdict.report if verdict else {},
        )
        self.tell(self.module.on_attempt_result, answer)
        self.overheard(now, live.arrival, answer)
        if satisfied and verdict is not None:
            live.asker.satisfied(verdict)
        self.settle_soon()

    # Time.

    def at(self, at: int, call: Callable[..., None], *values: Any) -> None:
        """Call at that time or just after, never from within."""
        self.timer_count += 1
        heapq.heappush(self.timers, (at, self.timer_count, call, values))
        self.set_alarm()

    def set_alarm(self) -> None:
        """One reactor timer for the soonest of ours."""
        if self.stopped or not self.timers:
            return
        at = self.timers[0][0]
        if self.alarm is not None and self.alarm.active():
            if self.alarm_at <= at:
                return
            self.alarm.cancel()
        self.alarm_at = at
        wait = min(max((at - self.now()) / 10_000, 0.0), LONGEST_SLEEP)
        self.alarm = self.reactor.callLater(wait, self.ring)

    def ring(self) -> None:
        """All timers that are due, then one settle."""
        now = self.now()
        if self.timers and io_first(now - self.timers[0][0], self.put_off):
            self.put_off = True
            self.alarm_at = now
            self.alarm = self.reactor.callLater(0, self.ring)
            return
        self.put_off = False
        called = False
        while self.timers and self.timers[0][0] <= now:
            _, _, call, values = heapq.heappop(self.timers)
            call(*values)
            called = True
        if called:
            self.settle_soon()
        self.set_alarm()

    def settle_soon(self) -> None:
        """Events of one round of the reactor are settled together, within one tick."""
        if not self.stopped:
            self.turn.ask()

    def dispatch_pending(self) -> None:
        if not self.stopped:
            self.settled = self.now()
            self.tell(self.module.dispatch_pending)

    def stop(self) -> None:
        """Hear and say nothing any more."""
        self.stopped = True
        if self.alarm is not None and self.alarm.active():
            self.alarm.cancel()
        self.timers.clear()
