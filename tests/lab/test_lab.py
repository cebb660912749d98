"""The laboratory: its engine by itself, days turned into scenarios, and one short day played with faults and audited."""

import json
import os
import tempfile
import unittest
from random import Random
from types import SimpleNamespace

from click.testing import CliRunner
from google.protobuf import text_format
from twisted.internet.task import Clock

from milletsill.cli.main import main
from milletsill.lab.engine import Engine, Speed
from milletsill.lab.node_stand_in import NodeStandIn, NodeStandInSettings
from milletsill.lab.run import Run, broken, report
from milletsill.lab.stored_files import StoredFiles
from milletsill.settings.milletsill_pb2 import BoxKind, NodeRules, Scenario
from milletsill.sftp import extensions, packets
from milletsill.sftp.extensions import NodeReply, NodeRequest
from milletsill.sftp.wire import FileAttributes
from milletsill.trace.service_accounting import (
    CompletedOperation,
    VolumeEntitlement,
    share_by_weight,
    total_service,
)

SHORT = """
name: "short" seed: 3 seconds: 5 tail_s: 3 edges: 2 files: 4 file_units: 8
gateway { name: "edge" gateways: 2 registry { address: "127.0.0.1:1" call_ms: 500 }
  door { answer_margin_ms: 60 }
  rules { cold_window_ms: 500 warm_after_s: 3 cold_units: 20 key_rest_ms: 300 ask_within_ms: 4000
          further_free: 3 further_ratio: 0.3 further_window_ms: 2000 }
  plan { name: "p" usual_rate: 20 reserve_rate: 20 limit_rate: 60 limit_store: 60 limit_slack: 10 }
  category { name: "read" target_ms: 300 patience_ms: 1200 }
  category { name: "write" target_ms: 400 patience_ms: 1500 repeats: "ticketed" group: "cell" repeat_window_ms: 5000
             write: true }
  category { name: "once" target_ms: 400 patience_ms: 1500 repeats: "exclusive" in_order: true write: true }
  volume { name: "a" root: "/a" plan: "p" cell: [0, 1] } volume { name: "b" root: "/b" plan: "p" cell: [1, 2, 3] placement: FREE }
  route { operation: "write" volume: "a" category: "once" } route { operation: "write" category: "write" }
  route { category: "read" } }
kind { name: "k" cold_s: 2 queue: 40 error_rate: 0.01 }
box { count: 4 kind: "k" }
traffic { category: "read" operation: "read" per_s: 25 work_ms: 15 run: 2 }
traffic { category: "write" operation: "write" per_s: 12 work_ms: 15 }
traffic { category: "write" operation: "new" per_s: 3 work_ms: 15 }
clients { connections: 2 retries: 1 pause_ms: 50 }
registry { call_ms: 5 notice_ms: 100 vanish_s: 1 }
trouble { what: "balancer_crash" at_s: 1 for_s: 0.5 on: 0 }
trouble { what: "vanish" at_s: 1.5 for_s: 2 on: 1 }
trouble { what: "drain" at_s: 2 for_s: 1.5 on: 3 }
trouble { what: "cut" at_s: 2.5 on: [0, 2] }
trouble { what: "registry_away" at_s: 3 for_s: 1 }
trouble { what: "balancer_stall" at_s: 3.2 for_s: 1 on: 1 size: 300 extra: 0.6 }
"""
DAY = {
    "family": "stores",
    "site": "s",
    "kind": "big",
    "noise": 7,
    "length": 9_000_000,
    "tick": 2000,
    "drain_grace": 250_000,
    "fall_multiple": 3.0,
    "fall_for": 1_000_000,
    "fam": {
        "most_units": 8.0,
        "mean_units": 2.0,
        "worths": [1.0, 0.4, 0.1],
        "meter": 1_000_000,
        "unit_work": 20_000,
        "run": [1, 2],
        "seek": 0.5,
        "defer": 0.3,
        "flush": 1_000_000,
        "remembers": 1,
        "shift_s": 9,
        "skew": 1,
        "plans": [
            {
                "rate": 5,
                "reserve": 2,
                "weight": 1,
                "price": 1,
                "limit": 0,
                "limit_burst": 0,
                "slack": 0,
            }
        ],
        "volumes": [
            {
                "nodes": [0, 5],
                "hosts": 3,
                "plan": 0,
                "base": 1.2,
                "high": 9.0,
                "len": 5,
            },
            {"nodes": [2], "hosts": 1, "plan": 0, "base": 0.8, "high": 0.0, "len": 0},
        ],
    },
    "tiers": [
        {
            "stated_cold_from": 0.2,
            "stated_cold": 9_000_000,
            "report_how": "answers",
            "report_fields": ["queue"],
            "report_period": 1000,
            "report_delay": 100,
            "streams": 32,
            "connect_timeout": 250_000,
            "handshake_work": 500,
            "conn_cap_per_core": 100,
            "kinds": [
                {
                    "cores": 2,
                    "slots": 8,
                    "queue": 50,
                    "cold_from": 0.2,
                    "cold": 5_000_000,
                    "pause_every": 5_000_000,
                    "pause": 50_000,
                    "cancel": "all",
                    "drops_expired": False,
                    "error_rate": 0.0,
                    "thrash": 0.2,
                    "knee": 9,
                }
            ],
        }
    ],
    "allow": {"cancel": True, "second_copies": True, "max_attempts": 3},
    "classes": [
        {
            "name": "r",
            "share": 0.7,
            "work": 30_000,
            "cv": 0.5,
            "aim": 300_000,
            "deadline": 900_000,
            "worth": 2,
            "late_worth": 0.2,
            "effect": "safe",
            "group": "all",
            "window": 5_000_000,
            "write": False,
        },
        {
            "name": "w",
            "share": 0.3,
            "work": 40_000,
            "cv": 0.5,
            "aim": 300_000,
            "deadline": 900_000,
            "worth": 2,
            "late_worth": 0.2,
            "effect": "keyed",
            "group": "cell",
            "window": 5_000_000,
            "write": True,
        },
    ],
    "tenants": [{"name": "p"}],
    "servers": [{"kind": 0, "speed": 1.0, "zone": 0}] * 6,
    "balancers": [{}] * 4,
    "traffic": {"load": 0.5},
    "discovery": {"notice": 500_000, "silent_notice": 2_000_000},
    "clients": {
        "retries": 1.4,
        "backoff_us": 100_000,
        "honour": 0.5,
        "try_share": 1.0,
        "max_retry_after": 1_000_000,
    },
    "troubles": [
        {
            "kind": "slow",
            "at": 1_000_000,
            "len": 2_000_000,
            "size": 3,
            "extra": 0,
            "on": [1, 5],
            "which": 0,
        },
        {
            "kind": "unheard_of",
            "at": 1,
            "len": 1,
            "size": 1,
            "extra": 1,
            "on": [],
            "which": 0,
        },
    ],
}


class Played(unittest.TestCase):
    def test_a_short_day_with_faults_breaks_no_rule_and_reads_what_was_written(self):
        with tempfile.TemporaryDirectory() as folder:
            result = Run(text_format.Parse(SHORT, Scenario()), folder).play()
        self.assertFalse(broken(result), report(result))
        self.assertGreater(result.load["counts"]["reads with right bytes"], 30)
        self.assertGreater(result.command_count, 150)


class Boxes(unittest.TestCase):
    def test_two_dispatches_under_one_ticket_at_once_have_one_effect_and_an_answer_each(
        self,
    ):
        clock, answers, effects = Clock(), [], []
        kind = BoxKind(name="k", cores=2)
        settings = NodeStandInSettings(0, 0, 0, kind, NodeRules(), {}, 1)
        box = NodeStandIn(clock, settings, StoredFiles(), clock=clock.seconds)
        box.files.run = lambda command: (
            effects.append(command)
            or NodeReply(
                extensions.NodeReplyStatus.DONE,
                "",
                answer=packets.Status(0, packets.OK),
            )
        )
        gate = SimpleNamespace(
            answer=lambda id, reply: answers.append((id, reply.answer))
        )
        for id, (ticket, number) in enumerate((("t", 0), ("t", 1), ("u", 0))):
            box.on_attempt(
                gate,
                id,
                NodeRequest(
                    "g",
                    1,
                    7,
                    number,
                    1.0,
                    5,
                    100,
                    ticket,
                    1,
                    1,
                    "write",
                    "m",
                    packets.Write(0, b"/a/f", 0, b"x"),
                ),
            )
        clock.pump([0.001] * 100)
        self.assertEqual(
            (sorted(answers), len(effects)),
            ([(id, packets.Status(0, packets.OK)) for id in range(3)], 2),
        )
        box.on_attempt(
            gate,
            9,
            NodeRequest(
                "g",
                1,
                7,
                2,
                1.0,
                5,
                100,
                "t",
                1,
                1,
                "write",
                "m",
                packets.Write(0, b"/a/f", 0, b"x"),
            ),
        )
        self.assertEqual((answers[-1][0], len(effects)), (9, 2))


class Engines(unittest.TestCase):
    def engine(self, cold=False, **figures):
        kind = BoxKind(
            name="k", **{"cores": 1, "slots": 2, "queue": 2, "cold_s": 10, **figures}
        )
        return Engine(kind, NodeRules(), Random(1), 0.0, cold, Speed())

    def take(self, engine, now, work=1.0, extent=1, **named):
        return engine.take(
            now,
            work,
            1.0,
            extent,
            named.get("first", True),
            named.get("write", False),
            named.get("expires", 1e9),
            extent,
        )

    def test_two_share_one_core_and_end_together(self):
        engine = self.engine()
        self.take(engine, 0, extent=1), self.take(engine, 0, extent=2)
        self.assertEqual((engine.advance(1.9), len(engine.advance(2.1))), ([], 2))

    def test_a_full_queue_turns_away(self):
        engine = self.engine()
        self.assertEqual(
            [self.take(engine, 0, extent=each) is None for each in range(5)],
            [False] * 4 + [True],
        )

    def test_a_remembered_extent_costs_less_at_the_first_dispatch_only(self):
        engine = self.engine(seek=0.5)
        self.take(engine, 0)
        self.assertEqual(
            [self.take(engine, 0, first=each).left for each in (True, False)],
            [0.5, 1.0],
        )

    def test_standing_still_does_no_work(self):
        engine = self.engine()
        self.take(engine, 0)
        engine.speed.still_until = 5.0
        self.assertEqual((engine.advance(5.5), len(engine.advance(6.1))), ([], 1))

    def test_a_cold_box_is_slow_and_falls_when_pushed(self):
        engine = self.engine(cold=True, cold_from=0.2)
        self.assertAlmostEqual(engine.warmth(5.0), 0.6)
        engine.cold_units, engine.window = 1, 1.0
        for each in range(3):
            self.take(engine, 0.1, extent=each)
        self.assertTrue(engine.crashed)

    def test_put_off_work_is_done_in_one_go(self):
        engine = self.engine(defer=0.5, flush_s=1)
        self.assertEqual(self.take(engine, 0, write=True).left, 0.5)
        engine.advance(1.1)
        self.assertEqual([each.what for each in engine.working], [None])

    def test_a_cancel_stops_what_the_kind_says(self):
        for cancel, left in (("none", 3), ("queued", 2), ("all", 1)):
            engine = self.engine(cancel=cancel)
            jobs = [self.take(engine, 0, extent=each) for each in range(3)]
            engine.cancel(jobs[0]), engine.cancel(jobs[2])
            self.assertEqual(len(engine.working) + len(engine.queue), left)


class Services(unittest.TestCase):
    def reckon(
        self, *rows, claims=(VolumeEntitlement(2, 1), VolumeEntitlement(0, 1)), power=10
    ):
        done = [
            CompletedOperation(0, volume, "c", units, 1.0, counts, late)
            for volume, units, counts, late in rows
        ]
        return total_service(done, claims, power, 1, 0.5, 0.1)[""]

    def test_inside_the_reserve_counts_in_full(self):
        self.assertEqual(self.reckon((0, 2, 1.0, False)), (2.0, 2.0))

    def test_past_it_a_part_by_weight_then_the_rest(self):
        counted, due = self.reckon((1, 20, 1.0, False))
        self.assertAlmostEqual(due, 9 * 0.5 + 11 * 0.1)
        self.assertAlmostEqual(counted, due)

    def test_what_is_served_takes_the_best_and_what_is_late_the_worst(self):
        self.assertEqual(self.reckon((0, 3, 1.0, False), (0, 3, 0.0, True))[0], 3.0)
        counted, _ = self.reckon((0, 3, 0.0, True), (0, 3, 0.2, True))
        self.assertAlmostEqual(counted, 0.2 * 3 * 0.5)

    def test_spare_power_goes_by_weight_and_none_gets_more_than_it_asks(self):
        got = share_by_weight(
            {0: 1.0, 1: 100.0, 2: 100.0},
            [VolumeEntitlement(0, 1), VolumeEntitlement(0, 1), VolumeEntitlement(0, 3)],
            9.0,
        )
        self.assertEqual([round(got[each], 6) for each in range(3)], [1.0, 2.0, 6.0])


class Stored(unittest.TestCase):
    def test_a_link_stands_once_and_goes_only_with_its_target(self):
        files = StoredFiles()
        codes = [
            files.run(packets.Symlink(0, "/a", each)).status
            for each in ("1:x", "1:x", "2:y")
        ]
        self.assertEqual((codes, files.links), ([0, 0, 3], {"/a": "1:x"}))
        self.assertEqual(
            files.run(packets.Symlink(0, "/a", "-2:y")).answer.code,
            packets.NO_SUCH_FILE,
        )
        files.run(packets.Symlink(0, "/a", "-1:x"))
        self.assertEqual(files.links, {})

    def test_a_hole_reads_as_zeros(self):
        files = StoredFiles()
        files.run(packets.Open(0, "/a", packets.CREATE_FLAG, FileAttributes()))
        files.run(packets.Write(0, b"/a", 4, b"x"))
        self.assertEqual(
            files.run(packets.Read(0, b"/a", 0, 9)).answer.data, b"\0\0\0\0x"
        )


class CommandLine(unittest.TestCase):
    def run_it(self, *words):
        return CliRunner().invoke(main, list(words))

    def test_a_day_of_the_bench_becomes_a_scenario_that_is_fine(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "day.json")
            with open(path, "w", encoding="utf-8") as sink:
                json.dump(DAY, sink)
            made = self.run_it(
                "lab",
                "from-day",
                path,
                "--edges",
                "2",
                "--boxes",
                "3",
                "--seconds",
                "4",
            )
            scenario = text_format.Parse(made.output, Scenario())
            with open(path, "w", encoding="utf-8") as sink:
                sink.write(made.output)
            self.assertEqual(self.run_it("check", "--scenario", path).exit_code, 0)
        self.assertLessEqual({tuple(each.on) for each in scenario.surge}, {(0,)})
        self.assertEqual(
            (
                scenario.edges,
                len(scenario.box),
                scenario.seconds,
                [each.what for each in scenario.trouble],
                list(scenario.gateway.volume[0].cell),
            ),
            (2, 3, 4.0, ["slow"], [0, 2]),
        )

    def test_nonsense_is_one_line_and_status_2(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "x")
            for text, words in (
                ("{}", ("lab", "from-day", path)),
                ("[", ("lab", "from-day", path)),
                ("name: 1", ("check", path)),
                ("", ("edge", path)),
                ("", ("lab", "run", path, "--out", folder)),
                ("", ("lab", "audit", folder)),
            ):
                with open(path, "w", encoding="utf-8") as sink:
                    sink.write(text)
                made = self.run_it(*words)
                self.assertEqual(
                    (
                        made.exit_code,
                        made.output.count("\n") <= 3,
                        "Traceback" in made.output,
                    ),
                    (2, True, False),
                    (words, made.output),
                )


if __name__ == "__main__":
    unittest.main()
