"""Lower bounds of the readings of other gateways' clocks."""

import unittest

from milletsill.fleet.peer_clocks import MAX_KNOWN_GATEWAYS, PeerClocks, RemoteTime


class PeerClocksTests(unittest.TestCase):
    def test_a_remote_time_is_never_later_than_the_true_one(self):
        """Checks clocks with the largest allowed drift, before and after a reading."""
        drift = 5
        for own_rate, peer_rate in ((1000 - drift, 1000 + drift), (1005, 995)):
            clocks = PeerClocks(drift)
            received_at = 100_000 * own_rate // 1000
            clocks.on_reading("b", 9, 100_000 * peer_rate // 1000, received_at)
            for true_time in range(90_000, 140_000, 1_111):
                at = true_time * own_rate // 1000
                remote = clocks.to_remote("b", at, received_at)
                self.assertEqual(remote.clock_id, 9)
                self.assertLessEqual(remote.reading, true_time * peer_rate // 1000 + 1)

    def test_the_reading_with_the_later_bound_is_kept(self):
        clocks = PeerClocks(5)
        clocks.on_reading("b", 9, 5_000, 100)
        clocks.on_reading("b", 9, 4_000, 100)
        self.assertEqual(clocks.to_remote("b", 100, 100), RemoteTime(9, 5_000))
        clocks.on_reading("b", 9, 6_000, 100)
        self.assertEqual(clocks.to_remote("b", 100, 100), RemoteTime(9, 6_000))
        clocks.on_reading("b", 10, 1, 100)  # a new start has a new clock
        self.assertEqual(clocks.to_remote("b", 100, 100), RemoteTime(10, 1))

    def test_what_is_too_old_or_unknown_says_nothing(self):
        clocks = PeerClocks(5)
        clocks.on_reading("b", 9, 0, 0)
        self.assertIsNone(clocks.to_remote("c", 0, 0))
        self.assertIsNotNone(clocks.to_remote("b", 0, 50_000))
        self.assertIsNone(clocks.to_remote("b", 0, 50_100))

    def test_the_number_of_known_gateways_is_limited(self):
        clocks = PeerClocks(5)
        for each in range(MAX_KNOWN_GATEWAYS + 1):
            clocks.on_reading(f"g{each}", 9, 0, 0)
        self.assertEqual(len(clocks.readings), MAX_KNOWN_GATEWAYS)
        self.assertIsNone(clocks.to_remote("g0", 0, 0))


if __name__ == "__main__":
    unittest.main()
