"""What the audit of the torn fleet found in the ways between gateways, each played by itself."""

import unittest
from types import SimpleNamespace

from twisted.internet.task import Clock

from milletsill.fleet.channels import codec
from milletsill.fleet.channels.commands import Look, Transfer, Word
from milletsill.fleet.channels.peer_forwarder import Ways
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets
from milletsill.sftp.extensions import Terms


class Found(unittest.TestCase):
    def answer(self, what, reached):
        """To a word that went to a keeper which never answers; the registers then say that another keeps the channel."""
        clock, got = Clock(), []
        ways = Ways(
            clock,
            lambda: int(clock.seconds() * 10_000),
            SimpleNamespace(name="a", send=lambda *told: reached),
            3000,
            lambda word, member: None,
            lambda word: word.answered(wire.put_sign(0, "declined", "", None, 1000)),
            lambda name: None,
            lambda what: None,
        )
        volume = SimpleNamespace(name="v", number=1)
        ways.forward(Word(volume, "c", 50_000, what, "t", got.append), "b")
        clock.pump([0.1] * 40)
        self.assertEqual(len(got), 1)
        return got[0].language

    def test_only_what_its_keeper_cannot_have_done_is_declined(self):
        write = Transfer(
            1, 1, 0, False, Terms(), "/v/f", packets.Write(0, b"/v/f", 0, b"x")
        )
        self.assertEqual(
            (
                self.answer(write, True),
                self.answer(write, False),
                self.answer(Look(1), True),
            ),
            ("x-aborted", "x-declined-100", "x-declined-100"),
        )

    def test_two_starts_do_not_number_their_words_alike(self):
        made = [
            Ways(None, None, SimpleNamespace(name="a"), 1, None, None, None, None).ids
            for _ in range(2)
        ]
        self.assertNotEqual(*made)


class Between:
    """Two gateways whose clocks begin apart and run at different rates, and a network that may hold what one of them tells."""

    def __init__(self, rate=1.0):
        self.clock, self.held, self.holds, self.passed = Clock(), [], set(), 0
        self.clocks = {
            "a": lambda: int(self.clock.seconds() * 10_000),
            "b": lambda: 7_000_000 + int(self.clock.seconds() * 10_000 * rate),
        }
        self.volume, self.taken = SimpleNamespace(name="v", number=1), []
        self.ways = {
            name: Ways(
                self.clock,
                now,
                SimpleNamespace(
                    name=name,
                    send=lambda to, kind, body, name=name: self.tell(name, to, body),
                ),
                100_000,
                lambda word, member: self.taken.append((self.clock.seconds(), word)),
                lambda word: None,
                lambda name: self.volume if name else None,
                lambda what: None,
                5,
            )
            for name, now in self.clocks.items()
        }

    def tell(self, name, to, body):
        self.held.append((name, to, body))
        return True

    def go(self, seconds):
        """Time goes by, and what is not held arrives."""
        self.clock.advance(seconds)
        while found := next(
            (each for each in self.held if each[0] not in self.holds), None
        ):
            self.held.remove(found)
            self.passed += 1
            self.ways[found[1]].heard(found[0], 1, found[2])

    def say(self, patience):
        """A transfer at a, whose client waits for so many seconds from now."""
        write = Transfer(
            1, 1, 0, False, Terms(), "/v/f", packets.Write(0, b"/v/f", 0, b"x")
        )
        self.ways["a"].forward(
            Word(
                self.volume,
                "c",
                self.clocks["a"]() + int(patience * 10_000),
                write,
                "t",
                lambda answer: None,
            ),
            "b",
        )
        return self.clock.seconds() + patience

    def ends(self, word):
        """When a word that b took is over, on the clock of all."""
        return (word.ends - self.clocks["b"]()) / (
            self.clocks["b"]() - 7_000_000
        ) * self.clock.seconds() + self.clock.seconds()


class OnItsWay(unittest.TestCase):
    def test_a_word_that_lay_on_its_way_is_over_when_its_client_is(self):
        for rate in (0.996, 1.0, 1.004):
            for lay in (0.0, 0.5, 2.0, 20.0):
                between = Between(rate)
                between.go(50)
                between.say(1.0)
                between.go(0.001)  # the two know each other's clocks
                between.taken.clear()
                ends = between.say(1.8)
                between.holds = {"a"}
                between.go(lay)
                between.holds = set()
                between.go(0)
                found = [between.ends(word) for _, word in between.taken]
                self.assertLessEqual(
                    max(found),
                    ends,
                    (rate, lay, "the keeper may let it go after its client's patience"),
                )
                self.assertGreater(
                    min(found), ends - 0.05, "cut by more than clocks and ways ask for"
                )

    def test_the_first_word_is_taken_when_it_is_known_until_when(self):
        between = Between()
        between.go(50)
        between.holds, ends = {"a"}, between.say(1.8)
        between.go(1.5)  # it lies on its way; nobody there can know for how long
        between.holds = set()
        between.go(0)
        self.assertEqual(len(between.taken), 1)
        self.assertLessEqual(between.ends(between.taken[0][1]), ends)

    def test_one_that_starts_again_is_told_until_when_on_its_new_clock(self):
        between = Between()
        between.go(50)
        between.say(1.0)
        between.go(0.001)
        between.ways[
            "b"
        ].whose += 1  # another process: what is known of the old clock says nothing
        between.taken.clear()
        ends = between.say(1.8)
        between.go(0.001)
        self.assertEqual(len(between.taken), 1)
        self.assertLessEqual(between.ends(between.taken[0][1]), ends)

    def test_two_who_never_agree_on_a_clock_stop_telling_each_other(self):
        between = Between()
        between.go(50)
        between.ways["a"].clocks.to_remote = lambda member, at, now: None
        between.say(1.8)
        between.go(0.001)
        self.assertEqual(
            (between.taken, between.passed), ([], 8)
        )  # four times, each with its answer, until the next call

    def test_a_gateway_of_an_earlier_version_is_heard_as_ever(self):
        between = Between()
        between.go(50)
        told = codec.read_envelope(put(between))
        told.ClearField("clock")
        between.ways["b"].heard("a", 1, codec.put_envelope(told))
        self.assertEqual(
            [
                round(between.ends(word) - between.clock.seconds(), 1)
                for _, word in between.taken
            ],
            [1.8],
        )


def put(between):
    """What a tells b first."""
    between.say(1.8)
    return between.held.pop()[2]


if __name__ == "__main__":
    unittest.main()
