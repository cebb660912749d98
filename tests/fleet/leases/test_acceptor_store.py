"""The acceptor's file under crashes, tears, a full disk and a kill."""

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

    def test_a_log_that_is_cut_anywhere_is_one_of_the_states_that_were(self):
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
            cut = self.open_store(copy)
            found = cut.read("c")
            state = (cut.identity.generation, found and found.version.number)
            self.assertIn(state, states)
            seen.add(state)
            for number in range(1, 6):  # all of a commit or nothing
                self.assertEqual(
                    cut.read(f"c{number}") is not None,
                    number <= cut.identity.generation,
                )
            if size in sizes:  # what was committed by then is there
                self.assertGreaterEqual(cut.identity.generation, sizes.index(size) + 1)
        self.assertEqual(seen, set(states))

    def test_a_cut_while_the_log_goes_into_the_file_loses_nothing(self):
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

    def test_a_file_that_cannot_be_used_has_its_error(self):
        store = self.open_store()
        store.commit(
            {f"c{each}": record(each, b"x" * 900) for each in range(1, 60)}, 1, added=59
        )
        self.assertRaises(
            errors.AcceptorStateUnusableError, AcceptorStore.open, self.path, 7
        )  # a second process
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

    def test_a_full_disk_changes_nothing_and_room_mends_it(self):
        store = self.open_store(max_pages=12)
        held = 0
        with self.assertRaises(errors.DiskFullError):
            for number in range(100):
                store.commit(
                    {f"c{number}": record(number + 1, b"x" * 2000)}, number, added=1
                )
                held += 1
        self.assertEqual(
            (store.count, store.identity.generation, store.read(f"c{held}")),
            (held, held, None),
        )
        store.connection.execute("PRAGMA max_page_count=1000")
        store.commit({"z": record(1)}, 1, added=1)
        self.assertEqual(store.read("z"), record(1))

    def test_what_was_acknowledged_is_there_after_a_kill(self):
        code = (
            "import sys; sys.path.insert(0, '.')\n"
            "from tests.fleet.leases.test_acceptor_store import AcceptorStore, record\n"
            "store = AcceptorStore.open(sys.argv[1], 7)\n"
            "for number in range(1, 100000):\n"
            "    store.commit({f'c{number % 50}': record(number)}, number)\n"
            "    print(number, flush=True)"
        )
        run = subprocess.Popen(
            [sys.executable, "-c", code, self.path], stdout=subprocess.PIPE
        )
        for _ in range(40):
            last = int(run.stdout.readline())
        run.send_signal(signal.SIGKILL)
        last = max([last, *map(int, run.stdout.read().split(b"\n")[:-1])])
        run.wait()
        run.stdout.close()
        store = self.open_store()
        self.assertIn(store.identity.generation, (last, last + 1))
        self.assertGreaterEqual(store.read(f"c{last % 50}").version.number, last)


if __name__ == "__main__":
    unittest.main()
