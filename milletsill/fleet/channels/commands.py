"""Channel commands of clients, and their encoding in messages between gateways.

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
    """The part of a volume that a command uses."""

    @property
    def name(self) -> str:
        """Name of the volume, the same at all gateways."""


@dataclass(frozen=True, slots=True)
class OpenChannel:
    """Open and claim a channel.

    Attributes:
        contract: Name of the contract; empty for the volume's default.
        version: The expected version; 0 for the version of the gateway.
        first_number: The first number it applies to; 0 for the next free number.
    """

    contract: str
    version: int
    first_number: int


@dataclass(frozen=True, slots=True)
class QueryNumber:
    """Query the status of a number."""

    number: int


@dataclass(frozen=True, slots=True)
class ResolveNumber:
    """Resolve a number whose outcome is indeterminate, or skip one.

    `resolution` is a `Resolution` of `milletsill.sftp.channel_extensions`.
    """

    number: int
    resolution: int
    claim: int


@dataclass(frozen=True, slots=True)
class NumberedRequest:
    """A request with a number; the handle field of `command` contains the path."""

    number: int
    claim: int
    batch: int
    ends_batch: bool
    terms: CommandTerms
    path: str
    command: Command

    def digest(self) -> int:
        """Return a hash of path and command, equal for identical requests."""
        return xxhash.xxh64_intdigest(
            text_to_bytes(self.path) + b"\0" + extensions.encode_embedded(self.command)
        )


@dataclass(frozen=True, slots=True)
class Redirect:
    """Answer that another gateway owns the channel.

    `retry_delay` is the longest time that the owner's lease can still last.
    """

    owner: str
    retry_delay: int


AnswerCallback = Callable[[Answer | Redirect], None]
"""Called with a packet for the client, or with the gateway that owns the channel."""

CommandBody = OpenChannel | QueryNumber | ResolveNumber | NumberedRequest


@dataclass(slots=True, eq=False)
class ChannelCommand:
    """One command of a client, which the channel's owner handles.

    Attributes:
        volume: The channel's volume.
        channel: The channel's name.
        deadline: Until when the client waits.
        body: The requested operation.
        token: Equal if the same command is received twice.
        on_answer: Called once, with a packet for the client or with a `Redirect`.
        unreachable_owners: Owners that could not be reached with this command.
        redirects: How often the acceptors named another owner.
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
        """The channel's key, which is also the key of its lease."""
        return f"{self.volume.name}/{self.channel}"


def encode_command(
    command: ChannelCommand, command_id: int, remaining_ms: int, hops: int
) -> Ask:
    """Encode a command whose client still waits `remaining_ms`."""
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
    """Decode a command that another gateway forwarded.

    Raises:
        MalformedInputError: The embedded command cannot be decoded.
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
