"""Run one scheduler in real time, over real connections.

The host tells the scheduler what happens, in order, and `dispatch_pending` once for all
events of a moment; it does what the scheduler says. It decides nothing about a request.
What an attempt carries and how it travels is up to the gateway around it
(`AttemptStarter`). Times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from milletsill.deployment_config import DeploymentConfig
from milletsill.errors import error_location
from milletsill.gateway.active_requests import (
    ActiveAttempt,
    ActiveRequest,
    AttemptReply,
    AttemptStarter,
    ResponseSink,
)
from milletsill.gateway.reactor_turn import NextReactorTurn
from milletsill.gateway.timer_queue import TimerQueue
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    GrantedShare,
    QuotaKind,
    Request,
    SchedulerFactory,
)
from milletsill.named_timers import ReactorTimers

NEVER = 1 << 60
AttemptListener = Callable[[int, Request, AttemptResult], None]


@dataclass(frozen=True, slots=True)
class HostCallbacks:
    """What a host needs of the gateway around it.

    Attributes:
        start_attempt: starts one attempt.
        watch_endpoints: asks for the endpoint list and its changes.
        log: takes a line for the log.
        count: counts an event by name and value for the metrics.
    """

    start_attempt: AttemptStarter
    watch_endpoints: Callable[[], None]
    log: Callable[[str], None]
    count: Callable[..., None]


def ignore_attempt(now: int, request: Request, result: AttemptResult) -> None:
    """Listen to no attempt."""


class SchedulerHost:
    """Drives one scheduler: it is the `SchedulerEffects` that the scheduler was given.

    Attributes:
        active: requests that are not over, by id.
        unanswered: how many of them have no final answer.
        max_decision_age: an attempt whose decision is older than this is not sent.
        on_attempt_ended: hears of the end of each attempt.
    """

    def __init__(
        self,
        reactor: ReactorTimers,
        now: Callable[[], int],
        config: DeploymentConfig,
        seed: int,
        make_scheduler: SchedulerFactory,
        callbacks: HostCallbacks,
    ) -> None:
        self.now = now
        self.config = config
        self.start_attempt = callbacks.start_attempt
        self.watch_endpoints = callbacks.watch_endpoints
        self.log = callbacks.log
        self.count = callbacks.count
        self.active: dict[int, ActiveRequest] = {}
        self.unanswered = 0
        self.stopped = False
        self.turn = NextReactorTurn(reactor, now, self.dispatch_pending)
        self.timers = TimerQueue(reactor, now, self.dispatch_soon)
        self.last_dispatch_at = 0
        self.max_decision_age = NEVER
        self.on_attempt_ended: AttemptListener = ignore_attempt
        self.scheduler = make_scheduler(config, seed, now(), self)

    # Called by the gateway.

    def take(self, request: Request, sink: ResponseSink, payload: Any) -> None:
        """Take a request whose id is not active; the sink is called once."""
        active = ActiveRequest(request, sink, payload)
        self.active[request.id] = active
        self.unanswered += 1
        # Keeps rule 1 even if the scheduler failed before it answered. It comes after
        # the last time-out and the scheduler's own last word.
        self.timers.call_at(request.deadline + 1, self._on_overdue, active)
        self._tell(self.scheduler.on_request, request)
        self.dispatch_soon()

    def cancel_request(self, request_id: int) -> None:
        """Drop a request whose client has left: no answer is owed."""
        active = self.active.get(request_id)
        if active is None or active.answered:
            return
        self._close(active)
        self._tell(self.scheduler.on_client_cancelled, request_id)
        self.dispatch_soon()

    def fail_all(self) -> None:
        """Give a final answer to all that has none: the process is about to end."""
        for active in list(self.active.values()):
            self._on_overdue(active)

    def on_endpoints(
        self, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Pass an update of the endpoint list on."""
        self._tell(self.scheduler.on_endpoints, kind, endpoints)
        self.dispatch_soon()

    def on_quota_share(
        self, what: QuotaKind, id: int, share: float | None, ends: int, after: float
    ) -> None:
        """Pass this gateway's share of a quota on."""
        granted = GrantedShare(share, ends, after)
        self.scheduler.on_quota_share(self.now(), what, id, granted)
        self.dispatch_soon()

    def on_health_advice(self, node: int, load: float, avoid: bool, until: int) -> None:
        """Pass on what the fleet makes of a node."""
        self._tell(self.scheduler.on_health_advice, node, load, avoid, until)
        self.dispatch_soon()

    def stop(self) -> None:
        """Hear and say nothing any more."""
        self.stopped = True
        self.timers.stop()

    # Called by the scheduler.

    def send_attempt(self, request_id: int, node: int, timeout: int) -> None:
        """Start one attempt; how it ends is told later, never from within."""
        active = self.active.get(request_id)
        # Rule 1 at the last place that a send passes.
        if active is None or active.answered:
            self.log(f"an attempt of request {request_id} after its end was not sent")
            return
        now = self.now()
        attempt = ActiveAttempt(len(active.attempts), node, now)
        active.attempts.append(attempt)
        last = active.request.deadline
        deadline = min(now + timeout, last) if timeout else last
        self.timers.call_at(deadline, self._on_time_out, active, attempt)
        self.count("dispatch", attempt.number)
        # Rules 4 and 7: where the process stood still between a decision and its send,
        # the quota share that it was decided on may be another gateway's by now.
        if now - self.last_dispatch_at <= self.max_decision_age:
            attempt.exchange = self.start_attempt(
                active.payload,
                active.request,
                attempt.number,
                node,
                deadline,
                lambda outcome, reply: self._on_ended(active, attempt, outcome, reply),
            )
        if attempt.exchange is None:
            unreachable = AttemptOutcome.UNREACHABLE
            self.timers.call_at(now, self._on_ended, active, attempt, unreachable, None)

    def reject(self, request_id: int, pause: int) -> None:
        """Answer that a retry is harmless, best after the pause."""
        active = self.active.get(request_id)
        if active is not None and not active.answered:
            self._close(active)
            active.sink.rejected(max(pause, 0))

    def fail(self, request_id: int) -> None:
        """Answer that nothing is promised."""
        active = self.active.get(request_id)
        if active is not None and not active.answered:
            self._close(active)
            active.sink.failed()

    def cancel_attempt(self, request_id: int, number: int) -> None:
        """Stop waiting for one attempt; its end is told later, never from within."""
        active = self.active.get(request_id)
        if active is None or number >= len(active.attempts):
            return
        attempt = active.attempts[number]
        if not attempt.over:
            cancelled = AttemptOutcome.CANCELLED
            self.timers.call_at(self.now(), self._abandon, active, attempt, cancelled)

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list."""
        self.watch_endpoints()

    def probe_node(self, node: int) -> None:
        """Do nothing: load reports come with the answers."""

    def set_timer(self, at: int, what: object) -> None:
        """Call the scheduler's `on_timer` with `what` at that time or just after."""
        self.timers.call_at(at, self._on_timer, what)

    # What happens.

    def dispatch_soon(self) -> None:
        """Let the scheduler dispatch once all events of this reactor turn are known."""
        if not self.stopped:
            self.turn.schedule()

    def dispatch_pending(self) -> None:
        """Let the scheduler dispatch now."""
        if not self.stopped:
            self.last_dispatch_at = self.now()
            self._tell(self.scheduler.dispatch_pending)

    def _tell(self, event: Callable[..., None], *values: Any) -> None:
        """Tell the scheduler of one event.

        An error in it is logged with its place, and the process and its clients go on;
        what the scheduler was about to do is left undone.
        """
        try:
            event(self.now(), *values)
        except Exception as error:
            self.log(error_location(error))

    def _on_overdue(self, active: ActiveRequest) -> None:
        if active.answered:
            return
        self._close(active)
        self._tell(self.scheduler.on_client_cancelled, active.request.id)
        active.sink.failed()

    def _on_timer(self, what: object) -> None:
        self._tell(self.scheduler.on_timer, what)

    def _on_time_out(self, active: ActiveRequest, attempt: ActiveAttempt) -> None:
        if not attempt.over:
            self._abandon(active, attempt, AttemptOutcome.TIMED_OUT)

    def _abandon(
        self, active: ActiveRequest, attempt: ActiveAttempt, outcome: AttemptOutcome
    ) -> None:
        """Stop waiting for an attempt; the node may still run it."""
        if attempt.over:
            return
        if attempt.exchange is not None:
            attempt.exchange.withdraw(outcome)
        self._on_ended(active, attempt, outcome, None)

    def _on_ended(
        self,
        active: ActiveRequest,
        attempt: ActiveAttempt,
        outcome: AttemptOutcome,
        reply: AttemptReply | None,
    ) -> None:
        """An attempt has ended.

        Tell the scheduler, answer the client, dispatch what follows.
        """
        if attempt.over or self.stopped:
            return
        attempt.over = True
        # Cuts the reference cycle of both and of what tells the end: freed at once.
        attempt.exchange = None
        now = self.now()
        succeeded = outcome is AttemptOutcome.SUCCEEDED and not active.answered
        if succeeded:
            self._close(active)
        else:
            self._forget_if_over(active)
        latency = now - attempt.sent_at
        self.count("ended", outcome.value, latency)
        result = AttemptResult(
            active.request.id,
            attempt.number,
            attempt.node,
            outcome,
            succeeded,
            latency,
            reply.used if reply else None,
            reply.elsewhere if reply else 0,
            reply.report if reply else {},
        )
        self._tell(self.scheduler.on_attempt_result, result)
        self.on_attempt_ended(now, active.request, result)
        if succeeded and reply is not None:
            active.sink.succeeded(reply)
        self.dispatch_soon()

    def _close(self, active: ActiveRequest) -> None:
        """Mark a request as answered; its record stays until its attempts have ended.

        What still waits for a connection does not begin (rule 1): its client has its
        answer or has left.
        """
        active.answered = True
        self.unanswered -= 1
        for attempt in active.attempts:
            exchange = attempt.exchange
            if not attempt.over and exchange is not None and not exchange.begun:
                withdrawn = AttemptOutcome.WITHDRAWN
                exchange.withdraw(withdrawn)
                self.timers.call_at(
                    self.now(), self._on_ended, active, attempt, withdrawn, None
                )
        self._forget_if_over(active)

    def _forget_if_over(self, active: ActiveRequest) -> None:
        if not active.answered:
            return
        active.payload = None
        if all(attempt.over for attempt in active.attempts):
            self.active.pop(active.request.id, None)
