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
WRITE_OPERATIONS = ("write", "change", "sync")
HASHED, FREE, BY_DIRECTORY = range(3)
MAX_PATH_LENGTH = 4096


class InvalidPath(InvalidValue):
    """A path of a client that names nothing here."""

    remedy = "nothing: the client is told; one that insists sends paths over 4,096 characters or with zero octets"


def canonical(path: str) -> str:
    """An absolute path without empty parts, . and ..; what climbs above / stays there, as in a file system."""
    if len(path) > MAX_PATH_LENGTH or "\0" in path:
        raise InvalidPath("a path too long or with a zero byte")
    parts: list[str] = []
    for part in path.split("/"):
        if part == "..":
            del parts[-1:]
        elif part not in ("", "."):
            parts.append(part)
    return "/" + "/".join(parts)


@dataclass(frozen=True, slots=True)
class RoutedVolume:
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


class RoutingTable:
    """The operator's map from commands to transfers; built once, pure afterwards."""

    def __init__(
        self,
        volumes: Sequence[RoutedVolume],
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

    def volume(self, path: str) -> RoutedVolume | None:
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

    def category(self, operation: str, volume: RoutedVolume, size: int) -> int:
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

    def home(self, volume: RoutedVolume, path: str) -> int:
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


class LocationCache:
    """Where new objects were last seen, by path; bounded, the least lately used leaves. A wrong one costs a look at
    the path's home, never a wrong answer.
    """

    def __init__(self, most: int) -> None:
        self.most, self.held = most, OrderedDict[str, "Spot"]()

    def get(self, path: str) -> ObjectLocation | None:
        if path in self.held:
            self.held.move_to_end(path)
        return self.held.get(path)

    def put(self, path: str, spot: ObjectLocation) -> None:
        self.held[path] = spot
        self.held.move_to_end(path)
        while len(self.held) > self.most:
            self.held.popitem(last=False)

    def drop(self, path: str) -> None:
        self.held.pop(path, None)


@dataclass(frozen=True, slots=True)
class ObjectLocation:
    """Where an object's bytes lie: its cell, and its name there."""

    cell: int
    name: str


def format_location(spot: ObjectLocation) -> str:
    """A spot as the target of a link."""
    return f"{spot.cell}:{spot.name}"


def parse_location(text: str) -> ObjectLocation | None:
    """A spot from a link's target; None where it is none."""
    cell, colon, name = text.partition(":")
    return (
        ObjectLocation(int(cell), name)
        if colon and cell.isdecimal() and len(cell) < 10 and name
        else None
    )


# --- The course of a command: one transfer after another.

# HOME: asked at the path's home. THERE: at the spot that a link or memory named. PLACING: a new object, wherever the
# module puts it. LINKING: its link at home. SOURCE, MOVING, CLEARING: a rename by links. UNLINKING: after a removal.
# SWEEPING: a directory's other cells, home last.
CommandStep = Enum(
    "Leg", "HOME THERE PLACING LINKING SOURCE MOVING CLEARING UNLINKING SWEEPING OVER"
)
# What a transfer came to. FINE: the box did it. MISSING: no such file. MOVED: a link, with its spot. TAKEN: the name
# stands already. BAD: another status. DECLINED, ABORTED: the module gave it up.
StepResult = Enum("Reply", "FINE MISSING MOVED TAKEN BAD DECLINED ABORTED")
# What kind of course: PLAIN ends with its first answer, FOLLOW goes where a link leads, MAKE creates what is missing,
# REMOVE also takes the link away, RENAME moves links, SWEEP asks every cell of the volume,
# and LIST reads a directory cell by cell.
CommandStrategy = Enum("Course", "PLAIN FOLLOW MAKE REMOVE RENAME SWEEP LIST")

# (course, leg, reply) -> (next leg, effect). OVER ends the command; the effect says with which answer.
STEP_TABLE: Mapping[
    tuple[CommandStrategy, CommandStep, StepResult], tuple[CommandStep, str]
] = {
    # A cached spot that is empty may be old: its home knows. A home whose link leads to nothing has the last word.
    **{
        (course, CommandStep.HOME, StepResult.MOVED): (CommandStep.THERE, "follow")
        for course in (
            CommandStrategy.FOLLOW,
            CommandStrategy.MAKE,
            CommandStrategy.REMOVE,
        )
    },
    **{
        (course, CommandStep.THERE, StepResult.MISSING): (CommandStep.HOME, "forget")
        for course in (CommandStrategy.FOLLOW, CommandStrategy.MAKE)
    },
    (CommandStrategy.REMOVE, CommandStep.THERE, StepResult.FINE): (
        CommandStep.UNLINKING,
        "",
    ),
    (CommandStrategy.REMOVE, CommandStep.THERE, StepResult.MISSING): (
        CommandStep.UNLINKING,
        "forget",
    ),
    (CommandStrategy.REMOVE, CommandStep.UNLINKING, StepResult.MISSING): (
        CommandStep.OVER,
        "done",
    ),
    (CommandStrategy.MAKE, CommandStep.HOME, StepResult.MISSING): (
        CommandStep.PLACING,
        "",
    ),
    (CommandStrategy.MAKE, CommandStep.PLACING, StepResult.FINE): (
        CommandStep.LINKING,
        "keep",
    ),
    (CommandStrategy.MAKE, CommandStep.LINKING, StepResult.FINE): (
        CommandStep.OVER,
        "made",
    ),
    # Another gateway made the same name meanwhile: its object stands, ours is left without a link.
    (CommandStrategy.MAKE, CommandStep.LINKING, StepResult.MOVED): (
        CommandStep.THERE,
        "follow",
    ),
    (CommandStrategy.RENAME, CommandStep.SOURCE, StepResult.MOVED): (
        CommandStep.MOVING,
        "carry",
    ),
    (CommandStrategy.RENAME, CommandStep.SOURCE, StepResult.FINE): (
        CommandStep.OVER,
        "unsupported",
    ),
    (CommandStrategy.RENAME, CommandStep.MOVING, StepResult.FINE): (
        CommandStep.CLEARING,
        "forget",
    ),
    (CommandStrategy.RENAME, CommandStep.MOVING, StepResult.MOVED): (
        CommandStep.OVER,
        "taken",
    ),
    (CommandStrategy.RENAME, CommandStep.CLEARING, StepResult.MISSING): (
        CommandStep.OVER,
        "done",
    ),
    (CommandStrategy.SWEEP, CommandStep.SWEEPING, StepResult.FINE): (
        CommandStep.SWEEPING,
        "next",
    ),
    (CommandStrategy.SWEEP, CommandStep.SWEEPING, StepResult.MISSING): (
        CommandStep.SWEEPING,
        "next",
    ),
    (CommandStrategy.LIST, CommandStep.SWEEPING, StepResult.FINE): (
        CommandStep.SWEEPING,
        "page",
    ),
    (CommandStrategy.LIST, CommandStep.SWEEPING, StepResult.MISSING): (
        CommandStep.SWEEPING,
        "page",
    ),
}
MAX_STEPS = 6
# Legs after which something of the command has been done at a box: a later decline would promise too much.
MUTATING_STEPS = (
    CommandStep.PLACING,
    CommandStep.LINKING,
    CommandStep.MOVING,
    CommandStep.CLEARING,
    CommandStep.UNLINKING,
)


def next_step(
    course: CommandStrategy, leg: CommandStep, reply: StepResult, legs: int
) -> tuple[CommandStep, str]:
    """The next leg of a command and what to do; whatever the table does not name ends it with what it came to.

    `legs` counts those gone: a course that runs in a circle (links that two gateways keep moving) ends as aborted.
    """
    after, effect = STEP_TABLE.get((course, leg, reply), (CommandStep.OVER, "answer"))
    if (
        after is not CommandStep.OVER
        and legs >= MAX_STEPS
        and course not in (CommandStrategy.SWEEP, CommandStrategy.LIST)
    ):
        return CommandStep.OVER, "tangled"
    return after, effect


def strategy_for(
    command: Any, placement: int, cells: int
) -> tuple[CommandStrategy, CommandStep]:
    """How a command on a path goes, and its first leg. Objects of hashed volumes lie at their home, those of free ones
    where a link at home says.
    """
    kind = type(command)
    if kind is packets.Readdir:
        return CommandStrategy.LIST, CommandStep.SWEEPING
    if kind is packets.Rmdir and cells > 1:
        return CommandStrategy.SWEEP, CommandStep.SWEEPING
    if placement != FREE or kind in (packets.Mkdir, packets.Rmdir):
        return CommandStrategy.PLAIN, CommandStep.HOME
    if kind is packets.Open and command.flags & packets.CREATE_FLAG:
        return CommandStrategy.MAKE, CommandStep.HOME
    return {
        packets.Remove: (CommandStrategy.REMOVE, CommandStep.HOME),
        packets.Rename: (CommandStrategy.RENAME, CommandStep.SOURCE),
    }.get(kind, (CommandStrategy.FOLLOW, CommandStep.HOME))


def first_step(
    course: CommandStrategy, leg: CommandStep, remembered: ObjectLocation | None
) -> CommandStep:
    """A remembered spot spares the look at home, but for what must change the link there."""
    return (
        CommandStep.THERE
        if remembered is not None
        and course in (CommandStrategy.FOLLOW, CommandStrategy.MAKE)
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


def told(reply: StepResult, done_before: bool) -> StepResult:
    """What the client hears of a command that a decline ends: if an earlier transfer of it has already done something,
    trying again is not known to be harmless, so it is aborted.
    """
    return StepResult.ABORTED if reply is StepResult.DECLINED and done_before else reply


def step_result(moved: bool, code: int | None) -> StepResult:
    """What a box's answer is to a course: `code` of a status, None for any other answer."""
    if moved:
        return StepResult.MOVED
    if code in (None, packets.OK, packets.EOF):
        return StepResult.FINE
    return StepResult.MISSING if code == packets.NO_SUCH_FILE else StepResult.BAD


# --- A client's connection.

SftpClientState = Enum("Door", "FRESH OPEN FULL CLOSED")
SftpClientEvent = Enum("Knock", "INIT COMMAND FULL ROOM BROKEN STUCK IDLE LOST")
CLIENT_TABLE: Mapping[
    tuple[SftpClientState, SftpClientEvent], tuple[SftpClientState, str]
] = {
    (SftpClientState.FRESH, SftpClientEvent.INIT): (SftpClientState.OPEN, "version"),
    (SftpClientState.FRESH, SftpClientEvent.COMMAND): (SftpClientState.CLOSED, "cut"),
    (SftpClientState.OPEN, SftpClientEvent.INIT): (SftpClientState.CLOSED, "cut"),
    (SftpClientState.OPEN, SftpClientEvent.COMMAND): (SftpClientState.OPEN, "take"),
    (SftpClientState.OPEN, SftpClientEvent.FULL): (SftpClientState.FULL, "pause"),
    (SftpClientState.FULL, SftpClientEvent.ROOM): (SftpClientState.OPEN, "resume"),
    # Guards against a client that asks and never reads, which would hold answers for good.
    (SftpClientState.FULL, SftpClientEvent.STUCK): (SftpClientState.CLOSED, "cut"),
    **{
        (door, SftpClientEvent.IDLE): (SftpClientState.CLOSED, "close")
        for door in (SftpClientState.FRESH, SftpClientState.OPEN)
    },
    **{
        (door, SftpClientEvent.BROKEN): (SftpClientState.CLOSED, "cut")
        for door in (SftpClientState.FRESH, SftpClientState.OPEN, SftpClientState.FULL)
    },
    **{
        (door, SftpClientEvent.LOST): (SftpClientState.CLOSED, "abandon")
        for door in (SftpClientState.FRESH, SftpClientState.OPEN, SftpClientState.FULL)
    },
}


def next_client_state(
    door: SftpClientState, sign: SftpClientEvent
) -> tuple[SftpClientState, str]:
    """The next phase of a connection and what to do."""
    return CLIENT_TABLE.get((door, sign), (door, ""))


def flow_control_event(
    door: SftpClientState, out: int, unread: bool, most_out: int
) -> SftpClientEvent | None:
    """Whether a connection is to be read: not while too many commands are out, or its answers are not taken; again
    once half of them are done (a bound on both sides keeps it from flapping).
    """
    if door is SftpClientState.OPEN and (unread or out >= most_out):
        return SftpClientEvent.FULL
    if door is SftpClientState.FULL and not unread and out <= most_out // 2:
        return SftpClientEvent.ROOM
    return None


# --- The process.

GatewayState = Enum("Process", "STARTING SERVING DRAINING STOPPED")
GatewayEvent = Enum("Event", "LISTED TERM EMPTY OVERDUE")
GATEWAY_TABLE: Mapping[tuple[GatewayState, GatewayEvent], tuple[GatewayState, str]] = {
    (GatewayState.STARTING, GatewayEvent.LISTED): (GatewayState.SERVING, "open"),
    (GatewayState.STARTING, GatewayEvent.TERM): (GatewayState.STOPPED, "stop"),
    (GatewayState.SERVING, GatewayEvent.TERM): (GatewayState.DRAINING, "drain"),
    (GatewayState.DRAINING, GatewayEvent.EMPTY): (GatewayState.STOPPED, "stop"),
    (GatewayState.DRAINING, GatewayEvent.OVERDUE): (GatewayState.STOPPED, "stop"),
    (GatewayState.DRAINING, GatewayEvent.TERM): (
        GatewayState.STOPPED,
        "stop",
    ),  # asked twice: at once
}


def next_gateway_state(
    process: GatewayState, event: GatewayEvent
) -> tuple[GatewayState, str]:
    """The next phase of the process and what to do."""
    return GATEWAY_TABLE.get((process, event), (process, ""))


def refusal_reason(process: GatewayState, held: int, most_held: int, left: int) -> str:
    """Why a command is not handed to the module, or nothing: "" for admitted. What is refused here was never taken,
    so a decline is always true.
    """
    if process is not GatewayState.SERVING:
        return "this gateway is going down"
    if held >= most_held:
        return "this gateway holds all that it may"
    return "the patience left is too short" if left <= 0 else ""


# --- Time.


def client_deadline(came: int, patience: int, told_patience: int, margin: int) -> int:
    """When the client gives up, less the margin, from when its command may have come: the lesser of the operator's patience and the client's own; 0 is
    none told.
    """
    return came + min(patience, told_patience or patience) - margin


class AnswerLogLimiter:
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
