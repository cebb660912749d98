"""A collector for looking: hears IPFIX and NetFlow 9 over UDP and TCP, decodes strictly, counts, prints.

Everything is bounded: sessions, templates (in the decoders), top lists. What is malformed is one line and loses only its
message; over TCP it ends that connection, since the stream cannot be cut any further.
"""

from __future__ import annotations

import io
import json
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

from netaddr import IPAddress, IPSet
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

from milletsill.flows import ipfix, netflow9
from milletsill.flows.ipfix import MalformedFlowMessage, Cutter

MOST_SESSIONS, MOST_TOP, LIFETIME = (
    1024,
    100_000,
    1800.0,
)  # templates over UDP last as long, in seconds
SUMMED = (
    "octetDeltaCount",
    "reverseOctetDeltaCount",
    "packetDeltaCount",
    "reversePacketDeltaCount",
    "commandDeltaCount",
    "satisfiedDeltaCount",
    "declinedDeltaCount",
    "abortedDeltaCount",
    "abandonedDeltaCount",
    "dispatchDeltaCount",
    "furtherDeltaCount",
)


class Gap:
    """Follows the sequence of one stream: how many records it says were sent that never came. A record that comes late
    or twice is told apart from loss within half the number space.
    """

    def __init__(self) -> None:
        self.expected: int | None = None
        self.missing = self.again = 0

    def hear(self, sequence: int, records: int) -> None:
        if self.expected is not None:
            ahead = (sequence - self.expected) % ipfix.MODULO
            if ahead >= ipfix.MODULO // 2:  # from before: late or doubled
                late = min(records, ipfix.MODULO - ahead)
                self.missing, self.again = (
                    max(self.missing - late, 0),
                    self.again + late,
                )
                return
            self.missing += ahead
        self.expected = (sequence + records) % ipfix.MODULO


class Session:
    """One exporter's decoders and gaps, by version and domain."""

    def __init__(self, lifetime: float | None) -> None:
        self.decoders: dict[int, Any] = {
            10: ipfix.Decoder(lifetime=lifetime),
            9: netflow9.Decoder(lifetime=lifetime),
        }
        self.gaps: OrderedDict[tuple[int, int], Gap] = OrderedDict()


class Collector:
    """Counts what comes. `show` gets each record as a map; `complain` one line."""

    def __init__(
        self,
        show: Callable[[dict[str, Any]], None],
        complain: Callable[[str], None],
        within: IPSet | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.show, self.complain, self.within, self.clock = (
            show,
            complain,
            within,
            clock,
        )
        self.udp: OrderedDict[Any, Session] = OrderedDict()
        self.gaps: list[Gap] = []
        self.sums: Counter[str] = Counter()
        self.stores: Counter[str] = Counter()
        self.boxes: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.options: OrderedDict[Any, dict[str, Any]] = OrderedDict()
        self.messages = self.records = self.unknown = self.malformed = (
            self.templates
        ) = self.bytes = 0

    def datagram(self, data: bytes, source: Any) -> None:
        """One datagram from an address."""
        session = self.udp.get(source)
        if session is None:
            session = self.udp[source] = Session(LIFETIME)
            while len(self.udp) > MOST_SESSIONS:
                self.udp.popitem(last=False)
        self.udp.move_to_end(source)
        self.message(session, data, source)

    def message(self, session: Session, data: bytes, source: Any) -> None:
        """One message of a session; a malformed one is counted and said."""
        version = int.from_bytes(data[:2], "big")
        decoder = session.decoders.get(version)
        try:
            if decoder is None:
                raise MalformedFlowMessage(f"version {version} is not read")
            made = decoder.message(data, self.clock())
        except MalformedFlowMessage as error:
            self.malformed += 1
            return self.complain(error.with_location(str(source)).describe())
        self.messages += 1
        self.bytes += len(data)
        self.unknown += made.unknown
        self.templates += made.templates
        if version == ipfix.VERSION:
            self.follow(session, made)
        for template, scope, values in made.rows:
            self.row(template, scope, values, made.domain)

    def follow(self, session: Session, made: Any) -> None:
        """The stream's own count; a set whose template is unknown hides how many records it holds."""
        gap = session.gaps.get((ipfix.VERSION, made.domain))
        if gap is None:
            gap = session.gaps[ipfix.VERSION, made.domain] = Gap()
            self.gaps.append(gap)
            del self.gaps[:-MOST_SESSIONS]
            while len(session.gaps) > MOST_SESSIONS:
                session.gaps.popitem(last=False)
        if not made.unknown:
            gap.hear(made.sequence, len(made.rows))

    def row(
        self, template: int, scope: int, values: dict[str, Any], domain: int
    ) -> None:
        if (
            self.within is not None
            and not scope
            and not any(
                name in values and IPAddress(values[name]) in self.within
                for name in ("sourceIPv4Address", "destinationIPv4Address")
            )
        ):
            return
        self.records += 1
        if scope:
            self.options[template, domain] = values
            self.options.move_to_end((template, domain))
            while len(self.options) > MOST_SESSIONS:
                self.options.popitem(last=False)
        elif (
            "finalAnswer" not in values
        ):  # a command's own record repeats what its flow sums up
            self.add(values)
        self.show({"template": template, "domain": domain, **values})

    def add(self, values: dict[str, Any]) -> None:
        side = "box" if "boxId" in values else "client"
        for name in SUMMED:
            if name in values:
                self.sums[f"{side} {name}"] += values[name]
        octets = values.get("octetDeltaCount", 0) + values.get(
            "reverseOctetDeltaCount", 0
        )
        top, name = (
            (self.boxes, str(values["boxId"]))
            if side == "box"
            else (self.stores, values.get("storeName", ""))
        )
        top[name] += octets
        if side == "box":
            self.outcomes[values.get("dispatchOutcome", "")] += values.get(
                "dispatchDeltaCount", 0
            )
        if len(top) > MOST_TOP:
            for gone, _ in top.most_common()[MOST_TOP // 2 :]:
                del top[gone]

    @property
    def missing(self) -> int:
        """Records that sequence numbers tell of and that never came."""
        return sum(each.missing for each in self.gaps)

    def summary(self) -> dict[str, Any]:
        return {
            "messages": self.messages,
            "bytes": self.bytes,
            "records": self.records,
            "templates": self.templates,
            "unknown_sets": self.unknown,
            "malformed": self.malformed,
            "missing": self.missing,
            "doubled": sum(each.again for each in self.gaps),
            "sums": dict(self.sums),
            "stores": dict(self.stores.most_common(20)),
            "boxes": dict(self.boxes.most_common(20)),
            "outcomes": dict(self.outcomes),
            "options": [
                {"template": template, "domain": domain, **values}
                for (template, domain), values in self.options.items()
            ],
        }


class Ear(DatagramProtocol):
    noisy = False

    def __init__(self, collector: Collector) -> None:
        self.collector = collector

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.collector.datagram(datagram, addr)


class Line(Protocol):
    """One TCP exporter; a stream of its own."""

    def __init__(self, collector: Collector) -> None:
        self.collector, self.session, self.cutter = collector, Session(None), Cutter()

    def dataReceived(self, data: bytes) -> None:
        try:
            for message in self.cutter.feed(data):
                self.collector.message(self.session, message, self.transport.getPeer())
        except MalformedFlowMessage as error:
            self.collector.malformed += 1
            self.collector.complain(
                error.with_location(str(self.transport.getPeer())).describe()
            )
            self.transport.abortConnection()


class Lines(Factory):
    noisy = False

    def __init__(self, collector: Collector) -> None:
        self.collector = collector

    def buildProtocol(self, addr: Any) -> Line:
        return Line(self.collector)


def table(summary: dict[str, Any]) -> str:
    """The summary for a person."""
    from rich.console import Console
    from rich.table import Table

    console = Console(width=110, record=True, file=io.StringIO())
    for title, name in (
        ("octets by store", "stores"),
        ("octets by box", "boxes"),
        ("dispatches by outcome", "outcomes"),
        ("sums", "sums"),
    ):
        made = Table(title=title, title_justify="left")
        made.add_column("of")
        made.add_column("count", justify="right")
        for key, value in summary[name].items():
            made.add_row(key or "-", f"{value}")
        console.print(made)
    counts = {
        name: summary[name]
        for name in (
            "messages",
            "records",
            "unknown_sets",
            "malformed",
            "missing",
            "doubled",
        )
    }
    console.print(json.dumps(counts))
    return console.export_text()
