"""What a hunt is, whatever is hunted: events drawn by a seed, played, and where something breaks, made fewer.

An event stands for itself: played without those around it, it draws the same. So a run that fails is made smaller by leaving
events out (delta debugging), and what is left is the same run for everybody.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

MOST_PLAYS = 250  # to make one failure small


@dataclass(frozen=True, slots=True)
class Event:
    """`at` in tenths of a millisecond; `values` tell all that chance decided."""

    at: int
    what: str
    values: tuple[Any, ...] = ()

    def line(self) -> str:
        return f"{self.at / 10_000:8.3f} s  {self.what}({', '.join(map(str, self.values))})"


class Game(Protocol):
    """One kind of world."""

    def drawn(self, seed: int) -> list[Event]:
        """The events of a seed, in order."""

    def play(self, seed: int, events: Sequence[Event]) -> str | None:
        """What broke first; None where all was kept."""


@dataclass(frozen=True, slots=True)
class Found:
    """One failing seed, made small."""

    seed: int
    broke: str
    drawn: int
    events: tuple[Event, ...]

    def page(self) -> str:
        lines = [
            f"seed {self.seed}: {self.broke}",
            f"{len(self.events)} of the {self.drawn} events drawn:",
        ]
        return "\n".join(lines + [f"  {each.line()}" for each in self.events])


def smaller(
    events: Sequence[Event],
    breaks: Callable[[Sequence[Event]], bool],
    most: int = MOST_PLAYS,
) -> tuple[Event, ...]:
    """The fewest events found that still break it, within so many plays: parts are left out, ever smaller ones."""
    held, parts, plays = list(events), 2, 0
    while held and plays < most:
        size = max(-(-len(held) // parts), 1)
        for at in range(0, len(held), size):
            rest = held[:at] + held[at + size :]
            plays += 1
            if breaks(rest):
                held, parts = rest, max(parts - 1, 2)
                break
            if plays >= most:
                break
        else:
            if size == 1:
                break
            parts = min(parts * 2, len(held))
    return tuple(held)


def hunted(game: Game, seed: int) -> Found | None:
    """Plays one seed; a failure comes back small. Any failure counts while it is made smaller: the last is told."""
    events = game.drawn(seed)
    broke = game.play(seed, events)
    if broke is None:
        return None
    few = smaller(events, lambda some: game.play(seed, some) is not None)
    return Found(seed, game.play(seed, few) or broke, len(events), few)


def hunt(game: Game, seeds: Sequence[int], most: int = 1) -> tuple[int, list[Found]]:
    """Seeds played and the failures among them, ended after so many."""
    found: list[Found] = []
    for played, seed in enumerate(seeds, 1):
        if (each := hunted(game, seed)) is not None:
            found.append(each)
            if len(found) >= most:
                return played, found
    return len(seeds), found
