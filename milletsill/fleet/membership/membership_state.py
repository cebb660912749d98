"""What one gateway holds of the others and of itself, and how words change it: the tables of decide.py, read and acted on."""

from __future__ import annotations

from milletsill.fleet.frames.codec import MOST_BY
from milletsill.fleet.frames.messages import FleetMessage, MemberUpdate, FrameType
from milletsill.fleet.gossip.gossip_queue import Spread
from milletsill.fleet.membership.effects import (
    ViewChanged,
    IncarnationChanged,
    Effect,
    OperatorEventKind,
    OperatorEvent,
    SendMessage,
)
from milletsill.fleet.membership.failure_detector import (
    CHANGES,
    HELD,
    OWN,
    TWIN_AFTER,
    TWIN_EVERY,
    Order,
    Own,
    Terms,
    Word,
    believed,
    order_of,
    word_of,
)
from milletsill.fleet.membership.member_table import Known, Table
from milletsill.fleet.transport import PRESENT, ViewChange, MemberState


class Rolls:
    """`out` gathers effects. Everything in it is bounded by the most members of the terms."""

    def __init__(
        self, name: str, address: str, run: int, nonce: int, terms: Terms, now: int
    ) -> None:
        self.name, self.nonce, self.terms, self.started = name, nonce, terms, now
        self.own, self.claimed, self.told_twin, self.woke = (
            Own.UP,
            None,
            now - TWIN_EVERY,
            now - TWIN_EVERY,
        )
        self.me = Known(
            MemberUpdate(name, run, nonce, 0, MemberState.ALIVE, address), now
        )
        self.table, self.spread, self.out = (
            Table(terms.most_members),
            Spread(),
            list[Effect](),
        )
        self.table.add(self.me)
        self.sender = self.me.row(now)
        self.spread.add(name)

    # Others.

    def merge(self, now: int, row: MemberUpdate, news: bool = True) -> str:
        """Take what is said of one; the action of the table, '' where it changes nothing. `news`: pass it on."""
        held = self.table.held.get(row.name)
        if (
            held is not None
            and row.refutation == held.turn
            and row.nonce == held.nonce
            and row.incarnation == held.run
            and (row.state is held.standing and row.suspected_by == held.by)
        ):
            return ""  # most of what comes was known
        if row.name == self.name and (
            self.own is not Own.DISPLACED or row.nonce == self.nonce
        ):
            return self.meant(now, row)
        if held is None:
            return self.meet(now, row, news)
        order = order_of(held.key, (row.incarnation, row.nonce, row.refutation))
        standing, action = HELD.get(
            (held.standing, row.state, order), (held.standing, "")
        )
        if not action or (
            order is Order.RUN and row.state in PRESENT and not row.address
        ):
            return ""
        if action == "confirm":
            return self.confirm(held, row.suspected_by)
        if action == "sentence":
            told = believed(
                bool(held.by), now - held.since, now - self.woke, self.terms
            )
            standing, action = (
                (MemberState.GONE, "gone") if told else (MemberState.SUSPECT, "hearsay")
            )
        before = held.standing
        held.run, held.nonce, held.turn = row.incarnation, row.nonce, row.refutation
        held.address = row.address or held.address
        held.by = (
            row.suspected_by
            if action in ("suspect", "restarted", "again")
            and standing is MemberState.SUSPECT
            else (
                held.by if action == "hearsay" and before is MemberState.SUSPECT else ()
            )
        )
        self.stand(now, held, standing, action, row.age)
        if news and action not in ("hearsay", "note"):
            self.spread.add(row.name)
        return action

    def meet(self, now: int, row: MemberUpdate, news: bool) -> str:
        """One that was not known. One that is away is kept in mind only as long as others do, or it would go round for ever."""
        if not row.address or (
            row.state not in PRESENT and row.age >= self.terms.remember
        ):
            return ""
        known = Known(row, now)
        if not self.table.add(known):
            self.out.append(OperatorEvent(OperatorEventKind.FULL, row.name))
            return ""
        if row.state not in PRESENT:
            return "note"
        self.out.append(ViewChanged(ViewChange.JOINED, known.member()))
        if news:
            self.spread.add(row.name)
        return "again"

    def confirm(self, held: Known, by: tuple[str, ...]) -> str:
        """One more who suspects it; a few are enough to know, and to pass on."""
        found = tuple(dict.fromkeys(held.by + by))[:MOST_BY]
        if len(found) == len(held.by):
            return ""
        held.by, held.news = found, None
        self.spread.add(held.name)
        return "confirm"

    def stand(
        self, now: int, held: Known, standing: MemberState, action: str, age: int = 0
    ) -> None:
        """It stands so from now on."""
        before, held.standing = held.standing, standing
        if standing is not before or action == "restarted":
            held.since = now - age
        self.table.sort(held, before)
        change = CHANGES.get(action)
        if change is ViewChange.SUSPECTED and before is MemberState.SUSPECT:
            change = None
        if change is not None:
            self.out.append(ViewChanged(change, held.member()))
        if (
            held.name == self.name
            and standing not in PRESENT
            and self.own is Own.DISPLACED
        ):
            self.mean(now, Word.FREE, held.row(now))

    def suspect(self, now: int, name: str) -> None:
        """This gateway's own suspicion."""
        held = self.table.get(name)
        if held is None or held.standing not in PRESENT:
            return
        if held.standing is MemberState.SUSPECT:
            self.confirm(held, (self.name,))
        else:
            held.by = (self.name,)
            self.stand(now, held, MemberState.SUSPECT, "suspect")
            self.spread.add(name)

    def sentence(self, now: int, name: str) -> None:
        """It gave this gateway no sign of life for all the spans there are."""
        held = self.table.get(name)
        if held is not None and held.standing in PRESENT:
            held.by = ()
            self.stand(now, held, MemberState.GONE, "gone")
            self.spread.add(name)

    # This gateway itself.

    def meant(self, now: int, row: MemberUpdate) -> str:
        """What is said under this gateway's name."""
        word = word_of(row, self.me.run, self.nonce, self.me.turn, self.claimed)
        if word is not Word.OLD:
            return self.mean(now, word, row)
        return ""

    def mean(self, now: int, word: Word, row: MemberUpdate) -> str:
        """Read the table and act."""
        own, effect = OWN.get((self.own, word), (self.own, ""))
        if not effect or (own is Own.DISPLACED and not row.address):
            return ""
        self.own = own
        if effect == "refute":
            self.me.turn, self.me.news = row.refutation + 1, None
            self.out.append(OperatorEvent(OperatorEventKind.REFUTED))
        if effect == "lost":
            self.out.append(
                OperatorEvent(
                    OperatorEventKind.LOST_STATE, row.address, row.incarnation
                )
            )
        if effect.startswith("twin"):
            self.twin(now, row.address)
        if effect in ("lost", "past", "twin past"):
            self.past(now, row.incarnation + 1)
        if effect == "twin rest":
            self.table.drop(self.name)
            self.table.add(Known(row, now))
            self.out.append(
                ViewChanged(ViewChange.RESTARTED, self.table.held[self.name].member())
            )
        else:
            self.sender = self.me.row(now)
            self.spread.add(self.name)
        return effect

    def past(self, now: int, run: int) -> None:
        """Another run than that of the start: past all that others have heard under this name."""
        if self.table.get(self.name) is not self.me:
            self.table.drop(self.name)
            self.table.add(self.me)
        self.me.run, self.me.turn, self.claimed = run, 0, run
        self.table.sort(self.me, self.me.standing)
        self.out += [
            IncarnationChanged(run),
            ViewChanged(ViewChange.RESTARTED, self.me.member()),
        ]

    def twin(self, now: int, address: str) -> None:
        """Say it here and there, now and then."""
        if now - self.told_twin >= TWIN_EVERY:
            self.told_twin = now
            self.out.append(OperatorEvent(OperatorEventKind.TWIN, address))
            if address:
                self.out.append(
                    SendMessage(address, FleetMessage(FrameType.TWIN, self.sender))
                )

    def met_twin(self, now: int, sender: MemberUpdate) -> None:
        """A frame straight from one with this name. Guards against a former start's last frames: none is on its way for so
        long. Harm: two that start together hear of it that much later.
        """
        if now - self.started >= TWIN_AFTER:
            self.twin(now, sender.address)

    def leave(self, now: int) -> None:
        """This gateway says that it goes."""
        if self.own is Own.DISPLACED:
            self.own = Own.LEAVING
            return
        self.own, before, self.me.standing, self.me.since = (
            Own.LEAVING,
            self.me.standing,
            MemberState.LEFT,
            now,
        )
        self.table.sort(self.me, before)
        self.sender = self.me.row(now)
        self.spread.add(self.name)
        self.out.append(ViewChanged(ViewChange.LEFT, self.me.member()))
