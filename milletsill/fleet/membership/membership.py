"""The membership protocol of one gateway: SWIM with Lifeguard.

The caller passes in the time and the received messages, and applies the effects that
the methods return. It calls `tick` every TICK_INTERVAL; a late call shows that this
gateway itself stalled. There is no I/O and no clock; times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil, log2
from random import Random

from milletsill.fleet.frames.messages import FleetMessage, FrameType, MemberUpdate
from milletsill.fleet.membership.anti_entropy import AntiEntropy
from milletsill.fleet.membership.config import TICK_INTERVAL, MembershipConfig
from milletsill.fleet.membership.effects import (
    Effect,
    OperatorEvent,
    OperatorEventKind,
)
from milletsill.fleet.membership.failure_detector import FailureDetector
from milletsill.fleet.membership.local_health import LocalHealth
from milletsill.fleet.membership.local_member import LocalIdentity
from milletsill.fleet.membership.member_table import MemberEntry
from milletsill.fleet.membership.membership_state import MembershipState
from milletsill.fleet.membership.message_sender import MessageSender
from milletsill.fleet.membership.name_claims import LocalStatus
from milletsill.fleet.membership.probe_relay import ProbeRelay
from milletsill.fleet.membership.update_rules import LIVENESS_ACTIONS, UpdateAction
from milletsill.fleet.transport import PRESENT_STATES

# Tenths of a millisecond.
STALL_THRESHOLD = 1000  # a tick that is later than this counts as a stall
GOSSIP_INTERVAL = 1000  # between rounds of gossip frames, while updates are queued
ABSENT_EXPIRY_INTERVAL = 100_000  # between removals of expired absent members

GOSSIP_FANOUT = 3  # members that are sent a gossip frame in each gossip interval
# Multiplies the logarithm of the number of members; the product is the number of
# members that a leaving gateway informs directly.
LEAVE_FANOUT_MULTIPLIER = 4


class Membership:
    """The membership of one gateway.

    Args:
        identity: The identity of this gateway's start.
        config: Intervals and limits.
        seeds: Addresses of some other gateways.
        random: The random number generator of this gateway.
        now: The current time.

    Attributes:
        state: The members that this gateway knows.
        health: The local health of this gateway.
        seeds: The seeds without this gateway's own address.
    """

    def __init__(
        self,
        identity: LocalIdentity,
        config: MembershipConfig,
        seeds: Sequence[str],
        random: Random,
        now: int,
    ) -> None:
        self.name = identity.name
        self.config = config
        self.seeds = tuple(each for each in seeds if each != identity.address)
        self.state = MembershipState(identity, config, now)
        self.health = LocalHealth()
        self._random = random
        self._sender = MessageSender(self.state)
        self.relay = ProbeRelay(self._sender)
        self._detector = FailureDetector(self.state, self._sender, self.health, random)
        self._anti_entropy = AntiEntropy(
            self.state, self._sender, self.seeds, random, now
        )
        self._last_tick = now
        self._next_probe = now + int(random.random() * config.probe_interval)
        self._next_gossip = now
        self._next_absent_expiry = now + ABSENT_EXPIRY_INTERVAL

    @property
    def is_isolated(self) -> bool:
        """Whether most of this gateway's probes fail."""
        return self.health.is_isolated

    def tick(self, now: int) -> list[Effect]:
        """Run the periodic work that is due."""
        late = now - self._last_tick - TICK_INTERVAL
        self._last_tick = now
        if late > STALL_THRESHOLD:
            self.on_stall(now, late)
        if self.state.local.status is not LocalStatus.LEAVING:
            self._detect(now)
        if now >= self._next_gossip and self.state.gossip:
            self._next_gossip = now + GOSSIP_INTERVAL
            self._gossip_to(GOSSIP_FANOUT)
        if now >= self._next_absent_expiry:
            self._next_absent_expiry = now + ABSENT_EXPIRY_INTERVAL
            self.state.table.remove_absent(now - self.config.absent_retention)
        return self.state.take_effects()

    def on_stall(self, now: int, stalled_for: int) -> None:
        """Handle a stall of this gateway.

        Acks that it missed during the stall are not counted against other members.
        """
        self.health.on_stall()
        self.state.effects.append(
            OperatorEvent(OperatorEventKind.STALLED, duration=stalled_for)
        )
        self.state.last_stall = now
        self._detector.on_local_stall(now, stalled_for)

    def on_message(self, now: int, message: FleetMessage) -> list[Effect]:
        """Handle a message from a gateway of this fleet."""
        sender = message.sender
        local = self.state.local
        if sender.name == self.name and sender.nonce == local.nonce:
            return []
        self._send_earlier_start(now, sender)
        self._merge(now, sender)
        if sender.name == self.name and not local.is_displaced:
            local.on_duplicate_name_frame(now, sender)
        entry = self.state.table.get(sender.name)
        if entry is not None and entry.nonce == sender.nonce:
            self._on_liveness_evidence(now, entry)
        gossip = message.type is not FrameType.FULL_STATE
        actions = [self._merge(now, each, gossip) for each in message.updates]
        changed = any(each is not UpdateAction.IGNORED for each in actions)
        self._on_frame(now, message, entry, changed)
        return self.state.take_effects()

    def leave(self, now: int) -> list[Effect]:
        """Leave the fleet and inform many members directly.

        They are enough to spread the update even if the process ends immediately.
        """
        self.state.local.leave(now)
        self._detector.stop()
        logarithm = ceil(log2(len(self.state.table.ring) + 2))
        self._gossip_to(LEAVE_FANOUT_MULTIPLIER * logarithm)
        return self.state.take_effects()

    def _detect(self, now: int) -> None:
        self._detector.check(now)
        if now >= self._next_probe:
            next_probe = self._next_probe + self.config.probe_interval
            self._next_probe = max(next_probe, now + 1)
            self._detector.probe_next(now)
        if now >= self._anti_entropy.next_exchange:
            self._anti_entropy.exchange(now)

    def _gossip_to(self, count: int) -> None:
        table = self.state.table
        for name in table.sample(count, self._random.randrange, self.name):
            self._sender.gossip(name)

    def _send_earlier_start(self, now: int, sender: MemberUpdate) -> None:
        """Send a new start of a member the update about its earlier start.

        This is done if both starts have the same incarnation: the member then lost its
        stored state or restored a copy, and this gateway may be the only one that still
        knows the earlier start.
        """
        known = self.state.table.get(sender.name)
        if known is None or known is self.state.local.entry:
            return
        same_incarnation = known.incarnation == sender.incarnation
        if same_incarnation and known.nonce < sender.nonce:
            self._sender.gossip_over_stream(sender.address, known.to_update(now))

    def _merge(
        self, now: int, update: MemberUpdate, gossip: bool = True
    ) -> UpdateAction:
        """Merge an update and inform the member's probe and the local health."""
        action = self.state.merge(now, update, gossip)
        if action in LIVENESS_ACTIONS:
            self._detector.on_liveness_evidence(now, update.name)
        elif action is UpdateAction.VERIFY_GONE:
            self._detector.verify_gone(now, update.name)
        elif action is UpdateAction.SELF_REFUTED:
            self.health.on_suspected()
        return action

    def _on_liveness_evidence(self, now: int, entry: MemberEntry | None) -> None:
        if entry is not None and entry.state in PRESENT_STATES:
            self._detector.on_liveness_evidence(now, entry.name)

    def _on_frame(
        self,
        now: int,
        message: FleetMessage,
        sender: MemberEntry | None,
        changed: bool,
    ) -> None:
        """Handle a message by its type; its updates have already been merged."""
        address = message.sender.address
        match message.type:
            case FrameType.PROBE if message.target == self.name:
                self._sender.ack(address, sender, message.probe_number)
            case FrameType.ACK:
                self._on_ack(now, message)
            case FrameType.INDIRECT_PROBE if message.target_address:
                self.relay.on_request(message)
            case FrameType.DIGEST:
                self._anti_entropy.on_digest(now, message)
            case FrameType.FULL_STATE:
                self._anti_entropy.on_full_state(now, message, changed)
            case FrameType.DUPLICATE_NAME if message.sender.name == self.name:
                self.state.local.report_duplicate(now, address)

    def _on_ack(self, now: int, message: FleetMessage) -> None:
        """Handle an ack; the target's own ack of a relayed probe is passed on."""
        if message.target == message.sender.name:
            self.relay.on_ack(message)
        else:
            self._on_liveness_evidence(now, self.state.table.get(message.target))
