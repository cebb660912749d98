"""How rows travel: each new difference to a few members by chance, once; what that misses by exchanges. No socket, no clock.

`tell` may lose what it is given. Its own row is written when it has news: at once where something is ill, else now and then.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random

from milletsill.fleet.health import codec
from milletsill.fleet.health.health_evaluator import EXCHANGE, FAN, MOST_WAITING
from milletsill.fleet.health.report_store import Difference, Rows

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
            self.fresh.append(
                self.rows.write(
                    {box: codec.rounded(word) for box, word in words.items()}
                )
            )

    def round(self, now: int, others: Sequence[str]) -> None:
        """What is new to some; at times what is known to one."""
        if self.fresh and others:
            self.pass_on(
                self.chance(others, min(FAN, len(others))), self.fresh, (), now
            )
        self.fresh = []
        if others and now >= self.next_exchange:
            self.next_exchange = now + EXCHANGE
            self.pass_on(self.chance(others, 1), (), self.rows.known(), now)

    def pass_on(
        self,
        members: Sequence[str],
        news: Iterable[Difference],
        known: Iterable[tuple[int, int, int]],
        now: int,
    ) -> None:
        for body in codec.bodies(news, known, now):
            for member in members:
                self.octets += len(body)
                self.tell(member, body)

    def hear(
        self, now: int, member: str, body: bytes, present: Callable[[int], bool]
    ) -> None:
        """A frame of a member. RowRefused for what is none; words of those who are not in the view are left out."""
        frame = codec.decoded(body)
        self.take(
            codec.get(each, now)
            for each in frame.difference
            if present(each.origin)
            and not self.rows.has(each.origin, each.run, each.sequence)
        )
        if frame.known:
            self.answer(
                now,
                member,
                {each.origin: (each.run, each.sequence) for each in frame.known},
            )

    def take(self, news: Iterable[Difference]) -> None:
        """What is new goes on with the next round."""
        for each in news:
            if self.rows.merge(each) and len(self.fresh) < MOST_WAITING:
                self.fresh.append(each)

    def answer(self, now: int, member: str, known: dict[int, tuple[int, int]]) -> None:
        """What a member lacks."""
        lacks = [
            self.rows.after(origin, *known.get(origin, (-1, 0)))
            for origin in self.rows.rows
        ]
        self.pass_on((member,), [each for each in lacks if each is not None], (), now)
