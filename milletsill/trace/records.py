"""Kinds of records and their fields. The numbers are the file's: they never change meaning within a major version.

A field is an integer, a float or a text; how it is coded stands beside it: `step` (differences between neighbours), `plain`,
`float`, `text` (a dictionary of the block). Times are whole tenths of a millisecond of the writer's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct
from typing import Any

STEP, PLAIN, FLOAT, TEXT = 1, 2, 3, 4
BLOCK_HEAD = Struct("<4sIIIqqI32sI")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of record: its number, name, and fields as (name, coding); a field's number is its place from 1."""

    number: int
    name: str
    fields: tuple[tuple[str, int], ...]


Row = tuple[int, Kind, tuple[Any, ...]]  # time, kind, values of its fields


@dataclass(frozen=True, slots=True)
class BlockHead:
    """What stands before a block's body. `offset` is of the head, `size` of the body."""

    offset: int
    size: int
    raw: int
    records: int
    first: int
    last: int
    crc: int
    stores: bytes

    @property
    def end(self) -> int:
        return self.offset + BLOCK_HEAD.size + self.size


def _kind(number: int, name: str, fields: str) -> Kind:
    codes = {"s": STEP, "p": PLAIN, "f": FLOAT, "t": TEXT}
    return Kind(
        number, name, tuple((each[:-2], codes[each[-1]]) for each in fields.split())
    )


KINDS = (
    # What the module was told.
    _kind(
        1,
        "arrival",
        "transfer:s extent:p volume:p store:t gateways:p category:p plan:p repeat:p write:p cell:p "
        "units:f ends:s path:t",
    ),  # cell -1: a new object
    _kind(
        2,
        "outcome",
        "transfer:s number:p node:p outcome:t over:p latency:p used:p elsewhere:p report:t",
    ),  # used -1: not told
    _kind(3, "abandoned", "transfer:s"),
    _kind(
        4, "woken", "wake:s"
    ),  # the number of the wake that rings, as `wake` counts them
    _kind(5, "settled", ""),
    _kind(6, "listed", "news:t count:p"),
    _kind(
        7,
        "listing",
        "node:p readiness:t size:f machine:p zone:p since:p known:p cell:p",
    ),  # lines of the listed before
    # What it did.
    _kind(16, "dispatch", "transfer:s node:p timeout:p"),
    _kind(17, "declined", "transfer:s pause:p"),
    _kind(18, "aborted", "transfer:s"),
    _kind(19, "cancelled", "transfer:s number:p"),
    _kind(20, "wake", "at:s"),
    _kind(21, "watch", ""),
    _kind(22, "remark", "text:t"),
    # What the writer says of itself.
    _kind(
        32, "gap", "kind:p lost:p since:s"
    ),  # records of a kind that were shed, and from when on
    _kind(33, "plan", "text:t"),
    _kind(
        34, "satisfied", "transfer:s latency:p"
    ),  # of 1.0; since 1.1 `over` of an outcome says it
    # Since 1.1: what a client asked for and got; stands at its answer, `why` tells what declined it.
    _kind(
        35,
        "command",
        "began:s span:p store:t plan:p category:p operation:t units:f legs:p tries:p final:t why:t",
    ),
    _kind(36, "fetch", ""),
    _kind(
        38, "part", "what:t id:p share:f ends:s after:f"
    ),  # an input; share -1: the even part again
    _kind(37, "probe", "node:p"),
    _kind(39, "advised", "node:p strain:f away:p until:s"),  # an input; since 1.2
)
BY_NUMBER = {each.number: each for each in KINDS}
BY_NAME = {each.name: each for each in KINDS}
# Where a kind tells its store, and which kinds tell of a transfer by their first field.
STORE_PLACE = {
    each.number: place
    for each in KINDS
    for place, (name, _) in enumerate(each.fields)
    if name == "store"
}
CATEGORY_PLACE = {
    each.number: place
    for each in KINDS
    for place, (name, _) in enumerate(each.fields)
    if name == "category"
}
BY_TRANSFER = frozenset(
    each.number for each in KINDS if each.fields and each.fields[0][0] == "transfer"
)
FINALS = frozenset(
    ("declined", "aborted", "abandoned")
)  # beside an outcome that is over
MOST_TEXT = 4096
