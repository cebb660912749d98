"""Commands of other gateways' clients, received by the owner of their channel.

A command that is received twice is handled and answered once. All is bounded. Times are
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
"""Commands that are in hand or whose answer is remembered."""

MAX_IN_HAND = 5000
"""Commands that are not answered yet."""

PeerCommandKey = tuple[str, int, int]
"""A member's name, its incarnation, and the message's id there."""


class PeerCommandReceiver:
    """Takes in the commands of other gateways and sends their answers.

    `on_command` gets each command once, with the sender's name; `find_volume` finds a
    volume with channels by name; `call_timeout` is when one that is rejected may come
    again.
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
        self._in_hand = 0
        # None while a command is in hand, then the reply as it was sent.
        self._replies: OrderedDict[PeerCommandKey, bytes | None] = OrderedDict()

    def on_ask(self, member: str, incarnation: int, envelope: Envelope) -> None:
        """A member sends a command, perhaps again."""
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
        if self._in_hand >= MAX_IN_HAND:
            text = "declined: its keeper has all the words that it may"
            word = ReplyKind.REJECTED.value
            packet = status_tags.tagged_status(0, word, text, None, self._call_timeout)
            self._reply(
                member, Reply(id=ask.id, answer=extensions.encode_embedded(packet))
            )
            return
        self._in_hand += 1
        self._replies[key] = None
        while len(self._replies) > MAX_REMEMBERED_COMMANDS:
            self._replies.popitem(last=False)
        self._reply(member, Reply(id=ask.id, held=True))
        self._on_command(command, member)

    def _deadline_of(self, envelope: Envelope) -> int | None:
        """When another gateway's command is over, here; None where nobody can tell.

        Guards rule 1 against a command that lay in a cut network, or unread while this
        process stood still: what its client still waited when it was sent says nothing
        of now. Harm: a round trip more for the first command in a while between two
        gateways. One of an earlier version sends no clock: its commands count from when
        they are read, as they did.
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
        self._in_hand -= 1
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
