"""Tests of command forwarding between gateways when messages are lost or delayed.

Each case reproduces a fault that the audit of a partitioned fleet found.
"""

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
    def answer_language(self, body, is_sent):
        """Return the language tag of the answer to a command whose owner is silent.

        The forwarding gateway then tries to own the channel and is rejected. `is_sent`
        tells whether the transport accepts messages to the owner.
        """
        clock, answers = Clock(), []
        forwarder = PeerForwarder(
            ForwarderSettings(3000),
            clock,
            lambda: int(clock.seconds() * 10_000),
            SimpleNamespace(name="a", send=lambda *message: is_sent),
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
            ChannelCommand(volume, "c", 50_000, body, "t", answers.append), "b"
        )
        clock.pump([0.1] * 40)
        self.assertEqual(len(answers), 1)
        return answers[0].language

    def test_only_a_command_that_the_owner_cannot_have_executed_is_rejected(self):
        write = NumberedRequest(
            1, 1, 0, False, CommandTerms(), "/v/f", packets.Write(0, b"/v/f", 0, b"x")
        )
        self.assertEqual(
            (
                self.answer_language(write, True),
                self.answer_language(write, False),
                self.answer_language(QueryNumber(1), True),
            ),
            ("x-aborted", "x-declined-100", "x-declined-100"),
        )

    def test_message_ids_differ_between_two_starts(self):
        ids = [
            PeerForwarder(
                ForwarderSettings(1),
                None,
                None,
                SimpleNamespace(name="a"),
                ForwarderHandlers(None, None, None, None),
            ).last_id
            for _ in range(2)
        ]
        self.assertNotEqual(*ids)


class TwoGateways:
    """Two forwarders, `a` and `b`, whose clocks have different offsets and rates.

    Messages of the gateways in `delayed_senders` stay in transit.
    """

    def __init__(self, rate=1.0):
        self.clock = Clock()
        self.in_transit = []
        self.delayed_senders = set()
        self.delivered_count = 0
        self.clocks = {
            "a": lambda: int(self.clock.seconds() * 10_000),
            "b": lambda: 7_000_000 + int(self.clock.seconds() * 10_000 * rate),
        }
        self.volume = SimpleNamespace(name="v", number=1)
        self.received = []
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
                    lambda command, member: self.received.append(
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
        self.in_transit.append((name, to, body))
        return True

    def advance(self, seconds):
        """Advance the clock, then deliver all messages that are not delayed."""
        self.clock.advance(seconds)
        while found := next(
            (each for each in self.in_transit if each[0] not in self.delayed_senders),
            None,
        ):
            self.in_transit.remove(found)
            self.delivered_count += 1
            self.forwarders[found[1]].on_message(found[0], 1, found[2])

    def forward_request(self, timeout):
        """Forward a numbered request from `a` to `b`; return its client's deadline.

        `timeout` is the client timeout in seconds; the deadline is on the shared clock.
        """
        write = NumberedRequest(
            1, 1, 0, False, CommandTerms(), "/v/f", packets.Write(0, b"/v/f", 0, b"x")
        )
        self.forwarders["a"].forward(
            ChannelCommand(
                self.volume,
                "c",
                self.clocks["a"]() + int(timeout * 10_000),
                write,
                "t",
                lambda answer: None,
            ),
            "b",
        )
        return self.clock.seconds() + timeout

    def deadline(self, command):
        """Return the deadline of a command that `b` received, on the shared clock."""
        return (command.deadline - self.clocks["b"]()) / (
            self.clocks["b"]() - 7_000_000
        ) * self.clock.seconds() + self.clock.seconds()


class CommandsInTransit(unittest.TestCase):
    def test_a_delayed_command_ends_at_its_clients_deadline(self):
        for rate in (0.996, 1.0, 1.004):
            for delay in (0.0, 0.5, 2.0, 20.0):
                gateways = TwoGateways(rate)
                gateways.advance(50)
                gateways.forward_request(1.0)
                # After this, both gateways have a reading of the other's clock.
                gateways.advance(0.001)
                gateways.received.clear()
                deadline = gateways.forward_request(1.8)
                gateways.delayed_senders = {"a"}
                gateways.advance(delay)
                gateways.delayed_senders = set()
                gateways.advance(0)
                found = [gateways.deadline(command) for _, command in gateways.received]
                self.assertLessEqual(
                    max(found),
                    deadline,
                    (
                        rate,
                        delay,
                        "the owner may release it after its client's deadline",
                    ),
                )
                self.assertGreater(
                    min(found),
                    deadline - 0.05,
                    "the deadline is cut by more than clock drift and transit time",
                )

    def test_the_first_command_is_accepted_once_its_deadline_is_known(self):
        gateways = TwoGateways()
        gateways.advance(50)
        gateways.delayed_senders, deadline = {"a"}, gateways.forward_request(1.8)
        # `a` has no reading of b's clock yet, so b cannot tell the time in transit.
        gateways.advance(1.5)
        gateways.delayed_senders = set()
        gateways.advance(0)
        self.assertEqual(len(gateways.received), 1)
        self.assertLessEqual(gateways.deadline(gateways.received[0][1]), deadline)

    def test_a_restarted_gateway_gets_deadlines_on_its_new_clock(self):
        gateways = TwoGateways()
        gateways.advance(50)
        gateways.forward_request(1.0)
        gateways.advance(0.001)
        # As after a restart: readings of the old clock do not apply.
        gateways.forwarders["b"].messenger.clock_id += 1
        gateways.received.clear()
        deadline = gateways.forward_request(1.8)
        gateways.advance(0.001)
        self.assertEqual(len(gateways.received), 1)
        self.assertLessEqual(gateways.deadline(gateways.received[0][1]), deadline)

    def test_immediate_resends_are_limited_without_clock_readings(self):
        gateways = TwoGateways()
        gateways.advance(50)
        gateways.forwarders["a"].messenger.peer_clocks.to_remote = (
            lambda member, at, now: None
        )
        gateways.forward_request(1.8)
        gateways.advance(0.001)
        # Four sends, each with a reply, until the next call.
        self.assertEqual((gateways.received, gateways.delivered_count), ([], 8))

    def test_a_command_of_an_earlier_version_counts_from_its_arrival(self):
        gateways = TwoGateways()
        gateways.advance(50)
        envelope = codec.decode_envelope(first_message(gateways))
        envelope.ClearField("clock")
        gateways.forwarders["b"].on_message("a", 1, codec.encode_envelope(envelope))
        self.assertEqual(
            [
                round(gateways.deadline(command) - gateways.clock.seconds(), 1)
                for _, command in gateways.received
            ],
            [1.8],
        )


def first_message(gateways):
    """Return the first message that `a` sends to `b`."""
    gateways.forward_request(1.8)
    return gateways.in_transit.pop()[2]


if __name__ == "__main__":
    unittest.main()
