"""Fault searches: recorded failures, some drawn seeds, and searches without a guard.

A search with a guard disabled must find a failure and shrink it to a few events.
"""

import unittest

from milletsill.lab.hunt import endpoint_list_guards, fleet_guards
from milletsill.lab.hunt.endpoint_list_faults import EndpointListFaults
from milletsill.lab.hunt.fault_search import FaultEvent, search_seeds, shrink_events
from milletsill.lab.hunt.fleet_fault_search import FleetFaultSearch

# Shrunk event lists of past failures; each one must pass now.
ENDPOINT_LIST_FAILURES = {
    "a key takes another id": (
        5,
        [
            FaultEvent(378_680, "put", (6, False, 14)),
            FaultEvent(437_550, "put", (6, False, 6)),
        ],
    ),
    "a registry is restored behind a watch": (
        63,
        [
            FaultEvent(130_850, "put", (0, False, 0)),
            FaultEvent(138_120, "restore", (0, True)),
        ],
    ),
    "a key is deleted after the watch becomes silent": (
        76,
        [
            FaultEvent(186_030, "flood", (40,)),
            FaultEvent(378_940, "delete", (5,)),
            FaultEvent(379_280, "silence"),
            FaultEvent(379_480, "delete", (7,)),
        ],
    ),
    "a restored registry reaches the same revisions": (
        823,
        [
            FaultEvent(243_480, "put", (5, True, 5)),
            FaultEvent(339_060, "gone_for", (27_377, True)),
            FaultEvent(360_720, "restore", (1, True)),
            FaultEvent(387_520, "put", (2, True, 2)),
        ],
    ),
}
FLEET_FAILURES = {
    "a slow node of a small fleet recovers": (
        0,
        [FaultEvent(148_730, "make_ill", (5, 0.33, 2.5, 31_398))],
    ),
    "a failing node that few gateways may try recovers": (
        396,
        [
            FaultEvent(91_330, "stutter_most", (103_506, 18_274)),
            FaultEvent(91_610, "trouble", (0, 15_828)),
            FaultEvent(95_570, "stutter_most", (130_712, 24_355)),
            FaultEvent(134_710, "make_ill", (0, 0.33, 1.0, 55_350)),
        ],
    ),
    "a slow node that few gateways report on recovers": (
        56,
        [FaultEvent(191_780, "make_ill", (0, 1.0, 2.5, 9565))],
    ),
}


class SeedTests(unittest.TestCase):
    def test_past_failures_pass(self):
        for simulation, seeds in (
            (EndpointListFaults(), ENDPOINT_LIST_FAILURES),
            (FleetFaultSearch(), FLEET_FAILURES),
        ):
            for name, (seed, events) in seeds.items():
                with self.subTest(name):
                    self.assertIsNone(simulation.play(seed, events))

    def test_drawn_seeds_pass(self):
        self.assertEqual(search_seeds(EndpointListFaults(), range(40)), (40, []))
        self.assertEqual(search_seeds(FleetFaultSearch(), range(1, 2)), (1, []))

    def test_a_seed_always_draws_the_same_events(self):
        for simulation in (EndpointListFaults(), FleetFaultSearch()):
            self.assertEqual(simulation.draw_events(7), simulation.draw_events(7))


class DisabledGuardTests(unittest.TestCase):
    def test_a_search_without_a_guard_fails_and_shrinks_the_failure(self):
        for name, seed in (
            ("a broken watch is told", 1),
            ("a silent watch is found", 2),
            ("keys that went are counted", 31),
        ):
            with self.subTest(name), endpoint_list_guards.GUARD_REMOVALS[name]():
                played, failing = search_seeds(EndpointListFaults(), [seed])
                self.assertLessEqual(len(failing[0].events), 4)
                self.assertIn(f"seed {seed}", failing[0].describe())
        with fleet_guards.GUARD_REMOVALS[
            "health: a box that all may try is well again"
        ]():
            self.assertIsNotNone(
                FleetFaultSearch().play(
                    *FLEET_FAILURES["a slow node of a small fleet recovers"]
                )
            )


class ShrinkTests(unittest.TestCase):
    def test_only_the_necessary_events_are_left(self):
        events = [FaultEvent(each, "x", (each,)) for each in range(40)]
        few = shrink_events(
            events, lambda some: {3, 17, 31} <= {each.at for each in some}
        )
        self.assertEqual([each.at for each in few], [3, 17, 31])


if __name__ == "__main__":
    unittest.main()
