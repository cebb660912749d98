"""A stand-in for a storage node, which answers attempts in the time its engine takes.

Its methods inject faults. Times are seconds of a clock that the caller passes in.
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
"""Greatest number of idempotency keys that a node remembers."""
MAX_REPORTS = 200
METADATA_WORK = 0.001
"""Seconds of work per unit of a command that is neither a read nor a write."""
DEFAULT_SPREAD = 0.2
MIN_WORK_FACTOR = 0.1


@dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Mean work per unit in seconds, and its relative standard deviation."""

    seconds_per_unit: float
    spread: float


@dataclass(frozen=True, slots=True)
class NodeStandInSettings:
    """The settings of a stand-in node; `work` is by the request class's name."""

    node: int
    shard: int
    zone: int
    kind: BoxKind
    rules: NodeRules
    work: Mapping[str, WorkEstimate]
    seed: int


class AttemptSource(Protocol):
    """The connection on which an attempt arrived."""

    def answer(self, packet_id: int, reply: NodeReply) -> None:
        """Answer an attempt."""


class NodeTransport(Protocol):
    """The part of a gateway's connection that fault injection uses."""

    def abort(self) -> None:
        """Abort the connection now, even in the middle of a packet."""


@dataclass(frozen=True, slots=True)
class PendingAttempt:
    """An attempt that is queued or in progress, and where its answer goes."""

    source: AttemptSource
    packet_id: int
    request: NodeRequest


@dataclass(frozen=True, slots=True)
class RememberedReply:
    """The reply to the request with an idempotency key, and when it was given."""

    at: float
    reply: NodeReply


AttemptKey = tuple[str, int, int, int]


def attempt_key(request: NodeRequest) -> AttemptKey:
    """Return a key that identifies an attempt among all gateways."""
    return (
        request.gateway,
        request.incarnation,
        request.request_id,
        request.attempt_number,
    )


class NodeStandIn:
    """A stand-in node: its files, its engine since the last start, its connections.

    Attributes:
        port: The listening port; set by the code that makes the node listen.
        silent: The node neither answers nor resets connections; its work in progress
            is lost.
        draining: The node rejects new attempts.
        down: The node has failed permanently, from overload while it was cold.
        added_report_delay: Extra delay of its load reports, in seconds.
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
        """Start the node; of its state before, only the files remain."""
        now = self.clock()
        rules = self.settings.rules
        self.engine = Engine(self.kind, rules, self.random, now, cold, self.speed)
        self.remembered: OrderedDict[str, RememberedReply] = OrderedDict()
        self.reports: list[tuple[float, dict[str, float]]] = [
            (now, {"queue": 0.0, "inflight": 0.0, "busy": 0.0})
        ]
        self.units_served: dict[int, int] = {}
        self.units_reported: dict[tuple[str, int], int] = {}
        self.jobs: dict[AttemptKey, Job] = {}
        self.started_wall_ms = int(time.time() * 1000) if cold else 0
        self.silent = False
        self.down = False
        self.draining = False
        if self.recorder is not None:
            self.recorder.note(
                box=self.settings.node,
                cell=self.settings.shard,
                zone=self.settings.zone,
                cold=cold,
                cores=self.kind.cores * self.kind.speed,
                cold_from=self.kind.cold_from,
                cold_s=self.kind.cold_s,
                what="boot",
            )

    # Faults.

    def vanish(self) -> None:
        """Become silent: no answers and no resets; work in progress is lost."""
        self.silent = True

    def restart(self) -> None:
        """Restart cold and break all connections."""
        self.drop()
        self.boot(cold=True)

    def cut(self) -> None:
        """Abort every connection, even in the middle of a packet."""
        for connection in list(self.connections):
            connection.abort()

    def drop(self) -> None:
        """Abort every connection and stop the work."""
        self.cut()
        self.cancel_timer()

    def fail_permanently(self) -> None:
        """Fail permanently, from overload while the node is cold."""
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
        """Start or queue an attempt, or answer it at once."""
        if self.down:
            return
        now = self.clock()
        self.finish(self.engine.advance(now))
        known = self.remembered_reply(request.idempotency_key)
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
            self.fail_permanently()
        elif job is None:
            source.answer(packet_id, NodeReply(NodeReplyStatus.FULL))
        else:
            self.jobs[attempt_key(request)] = job
        self.schedule()

    def draw_work(self, request: NodeRequest) -> float:
        """Draw the work of an attempt, in seconds."""
        estimate = self.settings.work.get(
            request.request_class, WorkEstimate(METADATA_WORK, DEFAULT_SPREAD)
        )
        per_unit = estimate.seconds_per_unit
        if not isinstance(request.command, (packets.Read, packets.Write)):
            per_unit = METADATA_WORK
        factor = self.random.gauss(1.0, min(estimate.spread, 1.0))
        return per_unit * request.units * max(factor, MIN_WORK_FACTOR)

    def remembered_reply(self, idempotency_key: str) -> NodeReply | None:
        """Return the reply for an idempotency key; None if unknown or expired."""
        known = self.remembered.get(idempotency_key)
        if known is None or self.clock() - known.at > self.kind.ticket_s:
            return None
        return known.reply

    def cancel(self, gateway: str, incarnation: int, request: int, number: int) -> None:
        """Cancel an attempt, as its gateway no longer waits for it."""
        job = self.jobs.pop((gateway, incarnation, request, number), None)
        if job is not None and not self.silent:
            self.engine.cancel(job)

    def cancel_timer(self) -> None:
        """Cancel the timer of the next end of work."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def schedule(self) -> None:
        """Set the timer to the next end of work."""
        self.cancel_timer()
        if self.engine.working and not self.down:
            soonest = self.engine.soonest(self.clock())
            self.timer = self.reactor.callLater(soonest, self.on_timer)

    def on_timer(self) -> None:
        """Finish the work that has ended and set the timer again."""
        self.finish(self.engine.advance(self.clock()))
        self.schedule()

    def finish(self, jobs: list[Job]) -> None:
        """Run the commands of finished jobs and answer their attempts."""
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
        """Run an attempt's command; None if the node fails it with an error.

        Two attempts with one idempotency key may be in progress at once. The second to
        finish gets the first one's reply and has no effect of its own.
        """
        known = self.remembered_reply(request.idempotency_key)
        if known is not None:
            return known
        if self.random.random() < self.kind.error_rate:
            return None
        reply = self.files.run(request.command)
        self.record_effect(request, reply)
        reply = replace(
            reply,
            text=reply.text or str(self.settings.shard),
            report={},
            used=None,
            elsewhere=self.count_units(request),
        )
        self.remember(request.idempotency_key, reply)
        return reply

    def count_units(self, request: NodeRequest) -> int:
        """Count the units of an attempt and return those served to other gateways.

        The result is the number of units of the volume that this node has served to
        other gateways since this gateway's previous attempt.
        """
        units = int(request.units)
        served = self.units_served.get(request.volume, 0) + units
        self.units_served[request.volume] = served
        gateway_volume = (request.gateway, request.volume)
        reported = self.units_reported.get(gateway_volume, 0)
        self.units_reported[gateway_volume] = served
        return max(served - reported - units, 0)

    def remember(self, idempotency_key: str, reply: NodeReply) -> None:
        """Remember the reply for a key; drop replies expired or over the limit."""
        now = self.clock()
        self.remembered[idempotency_key] = RememberedReply(now, reply)
        while self.remembered:
            oldest = next(iter(self.remembered.values()))
            is_too_old = oldest.at < self.clock() - self.kind.ticket_s
            if len(self.remembered) <= MAX_KEYS and not is_too_old:
                return
            self.remembered.popitem(last=False)

    def record_effect(self, request: NodeRequest, reply: NodeReply) -> None:
        """Record the effect of a write, also if its gateway no longer waits for it."""
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
        """Return the newest load report that is at least as old as the report delay."""
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
        """Return the node's entry in the registry, with the registry's own keys."""
        host = self.port.getHost()
        return {
            "id": self.settings.node,
            "address": f"{host.host}:{host.port}",
            "state": state,
            "size": self.kind.cores,
            "kind": 0,
            "zone": self.settings.zone,
            "cell": self.settings.shard,
            "started": self.started_wall_ms,
        }
