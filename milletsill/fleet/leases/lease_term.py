"""What the lease manager keeps of one lease: its term, and who waits for what."""

from __future__ import annotations

from collections.abc import Callable

from milletsill.fleet.leases.errors import CoordinationError
from milletsill.fleet.leases.lease_proposer import LeaseProposer


class LeaseTerm:
    """A lease as its holder sees it, from one acquisition until it is lost.

    Attributes:
        key: The lease's name.
        ballot: The ballot under which it was acquired.
        expires_at: When it ends, in ticks on this gateway's clock.
        value: The record that was read or written last.
        value_age: For how long the record had this value at the most when the lease
            was acquired, in ticks; None for unknown.
        is_ended: It is over for good.
        proposer: The state machine that holds it.
    """

    __slots__ = (
        "key",
        "ballot",
        "expires_at",
        "value",
        "value_age",
        "is_ended",
        "proposer",
        "_terms_in_use",
    )

    def __init__(
        self,
        proposer: LeaseProposer,
        value_age: int | None,
        terms_in_use: set[LeaseTerm],
    ) -> None:
        self.key = proposer.key
        self.ballot = proposer.ballot
        self.expires_at = proposer.expires_at
        self.value = proposer.value
        self.value_age = value_age
        self.is_ended = False
        self.proposer = proposer
        self._terms_in_use = terms_in_use

    @property
    def in_use(self) -> bool:
        """Whether the lease is renewed by itself; set by its holder."""
        return self in self._terms_in_use

    @in_use.setter
    def in_use(self, in_use: bool) -> None:
        if in_use and not self.is_ended:
            self._terms_in_use.add(self)
        else:
            self._terms_in_use.discard(self)

    def end(self) -> None:
        """Make it over for good."""
        self.is_ended = True
        self._terms_in_use.discard(self)


OnAcquired = Callable[[LeaseTerm | CoordinationError], None]
OnWritten = Callable[[CoordinationError | None], None]


class LeaseEntry:
    """One lease at this gateway: its proposer, its term, and who waits for what.

    Attributes:
        acquiring: Who waits for the lease.
        writing: Who waits for the write under way.
        queued: Who waits for the write after that.
    """

    __slots__ = ("proposer", "term", "acquiring", "writing", "queued")

    def __init__(self, proposer: LeaseProposer) -> None:
        self.proposer = proposer
        self.term: LeaseTerm | None = None
        self.acquiring: list[OnAcquired] = []
        self.writing: list[OnWritten] = []
        self.queued: list[OnWritten] = []

    def take_acquiring(self) -> list[OnAcquired]:
        """Return who waits for the lease; nobody does any more."""
        waiting = self.acquiring
        self.acquiring = []
        return waiting

    def take_writing(self) -> list[OnWritten]:
        """Return who waits for the write under way; nobody does any more."""
        waiting = self.writing
        self.writing = []
        return waiting

    def take_queued(self) -> list[OnWritten]:
        """Return who waits for the write after that; nobody does any more."""
        waiting = self.queued
        self.queued = []
        return waiting
