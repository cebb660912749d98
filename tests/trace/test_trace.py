"""Traces: round trips, every cut of a small file, flipped bits, hostile files, a failing disk, shedding."""

import os
import tempfile
import unittest
from dataclasses import replace

import zstandard
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.cli.main import main
from milletsill.trace import block_body, columns, file_format
from milletsill.trace.anonymise import anonymise_trace
from milletsill.trace.cut import cut_trace
from milletsill.trace.file_format import MalformedTrace
from milletsill.trace.merge import merge_traces
from milletsill.trace.reader import FileState, TraceReader, classify_file
from milletsill.trace.record_filter import RecordFilter
from milletsill.trace.recording_policy import (
    MAX_BLOCK_AGE,
    MAX_BLOCK_RECORDS,
    SMALL_BLOCK_AGE_FACTOR,
    SMALL_BLOCK_RECORDS,
    WriterEffect,
    WriterEvent,
    WriterState,
    block_is_due,
    file_is_due,
    files_to_delete,
    next_state,
    queue_limit,
    retry_delay,
)
from milletsill.trace.records import BLOCK_HEADER, BY_NAME, FLOAT, KINDS, TEXT
from milletsill.trace.repair import repair, verify
from milletsill.trace.summary import summarise_trace
from milletsill.trace.writer import TraceWriter, TraceWriterSettings

INTS = st.integers(-(1 << 63), (1 << 63) - 1)


def rows(count=60, start=0, store="s"):
    made = []
    for each in range(count):
        at = start + each * 7
        made += [
            (
                at,
                BY_NAME["arrival"],
                (
                    each,
                    (1 << 63) + each,
                    1,
                    f"{store}{each % 3}",
                    2,
                    0,
                    0,
                    0,
                    1,
                    -1,
                    2.5,
                    at + 15_000,
                    f"/v/{each}\udcff",
                ),
            ),
            (at, BY_NAME["settled"], ()),
            (at + 3, BY_NAME["satisfied"], (each, 3)),
        ]
    return made


def whole(*blocks):
    """A file's bytes, and where its blocks end."""
    data, heads, ends = file_format.encode_header({"name": "g", "seed": 5}), [], []
    for each in blocks:
        block = file_format.encode_block(each)
        heads.append(file_format.decode_block_header(block, len(data)))
        data += block
        ends.append(len(data))
    return data + file_format.encode_footer(heads, len(data)), ends


class Files(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def file(self, data, name="t.mtrace"):
        path = os.path.join(self.folder, name)
        with open(path, "wb") as sink:
            sink.write(data)
        return path

    def read(self, data, **given_range):
        with TraceReader(self.file(data)) as trace:
            return list(trace.records(**given_range)), trace.contents


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
        except columns.MalformedColumn as error:
            self.assertNotIn("\n", str(error))


class Reading(Files):
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
                with self.assertRaises(MalformedTrace):
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
        with self.assertRaises(MalformedTrace) as caught:
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
        except MalformedTrace as error:
            self.assertNotIn("\n", str(error))


class Tools(Files):
    def out(self, name):
        return os.path.join(self.folder, name)

    def rows_of(self, path):
        with TraceReader(path) as trace:
            return list(trace.records())

    def test_a_cut_by_store_keeps_all_of_its_transfers_and_nothing_else(self):
        path = self.file(whole(rows(20), rows(20, 1000))[0])
        cut_trace(path, self.out("c"), RecordFilter(volume="s1"))
        found = self.rows_of(self.out("c"))
        self.assertEqual(
            {row[2][3] for row in found if row[1].name == "arrival"}, {"s1"}
        )
        self.assertEqual(
            {row[2][0] for row in found if row[1].name == "satisfied"},
            {row[2][0] for row in found if row[1].name == "arrival"},
        )
        nobody = RecordFilter(volume="nobody")
        self.assertEqual(cut_trace(path, self.out("none"), nobody).records, 0)

    def test_a_merge_sets_clocks_that_disagree_and_keeps_equal_times_in_order(self):
        paths = []
        for name, opened, wall in (
            ("a", 0, 10_000),
            ("b", 50_000, 15_000),
            ("c", 0, 10_000),
        ):
            data = file_format.encode_header(
                {"name": name, "opened": opened, "wall_ms": wall}
            )
            start = opened  # all three at the same wall time
            block = file_format.encode_block(
                [
                    (start + each, BY_NAME["satisfied"], (each, ord(name)))
                    for each in range(3)
                ]
            )
            if name == "b":
                block = file_format.encode_block(
                    [
                        (start + each, BY_NAME["satisfied"], (each, 98))
                        for each in range(3)
                    ]
                )
            paths.append(self.file(data + block, name))
        merge_traces(paths, self.out("m"))
        found = self.rows_of(self.out("m"))
        self.assertEqual(
            [row[2][1] for row in found if row[1].name == "satisfied"],
            [97, 99, 97, 99, 97, 99, 98, 98, 98]
            if found[0][0] == found[1][0] and found[-1][0] > 2
            else [97, 98, 99] * 3,
        )
        self.assertEqual(len({row[2][0] for row in found}), 9)

    def test_anonymised_names_are_equal_under_one_key_and_differ_under_two(self):
        path = self.file(whole(rows(6))[0])
        for name, key in (("one", b"k" * 16), ("again", b"k" * 16), ("two", b"x" * 16)):
            anonymise_trace(path, self.out(name), key)
        one, again, two = (
            self.rows_of(self.out(each)) for each in ("one", "again", "two")
        )
        names = [
            {row[2][3] for row in each if row[1].name == "arrival"}
            for each in (one, two)
        ]
        self.assertEqual(
            (one == again, names[0] & names[1], len(names[0])), (True, set(), 3)
        )
        with open(self.out("one"), "rb") as source:
            self.assertNotIn(b"s1", source.read())

    def test_a_summary_counts_what_is_there_and_what_is_not(self):
        data, ends = whole(rows(20), rows(20, 1000))
        found = summarise_trace(self.file(data[: ends[0] + 40]))
        self.assertEqual(
            (found["records"], found["finals"], found["state"], len(found["breaks"])),
            (60, {"satisfied": 20}, "broken", 1),
        )

    def test_the_command_line_gives_one_line_for_what_is_no_trace(self):
        path = self.file(b"nonsense")
        for words in (
            ("info", path),
            ("cat", path),
            ("verify", path),
            ("cut", path, self.out("o")),
            ("merge", self.out("o"), path),
            ("info", self.out("missing")),
        ):
            made = CliRunner().invoke(main, ["trace", *words])
            self.assertEqual(
                (made.exit_code, made.output.count("\n"), "Traceback" in made.output),
                (2, 1, False),
                words,
            )


class Decided(unittest.TestCase):
    def test_a_disk_that_refuses_is_left_alone_and_tried_again(self):
        self.assertEqual(
            [
                next_state(*each)
                for each in (
                    (WriterState.WRITING, WriterEvent.WRITE_FAILED),
                    (WriterState.SUSPENDED, WriterEvent.RETRY_DUE),
                    (WriterState.SUSPENDED, WriterEvent.WRITE_FAILED),
                )
            ],
            [
                (WriterState.SUSPENDED, WriterEffect.ABANDON_FILE),
                (WriterState.WRITING, WriterEffect.OPEN_FILE),
                (WriterState.SUSPENDED, WriterEffect.NONE),
            ],
        )
        self.assertEqual(
            [retry_delay(each) for each in (0, 1, 99)], [10_000, 20_000, 3_000_000]
        )

    def test_the_least_needed_is_shed_first_and_answers_last(self):
        self.assertEqual(
            [
                queue_limit(each, 100) > 60
                for each in ("wake", "woken", "arrival", "declined")
            ],
            [False, True, True, True],
        )
        self.assertEqual(
            [
                queue_limit(each, 100) > 96
                for each in ("wake", "woken", "arrival", "declined")
            ],
            [False, False, False, True],
        )

    def test_blocks_and_files_end_by_size_and_age(self):
        self.assertEqual(
            [
                block_is_due(*each)
                for each in (
                    (MAX_BLOCK_RECORDS, 0, 0),
                    (SMALL_BLOCK_RECORDS, 0, MAX_BLOCK_AGE),
                    (0, 0, 9 * MAX_BLOCK_AGE),
                    (1, 0, MAX_BLOCK_AGE),
                    (1, 0, SMALL_BLOCK_AGE_FACTOR * MAX_BLOCK_AGE),
                )
            ],
            [True, True, False, False, True],
        )
        self.assertEqual(
            [
                file_is_due(*each)
                for each in ((10, 0, 1, 10, 99), (1, 0, 99, 10, 99), (1, 0, 1, 10, 99))
            ],
            [True, True, False],
        )

    def test_the_oldest_go_and_the_one_being_written_stays(self):
        self.assertEqual(
            files_to_delete([("a", 5), ("b", 5), ("c", 50)], 50), ["a", "b"]
        )

    def test_what_a_file_is(self):
        self.assertEqual(
            [
                classify_file(*each)
                for each in (
                    (5, 9, True, False),
                    (9, 9, False, False),
                    (5, 9, False, True),
                )
            ],
            [FileState.WHOLE, FileState.OPEN, FileState.BROKEN],
        )


class Writing(Files):
    def writer(self, folder=None, **given_bounds):
        self.said, self.now = [], 0
        settings = TraceWriterSettings(
            folder or self.folder, "g", sync="never", **given_bounds
        )
        return TraceWriter(settings, {"seed": 1}, lambda: self.now, self.said.append)

    def files(self):
        return sorted(
            each for each in os.listdir(self.folder) if each.endswith(".mtrace")
        )

    def test_what_is_put_is_read_and_a_stop_ends_the_file(self):
        writer = self.writer()
        writer.start()
        for each in range(100):
            writer.put("satisfied", each, each, 7)
        writer.stop()
        (name,) = self.files()
        with TraceReader(os.path.join(self.folder, name)) as trace:
            self.assertEqual(
                (len(list(trace.records())), trace.contents.state),
                (100, FileState.WHOLE),
            )

    def test_files_turn_over_by_size_and_the_oldest_go(self):
        writer = self.writer(max_file_bytes=2000, max_total_bytes=6000)
        writer.on_event(WriterEvent.START)
        for each in range(20):
            for number in range(200):
                writer.put(
                    "satisfied", each * 600_000, number * 7919 % 1009, number * 31 % 503
                )
            self.now = each * 600_000 + SMALL_BLOCK_AGE_FACTOR * MAX_BLOCK_AGE
            writer.poll()
        self.assertLess(
            sum(
                os.path.getsize(os.path.join(self.folder, each))
                for each in self.files()
            ),
            10_000,
        )
        self.assertGreater(writer.files_opened, len(self.files()))

    def test_a_full_disk_turns_tracing_off_with_one_line_and_on_again(self):
        writer = self.writer(folder="/dev/full/x")
        writer.on_event(WriterEvent.START)
        for _ in range(3):
            writer.put("satisfied", 5, 1, 1)
            self.now += 10**7
            writer.poll()
        self.assertEqual(
            (writer.state, len(self.said), writer.records_shed),
            (WriterState.SUSPENDED, 1, 3),
        )
        writer.settings = replace(writer.settings, folder=self.folder)
        self.now += 10**7
        writer.poll()
        writer.put("satisfied", 9, 2, 2)
        writer.stopping.set()
        writer.run()
        with TraceReader(os.path.join(self.folder, self.files()[0])) as trace:
            found = [(kind.name, values) for _, kind, values in trace.records()]
        self.assertEqual(found, [("gap", (34, 3, 5)), ("satisfied", (2, 2))])

    def test_a_full_hand_over_sheds_by_kind_and_says_so(self):
        writer = self.writer(max_queued=100)
        writer.on_event(WriterEvent.START)
        for each in range(200):
            writer.put("wake", each, each)
        for each in range(60):
            writer.put("declined", 300, each, 0)
        self.assertEqual(writer.records_shed, 150 + 10)
        writer.stopping.set()
        writer.run()
        with TraceReader(os.path.join(self.folder, self.files()[0])) as trace:
            gaps = [values for _, kind, values in trace.records() if kind.name == "gap"]
        self.assertEqual(sorted(gaps), [(17, 10, 300), (20, 150, 50)])

    def test_a_restart_never_appends_to_a_file_that_is_there(self):
        for _ in range(2):
            writer = self.writer()
            writer.start()
            writer.put("satisfied", 1, 1, 1)
            writer.stop()
        self.assertEqual(len(self.files()), 2)


if __name__ == "__main__":
    unittest.main()
