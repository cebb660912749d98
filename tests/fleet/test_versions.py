"""Two versions at once.

Recorded octets of a version are read, and what a later version adds is borne.
"""

import json
import os
import shutil
import tempfile
import unittest
from dataclasses import replace
from random import Random

from milletsill.fleet.channels import codec as contracts
from milletsill.fleet.channels.record_pb2 import (
    Envelope,
)
from milletsill.fleet.channels.record_pb2 import (
    Record as RecordOctets,
)
from milletsill.fleet.errors import FrameVersionTooNewError, MalformedFrameError
from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.codec import MAGIC, MAX_COUNTER, FrameCodec
from milletsill.fleet.frames.messages import (
    FleetMessage,
    FrameType,
    MemberUpdate,
)
from milletsill.fleet.health import codec as health
from milletsill.fleet.health import health_pb2
from milletsill.fleet.leases import codec as registers
from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor_recovery import StateIdentity
from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.fleet.membership.config import MembershipConfig
from milletsill.fleet.membership.effects import SendMessage
from milletsill.fleet.membership.local_member import LocalIdentity
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.transport import MemberState, MessageKind
from milletsill.lab.hunt.fleet_faults import FleetFaults
from milletsill.lab.hunt.fleet_gateway import FleetShape
from milletsill.lab.hunt.fleet_simulation import FleetSimulation, run_until_failure
from milletsill.lab.hunt.simulated_disk import simulated_leases
from milletsill.lab.simulated_clock import SECOND
from milletsill.registry import endpoint_cache
from tests.fixtures import make_octets as made
from tests.support.paths import FIXTURES

HERE = str(FIXTURES)
LATER = b"\xc2\x3e\x05later\xc8\x3e\x07"  # two fields that nobody knows: octets as 1000, a number as 1001
NEXT = {
    "frame": (MAGIC, fleet_pb2.Frame),
    "registers": (b"R", wire.Frame),
    "health": (b"", health_pb2.Frame),
    "record": (b"", RecordOctets),
    "envelope": (b"C", Envelope),
}


def recorded():
    with open(os.path.join(HERE, "octets-1.json"), encoding="ascii") as source:
        return {name: bytes.fromhex(each) for name, each in json.load(source).items()}


def of_later(name, data):
    """The same, with fields of a later version in it and in all that it holds."""
    mark, kind = NEXT[name.split()[0]]
    whole = kind.FromString(data[len(mark) :])

    def add(message):
        for field, value in message.ListFields():
            if field.message_type is not None:
                for each in value if field.label == field.LABEL_REPEATED else [value]:
                    add(each)
        message.MergeFromString(LATER)

    add(whole)
    return mark + whole.SerializeToString()


def record_of(channel):
    return contracts.encode_record(channel, 1000)


class Recorded(unittest.TestCase):
    def check(self, octets):
        codec = FrameCodec("fleet")
        for name, message in made.frames().items():
            self.assertEqual(codec.decode(octets[f"frame {name}"]), message, name)
        calls = registers.decode_frame(octets["registers calls"]).calls.call
        self.assertEqual(
            [registers.decode_request("gateway-1", each) for each in calls],
            made.ACCEPTOR_REQUESTS,
        )
        answers = registers.decode_frame(octets["registers answers"]).answers
        self.assertEqual(
            [registers.decode_reply("gateway-1", each) for each in answers.answer],
            made.ACCEPTOR_REPLIES,
        )
        self.assertEqual(registers.decode_identity(answers.own), made.IDENTITY)
        self.assertEqual(
            registers.decode_page(
                registers.decode_frame(octets["registers page"]).page
            ),
            made.SNAPSHOT_PAGE,
        )
        frame = health.decode_frame(octets["health"])
        self.assertEqual(health.decode_delta(frame.difference[0], 0), made.REPORT_DELTA)
        self.assertEqual((frame.known[0].run, frame.known[0].sequence), (7, 5))
        found = contracts.decode_record(octets["record"], 100, 1000, 0)
        self.assertEqual(record_of(found), record_of(made.channel()))
        told, sent = contracts.decode_envelope(octets["envelope"]), made.envelope()
        self.assertEqual(
            (told.ask.transfer.path, told.ask.transfer.command, told.ask.left),
            (sent.ask.transfer.path, sent.ask.transfer.command, sent.ask.left),
        )

    def test_messages_and_records_are_read(self):
        self.check(recorded())

    def test_fields_of_a_later_version_are_passed_over(self):
        self.check({name: of_later(name, data) for name, data in recorded().items()})

    def test_files_are_read(self):
        self.assertEqual(
            endpoint_cache.read_cache(os.path.join(HERE, "list-1")),
            (made.REGISTERED_NODES, 12),
        )
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "register")
            shutil.copy(os.path.join(HERE, "register-1.sqlite"), path)
            store = AcceptorStore.open(path, 1)
            self.addCleanup(store.close)
            self.assertEqual(
                (store.read("v/c"), store.ballot_floor, store.identity),
                (made.LEASE_RECORD, 11, StateIdentity(1, 77, 1)),
            )
            self.assertEqual(store.known, {"gateway-2": made.IDENTITY})


class Later(unittest.TestCase):
    """Kinds and values that only a later version has: nothing else is lost by them."""

    def test_frames(self):
        frame = fleet_pb2.Frame.FromString(recorded()["frame ROWS"][4:])
        frame.version, frame.what, frame.kind = 2, 99, 99
        frame.row[0].standing = 77
        read = FrameCodec("fleet").decode(MAGIC + frame.SerializeToString())
        self.assertEqual(
            (read.type, read.kind, read.version, read.sender),
            (None, None, 2, made.SENDER),
        )
        self.assertEqual(read.updates, made.MEMBERS[1:])
        frame.least = 2
        with self.assertRaises(FrameVersionTooNewError):
            FrameCodec("fleet").decode(MAGIC + frame.SerializeToString())

    def test_numbers_that_could_not_be_answered_are_no_rows(self):
        codec = FrameCodec("fleet")
        for run, turn in (
            (1 << 63, 0),
            (MAX_COUNTER, 0),
            (1, (1 << 64) - 1),
            (1, MAX_COUNTER),
        ):
            with self.assertRaises(MalformedFrameError):
                codec.decode(
                    codec.encode(
                        FleetMessage(
                            FrameType.GOSSIP,
                            MemberUpdate("x", run, 1, turn, MemberState.ALIVE, "h:1"),
                        )
                    )
                )
        member = Membership(
            LocalIdentity("me", "h:1", 1, 5),
            MembershipConfig("fleet"),
            (),
            Random(1),
            0,
        )
        for row in (
            MemberUpdate("me", 1, 5, MAX_COUNTER - 1, MemberState.SUSPECT, "h:1"),
            MemberUpdate("me", MAX_COUNTER - 1, 6, 0, MemberState.ALIVE, "h:2"),
            MemberUpdate("other", 1, 7, 1, MemberState.GONE, "h:3", MAX_COUNTER - 1),
        ):
            news = codec.encode(
                FleetMessage(
                    FrameType.FULL_STATE,
                    MemberUpdate("other", 1, 7, 0, MemberState.ALIVE, "h:3"),
                    (row,),
                    reply_wanted=True,
                )
            )
            for each in member.on_message(1000, codec.decode(news)):
                if isinstance(each, SendMessage):
                    codec.encode(each.message)
            digest = FleetMessage(
                FrameType.DIGEST,
                MemberUpdate("other", 1, 7, 0, MemberState.ALIVE, "h:3"),
                digest=1,
            )
            sent = [
                each.message
                for each in member.on_message(2000, digest)
                if isinstance(each, SendMessage)
            ]
            self.assertIn(FrameType.FULL_STATE, [each.type for each in sent])
            for each in sent:
                codec.encode(each)

    def test_registers(self):
        self.assertIsNone(
            registers.decode_frame(
                b"R" + wire.Frame(version=2).SerializeToString() + LATER
            ).WhichOneof("what")
        )
        call = registers.encode_request(made.ACCEPTOR_REQUESTS[0])
        call.ask = 99
        self.assertIsNone(registers.decode_request("gateway-1", call))
        for field in ("ask", "say"):
            answer = registers.encode_reply(made.ACCEPTOR_REPLIES[0])
            setattr(answer, field, 99)
            self.assertIsNone(registers.decode_reply("gateway-1", answer))

    def test_health_and_contracts(self):
        frame = health_pb2.Frame(version=2)
        self.assertEqual(
            len(health.decode_frame(frame.SerializeToString() + LATER).difference), 0
        )
        for body in (b"X" + LATER, b"", b"C" + b"\xff"):
            self.assertIsNone(contracts.decode_envelope(body))
        later = contracts.decode_envelope(b"C" + LATER)
        self.assertFalse(later.HasField("ask") or later.HasField("reply"))
        self.assertEqual(MessageKind.HEALTH.value, 2)  # on the wire


class FleetOfTwoVersions(FleetSimulation):
    """A fleet of two versions.

    Gateways of the later one add fields to all that they say, and at times say what is
    not known.
    """

    def __init__(self, seed):
        self.later = set()
        super().__init__(seed, FleetShape(gateways=6, evaluators=2, nodes=4))

    def send(self, stand, sent):
        message = sent.message
        if stand.name in self.later:
            if message.type is FrameType.APPLICATION:
                name = "registers" if message.kind is MessageKind.CHANNEL else "health"
                message = replace(message, body=of_later(name, message.body))
            data = of_later("frame", FrameCodec("fleet", 2).encode(message))
            if self.message_count % 50 == 0:
                frame = fleet_pb2.Frame.FromString(data[4:])
                frame.what = 99
                super().send(
                    stand,
                    replace(
                        sent,
                        message=FrameCodec("fleet").decode(
                            MAGIC + frame.SerializeToString()
                        ),
                    ),
                )
        else:
            data = FrameCodec("fleet").encode(message)
        super().send(stand, replace(sent, message=FrameCodec("fleet").decode(data)))

    def restart(self, place, later):
        FleetFaults(self).leave(place, SECOND)
        (self.later.add if later else self.later.discard)(self.names[place])


class Rolling(unittest.TestCase):
    def test_a_third_at_a_time_and_back_half_way(self):
        with simulated_leases(3):
            simulation = FleetOfTwoVersions(2)
            steps = [
                (0, True),
                (1, True),
                (2, True),
                (3, True),
                (0, False),
                (1, False),
                (2, False),
                (3, False),
            ]
            for at, (place, later) in enumerate(steps):
                simulation.call_at(
                    (6 + at + at // 2) * SECOND, simulation.restart, place, later
                )
            run_until_failure(simulation, 45 * SECOND)
            simulation.check_calm()
            self.assertIsNone(simulation.failure)
            self.assertEqual(simulation.false_deaths, [])
            self.assertGreater(min(simulation.acknowledged.values()), 10)


if __name__ == "__main__":
    unittest.main()
