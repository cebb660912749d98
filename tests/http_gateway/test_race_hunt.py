"""The hunt of crossings.

A whole gateway on a simulated clock under moves that chance draws, and that a guard's
loss is found.
"""

import unittest

from tests.http_gateway.test_sites import VARIANTS
from tests.support.race_guards import FOUND_BY, without
from tests.support.race_scenarios import Crossings
from tests.support.race_sites import site

SEEDS, OF_SITES = range(100), range(10)


class Hunt(unittest.TestCase):
    def kept(self, game, seeds):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.assertIsNone(game.play(seed, game.drawn(seed)))

    def test_drawn_seeds_are_kept(self):
        self.kept(Crossings(), SEEDS)

    def test_settings_of_the_sites_are_kept(self):
        for name in VARIANTS:
            with self.subTest(name):
                self.kept(Crossings(settings=site(name)), OF_SITES)

    def test_the_same_seed_is_the_same_run(self):
        game = Crossings()
        self.assertEqual(game.drawn(7), game.drawn(7))
        with without("a reset is no end"):
            seed = FOUND_BY["a reset is no end"]
            self.assertEqual(*(game.play(seed, game.drawn(seed)) for _ in range(2)))


class GuardsOut(unittest.TestCase):
    def test_a_guard_out_is_found(self):
        game = Crossings()
        for name, seed in FOUND_BY.items():
            with self.subTest(name):
                self.assertIsNone(game.play(seed, game.drawn(seed)), "kept with it")
                with without(name):
                    self.assertIsNotNone(
                        game.play(seed, game.drawn(seed)), "not found without it"
                    )


if __name__ == "__main__":
    unittest.main()
