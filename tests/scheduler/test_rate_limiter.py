"""Rule 7 and reserves: each test builds the state it needs and calls one function."""

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
    """A volume's limit and reserve, and this gateway's part of them."""

    def test_a_told_part_of_a_limit_holds_until_its_end_and_then_the_other(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        one = queued_request(scheduler, 1)
        scheduler.on_quota_share(0, QuotaKind.LIMIT, 1, GrantedShare(0.5, 4001, 0.25))
        self.assertEqual(
            scheduler.rate_limiter.wait_time(one, 0), 4001
        )  # 2 units at 5 a second
        self.assertEqual(scheduler.rate_limiter.wait_time(one, 4000), 0)
        scheduler.on_quota_share(
            4000, QuotaKind.LIMIT, 1, GrantedShare(0.5, 4000, 0.25)
        )  # over already
        one.volume.limit.level = 0.0
        self.assertEqual(scheduler.rate_limiter.wait_time(one, 4000), 8001)

    def test_what_filled_over_the_end_of_a_part_fills_at_the_smaller(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        one = queued_request(scheduler, 1)
        scheduler.on_quota_share(0, QuotaKind.LIMIT, 1, GrantedShare(0.1, 10_000, 1.0))
        scheduler.rate_limiter.wait_time(one, 20_000)
        self.assertAlmostEqual(one.volume.limit.level, 2.0)

    def test_a_larger_part_brings_no_more_of_what_was_before_it(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        one = queued_request(scheduler, 1)
        scheduler.on_quota_share(0, QuotaKind.LIMIT, 1, GrantedShare(0.1, 99_000, 0.1))
        scheduler.on_quota_share(
            10_000, QuotaKind.LIMIT, 1, GrantedShare(1.0, 99_000, 0.1)
        )
        self.assertAlmostEqual(one.volume.limit.level, 1.0)
        scheduler.on_quota_share(10_000, QuotaKind.LIMIT, 1, GrantedShare(None, 0, 0.0))
        self.assertEqual(scheduler.quota_shares.granted, {})

    def test_a_part_outlives_its_volume(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        one = queued_request(scheduler, 1)
        scheduler.on_quota_share(0, QuotaKind.LIMIT, 1, GrantedShare(0.1, 1 << 50, 0.1))
        one.volume.used_at, one.volume.limit.level = 0, 99.0
        one.volume.reserve.level = 1e9
        scheduler.evict_idle(1 << 40)
        self.assertIn(1, scheduler.volumes.by_id)

    def test_a_told_part_of_a_reserve_takes_the_place_of_the_estimate(self):
        scheduler, _ = make_scheduler(plan={"reserved_rate": 100.0})
        scheduler.on_quota_share(
            0, QuotaKind.RESERVE, 1, GrantedShare(0.9, 1 << 40, 0.5)
        )
        one = queued_request(scheduler, 1, now=10_000)
        self.assertGreater(one.volume.reserve.level, 90.0)

    def test_the_limit_store_starts_empty_and_is_charged_once(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 20.0})
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        self.assertGreater(scheduler.rate_limiter.wait_time(one, 0), 0)
        self.assertEqual(scheduler.rate_limiter.wait_time(one, 2000), 0)
        scheduler.gate.send(one, at, 2000)
        self.assertAlmostEqual(one.volume.limit.level, 0.0)

    def test_a_store_fills_to_its_most(self):
        store = TokenBucket(1.0, 0)
        self.assertEqual(
            [store.fill(5_000, 4.0, 10.0), store.fill(90_000, 4.0, 10.0)], [3.0, 10.0]
        )


if __name__ == "__main__":
    unittest.main()
