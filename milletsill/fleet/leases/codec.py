"""Bodies between keepers and registers: the byte "R" and one protobuf Frame; to and from what the deciding files speak of."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import xxhash
from google.protobuf.message import DecodeError

from milletsill.fleet.errors import MalformedFrame
from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor import (
    JUST_NOW,
    MOST_NAME,
    MOST_VALUE,
    UNKNOWN,
    UNWRITTEN,
    Answer,
    Ask,
    Ballot,
    Call,
    Record,
    Say,
    Span,
    Stamp,
)
from milletsill.fleet.leases.acceptor_recovery import StateIdentity, SnapshotPage

MARK, VERSION, MOST_FRAME, PER_FRAME = b"R", 1, 1 << 19, 2000
FRAME_BYTES = 200_000  # calls or answers are parted into frames of about so many
MOST = 1 << 60  # of any number
ASKS, SAYS = {each.value: each for each in Ask}, {each.value: each for each in Say}


def terms(names: Iterable[str], span: Span) -> int:
    """A digest of what must be the same at all gateways: the registers' names and the spans."""
    return xxhash.xxh64_intdigest(
        repr((sorted(names), *span)).encode("utf-8", "surrogateescape")
    )


def encoded(**what: Any) -> bytes:
    """One body: `encoded(beat=Beat(...))`."""
    return MARK + wire.Frame(version=VERSION, **what).SerializeToString()


def decoded(body: bytes) -> Any:
    """The Frame of a body that begins with the mark; `WhichOneof` is None for what a later version says. Raises Unreadable."""
    if len(body) > MOST_FRAME:
        raise MalformedFrame(f"a body of {len(body)} bytes, {MOST_FRAME} at most")
    try:
        return wire.Frame.FromString(body[1:])
    except DecodeError:
        raise MalformedFrame("a body that is no protobuf of ours") from None


def number(value: int) -> int:
    if value > MOST:
        raise MalformedFrame(f"a number of {value}, {MOST} at most")
    return value


def named(text: str) -> bool:
    """Whether it can be a channel's name: UTF-8, not empty, not too long."""
    try:
        return 0 < len(text.encode()) <= MOST_NAME
    except UnicodeEncodeError:
        return False


def name(text: str) -> str:
    if not named(text):
        raise MalformedFrame(
            f"a name of {len(text)} characters, {MOST_NAME} bytes at most"
        )
    return text


def content(value: bytes) -> bytes:
    if len(value) > MOST_VALUE:
        raise MalformedFrame(f"a record of {len(value)} bytes, {MOST_VALUE} at most")
    return value


def put_identity(own: StateIdentity) -> wire.Identity:
    return wire.Identity(age=own.age, chance=own.chance, generation=own.generation)


def get_identity(own: Any) -> StateIdentity:
    return StateIdentity(number(own.age), own.chance, number(own.generation))


def put_ballot(ballot: Ballot) -> wire.Ballot:
    return wire.Ballot(round=ballot.round, name=ballot.name, nonce=ballot.nonce)


def get_ballot(ballot: Any) -> Ballot:
    return Ballot(number(ballot.round), ballot.name, ballot.nonce)


def put_call(call: Call, born: int | None = None) -> wire.Call:
    """`born` on the clock of the register, where that is known."""
    made = wire.Call(
        ask=call.ask.value,
        channel=call.channel,
        round=call.ballot.round,
        nonce=call.ballot.nonce,
        index=call.index,
    )
    if call.ask is Ask.ACCEPT:
        made.value, made.fresh = call.value, call.fresh
        if born is not None:
            made.born = max(born, 0)
    return made


def get_call(sender: str, call: Any, born: int = JUST_NOW) -> Call | None:
    """None where it asks for what a later version may know. `born` where the call itself does not say."""
    ask = ASKS.get(call.ask)
    return (
        None
        if ask is None
        else Call(
            ask,
            name(call.channel),
            Ballot(number(call.round), sender, call.nonce),
            number(call.index),
            content(call.value),
            call.fresh,
            number(call.born) if call.HasField("born") else born,
        )
    )


def put_calls(
    calls: Iterable[Call], there: Callable[[int], tuple[int, int] | None]
) -> tuple[int, list[wire.Call]]:
    """Whose clock calls to one register are dated by, 0 where too little is known of it, and the calls. `there`: whose, and what it
    reads at the least at a time of ours.
    """
    dated = [(call, there(call.born)) for call in calls]
    return (
        next((found[0] for _, found in dated if found is not None), 0),
        [
            put_call(call, found[1] if found is not None else None)
            for call, found in dated
        ],
    )


def get_calls(sender: str, told: Any, whose: int) -> list[Call]:
    """What can be read of a frame's calls. Dates on a clock that is not this one's, `whose`, say nothing; one of an earlier version
    gives none at all.
    """
    found = []
    for each in told.call[:PER_FRAME]:
        if told.whose != whose:
            each.ClearField("born")
        found.append(
            get_call(sender, each, UNKNOWN if told.HasField("whose") else JUST_NOW)
        )
    return [each for each in found if each is not None]


def put_answer(answer: Answer) -> wire.Answer:
    made = wire.Answer(
        ask=answer.ask.value,
        channel=answer.channel,
        round=answer.ballot.round,
        nonce=answer.ballot.nonce,
        index=answer.index,
        say=answer.say.value,
    )
    if answer.stamp != UNWRITTEN:
        made.stamp.CopyFrom(put_ballot(answer.stamp.ballot))
        made.stamp_index, made.value = answer.stamp.index, answer.value
    if answer.told:
        made.told = True
    if answer.fresh:
        made.fresh = True
    if answer.aged != UNKNOWN:
        made.aged = answer.aged
    if answer.say is not Say.YES:
        made.known, made.pause, made.who = answer.round, answer.pause, answer.who
    return made


def get_answer(receiver: str, answer: Any) -> Answer | None:
    ask, say = ASKS.get(answer.ask), SAYS.get(answer.say)
    if ask is None or say is None:
        return None
    stamp = (
        Stamp(get_ballot(answer.stamp), number(answer.stamp_index))
        if answer.HasField("stamp")
        else UNWRITTEN
    )
    return Answer(
        ask,
        answer.channel,
        Ballot(answer.round, receiver, answer.nonce),
        answer.index,
        say,
        stamp,
        content(answer.value),
        number(answer.aged) if answer.HasField("aged") else UNKNOWN,
        number(answer.known),
        number(answer.pause),
        answer.who,
        answer.told,
        answer.fresh,
    )


def put_record(record: Record, channel: str = "") -> wire.Kept:
    made = wire.Kept(promised=put_ballot(record.promised))
    if channel:
        made.channel = channel
    if record.stamp != UNWRITTEN:
        made.stamp.CopyFrom(put_ballot(record.stamp.ballot))
        made.index, made.value, made.told = (
            record.stamp.index,
            record.value,
            record.told,
        )
    return made


def get_record(kept: Any, touched: int = 0) -> Record:
    stamp = (
        Stamp(get_ballot(kept.stamp), number(kept.index))
        if kept.HasField("stamp")
        else UNWRITTEN
    )
    return Record(
        get_ballot(kept.promised), stamp, content(kept.value), touched, kept.told
    )


def put_page(after: str, page: SnapshotPage) -> wire.Page:
    return wire.Page(
        after=after,
        kept=[put_record(record, channel) for channel, record in page.records],
        floor=page.floor,
        last=page.last,
    )


def get_page(page: Any) -> SnapshotPage:
    return SnapshotPage(
        tuple((name(each.channel), get_record(each)) for each in page.kept),
        number(page.floor),
        page.last,
    )


def parted(pieces: Iterable[Any]) -> Iterable[list[Any]]:
    """Calls or answers in lists that each fit a frame."""
    found: list[Any] = []
    size = 0
    for each in pieces:
        length = each.ByteSize()
        if found and (size + length > FRAME_BYTES or len(found) >= PER_FRAME):
            yield found
            found, size = [], 0
        found.append(each)
        size += length
    if found:
        yield found
