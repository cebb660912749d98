"""Tests the service report of traces, and trace writers under load.

The report must agree with the accounting of the same operations. Writers must share a
folder, prune it in bounded time, and leave readers of a growing file only whole blocks.
"""

import glob
import json
import os
import threading
import time
import unittest
from random import Random

from click.testing import CliRunner

from milletsill.cli.main import main
from milletsill.trace import file_format
from milletsill.trace.reader import FileState, TraceReader
from milletsill.trace.records import BLOCK_HEADER
from milletsill.trace.repair import verify
from milletsill.trace.service_accounting import (
    CompletedOperation,
    VolumeEntitlement,
    total_service,
)
from milletsill.trace.service_report import report_service
from milletsill.trace.service_terms import ClassTerms, ServiceTerms, encode_terms
from milletsill.trace.writer import TraceWriter, TraceWriterSettings
from tests.trace.trace_builders import (
    SECOND,
    TraceFiles,
    arrival,
    command,
)


class Service(TraceFiles):
    TERMS = ServiceTerms(
        [ClassTerms("read", 3000, 1.0, 0.25), ClassTerms("write", 5000, 2.0, 0.0)],
        [1.0, 3.0],
        {"a": 0, "b": 1},
        [VolumeEntitlement(2.0, 1.0), VolumeEntitlement(5.0, 2.0)],
        20.0,
        8.0,
        0.35,
        0.1,
    )

    def test_the_reported_service_equals_that_of_the_recorded_operations(self):
        random, operations, commands = Random(9), [], []
        for number in range(500):
            began, latency, category, plan = (
                number * 300,
                random.randrange(1, 8000),
                random.randrange(2),
                random.randrange(2),
            )
            answer, units, volume_index = (
                random.choice(("satisfied", "satisfied", "declined")),
                random.choice((1.0, 2.5)),
                number % 2,
            )
            terms = self.TERMS.classes[category]
            in_time = latency <= terms.target
            late = terms.late_utility
            credit = 0.0 if answer != "satisfied" else 1.0 if in_time else late
            operations.append(
                CompletedOperation(
                    began // SECOND,
                    volume_index,
                    terms.name,
                    units,
                    terms.utility * self.TERMS.prices[plan],
                    credit,
                    credit != 1.0,
                )
            )
            commands.append(
                command(
                    began, latency, "ab"[volume_index], answer, category, plan, units
                )
            )
        terms = self.TERMS
        expected = total_service(
            operations,
            terms.entitlements,
            terms.capacity,
            terms.largest_units,
            terms.share,
            terms.spare,
        )
        path = self.write_trace("t", commands, terms=encode_terms(terms))
        found = report_service(path, 10 * SECOND)
        self.assertEqual(
            found["service"],
            {name: counted / due for name, (counted, due) in expected.items()},
        )
        self.assertEqual(
            sum(window.get("declined", 0) for window in found["windows"]),
            sum(reason["count"] for reason in found["not satisfied"]),
        )

    def test_the_command_line_prints_text_and_json_and_writes_a_plot(self):
        path = self.write_trace(
            "t",
            [command(each * SECOND, 40, "a") for each in range(50)]
            + [command(5, 9, "b", "declined", why="full")],
            terms=encode_terms(self.TERMS),
        )
        run = CliRunner().invoke(
            main,
            [
                "trace",
                "summarise",
                path,
                "--window",
                "10",
                "--plot",
                self.path("p.png"),
            ],
        )
        self.assertEqual(run.exit_code, 0, run.output)
        self.assertIn("read declined: full", run.output)
        self.assertGreater(os.path.getsize(self.path("p.png")), 1000)
        run = CliRunner().invoke(main, ["trace", "summarise", path, "--json"])
        self.assertEqual(json.loads(run.output)["commands"], 51)

    def test_missing_terms_and_too_short_windows_are_errors_of_one_line(self):
        bare = self.write_trace("bare", [command(1, 2, "a")])
        long = self.write_trace(
            "long",
            [command(each * SECOND, 2, "a") for each in range(20_000)],
            terms=encode_terms(self.TERMS),
        )
        for words in (("summarise", bare), ("summarise", long, "--window", "1")):
            run = CliRunner().invoke(main, ["trace", *words])
            self.assertEqual(
                (run.exit_code, run.output.count("\n")), (2, 1), run.output
            )


class Writing(TraceFiles):
    def writer(self, name="g", **settings):
        writer = TraceWriter(
            TraceWriterSettings(self.folder, name, **settings),
            {"name": name},
            lambda: time.monotonic_ns() // 100_000,
            lambda text: None,
        )
        self.addCleanup(writer.stop)
        return writer

    def test_two_writers_with_one_name_write_separate_files(self):
        writers = [self.writer() for _ in range(2)]
        for each in writers:
            each.start()
            each.put("arrival", 1, *arrival(1, 1, "a")[2])
        for each in writers:
            each.stop()
        files = glob.glob(f"{self.folder}/*.mtrace")
        self.assertEqual(
            (
                [verify(each).state for each in files],
                len({each.path for each in writers}),
            ),
            ([FileState.WHOLE] * 2, 2),
        )

    def test_ten_thousand_files_in_the_folder_are_pruned_in_bounded_time(self):
        for number in range(10_000):
            with open(
                f"{self.folder}/g-20200101T000000-{number:06d}.mtrace", "wb"
            ) as output:
                output.write(b"x" * 100)
        started = time.monotonic()
        writer = self.writer(max_total_bytes=200_000)
        writer.start()
        writer.stop()
        names = sorted(os.listdir(self.folder))
        self.assertLess(time.monotonic() - started, 10)
        self.assertLessEqual(
            sum(os.path.getsize(f"{self.folder}/{name}") for name in names[:-1]),
            200_000,
        )
        self.assertEqual(names[-2], "g-20200101T000000-009999.mtrace")

    def test_a_reader_of_a_growing_file_sees_only_whole_blocks(self):
        writer = self.writer(max_block_age=1, sync="never")
        writer.start()
        observations, stop_reading = [], threading.Event()

        def read():
            while not stop_reading.is_set():
                for each in glob.glob(f"{self.folder}/*.mtrace"):
                    with TraceReader(each) as trace:
                        observations.append(len(list(trace.records())))
                        observations.append(
                            -len(
                                [
                                    damage
                                    for damage in trace.contents.damage
                                    if "cut short" not in damage.reason
                                ]
                            )
                        )

        reader = threading.Thread(target=read)
        time.sleep(0.05)
        reader.start()
        for each in range(30):
            for _ in range(100):
                writer.put("arrival", each, *arrival(each, each, "a")[2])
            time.sleep(0.02)
        writer.stop()
        stop_reading.set()
        reader.join(5)
        self.assertEqual(min(observations), 0)
        self.assertEqual(len(self.read_records(writer.path)), 3000)

    def test_a_dictionary_of_more_than_65536_texts_is_decoded(self):
        records = [
            arrival(each, each, f"store-{each}", path=f"/{each}")
            for each in range(70_000)
        ]
        data = file_format.encode_block(records)
        header = file_format.decode_block_header(data, 0)
        self.assertEqual(
            [
                record[2][3]
                for record in file_format.decode_block(
                    header, data[BLOCK_HEADER.size :]
                )
            ][-1],
            "store-69999",
        )


if __name__ == "__main__":
    unittest.main()
