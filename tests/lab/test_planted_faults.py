"""The laboratory's planted faults meet a crossing for sure: a higher number takes effect before a lower one. Lingering alone does not."""

import unittest
from types import SimpleNamespace
from unittest import mock

from twisted.internet.task import Clock

from milletsill.fleet.channels import ordering
from milletsill.fleet.channels.channel_owner import Keeper
from milletsill.fleet.channels.commands import Open, Transfer, Word
from milletsill.fleet.channels.ordering import (
    Book,
    Contract,
    Input,
    Order,
    Reach,
)
from milletsill.lab.plants import LINGER, LINGERS, PLANTS
from milletsill.sftp import packets
from milletsill.sftp.extensions import Terms

VOLUME = SimpleNamespace(name="v", number=1)


class Way:
    """What a keeper needs, each with its answer at once; transfers have an effect in the order in which they leave."""

    def __init__(self, order):
        self.clock, self.effects, self.answers = Clock(), [], []
        offices = SimpleNamespace(
            holds=lambda term: True,
            write=lambda term, value, wrote: wrote(None),
            acquire=lambda key, got: got(
                SimpleNamespace(value=b"", expires_at=1 << 40, in_use=False)
            ),
        )
        book = Book([(Contract("c", 1, order), frozenset(["v"]), frozenset(), False)])
        self.keeper = Keeper(
            "a",
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            offices,
            book,
            1000,
            9,
            self,
            lambda *said, **more: None,
            lambda what: None,
        )
        self.say(Open("c", 1, 0))

    def say(self, what):
        self.keeper.word(
            Word(
                VOLUME, "x", 1 << 40, what, f"t{len(self.answers)}", self.answers.append
            )
        )

    def send(self, number, order):
        write = packets.Write(0, b"/v/f", number % 2 * 100, b"%d" % number)
        batch = (number + 1) // 2 if order is Order.BATCHES else 0
        self.say(
            Transfer(
                number, 1, batch, batch > 0 and number % 2 == 0, Terms(), "/v/f", write
            )
        )

    def reaches(self, what):
        return (Reach(1, what.number % 2, what.number % 2),)

    def window(self, word):
        return 1 << 30

    def run(self, word, gone, term, ends, ended):
        self.effects.append(gone.number)
        self.clock.callLater(0.001, ended, Input.SETTLED, 0, 0, packets.Status(0, 0))


class Planted(unittest.TestCase):
    def effects(self, plant, order):
        with (
            mock.patch.dict(ordering.ORDER_TABLE),
            mock.patch.object(Keeper, "let_go", Keeper.let_go),
            mock.patch.object(Keeper, "ended", Keeper.ended),
        ):
            PLANTS[plant]()
            way = Way(order)
            for number in range(1, 7):
                way.send(number, order)
                way.clock.advance(0.1)
            for _ in range(100):
                way.clock.advance(LINGERS / 10)
            return way.effects

    def crossed(self, effects, order):
        """Pairs in which one took effect before another that its contract orders before it."""
        follows = LINGER[order.name][1]
        made = {
            number: SimpleNamespace(
                reaches=(Reach(1, number % 2, number % 2),), batch=(number + 1) // 2
            )
            for number in effects
        }
        return [
            (one, two)
            for place, one in enumerate(effects)
            for two in effects[place + 1 :]
            if one > two and follows(made[two], made[one])
        ]

    def test_each_plant_makes_a_crossing_and_only_under_its_own_order(self):
        for name, of in (
            ("each-in-order", "EACH_IN_ORDER"),
            ("newest", "NEWEST"),
            ("by-extent", "BY_EXTENT"),
            ("batches", "BATCHES"),
        ):
            for order in Order:
                effects = self.effects(name, order)
                self.assertEqual(
                    bool(self.crossed(effects, order)),
                    order.name == of,
                    (name, order, effects),
                )
                self.assertTrue(self.crossed(self.effects("all", order), order))

    def test_lingering_alone_is_lawful_and_ends(self):
        for order in Order:
            effects = self.effects("linger", order)
            self.assertEqual(self.crossed(effects, order), [])
            self.assertEqual(
                set(effects) - {1, 2, 3, 4, 5},
                {6},
                "the newest leaves whatever lingers",
            )


if __name__ == "__main__":
    unittest.main()
