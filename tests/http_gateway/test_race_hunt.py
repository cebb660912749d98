"""Fault search for races in the HTTP gateway.

A whole gateway runs on a simulated clock with seeded random events. A run must fail
when one of the gateway's guards is disabled.
"""

import unittest

from tests.http_gateway.test_sites import VARIANTS
from tests.support.race_guards import FOUND_BY, without
from tests.support.race_scenarios import Crossings
from tests.support.race_sites import site

SEEDS, SEEDS_PER_SITE = range(100), range(10)


class RaceSearchTests(unittest.TestCase):
    def assert_seeds_pass(self, simulation, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertIsNone(simulation.play(seed, simulation.drawn(seed)))

    def test_drawn_seeds_pass(self):
        self.assert_seeds_pass(Crossings(), SEEDS)

    def test_drawn_seeds_pass_with_the_settings_of_each_site(self):
        for name in VARIANTS:
            with self.subTest(name):
                self.assert_seeds_pass(Crossings(settings=site(name)), SEEDS_PER_SITE)

    def test_a_seed_always_gives_the_same_run(self):
        simulation = Crossings()
        self.assertEqual(simulation.drawn(7), simulation.drawn(7))
        with without("a reset is no end"):
            seed = FOUND_BY["a reset is no end"]
            self.assertEqual(
                *(simulation.play(seed, simulation.drawn(seed)) for _ in range(2))
            )


class DisabledGuardTests(unittest.TestCase):
    def test_a_run_fails_without_each_guard(self):
        simulation = Crossings()
        for name, seed in FOUND_BY.items():
            with self.subTest(name):
                self.assertIsNone(
                    simulation.play(seed, simulation.drawn(seed)),
                    "fails with the guard",
                )
                with without(name):
                    self.assertIsNotNone(
                        simulation.play(seed, simulation.drawn(seed)),
                        "passes without the guard",
                    )


if __name__ == "__main__":
    unittest.main()
