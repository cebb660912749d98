"""Channels on the wire: bytes out and in again, what is malformed, tags and tickets."""

import unittest

from milletsill.sftp import channel_extensions, extensions, packets
from milletsill.sftp.channel_extensions import (
    Asked,
    Asking,
    Numbered,
    Opened,
    Opening,
    Saying,
    Sign,
)
from milletsill.sftp.extensions import Terms
from milletsill.sftp.wire import U32, U64, MalformedInput, put_raw, put_text


class Wire(unittest.TestCase):
    def test_out_and_in_again(self) -> None:
        for said in (
            Opening("/suva/x", "boat-7", "landing", 3, 900),
            Asking(b"h", 7),
            Saying(b"h", 7, channel_extensions.AGAIN),
        ):
            self.assertEqual(
                channel_extensions.read_channel(
                    channel_extensions.put_channel(4, said)
                ),
                said,
            )
        opened = Opened(b"h", 5, "landing", 3, 2, 900, 4, 64, 640, (898, 899))
        self.assertEqual(
            channel_extensions.read_opened(channel_extensions.put_opened(4, opened)),
            opened,
        )
        for asked in (
            Asked(channel_extensions.IS_OPEN, 9),
            Asked(
                channel_extensions.IS_SETTLED, 9, packets.Status(4, packets.OK, "done")
            ),
        ):
            self.assertEqual(
                channel_extensions.read_asked(channel_extensions.put_asked(4, asked)),
                asked,
            )
        numbered = Numbered(
            b"h", 8, 2, True, Terms(900, 1, "m"), packets.Write(4, b"f", 65, b"abc")
        )
        packet = packets.decode(
            packets.encode(channel_extensions.put_numbered(4, numbered))[4:]
        )
        self.assertEqual(channel_extensions.read_numbered(packet), numbered)

    def test_exact_bytes_of_an_open(self) -> None:
        body = (
            U32.pack(1)
            + put_text("/s")
            + put_text("c")
            + put_text("")
            + U32.pack(0)
            + U64.pack(0)
        )
        self.assertEqual(
            channel_extensions.put_channel(9, Opening("/s", "c")),
            packets.Extended(9, "channel@milletsill", body),
        )

    def test_malformed(self) -> None:
        handle = put_raw(b"h")
        for body in (
            b"",
            U32.pack(4),
            U32.pack(2) + handle + U64.pack(0),
            U32.pack(3) + handle + U64.pack(1) + U32.pack(4),
            U32.pack(2) + handle + U64.pack(1) + b"x",
            U32.pack(1)
            + put_text("/s")
            + put_text("a b")
            + put_text("")
            + U32.pack(0)
            + U64.pack(0),
        ):
            with self.assertRaises(MalformedInput):
                channel_extensions.read_channel(
                    packets.Extended(1, channel_extensions.CHANNEL, body)
                )
        with self.assertRaises(MalformedInput):
            channel_extensions.read_numbered(
                packets.Extended(
                    1,
                    channel_extensions.NUMBERED,
                    handle + U64.pack(1) + U64.pack(0) + U32.pack(2),
                )
            )

    def test_tags(self) -> None:
        for status, sign in (
            (
                channel_extensions.put_sign(1, "declined", "", 8, 125),
                Sign("declined", 13, 8),
            ),
            (
                channel_extensions.put_sign(1, "declined", "", None, 120),
                Sign("declined", 12),
            ),
            (channel_extensions.put_sign(1, "claim-lost", ""), Sign("claim-lost")),
            (
                channel_extensions.put_sign(1, "superseded", "", 9),
                Sign("superseded", None, 9),
            ),
        ):
            self.assertEqual(channel_extensions.read_sign(status.language), sign)
        self.assertIsNone(channel_extensions.read_sign("en"))

    def test_tickets(self) -> None:
        ticket = channel_extensions.put_ticket("suva", "boat@7", 41, 1) + "#HOME.0"
        self.assertEqual(
            channel_extensions.read_ticket(ticket),
            (0x8C5E85C2B9286DEE, "boat@7", 41, 1),
        )
        for other in ("3/mark#HOME.0", "gate.1.4#HOME.0", "", "3@boat#HOME.0"):
            self.assertIsNone(channel_extensions.read_ticket(other))

    def test_offered_only_where_kept(self) -> None:
        self.assertNotIn(
            channel_extensions.CHANNEL, extensions.offers(extensions.offered())
        )
        self.assertIn(
            channel_extensions.CHANNEL,
            extensions.offers(
                extensions.offered(
                    channel_extensions.CHANNEL, channel_extensions.NUMBERED
                )
            ),
        )
