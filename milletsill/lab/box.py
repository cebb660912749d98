"""The stand-in disk box on its socket.

Answers dispatches in the time its engine takes, with faults on command.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from milletsill.errors import MalformedInputError
from milletsill.lab.engine import Engine, Job, Speed
from milletsill.lab.files import Files
from milletsill.lab.record import IN, OUT, Recorder
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import (
    NodeReply,
    NodeReplyStatus,
    NodeRequest,
)
from milletsill.sftp.framing import PacketSplitter
from milletsill.sftp.wire import bytes_to_text

MOST_TICKETS, MOST_PACKET, META_WORK = 100_000, 64_000_000, 0.001


class Box:
    """One box: its files, its present engine, its connections.

    Times in seconds of `clock`.

    `work` gives the mean and spread of a category's work: category -> (seconds a unit,
    cv).
    """

    def __init__(
        self,
        reactor: Any,
        number: int,
        cell: int,
        zone: int,
        kind: Any,
        rules: Any,
        files: Files,
        work: dict[str, tuple[float, float]],
        seed: int,
        recorder: Recorder | None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.reactor, self.clock, self.id, self.cell, self.zone = (
            reactor,
            clock,
            number,
            cell,
            zone,
        )
        self.kind, self.rules, self.files, self.work = kind, rules, files, work
        self.chance, self.recorder = Random(seed), recorder
        self.speed, self.report_late = Speed(), 0.0
        self.connections: set[Gate] = set()
        self.counted = self.answered = 0
        self.silent = self.draining = self.down = False
        self.port: Any = None
        self.call: Any = None
        self.started_wall = 0
        self.boot(cold=False)

    def boot(self, cold: bool) -> None:
        """A start: nothing of the last run is left but the files."""
        now = self.clock()
        self.engine = Engine(self.kind, self.rules, self.chance, now, cold, self.speed)
        self.tickets: OrderedDict[str, tuple[float, NodeReply]] = OrderedDict()
        self.reports: list[tuple[float, dict[str, float]]] = [
            (now, {"queue": 0.0, "inflight": 0.0, "busy": 0.0})
        ]
        self.served: dict[int, int] = {}
        self.told: dict[tuple[str, int], int] = {}
        self.jobs: dict[tuple[str, int, int, int], Job] = {}
        self.started_wall = int(time.time() * 1000) if cold else 0
        self.silent = self.down = self.draining = False
        if self.recorder is not None:
            kind = self.kind
            self.recorder.note(
                box=self.id,
                cell=self.cell,
                zone=self.zone,
                cold=cold,
                cores=kind.cores * kind.speed,
                cold_from=kind.cold_from,
                cold_s=kind.cold_s,
                what="boot",
            )

    # Faults.

    def vanish(self) -> None:
        """Silent: no answer and no reset; what it was doing is lost."""
        self.silent = True

    def restart(self) -> None:
        """Comes back cold; old connections end now."""
        self.drop()
        self.boot(cold=True)

    def cut(self) -> None:
        """Every connection breaks, wherever a packet stands."""
        for each in list(self.connections):
            each.transport.abortConnection()

    def drop(self) -> None:
        self.cut()
        if self.call is not None and self.call.active():
            self.call.cancel()

    # Work.

    def order(self, gate: Gate, id: int, order: NodeRequest) -> None:
        """One dispatch."""
        now = self.clock()
        if self.down:
            return None
        self.finish(self.engine.advance(now))
        held = self.remembered(order.ticket)
        if held is not None:
            return gate.answer(id, held, order)
        if self.draining:
            return gate.answer(id, NodeReply(NodeReplyStatus.DRAINING), order)
        mean, cv = self.work.get(order.category, (META_WORK, 0.2))
        if not isinstance(order.command, (packets.Read, packets.Write)):
            mean = META_WORK
        work = mean * order.units * max(self.chance.gauss(1.0, min(cv, 1.0)), 0.1)
        job = self.engine.take(
            now,
            work,
            order.units,
            order.extent,
            order.number == 0,
            isinstance(order.command, packets.Write),
            now + order.left / 1000,
            (gate, id, order),
        )
        if self.engine.fallen:
            self.fall()
        elif job is None:
            gate.answer(id, NodeReply(NodeReplyStatus.FULL), order)
        else:
            self.jobs[self.key(order)] = job
        self.schedule()

    def remembered(self, ticket: str) -> NodeReply | None:
        """What was done under a ticket, for as long as it is remembered."""
        held = self.tickets.get(ticket)
        return (
            held[1]
            if held is not None and self.clock() - held[0] <= self.kind.ticket_s
            else None
        )

    def fall(self) -> None:
        """Pushed over while cold: down for good."""
        self.down = True
        if self.recorder is not None:
            self.recorder.note(box=self.id, what="fell")
        self.drop()
        if self.port is not None:
            self.port.stopListening()

    def key(self, order: NodeRequest) -> tuple[str, int, int, int]:
        return order.gateway, order.incarnation, order.transfer, order.number

    def cancel(
        self, gateway: str, incarnation: int, transfer: int, number: int
    ) -> None:
        job = self.jobs.pop((gateway, incarnation, transfer, number), None)
        if job is not None and not self.silent:
            self.engine.cancel(job)

    def schedule(self) -> None:
        """One timer for the soonest end."""
        if self.call is not None and self.call.active():
            self.call.cancel()
        if self.engine.working and not self.down:
            self.call = self.reactor.callLater(
                self.engine.soonest(self.clock()), self.tick
            )

    def tick(self) -> None:
        self.finish(self.engine.advance(self.clock()))
        self.schedule()

    def finish(self, jobs: list[Job]) -> None:
        """What ended: done to the files, remembered, answered."""
        for job in jobs:
            if job.what is None:
                continue
            gate, id, order = job.what
            self.jobs.pop(self.key(order), None)
            if self.silent:
                continue
            known = self.remembered(order.ticket)
            if (
                known is not None
            ):  # two dispatches under one ticket were here at once, and the other was first: one effect
                if not job.gone:
                    gate.answer(id, known, order)
                continue
            if self.chance.random() < self.kind.error_rate:
                gate.answer(
                    id, NodeReply(NodeReplyStatus.ERROR, "a fault of the box"), order
                )
                continue
            verdict = self.files.run(order.command)
            self.took_effect(order, verdict)
            if not verdict.text:
                verdict = NodeReply(
                    verdict.verdict, str(self.cell), answer=verdict.answer
                )
            self.served[order.volume] = self.served.get(order.volume, 0) + int(
                order.units
            )
            mine = (order.gateway, order.volume)
            elsewhere = max(
                self.served[order.volume] - self.told.get(mine, 0) - int(order.units), 0
            )
            self.told[mine] = self.served[order.volume]
            verdict = NodeReply(
                verdict.verdict, verdict.text, {}, None, elsewhere, verdict.answer
            )
            self.tickets[order.ticket] = (self.clock(), verdict)
            while (
                len(self.tickets) > MOST_TICKETS
                or self.tickets
                and (
                    next(iter(self.tickets.values()))[0]
                    < self.clock() - self.kind.ticket_s
                )
            ):
                self.tickets.popitem(last=False)
            if not job.gone:
                gate.answer(id, verdict, order)

    def took_effect(self, order: NodeRequest, verdict: NodeReply) -> None:
        """What was written is noted when it is, also where nobody waits for the answer any more."""
        if (
            self.recorder is not None
            and isinstance(order.command, packets.Write)
            and not verdict.text
        ):
            self.recorder.note(
                what="effect",
                box=self.id,
                ticket=order.ticket,
                path=bytes_to_text(order.command.handle),
                offset=order.command.offset,
                gateway=order.gateway,
                transfer=order.transfer,
                code=getattr(verdict.answer, "code", -1),
            )

    def report(self) -> dict[str, float]:
        """The newest report that is not younger than its delay."""
        now, engine = self.clock(), self.engine
        if now - self.reports[-1][0] >= self.kind.report_every_ms / 1000:
            self.reports.append(
                (
                    now,
                    {
                        "queue": float(len(engine.queue)),
                        "inflight": float(len(engine.queue) + len(engine.working)),
                        "busy": min(len(engine.working) / self.kind.cores, 1.0),
                    },
                )
            )
        late = self.kind.report_late_ms / 1000 + self.report_late
        while len(self.reports) > 1 and self.reports[1][0] <= now - late:
            self.reports.pop(0)
        del self.reports[:-200]
        return self.reports[0][1]

    def listing(self, state: str = "ready") -> dict[str, Any]:
        """Its value in the registry."""
        host = self.port.getHost()
        return {
            "id": self.id,
            "address": f"{host.host}:{host.port}",
            "state": state,
            "size": self.kind.cores,
            "kind": 0,
            "zone": self.zone,
            "cell": self.cell,
            "started": self.started_wall,
        }


class Gate(Protocol):
    """One connection of a gateway to a box."""

    def __init__(self, box: Box) -> None:
        self.box, self.deframer = box, PacketSplitter(MOST_PACKET)
        self.gateway, self.incarnation = "", 0
        box.counted += 1
        self.number = box.counted

    def connectionMade(self) -> None:
        if len(self.box.connections) >= self.box.kind.most_connections:
            return self.transport.abortConnection()
        self.transport.setTcpNoDelay(True)
        self.box.connections.add(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.box.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:
        self.deframer.feed(data)
        try:
            while (body := self.deframer.next()) is not None:
                if self.box.recorder is not None:
                    self.box.recorder.put(self.number, IN, body)
                self.packet(packet_codec.decode(body))
        except MalformedInputError:
            self.transport.abortConnection()

    def packet(self, packet: Any) -> None:
        box = self.box
        if box.silent:
            return
        if isinstance(packet, packets.Init):
            box.reactor.callLater(
                box.kind.handshake_ms / 1000,
                self.send,
                packets.Version(packets.VERSION_SPOKEN),
            )
        elif packet.name == extensions.DISPATCH:
            box.order(self, packet.id, extensions.decode_node_request(packet))
        elif packet.name == extensions.CANCEL:
            box.cancel(
                self.gateway, self.incarnation, *extensions.decode_cancel(packet)
            )
        else:
            if packet.name == extensions.HELLO:
                self.gateway, self.incarnation = extensions.decode_hello(packet)
            self.send(packets.Status(packet.id, packets.OK))

    def answer(self, id: int, verdict: NodeReply, order: NodeRequest) -> None:
        if self.box.silent:
            return
        self.box.answered += 1
        told = NodeReply(
            verdict.verdict,
            verdict.text,
            self.box.report(),
            verdict.used,
            verdict.elsewhere,
            verdict.answer,
        )
        self.send(extensions.encode_node_reply(id, told))

    def send(self, packet: Any) -> None:
        if (
            self.transport is not None
            and self.transport.connected
            and not self.box.silent
        ):
            data = packet_codec.encode(packet)
            if self.box.recorder is not None:
                self.box.recorder.put(self.number, OUT, data[4:])
            self.transport.write(data)


class Gates(Factory):
    noisy = False

    def __init__(self, box: Box) -> None:
        self.box = box

    def buildProtocol(self, addr: Any) -> Gate:
        return Gate(self.box)
