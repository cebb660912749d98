"""Commands of other gateways' clients, received by the owner of their channel.

A command that arrives more than once is handled once. All memory is bounded. Times are
whole tenths of a millisecond on this gateway's own clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from milletsill.errors import MalformedInputError
from milletsill.fleet.channels.commands import (
    ChannelCommand,
    Redirect,
    Volume,
    decode_command,
)
from milletsill.fleet.channels.effects import ReplyKind
from milletsill.fleet.channels.peer_messenger import PeerMessenger
from milletsill.fleet.channels.record_pb2 import Envelope, Reply
from milletsill.fleet.channels.timers import UNITS_PER_MILLISECOND
from milletsill.sftp import extensions, status_tags
from milletsill.sftp.packets import Answer

MAX_REMEMBERED_COMMANDS = 20_000
"""Commands that are unanswered or whose reply is remembered."""

MAX_UNANSWERED = 5000
"""Commands that are not answered yet."""

PeerCommandKey = tuple[str, int, int]
"""A member's name, its incarnation, and the message id that it assigned."""


class PeerCommandReceiver:
    """Receives the commands of other gateways and sends the answers.

    `on_command` is called once for each command, with the sender's name. `find_volume`
    finds a volume with channels by name. `call_timeout` is the retry delay of a command
    that is rejected.
    """

    def __init__(
        self,
        messenger: PeerMessenger,
        call_timeout: int,
        on_command: Callable[[ChannelCommand, str], None],
        find_volume: Callable[[str], Volume | None],
    ) -> None:
        self._messenger = messenger
        self._call_timeout = call_timeout
        self._on_command = on_command
        self._find_volume = find_volume
        self._unanswered = 0
        # None until the command is answered, then the encoded reply.
        self._replies: OrderedDict[PeerCommandKey, bytes | None] = OrderedDict()

    def on_ask(self, member: str, incarnation: int, envelope: Envelope) -> None:
        """Handle a command of a member, which may have sent it before."""
        ask = envelope.ask
        key = (member, incarnation, ask.id)
        if key in self._replies:
            answered = self._replies[key]
            if answered is not None:
                self._messenger.send(member, answered)
            else:
                self._reply(member, Reply(id=ask.id, held=True))
            return
        volume = self._find_volume(ask.volume)
        if volume is None:
            return
        deadline = self._deadline_of(envelope)
        if deadline is None:
            self._reply(member, Reply(id=ask.id, again=True))
            return
        try:
            command = decode_command(
                ask,
                volume,
                f"{member}.{incarnation}.{ask.id}",
                deadline,
                lambda packet: self._on_answer(key, packet),
            )
        except MalformedInputError:
            return
        if self._unanswered >= MAX_UNANSWERED:
            text = f"declined: the owner has {MAX_UNANSWERED} unanswered commands"
            tag = ReplyKind.REJECTED.value
            packet = status_tags.tagged_status(0, tag, text, None, self._call_timeout)
            self._reply(
                member, Reply(id=ask.id, answer=extensions.encode_embedded(packet))
            )
            return
        self._unanswered += 1
        self._replies[key] = None
        while len(self._replies) > MAX_REMEMBERED_COMMANDS:
            self._replies.popitem(last=False)
        self._reply(member, Reply(id=ask.id, held=True))
        self._on_command(command, member)

    def _deadline_of(self, envelope: Envelope) -> int | None:
        """Return a command's deadline on this gateway's clock; None if it is unknown.

        The remaining time that a command carries counts from when it was sent. It is
        outdated if the command was delayed by a network partition, or unread while this
        process was suspended; no request may start after its client's deadline (rule
        1). The cost is one more round trip for the first command in a while between two
        gateways. A gateway of an earlier version sends no clock reading: the remaining
        time of its commands counts from when they are read.
        """
        ask = envelope.ask
        by_remaining = self._messenger.now() + int(ask.left) * UNITS_PER_MILLISECOND
        if (
            ask.HasField("until")
            and ask.until.IsInitialized()
            and ask.until.whose == self._messenger.clock_id
        ):
            return min(int(ask.until.at), by_remaining)
        return None if envelope.HasField("clock") else by_remaining

    def _on_answer(self, key: PeerCommandKey, packet: Answer | Redirect) -> None:
        self._unanswered -= 1
        member, _, message_id = key
        if isinstance(packet, Redirect):
            reply = Reply(id=message_id, keeper=packet.owner, pause=packet.retry_delay)
        else:
            reply = Reply(id=message_id, answer=extensions.encode_embedded(packet))
        body = self._messenger.encode_reply(reply)
        if key in self._replies:
            self._replies[key] = body
        self._messenger.send(member, body)

    def _reply(self, member: str, reply: Reply) -> None:
        self._messenger.send(member, self._messenger.encode_reply(reply))
