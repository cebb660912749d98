"""Tests of loans, grants and plans of quota shares, and their model check."""

import unittest
from dataclasses import replace

from milletsill.interface import QuotaKind
from milletsill.lab.model_checks import quota_model, quota_mutation_checks
from milletsill.lab.model_checks.quota_cluster import KEY, SimulatedQuotaFleet
from milletsill.planner.quota_ledger import GrantOutcome, QuotaHolding, QuotaLedger
from milletsill.planner.quota_plan import (
    PLAN_INTERVAL,
    QuotaShare,
    SharedQuota,
    TimedShare,
    max_min_fair,
    plan_quota,
)
from milletsill.planner.quota_planner import QuotaPlanner
from milletsill.planner.quota_terms import (
    GRANT_GUARD,
    MAX_LOANS,
    SECOND,
    WHOLE,
    QuotaGrant,
    QuotaKey,
    QuotaLoan,
    QuotaRequest,
    QuotaTimings,
    ReportedLoan,
    even_share,
)

TIMINGS = QuotaTimings(4 * SECOND, 5, 0.2)
NOW = 1000 * SECOND
LONG_AGO = -1 << 60


def ledger_of(gateways=4, fresh=True, epoch=1):
    ledger = QuotaLedger("e", 1, TIMINGS, NOW, fresh)
    ledger.track(KEY, gateways)
    ledger.accept_epoch(epoch)
    return ledger


def grant(**values):
    return replace(QuotaGrant(1, 1, KEY, 1, 0, 4 * SECOND, 0, NOW, 500, 0), **values)


def request(name="a", **values):
    return replace(QuotaRequest(name, 1, 1, KEY, 0, 250_000, (), NOW), **values)


class Ledger(unittest.TestCase):
    def test_without_a_planner_a_gateway_uses_its_even_share(self):
        self.assertEqual(
            (ledger_of().share(KEY, NOW), ledger_of().holdings[KEY].change_times()),
            (250_000, [0]),
        )

    def test_even_shares_never_exceed_the_whole(self):
        self.assertTrue(all(each * even_share(each) <= WHOLE for each in range(1, 400)))

    def test_a_loan_reduces_the_share_until_it_ends(self):
        ledger = ledger_of()
        self.assertIs(
            ledger.on_grant(grant(to_lend=100_000), NOW + 10), GrantOutcome.ACCEPTED
        )
        self.assertEqual(
            [
                ledger.share(KEY, NOW + at)
                for at in (11, 4 * SECOND + 9, 4 * SECOND + 10)
            ],
            [150_000, 150_000, 250_000],
        )

    def test_a_grant_lasts_from_the_time_of_its_request(self):
        ledger = ledger_of()
        ledger.on_grant(grant(granted=300_000), NOW + 3 * SECOND)
        self.assertEqual(
            [
                ledger.share(KEY, NOW + at)
                for at in (
                    3 * SECOND,
                    4 * SECOND - GRANT_GUARD - 1,
                    4 * SECOND - GRANT_GUARD,
                )
            ],
            [550_000, 550_000, 250_000],
        )

    def test_an_expired_grant_is_not_used(self):
        ledger = ledger_of()
        self.assertIs(
            ledger.on_grant(grant(granted=300_000), NOW + 4 * SECOND),
            GrantOutcome.EXPIRED,
        )
        self.assertEqual(ledger.share(KEY, NOW + 4 * SECOND), 250_000)

    def test_a_loan_is_never_reduced_before_its_end(self):
        ledger = ledger_of()
        ledger.on_grant(grant(to_lend=100_000), NOW)
        ledger.on_grant(grant(to_lend=0, sequence=2), NOW + SECOND)
        self.assertEqual(
            [ledger.share(KEY, NOW + at) for at in (SECOND, 4 * SECOND)],
            [150_000, 250_000],
        )

    def test_the_floor_is_never_lent(self):
        ledger = ledger_of()
        ledger.on_grant(grant(to_lend=WHOLE), NOW)
        self.assertEqual(ledger.share(KEY, NOW), 50_000)

    def test_a_new_epoch_gets_no_loan_while_one_to_the_old_epoch_stands(self):
        ledger = ledger_of()
        ledger.on_grant(grant(to_lend=100_000), NOW)
        self.assertTrue(ledger.accept_epoch(2))
        ledger.on_grant(grant(epoch=2, to_lend=200_000), NOW + SECOND)
        self.assertEqual(ledger.share(KEY, NOW + SECOND), 150_000)
        self.assertEqual(ledger.make_request(KEY, 0, NOW + SECOND).loans, ())
        ledger.on_grant(
            grant(epoch=2, to_lend=200_000, sequence=2, requested_at=NOW + 4 * SECOND),
            NOW + 4 * SECOND,
        )
        self.assertEqual(
            (
                ledger.share(KEY, NOW + 4 * SECOND),
                ledger.make_request(KEY, 0, NOW + 4 * SECOND).loans,
            ),
            (50_000, ((200_000, 500),)),
        )

    def test_an_older_epoch_is_rejected(self):
        ledger = ledger_of(epoch=5)
        self.assertEqual(
            (ledger.accept_epoch(4), ledger.accept_epoch(5), ledger.accept_epoch(6)),
            (False, True, True),
        )
        self.assertIs(
            ledger.on_grant(grant(epoch=5, granted=9), NOW), GrantOutcome.STALE_EPOCH
        )

    def test_stale_or_invalid_grants_change_nothing(self):
        ledger = ledger_of()
        ledger.on_grant(grant(sequence=7, granted=1), NOW)
        for each, outcome in (
            (grant(sequence=7, granted=5), GrantOutcome.STALE_SEQUENCE),
            (grant(sequence=6, granted=5), GrantOutcome.STALE_SEQUENCE),
            (grant(sequence=8, granted=WHOLE + 1), GrantOutcome.INVALID),
            (grant(sequence=8, to_lend=-1), GrantOutcome.INVALID),
            (grant(sequence=8, requested_at=NOW + 1), GrantOutcome.INVALID),
            (grant(sequence=8, duration=9 * SECOND), GrantOutcome.INVALID),
            (grant(sequence=8, key=QuotaKey(QuotaKind.LIMIT, 2)), GrantOutcome.INVALID),
            (grant(sequence=8, incarnation=9, granted=5), GrantOutcome.INVALID),
        ):
            self.assertIs(ledger.on_grant(each, NOW), outcome)
        self.assertEqual(ledger.share(KEY, NOW), 250_001)

    def test_a_restarted_gateway_uses_the_floor_and_lends_nothing(self):
        ledger = ledger_of(fresh=False)
        ledger.on_grant(grant(to_lend=100_000), NOW)
        self.assertEqual(
            [ledger.share(KEY, NOW + at) for at in (0, 4 * SECOND - 1, 4 * SECOND)],
            [50_000, 50_000, 250_000],
        )
        self.assertEqual(ledger.make_request(KEY, 0, NOW).loans, ())

    def test_a_smaller_loan_stands_beside_a_larger_one_that_ends_earlier(self):
        ledger = ledger_of()
        ledger.on_grant(grant(to_lend=100_000), NOW)
        ledger.on_grant(
            grant(
                to_lend=60_000, sequence=2, requested_at=NOW + SECOND, planner_time=777
            ),
            NOW + SECOND,
        )
        self.assertEqual(
            [ledger.share(KEY, NOW + at) for at in (SECOND, 4 * SECOND, 5 * SECOND)],
            [150_000, 190_000, 250_000],
        )
        self.assertEqual(
            ledger.make_request(KEY, 0, NOW + SECOND).loans,
            ((100_000, 500), (60_000, 777)),
        )

    def test_merging_loans_bounds_their_number_and_reduces_none(self):
        holding = QuotaHolding(WHOLE, 0)
        before = []
        for each in range(20):
            holding.add_loan(
                QuotaLoan(1000 - each, NOW + each * 100 + SECOND, each), NOW
            )
            self.assertLessEqual(len(holding.loans), MAX_LOANS + 1)
            now = [holding.lent(NOW + at) for at in range(0, SECOND, 500)]
            self.assertTrue(
                all(new >= old for new, old in zip(now, before or now, strict=True))
            )
            before = now


class Planner(unittest.TestCase):
    def lend(self, planner, now=NOW, share=100_000):
        """Make the planner count a loan of one gateway."""
        planner.on_request(request("lender"), now)
        planner.on_request(
            request("lender", loans=(ReportedLoan(share, now),), sent_at=NOW + 1),
            now + 10,
        )

    def request_whole_quota(self, planner, name, now):
        """Request the whole quota in six plans, until the smoothed want follows."""
        for each in range(6):
            if planner.quotas:
                planner.quotas[KEY].planned_at = LONG_AGO
            result = planner.on_request(
                request(name, wanted=WHOLE, sent_at=NOW + each), now
            )
        return result

    def test_nothing_is_granted_without_a_loan(self):
        planner = QuotaPlanner(1, TIMINGS)
        self.assertEqual(
            planner.on_request(request("borrower", wanted=WHOLE), NOW).granted, 0
        )

    def test_a_grant_ends_before_the_earliest_end_of_its_loan(self):
        planner = QuotaPlanner(1, TIMINGS)
        self.lend(planner)
        result = self.request_whole_quota(planner, "borrower", NOW + 20)
        self.assertEqual(result.granted, 100_000)
        self.assertLessEqual(
            NOW + 20 + TIMINGS.max_local_duration(result.duration),
            NOW + TIMINGS.min_local_duration(4 * SECOND),
        )

    def test_a_lent_share_is_granted_only_once(self):
        planner = QuotaPlanner(1, TIMINGS)
        self.lend(planner)
        first = self.request_whole_quota(planner, "borrower", NOW + 20)
        second = self.request_whole_quota(planner, "other", NOW + 30)
        self.assertGreater(first.granted, 0)
        self.assertLessEqual(first.granted + second.granted, 100_000)

    def test_a_larger_grant_that_may_still_be_in_use_stays_counted(self):
        share = QuotaShare(
            1, grants=[TimedShare(300, NOW + 50), TimedShare(100, NOW + 90)]
        )
        self.assertEqual([share.granted(NOW + at) for at in (0, 50, 90)], [300, 100, 0])

    def test_a_loan_to_another_epoch_is_not_counted(self):
        planner = QuotaPlanner(2, TIMINGS)
        planner.on_request(
            request("lender", epoch=1, loans=(ReportedLoan(100_000, NOW),)), NOW
        )
        self.assertEqual(
            planner.on_request(
                request("borrower", epoch=2, wanted=WHOLE), NOW + 1
            ).granted,
            0,
        )

    def test_stale_or_invalid_requests_are_ignored(self):
        planner = QuotaPlanner(1, TIMINGS, max_gateways=1, max_quotas=1)
        planner.on_request(request("a", incarnation=3, sent_at=NOW + 5), NOW)
        for each in (
            request("a", incarnation=2),
            request("a", incarnation=3, sent_at=NOW),
            request("b"),
            request("a", incarnation=3, key=QuotaKey(QuotaKind.LIMIT, 2)),
            request("a", wanted=-1),
            request("a", wanted=1000 * WHOLE),
            request("a", even_share=0),
            request("a", loans=(ReportedLoan(250_001, 0),)),
            request("a", loans=(ReportedLoan(1, 0),) * 9),
            request("a", even_share=300_000, incarnation=3, sent_at=NOW + 9),
            request("a", loans=(ReportedLoan(1, NOW + 1),)),
        ):
            self.assertIsNone(planner.on_request(each, NOW), each)
        self.assertEqual(len(planner.quotas[KEY].shares), 1)

    def test_a_quiet_gateway_is_asked_to_lend_when_another_wants_more(self):
        planner = QuotaPlanner(1, TIMINGS)
        planner.connected = {"quiet", "busy"}
        result = planner.on_request(request("quiet"), NOW)
        self.assertEqual(result.ask_again_within, TIMINGS.max_duration * 8)
        later = NOW + 5 * SECOND
        for each in range(6):
            planner.quotas[KEY].planned_at = LONG_AGO
            planner.on_request(request("busy", wanted=WHOLE, sent_at=NOW + each), later)
        (unsolicited,) = planner.take_unsolicited()
        name, grant = unsolicited.gateway, unsolicited.grant
        self.assertEqual((name, grant.granted, grant.requested_at), ("quiet", 0, NOW))
        self.assertGreater(grant.to_lend, 0)
        self.assertEqual(planner.take_unsolicited(), [])

    def test_a_late_unsolicited_grant_still_makes_its_loan(self):
        ledger = ledger_of()
        self.assertIs(
            ledger.on_grant(grant(to_lend=100_000), NOW + 60 * SECOND),
            GrantOutcome.EXPIRED,
        )
        self.assertEqual(ledger.share(KEY, NOW + 60 * SECOND), 150_000)

    def test_a_frozen_planner_keeps_its_plan(self):
        planner = QuotaPlanner(1, TIMINGS)
        planner.frozen = True
        self.lend(planner)
        self.assertEqual(
            planner.on_request(request("borrower", wanted=WHOLE), NOW + 20).granted, 0
        )


class Plan(unittest.TestCase):
    def quota(self, *wants):
        quota = SharedQuota(250_000)
        for place, want in enumerate(wants):
            quota.shares[str(place)] = QuotaShare(250_000, want, reported_at=NOW)
        return quota

    def settle(self, quota, rounds=12):
        for each in range(rounds):
            for share in quota.shares.values():
                share.reported_at = NOW + each * PLAN_INTERVAL
            plan_quota(quota, TIMINGS, NOW + each * PLAN_INTERVAL)
        return {
            name: (each.to_lend, each.to_grant) for name, each in quota.shares.items()
        }

    def test_max_min_fair_divides_what_small_wants_leave(self):
        self.assertEqual(
            max_min_fair({"a": 10, "b": 50, "c": 90}, 100), {"a": 10, "b": 45, "c": 45}
        )
        self.assertEqual(max_min_fair({"a": 0}, 100), {"a": 0})

    def test_gateways_lend_only_as_much_as_others_want(self):
        result = self.settle(self.quota(0, 0, 0, 500_000))
        self.assertGreater(result["3"][1], 300_000)
        self.assertAlmostEqual(
            sum(lend for lend, _ in result.values()), result["3"][1], delta=20_000
        )

    def test_nothing_is_lent_if_no_gateway_wants_more(self):
        self.assertEqual(
            {lend for lend, _ in self.settle(self.quota(0, 10, 100, 1000)).values()},
            {0},
        )

    def test_no_plan_lends_the_floor(self):
        result = self.settle(self.quota(0, 0, 0, WHOLE), 40)
        self.assertTrue(all(lend < 200_000 for lend, _ in result.values()))

    def test_one_report_changes_loans_by_at_most_one_step(self):
        quota = self.quota(0, 0, 0, WHOLE)
        plan_quota(quota, TIMINGS, NOW)
        self.assertTrue(
            all(each.to_lend <= 250_000 // 4 for each in quota.shares.values())
        )

    def test_a_silent_gateway_keeps_its_share_until_it_expires(self):
        quota = self.quota(0, 0, 0, WHOLE)
        quota.shares["0"].reported_at = NOW - 5 * SECOND
        plan_quota(quota, TIMINGS, NOW)
        self.assertEqual(quota.shares["0"].to_lend, 0)
        plan_quota(quota, TIMINGS, NOW + 3600 * SECOND)
        self.assertEqual(quota.shares, {})


class Model(unittest.TestCase):
    def test_all_event_orders_of_a_small_fleet_are_safe(self):
        for gateways, depth, first in ((2, 4, 6), (3, 3, 9)):
            result = quota_model.explore(gateways, depth, 100_000, first)
            self.assertIsNone(result.violation)
            self.assertGreater(result.states, 300)

    def test_random_walks_of_a_large_fleet_with_drifting_clocks_are_safe(self):
        for seed in range(6):
            self.assertIsNone(quota_model.random_walk(20, 1500, seed).violation)

    def test_the_model_finds_each_removed_guard(self):
        for guard in quota_mutation_checks.MUTATIONS:
            with self.subTest(guard), quota_mutation_checks.without(guard):
                self.assertIsNotNone(quota_model.find_violation(300))

    def test_an_overtaken_grant_is_counted_until_its_end(self):
        self.assertLessEqual(quota_model.overtaken_grant(), WHOLE)

    def test_the_modelled_planner_grants_shares(self):
        fleet = SimulatedQuotaFleet(4)
        for step in range(80):
            fleet.exchange(step % 4)
            fleet.pass_time(SECOND // 8)
        self.assertGreater(fleet.share(0), 600_000)


if __name__ == "__main__":
    unittest.main()
