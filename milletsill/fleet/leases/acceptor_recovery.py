"""Decides when an acceptor that has started may answer. No I/O; times are passed in.

An acceptor's state has an identity: (epoch, nonce, generation). The generation grows
with each commit, and the epoch each time the state is rebuilt from the other acceptors'
records. Other gateways keep the greatest identity that each acceptor has sent. An
acceptor whose own identity is less has an older copy of its state, or none, and must
not answer as if it had never promised anything. It waits until every lease that its
former incarnation may have granted and every request that it may have replied to is
over. It then copies all records of so many other acceptors that they include a member
of each majority that it was part of.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from milletsill.fleet.leases.acceptor import LeaseRecord
from milletsill.fleet.leases.ballot import Ballot, majority
from milletsill.fleet.leases.timings import LeaseTimings

# Interval at which an acceptor announces a changed identity to the others, in ticks.
ANNOUNCE_INTERVAL = 1000
# Interval at which an acceptor that may not answer queries the others, in ticks.
QUERY_INTERVAL = 2000
MAX_PAGE_RECORDS = 256
MAX_PAGE_BYTES = 120_000


class StateIdentity(NamedTuple):
    """Identity of an acceptor's state; of one acceptor, a greater identity is later.

    Attributes:
        epoch: Grows when the state is rebuilt.
        nonce: Random number, so that two states of the same epoch differ.
        generation: Grows with each commit.
    """

    epoch: int
    nonce: int
    generation: int


NO_IDENTITY = StateIdentity(0, 0, 0)


@dataclass(frozen=True, slots=True)
class SnapshotPage:
    """A page of one acceptor's records, for another acceptor that recovers.

    Attributes:
        records: Keys and records in key order; they follow the key of the query.
        ballot_floor: The acceptor's ballot floor.
        is_last: Whether no more records follow.
    """

    records: tuple[tuple[str, LeaseRecord], ...]
    ballot_floor: int
    is_last: bool


class RecoveryStatus(Enum):
    """Whether an acceptor may answer.

    VERIFYING: it asks the other gateways whether its state is the latest. SERVING: it
    answers. WAITING: its state is incomplete, and it waits until former promises have
    expired. CATCHING_UP: it copies the other acceptors' records.
    """

    VERIFYING = auto()
    SERVING = auto()
    WAITING = auto()
    CATCHING_UP = auto()


class RecoveryEvent(Enum):
    """An event during an acceptor's recovery."""

    FOUND_STALE = auto()
    CONFIRMED = auto()
    WAIT_OVER = auto()
    CAUGHT_UP = auto()
    OVERRIDDEN = auto()
    WRITE_FAILED = auto()


class RecoveryAction(Enum):
    """What the acceptor service has to do after an event.

    SERVE: start to answer. WAIT: stop answering and store that the state is incomplete.
    CATCH_UP: query the other acceptors for their records. ADOPT: write the copied
    records.
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
    """Whether the identity that another gateway knows shows that the state is stale.

    It does if it is later than `own`, or if it is of another state of the same epoch.
    """
    if known is None or known.epoch < own.epoch:
        return False
    return (
        known.epoch > own.epoch
        or known.nonce != own.nonce
        or known.generation > own.generation
    )


def copies_needed(acceptors: int) -> int:
    """Return from how many other acceptors all records must be copied.

    Any set of so many others includes a member of each majority that this acceptor was
    part of.
    """
    return majority(acceptors)


def merge_records(
    records: dict[str, LeaseRecord],
    copied: Iterable[tuple[str, LeaseRecord]],
    uptime: int,
) -> None:
    """Merge copied records into the existing ones.

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
    """Raise the promises of records to the ballot floor.

    One acceptor that sent its records may have removed a record that another still has.
    """
    # The lowest ballot of the round after the floor: lower than every gateway's.
    lowest = Ballot(ballot_floor + 1, "", 0)
    for key, record in records.items():
        if ballot_floor and record.promised < lowest:
            records[key] = record._replace(promised=lowest)


class AcceptorRecovery:
    """The recovery of one acceptor after a start or after its state was found stale.

    Args:
        own: Identity of the acceptor's state.
        others: Names of the other acceptors.
        timings: Durations of leases and requests.
        started_at: When this incarnation started, in ticks.
        is_empty: Whether nothing has been committed to its file yet.
        is_incomplete: Whether its state is known to be incomplete, because its file was
            corrupt or it was found stale before.

    Attributes:
        status: Whether the acceptor may answer.
        wait_until: When the wait of the status WAITING ends, in ticks.
        confirmed_by: Acceptors that know of no later state.
        records: Records that were copied so far, by key.
        ballot_floor: The highest floor of the acceptors that sent records.
        highest_epoch: The highest epoch that any gateway knows of this acceptor's
            state.
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
        self.highest_epoch = own.epoch
        self.is_overridden = False
        self.records: dict[str, LeaseRecord] = {}
        self.ballot_floor = 0
        self.last_keys: dict[str, str] = {}  # last copied key, by acceptor
        self.copied_from: set[str] = set()

    def on_known_identity(
        self, gateway: str, known: StateIdentity | None, now: int
    ) -> RecoveryAction:
        """Handle a report of the latest identity that a gateway knows of this acceptor.

        Any gateway may report a later state; only acceptors can confirm that there is
        none.
        """
        if known is not None:
            self.highest_epoch = max(self.highest_epoch, known.epoch)
        if is_stale(known, self.own):
            return self._on_stale(now)
        if gateway in self.others:
            self.confirmed_by.add(gateway)
        return self.on_timer(now)

    def _on_stale(self, now: int) -> RecoveryAction:
        if self.is_overridden:
            # An operator ordered the acceptor to continue with the state it has, so it
            # gives that state a later identity than the known one.
            return RecoveryAction.ADOPT
        if self.status is RecoveryStatus.SERVING:
            self.wait_until = now + self.timings.recovery_wait()
        return self._step(RecoveryEvent.FOUND_STALE)

    def on_timer(self, now: int) -> RecoveryAction:
        """Make the transitions that are due at this time."""
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
        """Whether enough other acceptors know of no later state.

        Enough are so many that they include a member of each majority. If the file has
        commits and the recovery wait is over, one fewer is enough, so that an acceptor
        which is down does not prevent another from recovering.
        """
        needed = min(copies_needed(len(self.others) + 1), len(self.others))
        wait_over = now >= self.started_at + self.timings.recovery_wait()
        if wait_over and not self.is_empty:
            needed -= 1
        return len(self.confirmed_by) >= max(needed, 0)

    def needs_page_from(self, acceptor: str) -> bool:
        """Whether an acceptor's records have not been copied completely."""
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
        """Handle an operator's order to continue with the state that is present."""
        self.is_overridden = True
        return self._step(RecoveryEvent.OVERRIDDEN)

    def on_write_failed(self, retry_at: int) -> None:
        """Handle a failed write of the copied records; recopy them at `retry_at`."""
        self.wait_until = retry_at
        self._step(RecoveryEvent.WRITE_FAILED)

    def retry_delay(self, now: int) -> int:
        """Return after how many ticks a refused request should be retried."""
        if self.status in (RecoveryStatus.WAITING, RecoveryStatus.CATCHING_UP):
            return max(self.wait_until - now, QUERY_INTERVAL)
        return QUERY_INTERVAL

    def renewed_identity(self, nonce: int) -> StateIdentity:
        """Return the identity of a state that was rebuilt from the others' records."""
        return StateIdentity(self.highest_epoch + 1, nonce, 1)

    def _step(self, event: RecoveryEvent) -> RecoveryAction:
        unchanged = (self.status, RecoveryAction.NONE)
        self.status, action = RECOVERY_TABLE.get((self.status, event), unchanged)
        return action
