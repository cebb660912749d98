"""Commands on their way to the gateway that owns their channel, and answers back.

No message needs to arrive: a command is sent again until it is answered or its client's
deadline is over, and the gateway that receives it twice answers once. All is bounded.
Times are whole tenths of a millisecond on this gateway's own clock.
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
"""Own commands that wait for another gateway's answer."""

MAX_SILENT_CALLS = 2
"""Calls without a sign of life until an owner counts as unreachable."""

MAX_HOPS = 3

PROMISES_NO_EFFECT = (ReplyKind.REJECTED.value, ReplyKind.CLAIM_LOST.value)
"""Signs that say that nothing was done."""

MAX_IMMEDIATE_RESENDS = 3
"""Times that a command is sent again at once, as its owner asked."""

UNREACHABLE_SPAN = 30_000
"""For how long an unreachable member is not tried again, unless it sends something."""

RETURN_MARGIN = 100
"""What the way back may take."""


@dataclass(frozen=True, slots=True)
class ForwarderSettings:
    """Settings of a peer forwarder.

    Attributes:
        call_timeout: How long a sign of life may take, in tenths of a millisecond.
        drift_permille: How much faster or slower a clock may run.
    """

    call_timeout: int
    drift_permille: int = 5


@dataclass(frozen=True, slots=True)
class ForwarderHandlers:
    """Who handles what the forwarder receives.

    Attributes:
        on_peer_command: Another gateway's command, with that gateway's name.
        on_own_command: An own command whose channel this gateway is to own itself.
        find_volume: A volume with channels, by name.
        count: Counts an event, by name.
    """

    on_peer_command: Callable[[ChannelCommand, str], None]
    on_own_command: Callable[[ChannelCommand], None]
    find_volume: Callable[[str], Volume | None]
    count: Callable[[str], None]


class ForwardedCommand:
    """A command that another gateway has, or may have.

    Attributes:
        id: The message's id.
        command: The command.
        owner: The gateway that it was sent to.
        hops: How often it was forwarded.
        last_heard: When that gateway last gave a sign of life.
        timer: The next call; None before the first.
        is_held: Whether the other has said that it has the command in hand.
        resends: How often the other asked to be sent it again.
    """

    __slots__ = (
        "id",
        "command",
        "owner",
        "hops",
        "last_heard",
        "timer",
        "is_held",
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
        self.is_held = False
        self.resends = 0


class PeerForwarder:
    """Sends own commands to the owners of their channels; hears other gateways."""

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
        # Guards against a gateway that starts again under an incarnation that it had
        # before (its state_dir lost, or an older copy): with the same ids again it was
        # sent the remembered replies of other commands. Harm: none, 63 bits of chance.
        self.last_id = SystemRandom().getrandbits(62)

    def forward(self, command: ChannelCommand, owner: str, hops: int = 0) -> None:
        """Send a command to the owner of its channel.

        `on_own_command` gets it where that gateway is unreachable.
        """
        if hops >= MAX_HOPS or len(self.forwarded) >= MAX_FORWARDED:
            text = "declined: nobody found who keeps the channel"
            command.on_answer(self._rejection(text))
            return
        self.last_id += 1
        forwarded = ForwardedCommand(self.last_id, command, owner, self.now(), hops)
        self.forwarded[forwarded.id] = forwarded
        self.handlers.count("forwarded")
        self._send_command(forwarded)

    def is_reachable(self, member: str) -> bool:
        """Whether a member may be tried.

        Guards against a client that waits again and again for one that is gone, while
        the view still has it. Harm: an owner that was cut off for a moment is passed
        over for a while; the acceptors say who may own.
        """
        since = self.unreachable_since.get(member)
        if since is not None and self.now() - since >= UNREACHABLE_SPAN:
            del self.unreachable_since[member]
        return member not in self.unreachable_since

    def cancel(self, forwarded: ForwardedCommand) -> None:
        """Send a command no more; its answer, if one comes, is dropped."""
        self.forwarded.pop(forwarded.id, None)
        if forwarded.timer is not None and forwarded.timer.active():
            forwarded.timer.cancel()

    def on_message(self, member: str, incarnation: int, body: bytes) -> None:
        """What another gateway sends; what makes no sense is dropped.

        Its sender tries elsewhere in time.
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
        if forwarded.is_held:  # the other has the rest
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
        """No answer yet: send it again, unless there was no sign of life."""
        if forwarded.id not in self.forwarded:
            return
        silent_for = self.now() - forwarded.last_heard
        if silent_for >= MAX_SILENT_CALLS * self.call_timeout:
            self._on_unreachable(forwarded)
            return
        self._send_command(forwarded)

    def _on_resend_requested(self, forwarded: ForwardedCommand) -> None:
        """The other could not tell the deadline; its clock's reading came with that."""
        forwarded.resends += 1
        if (
            forwarded.resends <= MAX_IMMEDIATE_RESENDS
            and forwarded.timer is not None
            and forwarded.timer.active()
        ):
            forwarded.timer.cancel()
            self._send_command(forwarded)

    def _on_unreachable(self, forwarded: ForwardedCommand) -> None:
        """This gateway tries to be the owner; the acceptors say whether it may."""
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
        """The client's deadline: nobody here knows what its owner did with it."""
        self.cancel(forwarded)
        command = forwarded.command
        if isinstance(command.body, (OpenChannel, QueryNumber)):
            text = "declined: the keeper did not answer in time"
            command.on_answer(self._rejection(text))
        else:
            text = "aborted: its keeper did not answer in time"
            command.on_answer(
                status_tags.tagged_status(0, ReplyKind.FAILED.value, text)
            )

    def _on_reply(self, member: str, reply: Reply) -> None:
        forwarded = self.forwarded.get(reply.id)
        if forwarded is None or forwarded.owner != member:
            return
        forwarded.last_heard = self.now()
        if reply.held:
            forwarded.is_held = True
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
            text = "aborted: the keeper's answer made no sense"
            answer = status_tags.tagged_status(0, ReplyKind.FAILED.value, text)
        forwarded.command.on_answer(answer)

    def _on_redirect(
        self, forwarded: ForwardedCommand, owner: str, retry_delay: int
    ) -> None:
        """The other says who owns the channel."""
        command = forwarded.command
        if owner == self.messenger.transport.name:
            self.handlers.on_own_command(command)
        elif owner in command.unreachable_owners:
            command.on_answer(Redirect(owner, retry_delay))
        else:
            self.forward(command, owner, forwarded.hops + 1)

    def _rejection(self, text: str) -> Answer:
        word = ReplyKind.REJECTED.value
        return status_tags.tagged_status(0, word, text, None, self.call_timeout)


def without_rejection(on_answer: AnswerCallback) -> AnswerCallback:
    """A callback that turns a later rejection into a failure.

    Guards against an untrue rejection: an owner that fell silent may have done the
    command, or do it yet. Harm: a client that could have heard that nothing was done
    asks again.
    """

    def answer(packet: Answer | Redirect) -> None:
        sign = status_tags.parse_status_tag(getattr(packet, "language", ""))
        if sign is not None and sign.kind in PROMISES_NO_EFFECT:
            text = "aborted: a keeper that fell silent may have done it"
            packet = status_tags.tagged_status(0, ReplyKind.FAILED.value, text)
        on_answer(packet)

    return answer
