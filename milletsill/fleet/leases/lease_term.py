"""The lease manager's state of one lease: its term and the callbacks that wait."""

from __future__ import annotations

from collections.abc import Callable

from milletsill.fleet.leases.errors import CoordinationError
from milletsill.fleet.leases.lease_proposer import LeaseProposer


class LeaseTerm:
    """One term of a lease at its holder: from an acquisition until the lease is lost.

    Attributes:
        key: The lease's name.
        ballot: The ballot under which the lease was acquired.
        expires_at: When the lease ends, in ticks on this gateway's clock.
        value: The record that was read or written last.
        value_age: The longest time that the record can have had this value when the
            lease was acquired, in ticks; None if unknown.
        is_ended: Whether the term has ended; an ended term is never resumed.
        proposer: The state machine that holds the lease.
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
        """Whether the manager renews the lease automatically; set by the holder."""
        return self in self._terms_in_use

    @in_use.setter
    def in_use(self, in_use: bool) -> None:
        if in_use and not self.is_ended:
            self._terms_in_use.add(self)
        else:
            self._terms_in_use.discard(self)

    def end(self) -> None:
        """End the term; it is never resumed."""
        self.is_ended = True
        self._terms_in_use.discard(self)


OnAcquired = Callable[[LeaseTerm | CoordinationError], None]
OnWritten = Callable[[CoordinationError | None], None]


class LeaseEntry:
    """One lease at this gateway: its proposer, its term and its waiting callbacks.

    Attributes:
        proposer: The state machine of the lease.
        term: The current term; None before an acquisition and after the term's end.
        acquiring: Callbacks that wait for the lease.
        writing: Callbacks that wait for the write in progress.
        queued: Callbacks that wait for the write after that.
    """

    __slots__ = ("proposer", "term", "acquiring", "writing", "queued")

    def __init__(self, proposer: LeaseProposer) -> None:
        self.proposer = proposer
        self.term: LeaseTerm | None = None
        self.acquiring: list[OnAcquired] = []
        self.writing: list[OnWritten] = []
        self.queued: list[OnWritten] = []

    def take_acquiring(self) -> list[OnAcquired]:
        """Remove and return the callbacks that wait for the lease."""
        waiting = self.acquiring
        self.acquiring = []
        return waiting

    def take_writing(self) -> list[OnWritten]:
        """Remove and return the callbacks that wait for the write in progress."""
        waiting = self.writing
        self.writing = []
        return waiting

    def take_queued(self) -> list[OnWritten]:
        """Remove and return the callbacks that wait for the queued write."""
        waiting = self.queued
        self.queued = []
        return waiting
