"""Run one scheduler in real time, over real connections.

The host reports events to the scheduler in order, calls `dispatch_pending` once for all
events of a reactor turn, and carries out the scheduler's effects. It makes no decisions
about requests. The gateway that uses the host determines what an attempt sends and over
which connection (`AttemptStarter`). Times are ticks (tenths of a millisecond).
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

UNLIMITED_AGE = 1 << 60
AttemptListener = Callable[[int, Request, AttemptResult], None]


@dataclass(frozen=True, slots=True)
class HostCallbacks:
    """The functions of the gateway that its scheduler host calls.

    Attributes:
        start_attempt: starts one attempt.
        watch_endpoints: requests the endpoint list and subscribes to its changes.
        log: writes a line to the log.
        count: counts an event by name and values for the metrics.
    """

    start_attempt: AttemptStarter
    watch_endpoints: Callable[[], None]
    log: Callable[[str], None]
    count: Callable[..., None]


def ignore_attempt(now: int, request: Request, result: AttemptResult) -> None:
    """Ignore the end of an attempt; the default listener."""


class SchedulerHost:
    """Drives one scheduler and implements its `SchedulerEffects`.

    Attributes:
        active: the requests that lack a final answer or have attempts in flight, by id.
        unanswered: how many of them lack a final answer.
        max_decision_age: the maximum age in ticks of the decision to send an attempt;
            with an older decision, the attempt is not sent.
        on_attempt_ended: called at the end of each attempt.
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
        self.max_decision_age = UNLIMITED_AGE
        self.on_attempt_ended: AttemptListener = ignore_attempt
        self.scheduler = make_scheduler(config, seed, now(), self)

    # Called by the gateway.

    def accept_request(
        self, request: Request, sink: ResponseSink, payload: Any
    ) -> None:
        """Accept a request whose id is not active; the sink is called once."""
        active = ActiveRequest(request, sink, payload)
        self.active[request.id] = active
        self.unanswered += 1
        # Ensures a final answer even if the scheduler fails before it has answered. The
        # timer runs after the last attempt timeout and the scheduler's own deadline.
        self.timers.call_at(request.deadline + 1, self._on_deadline_passed, active)
        self._notify_scheduler(self.scheduler.on_request, request)
        self.dispatch_soon()

    def cancel_request(self, request_id: int) -> None:
        """Drop a request whose client has cancelled it; it needs no answer."""
        active = self.active.get(request_id)
        if active is None or active.answered:
            return
        self._mark_answered(active)
        self._notify_scheduler(self.scheduler.on_client_cancelled, request_id)
        self.dispatch_soon()

    def fail_all(self) -> None:
        """Fail all requests that lack a final answer, before the process exits."""
        for active in list(self.active.values()):
            self._on_deadline_passed(active)

    def on_endpoints(
        self, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Pass an endpoint update to the scheduler."""
        self._notify_scheduler(self.scheduler.on_endpoints, kind, endpoints)
        self.dispatch_soon()

    def on_quota_share(
        self,
        kind: QuotaKind,
        id: int,
        share: float | None,
        expires_at: int,
        fallback_share: float,
    ) -> None:
        """Pass this gateway's share of a quota to the scheduler."""
        granted = GrantedShare(share, expires_at, fallback_share)
        self.scheduler.on_quota_share(self.now(), kind, id, granted)
        self.dispatch_soon()

    def on_health_advice(
        self, node_id: int, load_factor: float, avoid: bool, expires_at: int
    ) -> None:
        """Pass the fleet's health advice on a node to the scheduler."""
        self._notify_scheduler(
            self.scheduler.on_health_advice, node_id, load_factor, avoid, expires_at
        )
        self.dispatch_soon()

    def stop(self) -> None:
        """Stop all timers, and report no more events to the scheduler."""
        self.stopped = True
        self.timers.stop()

    # Called by the scheduler.

    def send_attempt(self, request_id: int, node: int, timeout: int) -> None:
        """Start one attempt; its result is reported after this call has returned."""
        active = self.active.get(request_id)
        # No attempt may be sent after the final answer; all sends pass this check.
        if active is None or active.answered:
            self.log(
                f"attempt of request {request_id} to node {node} not sent: "
                "the request has its final answer"
            )
            return
        now = self.now()
        attempt = ActiveAttempt(len(active.attempts), node, now)
        active.attempts.append(attempt)
        request_deadline = active.request.deadline
        deadline = min(now + timeout, request_deadline) if timeout else request_deadline
        self.timers.call_at(deadline, self._on_timeout, active, attempt)
        self.count("dispatch", attempt.number)
        # If the process stalled between a decision and its send, the quota share that
        # the decision relied on may have been granted to another gateway since; sending
        # could exceed a volume's limit or a node's slow-start budget.
        if now - self.last_dispatch_at <= self.max_decision_age:
            attempt.exchange = self.start_attempt(
                active.payload,
                active.request,
                attempt.number,
                node,
                deadline,
                lambda outcome, reply: self._finish_attempt(
                    active, attempt, outcome, reply
                ),
            )
        if attempt.exchange is None:
            unreachable = AttemptOutcome.UNREACHABLE
            self.timers.call_at(
                now, self._finish_attempt, active, attempt, unreachable, None
            )

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer that the request was not executed and may safely be retried."""
        active = self.active.get(request_id)
        if active is not None and not active.answered:
            self._mark_answered(active)
            active.sink.rejected(max(retry_after, 0))

    def fail(self, request_id: int) -> None:
        """Answer that the request failed; it may have been executed."""
        active = self.active.get(request_id)
        if active is not None and not active.answered:
            self._mark_answered(active)
            active.sink.failed()

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Cancel one attempt; its result is reported after this call has returned."""
        active = self.active.get(request_id)
        if active is None or attempt_number >= len(active.attempts):
            return
        attempt = active.attempts[attempt_number]
        if not attempt.ended:
            cancelled = AttemptOutcome.CANCELLED
            self.timers.call_at(self.now(), self._abandon, active, attempt, cancelled)

    def fetch_endpoints(self) -> None:
        """Request the whole endpoint list."""
        self.watch_endpoints()

    def probe_node(self, node: int) -> None:
        """Do nothing, since nodes send load reports with their replies."""

    def set_timer(self, at: int, token: object) -> None:
        """Call the scheduler's `on_timer` with the token at `at` or shortly after."""
        self.timers.call_at(at, self._on_timer, token)

    # Events.

    def dispatch_soon(self) -> None:
        """Call `dispatch_pending` in the next reactor turn."""
        if not self.stopped:
            self.turn.schedule()

    def dispatch_pending(self) -> None:
        """Have the scheduler send what it may send now."""
        if not self.stopped:
            self.last_dispatch_at = self.now()
            self._notify_scheduler(self.scheduler.dispatch_pending)

    def _notify_scheduler(self, event: Callable[..., None], *values: Any) -> None:
        """Report one event to the scheduler.

        An exception in the scheduler is logged with its location, and the process goes
        on; the rest of what the scheduler would have done for the event is lost.
        """
        try:
            event(self.now(), *values)
        except Exception as error:
            self.log(error_location(error))

    def _on_deadline_passed(self, active: ActiveRequest) -> None:
        if active.answered:
            return
        self._mark_answered(active)
        self._notify_scheduler(self.scheduler.on_client_cancelled, active.request.id)
        active.sink.failed()

    def _on_timer(self, token: object) -> None:
        self._notify_scheduler(self.scheduler.on_timer, token)

    def _on_timeout(self, active: ActiveRequest, attempt: ActiveAttempt) -> None:
        if not attempt.ended:
            self._abandon(active, attempt, AttemptOutcome.TIMED_OUT)

    def _abandon(
        self, active: ActiveRequest, attempt: ActiveAttempt, outcome: AttemptOutcome
    ) -> None:
        """End an attempt without a reply; the node may still execute it."""
        if attempt.ended:
            return
        if attempt.exchange is not None:
            attempt.exchange.withdraw(outcome)
        self._finish_attempt(active, attempt, outcome, None)

    def _finish_attempt(
        self,
        active: ActiveRequest,
        attempt: ActiveAttempt,
        outcome: AttemptOutcome,
        reply: AttemptReply | None,
    ) -> None:
        """Handle the end of an attempt.

        Report the result to the scheduler, answer the client if the attempt succeeded,
        and schedule a dispatch.
        """
        if attempt.ended or self.stopped:
            return
        attempt.ended = True
        # Breaks the reference cycle of attempt, exchange and end callback, so that they
        # are freed without the garbage collector.
        attempt.exchange = None
        now = self.now()
        succeeded = outcome is AttemptOutcome.SUCCEEDED and not active.answered
        if succeeded:
            self._mark_answered(active)
        else:
            self._remove_if_finished(active)
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
        self._notify_scheduler(self.scheduler.on_attempt_result, result)
        self.on_attempt_ended(now, active.request, result)
        if succeeded and reply is not None:
            active.sink.succeeded(reply)
        self.dispatch_soon()

    def _mark_answered(self, active: ActiveRequest) -> None:
        """Mark a request as answered; its record stays until its attempts have ended.

        Attempts that still wait for a connection are withdrawn, since no attempt may be
        sent once the client has its answer or has left.
        """
        active.answered = True
        self.unanswered -= 1
        for attempt in active.attempts:
            exchange = attempt.exchange
            if not attempt.ended and exchange is not None and not exchange.begun:
                withdrawn = AttemptOutcome.WITHDRAWN
                exchange.withdraw(withdrawn)
                self.timers.call_at(
                    self.now(), self._finish_attempt, active, attempt, withdrawn, None
                )
        self._remove_if_finished(active)

    def _remove_if_finished(self, active: ActiveRequest) -> None:
        if not active.answered:
            return
        active.payload = None
        if all(attempt.ended for attempt in active.attempts):
            self.active.pop(active.request.id, None)
