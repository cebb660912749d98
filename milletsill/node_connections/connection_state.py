"""What the pool of one disk box does: which connection a dispatch takes, when to dial, beat, cut and close.

No I/O and no clock: figures in, one word out. Spans are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

# DIALING: no connection yet. GREETING: waits for VERSION. READY: takes dispatches. DOUBTED: owes a beat.
Stage = Enum("Stage", "DIALING GREETING READY DOUBTED CLOSED")
# WORD: bytes came. QUIET: nothing came for the silent span though something is owed. LATE: no handshake in time.
# SPENT: idle for the idle span. BROKEN: bytes that are no packet. LOST: the transport ended. RETIRE: the box is gone.
Sign = Enum("Sign", "CONNECTED VERSION WORD QUIET LATE SPENT BROKEN LOST RETIRE")

OPEN_STAGES = (Stage.DIALING, Stage.GREETING, Stage.READY, Stage.DOUBTED)
LINK_TABLE: Mapping[tuple[Stage, Sign], tuple[Stage, str]] = {
    (Stage.DIALING, Sign.CONNECTED): (Stage.GREETING, "greet"),
    (Stage.GREETING, Sign.VERSION): (Stage.READY, "serve"),
    (Stage.GREETING, Sign.QUIET): (Stage.GREETING, ""),
    (Stage.READY, Sign.QUIET): (Stage.DOUBTED, "beat"),
    (Stage.DOUBTED, Sign.WORD): (Stage.READY, "serve"),
    # Guards against a half-open connection, which gives neither data nor an end. A box that only stands still for
    # less than two silent spans is kept. Harm: a box that is stopped for longer loses what it had in work.
    (Stage.DOUBTED, Sign.QUIET): (Stage.CLOSED, "cut"),
    (Stage.READY, Sign.SPENT): (Stage.CLOSED, "close"),
    (Stage.READY, Sign.RETIRE): (Stage.CLOSED, "close"),
    **{
        (stage, Sign.LATE): (Stage.CLOSED, "cut")
        for stage in (Stage.DIALING, Stage.GREETING)
    },
    **{(stage, Sign.BROKEN): (Stage.CLOSED, "cut") for stage in OPEN_STAGES},
    **{(stage, Sign.LOST): (Stage.CLOSED, "end") for stage in OPEN_STAGES},
}


def step(stage: Stage, sign: Sign) -> tuple[Stage, str]:
    """The next stage and what to do; what the table does not name changes nothing."""
    return LINK_TABLE.get((stage, sign), (stage, ""))


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of one pool; `silent` and `dial` in tenths of a millisecond."""

    connections: int
    streams: int
    handshakes: int
    dial: int
    idle: int
    silent: int


@dataclass(slots=True)
class Load:
    """One connection as the pool sees it: `stuck` while the box does not take bytes."""

    stage: Stage
    out: int = 0
    stuck: bool = False


Way = Enum("Way", "USE DIAL WAIT REFUSE")


def route(loads: Sequence[Load], waiting: int, bounds: Bounds) -> tuple[Way, int]:
    """Which way a dispatch goes, and the place of the connection it takes.

    The least loaded connection that takes more; else a new one, if the bounds on connections and handshakes let it;
    else it waits for one that is being made, never more of them than those could carry; else it is refused, which
    tells the module that the box was not reached.
    """
    best = min(
        (
            place
            for place, each in enumerate(loads)
            if each.stage is Stage.READY
            and not each.stuck
            and each.out < bounds.streams
        ),
        key=lambda place: loads[place].out,
        default=-1,
    )
    if best >= 0 and (
        loads[best].out == 0
        or not may_dial(loads, bounds)
        or loads[best].out < bounds.streams // 2
    ):
        return Way.USE, best
    if may_dial(loads, bounds):
        return Way.DIAL, -1
    if best >= 0:
        return Way.USE, best
    making = sum(each.stage in (Stage.DIALING, Stage.GREETING) for each in loads)
    return (Way.WAIT, -1) if waiting < making * bounds.streams else (Way.REFUSE, -1)


def may_dial(loads: Sequence[Load], bounds: Bounds) -> bool:
    """Whether one more handshake is within the bounds."""
    open_now = [each for each in loads if each.stage in OPEN_STAGES]
    making = sum(each.stage in (Stage.DIALING, Stage.GREETING) for each in open_now)
    return len(open_now) < bounds.connections and making < bounds.handshakes


def due(stage: Stage, owed: int, quiet: int, age: int, bounds: Bounds) -> Sign | None:
    """What the passing of time means for one connection.

    `owed`: answers or beats that the box owes; `quiet`: since its last byte or since it owes, whichever is later;
    `age`: since dialling.
    """
    if stage in (Stage.DIALING, Stage.GREETING):
        return Sign.LATE if age >= bounds.dial else None
    if owed and quiet >= bounds.silent:
        return Sign.QUIET
    if not owed and quiet >= bounds.idle:
        return Sign.SPENT
    return None
