"""Model checks of leases, with all guards and with each guard removed."""

import unittest

from milletsill.lab.model_checks import lease_mutation_checks
from milletsill.lab.model_checks.lease_exploration import (
    StartingPoint,
    explore,
    single_events,
    whole_exchanges,
)
from milletsill.lab.model_checks.lease_model import find_violation
from milletsill.lab.model_checks.lease_walk import walk


class LeaseModelTests(unittest.TestCase):
    def test_exploration_of_event_orders_finds_no_violation(self):
        for moves in (single_events, whole_exchanges):
            for start in StartingPoint:
                result = explore(start, 12, 3000, moves)
                self.assertIsNone(result.violation)
                self.assertGreaterEqual(result.depth, 2)
                self.assertEqual(result.clusters, 3000)

    def test_random_walks_find_no_violation(self):
        self.assertIsNone(find_violation(25))
        result = walk(5, 5, 1500, 1)
        self.assertIsNone(result.violation)
        self.assertGreater(result.writes, 50)  # the walk is not trivial

    def test_random_walks_find_a_violation_without_each_guard(self):
        for guard, mutation in lease_mutation_checks.MUTATIONS.items():
            with self.subTest(guard), lease_mutation_checks.without_guard(guard):
                violation = find_violation(40, first_seed=mutation.first_seed)
                self.assertIsNotNone(violation)


if __name__ == "__main__":
    unittest.main()
