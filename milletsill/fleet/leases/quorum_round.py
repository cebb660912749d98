"""One phase of requests to all acceptors, and what the replies come to. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from milletsill.fleet.leases.ballot import UNWRITTEN, majority
from milletsill.fleet.leases.messages import (
    UNKNOWN,
    AcceptorReply,
    AcceptorRequest,
    ReplyStatus,
)
from milletsill.fleet.leases.timings import LeaseTimings

_REFUSALS_BY_WEIGHT = (
    ReplyStatus.LEASE_HELD,
    ReplyStatus.BALLOT_TOO_LOW,
    ReplyStatus.UNAVAILABLE,
)


class QuorumRound:
    """One request to all acceptors, and the latest reply of each.

    Attributes:
        request: What is asked.
        sent_at: When it was sent first, in ticks.
        granted: Replies that grant it, by acceptor.
        refused: Other replies, by acceptor; none of one that has granted it.
    """

    __slots__ = ("request", "sent_at", "granted", "refused")

    def __init__(self, request: AcceptorRequest, sent_at: int) -> None:
        self.request = request
        self.sent_at = sent_at
        self.granted: dict[str, AcceptorReply] = {}
        self.refused: dict[str, AcceptorReply] = {}

    def add(self, acceptor: str, reply: AcceptorReply) -> None:
        """Count a reply that answers this round's request."""
        if reply.status is ReplyStatus.GRANTED:
            self.granted[acceptor] = reply
            self.refused.pop(acceptor, None)
        else:
            self.refused[acceptor] = reply

    def without_grant(self, acceptors: Iterable[str]) -> list[str]:
        """Return those of the acceptors that have not granted the request."""
        return [each for each in acceptors if each not in self.granted]

    def has_quorum(self, acceptors: int) -> bool:
        """Whether a majority has granted the request."""
        return len(self.granted) >= majority(acceptors)

    def cannot_reach_quorum(self, acceptors: int) -> bool:
        """Whether too many acceptors have refused for a majority to grant it."""
        return len(self.refused) > acceptors - majority(acceptors)

    def main_refusal(self) -> AcceptorReply | None:
        """Return the reply that explains best why the round failed, if any."""
        for status in _REFUSALS_BY_WEIGHT:
            for reply in self.refused.values():
                if reply.status is status:
                    return reply
        return None


def answers_request(quorum_round: QuorumRound, reply: AcceptorReply) -> bool:
    """Whether a reply is to this very request.

    Guards, with the index, against a late reply to an older renewal of the ballot,
    which would pass for a new grant.
    """
    request = quorum_round.request
    return (
        reply.kind is request.kind
        and reply.ballot == request.ballot
        and reply.number == request.number
    )


def is_open(quorum_round: QuorumRound, now: int, timings: LeaseTimings) -> bool:
    """Whether a reply may still count.

    Guards against one of an acceptor that has since lost its state: it recovers only
    after all requests have timed out that it may have answered.
    """
    return now < quorum_round.sent_at + timings.call_timeout


def latest_reply(replies: Sequence[AcceptorReply]) -> AcceptorReply:
    """Return the reply with the latest write."""
    return max(replies, key=lambda each: each.version)


def is_settled(
    replies: Sequence[AcceptorReply], latest: AcceptorReply, acceptors: int
) -> bool:
    """Whether a majority has accepted the latest write, or there is none.

    Where not, the write may stand nowhere else, and has to be written again before
    anybody acts on it. A copy is no vote: its acceptor may have promised a later
    ballot than that of the write.
    """
    if latest.version == UNWRITTEN:
        return True
    votes = sum(
        each.version == latest.version and not each.is_copied for each in replies
    )
    return votes >= majority(acceptors)


def oldest_value_age(replies: Sequence[AcceptorReply], value: bytes) -> int | None:
    """Return the most that the value's age can be, in ticks; None for unknown.

    One acceptor of the majority that was read took the value before anybody acted on
    it; the others may have taken it much later. Where the value was new in the latest
    write, that acceptor has this very write. Where the value was written again, that
    acceptor may have gone on to another value meanwhile, so all must have it.
    """
    latest = latest_reply(replies)
    witnesses = [each for each in replies if each.version == latest.version]
    if not any(each.is_original for each in witnesses):
        witnesses = list(replies)
    if any(each.value_age == UNKNOWN or each.value != value for each in witnesses):
        return None
    return max(each.value_age for each in witnesses)


def holder_lease_end(quorum_round: QuorumRound, timings: LeaseTimings) -> int:
    """Return when a lease ends that this round was granted.

    It counts from the send, not from the replies: acceptors count from the receipt.
    """
    return quorum_round.sent_at + timings.holder_duration()
