"""The stand-in for a storage node: answers attempts in the time its engine takes.

Faults come on command. Times are seconds of a clock that is handed in.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import Random
from typing import Any, Protocol

from milletsill.lab.engine import Engine, Job, Speed
from milletsill.lab.record import PacketRecorder
from milletsill.lab.stored_files import StoredFiles
from milletsill.settings.milletsill_pb2 import BoxKind, NodeRules
from milletsill.sftp import packets
from milletsill.sftp.extensions import NodeReply, NodeReplyStatus, NodeRequest
from milletsill.sftp.wire import bytes_to_text

MAX_KEYS = 100_000
"""Idempotency keys that a node remembers at the most."""
MAX_REPORTS = 200
METADATA_WORK = 0.001
"""Seconds of work a unit of what is neither read nor written."""
UNKNOWN_SPREAD = 0.2
MIN_WORK_FACTOR = 0.1


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Seconds of work a unit on the mean, and the spread as a share of that."""

    seconds_per_unit: float
    spread: float


@dataclass(frozen=True, slots=True)
class NodeStandInSettings:
    """What a stand-in node is; `work` by the request class's name."""

    node: int
    cell: int
    zone: int
    kind: BoxKind
    rules: NodeRules
    work: Mapping[str, WorkEstimate]
    seed: int


class AttemptSource(Protocol):
    """The connection that an attempt came on."""

    def answer(self, packet_id: int, reply: NodeReply) -> None:
        """Answer an attempt."""


class NodeTransport(Protocol):
    """The connection of a gateway, as a fault sees it."""

    def abort(self) -> None:
        """End it now, wherever a packet stands."""


@dataclass(frozen=True, slots=True)
class PendingAttempt:
    """An attempt in work, and where its answer goes."""

    source: AttemptSource
    packet_id: int
    request: NodeRequest


@dataclass(frozen=True, slots=True)
class RememberedReply:
    """What was done under an idempotency key, and when."""

    at: float
    reply: NodeReply


AttemptKey = tuple[str, int, int, int]


def attempt_key(request: NodeRequest) -> AttemptKey:
    """Return what names an attempt over all gateways."""
    return (
        request.gateway,
        request.incarnation,
        request.request_id,
        request.attempt_number,
    )


class NodeStandIn:
    """One node: its files, its present engine, its connections.

    Attributes:
        port: Where it listens; set by whoever makes it listen.
        silent: It neither answers nor resets: what it was doing is lost.
        draining: It rejects what is new.
        down: It was pushed over while cold, for good.
        added_report_delay: Seconds that its load reports are late beside the usual.
    """

    def __init__(
        self,
        reactor: Any,
        settings: NodeStandInSettings,
        files: StoredFiles,
        recorder: PacketRecorder | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.kind = settings.kind
        self.files = files
        self.recorder = recorder
        self.clock = clock
        self.random = Random(settings.seed)
        self.speed = Speed()
        self.added_report_delay = 0.0
        self.connections: set[NodeTransport] = set()
        self.connection_count = 0
        self.answer_count = 0
        self.port: Any = None
        self.timer: Any = None
        self.boot(cold=False)

    def boot(self, cold: bool) -> None:
        """Start: nothing of the last run is left but the files."""
        now = self.clock()
        rules = self.settings.rules
        self.engine = Engine(self.kind, rules, self.random, now, cold, self.speed)
        self.remembered: OrderedDict[str, RememberedReply] = OrderedDict()
        self.reports: list[tuple[float, dict[str, float]]] = [
            (now, {"queue": 0.0, "inflight": 0.0, "busy": 0.0})
        ]
        self.units_served: dict[int, int] = {}
        self.units_told: dict[tuple[str, int], int] = {}
        self.jobs: dict[AttemptKey, Job] = {}
        self.started_wall_ms = int(time.time() * 1000) if cold else 0
        self.silent = False
        self.down = False
        self.draining = False
        if self.recorder is not None:
            self.recorder.note(
                box=self.settings.node,
                cell=self.settings.cell,
                zone=self.settings.zone,
                cold=cold,
                cores=self.kind.cores * self.kind.speed,
                cold_from=self.kind.cold_from,
                cold_s=self.kind.cold_s,
                what="boot",
            )

    # Faults.

    def vanish(self) -> None:
        """Fall silent: no answer and no reset; what it was doing is lost."""
        self.silent = True

    def restart(self) -> None:
        """Come back cold; old connections end now."""
        self.drop()
        self.boot(cold=True)

    def cut(self) -> None:
        """Break every connection, wherever a packet stands."""
        for connection in list(self.connections):
            connection.abort()

    def drop(self) -> None:
        """Break every connection and do nothing more."""
        self.cut()
        self.cancel_timer()

    def fall(self) -> None:
        """Go down for good: it was pushed over while cold."""
        self.down = True
        if self.recorder is not None:
            self.recorder.note(box=self.settings.node, what="fell")
        self.drop()
        if self.port is not None:
            self.port.stopListening()

    # Work.

    def on_attempt(
        self, source: AttemptSource, packet_id: int, request: NodeRequest
    ) -> None:
        """Take an attempt, or answer it at once."""
        if self.down:
            return
        now = self.clock()
        self.finish(self.engine.advance(now))
        known = self.known_reply(request.idempotency_key)
        if known is not None:
            source.answer(packet_id, known)
            return
        if self.draining:
            source.answer(packet_id, NodeReply(NodeReplyStatus.DRAINING))
            return
        job = self.engine.take(
            now,
            self.draw_work(request),
            request.units,
            request.extent,
            request.attempt_number == 0,
            isinstance(request.command, packets.Write),
            now + request.time_left_ms / 1000,
            PendingAttempt(source, packet_id, request),
        )
        if self.engine.crashed:
            self.fall()
        elif job is None:
            source.answer(packet_id, NodeReply(NodeReplyStatus.FULL))
        else:
            self.jobs[attempt_key(request)] = job
        self.schedule()

    def draw_work(self, request: NodeRequest) -> float:
        """Draw the seconds of work that an attempt means."""
        estimate = self.settings.work.get(
            request.request_class, WorkEstimate(METADATA_WORK, UNKNOWN_SPREAD)
        )
        per_unit = estimate.seconds_per_unit
        if not isinstance(request.command, (packets.Read, packets.Write)):
            per_unit = METADATA_WORK
        factor = self.random.gauss(1.0, min(estimate.spread, 1.0))
        return per_unit * request.units * max(factor, MIN_WORK_FACTOR)

    def known_reply(self, idempotency_key: str) -> NodeReply | None:
        """Return what was done under a key, for as long as it is remembered."""
        known = self.remembered.get(idempotency_key)
        if known is None or self.clock() - known.at > self.kind.ticket_s:
            return None
        return known.reply

    def cancel(self, gateway: str, incarnation: int, request: int, number: int) -> None:
        """Nobody waits for an attempt any more."""
        job = self.jobs.pop((gateway, incarnation, request, number), None)
        if job is not None and not self.silent:
            self.engine.cancel(job)

    def cancel_timer(self) -> None:
        """Stop waiting for the soonest end."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def schedule(self) -> None:
        """Wait for the soonest end, by one timer."""
        self.cancel_timer()
        if self.engine.working and not self.down:
            soonest = self.engine.soonest(self.clock())
            self.timer = self.reactor.callLater(soonest, self.on_timer)

    def on_timer(self) -> None:
        """Something may have ended."""
        self.finish(self.engine.advance(self.clock()))
        self.schedule()

    def finish(self, jobs: list[Job]) -> None:
        """Do to the files what ended, remember it and answer."""
        for job in jobs:
            if job.what is None:
                continue
            pending: PendingAttempt = job.what
            self.jobs.pop(attempt_key(pending.request), None)
            if self.silent:
                continue
            reply = self.result_of(pending.request)
            if reply is not None and not job.cancelled:
                pending.source.answer(pending.packet_id, reply)
            elif reply is None:
                error = NodeReply(NodeReplyStatus.ERROR, "a fault of the box")
                pending.source.answer(pending.packet_id, error)

    def result_of(self, request: NodeRequest) -> NodeReply | None:
        """Run an attempt's command; None where the node has an error instead.

        Two attempts under one idempotency key may have been here at once: the second
        has the effect of the first.
        """
        known = self.known_reply(request.idempotency_key)
        if known is not None:
            return known
        if self.random.random() < self.kind.error_rate:
            return None
        reply = self.files.run(request.command)
        self.note_effect(request, reply)
        reply = replace(
            reply,
            text=reply.text or str(self.settings.cell),
            report={},
            used=None,
            elsewhere=self.count_units(request),
        )
        self.remember(request.idempotency_key, reply)
        return reply

    def count_units(self, request: NodeRequest) -> int:
        """Count an attempt's units; return those of others since its gateway's last."""
        units = int(request.units)
        served = self.units_served.get(request.volume, 0) + units
        self.units_served[request.volume] = served
        gateway_volume = (request.gateway, request.volume)
        told = self.units_told.get(gateway_volume, 0)
        self.units_told[gateway_volume] = served
        return max(served - told - units, 0)

    def remember(self, idempotency_key: str, reply: NodeReply) -> None:
        """Remember what was done under a key; forget what is too old or too much."""
        now = self.clock()
        self.remembered[idempotency_key] = RememberedReply(now, reply)
        while self.remembered:
            oldest = next(iter(self.remembered.values()))
            is_too_old = oldest.at < self.clock() - self.kind.ticket_s
            if len(self.remembered) <= MAX_KEYS and not is_too_old:
                return
            self.remembered.popitem(last=False)

    def note_effect(self, request: NodeRequest, reply: NodeReply) -> None:
        """Record a write when it takes effect, also where nobody waits for it."""
        command = request.command
        if (
            self.recorder is None
            or not isinstance(command, packets.Write)
            or reply.text
        ):
            return
        self.recorder.note(
            what="effect",
            box=self.settings.node,
            ticket=request.idempotency_key,
            path=bytes_to_text(command.handle),
            offset=command.offset,
            gateway=request.gateway,
            transfer=request.request_id,
            code=getattr(reply.answer, "code", -1),
        )

    def load_report(self) -> dict[str, float]:
        """Return the newest load report that is not younger than its delay."""
        now = self.clock()
        if now - self.reports[-1][0] >= self.kind.report_every_ms / 1000:
            queued = len(self.engine.queue)
            working = len(self.engine.working)
            load = {
                "queue": float(queued),
                "inflight": float(queued + working),
                "busy": min(working / self.kind.cores, 1.0),
            }
            self.reports.append((now, load))
        delay = self.kind.report_late_ms / 1000 + self.added_report_delay
        while len(self.reports) > 1 and self.reports[1][0] <= now - delay:
            self.reports.pop(0)
        del self.reports[:-MAX_REPORTS]
        return self.reports[0][1]

    def registry_entry(self, state: str = "ready") -> dict[str, Any]:
        """Return its value in the registry; the keys are those of the registry."""
        host = self.port.getHost()
        return {
            "id": self.settings.node,
            "address": f"{host.host}:{host.port}",
            "state": state,
            "size": self.kind.cores,
            "kind": 0,
            "zone": self.settings.zone,
            "cell": self.settings.cell,
            "started": self.started_wall_ms,
        }
