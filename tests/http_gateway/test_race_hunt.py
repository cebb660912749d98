"""Fault search for races in the HTTP gateway.

A whole gateway runs on a simulated clock with seeded random events. A run must fail
when one of the gateway's guards is disabled.
"""

import unittest

from tests.http_gateway.test_sites import VARIANTS
from tests.support.race_guards import SEED_BY_GUARD, without_guard
from tests.support.race_scenarios import RaceSimulation
from tests.support.race_sites import site_settings

SEEDS, SEEDS_PER_SITE = range(100), range(10)


class RaceSearchTests(unittest.TestCase):
    def assert_seeds_pass(self, simulation, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertIsNone(simulation.play(seed, simulation.draw_events(seed)))

    def test_drawn_seeds_pass(self):
        self.assert_seeds_pass(RaceSimulation(), SEEDS)

    def test_drawn_seeds_pass_with_the_settings_of_each_site(self):
        for name in VARIANTS:
            with self.subTest(name):
                self.assert_seeds_pass(
                    RaceSimulation(settings=site_settings(name)), SEEDS_PER_SITE
                )

    def test_a_seed_always_gives_the_same_run(self):
        simulation = RaceSimulation()
        self.assertEqual(simulation.draw_events(7), simulation.draw_events(7))
        with without_guard("a reset does not complete a response"):
            seed = SEED_BY_GUARD["a reset does not complete a response"]
            self.assertEqual(
                *(simulation.play(seed, simulation.draw_events(seed)) for _ in range(2))
            )


class DisabledGuardTests(unittest.TestCase):
    def test_a_run_fails_without_each_guard(self):
        simulation = RaceSimulation()
        for name, seed in SEED_BY_GUARD.items():
            with self.subTest(name):
                self.assertIsNone(
                    simulation.play(seed, simulation.draw_events(seed)),
                    "fails with the guard",
                )
                with without_guard(name):
                    self.assertIsNotNone(
                        simulation.play(seed, simulation.draw_events(seed)),
                        "passes without the guard",
                    )


if __name__ == "__main__":
    unittest.main()
