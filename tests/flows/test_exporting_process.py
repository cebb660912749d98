"""The exporting process with failing collectors, on a simulated clock."""

import unittest
from itertools import count

from twisted.internet.task import Clock

from milletsill.flows.clocks import ExportClocks
from milletsill.flows.collecting_process import CollectingProcess
from milletsill.flows.collector_states import CollectorState
from milletsill.flows.export_settings import read_export_settings
from milletsill.flows.exporting_process import ExportingProcess
from milletsill.flows.flow_records import CommandOutcome, Exchange, NodeFlowKey
from milletsill.flows.metering_policy import MeteringLevel
from milletsill.flows.option_records import ExporterIdentity
from milletsill.flows.record_queue import FlowRecordKind
from milletsill.settings.milletsill_pb2 import FlowExport
from tests.support.flow_keys import client_flow_key


class ExportingProcessOverUdp(unittest.TestCase):
    """The exporting process on a simulated clock, with UDP datagrams passed directly."""

    def start_process(self, collectors=1, most_queued=100, cost_timer=None, **given):
        self.clock = Clock()
        self.logged = []
        self.wall = [1_000_000.0]
        self.rows = []
        self.drop = False
        file = FlowExport(**given)
        for number in range(collectors):
            file.collector.add(
                address=f"127.0.0.1:{number + 1}",
                transport="udp",
                most_queued=most_queued,
            )
        clocks = ExportClocks(
            lambda: int(self.clock.seconds() * 10_000),
            lambda: self.wall[0],
            cost_timer or (lambda: 0.0),
        )
        process = ExportingProcess(
            self.clock,
            read_export_settings(file),
            ExporterIdentity("g", 7),
            clocks,
            1,
            lambda event, **values: self.logged.append(event),
        )
        self.collector = CollectingProcess(self.rows.append, self.logged.append)
        process.datagrams.send = lambda data, address: (
            None if self.drop else self.collector.on_datagram(data, address)
        )
        return process

    def advance(self, process, seconds):
        for _ in range(int(seconds * 10)):
            process.step()
            process.next_step.cancel()
            self.clock.advance(0.1)

    def test_sums_are_exact_and_templates_come_first(self):
        process = self.start_process(idle_s=0.5)
        for number in range(250):
            process.metering.on_command(
                client_flow_key(number % 50),
                CommandOutcome.SUCCEEDED,
                Exchange(10, 1, 20, 1, 7),
            )
            process.metering.on_attempt(
                NodeFlowKey("10.0.0.1", "10.0.0.9", 5, 3, "s", "c", "satisfied"),
                number % 10 == 0,
                Exchange(30, 1, 40, 1, 9),
            )
        self.advance(process, 2)
        sums = self.collector.totals.sums
        self.assertEqual(
            (
                sums["client commandDeltaCount"],
                sums["client octetDeltaCount"],
                sums["client reverseOctetDeltaCount"],
                sums["box dispatchDeltaCount"],
                sums["box furtherDeltaCount"],
                self.collector.missing,
                self.collector.unknown_sets,
            ),
            (250, 2500, 5000, 250, 25, 0, 0),
        )

    def test_a_lost_datagram_is_visible_in_sequence_and_reliability_record(self):
        process = self.start_process(idle_s=0.5)
        process.metering.on_command(
            client_flow_key(0), CommandOutcome.SUCCEEDED, Exchange(1, 1, 1, 1, 1)
        )
        self.advance(process, 1)
        self.drop = True
        process.metering.on_command(
            client_flow_key(1), CommandOutcome.SUCCEEDED, Exchange(1, 1, 1, 1, 1)
        )
        self.advance(process, 2)
        self.drop = False
        process.metering.on_command(
            client_flow_key(2), CommandOutcome.SUCCEEDED, Exchange(1, 1, 1, 1, 1)
        )
        self.advance(process, 12)
        report = [row for row in self.rows if "exportedCommandTotalCount" in row][-1]
        self.assertGreaterEqual(
            self.collector.missing, 1
        )  # datagrams with element types may be lost too
        self.assertEqual(
            (
                report["exportedCommandTotalCount"],
                self.collector.totals.sums["client commandDeltaCount"],
            ),
            (3, 2),
        )

    def test_a_full_queue_drops_the_lowest_priority_and_counts_all(self):
        process = self.start_process(idle_s=0.5, closest="commands")
        process.control.level = MeteringLevel.COMMANDS
        process.senders[0].state = CollectorState.AWAY
        process.senders[0].retry_at = 10**12
        for number in range(300):
            process.metering.on_command(
                client_flow_key(number),
                CommandOutcome.SUCCEEDED,
                Exchange(1, 1, 1, 1, 1),
            )
        self.advance(process, 2)
        sender = process.senders[0]
        lost = sender.stream.account.dropped()
        self.assertEqual(
            (len(sender.queue), len(sender.queue.records(FlowRecordKind.COMMAND))),
            (100, 0),
        )
        self.assertEqual(
            lost.commands
            + sum(
                each.counts.commands
                for each in sender.queue.records(FlowRecordKind.FLOW)
            ),
            300,
        )

    def test_exported_dropped_and_not_metered_commands_add_up(self):
        process = self.start_process(idle_s=0.5, closest="sampled", most_queued=20)
        process.control.interval = 3
        for number in range(900):
            process.metering.on_command(
                client_flow_key(number), CommandOutcome.FAILED, Exchange(1, 1, 1, 1, 1)
            )
        self.advance(process, 3)
        account, skipped = (
            process.senders[0].stream.account,
            process.metering.not_metered,
        )
        self.assertEqual(
            account.sent.commands + account.dropped().commands + skipped.commands, 900
        )
        self.assertTrue(
            account.dropped().commands and skipped.commands and account.sent.commands
        )

    def test_a_step_of_the_wall_clock_changes_only_export_times(self):
        process = self.start_process(idle_s=0.5)
        self.clock.advance(100)
        process.metering.on_command(
            client_flow_key(1), CommandOutcome.SUCCEEDED, Exchange(1, 1, 1, 1, 1)
        )
        self.wall[0] -= 3600
        self.advance(process, 1)
        (row,) = [row for row in self.rows if "commandDeltaCount" in row]
        self.assertEqual(row["flowEndMilliseconds"] // 1000, 1_000_000 - 3600 - 1 + 0)

    def test_failover_moves_the_queue_of_the_old_collector(self):
        process = self.start_process(collectors=2, idle_s=0.5)
        process.senders[0].retry_at = process.senders[1].retry_at = 10**12
        process.metering.on_command(
            client_flow_key(1), CommandOutcome.SUCCEEDED, Exchange(1, 1, 1, 1, 1)
        )
        self.advance(process, 1)
        self.assertEqual(len(process.senders[0].queue), 1)
        process.senders[1].retry_at = 0
        self.advance(process, 0.2)
        process.metering.on_command(
            client_flow_key(2), CommandOutcome.SUCCEEDED, Exchange(1, 1, 1, 1, 1)
        )
        self.advance(process, 1)
        self.assertEqual(
            (
                len(process.senders[0].queue),
                process.senders[1].stream.account.sent.commands,
            ),
            (0, 2),
        )

    def test_a_changed_sampling_interval_is_exported(self):
        process = self.start_process(
            closest="flows", cpu_share=0.01, cost_timer=count(0, 0.01).__next__
        )
        self.advance(process, 5)
        reported = [
            row["samplingPacketSpace"]
            for row in self.rows
            if "samplingPacketSpace" in row
        ]
        self.assertEqual(reported[:2], [1, 3])


if __name__ == "__main__":
    unittest.main()
