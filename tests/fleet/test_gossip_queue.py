"""The gossip queue, which selects the updates to piggyback."""

import unittest

from milletsill.fleet.gossip.gossip_queue import GossipQueue, retransmit_limit


class GossipQueueTests(unittest.TestCase):
    def test_least_sent_updates_go_first_and_transmits_are_limited(self):
        queue = GossipQueue()
        sent = []
        for each in range(10):
            queue.add(f"n{each}")
        self.assertEqual(queue.take(30, 4, lambda name: 10), ["n0", "n1", "n2"])
        self.assertEqual(queue.take(30, 4, lambda name: 10), ["n3", "n4", "n5"])
        while queue:
            sent += queue.take(70, 4, lambda name: 10)
        self.assertEqual(
            {each: sent.count(each) for each in ("n0", "n9")}, {"n0": 3, "n9": 4}
        )
        self.assertEqual(retransmit_limit(1024), 33)


if __name__ == "__main__":
    unittest.main()
