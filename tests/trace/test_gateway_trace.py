"""The trace of a gateway: all that the module was told and did stands in it, in order, and can be played again."""

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

from milletsill.interface import (
    GrantedShare,
    QuotaKind,
    AttemptResult,
    Request,
    Endpoint,
    EndpointUpdateKind,
    AttemptOutcome,
    Readiness,
)
from milletsill.deployment_config import from_stored
from milletsill.scheduler import Scheduler
from milletsill.sftp import packets
from milletsill.trace.reader import Trace, verify
from milletsill.trace.recorder import Recorder
from milletsill.trace.recording_policy import Verdict
from tests.support.sftp_gateway_rig import Rig, later


class Held:
    """Keeps records in place of a writer."""

    def __init__(self):
        self.rows = []

    def put(self, name, at, *values):
        self.rows.append((name, at, values))


class Again:
    """A Port that only notes what the module does."""

    def __init__(self):
        self.did, self.wakes = [], []

    def send_attempt(self, transfer, node, timeout):
        self.did.append(("dispatch", (transfer, node, timeout)))

    def reject(self, transfer, pause):
        self.did.append(("declined", (transfer, pause)))

    def fail(self, transfer):
        self.did.append(("aborted", (transfer,)))

    def cancel_attempt(self, transfer, number):
        self.did.append(("cancelled", (transfer, number)))

    def watch_endpoints(self):
        self.did.append(("watch", ()))

    def fetch_endpoints(self):
        self.did.append(("fetch", ()))

    def set_timer(self, at, what):
        self.wakes.append(what)
        self.did.append(("wake", (at,)))

    def log(self, text):
        self.did.append(("remark", (text,)))


DID = {
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
    """The recorded inputs into a fresh module; what it did, and what the record says that it did."""
    port = Again()
    module, said, entries, left = Scheduler(config, seed, opened, port), [], [], 0
    for at, kind, values in rows:
        if kind in DID:
            said.append((kind, tuple(values)))
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
            module.on_request(
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
            module.on_attempt_result(
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
            module.on_client_cancelled(at, values[0])
        elif kind == "woken":
            module.on_timer(at, port.wakes[values[0] - 1])
        elif kind == "advised":
            node, strain, away, until = values
            module.on_health_advice(at, node, strain, bool(away), until)
        elif kind == "part":
            what, id, share, ends, after = values
            module.on_quota_share(
                at,
                QuotaKind(what),
                id,
                GrantedShare(None if share < 0 else share, ends, after),
            )
        elif kind == "settled":
            module.dispatch_pending(at)
        if kind in ("listed", "listing") and not left:
            module.on_endpoints(at, news, entries)
    return port.did, said


class Recording(unittest.TestCase):
    def test_each_input_stands_before_what_it_brought_about(self):
        class Module:
            def __init__(self, config, seed, now, port):
                self.port = port

            def on_request(self, now, arrival):
                self.port.send_attempt(arrival.id, 3, 50)
                self.port.set_timer(now + 9, "x")

            def on_timer(self, now, what):
                self.port.reject(1, 7 if what == "x" else 0)

        held, port = Held(), Again()
        recorder = Recorder(held, ["shop"])
        told = recorder.around(Module)({}, 1, 0, port)
        recorder.path("/p")
        told.on_request(10, Request(1, 2, 1, 1, 0, 0, False, True, None, 1.0, 99))
        told.on_timer(19, port.wakes[0])
        self.assertEqual(
            [(name, at) for name, at, _ in held.rows],
            [
                ("arrival", 10),
                ("dispatch", 10),
                ("wake", 10),
                ("woken", 19),
                ("declined", 19),
            ],
        )
        self.assertEqual(
            held.rows[0][2], (1, 2, 1, "shop", 1, 0, 0, False, True, -1, 1.0, 99, "/p")
        )
        self.assertEqual(port.did[-1], ("declined", (1, 7)))

    def test_a_store_without_a_name_stands_by_its_number(self):
        held = Held()
        told = Recorder(held, []).around(lambda *_: Mock())({}, 1, 0, Again())
        told.on_request(10, Request(1, 2, 77, 1, 0, 0, False, True, 4, 1.0, 99))
        self.assertEqual(held.rows[0][2][3], "77")

    def test_a_share_of_a_quota_and_the_even_one_are_told_apart(self):
        held, scheduler = Held(), Mock()
        told = Recorder(held, []).around(lambda *_: scheduler)({}, 1, 0, Again())
        shares = [GrantedShare(0.5, 90, 0.25), GrantedShare(None, 70, 0.5)]
        for granted in shares:
            told.on_quota_share(10, QuotaKind.SLOW_START, 3, granted)
        self.assertEqual(
            [values for _, _, values in held.rows],
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
        self.assertEqual([verify(each).verdict for each in files], [Verdict.WHOLE])
        with Trace(files[0]) as trace:
            rows = [(at, kind.name, values) for at, kind, values in trace.rows()]
            about = trace.map.about
        counts = Counter(kind for _, kind, _ in rows)
        self.assertEqual(counts["command"], 61)
        self.assertGreaterEqual(counts["arrival"], 61)
        self.assertEqual(counts["arrival"], counts["dispatch"])
        self.assertEqual([at for at, _, _ in rows], sorted(at for at, _, _ in rows))
        did, said = play(
            from_stored(about["facts"]), about["seed"], about["made"], rows
        )
        self.assertEqual(did, said)

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
        edge.traces.look()
        self.assertGreater(edge.traces.writer.lost, 0)
        self.assertEqual(rig.log.getvalue().count("tracing stops"), 1)
        os.unlink(rig.file.trace.folder)
        edge.traces.writer.retry_at = 0
        await later(0.4)
        await self.traffic(rig, edge, 5)
        edge.stop()
        kinds = Counter()
        for each in glob.glob(f"{self.folder}/file/*.mtrace"):
            with Trace(each) as trace:
                kinds.update(kind.name for _, kind, _ in trace.rows())
        self.assertEqual(kinds["command"], 11)
        self.assertGreater(kinds["gap"], 0)


if __name__ == "__main__":
    unittest.main()
