"""The file codec: bytes to packets and back, and what is refused."""

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
ORDER = NodeRequest(
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


class Codec(unittest.TestCase):
    def test_every_packet_comes_back_as_it_was(self):
        for packet in SAMPLES:
            self.assertEqual(
                packet_codec.decode(packet_codec.encode(packet)[4:]), packet
            )

    def test_a_packet_cut_anywhere_is_malformed_or_another_whole_one(self):
        for packet in SAMPLES:
            data = packet_codec.encode(packet)[4:]
            for end in range(len(data)):
                try:
                    packet_codec.decode(data[:end])
                except MalformedPacketError as error:
                    self.assertNotIn("\n", str(error))

    def test_bytes_left_over_are_malformed(self):
        with self.assertRaises(MalformedPacketError):
            packet_codec.decode(packet_codec.encode(packets.Close(1, b"h"))[4:] + b"\0")

    def test_a_count_of_names_past_the_bound_is_refused_before_memory_is_taken(self):
        with self.assertRaises(MalformedPacketError):
            packet_codec.decode(b"\x68" + b"\0\0\0\1" + b"\xff\xff\xff\xff")

    def test_an_unknown_kind_tells_its_id(self):
        with self.assertRaises(packet_codec.UnknownPacketError) as caught:
            packet_codec.decode(b"\x63\0\0\0\7rest")
        self.assertEqual(caught.exception.id, 7)

    def test_terms_and_orders_and_verdicts_come_back(self):
        wrapped = extensions.encode_command(
            CommandTerms(1500, 2, "m"), packets.Stat(6, "/a")
        )
        self.assertEqual(
            extensions.decode_command(wrapped),
            (CommandTerms(1500, 2, "m"), packets.Stat(6, "/a")),
        )
        self.assertEqual(
            extensions.decode_node_request(
                extensions.encode_node_request(8, ORDER)
            ).ticket,
            "t#1",
        )
        verdict = NodeReply(
            extensions.NodeReplyStatus.DONE,
            "3",
            {"queue": 2.0, "busy": 0.5},
            12,
            7,
            packets.Data(9, b"x"),
        )
        self.assertEqual(
            extensions.decode_node_reply(extensions.encode_node_reply(9, verdict)),
            verdict,
        )

    def test_a_command_within_a_command_within_a_command_is_refused(self):
        inner = extensions.encode_command(CommandTerms(), packets.Stat(1, "/a"))
        with self.assertRaises(MalformedPacketError):
            extensions.decode_command(extensions.encode_command(CommandTerms(), inner))


class Framing(unittest.TestCase):
    def test_one_byte_at_a_time_gives_the_same_packets(self):
        deframer, found = PacketSplitter(10_000), []
        for byte in b"".join(packet_codec.encode(each) for each in SAMPLES):
            deframer.feed(bytes((byte,)))
            while (body := deframer.next()) is not None:
                found.append(packet_codec.decode(body))
        self.assertEqual((found, deframer.waiting()), (SAMPLES, 0))

    def test_four_gibibytes_and_nothing_are_broken_at_once(self):
        for length in (0xFFFFFFFF, 10_001, 0):
            deframer = PacketSplitter(10_000)
            deframer.feed(length.to_bytes(4, "big"))
            with self.assertRaises(BrokenPacketStreamError):
                deframer.next()


if __name__ == "__main__":
    unittest.main()
