"""One channel's seat at one gateway: taking the office, renewing it, writing under it, losing it. Pure; decide.py has the words.

A poll is one call to all registers. A term counts from when the poll was sent, and only answers to this very poll count.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

from milletsill.fleet.leases.acceptor import (
    NOBODY,
    TRIES,
    UNKNOWN,
    UNWRITTEN,
    Answer,
    Ask,
    Ballot,
    Call,
    Say,
    Span,
    majority,
)

Seated = Enum("Seated", "OUT ASKING MENDING SEATED RENEWING WRITING")
Input = Enum("Input", "TAKE WRITE GIVE_UP EVEN UNEVEN REFUSED LOWER LATE")
Effect = Enum(
    "Effect",
    "NONE ASK ASK_HIGHER MEND SEAT EXTEND RENEW WRITE WROTE QUEUE RELEASE LOSE KEEP NOT_HELD",
)
KEEPER: dict[tuple[Seated, Input], tuple[Seated, Effect]] = {
    **{
        (state, Input.WRITE): (state, Effect.NOT_HELD)
        for state in (Seated.OUT, Seated.ASKING, Seated.MENDING)
    },
    **{(state, Input.REFUSED): (Seated.OUT, Effect.LOSE) for state in Seated},
    **{(state, Input.LOWER): (Seated.OUT, Effect.LOSE) for state in Seated},
    **{(state, Input.LATE): (Seated.OUT, Effect.LOSE) for state in Seated},
    **{(state, Input.GIVE_UP): (Seated.OUT, Effect.RELEASE) for state in Seated},
    **{
        (state, Input.TAKE): (state, Effect.NONE) for state in Seated
    },  # it is told when that comes out
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
    (Seated.RENEWING, Input.LATE): (
        Seated.SEATED,
        Effect.KEEP,
    ),  # the term stands until its end
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
    would pass for a new grant.
    """
    call = poll.call
    return (
        answer.ask is call.ask
        and answer.ballot == call.ballot
        and answer.index == call.index
    )


def open_still(poll: Poll, now: int, span: Span) -> bool:
    """Whether an answer may count. Guards against one of a register that has since lost its state: it catches up only after
    all calls are over that it may have answered.
    """
    return now < poll.sent + span.call


def newest(answers: Sequence[Answer]) -> Answer:
    """The answer with the latest write."""
    return max(answers, key=lambda each: each.stamp)


def even(answers: Sequence[Answer], best: Answer, registers: int) -> bool:
    """Whether a majority has accepted the latest write already, or there is none. Where not, it may be nowhere else, and is
    written again before anybody acts on it. What a register was only told of is no vote of its own: a later ballot that it had
    promised may be past it.
    """
    return best.stamp == UNWRITTEN or sum(
        each.stamp == best.stamp and not each.told for each in answers
    ) >= majority(registers)


def aged(answers: Sequence[Answer], value: bytes) -> int | None:
    """For how long the value has surely stood at the most. One of the majority that was read took it before anybody acted on it,
    others may have taken it much later. Where the latest write is the one that it was new in, that one has this very write.
    Where it was written again, that one may have gone on to another value meanwhile, so all must have it.
    """
    best = newest(answers)
    have = [each for each in answers if each.stamp == best.stamp]
    if not any(each.fresh for each in have):
        have = list(answers)
    if any(each.aged == UNKNOWN or each.value != value for each in have):
        return None
    return max(each.aged for each in have)


def term_end(poll: Poll, now: int, span: Span) -> int:
    """From the send, not from the answers: registers counted from when it came."""
    return poll.sent + span.kept()


def rounds_used(before: int, seat: Seat) -> int:
    """Where the rounds of a gateway's next seat begin once this one is let go: no ballot is used twice in one start."""
    return max(before, seat.round)


class Seat:
    """One channel at one gateway. `name` and `nonce` make its ballots; `ends` is the term's end on this gateway's clock, `since` when the
    value was surely there at the earliest; none for unknown. Effects that send have put their call into `poll`; `gone` is the call that gives up, if any.
    """

    __slots__ = (
        "channel",
        "name",
        "nonce",
        "span",
        "registers",
        "state",
        "ballot",
        "index",
        "value",
        "ends",
        "poll",
        "queued",
        "since",
        "tries",
        "round",
        "renewals",
        "gone",
        "refusal",
    )

    def __init__(
        self,
        channel: str,
        name: str,
        nonce: int,
        span: Span,
        registers: int,
        used: int = 0,
    ) -> None:
        self.channel, self.name, self.nonce, self.span, self.registers = (
            channel,
            name,
            nonce,
            span,
            registers,
        )
        self.state, self.ballot, self.index, self.value, self.ends = (
            Seated.OUT,
            NOBODY,
            0,
            b"",
            0,
        )
        self.since: int | None = 0
        self.poll: Poll | None = None
        self.queued: tuple[bytes, int] | None = None  # and when it was made
        self.round, self.tries, self.renewals = used, 0, 0
        self.gone: Call | None = None
        self.refusal: Answer | None = None  # what to tell of a loss

    def holds(self, now: int) -> bool:
        """Whether nobody else can be keeper now."""
        return (
            self.state in (Seated.SEATED, Seated.RENEWING, Seated.WRITING)
            and now < self.ends
        )

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
        self.refusal = self.worst(self.poll)
        return self.step(Input.LATE, now)

    def hear(self, who: str, answer: Answer, now: int) -> list[Effect]:
        """What a register says; what belongs to no open call is left."""
        poll = self.poll
        self.round = max(self.round, answer.round)
        if (
            poll is None
            or not fits(poll, answer)
            or not open_still(poll, now, self.span)
            or who in poll.yes
        ):
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
            return (
                Input.EVEN
                if poll.call.ask is Ask.ACCEPT
                or even(answers, newest(answers), self.registers)
                else Input.UNEVEN
            )
        if len(poll.no) <= self.registers - majority(self.registers):
            return None
        says = {each.say for each in poll.no.values()}
        self.refusal = self.worst(poll)
        if says == {Say.AWAY}:
            return Input.LATE  # nobody else has the office for that
        return (
            Input.LOWER if says == {Say.LOWER} and self.tries < TRIES else Input.REFUSED
        )

    def worst(self, poll: Poll) -> Answer | None:
        """What tells most of why a poll came to nothing."""
        return next(
            (
                each
                for say in (Say.HELD, Say.LOWER, Say.AWAY)
                for each in poll.no.values()
                if each.say is say
            ),
            None,
        )

    def step(
        self, found: Input, now: int, value: bytes = b"", born: int | None = None
    ) -> list[Effect]:
        """The short loop around the table: the effect, and what follows from it by itself."""
        self.state, effect = KEEPER.get((self.state, found), (self.state, Effect.NONE))
        self.act(effect, now, value, now if born is None else born)
        effects = [effect] if effect is not Effect.NONE else []
        if self.state is Seated.SEATED and self.queued is not None:
            (following, made), self.queued = self.queued, None
            effects += self.step(Input.WRITE, now, following, made)
        return effects

    def act(self, effect: Effect, now: int, value: bytes, born: int) -> None:
        poll = self.poll
        if effect in (Effect.ASK, Effect.ASK_HIGHER):
            self.tries, self.round, self.refusal = self.tries + 1, self.round + 1, None
            self.ballot, self.index, self.ends, self.renewals = (
                Ballot(self.round, self.name, self.nonce),
                0,
                0,
                0,
            )
            self.poll = Poll(Call(Ask.PREPARE, self.channel, self.ballot), now)
        elif effect is Effect.RENEW:
            self.renewals += 1
            self.poll = Poll(
                Call(Ask.PREPARE, self.channel, self.ballot, self.renewals), now
            )
        elif effect is Effect.MEND:
            assert poll is not None
            self.read(poll, now)
            self.send(self.value, now, now, False)
        elif effect is Effect.WRITE:
            self.send(value, now, born)
        elif effect is Effect.QUEUE:
            self.queued = value, now
        elif effect in (Effect.SEAT, Effect.EXTEND, Effect.WROTE):
            assert poll is not None
            if effect is Effect.SEAT and poll.call.ask is Ask.PREPARE:
                self.read(poll, now)
            elif effect is Effect.WROTE:
                self.value, self.since = poll.call.value, min(poll.sent, poll.call.born)
            self.ends, self.poll = max(self.ends, term_end(poll, now, self.span)), None
        elif effect is Effect.KEEP:
            self.poll = None
        elif effect in (Effect.LOSE, Effect.RELEASE):
            # An office that was held runs to its end where it is lost: something may be out under it.
            self.gone = (
                Call(Ask.RELEASE, self.channel, self.ballot)
                if effect is Effect.RELEASE or not self.ends
                else None
            )
            self.poll, self.queued, self.ends = None, None, 0

    def read(self, poll: Poll, now: int) -> None:
        """What a majority has."""
        answers = tuple(poll.yes.values())
        self.value = newest(answers).value
        known = aged(answers, self.value)
        self.since = (
            None if known is None else poll.sent - self.span.elsewhere(known + 1) - 1
        )  # clocks are read in whole ticks

    def send(self, value: bytes, now: int, born: int, fresh: bool = True) -> None:
        self.index += 1
        self.poll = Poll(
            Call(Ask.ACCEPT, self.channel, self.ballot, self.index, value, fresh, born),
            now,
        )
