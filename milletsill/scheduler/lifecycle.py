"""Rule 1: each request gets one final answer, in time, from here and nowhere else."""

from milletsill.interface import AttemptOutcome, AttemptResult
from milletsill.scheduler.constants import ANSWER_MARGIN_RESOLUTIONS
from milletsill.scheduler.idempotency import is_rejection_harmless
from milletsill.scheduler.placement import Placement
from milletsill.scheduler.records import Attempt, QueuedRequest
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.transitions import (
    REQUEST_TRANSITIONS,
    RequestEffect,
    RequestEvent,
    RequestState,
)


class RequestLifecycle:
    """Carries requests through their states."""

    def __init__(self, state: SchedulerState, placement: Placement) -> None:
        config = state.config
        self._state = state
        self._placement = placement
        self._may_cancel_attempts = config.may_cancel_attempts
        self._answer_margin = ANSWER_MARGIN_RESOLUTIONS * config.timer_resolution
        self._retry_after = config.max_retry_after if config.sends_retry_after else 0

    def answer_time(self, request: QueuedRequest) -> int:
        """When a request has to be answered, just before its client leaves."""
        return request.deadline - self._answer_margin

    def on_event(self, request: QueuedRequest, event: RequestEvent) -> None:
        """Carry a request over to its next state."""
        transition = REQUEST_TRANSITIONS.get((request.state, event))
        if transition is None:
            return
        request.state, effect = transition
        if effect is RequestEffect.REQUEUE:
            self._state.unplaced.append(request)
        elif effect is RequestEffect.GIVE_UP:
            self._forget(request)
            self._give_answer(request)
            self._cancel_attempts(request)
            self._release(request)
        elif effect is RequestEffect.FORGET:
            self._forget(request)
            self._cancel_attempts(request)
            self._release(request)

    def on_attempt_result(
        self, attempt: Attempt, result: AttemptResult, now: int
    ) -> None:
        """Finish a request, or let it go again."""
        request = attempt.request
        if result.request_finished or result.outcome is AttemptOutcome.SUCCEEDED:
            self.on_event(request, RequestEvent.CLOSED)
        elif not request.is_in_flight():
            request.has_spent_credit = False
            is_final = attempt.is_final and result.outcome is AttemptOutcome.TIMED_OUT
            is_over = is_final or now >= self.answer_time(request)
            if is_over or not self._placement.can_retry(request, now):
                self.on_event(request, RequestEvent.EXHAUSTED)
            else:
                self.on_event(request, RequestEvent.RETRYABLE)
        self._release(request)

    def _give_answer(self, request: QueuedRequest) -> None:
        effects = self._state.effects
        if is_rejection_harmless(request):
            effects.reject(request.id, self._retry_after)
        else:
            effects.fail(request.id)

    def _forget(self, request: QueuedRequest) -> None:
        del self._state.requests[request.id]
        node = request.node
        if node is not None and request.queue is not None:
            node.retry_credit += request.has_spent_credit
            node.remove(request)

    def _cancel_attempts(self, request: QueuedRequest) -> None:
        if not self._may_cancel_attempts:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None:
                self._state.effects.cancel_attempt(request.id, number)

    def _release(self, request: QueuedRequest) -> None:
        """Cut the circle of a request and its attempts once nothing is in flight.

        They are freed at once, and no gateway stands still while a garbage collector
        looks for them. Rule 5 needs only that the request is finished.
        """
        if request.state is RequestState.FINISHED and not request.is_in_flight():
            request.attempts = []
