"""Tests the tools on traces: cutting, merging, converting, anonymising, old versions."""

import csv
import glob
import io
import json
import os
import unittest

from click.testing import CliRunner

from milletsill.cli.main import main
from milletsill.lab.traced_wire_host import InstanceTraces, TracedInstance
from milletsill.trace import file_format
from milletsill.trace.anonymise import anonymise_trace
from milletsill.trace.convert import convert_trace
from milletsill.trace.cut import cut_trace
from milletsill.trace.merge import merge_traces
from milletsill.trace.reader import TraceReader
from milletsill.trace.record_filter import RecordFilter
from milletsill.trace.records import BY_NAME, KINDS
from milletsill.trace.summary import summarise_trace
from milletsill.wirehost.host import serve
from tests.fixtures.make_trace import put_all
from tests.support.paths import FIXTURES
from tests.trace.trace_builders import (
    TraceBytes,
    TraceFiles,
    arrival,
    command,
    dispatch,
    encode_file,
    outcome,
    sample_records,
)
from tests.wirehost.test_wirehost import BORN, frame


class Tools(TraceBytes):
    def path(self, name):
        return os.path.join(self.folder, name)

    def read_records(self, path):
        with TraceReader(path) as trace:
            return list(trace.records())

    def test_a_cut_by_volume_keeps_all_of_its_requests_and_no_others(self):
        path = self.file(encode_file(sample_records(20), sample_records(20, 1000))[0])
        cut_trace(path, self.path("c"), RecordFilter(volume="s1"))
        found = self.read_records(self.path("c"))
        self.assertEqual(
            {row[2][3] for row in found if row[1].name == "arrival"}, {"s1"}
        )
        self.assertEqual(
            {row[2][0] for row in found if row[1].name == "satisfied"},
            {row[2][0] for row in found if row[1].name == "arrival"},
        )
        nobody = RecordFilter(volume="nobody")
        self.assertEqual(cut_trace(path, self.path("none"), nobody).records, 0)

    def test_a_merge_aligns_clock_origins_and_orders_equal_times_by_file(self):
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
        merge_traces(paths, self.path("m"))
        found = self.read_records(self.path("m"))
        self.assertEqual(
            [row[2][1] for row in found if row[1].name == "satisfied"],
            [97, 99, 97, 99, 97, 99, 98, 98, 98]
            if found[0][0] == found[1][0] and found[-1][0] > 2
            else [97, 98, 99] * 3,
        )
        self.assertEqual(len({row[2][0] for row in found}), 9)

    def test_anonymised_names_are_equal_under_one_key_and_differ_under_another(self):
        path = self.file(encode_file(sample_records(6))[0])
        for name, key in (("one", b"k" * 16), ("again", b"k" * 16), ("two", b"x" * 16)):
            anonymise_trace(path, self.path(name), key)
        one, again, two = (
            self.read_records(self.path(each)) for each in ("one", "again", "two")
        )
        names = [
            {row[2][3] for row in each if row[1].name == "arrival"}
            for each in (one, two)
        ]
        self.assertEqual(
            (one == again, names[0] & names[1], len(names[0])), (True, set(), 3)
        )
        with open(self.path("one"), "rb") as source:
            self.assertNotIn(b"s1", source.read())

    def test_a_summary_counts_records_and_damaged_ranges(self):
        data, ends = encode_file(sample_records(20), sample_records(20, 1000))
        found = summarise_trace(self.file(data[: ends[0] + 40]))
        self.assertEqual(
            (found["records"], found["finals"], found["state"], len(found["breaks"])),
            (60, {"satisfied": 20}, "broken", 1),
        )

    def test_files_that_are_no_traces_are_errors_of_one_line(self):
        path = self.file(b"nonsense")
        for words in (
            ("info", path),
            ("cat", path),
            ("verify", path),
            ("cut", path, self.path("o")),
            ("merge", self.path("o"), path),
            ("info", self.path("missing")),
        ):
            run = CliRunner().invoke(main, ["trace", *words])
            self.assertEqual(
                (run.exit_code, run.output.count("\n"), "Traceback" in run.output),
                (2, 1, False),
                words,
            )


class Cutting(TraceFiles):
    def setUp(self):
        super().setUp()
        facts = {"categories": [{"name": "read"}, {"name": "write"}]}
        self.source_path = self.write_trace(
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

    def kept(self, **criteria):
        path = self.path(str(len(os.listdir(self.folder))))
        cut_trace(self.source_path, path, RecordFilter(**criteria))
        return [(record[1].name, record[2][0]) for record in self.read_records(path)]

    def test_by_request_class(self):
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

    def test_by_node_keeps_all_records_of_the_requests_sent_to_it(self):
        self.assertEqual(
            self.kept(node=8), [("arrival", 2), ("dispatch", 2), ("outcome", 2)]
        )

    def test_by_volume_class_and_node_together(self):
        self.assertEqual(
            self.kept(volume="b", request_class=1, node=7),
            [("arrival", 3), ("dispatch", 3), ("outcome", 3)],
        )
        self.assertEqual(self.kept(volume="b", request_class=0), [])

    def test_a_time_range_between_blocks_is_empty(self):
        path = self.write_trace("gap", [arrival(1, 1, "a")], [arrival(900, 2, "a")])
        between = RecordFilter(since=100, until=800)
        self.assertEqual(cut_trace(path, self.path(), between).records, 0)

    def test_request_class_names_and_times_on_the_command_line(self):
        run = CliRunner().invoke(
            main,
            [
                "trace",
                "cut",
                self.source_path,
                self.path("c"),
                "--category",
                "write",
                "--to",
                "+1s",
            ],
        )
        self.assertEqual(
            (run.exit_code, run.output.split(",")[0]),
            (0, f"{self.path('c')}: 7 records"),
        )
        run = CliRunner().invoke(
            main,
            ["trace", "cut", self.source_path, self.path("d"), "--category", "lend"],
        )
        self.assertEqual((run.exit_code, run.output.count("\n")), (2, 1))
        run = CliRunner().invoke(
            main, ["trace", "cut", self.source_path, self.path("e"), "--from", "soon"]
        )
        self.assertEqual((run.exit_code, run.output.count("\n")), (2, 1))


class Versions(TraceFiles):
    OLD = str(FIXTURES / "trace-1.0.mtrace")

    def test_a_trace_of_1_0_is_read_in_full(self):
        class RecordList:
            rows = []

            def put(self, name, at, *values):
                self.rows.append((at, BY_NAME[name], values))

        records = RecordList()
        put_all(records, [each for each in KINDS if each.number <= 34])
        self.assertEqual(self.read_records(self.OLD), records.rows)

    def test_a_cut_of_1_0_by_volume_keeps_later_records_of_its_requests(self):
        cut_trace(self.OLD, self.path(), RecordFilter(volume="store-3"))
        kinds = {row[1].name for row in self.read_records(self.path())}
        self.assertIn("outcome", kinds)

    def test_convert_writes_the_current_version_with_a_volume_index(self):
        convert_trace(self.OLD, self.path(), "mtrace")
        with TraceReader(self.path()) as trace, TraceReader(self.OLD) as old:
            self.assertEqual(
                (trace.contents.header["minor"], old.contents.header["minor"]),
                (file_format.MINOR_VERSION, 0),
            )
            self.assertEqual(list(trace.records()), list(old.records()))
            self.assertIsNotNone(trace.contents.volume_blocks)

    def test_csv_and_parquet_hold_the_same(self):
        import pyarrow.parquet

        path = self.write_trace(
            "t",
            [
                arrival(1, 1, "a", path="/\udcff"),
                outcome(2, 1, 4),
                (3, BY_NAME["settled"], ()),
            ],
        )
        convert_trace(path, self.path("c"), "csv")
        convert_trace(path, self.path("p"), "parquet")
        with open(self.path("c/outcome.csv"), encoding="utf-8", newline="") as source:
            rows = list(csv.DictReader(source))
        self.assertEqual(
            (rows[0]["at"], rows[0]["node"], rows[0]["outcome"]),
            ("2", "4", "satisfied"),
        )
        table = pyarrow.parquet.read_table(self.path("p/outcome.parquet")).to_pylist()
        self.assertEqual(
            (table[0]["at"], table[0]["node"], table[0]["outcome"]), (2, 4, "satisfied")
        )
        self.assertEqual(
            pyarrow.parquet.read_table(self.path("p/arrival.parquet")).to_pylist()[0][
                "path"
            ],
            "/\\xff",
        )
        self.assertEqual(
            sorted(os.listdir(self.path("p"))),
            ["arrival.parquet", "outcome.parquet", "settled.parquet"],
        )


class Anonymising(TraceFiles):
    def test_no_original_name_remains_in_the_file(self):
        facts = {
            "categories": [{"name": "night-export", "target_time": 5}],
            "plans": [{"usual_rate": 1.0}],
            "tick": 1,
        }
        path = self.write_trace(
            "gate-way",
            [
                arrival(1, 1, "fish-shop", path="/lagoon/log"),
                command(1, 3, "fish-shop", why="secret"),
            ],
            facts=facts,
            volumes=[["fish-shop", "premium-plan"]],
            plans=["premium-plan"],
        )
        anonymise_trace(path, self.path(), b"k" * 16)
        with open(self.path(), "rb") as source:
            data = source.read()
        found = (
            data
            + json.dumps([row[2] for row in self.read_records(self.path())]).encode()
        )
        with TraceReader(self.path()) as trace:
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


class RecordedInstances(TraceFiles):
    def test_a_traced_instance_answers_like_an_untraced_one_and_writes_a_trace(self):
        data = frame(1, 5, BORN, count=2)
        untraced, traced, traces = (
            io.BytesIO(),
            io.BytesIO(),
            InstanceTraces(self.folder),
        )
        serve(io.BytesIO(data), untraced)
        serve(io.BytesIO(data), traced, lambda number: TracedInstance(number, traces))
        traces.close()
        self.assertEqual(untraced.getvalue(), traced.getvalue())
        files = glob.glob(f"{self.folder}/*/*.mtrace")
        with TraceReader(files[0]) as trace:
            self.assertIn("settled", [kind.name for _, kind, _ in trace.records()])
            self.assertEqual((trace.contents.header["seed"], len(files)), (1, 1))


if __name__ == "__main__":
    unittest.main()
