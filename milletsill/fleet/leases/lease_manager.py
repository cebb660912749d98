"""Offices of channels at one gateway: taken, renewed, written under and given up by calls to the registers, over the fleet's plane.

`Offices` is what the rest of channels builds on. Callbacks are called by the reactor, never from within. What decides is seat.py;
where this gateway is a register itself, its desk is spoken to without a socket.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from random import Random, SystemRandom
from typing import Any

from milletsill.errors import MilletsillError
from milletsill.fleet.leases import codec
from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor import (
    AGAIN,
    MOST_NAME,
    MOST_VALUE,
    PAUSE,
    RENEW,
    Answer,
    Ask,
    Ballot,
    Call,
    Say,
    Span,
)
from milletsill.fleet.leases.acceptor_recovery import BEAT, HELLO, StateIdentity, later
from milletsill.fleet.leases.acceptor_service import Desk
from milletsill.fleet.leases.blocking_worker import Worker
from milletsill.fleet.leases.errors import (
    CoordinationError,
    QuorumNotReached,
    LeaseNotHeld,
    NotLeaseHolder,
    BallotSuperseded,
    ResourceLimitReached,
)
from milletsill.fleet.leases.lease_proposer import (
    Effect,
    Poll,
    Seat,
    Seated,
    rounds_used,
)
from milletsill.fleet.leases.lease_state import Place, LeaseTerm, Took, Wrote
from milletsill.fleet.leases.metrics import Figures
from milletsill.fleet.peer_clocks import PeerClocks
from milletsill.fleet.transport import MessageKind, FleetTransport

TICK = 200  # between looks at calls whose span is over
MOST_OPEN, MOST_CALLBACKS, MOST_REGISTERS = (
    20_000,
    256,
    31,
)  # calls under way; of one channel; registers whose identity is kept
FORGET, SWEEP = (
    600_000,
    2000,
)  # a seat that lapsed so long ago goes; seats that one look goes through
SENDS = (Effect.ASK, Effect.ASK_HIGHER, Effect.MEND, Effect.RENEW, Effect.WRITE)


class LeaseManager:
    """Times in tenths of a millisecond, `drift` in parts of a thousand. `most` channels here and at a register each; a register
    forgets a channel that was `silent` for so long. `others` is called with what arrives for Kind.CHANNEL and is not for here.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        plane: FleetTransport,
        register_names: Sequence[str],
        office: int,
        drift: int,
        call: int,
        most: int,
        store_path: str,
        seed: int,
        remark: Callable[..., None],
        registry_of_metrics: Any,
        *,
        silent: int,
        most_value: int = MOST_VALUE,
        worker: Any = None,
        most_pages: int = 0,
    ) -> None:
        self.reactor, self.now, self.plane, self.names = (
            reactor,
            now,
            plane,
            tuple(dict.fromkeys(register_names)),
        )
        self.span, self.most, self.most_value, self.remark = (
            Span(office, call, drift),
            most,
            min(most_value, MOST_VALUE),
            remark,
        )
        self.rounds, self.terms = 0, codec.terms(self.names, self.span)
        self.nonce, self.chance = SystemRandom().getrandbits(64), Random(seed)
        self.whose, self.clocks = SystemRandom().getrandbits(63) + 1, PeerClocks(drift)
        self.figures = Figures(registry_of_metrics)
        self.leases: dict[str, Place] = {}
        self.busy: set[LeaseTerm] = set()
        self.swept: list[str] = []
        self.counted = 0
        self.open: deque[tuple[int, Poll, Seat]] = deque()  # by when their span is over
        self.halves: deque[tuple[int, Poll, Seat]] = deque()
        self.outbox: dict[str, list[Call]] = {}
        self.heard_of: dict[str, StateIdentity] = {}
        self.warned: dict[str, int] = {}
        self.timers: dict[str, Any] = {}
        self.stopped, self.beaten = False, StateIdentity(0, 0, 0)
        self.on_other_message: Callable[[str, int, bytes], None] = (
            lambda member, run, body: None
        )
        self.worker: Any = None  # a thread where there is a register
        self.acceptor: Desk | None = None
        if plane.name in self.names:
            self.worker = worker or Worker(reactor)
            self.acceptor = Desk(
                now,
                plane.name,
                [each for each in self.names if each != plane.name],
                self.span,
                most,
                silent,
                store_path,
                SystemRandom().getrandbits(64),
                self.terms,
                self.worker.run,
                remark,
                registry_of_metrics,
                most_pages,
            )
            self.acceptor.send, self.acceptor.ask, self.acceptor.tell = (
                self.answer,
                self.hello,
                self.ask_page,
            )
            self.acceptor.start()
            self.later("beat", BEAT, self.beat)
            self.later("look", HELLO, self.look)
        plane.subscribe(MessageKind.CHANNEL, self.heard)
        self.later("renew", int(office * RENEW / 4), self.renew)

    # For those that keep channels.

    def acquire(self, channel: str, then: Took) -> None:
        """Become the channel's keeper, or renew; `then` gets a Term, or a fault whose `pause` says when to come back."""
        place = self.leases.get(channel)
        if not codec.named(channel):
            return self.soon(
                then,
                ResourceLimitReached(
                    f"a channel's name is UTF-8 of 1 to {MOST_NAME} bytes", "channels"
                ),
            )
        if (
            len(self.open) >= MOST_OPEN
            or (place is None and len(self.leases) >= self.most)
            or (place is not None and len(place.takers) >= MOST_CALLBACKS)
        ):
            return self.soon(
                then,
                ResourceLimitReached(
                    "too many channels or calls under way", "channels", self.span.call
                ),
            )
        if place is None:
            seat = Seat(
                channel,
                self.plane.name,
                self.nonce,
                self.span,
                len(self.names),
                self.rounds,
            )
            place = self.leases[channel] = Place(seat)
        place.takers.append(then)
        self.act(place, place.seat.take(self.now()))

    def write(self, term: LeaseTerm, value: bytes, then: Wrote) -> None:
        """The channel's whole record, at a majority when `then` gets None; also renews. Writes that come while one is under way
        become one, the last. After a fault the term is over.
        """
        place = self.leases.get(term.key)
        if term.over or place is None or place.term is not term:
            return self.soon(then, LeaseNotHeld("the term is over", term.key))
        if len(value) > self.most_value:
            return self.soon(
                then,
                ResourceLimitReached(
                    f"a record of {len(value)} bytes, {self.most_value} at most",
                    term.key,
                ),
            )
        if len(place.queued) >= MOST_CALLBACKS or len(self.open) >= MOST_OPEN:
            return self.soon(
                then,
                ResourceLimitReached(
                    "too many writes under way", term.key, self.span.call
                ),
            )
        place.queued.append(then)
        self.act(place, place.seat.write(value, self.now()))

    def holds(self, term: LeaseTerm) -> bool:
        """Whether nobody else can be the channel's keeper now, by this gateway's clock."""
        return (
            not term.over
            and term.seat.ballot == term.ballot
            and term.seat.holds(self.now())
        )

    def release(self, term: LeaseTerm) -> None:
        """Nothing is out under it any more: others may come in at once. What waits here is told that it is over."""
        place = self.leases.get(term.key)
        if place is not None and place.term is term and not term.over:
            self.act(place, place.seat.give_up(self.now()))

    def preferred_holder(self, channel: str) -> str:
        """By this gateway's view, which may be wrong; empty where it is empty."""
        return next(iter(self.plane.view.rendezvous(channel, 1)), "")

    def stop(self) -> None:
        """Offices under which nothing is out are given up; the register's last round is written down."""
        for place in list(self.leases.values()):
            if place.term is not None and not place.term.in_use:
                self.act(place, place.seat.give_up(self.now()))
        self.flush()
        self.stopped = True
        for each in self.timers.values():
            if each.active():
                each.cancel()
        if self.acceptor is not None:
            self.worker.stop()
            self.acceptor.stop()

    # What a seat wants done.

    def act(self, place: Place, effects: Iterable[Effect]) -> None:
        seat = place.seat
        for effect in effects:
            if effect in SENDS:
                if effect is Effect.WRITE:
                    place.writing, place.queued = place.queued, []
                if (
                    seat.poll is not None
                ):  # the last of the effects is what is under way
                    self.begin(seat, seat.poll)
            elif effect in (Effect.SEAT, Effect.EXTEND):
                self.seated(place, effect is Effect.SEAT)
            elif effect is Effect.WROTE:
                self.wrote(place)
            elif effect is Effect.KEEP:
                self.told(place, self.fault(seat))
            elif effect is Effect.NOT_HELD:
                waiting, place.queued = place.queued, []
                for each in waiting:
                    self.soon(
                        each, LeaseNotHeld("the office is not held", seat.channel)
                    )
            elif effect in (Effect.LOSE, Effect.RELEASE):
                self.lost(place, effect)

    def seated(self, place: Place, anew: bool) -> None:
        seat = place.seat
        if anew or place.term is None:
            place.term = LeaseTerm(
                seat.channel,
                seat,
                None
                if seat.since is None
                else max(self.now() - seat.since, 0)
                if seat.value
                else 0,
                self.busy,
            )
        place.term.expires_at = seat.ends
        self.told(place, place.term)

    def told(self, place: Place, result: Any) -> None:
        takers, place.takers = place.takers, []
        if takers:
            self.figures.takes.labels(
                type(result).__name__ if isinstance(result, MilletsillError) else "held"
            ).inc()
        for each in takers:
            self.soon(each, result)

    def wrote(self, place: Place) -> None:
        seat, term = place.seat, place.term
        waiting, place.writing = place.writing, []
        if term is not None:
            term.value, term.expires_at = seat.value, seat.ends
            if seat.since is not None:  # the poll's send
                self.figures.write_seconds.observe((self.now() - seat.since) / 10_000)
            self.told(place, term)  # who wanted it renewed has it
        self.figures.writes.labels("written").inc(len(waiting))
        for each in waiting:
            self.soon(each, None)

    def lost(self, place: Place, effect: Effect) -> None:
        seat = place.seat
        fault = (
            self.fault(seat)
            if effect is Effect.LOSE
            else LeaseNotHeld("the office was given up", seat.channel)
        )
        if place.term is not None:
            place.term.end()
            place.term = None
        if seat.gone is not None:
            self.post(seat.gone)
        self.told(place, fault)
        waiting, place.writing, place.queued = place.writing + place.queued, [], []
        if waiting:
            self.figures.writes.labels(type(fault).__name__).inc(len(waiting))
        for each in waiting:
            self.soon(each, fault)

    def fault(self, seat: Seat) -> CoordinationError:
        """Why a poll came to nothing, and when to come back."""
        said = seat.refusal
        if said is None or said.say is Say.AWAY:
            return QuorumNotReached(
                "too few registers answered",
                seat.channel,
                max(self.span.call, said.pause if said is not None else 0),
            )
        if said.say is Say.HELD:
            return NotLeaseHolder(
                f"{said.who} has the office", seat.channel, said.pause, said.who
            )
        return BallotSuperseded(
            "a later ballot was promised", seat.channel, self.chance.randint(*PAUSE)
        )

    # Calls to registers.

    def begin(self, seat: Seat, poll: Poll) -> None:
        self.open.append((poll.sent + self.span.call, poll, seat))
        self.halves.append((poll.sent + int(self.span.call * AGAIN), poll, seat))
        self.post(poll.call)
        if "tick" not in self.timers or not self.timers["tick"].active():
            self.later("tick", TICK, self.tick)

    def post(self, call: Call, names: Iterable[str] | None = None) -> None:
        """With all else of this turn of the reactor."""
        if not self.outbox:
            self.later("flush", 0, self.flush)
        for name in self.names if names is None else names:
            self.outbox.setdefault(name, []).append(call)

    def flush(self) -> None:
        outbox, self.outbox = self.outbox, {}
        for name, calls in outbox.items():
            if name == self.plane.name and self.acceptor is not None:
                self.acceptor.calls(name, calls, self.terms)
                continue
            whose, made = codec.put_calls(
                calls, lambda at, name=name: self.clocks.there(name, at, self.now())
            )
            for part in codec.parted(made):
                if not self.plane.send(
                    name,
                    MessageKind.CHANNEL,
                    codec.encoded(
                        calls=wire.Calls(call=part, terms=self.terms, whose=whose)
                    ),
                ):
                    self.figures.unsent.inc(len(part))
                    for each in part:
                        self.away(name, each)

    def away(self, name: str, call: Any) -> None:
        """A register that cannot even be told counts as one that said so: whoever waits hears it at once."""
        ask = codec.ASKS[call.ask]
        if ask is not Ask.RELEASE:
            self.say(
                name,
                Answer(
                    ask,
                    call.channel,
                    Ballot(call.round, self.plane.name, call.nonce),
                    call.index,
                    Say.AWAY,
                    pause=self.span.call,
                ),
            )

    def tick(self) -> None:
        """Calls that nobody answered are told once more at half of their span, and are over at its end."""
        now = self.now()
        while self.halves and now >= self.halves[0][0]:
            _, poll, seat = self.halves.popleft()
            if seat.poll is poll:
                self.post(
                    poll.call, [each for each in self.names if each not in poll.yes]
                )
        while self.open and (
            now >= self.open[0][0] or self.open[0][2].poll is not self.open[0][1]
        ):
            _, poll, seat = self.open.popleft()
            place = self.leases.get(seat.channel)
            if seat.poll is poll and place is not None and place.seat is seat:
                self.act(place, seat.late(now))
        self.figures.pending.set(len(self.open))
        if self.open:
            self.later("tick", TICK, self.tick)

    def say(self, member: str, answer: Answer) -> None:
        place = self.leases.get(answer.channel)
        if place is not None:
            self.act(place, place.seat.hear(member, answer, self.now()))

    # From and to others.

    def heard(self, member: str, run: int, body: bytes) -> None:
        if self.stopped:
            return None
        if not body.startswith(codec.MARK):
            return self.on_other_message(member, run, body)
        try:
            self.frame(member, codec.decoded(body))
        except codec.MalformedFrame as error:
            self.figures.unreadable.inc()
            if self.now() - self.warned.get("unreadable", -1 << 60) >= 600_000:
                self.warned["unreadable"] = self.now()
                self.remark("channels", **error.log_fields(), member=member)

    def frame(self, member: str, frame: Any) -> None:
        """What a later version says besides is left."""
        what, acceptor = frame.WhichOneof("what"), self.acceptor
        if what == "answers" and member in self.names:
            self.learn(member, codec.get_identity(frame.answers.own))
            if frame.answers.whose:
                self.clocks.heard(
                    member, frame.answers.whose, frame.answers.read, self.now()
                )
            for each in frame.answers.answer[: codec.PER_FRAME]:
                if (answer := codec.get_answer(self.plane.name, each)) is not None:
                    self.say(member, answer)
        elif what == "beat" and member in self.names:
            self.learn(member, codec.get_identity(frame.beat.own))
        elif what == "hello" and member in self.names:
            self.witness(member)
        elif acceptor is None:
            return
        elif what == "calls":
            acceptor.calls(
                member,
                codec.get_calls(member, frame.calls, self.whose),
                frame.calls.terms,
            )
        elif what == "witness":
            acceptor.witnessed(
                member,
                codec.get_identity(frame.witness.known)
                if frame.witness.HasField("known")
                else None,
            )
        elif what == "tell" and member in self.names:
            after = frame.tell.after
            acceptor.page(
                member,
                after,
                lambda page: self.tell(member, page=codec.put_page(after, page)),
            )
        elif what == "page" and member in self.names:
            acceptor.told(member, frame.page.after, codec.get_page(frame.page))

    def tell(self, member: str, **what: Any) -> None:
        if not self.stopped:
            self.plane.send(member, MessageKind.CHANNEL, codec.encoded(**what))

    def learn(self, member: str, own: StateIdentity) -> None:
        """The latest that was heard of a register; one that says less than that is told so, now and then."""
        known = self.known(member)
        if self.acceptor is not None:
            self.acceptor.remember(member, own)
        if known is None or own > known:
            self.heard_of[member] = own
        elif (
            later(known, own)
            and self.now() - self.warned.get(member, -1 << 60) >= HELLO
        ):
            self.warned[member] = self.now()
            self.witness(member)

    def known(self, member: str) -> StateIdentity | None:
        found = [
            each
            for each in (
                self.heard_of.get(member),
                self.acceptor.known(member) if self.acceptor is not None else None,
            )
            if each
        ]
        return max(found, default=None)

    def witness(self, member: str) -> None:
        known = self.known(member)
        self.tell(
            member,
            witness=wire.Witness(known=codec.put_identity(known))
            if known is not None
            else wire.Witness(),
        )

    def answer(self, member: str, answers: list[Answer]) -> None:
        """From this gateway's register."""
        acceptor = self.acceptor
        if acceptor is None or self.stopped:
            return
        if member == self.plane.name:
            for each in answers:
                self.say(member, each)
            return
        own = codec.put_identity(acceptor.own())
        for part in codec.parted([codec.put_answer(each) for each in answers]):
            self.tell(
                member,
                answers=wire.Answers(
                    own=own, answer=part, whose=self.whose, read=self.now()
                ),
            )

    def hello(self, everybody: bool) -> None:
        for each in self.plane.view.by_name if everybody else self.names:
            if each != self.plane.name:
                self.tell(each, hello=wire.Hello())

    def ask_page(self, member: str, after: str) -> None:
        self.tell(member, tell=wire.Tell(after=after))

    # Upkeep.

    def beat(self) -> None:
        """Other registers are told of this one's state where it went on, so that an older copy of it shows."""
        self.later("beat", BEAT, self.beat)
        acceptor = self.acceptor
        if acceptor is not None and acceptor.whole() and acceptor.own() != self.beaten:
            self.beaten = acceptor.own()
            for each in acceptor.others:
                self.tell(each, beat=wire.Beat(own=codec.put_identity(self.beaten)))

    def look(self) -> None:
        self.later("look", HELLO, self.look)
        if self.acceptor is not None:
            self.acceptor.look()

    def renew(self) -> None:
        """Terms under which something is out are renewed; some seats are looked at, whether they lapsed long ago."""
        self.later("renew", int(self.span.office * RENEW / 4), self.renew)
        now = self.now()
        for term in list(self.busy):
            place = self.leases.get(term.key)
            if (
                place is not None
                and place.term is term
                and term.seat.state is Seated.SEATED
                and (now >= term.seat.ends - self.span.office * RENEW)
            ):
                self.act(place, term.seat.take(now))
        if not self.swept:
            self.figures.held.set(self.counted)
            self.swept, self.counted = list(self.leases), 0
        for channel in self.swept[-SWEEP:]:
            if (place := self.leases.get(channel)) is not None:
                self.counted += place.seat.holds(now)
                self.lapsed(place, now)
        del self.swept[-SWEEP:]

    def lapsed(self, place: Place, now: int) -> None:
        """A seat that nobody has used for long goes; its rounds are not used again."""
        seat, term = place.seat, place.term
        if (
            (term is None or not term.in_use)
            and seat.poll is None
            and not place.takers
            and now >= seat.ends + FORGET
        ):
            if term is not None:
                term.end()
            self.rounds = rounds_used(self.rounds, seat)
            del self.leases[seat.channel]

    def soon(self, call: Callable[[Any], None], result: Any) -> None:
        if not self.stopped:
            self.reactor.callLater(0, call, result)

    def later(self, name: str, span: int, call: Callable[[], None]) -> None:
        """One timer a name."""
        if not self.stopped:
            self.timers[name] = self.reactor.callLater(span / 10_000, call)
