"""The SFTP packet codec: decoding reverses encoding, malformed packets are rejected."""

import unittest

from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import CommandTerms, NodeReply, NodeRequest
from milletsill.sftp.framing import BrokenPacketStreamError, PacketSplitter
from milletsill.sftp.wire import DirectoryEntry, FileAttributes, MalformedPacketError

SAMPLES = [
    packets.Init(3),
    packets.Version(3, extensions.encode_offer()),
    packets.Open(1, "/a/\udcff", 26, FileAttributes(size=5, mode=0o644)),
    packets.Close(2, b"h"),
    packets.Read(3, b"h", 1 << 40, 9),
    packets.Write(4, b"h", 0, b"data"),
    packets.Lstat(5, "/a"),
    packets.Fstat(6, b"h"),
    packets.Setstat(7, "/a", FileAttributes(uid=1, gid=2)),
    packets.Fsetstat(8, b"h", FileAttributes(atime=1, mtime=2)),
    packets.Opendir(9, "/"),
    packets.Readdir(10, b"h"),
    packets.Remove(11, "/a"),
    packets.Mkdir(12, "/a", FileAttributes()),
    packets.Rmdir(13, "/a"),
    packets.Realpath(14, "."),
    packets.Stat(15, "/a"),
    packets.Rename(16, "/a", "/b"),
    packets.Readlink(17, "/a"),
    packets.Symlink(18, "/a", "7:b"),
    packets.Status(19, 4, "why", "en"),
    packets.Handle(20, b"h"),
    packets.Data(21, b"x" * 1000),
    packets.DirectoryEntries(
        22, (DirectoryEntry("a", "-rw a", FileAttributes(size=1)),)
    ),
    packets.AttributesReply(23, FileAttributes()),
    packets.Extended(24, "x@y", b"\0\1"),
    packets.ExtendedReply(25, b"z"),
]
NODE_REQUEST = NodeRequest(
    "edge",
    3,
    99,
    1,
    2.5,
    1 << 63,
    250,
    "t#1",
    4,
    2,
    "lot-read",
    "op1",
    packets.Read(0, b"/a", 0, 10),
)


class PacketCodec(unittest.TestCase):
    def test_decoding_reverses_encoding_for_every_packet(self):
        for packet in SAMPLES:
            self.assertEqual(
                packet_codec.decode(packet_codec.encode(packet)[4:]), packet
            )

    def test_a_truncated_packet_is_malformed_or_another_valid_packet(self):
        for packet in SAMPLES:
            data = packet_codec.encode(packet)[4:]
            for end in range(len(data)):
                try:
                    packet_codec.decode(data[:end])
                except MalformedPacketError as error:
                    self.assertNotIn("\n", str(error))

    def test_bytes_after_the_last_field_are_malformed(self):
        with self.assertRaises(MalformedPacketError):
            packet_codec.decode(packet_codec.encode(packets.Close(1, b"h"))[4:] + b"\0")

    def test_too_many_directory_entries_are_rejected_before_allocation(self):
        with self.assertRaises(MalformedPacketError):
            packet_codec.decode(b"\x68" + b"\0\0\0\1" + b"\xff\xff\xff\xff")

    def test_the_error_of_an_unknown_packet_type_has_the_packet_id(self):
        with self.assertRaises(packet_codec.UnknownPacketError) as caught:
            packet_codec.decode(b"\x63\0\0\0\7rest")
        self.assertEqual(caught.exception.id, 7)

    def test_decoding_reverses_encoding_of_commands_attempts_and_replies(self):
        encoded = extensions.encode_command(
            CommandTerms(1500, 2, "m"), packets.Stat(6, "/a")
        )
        self.assertEqual(
            extensions.decode_command(encoded),
            (CommandTerms(1500, 2, "m"), packets.Stat(6, "/a")),
        )
        self.assertEqual(
            extensions.decode_node_request(
                extensions.encode_node_request(8, NODE_REQUEST)
            ).idempotency_key,
            "t#1",
        )
        reply = NodeReply(
            extensions.NodeReplyStatus.DONE,
            "3",
            {"queue": 2.0, "busy": 0.5},
            12,
            7,
            packets.Data(9, b"x"),
        )
        self.assertEqual(
            extensions.decode_node_reply(extensions.encode_node_reply(9, reply)),
            reply,
        )

    def test_an_embedded_command_extension_is_rejected(self):
        embedded = extensions.encode_command(CommandTerms(), packets.Stat(1, "/a"))
        with self.assertRaises(MalformedPacketError):
            extensions.decode_command(
                extensions.encode_command(CommandTerms(), embedded)
            )


class PacketSplitting(unittest.TestCase):
    def test_single_bytes_give_the_same_packets(self):
        splitter, found = PacketSplitter(10_000), []
        for byte in b"".join(packet_codec.encode(each) for each in SAMPLES):
            splitter.feed(bytes((byte,)))
            while (body := splitter.next()) is not None:
                found.append(packet_codec.decode(body))
        self.assertEqual((found, splitter.buffered_bytes()), (SAMPLES, 0))

    def test_an_invalid_length_breaks_the_stream(self):
        for length in (0xFFFFFFFF, 10_001, 0):
            splitter = PacketSplitter(10_000)
            splitter.feed(length.to_bytes(4, "big"))
            with self.assertRaises(BrokenPacketStreamError):
                splitter.next()


if __name__ == "__main__":
    unittest.main()
