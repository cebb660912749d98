"""Each request gets exactly one final answer, in time (rule 1 in docs/design.md).

Only this module rejects or fails a request that the scheduler has accepted.
"""

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
    """Moves requests through their states."""

    def __init__(self, state: SchedulerState, placement: Placement) -> None:
        config = state.config
        self._state = state
        self._placement = placement
        self._may_cancel_attempts = config.may_cancel_attempts
        self._answer_margin = ANSWER_MARGIN_RESOLUTIONS * config.timer_resolution
        self._retry_after = config.max_retry_after if config.sends_retry_after else 0

    def answer_time(self, request: QueuedRequest) -> int:
        """Return when a request must be answered, just before its client's deadline."""
        return request.deadline - self._answer_margin

    def on_event(self, request: QueuedRequest, event: RequestEvent) -> None:
        """Move a request to its next state and carry out the transition's effect."""
        transition = REQUEST_TRANSITIONS.get((request.state, event))
        if transition is None:
            return
        request.state, effect = transition
        if effect is RequestEffect.REQUEUE:
            self._state.unplaced.append(request)
        elif effect is RequestEffect.REJECT_OR_FAIL:
            self._remove(request)
            self._reject_or_fail(request)
            self._cancel_attempts(request)
            self._break_reference_cycle(request)
        elif effect is RequestEffect.REMOVE:
            self._remove(request)
            self._cancel_attempts(request)
            self._break_reference_cycle(request)

    def on_attempt_result(
        self, attempt: Attempt, result: AttemptResult, now: int
    ) -> None:
        """Finish a request, or queue it again."""
        request = attempt.request
        if result.request_finished or result.outcome is AttemptOutcome.SUCCEEDED:
            self.on_event(request, RequestEvent.CLOSED)
        elif not request.is_in_flight():
            request.has_spent_credit = False
            is_final = attempt.is_final and result.outcome is AttemptOutcome.TIMED_OUT
            is_expired = is_final or now >= self.answer_time(request)
            if is_expired or not self._placement.can_retry(request, now):
                self.on_event(request, RequestEvent.EXHAUSTED)
            else:
                self.on_event(request, RequestEvent.RETRYABLE)
        self._break_reference_cycle(request)

    def _reject_or_fail(self, request: QueuedRequest) -> None:
        effects = self._state.effects
        if is_rejection_harmless(request):
            effects.reject(request.id, self._retry_after)
        else:
            effects.fail(request.id)

    def _remove(self, request: QueuedRequest) -> None:
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

    def _break_reference_cycle(self, request: QueuedRequest) -> None:
        """Break the reference cycle of a finished request and its attempts.

        It waits until no attempt is in flight. Reference counting then frees the
        records at once, so the gateway does not pause for the cyclic garbage collector.
        Key ordering only needs to know that the request is finished.
        """
        if request.state is RequestState.FINISHED and not request.is_in_flight():
            request.attempts = []
