"""The trace of a gateway.

All events and effects of the scheduler stand in it, in order, and can be played again.
"""

import glob
import json
import os
import sys
import tempfile
import unittest
from collections import Counter
from unittest.mock import Mock

from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from milletsill.deployment_config import from_stored
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    GrantedShare,
    QuotaKind,
    Readiness,
    Request,
)
from milletsill.scheduler import Scheduler
from milletsill.sftp import packets
from milletsill.trace.reader import FileState, TraceReader
from milletsill.trace.recorder import TraceRecorder
from milletsill.trace.repair import verify
from tests.support.sftp_gateway_rig import Rig, later


class RecordList:
    """Keeps records in place of a writer."""

    def __init__(self):
        self.rows = []

    def put(self, name, at, *values):
        self.rows.append((name, at, values))


class EffectsLog:
    """Effects that are only noted."""

    def __init__(self):
        self.performed = []
        self.timers = []

    def send_attempt(self, transfer, node, timeout):
        self.performed.append(("dispatch", (transfer, node, timeout)))

    def reject(self, transfer, pause):
        self.performed.append(("declined", (transfer, pause)))

    def fail(self, transfer):
        self.performed.append(("aborted", (transfer,)))

    def cancel_attempt(self, transfer, number):
        self.performed.append(("cancelled", (transfer, number)))

    def watch_endpoints(self):
        self.performed.append(("watch", ()))

    def fetch_endpoints(self):
        self.performed.append(("fetch", ()))

    def set_timer(self, at, what):
        self.timers.append(what)
        self.performed.append(("wake", (at,)))

    def log(self, text):
        self.performed.append(("remark", (text,)))


EFFECT_KINDS = {
    "dispatch",
    "declined",
    "aborted",
    "cancelled",
    "watch",
    "fetch",
    "wake",
    "remark",
}


def play(config, seed, opened, rows):
    """Replay recorded events into a fresh scheduler.

    Return the effects that it had, and those of the record.
    """
    effects = EffectsLog()
    scheduler = Scheduler(config, seed, opened, effects)
    recorded = []
    entries = []
    left = 0
    for at, kind, values in rows:
        if kind in EFFECT_KINDS:
            recorded.append((kind, tuple(values)))
        elif kind == "listed":
            news, left, entries = EndpointUpdateKind(values[0]), values[1], []
        elif kind == "listing":
            node, ready, size, machine, zone, since, known, cell = values
            entries.append(
                Endpoint(
                    node,
                    Readiness(ready),
                    size,
                    machine,
                    zone,
                    since if known else None,
                    cell,
                )
            )
            left -= 1
        elif kind == "arrival":
            (
                id,
                extent,
                volume,
                _,
                gateways,
                category,
                plan,
                repeat,
                write,
                cell,
                units,
                ends,
                _,
            ) = values
            scheduler.on_request(
                at,
                Request(
                    id,
                    extent,
                    volume,
                    gateways,
                    category,
                    plan,
                    bool(repeat),
                    bool(write),
                    None if cell < 0 else cell,
                    units,
                    ends,
                ),
            )
        elif kind == "outcome":
            id, number, node, outcome, over, latency, used, elsewhere, report = values
            scheduler.on_attempt_result(
                at,
                AttemptResult(
                    id,
                    number,
                    node,
                    AttemptOutcome(outcome),
                    bool(over),
                    latency,
                    None if used < 0 else used,
                    elsewhere,
                    json.loads(report) if report else {},
                ),
            )
        elif kind == "abandoned":
            scheduler.on_client_cancelled(at, values[0])
        elif kind == "woken":
            scheduler.on_timer(at, effects.timers[values[0] - 1])
        elif kind == "advised":
            node, strain, away, until = values
            scheduler.on_health_advice(at, node, strain, bool(away), until)
        elif kind == "part":
            what, id, share, ends, after = values
            scheduler.on_quota_share(
                at,
                QuotaKind(what),
                id,
                GrantedShare(None if share < 0 else share, ends, after),
            )
        elif kind == "settled":
            scheduler.dispatch_pending(at)
        if kind in ("listed", "listing") and not left:
            scheduler.on_endpoints(at, news, entries)
    return effects.performed, recorded


class Recording(unittest.TestCase):
    def test_each_input_stands_before_what_it_brought_about(self):
        class Module:
            def __init__(self, config, seed, now, effects):
                self.effects = effects

            def on_request(self, now, arrival):
                self.effects.send_attempt(arrival.id, 3, 50)
                self.effects.set_timer(now + 9, "x")

            def on_timer(self, now, what):
                self.effects.reject(1, 7 if what == "x" else 0)

        sink = RecordList()
        effects = EffectsLog()
        recorder = TraceRecorder(sink, ["shop"])
        traced = recorder.wrap(Module)({}, 1, 0, effects)
        recorder.set_next_path("/p")
        traced.on_request(10, Request(1, 2, 1, 1, 0, 0, False, True, None, 1.0, 99))
        traced.on_timer(19, effects.timers[0])
        self.assertEqual(
            [(name, at) for name, at, _ in sink.rows],
            [
                ("arrival", 10),
                ("dispatch", 10),
                ("wake", 10),
                ("woken", 19),
                ("declined", 19),
            ],
        )
        self.assertEqual(
            sink.rows[0][2], (1, 2, 1, "shop", 1, 0, 0, False, True, -1, 1.0, 99, "/p")
        )
        self.assertEqual(effects.performed[-1], ("declined", (1, 7)))

    def test_a_store_without_a_name_stands_by_its_number(self):
        sink = RecordList()
        traced = TraceRecorder(sink, []).wrap(lambda *_: Mock())({}, 1, 0, EffectsLog())
        traced.on_request(10, Request(1, 2, 77, 1, 0, 0, False, True, 4, 1.0, 99))
        self.assertEqual(sink.rows[0][2][3], "77")

    def test_a_share_of_a_quota_and_the_even_one_are_told_apart(self):
        sink = RecordList()
        scheduler = Mock()
        traced = TraceRecorder(sink, []).wrap(lambda *_: scheduler)(
            {}, 1, 0, EffectsLog()
        )
        shares = [GrantedShare(0.5, 90, 0.25), GrantedShare(None, 70, 0.5)]
        for granted in shares:
            traced.on_quota_share(10, QuotaKind.SLOW_START, 3, granted)
        self.assertEqual(
            [values for _, _, values in sink.rows],
            [("cold", 3, 0.5, 90, 0.25), ("cold", 3, -1.0, 70, 0.5)],
        )
        self.assertEqual(
            [call.args for call in scheduler.on_quota_share.call_args_list],
            [(10, QuotaKind.SLOW_START, 3, granted) for granted in shares],
        )


class Gateway(TestCase):
    timeout = 30

    def rig(self, **terms):
        rig = Rig(self)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        rig.file.trace.folder, rig.file.trace.block_s = folder.name, 0.2
        for name, value in terms.items():
            setattr(rig.file.trace, name, value)
        self.folder = folder.name
        return rig

    def files(self):
        return sorted(glob.glob(f"{self.folder}/*.mtrace"))

    async def traffic(self, rig, edge, count=30):
        client = await rig.client(edge)
        handle = await client.open("/h/a")
        for each in range(count):
            await client.command(packets.Write(0, handle, each * 100, b"x" * 100))
            await client.command(packets.Read(0, handle, 0, 100))
        client.transport.loseConnection()
        await later(0.1)

    async def test_what_a_gateway_traced_makes_a_fresh_module_do_the_same(self):
        rig = self.rig()
        edge = await rig.start_gateway()
        await self.traffic(rig, edge)
        edge.stop()
        files = self.files()
        self.assertEqual([verify(each).state for each in files], [FileState.WHOLE])
        with TraceReader(files[0]) as trace:
            rows = [(at, kind.name, values) for at, kind, values in trace.records()]
            about = trace.contents.header
        counts = Counter(kind for _, kind, _ in rows)
        self.assertEqual(counts["command"], 61)
        self.assertGreaterEqual(counts["arrival"], 61)
        self.assertEqual(counts["arrival"], counts["dispatch"])
        self.assertEqual([at for at, _, _ in rows], sorted(at for at, _, _ in rows))
        performed, recorded = play(
            from_stored(about["facts"]), about["seed"], about["made"], rows
        )
        self.assertEqual(performed, recorded)

    async def test_a_gateway_without_a_trace_loads_none_of_its_code(self):
        rig = Rig(self)
        edge = await rig.start_gateway()
        self.assertIsNone(edge.traces)
        code = (
            "import sys; from milletsill.sftp_gateway.process import run; import milletsill.cli.main; "
            "print([each for each in sys.modules if each.startswith('milletsill.trace') or each == 'numpy'])"
        )
        from twisted.internet.utils import getProcessOutput

        out = await getProcessOutput(
            sys.executable, ["-c", code], env=os.environ, reactor=reactor
        )
        self.assertEqual(out.strip(), b"[]")

    async def test_a_disk_that_refuses_costs_the_trace_alone(self):
        rig = self.rig()
        rig.file.trace.folder = f"{self.folder}/file"
        with open(rig.file.trace.folder, "w", encoding="utf-8") as sink:
            sink.write("in the way")
        edge = await rig.start_gateway()
        await self.traffic(rig, edge, 5)
        edge.traces.update_metrics()
        self.assertGreater(edge.traces.trace_writer.records_shed, 0)
        self.assertEqual(rig.log.getvalue().count("tracing stops"), 1)
        os.unlink(rig.file.trace.folder)
        edge.traces.trace_writer.retry_at = 0
        await later(0.4)
        await self.traffic(rig, edge, 5)
        edge.stop()
        kinds = Counter()
        for each in glob.glob(f"{self.folder}/file/*.mtrace"):
            with TraceReader(each) as trace:
                kinds.update(kind.name for _, kind, _ in trace.records())
        self.assertEqual(kinds["command"], 11)
        self.assertGreater(kinds["gap"], 0)


if __name__ == "__main__":
    unittest.main()
