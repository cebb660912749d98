"""Kinds of trace records, their fields, and the header of a block.

The numbers of kinds and the places of fields are those of the file: they never change
their meaning within a major version. A field is an integer, a float or a text; how it
is coded stands beside it. Times are whole tenths of a millisecond of the writer's
clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct
from typing import Any

TICKS_PER_SECOND = 10_000

# Codings of columns: differences between neighbours, plain integers, floats, and texts
# by a dictionary of the block.
STEP = 1
PLAIN = 2
FLOAT = 3
TEXT = 4
MAX_TEXT_BYTES = 4096

BLOCK_HEADER = Struct("<4sIIIqqI32sI")


@dataclass(frozen=True, slots=True)
class RecordKind:
    """One kind of record.

    Attributes:
        number: the kind's number in the file.
        name: its name.
        fields: name and coding of each field; a field's number is its place from 1.
    """

    number: int
    name: str
    fields: tuple[tuple[str, int], ...]


# A record: its time, its kind, and the values of its fields. A plain tuple, since the
# gateway makes several for each request.
TraceRecord = tuple[int, RecordKind, tuple[Any, ...]]


@dataclass(frozen=True, slots=True)
class BlockHeader:
    """What stands before the body of a block.

    Attributes:
        offset: where the header begins in the file.
        body_size: bytes of the body, compressed.
        raw_size: bytes of the body, unpacked; 0 where only the footer was read.
        record_count: records in the block.
        first_time: the earliest time of a record.
        last_time: the latest time of a record.
        body_crc: CRC-32 of the compressed body; 0 where only the footer was read.
        volume_filter: a Bloom filter of the volumes in the block, 32 bytes.
    """

    offset: int
    body_size: int
    raw_size: int
    record_count: int
    first_time: int
    last_time: int
    body_crc: int
    volume_filter: bytes

    @property
    def end(self) -> int:
        """Where the block ends in the file."""
        return self.offset + BLOCK_HEADER.size + self.body_size


def _kind(number: int, name: str, fields: str) -> RecordKind:
    """Make a kind from `name:coding` pairs, the coding by its first letter."""
    codes = {"s": STEP, "p": PLAIN, "f": FLOAT, "t": TEXT}
    return RecordKind(
        number, name, tuple((each[:-2], codes[each[-1]]) for each in fields.split())
    )


KINDS = (
    # Events of the scheduler.
    # A shard of -1 is that of a new object.
    _kind(
        1,
        "arrival",
        "transfer:s extent:p volume:p store:t gateways:p category:p plan:p repeat:p "
        "write:p cell:p units:f ends:s path:t",
    ),
    # A usage of -1 was not reported.
    _kind(
        2,
        "outcome",
        "transfer:s number:p node:p outcome:t over:p latency:p used:p elsewhere:p "
        "report:t",
    ),
    _kind(3, "abandoned", "transfer:s"),
    # The number of the timer that fired: the how many-eth `wake` set it.
    _kind(4, "woken", "wake:s"),
    _kind(5, "settled", ""),
    # So many `listing` records follow, one for each endpoint.
    _kind(6, "listed", "news:t count:p"),
    _kind(
        7,
        "listing",
        "node:p readiness:t size:f machine:p zone:p since:p known:p cell:p",
    ),
    # Effects of the scheduler.
    _kind(16, "dispatch", "transfer:s node:p timeout:p"),
    _kind(17, "declined", "transfer:s pause:p"),
    _kind(18, "aborted", "transfer:s"),
    _kind(19, "cancelled", "transfer:s number:p"),
    _kind(20, "wake", "at:s"),
    _kind(21, "watch", ""),
    _kind(22, "remark", "text:t"),
    # The writer's own records. A gap: records of a kind that were shed, and from when.
    _kind(32, "gap", "kind:p lost:p since:s"),
    _kind(33, "plan", "text:t"),
    # Of 1.0; since 1.1 the field `over` of an outcome says it.
    _kind(34, "satisfied", "transfer:s latency:p"),
    # Since 1.1: what a client asked for and got, recorded at its answer.
    _kind(
        35,
        "command",
        "began:s span:p store:t plan:p category:p operation:t units:f legs:p tries:p "
        "final:t why:t",
    ),
    _kind(36, "fetch", ""),
    # An event; a share of -1 is the even share again.
    _kind(38, "part", "what:t id:p share:f ends:s after:f"),
    _kind(37, "probe", "node:p"),
    # An event; since 1.2.
    _kind(39, "advised", "node:p strain:f away:p until:s"),
)
BY_NUMBER = {each.number: each for each in KINDS}
BY_NAME = {each.name: each for each in KINDS}


def _field_places(field: str) -> dict[int, int]:
    """Return the place of a field's value in each kind that has it, by kind number."""
    return {
        kind.number: place
        for kind in KINDS
        for place, (name, _) in enumerate(kind.fields)
        if name == field
    }


VOLUME_PLACE = _field_places("store")
REQUEST_CLASS_PLACE = _field_places("category")
# Kinds that name a request by their first field.
REQUEST_KINDS = frozenset(
    kind.number for kind in KINDS if kind.fields and kind.fields[0][0] == "transfer"
)
