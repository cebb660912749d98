"""What `Offices` keeps of a channel: the term that its holder sees, and who waits for what."""

from __future__ import annotations

from collections.abc import Callable
from typing import Union

from milletsill.errors import MilletsillError
from milletsill.fleet.leases.lease_proposer import Seat

Took = Callable[[Union["LeaseTerm", MilletsillError]], None]
Wrote = Callable[[MilletsillError | None], None]


class LeaseTerm:
    """An office of one channel: `value` is what was accepted last, `expires_at` on this gateway's clock; `value_age` is for how long the value
    has stood at the most when the office was taken, None where nobody can tell. `in_use` is for the holder to set: the office is
    renewed by itself while it is.
    """

    __slots__ = (
        "key",
        "ballot",
        "expires_at",
        "value",
        "value_age",
        "over",
        "seat",
        "crowd",
    )

    def __init__(
        self, channel: str, seat: Seat, age: int | None, crowd: set[LeaseTerm]
    ) -> None:
        self.key, self.seat, self.value_age, self.crowd = channel, seat, age, crowd
        self.ballot, self.expires_at, self.value = seat.ballot, seat.ends, seat.value
        self.over = False

    @property
    def in_use(self) -> bool:
        return self in self.crowd

    @in_use.setter
    def in_use(self, busy: bool) -> None:
        (self.crowd.add if busy and not self.over else self.crowd.discard)(self)

    def end(self) -> None:
        """It is over for good."""
        self.over = True
        self.crowd.discard(self)


class Place:
    """One channel here: its seat, and who waits for what."""

    __slots__ = ("seat", "term", "takers", "writing", "queued")

    def __init__(self, seat: Seat) -> None:
        self.seat = seat
        self.term: LeaseTerm | None = None
        self.takers: list[Took] = []
        self.writing: list[Wrote] = []
        self.queued: list[Wrote] = []
