"""Tests the trace of a gateway.

A trace must hold all events and effects of the scheduler in order, so that replaying
the events into a new scheduler produces the same effects.
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
    """A record sink that keeps its records in memory."""

    def __init__(self):
        self.records = []

    def put(self, name, at, *values):
        self.records.append((name, at, values))


class EffectsLog:
    """Scheduler effects that are logged and not performed."""

    def __init__(self):
        self.performed = []
        self.timers = []

    def send_attempt(self, request_id, node, timeout):
        self.performed.append(("dispatch", (request_id, node, timeout)))

    def reject(self, request_id, retry_after):
        self.performed.append(("declined", (request_id, retry_after)))

    def fail(self, request_id):
        self.performed.append(("aborted", (request_id,)))

    def cancel_attempt(self, request_id, number):
        self.performed.append(("cancelled", (request_id, number)))

    def watch_endpoints(self):
        self.performed.append(("watch", ()))

    def fetch_endpoints(self):
        self.performed.append(("fetch", ()))

    def set_timer(self, at, token):
        self.timers.append(token)
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


def replay(config, seed, created_at, records):
    """Replay recorded events into a new scheduler.

    Return the effects of the new scheduler, and the recorded ones.
    """
    effects = EffectsLog()
    scheduler = Scheduler(config, seed, created_at, effects)
    recorded = []
    endpoints = []
    remaining = 0
    for at, kind, values in records:
        if kind in EFFECT_KINDS:
            recorded.append((kind, tuple(values)))
        elif kind == "listed":
            update_kind, remaining, endpoints = (
                EndpointUpdateKind(values[0]),
                values[1],
                [],
            )
        elif kind == "listing":
            (
                node,
                readiness,
                size,
                endpoint_kind,
                zone,
                started_at,
                has_started_at,
                shard,
            ) = values
            endpoints.append(
                Endpoint(
                    node,
                    Readiness(readiness),
                    size,
                    endpoint_kind,
                    zone,
                    started_at if has_started_at else None,
                    shard,
                )
            )
            remaining -= 1
        elif kind == "arrival":
            (
                id,
                key,
                volume,
                _,
                sharing_gateways,
                request_class,
                service_plan,
                is_retry,
                is_write,
                shard,
                units,
                deadline,
                _,
            ) = values
            scheduler.on_request(
                at,
                Request(
                    id,
                    key,
                    volume,
                    sharing_gateways,
                    request_class,
                    service_plan,
                    bool(is_retry),
                    bool(is_write),
                    None if shard < 0 else shard,
                    units,
                    deadline,
                ),
            )
        elif kind == "outcome":
            (
                id,
                number,
                node,
                outcome,
                request_finished,
                latency,
                usage,
                units_elsewhere,
                report,
            ) = values
            scheduler.on_attempt_result(
                at,
                AttemptResult(
                    id,
                    number,
                    node,
                    AttemptOutcome(outcome),
                    bool(request_finished),
                    latency,
                    None if usage < 0 else usage,
                    units_elsewhere,
                    json.loads(report) if report else {},
                ),
            )
        elif kind == "abandoned":
            scheduler.on_client_cancelled(at, values[0])
        elif kind == "woken":
            scheduler.on_timer(at, effects.timers[values[0] - 1])
        elif kind == "advised":
            node, load_factor, avoid, expires_at = values
            scheduler.on_health_advice(at, node, load_factor, bool(avoid), expires_at)
        elif kind == "part":
            quota_kind, id, share, expires_at, fallback_share = values
            scheduler.on_quota_share(
                at,
                QuotaKind(quota_kind),
                id,
                GrantedShare(None if share < 0 else share, expires_at, fallback_share),
            )
        elif kind == "settled":
            scheduler.dispatch_pending(at)
        if kind in ("listed", "listing") and not remaining:
            scheduler.on_endpoints(at, update_kind, endpoints)
    return effects.performed, recorded


class Recording(unittest.TestCase):
    def test_each_event_is_recorded_before_the_effects_it_causes(self):
        class RecordingScheduler:
            def __init__(self, config, seed, now, effects):
                self.effects = effects

            def on_request(self, now, request):
                self.effects.send_attempt(request.id, 3, 50)
                self.effects.set_timer(now + 9, "x")

            def on_timer(self, now, token):
                self.effects.reject(1, 7 if token == "x" else 0)

        sink = RecordList()
        effects = EffectsLog()
        recorder = TraceRecorder(sink, ["shop"])
        traced = recorder.wrap(RecordingScheduler)({}, 1, 0, effects)
        recorder.set_next_path("/p")
        traced.on_request(10, Request(1, 2, 1, 1, 0, 0, False, True, None, 1.0, 99))
        traced.on_timer(19, effects.timers[0])
        self.assertEqual(
            [(name, at) for name, at, _ in sink.records],
            [
                ("arrival", 10),
                ("dispatch", 10),
                ("wake", 10),
                ("woken", 19),
                ("declined", 19),
            ],
        )
        self.assertEqual(
            sink.records[0][2],
            (1, 2, 1, "shop", 1, 0, 0, False, True, -1, 1.0, 99, "/p"),
        )
        self.assertEqual(effects.performed[-1], ("declined", (1, 7)))

    def test_a_volume_without_a_name_is_recorded_by_its_number(self):
        sink = RecordList()
        traced = TraceRecorder(sink, []).wrap(lambda *_: Mock())({}, 1, 0, EffectsLog())
        traced.on_request(10, Request(1, 2, 77, 1, 0, 0, False, True, 4, 1.0, 99))
        self.assertEqual(sink.records[0][2][3], "77")

    def test_a_granted_quota_share_and_the_even_share_are_distinguished(self):
        sink = RecordList()
        scheduler = Mock()
        traced = TraceRecorder(sink, []).wrap(lambda *_: scheduler)(
            {}, 1, 0, EffectsLog()
        )
        shares = [GrantedShare(0.5, 90, 0.25), GrantedShare(None, 70, 0.5)]
        for granted in shares:
            traced.on_quota_share(10, QuotaKind.SLOW_START, 3, granted)
        self.assertEqual(
            [values for _, _, values in sink.records],
            [("cold", 3, 0.5, 90, 0.25), ("cold", 3, -1.0, 70, 0.5)],
        )
        self.assertEqual(
            [call.args for call in scheduler.on_quota_share.call_args_list],
            [(10, QuotaKind.SLOW_START, 3, granted) for granted in shares],
        )


class Gateway(TestCase):
    timeout = 30

    def rig(self, **settings):
        rig = Rig(self)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        rig.file.trace.folder, rig.file.trace.block_s = folder.name, 0.2
        for name, value in settings.items():
            setattr(rig.file.trace, name, value)
        self.folder = folder.name
        return rig

    def files(self):
        return sorted(glob.glob(f"{self.folder}/*.mtrace"))

    async def traffic(self, rig, gateway, count=30):
        client = await rig.client(gateway)
        handle = await client.open("/h/a")
        for each in range(count):
            await client.command(packets.Write(0, handle, each * 100, b"x" * 100))
            await client.command(packets.Read(0, handle, 0, 100))
        client.transport.loseConnection()
        await later(0.1)

    async def test_replaying_a_gateways_trace_reproduces_its_effects(self):
        rig = self.rig()
        gateway = await rig.start_gateway()
        await self.traffic(rig, gateway)
        gateway.stop()
        files = self.files()
        self.assertEqual([verify(each).state for each in files], [FileState.WHOLE])
        with TraceReader(files[0]) as trace:
            records = [(at, kind.name, values) for at, kind, values in trace.records()]
            header = trace.contents.header
        counts = Counter(kind for _, kind, _ in records)
        self.assertEqual(counts["command"], 61)
        self.assertGreaterEqual(counts["arrival"], 61)
        self.assertEqual(counts["arrival"], counts["dispatch"])
        self.assertEqual(
            [at for at, _, _ in records], sorted(at for at, _, _ in records)
        )
        performed, recorded = replay(
            from_stored(header["facts"]), header["seed"], header["made"], records
        )
        self.assertEqual(performed, recorded)

    async def test_a_gateway_without_tracing_imports_no_trace_module(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        self.assertIsNone(gateway.traces)
        code = (
            "import sys; from milletsill.sftp_gateway.process import run; import milletsill.cli.main; "
            "print([each for each in sys.modules if each.startswith('milletsill.trace') or each == 'numpy'])"
        )
        from twisted.internet.utils import getProcessOutput

        out = await getProcessOutput(
            sys.executable, ["-c", code], env=os.environ, reactor=reactor
        )
        self.assertEqual(out.strip(), b"[]")

    async def test_a_failing_disk_affects_only_the_trace_until_it_recovers(self):
        rig = self.rig()
        rig.file.trace.folder = f"{self.folder}/file"
        with open(rig.file.trace.folder, "w", encoding="utf-8") as output:
            output.write("in the way")
        gateway = await rig.start_gateway()
        await self.traffic(rig, gateway, 5)
        gateway.traces.update_metrics()
        self.assertGreater(gateway.traces.trace_writer.records_shed, 0)
        self.assertEqual(rig.log.getvalue().count("tracing stops"), 1)
        os.unlink(rig.file.trace.folder)
        gateway.traces.trace_writer.retry_at = 0
        await later(0.4)
        await self.traffic(rig, gateway, 5)
        gateway.stop()
        kinds = Counter()
        for each in glob.glob(f"{self.folder}/file/*.mtrace"):
            with TraceReader(each) as trace:
                kinds.update(kind.name for _, kind, _ in trace.records())
        self.assertEqual(kinds["command"], 11)
        self.assertGreater(kinds["gap"], 0)


if __name__ == "__main__":
    unittest.main()
