"""When an acceptor that has started may answer. Pure; times are passed in.

An acceptor's state has an identity: (age, chance, generation). The generation grows
with each commit, the age each time that the state is made anew out of the other
acceptors' records. Other gateways keep the greatest identity that each acceptor has
sent. An acceptor whose own identity is less has an older copy of its state or none, and
must not answer as if it had never promised anything: it waits until all is over that
its former incarnation may have granted or answered, then copies every record of so many
others that they meet each majority that it was part of.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from milletsill.fleet.leases.acceptor import LeaseRecord
from milletsill.fleet.leases.ballot import Ballot, majority
from milletsill.fleet.leases.timings import LeaseTimings

# How often an acceptor tells the others its identity, where that changed, in ticks.
ANNOUNCE_INTERVAL = 1000
# How often an acceptor that may not answer asks the others, in ticks.
QUERY_INTERVAL = 2000
MAX_PAGE_RECORDS = 256
MAX_PAGE_BYTES = 120_000


class StateIdentity(NamedTuple):
    """Identity of an acceptor's state; greater is later, for one acceptor.

    Attributes:
        age: Grows when the state is made anew.
        chance: Random, so that two states of one age differ.
        generation: Grows with each commit.
    """

    age: int
    chance: int
    generation: int


NO_IDENTITY = StateIdentity(0, 0, 0)


@dataclass(frozen=True, slots=True)
class SnapshotPage:
    """Some records of one acceptor, for another that recovers.

    Attributes:
        records: Leases' keys and records in order of the keys, after the key that was
            asked for.
        ballot_floor: The acceptor's floor.
        is_last: No more records follow.
    """

    records: tuple[tuple[str, LeaseRecord], ...]
    ballot_floor: int
    is_last: bool


class RecoveryStatus(Enum):
    """Whether an acceptor may answer.

    VERIFYING asks the others whether its state is the latest. SERVING answers. WAITING
    lacks something and lets former promises run out. CATCHING_UP copies records.
    """

    VERIFYING = auto()
    SERVING = auto()
    WAITING = auto()
    CATCHING_UP = auto()


class RecoveryEvent(Enum):
    """What happens to an acceptor that recovers."""

    FOUND_STALE = auto()
    CONFIRMED = auto()
    WAIT_OVER = auto()
    CAUGHT_UP = auto()
    OVERRIDDEN = auto()
    WRITE_FAILED = auto()


class RecoveryAction(Enum):
    """What the acceptor service has to do.

    SERVE: begin to answer. WAIT: stop answering, remember that something is missing.
    CATCH_UP: ask the others for their records. ADOPT: write down what was copied.
    """

    NONE = auto()
    SERVE = auto()
    WAIT = auto()
    CATCH_UP = auto()
    ADOPT = auto()


RECOVERY_TABLE: dict[
    tuple[RecoveryStatus, RecoveryEvent], tuple[RecoveryStatus, RecoveryAction]
] = {
    (RecoveryStatus.VERIFYING, RecoveryEvent.CONFIRMED): (
        RecoveryStatus.SERVING,
        RecoveryAction.SERVE,
    ),
    (RecoveryStatus.VERIFYING, RecoveryEvent.FOUND_STALE): (
        RecoveryStatus.WAITING,
        RecoveryAction.WAIT,
    ),
    (RecoveryStatus.SERVING, RecoveryEvent.FOUND_STALE): (
        RecoveryStatus.WAITING,
        RecoveryAction.WAIT,
    ),
    (RecoveryStatus.WAITING, RecoveryEvent.WAIT_OVER): (
        RecoveryStatus.CATCHING_UP,
        RecoveryAction.CATCH_UP,
    ),
    (RecoveryStatus.CATCHING_UP, RecoveryEvent.CAUGHT_UP): (
        RecoveryStatus.SERVING,
        RecoveryAction.ADOPT,
    ),
    (RecoveryStatus.SERVING, RecoveryEvent.WRITE_FAILED): (
        RecoveryStatus.WAITING,
        RecoveryAction.NONE,
    ),
    **{
        (status, RecoveryEvent.OVERRIDDEN): (
            RecoveryStatus.SERVING,
            RecoveryAction.ADOPT,
        )
        for status in RecoveryStatus
    },
}


def is_stale(known: StateIdentity | None, own: StateIdentity) -> bool:
    """Whether the identity that another gateway knows is later than the state's own.

    Also where it is of another state that is not older.
    """
    if known is None or known.age < own.age:
        return False
    return (
        known.age > own.age
        or known.chance != own.chance
        or known.generation > own.generation
    )


def copies_needed(acceptors: int) -> int:
    """Return from how many others all records must be copied.

    So many meet each majority that this acceptor was part of, without it.
    """
    return majority(acceptors)


def merge_records(
    records: dict[str, LeaseRecord],
    copied: Iterable[tuple[str, LeaseRecord]],
    uptime: int,
) -> None:
    """Merge copied records into those that are here.

    Each record gets the highest promise and the latest write of both.
    """
    for key, new in copied:
        old = records.get(key)
        if old is None:
            records[key] = new._replace(written_at=uptime, is_copied=True)
            continue
        latest = new if new.version > old.version else old
        records[key] = LeaseRecord(
            max(old.promised, new.promised),
            latest.version,
            latest.value,
            uptime,
            old.is_copied or latest is new,
        )


def raise_to_floor(records: dict[str, LeaseRecord], ballot_floor: int) -> None:
    """Make the floor hold for records too.

    An acceptor that sent its records may have removed one that another still has.
    """
    # Below each gateway's ballot of the round after the floor.
    lowest = Ballot(ballot_floor + 1, "", 0)
    for key, record in records.items():
        if ballot_floor and record.promised < lowest:
            records[key] = record._replace(promised=lowest)


class AcceptorRecovery:
    """How one acceptor comes to answer.

    Args:
        own: Identity of its state.
        others: Names of the other acceptors.
        timings: How long leases last.
        started_at: When this incarnation started, in ticks.
        is_empty: Its file has no record yet.
        is_incomplete: It is known to lack something: its file was torn, or it was
            found stale before.

    Attributes:
        status: Whether it may answer.
        records: What was copied so far, by key.
        ballot_floor: The highest floor of those that sent their records.
        highest_age: The highest age that anybody knows of this acceptor's state.
    """

    def __init__(
        self,
        own: StateIdentity,
        others: Iterable[str],
        timings: LeaseTimings,
        started_at: int,
        is_empty: bool,
        is_incomplete: bool,
    ) -> None:
        self.own = own
        self.others = tuple(others)
        self.timings = timings
        self.started_at = started_at
        self.is_empty = is_empty
        self.status = RecoveryStatus.VERIFYING
        if is_incomplete:
            self.status = RecoveryStatus.WAITING
        self.wait_until = started_at + timings.recovery_wait()
        self.confirmed_by: set[str] = set()
        self.highest_age = own.age
        self.is_overridden = False
        self.records: dict[str, LeaseRecord] = {}
        self.ballot_floor = 0
        self.last_keys: dict[str, str] = {}  # of each that sends its records
        self.copied_from: set[str] = set()

    def on_witness(
        self, gateway: str, known: StateIdentity | None, now: int
    ) -> RecoveryAction:
        """Handle the last identity that a gateway knows of this acceptor.

        Any gateway may report a later state; only acceptors may confirm that there is
        none.
        """
        if known is not None:
            self.highest_age = max(self.highest_age, known.age)
        if is_stale(known, self.own):
            return self._on_stale(now)
        if gateway in self.others:
            self.confirmed_by.add(gateway)
        return self.on_timer(now)

    def _on_stale(self, now: int) -> RecoveryAction:
        if self.is_overridden:
            # By an operator's order it goes on, as later than what was known.
            return RecoveryAction.ADOPT
        if self.status is RecoveryStatus.SERVING:
            self.wait_until = now + self.timings.recovery_wait()
        return self._step(RecoveryEvent.FOUND_STALE)

    def on_timer(self, now: int) -> RecoveryAction:
        """Handle what time alone brings."""
        if self.status is RecoveryStatus.VERIFYING and self.is_confirmed(now):
            return self._step(RecoveryEvent.CONFIRMED)
        if self.status is RecoveryStatus.WAITING and now >= self.wait_until:
            self.records = {}
            self.ballot_floor = 0
            self.last_keys = {}
            self.copied_from = set()
            return self._step(RecoveryEvent.WAIT_OVER)
        return RecoveryAction.NONE

    def is_confirmed(self, now: int) -> bool:
        """Whether enough others know of nothing later.

        So many that they meet each majority; or, with a file that has records and
        after a whole wait, one fewer, so that an acceptor which is down does not keep
        another from coming back.
        """
        needed = min(copies_needed(len(self.others) + 1), len(self.others))
        wait_over = now >= self.started_at + self.timings.recovery_wait()
        if wait_over and not self.is_empty:
            needed -= 1
        return len(self.confirmed_by) >= max(needed, 0)

    def needs_page_from(self, acceptor: str) -> bool:
        """Whether an acceptor's records are still to be copied."""
        is_catching_up = self.status is RecoveryStatus.CATCHING_UP
        return is_catching_up and acceptor not in self.copied_from

    def last_key(self, acceptor: str) -> str:
        """Return the key after which an acceptor's next page begins."""
        return self.last_keys.get(acceptor, "")

    def on_page(
        self, acceptor: str, after: str, page: SnapshotPage, uptime: int
    ) -> RecoveryAction:
        """Copy one page of another acceptor's records."""
        if (
            not self.needs_page_from(acceptor)
            or acceptor not in self.others
            or self.last_key(acceptor) != after
        ):
            return RecoveryAction.NONE
        merge_records(self.records, page.records, uptime)
        self.ballot_floor = max(self.ballot_floor, page.ballot_floor)
        if not page.is_last:
            self.last_keys[acceptor] = page.records[-1][0] if page.records else after
            return RecoveryAction.NONE
        self.copied_from.add(acceptor)
        if len(self.copied_from) < copies_needed(len(self.others) + 1):
            return RecoveryAction.NONE
        return self._step(RecoveryEvent.CAUGHT_UP)

    def on_override(self) -> RecoveryAction:
        """Handle an operator's order to go on with what there is."""
        self.is_overridden = True
        return self._step(RecoveryEvent.OVERRIDDEN)

    def on_write_failed(self, retry_at: int) -> None:
        """What was copied could not be written: it is asked for again at a time."""
        self.wait_until = retry_at
        self._step(RecoveryEvent.WRITE_FAILED)

    def retry_delay(self, now: int) -> int:
        """Return when to come back to an acceptor that may not answer, in ticks."""
        if self.status in (RecoveryStatus.WAITING, RecoveryStatus.CATCHING_UP):
            return max(self.wait_until - now, QUERY_INTERVAL)
        return QUERY_INTERVAL

    def renewed_identity(self, chance: int) -> StateIdentity:
        """Return the identity of a state that is made of the others' records."""
        return StateIdentity(self.highest_age + 1, chance, 1)

    def _step(self, event: RecoveryEvent) -> RecoveryAction:
        unchanged = (self.status, RecoveryAction.NONE)
        self.status, action = RECOVERY_TABLE.get((self.status, event), unchanged)
        return action
