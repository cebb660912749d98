"""Guards of leases; the model check must fail without any one of them.

Each guard has the seed of a failing `lease_walk.walk` with three acceptors, three
holders and 600 steps, so that the test is short. After a change of the model,
`python -m milletsill.lab.model_checks.lease_model` prints the new seeds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from types import ModuleType
from typing import Any
from unittest import mock

from milletsill.fleet.leases import (
    acceptor,
    acceptor_recovery,
    lease_proposer,
    quorum_round,
)
from milletsill.fleet.leases.acceptor import (
    BallotRank,
    GrantState,
    LeaseGrant,
    LeaseRecord,
)
from milletsill.fleet.leases.acceptor_recovery import AcceptorRecovery, StateIdentity
from milletsill.fleet.leases.ballot import UNWRITTEN, Ballot, majority
from milletsill.fleet.leases.lease_proposer import LeaseProposer
from milletsill.fleet.leases.messages import (
    CREATED_ON_ARRIVAL,
    UNKNOWN,
    AcceptorReply,
    AcceptorRequest,
)
from milletsill.fleet.leases.proposer_table import ProposerEffect
from milletsill.fleet.leases.quorum_round import QuorumRound
from milletsill.fleet.leases.timings import LeaseTimings
from milletsill.lab.model_checks import lease_cluster


@dataclass(frozen=True, slots=True)
class Mutation:
    """A function and its replacement without the guard.

    Attributes:
        owner: The module or class that contains the function.
        name: The function's name.
        replacement: The function without the guard.
        first_seed: Seed of a walk that fails without the guard.
    """

    owner: ModuleType | type
    name: str
    replacement: Callable[..., Any]
    first_seed: int


def _any_ballot(
    record: LeaseRecord | None, ballot_floor: int, request: AcceptorRequest
) -> BallotRank:
    """Rank each new ballot as higher than the promised one."""
    if record is None or request.ballot != record.promised:
        return BallotRank.HIGHER
    return BallotRank.SAME


def _no_grant(
    record: LeaseRecord | None,
    grant: LeaseGrant | None,
    request: AcceptorRequest,
    now: int,
) -> GrantState:
    """Treat the lease as free although another gateway holds it."""
    return GrantState.FREE


def _no_drift(timings: LeaseTimings) -> int:
    """Return the lease duration without a correction for drift."""
    return timings.lease_duration


_on_reply = LeaseProposer.on_reply


def _count_from_reply(
    proposer: LeaseProposer, name: str, reply: AcceptorReply, now: int
) -> list[ProposerEffect]:
    """Count a lease from the arrival of the replies."""

    def lease_end(quorum_round: QuorumRound, timings: LeaseTimings) -> int:
        return now + timings.holder_duration()

    with mock.patch.object(lease_proposer, "holder_lease_end", lease_end):
        return _on_reply(proposer, name, reply, now)


def _half(acceptors: int) -> int:
    """Return half of the acceptors instead of a majority."""
    return max(acceptors // 2, 1)


def _always_settled(
    replies: Sequence[AcceptorReply], latest: AcceptorReply, acceptors: int
) -> bool:
    """Act on a value that was read without writing it again."""
    return True


def _copies_vote(
    replies: Sequence[AcceptorReply], latest: AcceptorReply, acceptors: int
) -> bool:
    """Count a copied record as a vote."""
    votes = sum(each.version == latest.version for each in replies)
    return latest.version == UNWRITTEN or votes >= majority(acceptors)


def _first_reply(replies: Sequence[AcceptorReply]) -> AcceptorReply:
    """Use the record of the first reply instead of the latest record."""
    return replies[0]


def _no_former_grant(started_at: int, timings: LeaseTimings) -> LeaseGrant:
    """Treat the lease as free after a restart of the acceptor."""
    return LeaseGrant(started_at)


def _always_open(current: QuorumRound, now: int, timings: LeaseTimings) -> bool:
    """Count replies that arrive after the round's timeout."""
    return True


def _any_renewal(current: QuorumRound, reply: AcceptorReply) -> bool:
    """Count a reply to an older renewal for a newer one."""
    request = current.request
    return reply.kind is request.kind and reply.ballot == request.ballot


def _rounds_from_one(used_rounds: int, proposer: LeaseProposer) -> int:
    """Let the next proposer reuse the rounds of a dropped one."""
    return 0


def _same_gateway(ballot: Ballot, other: Ballot) -> bool:
    """Treat a restarted gateway as the same holder."""
    return ballot.gateway == other.gateway


def _same_floor(ballot_floor: int, record: LeaseRecord) -> int:
    """Leave the ballot floor unchanged when a record is removed."""
    return ballot_floor


def _never_stale(known: StateIdentity | None, own: StateIdentity) -> bool:
    """Ignore that another member knows a later state."""
    return False


def _always_confirmed(recovery: AcceptorRecovery, now: int) -> bool:
    """Answer requests from the start, without a confirmation by other members."""
    return True


def _one_copy(acceptors: int) -> int:
    """Require the records of only one other acceptor."""
    return 1


def _no_wait(timings: LeaseTimings) -> int:
    """Catch up at once, without the recovery wait."""
    return 0


def _nothing_merged(
    records: dict[str, LeaseRecord],
    copied: Iterable[tuple[str, LeaseRecord]],
    uptime: int,
) -> None:
    """Serve without the copied records."""


def _no_floor(records: dict[str, LeaseRecord], ballot_floor: int) -> None:
    """Apply the ballot floor only to leases without a record."""


def _promises_left(
    records: dict[str, LeaseRecord],
    copied: Iterable[tuple[str, LeaseRecord]],
    uptime: int,
) -> None:
    """Copy the written values without the promised ballots."""
    for key, new in copied:
        old = records.get(key)
        if old is None or old.version < new.version:
            promised = new.version.ballot
            records[key] = new._replace(promised=promised, written_at=uptime)


_start_accept = LeaseProposer.start_accept


def _always_original(
    proposer: LeaseProposer,
    value: bytes,
    now: int,
    created_at: int,
    is_original: bool,
) -> None:
    """Treat a value that is written again as new."""
    _start_accept(proposer, value, now, created_at, True)


def _created_on_arrival(
    proposer: LeaseProposer,
    value: bytes,
    now: int,
    created_at: int,
    is_original: bool,
) -> None:
    """Date a value from its arrival at the acceptor."""
    _start_accept(proposer, value, now, CREATED_ON_ARRIVAL, is_original)


def _some_age(replies: Sequence[AcceptorReply], value: bytes) -> int | None:
    """Ignore replies that have another value or an unknown age."""
    ages = [
        each.value_age
        for each in replies
        if each.value == value and each.value_age != UNKNOWN
    ]
    return max(ages, default=None)


MUTATIONS: dict[str, Mutation] = {
    "lower ballots are refused": Mutation(acceptor, "rank_ballot", _any_ballot, 11),
    "a lease refuses others": Mutation(acceptor, "grant_state", _no_grant, 0),
    "drift at the acceptor": Mutation(LeaseTimings, "acceptor_duration", _no_drift, 27),
    "drift at the holder": Mutation(LeaseTimings, "holder_duration", _no_drift, 5),
    "leases count from the send": Mutation(
        LeaseProposer, "on_reply", _count_from_reply, 14
    ),
    "a majority": Mutation(quorum_round, "majority", _half, 0),
    "repaired before use": Mutation(lease_proposer, "is_settled", _always_settled, 0),
    "copies are no votes": Mutation(lease_proposer, "is_settled", _copies_vote, 0),
    "the latest write is read": Mutation(
        lease_proposer, "latest_reply", _first_reply, 6
    ),
    "leases of a former incarnation": Mutation(
        acceptor, "grant_after_restart", _no_former_grant, 2
    ),
    "rounds time out": Mutation(lease_proposer, "is_open", _always_open, 14),
    "replies of one renewal": Mutation(
        lease_proposer, "answers_request", _any_renewal, 13
    ),
    "no ballot twice": Mutation(lease_cluster, "next_used_rounds", _rounds_from_one, 0),
    "incarnations differ": Mutation(Ballot, "same_holder", _same_gateway, 4),
    "the floor of removed records": Mutation(
        acceptor, "raise_ballot_floor", _same_floor, 0
    ),
    "a later known identity is believed": Mutation(
        acceptor_recovery, "is_stale", _never_stale, 0
    ),
    "known identities are queried first": Mutation(
        AcceptorRecovery, "is_confirmed", _always_confirmed, 63
    ),
    "enough acceptors are copied": Mutation(
        acceptor_recovery, "copies_needed", _one_copy, 0
    ),
    "the wait before catching up": Mutation(
        LeaseTimings, "recovery_wait", _no_wait, 112
    ),
    "what is copied is merged": Mutation(
        acceptor_recovery, "merge_records", _nothing_merged, 8
    ),
    "what is repaired is not new": Mutation(
        LeaseProposer, "start_accept", _always_original, 49
    ),
    "a value is as old as its creation": Mutation(
        LeaseProposer, "start_accept", _created_on_arrival, 0
    ),
    "all know the age": Mutation(lease_proposer, "oldest_value_age", _some_age, 27),
    "floors hold for copies": Mutation(
        acceptor_recovery, "raise_to_floor", _no_floor, 0
    ),
    "promises are copied too": Mutation(
        acceptor_recovery, "merge_records", _promises_left, 0
    ),
}


@contextmanager
def without_guard(guard: str) -> Iterator[None]:
    """Run with one guard disabled."""
    mutation = MUTATIONS[guard]
    with mock.patch.object(mutation.owner, mutation.name, mutation.replacement):
        yield
