"""Clients of channels: they send numbered commands under each ordering contract.

Each `ChannelClient` drives one channel. It creates numbers at its rate, keeps several
in flight, some out of order, and often drops its connection to return at the same or
another gateway, or opens a second connection beside the first. It resends every number
until the number has an outcome. `lab/audit_contracts.py` checks the results.
"""

from __future__ import annotations

import json
import time
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from milletsill.lab.clients import ClientLink
from milletsill.lab.lateness import LatenessMonitor
from milletsill.lab.record import PacketRecorder
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets, status_tags
from milletsill.sftp.channel_extensions import (
    ChannelOpen,
    ChannelQuery,
    ChannelResolve,
    NumberedCommand,
)
from milletsill.sftp.extensions import CommandTerms
from milletsill.sftp.wire import FileAttributes

# All times are in seconds.
TICK, CONNECT_WAIT, RECONNECT_DELAY, CLAIM_WAIT = 0.01, 2.0, 0.2, 3.0
MIN_RESEND_DELAY, MAX_RESEND_DELAY = 0.05, 1.0  # of a declined number
# Parts of the numbers held back, and of reconnections beside the old connection.
HELD_PART, SECOND_CONNECTION_PART = 0.3, 0.2
MAX_HOLD = 0.15
WRITE_BYTES, MAX_POLLS, POLL_INTERVAL = 512, 30, 0.2  # polls of an unknown outcome
OUTCOME_OF_STATUS = {
    wire.NumberStatus.SETTLED: "done",
    wire.NumberStatus.SKIPPED: "left out",
    wire.NumberStatus.FORGOTTEN: "over before",
}
BATCHES = 3  # the contract order in which numbers form batches
OUTCOME_OF_TAG = {
    "superseded": "superseded",
    "over": "over before",
    "left-out": "left out",
    "contract": "against the contract",
}


class ChannelLink(ClientLink):
    """A connection that carries one channel; more of each packet is recorded."""

    recorded_bytes = (256, 320)


class Number:
    """A number of a channel that has no outcome yet."""

    def __init__(self, number: int, batch: int, last: bool, created: float) -> None:
        self.number, self.batch, self.last, self.created = number, batch, last, created
        self.sends, self.due_at, self.in_flight = 0, created, False
        self.polls = 0


class ChannelClient:
    """The client of one channel."""

    def __init__(self, load: Channels, index: int, terms: Any, volume: Any) -> None:
        self.load, self.index, self.terms, self.volume = load, index, terms, volume
        self.random = Random(load.scenario.seed * 1000 + index)
        self.channel, self.path = f"line-{index}", f"{volume.root}/line-{index}"
        self.items: dict[int, Number] = {}
        self.next_poll: dict[int, float] = {}  # earliest next poll of a number
        self.newest, self.order = 0, load.orders[terms.contract]
        self.link: ChannelLink | None = None
        self.handle, self.file, self.open = b"", b"", False
        self.connecting = False
        self.gateway = ""  # name of the present gateway
        self.creates_at = self.since = self.leaves_at = 0.0  # since: connected

    # Connections.

    def connect(self) -> None:
        """Connect to the same gateway, or now and then to any."""
        load = self.load
        if self.connecting or load.finished:
            return
        if not self.gateway or self.random.random() < self.terms.elsewhere:
            self.gateway = self.random.choice(sorted(load.addresses))
        self.connecting, self.open = True, False
        host, _, port = load.addresses[self.gateway].rpartition(":")
        link = ChannelLink(LinkOwner(self, self.gateway), load.next_connection())
        factory = Factory.forProtocol(lambda: link)
        factory.noisy = False
        TCP4ClientEndpoint(load.reactor, host, int(port), timeout=CONNECT_WAIT).connect(
            factory
        ).addCallbacks(lambda _: self.connected(link), lambda _: self.connect_failed())

    def connect_failed(self) -> None:
        self.connecting = False
        self.load.count("unreached")
        self.load.reactor.callLater(RECONNECT_DELAY, self.connect)

    def connected(self, link: ChannelLink) -> None:
        self.connecting, self.link, self.since = False, link, self.load.now()
        self.leaves_at = self.since + self.random.expovariate(
            1 / self.terms.reconnect_s
        )
        if not link.transport.connected:
            self.lost(link)

    def ready(self, link: ChannelLink) -> None:
        """Open the file; the claim of the channel follows."""
        flags = packets.READ_FLAG | packets.WRITE_FLAG | packets.CREATE_FLAG
        link.command(
            packets.Open(0, self.path, flags, FileAttributes()),
            CommandTerms(int(CLAIM_WAIT * 1000), 0, self.mark("open")),
            lambda answer: self.file_opened(link, answer),
        )

    def mark(self, what: str) -> str:
        """Return a unique mark for a command."""
        return f"{self.channel}.{what}.{self.load.next_mark()}"

    def file_opened(self, link: ChannelLink, answer: Any) -> None:
        if not isinstance(answer, packets.Handle):
            return self.drop(link, "file not opened")
        if link is not self.link:
            return None
        self.file = answer.handle
        opening = ChannelOpen(self.path, self.channel, self.terms.contract)
        link.send_request(
            lambda id: wire.encode_channel_request(id, opening),
            lambda answer: self.claimed(link, answer),
        )

    def claimed(self, link: ChannelLink, answer: Any) -> None:
        if not isinstance(answer, packets.ExtendedReply):
            return self.drop(link, f"not claimed {getattr(answer, 'language', '')}")
        if link is not self.link:
            return None
        reply = wire.decode_open_reply(answer)
        self.handle, self.open = reply.handle, True
        self.load.count("claims")
        for number in reply.indeterminate:
            self.poll_number(number)
        for item in self.items.values():
            item.in_flight, item.due_at = False, self.load.now()
        if reply.lowest_open > self.newest + 1:
            self.load.count("next beyond what was made")

    def drop(self, link: ChannelLink, reason: str) -> None:
        self.load.count(reason)
        if link.transport is not None:
            link.transport.abortConnection()

    def lost(self, link: ChannelLink) -> None:
        if link is self.link:
            self.link, self.open = None, False
            for item in self.items.values():
                item.in_flight = False
            self.load.reactor.callLater(
                RECONNECT_DELAY * self.random.uniform(0.2, 1.5), self.connect
            )

    def leave_connection(self) -> None:
        """Drop the connection, with numbers in flight, or open a second one too."""
        link, self.leaves_at = self.link, float("inf")
        if link is None:
            return None
        if self.random.random() < SECOND_CONNECTION_PART:
            self.load.count("second connections")
            self.load.reactor.callLater(
                CLAIM_WAIT, self.drop, link, "old connections ended"
            )
            self.link, self.open = None, False
            return self.connect()
        self.drop(link, "broken off")

    # Numbers.

    def tick(self, now: float) -> None:
        if self.link is None and not self.connecting:
            return None
        if (
            self.link is not None
            and not self.open
            and now - self.since > CLAIM_WAIT * 2
        ):
            return self.drop(self.link, "no claim in time")
        if not self.load.draining and now >= self.leaves_at:
            return self.leave_connection()
        if (
            not self.load.draining
            and len(self.items) < self.terms.window
            and now >= self.creates_at
        ):
            self.create_numbers(now)
        if self.open:
            self.send_due(now)

    def create_numbers(self, now: float) -> None:
        """Create some numbers at once; hold some back so that later ones come first."""
        size, batched, random = self.terms.batch, self.order == BATCHES, self.random
        count = random.randint(1, max(self.terms.window - len(self.items), 1))
        self.creates_at = now + count / self.terms.per_s * random.uniform(0.5, 1.5)
        for _ in range(count):
            self.newest += 1
            batch = -(-self.newest // size) if batched else 0
            hold = random.uniform(0.0, MAX_HOLD) if random.random() < HELD_PART else 0.0
            self.items[self.newest] = Number(
                self.newest, batch, batched and not self.newest % size, now + hold
            )

    def send_due(self, now: float) -> None:
        """Send all numbers that are due."""
        for item in [
            each
            for each in self.items.values()
            if not each.in_flight and each.due_at <= now
        ]:
            self.send_number(item, now)

    def send_number(self, item: Number, now: float) -> None:
        link, timeout = self.link, self.terms.patience_ms
        assert link is not None
        offset = (item.number - 1) % self.terms.extents * self.load.extent_bytes
        data = f"{self.channel}:{item.number}:".encode().ljust(WRITE_BYTES, b".")
        terms = CommandTerms(int(timeout), item.sends, f"{self.channel}.{item.number}")
        item.in_flight, item.sends = True, item.sends + 1
        sent = item.sends
        link.send_request(
            lambda id: wire.encode_numbered(
                id,
                NumberedCommand(
                    self.handle,
                    item.number,
                    item.batch,
                    item.last,
                    terms,
                    packets.Write(id, self.file, offset, data),
                ),
            ),
            lambda answer: self.answered(link, item, sent, answer),
        )

    def answered(self, link: ChannelLink, item: Number, sent: int, answer: Any) -> None:
        if item.number not in self.items:
            return None
        if isinstance(answer, packets.Status) and answer.code == packets.OK:
            return self.finish_number(item, "done")
        if link is not self.link or sent != item.sends:
            return None
        tag = (
            status_tags.parse_status_tag(answer.language)
            if isinstance(answer, packets.Status)
            else None
        )
        word = tag.kind if tag is not None else "lost" if answer is None else "status"
        self.load.count(f"heard {word}")
        if word in OUTCOME_OF_TAG:
            return self.finish_number(item, OUTCOME_OF_TAG[word])
        pause = (
            (tag.retry_delay_ms or 0) / 1000 if tag is not None else MIN_RESEND_DELAY
        )
        item.in_flight, item.due_at = (
            False,
            self.load.now() + min(max(pause, MIN_RESEND_DELAY), MAX_RESEND_DELAY),
        )
        if word == "claim-lost":
            self.drop(link, "claims lost")
        elif word == "status":
            self.drop(link, f"status {answer.code}: {answer.message[:60]}")
        elif word in ("stopped", "aborted"):
            item.due_at = max(item.due_at, self.load.now() + POLL_INTERVAL)
            self.poll_number(
                tag.number
                if tag is not None and word == "stopped" and tag.number
                else item.number
            )

    def poll_number(self, number: int) -> None:
        """Poll the status of a number, at most once per `POLL_INTERVAL`."""
        link, now = self.link, self.load.now()
        if link is None or not self.open or now < self.next_poll.get(number, 0.0):
            return
        self.next_poll[number] = now + POLL_INTERVAL
        handle = self.handle
        link.send_request(
            lambda id: wire.encode_channel_request(id, ChannelQuery(handle, number)),
            lambda answer: self.query_answered(link, number, answer),
        )

    def query_answered(self, link: ChannelLink, number: int, answer: Any) -> None:
        """End the number, resolve it if indeterminate, or leave it for a resend."""
        if not isinstance(answer, packets.ExtendedReply) or link is not self.link:
            return None
        reply, item = wire.decode_query_reply(answer), self.items.get(number)
        unknown, says = reply.status == wire.NumberStatus.INDETERMINATE, self.terms.says
        outcome = OUTCOME_OF_STATUS.get(reply.status)
        if item is not None:
            item.polls += 1
            if (
                unknown
                and not says
                and (reply.lowest_open > number or item.polls > MAX_POLLS)
            ):
                outcome = "stays unsure"
            if outcome is not None:
                return self.finish_number(item, outcome)
        if unknown and says:
            self.resolve(
                link,
                number,
                wire.Resolution.NOT_DONE
                if item is not None and self.random.random() < 0.5
                else wire.Resolution.SKIPPED,
            )

    def resolve(self, link: ChannelLink, number: int, resolution: int) -> None:
        """Resolve an indeterminate number as not done or skipped."""
        self.load.count(
            "said again" if resolution == wire.Resolution.NOT_DONE else "said left out"
        )
        handle = self.handle
        link.send_request(
            lambda id: wire.encode_channel_request(
                id, ChannelResolve(handle, number, resolution)
            ),
            lambda answer: self.resolution_answered(number, answer),
        )

    def resolution_answered(self, number: int, answer: Any) -> None:
        """Delay the next poll where the gateway asks for it."""
        tag = (
            status_tags.parse_status_tag(answer.language)
            if isinstance(answer, packets.Status)
            else None
        )
        if tag is not None and tag.retry_delay_ms:
            self.next_poll[number] = self.load.now() + tag.retry_delay_ms / 1000

    def finish_number(self, item: Number, outcome: str) -> None:
        del self.items[item.number]
        self.next_poll.pop(item.number, None)
        self.load.ended(self, item, outcome)


class LinkOwner:
    """The owner of a link; keeps the name of the gateway that the link connects to."""

    def __init__(self, client: ChannelClient, name: str) -> None:
        self.client, self.name, self.load = client, name, client.load

    def ready(self, link: ChannelLink) -> None:
        self.client.ready(link)

    def lost(self, link: ChannelLink) -> None:
        self.client.lost(link)


class Channels:
    """All channel clients of a scenario; `start` is a monotonic time in seconds."""

    def __init__(
        self,
        reactor: Any,
        scenario: Any,
        gateways: list[tuple[str, str]],
        start: float,
        out: str,
    ) -> None:
        self.reactor, self.scenario, self.start_at, self.folder = (
            reactor,
            scenario,
            start,
            out,
        )
        self.addresses, self.now = dict(gateways), time.monotonic
        self.recorder = PacketRecorder(f"{out}/channels.rec", "clients", "channels")
        self.lateness, self.due_at = LatenessMonitor(), start
        self.connections = self.marks = 0
        self.extent_bytes = scenario.gateway.rules.extent_bytes
        self.counts: dict[str, int] = {}
        self.outcomes: dict[str, dict[str, int]] = {}
        self.latencies: dict[str, HdrHistogram] = {}
        self.draining = self.finished = False
        self.orders = {
            each.name: each.order for each in scenario.gateway.fleet.channels.contract
        }
        volumes = {each.name: each for each in scenario.gateway.volume}
        self.clients = [
            ChannelClient(self, index, terms, volumes[terms.volume])
            for index, terms in enumerate(
                terms for terms in scenario.channels for _ in range(terms.channels)
            )
        ]
        for index, client in enumerate(self.clients):
            reactor.callLater(max(start - self.now(), 0) + 0.02 * index, client.connect)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def next_connection(self) -> int:
        self.connections += 1
        return self.connections

    def next_mark(self) -> int:
        self.marks += 1
        return self.marks

    def ended(self, client: ChannelClient, item: Number, outcome: str) -> None:
        name = client.terms.contract
        row = self.outcomes.setdefault(name, {})
        row[outcome] = row.get(outcome, 0) + 1
        if outcome == "done":
            self.latencies.setdefault(
                name, HdrHistogram(1, 600_000_000, 3)
            ).record_value(max(int((self.now() - item.created) * 1e6), 1))

    def run(self) -> None:
        """Run each client's tick, until all numbers have outcomes or the time is up."""
        now, scenario = self.lateness.check(self.start_at, self.due_at), self.scenario
        self.due_at = now + TICK
        ended = self.start_at + scenario.seconds
        self.draining = now >= ended
        if self.draining and (
            now >= ended + scenario.tail_s
            or not any(each.items for each in self.clients)
        ):
            return self.finish()
        if now >= self.start_at:
            for client in self.clients:
                client.tick(now)
        self.reactor.callLater(TICK, self.run)

    def finish(self) -> None:
        self.finished = True
        quantiles = {
            name: {str(q): each.get_value_at_percentile(q) / 1000 for q in (50, 90, 99)}
            for name, each in self.latencies.items()
        }
        result = {
            "ends": self.outcomes,
            "latency_ms": quantiles,
            "counts": self.counts,
            "late": self.lateness.to_stored(),
            "worst_lag_ms": self.lateness.worst * 1000,
            "connections": self.connections,
            "unended": sum(len(client.items) for client in self.clients),
            "lines": {
                client.channel: {
                    "contract": client.terms.contract,
                    "volume": client.volume.name,
                    "made": client.newest,
                    "open": sorted(client.items),
                }
                for client in self.clients
            },
        }
        with open(f"{self.folder}/channels.json", "w", encoding="utf-8") as sink:
            json.dump(result, sink, indent=1)
        self.reactor.addSystemEventTrigger("after", "shutdown", self.recorder.close)
        self.reactor.stop()
