"""Flow export: its decisions, its flow cache and the tracking of sequence numbers."""

import unittest
from random import Random

from milletsill.flows.collector_states import (
    CollectorEffect,
    CollectorEvent,
    CollectorState,
    backoff,
    select_all,
    select_failover,
    transition,
)
from milletsill.flows.delivery_account import DeliveryAccount, FlowRecordCounts
from milletsill.flows.export_settings import TemplateSchedule
from milletsill.flows.export_stream import TemplateProgress, templates_due
from milletsill.flows.flow_cache import FlowCache, FlowCacheSettings
from milletsill.flows.flow_expiry import expiry_reason, select_victim
from milletsill.flows.flow_records import (
    CommandOutcome,
    Exchange,
)
from milletsill.flows.metering_policy import MeteringControl, MeteringLevel
from milletsill.flows.metering_process import MeteringProcess
from milletsill.flows.record_queue import FlowRecordKind, kind_to_drop
from milletsill.flows.sequence_tracker import SequenceTracker
from milletsill.flows.templates import CLIENT_FLOW, FlowEndReason
from tests.support.flow_keys import client_flow_key


class FlowExportDecisions(unittest.TestCase):
    def observe_costs(self, metering, *shares):
        return [metering.observe_cost(each, 0.05) for each in shares]

    def test_cost_steps_metering_down_and_only_long_calm_up_again(self):
        metering = MeteringControl()
        self.assertEqual(self.observe_costs(metering, 0.06, 0.06), [False, True])
        self.assertEqual(metering.level, MeteringLevel.FLOWS)
        self.observe_costs(metering, 0.06, 0.06)
        self.assertEqual(
            (metering.level, metering.interval), (MeteringLevel.SAMPLED, 2)
        )
        self.observe_costs(metering, 0.06, 0.06)
        self.assertEqual(metering.interval, 4)
        self.assertEqual(self.observe_costs(metering, *[0.01] * 7), [False] * 7)
        self.observe_costs(metering, *[0.01] * 9)
        self.assertEqual((metering.level, metering.interval), (MeteringLevel.FLOWS, 1))

    def test_a_fair_cost_between_the_bounds_moves_nothing(self):
        metering = MeteringControl()
        self.assertEqual(set(self.observe_costs(metering, *[0.04] * 50)), {False})

    def test_no_closer_than_the_operator_wants(self):
        metering = MeteringControl(MeteringLevel.FLOWS, MeteringLevel.FLOWS)
        self.observe_costs(metering, *[0.0] * 40)
        self.assertEqual(metering.level, MeteringLevel.FLOWS)

    def test_one_in_the_interval_is_selected(self):
        metering = MeteringControl(level=MeteringLevel.SAMPLED, interval=4)
        self.assertEqual(sum(metering.selects() for _ in range(100)), 25)

    def test_the_smallest_of_the_oldest_leaves(self):
        flows = [
            (str(each), size) for each, size in enumerate([9, 5, 7, 1, 8, 8, 8, 8, 0])
        ]
        self.assertEqual(select_victim(flows, lambda each: each), "3")

    def test_when_flows_end(self):
        self.assertEqual(
            [
                expiry_reason(*each)
                for each in (
                    (100, 0, 90, 1000, 50),
                    (100, 0, 50, 1000, 50),
                    (1000, 0, 990, 1000, 50),
                )
            ],
            [None, FlowEndReason.IDLE_TIMEOUT, FlowEndReason.ACTIVE_TIMEOUT],
        )

    def test_the_least_needed_kind_goes_first(self):
        self.assertEqual(
            [
                kind_to_drop(
                    {
                        FlowRecordKind.COMMAND: 1,
                        FlowRecordKind.FLOW: 5,
                        FlowRecordKind.OPTION: 1,
                    }
                ),
                kind_to_drop({FlowRecordKind.COMMAND: 0, FlowRecordKind.FLOW: 5}),
            ],
            [FlowRecordKind.COMMAND, FlowRecordKind.FLOW],
        )

    def test_templates_go_once_on_tcp_and_again_on_udp(self):
        self.assertEqual(
            [
                templates_due(
                    TemplateSchedule(over_udp, interval, message_interval),
                    TemplateProgress(times_sent, 0, messages_since),
                    now,
                )
                for (
                    over_udp,
                    times_sent,
                    now,
                    messages_since,
                    interval,
                    message_interval,
                ) in (
                    (False, 0, 0, 0, 10, 10),
                    (False, 1, 99, 99, 10, 10),
                    (True, 9, 9, 9, 10, 10),
                    (True, 9, 10, 0, 10, 10),
                    (True, 9, 0, 10, 10, 10),
                    (True, 1, 10_000, 0, 600_000, 99),
                    (True, 2, 10_000, 0, 600_000, 99),
                )
            ],
            [True, False, False, True, True, True, False],
        )

    def test_a_stuck_collector_is_cut_and_tried_again(self):
        state = CollectorState.AWAY
        effects = []
        for event in (
            CollectorEvent.DUE,
            CollectorEvent.CONNECTED,
            CollectorEvent.FULL,
            CollectorEvent.OVERDUE,
            CollectorEvent.DUE,
        ):
            state, effect = transition(state, event)
            effects.append(effect)
        self.assertEqual(state, CollectorState.CONNECTING)
        self.assertEqual(
            effects,
            [
                CollectorEffect.CONNECT,
                CollectorEffect.START_STREAM,
                CollectorEffect.NONE,
                CollectorEffect.BACK_OFF,
                CollectorEffect.CONNECT,
            ],
        )

    def test_waits_double_up_to_a_cap_and_are_spread(self):
        chance = Random(1).uniform
        self.assertTrue(all(2500 <= backoff(0, chance) <= 5000 for _ in range(50)))
        self.assertLessEqual(backoff(1000, chance), 600_000)

    def test_who_gets_a_record(self):
        away, up = CollectorState.AWAY, CollectorState.UP
        sure, doubt = [False] * 3, [True, False, True]
        self.assertEqual(
            [
                select_failover([away, up, up], sure, 0),
                select_failover([away, away], sure, 1),
                select_all([away, up]),
                select_failover([], [], 0),
                select_failover([up, up, up], doubt, 0),
                select_failover([up, away], doubt, 0),
            ],
            [[1], [1], [0, 1], [], [1], [0]],
        )

    def test_an_account_adds_up(self):
        account = DeliveryAccount()
        account.drop("queue full", FlowRecordCounts(1, 2, 3, 4, 5))
        account.drop("stopped", FlowRecordCounts(1, 1, 1, 1, 1))
        self.assertEqual(account.dropped(), FlowRecordCounts(2, 3, 4, 5, 6))


class FlowCacheAndMetering(unittest.TestCase):
    def setUp(self):
        self.exported = []
        self.cache = self.new_cache(FlowCacheSettings(16, 1000, 100))

    def new_cache(self, settings):
        return FlowCache(settings, lambda at: at, self.exported.append)

    def test_a_hundred_thousand_stores_stay_within_the_cache_and_nothing_is_lost(self):
        self.cache = self.new_cache(FlowCacheSettings(4096, 10**9, 10**9))
        meter = MeteringProcess(
            self.cache,
            MeteringControl(MeteringLevel.FLOWS, MeteringLevel.FLOWS),
            lambda: 5,
            lambda: 0.0,
        )
        for number in range(100_000):
            meter.on_command(
                client_flow_key(1, f"store-{number}"),
                CommandOutcome.SUCCEEDED,
                Exchange(10, 1, 20, 1, 7),
            )
        self.assertEqual((len(self.cache), self.cache.evicted), (4096, 100_000 - 4096))
        self.cache.flush()
        self.assertEqual(
            (
                sum(each.counts.commands for each in self.exported),
                sum(each.counts.octets for each in self.exported),
            ),
            (100_000, 3_000_000),
        )

    def test_a_full_cache_says_why_a_flow_left(self):
        for number in range(17):
            self.cache.touch(client_flow_key(number), number)
        reason = CLIENT_FLOW.elements.index(
            next(each for each in CLIENT_FLOW.elements if each.name == "flowEndReason")
        )
        self.assertEqual(
            [each.record.values[reason] for each in self.exported],
            [FlowEndReason.LACK_OF_RESOURCES],
        )

    def test_idle_and_active_flows_leave_in_time_and_bounded(self):
        for number in range(10):
            self.cache.touch(client_flow_key(number), 0)
        self.cache.touch(client_flow_key(99), 95)
        self.assertEqual([self.cache.expire(100, 3) for _ in range(3)], [6, 4, 0])
        for at in range(100, 1100, 50):
            self.cache.touch(client_flow_key(99), at).last_seen = at
        self.assertEqual(self.cache.expire(1096, 10), 1)

    def test_sampling_counts_what_it_passes_over(self):
        metering = MeteringControl(MeteringLevel.SAMPLED, MeteringLevel.SAMPLED, 4)
        meter = MeteringProcess(self.cache, metering, lambda: 5, lambda: 0.0)
        for _ in range(100):
            meter.on_command(
                client_flow_key(1), CommandOutcome.REJECTED, Exchange(10, 1, 20, 1, 7)
            )
        self.cache.flush()
        self.assertEqual(
            (
                sum(each.counts.commands for each in self.exported),
                meter.not_metered.commands,
            ),
            (25, 75),
        )


class SequenceTracking(unittest.TestCase):
    def observe(self, *pairs):
        tracker = SequenceTracker()
        for sequence, records in pairs:
            tracker.observe(sequence, records)
        return tracker.missing, tracker.duplicated

    def test_lost_doubled_and_out_of_order(self):
        self.assertEqual(self.observe((0, 5), (5, 5), (10, 5)), (0, 0))
        self.assertEqual(self.observe((0, 5), (10, 5)), (5, 0))
        self.assertEqual(self.observe((0, 5), (10, 5), (5, 5)), (0, 5))
        self.assertEqual(self.observe((0, 5), (5, 5), (5, 5)), (0, 5))

    def test_past_the_end_of_the_numbers(self):
        top = 1 << 32
        self.assertEqual(self.observe((top - 3, 5), (2, 5), (10, 1)), (3, 0))


if __name__ == "__main__":
    unittest.main()
