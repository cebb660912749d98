"""Sends and resends lease proposers' requests to the acceptors, with a timeout."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from milletsill.fleet.leases.lease_messenger import LeaseMessenger
from milletsill.fleet.leases.lease_proposer import LeaseProposer
from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
from milletsill.fleet.leases.messages import AcceptorRequest
from milletsill.fleet.leases.metrics import LeaseMetrics
from milletsill.fleet.leases.quorum_round import QuorumRound
from milletsill.fleet.leases.timers import LeaseTimers

CHECK_INTERVAL = 200  # ticks between checks for rounds to resend or to time out
# Fraction of the call timeout after which a request is sent once more to the acceptors
# that have not granted it.
RESEND_AFTER = 0.5


@dataclass(frozen=True, slots=True)
class _OpenRound:
    """A round in progress, and when its resend or its timeout is due."""

    due_at: int
    quorum_round: QuorumRound
    proposer: LeaseProposer

    def is_current(self) -> bool:
        return self.proposer.current_round is self.quorum_round


class RequestSender:
    """Sends and tracks the rounds in progress of all proposers of a gateway.

    Requests to one acceptor that are posted in the same reactor turn are sent together.
    Requests to this gateway's own acceptor do not pass through the transport.

    Args:
        settings: Settings of the lease service.
        environment: The program's interfaces that the lease service uses.
        messenger: Sends messages to other gateways.
        metrics: Metrics of the lease service.
        timers: Timers of the lease service.
        on_timeout: Called with a proposer whose round has timed out, and the time.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        environment: LeaseEnvironment,
        messenger: LeaseMessenger,
        metrics: LeaseMetrics,
        timers: LeaseTimers,
        on_timeout: Callable[[LeaseProposer, int], None],
    ) -> None:
        self._acceptors = settings.acceptors
        self._timings = settings.timings
        self._name = environment.transport.name
        self._now = environment.now
        self._messenger = messenger
        self._metrics = metrics
        self._timers = timers
        self._on_timeout = on_timeout
        self._timeouts: deque[_OpenRound] = deque()
        self._resends: deque[_OpenRound] = deque()
        self._outbox: dict[str, list[AcceptorRequest]] = {}

    @property
    def open_rounds(self) -> int:
        """How many rounds are in progress."""
        return len(self._timeouts)

    def begin_round(self, proposer: LeaseProposer, quorum_round: QuorumRound) -> None:
        """Send a round's request to all acceptors."""
        sent_at = quorum_round.sent_at
        timeout = self._timings.call_timeout
        self._timeouts.append(_OpenRound(sent_at + timeout, quorum_round, proposer))
        resend_at = sent_at + int(timeout * RESEND_AFTER)
        self._resends.append(_OpenRound(resend_at, quorum_round, proposer))
        self.post(quorum_round.request, self._acceptors)
        if not self._timers.is_running("check"):
            self._timers.start("check", CHECK_INTERVAL, self._check)

    def post_to_all(self, request: AcceptorRequest) -> None:
        """Send a request that has no reply to all acceptors."""
        self.post(request, self._acceptors)

    def post(self, request: AcceptorRequest, acceptors: Iterable[str]) -> None:
        """Queue a request; all requests of one reactor turn are sent together."""
        if not self._outbox:
            self._timers.start("flush", 0, self.flush)
        for acceptor in acceptors:
            self._outbox.setdefault(acceptor, []).append(request)

    def flush(self) -> None:
        """Send all queued requests now."""
        outbox = self._outbox
        self._outbox = {}
        own = self._messenger.acceptor
        for acceptor, requests in outbox.items():
            if acceptor == self._name and own is not None:
                digest = self._messenger.settings_digest
                own.on_requests(acceptor, requests, digest)
            else:
                self._messenger.send_requests(acceptor, requests)

    def _check(self) -> None:
        """Resend requests and end rounds that are due."""
        now = self._now()
        while self._resends and now >= self._resends[0].due_at:
            resend = self._resends.popleft()
            if resend.is_current():
                current = resend.quorum_round
                self.post(current.request, current.without_grant(self._acceptors))
        while self._timeouts and self._is_over(self._timeouts[0], now):
            over = self._timeouts.popleft()
            if over.is_current():
                self._on_timeout(over.proposer, now)
        self._metrics.pending.set(len(self._timeouts))
        if self._timeouts:
            self._timers.start("check", CHECK_INTERVAL, self._check)

    def _is_over(self, open_round: _OpenRound, now: int) -> bool:
        return now >= open_round.due_at or not open_round.is_current()
