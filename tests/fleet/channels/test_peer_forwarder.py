"""What the audit of a torn fleet found in the forwarding gateways gateways, each case by itself."""

import unittest
from types import SimpleNamespace

from twisted.internet.task import Clock

from milletsill.fleet.channels import codec
from milletsill.fleet.channels.commands import (
    ChannelCommand,
    NumberedRequest,
    QueryNumber,
)
from milletsill.fleet.channels.peer_forwarder import (
    ForwarderHandlers,
    ForwarderSettings,
    PeerForwarder,
)
from milletsill.sftp import packets, status_tags
from milletsill.sftp.extensions import CommandTerms


class UnreachableOwners(unittest.TestCase):
    def answer(self, body, reached):
        """To a command whose owner never answers.

        The acceptors then say that another owns the channel.
        """
        clock, got = Clock(), []
        forwarder = PeerForwarder(
            ForwarderSettings(3000),
            clock,
            lambda: int(clock.seconds() * 10_000),
            SimpleNamespace(name="a", send=lambda *message: reached),
            ForwarderHandlers(
                lambda command, member: None,
                lambda command: command.on_answer(
                    status_tags.tagged_status(0, "declined", "", None, 1000)
                ),
                lambda name: None,
                lambda name: None,
            ),
        )
        volume = SimpleNamespace(name="v", number=1)
        forwarder.forward(
            ChannelCommand(volume, "c", 50_000, body, "t", got.append), "b"
        )
        clock.pump([0.1] * 40)
        self.assertEqual(len(got), 1)
        return got[0].language

    def test_only_what_its_owner_cannot_have_done_is_rejected(self):
        write = NumberedRequest(
            1, 1, 0, False, CommandTerms(), "/v/f", packets.Write(0, b"/v/f", 0, b"x")
        )
        self.assertEqual(
            (
                self.answer(write, True),
                self.answer(write, False),
                self.answer(QueryNumber(1), True),
            ),
            ("x-aborted", "x-declined-100", "x-declined-100"),
        )

    def test_two_starts_do_not_number_their_commands_alike(self):
        made = [
            PeerForwarder(
                ForwarderSettings(1),
                None,
                None,
                SimpleNamespace(name="a"),
                ForwarderHandlers(None, None, None, None),
            ).last_id
            for _ in range(2)
        ]
        self.assertNotEqual(*made)


class TwoGateways:
    """Their clocks begin apart and run at different rates.

    The network may hold what one of them sends.
    """

    def __init__(self, rate=1.0):
        self.clock = Clock()
        self.held = []
        self.holds = set()
        self.passed = 0
        self.clocks = {
            "a": lambda: int(self.clock.seconds() * 10_000),
            "b": lambda: 7_000_000 + int(self.clock.seconds() * 10_000 * rate),
        }
        self.volume = SimpleNamespace(name="v", number=1)
        self.taken = []
        self.forwarders = {
            name: PeerForwarder(
                ForwarderSettings(100_000, 5),
                self.clock,
                now,
                SimpleNamespace(
                    name=name,
                    send=lambda to, kind, body, name=name: self.transmit(
                        name, to, body
                    ),
                ),
                ForwarderHandlers(
                    lambda command, member: self.taken.append(
                        (self.clock.seconds(), command)
                    ),
                    lambda command: None,
                    lambda name: self.volume if name else None,
                    lambda name: None,
                ),
            )
            for name, now in self.clocks.items()
        }

    def transmit(self, name, to, body):
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
            self.forwarders[found[1]].on_message(found[0], 1, found[2])

    def send(self, patience):
        """A numbered request at a, whose client waits for so many seconds from now."""
        write = NumberedRequest(
            1, 1, 0, False, CommandTerms(), "/v/f", packets.Write(0, b"/v/f", 0, b"x")
        )
        self.forwarders["a"].forward(
            ChannelCommand(
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

    def deadline(self, command):
        """When a command that b took is over, on the clock of all."""
        return (command.deadline - self.clocks["b"]()) / (
            self.clocks["b"]() - 7_000_000
        ) * self.clock.seconds() + self.clock.seconds()


class CommandsInTransit(unittest.TestCase):
    def test_a_command_that_lay_on_its_way_is_over_when_its_client_is(self):
        for rate in (0.996, 1.0, 1.004):
            for lay in (0.0, 0.5, 2.0, 20.0):
                gateways = TwoGateways(rate)
                gateways.go(50)
                gateways.send(1.0)
                gateways.go(0.001)  # the two know each other's clocks
                gateways.taken.clear()
                ends = gateways.send(1.8)
                gateways.holds = {"a"}
                gateways.go(lay)
                gateways.holds = set()
                gateways.go(0)
                found = [gateways.deadline(command) for _, command in gateways.taken]
                self.assertLessEqual(
                    max(found),
                    ends,
                    (rate, lay, "the owner may release it after its client's deadline"),
                )
                self.assertGreater(
                    min(found),
                    ends - 0.05,
                    "cut by more than clocks and the way ask for",
                )

    def test_the_first_command_is_taken_when_it_is_known_until_when(self):
        gateways = TwoGateways()
        gateways.go(50)
        gateways.holds, ends = {"a"}, gateways.send(1.8)
        gateways.go(1.5)  # it lies on its way; nobody there can know for how long
        gateways.holds = set()
        gateways.go(0)
        self.assertEqual(len(gateways.taken), 1)
        self.assertLessEqual(gateways.deadline(gateways.taken[0][1]), ends)

    def test_one_that_starts_again_is_told_until_when_on_its_new_clock(self):
        gateways = TwoGateways()
        gateways.go(50)
        gateways.send(1.0)
        gateways.go(0.001)
        gateways.forwarders[
            "b"
        ].messenger.clock_id += (
            1  # another process: what is known of the old clock says nothing
        )
        gateways.taken.clear()
        ends = gateways.send(1.8)
        gateways.go(0.001)
        self.assertEqual(len(gateways.taken), 1)
        self.assertLessEqual(gateways.deadline(gateways.taken[0][1]), ends)

    def test_two_that_never_agree_on_a_clock_stop_asking_each_other(self):
        gateways = TwoGateways()
        gateways.go(50)
        gateways.forwarders["a"].messenger.peer_clocks.to_remote = (
            lambda member, at, now: None
        )
        gateways.send(1.8)
        gateways.go(0.001)
        self.assertEqual(
            (gateways.taken, gateways.passed), ([], 8)
        )  # four times, each with its answer, until the next call

    def test_a_gateway_of_an_earlier_version_is_heard_as_ever(self):
        gateways = TwoGateways()
        gateways.go(50)
        told = codec.decode_envelope(first_message(gateways))
        told.ClearField("clock")
        gateways.forwarders["b"].on_message("a", 1, codec.encode_envelope(told))
        self.assertEqual(
            [
                round(gateways.deadline(command) - gateways.clock.seconds(), 1)
                for _, command in gateways.taken
            ],
            [1.8],
        )


def first_message(gateways):
    """What a sends b first."""
    gateways.send(1.8)
    return gateways.held.pop()[2]


if __name__ == "__main__":
    unittest.main()
