"""The audit of the seven rules finds violations, and nothing in correct records.

Each test writes the records of clients, nodes and registry for a short scripted run that
violates one rule, and expects the breach of that rule alone.
"""

import base64
import json
import os
import tempfile
import unittest
from types import SimpleNamespace
from unittest import mock

from milletsill.lab import audit, record, starvation
from milletsill.lab.evidence_reader import read_evidence
from milletsill.lab.starvation import StarvationMonitor
from milletsill.settings.milletsill_pb2 import Scenario
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import CommandTerms, NodeReply, NodeRequest

SCENARIO_TEXT = """
name: "x" edges: 1
gateway { name: "e" gateways: 1 registry { address: "a:1" }
  rules { drain_grace_ms: 250 cold_multiple: 2 cold_window_ms: 1000 cold_units: 5 further_free: 1 further_ratio: 0
          further_window_ms: 5000 key_rest_ms: 500 unit_mean: 1 }
  plan { name: "p" usual_rate: 1 limit_rate: 1 limit_store: 10 limit_slack: 1 }
  category { name: "free" target_ms: 100 patience_ms: 1000 }
  category { name: "marked" target_ms: 100 patience_ms: 1000 repeats: "ticketed" group: "cell" repeat_window_ms: 2000 }
  category { name: "once" target_ms: 100 patience_ms: 1000 repeats: "exclusive" }
  category { name: "turn" target_ms: 100 patience_ms: 1000 in_order: true }
  volume { name: "v" root: "/v" plan: "p" cell: 0 } route { category: "free" } }
traffic { category: "free" operation: "read" per_s: 1 work_ms: 1000 units: 1 }
"""


class ScriptedRecords:
    """Writes the records of a run with the laboratory's recorder, at times set by the test."""

    def __init__(self, folder):
        self.folder, self.at, self.node_read_gaps = folder, 0.0, []
        self.clients = record.PacketRecorder(f"{folder}/clients.rec", "clients", "c")
        self.nodes = [
            record.PacketRecorder(f"{folder}/box-{each}.rec", "box", str(each))
            for each in (0, 1)
        ]
        self.registry = record.PacketRecorder(f"{folder}/registry.rec", "registry", "r")
        self.put(0, self.clients.note, what="connect", conn=1, edge="e")
        for number, node in enumerate(self.nodes):
            self.put(
                0,
                node.note,
                what="boot",
                box=number,
                cell=number,
                zone=0,
                cold=False,
                cores=1,
                cold_from=0.2,
                cold_s=10,
            )

    def put(self, at, call, *values, **named):
        with mock.patch.object(
            record.time, "monotonic_ns", return_value=int((100 + at) * 1e9)
        ):
            call(*values, **named)

    def command(self, at, id=1, mark="m", retry=0, client_timeout_ms=1000):
        packet = extensions.encode_command(
            CommandTerms(client_timeout_ms, retry, mark), packets.Read(id, b"h", 0, 1)
        )
        self.put(at, self.clients.put, 1, record.OUT, packet_codec.encode(packet)[4:])

    def answer(self, at, id=1, language=""):
        self.put(
            at,
            self.clients.put,
            1,
            record.IN,
            packet_codec.encode(packets.Status(id, 0, "", language))[4:],
        )

    def attempt(
        self,
        at,
        request=1,
        number=0,
        node=0,
        request_class="free",
        units=1.0,
        key=5,
        mark="m~0",
        id=1,
        verdict=None,
        ended=None,
    ):
        node_request = NodeRequest(
            "e",
            1,
            request,
            number,
            units,
            key,
            100,
            "t",
            1,
            1,
            request_class,
            mark,
            packets.Read(0, b"/v/a", 0, 1),
        )
        self.put(
            at,
            self.nodes[node].put,
            1,
            record.IN,
            packet_codec.encode(extensions.encode_node_request(id, node_request))[4:],
        )
        if ended is not None:
            reply = extensions.encode_node_reply(
                id, NodeReply(verdict or 0, "", {}, None, 0, packets.Data(id, b"x"))
            )
            self.put(
                ended,
                self.nodes[node].put,
                1,
                record.OUT,
                packet_codec.encode(reply)[4:],
            )

    def list_state(self, at, state):
        value = json.dumps({"id": 0, "state": state}).encode()
        event = {
            "type": "PUT",
            "kv": {"key": "k0", "value": base64.b64encode(value).decode()},
        }
        body = json.dumps({"result": {"events": [event]}}).encode()
        self.put(at, self.registry.put, 0, record.OUT, b"e\n" + body, 1 << 20)

    def breaches(self, with_packets=False):
        for each in [self.clients, self.registry, *self.nodes]:
            each.close()
        with open(
            os.path.join(self.folder, "stops.json"), "w", encoding="utf-8"
        ) as sink:
            sink.write("[]")
        with open(
            os.path.join(self.folder, "load.json"), "w", encoding="utf-8"
        ) as sink:
            sink.write('{"worst_lag_ms": 0}')
        with open(
            os.path.join(self.folder, "stand.json"), "w", encoding="utf-8"
        ) as sink:
            json.dump({"deaf": self.node_read_gaps}, sink)
        from google.protobuf import text_format

        found = audit.audit(
            read_evidence(self.folder, 2), text_format.Parse(SCENARIO_TEXT, Scenario())
        )
        if with_packets:
            return {
                rule: [each.packets for each in breaches]
                for rule, breaches in found.items()
                if breaches
            }
        return {
            rule: [each.text for each in breaches]
            for rule, breaches in found.items()
            if breaches
        }


class AuditRulesTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.records = ScriptedRecords(folder.name)

    def assert_only_breach(self, rule, text):
        found = self.records.breaches()
        self.assertEqual(list(found), [rule], found)
        self.assertIn(text, found[rule][0])

    def test_a_correct_run_has_no_breach(self):
        self.records.command(1)
        self.records.attempt(1.01, ended=1.1)
        self.records.answer(1.11)
        self.assertEqual(self.records.breaches(), {})

    def test_rule_1_no_answer(self):
        self.records.command(1)
        self.assert_only_breach(1, "no answer")

    def test_rule_1_a_late_answer(self):
        self.records.command(1)
        self.records.answer(2.5)
        self.assert_only_breach(1, "after the client timeout")

    def test_rule_1_two_answers(self):
        self.records.command(1)
        self.records.answer(1.1)
        self.records.answer(1.2)
        self.assert_only_breach(1, "an answer that no command is waiting for")

    def test_rule_1_an_attempt_after_the_answer(self):
        self.records.command(1)
        self.records.answer(1.1)
        self.records.attempt(1.3, ended=1.4)
        self.assert_only_breach(1, "after the final answer")

    def test_rule_1_an_attempt_after_the_answer_read_late_by_the_node(self):
        """Only an attempt read right after a read gap that began before the answer is excused.

        The second attempt's answer precedes the gap, the third attempt is read too late.
        """
        self.records.node_read_gaps = [(101.05, 101.3)]
        for number, (at, answered) in enumerate(
            ((1.3, 1.1), (1.3, 0.8), (1.35, 1.1)), 1
        ):
            self.records.command(0.5 + number / 1000, number, f"m{number}")
            self.records.answer(answered + number / 1000, number)
            self.records.attempt(
                at + number / 1000,
                number,
                mark=f"m{number}~0",
                id=number,
                ended=1.4 + number / 1000,
            )
        found = self.records.breaches(with_packets=True)
        self.assertEqual(
            [text.split(" ")[6] for breach in found[1] for text in breach[1:]],
            ["2", "3"],
            found,
        )

    def test_rule_2_a_non_idempotent_request_sent_twice(self):
        self.records.attempt(1, request_class="once", mark="")
        self.records.attempt(1.5, number=1, request_class="once", mark="", id=2)
        self.assert_only_breach(2, "non-idempotent request retried")

    def test_rule_2_an_idempotency_keyed_request_outside_its_retry_scope(self):
        self.records.attempt(1, request_class="marked", mark="")
        self.records.attempt(1.5, number=1, node=1, request_class="marked", mark="")
        self.assert_only_breach(2, "outside its retry scope")

    def test_rule_2_an_idempotency_keyed_request_past_its_retry_window(self):
        self.records.attempt(1, request_class="marked", mark="")
        self.records.attempt(3.5, number=1, request_class="marked", mark="", id=2)
        self.assert_only_breach(2, "past its retry window")

    def test_rule_2_declined_though_it_may_have_run(self):
        self.records.command(1)
        self.records.attempt(1.1, request_class="once")
        self.records.answer(1.9, language="x-declined-100")
        self.assert_only_breach(2, "declined though")

    def test_rule_3_an_attempt_to_a_draining_node(self):
        self.records.list_state(1, "draining")
        self.records.attempt(1.2, mark="")
        self.records.attempt(1.5, request=2, mark="", id=2)
        self.assert_only_breach(3, "draining")

    def test_rule_4_a_cold_node_overloaded(self):
        self.records.put(
            1,
            self.records.nodes[0].note,
            what="boot",
            box=0,
            cell=0,
            zone=0,
            cold=True,
            cores=1,
            cold_from=0.2,
            cold_s=10,
        )
        for each in range(8):
            self.records.attempt(
                1.1 + each / 100, request=each, mark="", id=each, units=1.0
            )
        self.assert_only_breach(4, "cold node can take")

    def test_rule_4_a_node_that_crashed(self):
        self.records.put(1, self.records.nodes[0].note, what="fell", box=0)
        self.assert_only_breach(4, "crashed of overload")

    def test_rule_5_two_requests_of_one_key_at_once(self):
        self.records.attempt(1, request_class="turn", mark="", ended=2)
        self.records.attempt(
            1.5, request=2, request_class="turn", mark="", id=2, ended=1.8
        )
        self.assert_only_breach(5, "at once")

    def test_rule_6_more_retries_than_the_budget(self):
        for number in range(3):
            self.records.attempt(1 + number / 10, number=number, mark="", id=number)
        self.assert_only_breach(6, "retries within")

    def test_rule_7_a_volume_past_its_limit(self):
        for each in range(14):
            self.records.attempt(1 + each / 100, request=each, mark="", id=each)
        self.assert_only_breach(7, "past its limit")

    def test_a_wait_for_a_core_precedes_the_check_that_finds_it(self):
        """The kernel adds a wait to the total only once the wait is over."""
        waits = {0.0: 0.0, 0.06: 0.0, 0.8: 0.7, 0.9: 0.7}
        gateway, monitor = (
            SimpleNamespace(process=SimpleNamespace(pid=7), names=["e"]),
            StarvationMonitor(),
        )
        found = []
        for at, total in waits.items():
            with mock.patch.object(starvation, "read_total_wait", return_value=total):
                found += [
                    (name, round(since, 2), to)
                    for name, since, to in monitor.find_spans(100 + at, [gateway])
                ]
        self.assertEqual(found, [("e", 99.36, 100.8)])

    def test_a_truncated_record_is_read_up_to_its_last_whole_entry(self):
        self.records.command(1)
        self.records.answer(1.1)
        self.records.clients.sink.write(b"\0\0\0")
        self.assertEqual(self.records.breaches(), {})


if __name__ == "__main__":
    unittest.main()
