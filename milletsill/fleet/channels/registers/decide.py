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
from typing import NamedTuple, Sequence

SECOND = 10_000
GUARD = 200  # a term is over this much before its end: a send that was decided just before may still be on its way out
TRIES = 3  # ballots that are tried in one taking where only a higher one stands in the way
AGAIN = 0.5  # of a call's span: registers without an answer are told once more
RENEW = 0.5  # of an office: a busy term is renewed
PAUSE = (500, 3000)  # to come back after an outvoted ballot: by chance in between, so that two do not meet again and again
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
Ask = Enum("Ask", "PREPARE ACCEPT RELEASE")
Say = Enum("Say", "YES LOWER HELD AWAY")


class Call(NamedTuple):
    """To each register. `value` is of an ACCEPT, `index` its number under the ballot. A PREPARE of a ballot that stands is a
    renewal, and `index` its number."""

    ask: Ask
    channel: str
    ballot: Ballot
    index: int = 0
    value: bytes = b""


class Answer(NamedTuple):
    """To a call, whose first four fields it repeats but for the name. A YES to a PREPARE has what was accepted; a LOWER and a
    HELD have the round that was promised; HELD and AWAY say when to come back, HELD also who holds it."""

    ask: Ask
    channel: str
    ballot: Ballot
    index: int
    say: Say
    stamp: Stamp = UNWRITTEN
    value: bytes = b""
    round: int = 0
    pause: int = 0
    who: str = ""


class Span(NamedTuple):
    """How long things last, the same at all gateways: an office, a call, and how much a clock's rate may be wrong, in parts of a
    thousand."""

    office: int = 2 * SECOND
    call: int = 3_000
    drift: int = 5

    def kept(self) -> int:
        """A keeper counts on its office for this long from the send."""
        return self.office * (1000 - self.drift) // 1000 - GUARD

    def refused(self) -> int:
        """A register refuses others for this long from the receipt."""
        return -(-self.office * (1000 + self.drift) // 1000)

    def rest(self) -> int:
        """After this all is over that a former self may have granted, and each call that it may have answered."""
        return -(-max(self.office, self.call) * (1000 + self.drift) // (1000 - self.drift))


def majority(registers: int) -> int:
    """Any two of this size have a register in common."""
    return registers // 2 + 1


# --- The register: one channel's record, one call.

class Record(NamedTuple):
    """What is on disk before any answer. `touched` is the register's time of being up at the last write."""

    promised: Ballot
    stamp: Stamp
    value: bytes
    touched: int


class Office(NamedTuple):
    """What is only in memory: until when others are refused, and whether its holder gave it up before."""

    until: int
    given_up: bool = False


Rank = Enum("Rank", "LOWER SAME HIGHER PASSED")
Hold = Enum("Hold", "FREE OWN OTHER GIVEN_UP")
Deed = Enum("Deed", "PROMISE RENEW ACCEPT GIVE_UP SAY_LOWER SAY_HELD NOTHING")
# (call, its ballot against the promise, the office) -> what the register does. PASSED: a write older than one under that ballot.
REGISTER: dict[tuple[Ask, Rank, Hold], Deed] = {
    **{(ask, rank, hold): Deed.NOTHING for ask in Ask for rank in Rank for hold in Hold},
    **{(ask, rank, Hold.OTHER): Deed.SAY_HELD for ask in (Ask.PREPARE, Ask.ACCEPT) for rank in (Rank.LOWER, Rank.HIGHER)},
    **{(ask, Rank.LOWER, hold): Deed.SAY_LOWER for ask in (Ask.PREPARE, Ask.ACCEPT) for hold in Hold if hold is not Hold.OTHER},
    **{(Ask.PREPARE, Rank.HIGHER, hold): Deed.PROMISE for hold in Hold if hold is not Hold.OTHER},
    **{(Ask.ACCEPT, Rank.HIGHER, hold): Deed.ACCEPT for hold in Hold if hold is not Hold.OTHER},
    **{(Ask.PREPARE, Rank.SAME, hold): Deed.RENEW for hold in Hold},
    **{(Ask.ACCEPT, Rank.SAME, hold): Deed.ACCEPT for hold in Hold},
    **{(Ask.RELEASE, Rank.SAME, hold): Deed.GIVE_UP for hold in Hold},
    # What was given up is over, also for what was sent before and comes late.
    **{(ask, Rank.SAME, Hold.GIVEN_UP): Deed.SAY_LOWER for ask in (Ask.PREPARE, Ask.ACCEPT)},
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


def register(record: Record | None, office: Office | None, floor: int, call: Call, now: int, up: int, span: Span) -> Done:
    """One call at one register. `up` is its time of being up; `office` of a record that was just read from disk is `loaded`."""
    deed = REGISTER[call.ask, rank(record, floor, call), hold(record, office, call, now)]
    head = (call.ask, call.channel, call.ballot, call.index)
    if deed is Deed.NOTHING:
        return Done(record, office, None)
    if deed is Deed.GIVE_UP:
        return Done(record, Office(now, True), None)
    if deed in (Deed.SAY_LOWER, Deed.SAY_HELD):
        known = floor if record is None else record.promised.round
        if deed is Deed.SAY_LOWER or record is None or office is None:
            return Done(record, office, Answer(*head, Say.LOWER, round=known))
        return Done(record, office, Answer(*head, Say.HELD, round=known, pause=office.until - now, who=record.promised.name))
    granted = Office(now + span.refused())
    if deed is Deed.ACCEPT:
        stamp = Stamp(call.ballot, call.index)
        if record is None or record.stamp != stamp:
            record = Record(call.ballot, stamp, call.value, up)
        return Done(record, granted, Answer(*head, Say.YES))
    if deed is Deed.PROMISE:
        record = Record(call.ballot, UNWRITTEN, b"", up) if record is None else record._replace(promised=call.ballot, touched=up)
    assert record is not None
    return Done(record, granted, Answer(*head, Say.YES, record.stamp, record.value))


def loaded(born: int, span: Span) -> Office:
    """The office of a record that a former self wrote: it may have granted it just before it ended."""
    return Office(born + span.refused())


def forgettable(record: Record, up: int, silent: int) -> bool:
    """Whether a channel was silent for so long that its record may go; its round goes into the floor."""
    return up - record.touched >= silent


def raised(floor: int, record: Record) -> int:
    """The floor once a record is forgotten: what its ballots refused stays refused."""
    return max(floor, record.promised.round)


# --- The keeper: one channel's seat.

Seated = Enum("Seated", "OUT ASKING MENDING SEATED RENEWING WRITING")
Input = Enum("Input", "TAKE WRITE GIVE_UP EVEN UNEVEN REFUSED LOWER LATE")
Effect = Enum("Effect", "NONE ASK ASK_HIGHER MEND SEAT EXTEND RENEW WRITE WROTE QUEUE RELEASE LOSE KEEP NOT_HELD")
KEEPER: dict[tuple[Seated, Input], tuple[Seated, Effect]] = {
    **{(state, Input.WRITE): (state, Effect.NOT_HELD) for state in (Seated.OUT, Seated.ASKING, Seated.MENDING)},
    **{(state, Input.REFUSED): (Seated.OUT, Effect.LOSE) for state in Seated},
    **{(state, Input.LOWER): (Seated.OUT, Effect.LOSE) for state in Seated},
    **{(state, Input.LATE): (Seated.OUT, Effect.LOSE) for state in Seated},
    **{(state, Input.GIVE_UP): (Seated.OUT, Effect.RELEASE) for state in Seated},
    **{(state, Input.TAKE): (state, Effect.NONE) for state in Seated},  # it is told when that comes out
    (Seated.OUT, Input.TAKE): (Seated.ASKING, Effect.ASK),
    (Seated.OUT, Input.GIVE_UP): (Seated.OUT, Effect.NONE),
    (Seated.ASKING, Input.EVEN): (Seated.SEATED, Effect.SEAT),
    (Seated.ASKING, Input.UNEVEN): (Seated.MENDING, Effect.MEND),
    (Seated.ASKING, Input.LOWER): (Seated.ASKING, Effect.ASK_HIGHER),
    (Seated.MENDING, Input.EVEN): (Seated.SEATED, Effect.SEAT),
    (Seated.SEATED, Input.TAKE): (Seated.RENEWING, Effect.RENEW),
    (Seated.SEATED, Input.WRITE): (Seated.WRITING, Effect.WRITE),
    (Seated.RENEWING, Input.EVEN): (Seated.SEATED, Effect.EXTEND),
    (Seated.RENEWING, Input.UNEVEN): (Seated.SEATED, Effect.EXTEND),
    (Seated.RENEWING, Input.LATE): (Seated.SEATED, Effect.KEEP),  # the term stands until its end
    (Seated.RENEWING, Input.WRITE): (Seated.RENEWING, Effect.QUEUE),
    (Seated.WRITING, Input.WRITE): (Seated.WRITING, Effect.QUEUE),
    (Seated.WRITING, Input.EVEN): (Seated.SEATED, Effect.WROTE),
}


class Poll:
    """One call to all registers, and what they said."""

    __slots__ = ("call", "sent", "yes", "no")

    def __init__(self, call: Call, sent: int) -> None:
        self.call, self.sent = call, sent
        self.yes: dict[str, Answer] = {}
        self.no: dict[str, Answer] = {}



def fits(poll: Poll, answer: Answer) -> bool:
    """Whether an answer is to this very call. Guards, with the index, against a late one to an older renewal of the ballot, which
    would pass for a new grant."""
    call = poll.call
    return answer.ask is call.ask and answer.ballot == call.ballot and answer.index == call.index


def open_still(poll: Poll, now: int, span: Span) -> bool:
    """Whether an answer may count. Guards against one of a register that has since lost its state: it catches up only after
    all calls are over that it may have answered."""
    return now < poll.sent + span.call


def newest(answers: Sequence[Answer]) -> Answer:
    """The answer with the latest write."""
    return max(answers, key=lambda each: each.stamp)


def even(answers: Sequence[Answer], best: Answer, registers: int) -> bool:
    """Whether the latest write is at a majority already, or there is none. Where not, it may be nowhere else, and is written
    again before anybody acts on it."""
    return best.stamp == UNWRITTEN or sum(each.stamp == best.stamp for each in answers) >= majority(registers)


def term_end(poll: Poll, now: int, span: Span) -> int:
    """From the send, not from the answers: registers counted from when it came."""
    return poll.sent + span.kept()


class Seat:
    """One channel at one gateway. `name` and `nonce` make its ballots; `ends` is the term's end on this gateway's clock. Effects
    that send have put their call into `poll`; `gone` is the call that gives up, if any."""

    __slots__ = ("channel", "name", "nonce", "span", "registers", "state", "ballot", "index", "value", "ends", "poll", "queued",
                 "tries", "round", "renewals", "gone", "refusal")

    def __init__(self, channel: str, name: str, nonce: int, span: Span, registers: int) -> None:
        self.channel, self.name, self.nonce, self.span, self.registers = channel, name, nonce, span, registers
        self.state, self.ballot, self.index, self.value, self.ends = Seated.OUT, NOBODY, 0, b"", 0
        self.poll: Poll | None = None
        self.queued: bytes | None = None
        self.tries = self.round = self.renewals = 0
        self.gone: Call | None = None
        self.refusal: Answer | None = None  # what to tell of a loss

    def holds(self, now: int) -> bool:
        """Whether nobody else can be keeper now."""
        return self.state in (Seated.SEATED, Seated.RENEWING, Seated.WRITING) and now < self.ends

    def take(self, now: int) -> list[Effect]:
        """Become keeper, or renew."""
        self.tries = 0 if self.state is Seated.OUT else self.tries
        return self.step(Input.TAKE, now)

    def write(self, value: bytes, now: int) -> list[Effect]:
        """The whole record; one under way is awaited, later ones take each other's place."""
        return self.step(Input.WRITE, now, value)

    def give_up(self, now: int) -> list[Effect]:
        return self.step(Input.GIVE_UP, now)

    def late(self, now: int) -> list[Effect]:
        """To be called when a call's span is over; anything else is no harm."""
        if self.poll is None or open_still(self.poll, now, self.span):
            return []
        return self.step(Input.LATE, now)

    def hear(self, who: str, answer: Answer, now: int) -> list[Effect]:
        """What a register says; what belongs to no open call is left."""
        poll = self.poll
        self.round = max(self.round, answer.round)
        if poll is None or not fits(poll, answer) or not open_still(poll, now, self.span) or who in poll.yes:
            return []
        (poll.yes if answer.say is Say.YES else poll.no)[who] = answer
        if answer.say is Say.YES:
            poll.no.pop(who, None)
        found = self.counted(poll)
        return [] if found is None else self.step(found, now)

    def counted(self, poll: Poll) -> Input | None:
        """What the answers so far come to."""
        if len(poll.yes) >= majority(self.registers):
            answers = tuple(poll.yes.values())
            return Input.EVEN if poll.call.ask is Ask.ACCEPT or even(answers, newest(answers), self.registers) else Input.UNEVEN
        if len(poll.no) <= self.registers - majority(self.registers):
            return None
        says = {each.say for each in poll.no.values()}
        self.refusal = next((each for say in (Say.HELD, Say.LOWER, Say.AWAY) for each in poll.no.values() if each.say is say), None)
        return Input.LOWER if says == {Say.LOWER} and self.tries < TRIES else Input.REFUSED

    def step(self, found: Input, now: int, value: bytes = b"") -> list[Effect]:
        """The short loop around the table: the effect, and what follows from it by itself."""
        self.state, effect = KEEPER.get((self.state, found), (self.state, Effect.NONE))
        self.act(effect, now, value)
        effects = [effect] if effect is not Effect.NONE else []
        if self.state is Seated.SEATED and self.queued is not None:
            following, self.queued = self.queued, None
            effects += self.step(Input.WRITE, now, following)
        return effects

    def act(self, effect: Effect, now: int, value: bytes) -> None:
        poll = self.poll
        if effect in (Effect.ASK, Effect.ASK_HIGHER):
            self.tries, self.round, self.refusal = self.tries + 1, self.round + 1, None
            self.ballot, self.index, self.ends, self.renewals = Ballot(self.round, self.name, self.nonce), 0, 0, 0
            self.poll = Poll(Call(Ask.PREPARE, self.channel, self.ballot), now)
        elif effect is Effect.RENEW:
            self.renewals += 1
            self.poll = Poll(Call(Ask.PREPARE, self.channel, self.ballot, self.renewals), now)
        elif effect is Effect.MEND:
            assert poll is not None
            self.send(newest(tuple(poll.yes.values())).value, now)
        elif effect is Effect.WRITE:
            self.send(value, now)
        elif effect is Effect.QUEUE:
            self.queued = value
        elif effect in (Effect.SEAT, Effect.EXTEND, Effect.WROTE):
            assert poll is not None
            if effect is Effect.SEAT and poll.call.ask is Ask.PREPARE:
                self.value = newest(tuple(poll.yes.values())).value
            elif poll.call.ask is Ask.ACCEPT:
                self.value = poll.call.value
            self.ends, self.poll = max(self.ends, term_end(poll, now, self.span)), None
        elif effect is Effect.KEEP:
            self.poll = None
        elif effect in (Effect.LOSE, Effect.RELEASE):
            # An office that was held runs to its end where it is lost: something may be out under it.
            self.gone = Call(Ask.RELEASE, self.channel, self.ballot) if effect is Effect.RELEASE or not self.ends else None
            self.poll, self.queued, self.ends = None, None, 0

    def send(self, value: bytes, now: int) -> None:
        self.index += 1
        self.poll = Poll(Call(Ask.ACCEPT, self.channel, self.ballot, self.index, value), now)
