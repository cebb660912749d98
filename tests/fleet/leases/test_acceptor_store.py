"""The acceptor's file after truncation, corruption, a full disk and a killed process."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from milletsill.fleet.leases import errors
from milletsill.fleet.leases.acceptor import LeaseRecord
from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.fleet.leases.ballot import Ballot, RecordVersion

A = Ballot(5, "a", 1)


def record(number, value=b""):
    return LeaseRecord(A, RecordVersion(A, number), value or b"%d" % number, 0)


class AcceptorStoreTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "state", "register.sqlite")

    def open_store(self, path=None, **values):
        store = AcceptorStore.open(path or self.path, 7, **values)
        self.addCleanup(store.close)
        return store

    def test_a_truncated_log_gives_one_of_the_committed_states(self):
        """Truncate the write-ahead log at many sizes, as a crash or a lost write can.

        Each commit has to be present completely or not at all.
        """
        store = self.open_store()
        states, sizes = [(0, None)], []
        for number in range(1, 6):
            store.commit(
                {"c": record(number), f"c{number}": record(number)}, number, added=1
            )
            sizes.append(os.path.getsize(self.path + "-wal"))
            states.append((number, number))
        whole = Path(self.path + "-wal").read_bytes()
        base = Path(self.path).read_bytes()
        seen = set()
        for size in [
            *range(0, len(whole), 1031),
            *sizes,
            *(each - 1 for each in sizes),
        ]:
            copy = os.path.join(
                tempfile.mkdtemp(dir=os.path.dirname(self.path)), "r.sqlite"
            )
            Path(copy).write_bytes(base)
            Path(copy + "-wal").write_bytes(whole[:size])
            truncated = self.open_store(copy)
            read = truncated.read("c")
            state = (truncated.identity.generation, read and read.version.number)
            self.assertIn(state, states)
            seen.add(state)
            for number in range(1, 6):  # a commit is complete or absent
                self.assertEqual(
                    truncated.read(f"c{number}") is not None,
                    number <= truncated.identity.generation,
                )
            if size in sizes:  # the commits up to this size are present
                self.assertGreaterEqual(
                    truncated.identity.generation, sizes.index(size) + 1
                )
        self.assertEqual(seen, set(states))

    def test_a_checkpoint_that_is_interrupted_anywhere_loses_no_record(self):
        """Combine the first pages after a checkpoint with the older pages and the log.

        A crash while SQLite copies its log into the file leaves such a file.
        """
        store = self.open_store()
        store.commit(
            {f"c{each}": record(each, b"x" * 500) for each in range(1, 100)},
            1,
            added=99,
        )
        before, log = (
            Path(self.path).read_bytes(),
            Path(self.path + "-wal").read_bytes(),
        )
        store.connection.execute("PRAGMA wal_checkpoint(FULL)")
        after = Path(self.path).read_bytes()
        for cut in range(0, len(after) + 1, 4096):
            copy = os.path.join(
                tempfile.mkdtemp(dir=os.path.dirname(self.path)), "r.sqlite"
            )
            Path(copy).write_bytes(after[:cut] + before[cut:])
            Path(copy + "-wal").write_bytes(log)
            self.assertEqual(self.open_store(copy).count, 99)

    def test_an_unusable_file_raises_its_error_with_a_remedy(self):
        store = self.open_store()
        store.commit(
            {f"c{each}": record(each, b"x" * 900) for each in range(1, 60)}, 1, added=59
        )
        self.assertRaises(
            errors.AcceptorStateUnusableError, AcceptorStore.open, self.path, 7
        )  # as from a second process
        store.close()
        data = Path(self.path).read_bytes()
        flipped = bytearray(data)
        flipped[data.rindex(b"x" * 900) + 5] ^= 1
        later = data[:60] + (99).to_bytes(4, "big") + data[64:]
        for bad, error in [
            (data[:cut], errors.AcceptorStateCorruptError)
            for cut in (0, 10, 4096, 9000, len(data) - 4096)
        ] + [
            (bytes(flipped), errors.AcceptorStateCorruptError),
            (b"no file of ours" * 500, errors.AcceptorStateCorruptError),
            (later, errors.AcceptorStateUnusableError),
        ]:
            Path(self.path).write_bytes(bad)
            with self.assertRaises(error) as caught:
                AcceptorStore.open(self.path, 7)
            self.assertTrue(caught.exception.remedy)

    def test_a_commit_on_a_full_disk_changes_nothing_and_succeeds_with_space(self):
        store = self.open_store(max_pages=12)
        committed = 0
        with self.assertRaises(errors.DiskFullError):
            for number in range(100):
                store.commit(
                    {f"c{number}": record(number + 1, b"x" * 2000)}, number, added=1
                )
                committed += 1
        self.assertEqual(
            (store.count, store.identity.generation, store.read(f"c{committed}")),
            (committed, committed, None),
        )
        store.connection.execute("PRAGMA max_page_count=1000")
        store.commit({"z": record(1)}, 1, added=1)
        self.assertEqual(store.read("z"), record(1))

    def test_acknowledged_commits_survive_a_killed_process(self):
        """A process prints each number after its commit, until SIGKILL ends it."""
        code = (
            "import sys; sys.path.insert(0, '.')\n"
            "from tests.fleet.leases.test_acceptor_store import AcceptorStore, record\n"
            "store = AcceptorStore.open(sys.argv[1], 7)\n"
            "for number in range(1, 100000):\n"
            "    store.commit({f'c{number % 50}': record(number)}, number)\n"
            "    print(number, flush=True)"
        )
        process = subprocess.Popen(
            [sys.executable, "-c", code, self.path], stdout=subprocess.PIPE
        )
        for _ in range(40):
            last = int(process.stdout.readline())
        process.send_signal(signal.SIGKILL)
        last = max([last, *map(int, process.stdout.read().split(b"\n")[:-1])])
        process.wait()
        process.stdout.close()
        store = self.open_store()
        self.assertIn(store.identity.generation, (last, last + 1))
        self.assertGreaterEqual(store.read(f"c{last % 50}").version.number, last)


if __name__ == "__main__":
    unittest.main()
