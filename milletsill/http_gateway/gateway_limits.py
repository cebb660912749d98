"""What the gateway on the platform decides around the module: bounds, shares, phases. No I/O, no clock.

Spans are whole tenths of a millisecond. Nothing about a transfer stands here.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from itertools import islice

# --- A client's connection.

# FRESH: nothing came yet but what is answered at once (health, turned away). WAITING: between requests. BUSY: a transfer is open. ENDING: nothing more is read of it; its last
# answer is being handed over, our side is closed, or the client has closed its own.
Stage = Enum("Stage", "FRESH WAITING BUSY ENDING CLOSED")
Cue = Enum("Cue", "TAKEN ANSWERED LAST REFUSED IDLE LEAVE SLOW GONE LINGERED LOST")

CLIENT_TABLE: Mapping[tuple[Stage, Cue], tuple[Stage, str]] = {
    **{(stage, Cue.TAKEN): (Stage.BUSY, "") for stage in (Stage.FRESH, Stage.WAITING)},
    (Stage.BUSY, Cue.ANSWERED): (Stage.WAITING, "read on"),
    **{
        (stage, Cue.LAST): (Stage.ENDING, "end")
        for stage in (Stage.FRESH, Stage.WAITING, Stage.BUSY)
    },
    **{
        (stage, Cue.REFUSED): (Stage.ENDING, "end")
        for stage in (Stage.FRESH, Stage.WAITING)
    },
    (Stage.BUSY, Cue.REFUSED): (Stage.ENDING, "abandon and end"),
    (Stage.FRESH, Cue.IDLE): (Stage.CLOSED, "close"),
    (Stage.WAITING, Cue.IDLE): (Stage.ENDING, "end"),
    **{
        (stage, Cue.LEAVE): (Stage.ENDING, "end")
        for stage in (Stage.FRESH, Stage.WAITING)
    },
    **{
        (stage, Cue.GONE): (Stage.ENDING, "part")
        for stage in (Stage.FRESH, Stage.WAITING, Stage.ENDING)
    },
    (Stage.BUSY, Cue.GONE): (Stage.ENDING, "abandon and part"),
    **{
        (stage, Cue.SLOW): (Stage.ENDING, "slow")
        for stage in (Stage.FRESH, Stage.WAITING)
    },
    (Stage.ENDING, Cue.LINGERED): (Stage.CLOSED, "cut"),
    **{
        (stage, Cue.LOST): (Stage.CLOSED, "")
        for stage in (Stage.FRESH, Stage.WAITING, Stage.ENDING)
    },
    (Stage.BUSY, Cue.LOST): (Stage.CLOSED, "abandon"),
}

SILENT = 22_000  # a connection on which nothing ever came is closed after this
WHOLE = 20_000  # a request is whole this long after its first octet, or is refused
# On a new connection it counts as begun this long after that came, at the latest. Guards the 3 s within which a bad client is owed a
# word. Harm: one that comes late and then slowly is refused sooner.
BEGUN_BY = 9_000
IDLE = 200_000  # a connection between requests is closed after this
# Where descriptors are short, one on which no transfer came is closed from this age on, also if it asked for our health and stayed:
# thousands of these may come. Harm: who was turned away at once, and rests, comes again on a new connection.
YOUNG = 500
LOOK_SHORT = 200  # between looks, where descriptors are short
SPARED = 21_000  # and one between requests after this
LINGER = 10_000  # a connection with its last answer handed over is cut after this
MOST_AHEAD = (
    16_384  # octets of later requests held while one is open, behind the next one
)
MOST_REQUEST = 73_728  # octets of a usual one, with its head; a longer one is counted against the memory
MOST_DISCARDED = 1 << 20  # octets read and thrown away behind a refused request
ANSWER_MARGIN = 60  # an answer is written this long before the client's time is up


def next_stage(stage: Stage, cue: Cue) -> tuple[Stage, str]:
    """The next stage of a client's connection and what to do; what the table does not name changes nothing."""
    return CLIENT_TABLE.get((stage, cue), (stage, ""))


def due(
    stage: Stage, begun: bool, quiet: int, short: bool, taking: bool = False
) -> Cue | None:
    """What the passing of time means for a client's connection; `short` where descriptors are. `taking`: the client still
    takes its last answer, and a cut would tear it. Harm: one that takes none holds a descriptor that much longer.
    """
    if stage is Stage.ENDING:
        return (
            Cue.LINGERED
            if quiet >= ((SPARED if short else IDLE) if taking else LINGER)
            else None
        )
    if stage not in (Stage.FRESH, Stage.WAITING):
        return None
    if begun:
        return Cue.SLOW if quiet >= WHOLE else None
    if stage is Stage.FRESH:
        return Cue.IDLE if quiet >= (YOUNG if short else SILENT) else None
    return Cue.IDLE if quiet >= (SPARED if short else IDLE) else None


# --- Ids.

MOST_SPENT = 16_384  # ids that are remembered


class Spent:
    """Ids of transfers whose clients may still wait for them, also where they are over. Guards rule 2 and nodes against the id of
    another's request sent once more: every request has a fresh one, a client's repeat too. Harm: who uses one again within the
    patience of its first use is refused, and so is who comes behind a stranger that used its id.
    """

    def __init__(self) -> None:
        self.until = dict[int, int]()  # in the order of their coming

    def take(self, id: int, until: int, now: int) -> None:
        """Remember one; the oldest, and those before it whose time is over, are forgotten."""
        for other in list(islice(self.until, 8)):
            if self.until[other] > now and len(self.until) < MOST_SPENT:
                break
            del self.until[other]
        self.until[id] = until

    def known(self, id: int, now: int) -> bool:
        return self.until.get(id, now) > now


# --- Descriptors.

SPARE = 48  # standard streams, the reactor's own, discovery, a list read, the listening socket, and OVER
OVER = 24  # clients that are accepted in the round in which their share is full: the reactor takes 20 more a round
CLIENTS_PART = 0.6


@dataclass(frozen=True, slots=True)
class Shares:
    """How many descriptors clients' connections and links to nodes may hold; neither can starve the other."""

    clients: int
    links: int


def shares_of(sockets: int) -> Shares:
    """The parts of a limit."""
    free = max(sockets - SPARE, 4)
    clients = max(int(free * CLIENTS_PART), 2)
    return Shares(clients, free - clients)


# --- Long requests and answers.

MOST_BODY = (
    1 << 20
)  # octets of one body; the platform's page says 64 KiB, its reads bring up to six times that
SHORT_BODY = 1 << 16  # up to this a body is not counted
HELD_PART = 0.25  # of the memory: for long requests, and long answers coming in or waiting for clients that read slowly


class Octets:
    """What long requests and answers, and requests ahead of one, hold of the memory. Guards the process against being killed for
    memory by bodies that are long or clients that do not read. Harm: past the bound a good answer counts as spoilt, and a long
    request is turned away.
    """

    def __init__(self, memory_mb: int) -> None:
        self.most, self.held = int(memory_mb * HELD_PART) << 20, 0

    def take(self, octets: int) -> bool:
        """Whether there is room for one more."""
        if self.held + octets > self.most:
            return False
        self.held += octets
        return True


# --- Links.

IDLE_PART = 0.7  # an idle link is closed after this part of the time after which the node may close it
UNTOLD_DIAL, UNTOLD_IDLE = (
    10_000,
    50_000,
)  # where the settings do not say how long a dial and an idle link last
MOST_EACH = 128  # links to one node
MOST_WAITING = 128  # dispatches that wait for a link to one node


def kept_from(waited: int, dial: int, left: int) -> bool:
    """Whether a dispatch that waited for a link does not begin any more. Guards the rules against a dispatch that begins long
    after it was decided on: limits, cold windows and a repeat's span may be others by then. Harm: one that the node
    would still have served is tried again later.
    """
    return waited >= dial or left <= 0


# --- Discovery.

# Whatever becomes of calls to discovery, a change counts as told this long after discovery had it and could be reached, or
# after the watch that would have told it fell silent, which may be as soon as its last word came; after SIGHUP the second.
# Where lists are pushed, what the agent has counts as told at once, and the drain grace is all that there is.
TOLD, TOLD_MOVED = 60_000, 40_000
QUIET = TOLD  # a watch without a word for this long is over
OVERDUE = (
    26_000,
    32_000,
)  # drawn: so long without one, and another is opened beside it; spread, where many fall silent at once
DIAL = 10_000
FIRST_WORD = 22_000  # from a call to the answer's head, and from there to its first line: a beat, and a little
MARGIN, RETRY_PART = (
    5_000,
    1 / 3,
)  # the second call is made by chance within this part of what is left, less the margin
LEAST_RETRY = 1_000
PACE = 1.5  # of the grace, of which the module's longest pause is a quarter
MOST_LINE = 4 << 20  # octets of one list
MOST_OPEN = (
    1 << 16
)  # up to here a list counts without its line's end. Guards against a long one in many pieces, each looked at
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')


def ask_within(pushed: bool, stated: int, grace: int) -> int:
    """The span of which the module draws its pauses, up to a quarter: the time within which a change counts as told where calls
    fail, the least that the settings and the platform's page say. Where lists are pushed nothing is left but the grace to
    stop sending; the longest pause, and what passes until another call is made beside one, are under two thirds of it.
    """
    return min(each for each in (TOLD, stated, int(grace * PACE) * pushed) if each)


def retry_within(
    quiet: int, moved: int | None, hurried: bool = False
) -> tuple[int, int, bool]:
    """Between what bounds the next call is put off where one failed that was made beside a standing watch, or after SIGHUP:
    `quiet` since the standing one's last word, `moved` since SIGHUP, if it was. And whether it is made without the
    module: where that has heard of a failure since SIGHUP (`hurried`), its next pause may be longer than what is left. Guards a
    service with too many callers against all of them coming again at once. Harm: the list is that much later, never past its
    time.
    """
    left = TOLD - quiet if moved is None else min(TOLD - quiet, TOLD_MOVED - moved)
    most = int(max(left - MARGIN, 0) * RETRY_PART)
    alone = hurried and most > LEAST_RETRY
    return most // 2 if alone else 0, most, alone


# A call until it has spoken. DIALLED: not up yet. TAKEN: up; it may wait for its turn, or for the first beat behind its
# answer's head. BEGUN: a part of its first line is here.
Call = Enum("Call", "DIALLED TAKEN BEGUN")
BESIDE = 1 / 8, 1 / 4  # of the grace
BESIDE_MUTE, BESIDE_SOON = (7_000, 11_000), (2_500, 5_000)
BESIDE_MOVED = 27_000, 31_000  # since SIGHUP


def beside_within(
    stage: Call, mute: bool, grace: int, moved: int | None
) -> tuple[int, int] | None:
    """Between what bounds a call that gets no further has another beside it, None: never. Guards against one that ends by our
    patience alone. Where lists are pushed (`grace`): soon, but not where the call is taken: a service with too many callers lets
    it wait, and speaks within two seconds; only where the last one was silent for all of its time (`mute`), half way
    through. After SIGHUP (`moved`: so long ago): just in time, or where the service has not heard of it. Harm: up to
    twice the calls.
    """
    spans = []
    if grace and stage is not Call.TAKEN:
        spans.append((int(grace * BESIDE[0]), int(grace * BESIDE[1])))
    elif grace and mute:
        spans.append(BESIDE_MUTE)
    if moved is not None and moved < TOLD_MOVED - MARGIN:
        late = (
            max(BESIDE_MOVED[0] - moved, BESIDE_SOON[0]),
            max(BESIDE_MOVED[1] - moved, BESIDE_SOON[1]),
        )
        spans.append(BESIDE_SOON if stage is Call.DIALLED else late)
    return min(spans, default=None)


def is_mute(mute: bool, quiet: int, status: int) -> bool:
    """Whether discovery takes calls and says nothing: since one was given up for that, until any is answered."""
    return quiet > FIRST_WORD or mute and not status


def depth_of(line: bytes) -> int:
    """Brackets that a line of JSON opens, less those that it closes."""
    bare = TEXT.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


# --- The process.

# LEAVING: requests are taken and answered as before. SHUTTING: what is read is refused. DRAINING: our side of every
# connection is closed, and clients are heard out.
Process = Enum("Process", "STARTING SERVING LEAVING SHUTTING DRAINING STOPPED")
Event = Enum("Event", "UP TERM SHUT DRAIN EMPTY OVERDUE")
PROCESS_TABLE: Mapping[tuple[Process, Event], tuple[Process, str]] = {
    (Process.STARTING, Event.UP): (Process.SERVING, ""),
    (Process.STARTING, Event.TERM): (Process.STOPPED, "stop"),
    (Process.SERVING, Event.TERM): (Process.LEAVING, "leave"),
    (Process.LEAVING, Event.SHUT): (Process.SHUTTING, "shut"),
    (Process.SHUTTING, Event.DRAIN): (Process.DRAINING, "drain"),
    (Process.DRAINING, Event.EMPTY): (Process.STOPPED, "stop"),
    **{
        (stage, Event.OVERDUE): (Process.STOPPED, "stop")
        for stage in (Process.LEAVING, Process.SHUTTING, Process.DRAINING)
    },
}
# After SIGTERM the platform kills no sooner than the longest patience, counted as three seconds at most, and this much.
KILLED_AFTER, COUNTED = 7_000, 30_000
LEFT_OVER = 2_000  # of that, to be away in time:
REFUSED_FOR = 500  # what had come unread by then, or comes now, is read and refused: rounds of a busy reactor
HEARD_OUT = 600  # behind the end of our side: a close over unread octets would reset the connection and tear an answer


def leave_within(longest: int) -> int:
    """How long after SIGTERM transfers are taken and answered. Clients use the connections that they have for as long as
    these stand, and have no others: closed early, they only fail. Harm: where the platform restarts a gateway as soon as
    it ends, it is back later than it could be.
    """
    return max(min(longest, COUNTED) + KILLED_AFTER - LEFT_OVER, 0)


def ends_of(longest: int) -> tuple[tuple[int, Event], ...]:
    """Every step after SIGTERM, counted from it: whatever happens in between, none comes later."""
    shut = leave_within(longest)
    return (
        (shut, Event.SHUT),
        (shut + REFUSED_FOR, Event.DRAIN),
        (shut + REFUSED_FOR + HEARD_OUT, Event.OVERDUE),
    )


def pass_on(process: Process, event: Event) -> tuple[Process, str]:
    """The next stage of the process and what to do."""
    return PROCESS_TABLE.get((process, event), (process, ""))
