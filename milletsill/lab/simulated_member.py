"""The fleet membership of one gateway on a simulated network.

Times are ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Protocol

from milletsill.fleet.frames.codec import MAX_BODY
from milletsill.fleet.frames.messages import FleetMessage, FrameType
from milletsill.fleet.membership.config import TICK_INTERVAL, MembershipConfig
from milletsill.fleet.membership.effects import (
    Effect,
    OperatorEvent,
    SendMessage,
    ViewChanged,
)
from milletsill.fleet.membership.local_member import LocalIdentity
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.transport import (
    MemberChange,
    MessageHandler,
    MessageKind,
    View,
    ViewHandler,
)

SOCKET_BUFFER = 400  # datagrams that the socket of a stalled process holds


class MemberNetwork(Protocol):
    """The clock and the network that a simulated member uses."""

    now: int
    random: Random
    config: MembershipConfig

    def call_at(self, when: int, call: Callable[..., object], *values: Any) -> None:
        """Schedule a call at a simulated time."""

    def send(self, sender: SimulatedMember, sent: SendMessage) -> None:
        """Carry a message unless it is lost."""

    def on_view_changed(self, observer: SimulatedMember, effect: ViewChanged) -> None:
        """Handle a change in a member's view."""


class SimulatedMember:
    """One simulated gateway; a `FleetTransport` for the services above membership.

    Attributes:
        membership: The membership state machine.
        is_up: The process runs.
        stalled_until: The process is stalled until this time.
        view_version: Grows with each change of the view.
        event_counts: Counts of events for the operator, by name.
    """

    def __init__(
        self,
        network: MemberNetwork,
        name: str,
        incarnation: int,
        seeds: Sequence[str],
    ) -> None:
        self.network = network
        self.name = name
        self.address = f"{name}:1"
        self.random = Random(network.random.getrandbits(64))
        self.membership = Membership(
            LocalIdentity(name, self.address, incarnation, self.random.getrandbits(64)),
            network.config,
            seeds,
            self.random,
            network.now,
        )
        self.is_up = True
        self.stalled_until = 0
        self.view_version = 0
        self.event_counts: Counter[str] = Counter()
        self._unread: list[FleetMessage] = []
        self._handlers: dict[MessageKind, list[MessageHandler]] = {}
        self._view_handlers: list[ViewHandler] = []
        self._view_changes: list[MemberChange] = []
        self._view = View(0, ())
        first_tick = network.now + self.random.randrange(TICK_INTERVAL)
        network.call_at(first_tick, self._on_tick)

    # The fleet's transport.

    @property
    def incarnation(self) -> int:
        """The incarnation that this member announces to others."""
        return self.membership.state.local.entry.incarnation

    @property
    def digest(self) -> int:
        """The digest of this member's view."""
        return self.membership.state.table.digest

    @property
    def view(self) -> View:
        """The members that this member considers present."""
        if self._view.version != self.view_version or not self.view_version:
            entries = self.membership.state.table.entries.values()
            self._view = View(
                self.view_version, (entry.to_member() for entry in entries)
            )
        return self._view

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        """Send to one member; return False if the message cannot be sent at all."""
        known = self.membership.state.table.get(member)
        if known is None or not known.in_view:
            return False
        if member == self.name or len(body) > MAX_BODY:
            return False
        message = FleetMessage(
            FrameType.APPLICATION,
            self.membership.state.local.update,
            kind=kind,
            body=body,
        )
        self.network.send(self, SendMessage(known.address, message, True))
        return True

    def subscribe(self, kind: MessageKind, handler: MessageHandler) -> None:
        """Call `handler` with each message of a kind from a member in the view."""
        self._handlers.setdefault(kind, []).append(handler)

    def watch_view(self, handler: ViewHandler) -> None:
        """Call `handler` after changes of the view, never during a change."""
        self._view_handlers.append(handler)

    # Time and messages.

    def _on_tick(self) -> None:
        if not self.is_up:
            return
        if self.network.now < self.stalled_until:
            self.network.call_at(self.stalled_until, self._on_tick)
            return
        self.apply(self.membership.tick(self.network.now))
        unread = self._unread
        self._unread = []
        for message in unread:
            self._on_message(message)
        self.network.call_at(self.network.now + TICK_INTERVAL, self._on_tick)

    def on_arrival(self, message: FleetMessage, is_stream: bool) -> None:
        """Take a message from the network.

        While the process is stalled, its sockets hold the messages: all of a stream, up
        to SOCKET_BUFFER datagrams. After the stall the next tick reads them.
        """
        if not self.is_up:
            return
        if self.network.now < self.stalled_until or self._unread:
            if is_stream or len(self._unread) < SOCKET_BUFFER:
                self._unread.append(message)
            return
        self._on_message(message)

    def _on_message(self, message: FleetMessage) -> None:
        self.apply(self.membership.on_message(self.network.now, message))
        if message.type is not FrameType.APPLICATION or message.kind is None:
            return
        sender = self.membership.state.table.get(message.sender.name)
        if (
            sender is not None
            and sender.nonce == message.sender.nonce
            and sender.in_view
        ):
            for handler in self._handlers.get(message.kind, ()):
                handler(sender.name, sender.incarnation, message.body)

    def apply(self, effects: Iterable[Effect]) -> None:
        """Carry out the effects that the state machine returned."""
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.network.send(self, effect)
            elif isinstance(effect, ViewChanged):
                self._on_view_changed(effect)
            elif isinstance(effect, OperatorEvent):
                self.event_counts[effect.kind.name] += 1

    def _on_view_changed(self, effect: ViewChanged) -> None:
        self.view_version += 1
        self.network.on_view_changed(self, effect)
        if not self._view_handlers:
            return
        if not self._view_changes:
            self.network.call_at(self.network.now, self._call_view_handlers)
        self._view_changes.append(MemberChange(effect.change, effect.member))

    def _call_view_handlers(self) -> None:
        changes = self._view_changes
        self._view_changes = []
        for handler in self._view_handlers:
            handler(self.view, changes)
