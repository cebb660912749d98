"""A channel's record and the words between gateways, to and from bytes. All lengths are bounded."""

from __future__ import annotations

from google.protobuf.message import DecodeError

from milletsill.fleet.channels.channel_sequencer import Line
from milletsill.fleet.channels.errors import ChannelRecordUnreadable
from milletsill.fleet.channels.ordering import (
    MOST_PINNED,
    REMEMBERED,
    SPAN,
    Contract,
    Order,
    Phase,
    Reach,
    Reaches,
    Unsure,
)
from milletsill.fleet.channels.record_pb2 import (
    ContractTerms,
    Envelope,
    Record,
)
from milletsill.fleet.channels.sequences import LONG_AGO, Closed, Entry

FORMAT, MOST_RECORD, MOST_OUT, WHOLE = 1, 16_384, 1024, (1 << 64) - 1
MARK = b"C"  # the first byte of what contracts tell; registers have their own


def put_contract(into: ContractTerms, contract: Contract, named: bool) -> None:
    into.name, into.version, into.order, into.unsure = (
        contract.name,
        contract.version,
        contract.order.value,
        contract.unsure.value,
    )
    into.silent, into.most_waiting, into.hole, into.named = (
        contract.silent,
        contract.most_waiting,
        contract.hole,
        named,
    )


def contract_of(terms: ContractTerms) -> Contract:
    return Contract(
        terms.name,
        terms.version,
        Order(terms.order),
        Unsure(terms.unsure),
        terms.silent,
        terms.most_waiting,
        terms.hole,
    )


def put_reaches(into: object, reaches: Reaches) -> None:
    for each in reaches:
        if each.last == WHOLE and each.first == 0:
            into.add(object=each.object)  # type: ignore[attr-defined]
        else:
            into.add(object=each.object, first=each.first, last=each.last)  # type: ignore[attr-defined]


def reaches_of(held: object) -> Reaches:
    return tuple(
        Reach(each.object, each.first, each.last if each.HasField("last") else WHOLE)
        for each in held
    )  # type: ignore[attr-defined]


def put_record(line: Line, now: int) -> bytes:
    """The record of a channel as it stands."""
    record = Record(
        format=FORMAT,
        claim=line.claim,
        token=line.token,
        floor=line.floor,
        top=line.top,
        batch=line.batch,
        batch_last=line.batch_last,
    )
    put_contract(record.contract, line.contract, line.named)
    if line.coming is not None:
        record.coming_first = line.coming[0]
        put_contract(record.coming, line.coming[1], line.coming_named)
    if line.closed:
        bits = sum(1 << (each - line.floor) for each in line.closed)
        record.closed = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    for number, entry in line.entries.items():
        if entry.phase is Phase.WAITING:
            continue
        out = record.out.add(
            number=number, digest=entry.digest, batch=entry.batch, last=entry.last
        )
        put_reaches(out.reach, entry.reaches)
        if entry.since != LONG_AGO:
            out.since = max(now - entry.since, 0)
    for number, closed in line.remembered.items():
        record.remembered.add(
            number=number, how=closed.how, code=closed.code, digest=closed.digest
        )
    for number, turn in line.turns.items():
        record.turn.add(number=number, turn=turn)
    for number, reaches in line.pinned.items():
        put_reaches(record.pinned.add(number=number).reach, reaches)
    return record.SerializeToString()


def read_record(
    data: bytes, rest: int, now: int, age: int | None, over: int = 0
) -> Line:
    """The channel from its record, as a new keeper finds it: what is out has an unsure end. `age`: how long ago the record
    was written at most, None where nobody knows. `over`: when the last office under which anything was let go here ends.
    """
    record = Record()
    try:
        record.ParseFromString(data)
        line = Line(contract_of(record.contract), rest, record.contract.named)
        if record.HasField("coming"):
            line.coming, line.coming_named = (
                (record.coming_first, contract_of(record.coming)),
                record.coming.named,
            )
    except (DecodeError, ValueError) as error:
        raise ChannelRecordUnreadable(
            f"a record of {len(data)} bytes: {error}"
        ) from None
    if (
        record.format != FORMAT
        or len(record.remembered) > REMEMBERED
        or len(record.out) > MOST_OUT
        or (
            len(record.closed) * 8 > SPAN + 8
            or len(record.pinned) > MOST_PINNED
            or len(record.turn) > SPAN
        )
    ):
        raise ChannelRecordUnreadable(
            f"a record of format {record.format}, {len(data)} bytes"
        )
    line.claim, line.token, line.floor, line.top = (
        record.claim,
        record.token,
        record.floor,
        record.top,
    )
    line.batch, line.batch_last = record.batch, record.batch_last
    bits = int.from_bytes(record.closed, "little")
    line.closed = {
        line.floor + place for place in range(bits.bit_length()) if bits >> place & 1
    }
    for out in record.out:
        known = age is not None and out.HasField("since")
        line.entries[out.number] = Entry(
            Phase.UNSURE,
            out.digest,
            reaches_of(out.reach),
            out.batch,
            out.last,
            since=now - age - out.since if known else LONG_AGO,
        )  # type: ignore[operator]
    for each in record.remembered:
        line.remembered[each.number] = Closed(each.how, each.code, each.digest)
    line.turns = {each.number: each.turn for each in record.turn}
    line.pinned = {each.number: reaches_of(each.reach) for each in record.pinned}
    line.took_over(max(now, over))
    return line


def put_envelope(envelope: Envelope) -> bytes:
    return MARK + envelope.SerializeToString()


def read_envelope(body: bytes) -> Envelope | None:
    """What another gateway says, or None for what makes no sense here."""
    if body[:1] != MARK:
        return None
    envelope = Envelope()
    try:
        envelope.ParseFromString(body[1:])
    except DecodeError:
        return None
    return envelope
