"""What is on the wire and on disk stays to the octet.

Recorded octets are read, and the same values give the same octets.
"""

import json
import os
import tempfile
import unittest

from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.planner import epoch_store
from milletsill.sftp_gateway.incarnation import next_incarnation
from tests.fixtures import make_octets, make_wire
from tests.support.paths import FIXTURES

HERE = str(FIXTURES)


def recorded(name):
    with open(os.path.join(HERE, name), encoding="ascii") as source:
        return {key: bytes.fromhex(each) for key, each in json.load(source).items()}


class RecordedWire(unittest.TestCase):
    maxDiff = None

    def test_every_recorded_message_is_read(self):
        found, expected = make_wire.read(recorded("wire-1.json")), make_wire.values()
        self.assertEqual(found.keys(), expected.keys())
        for name, value in expected.items():
            self.assertEqual(found[name], value, name)

    def test_the_same_values_give_the_same_octets(self):
        for file, made in (
            ("wire-1.json", make_wire.write()),
            ("octets-1.json", make_octets.octets()),
        ):
            held = recorded(file)
            self.assertEqual(made.keys(), held.keys())
            for name, data in held.items():
                self.assertEqual(made[name].hex(), data.hex(), name)

    def test_the_state_files_are_read(self):
        held = recorded("wire-1.json")
        with tempfile.TemporaryDirectory() as folder:
            for name in (*epoch_store.SLOT_NAMES, "run"):
                with open(os.path.join(folder, name), "wb") as sink:
                    sink.write(held[f"file {name}"])
            epochs = [
                epoch_store.read_slot(os.path.join(folder, name))
                for name in epoch_store.SLOT_NAMES
            ]
            self.assertEqual(
                sorted(each >> epoch_store.RANDOM_BITS for each in epochs), [2, 3]
            )
            self.assertEqual(next_incarnation(os.path.join(folder, "run")), (43, None))

    def test_the_tables_of_a_register_file_are_as_recorded(self):
        def tables(path):
            import sqlite3

            with sqlite3.connect(path) as base:
                return sorted(
                    base.execute("select name, sql from sqlite_master").fetchall()
                )

        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "register")
            AcceptorStore.open(path, 77).close()
            self.assertEqual(
                tables(path), tables(os.path.join(HERE, "register-1.sqlite"))
            )


if __name__ == "__main__":
    unittest.main()
