"""The world that model.py plays: keepers (the very Keeper and Line), clients, boxes, and registers as registers/ promises them.

Offices are taken for what channels/model.py shows of them: one holder at a time whatever clocks do within their drift, and a record
that only the latest holder writes. Everything else misbehaves: words are lost, doubled and reordered, a keeper stands still at any
point (its timers ring late, what it decided leaves late), is killed, a box runs a dispatch late or twice within rule 5's rest.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from milletsill.fleet.channels import codec
from milletsill.fleet.channels.channel_owner import Keeper
from milletsill.fleet.channels.commands import (
    Elsewhere,
    Open,
    Say,
    Transfer,
    Word,
)
from milletsill.fleet.channels.ordering import (
    Book,
    Contract,
    Input,
    Order,
    Reach,
    Reaches,
    Unsure,
)
from milletsill.fleet.channels.released_attempts import Gone
from milletsill.fleet.channels.sequences import SETTLED, LetGo
from milletsill.fleet.leases.errors import (
    QuorumNotReached,
    NotLeaseHolder,
    BallotSuperseded,
)
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets
from milletsill.sftp.extensions import Terms

OFFICE, REST, WINDOW, HOLE, PATIENCE, DRIFT = (
    1000,
    100,
    2400,
    20,
    1500,
    20,
)  # tenths of a millisecond; parts of a thousand
KEY = "v/c"


class Volume:
    name, number = "v", 1


class Alarm:
    def __init__(self, at: int, call: Callable[[], None]) -> None:
        self.at, self.call, self.on = at, call, True

    def active(self) -> bool:
        return self.on

    def cancel(self) -> None:
        self.on = False


class Term:
    def __init__(self, ends: int, value: bytes, age: int, index: int) -> None:
        (
            self.expires_at,
            self.value,
            self.value_age,
            self.index,
            self.over,
            self.in_use,
            self.key,
        ) = ends, value, age, index, False, False, KEY


class Dispatch:
    """One at a box, or on its way there or back. `until`: true time after which a box does not run it any more."""

    def __init__(
        self,
        ticket: str,
        what: Transfer,
        at: Gateway,
        gone: Gone,
        ended: Any,
        until: int,
    ) -> None:
        self.ticket, self.what, self.at, self.gone, self.ended, self.until = (
            ticket,
            what,
            at,
            gone,
            ended,
            until,
        )
        self.over = self.answer = False


class Gateway:
    """One gateway: its clock, its offices, its keeper; made anew when it is killed."""

    def __init__(self, sea: Sea, name: str, run: int, rate: int) -> None:
        self.sea, self.name, self.run_number, self.rate, self.dead = (
            sea,
            name,
            run,
            rate,
            False,
        )
        self.pending: list[tuple[str, Any]] = []  # what was asked of the registers
        self.alarms: list[Alarm] = []
        self.queue: list[
            tuple[Word, LetGo, Gone, Any]
        ] = []  # let go, and not yet on its way
        self.keeper = Keeper(
            name,
            self,
            self.now,
            self,
            sea.book,
            REST,
            100,
            self,
            lambda *told, **more: None,
            lambda word: None,
        )

    def now(self) -> int:
        return self.sea.now * (1000 + self.rate) // 1000

    def callLater(self, seconds: float, call: Any, *values: Any) -> Alarm:
        alarm = Alarm(self.now() + int(seconds * 10_000), lambda: call(*values))
        self.alarms = [each for each in self.alarms if each.on] + [alarm]
        return alarm

    # Offices.

    def preferred_holder(self, key: str) -> str:
        return ""

    def acquire(self, key: str, then: Any) -> None:
        self.pending.append(("take", (self.now(), then)))

    def write(self, term: Term, value: bytes, then: Any) -> None:
        self.pending.append(("write", (self.now(), term, value, then)))

    def holds(self, term: Term) -> bool:
        return not term.over and self.now() < term.expires_at

    def release(self, term: Term) -> None:
        term.over = True
        if self.sea.holder == (self.name, self.run_number):
            self.sea.holder = ("", 0)

    # What a keeper needs of the edge.

    def reaches(self, what: Transfer) -> Reaches:
        return (Reach(int(what.command.data[:1])),)

    def window(self, word: Word) -> int:
        return WINDOW

    def run(self, word: Word, gone: LetGo, term: Term, ends: int, ended: Any) -> None:
        gate = Gone(self, term, f"{gone.number}.{gone.turn}", ends, gone.again)
        self.sea.left(word)
        self.queue.append((word, gone, gate, ended))


class Sea:
    """All of them. `wrong` says what was broken first. A transfer's data are its extent and its number."""

    def __init__(
        self,
        order: Order,
        unsure: Unsure = Unsure.REST,
        keepers: int = 2,
        numbers: int = 3,
        seed: int = 0,
    ) -> None:
        chance = Random(seed)
        self.order, self.unsure, self.numbers, self.now = order, unsure, numbers, 0
        self.contract = Contract("c", 1, order, unsure, most_waiting=8, hole=HOLE)
        self.book = Book([(self.contract, frozenset(), frozenset(), False)])
        self.record, self.written_at, self.index = b"", 0, 0
        self.holder, self.until = ("", 0), 0
        rates = [chance.choice((-DRIFT, DRIFT)) for _ in range(keepers)]
        self.gateways = [
            Gateway(self, f"k{each}", 1, rates[each]) for each in range(keepers)
        ]
        self.dispatches: list[Dispatch] = []
        self.tickets: dict[str, int] = {}  # true time of the first run
        self.effects: list[tuple[int, int]] = []  # number and extent
        self.reached: set[int] = (
            set()
        )  # numbers that may be out, as the record had it once
        self.told: set[int] = set()  # numbers that a client heard to be settled
        self.out: dict[int, int] = {}  # words of a number on their way or at a gate
        self.extents = {each: each % 2 for each in range(1, numbers + 1)}
        self.changed: set[int] = set()
        self.doubtful: set[int] = (
            set()
        )  # numbers of which a client heard that they may have been done or not
        self.said: set[int] = set()  # of which it said what became of them
        self.over: dict[
            int, int
        ] = {}  # number -> first turn of its ticket that may still run, once its word was taken
        self.free: set[int] = (
            set()
        )  # numbers that were declined: a client may send another content
        self.claim = self.claimed_at = self.tokens = 0
        self.wrong: str | None = None
        self.events = 0
        self.budget: dict[
            str, int
        ] = {}  # how often events with such a word may still happen, where it is bounded

    def break_(self, text: str) -> None:
        self.wrong = self.wrong or text

    # Clients.

    def open(self, gateway: Gateway) -> None:
        self.tokens += 1
        word = Word(
            Volume,
            "c",
            gateway.now() + PATIENCE,
            Open("", 0, 0),
            str(self.tokens),
            lambda packet: None,
        )
        word.answered = self.opened
        gateway.keeper.word(word)

    def opened(self, packet: Any) -> None:
        if isinstance(packet, packets.ExtendedReply):
            told = wire.read_opened(packet)
            if told.claim > self.claim:
                self.claim, self.claimed_at = told.claim, self.events

    def send(self, gateway: Gateway, number: int, claim: int | None = None) -> None:
        """A client's transfer; a number that was declined may come with another content."""
        extent = self.extents[number]
        batch, last = (number + 1) // 2, number % 2 == 0
        command = packets.Write(0, b"f", 0, b"%d:%d" % (extent, number))
        what = Transfer(
            number,
            self.claim if claim is None else claim,
            batch if self.order is Order.BATCHES else 0,
            last and self.order is Order.BATCHES,
            Terms(),
            "/f",
            command,
        )
        word = Word(
            Volume, "c", gateway.now() + PATIENCE, what, "", lambda packet: None
        )
        self.out[number] = self.out.get(number, 0) + 1
        came = self.events
        word.answered = lambda packet: self.answered(number, packet, came)
        gateway.keeper.word(word)

    def answered(self, number: int, packet: Any, came: int) -> None:
        self.out[number] = max(self.out.get(number, 0) - 1, 0)
        sign = (
            None if isinstance(packet, Elsewhere) else wire.read_sign(packet.language)
        )
        if isinstance(packet, Elsewhere) or sign is not None:
            if (
                sign is not None
                and sign.word == "declined"
                and number not in self.reached
            ):
                self.free.add(number)
            if sign is not None and sign.word in ("aborted", "stopped"):
                self.doubtful.add(sign.number or number)
            return
        self.told.add(number)
        if number not in self.said and not any(
            each == number for each, _ in self.effects
        ):
            self.break_(f"{number} was told as settled and has no effect")

    def say(self, gateway: Gateway, number: int, word: int) -> None:
        """The client's word on a number that is in doubt."""
        said = Word(
            Volume,
            "c",
            gateway.now() + PATIENCE,
            Say(number, word, self.claim),
            "",
            lambda packet: None,
        )
        self.said.add(number)

        def answered(packet: Any) -> None:
            if isinstance(packet, packets.Status) and packet.code == packets.OK:
                self.over[number] = self.over.get(number, 0) + 1

        said.answered = answered
        gateway.keeper.word(said)

    def other(self, number: int) -> None:
        """The client sends the number with another content from now on: it was declined, and nothing of it was done."""
        self.free.discard(number)
        self.extents[number] = 1 - self.extents[number]
        self.changed.add(number)

    def left(self, word: Word) -> None:
        """A transfer passes the gate."""
        assert isinstance(word.what, Transfer)
        if (
            word.what.claim != self.claim
            and self.claim > word.what.claim
            and self.events - self.claimed_at > 40
        ):
            self.break_(
                f"{word.what.number} passed under claim {word.what.claim} long after {self.claim}"
            )

    # Registers, as registers/ promises them.

    def settle(self, gateway: Gateway, fate: str = "done") -> None:
        """What a gateway asked comes to something: `done`, `lost` (nothing came of it), `unheard` (it was done, unheard)."""
        kind, values = gateway.pending.pop(0)
        if kind == "take":
            sent, then = values
            if fate != "done":
                return then(QuorumNotReached("lost", KEY, 10))
            who = (gateway.name, gateway.run_number)
            if self.holder[0] and self.holder != who and self.now < self.until:
                return then(NotLeaseHolder("held", KEY, 10, self.holder[0]))
            self.holder, self.until = who, self.now + OFFICE * (1000 + DRIFT) // 1000
            ends = sent + OFFICE * (1000 - DRIFT) // 1000
            self.index += 1
            self.look_at_record()
            return then(
                Term(
                    ends,
                    self.record,
                    (self.now - self.written_at) * (1000 + 2 * DRIFT) // 1000 + 1,
                    self.index,
                )
            )
        sent, term, value, then = values
        if fate == "lost" or term.over or term.index != self.index:
            term.over = True
            return then(BallotSuperseded("lost or late", KEY, 10))
        if value != self.record:
            self.record, self.written_at = value, self.now
            self.reached |= set(codec.read_record(value, REST, 0, 0).entries)
        self.until = max(self.until, self.now + OFFICE * (1000 + DRIFT) // 1000)
        if fate == "unheard":
            term.over = True
            return then(BallotSuperseded("unheard", KEY, 10))
        term.expires_at = max(term.expires_at, sent + OFFICE * (1000 - DRIFT) // 1000)
        term.value = value
        then(None)

    def look_at_record(self) -> None:
        """A new keeper must find settled what a client was told to be."""
        if self.record and self.told:
            line = codec.read_record(self.record, REST, 0, 0)
            for each in self.told:
                closed = line.remembered.get(each)
                if (
                    not line.is_closed(each)
                    or closed is not None
                    and closed.how != SETTLED
                ):
                    self.break_(
                        f"{each} was told as settled, and the record does not know it"
                    )

    # Boxes.

    def leave(self, gateway: Gateway) -> None:
        """What was let go reaches the last place before the network."""
        word, gone, gate, ended = gateway.queue.pop(0)
        if not gate.leaves():
            return ended(gate.input(), 0, 10, None)
        gate.sent += 1
        assert isinstance(word.what, Transfer)
        left = max(gate.ends - gateway.now(), 0)
        until = self.now + (left + REST) * 1000 // (
            1000 + DRIFT
        )  # rule 5: it does not run after its end and the rest
        self.free.discard(gone.number)
        self.dispatches.append(
            Dispatch(gate.ticket, word.what, gateway, gate, ended, until)
        )

    def runs(self, dispatch: Dispatch) -> None:
        """A box does it, or answers from its memory of tickets."""
        done = self.tickets.get(dispatch.ticket)
        if done is None or self.now - done > WINDOW * (1000 + 2 * DRIFT) // 1000:
            self.tickets[dispatch.ticket] = self.now
            number, turn = (int(each) for each in dispatch.ticket.split("."))
            if turn < self.over.get(number, 0) and turn == 0:
                self.break_(
                    f"{number} took effect after the client's word on it was taken"
                )
            self.effect(dispatch.what.number, int(dispatch.what.command.data[:1]))
        dispatch.answer = True

    def effect(self, number: int, extent: int) -> None:
        """One effect: all contracts are looked at here."""
        past = self.effects
        if any(each == number for each, _ in past) and number not in self.said:
            self.break_(f"{number} took effect twice")
        # A client may say of what was done that it was not: then the fault is its own.
        before = [
            each
            for each, on in past
            if each not in self.said
            and (self.order is not Order.BY_EXTENT or on == extent)
        ]
        batch = self.order is Order.BATCHES
        late = [
            each
            for each in before
            if ((each + 1) // 2 > (number + 1) // 2 if batch else each > number)
        ]
        if late and number not in self.said:
            self.break_(f"{number} took effect after {late}")
        self.effects.append((number, extent))
        if self.order is Order.NEWEST:
            return
        first = (number + 1) // 2 * 2 - 1 if batch else number
        lower = [
            each
            for each in range(1, first)
            if self.order is not Order.BY_EXTENT
            or (self.extents[each] == extent and each not in self.changed)
        ]
        missing = [
            each
            for each in lower
            if not any(each == done for done, _ in self.effects)
            and each not in self.said
            and (each not in self.reached or self.unsure is Unsure.STOP)
        ]
        if missing:
            self.break_(f"{number} took effect, {missing} left out")

    def answer(self, dispatch: Dispatch) -> None:
        """Its answer arrives."""
        self.end(dispatch, Input.SETTLED)

    def end(self, dispatch: Dispatch, input: Input) -> None:
        if not dispatch.over and not dispatch.at.dead:
            dispatch.over = True
            dispatch.ended(
                input,
                0,
                10,
                packets.Status(0, packets.OK) if input is Input.SETTLED else None,
            )

    # Time and trouble.

    def ring(self, gateway: Gateway) -> None:
        for each in [
            each for each in gateway.alarms if each.on and each.at <= gateway.now()
        ]:
            each.on = False
            each.call()

    def kill(self, place: int) -> None:
        old = self.gateways[place]
        old.dead = True
        old.pending, old.queue, old.alarms = [], [], []
        self.out = {}
        self.gateways[place] = Gateway(self, old.name, old.run_number + 1, old.rate)

    # What may happen next.

    def moves(self) -> dict[str, Callable[[], None]]:
        found: dict[str, Callable[[], None]] = {}
        for place, each in enumerate(self.gateways):
            found[f"{each.name} opens"] = lambda e=each: self.open(e)
            for number in range(1, self.numbers + 1):
                if self.claim and self.out.get(number, 0) < 2:
                    found[f"{number} to {each.name}"] = lambda e=each, n=number: (
                        self.send(e, n)
                    )
                if self.claim > 1 and self.out.get(number, 0) < 2:
                    found[f"{number} to {each.name} under the claim before"] = (
                        lambda e=each, n=number: self.send(e, n, self.claim - 1)
                    )
            if each.pending:
                for fate in ("done", "lost", "unheard"):
                    found[f"{each.name} registers {fate}"] = lambda e=each, f=fate: (
                        self.settle(e, f)
                    )
            if each.queue:
                found[f"{each.name} dispatches"] = lambda e=each: self.leave(e)
            if any(alarm.on and alarm.at <= each.now() for alarm in each.alarms):
                found[f"{each.name} rings"] = lambda e=each: self.ring(e)
            found[f"{each.name} killed"] = lambda p=place: self.kill(p)
        for place, dispatch in enumerate(self.dispatches):
            if self.now <= dispatch.until:
                found[f"box runs {place}"] = lambda d=dispatch: self.runs(d)
            if dispatch.answer and not dispatch.over:
                found[f"answer {place}"] = lambda d=dispatch: self.answer(d)
            if not dispatch.over:
                if dispatch.at.now() >= dispatch.gone.ends:
                    found[f"time-out {place}"] = lambda d=dispatch: self.end(
                        d, d.gone.input()
                    )
        for number in sorted(self.doubtful):
            for name, word in (
                ("done", wire.DONE),
                ("again", wire.AGAIN),
                ("left out", wire.LEFT_OUT),
            ):
                for each in self.gateways[:2]:
                    found[f"say {number} {name} at {each.name}"] = (
                        lambda e=each, n=number, w=word: self.say(e, n, w)
                    )
        for number in sorted(self.free):
            found[f"{number} becomes another"] = lambda n=number: self.other(n)
        for span in (24, REST + 20, OFFICE // 2, OFFICE + 60):
            found[f"time {span}"] = lambda s=span: self.pass_time(s)
        return found

    def pass_time(self, span: int) -> None:
        self.now += span
        self.dispatches = [
            each
            for each in self.dispatches
            if self.now <= each.until or not each.over and not each.at.dead
        ]

    def do(self, name: str) -> bool:
        """One event by name; False where it cannot happen."""
        move = self.moves().get(name)
        if move is not None:
            self.events += 1
            for word in self.budget:
                self.budget[word] -= word in name
            move()
        return move is not None

    def bounded(self) -> dict[str, Callable[[], None]]:
        """The moves that the budget still bears."""
        return {
            name: move
            for name, move in self.moves().items()
            if not any(word in name and left <= 0 for word, left in self.budget.items())
        }

    def key(self) -> Any:
        """The same for worlds that go on alike, as far as it is told apart here."""
        lines = tuple(
            (
                each.now(),
                each.run_number,
                len(each.pending),
                len(each.queue),
                tuple(
                    (
                        codec.put_record(held.line, 0),
                        held.line.dirty,
                        held.writing,
                        held.term.expires_at,
                        held.lost,
                        tuple(
                            (number, entry.phase.name, entry.rests, entry.hole)
                            for number, entry in held.line.entries.items()
                        ),
                    )
                    for held in each.keeper.kept.values()
                ),
            )
            for each in self.gateways
        )
        boxes = tuple(
            (
                each.ticket,
                each.until,
                each.over,
                each.answer,
                each.at.name,
                each.at.dead,
            )
            for each in self.dispatches
        )
        return (
            self.now,
            lines,
            boxes,
            self.record,
            self.holder,
            self.until,
            tuple(self.effects),
            self.claim,
            tuple(sorted(self.out.items())),
            tuple(sorted(self.tickets.items())),
            tuple(self.extents.values()),
            tuple(self.budget.values()),
        )
