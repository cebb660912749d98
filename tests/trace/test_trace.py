"""Tests the reader of traces.

They cover round trips, a small file truncated at every byte, flipped bits, and files
with false sizes or arbitrary damage.
"""

import os
import unittest

import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.trace import block_body, columns, file_format
from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.reader import FileState
from milletsill.trace.records import BLOCK_HEADER, BY_NAME, FLOAT, KINDS, TEXT
from milletsill.trace.repair import repair, verify
from tests.trace.trace_builders import (
    TraceBytes,
    encode_file,
    sample_records,
)

INTS = st.integers(-(1 << 63), (1 << 63) - 1)


class Columns(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(INTS), st.sampled_from((1, 2)))
    def test_integers_round_trip(self, values, coding):
        data = columns.encode_column(values, coding)
        self.assertEqual(columns.decode_column(data, 0), (values, len(data)))

    def test_integers_beyond_the_signed_range_round_trip(self):
        values = [(1 << 64) - 1, 0, 1 << 63]
        self.assertEqual(
            columns.decode_column(columns.encode_column(values, 2), 0)[0], values
        )

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.text(st.characters(codec="utf-8"), max_size=50)))
    def test_texts_round_trip(self, values):
        self.assertEqual(
            columns.decode_column(columns.encode_column(values, TEXT), 0)[0], values
        )

    def test_floats_round_trip_bit_for_bit(self):
        values = [0.1, -0.0, 1e308, 5e-324]
        self.assertEqual(
            [
                each.hex()
                for each in columns.decode_column(
                    columns.encode_column(values, FLOAT), 0
                )[0]
            ],
            [v.hex() for v in values],
        )

    def test_consecutive_integers_take_about_a_byte_each(self):
        self.assertLess(
            len(columns.encode_column(list(range(10**9, 10**9 + 1000)), 1)), 1100
        )

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=80))
    def test_arbitrary_bytes_decode_or_are_an_error_of_one_line(self, data):
        try:
            columns.decode_column(data, 0)
        except columns.MalformedColumnError as error:
            self.assertNotIn("\n", str(error))


class Reading(TraceBytes):
    def test_a_whole_file_round_trips_with_its_header(self):
        first, second = sample_records(), sample_records(40, 10_000)
        records, contents = self.read(encode_file(first, second)[0])
        self.assertEqual(
            (records, contents.header["seed"], contents.state, contents.damage),
            (first + second, 5, FileState.WHOLE, []),
        )

    def test_every_kind_of_record_round_trips(self):
        records = [
            (
                time,
                kind,
                tuple(
                    {1: 5, 2: -7, 3: 0.5, 4: "x"}[coding] for _, coding in kind.fields
                ),
            )
            for time, kind in enumerate(KINDS)
        ]
        self.assertEqual(self.read(encode_file(records)[0])[0], records)

    def test_a_file_truncated_at_any_byte_reads_up_to_its_last_whole_block(self):
        blocks = [sample_records(3, each * 1000) for each in range(3)]
        data, ends = encode_file(*blocks)
        header = file_format.header_size(data[: file_format.FILE_HEADER.size])
        for cut in range(len(data)):
            if cut < header:
                with self.assertRaises(MalformedTraceError):
                    self.read(data[:cut])
                continue
            records, contents = self.read(data[:cut])
            whole_count = sum(end <= cut for end in ends)
            self.assertEqual(
                records,
                [record for each in blocks[:whole_count] for record in each],
                cut,
            )
            self.assertEqual(
                contents.state,
                FileState.OPEN if cut in [header] + ends else FileState.BROKEN,
                cut,
            )

    def test_a_flipped_bit_loses_only_its_own_block(self):
        blocks = [sample_records(5, each * 1000) for each in range(3)]
        data, ends = encode_file(*blocks)
        start = ends[0]
        for at in range(start, ends[1], 11):
            damaged = bytearray(data)
            damaged[at] ^= 4
            records, contents = self.read(bytes(damaged))
            self.assertEqual(
                (records, len(contents.damage)), (blocks[0] + blocks[2], 1), at
            )

    def test_a_zeroed_range_in_the_middle_is_skipped(self):
        blocks = [sample_records(5, each * 1000) for each in range(4)]
        data, ends = encode_file(*blocks)
        damaged = (
            data[: ends[0] + 9]
            + bytes(ends[2] - ends[0] - 20)
            + data[ends[2] - 11 : ends[3]]
        )
        records, contents = self.read(damaged)
        self.assertEqual(
            (records, contents.state), (blocks[0] + blocks[3], FileState.BROKEN)
        )

    def test_a_time_range_reads_only_its_blocks(self):
        blocks = [sample_records(50, each * 1000) for each in range(20)]
        data, _ = encode_file(*blocks)
        records, contents = self.read(data, since=7000, until=7100)
        self.assertEqual(records, [record for record in blocks[7] if record[0] < 7100])
        self.assertLess(contents.bytes_read, len(data) / 4)
        self.assertEqual(self.read(data, since=7900, until=7990)[0], [])

    def test_a_volume_that_appears_once_is_found_by_its_blocks_filter(self):
        blocks = [sample_records(50, each * 1000, "common") for each in range(19)] + [
            sample_records(1, 99_000, "rare")
        ]
        records, contents = self.read(encode_file(*blocks)[0], volume="rare0")
        self.assertIn(
            "rare0", [record[2][3] for record in records if record[1].name == "arrival"]
        )
        self.assertLess(len(records), 500)

    def test_a_newer_minor_version_with_unknown_kinds_and_fields_is_read(self):
        block = sample_records(2)
        raw = b"".join(
            (
                columns.encode_column([1, 99, 3], 2),
                columns.encode_column([5, 6, 7], 1),
                block_body.FIELD_HEADER.pack(99, 1) + columns.encode_column([1], 2),
                block_body.FIELD_HEADER.pack(3, 1) + columns.encode_column([8], 2),
                block_body.FIELD_HEADER.pack(3, 9)
                + columns.encode_column(["new"], TEXT),
            )
        )
        raw += b"".join(
            block_body.FIELD_HEADER.pack(1, place)
            + columns.encode_column([value], coding)
            for place, ((_, coding), value) in enumerate(
                zip(BY_NAME["arrival"].fields, block[0][2]), 1
            )
        )
        self.assertEqual(
            [(at, kind.name) for at, kind, _ in block_body.decode_body(raw, 3)],
            [(5, "arrival"), (7, "abandoned")],
        )

    def test_another_major_version_is_an_error(self):
        data = bytearray(encode_file(sample_records(1))[0])
        data[8] = 2
        with self.assertRaises(MalformedTraceError) as caught:
            self.read(bytes(data))
        self.assertIn("format 2.", str(caught.exception))

    def test_a_body_larger_than_its_header_claims_is_not_decompressed(self):
        # A decompression bomb with a false size must not allocate its real size.
        body = zstandard.ZstdCompressor().compress(bytes(1 << 28))
        header = BLOCK_HEADER.pack(
            file_format.BLOCK_MAGIC,
            len(body),
            1000,
            5,
            0,
            9,
            __import__("zlib").crc32(body),
            bytes(32),
            0,
        )
        block = (
            header[:-4]
            + __import__("zlib").crc32(header[:-4]).to_bytes(4, "little")
            + body
        )
        records, contents = self.read(file_format.encode_header({}) + block)
        self.assertEqual(
            (records, "more than 1000 bytes" in contents.damage[0].reason), ([], True)
        )

    def test_repair_keeps_undamaged_blocks_byte_for_byte(self):
        blocks = [sample_records(5, each * 1000) for each in range(3)]
        data, ends = encode_file(*blocks)
        path, out = self.file(data[: ends[1] + 30]), os.path.join(self.folder, "mended")
        contents = repair(path, out)
        with open(out, "rb") as source:
            self.assertTrue(source.read().startswith(data[: ends[1]]))
        self.assertEqual(
            (len(contents.damage), verify(out).state, len(verify(out).blocks)),
            (1, FileState.WHOLE, 2),
        )
        with self.assertRaises(FileExistsError):
            repair(path, out)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.integers(0, 1 << 20), st.binary(min_size=1, max_size=30))
    def test_arbitrary_damage_is_read_or_an_error_of_one_line(self, at, noise):
        data, _ = encode_file(sample_records(4), sample_records(4, 1000))
        at %= len(data)
        try:
            self.read(data[:at] + noise + data[at + len(noise) :])
        except MalformedTraceError as error:
            self.assertNotIn("\n", str(error))


if __name__ == "__main__":
    unittest.main()
