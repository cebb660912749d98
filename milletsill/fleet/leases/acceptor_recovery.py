"""When a register that has started may answer: it asks the others first what they last heard of it. Pure; decide.py's rules apply.

A register's state has an identity: (age, chance, generation). The generation grows with each commit, the age with each time that
the state was made anew out of the others' word. Others keep the greatest that they heard of each register. A register whose own is
less than that has an older copy or none, and must not answer as if it had never promised: it waits until all is over that its
former self may have granted or answered, then is told every record by so many others that they meet each majority it was part of.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from milletsill.fleet.leases.acceptor import Ballot, Record, Span, majority

BEAT = 1000  # between words of a register to all about its identity, where it changed
HELLO = 2000  # between its questions while it may not answer
PER_PAGE, PAGE_BYTES = 256, 120_000  # records of one page that is told to another


class StateIdentity(NamedTuple):
    """Of a register's state. Greater is later, for one register."""

    age: int
    chance: int
    generation: int


class SnapshotPage(NamedTuple):
    """Records of one register, ordered by channel, after the one that was asked for; `last` where none follow."""

    records: tuple[tuple[str, Record], ...]
    floor: int
    last: bool


Standing = Enum("Standing", "JOINING WHOLE WAITING GATHERING")
Word = Enum("Word", "LATER ENOUGH WAITED GATHERED ORDERED UNWRITTEN")
Turn = Enum("Turn", "NONE BEGIN DOUBT GATHER ANEW")
STANDINGS: dict[tuple[Standing, Word], tuple[Standing, Turn]] = {
    (Standing.JOINING, Word.ENOUGH): (Standing.WHOLE, Turn.BEGIN),
    (Standing.JOINING, Word.LATER): (Standing.WAITING, Turn.DOUBT),
    (Standing.WHOLE, Word.LATER): (Standing.WAITING, Turn.DOUBT),
    (Standing.WAITING, Word.WAITED): (Standing.GATHERING, Turn.GATHER),
    (Standing.GATHERING, Word.GATHERED): (Standing.WHOLE, Turn.ANEW),
    (Standing.WHOLE, Word.UNWRITTEN): (Standing.WAITING, Turn.NONE),
    **{(each, Word.ORDERED): (Standing.WHOLE, Turn.ANEW) for each in Standing},
}


def later(known: StateIdentity | None, own: StateIdentity) -> bool:
    """Whether what another heard of us is past what we have, or is of another state that is not older."""
    if known is None or known.age < own.age:
        return False
    return (
        known.age > own.age
        or known.chance != own.chance
        or known.generation > own.generation
    )


def needed(registers: int) -> int:
    """How many others must tell all: these meet each majority that this register was part of, without it."""
    return majority(registers)


def merged(
    records: dict[str, Record], told: Iterable[tuple[str, Record]], up: int
) -> None:
    """What others told, into what is here: the highest promise and the latest write of each."""
    for channel, new in told:
        old = records.get(channel)
        if old is None:
            records[channel] = new._replace(touched=up, told=True)
            continue
        later = new if new.stamp > old.stamp else old
        records[channel] = Record(
            max(old.promised, new.promised),
            later.stamp,
            later.value,
            up,
            old.told or later is new,
        )


def fenced(records: dict[str, Record], floor: int) -> None:
    """One that told may have forgotten a channel whose record another still has: its floor holds for that record too."""
    least = Ballot(floor + 1, "", 0)  # below each gateway's ballot of that round
    for channel, record in records.items():
        if floor and record.promised < least:
            records[channel] = record._replace(promised=least)


class Joining:
    """One register's way to answering. `fresh`: it has a file without a record; `doubted`: it is known to lack something (torn,
    or it was noticed before). `others` are the names of the other registers.
    """

    def __init__(
        self,
        own: StateIdentity,
        others: Iterable[str],
        span: Span,
        born: int,
        fresh: bool,
        doubted: bool,
    ) -> None:
        self.own, self.others, self.span, self.born, self.fresh = (
            own,
            tuple(others),
            span,
            born,
            fresh,
        )
        self.state = Standing.WAITING if doubted else Standing.JOINING
        self.waits = born + span.rest()  # until then, where it lacks something
        self.clean: set[str] = set()  # registers that know nothing later
        self.known_age, self.by_order = own.age, False
        self.records: dict[str, Record] = {}
        self.floor = 0
        self.after: dict[
            str, str
        ] = {}  # of those that tell: the channel they have come to
        self.told: set[str] = set()

    def word(self, found: Word) -> Turn:
        self.state, turn = STANDINGS.get((self.state, found), (self.state, Turn.NONE))
        return turn

    def witnessed(self, who: str, known: StateIdentity | None, now: int) -> Turn:
        """What one gateway last heard of us. Any may say that there was more; only registers count as having nothing."""
        if known is not None:
            self.known_age = max(self.known_age, known.age)
        if later(known, self.own):
            if self.by_order:
                return (
                    Turn.ANEW
                )  # an operator has said to go on, so it goes on as later than that
            if self.state is Standing.WHOLE:
                self.waits = now + self.span.rest()
            return self.word(Word.LATER)
        if who in self.others:
            self.clean.add(who)
        return self.step(now)

    def step(self, now: int) -> Turn:
        """What time alone brings."""
        if self.state is Standing.JOINING and self.enough(now):
            return self.word(Word.ENOUGH)
        if self.state is Standing.WAITING and now >= self.waits:
            self.records, self.floor, self.after, self.told = {}, 0, {}, set()
            return self.word(Word.WAITED)
        return Turn.NONE

    def enough(self, now: int) -> bool:
        """Nobody who answered knows of more: so many others that they meet each majority, or, with a file that has records,
        after a whole rest one fewer, that a register which is down does not keep another from coming back.
        """
        most = min(needed(len(self.others) + 1), len(self.others))
        least = most if self.fresh or now < self.born + self.span.rest() else most - 1
        return len(self.clean) >= max(least, 0)

    def page(self, who: str, after: str, page: SnapshotPage, up: int, now: int) -> Turn:
        """One page of another's records, asked for once all of our former self is over."""
        if (
            self.state is not Standing.GATHERING
            or who not in self.others
            or who in self.told
            or self.after.get(who, "") != after
        ):
            return Turn.NONE
        merged(self.records, page.records, up)
        self.floor = max(self.floor, page.floor)
        if not page.last:
            self.after[who] = page.records[-1][0] if page.records else after
            return Turn.NONE
        self.told.add(who)
        return (
            self.word(Word.GATHERED)
            if len(self.told) >= needed(len(self.others) + 1)
            else Turn.NONE
        )

    def ordered(self) -> Turn:
        """An operator's order to go on with what there is."""
        self.by_order = True
        return self.word(Word.ORDERED)

    def back(self, again: int) -> None:
        """What was told could not be written down: it is asked for again at a time."""
        self.waits = again
        self.word(Word.UNWRITTEN)

    def pause(self, now: int) -> int:
        """When to come back to a register that may not answer."""
        return (
            max(self.waits - now, HELLO)
            if self.state in (Standing.WAITING, Standing.GATHERING)
            else HELLO
        )

    def anew(self, chance: int) -> StateIdentity:
        """The identity of a state that was made out of the others' word."""
        return StateIdentity(self.known_age + 1, chance, 1)
