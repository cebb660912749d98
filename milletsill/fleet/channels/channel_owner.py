"""The channels that this gateway keeps: the office of each, its line, its record written before what it says is done.

Nothing is decided here: `line.py` says what may go, `Offices` whether this gateway is the keeper. Callbacks come by the reactor.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from milletsill.fleet.channels import codec
from milletsill.fleet.channels.channel_sequencer import Line
from milletsill.fleet.channels.commands import (
    Elsewhere,
    Look,
    Open,
    Say,
    Transfer,
    Word,
)
from milletsill.fleet.channels.errors import (
    ContractOutdated,
    ContractNotOffered,
    ContractConflict,
    ChannelRecordUnreadable,
)
from milletsill.fleet.channels.ordering import (
    PAUSE,
    Book,
    Input,
    Phase,
    Reaches,
)
from milletsill.fleet.channels.sequences import (
    LEFT_OUT,
    SETTLED,
    STAYED_UNSURE,
    Claimed,
    Coming,
    LetGo,
    Tell,
)
from milletsill.fleet.leases.errors import (
    CoordinationError,
    NotLeaseHolder,
    ResourceLimitReached,
)
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets

MOST_TAKING = 256  # words that wait while an office is taken
FORGET = 600_000  # tenths of a millisecond: a quiet channel leaves this gateway's memory; its record stays with the registers
SAYINGS = {
    wire.DONE: Input.SAID_DONE,
    wire.AGAIN: Input.SAID_AGAIN,
    wire.LEFT_OUT: Input.SAID_LEFT_OUT,
}
STATES = {
    SETTLED: wire.IS_SETTLED,
    STAYED_UNSURE: wire.IS_UNSURE,
    LEFT_OUT: wire.IS_LEFT_OUT,
}
TEXTS = {
    "declined": "declined: nothing was done",
    "aborted": "aborted: it may have been done or not",
    "claim-lost": "a later claim holds this channel",
    "superseded": "a newer one is settled",
    "over": "over long ago",
    "left-out": "left out",
    "stopped": "stands behind an unsure end; say what became of it",
    "contract": "contradicts",
}
CONTRADICTIONS = (ContractConflict, ContractOutdated, ContractNotOffered)


class Runs(Protocol):
    """What the edge does for a keeper."""

    def reaches(self, what: Transfer) -> Reaches: ...

    def window(self, word: Word) -> int:
        """For how long boxes remember its ticket."""

    def run(
        self,
        word: Word,
        gone: LetGo,
        term: Any,
        ends: int,
        ended: Callable[[Input, int, int, Any], None],
    ) -> None:
        """Hand it to the module, to be over by `ends`; `ended` is told how it ended: input, code, pause, the packet."""


class Kept:
    """One channel kept here."""

    __slots__ = (
        "key",
        "term",
        "line",
        "written",
        "writing",
        "alarm",
        "alarm_at",
        "packets",
        "used",
        "lost",
    )

    def __init__(
        self, key: str, term: Any, line: Line, written: bytes, now: int
    ) -> None:
        self.key, self.term, self.line, self.written, self.used = (
            key,
            term,
            line,
            written,
            now,
        )
        self.writing, self.lost, self.alarm, self.alarm_at = False, False, None, 0
        self.packets: dict[
            int, Any
        ] = {}  # whole answers of those that were settled just now


class Keeper:
    """`rest`: rule 5's; `most`: channels held in memory at once. `count` is told of each final word, by name."""

    def __init__(
        self,
        name: str,
        reactor: Any,
        now: Callable[[], int],
        offices: Any,
        book: Book,
        rest: int,
        most: int,
        runs: Runs,
        remark: Callable[..., None],
        count: Callable[[str], None],
    ) -> None:
        self.name, self.reactor, self.now, self.offices = name, reactor, now, offices
        self.book, self.rest, self.most = book, rest, most
        self.runs, self.remark, self.count = runs, remark, count
        self.kept: dict[str, Kept] = {}
        self.taking: dict[str, list[Word]] = {}
        self.runs_on: dict[
            str, int
        ] = {}  # offices lost here, and when they would have ended
        self.leaving = False

    # What comes.

    def keeps(self, key: str) -> bool:
        """Whether this gateway is the channel's keeper now."""
        held = self.kept.get(key)
        return held is not None and self.offices.holds(held.term)

    def word(self, word: Word) -> None:
        """A client's word, at this gateway as the keeper, or as one that tries to be."""
        held = self.kept.get(word.key)
        if self.leaving:
            return self.declined(word, PAUSE)
        if held is not None and self.offices.holds(held.term):
            return self.hear(held, word)
        waiting = self.taking.get(word.key)
        if waiting is None:
            if held is None and len(self.kept) + len(self.taking) >= self.most:
                return self.fault(
                    word,
                    ResourceLimitReached(
                        f"{self.most} channels are kept here", word.key, PAUSE
                    ),
                )
            self.taking[word.key] = [word]
            self.offices.acquire(word.key, lambda got: self.took(word.key, got))
        elif len(waiting) >= MOST_TAKING:
            self.declined(word, PAUSE)
        else:
            waiting.append(word)

    def took(self, key: str, got: Any) -> None:
        """The office, or why not."""
        words, held, now = self.taking.pop(key, []), self.kept.get(key), self.now()
        if isinstance(got, CoordinationError) or not hasattr(got, "value"):
            if held is not None:
                self.lose(held, getattr(got, "pause", 0) or PAUSE)
            for each in words:
                self.fault(each, got)
            return
        if held is not None and self.same(held, got):
            held.term = got
        else:
            if held is not None:
                self.lose(held, PAUSE)
            held = self.made(key, got, words, now)
        for each in words:
            if held is None:
                self.declined(each, PAUSE)
            else:
                self.hear(held, each)

    def made(self, key: str, term: Any, words: list[Word], now: int) -> Kept | None:
        """The channel from its record; a new one begins with the first OPEN's contract, below."""
        if not term.value:
            first = next((each for each in words if isinstance(each.what, Open)), None)
            if first is None or not isinstance(first.what, Open):
                self.offices.release(term)
                for each in words:
                    self.answer(
                        each,
                        "claim-lost",
                        text="nothing is known of this channel: open it",
                    )
                words.clear()
                return None
            try:
                declared = self.book.declared(
                    first.volume.name, first.what.contract, first.what.version, 0
                )
            except CONTRADICTIONS as error:
                self.offices.release(term)
                for each in words:
                    self.fault(each, error)
                words.clear()
                return None
            line = Line(declared.contract, self.rest, declared.named)
        else:
            try:
                line = codec.read_record(
                    term.value, self.rest, now, term.value_age, self.over(key)
                )
            except ChannelRecordUnreadable as error:
                self.remark("channel_record", channel=key, **error.log_fields())
                self.offices.release(term)
                return None
        held = self.kept[key] = Kept(key, term, line, term.value, now)
        return held

    def over(self, key: str) -> int:
        """When the last office of a channel that was lost here ends. Guards against what this gateway itself let go under it, which
        lasts to its end though the same gateway may take the office again at once. Harm: what stands behind waits so long.
        """
        return self.runs_on.get(key, 0)

    def hear(self, held: Kept, word: Word) -> None:
        """One word to a channel that is kept here."""
        if held.lost:
            return self.declined(word, PAUSE)
        line, what, now = held.line, word.what, self.now()
        held.used = now
        try:
            if isinstance(what, Open):
                line.open(
                    now,
                    self.book.declared(
                        word.volume.name, what.contract, what.version, what.first
                    ),
                    word.token,
                    word,
                )
            elif isinstance(what, Transfer):
                line.come(
                    now,
                    Coming(
                        what.number,
                        what.claim,
                        what.digest(),
                        self.runs.reaches(what),
                        word.ends,
                        self.runs.window(word),
                        word,
                        what.batch,
                        what.last,
                    ),
                )
            elif isinstance(what, Say):
                line.say(now, what.number, SAYINGS[what.word], what.claim, word)
            else:
                line.after.append(word)  # told once the record holds what is told
        except CONTRADICTIONS as error:
            self.remark("channel", channel=held.key, **error.log_fields())
            self.fault(word, error)
        self.pump(held)

    def look(self, held: Kept, word: Word) -> None:
        """How a number stands."""
        what, line, answer = word.what, held.line, None
        assert isinstance(what, Look)
        entry, closed = line.entries.get(what.number), line.remembered.get(what.number)
        if closed is not None:
            state = STATES.get(closed.how, wire.IS_LEFT_OUT)
            answer = (
                packets.Status(0, closed.code, "remembered")
                if state == wire.IS_SETTLED
                else None
            )
        elif line.is_closed(what.number):
            state = wire.IS_FORGOTTEN
        else:
            state = (
                wire.IS_OPEN
                if entry is None
                else wire.IS_UNSURE
                if entry.phase in (Phase.UNSURE, Phase.BACK)
                else wire.IS_OUT
            )
        self.answered(
            word, wire.put_asked(0, wire.Asked(state, line.floor, answer)), "look"
        )

    # What follows.

    def pump(self, held: Kept) -> None:
        """Do what needs no record, write the record, do what it was written for."""
        line = held.line
        at_once, line.at_once = line.at_once, []
        for each in at_once:
            self.tell(held, each)
        if held.lost or held.writing:
            return None
        if line.dirty:
            held.writing, line.dirty = True, False
            after, line.after = line.after, []
            held.written = codec.put_record(line, self.now())
            held.term.in_use = True
            return self.offices.write(
                held.term, held.written, lambda fault: self.wrote(held, after, fault)
            )
        after, line.after = line.after, []
        self.do(held, after)
        if line.after or line.at_once or line.dirty:
            return self.pump(held)
        held.term.in_use = bool(line.entries)
        self.set_alarm(held)
        if self.leaving:
            self.leave(held)

    def wrote(self, held: Kept, after: list[Any], fault: Any) -> None:
        """The record stands at most registers, or it is not known whether it does."""
        held.writing = False
        if fault is not None or held.lost:
            held.line.after = after + held.line.after
            return self.lose(held, getattr(fault, "pause", 0) or PAUSE)
        self.do(held, after)
        self.pump(held)

    def do(self, held: Kept, after: list[Any]) -> None:
        for each in after:
            if isinstance(each, LetGo):
                self.let_go(held, each)
            elif isinstance(each, Claimed):
                self.claimed(held, each.asker)
            elif isinstance(each, Word):
                self.look(held, each)
            else:
                self.tell(held, each)
        if not held.writing:
            held.packets.clear()

    def let_go(self, held: Kept, gone: LetGo) -> None:
        """To the module, unless the office or its client's patience ended while the record was written."""
        word, now = gone.coming.asker, self.now()
        ends = self.ends_of(gone, held.term)
        if not self.offices.holds(held.term) or now >= ends:
            return self.ended(held, gone.number, Input.NEVER_RAN, 0, PAUSE, None)
        self.runs.run(
            word,
            gone,
            held.term,
            ends,
            lambda input, code, pause, packet: self.ended(
                held, gone.number, input, code, pause, packet
            ),
        )

    def ends_of(self, gone: LetGo, term: Any) -> int:
        """Guards against a dispatch of an earlier keeper that is still lawfully at a box when the next one has rested: nothing
        that is let go outlives the office under which it was. Harm: a patience longer than an office is cut to it.
        """
        return min(gone.ends, term.expires_at)

    def same(self, held: Kept, got: Any) -> bool:
        """Guards against what was known here while another kept the channel. Harm: none, the record says all."""
        return got.value == held.written and not held.lost

    def ended(
        self, held: Kept, number: int, input: Input, code: int, pause: int, packet: Any
    ) -> None:
        """What was let go has come to its end."""
        if held.lost:
            entry = held.line.entries.pop(number, None)
            for each in entry.askers if entry is not None else ():
                self.answer(
                    each,
                    "declined"
                    if input is Input.NEVER_RAN and not entry.rests
                    else "aborted",
                    pause=pause,
                )
            return
        if input is Input.SETTLED:
            held.packets[number] = packet
        held.line.ended(self.now(), number, input, code, pause)
        self.pump(held)

    def lose(self, held: Kept, pause: int) -> None:
        """The office is gone: what waits is told at once, what is out when it ends."""
        held.lost = True
        if self.kept.get(held.key) is held:
            del self.kept[held.key]
            self.runs_on[held.key] = max(
                held.term.expires_at, self.runs_on.get(held.key, 0)
            )
        self.set_alarm(held)
        line = held.line
        line.drop_all(pause)
        at_once, after, line.at_once, line.after = line.at_once, line.after, [], []
        for each in at_once:
            self.tell(held, each)
        for each in after:
            if isinstance(each, LetGo):  # its record may stand, but it never left
                entry = line.entries.pop(each.number, None)
                for asker in entry.askers if entry is not None else ():
                    self.answer(
                        asker, "aborted" if each.again else "declined", pause=pause
                    )
            elif isinstance(
                each, Tell
            ):  # what the record was to say first: nobody knows whether it does
                self.answer(each.asker, "aborted")
            else:
                self.declined(each if isinstance(each, Word) else each.asker, pause)

    def set_alarm(self, held: Kept) -> None:
        """One timer for the soonest patience, hole or rest of a channel."""
        at = None if held.lost else held.line.wakes(self.now())
        if held.alarm is not None and held.alarm.active():
            if at == held.alarm_at:
                return
            held.alarm.cancel()
        held.alarm, held.alarm_at = None, at or 0
        if at is not None:
            held.alarm = self.reactor.callLater(
                max(at - self.now(), 1) / 10_000, self.rang, held
            )

    def rang(self, held: Kept) -> None:
        held.line.go_on(self.now())
        self.pump(held)

    def look_round(self) -> None:
        """Now and then: quiet channels are forgotten here, and offices that the view gives to others handed over."""
        now = self.now()
        self.runs_on = {key: ends for key, ends in self.runs_on.items() if ends > now}
        for held in list(self.kept.values()):
            idle = not held.line.entries and not held.writing
            if idle and (
                now - held.used > FORGET
                or self.offices.holds(held.term)
                and not self.at_home(held.key)
            ):
                self.hand_over(held)

    def at_home(self, key: str) -> bool:
        return self.offices.preferred_holder(key) in ("", self.name)

    def hand_over(self, held: Kept) -> None:
        self.kept.pop(held.key, None)
        held.lost = True
        self.set_alarm(held)
        if self.offices.holds(held.term):
            self.offices.release(held.term)

    def drain(self) -> None:
        """SIGTERM: what waits is told at once, each office is given up when nothing is out under it."""
        self.leaving = True
        for words in self.taking.values():
            for each in words:
                self.declined(each, PAUSE)
            words.clear()
        for held in list(self.kept.values()):
            held.line.drop_all(PAUSE)
            self.pump(held)

    def leave(self, held: Kept) -> None:
        if not held.line.out() and not held.writing and not held.lost:
            self.hand_over(held)

    # What is told.

    def tell(self, held: Kept, told: Tell) -> None:
        if told.asker is None:
            return None
        if told.word == "answer":
            packet = held.packets.get(told.number or 0) or packets.Status(
                0, told.code, "remembered"
            )
            return self.answered(told.asker, packet, "answer")
        self.answer(told.asker, told.word, told.number, told.pause, told.text)

    def claimed(self, held: Kept, word: Word) -> None:
        line = held.line
        first = min(
            (each for each, closed in line.remembered.items() if closed.how == SETTLED),
            default=line.floor,
        )
        self.answered(
            word,
            wire.put_opened(
                0,
                wire.Opened(
                    b"",
                    line.claim,
                    line.contract.name,
                    line.contract.version,
                    line.contract.order.value,
                    line.floor,
                    line.batch,
                    line.contract.most_waiting,
                    first,
                    line.unsure()[: wire.MOST_UNSURE],
                ),
            ),
            "claimed",
        )

    def answer(
        self,
        word: Word,
        name: str,
        number: int | None = None,
        pause: int = 0,
        text: str = "",
    ) -> None:
        number = number if name in ("declined", "superseded", "stopped") else None
        self.answered(
            word, wire.put_sign(0, name, text or TEXTS[name], number, pause), name
        )

    def declined(self, word: Word, pause: int) -> None:
        self.answer(word, "declined", None, pause)

    def fault(self, word: Word, fault: Any) -> None:
        """Why a word comes to nothing."""
        if isinstance(fault, NotLeaseHolder) and fault.who:
            return word.answered(Elsewhere(fault.who, fault.pause))
        if isinstance(fault, CONTRADICTIONS):
            return self.answer(word, "contract", text=fault.what)
        self.answer(
            word,
            "declined",
            None,
            getattr(fault, "pause", 0) or PAUSE,
            f"declined: {getattr(fault, 'what', fault)}",
        )

    def answered(self, word: Word, packet: Any, name: str) -> None:
        self.count(name)
        word.answered(packet)
