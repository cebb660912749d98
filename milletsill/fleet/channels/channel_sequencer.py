"""One channel at its keeper: what has come, what may go, what is remembered. Pure: times are passed in, effects come out.

What must stand in the record before it happens is in `after`: the keeper writes `record(now)` and then does it. What needs no
record is in `at_once`. Both are emptied by the keeper. Times are whole tenths of a millisecond on the keeper's own clock.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from milletsill.fleet.channels.ordering import (
    GATE_OF,
    MOST_ASKERS,
    MOST_TURNS,
    ORDER_TABLE,
    PAUSE,
    REMEMBERED,
    SPAN,
    Contract,
    Declared,
    Gate,
    Input,
    Meaning,
    Order,
    Phase,
    Reaches,
    Unsure,
    meaning,
    step,
)
from milletsill.fleet.channels.sequences import (
    LEFT_OUT,
    SETTLED,
    STAYED_UNSURE,
    SUPERSEDED,
    Claimed,
    Closed,
    Coming,
    Entry,
    LetGo,
    Tell,
)


class Line:
    """The state of one channel. `rest`: rule 5's, after an unsure end."""

    def __init__(self, contract: Contract, rest: int, named: bool = False) -> None:
        self.contract, self.rest, self.named = contract, rest, named
        self.coming: tuple[int, Contract] | None = (
            None  # another contract, and the number from which it holds
        )
        self.coming_named = False
        self.claim, self.token = 0, ""
        self.floor, self.batch, self.batch_last = (
            1,
            1,
            0,
        )  # the lowest open number; its batch, the batch's last, 0 unknown
        self.top = 0  # the highest number that was let go
        self.closed: set[int] = set()  # at or above the floor
        self.remembered: dict[int, Closed] = {}  # in the order of their closing
        self.entries: dict[int, Entry] = {}
        self.turns: dict[int, int] = {}
        self.pinned: dict[int, Reaches] = {}
        self.after: list[Any] = []
        self.at_once: list[Any] = []
        self.dirty = False

    def took_over(self, now: int) -> None:
        """A new keeper's first look at what the record says is out: its end is unsure, and its client has not heard so."""
        for entry in self.entries.values():
            entry.phase, entry.rests = Phase.UNSURE, self.rested(now, self.rest)
            entry.closes = max(entry.rests, now + self.contract.hole)

    def rested(self, now: int, rest: int) -> int:
        """Until when an unsure number stands in the way. Guards against its dispatch, which may run until rule 5's rest is over;
        of a keeper before, its office is over, and what it let go never outlives an office. Harm: what stands behind waits.
        """
        return now + rest

    # What comes.

    def come(self, now: int, coming: Coming) -> None:
        """A transfer with a number."""
        number, asker = coming.number, coming.asker
        if not self.holds(coming.claim):
            return self.at_once.append(Tell(asker, "claim-lost"))
        if self.is_closed(number):
            return self.tell_closed(coming)
        entry = self.entries.get(number)
        phase = entry.phase if entry is not None else Phase.AWAITED
        wrong = self.contradiction(coming, entry)
        if wrong:
            return self.at_once.append(Tell(asker, "contract", number, text=wrong))
        full = (
            phase is Phase.AWAITED
            and number != self.floor
            and len(self.entries) >= self.contract.most_waiting
        )
        if full or self.too_far(number):
            return self.at_once.append(Tell(asker, "declined", self.floor, PAUSE))
        if (
            phase is Phase.UNSURE
            and entry is not None
            and not self.in_window(now, entry, coming)
        ):
            return self.at_once.append(
                Tell(
                    asker,
                    "stopped" if self.contract.unsure is Unsure.STOP else "aborted",
                    number,
                )
            )
        phase, effect = step(phase, Input.COMES)
        if effect == "join" and entry is not None:
            entry.askers.append(asker)
            if len(entry.askers) > MOST_ASKERS:
                self.at_once.append(Tell(entry.askers.pop(0), "aborted", number))
        elif effect:
            if entry is None:
                entry = self.entries[number] = Entry(
                    phase, coming.digest, coming.reaches
                )
            elif effect == "replace" and entry.coming is not None:
                self.at_once.append(self.not_gone(entry, entry.coming.asker))
            entry.phase, entry.coming, entry.digest, entry.reaches = (
                phase,
                coming,
                coming.digest,
                coming.reaches,
            )
            entry.batch, entry.last, entry.hole = coming.batch, coming.last, None
        self.go_on(now)

    def holds(self, claim: int) -> bool:
        """Guards against two who number one channel. Harm: a client that opened twice must use its later handle."""
        return claim == self.claim

    def in_window(self, now: int, entry: Entry, coming: Coming) -> bool:
        return now < self.window_end(entry, coming)

    def window_end(self, entry: Entry, coming: Coming) -> int:
        """Guards against a second effect: a ticket is remembered no longer than its window from its first dispatch, and the last
        one may run as late as the rest. Harm: an unsure end stays unsure.
        """
        return entry.since + coming.window - self.rest

    def tried_before(self, entry: Entry) -> bool:
        """Guards against a decline after an earlier try of the number that may have run. Harm: none."""
        return entry.rests > 0

    def not_gone(self, entry: Entry, asker: Any) -> Tell:
        """The word for a transfer that is given up at the gate: a decline promises that nothing was done of its number."""
        sure = entry.phase is Phase.WAITING
        return Tell(
            asker,
            "declined" if sure else "aborted",
            self.floor if sure else None,
            PAUSE if sure else 0,
        )

    def too_far(self, number: int) -> bool:
        return self.contract.order is not Order.NEWEST and number >= self.floor + SPAN

    def is_closed(self, number: int) -> bool:
        return number < self.floor or number in self.closed

    def tell_closed(self, coming: Coming) -> None:
        """The remembered answer, without a second effect; after the record, which may not hold it yet."""
        number, asker, known = (
            coming.number,
            coming.asker,
            self.remembered.get(coming.number),
        )
        if known is None:
            word = "superseded" if self.contract.order is Order.NEWEST else "over"
            self.after.append(
                Tell(asker, word, self.floor - 1 if word == "superseded" else None)
            )
        elif known.how in (SETTLED, STAYED_UNSURE) and known.digest != coming.digest:
            self.at_once.append(
                Tell(
                    asker,
                    "contract",
                    number,
                    text=f"number {number} was another transfer: number anew from "
                    f"{self.floor}",
                )
            )
        elif known.how == SETTLED:
            self.after.append(Tell(asker, "answer", number, code=known.code))
        else:
            word = {
                STAYED_UNSURE: "aborted",
                LEFT_OUT: "left-out",
                SUPERSEDED: "superseded",
            }[known.how]
            self.after.append(
                Tell(asker, word, self.floor - 1 if word == "superseded" else None)
            )

    def contradiction(self, coming: Coming, entry: Entry | None) -> str:
        """What is wrong with a transfer against what is known; '' for nothing."""
        number, held = coming.number, self.contract_of(coming.number)
        if (
            entry is not None
            and entry.phase is not Phase.WAITING
            and entry.digest != coming.digest
        ):
            return (
                f"number {number} was another transfer: number anew from {self.floor}"
            )
        pinned = self.pinned.get(number)
        if pinned is not None and pinned != coming.reaches:
            return f"number {number} was overtaken while it touched another extent: send it as it was"
        if (held.order is Order.BATCHES) != (coming.batch > 0):
            return f"contract {held.name} is {held.order.name}: a batch is {'needed' if coming.batch == 0 else 'not known'}"
        if held.order is Order.BATCHES and held is self.contract:
            return self.batch_contradiction(coming)
        return ""

    def batch_contradiction(self, coming: Coming) -> str:
        """Guards against batches that overlap. Harm: none, no order could hold for them."""
        number, batch, last = coming.number, coming.batch, self.last_known()
        mine = batch == self.batch
        if (
            batch < self.batch
            or mine
            and last
            and number > last
            or not mine
            and last
            and number <= last
        ):
            return f"batch {self.batch} ends with number {last or 'an unknown one'}: number {number} cannot be of batch {batch}"
        highest = max(
            (each for each, entry in self.entries.items() if entry.batch == self.batch),
            default=0,
        )
        if (
            mine
            and coming.last
            and number < max(highest, max(self.closed, default=0))
            or (mine and coming.last and last and number != last)
        ):
            return f"number {number} cannot be the last of batch {batch}: {last or highest} is of it"
        return ""

    def last_known(self) -> int:
        """The last number of the present batch; 0 while no transfer has said so."""
        return self.batch_last or next(
            (
                each
                for each, entry in self.entries.items()
                if entry.last and entry.batch == self.batch
            ),
            0,
        )

    def contract_of(self, number: int) -> Contract:
        return (
            self.coming[1]
            if self.coming and number >= self.coming[0]
            else self.contract
        )

    # What goes.

    def gate(self, now: int, number: int) -> tuple[Gate, int | None]:
        """Whether a number may be let go, and what stands before it."""
        if self.entries[number].phase is Phase.BACK:
            return (
                (Gate.GO, None)
                if now >= self.entries[number].rests
                else (Gate.RESTING, number)
            )
        before = ORDER_TABLE[self.contract.order](self, number)
        if before is None and self.coming and number >= self.coming[0]:
            before = self.floor  # all below the change first
        if before is None:
            return Gate.GO, None
        entry = self.entries.get(before)
        return GATE_OF[entry.phase if entry is not None else Phase.AWAITED], before

    def go_on(self, now: int) -> None:
        """Let go what may go, give up what need not wait any more."""
        self.give_up(now)
        moved = True
        while moved:
            moved = False
            self.turn_over()
            for number in sorted(self.entries):
                entry = self.entries.get(number)
                if entry is None or entry.coming is None:
                    continue
                gate, before = self.gate(now, number)
                if gate is Gate.GO:
                    self.let_go(now, number, entry)
                    moved = True
                elif gate is Gate.RESTING and before != number:
                    moved |= self.behind_unsure(now, number, before)
                entry.hole = (
                    (entry.hole if entry.hole is not None else now)
                    if gate is Gate.HOLE
                    else None
                )

    def behind_unsure(self, now: int, number: int, before: int | None) -> bool:
        """What an unsure end means for one that waits behind it."""
        entry = self.entries[before]  # type: ignore[index]
        if now < entry.closes:
            return False
        if self.contract.unsure is Unsure.STOP:
            asker = self.input(number, Input.GIVEN_UP)
            self.at_once.append(Tell(asker, "stopped", before))
            return True
        self.input(before, Input.RESTED)  # type: ignore[arg-type]
        return True

    def let_go(self, now: int, number: int, entry: Entry) -> None:
        coming, again = entry.coming, entry.phase is Phase.BACK
        assert coming is not None
        entry.phase, _ = step(entry.phase, Input.LEAVES)
        entry.askers, entry.coming = [coming.asker], None
        entry.since = entry.since if again else now
        self.top = max(self.top, number)
        if self.contract.order is Order.BATCHES and entry.last:
            self.batch_last = number
        if self.contract.order is Order.BY_EXTENT:
            self.pin(number)
        ends = (
            min(coming.ends, self.window_end(entry, coming)) if again else coming.ends
        )
        self.dirty = True
        self.after.append(LetGo(number, coming, self.turns.get(number, 0), again, ends))

    def pin(self, number: int) -> None:
        """Guards against one that was overtaken on one extent and comes back on another. Harm: it must come as it was."""
        for each, entry in self.entries.items():
            if each < number and entry.phase is Phase.WAITING:
                self.pinned[each] = entry.reaches

    def give_up(self, now: int) -> None:
        """Patience and holes that are over: answered at once, naming what is awaited."""
        for number, entry in list(self.entries.items()):
            if entry.coming is None:
                continue
            if (
                now >= entry.coming.ends
                or entry.hole is not None
                and now >= entry.hole + self.contract.hole
            ):
                self.at_once.append(self.not_gone(entry, entry.coming.asker))
                self.input(number, Input.GIVEN_UP)

    # What ends.

    def ended(
        self, now: int, number: int, input: Input, code: int = 0, pause: int = 0
    ) -> None:
        """What was let go has ended: SETTLED with a status code, NEVER_RAN with a pause, or LOST."""
        entry = self.entries[number]
        askers, entry.askers = entry.askers, []
        again = input is Input.NEVER_RAN and self.tried_before(entry)
        _, effect = step(entry.phase, Input.LOST if again else input)
        if effect == "settle":
            self.close(number, Closed(SETTLED, code, entry.digest))
            self.after.extend(
                Tell(each, "answer", number, code=code) for each in askers
            )
        elif effect == "decline":
            del self.entries[number]
            self.dirty = True
            self.at_once.extend(
                Tell(each, "declined", self.floor, pause) for each in askers
            )
        elif effect == "abort":
            entry.phase, entry.rests = Phase.UNSURE, self.rested(now, self.rest)
            entry.closes = entry.rests
            self.at_once.extend(Tell(each, "aborted", number) for each in askers)
        self.go_on(now)

    def say(self, now: int, number: int, input: Input, claim: int, asker: Any) -> None:
        """The client's word on a number; what stands behind waits out the rest whatever it says."""
        entry = self.entries.get(number)
        phase = entry.phase if entry is not None else Phase.AWAITED
        if not self.holds(claim):
            return self.at_once.append(Tell(asker, "claim-lost"))
        if phase is Phase.UNSURE and entry is not None and now < entry.rests:
            return self.at_once.append(Tell(asker, "declined", None, entry.rests - now))
        if (
            input is Input.SAID_AGAIN
            and len(self.turns) >= MOST_TURNS
            and number not in self.turns
        ):
            return self.at_once.append(Tell(asker, "declined", self.floor, PAUSE))
        if (
            self.is_closed(number)
            or self.too_far(number)
            or step(phase, input) == (phase, "")
        ):
            return self.at_once.append(
                Tell(
                    asker,
                    "contract",
                    number,
                    text=f"nothing can be said of number {number} now",
                )
            )
        self.input(number, input)
        self.after.append(Tell(asker, "answer", number))
        self.go_on(now)

    def input(self, number: int, input: Input) -> Any:
        """One input by the table to a number that is not under way; the asker that waited, if any."""
        entry = self.entries.get(number)
        phase, effect = step(entry.phase if entry is not None else Phase.AWAITED, input)
        coming, digest = (
            (entry.coming, entry.digest) if entry is not None else (None, 0)
        )
        asker = coming.asker if coming is not None else None
        if phase is Phase.CLOSED:
            how = {
                "stays_unsure": STAYED_UNSURE,
                "said_done": SETTLED,
                "supersede": SUPERSEDED,
            }.get(effect, LEFT_OUT)
            self.close(number, Closed(how, 0, digest))
        elif effect == "drop" and phase is Phase.AWAITED or effect == "again":
            del self.entries[number]
            if effect == "again":
                self.turns[number] = self.turns.get(number, 0) + 1
                self.dirty = True
        elif entry is not None:
            entry.phase, entry.coming, entry.hole = phase, None, None
        return asker

    def close(self, number: int, how: Closed) -> None:
        """A number is over; the floor rises, and under NEWEST all that is older is passed."""
        self.entries.pop(number, None)
        self.turns.pop(number, None)
        self.pinned.pop(number, None)
        self.remembered[number] = how
        while len(self.remembered) > REMEMBERED:
            del self.remembered[next(iter(self.remembered))]
        self.dirty = True
        if self.contract.order is Order.NEWEST:
            for each in sorted(each for each in self.entries if each < number):
                self.after.append(
                    Tell(self.input(each, Input.PASSED), "superseded", number)
                )
            self.floor = max(self.floor, number + 1)
            return
        self.closed.add(number)
        self.rise()

    def rise(self) -> None:
        while self.floor in self.closed:
            self.closed.remove(self.floor)
            self.floor += 1
        self.pinned = {
            each: reaches for each, reaches in self.pinned.items() if each >= self.floor
        }

    def turn_over(self) -> None:
        """A batch that is whole gives way to the next, a contract to the one that was declared from here on."""
        if (
            self.contract.order is Order.BATCHES
            and self.batch_last
            and self.floor > self.batch_last
        ):
            self.batch, self.batch_last, self.dirty = self.batch + 1, 0, True
        if self.coming is None:
            return
        first, contract = self.coming
        if (
            self.contract.order is Order.NEWEST
            and first > self.floor
            and any(each >= first for each in self.entries)
            and not any(each < first for each in self.entries)
        ):
            self.floor = first  # holes are fine: what waits for the change is newer than what never came
        if self.floor >= first:
            self.contract, self.named, self.coming, self.dirty = (
                contract,
                self.coming_named,
                None,
                True,
            )
            self.batch, self.batch_last = 1, 0

    # Claims.

    def open(self, now: int, declared: Declared, token: str, asker: Any) -> None:
        """A later claim: it holds, what waits under the earlier one is told. Raises where declarations contradict."""
        free = max(self.top + 1, self.floor)
        if (
            self.claim
            and meaning(self.contract, self.named, self.coming, declared, free)
            is Meaning.CHANGES
        ):
            self.coming, self.coming_named = (
                (declared.first or free, declared.contract),
                declared.named,
            )
        if token != self.token or not token:  # the same word may come twice
            self.claim, self.token = self.claim + 1, token
            for number in list(self.entries):
                if self.entries[number].coming is not None:
                    self.at_once.append(
                        Tell(self.input(number, Input.GIVEN_UP), "claim-lost")
                    )
        self.dirty = True
        self.after.append(Claimed(asker))
        self.go_on(now)

    def drop_all(self, pause: int) -> None:
        """The office is lost or given up: all that waits is told at once; what is out goes on to its end."""
        for number, entry in list(self.entries.items()):
            if entry.coming is not None:
                word = self.not_gone(entry, entry.coming.asker)
                self.at_once.append(
                    replace(word, number=None, pause=pause if word.pause else 0)
                )
                self.input(number, Input.GIVEN_UP)

    # Looks.

    def unsure(self) -> tuple[int, ...]:
        return tuple(
            sorted(
                each
                for each, entry in self.entries.items()
                if entry.phase in (Phase.UNSURE, Phase.BACK)
            )
        )

    def wakes(self, now: int) -> int | None:
        """When to call `go_on` again, if at all."""
        times = [
            at
            for each in self.entries.values()
            if each.phase in (Phase.UNSURE, Phase.BACK)
            for at in (each.rests, each.closes)
        ]
        for each in self.entries.values():
            if each.coming is not None:
                times.append(each.coming.ends)
                if each.hole is not None:
                    times.append(each.hole + self.contract.hole)
        return min((each for each in times if each > now), default=None)

    def out(self) -> int:
        return sum(1 for each in self.entries.values() if each.phase is Phase.OUT)
