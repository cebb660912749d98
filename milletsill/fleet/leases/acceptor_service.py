"""One gateway's register: calls that came in one round become one commit, off the reactor's thread, and answers go out after it.

All that touches the file runs in one thread, one job at a time; what decides is register() of decide.py and Joining of standing.py.
A job that cannot write answers nothing, and nothing of it counts.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import xxhash

from milletsill.errors import MilletsillError
from milletsill.fleet.leases.acceptor import (
    Answer,
    Ask,
    Call,
    Office,
    Record,
    Say,
    Span,
    loaded,
    register,
)
from milletsill.fleet.leases.acceptor_recovery import (
    StateIdentity,
    Joining,
    SnapshotPage,
    Standing,
    Turn,
    fenced,
    merged,
)
from milletsill.fleet.leases.acceptor_store import AcceptorStore, set_aside
from milletsill.fleet.leases.errors import (
    DiskFull,
    AcceptorSetChanged,
    AcceptorStateMissing,
    AcceptorStateRolledBack,
    AcceptorStateCorrupt,
    LeaseSettingsMismatch,
)
from milletsill.fleet.leases.metrics import RegisterFigures

BATCH, MOST_WAITING = 1000, 20_000  # calls of one round; calls that wait
LOOK = 500  # records that one round of forgetting looks at
ALL = 10  # of so many questions one goes to all gateways, the others to the registers
AGAIN = 10_000  # after a full disk, in tenths of a millisecond
SAY_EVERY = 100_000
ORDER = ".go-on"  # a file beside the register's: an operator's order to go on with what there is
In = Callable[
    [Callable[[], Any], Callable[[Any], None]], None
]  # a job for the thread, and who gets its result or Fault


class Said(NamedTuple):
    """What a round came to, by member."""

    answers: list[tuple[str, Answer]]
    calls: int
    commits: int
    seconds: float


class Desk:
    """`send` gets answers for a member; `ask` sends a Hello to the registers or to everybody, `tell` asks a register for a page."""

    def __init__(
        self,
        now: Callable[[], int],
        name: str,
        others: Sequence[str],
        span: Span,
        most: int,
        silent: int,
        path: str,
        chance: int,
        terms: int,
        in_thread: In,
        remark: Callable[..., None],
        registry: Any,
        most_pages: int = 0,
    ) -> None:
        self.now, self.name, self.others, self.span, self.most, self.silent = (
            now,
            name,
            tuple(others),
            span,
            most,
            silent,
        )
        self.terms, self.among = (
            terms,
            xxhash.xxh64_intdigest("\0".join(sorted([name, *others])).encode()),
        )
        self.path, self.chance, self.in_thread, self.remark, self.most_pages = (
            path,
            chance,
            in_thread,
            remark,
            most_pages,
        )
        self.figures = RegisterFigures(registry)
        self.born = now()
        self.up_before = 0
        self.base = self.born  # offices that are not known run from here
        self.store: AcceptorStore | None = None
        self.joining: Joining | None = None
        self.offices: dict[str, Office] = {}
        self.waiting: list[tuple[str, Call]] = []
        self.busy = self.stopped = False
        self.full_until = 0
        self.cursor, self.looks = "", 0
        self.said_at: dict[str, int] = {}
        self.send: Callable[[str, list[Answer]], None] = lambda member, answers: None
        self.ask: Callable[[bool], None] = lambda everybody: None
        self.tell: Callable[[str, str], None] = lambda member, after: None

    # Life.

    def start(self) -> None:
        self.in_thread(self.open, self.opened)

    def open(self) -> Any:
        """In the thread. What is torn is set aside; the new file knows that there was another."""
        try:
            return AcceptorStore.opened(
                self.path, self.chance, self.among, most_pages=self.most_pages
            ), None
        except AcceptorStateCorrupt as error:
            set_aside(self.path)
            return AcceptorStore.opened(
                self.path, self.chance, self.among, True, self.most_pages
            ), error

    def opened(self, result: Any) -> None:
        if isinstance(result, MilletsillError):
            return self.say(result)  # away until a restart
        self.store, error = result
        if error is not None:
            self.say(error)
        own, self.up_before = self.store.own, self.store.up
        ordered = os.path.exists(self.path + ORDER)
        if self.store.among != self.among and not ordered:
            return self.say(
                AcceptorSetChanged(
                    "not the registers that its state was made for", self.path
                )
            )  # away until a restart
        self.store.among = self.among
        self.joining = Joining(
            own,
            self.others,
            self.span,
            self.born,
            own.generation == 0,
            self.store.doubted,
        )
        if ordered:
            os.remove(self.path + ORDER)
            self.remark("register_ordered", file=self.path + ORDER)
            self.turn(self.joining.ordered())
        else:
            self.turn(self.joining.step(self.now()))
        self.note()
        self.look()

    def look(self) -> None:
        """Now and then: what time alone brings, and questions where it may not answer."""
        joining = self.joining
        if joining is None or self.stopped:
            return
        self.turn(joining.step(self.now()))
        self.looks += 1
        if joining.state is Standing.JOINING:
            self.ask(self.looks % ALL == 1)
        elif joining.state is Standing.GATHERING:
            for each in self.others:
                if each not in joining.told:
                    self.tell(each, joining.after.get(each, ""))
        elif self.store is not None:
            self.pump()
            self.in_thread(self.forget, self.forgotten)

    def whole(self) -> bool:
        return self.joining is not None and self.joining.state is Standing.WHOLE

    def own(self) -> StateIdentity:
        return self.store.own if self.store is not None else StateIdentity(0, 0, 0)

    def up(self) -> int:
        """For how long the register has been up, over all its starts."""
        return self.up_before + self.now() - self.born

    # Standing.

    def witnessed(self, member: str, known: StateIdentity | None) -> None:
        """What another last heard of this register; also unasked."""
        if self.joining is not None and self.store is not None:
            self.joining.own = self.store.own
            self.turn(self.joining.witnessed(member, known, self.now()))

    def told(self, member: str, after: str, page: SnapshotPage) -> None:
        if self.joining is not None:
            self.turn(self.joining.page(member, after, page, self.up(), self.now()))
            if (
                self.joining.state is Standing.GATHERING
                and member not in self.joining.told
            ):
                self.tell(member, self.joining.after.get(member, ""))

    def turn(self, turn: Turn) -> None:
        joining, store = self.joining, self.store
        if turn is Turn.NONE or joining is None or store is None:
            return
        self.note()
        if turn is Turn.DOUBT:
            kind = (
                AcceptorStateMissing
                if store.own.generation == 0
                else AcceptorStateRolledBack
            )
            self.say(
                kind(
                    f"others heard of state {joining.known_age}, past {store.own.age}.{store.own.generation}",
                    self.path,
                )
            )
            self.drop("doubted")
            up = self.up()
            self.in_thread(lambda: store.doubt(up), self.kept)
        elif turn is Turn.GATHER:
            self.remark("register_catching_up", others=len(self.others))
            self.look()
        elif turn is Turn.ANEW:
            self.renew()
        elif turn is Turn.BEGIN:
            self.remark(
                "register_begins", channels=store.count, generation=store.own.generation
            )
            self.pump()

    def renew(self) -> None:
        """What others told goes to the file before a word is said; until then the register is busy."""
        joining, store = self.joining, self.store
        assert joining is not None and store is not None
        records, floor, own, up = (
            dict(joining.records),
            max(joining.floor, store.floor),
            joining.anew(self.chance),
            self.up(),
        )
        self.busy = True

        def write() -> None:
            held: dict[str, Record] = {}
            for channel in records:
                if (here := store.read(channel)) is not None:
                    held[channel] = here
            merged(held, records.items(), up)
            fenced(held, floor)
            store.anew(held, floor, own, up)

        def written(result: Any) -> None:
            self.busy = False
            if isinstance(result, MilletsillError):
                self.say(result)
                joining.back(self.now() + AGAIN)  # gathered once more
                return self.note()
            self.offices, self.base, joining.own, joining.records = (
                {},
                self.now(),
                own,
                {},
            )
            self.remark("register_caught_up", channels=store.count, age=own.age)
            self.pump()

        self.in_thread(write, written)

    def note(self) -> None:
        state = self.joining.state if self.joining is not None else None
        for each in Standing:
            self.figures.standing.labels(each.name.lower()).set(each is state)

    def say(self, error: MilletsillError) -> None:
        """Once in a while for each type."""
        kind, now = type(error).__name__, self.now()
        if now - self.said_at.get(kind, now - SAY_EVERY) >= SAY_EVERY:
            self.said_at[kind] = now
            self.remark("register", **error.log_fields())

    # Calls.

    def calls(self, member: str, calls: Sequence[Call], terms: int) -> None:
        """Of one member; answered after the next commit, or at once with AWAY."""
        if terms != self.terms:
            self.say(
                LeaseSettingsMismatch(
                    "its registers or spans are not this gateway's", member
                )
            )
        if terms != self.terms or not self.whole() or self.now() < self.full_until:
            pause = (
                self.joining.pause(self.now())
                if self.joining is not None and not self.whole()
                else AGAIN
            )
            return self.send(
                member,
                [away(each, pause) for each in calls if each.ask is not Ask.RELEASE],
            )
        room = MOST_WAITING - len(self.waiting)
        self.waiting += [(member, each) for each in calls[:room]]
        if len(calls) > room:
            self.figures.dropped.labels("waiting").inc(len(calls) - room)
        self.pump()

    def pump(self) -> None:
        if self.busy or self.stopped or not self.waiting or not self.whole():
            return
        batch, self.waiting = self.waiting[:BATCH], self.waiting[BATCH:]
        self.busy = True
        self.in_thread(
            lambda: self.round(batch), lambda result: self.done(batch, result)
        )

    def round(self, batch: Sequence[tuple[str, Call]]) -> Said:
        """In the thread: each call in its order, one commit, and only then offices and answers. The time is read once, after all
        of the calls came: an office that is granted counts from no earlier.
        """
        store, began, now = self.store, time.perf_counter(), self.now()
        assert store is not None
        up = self.up()
        records: dict[str, Record | None] = {}
        offices: dict[str, Office] = {}
        changed: dict[str, Record | None] = {}
        answers: list[tuple[str, Answer]] = []
        more = 0
        for member, call in batch:
            channel = call.channel
            if channel not in records:
                records[channel] = store.read(channel)
            record = records[channel]
            office = (
                offices.get(channel)
                or self.offices.get(channel)
                or loaded(self.base, self.span)
            )
            done = register(
                record,
                office if record is not None else None,
                store.floor,
                call,
                now,
                up,
                self.span,
            )
            if record is None and done.record is not None:
                if store.count + more >= self.most:
                    answers.append((member, away(call, AGAIN)))
                    continue
                more += 1
            if done.record is not record:
                records[channel] = changed[channel] = done.record
            if done.office is not None:
                offices[channel] = done.office
            if done.answer is not None:
                answers.append((member, done.answer))
        if changed:
            store.commit(changed, up, more=more)
        self.offices.update(offices)
        return Said(
            answers, len(batch), 1 if changed else 0, time.perf_counter() - began
        )

    def done(self, batch: Sequence[tuple[str, Call]], result: Any) -> None:
        self.busy = False
        if self.stopped:
            return
        if isinstance(result, MilletsillError):
            self.failed(batch, result)
        elif self.whole():  # one that was doubted meanwhile says nothing
            by: dict[str, list[Answer]] = {}
            for member, answer in result.answers:
                by.setdefault(member, []).append(answer)
                self.figures.said.labels(answer.say.name.lower()).inc()
            for member, answers in by.items():
                self.send(member, answers)
            self.figures.batch.observe(result.calls)
            if result.commits:
                self.figures.commits.inc()
                self.figures.commit_seconds.observe(result.seconds)
        self.figures.waiting.set(len(self.waiting))
        self.pump()

    def failed(self, batch: Sequence[tuple[str, Call]], error: MilletsillError) -> None:
        """Nothing of the round counts: each is told to come back, and a register that cannot read its own file stops."""
        self.say(error)
        self.figures.dropped.labels(type(error).__name__).inc(len(batch))
        by: dict[str, list[Answer]] = {}
        for member, call in batch:
            if call.ask is not Ask.RELEASE:
                by.setdefault(member, []).append(away(call, AGAIN))
        for member, answers in by.items():
            self.send(member, answers)
        if isinstance(error, DiskFull):
            self.full_until = self.now() + AGAIN
        else:
            self.joining = None  # away until a restart, which sets a torn file aside
            self.note()
            self.drop("unusable")

    def drop(self, cause: str) -> None:
        self.figures.dropped.labels(cause).inc(len(self.waiting))
        self.waiting = []

    # Upkeep.

    def page(
        self, member: str, after: str, then: Callable[[SnapshotPage], None]
    ) -> None:
        """For another that catches up; only a whole register tells."""
        store = self.store
        if self.whole() and store is not None:
            self.in_thread(
                lambda: store.page(after),
                lambda result: (
                    then(result)
                    if isinstance(result, SnapshotPage)
                    else self.say(result)
                ),
            )

    def remember(self, member: str, own: StateIdentity) -> None:
        """What another register is; goes to disk with the next commit."""
        if self.store is not None and member in self.others:
            self.store.known[member] = max(self.store.known.get(member, own), own)

    def known(self, member: str) -> StateIdentity | None:
        return self.store.known.get(member) if self.store is not None else None

    def forget(self) -> int:
        """In the thread: some records are looked at, and let go where they were silent for so long and nobody has the office."""
        store, now, up = self.store, self.now(), self.up()
        assert store is not None
        self.cursor, gone = store.forget(
            self.cursor,
            LOOK,
            up,
            self.silent,
            lambda channel: now >= self.office_end(channel),
        )
        for channel in gone:
            self.offices.pop(channel, None)
        return len(gone)

    def office_end(self, channel: str) -> int:
        office = self.offices.get(channel) or loaded(self.base, self.span)
        return office.until

    def forgotten(self, result: Any) -> None:
        if isinstance(result, MilletsillError):
            return self.say(result)
        self.figures.forgotten.inc(result)
        if self.store is not None:
            self.figures.channels.set(self.store.count)

    def kept(self, result: Any) -> None:
        if isinstance(result, MilletsillError):
            self.say(result)

    def stop(self) -> None:
        """After the thread has ended."""
        self.stopped = True
        if self.store is not None:
            self.store.close()
            self.store = None


def away(call: Call, pause: int) -> Answer:
    return Answer(
        call.ask, call.channel, call.ballot, call.index, Say.AWAY, pause=pause
    )
