"""What the follower of the list does with what the registry says; no I/O, no clock.

The module asks (`Port.watch`, `Port.fetch`) and decides how soon to ask again; here stands only what one asking means.
A view is what was last listed: one `Box` for each id. Spans and times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from itertools import islice
from typing import Any

from milletsill.errors import InvalidValue
from milletsill.interface import Endpoint, EndpointUpdateKind, Readiness

# IDLE: nothing is asked. RANGING: the whole list is awaited. JOINING: the watch is being opened. WATCHING: it stands.
Stage = Enum("Stage", "IDLE RANGING JOINING WATCHING")
Cue = Enum("Cue", "ASK RANGE_OK JOIN_OK FAIL EVENTS COMPACTED")

FOLLOW_TABLE: Mapping[tuple[Stage, Cue], tuple[Stage, str]] = {
    (Stage.IDLE, Cue.ASK): (Stage.RANGING, "range"),
    (Stage.RANGING, Cue.ASK): (Stage.RANGING, ""),
    (Stage.JOINING, Cue.ASK): (Stage.JOINING, ""),
    (Stage.WATCHING, Cue.ASK): (Stage.WATCHING, "confirm"),
    (Stage.RANGING, Cue.RANGE_OK): (Stage.JOINING, "whole"),
    (Stage.RANGING, Cue.FAIL): (Stage.IDLE, "failed"),
    (Stage.JOINING, Cue.JOIN_OK): (Stage.WATCHING, ""),
    (Stage.JOINING, Cue.EVENTS): (Stage.WATCHING, "changes"),
    (Stage.WATCHING, Cue.EVENTS): (Stage.WATCHING, "changes"),
    # Guards rule 3: a watch that broke is told to the module at once, which counts the time since the last word.
    **{
        (stage, Cue.FAIL): (Stage.IDLE, "failed")
        for stage in (Stage.JOINING, Stage.WATCHING)
    },
    # What was compacted away cannot be made up by events: the whole list says what is gone.
    **{
        (stage, Cue.COMPACTED): (Stage.RANGING, "range")
        for stage in (Stage.JOINING, Stage.WATCHING)
    },
}

# A watch says nothing while nothing changes, so that a dead one looks like one with nothing to say. Where it is quiet the
# registry is asked, now and then (drawn), for its newest change alone; after a call that failed less often.
LOOK, MOST_PUT_OFF = (15_000, 25_000), 3  # tenths of a millisecond; doublings
MOST_KEYS = 1 << 16  # keys that are kept in mind without a box
SETTLED = 10_000  # news may be this much later by the watch than by a call


@dataclass(frozen=True, slots=True)
class Newest:
    """What the registry says of its newest change, how many keys it holds and how far it is itself (a cluster's id, its
    revision), beside what the watch had brought by then.
    """

    revision: int
    count: int
    head: tuple[str, int]
    brought: int


def other_past(before: tuple[str, int], head: tuple[str, int]) -> bool:
    """Whether the registry was restored from a backup since it told a list: it is of another cluster, or behind what it told.
    What it does not say is no difference. Guards rule 3: changes up to the old revision would never be told. Harm: one list more
    where a member of the registry is late.
    """
    return 0 < head[1] < before[1] or bool(
        head[0] and before[0] and head[0] != before[0]
    )


def missed(there: Newest, cluster: str, brought: int, keys: int) -> bool:
    """Whether the watch has missed something; `keys` as they are known here. Guards rule 3 against a watch whose other end is
    gone without a word. Harm: one list more where the watch is only late.
    """
    fewer_or_more = there.count != keys and brought == there.brought
    return (
        there.revision > brought
        or fewer_or_more
        or other_past((cluster, there.brought), there.head)
    )


STATES = {"ready": Readiness.READY, "draining": Readiness.DRAINING}


def step(stage: Stage, cue: Cue) -> tuple[Stage, str]:
    """The next stage and what to do; what the table does not name changes nothing."""
    return FOLLOW_TABLE.get((stage, cue), (stage, ""))


class InvalidRegistryEntry(InvalidValue):
    """A value of the registry that describes no box."""

    remedy = (
        "put the value right in the registry, or delete its key; the other boxes stand"
    )


@dataclass(frozen=True, slots=True)
class Box:
    """One box as the registry tells it; `started` in milliseconds of the wall clock."""

    id: int
    address: str
    readiness: Readiness
    size: float
    kind: int
    zone: int
    cell: int
    started: int


def box_of(value: Any) -> Box:
    """A box from its JSON value; `BadBox` where it is not one."""
    if not isinstance(value, dict):
        raise InvalidRegistryEntry("not a JSON object")
    numbers = {}
    for name, most in (
        ("id", 1 << 32),
        ("kind", 1 << 16),
        ("zone", 1 << 16),
        ("cell", 1 << 31),
        ("started", 1 << 53),
    ):
        number = value.get(name, None if name in ("id", "cell") else 0)
        if (
            isinstance(number, bool)
            or not isinstance(number, int)
            or not 0 <= number < most
        ):
            raise InvalidRegistryEntry(
                f"{name} {str(number)[:40]!r} is not a number from 0 to {most - 1}"
            )
        numbers[name] = number
    size, state, address = (
        value.get("size", 1),
        value.get("state"),
        value.get("address"),
    )
    if (
        isinstance(size, bool)
        or not isinstance(size, (int, float))
        or not 0 < size < 1e6
    ):
        raise InvalidRegistryEntry(f"size {str(size)[:40]!r} is not a number above 0")
    if state not in STATES:
        raise InvalidRegistryEntry(
            f"state {str(state)[:40]!r} is not one of {', '.join(STATES)}"
        )
    host, _, port = (
        address.rpartition(":") if isinstance(address, str) else ("", "", "")
    )
    if (
        not host
        or not port.isdecimal()
        or not 0 < int(port) < 65_536
        or len(address) > 300
    ):
        raise InvalidRegistryEntry(f"address {str(address)[:40]!r} is not host:port")
    return Box(
        numbers["id"],
        address,
        STATES[state],
        float(size),
        numbers["kind"],
        numbers["zone"],
        numbers["cell"],
        numbers["started"],
    )


@dataclass(frozen=True, slots=True)
class Told:
    """One change: the key's box, or None where the key is gone, and the revision that made it. `odd`: it is there, with a value
    that describes no box.
    """

    key: str
    box: Box | None
    revision: int
    odd: bool = False


class View:
    """What was last listed, by key and by id, and the revision it is at. Bounded: a registry that lists more than
    `most` boxes is told of by `overflow`, and those past it are left out.
    """

    def __init__(self, most: int, warm_after: int) -> None:
        self.most, self.warm_after = most, warm_after
        self.by_key: dict[str, Box] = {}
        self.since: dict[
            int, tuple[int, int]
        ] = {}  # id -> (started, the same on this process's clock)
        self.revision, self.overflow = 0, 0
        self.others: set[str] = (
            set()
        )  # keys that the registry has and this view has no box of

    def replace(
        self, boxes: Mapping[str, Box], revision: int, keys: Iterable[str] = ()
    ) -> None:
        """The whole list as at a revision; `keys` are all that the registry has."""
        kept = list(boxes.items())[: self.most]
        self.overflow = len(boxes) - len(kept)
        self.by_key, self.revision = dict(kept), revision
        self.others = set(islice(keys, MOST_KEYS)) - self.by_key.keys()

    def keys(self) -> int:
        """How many keys the registry has, as far as this view was told."""
        return len(self.by_key) + len(self.others)

    def apply(self, changes: list[Told]) -> list[Box]:
        """Changes newer than the view, in order; what they leave of each box, a gone one marked so. A change that the
        view already holds (an event told twice after a break) is passed over.
        """
        changed: dict[int, Box] = {}
        for told in changes:
            if told.revision <= self.revision:
                continue
            old = self.by_key.get(told.key)
            if told.odd:
                self.other(told.key)
            elif told.box is None:
                self.others.discard(told.key)
                if old is not None:
                    del self.by_key[told.key]
                    changed.update(self.left(old))
            elif old is not None or len(self.by_key) < self.most:
                self.by_key[told.key] = told.box
                self.others.discard(told.key)
                if old is not None and old.id != told.box.id:
                    changed.update(self.left(old))
                changed[told.box.id] = told.box
            else:
                self.overflow += 1
                self.other(told.key)
        self.revision = max([self.revision] + [each.revision for each in changes])
        return list(changed.values())

    def other(self, key: str) -> None:
        """A key of which there is no box here."""
        if key not in self.by_key and len(self.others) < MOST_KEYS:
            self.others.add(key)

    def left(self, old: Box) -> dict[int, Box]:
        """A box whose key went, or took another id: gone, unless another key claims it."""
        return (
            {}
            if any(each.id == old.id for each in self.by_key.values())
            else {old.id: replace(old, readiness=Readiness.GONE)}
        )

    def entries(self, boxes: list[Box], now: int, wall: int) -> list[Endpoint]:
        """Lines for the module; `wall` in milliseconds. A box's start is set against this process's clock once, when
        it is first told, so that a step of the wall clock does not make it look started again.
        """
        return [
            Endpoint(
                each.id,
                each.readiness,
                each.size,
                each.kind,
                each.zone,
                self.since_of(each, now, wall),
                each.cell,
            )
            for each in boxes
        ]

    def since_of(self, box: Box, now: int, wall: int) -> int | None:
        """When the box started, None for longer ago than a cold one takes."""
        held = self.since.get(box.id)
        if held is None or held[0] != box.started:
            held = self.since[box.id] = (
                box.started,
                min(now - (wall - box.started) * 10, now),
            )
            if len(self.since) > 2 * self.most:
                self.since.pop(next(iter(self.since)))
        return None if not box.started or held[1] <= now - self.warm_after else held[1]

    def whole(self) -> list[Box]:
        """All boxes, the last told for an id that two keys claim."""
        return list({each.id: each for each in self.by_key.values()}.values())


NEWS = {
    "whole": EndpointUpdateKind.SNAPSHOT,
    "changes": EndpointUpdateKind.DELTA,
    "confirm": EndpointUpdateKind.DELTA,
    "failed": EndpointUpdateKind.FAILED,
}
