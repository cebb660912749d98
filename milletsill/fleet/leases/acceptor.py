"""Who keeps a channel and what its record is: ballots, promises, offices. No I/O and no clock; time is passed in.

In short (docs/channels.md, "Registers and offices", has the argument). The record is safe by ballots alone: a register never goes
below a ballot that it promised, a write counts once a majority accepted it, and a new keeper reads a majority and writes again what
not all of them held. Clocks say one thing only: for how long nobody else can have become keeper. A keeper counts its office from
when it SENT what a majority granted, less drift; a register refuses others from when it GOT that, plus drift. `standing.py` says
when a register that has started may answer at all.

Times are whole tenths of a millisecond of the clock of whoever decides.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

SECOND = 10_000
GUARD = 200  # a term is over this much before its end: a send that was decided just before may still be on its way out
TRIES = (
    3  # ballots that are tried in one taking where only a higher one stands in the way
)
AGAIN = 0.5  # of a call's span: registers without an answer are told once more
RENEW = 0.5  # of an office: a busy term is renewed
PAUSE = (
    500,
    3000,
)  # to come back after an outvoted ballot: by chance in between, so that two do not meet again and again
MOST_NAME, MOST_VALUE = 255, 16_384  # bytes of a channel's name, of a record


class Ballot(NamedTuple):
    """Ordered, and never used twice: `nonce` is chance of one start of one gateway."""

    round: int
    name: str
    nonce: int

    def same_holder(self, other: Ballot) -> bool:
        return self.name == other.name and self.nonce == other.nonce


class Stamp(NamedTuple):
    """Of one write: the ballot, and the number of the write under it."""

    ballot: Ballot
    index: int


NOBODY = Ballot(0, "", 0)
UNWRITTEN = Stamp(NOBODY, 0)
UNKNOWN = -1  # an age, or a time, that nobody can tell
JUST_NOW = (
    1 << 62
)  # of a caller of an earlier version, which does not say when its value was made
Ask = Enum("Ask", "PREPARE ACCEPT RELEASE")
Say = Enum("Say", "YES LOWER HELD AWAY")


class Call(NamedTuple):
    """To each register. `value` is of an ACCEPT, `index` its number under the ballot, `fresh` for one that is new and not only
    written again. A PREPARE of a ballot that stands is a renewal, and `index` its number. `born`: when the value was made, at the
    earliest, on the clock of who has the call.
    """

    ask: Ask
    channel: str
    ballot: Ballot
    index: int = 0
    value: bytes = b""
    fresh: bool = False
    born: int = JUST_NOW


class Answer(NamedTuple):
    """To a call, whose first four fields it repeats. A YES to a PREPARE has what was accepted and how long ago; a LOWER and a
    HELD have the round that was promised; HELD and AWAY say when to come back, HELD also who holds it.
    """

    ask: Ask
    channel: str
    ballot: Ballot
    index: int
    say: Say
    stamp: Stamp = UNWRITTEN
    value: bytes = b""
    aged: int = UNKNOWN
    round: int = 0
    pause: int = 0
    who: str = ""
    told: bool = False
    fresh: bool = False


class Span(NamedTuple):
    """How long things last, the same at all gateways: an office, a call, and how much a clock's rate may be wrong, in parts of a
    thousand.
    """

    office: int = 2 * SECOND
    call: int = 3_000
    drift: int = 5

    def kept(self) -> int:
        """A keeper counts on its office for this long from the send."""
        return self.office * (1000 - self.drift) // 1000 - GUARD

    def refused(self) -> int:
        """A register refuses others for this long from the receipt."""
        return -(-self.office * (1000 + self.drift) // 1000)

    def elsewhere(self, span: int) -> int:
        """The most that a span on one clock takes on another."""
        return -(-span * (1000 + self.drift) // (1000 - self.drift))

    def rest(self) -> int:
        """After this all is over that a former self may have granted, and each call that it may have answered."""
        return self.elsewhere(max(self.office, self.call))


def majority(registers: int) -> int:
    """Any two of this size have a register in common."""
    return registers // 2 + 1


# --- The register: one channel's record, one call.


class Record(NamedTuple):
    """What is on disk before any answer. `touched` is the register's time of being up at the last write. `told`: the write was not
    accepted here, another register told of it while this one caught up: it is read, but is no vote.
    """

    promised: Ballot
    stamp: Stamp
    value: bytes
    touched: int
    told: bool = False


class Office(NamedTuple):
    """What is only in memory: until when others are refused, whether its holder gave it up before, and since when the record's
    value stands, on the register's clock; none where a former self took it. `fresh`: it came with the write that it was new in.
    """

    until: int
    given_up: bool = False
    since: int | None = None
    fresh: bool = False


Rank = Enum("Rank", "LOWER SAME HIGHER PASSED")
Hold = Enum("Hold", "FREE OWN OTHER GIVEN_UP")
Deed = Enum("Deed", "PROMISE RENEW ACCEPT GIVE_UP SAY_LOWER SAY_HELD NOTHING")
# (call, its ballot against the promise, the office) -> what the register does. PASSED: a write older than one under that ballot.
REGISTER: dict[tuple[Ask, Rank, Hold], Deed] = {
    **{
        (ask, rank, hold): Deed.NOTHING for ask in Ask for rank in Rank for hold in Hold
    },
    **{
        (ask, rank, Hold.OTHER): Deed.SAY_HELD
        for ask in (Ask.PREPARE, Ask.ACCEPT)
        for rank in (Rank.LOWER, Rank.HIGHER)
    },
    **{
        (ask, Rank.LOWER, hold): Deed.SAY_LOWER
        for ask in (Ask.PREPARE, Ask.ACCEPT)
        for hold in Hold
        if hold is not Hold.OTHER
    },
    **{
        (Ask.PREPARE, Rank.HIGHER, hold): Deed.PROMISE
        for hold in Hold
        if hold is not Hold.OTHER
    },
    **{
        (Ask.ACCEPT, Rank.HIGHER, hold): Deed.ACCEPT
        for hold in Hold
        if hold is not Hold.OTHER
    },
    **{(Ask.PREPARE, Rank.SAME, hold): Deed.RENEW for hold in Hold},
    **{(Ask.ACCEPT, Rank.SAME, hold): Deed.ACCEPT for hold in Hold},
    **{(Ask.RELEASE, Rank.SAME, hold): Deed.GIVE_UP for hold in Hold},
    # What was given up is over, also for what was sent before and comes late.
    **{
        (ask, Rank.SAME, Hold.GIVEN_UP): Deed.SAY_LOWER
        for ask in (Ask.PREPARE, Ask.ACCEPT)
    },
}


def rank(record: Record | None, floor: int, call: Call) -> Rank:
    """A channel without a record counts as promised up to the floor: the highest round of those that were forgotten."""
    if record is None:
        return Rank.HIGHER if call.ballot.round > floor else Rank.LOWER
    if call.ballot != record.promised:
        return Rank.HIGHER if call.ballot > record.promised else Rank.LOWER
    if call.ask is Ask.ACCEPT and (call.ballot, call.index) < record.stamp:
        return Rank.PASSED
    return Rank.SAME


def hold(record: Record | None, office: Office | None, call: Call, now: int) -> Hold:
    """Who has the office, from the caller's side."""
    if record is None or office is None:
        return Hold.FREE
    if office.given_up:
        return Hold.GIVEN_UP
    if call.ballot.same_holder(record.promised):
        return Hold.OWN
    return Hold.FREE if now >= office.until else Hold.OTHER


class Done(NamedTuple):
    """What a call came to: record and office afterwards (the same objects where nothing changed), and what to say."""

    record: Record | None
    office: Office | None
    answer: Answer | None


def register(
    record: Record | None,
    office: Office | None,
    floor: int,
    call: Call,
    now: int,
    up: int,
    span: Span,
) -> Done:
    """One call at one register. `up` is its time of being up; `office` of a record that was just read from disk is `loaded`."""
    deed = REGISTER[
        call.ask, rank(record, floor, call), hold(record, office, call, now)
    ]
    head = (call.ask, call.channel, call.ballot, call.index)
    if deed is Deed.NOTHING:
        return Done(record, office, None)
    if deed is Deed.GIVE_UP:
        return Done(
            record, (office or Office(now))._replace(until=now, given_up=True), None
        )
    if deed in (Deed.SAY_LOWER, Deed.SAY_HELD):
        known = floor if record is None else record.promised.round
        if deed is Deed.SAY_LOWER or record is None or office is None:
            return Done(record, office, Answer(*head, Say.LOWER, round=known))
        return Done(
            record,
            office,
            Answer(
                *head,
                Say.HELD,
                round=known,
                pause=office.until - now,
                who=record.promised.name,
            ),
        )
    since, fresh = (office.since, office.fresh) if office is not None else (None, False)
    if deed is Deed.ACCEPT:
        stamp = Stamp(call.ballot, call.index)
        if record is None or record.stamp != stamp or record.told:
            fresh = call.fresh and (record is None or record.value != call.value)
            if (
                record is None or record.value != call.value
            ):  # what was there already is no younger for it
                # Guards a ticket's window against a write that lay on its way: what the value says of times counts from its making,
                # not from its coming. Harm: where nobody can tell, what is out in it stays unsure.
                since = (
                    min(call.born, now) if call.fresh and call.born != UNKNOWN else None
                )
            record = Record(call.ballot, stamp, call.value, up)
        return Done(
            record,
            Office(now + span.refused(), False, since, fresh),
            Answer(*head, Say.YES),
        )
    if deed is Deed.PROMISE:
        record = (
            Record(call.ballot, UNWRITTEN, b"", up)
            if record is None
            else record._replace(promised=call.ballot, touched=up)
        )
    assert record is not None
    aged = 0 if record.stamp == UNWRITTEN else UNKNOWN if since is None else now - since
    answer = Answer(
        *head, Say.YES, record.stamp, record.value, aged, told=record.told, fresh=fresh
    )
    return Done(record, Office(now + span.refused(), False, since, fresh), answer)


def loaded(born: int, span: Span) -> Office:
    """The office of a record that a former self wrote: it may have granted it just before it ended."""
    return Office(born + span.refused())


def forgettable(record: Record, up: int, silent: int) -> bool:
    """Whether a channel was silent for so long that its record may go; its round goes into the floor."""
    return up - record.touched >= silent


def raised(floor: int, record: Record) -> int:
    """The floor once a record is forgotten: what its ballots refused stays refused."""
    return max(floor, record.promised.round)
