"""Flow export: its decisions, its cache, its senders against collectors that fail, and exact sums through a gateway."""

import unittest
from itertools import count
from random import Random

from twisted.internet.task import Clock

from milletsill.flows.collect import Collector, Gap
from milletsill.flows.elements import CLIENT_FLOW, NO_ROOM_END
from milletsill.flows.export_policy import (
    Account,
    Kind,
    Level,
    Metering,
    Post,
    Tally,
    Word,
    back_off,
    ended,
    post,
    receivers,
    shed,
    templates_due,
    victim,
)
from milletsill.flows.exporter import Exporter
from milletsill.flows.meter import BoxKey, Cache, ClientKey, Meter
from milletsill.settings.milletsill_pb2 import FlowExport


class Decided(unittest.TestCase):
    def looks(self, metering, *shares):
        return [metering.look(each, 0.05) for each in shares]

    def test_cost_steps_metering_down_and_only_long_calm_up_again(self):
        metering = Metering()
        self.assertEqual(self.looks(metering, 0.06, 0.06), ["", "say"])
        self.assertEqual(metering.level, Level.FLOWS)
        self.looks(metering, 0.06, 0.06)
        self.assertEqual((metering.level, metering.interval), (Level.SAMPLED, 2))
        self.looks(metering, 0.06, 0.06)
        self.assertEqual(metering.interval, 4)
        self.assertEqual(self.looks(metering, *[0.01] * 7), [""] * 7)
        self.looks(metering, *[0.01] * 9)
        self.assertEqual((metering.level, metering.interval), (Level.FLOWS, 1))

    def test_a_fair_cost_between_the_bounds_moves_nothing(self):
        metering = Metering()
        self.assertEqual(set(self.looks(metering, *[0.04] * 50)), {""})

    def test_no_closer_than_the_operator_wants(self):
        metering = Metering(Level.FLOWS, Level.FLOWS)
        self.looks(metering, *[0.0] * 40)
        self.assertEqual(metering.level, Level.FLOWS)

    def test_one_in_the_interval_is_selected(self):
        metering = Metering(level=Level.SAMPLED, interval=4)
        self.assertEqual(sum(metering.selects() for _ in range(100)), 25)

    def test_the_smallest_of_the_oldest_leaves(self):
        flows = [
            (str(each), size) for each, size in enumerate([9, 5, 7, 1, 8, 8, 8, 8, 0])
        ]
        self.assertEqual(victim(flows, lambda each: each), "3")

    def test_when_flows_end(self):
        self.assertEqual(
            [
                ended(*each)
                for each in (
                    (100, 0, 90, 1000, 50),
                    (100, 0, 50, 1000, 50),
                    (1000, 0, 990, 1000, 50),
                )
            ],
            [0, 1, 2],
        )

    def test_the_least_needed_kind_goes_first(self):
        self.assertEqual(
            [
                shed({Kind.COMMAND: 1, Kind.FLOW: 5, Kind.OPTION: 1}),
                shed({Kind.COMMAND: 0, Kind.FLOW: 5}),
            ],
            [Kind.COMMAND, Kind.FLOW],
        )

    def test_templates_go_once_on_tcp_and_again_on_udp(self):
        self.assertEqual(
            [
                templates_due(*each)
                for each in (
                    (False, 0, 0, 0, 0, 10, 10),
                    (False, 1, 99, 0, 99, 10, 10),
                    (True, 9, 9, 0, 9, 10, 10),
                    (True, 9, 10, 0, 0, 10, 10),
                    (True, 9, 0, 0, 10, 10, 10),
                    (True, 1, 10_000, 0, 0, 600_000, 99),
                    (True, 2, 10_000, 0, 0, 600_000, 99),
                )
            ],
            [True, False, False, True, True, True, False],
        )

    def test_a_stuck_collector_is_cut_and_tried_again(self):
        state, did = Post.AWAY, []
        for word in (Word.DUE, Word.CONNECTED, Word.FULL, Word.OVERDUE, Word.DUE):
            state, effect = post(state, word)
            did.append(effect)
        self.assertEqual(
            (state, did), (Post.TRYING, ["connect", "begin", "", "cut", "connect"])
        )

    def test_waits_double_up_to_a_cap_and_are_spread(self):
        chance = Random(1).uniform
        self.assertTrue(all(2500 <= back_off(0, chance) <= 5000 for _ in range(50)))
        self.assertLessEqual(back_off(1000, chance), 600_000)

    def test_who_gets_a_record(self):
        away, up = Post.AWAY, Post.UP
        sure, doubt = [False] * 3, [True, False, True]
        self.assertEqual(
            [
                receivers([away, up, up], sure, False, 0),
                receivers([away, away], sure, False, 1),
                receivers([away, up], sure, True, 0),
                receivers([], [], False, 0),
                receivers([up, up, up], doubt, False, 0),
                receivers([up, away], doubt, False, 0),
            ],
            [[1], [1], [0, 1], [], [1], [0]],
        )

    def test_an_account_adds_up(self):
        account = Account()
        account.drop("queue full", Tally(1, 2, 3, 4, 5))
        account.drop("stopped", Tally(1, 1, 1, 1, 1))
        self.assertEqual(account.lost(), Tally(2, 3, 4, 5, 6))


def key(number, store="s"):
    return ClientKey("10.0.0.1", number, "10.0.0.2", 1, store, "p", "c")


class Cached(unittest.TestCase):
    def setUp(self):
        self.gone = []
        self.cache = Cache(16, 1000, 100, lambda at: at, self.gone.append)

    def test_a_hundred_thousand_stores_stay_within_the_cache_and_nothing_is_lost(self):
        self.cache = Cache(4096, 10**9, 10**9, lambda at: at, self.gone.append)
        meter = Meter(
            self.cache, Metering(Level.FLOWS, Level.FLOWS), lambda: 5, lambda: 0.0
        )
        for number in range(100_000):
            meter.command(key(1, f"store-{number}"), "satisfied", 10, 20, True, 7)
        self.assertEqual(
            (len(self.cache.flows), self.cache.evicted), (4096, 100_000 - 4096)
        )
        self.cache.flush()
        self.assertEqual(
            (
                sum(each.tally.commands for each in self.gone),
                sum(each.tally.octets for each in self.gone),
            ),
            (100_000, 3_000_000),
        )

    def test_a_full_cache_says_why_a_flow_left(self):
        for number in range(17):
            self.cache.touch(key(number), number)
        reason = CLIENT_FLOW.elements.index(
            next(each for each in CLIENT_FLOW.elements if each.name == "flowEndReason")
        )
        self.assertEqual(
            [each.record.values[reason] for each in self.gone], [NO_ROOM_END]
        )

    def test_idle_and_active_flows_leave_in_time_and_bounded(self):
        for number in range(10):
            self.cache.touch(key(number), 0)
        self.cache.touch(key(99), 95)
        self.assertEqual([self.cache.sweep(100, 3) for _ in range(3)], [6, 4, 0])
        for at in range(100, 1100, 50):
            self.cache.touch(key(99), at).last = at
        self.assertEqual(self.cache.sweep(1096, 10), 1)

    def test_sampling_counts_what_it_passes_over(self):
        metering = Metering(Level.SAMPLED, Level.SAMPLED, 4)
        meter = Meter(self.cache, metering, lambda: 5, lambda: 0.0)
        for _ in range(100):
            meter.command(key(1), "declined", 10, 20, True, 7)
        self.cache.flush()
        self.assertEqual(
            (
                sum(each.tally.commands for each in self.gone),
                meter.not_metered.commands,
            ),
            (25, 75),
        )


class Gaps(unittest.TestCase):
    def hear(self, *pairs):
        gap = Gap()
        for sequence, records in pairs:
            gap.hear(sequence, records)
        return gap.missing, gap.again

    def test_lost_doubled_and_out_of_order(self):
        self.assertEqual(self.hear((0, 5), (5, 5), (10, 5)), (0, 0))
        self.assertEqual(self.hear((0, 5), (10, 5)), (5, 0))
        self.assertEqual(self.hear((0, 5), (10, 5), (5, 5)), (0, 5))
        self.assertEqual(self.hear((0, 5), (5, 5), (5, 5)), (0, 5))

    def test_past_the_end_of_the_numbers(self):
        top = 1 << 32
        self.assertEqual(self.hear((top - 3, 5), (2, 5), (10, 1)), (3, 0))


class Sent(unittest.TestCase):
    """The exporter on a clock of the test's own, over UDP to a list."""

    def exporter(self, **given):
        self.clock, self.told, self.wall = Clock(), [], [1_000_000.0]
        file = FlowExport(**given)
        file.collector.add(address="127.0.0.1:1", transport="udp", most_queued=100)
        made = Exporter(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            file,
            "g",
            7,
            1,
            lambda event, **values: self.told.append(event),
            lambda: self.wall[0],
            lambda: 0.0,
        )
        self.collector = Collector(lambda row: self.rows.append(row), self.told.append)
        self.rows, self.drop = [], False
        made.datagram = lambda data, address: (
            None if self.drop else self.collector.datagram(data, address)
        )
        return made

    def pass_time(self, made, seconds):
        for _ in range(int(seconds * 10)):
            made.step()
            made.call.cancel()
            self.clock.advance(0.1)

    def test_sums_arrive_exactly_with_templates_first(self):
        made = self.exporter(idle_s=0.5)
        for number in range(250):
            made.meter.command(key(number % 50), "satisfied", 10, 20, True, 7)
            made.meter.dispatch(
                BoxKey("10.0.0.1", "10.0.0.9", 5, 3, "s", "c", "satisfied"),
                number % 10 == 0,
                30,
                40,
                9,
            )
        self.pass_time(made, 2)
        sums = self.collector.sums
        self.assertEqual(
            (
                sums["client commandDeltaCount"],
                sums["client octetDeltaCount"],
                sums["client reverseOctetDeltaCount"],
                sums["box dispatchDeltaCount"],
                sums["box furtherDeltaCount"],
                self.collector.missing,
                self.collector.unknown,
            ),
            (250, 2500, 5000, 250, 25, 0, 0),
        )

    def test_a_lost_datagram_shows_in_the_sequence_and_the_reliability_record(self):
        made = self.exporter(idle_s=0.5)
        made.meter.command(key(0), "satisfied", 1, 1, True, 1)
        self.pass_time(made, 1)
        self.drop = True
        made.meter.command(key(1), "satisfied", 1, 1, True, 1)
        self.pass_time(made, 2)
        self.drop = False
        made.meter.command(key(2), "satisfied", 1, 1, True, 1)
        self.pass_time(made, 12)
        report = [row for row in self.rows if "exportedCommandTotalCount" in row][-1]
        self.assertGreaterEqual(
            self.collector.missing, 1
        )  # and what told the elements' types again meanwhile
        self.assertEqual(
            (
                report["exportedCommandTotalCount"],
                self.collector.sums["client commandDeltaCount"],
            ),
            (3, 2),
        )

    def test_a_full_queue_drops_the_least_needed_and_counts_all(self):
        made = self.exporter(idle_s=0.5, closest="commands")
        made.metering.level = Level.COMMANDS
        made.senders[0].state = Post.AWAY
        made.senders[0].due_at = 10**12
        for number in range(300):
            made.meter.command(key(number), "satisfied", 1, 1, True, 1)
        self.pass_time(made, 2)
        sender = made.senders[0]
        lost = sender.account.lost()
        self.assertEqual((sender.queued, len(sender.queues[Kind.COMMAND])), (100, 0))
        self.assertEqual(
            lost.commands
            + sum(each.tally.commands for each in sender.queues[Kind.FLOW]),
            300,
        )

    def test_exported_dropped_and_not_metered_are_all_there_is(self):
        made = self.exporter(idle_s=0.5, closest="sampled")
        made.metering.interval = 3
        made.senders[0].given.most_queued = 20
        for number in range(900):
            made.meter.command(key(number), "aborted", 1, 1, True, 1)
        self.pass_time(made, 3)
        account, skipped = made.senders[0].account, made.meter.not_metered
        self.assertEqual(
            account.sent.commands + account.lost().commands + skipped.commands, 900
        )
        self.assertTrue(
            account.lost().commands and skipped.commands and account.sent.commands
        )

    def test_a_step_of_the_wall_clock_moves_export_times_and_nothing_else(self):
        made = self.exporter(idle_s=0.5)
        self.clock.advance(100)
        made.meter.command(key(1), "satisfied", 1, 1, True, 1)
        self.wall[0] -= 3600
        self.pass_time(made, 1)
        (row,) = [row for row in self.rows if "commandDeltaCount" in row]
        self.assertEqual(row["flowEndMilliseconds"] // 1000, 1_000_000 - 3600 - 1 + 0)

    def test_failover_takes_along_what_the_old_one_held(self):
        made = self.exporter(idle_s=0.5)
        file = made.file
        file.collector.add(address="127.0.0.1:2", transport="udp", most_queued=100)
        from milletsill.flows.exporter import Sender

        made.senders.append(Sender(made, 1, file.collector[1]))
        made.senders[0].due_at = made.senders[1].due_at = 10**12
        made.meter.command(key(1), "satisfied", 1, 1, True, 1)
        self.pass_time(made, 1)
        self.assertEqual(made.senders[0].queued, 1)
        made.senders[1].due_at = 0
        self.pass_time(made, 0.2)
        made.meter.command(key(2), "satisfied", 1, 1, True, 1)
        self.pass_time(made, 1)
        self.assertEqual(
            (made.senders[0].queued, made.senders[1].account.sent.commands), (0, 2)
        )

    def test_pressure_is_said_in_the_stream(self):
        made = self.exporter(closest="flows", cpu_share=0.01)
        made.timer = count(0, 0.01).__next__
        self.pass_time(made, 5)
        told = [
            row["samplingPacketSpace"]
            for row in self.rows
            if "samplingPacketSpace" in row
        ]
        self.assertEqual(told[:2], [1, 3])


if __name__ == "__main__":
    unittest.main()
