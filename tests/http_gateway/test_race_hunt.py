"""The hunt of crossings.

A whole gateway on a simulated clock under moves that chance draws, and that a guard's
loss is found.
"""

import unittest

from tests.http_gateway.test_sites import VARIANTS
from tests.support.race_guards import SEED_BY_GUARD, without_guard
from tests.support.race_scenarios import RaceSimulation
from tests.support.race_sites import site_settings

SEEDS, OF_SITES = range(100), range(10)


class Hunt(unittest.TestCase):
    def kept(self, game, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertIsNone(game.play(seed, game.draw_events(seed)))

    def test_drawn_seeds_are_kept(self):
        self.kept(RaceSimulation(), SEEDS)

    def test_settings_of_the_sites_are_kept(self):
        for name in VARIANTS:
            with self.subTest(name):
                self.kept(RaceSimulation(settings=site_settings(name)), OF_SITES)

    def test_the_same_seed_is_the_same_run(self):
        game = RaceSimulation()
        self.assertEqual(game.draw_events(7), game.draw_events(7))
        with without_guard("a reset does not complete a response"):
            seed = SEED_BY_GUARD["a reset does not complete a response"]
            self.assertEqual(
                *(game.play(seed, game.draw_events(seed)) for _ in range(2))
            )


class GuardsOut(unittest.TestCase):
    def test_a_guard_out_is_found(self):
        game = RaceSimulation()
        for name, seed in SEED_BY_GUARD.items():
            with self.subTest(name):
                self.assertIsNone(
                    game.play(seed, game.draw_events(seed)), "kept with it"
                )
                with without_guard(name):
                    self.assertIsNotNone(
                        game.play(seed, game.draw_events(seed)), "not found without it"
                    )


if __name__ == "__main__":
    unittest.main()
