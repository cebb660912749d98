"""Channel commands of clients, and their encoded form between gateways.

Times are whole tenths of a millisecond on this gateway's own clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

import xxhash

from milletsill.fleet.channels.record_pb2 import Ask
from milletsill.sftp import extensions
from milletsill.sftp.extensions import CommandTerms
from milletsill.sftp.packets import Answer, Command
from milletsill.sftp.wire import text_to_bytes


class Volume(Protocol):
    """What a command needs of its volume."""

    @property
    def name(self) -> str:
        """Its name, the same at all gateways."""


@dataclass(frozen=True, slots=True)
class OpenChannel:
    """Open and claim a channel.

    Attributes:
        contract: Name of the contract; empty for the volume's own.
        version: Its version; 0 for the gateway's.
        first_number: The number from which it holds; 0 for the next that is free.
    """

    contract: str
    version: int
    first_number: int


@dataclass(frozen=True, slots=True)
class QueryNumber:
    """Ask what became of a number."""

    number: int


@dataclass(frozen=True, slots=True)
class ResolveNumber:
    """Say what became of a number whose outcome is indeterminate.

    `resolution` is one of the words of `milletsill.sftp.channel_extensions`.
    """

    number: int
    resolution: int
    claim: int


@dataclass(frozen=True, slots=True)
class NumberedRequest:
    """A request with a number; its handle, if it has one, is the path."""

    number: int
    claim: int
    batch: int
    ends_batch: bool
    terms: CommandTerms
    path: str
    command: Command

    def digest(self) -> int:
        """Equal for requests that do the same."""
        return xxhash.xxh64_intdigest(
            text_to_bytes(self.path) + b"\0" + extensions.encode_embedded(self.command)
        )


@dataclass(frozen=True, slots=True)
class Redirect:
    """Another gateway owns the channel.

    `retry_delay` is for how long at the most, if nobody hears of it any more.
    """

    owner: str
    retry_delay: int


AnswerCallback = Callable[[Answer | Redirect], None]
"""Takes a packet for the client, or the name of the gateway to ask instead."""

CommandBody = OpenChannel | QueryNumber | ResolveNumber | NumberedRequest


@dataclass(slots=True, eq=False)
class ChannelCommand:
    """One command on its way to the channel's owner.

    Attributes:
        volume: The channel's volume.
        channel: The channel's name.
        deadline: Until when the client waits.
        body: What the client wants.
        token: The same for the same command received twice.
        on_answer: Called once, with a packet for the client or with a `Redirect`.
        unreachable_owners: Gateways that could not be reached with it.
        redirects: How often the acceptors named another owner for it.
    """

    volume: Volume
    channel: str
    deadline: int
    body: CommandBody
    token: str
    on_answer: AnswerCallback
    unreachable_owners: tuple[str, ...] = ()
    redirects: int = 0

    @property
    def key(self) -> str:
        """The channel's key: its lease is taken under it."""
        return f"{self.volume.name}/{self.channel}"


def encode_command(
    command: ChannelCommand, command_id: int, remaining_ms: int, hops: int
) -> Ask:
    """A command for another gateway; its client still waits `remaining_ms`."""
    body = command.body
    ask = Ask(
        id=command_id,
        volume=command.volume.name,
        channel=command.channel,
        left=remaining_ms,
        hops=hops,
    )
    if isinstance(body, OpenChannel):
        ask.open.contract = body.contract
        ask.open.version = body.version
        ask.open.first = body.first_number
    elif isinstance(body, QueryNumber):
        ask.look.number = body.number
    elif isinstance(body, ResolveNumber):
        ask.say.number = body.number
        ask.say.word = body.resolution
        ask.say.claim = body.claim
    else:
        ask.transfer.number = body.number
        ask.transfer.claim = body.claim
        ask.transfer.batch = body.batch
        ask.transfer.last = body.ends_batch
        ask.transfer.tries = body.terms.retry_count
        ask.transfer.mark = body.terms.idempotency_key
        ask.transfer.path = body.path
        ask.transfer.command = extensions.encode_embedded(body.command)
    return ask


def decode_command(
    ask: Ask,
    volume: Volume,
    token: str,
    deadline: int,
    on_answer: AnswerCallback,
) -> ChannelCommand:
    """A command of another gateway's client.

    Raises:
        MalformedInputError: The command in it cannot be read.
    """
    body = _decode_body(ask)
    return ChannelCommand(volume, ask.channel, deadline, body, token, on_answer)


def _decode_body(ask: Ask) -> CommandBody:
    if ask.HasField("open"):
        return OpenChannel(ask.open.contract, ask.open.version, ask.open.first)
    if ask.HasField("say"):
        return ResolveNumber(ask.say.number, ask.say.word, ask.say.claim)
    if ask.HasField("transfer"):
        sent = ask.transfer
        return NumberedRequest(
            sent.number,
            sent.claim,
            sent.batch,
            sent.last,
            CommandTerms(0, sent.tries, sent.mark),
            sent.path,
            cast(Command, extensions.decode_embedded(sent.command, 0)),
        )
    return QueryNumber(ask.look.number)
