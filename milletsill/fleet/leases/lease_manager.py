"""Acquires, renews, writes under and releases the leases of one gateway.

`LeaseManager` is the interface of the lease service to the rest of the program. The
reactor calls its callbacks, never from within a call to the manager. `lease_proposer`
makes the decisions. If this gateway is an acceptor, the manager also runs its
`AcceptorService`.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random, SystemRandom

from milletsill.fleet.leases import codec
from milletsill.fleet.leases.acceptor_host import AcceptorHost
from milletsill.fleet.leases.acceptor_service import AcceptorService
from milletsill.fleet.leases.blocking_worker import BlockingExecutor, BlockingWorker
from milletsill.fleet.leases.errors import (
    CoordinationError,
    LeaseNotHeldError,
    ResourceLimitReachedError,
)
from milletsill.fleet.leases.lease_messenger import LeaseMessenger, OnChannelMessage
from milletsill.fleet.leases.lease_proposer import LeaseProposer, next_used_rounds
from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
from milletsill.fleet.leases.lease_term import (
    LeaseEntry,
    LeaseTerm,
    OnAcquired,
    OnWritten,
)
from milletsill.fleet.leases.messages import (
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    AcceptorReply,
)
from milletsill.fleet.leases.metrics import LeaseMetrics
from milletsill.fleet.leases.proposer_table import (
    ROUND_EFFECTS,
    ProposerEffect,
    ProposerState,
)
from milletsill.fleet.leases.request_sender import RequestSender
from milletsill.fleet.leases.round_error import round_error
from milletsill.fleet.leases.timers import LeaseTimers
from milletsill.fleet.leases.timings import TICKS_PER_SECOND
from milletsill.fleet.transport import MessageKind

MAX_OPEN_ROUNDS = 20_000
MAX_CALLBACKS = 256  # callbacks that wait for one lease, or for its queued write
RENEW_AFTER = 0.5  # fraction of the lease duration after which a term is renewed
DROP_AFTER = 600_000  # ticks after the end of a lease until its proposer is dropped
SWEEP_SIZE = 2000  # leases that one renewal timer run checks for removal


class LeaseManager:
    """All leases of one gateway.

    Args:
        settings: Settings of the lease service.
        environment: The program's interfaces that the lease service uses.
        worker: Runs the acceptor's jobs; by default a thread of its own. Not used if
            this gateway is not an acceptor.

    Attributes:
        settings: Settings of the lease service.
        now: This gateway's clock, in ticks.
        leases: State of each lease, by key.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        environment: LeaseEnvironment,
        worker: BlockingExecutor | None = None,
    ) -> None:
        self.settings = settings
        self.now = environment.now
        self._transport = environment.transport
        self._timings = settings.timings
        self._max_value = min(settings.max_value_bytes, MAX_VALUE_BYTES)
        self._nonce = SystemRandom().getrandbits(64)
        self._random = Random(settings.seed)
        self._metrics = LeaseMetrics(environment.registry)
        self._timers = LeaseTimers(environment.reactor)
        clock_id = SystemRandom().getrandbits(63) + 1
        self._messenger = LeaseMessenger(
            settings, environment, self._metrics, clock_id, self._on_reply
        )
        self._sender = RequestSender(
            settings,
            environment,
            self._messenger,
            self._metrics,
            self._timers,
            self._on_timeout,
        )
        self.leases: dict[str, LeaseEntry] = {}
        self._terms_in_use: set[LeaseTerm] = set()
        self._used_rounds = 0
        self._sweep: list[str] = []
        self._held_in_sweep = 0
        self._acceptor_host: AcceptorHost | None = None
        if self._transport.name in settings.acceptors:
            self._acceptor_host = AcceptorHost(
                settings,
                environment,
                self._messenger,
                self._timers,
                worker or BlockingWorker(environment.reactor),
                SystemRandom().getrandbits(64),
            )
        self._transport.subscribe(MessageKind.CHANNEL, self._messenger.on_message)
        self._start_renewal_timer()

    @property
    def acceptor(self) -> AcceptorService | None:
        """This gateway's acceptor; None if the gateway is not an acceptor."""
        host = self._acceptor_host
        return None if host is None else host.service

    # Interface for the users of leases.

    def acquire(self, key: str, on_acquired: OnAcquired) -> None:
        """Acquire a lease, or renew it.

        `on_acquired` receives a `LeaseTerm`, or an error whose `retry_delay` is the
        time after which a retry can succeed, in ticks.
        """
        refusal = self._acquire_refusal(key)
        if refusal is not None:
            self._timers.call_soon(on_acquired, refusal)
            return
        entry = self.leases.get(key)
        if entry is None:
            proposer = LeaseProposer(
                key,
                self._transport.name,
                self._nonce,
                self._timings,
                len(self.settings.acceptors),
                self._used_rounds,
            )
            entry = self.leases[key] = LeaseEntry(proposer)
        entry.acquiring.append(on_acquired)
        self._apply(entry, entry.proposer.acquire(self.now()))

    def _acquire_refusal(self, key: str) -> ResourceLimitReachedError | None:
        if not codec.is_valid_key(key):
            what = f"a channel name must be UTF-8 of 1 to {MAX_KEY_BYTES} bytes"
            return ResourceLimitReachedError(what, "leases")
        entry = self.leases.get(key)
        if entry is None:
            is_full = len(self.leases) >= self.settings.max_leases
        else:
            is_full = len(entry.acquiring) >= MAX_CALLBACKS
        if not is_full and self._sender.open_rounds < MAX_OPEN_ROUNDS:
            return None
        what = "too many channels or requests in progress"
        return ResourceLimitReachedError(what, "leases", self._timings.call_timeout)

    def write(self, term: LeaseTerm, value: bytes, on_written: OnWritten) -> None:
        """Write a lease's whole record, and renew the lease.

        `on_written` receives None once a majority has accepted the write. Of several
        writes that are requested during another write, only the last is carried out.
        After an error the term is over.
        """
        refusal = self._write_refusal(term, value)
        if refusal is not None:
            self._timers.call_soon(on_written, refusal)
            return
        entry = self.leases[term.key]
        entry.queued.append(on_written)
        self._apply(entry, entry.proposer.write(value, self.now()))

    def _write_refusal(self, term: LeaseTerm, value: bytes) -> CoordinationError | None:
        entry = self.leases.get(term.key)
        if term.is_ended or entry is None or entry.term is not term:
            return LeaseNotHeldError("the lease term is over", term.key)
        if len(value) > self._max_value:
            what = f"record has {len(value)} bytes, limit {self._max_value}"
            return ResourceLimitReachedError(what, term.key)
        has_room = len(entry.queued) < MAX_CALLBACKS
        if has_room and self._sender.open_rounds < MAX_OPEN_ROUNDS:
            return None
        what = "too many writes in progress"
        return ResourceLimitReachedError(what, term.key, self._timings.call_timeout)

    def holds(self, term: LeaseTerm) -> bool:
        """Whether this gateway holds the lease now, by its own clock."""
        proposer = term.proposer
        return (
            not term.is_ended
            and proposer.ballot == term.ballot
            and proposer.holds(self.now())
        )

    def release(self, term: LeaseTerm) -> None:
        """End a term, so that other gateways can acquire the lease at once.

        No request that was sent under the term may be in flight. Callbacks of pending
        writes receive an error.
        """
        entry = self.leases.get(term.key)
        if entry is not None and entry.term is term and not term.is_ended:
            self._apply(entry, entry.proposer.release(self.now()))

    def preferred_holder(self, key: str) -> str:
        """Return the gateway that should hold a lease by this gateway's view.

        The view may be outdated. The result is empty if the view is empty.
        """
        return next(iter(self._transport.view.rendezvous(key, 1)), "")

    def set_on_channel_message(self, on_message: OnChannelMessage) -> None:
        """Set the handler of `MessageKind.CHANNEL` messages that are not for leases."""
        self._messenger.on_channel_message = on_message

    def stop(self) -> None:
        """Release the leases that are not in use, and close the acceptor."""
        for entry in list(self.leases.values()):
            if entry.term is not None and not entry.term.in_use:
                self._apply(entry, entry.proposer.release(self.now()))
        self._sender.flush()
        self._messenger.is_stopped = True
        self._timers.stop()
        if self._acceptor_host is not None:
            self._acceptor_host.stop()

    # Effects of proposers.

    def _apply(self, entry: LeaseEntry, effects: Iterable[ProposerEffect]) -> None:
        for effect in effects:
            if effect in ROUND_EFFECTS:
                self._send_round(entry, effect)
            else:
                self._apply_result(entry, effect)

    def _send_round(self, entry: LeaseEntry, effect: ProposerEffect) -> None:
        proposer = entry.proposer
        if effect is ProposerEffect.WRITE:
            entry.writing = entry.take_queued()
        # The round of the last effect is the one in progress.
        if proposer.current_round is not None:
            self._sender.begin_round(proposer, proposer.current_round)

    def _apply_result(self, entry: LeaseEntry, effect: ProposerEffect) -> None:
        proposer = entry.proposer
        match effect:
            case ProposerEffect.HOLD:
                self._on_held(entry, is_new=True)
            case ProposerEffect.EXTEND:
                self._on_held(entry, is_new=False)
            case ProposerEffect.WRITTEN:
                self._on_written(entry)
            case ProposerEffect.KEEP:
                self._finish_acquire(entry, self._round_error(proposer))
            case ProposerEffect.NOT_HELD:
                self._refuse_queued(entry)
            case ProposerEffect.LOSE:
                self._on_ended(entry, self._round_error(proposer))
            case ProposerEffect.RELEASE:
                error = LeaseNotHeldError("the lease was released", proposer.key)
                self._on_ended(entry, error)

    def _on_held(self, entry: LeaseEntry, is_new: bool) -> None:
        if is_new or entry.term is None:
            age = self._value_age(entry.proposer)
            entry.term = LeaseTerm(entry.proposer, age, self._terms_in_use)
        entry.term.expires_at = entry.proposer.expires_at
        self._finish_acquire(entry, entry.term)

    def _value_age(self, proposer: LeaseProposer) -> int | None:
        if proposer.value_since is None:
            return None
        if not proposer.value:
            return 0
        return max(self.now() - proposer.value_since, 0)

    def _finish_acquire(
        self, entry: LeaseEntry, result: LeaseTerm | CoordinationError
    ) -> None:
        waiting = entry.take_acquiring()
        if waiting:
            is_error = isinstance(result, CoordinationError)
            fate = type(result).__name__ if is_error else "held"
            self._metrics.acquisitions.labels(fate).inc()
        for on_acquired in waiting:
            self._timers.call_soon(on_acquired, result)

    def _on_written(self, entry: LeaseEntry) -> None:
        proposer = entry.proposer
        term = entry.term
        waiting = entry.take_writing()
        if term is not None:
            term.value = proposer.value
            term.expires_at = proposer.expires_at
            if proposer.value_since is not None:  # when the round was sent
                elapsed = self.now() - proposer.value_since
                self._metrics.write_seconds.observe(elapsed / TICKS_PER_SECOND)
            # A write renews the lease, so pending acquisitions have succeeded.
            self._finish_acquire(entry, term)
        self._metrics.writes.labels("written").inc(len(waiting))
        for on_written in waiting:
            self._timers.call_soon(on_written, None)

    def _refuse_queued(self, entry: LeaseEntry) -> None:
        error = LeaseNotHeldError("the lease is not held", entry.proposer.key)
        for on_written in entry.take_queued():
            self._timers.call_soon(on_written, error)

    def _on_ended(self, entry: LeaseEntry, error: CoordinationError) -> None:
        if entry.term is not None:
            entry.term.end()
            entry.term = None
        if entry.proposer.release_request is not None:
            self._sender.post_to_all(entry.proposer.release_request)
        self._finish_acquire(entry, error)
        waiting = entry.take_writing() + entry.take_queued()
        if waiting:
            fate = type(error).__name__
            self._metrics.writes.labels(fate).inc(len(waiting))
        for on_written in waiting:
            self._timers.call_soon(on_written, error)

    def _round_error(self, proposer: LeaseProposer) -> CoordinationError:
        return round_error(proposer, self._timings, self._random)

    # Results of requests.

    def _on_reply(self, acceptor: str, reply: AcceptorReply) -> None:
        entry = self.leases.get(reply.key)
        if entry is not None:
            effects = entry.proposer.on_reply(acceptor, reply, self.now())
            self._apply(entry, effects)

    def _on_timeout(self, proposer: LeaseProposer, now: int) -> None:
        entry = self.leases.get(proposer.key)
        if entry is not None and entry.proposer is proposer:
            self._apply(entry, proposer.on_timer(now))

    # Renewal, and removal of unused proposers.

    def _start_renewal_timer(self) -> None:
        interval = int(self._timings.lease_duration * RENEW_AFTER / 4)
        self._timers.start("renew", interval, self._renew)

    def _renew(self) -> None:
        """Renew terms in use, and drop some unused proposers."""
        self._start_renewal_timer()
        now = self.now()
        for term in list(self._terms_in_use):
            entry = self.leases.get(term.key)
            if entry is None or entry.term is not term:
                continue
            if self._is_renewal_due(term.proposer, now):
                self._apply(entry, term.proposer.acquire(now))
        self._sweep_some(now)

    def _is_renewal_due(self, proposer: LeaseProposer, now: int) -> bool:
        if proposer.state is not ProposerState.HOLDING:
            return False
        lead_time = self._timings.lease_duration * RENEW_AFTER
        return now >= proposer.expires_at - lead_time

    def _sweep_some(self, now: int) -> None:
        if not self._sweep:
            self._metrics.held.set(self._held_in_sweep)
            self._sweep = list(self.leases)
            self._held_in_sweep = 0
        for key in self._sweep[-SWEEP_SIZE:]:
            entry = self.leases.get(key)
            if entry is not None:
                self._held_in_sweep += entry.proposer.holds(now)
                self._drop_if_unused(entry, now)
        del self._sweep[-SWEEP_SIZE:]

    def _drop_if_unused(self, entry: LeaseEntry, now: int) -> None:
        """Drop a proposer that has been unused for `DROP_AFTER`.

        The ballot rounds that it used are not used again.
        """
        proposer = entry.proposer
        term = entry.term
        if term is not None and term.in_use:
            return
        if proposer.current_round is not None or entry.acquiring:
            return
        if now < proposer.expires_at + DROP_AFTER:
            return
        if term is not None:
            term.end()
        self._used_rounds = next_used_rounds(self._used_rounds, proposer)
        del self.leases[proposer.key]
