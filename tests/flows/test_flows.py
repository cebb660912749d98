"""Flow export: its decision functions, flow cache and sequence number tracking."""

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

    def test_high_cost_coarsens_metering_and_only_long_low_cost_refines_it(self):
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

    def test_a_moderate_cost_changes_nothing(self):
        metering = MeteringControl()
        self.assertEqual(set(self.observe_costs(metering, *[0.04] * 50)), {False})

    def test_metering_is_never_finer_than_the_setting(self):
        metering = MeteringControl(MeteringLevel.FLOWS, MeteringLevel.FLOWS)
        self.observe_costs(metering, *[0.0] * 40)
        self.assertEqual(metering.level, MeteringLevel.FLOWS)

    def test_one_event_per_interval_is_selected(self):
        metering = MeteringControl(level=MeteringLevel.SAMPLED, interval=4)
        self.assertEqual(sum(metering.selects() for _ in range(100)), 25)

    def test_the_smallest_of_the_longest_idle_flows_is_evicted(self):
        flows = [
            (str(each), size) for each, size in enumerate([9, 5, 7, 1, 8, 8, 8, 8, 0])
        ]
        self.assertEqual(select_victim(flows, lambda each: each), "3")

    def test_flows_expire_by_idle_or_active_timeout(self):
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

    def test_the_kind_of_lowest_priority_is_dropped_first(self):
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

    def test_templates_are_sent_once_over_tcp_and_repeated_over_udp(self):
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

    def test_a_blocked_collector_is_disconnected_and_retried(self):
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

    def test_backoff_doubles_up_to_a_limit_with_jitter(self):
        uniform = Random(1).uniform
        self.assertTrue(all(2500 <= backoff(0, uniform) <= 5000 for _ in range(50)))
        self.assertLessEqual(backoff(1000, uniform), 600_000)

    def test_selection_of_collectors(self):
        away, up = CollectorState.AWAY, CollectorState.UP
        reliable, on_probation = [False] * 3, [True, False, True]
        self.assertEqual(
            [
                select_failover([away, up, up], reliable, 0),
                select_failover([away, away], reliable, 1),
                select_all([away, up]),
                select_failover([], [], 0),
                select_failover([up, up, up], on_probation, 0),
                select_failover([up, away], on_probation, 0),
            ],
            [[1], [1], [0, 1], [], [1], [0]],
        )

    def test_dropped_counts_are_summed_over_causes(self):
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

    def test_a_hundred_thousand_volumes_fit_the_cache_without_lost_counts(self):
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

    def test_an_evicted_flow_has_the_reason_lack_of_resources(self):
        for number in range(17):
            self.cache.touch(client_flow_key(number), number)
        reason = CLIENT_FLOW.elements.index(
            next(each for each in CLIENT_FLOW.elements if each.name == "flowEndReason")
        )
        self.assertEqual(
            [each.record.values[reason] for each in self.exported],
            [FlowEndReason.LACK_OF_RESOURCES],
        )

    def test_flows_expire_on_time_and_in_bounded_steps(self):
        for number in range(10):
            self.cache.touch(client_flow_key(number), 0)
        self.cache.touch(client_flow_key(99), 95)
        self.assertEqual([self.cache.expire(100, 3) for _ in range(3)], [6, 4, 0])
        for at in range(100, 1100, 50):
            self.cache.touch(client_flow_key(99), at).last_seen = at
        self.assertEqual(self.cache.expire(1096, 10), 1)

    def test_sampling_counts_skipped_commands(self):
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

    def test_lost_duplicated_and_late_records(self):
        self.assertEqual(self.observe((0, 5), (5, 5), (10, 5)), (0, 0))
        self.assertEqual(self.observe((0, 5), (10, 5)), (5, 0))
        self.assertEqual(self.observe((0, 5), (10, 5), (5, 5)), (0, 5))
        self.assertEqual(self.observe((0, 5), (5, 5), (5, 5)), (0, 5))

    def test_wraparound_of_sequence_numbers(self):
        top = 1 << 32
        self.assertEqual(self.observe((top - 3, 5), (2, 5), (10, 1)), (3, 0))


if __name__ == "__main__":
    unittest.main()
