"""One gateway among the others: SWIM with Lifeguard. Time and messages in, effects out.

`tick` is called every TICK_INTERVAL; a call that comes late is how a gateway knows that
it stalled itself. No I/O, no clock; times are tenths of a millisecond.
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
from milletsill.fleet.membership.update_rules import SIGNS_OF_LIFE, UpdateAction
from milletsill.fleet.transport import PRESENT_STATES

# Tenths of a millisecond.
STALL_THRESHOLD = 1000  # a tick that comes later than this: this gateway stalled
GOSSIP_INTERVAL = 1000  # while there are updates to pass on
FORGET_INTERVAL = 100_000  # between looks for members that are long absent

GOSSIP_FANOUT = 3  # members that are sent updates alone, each gossip interval
# Of the logarithm of the fleet's size: so many members hear of a leave at once.
LEAVE_FANOUT_MULTIPLIER = 4


class Membership:
    """The membership of one gateway.

    Args:
        identity: Who this gateway is.
        config: Intervals and bounds.
        seeds: Addresses of some others.
        random: This gateway's own.
        now: The time.

    Attributes:
        state: What it holds of the members.
        health: Its local health.
        seeds: The seeds, without its own address.
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
        self._next_forget = now + FORGET_INTERVAL

    @property
    def is_isolated(self) -> bool:
        """Whether most of this gateway's probes fail."""
        return self.health.is_isolated

    def tick(self, now: int) -> list[Effect]:
        """Do what is due."""
        late = now - self._last_tick - TICK_INTERVAL
        self._last_tick = now
        if late > STALL_THRESHOLD:
            self.on_stall(now, late)
        if self.state.local.status is not LocalStatus.LEAVING:
            self._detect(now)
        if now >= self._next_gossip and self.state.gossip:
            self._next_gossip = now + GOSSIP_INTERVAL
            self._gossip_to(GOSSIP_FANOUT)
        if now >= self._next_forget:
            self._next_forget = now + FORGET_INTERVAL
            self.state.table.forget_absent(now - self.config.remember_absent)
        return self.state.take_effects()

    def on_stall(self, now: int, stalled_for: int) -> None:
        """This gateway stalled: what it missed says nothing of the others."""
        self.health.on_stall()
        self.state.effects.append(
            OperatorEvent(OperatorEventKind.STALLED, duration=stalled_for)
        )
        self.state.last_stall = now
        self._detector.on_local_stall(now, stalled_for)

    def on_message(self, now: int, message: FleetMessage) -> list[Effect]:
        """Take in one frame of this fleet."""
        sender = message.sender
        local = self.state.local
        if sender.name == self.name and sender.nonce == local.nonce:
            return []
        self._inform_new_start(now, sender)
        self._merge(now, sender)
        if sender.name == self.name and not local.is_displaced:
            local.on_namesake_frame(now, sender)
        entry = self.state.table.get(sender.name)
        if entry is not None and entry.nonce == sender.nonce:
            self._on_sign_of_life(now, entry)
        gossip = message.type is not FrameType.FULL_STATE
        actions = [self._merge(now, each, gossip) for each in message.updates]
        changed = any(each is not UpdateAction.IGNORED for each in actions)
        self._on_frame(now, message, entry, changed)
        return self.state.take_effects()

    def leave(self, now: int) -> list[Effect]:
        """Tell so many members that it does not matter if the process ends now."""
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

    def _inform_new_start(self, now: int, sender: MemberUpdate) -> None:
        """Tell a new start with the incarnation of an earlier one of the earlier.

        Its state is lost or a copy, and this gateway alone may still know the earlier.
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
        """Take in an update, and what it means for the member's probe."""
        action = self.state.merge(now, update, gossip)
        if action in SIGNS_OF_LIFE:
            self._detector.on_sign_of_life(now, update.name)
        elif action is UpdateAction.VERIFY_DEATH:
            self._detector.verify_death(now, update.name)
        elif action is UpdateAction.SELF_REFUTED:
            self.health.on_suspected()
        return action

    def _on_sign_of_life(self, now: int, entry: MemberEntry | None) -> None:
        if entry is not None and entry.state in PRESENT_STATES:
            self._detector.on_sign_of_life(now, entry.name)

    def _on_frame(
        self,
        now: int,
        message: FleetMessage,
        sender: MemberEntry | None,
        changed: bool,
    ) -> None:
        """Do what a frame's type asks for; its updates are merged already."""
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
        """The target of a probe lives; a relayed probe's ack is passed on."""
        if message.target == message.sender.name:
            self.relay.on_ack(message)
        else:
            self._on_sign_of_life(now, self.state.table.get(message.target))
