"""Keepers, registers and a network that loses, doubles, delays and reorders, for model.py: played with the very functions of
registers/decide.py and registers/standing.py, one channel. A value is the line of all writes it was made from, so that a lost or a
forked one shows.
"""

from __future__ import annotations

import copy
from typing import Any, NamedTuple

from milletsill.fleet.leases import acceptor, acceptor_recovery
from milletsill.fleet.leases.acceptor import (
    Answer,
    Call,
    Office,
    Record,
    Span,
)
from milletsill.fleet.leases.acceptor_recovery import (
    StateIdentity,
    Joining,
    SnapshotPage,
    Standing,
    Turn,
)
from milletsill.fleet.leases.lease_proposer import (
    Effect,
    Poll,
    Seat,
    Seated,
    rounds_used,
)

C, MOST_FLYING = "c", 14
SPAN = Span(
    10_000, 2_500, 50
)  # clocks that are wrong by 5%, so that it shows past the guard of a send


class Hello(NamedTuple):
    """From a register that may not answer yet."""


class Heard(NamedTuple):
    """What one gateway last heard of a register; also said unasked (a beat) as what the register itself is."""

    of: str
    known: StateIdentity | None


class Tell(NamedTuple):
    """A register that catches up asks for all records."""


class Message(NamedTuple):
    to: str
    sender: str
    body: Any


class Register:
    """One register: what is on its disk, and what is only in memory."""

    def __init__(self, name: str, born: int) -> None:
        self.name, self.born, self.base = name, born, born
        self.record: Record | None = None
        self.office: Office | None = None
        self.floor = 0
        self.own = StateIdentity(1, int(name[1:]), 0)
        self.known: dict[str, StateIdentity] = {}
        self.joining: Joining | None = None  # none: whole
        self.doubted = False
        self.copies: list[tuple[Record | None, int, StateIdentity]] = []

    def copy(self) -> Register:
        made = Register.__new__(Register)
        made.__dict__.update(self.__dict__)
        made.known, made.copies = dict(self.known), list(self.copies)
        if self.joining is not None:
            joining = made.joining = Joining.__new__(Joining)
            joining.__dict__.update(self.joining.__dict__)
            for name in ("clean", "told", "records", "after"):
                setattr(joining, name, getattr(self.joining, name).copy())
        return made

    def key(self) -> Any:
        joining = self.joining
        asked = joining and (
            joining.state,
            joining.own,
            joining.waits,
            tuple(sorted(joining.clean)),
            tuple(sorted(joining.told)),
            tuple(joining.records.values()),
        )
        return (
            self.record,
            self.office,
            self.floor,
            self.own,
            asked,
            tuple(sorted(self.known.items())),
        )

    def whole(self) -> bool:
        return self.joining is None or self.joining.state is Standing.WHOLE

    def commit(self) -> None:
        self.copies = self.copies[-20:] + [(self.record, self.floor, self.own)]
        self.own = self.own._replace(generation=self.own.generation + 1)


class Keeper:
    """One keeper's seat of the channel, and what it heard of registers. `called`: the name that it has, which may be another's
    too.
    """

    def __init__(self, called: str, nonce: int, span: Span, registers: int) -> None:
        self.seat = Seat(C, called, nonce, span, registers)
        self.known: dict[str, StateIdentity] = {}

    def copy(self) -> Keeper:
        made = Keeper.__new__(Keeper)
        made.known = dict(self.known)
        seat = made.seat = copy.copy(self.seat)
        if seat.poll is not None:
            poll = seat.poll = Poll(seat.poll.call, seat.poll.sent)
            poll.yes, poll.no = dict(self.seat.poll.yes), dict(self.seat.poll.no)
        return made

    def key(self) -> Any:
        seat, poll = self.seat, self.seat.poll
        return (
            seat.state,
            seat.ballot,
            seat.index,
            seat.value,
            seat.ends,
            seat.queued,
            seat.tries,
            seat.round,
            seat.nonce,
            poll
            and (
                poll.call,
                poll.sent,
                tuple(sorted(poll.yes)),
                tuple(sorted(poll.no)),
                tuple(poll.yes.values()),
            ),
        )


class World:
    """All of them, the messages that may still arrive, and what counted so far."""

    def __init__(
        self,
        registers: int,
        keepers: int,
        span: Span = SPAN,
        rates: tuple[int, ...] = (),
    ) -> None:
        self.span, self.now, self.nonce, self.written = span, 0, 100, 0
        self.registers = {
            f"r{each}": Register(f"r{each}", 0) for each in range(registers)
        }
        self.keepers = {
            f"k{each}": Keeper(f"k{each}", each + 1, span, registers)
            for each in range(keepers)
        }
        # Registers fast and keepers slow is the worst that drift allows.
        self.rates = dict(
            zip(
                [*self.registers, *self.keepers],
                rates or [span.drift] * registers + [-span.drift] * keepers,
            )
        )
        self.flying: list[Message] = []
        self.firsts: dict[bytes, int] = {}  # when each value counted first
        self.made: dict[bytes, int] = {}  # when it was made, by one that says so
        self.earlier = frozenset(
            list(self.keepers)[1::2]
        )  # of an earlier version, which does not
        self.settled, self.settled_at, self.silent = (
            b"",
            0,
            0,
        )  # silent: a register forgets a channel after it; 0 for never
        self.wrong: str | None = None
        self.budget = {"double": 1, "restart": 1, "older": 1, "lost": 1, "keeper": 1}

    def copy(self) -> World:
        made = World.__new__(World)
        made.__dict__.update(self.__dict__)
        made.registers = {name: each.copy() for name, each in self.registers.items()}
        made.keepers = {name: each.copy() for name, each in self.keepers.items()}
        made.flying, made.budget, made.firsts = (
            list(self.flying),
            dict(self.budget),
            dict(self.firsts),
        )
        made.made = dict(self.made)
        return made

    def key(self) -> Any:
        return (
            self.now,
            self.settled,
            tuple(each.key() for each in self.registers.values()),
            tuple(each.key() for each in self.keepers.values()),
            frozenset(self.flying),
            tuple(self.budget.values()),
        )

    def clock(self, name: str) -> int:
        return self.now * (1000 + self.rates[name]) // 1000

    # What is looked for.

    def look(self) -> None:
        holding = [
            name
            for name, each in self.keepers.items()
            if each.seat.holds(self.clock(name))
        ]
        if len(holding) > 1:
            self.wrong = self.wrong or f"two hold the office: {holding}"

    def counts(self, name: str, seat: Seat, seated: bool) -> None:
        """A value is told as what counts: nothing that counted before may be missing."""
        value, held = seat.value, seat.holds(self.clock(name))
        older = self.settled.startswith(value) and not (seated and held)
        if not value.startswith(self.settled) and not older:
            if seated and self.silent and self.now - self.settled_at >= self.silent:
                self.settled, self.settled_at = (
                    value,
                    self.now,
                )  # forgotten as it was allowed to be
                return
            self.wrong = self.wrong or f"{name} has {value!r}, {self.settled!r} counted"
        first_at = self.firsts.setdefault(value, self.now)
        first = self.made.get(value, first_at) * (1000 + self.rates[name]) // 1000
        if self.silent and self.now - first_at >= self.silent * 9 // 10:
            pass  # those that had it before anybody acted on it may have forgotten it
        elif seated and value and seat.since is not None and seat.since > first:
            self.wrong = self.wrong or f"{name} takes {value!r} for younger than it is"
        if len(value) >= len(self.settled):
            self.settled, self.settled_at = value, self.now

    # Events of keepers.

    def effects(self, name: str, effects: list[Effect]) -> None:
        seat = self.keepers[name].seat
        for effect in effects:
            if (
                effect
                in (
                    Effect.ASK,
                    Effect.ASK_HIGHER,
                    Effect.RENEW,
                    Effect.WRITE,
                    Effect.MEND,
                )
                and seat.poll is not None
            ):
                for register in self.registers:
                    self.fly(register, name, seat.poll.call)
            elif effect in (Effect.LOSE, Effect.RELEASE) and seat.gone is not None:
                for register in self.registers:
                    self.fly(register, name, seat.gone)
            elif effect in (Effect.SEAT, Effect.WROTE):
                self.counts(name, seat, effect is Effect.SEAT)
        self.look()

    def take(self, name: str) -> None:
        self.effects(name, self.keepers[name].seat.take(self.clock(name)))

    def write(self, name: str) -> None:
        seat = self.keepers[name].seat
        self.written += 1
        base = (seat.queued or (b"", 0))[0] or (
            seat.poll.call.value
            if seat.state is Seated.WRITING and seat.poll
            else seat.value
        )
        value = base + self.written.to_bytes(2, "big")
        if name not in self.earlier:
            self.made[value] = self.now
        self.effects(name, seat.write(value, self.clock(name)))

    def give_up(self, name: str) -> None:
        self.effects(name, self.keepers[name].seat.give_up(self.clock(name)))

    def again(self, name: str) -> None:
        """Told once more, as the service does half a call later."""
        poll = self.keepers[name].seat.poll
        for register in self.registers if poll is not None else ():
            if register not in poll.yes:
                self.fly(register, name, poll.call)

    def let_go(self, name: str) -> None:
        """A keeper forgets a seat that it does not hold, and makes a new one when it needs it."""
        old = self.keepers[name].seat
        if old.poll is None and not old.holds(self.clock(name)):
            used = rounds_used(0, old)
            self.keepers[name].seat = Seat(
                C, old.name, old.nonce, self.span, len(self.registers), used
            )

    def start_keeper(self, name: str) -> None:
        self.nonce += 1
        self.keepers[name] = Keeper(
            self.keepers[name].seat.name, self.nonce, self.span, len(self.registers)
        )

    # Events of registers.

    def commit(self, register: Register, record: Record | None) -> None:
        if record is not register.record:
            register.record = record
            register.commit()

    def call(self, register: Register, sender: str, call: Call) -> None:
        now = self.clock(register.name)
        if sender in self.earlier:
            call = call._replace(born=acceptor.JUST_NOW)
        if (
            call.born != acceptor.JUST_NOW
        ):  # as the offices date it: on the register's clock, at the earliest
            made = call.born * 1000 // (1000 + self.rates[sender])
            call = call._replace(born=made * (1000 + self.rates[register.name]) // 1000)
        if not register.whole():
            answer = Answer(
                call.ask, C, call.ballot, call.index, acceptor.Say.AWAY, pause=1
            )
        else:
            office = (
                register.office
                if register.office is not None
                else acceptor.loaded(register.base, self.span)
            )
            done = acceptor.register(
                register.record,
                office if register.record is not None else None,
                register.floor,
                call,
                now,
                now - register.born,
                self.span,
            )
            self.commit(register, done.record)
            register.office = done.office
            if done.answer is None:
                return
            answer = done.answer
        self.fly(sender, register.name, (answer, register.own))

    def turn(self, register: Register, turn: Turn) -> None:
        joining = register.joining
        if joining is None:
            return
        register.doubted |= turn is Turn.DOUBT
        if turn is Turn.GATHER:
            for other in joining.others:
                self.fly(other, register.name, Tell())
        elif turn is Turn.ANEW:
            records = {C: register.record} if register.record is not None else {}
            acceptor_recovery.merged(records, joining.records.items(), 0)
            self.nonce += 1
            register.floor = max(register.floor, joining.floor)
            acceptor_recovery.fenced(records, register.floor)
            register.own, register.record, register.office = (
                joining.anew(self.nonce),
                records.get(C),
                None,
            )
            register.base = self.clock(register.name)
            register.joining, register.doubted = None, False
        elif turn is Turn.BEGIN:
            register.joining = None

    def start_register(self, name: str, how: str) -> None:
        """A register starts again with its state kept, older (each other register heard of something later) or lost."""
        register, now = self.registers[name], self.clock(name)
        others = [each for each in self.registers if each != name]
        if how == "older":
            heard = min(
                (
                    self.registers[each].known.get(name, StateIdentity(0, 0, 0))
                    for each in others
                ),
                default=register.own,
            )
            copies = [each for each in register.copies if each[2] < heard]
            if not copies:
                return
            register.record, register.floor, register.own = copies[-1]
        elif how == "lost":
            if any(name not in self.registers[each].known for each in others):
                return
            self.nonce += 1
            register.record, register.floor, register.own, register.known = (
                None,
                0,
                StateIdentity(1, self.nonce, 0),
                {},
            )
            register.doubted = False
        register.office, register.born, register.base, register.copies = (
            None,
            now,
            now,
            [],
        )
        register.joining = Joining(
            register.own,
            others,
            self.span,
            now,
            register.own.generation == 0,
            register.doubted,
        )
        self.hello(name)

    def hello(self, name: str) -> None:
        for each in [*self.registers, *self.keepers]:
            if each != name:
                self.fly(each, name, Hello())

    def beat(self, name: str) -> None:
        for each in self.registers:
            if each != name:
                self.fly(each, name, Heard(name, self.registers[name].own))

    def forget(self, name: str) -> None:
        register = self.registers[name]
        record, up = register.record, self.clock(name) - register.born
        if (
            self.silent
            and record is not None
            and acceptor.forgettable(record, up, self.silent)
        ):
            register.floor, register.office = (
                acceptor.raised(register.floor, record),
                None,
            )
            self.commit(register, None)

    # The network.

    def fly(self, to: str, sender: str, body: Any) -> None:
        message = Message(to, sender, body)
        if message not in self.flying:
            self.flying.append(message)
            del self.flying[: -MOST_FLYING * len(self.keepers)]

    def arrive(self, place: int, stays: bool) -> None:
        to, sender, body = self.flying[place] if stays else self.flying.pop(place)
        if to in self.keepers:
            self.at_keeper(to, sender, body)
        else:
            self.at_register(self.registers[to], sender, body)
        self.look()

    def at_keeper(self, name: str, sender: str, body: Any) -> None:
        keeper = self.keepers[name]
        if isinstance(body, Hello):
            self.fly(sender, name, Heard(sender, keeper.known.get(sender)))
        elif isinstance(body, tuple) and isinstance(body[0], Answer):
            keeper.known[sender] = max(keeper.known.get(sender, body[1]), body[1])
            self.effects(name, keeper.seat.hear(sender, body[0], self.clock(name)))

    def at_register(self, register: Register, sender: str, body: Any) -> None:
        now, joining = self.clock(register.name), register.joining
        if isinstance(body, Call):
            self.call(register, sender, body)
        elif isinstance(body, Hello):
            self.fly(sender, register.name, Heard(sender, register.known.get(sender)))
        elif isinstance(body, Heard) and body.of == sender:
            register.known[sender] = max(
                register.known.get(sender, body.known), body.known
            )
        elif isinstance(body, Heard) and joining is not None:
            self.turn(register, joining.witnessed(sender, body.known, now))
        elif isinstance(body, Tell) and register.whole():
            records = ((C, register.record),) if register.record is not None else ()
            self.fly(sender, register.name, SnapshotPage(records, register.floor, True))
        elif isinstance(body, SnapshotPage) and joining is not None:
            self.turn(register, joining.page(sender, "", body, 0, now))

    def exchange(self, name: str, reach: tuple[str, ...], back: bool = True) -> None:
        """Everything of a keeper's open calls with some registers at once, until nothing moves; `back`: answers too."""
        for _ in range(8):
            place = next(
                (
                    at
                    for at, each in enumerate(self.flying)
                    if (each.sender == name and each.to in reach)
                    or (back and each.to == name and each.sender in reach)
                ),
                None,
            )
            if place is None:
                break
            self.arrive(place, False)

    def office_over(self, name: str) -> int:
        """How long until a register lets others in."""
        register = self.registers[name]
        until = 0 if register.office is None else register.office.until
        return max(-(-until * 1000 // (1000 + self.rates[name])) - self.now, 0)

    def pass_time(self, span: int) -> None:
        self.now += span
        self.look()
        for name, each in self.keepers.items():
            self.effects(name, each.seat.late(self.clock(name)))
        for register in self.registers.values():
            if register.joining is not None:
                self.turn(register, register.joining.step(self.clock(register.name)))
