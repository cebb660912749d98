"""Encoding and decoding of messages about leases, and rejection of malformed ones."""

import unittest

from milletsill.fleet.errors import MalformedFrameError
from milletsill.fleet.leases import codec
from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor import LeaseRecord
from milletsill.fleet.leases.acceptor_recovery import SnapshotPage
from milletsill.fleet.leases.ballot import UNWRITTEN, Ballot, RecordVersion
from milletsill.fleet.leases.messages import (
    AcceptorReply,
    AcceptorRequest,
    ReplyStatus,
    RequestKind,
)

A = Ballot(5, "a", 1)
B = Ballot(6, "b", 2)


class LeaseCodecTests(unittest.TestCase):
    def test_encoded_messages_are_decoded_to_equal_ones(self):
        request = AcceptorRequest(RequestKind.ACCEPT, "depot/é", A, 7, b"v", True)
        self.assertEqual(
            codec.decode_request("a", codec.encode_request(request)), request
        )
        for reply in (
            AcceptorReply(
                RequestKind.PREPARE,
                "c",
                A,
                2,
                ReplyStatus.GRANTED,
                RecordVersion(B, 1),
                b"v",
                9,
                is_copied=True,
            ),
            AcceptorReply(
                RequestKind.ACCEPT,
                "c",
                A,
                2,
                ReplyStatus.LEASE_HELD,
                promised_round=4,
                retry_delay=7,
                holder="b",
            ),
            AcceptorReply(RequestKind.PREPARE, "c", A, 0, ReplyStatus.GRANTED),
        ):
            self.assertEqual(codec.decode_reply("a", codec.encode_reply(reply)), reply)
        page = SnapshotPage(
            (
                ("c", LeaseRecord(A, RecordVersion(A, 1), b"v", 0, True)),
                ("d", LeaseRecord(B, UNWRITTEN, b"", 0)),
            ),
            4,
            True,
        )
        self.assertEqual(
            codec.decode_page(
                wire.Page.FromString(codec.encode_page("", page).SerializeToString())
            ),
            page,
        )

    def test_malformed_messages_raise_malformed_frame_error(self):
        for body in (b"R\xff\xff", b"R" + b"x" * (1 << 20)):
            self.assertRaises(MalformedFrameError, codec.decode_frame, body)
        for call in (
            wire.Call(ask=1, channel="", round=1, nonce=1),
            wire.Call(ask=2, channel="c", round=1, nonce=1, value=b"x" * 20_000),
            wire.Call(ask=1, channel="c", round=1 << 62, nonce=1),
        ):
            self.assertRaises(MalformedFrameError, codec.decode_request, "a", call)
        self.assertIsNone(
            codec.decode_request("a", wire.Call(ask=9, channel="c", round=1, nonce=1))
        )  # a request kind of a later version


if __name__ == "__main__":
    unittest.main()
