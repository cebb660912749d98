"""A gateway in a traffic simulation: the real scheduler and its effects.

Times are ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from milletsill.deployment_config import DeploymentConfig
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Request,
    SchedulerEffects,
    SchedulerEvents,
)
from milletsill.lab.modelled_node import NETWORK_DELAY, ModelledNode
from milletsill.lab.simulated_request import SimulatedAttempt, SimulatedRequest
from milletsill.scheduler import Scheduler

# Final answers, by the names that traces record.
SUCCEEDED = "satisfied"
REJECTED = "declined"
FAILED = "aborted"

SchedulerFactory = Callable[
    [DeploymentConfig, int, int, SchedulerEffects], SchedulerEvents
]
SchedulerWrapper = Callable[[SchedulerFactory], SchedulerFactory]
OnFinal = Callable[[int, SimulatedRequest, str], None]


def use_directly(make: SchedulerFactory) -> SchedulerFactory:
    """Return the scheduler factory unchanged, so that nothing wraps the scheduler."""
    return make


class TrafficSurroundings(Protocol):
    """The parts of the simulation that a gateway uses."""

    now: int

    @property
    def nodes(self) -> Sequence[ModelledNode]:
        """The nodes, indexed by number."""

    def call_at(self, when: int, call: Callable[..., object], *values: Any) -> None:
        """Schedule a call at a simulated time."""


class SchedulerGateway:
    """One gateway: runs its scheduler and carries out the scheduler's effects.

    Attributes:
        requests: Requests without a final answer or with attempts in flight, by id.
        request_count: Requests received so far.
        on_path: Called with each request's path before the scheduler gets the request.
        on_final: Called with each final answer.
    """

    def __init__(
        self,
        simulation: TrafficSurroundings,
        place: int,
        config: DeploymentConfig,
        seed: int,
    ) -> None:
        self.simulation = simulation
        self.place = place
        self.config = config
        self.seed = seed
        self.requests: dict[int, SimulatedRequest] = {}
        self.request_count = 0
        self.on_path: Callable[[str], None] = lambda path: None
        self.on_final: OnFinal = lambda now, request, final: None
        self.scheduler: SchedulerEvents
        self._is_dispatch_due = False

    def start(self, wrap: SchedulerWrapper = use_directly) -> None:
        """Create the scheduler through the factory that `wrap` returns."""
        make = wrap(Scheduler)
        self.scheduler = make(self.config, self.seed, self.simulation.now, self)

    def take_request(
        self, request: Request, work: float, path: str, operation: str
    ) -> None:
        """Pass a client's request to the scheduler."""
        now = self.simulation.now
        self.requests[request.id] = SimulatedRequest(
            request, now, work, path, operation
        )
        self.on_path(path)
        self.scheduler.on_request(now, request)
        self.dispatch_soon()

    def dispatch_soon(self) -> None:
        """Make the scheduler dispatch after all other events of the present time."""
        if not self._is_dispatch_due:
            self._is_dispatch_due = True
            self.simulation.call_at(self.simulation.now, self._dispatch)

    def _dispatch(self) -> None:
        self._is_dispatch_due = False
        self.scheduler.dispatch_pending(self.simulation.now)

    def _answer(self, request: SimulatedRequest, final: str) -> None:
        request.is_answered = True
        self.on_final(self.simulation.now, request, final)
        if not request.in_flight:
            self.requests.pop(request.request.id, None)

    def attempt_result(
        self, attempt: SimulatedAttempt, outcome: AttemptOutcome, is_final: bool
    ) -> AttemptResult:
        """Return the result that the scheduler gets for an attempt that ended."""
        report: dict[str, float] = {}
        if outcome is AttemptOutcome.SUCCEEDED:
            report = self.simulation.nodes[attempt.node].report()
        return AttemptResult(
            attempt.request.request.id,
            attempt.number,
            attempt.node,
            outcome,
            is_final,
            self.simulation.now - attempt.sent_at,
            None,
            0,
            report,
        )

    def on_attempt_ended(
        self, attempt: SimulatedAttempt, outcome: AttemptOutcome
    ) -> None:
        """Handle the end of an attempt; only its first end counts."""
        if attempt.is_ended:
            return
        attempt.is_ended = True
        request = attempt.request
        is_final = outcome is AttemptOutcome.SUCCEEDED and not request.is_answered
        request.in_flight -= 1
        self.scheduler.on_attempt_result(
            self.simulation.now, self.attempt_result(attempt, outcome, is_final)
        )
        if is_final:
            self._answer(request, SUCCEEDED)
        elif request.is_answered and not request.in_flight:
            self.requests.pop(request.request.id, None)
        self.dispatch_soon()

    # The scheduler's effects.

    def send_attempt(self, request_id: int, node_id: int, timeout: int) -> None:
        """Send a request to a node."""
        request = self.requests[request_id]
        now = self.simulation.now
        attempt = SimulatedAttempt(request, request.attempt_count, node_id, now)
        request.attempt_count += 1
        request.in_flight += 1

        def on_ended(outcome: AttemptOutcome) -> None:
            self.on_attempt_ended(attempt, outcome)

        ends_at = request.request.deadline
        if timeout:
            ends_at = min(now + timeout, ends_at)
        self.simulation.call_at(ends_at, on_ended, AttemptOutcome.TIMED_OUT)
        node = self.simulation.nodes[node_id]
        self.simulation.call_at(now + NETWORK_DELAY, node.take, attempt, on_ended)

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer that the request was rejected and had no effect."""
        self._answer_if_open(request_id, REJECTED)

    def fail(self, request_id: int) -> None:
        """Answer that the request failed but may have had an effect."""
        self._answer_if_open(request_id, FAILED)

    def _answer_if_open(self, request_id: int, final: str) -> None:
        request = self.requests.get(request_id)
        if request is not None and not request.is_answered:
            self._answer(request, final)

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Do nothing: attempts run to their end in this simulation."""

    def watch_endpoints(self) -> None:
        """Do nothing: the endpoint list does not change in this simulation."""

    def fetch_endpoints(self) -> None:
        """Do nothing: the endpoint list does not change in this simulation."""

    def probe_node(self, node_id: int) -> None:
        """Do nothing: no node is probed in this simulation."""

    def set_timer(self, at: int, token: object) -> None:
        """Schedule a timer event for the scheduler."""
        self.simulation.call_at(at, self._on_timer, token)

    def _on_timer(self, token: object) -> None:
        self.scheduler.on_timer(self.simulation.now, token)

    def log(self, text: str) -> None:
        """Discard a log line."""
