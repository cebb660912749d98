"""Tests the network faults and the relay, which forwards UDP and TCP between gateways."""

import json
import socket
import subprocess
import tempfile
import time
import unittest
from random import Random

from google.protobuf import text_format
from twisted.internet.task import Clock

from milletsill.lab.moment import at
from milletsill.lab.network_faults import (
    CLEAR,
    LinkCondition,
    NetworkFault,
    link_condition,
    network_faults,
)
from milletsill.lab.processes import LAB, free_ports
from milletsill.lab.relay_addresses import own_address, relay_address
from milletsill.settings.milletsill_pb2 import Scenario

SCENARIO = """
name: "x" seed: 5 edges: 3
gateway { name: "e" gateways: 3 registry { address: "a:1" } fleet { name: "f" address: "127.0.0.1:1" }
  plan { name: "p" usual_rate: 1 } category { name: "c" target_ms: 100 patience_ms: 1000 }
  volume { name: "v" root: "/v" plan: "p" cell: 0 } route { category: "c" } }
kind { name: "k" } box { kind: "k" }
trouble { what: "split" at_s: 1 for_s: 2 on: [0, 1] }
trouble { what: "isolate" at_s: 1 for_s: 2 part: 0.4 }
trouble { what: "lossy" at_s: 2 size: 0.5 }
"""


class CallsAtATime(unittest.TestCase):
    def test_setting_the_wall_clock_does_not_move_a_fault(self):
        wall, monotonic, called = Clock(), [100.0], []
        at(wall, 110.0, called.append, "begin", now=lambda: monotonic[0])
        for _ in range(80):  # set forward by 40 s within half a second
            wall.advance(0.5)
        monotonic[0] = 109.9
        wall.advance(0.5)
        self.assertEqual(called, [])
        monotonic[0] = 110.0
        wall.advance(0.5)
        self.assertEqual(called, ["begin"])


class NetworkFaults(unittest.TestCase):
    def test_links_that_each_kind_of_fault_cuts(self):
        pairs = [(a, b) for a in range(3) for b in range(3) if a != b]
        for what, on, cut in (
            ("split", {0, 1}, {(0, 2), (1, 2), (2, 0), (2, 1)}),
            ("cut_one_way", {0}, {(0, 1), (0, 2)}),
            ("isolate", {0, 1}, set(pairs)),
            ("lossy", {0}, set()),
        ):
            fault = NetworkFault(what, 0, 1, frozenset(on), 0.5)
            self.assertEqual(
                {pair for pair in pairs if link_condition([fault], *pair).cut},
                cut,
                what,
            )

    def test_faults_add_up_and_an_unaffected_link_is_clear(self):
        both = link_condition(
            [
                NetworkFault("lossy", 0, 1, frozenset(), 0.5, 0.1),
                NetworkFault("slow_network", 0, 1, frozenset({1}), 30, 40),
            ],
            0,
            1,
        )
        self.assertEqual(both, LinkCondition(False, 0.5, 0.1, 0.03, 0.04))
        self.assertIs(
            link_condition(
                [NetworkFault("slow_network", 0, 1, frozenset({1}), 30)], 0, 2
            ),
            CLEAR,
        )

    def test_packets_are_lost_duplicated_and_delayed_and_streams_lose_nothing(self):
        chance, lossy = Random(1), LinkCondition(False, 0.5, 0.5, 0.01, 0.02)
        copies = [lossy.draw_copies(chance) for _ in range(1000)]
        self.assertTrue(
            all(
                400 < sum(len(each) == count for each in copies) < 600 for count in (0,)
            ),
            "half of the packets are lost",
        )
        self.assertTrue(150 < sum(len(each) == 2 for each in copies) < 350)
        self.assertTrue(all(0.01 <= each < 0.06 for found in copies for each in found))
        self.assertEqual(
            (LinkCondition(True).draw_copies(chance), CLEAR.draw_copies(chance)),
            ((), (0.0,)),
        )
        self.assertTrue(all(lossy.draw_piece(chance) >= 0.01 for _ in range(100)))

    def test_the_same_seed_draws_the_same_gateways(self):
        first, again = (
            network_faults(text_format.Parse(SCENARIO, Scenario()), 100.0)
            for _ in range(2)
        )
        self.assertEqual(first, again)
        self.assertEqual(
            [(each.since, sorted(each.gateways), len(each.gateways)) for each in first][
                0
            ],
            (101.0, [0, 1], 2),
        )
        self.assertEqual([len(each.gateways) for each in first], [2, 1, 0])


class Relay(unittest.TestCase):
    """Tests the relay process; plain sockets stand in for gateways 0 and 1."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        with open(
            f"{cls.folder.name}/scenario.textproto", "w", encoding="utf-8"
        ) as sink:
            sink.write(SCENARIO)
        ends = tuple(
            address(number)
            for address in (own_address, relay_address)
            for number in range(3)
        )
        cls.port, control = free_ports(1, ends)[0], free_ports(1)[0]
        cls.addClassCleanup(cls.folder.cleanup)
        cls.process = subprocess.Popen(
            LAB + ["relay", cls.folder.name, str(cls.port), str(control)]
        )
        cls.addClassCleanup(cls.process.wait, 10)
        cls.addClassCleanup(cls.process.terminate)
        for _ in range(1200):
            try:
                with socket.create_connection(
                    ("127.0.0.1", control), timeout=5
                ) as made:
                    cls.line = made.makefile("rw")
                cls.addClassCleanup(cls.line.close)
                break
            except OSError:
                time.sleep(0.05)

    def command(self, **fields):
        self.line.write(json.dumps(fields) + "\n")
        self.line.flush()
        return json.loads(self.line.readline())

    def setUp(self):
        self.command(what="heal")
        self.sockets = []
        for number in (0, 1):
            made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            made.bind((own_address(number), self.port))
            made.settimeout(0.3)
            self.addCleanup(made.close)
            self.sockets.append(made)

    def send(self, a, b, data=b"x"):
        self.sockets[a].sendto(data, (relay_address(b), self.port))

    def receive(self, b):
        try:
            return self.sockets[b].recvfrom(100)
        except TimeoutError:
            return None

    def test_packets_pass_both_ways_from_the_senders_relayed_address(self):
        self.send(0, 1)
        data, address = self.receive(1)
        self.assertEqual((data, address), (b"x", (relay_address(0), self.port)))
        self.sockets[1].sendto(b"y", address)
        self.assertEqual(self.receive(0), (b"y", (relay_address(1), self.port)))

    def test_a_one_way_cut_drops_packets_until_it_is_healed(self):
        self.assertEqual(
            self.command(what="cut_one_way", on=[0], for_s=60)["faults"],
            ["cut_one_way"],
        )
        self.send(0, 1), self.send(1, 0)
        self.assertEqual((self.receive(1), self.receive(0)[0]), (None, b"x"))
        self.assertEqual(self.command(what="heal")["faults"], [])
        self.send(0, 1, b"z")
        self.assertEqual(self.receive(1)[0], b"z")

    def test_a_cut_holds_a_stream_and_a_reset_ends_it(self):
        with socket.create_server((own_address(1), self.port)) as server:
            server.settimeout(3)
            near = socket.create_connection(
                (relay_address(1), self.port),
                timeout=3,
                source_address=(own_address(0), 0),
            )
            near.sendall(b"a")
            far, address = server.accept()
            far.settimeout(0.3)
            self.assertEqual((far.recv(10), address[0]), (b"a", relay_address(0)))
            self.command(what="split", on=[0], for_s=60)
            near.sendall(b"b")
            self.assertRaises(TimeoutError, far.recv, 10)
            self.command(what="heal")
            far.settimeout(3)
            self.assertEqual(far.recv(10), b"b")
            self.command(what="reset_network")
            self.assertRaises(ConnectionResetError, near.recv, 10)
            near.close(), far.close()

    def test_invalid_commands_get_an_error_and_keep_the_connection(self):
        for fields in ({"what": "rain"}, {}, {"what": "split", "on": "x"}):
            self.assertIn("error", self.command(**fields))


if __name__ == "__main__":
    unittest.main()
