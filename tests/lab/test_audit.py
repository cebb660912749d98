"""The auditor is able to fail: each rule is broken on purpose in a scripted record, and caught; a lawful one is not."""

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

TERMS = """
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


class Script:
    """Records written by the laboratory's own recorder, at times of the test's choosing."""

    def __init__(self, folder):
        self.folder, self.at, self.deaf = folder, 0.0, []
        self.clients = record.PacketRecorder(f"{folder}/clients.rec", "clients", "c")
        self.boxes = [
            record.PacketRecorder(f"{folder}/box-{each}.rec", "box", str(each))
            for each in (0, 1)
        ]
        self.registry = record.PacketRecorder(f"{folder}/registry.rec", "registry", "r")
        self.put(0, self.clients.note, what="connect", conn=1, edge="e")
        for number, box in enumerate(self.boxes):
            self.put(
                0,
                box.note,
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

    def command(self, at, id=1, mark="m", tries=0, patience=1000):
        packet = extensions.encode_command(
            CommandTerms(patience, tries, mark), packets.Read(id, b"h", 0, 1)
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

    def dispatch(
        self,
        at,
        transfer=1,
        number=0,
        box=0,
        category="free",
        units=1.0,
        extent=5,
        mark="m~0",
        id=1,
        verdict=None,
        ended=None,
    ):
        order = NodeRequest(
            "e",
            1,
            transfer,
            number,
            units,
            extent,
            100,
            "t",
            1,
            1,
            category,
            mark,
            packets.Read(0, b"/v/a", 0, 1),
        )
        self.put(
            at,
            self.boxes[box].put,
            1,
            record.IN,
            packet_codec.encode(extensions.encode_node_request(id, order))[4:],
        )
        if ended is not None:
            reply = extensions.encode_node_reply(
                id, NodeReply(verdict or 0, "", {}, None, 0, packets.Data(id, b"x"))
            )
            self.put(
                ended,
                self.boxes[box].put,
                1,
                record.OUT,
                packet_codec.encode(reply)[4:],
            )

    def told(self, at, state):
        value = json.dumps({"id": 0, "state": state}).encode()
        event = {
            "type": "PUT",
            "kv": {"key": "k0", "value": base64.b64encode(value).decode()},
        }
        body = json.dumps({"result": {"events": [event]}}).encode()
        self.put(at, self.registry.put, 0, record.OUT, b"e\n" + body, 1 << 20)

    def breaches(self, lines=False):
        for each in [self.clients, self.registry, *self.boxes]:
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
            json.dump({"deaf": self.deaf}, sink)
        from google.protobuf import text_format

        found = audit.audit(
            read_evidence(self.folder, 2), text_format.Parse(TERMS, Scenario())
        )
        if lines:
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


class Audited(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.script = Script(folder.name)

    def only(self, rule, words):
        found = self.script.breaches()
        self.assertEqual(list(found), [rule], found)
        self.assertIn(words, found[rule][0])

    def test_a_lawful_day_has_no_breach(self):
        self.script.command(1)
        self.script.dispatch(1.01, ended=1.1)
        self.script.answer(1.11)
        self.assertEqual(self.script.breaches(), {})

    def test_rule_1_no_answer(self):
        self.script.command(1)
        self.only(1, "no answer")

    def test_rule_1_a_late_answer(self):
        self.script.command(1)
        self.script.answer(2.5)
        self.only(1, "after patience")

    def test_rule_1_two_answers(self):
        self.script.command(1)
        self.script.answer(1.1)
        self.script.answer(1.2)
        self.only(1, "not owed")

    def test_rule_1_sent_after_the_answer(self):
        self.script.command(1)
        self.script.answer(1.1)
        self.script.dispatch(1.3, ended=1.4)
        self.only(1, "after the final answer")

    def test_rule_1_sent_after_the_answer_but_read_late_by_the_box(self):
        """Only what the boxes' own standing still explains is left out, and only right after it."""
        self.script.deaf = [(101.05, 101.3)]
        for number, (at, answered) in enumerate(
            ((1.3, 1.1), (1.3, 0.8), (1.35, 1.1)), 1
        ):
            self.script.command(0.5 + number / 1000, number, f"m{number}")
            self.script.answer(answered + number / 1000, number)
            self.script.dispatch(
                at + number / 1000,
                number,
                mark=f"m{number}~0",
                id=number,
                ended=1.4 + number / 1000,
            )
        found = self.script.breaches(lines=True)
        self.assertEqual(
            [text.split(" ")[6] for breach in found[1] for text in breach[1:]],
            ["2", "3"],
            found,
        )

    def test_rule_2_an_exclusive_one_sent_twice(self):
        self.script.dispatch(1, category="once", mark="")
        self.script.dispatch(1.5, number=1, category="once", mark="", id=2)
        self.only(2, "exclusive")

    def test_rule_2_a_ticketed_one_outside_its_group_and_window(self):
        self.script.dispatch(1, category="marked", mark="")
        self.script.dispatch(1.5, number=1, box=1, category="marked", mark="")
        self.only(2, "group")

    def test_rule_2_a_ticketed_one_past_its_window(self):
        self.script.dispatch(1, category="marked", mark="")
        self.script.dispatch(3.5, number=1, category="marked", mark="", id=2)
        self.only(2, "window")

    def test_rule_2_a_decline_that_promises_too_much(self):
        self.script.command(1)
        self.script.dispatch(1.1, category="once")
        self.script.answer(1.9, language="x-declined-100")
        self.only(2, "declined though")

    def test_rule_3_sent_to_a_draining_box(self):
        self.script.told(1, "draining")
        self.script.dispatch(1.2, mark="")
        self.script.dispatch(1.5, transfer=2, mark="", id=2)
        self.only(3, "draining")

    def test_rule_4_a_cold_box_pushed(self):
        self.script.put(
            1,
            self.script.boxes[0].note,
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
            self.script.dispatch(
                1.1 + each / 100, transfer=each, mark="", id=each, units=1.0
            )
        self.only(4, "cold box bears")

    def test_rule_4_a_box_that_fell(self):
        self.script.put(1, self.script.boxes[0].note, what="fell", box=0)
        self.only(4, "fell over")

    def test_rule_5_two_of_one_key_at_once(self):
        self.script.dispatch(1, category="turn", mark="", ended=2)
        self.script.dispatch(1.5, transfer=2, category="turn", mark="", id=2, ended=1.8)
        self.only(5, "at once")

    def test_rule_6_more_further_dispatches_than_the_budget(self):
        for number in range(3):
            self.script.dispatch(1 + number / 10, number=number, mark="", id=number)
        self.only(6, "further")

    def test_rule_7_a_volume_past_its_limit(self):
        for each in range(14):
            self.script.dispatch(1 + each / 100, transfer=each, mark="", id=each)
        self.only(7, "past its limit")

    def test_a_wait_for_a_core_lies_before_the_look_that_hears_of_it(self):
        """The system adds it when it is over."""
        waits = {0.0: 0.0, 0.06: 0.0, 0.8: 0.7, 0.9: 0.7}
        edge, starved = (
            SimpleNamespace(process=SimpleNamespace(pid=7), names=["e"]),
            StarvationMonitor(),
        )
        found = []
        for at, total in waits.items():
            with mock.patch.object(starvation, "read_total_wait", return_value=total):
                found += [
                    (name, round(since, 2), to)
                    for name, since, to in starved.find_spans(100 + at, [edge])
                ]
        self.assertEqual(found, [("e", 99.36, 100.8)])

    def test_a_record_torn_at_its_end_is_read_up_to_there(self):
        self.script.command(1)
        self.script.answer(1.1)
        self.script.clients.sink.write(b"\0\0\0")
        self.assertEqual(self.script.breaches(), {})


if __name__ == "__main__":
    unittest.main()
