"""One request to all acceptors, and the result of the replies. No I/O, no clock."""

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

_REFUSALS_BY_PRIORITY = (
    ReplyStatus.LEASE_HELD,
    ReplyStatus.BALLOT_TOO_LOW,
    ReplyStatus.UNAVAILABLE,
)


class QuorumRound:
    """One request to all acceptors, and the latest reply of each.

    Attributes:
        request: The request.
        sent_at: When it was first sent, in ticks.
        granted: Replies that grant it, by acceptor.
        refused: Replies that refuse it, by acceptor; an acceptor that has granted it
            has no entry.
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
        """Return the acceptors that have not granted the request."""
        return [each for each in acceptors if each not in self.granted]

    def has_quorum(self, acceptors: int) -> bool:
        """Whether a majority has granted the request."""
        return len(self.granted) >= majority(acceptors)

    def cannot_reach_quorum(self, acceptors: int) -> bool:
        """Whether too many acceptors have refused for a majority to grant it."""
        return len(self.refused) > acceptors - majority(acceptors)

    def main_refusal(self) -> AcceptorReply | None:
        """Return the most informative refusal, if any."""
        for status in _REFUSALS_BY_PRIORITY:
            for reply in self.refused.values():
                if reply.status is status:
                    return reply
        return None


def answers_request(quorum_round: QuorumRound, reply: AcceptorReply) -> bool:
    """Whether a reply belongs to the request of this round.

    The comparison of the numbers guards against a late reply to an older renewal under
    the same ballot, which would count as a new grant.
    """
    request = quorum_round.request
    return (
        reply.kind is request.kind
        and reply.ballot == request.ballot
        and reply.number == request.number
    )


def is_open(quorum_round: QuorumRound, now: int, timings: LeaseTimings) -> bool:
    """Whether replies to the round still count.

    Guards against a reply of an acceptor that has since lost its state: such an
    acceptor answers again only after every request that it may have replied to has
    timed out.
    """
    return now < quorum_round.sent_at + timings.call_timeout


def latest_reply(replies: Sequence[AcceptorReply]) -> AcceptorReply:
    """Return the reply with the latest write."""
    return max(replies, key=lambda each: each.version)


def is_settled(
    replies: Sequence[AcceptorReply], latest: AcceptorReply, acceptors: int
) -> bool:
    """Whether a majority has accepted the latest write, or nothing was written.

    Otherwise the other acceptors may lack the write, so it has to be written again
    before anyone acts on it. A copied record is not a vote: its acceptor may have
    promised a higher ballot than the ballot of the write.
    """
    if latest.version == UNWRITTEN:
        return True
    votes = sum(
        each.version == latest.version and not each.is_copied for each in replies
    )
    return votes >= majority(acceptors)


def oldest_value_age(replies: Sequence[AcceptorReply], value: bytes) -> int | None:
    """Return the greatest possible age of the value, in ticks; None if unknown.

    At least one acceptor of the majority that was read accepted the value before
    anyone acted on it; the others may have accepted it much later. If the value was
    new in the latest write, that acceptor has the latest write. If the value was
    written again, that acceptor may have accepted another value meanwhile, so all
    replies must have the value.
    """
    latest = latest_reply(replies)
    considered = [each for each in replies if each.version == latest.version]
    if not any(each.is_original for each in considered):
        considered = list(replies)
    if any(each.value_age == UNKNOWN or each.value != value for each in considered):
        return None
    return max(each.value_age for each in considered)


def holder_lease_end(quorum_round: QuorumRound, timings: LeaseTimings) -> int:
    """Return when the lease that this round granted ends at its holder.

    The holder counts from the send, not from the replies, because the acceptors count
    from the receipt of the request.
    """
    return quorum_round.sent_at + timings.holder_duration()
