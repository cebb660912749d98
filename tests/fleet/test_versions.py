"""Compatibility between protocol versions.

Recorded messages and files of a version still decode, and fields, kinds and values that
a later version adds are ignored without losing the rest of the message.
"""

import json
import os
import shutil
import tempfile
import unittest
from dataclasses import replace
from random import Random

from milletsill.fleet.channels import codec as channel_codec
from milletsill.fleet.channels.record_pb2 import (
    Envelope,
)
from milletsill.fleet.channels.record_pb2 import (
    Record as RecordMessage,
)
from milletsill.fleet.errors import FrameVersionTooNewError, MalformedFrameError
from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.codec import MAGIC, MAX_COUNTER, FrameCodec
from milletsill.fleet.frames.messages import (
    FleetMessage,
    FrameType,
    MemberUpdate,
)
from milletsill.fleet.health import codec as health_codec
from milletsill.fleet.health import health_pb2
from milletsill.fleet.leases import codec as lease_codec
from milletsill.fleet.leases import registers_pb2
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
from tests.fixtures import make_octets as fixtures
from tests.support.paths import FIXTURES

FIXTURES_PATH = str(FIXTURES)
# Fields 1000 (octets) and 1001 (a number), which no message defines.
UNKNOWN_FIELDS = b"\xc2\x3e\x05later\xc8\x3e\x07"
MESSAGE_FORMATS = {
    "frame": (MAGIC, fleet_pb2.Frame),
    "registers": (b"R", registers_pb2.Frame),
    "health": (b"", health_pb2.Frame),
    "record": (b"", RecordMessage),
    "envelope": (b"C", Envelope),
}


def recorded_octets():
    with open(os.path.join(FIXTURES_PATH, "octets-1.json"), encoding="ascii") as source:
        return {name: bytes.fromhex(each) for name, each in json.load(source).items()}


def with_unknown_fields(name, data):
    """Add unknown fields to an encoded message and to all its nested messages."""
    prefix, message_type = MESSAGE_FORMATS[name.split()[0]]
    message_copy = message_type.FromString(data[len(prefix) :])

    def add(message):
        for field, value in message.ListFields():
            if field.message_type is not None:
                for each in value if field.label == field.LABEL_REPEATED else [value]:
                    add(each)
        message.MergeFromString(UNKNOWN_FIELDS)

    add(message_copy)
    return prefix + message_copy.SerializeToString()


def encode_record(channel):
    return channel_codec.encode_record(channel, 1000)


class RecordedOctets(unittest.TestCase):
    def assert_decoded_as_recorded(self, octets):
        codec = FrameCodec("fleet")
        for name, message in fixtures.frames().items():
            self.assertEqual(codec.decode(octets[f"frame {name}"]), message, name)
        calls = lease_codec.decode_frame(octets["registers calls"]).calls.call
        self.assertEqual(
            [lease_codec.decode_request("gateway-1", each) for each in calls],
            fixtures.ACCEPTOR_REQUESTS,
        )
        answers = lease_codec.decode_frame(octets["registers answers"]).answers
        self.assertEqual(
            [lease_codec.decode_reply("gateway-1", each) for each in answers.answer],
            fixtures.ACCEPTOR_REPLIES,
        )
        self.assertEqual(lease_codec.decode_identity(answers.own), fixtures.IDENTITY)
        self.assertEqual(
            lease_codec.decode_page(
                lease_codec.decode_frame(octets["registers page"]).page
            ),
            fixtures.SNAPSHOT_PAGE,
        )
        frame = health_codec.decode_frame(octets["health"])
        self.assertEqual(
            health_codec.decode_delta(frame.difference[0], 0), fixtures.REPORT_DELTA
        )
        self.assertEqual((frame.known[0].run, frame.known[0].sequence), (7, 5))
        found = channel_codec.decode_record(octets["record"], 100, 1000, 0)
        self.assertEqual(encode_record(found), encode_record(fixtures.channel()))
        decoded, expected = (
            channel_codec.decode_envelope(octets["envelope"]),
            fixtures.envelope(),
        )
        self.assertEqual(
            (decoded.ask.transfer.path, decoded.ask.transfer.command, decoded.ask.left),
            (
                expected.ask.transfer.path,
                expected.ask.transfer.command,
                expected.ask.left,
            ),
        )

    def test_recorded_messages_and_records_decode(self):
        self.assert_decoded_as_recorded(recorded_octets())

    def test_fields_of_a_later_version_are_ignored(self):
        self.assert_decoded_as_recorded(
            {
                name: with_unknown_fields(name, data)
                for name, data in recorded_octets().items()
            }
        )

    def test_recorded_files_are_read(self):
        self.assertEqual(
            endpoint_cache.read_cache(os.path.join(FIXTURES_PATH, "list-1")),
            (fixtures.REGISTERED_NODES, 12),
        )
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "register")
            shutil.copy(os.path.join(FIXTURES_PATH, "register-1.sqlite"), path)
            store = AcceptorStore.open(path, 1)
            self.addCleanup(store.close)
            self.assertEqual(
                (store.read("v/c"), store.ballot_floor, store.identity),
                (fixtures.LEASE_RECORD, 11, StateIdentity(1, 77, 1)),
            )
            self.assertEqual(store.known, {"gateway-2": fixtures.IDENTITY})


class LaterVersionValues(unittest.TestCase):
    """Kinds and values that only a later version defines affect nothing else."""

    def test_unknown_frame_values_are_ignored(self):
        frame = fleet_pb2.Frame.FromString(recorded_octets()["frame ROWS"][4:])
        frame.version, frame.what, frame.kind = 2, 99, 99
        frame.row[0].standing = 77
        read = FrameCodec("fleet").decode(MAGIC + frame.SerializeToString())
        self.assertEqual(
            (read.type, read.kind, read.version, read.sender),
            (None, None, 2, fixtures.SENDER),
        )
        self.assertEqual(read.updates, fixtures.MEMBERS[1:])
        frame.least = 2
        with self.assertRaises(FrameVersionTooNewError):
            FrameCodec("fleet").decode(MAGIC + frame.SerializeToString())

    def test_counters_are_accepted_only_below_the_limit(self):
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
        membership = Membership(
            LocalIdentity("me", "h:1", 1, 5),
            MembershipConfig("fleet"),
            (),
            Random(1),
            0,
        )
        for update in (
            MemberUpdate("me", 1, 5, MAX_COUNTER - 1, MemberState.SUSPECT, "h:1"),
            MemberUpdate("me", MAX_COUNTER - 1, 6, 0, MemberState.ALIVE, "h:2"),
            MemberUpdate("other", 1, 7, 1, MemberState.GONE, "h:3", MAX_COUNTER - 1),
        ):
            encoded = codec.encode(
                FleetMessage(
                    FrameType.FULL_STATE,
                    MemberUpdate("other", 1, 7, 0, MemberState.ALIVE, "h:3"),
                    (update,),
                    reply_wanted=True,
                )
            )
            for each in membership.on_message(1000, codec.decode(encoded)):
                if isinstance(each, SendMessage):
                    codec.encode(each.message)
            digest = FleetMessage(
                FrameType.DIGEST,
                MemberUpdate("other", 1, 7, 0, MemberState.ALIVE, "h:3"),
                digest=1,
            )
            sent = [
                each.message
                for each in membership.on_message(2000, digest)
                if isinstance(each, SendMessage)
            ]
            self.assertIn(FrameType.FULL_STATE, [each.type for each in sent])
            for each in sent:
                codec.encode(each)

    def test_unknown_lease_values_are_ignored(self):
        self.assertIsNone(
            lease_codec.decode_frame(
                b"R"
                + registers_pb2.Frame(version=2).SerializeToString()
                + UNKNOWN_FIELDS
            ).WhichOneof("what")
        )
        call = lease_codec.encode_request(fixtures.ACCEPTOR_REQUESTS[0])
        call.ask = 99
        self.assertIsNone(lease_codec.decode_request("gateway-1", call))
        for field in ("ask", "say"):
            answer = lease_codec.encode_reply(fixtures.ACCEPTOR_REPLIES[0])
            setattr(answer, field, 99)
            self.assertIsNone(lease_codec.decode_reply("gateway-1", answer))

    def test_unknown_health_and_channel_values_are_ignored(self):
        frame = health_pb2.Frame(version=2)
        self.assertEqual(
            len(
                health_codec.decode_frame(
                    frame.SerializeToString() + UNKNOWN_FIELDS
                ).difference
            ),
            0,
        )
        for body in (b"X" + UNKNOWN_FIELDS, b"", b"C" + b"\xff"):
            self.assertIsNone(channel_codec.decode_envelope(body))
        later = channel_codec.decode_envelope(b"C" + UNKNOWN_FIELDS)
        self.assertFalse(later.HasField("ask") or later.HasField("reply"))
        self.assertEqual(MessageKind.HEALTH.value, 2)  # on the wire


class MixedVersionFleet(FleetSimulation):
    """A fleet whose gateways run two protocol versions.

    Gateways of the later version add unknown fields to each message and sometimes send
    a frame of an unknown type.
    """

    def __init__(self, seed):
        self.upgraded = set()
        super().__init__(seed, FleetShape(gateways=6, evaluators=2, nodes=4))

    def send(self, stand, sent):
        message = sent.message
        if stand.name in self.upgraded:
            if message.type is FrameType.APPLICATION:
                name = "registers" if message.kind is MessageKind.CHANNEL else "health"
                message = replace(message, body=with_unknown_fields(name, message.body))
            data = with_unknown_fields("frame", FrameCodec("fleet", 2).encode(message))
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

    def restart(self, place, upgrade):
        FleetFaults(self).leave(place, SECOND)
        (self.upgraded.add if upgrade else self.upgraded.discard)(self.names[place])


class RollingUpgrade(unittest.TestCase):
    def test_a_rolling_upgrade_with_a_rollback_keeps_the_fleet_working(self):
        with simulated_leases(3):
            simulation = MixedVersionFleet(2)
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
            for at, (place, upgrade) in enumerate(steps):
                simulation.call_at(
                    (6 + at + at // 2) * SECOND, simulation.restart, place, upgrade
                )
            run_until_failure(simulation, 45 * SECOND)
            simulation.check_convergence()
            self.assertIsNone(simulation.failure)
            self.assertEqual(simulation.false_deaths, [])
            self.assertGreater(min(simulation.acknowledged.values()), 10)


if __name__ == "__main__":
    unittest.main()
