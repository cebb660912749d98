"""How long views and node states took to agree, from scripted gateway logs and faults.

Also covered: which reported deaths no fault explains.
"""

import unittest

from google.protobuf import text_format

from milletsill.lab.audit_fleet import (
    VerdictSpread,
    false_deaths,
    verdict_spreads,
    view_agreements,
)
from milletsill.lab.fault_timeline import (
    DownSpan,
    FaultTimeline,
    PartedSpan,
    TimelineMark,
)
from milletsill.lab.gateway_logs import (
    GatewayLogs,
    ReportedDeath,
    ReportedVerdict,
    ReportedView,
)
from milletsill.settings.milletsill_pb2 import Scenario

NAMES = ["a", "b", "c"]


def marks(*rows):
    return [TimelineMark(at, name) for at, name in rows]


class ViewAgreementTest(unittest.TestCase):
    def agreement_times(self, views, timeline, end=20.0):
        logs = GatewayLogs()
        for name, rows in views.items():
            logs.views[name] = [
                ReportedView(at, digest, {"x": 3, "a": 1}.get(digest, 2))
                for at, digest in rows
            ]
        return [
            None if view.took is None else round(view.took, 3)
            for view in view_agreements(logs, timeline, NAMES, end)
        ]

    def test_a_killed_gateway_and_its_return(self):
        timeline = FaultTimeline(
            {"c": [DownSpan(5.0, 8.0)]},
            [],
            marks((0.0, "start"), (5.0, "kill"), (8.0, "back")),
        )
        views = {
            "a": [(1.0, "x"), (7.0, "y"), (9.0, "x")],
            "b": [(1.5, "x"), (6.5, "y"), (9.5, "x")],
            "c": [(1.2, "x"), (9.2, "x")],
        }
        self.assertEqual(self.agreement_times(views, timeline), [1.5, 2.0, 1.5])
        self.assertEqual(
            self.agreement_times({**views, "c": [(1.2, "x")]}, timeline),
            [1.5, 2.0, None],
        )

    def test_each_side_of_a_partition_agrees_by_itself(self):
        timeline = FaultTimeline(
            {},
            [PartedSpan("split", frozenset("a"), 5.0, 9.0)],
            marks((0.0, "start"), (5.0, "split"), (9.0, "healed")),
        )
        views = {
            "a": [(1.0, "x"), (6.0, "a"), (10.0, "x")],
            "b": [(1.0, "x"), (7.0, "bc"), (11.0, "x")],
            "c": [(1.0, "x"), (8.0, "bc"), (10.0, "x")],
        }
        self.assertEqual(self.agreement_times(views, timeline), [1.0, 3.0, 2.0])
        timeline.network[0] = PartedSpan("isolate", frozenset("ab"), 5.0, 9.0)
        self.assertEqual(self.agreement_times(views, timeline)[1], None)

    def test_a_death_without_a_fault_is_false(self):
        logs = GatewayLogs(
            deaths=[
                ReportedDeath(6.0, "a", "c"),
                ReportedDeath(40.0, "a", "b"),
                ReportedDeath(60.0, "b", "a"),
            ]
        )
        timeline = FaultTimeline(
            {"c": [DownSpan(5.0, 8.0)]},
            [PartedSpan("split", frozenset("a"), 50.0, 55.0)],
            [],
        )
        self.assertEqual(false_deaths(logs, timeline), ["40.000 a reported b dead"])


class VerdictSpreadTest(unittest.TestCase):
    def test_time_until_nine_in_ten_detect_a_slow_node_and_its_recovery(self):
        scenario = text_format.Parse(
            'name: "x" edges: 1 gateway { name: "e" gateways: 1 registry { address: "a:1" } } '
            'trouble { what: "slow" at_s: 5 for_s: 5 on: 3 }',
            Scenario(),
        )
        logs = GatewayLogs(
            verdicts=[
                ReportedVerdict(5.5, "a", 3, "degraded"),
                ReportedVerdict(5.6, "a", 2, "degraded"),
                ReportedVerdict(6.0, "b", 3, "degraded"),
                ReportedVerdict(9.0, "b", 3, "recovering"),
                ReportedVerdict(12.0, "a", 3, "steady"),
                ReportedVerdict(13.0, "b", 3, "steady"),
            ]
        )
        self.assertEqual(
            verdict_spreads(logs, scenario, 0.0, 2),
            [VerdictSpread("slow of node 3", 2, 1.0, 2, 3.0)],
        )
        self.assertEqual(
            verdict_spreads(logs, scenario, 0.0, 3),
            [VerdictSpread("slow of node 3", 2, None, 2, None)],
        )


if __name__ == "__main__":
    unittest.main()
