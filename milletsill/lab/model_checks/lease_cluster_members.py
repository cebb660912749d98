"""Acceptors and lease holders of the model's cluster, and the messages between them.

They are played with the very functions of `acceptor`, `acceptor_recovery` and
`lease_proposer`, for one lease.
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
MAX_COPIES = 20  # of an acceptor's disk that may come back


class RestartKind(Enum):
    """With what state an acceptor starts again."""

    KEPT = auto()
    ROLLED_BACK = auto()
    LOST = auto()


class MemberFault(Enum):
    """What may happen a limited number of times in an exploration."""

    DUPLICATE = auto()
    RESTART = auto()
    ROLL_BACK = auto()
    LOSE_STATE = auto()
    RESTART_HOLDER = auto()


class WitnessQuery(NamedTuple):
    """Of an acceptor that may not answer yet: which identity is known of it?"""


class Witness(NamedTuple):
    """The identity that is known of an acceptor; from the acceptor itself: its own."""

    of: str
    known: StateIdentity | None


class PageQuery(NamedTuple):
    """Of an acceptor that recovers: all records."""


class IdentifiedReply(NamedTuple):
    """A reply and the identity of the acceptor's state."""

    reply: AcceptorReply
    identity: StateIdentity


Body = (
    AcceptorRequest
    | IdentifiedReply
    | WitnessQuery
    | Witness
    | PageQuery
    | SnapshotPage
)


class Message(NamedTuple):
    """A message that may still arrive."""

    to: str
    sender: str
    body: Body


class DiskCopy(NamedTuple):
    """What was on an acceptor's disk once."""

    record: LeaseRecord | None
    ballot_floor: int
    identity: StateIdentity


class SimulatedAcceptor:
    """One acceptor: what is on its disk, and what is only in memory.

    Attributes:
        recovery: None while it serves.
        is_incomplete: It is known to lack something, also after a restart.
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
        """Return a copy that shares nothing that changes."""
        made = copy.copy(self)
        made.known = dict(self.known)
        made.copies = list(self.copies)
        if self.recovery is not None:
            made.recovery = _copy_of_recovery(self.recovery)
        return made

    def key(self) -> Hashable:
        """Return what identifies a state."""
        return (
            self.record,
            self.grant,
            self.ballot_floor,
            self.identity,
            _recovery_key(self.recovery),
            tuple(sorted(self.known.items())),
        )

    def is_serving(self) -> bool:
        """Whether it may answer."""
        recovery = self.recovery
        return recovery is None or recovery.status is RecoveryStatus.SERVING

    def commit(self, record: LeaseRecord | None) -> None:
        """Write a record where it is another."""
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
        """Handle a request, at a time on its own clock."""
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
        """Remove the record of a lease that was long unused."""
        record = self.record
        uptime = now - self.started_at
        if record is None or not acceptor.is_removable(record, uptime, idle_after):
            return
        self.ballot_floor = acceptor.raise_ballot_floor(self.ballot_floor, record)
        self.grant = None
        self.commit(None)

    def adopt(self, chance: int, now: int) -> None:
        """Go on with what was copied from others."""
        recovery = self.recovery
        assert recovery is not None
        records: dict[str, LeaseRecord] = {}
        if self.record is not None:
            records[KEY] = self.record
        acceptor_recovery.merge_records(records, recovery.records.items(), 0)
        self.ballot_floor = max(self.ballot_floor, recovery.ballot_floor)
        acceptor_recovery.raise_to_floor(records, self.ballot_floor)
        self.identity = recovery.renewed_identity(chance)
        self.record = records.get(KEY)
        self.grant = None
        self.grants_from = now
        self.recovery = None
        self.is_incomplete = False

    def roll_back(self, before: StateIdentity) -> bool:
        """Go back to the last copy before an identity, if there is one."""
        copies = [each for each in self.copies if each.identity < before]
        if not copies:
            return False
        disk = copies[-1]
        self.record = disk.record
        self.ballot_floor = disk.ballot_floor
        self.identity = disk.identity
        return True

    def lose_state(self, chance: int) -> None:
        """Go on with an empty disk."""
        self.record = None
        self.ballot_floor = 0
        self.identity = StateIdentity(1, chance, 0)
        self.known = {}
        self.is_incomplete = False

    def restart(
        self, others: list[str], timings: LeaseTimings, now: int
    ) -> AcceptorRecovery:
        """Begin a new incarnation with what is on the disk."""
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

    `gateway` is the name that it has, which may be another's too.
    """

    def __init__(
        self, gateway: str, nonce: int, timings: LeaseTimings, acceptors: int
    ) -> None:
        self.proposer = LeaseProposer(KEY, gateway, nonce, timings, acceptors)
        self.known: dict[str, StateIdentity] = {}

    def copy(self) -> SimulatedHolder:
        """Return a copy that shares nothing that changes."""
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

    def value_under_way(self) -> bytes:
        """Return the value that the proposer will have if all goes well."""
        proposer = self.proposer
        queued = proposer.queued_write
        if queued is not None and queued.value:
            return queued.value
        if proposer.state is ProposerState.WRITING and proposer.current_round:
            return proposer.current_round.request.value
        return proposer.value

    def key(self) -> Hashable:
        """Return what identifies a state."""
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
