"""Builds records, file contents and files for the tests of traces."""

import os
import tempfile
import unittest

from milletsill.trace import file_format
from milletsill.trace.reader import TraceReader
from milletsill.trace.records import BY_NAME
from milletsill.trace.trace_file import TraceFile

SECOND = 10_000


def sample_records(count=60, start=0, volume="s"):
    records = []
    for each in range(count):
        at = start + each * 7
        records += [
            (
                at,
                BY_NAME["arrival"],
                (
                    each,
                    (1 << 63) + each,
                    1,
                    f"{volume}{each % 3}",
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
    return records


def encode_file(*blocks):
    """Return a file's bytes with one block for each argument, and the blocks' ends."""
    data, headers, ends = file_format.encode_header({"name": "g", "seed": 5}), [], []
    for each in blocks:
        block = file_format.encode_block(each)
        headers.append(file_format.decode_block_header(block, len(data)))
        data += block
        ends.append(len(data))
    return data + file_format.encode_footer(headers, len(data)), ends


def arrival(at, request_id, volume, category=0, path="/p"):
    return (
        at,
        BY_NAME["arrival"],
        (request_id, 1, 1, volume, 2, category, 0, 0, 0, -1, 1.0, at + 9000, path),
    )


def dispatch(at, request_id, node):
    return at, BY_NAME["dispatch"], (request_id, node, 500)


def outcome(at, request_id, node):
    return at, BY_NAME["outcome"], (request_id, 0, node, "satisfied", 1, 30, -1, 0, "")


def command(
    began, span, volume, final="satisfied", category=0, plan=0, units=1.0, why=""
):
    return (
        began + span,
        BY_NAME["command"],
        (began, span, volume, plan, category, "read", units, 1, 0, final, why),
    )


def listing(at, node, readiness):
    return at, BY_NAME["listing"], (node, readiness, 1.0, 0, 0, 0, 0, node)


class TraceBytes(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def file(self, data, name="t.mtrace"):
        path = os.path.join(self.folder, name)
        with open(path, "wb") as output:
            output.write(data)
        return path

    def read(self, data, **given_range):
        with TraceReader(self.file(data)) as trace:
            return list(trace.records(**given_range)), trace.contents


class TraceFiles(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def path(self, name="out"):
        return os.path.join(self.folder, name)

    def write_trace(self, name, *blocks, **header):
        trace_file = TraceFile(
            self.path(name),
            {"name": name, "seed": 1, "opened": 0, "wall_ms": 0, **header},
        )
        for block in blocks:
            for record in block:
                trace_file.append(record)
            trace_file.flush()
        trace_file.close()
        return self.path(name)

    def read_records(self, path):
        with TraceReader(path) as trace:
            return list(trace.records())
