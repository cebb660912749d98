"""Tests the volume index and the block filters, also with malformed indexes."""

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
    def test_later_records_of_a_request_count_for_its_volume(self):
        path = self.write_trace(
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

    def test_without_the_index_the_filters_select_the_same_blocks(self):
        path = self.write_trace(
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

    def test_a_cut_by_a_rare_volume_reads_a_small_part_of_the_file(self):
        random = Random(4)
        blocks = [
            [
                arrival(
                    block * SECOND + number,
                    block * 100 + number,
                    f"s{number % 9}",
                    path=f"/{random.random()}",
                )
                for number in range(100)
            ]
            for block in range(200)
        ]
        blocks[77].append(arrival(77 * SECOND + 100, 999_999, "rare"))
        path = self.write_trace("t", *blocks)
        result = cut_trace(path, self.path(), RecordFilter(volume="rare"))
        self.assertEqual(result.records, 1)
        self.assertLess(result.bytes_read, os.path.getsize(path) / 20)

    def test_repair_rebuilds_the_volume_index(self):
        path = self.write_trace(
            "t", [arrival(1, 1, "a")], [arrival(2, 2, "b")], [outcome(9, 1, 4)]
        )
        with TraceReader(path) as trace:
            second = trace.contents.blocks[1]
        with open(path, "r+b") as sink:
            sink.seek(second.offset + BLOCK_HEADER.size + 3)
            sink.write(b"\xff\xff")
        repair(path, self.path())
        with TraceReader(self.path()) as trace:
            self.assertEqual(
                (trace.contents.volume_blocks, len(trace.contents.blocks)),
                ({"a": [0, 1]}, 2),
            )

    def test_more_volumes_than_the_limit_omit_only_the_index(self):
        builder = VolumeIndexBuilder()
        builder.add_block(
            [arrival(1, each, f"s{each}") for each in range(MAX_INDEXED_VOLUMES + 1)]
        )
        self.assertIsNone(builder.blocks)
        self.assertEqual(file_format.encode_volume_index(builder.blocks), b"")
        self.assertLessEqual(len(builder.request_volumes), MAX_TRACKED_REQUESTS)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_a_malformed_index_is_decoded_or_an_error_of_one_line(self, body):
        import zlib

        compressed = zstandard.ZstdCompressor().compress(body)
        data = (
            file_format.SECTION_HEADER.pack(
                file_format.VOLUMES_MAGIC, len(compressed), zlib.crc32(compressed)
            )
            + compressed
        )
        try:
            file_format.decode_volume_index(data)
        except MalformedTraceError as error:
            self.assertNotIn("\n", str(error))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.data())
    def test_a_changed_bit_is_detected_or_harmless(self, data):
        self.example_count = getattr(self, "example_count", 0) + 1
        if self.example_count == 1:
            with open(
                self.write_trace(
                    "whole", [arrival(1, 1, "a")] * 20, [outcome(9, 1, 4)] * 20
                ),
                "rb",
            ) as source:
                self.original = source.read()
        content, path = bytearray(self.original), self.path(f"t{self.example_count}")
        position = data.draw(st.integers(0, len(content) - 1))
        content[position] ^= 1 << data.draw(st.integers(0, 7))
        with open(path, "wb") as sink:
            sink.write(content)
        try:
            contents = verify(path)
            cut_trace(path, path + ".cut", RecordFilter(volume="a"))
        except MalformedTraceError as error:
            self.assertNotIn("\n", str(error))
        else:
            self.assertTrue(
                contents.state is not FileState.WHOLE
                or len(contents.blocks) == 2
                or contents.damage
            )


if __name__ == "__main__":
    unittest.main()
