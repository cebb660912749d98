"""Traces that bound what they write, and what they say of the service."""

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

    def test_the_figure_from_the_trace_is_that_of_what_was_done(self):
        chance, done, rows = Random(9), [], []
        for each in range(500):
            began, span, category, plan = (
                each * 300,
                chance.randrange(1, 8000),
                chance.randrange(2),
                chance.randrange(2),
            )
            final, units, place = (
                chance.choice(("satisfied", "satisfied", "declined")),
                chance.choice((1.0, 2.5)),
                each % 2,
            )
            terms = self.TERMS.classes[category]
            in_time = span <= terms.target
            late = terms.late_utility
            counts = 0.0 if final != "satisfied" else 1.0 if in_time else late
            done.append(
                CompletedOperation(
                    began // SECOND,
                    place,
                    terms.name,
                    units,
                    terms.utility * self.TERMS.prices[plan],
                    counts,
                    counts != 1.0,
                )
            )
            rows.append(command(began, span, "ab"[place], final, category, plan, units))
        terms = self.TERMS
        expected = total_service(
            done,
            terms.entitlements,
            terms.capacity,
            terms.largest_units,
            terms.share,
            terms.spare,
        )
        path = self.trace("t", rows, terms=encode_terms(terms))
        found = report_service(path, 10 * SECOND)
        self.assertEqual(
            found["service"],
            {name: counted / due for name, (counted, due) in expected.items()},
        )
        self.assertEqual(
            sum(each.get("declined", 0) for each in found["windows"]),
            sum(each["count"] for each in found["not satisfied"]),
        )

    def test_text_picture_and_json_on_the_command_line(self):
        path = self.trace(
            "t",
            [command(each * SECOND, 40, "a") for each in range(50)]
            + [command(5, 9, "b", "declined", why="full")],
            terms=encode_terms(self.TERMS),
        )
        run = CliRunner().invoke(
            main,
            ["trace", "summarise", path, "--window", "10", "--plot", self.out("p.png")],
        )
        self.assertEqual(run.exit_code, 0, run.output)
        self.assertIn("read declined: full", run.output)
        self.assertGreater(os.path.getsize(self.out("p.png")), 1000)
        run = CliRunner().invoke(main, ["trace", "summarise", path, "--json"])
        self.assertEqual(json.loads(run.output)["commands"], 51)

    def test_headers_without_terms_and_too_small_windows_are_one_line(self):
        bare = self.trace("bare", [command(1, 2, "a")])
        long = self.trace(
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
    def writer(self, name="g", **terms):
        made = TraceWriter(
            TraceWriterSettings(self.folder, name, **terms),
            {"name": name},
            lambda: time.monotonic_ns() // 100_000,
            lambda text: None,
        )
        self.addCleanup(made.stop)
        return made

    def test_two_writers_of_one_path_get_files_of_their_own(self):
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
        for each in range(10_000):
            with open(
                f"{self.folder}/g-20200101T000000-{each:06d}.mtrace", "wb"
            ) as sink:
                sink.write(b"x" * 100)
        began = time.monotonic()
        writer = self.writer(max_total_bytes=200_000)
        writer.start()
        writer.stop()
        left = sorted(os.listdir(self.folder))
        self.assertLess(time.monotonic() - began, 10)
        self.assertLessEqual(
            sum(os.path.getsize(f"{self.folder}/{each}") for each in left[:-1]), 200_000
        )
        self.assertEqual(left[-2], "g-20200101T000000-009999.mtrace")

    def test_a_reader_beside_the_writer_sees_whole_blocks_alone(self):
        writer = self.writer(max_block_age=1, sync="never")
        writer.start()
        seen, over = [], threading.Event()

        def read():
            while not over.is_set():
                for each in glob.glob(f"{self.folder}/*.mtrace"):
                    with TraceReader(each) as trace:
                        seen.append(len(list(trace.records())))
                        seen.append(
                            -len(
                                [
                                    gap
                                    for gap in trace.contents.damage
                                    if "cut short" not in gap.reason
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
        over.set()
        reader.join(5)
        self.assertEqual(min(seen), 0)
        self.assertEqual(len(self.rows(writer.path)), 3000)

    def test_a_dictionary_with_more_texts_than_a_block_should_hold(self):
        rows = [
            arrival(each, each, f"store-{each}", path=f"/{each}")
            for each in range(70_000)
        ]
        data = file_format.encode_block(rows)
        head = file_format.decode_block_header(data, 0)
        self.assertEqual(
            [
                row[2][3]
                for row in file_format.decode_block(head, data[BLOCK_HEADER.size :])
            ][-1],
            "store-69999",
        )


if __name__ == "__main__":
    unittest.main()
