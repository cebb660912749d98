"""Reading traces.

Round trips, every cut of a small file, flipped bits, hostile files.
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
    rows,
    whole,
)

INTS = st.integers(-(1 << 63), (1 << 63) - 1)


class Columns(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(INTS), st.sampled_from((1, 2)))
    def test_numbers_come_back(self, values, coding):
        data = columns.encode_column(values, coding)
        self.assertEqual(columns.decode_column(data, 0), (values, len(data)))

    def test_numbers_past_the_signed_range_come_back(self):
        values = [(1 << 64) - 1, 0, 1 << 63]
        self.assertEqual(
            columns.decode_column(columns.encode_column(values, 2), 0)[0], values
        )

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.text(st.characters(codec="utf-8"), max_size=50)))
    def test_texts_come_back(self, values):
        self.assertEqual(
            columns.decode_column(columns.encode_column(values, TEXT), 0)[0], values
        )

    def test_floats_come_back_bit_for_bit(self):
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

    def test_neighbours_cost_a_byte(self):
        self.assertLess(
            len(columns.encode_column(list(range(10**9, 10**9 + 1000)), 1)), 1100
        )

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=80))
    def test_any_bytes_are_a_column_or_refused(self, data):
        try:
            columns.decode_column(data, 0)
        except columns.MalformedColumnError as error:
            self.assertNotIn("\n", str(error))


class Reading(TraceBytes):
    def test_a_whole_file_comes_back_and_tells_who_wrote_it(self):
        one, two = rows(), rows(40, 10_000)
        found, known = self.read(whole(one, two)[0])
        self.assertEqual(
            (found, known.header["seed"], known.state, known.damage),
            (one + two, 5, FileState.WHOLE, []),
        )

    def test_every_kind_of_record_comes_back(self):
        held = [
            (
                each,
                kind,
                tuple(
                    {1: 5, 2: -7, 3: 0.5, 4: "x"}[coding] for _, coding in kind.fields
                ),
            )
            for each, kind in enumerate(KINDS)
        ]
        self.assertEqual(self.read(whole(held)[0])[0], held)

    def test_a_file_cut_at_every_byte_reads_up_to_the_break(self):
        blocks = [rows(3, each * 1000) for each in range(3)]
        data, ends = whole(*blocks)
        header = file_format.header_size(data[: file_format.FILE_HEADER.size])
        for cut in range(len(data)):
            if cut < header:
                with self.assertRaises(MalformedTraceError):
                    self.read(data[:cut])
                continue
            found, known = self.read(data[:cut])
            there = sum(end <= cut for end in ends)
            self.assertEqual(
                found, [row for each in blocks[:there] for row in each], cut
            )
            self.assertEqual(
                known.state,
                FileState.OPEN if cut in [header] + ends else FileState.BROKEN,
                cut,
            )

    def test_a_flipped_bit_costs_its_block_and_no_other(self):
        blocks = [rows(5, each * 1000) for each in range(3)]
        data, ends = whole(*blocks)
        start = ends[0]
        for at in range(start, ends[1], 11):
            bad = bytearray(data)
            bad[at] ^= 4
            found, known = self.read(bytes(bad))
            self.assertEqual((found, len(known.damage)), (blocks[0] + blocks[2], 1), at)

    def test_a_zeroed_page_in_the_middle_is_passed_over(self):
        blocks = [rows(5, each * 1000) for each in range(4)]
        data, ends = whole(*blocks)
        bad = (
            data[: ends[0] + 9]
            + bytes(ends[2] - ends[0] - 20)
            + data[ends[2] - 11 : ends[3]]
        )
        found, known = self.read(bad)
        self.assertEqual(
            (found, known.state), (blocks[0] + blocks[3], FileState.BROKEN)
        )

    def test_a_time_range_reads_only_its_blocks(self):
        blocks = [rows(50, each * 1000) for each in range(20)]
        data, _ = whole(*blocks)
        found, known = self.read(data, since=7000, until=7100)
        self.assertEqual(found, [row for row in blocks[7] if row[0] < 7100])
        self.assertLess(known.bytes_read, len(data) / 4)
        self.assertEqual(self.read(data, since=7900, until=7990)[0], [])

    def test_a_store_that_appears_once_is_found_by_its_blocks_filter(self):
        blocks = [rows(50, each * 1000, "common") for each in range(19)] + [
            rows(1, 99_000, "rare")
        ]
        found, known = self.read(whole(*blocks)[0], volume="rare0")
        self.assertIn("rare0", [row[2][3] for row in found if row[1].name == "arrival"])
        self.assertLess(len(found), 500)

    def test_a_newer_minor_version_with_unknown_kinds_and_fields_is_read(self):
        block = rows(2)
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

    def test_another_major_version_is_refused_in_one_line(self):
        data = bytearray(whole(rows(1))[0])
        data[8] = 2
        with self.assertRaises(MalformedTraceError) as caught:
            self.read(bytes(data))
        self.assertIn("format 2.", str(caught.exception))

    def test_a_bomb_and_lengths_that_lie_take_no_memory(self):
        body = zstandard.ZstdCompressor().compress(bytes(1 << 28))
        head = BLOCK_HEADER.pack(
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
            head[:-4] + __import__("zlib").crc32(head[:-4]).to_bytes(4, "little") + body
        )
        found, known = self.read(file_format.encode_header({}) + block)
        self.assertEqual(
            (found, "more than 1000 bytes" in known.damage[0].reason), ([], True)
        )

    def test_repair_keeps_whole_blocks_byte_for_byte(self):
        blocks = [rows(5, each * 1000) for each in range(3)]
        data, ends = whole(*blocks)
        path, out = self.file(data[: ends[1] + 30]), os.path.join(self.folder, "mended")
        found = repair(path, out)
        with open(out, "rb") as source:
            self.assertTrue(source.read().startswith(data[: ends[1]]))
        self.assertEqual(
            (len(found.damage), verify(out).state, len(verify(out).blocks)),
            (1, FileState.WHOLE, 2),
        )
        with self.assertRaises(FileExistsError):
            repair(path, out)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.integers(0, 1 << 20), st.binary(min_size=1, max_size=30))
    def test_any_damage_reads_or_is_refused_with_one_line(self, at, noise):
        data, _ = whole(rows(4), rows(4, 1000))
        at %= len(data)
        try:
            self.read(data[:at] + noise + data[at + len(noise) :])
        except MalformedTraceError as error:
            self.assertNotIn("\n", str(error))


if __name__ == "__main__":
    unittest.main()
