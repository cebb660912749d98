"""The file codec: bytes to packets and back, and what is refused."""

import unittest

from milletsill.sftp import extensions, packets
from milletsill.sftp.extensions import Order, Terms, Verdict
from milletsill.sftp.framing import BrokenPacketStream, Deframer
from milletsill.sftp.wire import Attrs, MalformedPacket, Name

SAMPLES = [
    packets.Init(3),
    packets.Version(3, extensions.offered()),
    packets.Open(1, "/a/\udcff", 26, Attrs(size=5, mode=0o644)),
    packets.Close(2, b"h"),
    packets.Read(3, b"h", 1 << 40, 9),
    packets.Write(4, b"h", 0, b"data"),
    packets.Lstat(5, "/a"),
    packets.Fstat(6, b"h"),
    packets.Setstat(7, "/a", Attrs(uid=1, gid=2)),
    packets.Fsetstat(8, b"h", Attrs(atime=1, mtime=2)),
    packets.Opendir(9, "/"),
    packets.Readdir(10, b"h"),
    packets.Remove(11, "/a"),
    packets.Mkdir(12, "/a", Attrs()),
    packets.Rmdir(13, "/a"),
    packets.Realpath(14, "."),
    packets.Stat(15, "/a"),
    packets.Rename(16, "/a", "/b"),
    packets.Readlink(17, "/a"),
    packets.Symlink(18, "/a", "7:b"),
    packets.Status(19, 4, "why", "en"),
    packets.Handle(20, b"h"),
    packets.Data(21, b"x" * 1000),
    packets.Names(22, (Name("a", "-rw a", Attrs(size=1)),)),
    packets.AttrsAnswer(23, Attrs()),
    packets.Extended(24, "x@y", b"\0\1"),
    packets.ExtendedReply(25, b"z"),
]
ORDER = Order(
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
            self.assertEqual(packets.decode(packets.encode(packet)[4:]), packet)

    def test_a_packet_cut_anywhere_is_malformed_or_another_whole_one(self):
        for packet in SAMPLES:
            data = packets.encode(packet)[4:]
            for end in range(len(data)):
                try:
                    packets.decode(data[:end])
                except MalformedPacket as error:
                    self.assertNotIn("\n", str(error))

    def test_bytes_left_over_are_malformed(self):
        with self.assertRaises(MalformedPacket):
            packets.decode(packets.encode(packets.Close(1, b"h"))[4:] + b"\0")

    def test_a_count_of_names_past_the_bound_is_refused_before_memory_is_taken(self):
        with self.assertRaises(MalformedPacket):
            packets.decode(b"\x68" + b"\0\0\0\1" + b"\xff\xff\xff\xff")

    def test_an_unknown_kind_tells_its_id(self):
        with self.assertRaises(packets.UnknownPacket) as caught:
            packets.decode(b"\x63\0\0\0\7rest")
        self.assertEqual(caught.exception.id, 7)

    def test_terms_and_orders_and_verdicts_come_back(self):
        wrapped = extensions.put_terms(Terms(1500, 2, "m"), packets.Stat(6, "/a"))
        self.assertEqual(
            extensions.read_terms(wrapped), (Terms(1500, 2, "m"), packets.Stat(6, "/a"))
        )
        self.assertEqual(
            extensions.read_order(extensions.put_order(8, ORDER)).ticket, "t#1"
        )
        verdict = Verdict(
            extensions.DONE,
            "3",
            {"queue": 2.0, "busy": 0.5},
            12,
            7,
            packets.Data(9, b"x"),
        )
        self.assertEqual(
            extensions.read_verdict(extensions.put_verdict(9, verdict)), verdict
        )

    def test_a_command_within_a_command_within_a_command_is_refused(self):
        inner = extensions.put_terms(Terms(), packets.Stat(1, "/a"))
        with self.assertRaises(MalformedPacket):
            extensions.read_terms(extensions.put_terms(Terms(), inner))


class Framing(unittest.TestCase):
    def test_one_byte_at_a_time_gives_the_same_packets(self):
        deframer, found = Deframer(10_000), []
        for byte in b"".join(packets.encode(each) for each in SAMPLES):
            deframer.feed(bytes((byte,)))
            while (body := deframer.next()) is not None:
                found.append(packets.decode(body))
        self.assertEqual((found, deframer.waiting()), (SAMPLES, 0))

    def test_four_gibibytes_and_nothing_are_broken_at_once(self):
        for length in (0xFFFFFFFF, 10_001, 0):
            deframer = Deframer(10_000)
            deframer.feed(length.to_bytes(4, "big"))
            with self.assertRaises(BrokenPacketStream):
                deframer.next()


if __name__ == "__main__":
    unittest.main()
