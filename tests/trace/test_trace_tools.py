"""Tools on traces: what is cut, merged, aligned, converted, reckoned; old versions; what hostile indexes do."""

import csv
import glob
import io
import json
import os
import tempfile
import unittest
from random import Random

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.cli.main import main
from milletsill.lab.wire import Kept, Recorded
from milletsill.trace import file_format
from milletsill.trace.anonymise import anonymise_trace
from milletsill.trace.clock_alignment import TOLERATED_OFFSET, align_clocks
from milletsill.trace.convert import convert_trace
from milletsill.trace.cut import cut_trace
from milletsill.trace.file_format import MalformedTrace
from milletsill.trace.merge import MAX_OPEN_FILES, merge_traces
from milletsill.trace.reader import FileState, TraceReader
from milletsill.trace.record_filter import RecordFilter
from milletsill.trace.records import BLOCK_HEADER, BY_NAME, KINDS
from milletsill.trace.repair import repair, verify
from milletsill.trace.time_argument import InvalidTime, parse_time
from milletsill.trace.trace_file import TraceFile
from milletsill.trace.volume_index import (
    MAX_INDEXED_VOLUMES,
    MAX_TRACKED_REQUESTS,
    VolumeIndexBuilder,
)
from milletsill.wirehost.host import serve
from tests.fixtures.make_trace import put_all
from tests.support.paths import FIXTURES
from tests.wirehost.test_wirehost import BORN, frame

SECOND = 10_000


def arrival(at, transfer, store, category=0, path="/p"):
    return (
        at,
        BY_NAME["arrival"],
        (transfer, 1, 1, store, 2, category, 0, 0, 0, -1, 1.0, at + 9000, path),
    )


def dispatch(at, transfer, node):
    return at, BY_NAME["dispatch"], (transfer, node, 500)


def outcome(at, transfer, node):
    return at, BY_NAME["outcome"], (transfer, 0, node, "satisfied", 1, 30, -1, 0, "")


def command(
    began, span, store, final="satisfied", category=0, plan=0, units=1.0, why=""
):
    return (
        began + span,
        BY_NAME["command"],
        (began, span, store, plan, category, "read", units, 1, 0, final, why),
    )


def listing(at, node, ready):
    return at, BY_NAME["listing"], (node, ready, 1.0, 0, 0, 0, 0, node)


class Decided(unittest.TestCase):
    def test_a_clock_that_is_seconds_off_is_set_by_the_news_that_it_shares(self):
        news = [{"a": 100, "b": 900}, {"a": 120, "b": 940}, {"a": 50_110, "b": 50_920}]
        (first, _), (second, _), (third, off) = align_clocks([0, 0, 0], news)
        self.assertEqual((first, second), (0, 0))
        self.assertAlmostEqual(third, -49_985, delta=30)
        self.assertLessEqual(off, 30)

    def test_what_the_news_own_way_explains_is_left_alone(self):
        self.assertEqual(
            align_clocks([0, 0], [{"a": 0}, {"a": TOLERATED_OFFSET}]),
            [(0, TOLERATED_OFFSET // 2)] * 2,
        )

    def test_a_file_that_shares_nothing_keeps_its_wall_clock_and_says_so(self):
        self.assertEqual(
            align_clocks([0, 5], [{"a": 0}, {"b": 7}]), [(0, None), (0, None)]
        )

    def test_two_of_three_clocks_outvote_the_third(self):
        corrected = align_clocks([0, 0, 70_000], [{"a": 1, "b": 2}] * 3)
        self.assertEqual(corrected, [(0, 0), (0, 0), (-70_000, 0)])

    def test_times_on_the_command_line(self):
        self.assertEqual(
            [
                parse_time(each, 500, 1_000_000)
                for each in ("7", "+2", "+2s", "+1.5m", "+1h", "1970-01-01T00:16:41")
            ],
            [7, 20_500, 20_500, 900_500, 36_000_500, 500 + SECOND],
        )
        for each in ("soon", "+", "+xs", "", "+1e999h", "2026-13-01"):
            with self.assertRaises(InvalidTime, msg=each):
                parse_time(each, 0, 0)


class Files(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def out(self, name="out"):
        return os.path.join(self.folder, name)

    def trace(self, name, *blocks, **about):
        sink = TraceFile(
            self.out(name),
            {"name": name, "seed": 1, "opened": 0, "wall_ms": 0, **about},
        )
        for block in blocks:
            for row in block:
                sink.append(row)
            sink.flush()
        sink.close()
        return self.out(name)

    def rows(self, path):
        with TraceReader(path) as trace:
            return list(trace.records())


class Index(Files):
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
                [each.record_count for each in trace.blocks_of("a")], [2, 1]
            )
            self.assertEqual(trace.blocks_of("nobody"), [])

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
                [each.record_count for each in trace.blocks_of("a")], [2, 1]
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

        import zstandard

        packed = zstandard.ZstdCompressor().compress(body)
        data = (
            file_format.SECTION_HEADER.pack(
                file_format.VOLUMES_MAGIC, len(packed), zlib.crc32(packed)
            )
            + packed
        )
        try:
            file_format.decode_volume_index(data)
        except MalformedTrace as error:
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
        except MalformedTrace as error:
            self.assertNotIn("\n", str(error))
        else:
            self.assertTrue(
                found.state is not FileState.WHOLE
                or len(found.blocks) == 2
                or found.damage
            )


class Cutting(Files):
    def setUp(self):
        super().setUp()
        facts = {"categories": [{"name": "read"}, {"name": "write"}]}
        self.path = self.trace(
            "t",
            [arrival(1, 1, "a", 0), arrival(2, 2, "a", 1), arrival(3, 3, "b", 1)],
            [
                dispatch(4, 1, 7),
                dispatch(5, 2, 8),
                dispatch(6, 3, 7),
                outcome(9, 1, 7),
                outcome(9, 2, 8),
                outcome(9, 3, 7),
                command(3, 6, "b", category=1),
            ],
            facts=facts,
        )

    def kept(self, **terms):
        out = self.out(str(len(os.listdir(self.folder))))
        cut_trace(self.path, out, RecordFilter(**terms))
        return [(row[1].name, row[2][0]) for row in self.rows(out)]

    def test_by_category(self):
        self.assertEqual(
            self.kept(request_class=1),
            [
                ("arrival", 2),
                ("arrival", 3),
                ("dispatch", 2),
                ("dispatch", 3),
                ("outcome", 2),
                ("outcome", 3),
                ("command", 3),
            ],
        )

    def test_by_box_all_records_of_the_transfers_that_it_saw(self):
        self.assertEqual(
            self.kept(node=8), [("arrival", 2), ("dispatch", 2), ("outcome", 2)]
        )

    def test_by_all_at_once(self):
        self.assertEqual(
            self.kept(volume="b", request_class=1, node=7),
            [("arrival", 3), ("dispatch", 3), ("outcome", 3)],
        )
        self.assertEqual(self.kept(volume="b", request_class=0), [])

    def test_a_range_between_blocks_holds_nothing(self):
        path = self.trace("gap", [arrival(1, 1, "a")], [arrival(900, 2, "a")])
        between = RecordFilter(since=100, until=800)
        self.assertEqual(cut_trace(path, self.out(), between).records, 0)

    def test_names_of_categories_on_the_command_line(self):
        run = CliRunner().invoke(
            main,
            [
                "trace",
                "cut",
                self.path,
                self.out("c"),
                "--category",
                "write",
                "--to",
                "+1s",
            ],
        )
        self.assertEqual(
            (run.exit_code, run.output.split(",")[0]),
            (0, f"{self.out('c')}: 7 records"),
        )
        run = CliRunner().invoke(
            main, ["trace", "cut", self.path, self.out("d"), "--category", "lend"]
        )
        self.assertEqual((run.exit_code, run.output.count("\n")), (2, 1))
        run = CliRunner().invoke(
            main, ["trace", "cut", self.path, self.out("e"), "--from", "soon"]
        )
        self.assertEqual((run.exit_code, run.output.count("\n")), (2, 1))


class Merging(Files):
    def test_clocks_that_disagree_by_seconds_are_set_and_the_rest_is_told(self):
        flips = [
            (at, node, state)
            for at, node, state in (
                (10, 1, "ready"),
                (20_000, 1, "draining"),
                (60_000, 1, "ready"),
            )
        ]
        paths = [
            self.trace(
                name,
                [listing(at + off, node, state) for at, node, state in flips]
                + [arrival(70_000 + off, 1, name)],
            )
            for name, off in (("a", 0), ("b", 30), ("c", 90_000))
        ]
        made = merge_traces(paths, self.out())
        self.assertEqual([each.name for each in made.clocks if each.correction], ["c"])
        times = [at for at, kind, _ in self.rows(self.out()) if kind.name == "arrival"]
        self.assertLess(max(times) - min(times), 100)

    def test_more_files_than_may_be_open(self):
        paths = [
            self.trace(f"g{each:03d}", [arrival(at, at, f"s{each}") for at in range(3)])
            for each in range(MAX_OPEN_FILES + 5)
        ]
        made = merge_traces(paths, self.out())
        rows = self.rows(self.out())
        self.assertEqual(made.records, 3 * len(paths))
        self.assertEqual([row[0] for row in rows], sorted(row[0] for row in rows))
        self.assertEqual(len({row[2][0] for row in rows}), len(rows))
        self.assertEqual(
            [row[2][3] for row in rows[: len(paths)]],
            [f"s{each}" for each in range(len(paths))],
        )

    def test_a_header_that_lies_about_its_clock_is_one_line(self):
        path = self.trace("t", [arrival(1, 1, "a")], wall_ms="late")
        run = CliRunner().invoke(main, ["trace", "merge", self.out(), path])
        self.assertEqual((run.exit_code, run.output.count("\n")), (2, 1))


class Versions(Files):
    OLD = str(FIXTURES / "trace-1.0.mtrace")

    def test_a_trace_of_1_0_is_read_in_full(self):
        class Held:
            rows = []

            def put(self, name, at, *values):
                self.rows.append((at, BY_NAME[name], values))

        held = Held()
        put_all(held, [each for each in KINDS if each.number <= 34])
        self.assertEqual(self.rows(self.OLD), held.rows)

    def test_a_cut_of_1_0_by_store_finds_later_records_too(self):
        cut_trace(self.OLD, self.out(), RecordFilter(volume="store-3"))
        kinds = {row[1].name for row in self.rows(self.out())}
        self.assertIn("outcome", kinds)

    def test_convert_brings_it_to_the_present_version(self):
        convert_trace(self.OLD, self.out(), "mtrace")
        with TraceReader(self.out()) as trace, TraceReader(self.OLD) as old:
            self.assertEqual(
                (trace.contents.header["minor"], old.contents.header["minor"]),
                (file_format.MINOR_VERSION, 0),
            )
            self.assertEqual(list(trace.records()), list(old.records()))
            self.assertIsNotNone(trace.contents.volume_blocks)

    def test_csv_and_parquet_hold_the_same(self):
        import pyarrow.parquet

        path = self.trace(
            "t",
            [
                arrival(1, 1, "a", path="/\udcff"),
                outcome(2, 1, 4),
                (3, BY_NAME["settled"], ()),
            ],
        )
        convert_trace(path, self.out("c"), "csv")
        convert_trace(path, self.out("p"), "parquet")
        with open(self.out("c/outcome.csv"), encoding="utf-8", newline="") as source:
            rows = list(csv.DictReader(source))
        self.assertEqual(
            (rows[0]["at"], rows[0]["node"], rows[0]["outcome"]),
            ("2", "4", "satisfied"),
        )
        table = pyarrow.parquet.read_table(self.out("p/outcome.parquet")).to_pylist()
        self.assertEqual(
            (table[0]["at"], table[0]["node"], table[0]["outcome"]), (2, 4, "satisfied")
        )
        self.assertEqual(
            pyarrow.parquet.read_table(self.out("p/arrival.parquet")).to_pylist()[0][
                "path"
            ],
            "/\\xff",
        )
        self.assertEqual(
            sorted(os.listdir(self.out("p"))),
            ["arrival.parquet", "outcome.parquet", "settled.parquet"],
        )


class Hiding(Files):
    def test_no_original_name_survives_in_any_byte(self):
        facts = {
            "categories": [{"name": "night-export", "target_time": 5}],
            "plans": [{"usual_rate": 1.0}],
            "tick": 1,
        }
        path = self.trace(
            "gate-way",
            [
                arrival(1, 1, "fish-shop", path="/lagoon/log"),
                command(1, 3, "fish-shop", why="secret"),
            ],
            facts=facts,
            volumes=[["fish-shop", "premium-plan"]],
            plans=["premium-plan"],
        )
        anonymise_trace(path, self.out(), b"k" * 16)
        with open(self.out(), "rb") as source:
            data = source.read()
        found = data + json.dumps([row[2] for row in self.rows(self.out())]).encode()
        with TraceReader(self.out()) as trace:
            found += json.dumps(
                [trace.contents.header, trace.contents.volume_blocks]
            ).encode()
        for name in (
            b"fish-shop",
            b"lagoon",
            b"night-export",
            b"premium-plan",
            b"gate-way",
            b"secret",
        ):
            self.assertNotIn(name, found)


class OnTheBenchsWire(Files):
    def test_a_recorded_instance_answers_as_a_bare_one_and_leaves_a_trace(self):
        data = frame(1, 5, BORN, count=2)
        bare, recorded, kept = io.BytesIO(), io.BytesIO(), Kept(self.folder)
        serve(io.BytesIO(data), bare)
        serve(io.BytesIO(data), recorded, lambda number: Recorded(number, kept))
        kept.close()
        self.assertEqual(bare.getvalue(), recorded.getvalue())
        files = glob.glob(f"{self.folder}/*/*.mtrace")
        with TraceReader(files[0]) as trace:
            self.assertIn("settled", [kind.name for _, kind, _ in trace.records()])
            self.assertEqual((trace.contents.header["seed"], len(files)), (1, 1))


if __name__ == "__main__":
    unittest.main()
