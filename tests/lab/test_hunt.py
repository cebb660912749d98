"""Hunts: seeds that once failed, a few that are drawn, and that a guard's loss is found and made small."""

import unittest

from milletsill.lab.hunt import guards, list_world
from milletsill.lab.hunt.decide import Event, hunt, smaller
from milletsill.lab.hunt.fleet_world import FleetGame
from milletsill.lab.hunt.list_world import ListGame

# What was found, made small: each broke something once.
LISTS = {
    "a key takes another id": (
        5,
        [Event(378_680, "put", (6, False, 14)), Event(437_550, "put", (6, False, 6))],
    ),
    "a registry is restored behind a watch": (
        63,
        [Event(130_850, "put", (0, False, 0)), Event(138_120, "restore", (0, True))],
    ),
    "a key goes after the watch's last word": (
        76,
        [
            Event(186_030, "flood", (40,)),
            Event(378_940, "delete", (5,)),
            Event(379_280, "silence"),
            Event(379_480, "delete", (7,)),
        ],
    ),
    "a restored registry comes to the same numbers": (
        823,
        [
            Event(243_480, "put", (5, True, 5)),
            Event(339_060, "gone_for", (27_377, True)),
            Event(360_720, "restore", (1, True)),
            Event(387_520, "put", (2, True, 2)),
        ],
    ),
}
FLEETS = {
    "a slow box of a small fleet is well again": (
        0,
        [Event(148_730, "make_ill", (5, 0.33, 2.5, 31_398))],
    ),
    "a box that failed and that few may try is well again": (
        396,
        [
            Event(91_330, "stutter_most", (103_506, 18_274)),
            Event(91_610, "trouble", (0, 15_828)),
            Event(95_570, "stutter_most", (130_712, 24_355)),
            Event(134_710, "make_ill", (0, 0.33, 1.0, 55_350)),
        ],
    ),
    "a slow box that few speak of is well again": (
        56,
        [Event(191_780, "make_ill", (0, 1.0, 2.5, 9565))],
    ),
}


class Seeds(unittest.TestCase):
    def test_what_was_found_once_is_kept_now(self):
        for game, seeds in ((ListGame(), LISTS), (FleetGame(), FLEETS)):
            for name, (seed, events) in seeds.items():
                with self.subTest(name):
                    self.assertIsNone(game.play(seed, events))

    def test_drawn_seeds_are_kept(self):
        self.assertEqual(hunt(ListGame(), range(40)), (40, []))
        self.assertEqual(hunt(FleetGame(), range(1, 2)), (1, []))

    def test_the_same_seed_is_the_same_run(self):
        for game in (ListGame(), FleetGame()):
            self.assertEqual(game.drawn(7), game.drawn(7))


class GuardsOut(unittest.TestCase):
    def test_a_guard_out_is_found_and_made_small(self):
        for name, seed in (
            ("a broken watch is told", 1),
            ("a silent watch is found", 2),
            ("keys that went are counted", 31),
        ):
            with self.subTest(name), list_world.MUTANTS[name]():
                played, found = hunt(ListGame(), [seed])
                self.assertLessEqual(len(found[0].events), 4)
                self.assertIn(f"seed {seed}", found[0].page())
        with guards.MUTANTS["health: a box that all may try is well again"]():
            self.assertIsNotNone(
                FleetGame().play(*FLEETS["a slow box of a small fleet is well again"])
            )


class Smaller(unittest.TestCase):
    def test_only_what_it_takes_is_left(self):
        events = [Event(each, "x", (each,)) for each in range(40)]
        few = smaller(events, lambda some: {3, 17, 31} <= {each.at for each in some})
        self.assertEqual([each.at for each in few], [3, 17, 31])


if __name__ == "__main__":
    unittest.main()
