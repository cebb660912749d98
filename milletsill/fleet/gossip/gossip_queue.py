"""Which pieces of news ride on the next frame: those that went out least, each a bounded number of times. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import ceil, log2

TIMES = 3  # of the logarithm of the fleet's size; SWIM's lambda


def bound(members: int) -> int:
    """How often a piece goes out from one gateway."""
    return TIMES * ceil(log2(max(members, 1) + 1))


class Spread:
    """Names whose rows are news, by how often they went out. A name stands in it once, so it is no longer than the fleet."""

    __slots__ = ("rounds", "at")

    def __init__(self) -> None:
        self.rounds: list[dict[str, None]] = []
        self.at: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.at)

    def add(self, name: str) -> None:
        """What is said of that name is new: it goes out from the beginning."""
        self.drop(name)
        if not self.rounds:
            self.rounds.append({})
        self.rounds[0][name] = None
        self.at[name] = 0

    def drop(self, name: str) -> None:
        found = self.at.pop(name, None)
        if found is not None:
            del self.rounds[found][name]

    def take(self, room: int, most: int, size: Callable[[str], int]) -> Iterator[str]:
        """Names for one frame with that room, those that went out least first; each is gone after `most` times."""
        if not self.at:
            return
        taken: list[str] = []
        for names in self.rounds:
            for name in names:
                need = size(name)
                if need > room:
                    room = 0
                    break
                room -= need
                taken.append(name)
            if room <= 0:
                break
        for name in taken:
            times = self.at[name]
            del self.rounds[times][name]
            if times + 1 >= most:
                del self.at[name]
                continue
            if times + 1 == len(self.rounds):
                self.rounds.append({})
            self.rounds[times + 1][name] = None
            self.at[name] = times + 1
        yield from taken
