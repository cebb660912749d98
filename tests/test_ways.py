"""What the audit of the torn fleet found in the ways between gateways, each played by itself."""
import unittest
from types import SimpleNamespace

from twisted.internet.task import Clock

from milletsill.files import channels as wire
from milletsill.files import packets
from milletsill.files.extensions import Terms
from milletsill.fleet.channels.contracts.ways import Ways
from milletsill.fleet.channels.contracts.words import Look, Transfer, Word


class Found(unittest.TestCase):
    def answer(self, what, reached):
        """To a word that went to a keeper which never answers; the registers then say that another keeps the channel."""
        clock, got = Clock(), []
        ways = Ways(clock, lambda: int(clock.seconds() * 10_000), SimpleNamespace(name="a", tell=lambda *told: reached), 3000,
                    lambda word, member: None, lambda word: word.answered(wire.put_sign(0, "declined", "", None, 1000)),
                    lambda name: None, lambda what: None)
        volume = SimpleNamespace(name="v", number=1)
        ways.forward(Word(volume, "c", 50_000, what, "t", got.append), "b")
        clock.pump([0.1] * 40)
        self.assertEqual(len(got), 1)
        return got[0].language

    def test_only_what_its_keeper_cannot_have_done_is_declined(self):
        write = Transfer(1, 1, 0, False, Terms(), "/v/f", packets.Write(0, b"/v/f", 0, b"x"))
        self.assertEqual((self.answer(write, True), self.answer(write, False), self.answer(Look(1), True)),
                         ("x-aborted", "x-declined-100", "x-declined-100"))

    def test_two_starts_do_not_number_their_words_alike(self):
        made = [Ways(None, None, SimpleNamespace(name="a"), 1, None, None, None, None).ids for _ in range(2)]
        self.assertNotEqual(*made)


if __name__ == "__main__":
    unittest.main()
