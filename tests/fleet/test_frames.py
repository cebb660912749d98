"""Frames between gateways: recorded frames, malformed input, later versions."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from milletsill.errors import MilletsillError
from milletsill.fleet.errors import (
    FleetNameMismatchError,
    FrameTooLongError,
    FrameVersionTooNewError,
    MalformedFrameError,
)
from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.codec import MAGIC, MAX_FRAME, FrameCodec
from milletsill.fleet.frames.messages import FleetMessage, FrameType, MemberUpdate
from milletsill.fleet.frames.stream_framing import (
    LENGTH_PREFIX,
    FrameDecoder,
    add_length_prefix,
)
from milletsill.fleet.transport import MemberState, MessageKind
from tests.support.paths import FIXTURES

FIXTURE = str(FIXTURES / "fleet-1.hex")
ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
GONE = MemberState.GONE
LEFT = MemberState.LEFT
ME = MemberUpdate("gw-1", 7, 0xABCDEF, 2, ALIVE, "10.0.0.1:7700")
OTHER = MemberUpdate("gw-2", 3, 5, 1, SUSPECT, suspected_by=("gw-1", "gw-9"))
FRAMES = [
    FleetMessage(FrameType.PROBE, ME, (OTHER,), 4, "gw-2"),
    FleetMessage(FrameType.ACK, ME, (), 4, "gw-1"),
    FleetMessage(FrameType.INDIRECT_PROBE, ME, (), 0, "gw-2", "10.0.0.2:7700"),
    FleetMessage(FrameType.GOSSIP, ME, (OTHER, MemberUpdate("gw-3", 1, 9, 0, LEFT))),
    FleetMessage(FrameType.DIGEST, ME, digest=2**63 + 1),
    FleetMessage(
        FrameType.FULL_STATE,
        ME,
        (MemberUpdate("gw-3", 1, 9, 0, GONE, "10.0.0.3:7700", 55),),
        reply_wanted=True,
    ),
    FleetMessage(FrameType.APPLICATION, ME, kind=MessageKind.HEALTH, body=b"row"),
    FleetMessage(FrameType.DUPLICATE_NAME, ME),
]


class FrameOctets(unittest.TestCase):
    def test_recorded_frames_decode_and_encode_unchanged(self):
        """The encoding of this protocol version must not change."""
        codec = FrameCodec("dock")
        with open(FIXTURE, encoding="ascii") as source:
            recorded = [bytes.fromhex(each) for each in source.read().split()]
        self.assertEqual([codec.decode(each) for each in recorded], FRAMES)
        self.assertEqual([codec.encode(each) for each in FRAMES], recorded)

    def test_malformed_frames_raise_typed_errors(self):
        codec, data = FrameCodec("dock"), FrameCodec("dock").encode(FRAMES[0])
        newer = (
            MAGIC
            + fleet_pb2.Frame(version=9, least=9, fleet="dock").SerializeToString()
        )
        senderless = (
            MAGIC + fleet_pb2.Frame(version=1, fleet="dock", what=1).SerializeToString()
        )
        for error, octets in (
            (MalformedFrameError, b""),
            (MalformedFrameError, b"GET / HTTP/1.1"),
            (MalformedFrameError, MAGIC + b"\xff\xff"),
            (FrameVersionTooNewError, newer),
            (MalformedFrameError, senderless),
            (FleetNameMismatchError, FrameCodec("other").encode(FRAMES[0])),
            (FrameTooLongError, bytes(MAX_FRAME + 1)),
        ):
            with self.assertRaises(error) as caught:
                codec.decode(octets)
            self.assertTrue(
                isinstance(caught.exception, MilletsillError)
                and caught.exception.remedy
            )
        decoder = FrameDecoder()
        self.assertEqual(
            list(decoder.feed(add_length_prefix(data)[:9]))
            + list(decoder.feed(add_length_prefix(data)[9:] + add_length_prefix(data))),
            [data, data],
        )
        with self.assertRaises(FrameTooLongError):
            list(FrameDecoder().feed(LENGTH_PREFIX.pack(MAX_FRAME + 1)))
        with self.assertRaises(FrameTooLongError):
            codec.encode(
                FleetMessage(
                    FrameType.APPLICATION,
                    ME,
                    kind=MessageKind.HEALTH,
                    body=bytes(MAX_FRAME),
                )
            )

    def test_additions_of_a_later_version_are_ignored(self):
        frame = fleet_pb2.Frame.FromString(FrameCodec("dock", 2).encode(FRAMES[3])[4:])
        frame.what = 99
        frame.row.add(name="gw-4", run=1, standing=77)
        unknown_fields = b"\xfa\x3f\x03new" + b"\xf8\x42\x07"
        data = MAGIC + frame.SerializeToString() + unknown_fields
        decoded = FrameCodec("dock").decode(data)
        self.assertEqual(
            (decoded.type, decoded.version, decoded.sender, decoded.updates),
            (None, 2, ME, FRAMES[3].updates),
        )

    @given(st.binary(max_size=300), st.integers(0, 300), st.integers(0, 255))
    def test_any_octets_decode_or_raise_a_typed_error(self, octets, position, value):
        data = bytearray(FrameCodec("dock").encode(FRAMES[0]))
        data[position % len(data)] = value
        for each in (octets, MAGIC + octets, bytes(data)):
            try:
                FrameCodec("dock").decode(each)
            except (
                MalformedFrameError,
                FleetNameMismatchError,
                FrameVersionTooNewError,
            ):
                pass


if __name__ == "__main__":
    unittest.main()
