"""Settings files: invalid ones are rejected with line and reason, valid ones load."""

import unittest

from milletsill.settings.field_lines import FieldLines, FieldStep
from milletsill.settings.flaws import MAX_FLAWS, SettingsFileRejectedError
from milletsill.settings.gateway_file import check_gateway
from milletsill.settings.load import parse
from milletsill.settings.milletsill_pb2 import GatewayFile, PlannerFile, Scenario
from milletsill.settings.planner_file import check_planner
from milletsill.settings.scenario import check_scenario

VALID_FILE = """name: "edge-1"
gateways: 3
registry { address: "127.0.0.1:2379" }
plan { name: "basic"  usual_rate: 10  reserve_rate: 3 }
category { name: "read"  target_ms: 300  patience_ms: 1500 }
volume { name: "suva"  root: "/suva"  plan: "basic"  cell: [0, 1] }
route { category: "read" }
"""
# Text to replace, its replacement, line of the flaw, part of the reason.
INVALID_CHANGES = [
    ('plan: "basic"', 'plan: "none"', 6, "refers to plan 'none', which is not defined"),
    ("gateways: 3", "gateways: 0", 2, "not from 1"),
    ("target_ms: 300", "target_ms: 3000", 5, "is over patience_ms 1500"),
    ('root: "/suva"', 'root: "suva"', 6, "absolute"),
    ("cell: [0, 1]", "cell: [1, 1]", 6, "listed twice"),
    ("cell: [0, 1]", "", 6, "no cell"),
    (
        'route { category: "read" }',
        'route { category: "read" operation: "fly" }',
        7,
        "not one of",
    ),
    (
        'route { category: "read" }',
        'route { category: "read" volume: "suva" }',
        7,
        "match every command",
    ),
    (
        "reserve_rate: 3",
        "reserve_rate: 3 limit_rate: 2 limit_store: 99",
        4,
        "limit_rate 2 is under reserve_rate 3",
    ),
    ("reserve_rate: 3", "limit_rate: 20 limit_store: 2", 4, "is under one request"),
    ("patience_ms: 1500", 'patience_ms: 1500 repeats: "often"', 5, "not one of"),
    ("patience_ms: 1500", "patience_ms: 1500 in_order: true", 5, "key_rest_ms"),
    ("127.0.0.1:2379", "127.0.0.1", 3, "host:port"),
    ("usual_rate: 10", "usual_rate: nan", 4, "not from"),
    ("gateways: 3", "gatevays: 3", 2, "gatevays"),
    ("gateways: 3", 'gateways: "x"', 2, ""),
    (
        "gateways: 3\n",
        "gateways: 3\ndoor { most_packet: 34000 }\nrules { unit_bytes: 8192 }\n",
        3,
        "most_packet 34000 is under",
    ),
    ("gateways: 3\n", "gateways: 3\ndoor { most_buffered: 65536 }\n", 3, "unread"),
    (
        "gateways: 3\n",
        "gateways: 3\nrules {\n  further_ratio: 0.1\n}\n",
        3,
        "retry budget",
    ),
    (
        "gateways: 3\n",
        "gateways: 3\nlinks {\n  dial_ms: 5000\n}\n",
        4,
        "not under the shortest",
    ),
    ('name: "edge-1"\n', "", 0, "missing name"),
]


class SettingsFiles(unittest.TestCase):
    def test_a_valid_file_is_loaded_unchanged(self):
        file = parse(VALID_FILE, "f", GatewayFile, check_gateway)
        self.assertEqual(
            (file.name, list(file.volume[0].cell), file.door.most_outstanding),
            ("edge-1", [0, 1], 64),
        )

    def test_each_invalid_file_is_rejected_with_line_and_reason(self):
        for old, new, line, reason in INVALID_CHANGES:
            with (
                self.subTest(new),
                self.assertRaises(SettingsFileRejectedError) as caught,
            ):
                parse(VALID_FILE.replace(old, new), "f", GatewayFile, check_gateway)
            flaw = caught.exception.flaws[0]
            self.assertEqual(
                (flaw.line, reason in flaw.reason, "\n" in str(flaw)),
                (line, True, False),
                str(flaw),
            )

    def test_a_root_within_another_root_is_rejected(self):
        text = (
            VALID_FILE + 'volume { name: "b" root: "/suva/b" plan: "basic" cell: 0 }\n'
        )
        with self.assertRaises(SettingsFileRejectedError) as caught:
            parse(text, "f", GatewayFile, check_gateway)
        self.assertEqual(
            (caught.exception.flaws[0].line, "within" in str(caught.exception)),
            (8, True),
        )

    def test_an_unparsable_file_gives_a_message_of_one_line(self):
        for text in ("{" * 5000, "\0", 'name: "', "a { " * 200):
            with self.assertRaises(SettingsFileRejectedError) as caught:
                parse(text, "f", GatewayFile, check_gateway)
            self.assertNotIn("\n", str(caught.exception))

    def test_a_scenario_with_a_shard_without_a_node_is_rejected(self):
        inner = VALID_FILE.replace("\n", " ")
        text = f'name: "d"\nedges: 1\nkind {{ name: "k" }}\nbox {{ kind: "k" }}\ngateway {{ {inner} }}\n'
        with self.assertRaises(SettingsFileRejectedError) as caught:
            parse(text, "f", Scenario, check_scenario)
        self.assertIn("without a box", str(caught.exception))

    def test_a_flaw_in_the_gateway_of_a_scenario_has_its_line(self):
        inner = VALID_FILE.replace('plan: "basic"', 'plan: "none"')
        text = (
            'name: "d"\nedges: 1\nkind { name: "k" }\nbox { kind: "k" count: 2 }\n'
            f"gateway {{\n{inner}}}\n"
        )
        with self.assertRaises(SettingsFileRejectedError) as caught:
            parse(text, "f", Scenario, check_scenario)
        (flaw,) = caught.exception.flaws
        self.assertEqual((flaw.line, "'none'" in flaw.reason), (11, True))

    def test_a_planner_file_is_checked(self):
        text = 'name: "p"\nlisten: "127.0.0.1:0"\nstate_dir: "s"\n'
        parse(text, "f", PlannerFile, check_planner)
        for old, new, line, reason in (
            ('"p"', '"p q"', 1, "printable"),
            ("127.0.0.1:0", "127.0.0.1", 2, "host:port"),
            ('"s"', '""', 3, "state_dir is empty"),
            ('"s"', '"s"\nlending {\n  floor: 1\n}', 5, "not from 0.01 to 0.9"),
            ('"s"', '"s"\nmost_edges: 0', 4, "not from 1"),
        ):
            with (
                self.subTest(new),
                self.assertRaises(SettingsFileRejectedError) as caught,
            ):
                parse(text.replace(old, new), "f", PlannerFile, check_planner)
            (flaw,) = caught.exception.flaws
            self.assertEqual((flaw.line, reason in flaw.reason), (line, True), flaw)

    def test_a_report_has_at_most_max_flaws(self):
        text = (
            VALID_FILE + 'volume { root: "/" plan: "basic" cell: 0 }\n' * 2 * MAX_FLAWS
        )
        with self.assertRaises(SettingsFileRejectedError) as caught:
            parse(text, "f", GatewayFile, check_gateway)
        self.assertEqual(len(caught.exception.flaws), MAX_FLAWS)


class FieldLineNumbers(unittest.TestCase):
    def test_each_value_of_a_repeated_field_has_its_line(self):
        lines = FieldLines(
            'volume {\n  cell: [0,\n 1]\n  name: "a"\n  "b"\n}\nvolume <\n cell: 2; >\n'
        )
        for path, line in (
            ((FieldStep("volume"),), 1),
            ((FieldStep("volume"), FieldStep("cell", 1)), 2),
            ((FieldStep("volume"), FieldStep("name")), 4),
            ((FieldStep("volume", 1), FieldStep("cell")), 8),
            ((FieldStep("volume", 1), FieldStep("root")), 7),
            ((FieldStep("plan"),), 0),
            ((), 0),
        ):
            self.assertEqual(lines.line_of(path), line, path)


if __name__ == "__main__":
    unittest.main()
