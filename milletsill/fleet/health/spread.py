"""How rows travel: each new difference to a few members by chance, once; what that misses by exchanges. No socket, no clock.

`tell` may lose what it is given. Its own row is written when it has news: at once where something is ill, else now and then.
"""
from __future__ import annotations

from random import Random
from typing import Callable, Sequence

from milletsill.fleet.health import codec
from milletsill.fleet.health.decide import EXCHANGE, FAN, MOST_WAITING
from milletsill.fleet.health.rows import Difference, Rows

Tell = Callable[[str, bytes], object]


class Spread:
    """One gateway's part in it."""

    def __init__(self, rows: Rows, seed: int, tell: Tell) -> None:
        self.rows, self.tell = rows, tell
        self.chance = Random(seed).sample
        self.fresh: list[Difference] = []
        self.next_exchange = 0
        self.octets = 0

    def write(self, words: dict) -> None:  # type: ignore[type-arg]
        if words:
            self.fresh.append(self.rows.write({box: codec.rounded(word) for box, word in words.items()}))

    def round(self, now: int, others: Sequence[str]) -> None:
        """What is new to some; at times what is known to one."""
        if self.fresh and others:
            bodies = list(codec.bodies(self.fresh, (), now))
            for member in self.chance(others, min(FAN, len(others))):
                self.send(member, bodies)
        self.fresh = []
        if others and now >= self.next_exchange:
            self.next_exchange = now + EXCHANGE
            self.send(self.chance(others, 1)[0], list(codec.bodies((), self.rows.known(), now)))

    def send(self, member: str, bodies: Sequence[bytes]) -> None:
        for body in bodies:
            self.octets += len(body)
            self.tell(member, body)

    def hear(self, now: int, member: str, body: bytes, present: Callable[[int], bool]) -> None:
        """A frame of a member. RowRefused for what is none; words of those who are not in the view are left out."""
        frame = codec.decoded(body)
        for each in frame.difference:
            news = codec.get(each, now)
            if present(news.origin) and self.rows.merge(news) and len(self.fresh) < MOST_WAITING:
                self.fresh.append(news)
        if frame.known:
            self.answer(now, member, {each.origin: (each.run, each.sequence) for each in frame.known})

    def answer(self, now: int, member: str, known: dict[int, tuple[int, int]]) -> None:
        """What a member lacks."""
        lacks = [self.rows.after(origin, *known.get(origin, (-1, 0))) for origin in self.rows.rows]
        self.send(member, list(codec.bodies([each for each in lacks if each is not None], (), now)))
