"""The guards of leases, one out at a time: the model must find each of them missing.

Each has the seed of `lease_walk.walk`, with three acceptors, three holders and 600
steps, at which it was found, so that a test is short. When the model has changed,
`python -m milletsill.lab.model_checks.lease_model` prints the new ones.
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
    """A function that is replaced by one without its guard.

    Attributes:
        owner: The module or class that has the function.
        name: The function's name there.
        replacement: What takes its place.
        first_seed: The seed at which a walk finds it missing.
    """

    owner: ModuleType | type
    name: str
    replacement: Callable[..., Any]
    first_seed: int


def _any_ballot(
    record: LeaseRecord | None, ballot_floor: int, request: AcceptorRequest
) -> BallotRank:
    """An acceptor takes each ballot as higher than what it promised."""
    if record is None or request.ballot != record.promised:
        return BallotRank.HIGHER
    return BallotRank.SAME


def _no_grant(
    record: LeaseRecord | None,
    grant: LeaseGrant | None,
    request: AcceptorRequest,
    now: int,
) -> GrantState:
    """An acceptor refuses nobody for another's lease."""
    return GrantState.FREE


def _no_drift(timings: LeaseTimings) -> int:
    """A plain lease: no drift allowed for."""
    return timings.lease_duration


_on_reply = LeaseProposer.on_reply


def _count_from_reply(
    proposer: LeaseProposer, name: str, reply: AcceptorReply, now: int
) -> list[ProposerEffect]:
    """A lease counts from when the replies came."""

    def lease_end(quorum_round: QuorumRound, timings: LeaseTimings) -> int:
        return now + timings.holder_duration()

    with mock.patch.object(lease_proposer, "holder_lease_end", lease_end):
        return _on_reply(proposer, name, reply, now)


def _half(acceptors: int) -> int:
    """Half of the acceptors do."""
    return max(acceptors // 2, 1)


def _always_settled(
    replies: Sequence[AcceptorReply], latest: AcceptorReply, acceptors: int
) -> bool:
    """What was read is acted on without being written again."""
    return True


def _copies_vote(
    replies: Sequence[AcceptorReply], latest: AcceptorReply, acceptors: int
) -> bool:
    """A copy counts as a vote."""
    votes = sum(each.version == latest.version for each in replies)
    return latest.version == UNWRITTEN or votes >= majority(acceptors)


def _first_reply(replies: Sequence[AcceptorReply]) -> AcceptorReply:
    """The first reply's record is taken, not the latest."""
    return replies[0]


def _no_former_grant(started_at: int, timings: LeaseTimings) -> LeaseGrant:
    """An acceptor that has started again knows of no lease."""
    return LeaseGrant(started_at)


def _always_open(current: QuorumRound, now: int, timings: LeaseTimings) -> bool:
    """Replies count however late."""
    return True


def _any_renewal(current: QuorumRound, reply: AcceptorReply) -> bool:
    """A reply to an older renewal counts for a newer one."""
    request = current.request
    return reply.kind is request.kind and reply.ballot == request.ballot


def _rounds_from_one(used_rounds: int, proposer: LeaseProposer) -> int:
    """A proposer that was dropped leaves its rounds to the next."""
    return 0


def _same_gateway(ballot: Ballot, other: Ballot) -> bool:
    """A gateway's new start passes for its old one."""
    return ballot.gateway == other.gateway


def _same_floor(ballot_floor: int, record: LeaseRecord) -> int:
    """What was removed refuses nothing."""
    return ballot_floor


def _never_stale(known: StateIdentity | None, own: StateIdentity) -> bool:
    """No witness of a later state is believed."""
    return False


def _always_confirmed(recovery: AcceptorRecovery, now: int) -> bool:
    """An acceptor answers from its start, without witnesses."""
    return True


def _one_copy(acceptors: int) -> int:
    """The records of one other acceptor are enough."""
    return 1


def _no_wait(timings: LeaseTimings) -> int:
    """An acceptor that lacks something copies at once."""
    return 0


def _nothing_merged(
    records: dict[str, LeaseRecord],
    copied: Iterable[tuple[str, LeaseRecord]],
    uptime: int,
) -> None:
    """An acceptor that lacks something goes on with what it has."""


def _no_floor(records: dict[str, LeaseRecord], ballot_floor: int) -> None:
    """A floor holds only for leases without a record."""


def _promises_left(
    records: dict[str, LeaseRecord],
    copied: Iterable[tuple[str, LeaseRecord]],
    uptime: int,
) -> None:
    """What was written is copied, and not what was promised."""
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
    """What is written again is as young as if it were new."""
    _start_accept(proposer, value, now, created_at, True)


def _created_on_arrival(
    proposer: LeaseProposer,
    value: bytes,
    now: int,
    created_at: int,
    is_original: bool,
) -> None:
    """Times within a value count from when it arrived."""
    _start_accept(proposer, value, now, CREATED_ON_ARRIVAL, is_original)


def _some_age(replies: Sequence[AcceptorReply], value: bytes) -> int | None:
    """Those that have the value and know since when are enough."""
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
    "witnesses of later states": Mutation(
        acceptor_recovery, "is_stale", _never_stale, 0
    ),
    "witnesses are asked first": Mutation(
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
    """The decisions with one guard out."""
    mutation = MUTATIONS[guard]
    with mock.patch.object(mutation.owner, mutation.name, mutation.replacement):
        yield
