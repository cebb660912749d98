"""Which blocks tell of a volume: index and filters, and what hostile indexes do."""

import os
import unittest
from random import Random

import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.trace import file_format
from milletsill.trace.cut import cut_trace
from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.reader import FileState, TraceReader
from milletsill.trace.record_filter import RecordFilter
from milletsill.trace.records import BLOCK_HEADER
from milletsill.trace.repair import repair, verify
from milletsill.trace.volume_index import (
    MAX_INDEXED_VOLUMES,
    MAX_TRACKED_REQUESTS,
    VolumeIndexBuilder,
)
from tests.trace.trace_builders import SECOND, TraceFiles, arrival, outcome


class VolumeIndex(TraceFiles):
    def test_later_records_of_a_transfer_count_for_its_store(self):
        path = self.trace(
            "t",
            [arrival(1, 1, "a"), arrival(2, 2, "b")],
            [outcome(9, 1, 4)],
            [outcome(10, 2, 4)],
        )
        with TraceReader(path) as trace:
            self.assertEqual(trace.contents.volume_blocks, {"a": [0, 1], "b": [0, 2]})
            self.assertEqual(
                [each.record_count for each in trace.blocks_for_volume("a")], [2, 1]
            )
            self.assertEqual(trace.blocks_for_volume("nobody"), [])

    def test_without_the_index_the_filters_tell_the_same(self):
        path = self.trace(
            "t",
            [arrival(1, 1, "a"), arrival(2, 2, "b")],
            [outcome(9, 1, 4)],
            [outcome(10, 2, 4)],
        )
        with open(path, "r+b") as sink:
            sink.truncate(os.path.getsize(path) - 5)
        with TraceReader(path) as trace:
            self.assertIsNone(trace.contents.volume_blocks)
            self.assertEqual(
                [each.record_count for each in trace.blocks_for_volume("a")], [2, 1]
            )

    def test_a_store_that_appears_once_is_found_by_reading_little(self):
        chance = Random(4)
        blocks = [
            [
                arrival(
                    block * SECOND + n,
                    block * 100 + n,
                    f"s{n % 9}",
                    path=f"/{chance.random()}",
                )
                for n in range(100)
            ]
            for block in range(200)
        ]
        blocks[77].append(arrival(77 * SECOND + 100, 999_999, "rare"))
        path = self.trace("t", *blocks)
        made = cut_trace(path, self.out(), RecordFilter(volume="rare"))
        self.assertEqual(made.records, 1)
        self.assertLess(made.bytes_read, os.path.getsize(path) / 20)

    def test_a_repaired_file_has_the_index_made_anew(self):
        path = self.trace(
            "t", [arrival(1, 1, "a")], [arrival(2, 2, "b")], [outcome(9, 1, 4)]
        )
        with TraceReader(path) as trace:
            second = trace.contents.blocks[1]
        with open(path, "r+b") as sink:
            sink.seek(second.offset + BLOCK_HEADER.size + 3)
            sink.write(b"\xff\xff")
        repair(path, self.out())
        with TraceReader(self.out()) as trace:
            self.assertEqual(
                (trace.contents.volume_blocks, len(trace.contents.blocks)),
                ({"a": [0, 1]}, 2),
            )

    def test_too_many_stores_give_up_the_index_and_nothing_else(self):
        stores = VolumeIndexBuilder()
        stores.add_block(
            [arrival(1, each, f"s{each}") for each in range(MAX_INDEXED_VOLUMES + 1)]
        )
        self.assertIsNone(stores.blocks)
        self.assertEqual(file_format.encode_volume_index(stores.blocks), b"")
        self.assertLessEqual(len(stores.request_volumes), MAX_TRACKED_REQUESTS)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_a_hostile_index_is_one_line(self, body):
        import zlib

        packed = zstandard.ZstdCompressor().compress(body)
        data = (
            file_format.SECTION_HEADER.pack(
                file_format.VOLUMES_MAGIC, len(packed), zlib.crc32(packed)
            )
            + packed
        )
        try:
            file_format.decode_volume_index(data)
        except MalformedTraceError as error:
            self.assertNotIn("\n", str(error))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.data())
    def test_any_byte_of_a_file_changed_reads_up_to_there_or_says_so(self, data):
        self.made = getattr(self, "made", 0) + 1
        if self.made == 1:
            with open(
                self.trace("whole", [arrival(1, 1, "a")] * 20, [outcome(9, 1, 4)] * 20),
                "rb",
            ) as source:
                self.whole = source.read()
        held, path = bytearray(self.whole), self.out(f"t{self.made}")
        at = data.draw(st.integers(0, len(held) - 1))
        held[at] ^= 1 << data.draw(st.integers(0, 7))
        with open(path, "wb") as sink:
            sink.write(held)
        try:
            found = verify(path)
            cut_trace(path, path + ".cut", RecordFilter(volume="a"))
        except MalformedTraceError as error:
            self.assertNotIn("\n", str(error))
        else:
            self.assertTrue(
                found.state is not FileState.WHOLE
                or len(found.blocks) == 2
                or found.damage
            )


if __name__ == "__main__":
    unittest.main()
