"""A client's word on a channel inside a gateway: where it came from is its `answered`. Times in tenths of a millisecond."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Union

import xxhash

from milletsill.fleet.channels.record_pb2 import Ask
from milletsill.sftp import extensions
from milletsill.sftp.extensions import Terms
from milletsill.sftp.wire import bytes_of


@dataclass(frozen=True, slots=True)
class Open:
    contract: str
    version: int
    first: int


@dataclass(frozen=True, slots=True)
class Look:
    number: int


@dataclass(frozen=True, slots=True)
class Say:
    number: int
    word: int
    claim: int


@dataclass(frozen=True, slots=True)
class Transfer:
    """A numbered command; its handle, if it has one, is the path."""

    number: int
    claim: int
    batch: int
    last: bool
    terms: Terms
    path: str
    command: Any

    def digest(self) -> int:
        return xxhash.xxh64_intdigest(
            bytes_of(self.path) + b"\0" + extensions.bare(self.command)
        )


What = Union[Open, Look, Say, Transfer]


@dataclass(slots=True, eq=False)
class Word:
    """One word; `answered` is called once, with a packet for the client or with the name of the gateway to ask instead
    (`Elsewhere`). `token` is the same for the same word told twice.
    """

    volume: Any
    channel: str
    ends: int
    what: What
    token: str
    answered: Callable[[Any], None]
    away: tuple[str, ...] = ()  # gateways that could not be reached with it
    sent_on: int = 0  # how often the registers named another keeper for it

    @property
    def key(self) -> str:
        return f"{self.volume.name}/{self.channel}"


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Another gateway keeps the channel; for so long at the most if nobody hears of it any more, in tenths of a millisecond."""

    who: str
    pause: int


def put_word(word: Word, id: int, left: int, hops: int) -> Ask:
    """A word for another gateway; `left` in milliseconds."""
    ask, what = (
        Ask(id=id, volume=word.volume.name, channel=word.channel, left=left, hops=hops),
        word.what,
    )
    if isinstance(what, Open):
        ask.open.contract, ask.open.version, ask.open.first = (
            what.contract,
            what.version,
            what.first,
        )
    elif isinstance(what, Look):
        ask.look.number = what.number
    elif isinstance(what, Say):
        ask.say.number, ask.say.word, ask.say.claim = what.number, what.word, what.claim
    else:
        to = ask.transfer
        to.number, to.claim, to.batch, to.last = (
            what.number,
            what.claim,
            what.batch,
            what.last,
        )
        to.tries, to.mark, to.path, to.command = (
            what.terms.tries,
            what.terms.mark,
            what.path,
            extensions.bare(what.command),
        )
    return ask


def read_word(
    ask: Ask, volume: Any, token: str, ends: int, answered: Callable[[Any], None]
) -> Word:
    """A word from another gateway, over at `ends`; Malformed where its command is none."""
    what: What
    if ask.HasField("open"):
        what = Open(ask.open.contract, ask.open.version, ask.open.first)
    elif ask.HasField("say"):
        what = Say(ask.say.number, ask.say.word, ask.say.claim)
    elif ask.HasField("transfer"):
        sent = ask.transfer
        what = Transfer(
            sent.number,
            sent.claim,
            sent.batch,
            sent.last,
            Terms(0, sent.tries, sent.mark),
            sent.path,
            extensions.dressed(sent.command, 0),
        )
    else:
        what = Look(ask.look.number)
    return Word(volume, ask.channel, ends, what, token, answered)
