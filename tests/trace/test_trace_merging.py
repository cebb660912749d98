"""Tests merging traces: clock alignment, times on the command line, many files."""

import unittest

from click.testing import CliRunner

from milletsill.cli.main import main
from milletsill.trace.clock_alignment import TOLERATED_OFFSET, align_clocks
from milletsill.trace.merge import MAX_OPEN_FILES, merge_traces
from milletsill.trace.time_argument import InvalidTimeError, parse_time
from tests.trace.trace_builders import SECOND, TraceFiles, arrival, listing


class ClockAlignment(unittest.TestCase):
    def test_a_clock_that_is_seconds_off_is_corrected_by_shared_changes(self):
        changes = [
            {"a": 100, "b": 900},
            {"a": 120, "b": 940},
            {"a": 50_110, "b": 50_920},
        ]
        (first, _), (second, _), (third, uncertainty) = align_clocks([0, 0, 0], changes)
        self.assertEqual((first, second), (0, 0))
        self.assertAlmostEqual(third, -49_985, delta=30)
        self.assertLessEqual(uncertainty, 30)

    def test_an_offset_that_propagation_delay_explains_is_not_corrected(self):
        self.assertEqual(
            align_clocks([0, 0], [{"a": 0}, {"a": TOLERATED_OFFSET}]),
            [(0, TOLERATED_OFFSET // 2)] * 2,
        )

    def test_a_file_without_shared_changes_keeps_its_wall_clock(self):
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
            with self.assertRaises(InvalidTimeError, msg=each):
                parse_time(each, 0, 0)


class Merging(TraceFiles):
    def test_only_the_clock_that_is_seconds_off_is_corrected(self):
        changes = [
            (at, node, state)
            for at, node, state in (
                (10, 1, "ready"),
                (20_000, 1, "draining"),
                (60_000, 1, "ready"),
            )
        ]
        paths = [
            self.write_trace(
                name,
                [listing(at + offset, node, state) for at, node, state in changes]
                + [arrival(70_000 + offset, 1, name)],
            )
            for name, offset in (("a", 0), ("b", 30), ("c", 90_000))
        ]
        result = merge_traces(paths, self.path())
        self.assertEqual(
            [each.name for each in result.clocks if each.correction], ["c"]
        )
        times = [
            at
            for at, kind, _ in self.read_records(self.path())
            if kind.name == "arrival"
        ]
        self.assertLess(max(times) - min(times), 100)

    def test_more_files_than_may_be_open_are_merged_in_groups(self):
        paths = [
            self.write_trace(
                f"g{each:03d}", [arrival(at, at, f"s{each}") for at in range(3)]
            )
            for each in range(MAX_OPEN_FILES + 5)
        ]
        result = merge_traces(paths, self.path())
        records = self.read_records(self.path())
        self.assertEqual(result.records, 3 * len(paths))
        self.assertEqual(
            [record[0] for record in records], sorted(record[0] for record in records)
        )
        self.assertEqual(len({record[2][0] for record in records}), len(records))
        self.assertEqual(
            [record[2][3] for record in records[: len(paths)]],
            [f"s{each}" for each in range(len(paths))],
        )

    def test_an_invalid_clock_origin_is_an_error_of_one_line(self):
        path = self.write_trace("t", [arrival(1, 1, "a")], wall_ms="late")
        run = CliRunner().invoke(main, ["trace", "merge", self.path(), path])
        self.assertEqual((run.exit_code, run.output.count("\n")), (2, 1))


if __name__ == "__main__":
    unittest.main()
