"""The channel extensions: encoding, malformed packets, status tags and command keys."""

import unittest

from milletsill.sftp import (
    channel_extensions,
    channel_keys,
    extensions,
    packet_codec,
    packets,
    status_tags,
)
from milletsill.sftp.channel_extensions import (
    ChannelOpen,
    ChannelOpenReply,
    ChannelQuery,
    ChannelQueryReply,
    ChannelResolve,
    NumberedCommand,
)
from milletsill.sftp.extensions import CommandTerms
from milletsill.sftp.wire import (
    U32,
    U64,
    MalformedInputError,
    encode_bytes,
    encode_text,
)


class ChannelExtensions(unittest.TestCase):
    def test_decoding_reverses_encoding(self) -> None:
        for request in (
            ChannelOpen("/suva/x", "boat-7", "landing", 3, 900),
            ChannelQuery(b"h", 7),
            ChannelResolve(b"h", 7, channel_extensions.Resolution.NOT_DONE),
        ):
            self.assertEqual(
                channel_extensions.decode_channel_request(
                    channel_extensions.encode_channel_request(4, request)
                ),
                request,
            )
        open_reply = ChannelOpenReply(
            b"h", 5, "landing", 3, 2, 900, 4, 64, 640, (898, 899)
        )
        self.assertEqual(
            channel_extensions.decode_open_reply(
                channel_extensions.encode_open_reply(4, open_reply)
            ),
            open_reply,
        )
        for query_reply in (
            ChannelQueryReply(channel_extensions.NumberStatus.OPEN, 9),
            ChannelQueryReply(
                channel_extensions.NumberStatus.SETTLED,
                9,
                packets.Status(4, packets.OK, "done"),
            ),
        ):
            self.assertEqual(
                channel_extensions.decode_query_reply(
                    channel_extensions.encode_query_reply(4, query_reply)
                ),
                query_reply,
            )
        numbered = NumberedCommand(
            b"h",
            8,
            2,
            True,
            CommandTerms(900, 1, "m"),
            packets.Write(4, b"f", 65, b"abc"),
        )
        packet = packet_codec.decode(
            packet_codec.encode(channel_extensions.encode_numbered(4, numbered))[4:]
        )
        self.assertEqual(channel_extensions.decode_numbered(packet), numbered)

    def test_exact_bytes_of_an_open(self) -> None:
        body = (
            U32.pack(1)
            + encode_text("/s")
            + encode_text("c")
            + encode_text("")
            + U32.pack(0)
            + U64.pack(0)
        )
        self.assertEqual(
            channel_extensions.encode_channel_request(9, ChannelOpen("/s", "c")),
            packets.Extended(9, "channel@milletsill", body),
        )

    def test_malformed_packets_are_rejected(self) -> None:
        handle = encode_bytes(b"h")
        for body in (
            b"",
            U32.pack(4),
            U32.pack(2) + handle + U64.pack(0),
            U32.pack(3) + handle + U64.pack(1) + U32.pack(4),
            U32.pack(2) + handle + U64.pack(1) + b"x",
            U32.pack(1)
            + encode_text("/s")
            + encode_text("a b")
            + encode_text("")
            + U32.pack(0)
            + U64.pack(0),
        ):
            with self.assertRaises(MalformedInputError):
                channel_extensions.decode_channel_request(
                    packets.Extended(1, channel_extensions.CHANNEL, body)
                )
        with self.assertRaises(MalformedInputError):
            channel_extensions.decode_numbered(
                packets.Extended(
                    1,
                    channel_extensions.NUMBERED,
                    handle + U64.pack(1) + U64.pack(0) + U32.pack(2),
                )
            )

    def test_status_tags(self) -> None:
        for status, tag in (
            (
                status_tags.tagged_status(1, "declined", "", 8, 125),
                status_tags.StatusTag("declined", 13, 8),
            ),
            (
                status_tags.tagged_status(1, "declined", "", None, 120),
                status_tags.StatusTag("declined", 12),
            ),
            (
                status_tags.tagged_status(1, "claim-lost", ""),
                status_tags.StatusTag("claim-lost"),
            ),
            (
                status_tags.tagged_status(1, "superseded", "", 9),
                status_tags.StatusTag("superseded", None, 9),
            ),
        ):
            self.assertEqual(status_tags.parse_status_tag(status.language), tag)
        self.assertIsNone(status_tags.parse_status_tag("en"))

    def test_channel_keys(self) -> None:
        key = channel_keys.format_channel_key("suva", "boat@7", 41, 1) + "#HOME.0"
        self.assertEqual(
            channel_keys.parse_channel_key(key),
            (0x8C5E85C2B9286DEE, "boat@7", 41, 1),
        )
        for other in ("3/mark#HOME.0", "gate.1.4#HOME.0", "", "3@boat#HOME.0"):
            self.assertIsNone(channel_keys.parse_channel_key(other))

    def test_channels_are_offered_only_if_added(self) -> None:
        self.assertNotIn(
            channel_extensions.CHANNEL,
            extensions.decode_offer(extensions.encode_offer()),
        )
        self.assertIn(
            channel_extensions.CHANNEL,
            extensions.decode_offer(
                extensions.encode_offer(
                    channel_extensions.CHANNEL, channel_extensions.NUMBERED
                )
            ),
        )
