"""Sends records to collectors over UDP and TCP; client work never waits for any of it.

One `Sender` for each collector: a bounded queue by kind, a state from decide.POST_TABLE, an account of what became of
every record. `Exporter` owns cache, meter and senders and acts now and then on a reactor's timer.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

from milletsill.flows import ipfix, netflow9
from milletsill.flows.elements import (
    ELEMENTS,
    OURS,
    RELIABILITY,
    SELECTION,
    TEMPLATES,
    TYPE_INFO,
)
from milletsill.flows.export_policy import (
    PROVEN,
    SECOND,
    STUCK_FOR,
    Account,
    Kind,
    Level,
    Metering,
    Post,
    Tally,
    Word,
    back_off,
    post,
    receivers,
    shed,
    templates_due,
)
from milletsill.flows.ipfix import Record
from milletsill.flows.meter import Cache, Meter, Out

STEP, MOST_A_STEP = (
    0.1,
    500,
)  # seconds between the exporter's acts; flows let go and records sent in one of them
LOOK_EVERY, REPORT_EVERY = (
    10,
    100,
)  # steps between looks at the cost, and between options
TCP_MESSAGE, SYSTEMATIC_COUNT = 8192, 1  # bytes; selectorAlgorithm of RFC 5477
CODECS = {"ipfix": ipfix, "netflow9": netflow9}


class Pipe(Protocol):
    """A TCP connection to a collector; nothing that it says is read."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender

    def connectionMade(self) -> None:
        if self.sender.state is not Post.TRYING or self.sender.pipe is not None:
            return self.transport.abortConnection()
        self.sender.pipe = self
        self.transport.registerProducer(self, True)
        self.sender.word(Word.CONNECTED)

    def dataReceived(self, data: bytes) -> None: ...

    def connectionLost(self, reason: Any = None) -> None:
        if self.sender.pipe is self:
            self.sender.pipe = None
            self.sender.word(Word.LOST)

    def pauseProducing(self) -> None:
        self.sender.word(Word.FULL)

    def resumeProducing(self) -> None:
        self.sender.word(Word.DRAINED)

    def stopProducing(self) -> None: ...


class Sender:
    """One collector: its queue, its connection, its stream."""

    def __init__(self, exporter: Exporter, place: int, given: Any) -> None:
        self.exporter, self.place, self.given = exporter, place, given
        self.codec = CODECS[given.protocol]
        self.encoder = self.codec.Encoder(exporter.pen)
        self.udp = given.transport == "udp"
        self.state, self.pipe = Post.AWAY, None
        self.failures, self.due_at, self.stuck_at = 0, 0, 0
        self.queues = {kind: deque[Out]() for kind in Kind}
        self.account, self.sequence = Account(), 0
        self.told, self.told_at, self.since_told = (
            0,
            0,
            0,
        )  # how often templates were told on this stream; when; messages since
        self.up_at = 0
        host, _, port = given.address.rpartition(":")
        self.host, self.port = host, int(port)
        self.stream_began = 0

    @property
    def queued(self) -> int:
        return sum(map(len, self.queues.values()))

    # The queue.

    def offer(self, out: Out) -> None:
        """A record for this collector; what a full queue drops is chosen and counted."""
        self.queues[out.kind].append(out)
        while self.queued > self.given.most_queued:
            gone = self.queues[
                shed({kind: len(queue) for kind, queue in self.queues.items()})
            ].popleft()
            self.lose(gone, "queue full")

    def lose(self, out: Out, cause: str) -> None:
        """Count a record that will not be sent; in the sequence it leaves a gap, so the stream tells of it too."""
        self.account.drop(cause, out.tally)
        if out.kind is not Kind.OPTION and self.codec is ipfix:
            self.sequence += 1

    # The connection.

    def word(self, word: Word) -> None:
        """Read the table and act."""
        self.state, effect = post(self.state, word)
        now = self.exporter.now()
        if word is Word.FULL:
            self.stuck_at = now
        if effect == "connect":
            self.connect()
        elif effect == "begin":
            self.told, self.up_at = 0, now
            if not self.udp:
                self.sequence, self.stream_began = (
                    0,
                    now,
                )  # RFC 7011: a connection is a stream of its own
            self.exporter.remark("collector_up", address=self.given.address)
            self.pump()
        elif effect == "pump":
            self.pump()
        elif effect in ("wait", "cut"):
            if not self.failures:
                self.exporter.remark(
                    "collector_away", address=self.given.address, why=word.name.lower()
                )
            self.due_at = now + back_off(self.failures, self.exporter.uniform)
            self.failures += 1
            pipe, self.pipe = self.pipe, None
            if pipe is not None:
                pipe.transport.abortConnection()

    def connect(self) -> None:
        if self.udp:
            return self.word(Word.CONNECTED)
        factory = Factory.forProtocol(lambda: Pipe(self))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self.exporter.reactor, self.host, self.port, timeout=3
        )
        endpoint.connect(factory).addErrback(lambda failure: self.word(Word.FAILED))

    def look(self, now: int) -> None:
        """Time has passed."""
        if self.state is Post.AWAY and now >= self.due_at:
            self.word(Word.DUE)
        elif self.state is Post.UP and self.failures and now - self.up_at >= PROVEN:
            self.failures = 0
        elif self.state is Post.STUCK and now - self.stuck_at >= STUCK_FOR:
            self.word(Word.OVERDUE)

    # Messages.

    def pump(self, most: int = MOST_A_STEP) -> None:
        """Send what is queued, at most so many records in one go, while the collector takes them."""
        while self.state is Post.UP and most > 0 and self.queued:
            most -= self.send_message()

    def send_message(self) -> int:
        """One message: templates if they are due, then records, the most needed kind first. How many records."""
        now, exporter = self.exporter.now(), self.exporter
        message = self.codec.Message(
            exporter.file.path_bytes if self.udp else TCP_MESSAGE
        )
        if templates_due(
            self.udp,
            self.told,
            now,
            self.told_at,
            self.since_told,
            int(exporter.file.template_s * SECOND),
            exporter.file.template_messages,
        ):
            self.send_templates(now)
        taken: list[Out] = []
        for kind in sorted(Kind, reverse=True):
            queue = self.queues[kind]
            while queue and message.add(
                queue[0].record.template.id, self.encoder.record(queue[0].record)
            ):
                taken.append(queue.popleft())
            if queue:
                break
        if not taken:  # a record that fits no message by itself
            kind = next(
                kind for kind in sorted(Kind, reverse=True) if self.queues[kind]
            )
            self.lose(self.queues[kind].popleft(), "too large")
            return 1
        self.write(message, taken)
        return len(taken)

    def send_templates(self, now: int) -> None:
        """All templates and what RFC 5610 tells of our elements, in messages of their own."""
        self.told, self.told_at, self.since_told = self.told + 1, now, 0
        wanted = [each for each in TEMPLATES if self.codec is ipfix or not each.scope]
        rows = list(self.encoder.template_sets(wanted))
        if self.codec is ipfix:
            rows += [
                (
                    TYPE_INFO.id,
                    self.encoder.record(
                        Record(TYPE_INFO, self.encoder.type_values(each))
                    ),
                )
                for each in ELEMENTS.values()
                if each.space == OURS
            ]
        message = self.codec.Message(
            self.exporter.file.path_bytes if self.udp else TCP_MESSAGE
        )
        for set_id, data in rows:
            if not message.add(set_id, data):
                self.write(message, [])
                message = self.codec.Message(
                    self.exporter.file.path_bytes if self.udp else TCP_MESSAGE
                )
                message.add(set_id, data)
        self.write(message, [])

    def write(self, message: Any, taken: list[Out]) -> None:
        """One message out, and into the account."""
        exporter = self.exporter
        data = message.finish(
            int(exporter.wall_clock()), self.sequence, exporter.domain
        )
        self.sequence += message.records if self.codec is ipfix else 1
        self.account.messages += 1
        self.account.bytes += len(data)
        self.since_told += 1
        for each in taken:
            if each.kind is not Kind.OPTION:
                self.account.sent.add(each.tally)
        if self.udp:
            exporter.datagram(data, (self.host, self.port))
        elif self.pipe is not None:
            self.pipe.transport.write(data)

    def reliability(self, exporter: Exporter) -> Record:
        """What became of everything, for the reader: RFC 7011's reliability elements and ours."""
        sent, lost, skipped = (
            self.account.sent,
            self.account.lost(),
            exporter.meter.not_metered,
        )
        causes = "; ".join(
            f"{cause} {tally.records}" for cause, tally in self.account.dropped.items()
        )
        return Record(
            RELIABILITY,
            (
                exporter.domain,
                exporter.domain,
                exporter.name,
                self.account.messages,
                sent.records,
                self.account.bytes,
                lost.records,
                lost.packets,
                lost.octets,
                sent.commands,
                lost.commands,
                skipped.commands,
                sent.dispatches,
                lost.dispatches,
                skipped.dispatches,
                exporter.cache.evicted,
                causes,
            ),
        )


class Silent(DatagramProtocol):
    """The socket that datagrams leave by; refusals that come back are of no use to a datagram's sender."""

    noisy = False

    def datagramReceived(self, datagram: bytes, addr: Any) -> None: ...

    def connectionRefused(self) -> None: ...


class Exporter:
    """Flow export of one gateway: cache, meter, senders. `file` is the FlowExport message of its file."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        file: Any,
        name: str,
        domain: int,
        seed: int,
        remark: Callable[..., None],
        wall_clock: Callable[[], float] = time.time,
        timer: Callable[[], float] = time.perf_counter,
    ) -> None:
        self.reactor, self.now, self.file, self.name, self.domain = (
            reactor,
            now,
            file,
            name,
            domain,
        )
        self.remark, self.wall_clock, self.timer, self.pen = (
            remark,
            wall_clock,
            timer,
            file.enterprise,
        )
        self.uniform = Random(seed).uniform
        self.metering = Metering(
            Level[file.closest.upper()], Level[file.closest.upper()]
        )
        self.cache = Cache(
            file.most_flows,
            int(file.active_s * SECOND),
            int(file.idle_s * SECOND),
            self.wall,
            self.put,
        )
        self.meter = Meter(self.cache, self.metering, now, timer)
        self.senders = [
            Sender(self, place, each) for place, each in enumerate(file.collector)
        ]
        self.chosen, self.steps, self.call, self.udp_port = 0, 0, None, None
        self.began = now()
        self.looked_at, self.spent_before, self.spent = now(), 0.0, 0.0

    def wall(self, at: int) -> int:
        """A time of this process's clock as wall milliseconds by the wall clock as it is now."""
        return int(self.wall_clock() * 1000) - (self.now() - at) // 10

    def start(self) -> None:
        if any(each.udp for each in self.senders):
            self.udp_port = self.reactor.listenUDP(0, Silent(), interface="")
        self.step()

    def datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """One datagram; one that the socket refuses is lost like any other."""
        try:
            if self.udp_port is not None:
                self.udp_port.write(data, address)
        except OSError:
            pass

    def put(self, out: Out) -> None:
        """A record that left the cache, to whom it goes."""
        places = receivers(
            [each.state for each in self.senders],
            [each.failures > 0 for each in self.senders],
            self.file.copies,
            self.chosen,
        )
        for place in places:
            self.senders[place].offer(out)
        if places and not self.file.copies and places[0] != self.chosen:
            self.move_to(places[0])

    def move_to(self, place: int) -> None:
        """Failover: what the old one still holds goes with it."""
        old, new = self.senders[self.chosen], self.senders[place]
        self.chosen = place
        for kind, queue in old.queues.items():
            while queue:
                new.queues[kind].appendleft(queue.pop())

    def step(self) -> None:
        """Now and then: flows whose time is up, collectors, the cost."""
        began, now = self.timer(), self.now()
        self.steps += 1
        self.cache.sweep(now, MOST_A_STEP)
        for each in self.senders:
            each.look(now)
        if self.steps % REPORT_EVERY == 0:
            self.report()
        for each in self.senders:
            each.pump()
        self.spent += self.timer() - began
        if self.steps % LOOK_EVERY == 0:
            self.look(now)
        self.call = self.reactor.callLater(STEP, self.step)

    def look(self, now: int) -> None:
        """What export costs, and what follows."""
        spent, elapsed = self.spent + self.meter.spent, (now - self.looked_at) / SECOND
        share = (spent - self.spent_before) / elapsed if elapsed > 0 else 0.0
        self.looked_at, self.spent_before = now, spent
        if self.metering.look(share, self.file.cpu_share):
            self.remark(
                "metering",
                level=self.metering.level.name.lower(),
                interval=self.metering.interval,
                share=round(share, 4),
            )
            self.report()

    def report(self) -> None:
        """Options: how closely it is metered, and what became of everything."""
        meter, metering = self.meter, self.metering
        selection = Record(
            SELECTION,
            (
                self.domain,
                1,
                SYSTEMATIC_COUNT,
                1,
                metering.interval - 1,
                meter.observed,
                meter.selected,
                int(metering.level),
            ),
        )
        for each in self.senders:
            if each.codec is ipfix:
                each.queues[
                    Kind.OPTION
                ].clear()  # the newest tells all that the older ones did
                each.offer(Out(selection, Kind.OPTION, Tally(1)))
                each.offer(Out(each.reliability(self), Kind.OPTION, Tally(1)))

    def flush(self) -> None:
        """The end: all flows, the last report, and what can be sent at once; the rest is dropped and counted."""
        self.cache.flush()
        for each in self.senders:
            each.pump(1 << 30)
        self.report()
        for each in self.senders:
            each.pump(1 << 30)
            for queue in each.queues.values():
                while queue:
                    each.lose(queue.popleft(), "stopped")
        if self.call is not None and self.call.active():
            self.call.cancel()
        elapsed = (self.now() - self.began) / SECOND
        self.remark(
            "flows_ended",
            share=round((self.spent + self.meter.spent) / max(elapsed, 0.001), 5),
            evicted=self.cache.evicted,
            messages=sum(each.account.messages for each in self.senders),
            dropped=sum(each.account.lost().records for each in self.senders),
        )

    def stop(self) -> None:
        """Let the connections go; what they hold still leaves."""
        for each in self.senders:
            if each.pipe is not None:
                pipe, each.pipe = each.pipe, None
                pipe.transport.unregisterProducer()
                pipe.transport.loseConnection()
        if self.udp_port is not None:
            self.udp_port.stopListening()
