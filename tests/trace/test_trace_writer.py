"""Tests the trace writer: its policy, disk errors, load shedding, and its files."""

import os
import unittest
from dataclasses import replace

from milletsill.trace.reader import FileState, TraceReader, classify_file
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
from milletsill.trace.writer import TraceWriter, TraceWriterSettings
from tests.trace.trace_builders import (
    TraceBytes,
)


class RecordingPolicy(unittest.TestCase):
    def test_a_failed_write_suspends_the_writer_until_a_retry(self):
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

    def test_the_least_needed_kinds_are_shed_first_and_answers_last(self):
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

    def test_the_oldest_files_are_deleted_and_the_current_one_is_kept(self):
        self.assertEqual(
            files_to_delete([("a", 5), ("b", 5), ("c", 50)], 50), ["a", "b"]
        )

    def test_states_of_a_file(self):
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


class Writing(TraceBytes):
    def writer(self, folder=None, **given_bounds):
        self.logged, self.now = [], 0
        settings = TraceWriterSettings(
            folder or self.folder, "g", sync="never", **given_bounds
        )
        return TraceWriter(settings, {"seed": 1}, lambda: self.now, self.logged.append)

    def files(self):
        return sorted(
            each for each in os.listdir(self.folder) if each.endswith(".mtrace")
        )

    def test_queued_records_are_written_and_a_stop_finishes_the_file(self):
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

    def test_files_rotate_by_size_and_the_oldest_are_deleted(self):
        writer = self.writer(max_file_bytes=2000, max_total_bytes=6000)
        writer.on_event(WriterEvent.START)
        self.addCleanup(writer.on_event, WriterEvent.STOP)
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

    def test_a_failing_disk_suspends_tracing_with_one_log_line_until_it_recovers(self):
        writer = self.writer(folder="/dev/full/x")
        writer.on_event(WriterEvent.START)
        for _ in range(3):
            writer.put("satisfied", 5, 1, 1)
            self.now += 10**7
            writer.poll()
        self.assertEqual(
            (writer.state, len(self.logged), writer.records_shed),
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

    def test_a_full_queue_sheds_by_kind_and_records_gaps(self):
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

    def test_a_restart_never_appends_to_an_existing_file(self):
        for _ in range(2):
            writer = self.writer()
            writer.start()
            writer.put("satisfied", 1, 1, 1)
            writer.stop()
        self.assertEqual(len(self.files()), 2)


if __name__ == "__main__":
    unittest.main()
