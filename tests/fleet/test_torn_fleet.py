"""A fleet of five gateway processes with network and process faults.

Channels use all four ordering contracts, and the audit checks all traffic on the
sockets. The lab reports on its own where the machine was too slow for the run. With
planted faults the audit has to find a violation of each contract.
"""

import re
import tempfile
import unittest

from google.protobuf import text_format

from milletsill.lab.run import Run, broken, report
from milletsill.settings.milletsill_pb2 import Scenario

SCENARIO = """
name: "torn" seed: 7 seconds: 24 tail_s: 20 edges: 5 files: 4 file_units: 8
gateway {
  name: "edge" gateways: 5 registry { address: "127.0.0.1:1" } door { answer_margin_ms: 60 drain_s: 3 }
  rules { cold_window_ms: 500 warm_after_s: 3 cold_units: 20 key_rest_ms: 1000 ask_within_ms: 4000 extent_bytes: 65536
          further_free: 3 further_ratio: 0.3 further_window_ms: 2000 }
  logging { answers_per_s: 1 }
  fleet { name: "torn" address: "127.0.0.1:1"
    channels { register: "edge-0" register: "edge-1" register: "edge-2"
      contract { name: "landing" order: EACH_IN_ORDER volume: "a" operation: "write" }
      contract { name: "price" order: NEWEST volume: "b" operation: "write" }
      contract { name: "photo" order: BY_EXTENT volume: "c" operation: "write" unsure: STOP }
      contract { name: "lot" order: BATCHES volume: "d" operation: "write" } } }
  plan { name: "p" usual_rate: 20 reserve_rate: 20 }
  category { name: "read" target_ms: 500 patience_ms: 2000 late_utility: 0.2 }
  category { name: "write" target_ms: 1000 patience_ms: 3000 late_utility: 0.2 repeats: "ticketed" group: "cell" repeat_window_ms: 6000 write: true }
  volume { name: "a" root: "/a" plan: "p" cell: [0, 1] } volume { name: "b" root: "/b" plan: "p" cell: [1, 2] }
  volume { name: "c" root: "/c" plan: "p" cell: [2, 3] } volume { name: "d" root: "/d" plan: "p" cell: [3, 0] }
  route { operation: "write" operation: "change" category: "write" } route { category: "read" } }
kind { name: "k" cores: 4 queue: 40 cold_s: 2 drops_expired: true }
box { count: 4 kind: "k" }
traffic { category: "read" operation: "read" per_s: 8 work_ms: 5 }
clients { connections: 1 retries: 0 }
registry { call_ms: 5 notice_ms: 100 vanish_s: 1 }
channels { contract: "landing" volume: "a" per_s: 4 reconnect_s: 2 patience_ms: 1800 }
channels { contract: "price" volume: "b" per_s: 4 reconnect_s: 2 patience_ms: 1800 }
channels { contract: "photo" volume: "c" per_s: 4 reconnect_s: 2 patience_ms: 1800 says: true extents: 2 }
channels { contract: "lot" volume: "d" per_s: 4 reconnect_s: 2 patience_ms: 1800 }
"""
FAULTS = """
trouble { what: "balancer_crash" at_s: 2 for_s: 2 on: 0 }
trouble { what: "split" at_s: 7 for_s: 3 on: [1, 3] }
trouble { what: "lossy" at_s: 11 for_s: 3 size: 0.2 extra: 0.2 }
trouble { what: "balancer_stall" at_s: 14 for_s: 3 on: [2, 4] size: 900 extra: 2 }
trouble { what: "balancer_lost" at_s: 17 for_s: 1 on: 4 }
trouble { what: "reset_network" at_s: 20 }
trouble { what: "balancer_full" at_s: 21 for_s: 2 on: 2 }
"""


def run_scenario(text, plant=""):
    with tempfile.TemporaryDirectory() as folder:
        return Run(text_format.Parse(text, Scenario()), folder, plant=plant).play()


class FleetUnderFaults(unittest.TestCase):
    def test_contracts_hold_and_views_agree(self):
        result = run_scenario(SCENARIO + FAULTS)
        self.assertFalse(broken(result), report(result))
        for name, figures in result.channels.figures.items():
            self.assertGreater(figures.settled, 40, (name, figures))
            self.assertGreater(figures.claims, 8, (name, figures))

    def test_planted_faults_are_found_for_each_contract(self):
        """The nodes' records show numbers that took effect against the order."""
        result = run_scenario(
            SCENARIO.replace("seconds: 24 tail_s: 20", "seconds: 8 tail_s: 3"), "all"
        )
        out_of_order = {
            name: [
                each.text
                for each in held
                if re.search("took effect (after|before) number", each.text)
            ]
            for name, held in result.channels.breaches.items()
        }
        self.assertEqual(
            [name for name, found in out_of_order.items() if not found],
            [],
            report(result),
        )
        self.assertEqual(len(out_of_order), 4)
        self.assertTrue(broken(result))


if __name__ == "__main__":
    unittest.main()
