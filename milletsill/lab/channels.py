"""Clients with channels: numbered transfers under every contract, over connections that break off all the time.

A line is one channel of one client. It makes numbers at its rate, keeps some of them out at a time, now and then out of turn,
and breaks its connection off in the middle to come back at the same or another gateway, or comes in by a second connection
beside the first. What was not settled is said again until it has an end. Nothing here judges: lab/audit_contracts.py does.
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

TICK, DIAL, AGAIN, SETUP = (
    0.01,
    2.0,
    0.2,
    3.0,
)  # seconds: between looks; a dial; until the next; until claimed
LEAST_PAUSE, MOST_PAUSE = 0.05, 1.0  # seconds until a declined number is said again
SWAPPED, RIVAL = (
    0.3,
    0.2,
)  # parts of numbers that are held back, of reconnections beside the old connection
HELD_BACK = 0.15  # seconds at most
BYTES, MOST_ASKED, ASK_EVERY = (
    512,
    30,
    0.2,
)  # times that an unsure end is asked for, seconds between
STATES = {
    wire.NumberStatus.SETTLED: "done",
    wire.NumberStatus.SKIPPED: "left out",
    wire.NumberStatus.FORGOTTEN: "over before",
}
IS_BATCHES = 3
DONE_SIGNS = {
    "superseded": "superseded",
    "over": "over before",
    "left-out": "left out",
    "contract": "against the contract",
}


class ChannelLink(ClientLink):
    """A connection that carries one channel."""

    keeps = (256, 320)


class Item:
    """One number until it has an end."""

    def __init__(self, number: int, batch: int, last: bool, began: float) -> None:
        self.number, self.batch, self.last, self.began = number, batch, last, began
        self.tries, self.due, self.out = 0, began, False
        self.asked = 0


class Line:
    """One channel and its client."""

    def __init__(self, load: Channels, place: int, terms: Any, volume: Any) -> None:
        self.load, self.place, self.terms, self.volume = load, place, terms, volume
        self.chance = Random(load.scenario.seed * 1000 + place)
        self.channel, self.path = f"line-{place}", f"{volume.root}/line-{place}"
        self.items: dict[int, Item] = {}
        self.asks_at: dict[int, float] = {}  # an unsure number is not asked for before
        self.made, self.order = 0, load.orders[terms.contract]
        self.link: ChannelLink | None = None
        self.handle, self.file, self.live = b"", b"", False
        self.dialling = False
        self.name = ""  # of the gateway that is dialled or held
        self.makes_at = self.since = self.breaks_at = 0.0

    # Connections.

    def dial(self) -> None:
        """To the same gateway or another."""
        load = self.load
        if self.dialling or load.over:
            return
        if not self.name or self.chance.random() < self.terms.elsewhere:
            self.name = self.chance.choice(sorted(load.doors))
        self.dialling, self.live = True, False
        host, _, port = load.doors[self.name].rpartition(":")
        link = ChannelLink(Door(self, self.name), load.next_connection())
        factory = Factory.forProtocol(lambda: link)
        factory.noisy = False
        TCP4ClientEndpoint(load.reactor, host, int(port), timeout=DIAL).connect(
            factory
        ).addCallbacks(lambda _: self.dialled(link), lambda _: self.missed())

    def missed(self) -> None:
        self.dialling = False
        self.load.count("unreached")
        self.load.reactor.callLater(AGAIN, self.dial)

    def dialled(self, link: ChannelLink) -> None:
        self.dialling, self.link, self.since = False, link, self.load.now()
        self.breaks_at = self.since + self.chance.expovariate(
            1 / self.terms.reconnect_s
        )
        if not link.transport.connected:
            self.lost(link)

    def ready(self, link: ChannelLink) -> None:
        """The file first, then the claim."""
        flags = packets.READ_FLAG | packets.WRITE_FLAG | packets.CREATE_FLAG
        link.command(
            packets.Open(0, self.path, flags, FileAttributes()),
            CommandTerms(int(SETUP * 1000), 0, self.mark("open")),
            lambda answer: self.opened(link, answer),
        )

    def mark(self, what: str) -> str:
        """A mark of its own for each thing said."""
        return f"{self.channel}.{what}.{self.load.next_mark()}"

    def opened(self, link: ChannelLink, answer: Any) -> None:
        if not isinstance(answer, packets.Handle):
            return self.drop(link, "file not opened")
        if link is not self.link:
            return None
        self.file = answer.handle
        said = ChannelOpen(self.path, self.channel, self.terms.contract)
        link.word(
            lambda id: wire.encode_channel_request(id, said),
            lambda answer: self.claimed(link, answer),
        )

    def claimed(self, link: ChannelLink, answer: Any) -> None:
        if not isinstance(answer, packets.ExtendedReply):
            return self.drop(link, f"not claimed {getattr(answer, 'language', '')}")
        if link is not self.link:
            return None
        told = wire.decode_open_reply(answer)
        self.handle, self.live = told.handle, True
        self.load.count("claims")
        for number in told.indeterminate:
            self.settle_unsure(number)
        for item in self.items.values():
            item.out, item.due = False, self.load.now()
        if told.lowest_open > self.made + 1:
            self.load.count("next beyond what was made")

    def drop(self, link: ChannelLink, why: str) -> None:
        self.load.count(why)
        if link.transport is not None:
            link.transport.abortConnection()

    def lost(self, link: ChannelLink) -> None:
        if link is self.link:
            self.link, self.live = None, False
            for item in self.items.values():
                item.out = False
            self.load.reactor.callLater(
                AGAIN * self.chance.uniform(0.2, 1.5), self.dial
            )

    def break_off(self) -> None:
        """In the middle of whatever is out: an end, or a second connection beside it."""
        link, self.breaks_at = self.link, float("inf")
        if link is None:
            return None
        if self.chance.random() < RIVAL:
            self.load.count("second connections")
            self.load.reactor.callLater(SETUP, self.drop, link, "old connections ended")
            self.link, self.live = None, False
            return self.dial()
        self.drop(link, "broken off")

    # Numbers.

    def tick(self, now: float) -> None:
        if self.link is None and not self.dialling:
            return None
        if self.link is not None and not self.live and now - self.since > SETUP * 2:
            return self.drop(self.link, "no claim in time")
        if not self.load.draining and now >= self.breaks_at:
            return self.break_off()
        if (
            not self.load.draining
            and len(self.items) < self.terms.window
            and now >= self.makes_at
        ):
            self.make(now)
        if self.live:
            self.send(now)

    def make(self, now: float) -> None:
        """Some numbers at a time; now and then one is held back, so that a later one comes before it."""
        size, whole, chance = self.terms.batch, self.order == IS_BATCHES, self.chance
        count = chance.randint(1, max(self.terms.window - len(self.items), 1))
        self.makes_at = now + count / self.terms.per_s * chance.uniform(0.5, 1.5)
        for _ in range(count):
            self.made += 1
            batch = -(-self.made // size) if whole else 0
            late = chance.uniform(0.0, HELD_BACK) if chance.random() < SWAPPED else 0.0
            self.items[self.made] = Item(
                self.made, batch, whole and not self.made % size, now + late
            )

    def send(self, now: float) -> None:
        """What is due."""
        for item in [
            each for each in self.items.values() if not each.out and each.due <= now
        ]:
            self.say(item, now)

    def say(self, item: Item, now: float) -> None:
        link, patience = self.link, self.terms.patience_ms
        assert link is not None
        offset = (item.number - 1) % self.terms.extents * self.load.extent_bytes
        data = f"{self.channel}:{item.number}:".encode().ljust(BYTES, b".")
        terms = CommandTerms(int(patience), item.tries, f"{self.channel}.{item.number}")
        item.out, item.tries = True, item.tries + 1
        turn = item.tries
        link.word(
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
            lambda answer: self.answered(link, item, turn, answer),
        )

    def answered(self, link: ChannelLink, item: Item, turn: int, answer: Any) -> None:
        if item.number not in self.items:
            return None
        if isinstance(answer, packets.Status) and answer.code == packets.OK:
            return self.end(item, "done")
        if link is not self.link or turn != item.tries:
            return None
        sign = (
            status_tags.parse_status_tag(answer.language)
            if isinstance(answer, packets.Status)
            else None
        )
        word = sign.kind if sign is not None else "lost" if answer is None else "status"
        self.load.count(f"heard {word}")
        if word in DONE_SIGNS:
            return self.end(item, DONE_SIGNS[word])
        pause = (sign.retry_delay_ms or 0) / 1000 if sign is not None else LEAST_PAUSE
        item.out, item.due = (
            False,
            self.load.now() + min(max(pause, LEAST_PAUSE), MOST_PAUSE),
        )
        if word == "claim-lost":
            self.drop(link, "claims lost")
        elif word == "status":
            self.drop(link, f"status {answer.code}: {answer.message[:60]}")
        elif word in ("stopped", "aborted"):
            item.due = max(item.due, self.load.now() + ASK_EVERY)
            self.settle_unsure(
                sign.number
                if sign is not None and word == "stopped" and sign.number
                else item.number
            )

    def settle_unsure(self, number: int) -> None:
        """Asks what became of it, now and then."""
        link, now = self.link, self.load.now()
        if link is None or not self.live or now < self.asks_at.get(number, 0.0):
            return
        self.asks_at[number] = now + ASK_EVERY
        handle = self.handle
        link.word(
            lambda id: wire.encode_channel_request(id, ChannelQuery(handle, number)),
            lambda answer: self.asked(link, number, answer),
        )

    def asked(self, link: ChannelLink, number: int, answer: Any) -> None:
        """Over, or for the client to say, or worth another try."""
        if not isinstance(answer, packets.ExtendedReply) or link is not self.link:
            return None
        told, item = wire.decode_query_reply(answer), self.items.get(number)
        unsure, says = told.status == wire.NumberStatus.INDETERMINATE, self.terms.says
        over = STATES.get(told.status)
        if item is not None:
            item.asked += 1
            if (
                unsure
                and not says
                and (told.lowest_open > number or item.asked > MOST_ASKED)
            ):
                over = "stays unsure"
            if over is not None:
                return self.end(item, over)
        if unsure and says:
            self.tell(
                link,
                number,
                wire.Resolution.NOT_DONE
                if item is not None and self.chance.random() < 0.5
                else wire.Resolution.SKIPPED,
            )

    def tell(self, link: ChannelLink, number: int, word: int) -> None:
        """The client's word on an unsure number."""
        self.load.count(
            "said again" if word == wire.Resolution.NOT_DONE else "said left out"
        )
        handle = self.handle
        link.word(
            lambda id: wire.encode_channel_request(
                id, ChannelResolve(handle, number, word)
            ),
            lambda answer: self.heard(number, answer),
        )

    def heard(self, number: int, answer: Any) -> None:
        """A word that comes too early is told when it may come again."""
        sign = (
            status_tags.parse_status_tag(answer.language)
            if isinstance(answer, packets.Status)
            else None
        )
        if sign is not None and sign.retry_delay_ms:
            self.asks_at[number] = self.load.now() + sign.retry_delay_ms / 1000

    def end(self, item: Item, what: str) -> None:
        del self.items[item.number]
        self.asks_at.pop(item.number, None)
        self.load.ended(self, item, what)


class Door:
    """What a link asks its owner for; the gateway's name is that of the time of the dial."""

    def __init__(self, line: Line, name: str) -> None:
        self.line, self.name, self.load = line, name, line.load

    def ready(self, link: ChannelLink) -> None:
        self.line.ready(link)

    def lost(self, link: ChannelLink) -> None:
        self.line.lost(link)


class Channels:
    """All clients with channels of a scenario. `start` is on the monotonic clock, in seconds."""

    def __init__(
        self,
        reactor: Any,
        scenario: Any,
        edges: list[tuple[str, str]],
        start: float,
        out: str,
    ) -> None:
        self.reactor, self.scenario, self.start_at, self.out = (
            reactor,
            scenario,
            start,
            out,
        )
        self.doors, self.now = dict(edges), time.monotonic
        self.recorder = PacketRecorder(f"{out}/channels.rec", "clients", "channels")
        self.lateness, self.due_at = LatenessMonitor(), start
        self.connections = self.marks = 0
        self.extent_bytes = scenario.gateway.rules.extent_bytes
        self.counts: dict[str, int] = {}
        self.ends: dict[str, dict[str, int]] = {}
        self.took: dict[str, HdrHistogram] = {}
        self.draining = self.over = False
        self.orders = {
            each.name: each.order for each in scenario.gateway.fleet.channels.contract
        }
        volumes = {each.name: each for each in scenario.gateway.volume}
        self.lines = [
            Line(self, place, terms, volumes[terms.volume])
            for place, terms in enumerate(
                terms for terms in scenario.channels for _ in range(terms.channels)
            )
        ]
        for place, line in enumerate(self.lines):
            reactor.callLater(max(start - self.now(), 0) + 0.02 * place, line.dial)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def next_connection(self) -> int:
        self.connections += 1
        return self.connections

    def next_mark(self) -> int:
        self.marks += 1
        return self.marks

    def ended(self, line: Line, item: Item, what: str) -> None:
        name = line.terms.contract
        row = self.ends.setdefault(name, {})
        row[what] = row.get(what, 0) + 1
        if what == "done":
            self.took.setdefault(name, HdrHistogram(1, 600_000_000, 3)).record_value(
                max(int((self.now() - item.began) * 1e6), 1)
            )

    def run(self) -> None:
        """Every few milliseconds: what is due on each line, until all have an end or time is up."""
        now, scenario = self.lateness.check(self.start_at, self.due_at), self.scenario
        self.due_at = now + TICK
        ended = self.start_at + scenario.seconds
        self.draining = now >= ended
        if self.draining and (
            now >= ended + scenario.tail_s or not any(line.items for line in self.lines)
        ):
            return self.finish()
        if now >= self.start_at:
            for line in self.lines:
                line.tick(now)
        self.reactor.callLater(TICK, self.run)

    def finish(self) -> None:
        self.over = True
        quantiles = {
            name: {str(q): each.get_value_at_percentile(q) / 1000 for q in (50, 90, 99)}
            for name, each in self.took.items()
        }
        result = {
            "ends": self.ends,
            "latency_ms": quantiles,
            "counts": self.counts,
            "late": self.lateness.to_stored(),
            "worst_lag_ms": self.lateness.worst * 1000,
            "connections": self.connections,
            "unended": sum(len(line.items) for line in self.lines),
            "lines": {
                line.channel: {
                    "contract": line.terms.contract,
                    "volume": line.volume.name,
                    "made": line.made,
                    "open": sorted(line.items),
                }
                for line in self.lines
            },
        }
        with open(f"{self.out}/channels.json", "w", encoding="utf-8") as sink:
            json.dump(result, sink, indent=1)
        self.reactor.addSystemEventTrigger("after", "shutdown", self.recorder.close)
        self.reactor.stop()
