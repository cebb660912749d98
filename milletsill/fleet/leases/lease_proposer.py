"""State machine of one lease at one gateway. No I/O and no clock.

It acquires, renews, writes under and releases the lease. A proposer has one request
at a time in progress, a `QuorumRound` to all acceptors. `proposer_table` defines the
effect of each event in each state; `LeaseProposer` applies it.
"""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.fleet.leases.ballot import NO_BALLOT, Ballot
from milletsill.fleet.leases.messages import (
    AcceptorReply,
    AcceptorRequest,
    ReplyStatus,
    RequestKind,
)
from milletsill.fleet.leases.proposer_table import (
    LEASE_HELD_STATES,
    PROPOSER_TABLE,
    ROUND_EFFECTS,
    ProposerEffect,
    ProposerEvent,
    ProposerState,
)
from milletsill.fleet.leases.quorum_round import (
    QuorumRound,
    answers_request,
    holder_lease_end,
    is_open,
    is_settled,
    latest_reply,
    oldest_value_age,
)
from milletsill.fleet.leases.timings import LeaseTimings

# Ballots that one acquisition tries while all refusals are for too low a ballot.
MAX_BALLOT_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A value to be written, and when it was created, in ticks."""

    value: bytes
    created_at: int


class LeaseProposer:
    """The state machine of one lease at one gateway.

    Its methods take the gateway's clock in ticks and return the effects in order.

    Attributes:
        key: The lease's name.
        gateway: Name of the gateway, part of its ballots.
        nonce: Random number of this start of the gateway, part of its ballots.
        timings: Durations of leases and requests.
        acceptors: Number of acceptors.
        state: The current state.
        ballot: The ballot of the last acquisition.
        write_number: Number of the last write under the ballot.
        value: The record that was read or written last.
        value_since: The earliest time at which the record can have received the value,
            in ticks; None if unknown.
        expires_at: When the lease ends on this gateway's clock; 0 without a lease.
        current_round: The round in progress, if any.
        queued_write: The write that waits for the round in progress, if any.
        attempts: Ballots that the current acquisition has used.
        highest_round: The highest ballot round that was used or is known.
        renewals: Number of the last renewal under the ballot.
        release_request: The request that the owner sends to the acceptors when the
            lease is over, if any.
        refusal: The most informative refusal of the last round that failed, if any.
    """

    __slots__ = (
        "key",
        "gateway",
        "nonce",
        "timings",
        "acceptors",
        "state",
        "ballot",
        "write_number",
        "value",
        "value_since",
        "expires_at",
        "current_round",
        "queued_write",
        "attempts",
        "highest_round",
        "renewals",
        "release_request",
        "refusal",
    )

    def __init__(
        self,
        key: str,
        gateway: str,
        nonce: int,
        timings: LeaseTimings,
        acceptors: int,
        used_rounds: int = 0,
    ) -> None:
        self.key = key
        self.gateway = gateway
        self.nonce = nonce
        self.timings = timings
        self.acceptors = acceptors
        self.state = ProposerState.IDLE
        self.ballot = NO_BALLOT
        self.write_number = 0
        self.value = b""
        self.value_since: int | None = 0
        self.expires_at = 0
        self.current_round: QuorumRound | None = None
        self.queued_write: PendingWrite | None = None
        self.attempts = 0
        self.highest_round = used_rounds
        self.renewals = 0
        self.release_request: AcceptorRequest | None = None
        self.refusal: AcceptorReply | None = None

    def holds(self, now: int) -> bool:
        """Whether this gateway holds the lease, so that no other gateway can."""
        return self.state in LEASE_HELD_STATES and now < self.expires_at

    def acquire(self, now: int) -> list[ProposerEffect]:
        """Acquire the lease, or renew it."""
        if self.state is ProposerState.IDLE:
            self.attempts = 0
        return self._step(ProposerEvent.ACQUIRE, now)

    def write(self, value: bytes, now: int) -> list[ProposerEffect]:
        """Write the whole record.

        The write waits for a round in progress. If several writes wait, only the last
        one is carried out.
        """
        return self._step(ProposerEvent.WRITE, now, PendingWrite(value, now))

    def release(self, now: int) -> list[ProposerEffect]:
        """End the lease at once, so that other gateways can acquire it."""
        return self._step(ProposerEvent.RELEASE, now)

    def on_timer(self, now: int) -> list[ProposerEffect]:
        """End a round that has timed out; no effect before its timeout."""
        current = self.current_round
        if current is None or is_open(current, now, self.timings):
            return []
        self.refusal = current.main_refusal()
        return self._step(ProposerEvent.TIMED_OUT, now)

    def on_reply(
        self, acceptor: str, reply: AcceptorReply, now: int
    ) -> list[ProposerEffect]:
        """Count a reply; a reply that belongs to no open round is ignored."""
        self.highest_round = max(self.highest_round, reply.promised_round)
        current = self.current_round
        if (
            current is None
            or not answers_request(current, reply)
            or not is_open(current, now, self.timings)
            or acceptor in current.granted
        ):
            return []
        current.add(acceptor, reply)
        event = self._round_event(current)
        return [] if event is None else self._step(event, now)

    def _round_event(self, current: QuorumRound) -> ProposerEvent | None:
        """Return the event that the replies so far cause; None if undecided."""
        if current.has_quorum(self.acceptors):
            return self._quorum_event(current)
        if not current.cannot_reach_quorum(self.acceptors):
            return None
        statuses = {each.status for each in current.refused.values()}
        self.refusal = current.main_refusal()
        if statuses == {ReplyStatus.UNAVAILABLE}:
            return ProposerEvent.TIMED_OUT  # no evidence of another holder
        can_retry = self.attempts < MAX_BALLOT_ATTEMPTS
        if statuses == {ReplyStatus.BALLOT_TOO_LOW} and can_retry:
            return ProposerEvent.BALLOT_TOO_LOW
        return ProposerEvent.REFUSED

    def _quorum_event(self, current: QuorumRound) -> ProposerEvent:
        if current.request.kind is RequestKind.ACCEPT:
            return ProposerEvent.SETTLED
        replies = tuple(current.granted.values())
        if is_settled(replies, latest_reply(replies), self.acceptors):
            return ProposerEvent.SETTLED
        return ProposerEvent.UNSETTLED

    def _step(
        self, event: ProposerEvent, now: int, write: PendingWrite | None = None
    ) -> list[ProposerEffect]:
        """Apply one event; then start the queued write if the lease is idle again."""
        unchanged = (self.state, ProposerEffect.NONE)
        self.state, effect = PROPOSER_TABLE.get((self.state, event), unchanged)
        if effect in ROUND_EFFECTS:
            self._start_round(effect, now, write)
        elif effect is ProposerEffect.QUEUE:
            self.queued_write = write
        else:
            self._end_round(effect)
        effects: list[ProposerEffect] = []
        if effect is not ProposerEffect.NONE:
            effects.append(effect)
        if self.state is ProposerState.HOLDING and self.queued_write is not None:
            queued = self.queued_write
            self.queued_write = None
            effects += self._step(ProposerEvent.WRITE, now, queued)
        return effects

    def _start_round(
        self, effect: ProposerEffect, now: int, write: PendingWrite | None
    ) -> None:
        match effect:
            case ProposerEffect.PREPARE | ProposerEffect.PREPARE_HIGHER:
                self._start_prepare(now)
            case ProposerEffect.RENEW:
                self._start_renewal(now)
            case ProposerEffect.REPAIR:
                self._adopt_value()
                self.start_accept(self.value, now, now, False)
            case ProposerEffect.WRITE:
                assert write is not None
                self.start_accept(write.value, now, write.created_at, True)

    def _end_round(self, effect: ProposerEffect) -> None:
        match effect:
            case ProposerEffect.HOLD:
                self._on_held()
            case ProposerEffect.EXTEND:
                self._extend_lease()
            case ProposerEffect.WRITTEN:
                self._on_written()
            case ProposerEffect.KEEP:
                self.current_round = None
            case ProposerEffect.LOSE | ProposerEffect.RELEASE:
                self._end_lease(effect)

    def _start_prepare(self, now: int) -> None:
        self.attempts += 1
        self.highest_round += 1
        self.refusal = None
        self.ballot = Ballot(self.highest_round, self.gateway, self.nonce)
        self.write_number = 0
        self.expires_at = 0
        self.renewals = 0
        request = AcceptorRequest(RequestKind.PREPARE, self.key, self.ballot)
        self.current_round = QuorumRound(request, now)

    def _start_renewal(self, now: int) -> None:
        self.renewals += 1
        request = AcceptorRequest(
            RequestKind.PREPARE, self.key, self.ballot, self.renewals
        )
        self.current_round = QuorumRound(request, now)

    def start_accept(
        self, value: bytes, now: int, created_at: int, is_original: bool
    ) -> None:
        """Begin the round that writes a value under the current ballot."""
        self.write_number += 1
        request = AcceptorRequest(
            RequestKind.ACCEPT,
            self.key,
            self.ballot,
            self.write_number,
            value,
            is_original,
            created_at,
        )
        self.current_round = QuorumRound(request, now)

    def _on_held(self) -> None:
        assert self.current_round is not None
        if self.current_round.request.kind is RequestKind.PREPARE:
            self._adopt_value()
        self._extend_lease()

    def _on_written(self) -> None:
        current = self.current_round
        assert current is not None
        self.value = current.request.value
        self.value_since = min(current.sent_at, current.request.created_at)
        self._extend_lease()

    def _adopt_value(self) -> None:
        """Adopt the latest value of the majority that granted the round."""
        current = self.current_round
        assert current is not None
        replies = tuple(current.granted.values())
        self.value = latest_reply(replies).value
        age = oldest_value_age(replies, self.value)
        if age is None:
            self.value_since = None
            return
        # Both clocks are read in whole ticks, so each reading may be one tick short.
        elapsed = self.timings.on_other_clock(age + 1) + 1
        self.value_since = current.sent_at - elapsed

    def _extend_lease(self) -> None:
        assert self.current_round is not None
        lease_end = holder_lease_end(self.current_round, self.timings)
        self.expires_at = max(self.expires_at, lease_end)
        self.current_round = None

    def _end_lease(self, effect: ProposerEffect) -> None:
        # A lease that was held and is lost is not released. It runs to its end at the
        # acceptors, because requests that were sent under it may be in flight.
        can_release = effect is ProposerEffect.RELEASE or not self.expires_at
        self.release_request = (
            AcceptorRequest(RequestKind.RELEASE, self.key, self.ballot)
            if can_release
            else None
        )
        self.current_round = None
        self.queued_write = None
        self.expires_at = 0


def next_used_rounds(used_rounds: int, proposer: LeaseProposer) -> int:
    """Return the round after which the ballots of later proposers begin.

    The owner calls this when it drops a proposer, so that no ballot is used twice
    during one start of the gateway.
    """
    return max(used_rounds, proposer.highest_round)
