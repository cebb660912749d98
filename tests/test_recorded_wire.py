"""The encoded messages and stored files stay the same, byte for byte.

Recorded bytes must be decoded to the values they were made from, and these values must
be encoded to the same bytes; otherwise versions in one fleet do not understand each
other.
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
    """Return the encoded values that a fixture file records, by name."""
    with open(os.path.join(HERE, name), encoding="ascii") as source:
        return {key: bytes.fromhex(each) for key, each in json.load(source).items()}


class RecordedWire(unittest.TestCase):
    maxDiff = None

    def test_recorded_messages_are_decoded(self):
        decoded, expected = make_wire.read(recorded("wire-1.json")), make_wire.values()
        self.assertEqual(decoded.keys(), expected.keys())
        for name, value in expected.items():
            self.assertEqual(decoded[name], value, name)

    def test_the_same_values_are_encoded_to_the_same_bytes(self):
        for file, encoded in (
            ("wire-1.json", make_wire.write()),
            ("octets-1.json", make_octets.octets()),
        ):
            expected = recorded(file)
            self.assertEqual(encoded.keys(), expected.keys())
            for name, data in expected.items():
                self.assertEqual(encoded[name].hex(), data.hex(), name)

    def test_the_state_files_are_decoded(self):
        files = recorded("wire-1.json")
        with tempfile.TemporaryDirectory() as folder:
            for name in (*epoch_store.SLOT_NAMES, "run"):
                with open(os.path.join(folder, name), "wb") as sink:
                    sink.write(files[f"file {name}"])
            epochs = [
                epoch_store.read_slot(os.path.join(folder, name))
                for name in epoch_store.SLOT_NAMES
            ]
            self.assertEqual(
                sorted(each >> epoch_store.RANDOM_BITS for each in epochs), [2, 3]
            )
            self.assertEqual(next_incarnation(os.path.join(folder, "run")), (43, None))

    def test_the_acceptor_store_creates_the_recorded_tables(self):
        def tables(path):
            import sqlite3

            with sqlite3.connect(path) as database:
                return sorted(
                    database.execute("select name, sql from sqlite_master").fetchall()
                )

        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "register")
            AcceptorStore.open(path, 77).close()
            self.assertEqual(
                tables(path), tables(os.path.join(HERE, "register-1.sqlite"))
            )


if __name__ == "__main__":
    unittest.main()
