"""A simulated cluster of lease holders and acceptors for the model of leases.

The network loses, duplicates, delays and reorders messages, the clocks drift, and
members restart. A value is the sequence of all writes that it is based on, so that a
lost or forked write is visible in it.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterable

from milletsill.fleet.leases.acceptor_recovery import (
    NO_IDENTITY,
    RecoveryAction,
    SnapshotPage,
)
from milletsill.fleet.leases.lease_proposer import LeaseProposer, next_used_rounds
from milletsill.fleet.leases.messages import (
    CREATED_ON_ARRIVAL,
    AcceptorReply,
    AcceptorRequest,
    ReplyStatus,
)
from milletsill.fleet.leases.proposer_table import ROUND_EFFECTS, ProposerEffect
from milletsill.fleet.leases.timings import LeaseTimings
from milletsill.lab.model_checks.lease_cluster_members import (
    KEY,
    Body,
    IdentifiedReply,
    KnownIdentity,
    KnownIdentityQuery,
    MemberFault,
    Message,
    PageQuery,
    RestartKind,
    SimulatedAcceptor,
    SimulatedHolder,
)
from milletsill.lab.model_checks.lease_history import LeaseHistory, ValueClaim

MAX_IN_FLIGHT = 14  # messages per holder
MAX_EXCHANGE = 8  # messages of one exchange
# 5% drift, so that a missing correction exceeds the margin of counting from the send.
TIMINGS = LeaseTimings(10_000, 2_500, 50)


class LeaseCluster:
    """All members, the messages in flight, and the history of settled values.

    Args:
        acceptors: Number of acceptors.
        holders: Number of holders.
        rates: Rate error of each clock in parts per thousand, acceptors first. The
            default is the worst case within the drift: fast acceptors, slow holders.

    Attributes:
        now: True time in ticks.
        history: The settled values so far, and the first violation.
        undated_holders: Holders of an earlier version, which send no creation times.
    """

    def __init__(
        self, acceptors: int, holders: int, rates: tuple[int, ...] = ()
    ) -> None:
        self.timings = TIMINGS
        self.now = 0
        self.nonce = 100
        self.written = 0
        self.acceptors = {
            f"r{each}": SimulatedAcceptor(f"r{each}", 0) for each in range(acceptors)
        }
        self.holders = {
            f"k{each}": SimulatedHolder(f"k{each}", each + 1, TIMINGS, acceptors)
            for each in range(holders)
        }
        drift = TIMINGS.drift_permille
        worst_rates = [drift] * acceptors + [-drift] * holders
        names = [*self.acceptors, *self.holders]
        self.rates = dict(zip(names, rates or worst_rates, strict=True))
        self.in_flight: list[Message] = []
        self.history = LeaseHistory()
        self.undated_holders = frozenset(list(self.holders)[1::2])
        self.budget = dict.fromkeys(MemberFault, 1)

    def copy(self) -> LeaseCluster:
        """Return a copy that shares no mutable state."""
        made = copy.copy(self)
        made.acceptors = {name: each.copy() for name, each in self.acceptors.items()}
        made.holders = {name: each.copy() for name, each in self.holders.items()}
        made.in_flight = list(self.in_flight)
        made.budget = dict(self.budget)
        made.history = self.history.copy()
        return made

    def key(self) -> Hashable:
        """Return a key that is equal for equal states."""
        return (
            self.now,
            self.history.settled_value,
            tuple(each.key() for each in self.acceptors.values()),
            tuple(each.key() for each in self.holders.values()),
            frozenset(self.in_flight),
            tuple(self.budget.values()),
        )

    def clock(self, name: str) -> int:
        """Return the reading of a member's clock."""
        return self._on_clock(name, self.now)

    def _on_clock(self, name: str, at: int) -> int:
        return at * (1000 + self.rates[name]) // 1000

    # Checks.

    def check_holders(self) -> None:
        """Check that at most one holder holds the lease."""
        holding = [
            name
            for name, each in self.holders.items()
            if each.proposer.holds(self.clock(name))
        ]
        if len(holding) > 1:
            self.history.report(f"several holders hold the lease: {holding}")

    def _check_value(self, name: str, is_read: bool) -> None:
        proposer = self.holders[name].proposer
        claim = ValueClaim(
            name,
            proposer.value,
            proposer.value_since,
            self.rates[name],
            is_read,
            proposer.holds(self.clock(name)),
        )
        self.history.check_value(claim, self.now)

    # Events of holders.

    def _apply(self, name: str, effects: Iterable[ProposerEffect]) -> None:
        proposer = self.holders[name].proposer
        for effect in effects:
            if effect in ROUND_EFFECTS:
                if proposer.current_round is not None:
                    self._send_to_all(name, proposer.current_round.request)
            elif effect in (ProposerEffect.LOSE, ProposerEffect.RELEASE):
                if proposer.release_request is not None:
                    self._send_to_all(name, proposer.release_request)
            elif effect in (ProposerEffect.HOLD, ProposerEffect.WRITTEN):
                self._check_value(name, effect is ProposerEffect.HOLD)
        self.check_holders()

    def _send_to_all(self, name: str, request: AcceptorRequest) -> None:
        for each in self.acceptors:
            self.send(each, name, request)

    def acquire(self, name: str) -> None:
        """Acquire or renew the lease for a holder."""
        self._apply(name, self.holders[name].proposer.acquire(self.clock(name)))

    def write(self, name: str) -> None:
        """Append a write to the value that a holder knows."""
        holder = self.holders[name]
        self.written += 1
        value = holder.value_in_progress() + self.written.to_bytes(2, "big")
        if name not in self.undated_holders:
            self.history.created_at[value] = self.now
        self._apply(name, holder.proposer.write(value, self.clock(name)))

    def release(self, name: str) -> None:
        """Release the lease of a holder."""
        self._apply(name, self.holders[name].proposer.release(self.clock(name)))

    def resend(self, name: str) -> None:
        """Send a holder's request again, as `RequestSender` does periodically."""
        current = self.holders[name].proposer.current_round
        if current is None:
            return
        for each in current.without_grant(self.acceptors):
            self.send(each, name, current.request)

    def drop_proposer(self, name: str) -> None:
        """Replace a holder's proposer, if it is unused, by a new one."""
        old = self.holders[name].proposer
        if old.current_round is None and not old.holds(self.clock(name)):
            self.holders[name].proposer = LeaseProposer(
                KEY,
                old.gateway,
                old.nonce,
                self.timings,
                len(self.acceptors),
                next_used_rounds(0, old),
            )

    def restart_holder(self, name: str) -> None:
        """Restart a holder's gateway."""
        self.nonce += 1
        gateway = self.holders[name].proposer.gateway
        self.holders[name] = SimulatedHolder(
            gateway, self.nonce, self.timings, len(self.acceptors)
        )

    # Events of acceptors.

    def _on_request(
        self, member: SimulatedAcceptor, sender: str, request: AcceptorRequest
    ) -> None:
        now = self.clock(member.name)
        request = self._dated(request, sender, member.name)
        if member.is_serving():
            reply = member.handle(request, now, self.timings)
        else:
            reply = AcceptorReply.to_request(request, ReplyStatus.UNAVAILABLE, 1)
        if reply is not None:
            self.send(sender, member.name, IdentifiedReply(reply, member.identity))

    def _dated(
        self, request: AcceptorRequest, sender: str, name: str
    ) -> AcceptorRequest:
        """Convert the creation time to the acceptor's clock, rounded down."""
        if sender in self.undated_holders:
            return request._replace(created_at=CREATED_ON_ARRIVAL)
        if request.created_at == CREATED_ON_ARRIVAL:
            return request
        true_time = request.created_at * 1000 // (1000 + self.rates[sender])
        return request._replace(created_at=self._on_clock(name, true_time))

    def _act(self, member: SimulatedAcceptor, action: RecoveryAction) -> None:
        recovery = member.recovery
        if recovery is None:
            return
        match action:
            case RecoveryAction.WAIT:
                member.is_incomplete = True
            case RecoveryAction.CATCH_UP:
                for other in recovery.others:
                    self.send(other, member.name, PageQuery())
            case RecoveryAction.ADOPT:
                self.nonce += 1
                member.adopt(self.nonce, self.clock(member.name))
            case RecoveryAction.SERVE:
                member.recovery = None

    def restart_acceptor(self, name: str, kind: RestartKind) -> None:
        """Restart an acceptor.

        Its state is rolled back or lost only if every other acceptor knows a later
        identity of it, which recovery relies on.
        """
        member = self.acceptors[name]
        others = [each for each in self.acceptors if each != name]
        known_by = [self.acceptors[each].known for each in others]
        if kind is RestartKind.ROLLED_BACK:
            known_identities = [known.get(name, NO_IDENTITY) for known in known_by]
            if not member.roll_back(min(known_identities, default=member.identity)):
                return
        elif kind is RestartKind.LOST:
            if any(name not in known for known in known_by):
                return
            self.nonce += 1
            member.lose_state(self.nonce)
        member.restart(others, self.timings, self.clock(name))
        self.query_known_identity(name)

    def query_known_identity(self, name: str) -> None:
        """Query all other members for the identity that they know of an acceptor."""
        for each in [*self.acceptors, *self.holders]:
            if each != name:
                self.send(each, name, KnownIdentityQuery())

    def announce(self, name: str) -> None:
        """Send an acceptor's identity to the other acceptors."""
        for each in self.acceptors:
            if each != name:
                self.send(
                    each, name, KnownIdentity(name, self.acceptors[name].identity)
                )

    def remove_idle(self, name: str) -> None:
        """Remove an acceptor's record if its lease is idle."""
        idle_after = self.history.idle_after
        if idle_after:
            self.acceptors[name].remove_idle(self.clock(name), idle_after)

    # The network.

    def send(self, to: str, sender: str, body: Body) -> None:
        """Add a message to those in flight."""
        message = Message(to, sender, body)
        if message not in self.in_flight:
            self.in_flight.append(message)
            del self.in_flight[: -MAX_IN_FLIGHT * len(self.holders)]

    def deliver(self, index: int, stays: bool) -> None:
        """Deliver a message; if it `stays` in flight, it may arrive again."""
        message = self.in_flight[index]
        if not stays:
            del self.in_flight[index]
        if message.to in self.holders:
            self._deliver_to_holder(message)
        else:
            self._deliver_to_acceptor(message)
        self.check_holders()

    def _deliver_to_holder(self, message: Message) -> None:
        name = message.to
        sender = message.sender
        holder = self.holders[name]
        body = message.body
        if isinstance(body, KnownIdentityQuery):
            self.send(sender, name, KnownIdentity(sender, holder.known.get(sender)))
        elif isinstance(body, IdentifiedReply):
            known = holder.known.get(sender, body.identity)
            holder.known[sender] = max(known, body.identity)
            now = self.clock(name)
            self._apply(name, holder.proposer.on_reply(sender, body.reply, now))

    def _deliver_to_acceptor(self, message: Message) -> None:
        member = self.acceptors[message.to]
        sender = message.sender
        body = message.body
        if isinstance(body, AcceptorRequest):
            self._on_request(member, sender, body)
        elif isinstance(body, KnownIdentityQuery):
            self.send(
                sender, member.name, KnownIdentity(sender, member.known.get(sender))
            )
        elif isinstance(body, PageQuery):
            self._on_page_query(member, sender)
        elif isinstance(body, KnownIdentity):
            self._on_known_identity(member, sender, body)
        elif isinstance(body, SnapshotPage) and member.recovery is not None:
            self._act(member, member.recovery.on_page(sender, "", body, 0))

    def _on_page_query(self, member: SimulatedAcceptor, sender: str) -> None:
        if not member.is_serving():
            return
        records = ((KEY, member.record),) if member.record is not None else ()
        page = SnapshotPage(records, member.ballot_floor, True)
        self.send(sender, member.name, page)

    def _on_known_identity(
        self, member: SimulatedAcceptor, sender: str, message: KnownIdentity
    ) -> None:
        if message.acceptor == sender and message.identity is not None:
            known = member.known.get(sender, message.identity)
            member.known[sender] = max(known, message.identity)
        elif member.recovery is not None:
            now = self.clock(member.name)
            action = member.recovery.on_known_identity(sender, message.identity, now)
            self._act(member, action)

    def exchange(
        self, name: str, reach: Iterable[str], with_replies: bool = True
    ) -> None:
        """Deliver a holder's messages to and from some acceptors until none is left."""
        reached = tuple(reach)
        for _ in range(MAX_EXCHANGE):
            indices = [
                index
                for index, each in enumerate(self.in_flight)
                if (each.sender == name and each.to in reached)
                or (with_replies and each.to == name and each.sender in reached)
            ]
            if not indices:
                break
            self.deliver(indices[0], False)

    def settle(self) -> None:
        """Deliver all recovery messages of acceptors."""
        kinds = (KnownIdentityQuery, KnownIdentity, PageQuery, SnapshotPage)
        for _ in range(40):
            indices = [
                index
                for index, message in enumerate(self.in_flight)
                if isinstance(message.body, kinds)
            ]
            if not indices:
                return
            self.deliver(indices[0], False)

    # Time.

    def time_until_free(self, name: str) -> int:
        """Return the time until an acceptor grants the lease to other holders."""
        grant = self.acceptors[name].grant
        until = 0 if grant is None else grant.until
        true_time = -(-until * 1000 // (1000 + self.rates[name]))
        return max(true_time - self.now, 0)

    def pass_time(self, duration: int) -> None:
        """Advance true time and run the timers of all members."""
        self.now += duration
        self.check_holders()
        for name, each in self.holders.items():
            self._apply(name, each.proposer.on_timer(self.clock(name)))
        for member in self.acceptors.values():
            if member.recovery is not None:
                now = self.clock(member.name)
                self._act(member, member.recovery.on_timer(now))
