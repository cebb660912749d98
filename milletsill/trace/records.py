"""Defines the kinds of trace records, their fields, and the header of a block.

The numbers of kinds and the positions of fields are part of the file format: their
meaning never changes within a major version. A field is an integer, a float or a text
with a column coding. Times are whole tenths of a millisecond of the writer's clock;
one such unit is a tick.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct
from typing import Any

TICKS_PER_SECOND = 10_000

# Column codings: delta-encoded integers, plain integers, floats, and texts as indexes
# into a dictionary of the column.
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
        name: the kind's name.
        fields: name and coding of each field; fields are numbered from 1 in this order.
    """

    number: int
    name: str
    fields: tuple[tuple[str, int], ...]


# A record: its time, its kind, and the values of its fields. It is a plain tuple
# because the gateway creates several for each request.
TraceRecord = tuple[int, RecordKind, tuple[Any, ...]]


@dataclass(frozen=True, slots=True)
class BlockHeader:
    """The header that precedes the body of a block.

    Attributes:
        offset: position of the header in the file.
        body_size: size of the compressed body in bytes.
        raw_size: size of the decompressed body in bytes; 0 if it comes from a footer.
        record_count: number of records in the block.
        first_time: the earliest time of a record.
        last_time: the latest time of a record.
        body_crc: CRC-32 of the compressed body; 0 if it comes from a footer.
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
        """The offset of the block's end in the file."""
        return self.offset + BLOCK_HEADER.size + self.body_size


def _record_kind(number: int, name: str, fields: str) -> RecordKind:
    """Return a kind; `fields` lists `name:coding`, a coding by its first letter."""
    codes = {"s": STEP, "p": PLAIN, "f": FLOAT, "t": TEXT}
    return RecordKind(
        number, name, tuple((each[:-2], codes[each[-1]]) for each in fields.split())
    )


KINDS = (
    # Events of the scheduler.
    # `cell` is the request's shard; -1 marks a new object.
    _record_kind(
        1,
        "arrival",
        "transfer:s extent:p volume:p store:t gateways:p category:p plan:p repeat:p "
        "write:p cell:p units:f ends:s path:t",
    ),
    # `used` is the node's usage of the volume; -1 means that it was not reported.
    _record_kind(
        2,
        "outcome",
        "transfer:s number:p node:p outcome:t over:p latency:p used:p elsewhere:p "
        "report:t",
    ),
    _record_kind(3, "abandoned", "transfer:s"),
    # The timer that fired, by the ordinal number of the `wake` record that set it.
    _record_kind(4, "woken", "wake:s"),
    _record_kind(5, "settled", ""),
    # `count` records of kind `listing` follow, one for each endpoint.
    _record_kind(6, "listed", "news:t count:p"),
    _record_kind(
        7,
        "listing",
        "node:p readiness:t size:f machine:p zone:p since:p known:p cell:p",
    ),
    # Effects of the scheduler.
    _record_kind(16, "dispatch", "transfer:s node:p timeout:p"),
    _record_kind(17, "declined", "transfer:s pause:p"),
    _record_kind(18, "aborted", "transfer:s"),
    _record_kind(19, "cancelled", "transfer:s number:p"),
    _record_kind(20, "wake", "at:s"),
    _record_kind(21, "watch", ""),
    _record_kind(22, "remark", "text:t"),
    # Records of the writer itself. A gap holds the number of shed records of a kind and
    # the time of the first of them.
    _record_kind(32, "gap", "kind:p lost:p since:s"),
    _record_kind(33, "plan", "text:t"),
    # Only in version 1.0; since 1.1 the field `over` of an outcome replaces it.
    _record_kind(34, "satisfied", "transfer:s latency:p"),
    # Since 1.1: a client's command and its answer, recorded at the answer.
    _record_kind(
        35,
        "command",
        "began:s span:p store:t plan:p category:p operation:t units:f legs:p tries:p "
        "final:t why:t",
    ),
    _record_kind(36, "fetch", ""),
    # An event of the scheduler; a share of -1 means a return to the even share.
    _record_kind(38, "part", "what:t id:p share:f ends:s after:f"),
    _record_kind(37, "probe", "node:p"),
    # An event of the scheduler, since 1.2.
    _record_kind(39, "advised", "node:p strain:f away:p until:s"),
)
BY_NUMBER = {each.number: each for each in KINDS}
BY_NAME = {each.name: each for each in KINDS}


def _field_indexes(field: str) -> dict[int, int]:
    """Return the index of a field in each kind that has it, by kind number."""
    return {
        kind.number: index
        for kind in KINDS
        for index, (name, _) in enumerate(kind.fields)
        if name == field
    }


VOLUME_FIELD_INDEX = _field_indexes("store")
REQUEST_CLASS_FIELD_INDEX = _field_indexes("category")
# Numbers of the kinds whose first field is a request id.
REQUEST_KINDS = frozenset(
    kind.number for kind in KINDS if kind.fields and kind.fields[0][0] == "transfer"
)
