"""One gateway among the others: what it does as time passes and as frames come. Pure: time and frames in, effects out.

    tick(now), heard(now, message), leave(now) -> effects

`tick` is called every BEAT; a call that comes late is how a gateway knows that it stood still itself.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import ceil, log2
from random import Random

from milletsill.fleet.frames.codec import ROWS_A_FRAME, head_room, row_room
from milletsill.fleet.frames.messages import FleetMessage, MemberUpdate, FrameType
from milletsill.fleet.gossip.gossip_queue import bound
from milletsill.fleet.membership.effects import (
    Effect,
    OperatorEventKind,
    OperatorEvent,
    SendMessage,
)
from milletsill.fleet.membership.failure_detector import (
    BEAT,
    FORGET_EVERY,
    HEARSAYS,
    JOIN_EVERY,
    LATE,
    LEAVE_TO,
    LOOKED_AT,
    LOST_PART,
    MOST_WATCHES,
    NEVER,
    NEWS_EVERY,
    NEWS_TO,
    RELAYS,
    RING,
    SOON,
    STALE_SPANS,
    WATCH,
    Own,
    Sign,
    Stage,
    Terms,
    Watch,
    due,
    longer,
    score,
    times_longer,
    troubled,
    wanted_confirms,
)
from milletsill.fleet.membership.member_table import Known
from milletsill.fleet.membership.membership_state import Rolls
from milletsill.fleet.transport import PRESENT, MemberState

LIVES = (
    "refuted",
    "again",
    "restarted",
    "turn",
)  # actions that only a word of the member itself brings about
FIRST = (Stage.ASKED, Stage.THROUGH)
DOUBTS = (Stage.DOUBTED, Stage.SUSPECTED)


class Membership:
    """`join`: addresses of some others. `chance` is this gateway's own."""

    def __init__(
        self,
        name: str,
        address: str,
        run: int,
        nonce: int,
        terms: Terms,
        chance: Random,
        join: Sequence[str],
        now: int,
    ) -> None:
        self.rolls = Rolls(name, address, run, nonce, terms, now)
        self.name, self.terms, self.join = (
            name,
            terms,
            tuple(each for each in join if each != address),
        )
        self.draw, self.below, self.shuffle = (
            chance.random,
            chance.randrange,
            chance.shuffle,
        )
        self.watches: dict[str, Watch] = {}
        self.relays: dict[int, tuple[str, int, str]] = {}
        self.last: deque[tuple[str, bool]] = deque(maxlen=LOOKED_AT)
        self.turn_list: list[str] = []
        self.score, self.numbers, self.times, self.doubting = 0, 0, 1.0, 0
        self.beat = now
        self.next_probe = now + int(self.draw() * terms.probe)
        self.next_exchange, self.next_news, self.next_forget = (
            now,
            now,
            now + FORGET_EVERY,
        )

    @property
    def troubled(self) -> bool:
        """Whether this gateway takes itself for the trouble."""
        return troubled(self.last)

    def taken(self) -> list[Effect]:
        out, self.rolls.out = self.rolls.out, []
        return out

    # Time.

    def tick(self, now: int) -> list[Effect]:
        """What is due."""
        late, self.beat = now - self.beat - BEAT, now
        if late > LATE:
            self.stood(now, late)
        if self.rolls.own is not Own.LEAVING:
            self.look(now)
            if now >= self.next_probe:
                self.next_probe = max(self.next_probe + self.terms.probe, now + 1)
                self.probe_some(now)
            if now >= self.next_exchange:
                self.exchange(now)
        if now >= self.next_news and self.rolls.spread:
            self.next_news = now + NEWS_EVERY
            for name in self.rolls.table.some(NEWS_TO, self.below, self.name):
                self.send(now, name, FrameType.NEWS)
        if now >= self.next_forget:
            self.next_forget = now + FORGET_EVERY
            list(self.rolls.table.forget(now - self.terms.remember))
        return self.taken()

    def stood(self, now: int, late: int) -> None:
        """This gateway stood still: what it did not hear says nothing of the others."""
        self.score = score(self.score, "stood")
        self.rolls.out.append(OperatorEvent(OperatorEventKind.STOOD, span=late))
        self.rolls.woke = now
        for watch in list(self.watches.values()):
            longer(watch, now, late, self.terms)
            self.sign(now, watch, Sign.STOOD)

    def look(self, now: int) -> None:
        """Members that are probed or doubted."""
        if self.watches:
            self.times = times_longer(self.score, self.troubled)
            held, wanted = (
                self.rolls.table.held,
                wanted_confirms(len(self.rolls.table.ring)),
            )
            asks = HEARSAYS
            for watch in list(self.watches.values()):
                known = held.get(watch.name)
                if known is None or known.standing not in PRESENT:
                    self.done(watch)
                    continue
                found = due(
                    watch,
                    now,
                    self.terms,
                    self.times,
                    max(len(known.by) - 1, 0),
                    wanted,
                )
                if found is Sign.ROUND and watch.stage is Stage.HEARSAY:
                    asks -= 1
                    if asks < 0:
                        continue
                if found is not None:
                    self.sign(now, watch, found)

    def probe_some(self, now: int) -> None:
        """Those that follow me by hash, and one of all in turn; then suspicions that nobody ended."""
        table = self.rolls.table
        names = table.after(self.rolls.me.place + 1, RING, self.name)
        for _ in range(len(self.turn_list) + 2):
            if not self.turn_list:
                self.turn_list = [name for _, name in table.ring]
                self.shuffle(self.turn_list)
                if len(self.turn_list) < 2:
                    break
            name = self.turn_list.pop()
            known = table.get(name)
            if (
                known is not None
                and known.standing in PRESENT
                and name != self.name
                and name not in names
            ):
                names.append(name)
                break
        for name in names:
            if name not in self.watches and (
                name != self.name or self.rolls.own is Own.DISPLACED
            ):
                self.watches[name] = Watch(name, Stage.ASKED, now, now, now)
                self.send(now, name, FrameType.PROBE)
        stale = now - STALE_SPANS * self.terms.suspicion
        for name in [
            each
            for each in table.suspects
            if each not in self.watches and table.held[each].since < stale
        ]:
            if self.doubting < MOST_WATCHES:
                self.watch(now, name, Stage.SUSPECTED)
                self.round(now, self.watches[name])

    def exchange(self, now: int) -> None:
        """A whole exchange begins with a word on what the view comes to; rows follow only where it differs. Now and then with
        one believed gone, or an address of the file where nobody is: so halves find each other after any time.
        """
        table = self.rolls.table
        self.next_exchange = now + int(self.terms.exchange * (0.75 + 0.5 * self.draw()))
        present = {table.held[name].address for _, name in table.ring}
        strange = [each for each in self.join if each not in present]
        if len(table.ring) < 2:
            self.next_exchange = now + JOIN_EVERY
        lost = [
            each for each in table.away if table.held[each].standing is MemberState.GONE
        ]
        to: list[str] = []
        if len(table.ring) < 2 and strange:
            to = strange
        elif (lost or strange) and self.below(LOST_PART) == 0 or len(table.ring) < 2:
            found = self.below(len(lost) + len(strange)) if lost or strange else -1
            to = (
                []
                if found < 0
                else [
                    table.held[lost[found]].address
                    if found < len(lost)
                    else strange[found - len(lost)]
                ]
            )
        else:
            to = [
                table.held[each].address
                for each in table.some(1, self.below, self.name)
            ]
        for address in to:
            self.rolls.out.append(
                SendMessage(
                    address,
                    FleetMessage(
                        FrameType.DIGEST, self.rolls.sender, digest=table.mark
                    ),
                    True,
                )
            )

    # Members that are probed.

    def watch(self, now: int, name: str, stage: Stage) -> None:
        self.watches[name] = Watch(name, stage, now, now, now)
        self.doubting += stage in DOUBTS

    def done(self, watch: Watch) -> None:
        if self.watches.pop(watch.name, None) is not None:
            self.doubting -= watch.stage in DOUBTS

    def sign(self, now: int, watch: Watch, sign: Sign) -> None:
        """Read the table and act."""
        stage, effect = WATCH.get((watch.stage, sign), (watch.stage, ""))
        if stage is Stage.DONE:
            self.done(watch)
        elif stage is not watch.stage:
            self.doubting += (stage in DOUBTS) - (watch.stage in DOUBTS)
            watch.stage, watch.began = stage, now
        if effect == "well":
            self.last.append((watch.name, True))
            self.score = score(self.score, "well")
        elif effect == "through":
            self.through(now, watch)
        elif effect == "miss":
            self.miss(now, watch)
        elif effect in ("round", "longer"):
            self.round(now, watch)
        elif effect == "ask":
            watch.began, watch.round = (
                (now if watch.round == NEVER else watch.began),
                now,
            )
            self.send(now, watch.name, FrameType.PROBE)
        elif effect == "suspect":
            self.rolls.suspect(now, watch.name)
            self.round(now, watch)
        elif effect == "gone":
            self.rolls.sentence(now, watch.name)

    def miss(self, now: int, watch: Watch) -> None:
        """A whole round came to nothing. Enough of us doubt a member: the rest leave it to them, which bounds what a fault of
        many costs each.
        """
        self.last.append((watch.name, False))
        known = self.rolls.table.held[watch.name]
        if self.doubting > MOST_WATCHES or len(known.by) > wanted_confirms(
            len(self.rolls.table.ring)
        ):
            return self.done(watch)
        self.round(now, watch)

    def round(self, now: int, watch: Watch) -> None:
        watch.round = now
        self.send(now, watch.name, FrameType.PROBE)
        if watch.stage is not Stage.HEARSAY:
            self.through(now, watch)

    def through(self, now: int, watch: Watch) -> None:
        """Others are asked to probe it."""
        known = self.rolls.table.held[watch.name]
        for helper in self.rolls.table.some(
            self.terms.through, self.below, self.name, watch.name
        ):
            self.send(
                now, helper, FrameType.THROUGH, target=watch.name, address=known.address
            )

    def lives(self, now: int, name: str) -> None:
        watch = self.watches.get(name)
        if (
            watch is not None and watch.round != NEVER
        ):  # one said to be gone hears of it from me first, so that it refutes it
            self.sign(now, watch, Sign.HEARD)

    # Frames.

    def heard(self, now: int, message: FleetMessage) -> list[Effect]:
        """One frame of this fleet."""
        sender, rolls = message.sender, self.rolls
        if sender.name == self.name and sender.nonce == rolls.nonce:
            return []
        before = rolls.table.get(sender.name)
        if (
            before is not None
            and before.run == sender.incarnation
            and before.nonce < sender.nonce
            and before is not rolls.me
        ):
            # Another start with the run of an earlier one: its state is lost or a copy, and I alone may still know the earlier.
            rolls.out.append(
                SendMessage(
                    sender.address,
                    FleetMessage(FrameType.NEWS, rolls.sender, (before.row(now),)),
                    True,
                )
            )
        self.take(now, sender)
        if sender.name == self.name and rolls.own is not Own.DISPLACED:
            rolls.met_twin(now, sender)
        held = rolls.table.get(sender.name)
        if held is not None and held.nonce == sender.nonce and held.standing in PRESENT:
            self.lives(now, sender.name)
        whole = message.type is FrameType.ROWS
        found = [self.take(now, row, not whole) for row in message.updates]
        if message.type is FrameType.PROBE and message.target == self.name:
            rolls.out.append(
                SendMessage(
                    sender.address,
                    FleetMessage(
                        FrameType.ACK,
                        rolls.sender,
                        self.rows(now, held),
                        message.number,
                        self.name,
                    ),
                )
            )
        elif message.type is FrameType.ACK:
            self.acked(now, message)
        elif message.type is FrameType.THROUGH and message.address:
            self.relay(now, message)
        elif message.type is FrameType.DIGEST and message.digest != rolls.table.mark:
            self.tell_all(now, sender.address, True)
        elif whole:
            if any(found):
                self.next_exchange = min(self.next_exchange, now + SOON)
            if message.answer:
                self.tell_all(now, sender.address, False)
        elif message.type is FrameType.TWIN and sender.name == self.name:
            rolls.twin(now, sender.address)
        return self.taken()

    def take(self, now: int, row: MemberUpdate, news: bool = True) -> str:
        """What is said of one, and what it means for its being probed."""
        action = self.rolls.merge(now, row, news)
        if action in LIVES:
            self.lives(now, row.name)
        elif action == "hearsay":
            watch = self.watches.get(row.name)
            if watch is not None and watch.stage in FIRST:
                self.done(watch)
            if row.name not in self.watches:
                self.watch(now, row.name, Stage.HEARSAY)
                self.watches[row.name].round = NEVER
        elif action == "refute":
            self.score = score(self.score, "doubted")
        return action

    def acked(self, now: int, message: FleetMessage) -> None:
        """Its target lives. Where others wanted to know it is passed on, with the target's own word."""
        if message.target != message.sender.name:
            held = self.rolls.table.get(message.target)
            if held is not None and held.standing in PRESENT:
                self.lives(now, message.target)
            return
        asked = self.relays.pop(message.number, None) if message.number else None
        if asked is not None and asked[2] == message.target:
            self.rolls.out.append(
                SendMessage(
                    asked[0],
                    FleetMessage(
                        FrameType.ACK,
                        self.rolls.sender,
                        (message.sender,),
                        asked[1],
                        message.target,
                    ),
                )
            )

    def relay(self, now: int, message: FleetMessage) -> None:
        """Probe one for another."""
        self.numbers += 1
        self.relays[self.numbers] = (
            message.sender.address,
            message.number,
            message.target,
        )
        if len(self.relays) > RELAYS:
            del self.relays[next(iter(self.relays))]
        held = self.rolls.table.get(message.target)
        self.rolls.out.append(
            SendMessage(
                message.address,
                FleetMessage(
                    FrameType.PROBE,
                    self.rolls.sender,
                    self.rows(now, held),
                    self.numbers,
                    message.target,
                ),
            )
        )

    # Words to others.

    def send(
        self, now: int, name: str, what: FrameType, target: str = "", address: str = ""
    ) -> None:
        """A datagram to a member, with the news that has room in it."""
        held = self.rolls.table.held[name]
        self.rolls.out.append(
            SendMessage(
                held.address,
                FleetMessage(
                    what,
                    self.rolls.sender,
                    self.rows(now, held),
                    0,
                    target or (name if what is FrameType.PROBE else ""),
                    address,
                ),
            )
        )

    def rows(self, now: int, to: Known | None) -> tuple[MemberUpdate, ...]:
        """First what is held against whoever it goes to, so that it can refute it; then news."""
        rolls, found, first = self.rolls, list[MemberUpdate](), ""
        spread = rolls.spread
        if to is not None and to.standing in (MemberState.SUSPECT, MemberState.GONE):
            first = to.name
            found.append(
                MemberUpdate(
                    to.name,
                    to.run,
                    to.nonce,
                    to.turn,
                    to.standing,
                    suspected_by=to.by or (self.name,),
                )
            )
        if not spread.at:
            return tuple(found)
        held = rolls.table.held

        def size(name: str) -> int:
            return held[name].short()[1] if name in held else 0

        room = head_room(self.terms.fleet, rolls.sender) - sum(map(row_room, found))
        found += [
            held[name].short()[0]
            for name in spread.take(room, bound(len(rolls.table.ring)), size)
            if name in held and name != first
        ]
        return tuple(found)

    def tell_all(self, now: int, address: str, answer: bool) -> None:
        """Everything, over a stream, in frames of a bounded length."""
        rows = [each.row(now) for each in self.rolls.table.held.values()]
        for at in range(0, len(rows), ROWS_A_FRAME):
            last = at + ROWS_A_FRAME >= len(rows)
            self.rolls.out.append(
                SendMessage(
                    address,
                    FleetMessage(
                        FrameType.ROWS,
                        self.rolls.sender,
                        tuple(rows[at : at + ROWS_A_FRAME]),
                        answer=answer and last,
                    ),
                    True,
                )
            )

    def leave(self, now: int) -> list[Effect]:
        """SIGTERM: so many are told at once that it does not matter if this process ends with that."""
        self.rolls.leave(now)
        self.watches.clear()
        count = LEAVE_TO * ceil(log2(len(self.rolls.table.ring) + 2))
        for name in self.rolls.table.some(count, self.below, self.name):
            self.send(now, name, FrameType.NEWS)
        return self.taken()
