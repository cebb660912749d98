"""Acceptors and lease holders of the model's cluster, and the messages between them.

They run the real functions of `acceptor`, `acceptor_recovery` and `lease_proposer` for
one lease.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable
from enum import Enum, auto
from typing import NamedTuple

from milletsill.fleet.leases import acceptor, acceptor_recovery
from milletsill.fleet.leases.acceptor import LeaseGrant, LeaseRecord, LeaseState
from milletsill.fleet.leases.acceptor_recovery import (
    AcceptorRecovery,
    RecoveryStatus,
    SnapshotPage,
    StateIdentity,
)
from milletsill.fleet.leases.lease_proposer import LeaseProposer
from milletsill.fleet.leases.messages import AcceptorReply, AcceptorRequest
from milletsill.fleet.leases.proposer_table import ProposerState
from milletsill.fleet.leases.quorum_round import QuorumRound
from milletsill.fleet.leases.timings import LeaseTimings

KEY = "c"
MAX_COPIES = 20  # copies of an acceptor's disk that it may be rolled back to


class RestartKind(Enum):
    """The state with which an acceptor restarts."""

    KEPT = auto()
    ROLLED_BACK = auto()
    LOST = auto()


class MemberFault(Enum):
    """Faults that are limited in number per exploration."""

    DUPLICATE = auto()
    RESTART = auto()
    ROLL_BACK = auto()
    LOSE_STATE = auto()
    RESTART_HOLDER = auto()


class KnownIdentityQuery(NamedTuple):
    """Queries the identity known of the sender, an acceptor that recovers."""


class KnownIdentity(NamedTuple):
    """The identity known of an acceptor; from the acceptor itself, its own."""

    acceptor: str
    identity: StateIdentity | None


class PageQuery(NamedTuple):
    """Queries all records, for an acceptor that recovers."""


class IdentifiedReply(NamedTuple):
    """A reply and the identity of the acceptor's state."""

    reply: AcceptorReply
    identity: StateIdentity


Body = (
    AcceptorRequest
    | IdentifiedReply
    | KnownIdentityQuery
    | KnownIdentity
    | PageQuery
    | SnapshotPage
)


class Message(NamedTuple):
    """A message in flight."""

    to: str
    sender: str
    body: Body


class DiskCopy(NamedTuple):
    """A former state of an acceptor's disk."""

    record: LeaseRecord | None
    ballot_floor: int
    identity: StateIdentity


class SimulatedAcceptor:
    """One acceptor, with its state on disk and in memory.

    Attributes:
        recovery: None while the acceptor serves.
        is_incomplete: Whether the state on disk is marked as incomplete.
    """

    def __init__(self, name: str, started_at: int) -> None:
        self.name = name
        self.started_at = started_at
        self.grants_from = started_at
        self.record: LeaseRecord | None = None
        self.grant: LeaseGrant | None = None
        self.ballot_floor = 0
        self.identity = StateIdentity(1, int(name[1:]), 0)
        self.known: dict[str, StateIdentity] = {}
        self.recovery: AcceptorRecovery | None = None
        self.is_incomplete = False
        self.copies: list[DiskCopy] = []

    def copy(self) -> SimulatedAcceptor:
        """Return a copy that shares no mutable state."""
        made = copy.copy(self)
        made.known = dict(self.known)
        made.copies = list(self.copies)
        if self.recovery is not None:
            made.recovery = _copy_of_recovery(self.recovery)
        return made

    def key(self) -> Hashable:
        """Return a key that is equal for equal states."""
        return (
            self.record,
            self.grant,
            self.ballot_floor,
            self.identity,
            _recovery_key(self.recovery),
            tuple(sorted(self.known.items())),
        )

    def is_serving(self) -> bool:
        """Return whether the acceptor may answer requests."""
        recovery = self.recovery
        return recovery is None or recovery.status is RecoveryStatus.SERVING

    def commit(self, record: LeaseRecord | None) -> None:
        """Write a record to disk if it changed."""
        if record is self.record:
            return
        self.record = record
        disk = DiskCopy(self.record, self.ballot_floor, self.identity)
        self.copies = [*self.copies[-MAX_COPIES:], disk]
        generation = self.identity.generation + 1
        self.identity = self.identity._replace(generation=generation)

    def handle(
        self, request: AcceptorRequest, now: int, timings: LeaseTimings
    ) -> AcceptorReply | None:
        """Handle a request at a time of the acceptor's clock."""
        grant = self.grant
        if self.record is None:
            grant = None
        elif grant is None:
            grant = acceptor.grant_after_restart(self.grants_from, timings)
        state = LeaseState(self.record, grant, self.ballot_floor)
        uptime = now - self.started_at
        outcome = acceptor.handle_request(state, request, now, uptime, timings)
        self.commit(outcome.record)
        self.grant = outcome.grant
        return outcome.reply

    def remove_idle(self, now: int, idle_after: int) -> None:
        """Remove the record if its lease is idle."""
        record = self.record
        uptime = now - self.started_at
        if record is None or not acceptor.is_removable(record, uptime, idle_after):
            return
        self.ballot_floor = acceptor.raise_ballot_floor(self.ballot_floor, record)
        self.grant = None
        self.commit(None)

    def adopt(self, nonce: int, now: int) -> None:
        """Adopt the records copied from other acceptors."""
        recovery = self.recovery
        assert recovery is not None
        records: dict[str, LeaseRecord] = {}
        if self.record is not None:
            records[KEY] = self.record
        acceptor_recovery.merge_records(records, recovery.records.items(), 0)
        self.ballot_floor = max(self.ballot_floor, recovery.ballot_floor)
        acceptor_recovery.raise_to_floor(records, self.ballot_floor)
        self.identity = recovery.renewed_identity(nonce)
        self.record = records.get(KEY)
        self.grant = None
        self.grants_from = now
        self.recovery = None
        self.is_incomplete = False

    def roll_back(self, before: StateIdentity) -> bool:
        """Restore the last copy before an identity; return whether there was one."""
        copies = [each for each in self.copies if each.identity < before]
        if not copies:
            return False
        disk = copies[-1]
        self.record = disk.record
        self.ballot_floor = disk.ballot_floor
        self.identity = disk.identity
        return True

    def lose_state(self, nonce: int) -> None:
        """Replace the disk by an empty one."""
        self.record = None
        self.ballot_floor = 0
        self.identity = StateIdentity(1, nonce, 0)
        self.known = {}
        self.is_incomplete = False

    def restart(
        self, others: list[str], timings: LeaseTimings, now: int
    ) -> AcceptorRecovery:
        """Restart with the state on disk."""
        self.grant = None
        self.started_at = now
        self.grants_from = now
        self.copies = []
        self.recovery = AcceptorRecovery(
            self.identity,
            others,
            timings,
            now,
            self.identity.generation == 0,
            self.is_incomplete,
        )
        return self.recovery


class SimulatedHolder:
    """One gateway's proposer, and the identities that it knows of acceptors.

    `gateway` is the gateway's name; two holders may have the same name.
    """

    def __init__(
        self, gateway: str, nonce: int, timings: LeaseTimings, acceptors: int
    ) -> None:
        self.proposer = LeaseProposer(KEY, gateway, nonce, timings, acceptors)
        self.known: dict[str, StateIdentity] = {}

    def copy(self) -> SimulatedHolder:
        """Return a copy that shares no mutable state."""
        made = copy.copy(self)
        made.known = dict(self.known)
        made.proposer = copy.copy(self.proposer)
        current = self.proposer.current_round
        if current is not None:
            same = QuorumRound(current.request, current.sent_at)
            same.granted = dict(current.granted)
            same.refused = dict(current.refused)
            made.proposer.current_round = same
        return made

    def value_in_progress(self) -> bytes:
        """Return the value that the proposer has once its writes succeed."""
        proposer = self.proposer
        queued = proposer.queued_write
        if queued is not None and queued.value:
            return queued.value
        if proposer.state is ProposerState.WRITING and proposer.current_round:
            return proposer.current_round.request.value
        return proposer.value

    def key(self) -> Hashable:
        """Return a key that is equal for equal states."""
        proposer = self.proposer
        return (
            proposer.state,
            proposer.ballot,
            proposer.write_number,
            proposer.value,
            proposer.expires_at,
            proposer.queued_write,
            proposer.attempts,
            proposer.highest_round,
            proposer.nonce,
            _round_key(proposer.current_round),
        )


def _copy_of_recovery(recovery: AcceptorRecovery) -> AcceptorRecovery:
    made = copy.copy(recovery)
    made.confirmed_by = set(recovery.confirmed_by)
    made.copied_from = set(recovery.copied_from)
    made.records = dict(recovery.records)
    made.last_keys = dict(recovery.last_keys)
    return made


def _recovery_key(recovery: AcceptorRecovery | None) -> Hashable:
    if recovery is None:
        return None
    return (
        recovery.status,
        recovery.own,
        recovery.wait_until,
        tuple(sorted(recovery.confirmed_by)),
        tuple(sorted(recovery.copied_from)),
        tuple(recovery.records.values()),
    )


def _round_key(current: QuorumRound | None) -> Hashable:
    if current is None:
        return None
    return (
        current.request,
        current.sent_at,
        tuple(sorted(current.granted)),
        tuple(sorted(current.refused)),
        tuple(current.granted.values()),
    )
