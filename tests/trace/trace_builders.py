"""Makes records and files for the tests of traces."""

import os
import tempfile
import unittest

from milletsill.trace import file_format
from milletsill.trace.reader import TraceReader
from milletsill.trace.records import BY_NAME
from milletsill.trace.trace_file import TraceFile

SECOND = 10_000


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


class TraceBytes(unittest.TestCase):
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


class TraceFiles(unittest.TestCase):
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
