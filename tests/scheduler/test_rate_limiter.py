"""Rate limits and reserves.

Each test builds the state that it needs and calls one function.
"""

import unittest

from milletsill.interface import (
    GrantedShare,
    QuotaKind,
)
from milletsill.scheduler.token_bucket import TokenBucket
from tests.support.scheduler_builders import (
    make_scheduler,
    queued_request,
    storage_node,
)


class Quotas(unittest.TestCase):
    """A volume's limit and reserve, and this gateway's share of them."""

    def test_a_granted_share_of_a_limit_expires_to_the_fallback_share(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        queued = queued_request(scheduler, 1)
        scheduler.on_quota_share(0, QuotaKind.LIMIT, 1, GrantedShare(0.5, 4001, 0.25))
        self.assertEqual(
            scheduler.rate_limiter.wait_time(queued, 0), 4001
        )  # 2 units at 5 units per second
        self.assertEqual(scheduler.rate_limiter.wait_time(queued, 4000), 0)
        scheduler.on_quota_share(
            4000, QuotaKind.LIMIT, 1, GrantedShare(0.5, 4000, 0.25)
        )  # already expired
        queued.volume.limit.level = 0.0
        self.assertEqual(scheduler.rate_limiter.wait_time(queued, 4000), 8001)

    def test_a_refill_across_the_expiry_uses_the_smaller_share(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        queued = queued_request(scheduler, 1)
        scheduler.on_quota_share(0, QuotaKind.LIMIT, 1, GrantedShare(0.1, 10_000, 1.0))
        scheduler.rate_limiter.wait_time(queued, 20_000)
        self.assertAlmostEqual(queued.volume.limit.level, 2.0)

    def test_a_larger_share_does_not_apply_to_time_before_its_grant(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        queued = queued_request(scheduler, 1)
        scheduler.on_quota_share(0, QuotaKind.LIMIT, 1, GrantedShare(0.1, 99_000, 0.1))
        scheduler.on_quota_share(
            10_000, QuotaKind.LIMIT, 1, GrantedShare(1.0, 99_000, 0.1)
        )
        self.assertAlmostEqual(queued.volume.limit.level, 1.0)
        scheduler.on_quota_share(10_000, QuotaKind.LIMIT, 1, GrantedShare(None, 0, 0.0))
        self.assertEqual(scheduler.quota_shares.granted, {})

    def test_a_volume_with_a_granted_share_is_not_evicted(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        queued = queued_request(scheduler, 1)
        scheduler.on_quota_share(0, QuotaKind.LIMIT, 1, GrantedShare(0.1, 1 << 50, 0.1))
        queued.volume.used_at, queued.volume.limit.level = 0, 99.0
        queued.volume.reserve.level = 1e9
        scheduler.evict_idle(1 << 40)
        self.assertIn(1, scheduler.volumes.by_id)

    def test_a_granted_share_of_a_reserve_replaces_the_estimate(self):
        scheduler, _ = make_scheduler(plan={"reserved_rate": 100.0})
        scheduler.on_quota_share(
            0, QuotaKind.RESERVE, 1, GrantedShare(0.9, 1 << 40, 0.5)
        )
        queued = queued_request(scheduler, 1, now=10_000)
        self.assertGreater(queued.volume.reserve.level, 90.0)

    def test_the_limit_bucket_starts_empty_and_is_charged(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        self.assertGreater(scheduler.rate_limiter.wait_time(queued, 0), 0)
        self.assertEqual(scheduler.rate_limiter.wait_time(queued, 2000), 0)
        scheduler.gate.send(queued, node, 2000)
        self.assertAlmostEqual(queued.volume.limit.level, 0.0)

    def test_a_token_bucket_fills_up_to_its_depth(self):
        store = TokenBucket(1.0, 0)
        self.assertEqual(
            [store.fill(5_000, 4.0, 10.0), store.fill(90_000, 4.0, 10.0)], [3.0, 10.0]
        )


if __name__ == "__main__":
    unittest.main()
