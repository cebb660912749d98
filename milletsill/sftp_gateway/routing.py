"""What the edge decides around the module: what a command is, where it goes, what its client is told.

No I/O and no clock. What leaves when, for which box, and what is given up is the module's. Here stand the map from
commands to transfers (`Atlas`), the course of a command that takes several transfers (`COURSE_TABLE`), the phases of a
client's connection (`DOOR_TABLE`) and of the process (`PROCESS_TABLE`). Times are whole tenths of a millisecond.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import ceil
from typing import Any

import xxhash

from milletsill.errors import InvalidValue
from milletsill.sftp import packets

# --- What a command is.

OPERATIONS: Mapping[type, str] = {
    packets.Read: "read",
    packets.Write: "write",
    packets.Open: "open",
    packets.Lstat: "look",
    packets.Stat: "look",
    packets.Fstat: "look",
    packets.Setstat: "change",
    packets.Fsetstat: "change",
    packets.Remove: "change",
    packets.Rename: "change",
    packets.Mkdir: "change",
    packets.Rmdir: "change",
    packets.Readdir: "list",
    packets.Extended: "sync",
}
WRITING = ("write", "change", "sync")
HASHED, FREE, BY_DIRECTORY = range(3)
MOST_PATH = 4096


class InvalidPath(InvalidValue):
    """A path of a client that names nothing here."""

    remedy = "nothing: the client is told; one that insists sends paths over 4,096 characters or with zero octets"


def canonical(path: str) -> str:
    """An absolute path without empty parts, . and ..; what climbs above / stays there, as in a file system."""
    if len(path) > MOST_PATH or "\0" in path:
        raise InvalidPath("a path too long or with a zero byte")
    parts: list[str] = []
    for part in path.split("/"):
        if part == "..":
            del parts[-1:]
        elif part not in ("", "."):
            parts.append(part)
    return "/" + "/".join(parts)


@dataclass(frozen=True, slots=True)
class VolumePlace:
    """A volume as the edge needs it: its number for the module, plan by place, cells in order."""

    number: int
    name: str
    root: str
    plan: int
    cells: tuple[int, ...]
    gateways: int
    placement: int


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Which commands a category takes: operations and volume empty for all."""

    operations: frozenset[str]
    volume: str
    least_bytes: int
    category: int


class Atlas:
    """The operator's map from commands to transfers; built once, pure afterwards."""

    def __init__(
        self,
        volumes: Sequence[VolumePlace],
        routes: Sequence[RouteRule],
        unit_bytes: int,
        largest_units: int,
        extent_bytes: int,
        meta_units: float = 0.5,
    ) -> None:
        self.roots = {each.root: each for each in volumes}
        self.routes, self.unit_bytes = tuple(routes), unit_bytes
        self.largest, self.extent_bytes, self.meta_units = (
            largest_units,
            extent_bytes,
            meta_units,
        )

    @property
    def most_bytes(self) -> int:
        """Bytes of the largest transfer."""
        return self.unit_bytes * self.largest

    def volume(self, path: str) -> VolumePlace | None:
        """The volume that a canonical path lies in; None for what lies above all of them."""
        parts = path.split("/")
        return next(
            (
                found
                for end in range(2, len(parts) + 1)
                if (found := self.roots.get("/".join(parts[:end])))
            ),
            None,
        )

    def above(self, path: str) -> list[str]:
        """The names right below a path that lies above volumes."""
        start = path if path.endswith("/") else path + "/"
        return sorted(
            {
                root[len(start) :].split("/")[0]
                for root in self.roots
                if root.startswith(start)
            }
        )

    def category(self, operation: str, volume: VolumePlace, size: int) -> int:
        """The category of the first route that fits; the last fits all."""
        return next(
            each.category
            for each in self.routes
            if (not each.operations or operation in each.operations)
            and each.volume in ("", volume.name)
            and size >= each.least_bytes
        )

    def units(self, operation: str, size: int) -> float:
        """Units of so many bytes: at least one, at most the largest transfer. Of a command that moves no data a part
        of one: counted as whole ones they would teach the module that a unit takes next to nothing, and every read
        would look like a crowd.
        """
        if operation not in ("read", "write"):
            return self.meta_units
        return float(min(max(ceil(size / self.unit_bytes), 1), self.largest))

    def home(self, volume: VolumePlace, path: str) -> int:
        """The cell that a path belongs to: the same at every gateway. Rendezvous hashing: a cell that joins or leaves
        a volume moves only the paths that it gains or loses.
        """
        name = (
            path.rpartition("/")[0]
            if volume.placement == BY_DIRECTORY and path != volume.root
            else path
        )
        data = name.encode("utf-8", "surrogateescape")
        return max(
            volume.cells,
            key=lambda cell: (xxhash.xxh64_intdigest(data, seed=cell + 1), cell),
        )

    def extent(self, name: str, offset: int) -> int:
        """The extent of an object that an offset lies in, never 0."""
        data = f"{name}\0{offset // self.extent_bytes}".encode(
            "utf-8", "surrogateescape"
        )
        return xxhash.xxh64_intdigest(data) or 1


class Locations:
    """Where new objects were last seen, by path; bounded, the least lately used leaves. A wrong one costs a look at
    the path's home, never a wrong answer.
    """

    def __init__(self, most: int) -> None:
        self.most, self.held = most, OrderedDict[str, "Spot"]()

    def get(self, path: str) -> Spot | None:
        if path in self.held:
            self.held.move_to_end(path)
        return self.held.get(path)

    def put(self, path: str, spot: Spot) -> None:
        self.held[path] = spot
        self.held.move_to_end(path)
        while len(self.held) > self.most:
            self.held.popitem(last=False)

    def drop(self, path: str) -> None:
        self.held.pop(path, None)


@dataclass(frozen=True, slots=True)
class Spot:
    """Where an object's bytes lie: its cell, and its name there."""

    cell: int
    name: str


def spot_text(spot: Spot) -> str:
    """A spot as the target of a link."""
    return f"{spot.cell}:{spot.name}"


def spot_of(text: str) -> Spot | None:
    """A spot from a link's target; None where it is none."""
    cell, colon, name = text.partition(":")
    return (
        Spot(int(cell), name)
        if colon and cell.isdecimal() and len(cell) < 10 and name
        else None
    )


# --- The course of a command: one transfer after another.

# HOME: asked at the path's home. THERE: at the spot that a link or memory named. PLACING: a new object, wherever the
# module puts it. LINKING: its link at home. SOURCE, MOVING, CLEARING: a rename by links. UNLINKING: after a removal.
# SWEEPING: a directory's other cells, home last.
Leg = Enum(
    "Leg", "HOME THERE PLACING LINKING SOURCE MOVING CLEARING UNLINKING SWEEPING OVER"
)
# What a transfer came to. FINE: the box did it. MISSING: no such file. MOVED: a link, with its spot. TAKEN: the name
# stands already. BAD: another status. DECLINED, ABORTED: the module gave it up.
Reply = Enum("Reply", "FINE MISSING MOVED TAKEN BAD DECLINED ABORTED")
# What kind of course: PLAIN ends with its first answer, FOLLOW goes where a link leads, MAKE creates what is missing,
# REMOVE also takes the link away, RENAME moves links, SWEEP asks every cell of the volume,
# and LIST reads a directory cell by cell.
Course = Enum("Course", "PLAIN FOLLOW MAKE REMOVE RENAME SWEEP LIST")

# (course, leg, reply) -> (next leg, effect). OVER ends the command; the effect says with which answer.
COURSE_TABLE: Mapping[tuple[Course, Leg, Reply], tuple[Leg, str]] = {
    # A cached spot that is empty may be old: its home knows. A home whose link leads to nothing has the last word.
    **{
        (course, Leg.HOME, Reply.MOVED): (Leg.THERE, "follow")
        for course in (Course.FOLLOW, Course.MAKE, Course.REMOVE)
    },
    **{
        (course, Leg.THERE, Reply.MISSING): (Leg.HOME, "forget")
        for course in (Course.FOLLOW, Course.MAKE)
    },
    (Course.REMOVE, Leg.THERE, Reply.FINE): (Leg.UNLINKING, ""),
    (Course.REMOVE, Leg.THERE, Reply.MISSING): (Leg.UNLINKING, "forget"),
    (Course.REMOVE, Leg.UNLINKING, Reply.MISSING): (Leg.OVER, "done"),
    (Course.MAKE, Leg.HOME, Reply.MISSING): (Leg.PLACING, ""),
    (Course.MAKE, Leg.PLACING, Reply.FINE): (Leg.LINKING, "keep"),
    (Course.MAKE, Leg.LINKING, Reply.FINE): (Leg.OVER, "made"),
    # Another gateway made the same name meanwhile: its object stands, ours is left without a link.
    (Course.MAKE, Leg.LINKING, Reply.MOVED): (Leg.THERE, "follow"),
    (Course.RENAME, Leg.SOURCE, Reply.MOVED): (Leg.MOVING, "carry"),
    (Course.RENAME, Leg.SOURCE, Reply.FINE): (Leg.OVER, "unsupported"),
    (Course.RENAME, Leg.MOVING, Reply.FINE): (Leg.CLEARING, "forget"),
    (Course.RENAME, Leg.MOVING, Reply.MOVED): (Leg.OVER, "taken"),
    (Course.RENAME, Leg.CLEARING, Reply.MISSING): (Leg.OVER, "done"),
    (Course.SWEEP, Leg.SWEEPING, Reply.FINE): (Leg.SWEEPING, "next"),
    (Course.SWEEP, Leg.SWEEPING, Reply.MISSING): (Leg.SWEEPING, "next"),
    (Course.LIST, Leg.SWEEPING, Reply.FINE): (Leg.SWEEPING, "page"),
    (Course.LIST, Leg.SWEEPING, Reply.MISSING): (Leg.SWEEPING, "page"),
}
MOST_LEGS = 6
# Legs after which something of the command has been done at a box: a later decline would promise too much.
DOING = (Leg.PLACING, Leg.LINKING, Leg.MOVING, Leg.CLEARING, Leg.UNLINKING)


def advance(course: Course, leg: Leg, reply: Reply, legs: int) -> tuple[Leg, str]:
    """The next leg of a command and what to do; whatever the table does not name ends it with what it came to.

    `legs` counts those gone: a course that runs in a circle (links that two gateways keep moving) ends as aborted.
    """
    after, effect = COURSE_TABLE.get((course, leg, reply), (Leg.OVER, "answer"))
    if (
        after is not Leg.OVER
        and legs >= MOST_LEGS
        and course not in (Course.SWEEP, Course.LIST)
    ):
        return Leg.OVER, "tangled"
    return after, effect


def course_of(command: Any, placement: int, cells: int) -> tuple[Course, Leg]:
    """How a command on a path goes, and its first leg. Objects of hashed volumes lie at their home, those of free ones
    where a link at home says.
    """
    kind = type(command)
    if kind is packets.Readdir:
        return Course.LIST, Leg.SWEEPING
    if kind is packets.Rmdir and cells > 1:
        return Course.SWEEP, Leg.SWEEPING
    if placement != FREE or kind in (packets.Mkdir, packets.Rmdir):
        return Course.PLAIN, Leg.HOME
    if kind is packets.Open and command.flags & packets.CREATE_FLAG:
        return Course.MAKE, Leg.HOME
    return {
        packets.Remove: (Course.REMOVE, Leg.HOME),
        packets.Rename: (Course.RENAME, Leg.SOURCE),
    }.get(kind, (Course.FOLLOW, Leg.HOME))


def first_leg(course: Course, leg: Leg, remembered: Spot | None) -> Leg:
    """A remembered spot spares the look at home, but for what must change the link there."""
    return (
        Leg.THERE
        if remembered is not None and course in (Course.FOLLOW, Course.MAKE)
        else leg
    )


def page(names: int, ended: bool, cells_left: int) -> str:
    """What one cell's part of a directory means: an answer, the same cell again, the next one, or the end. A client
    takes an answer without names for the end, so one that was emptied (names seen before) is never given.
    """
    if names:
        return "answer"
    if not ended:
        return "again"
    return "next" if cells_left else "end"


def told(reply: Reply, done_before: bool) -> Reply:
    """What the client hears of a command that a decline ends: if an earlier transfer of it has already done something,
    trying again is not known to be harmless, so it is aborted.
    """
    return Reply.ABORTED if reply is Reply.DECLINED and done_before else reply


def reply_of(moved: bool, code: int | None) -> Reply:
    """What a box's answer is to a course: `code` of a status, None for any other answer."""
    if moved:
        return Reply.MOVED
    if code in (None, packets.OK, packets.EOF):
        return Reply.FINE
    return Reply.MISSING if code == packets.NO_SUCH_FILE else Reply.BAD


# --- A client's connection.

Door = Enum("Door", "FRESH OPEN FULL CLOSED")
Knock = Enum("Knock", "INIT COMMAND FULL ROOM BROKEN STUCK IDLE LOST")
DOOR_TABLE: Mapping[tuple[Door, Knock], tuple[Door, str]] = {
    (Door.FRESH, Knock.INIT): (Door.OPEN, "version"),
    (Door.FRESH, Knock.COMMAND): (Door.CLOSED, "cut"),
    (Door.OPEN, Knock.INIT): (Door.CLOSED, "cut"),
    (Door.OPEN, Knock.COMMAND): (Door.OPEN, "take"),
    (Door.OPEN, Knock.FULL): (Door.FULL, "pause"),
    (Door.FULL, Knock.ROOM): (Door.OPEN, "resume"),
    # Guards against a client that asks and never reads, which would hold answers for good.
    (Door.FULL, Knock.STUCK): (Door.CLOSED, "cut"),
    **{(door, Knock.IDLE): (Door.CLOSED, "close") for door in (Door.FRESH, Door.OPEN)},
    **{
        (door, Knock.BROKEN): (Door.CLOSED, "cut")
        for door in (Door.FRESH, Door.OPEN, Door.FULL)
    },
    **{
        (door, Knock.LOST): (Door.CLOSED, "abandon")
        for door in (Door.FRESH, Door.OPEN, Door.FULL)
    },
}


def knock(door: Door, sign: Knock) -> tuple[Door, str]:
    """The next phase of a connection and what to do."""
    return DOOR_TABLE.get((door, sign), (door, ""))


def fullness(door: Door, out: int, unread: bool, most_out: int) -> Knock | None:
    """Whether a connection is to be read: not while too many commands are out, or its answers are not taken; again
    once half of them are done (a bound on both sides keeps it from flapping).
    """
    if door is Door.OPEN and (unread or out >= most_out):
        return Knock.FULL
    if door is Door.FULL and not unread and out <= most_out // 2:
        return Knock.ROOM
    return None


# --- The process.

Process = Enum("Process", "STARTING SERVING DRAINING STOPPED")
Event = Enum("Event", "LISTED TERM EMPTY OVERDUE")
PROCESS_TABLE: Mapping[tuple[Process, Event], tuple[Process, str]] = {
    (Process.STARTING, Event.LISTED): (Process.SERVING, "open"),
    (Process.STARTING, Event.TERM): (Process.STOPPED, "stop"),
    (Process.SERVING, Event.TERM): (Process.DRAINING, "drain"),
    (Process.DRAINING, Event.EMPTY): (Process.STOPPED, "stop"),
    (Process.DRAINING, Event.OVERDUE): (Process.STOPPED, "stop"),
    (Process.DRAINING, Event.TERM): (Process.STOPPED, "stop"),  # asked twice: at once
}


def pass_on(process: Process, event: Event) -> tuple[Process, str]:
    """The next phase of the process and what to do."""
    return PROCESS_TABLE.get((process, event), (process, ""))


def admit(process: Process, held: int, most_held: int, left: int) -> str:
    """Why a command is not handed to the module, or nothing: "" for admitted. What is refused here was never taken,
    so a decline is always true.
    """
    if process is not Process.SERVING:
        return "this gateway is going down"
    if held >= most_held:
        return "this gateway holds all that it may"
    return "the patience left is too short" if left <= 0 else ""


# --- Time.


def ends_at(came: int, patience: int, told_patience: int, margin: int) -> int:
    """When the client gives up, less the margin, from when its command may have come: the lesser of the operator's patience and the client's own; 0 is
    none told.
    """
    return came + min(patience, told_patience or patience) - margin


class AnswerLog:
    """Which final answers get a line: so many a second, the rest are counted into the next line."""

    def __init__(self, per_second: float) -> None:
        self.rate, self.level, self.at, self.passed = (
            per_second,
            max(per_second, 1.0),
            0,
            0,
        )

    def take(self, now: int) -> int | None:
        """How many were passed over since the last line, or None where this one is passed over too."""
        self.level = min(
            self.level + self.rate * (now - self.at) / 10_000, max(self.rate, 1.0)
        )
        self.at = now
        if self.level < 1 or not self.rate:
            self.passed += 1
            return None
        self.level -= 1
        passed, self.passed = self.passed, 0
        return passed
