"""Who is there: tables, tuned values and pure functions. No I/O, no clock; times are tenths of a millisecond.

A gateway is in one of four standings at the others. What is said of it is ordered: a later run goes before an earlier one, then a
larger nonce (two with one run), then a later turn (only the gateway itself takes the next), then the graver standing. Every
gateway keeps the greatest it has heard, so whatever is lost, late or doubled, they end equal.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import log

from milletsill.fleet.frames.messages import MemberUpdate
from milletsill.fleet.transport import ViewChange, MemberState

ALIVE, SUSPECT, GONE, LEFT = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.GONE,
    MemberState.LEFT,
)
MS, SECOND = 10, 10_000

BEAT = 1000  # between ticks
LATE = 1000  # a tick that is later than this: this gateway stood still
RING = 2  # successors by hash that each gateway probes, beside one of all in turn: nobody waits for a probe
DOUBT_SHARE = 2.4  # of the probe span: without a sign of life for so long, a member is told to be suspect
ROUND_SHARE = 0.8  # of the probe span: between rounds of probes to one that is doubted
LEAST_SHARE = 0.5  # of the suspicion span, where enough others suspect it too
CONFIRMS = 1  # others that are enough
MOST_WATCHES = 12  # members that one gateway doubts at a time; others doubt the rest
HEARSAY_SHARE = 0.7  # of the suspicion span: one said to be gone, that I took for alive, has so long to answer me
FRESH_ANSWERS = (
    2  # answer spans that are left of a doubt, at least, once this gateway stood still
)
HEARSAYS = 16  # members that are asked so in one beat
STALE_SPANS = 3  # suspicion spans: a suspicion that nobody ended is looked into
NEWS_EVERY, NEWS_TO = 1000, 3  # while there is news: so many are told, so often
LEAVE_TO = (
    4  # times the logarithm of the fleet's size: so many are told of a leave at once
)
SOON = 5000  # the next whole exchange, after one that found a difference
LOST_PART = 3  # one whole exchange in so many goes to a member believed gone, or an address of the file
JOIN_EVERY = 5000  # while nobody else is known
FORGET_EVERY = 100_000
OWN_TROUBLE, LOOKED_AT, LEAST_TARGETS = (
    0.67,
    8,
    4,
)  # part of the last so many probes, of so many members at least
TROUBLE_TIMES = 3  # spans are this much longer for one that is its own trouble
MOST_SCORE = 4  # of doubt in oneself; at the most all spans are twice as long
JUST_WOKE = 2 * BEAT
NEVER = -1
RELAYS = 1024  # probes that others asked for, kept until answered
TWIN_AFTER, TWIN_EVERY = 50_000, 300_000  # since the start; between words about it


@dataclass(frozen=True, slots=True)
class Terms:
    """One gateway's spans and bounds, from its file."""

    fleet: str
    probe: int = 500 * MS
    answer: int = 200 * MS
    through: int = 3
    suspicion: int = 2 * SECOND
    exchange: int = 5 * SECOND
    most_members: int = 4096
    remember: int = 3600 * SECOND


# What is said of a member against what is held of it.

# NEWER: of a later turn. SAME: of the turn that is held. Older ones change nothing. RUN: of a later run or a greater nonce.
Order = Enum("Order", "OLDER SAME NEWER RUN")
# suspect: note who suspects it, and pass it on. hearsay: it is said to be gone but was well to me; ask it. again: it lives.
HELD: Mapping[tuple[MemberState, MemberState, Order], tuple[MemberState, str]] = {
    (ALIVE, SUSPECT, Order.SAME): (SUSPECT, "suspect"),
    (SUSPECT, SUSPECT, Order.SAME): (SUSPECT, "confirm"),
    # Guards a half that was cut off from believing the other half's word about itself once it is healed: nobody who took a
    # member for alive drops it unheard. Harm: a death of which no suspicion went before is believed a span later.
    (ALIVE, GONE, Order.SAME): (SUSPECT, "hearsay"),
    (ALIVE, GONE, Order.NEWER): (SUSPECT, "hearsay"),
    (SUSPECT, GONE, Order.SAME): (SUSPECT, "sentence"),
    (SUSPECT, GONE, Order.NEWER): (SUSPECT, "hearsay"),
    **{
        (held, LEFT, order): (LEFT, "left")
        for held in (ALIVE, SUSPECT)
        for order in (Order.SAME, Order.NEWER)
    },
    (GONE, LEFT, Order.SAME): (LEFT, "note"),
    (GONE, LEFT, Order.NEWER): (LEFT, "note"),
    (ALIVE, ALIVE, Order.NEWER): (ALIVE, "turn"),
    (ALIVE, SUSPECT, Order.NEWER): (SUSPECT, "suspect"),
    (SUSPECT, ALIVE, Order.NEWER): (ALIVE, "refuted"),
    (SUSPECT, SUSPECT, Order.NEWER): (SUSPECT, "suspect"),
    (GONE, ALIVE, Order.NEWER): (ALIVE, "again"),
    (GONE, SUSPECT, Order.NEWER): (SUSPECT, "again"),
    (GONE, GONE, Order.NEWER): (GONE, "note"),
    (LEFT, ALIVE, Order.NEWER): (ALIVE, "again"),
    (LEFT, SUSPECT, Order.NEWER): (SUSPECT, "again"),
    **{(held, ALIVE, Order.RUN): (ALIVE, "restarted") for held in (ALIVE, SUSPECT)},
    **{(held, SUSPECT, Order.RUN): (SUSPECT, "restarted") for held in (ALIVE, SUSPECT)},
    **{(held, ALIVE, Order.RUN): (ALIVE, "again") for held in (GONE, LEFT)},
    **{(held, SUSPECT, Order.RUN): (SUSPECT, "again") for held in (GONE, LEFT)},
    **{(held, GONE, Order.RUN): (GONE, "gone") for held in (ALIVE, SUSPECT)},
    **{(held, LEFT, Order.RUN): (LEFT, "left") for held in (ALIVE, SUSPECT)},
    **{
        (held, said, Order.RUN): (said, "note")
        for held in (GONE, LEFT)
        for said in (GONE, LEFT)
    },
}
CHANGES: Mapping[str, ViewChange] = {
    "suspect": ViewChange.SUSPECTED,
    "hearsay": ViewChange.SUSPECTED,
    "refuted": ViewChange.REFUTED,
    "again": ViewChange.JOINED,
    "left": ViewChange.LEFT,
    "gone": ViewChange.GONE,
    "restarted": ViewChange.RESTARTED,
}


def order_of(held: tuple[int, int, int], said: tuple[int, int, int]) -> Order:
    """Both are (run, nonce, turn)."""
    if said[:2] != held[:2]:
        return Order.RUN if said[:2] > held[:2] else Order.OLDER
    return (
        Order.SAME
        if said[2] == held[2]
        else Order.NEWER
        if said[2] > held[2]
        else Order.OLDER
    )


def believed(named: bool, told: int, woke: int, terms: Terms) -> bool:
    """Whether a death is believed unheard: somebody is named who suspected it, and it had the least span to refute that. What
    is read right after this gateway stood still has lain there, suspicion and sentence alike.
    """
    return named and (told >= terms.suspicion * LEAST_SHARE or woke <= JUST_WOKE)


# A member that this gateway probes.

# ASKED: a probe is out. THROUGH: others were asked to probe it too. DOUBTED: a round came to nothing; rounds follow each other.
# SUSPECTED: the fleet is told, and it may refute. HEARSAY: others say that it is gone, I ask it myself. DONE: no more to do.
Stage = Enum("Stage", "ASKED THROUGH DOUBTED SUSPECTED HEARSAY DONE")
# HEARD: a sign of life, from whomever. STOOD: this gateway itself stood still. LATE, MISSED, ROUND, SILENT, OVER: spans that end.
Sign = Enum("Sign", "HEARD STOOD LATE MISSED ROUND SILENT OVER")
WATCH: Mapping[tuple[Stage, Sign], tuple[Stage, str]] = {
    (Stage.ASKED, Sign.LATE): (Stage.THROUGH, "through"),
    (Stage.THROUGH, Sign.MISSED): (Stage.DOUBTED, "miss"),
    (Stage.DOUBTED, Sign.ROUND): (Stage.DOUBTED, "round"),
    (Stage.DOUBTED, Sign.SILENT): (Stage.SUSPECTED, "suspect"),
    (Stage.SUSPECTED, Sign.ROUND): (Stage.SUSPECTED, "round"),
    (Stage.SUSPECTED, Sign.OVER): (Stage.DONE, "gone"),
    (Stage.HEARSAY, Sign.ROUND): (Stage.HEARSAY, "ask"),
    (Stage.HEARSAY, Sign.OVER): (Stage.DONE, "gone"),
    **{
        (stage, Sign.HEARD): (Stage.DONE, "well")
        for stage in (Stage.ASKED, Stage.THROUGH)
    },
    **{
        (stage, Sign.HEARD): (Stage.DONE, "")
        for stage in (Stage.DOUBTED, Stage.SUSPECTED, Stage.HEARSAY)
    },
    # Guards the others against a gateway that stood still: what was out then says nothing of them, and what it doubts gets
    # that much longer and a new round. Harm: a death is seen later by one that stands still all the time; others see it.
    **{(stage, Sign.STOOD): (Stage.DONE, "") for stage in (Stage.ASKED, Stage.THROUGH)},
    **{
        (stage, Sign.STOOD): (stage, "longer")
        for stage in (Stage.DOUBTED, Stage.SUSPECTED, Stage.HEARSAY)
    },
}


@dataclass(slots=True)
class Watch:
    """One member that is probed: since when nothing was heard, when the stage began, when the last round went out (NEVER: none)."""

    name: str
    stage: Stage
    since: int
    began: int
    round: int


def due(
    watch: Watch, now: int, terms: Terms, times: float, confirms: int, wanted: int
) -> Sign | None:
    """What the passing of time means for it. `times`: how much longer spans are for one that doubts itself."""
    stage = watch.stage
    if stage is Stage.ASKED:
        return Sign.LATE if now - watch.since >= terms.answer * min(times, 2) else None
    if stage is Stage.THROUGH:
        return Sign.MISSED if now - watch.since >= terms.probe * min(times, 2) else None
    if (
        stage is Stage.DOUBTED
        and now - watch.since >= terms.probe * DOUBT_SHARE * times
    ):
        return Sign.SILENT
    if (
        stage is Stage.SUSPECTED
        and now - watch.began >= suspicion(terms.suspicion, confirms, wanted) * times
    ):
        return Sign.OVER
    if watch.round == NEVER:
        return Sign.ROUND
    if (
        stage is Stage.HEARSAY
        and now - watch.began >= terms.suspicion * HEARSAY_SHARE * times
    ):
        return Sign.OVER
    return Sign.ROUND if now - watch.round >= terms.probe * ROUND_SHARE else None


def longer(watch: Watch, now: int, late: int, terms: Terms) -> None:
    """This gateway stood still for `late`. What ends in a death counts the time it was awake alone; a doubt, which only ends in
    a suspicion that can be refuted, has a new round to answer and goes on.
    """
    watch.began = min(watch.began + late, now)
    left = int(terms.probe * DOUBT_SHARE) - FRESH_ANSWERS * terms.answer
    doubted = watch.stage is Stage.DOUBTED
    watch.since = (
        max(watch.since, min(watch.since + late, now - left))
        if doubted
        else min(watch.since + late, now)
    )


def suspicion(most: int, confirms: int, wanted: int) -> float:
    """How long one that is suspect may refute it: less where others suspect it too, never less than the least."""
    if wanted <= 0:
        return most
    part = log(min(confirms, wanted) + 1) / log(wanted + 1)
    return most * (1 - (1 - LEAST_SHARE) * part)


def wanted_confirms(members: int) -> int:
    """Others than the suspect and this one, at most CONFIRMS."""
    return max(min(CONFIRMS, members - 2), 0)


# This gateway's doubt in itself.

# STOOD: a tick came late. DOUBTED: others suspected me. WELL: a probe was answered.
SCORES: Mapping[str, int] = {"stood": 1, "doubted": 1, "well": -1}


def score(held: int, what: str) -> int:
    return min(max(held + SCORES[what], 0), MOST_SCORE)


def troubled(last: Sequence[tuple[str, bool]]) -> bool:
    """Whether most of the last probes, to several members, came to nothing: then the trouble is this gateway's.

    Guards the fleet against one that is cut off or starved. Harm: it is later to see that most of a fleet are gone.
    """
    lost = [name for name, well in last if not well]
    return len(set(lost)) >= LEAST_TARGETS and len(lost) > OWN_TROUBLE * len(last)


def times_longer(held: int, own_trouble: bool) -> float:
    """How much longer this gateway's spans are."""
    return max(1 + held / MOST_SCORE, TROUBLE_TIMES if own_trouble else 1)


# What is said of this gateway itself.

# UP: as any. DISPLACED: another with this name is there, and has it. LEAVING: it has said that it goes.
Own = Enum("Own", "UP DISPLACED LEAVING")
# MINE: a suspicion or worse of this start. OLD: a start that mine goes before, or my own words. FIRST: another start that goes
# before mine, or has its run. PAST: one that goes past what I claimed since: only a living gateway can. FREE: who had my name
# is gone.
Word = Enum("Word", "MINE OLD FIRST PAST_WON PAST_LOST FREE")
OWN: Mapping[tuple[Own, Word], tuple[Own, str]] = {
    (Own.UP, Word.MINE): (Own.UP, "refute"),
    (Own.UP, Word.FIRST): (Own.UP, "lost"),
    # Guards the fleet against two that go past each other without end: the smaller nonce rests until the name is free.
    # Harm: the one that rests is in nobody's view meanwhile; its clients are served as before.
    (Own.UP, Word.PAST_WON): (Own.UP, "twin past"),
    (Own.UP, Word.PAST_LOST): (Own.DISPLACED, "twin rest"),
    (Own.DISPLACED, Word.FREE): (Own.UP, "past"),
}


def word_of(
    row: MemberUpdate, run: int, nonce: int, turn: int, claimed: int | None
) -> Word:
    """What a row with this gateway's name is to it; `claimed` is the run that it went past others with."""
    if row.nonce == nonce:
        worse = (
            row.state in (SUSPECT, GONE)
            and row.refutation >= turn
            or row.refutation > turn
        )
        return Word.MINE if row.incarnation == run and worse else Word.OLD
    if row.incarnation < run:
        return Word.OLD
    if claimed is None:
        return Word.FIRST
    return Word.PAST_WON if nonce > row.nonce else Word.PAST_LOST
