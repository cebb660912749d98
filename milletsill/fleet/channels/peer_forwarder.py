"""Forwarding of commands to the gateway that owns their channel.

Messages may be lost: a command is sent again until it is answered or its client's
deadline passes, and a gateway that receives it more than once handles it once. All
memory is bounded. Times are whole tenths of a millisecond on this gateway's own clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import SystemRandom
from typing import cast

from milletsill.errors import MalformedInputError
from milletsill.fleet.channels.codec import decode_envelope
from milletsill.fleet.channels.commands import (
    AnswerCallback,
    ChannelCommand,
    NumberedRequest,
    OpenChannel,
    QueryNumber,
    Redirect,
    ResolveNumber,
    Volume,
    encode_command,
)
from milletsill.fleet.channels.effects import ReplyKind
from milletsill.fleet.channels.peer_command_receiver import PeerCommandReceiver
from milletsill.fleet.channels.peer_messenger import PeerMessenger
from milletsill.fleet.channels.record_pb2 import Ask, Reply
from milletsill.fleet.channels.timers import (
    UNITS_PER_MILLISECOND,
    UNITS_PER_SECOND,
    Timer,
    TimerScheduler,
)
from milletsill.fleet.transport import FleetTransport
from milletsill.sftp import extensions, status_tags
from milletsill.sftp.packets import Answer

MAX_FORWARDED = 20_000
"""Forwarded commands that may wait for another gateway's answer."""

MAX_CALLS_WITHOUT_REPLY = 2
"""Calls without a reply after which an owner counts as unreachable."""

MAX_HOPS = 3
"""Times that one command may be forwarded."""

NO_EFFECT_TAGS = (ReplyKind.REJECTED.value, ReplyKind.CLAIM_LOST.value)
"""Status tags which promise that nothing was done."""

MAX_IMMEDIATE_RESENDS = 3
"""Times that a command is sent again at once at its owner's request."""

UNREACHABLE_SPAN = 30_000
"""How long an unreachable member is not tried again, in tenths of a millisecond.

A message of the member ends this time early.
"""

RETURN_MARGIN = 100
"""Time that is reserved for the answer's way back, in tenths of a millisecond."""


@dataclass(frozen=True, slots=True)
class ForwarderSettings:
    """Settings of a peer forwarder.

    Attributes:
        call_timeout: Time between two sends of a command that has no answer, in tenths
            of a millisecond.
        drift_permille: How much faster or slower a clock may run, in permille.
    """

    call_timeout: int
    drift_permille: int = 5


@dataclass(frozen=True, slots=True)
class ForwarderHandlers:
    """Callbacks of the forwarder.

    Attributes:
        on_peer_command: Handles another gateway's command; gets that gateway's name.
        on_own_command: Handles a command of this gateway's client as the owner.
        find_volume: Finds a volume with channels by name.
        count: Counts an event by name.
    """

    on_peer_command: Callable[[ChannelCommand, str], None]
    on_own_command: Callable[[ChannelCommand], None]
    find_volume: Callable[[str], Volume | None]
    count: Callable[[str], None]


class ForwardedCommand:
    """A command that was forwarded to another gateway and has no answer yet.

    Attributes:
        id: The message id.
        command: The command.
        owner: The gateway that the command was sent to.
        hops: How often the command was forwarded.
        last_heard: When the owner last replied, at first when the command was sent.
        timer: Timer for the next send; None before the first send.
        is_acknowledged: Whether the owner confirmed that it has the command.
        resends: How often the owner asked for the command again.
    """

    __slots__ = (
        "id",
        "command",
        "owner",
        "hops",
        "last_heard",
        "timer",
        "is_acknowledged",
        "resends",
    )

    def __init__(
        self, id: int, command: ChannelCommand, owner: str, now: int, hops: int
    ) -> None:
        self.id = id
        self.command = command
        self.owner = owner
        self.hops = hops
        self.last_heard = now
        self.timer: Timer | None = None
        self.is_acknowledged = False
        self.resends = 0


class PeerForwarder:
    """Forwards commands to the owners of their channels; receives peers' messages."""

    def __init__(
        self,
        settings: ForwarderSettings,
        reactor: TimerScheduler,
        now: Callable[[], int],
        transport: FleetTransport,
        handlers: ForwarderHandlers,
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.handlers = handlers
        self.call_timeout = settings.call_timeout
        self.messenger = PeerMessenger(transport, now, settings.drift_permille)
        self.receiver = PeerCommandReceiver(
            self.messenger,
            settings.call_timeout,
            handlers.on_peer_command,
            handlers.find_volume,
        )
        self.forwarded: dict[int, ForwardedCommand] = {}
        self.unreachable_since: dict[str, int] = {}
        # A gateway whose state_dir was lost or replaced by an older copy may restart
        # under an earlier incarnation. If it reused its message ids, peers would send
        # it the remembered replies of other commands. A random start of 62 bits avoids
        # this.
        self.last_id = SystemRandom().getrandbits(62)

    def forward(self, command: ChannelCommand, owner: str, hops: int = 0) -> None:
        """Send a command to the owner of its channel.

        If that gateway is unreachable, `on_own_command` is called with the command.
        """
        if hops >= MAX_HOPS or len(self.forwarded) >= MAX_FORWARDED:
            text = "declined: cannot forward the command to the channel's owner"
            command.on_answer(self._rejection(text))
            return
        self.last_id += 1
        forwarded = ForwardedCommand(self.last_id, command, owner, self.now(), hops)
        self.forwarded[forwarded.id] = forwarded
        self.handlers.count("forwarded")
        self._send_command(forwarded)

    def is_reachable(self, member: str) -> bool:
        """Whether commands may be sent to a member.

        Without this check, clients would wait again and again for a member that is gone
        but still in the view. The cost is that an owner that was unreachable for a
        moment gets no commands for `UNREACHABLE_SPAN`. The acceptors still decide who
        may own the channel.
        """
        since = self.unreachable_since.get(member)
        if since is not None and self.now() - since >= UNREACHABLE_SPAN:
            del self.unreachable_since[member]
        return member not in self.unreachable_since

    def cancel(self, forwarded: ForwardedCommand) -> None:
        """Stop sending a command; a later answer to it is dropped."""
        self.forwarded.pop(forwarded.id, None)
        if forwarded.timer is not None and forwarded.timer.active():
            forwarded.timer.cancel()

    def on_message(self, member: str, incarnation: int, body: bytes) -> None:
        """Handle a message of another gateway; a malformed one is dropped.

        The sender of a dropped command treats this gateway as unreachable in time.
        """
        envelope = decode_envelope(body)
        self.unreachable_since.pop(member, None)
        if envelope is None:
            return
        self.messenger.observe_clock(member, envelope)
        if envelope.HasField("reply") and envelope.reply.IsInitialized():
            self._on_reply(member, envelope.reply)
        elif envelope.HasField("ask") and envelope.ask.IsInitialized():
            self.receiver.on_ask(member, incarnation, envelope)

    def _send_command(self, forwarded: ForwardedCommand) -> None:
        now = self.now()
        command = forwarded.command
        deadline = command.deadline - RETURN_MARGIN
        remaining = deadline - now
        if remaining <= 0:
            self._on_deadline(forwarded)
            return
        remaining_ms = max(remaining // UNITS_PER_MILLISECOND, 1)
        if forwarded.is_acknowledged:  # the owner has the command's content
            ask = Ask(id=forwarded.id, volume="", channel="", left=remaining_ms)
        else:
            ask = encode_command(command, forwarded.id, remaining_ms, forwarded.hops)
        peer_clocks = self.messenger.peer_clocks
        peer_deadline = peer_clocks.to_remote(forwarded.owner, deadline, now)
        if peer_deadline is not None:
            ask.until.whose = peer_deadline.clock_id
            ask.until.at = max(peer_deadline.reading, 0)
        if not self.messenger.send_ask(forwarded.owner, ask):
            self._on_unreachable(forwarded)
            return
        delay = min(self.call_timeout, remaining) / UNITS_PER_SECOND
        forwarded.timer = self.reactor.callLater(
            delay, self._on_call_timeout, forwarded
        )

    def _on_call_timeout(self, forwarded: ForwardedCommand) -> None:
        """Send a command again, unless its owner has not replied for too long."""
        if forwarded.id not in self.forwarded:
            return
        without_reply = self.now() - forwarded.last_heard
        if without_reply >= MAX_CALLS_WITHOUT_REPLY * self.call_timeout:
            self._on_unreachable(forwarded)
            return
        self._send_command(forwarded)

    def _on_resend_requested(self, forwarded: ForwardedCommand) -> None:
        """Send a command again, because its owner could not determine the deadline.

        The owner's reply carried a reading of its clock.
        """
        forwarded.resends += 1
        if (
            forwarded.resends <= MAX_IMMEDIATE_RESENDS
            and forwarded.timer is not None
            and forwarded.timer.active()
        ):
            forwarded.timer.cancel()
            self._send_command(forwarded)

    def _on_unreachable(self, forwarded: ForwardedCommand) -> None:
        """Try to own the channel here; the acceptors decide whether that is allowed."""
        self.cancel(forwarded)
        self.handlers.count("keeper_away")
        command = forwarded.command
        command.unreachable_owners += (forwarded.owner,)
        self.unreachable_since[forwarded.owner] = self.now()
        was_sent = forwarded.timer is not None
        if was_sent and isinstance(command.body, (NumberedRequest, ResolveNumber)):
            command.on_answer = without_rejection(command.on_answer)
        self.handlers.on_own_command(command)

    def _on_deadline(self, forwarded: ForwardedCommand) -> None:
        """Answer a command at its deadline; it is unknown whether its owner ran it."""
        self.cancel(forwarded)
        command = forwarded.command
        if isinstance(command.body, (OpenChannel, QueryNumber)):
            text = "declined: the channel's owner did not answer in time"
            command.on_answer(self._rejection(text))
        else:
            text = "aborted: the channel's owner did not answer in time"
            command.on_answer(
                status_tags.tagged_status(0, ReplyKind.FAILED.value, text)
            )

    def _on_reply(self, member: str, reply: Reply) -> None:
        forwarded = self.forwarded.get(reply.id)
        if forwarded is None or forwarded.owner != member:
            return
        forwarded.last_heard = self.now()
        if reply.held:
            forwarded.is_acknowledged = True
            return
        if reply.again:
            self._on_resend_requested(forwarded)
            return
        self.cancel(forwarded)
        if reply.HasField("keeper"):
            self._on_redirect(forwarded, reply.keeper, reply.pause)
            return
        try:
            answer = cast(Answer, extensions.decode_embedded(reply.answer, 0))
        except MalformedInputError:
            text = "aborted: the answer of the channel's owner is malformed"
            answer = status_tags.tagged_status(0, ReplyKind.FAILED.value, text)
        forwarded.command.on_answer(answer)

    def _on_redirect(
        self, forwarded: ForwardedCommand, owner: str, retry_delay: int
    ) -> None:
        """Forward a command to the owner that the other gateway named."""
        command = forwarded.command
        if owner == self.messenger.transport.name:
            self.handlers.on_own_command(command)
        elif owner in command.unreachable_owners:
            command.on_answer(Redirect(owner, retry_delay))
        else:
            self.forward(command, owner, forwarded.hops + 1)

    def _rejection(self, text: str) -> Answer:
        tag = ReplyKind.REJECTED.value
        return status_tags.tagged_status(0, tag, text, None, self.call_timeout)


def without_rejection(on_answer: AnswerCallback) -> AnswerCallback:
    """Wrap a callback so that a later rejection becomes a failure.

    An owner that stopped replying may have executed the command, or may still execute
    it, so a rejection could be false. The cost is that a client may be told less than
    that nothing was done, and has to ask again.
    """

    def answer(packet: Answer | Redirect) -> None:
        tag = status_tags.parse_status_tag(getattr(packet, "language", ""))
        if tag is not None and tag.kind in NO_EFFECT_TAGS:
            text = "aborted: an owner that stopped replying may have done it"
            packet = status_tags.tagged_status(0, ReplyKind.FAILED.value, text)
        on_answer(packet)

    return answer
