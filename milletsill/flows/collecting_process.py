"""A collecting process (RFC 7011): decodes messages strictly and counts their records.

The numbers of sessions, templates (in the decoders) and top list entries are limited. A
malformed message is reported in one line and dropped; others are not affected.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Any, TypeAlias

from netaddr import IPAddress, IPSet

from milletsill.flows.codecs import CODECS_BY_VERSION, IPFIX
from milletsill.flows.decoded_message import (
    DecodedMessage,
    DecodedRecord,
    DecodedValues,
)
from milletsill.flows.errors import MalformedFlowMessageError
from milletsill.flows.flow_totals import FlowTotals
from milletsill.flows.sequence_tracker import SequenceTracker

MAX_SESSIONS = 1024
MAX_TRACKED_STREAMS = 1024
MAX_OPTIONS = 1024
UDP_TEMPLATE_LIFETIME_SECONDS = 1800.0
PRINTED_TOP_ENTRIES = 20
VERSION_OCTETS = 2
CollectionSummary: TypeAlias = dict[str, Any]
"""The counts of a collecting process, as they are printed in JSON."""


class TransportSession:
    """One exporting process: decoders by version, sequence trackers by domain."""

    def __init__(self, template_lifetime: float | None) -> None:
        self.decoders = {
            version: codec.new_decoder(template_lifetime)
            for version, codec in CODECS_BY_VERSION.items()
        }
        self.sequences: OrderedDict[int, SequenceTracker] = OrderedDict()


class CollectingProcess:
    """Decodes and counts the messages of exporting processes.

    `on_record` gets each record with its template id and domain, `on_malformed` a line
    for each malformed message. With `within`, only flows that have an endpoint in these
    addresses are counted.
    """

    def __init__(
        self,
        on_record: Callable[[DecodedValues], None],
        on_malformed: Callable[[str], None],
        within: IPSet | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.totals = FlowTotals()
        self.options: OrderedDict[tuple[int, int], DecodedValues] = OrderedDict()
        self.messages = 0
        self.octets = 0
        self.records = 0
        self.templates = 0
        self.unknown_sets = 0
        self.malformed = 0
        self._on_record = on_record
        self._on_malformed = on_malformed
        self._within = within
        self._clock = clock
        self._udp_sessions: OrderedDict[Hashable, TransportSession] = OrderedDict()
        self._sequences: list[SequenceTracker] = []

    @property
    def missing(self) -> int:
        """Number of records that are missing by the sequence numbers."""
        return sum(sequence.missing for sequence in self._sequences)

    @property
    def duplicated(self) -> int:
        """Number of records that arrived out of order or twice."""
        return sum(sequence.duplicated for sequence in self._sequences)

    def on_datagram(self, octets: bytes, source: Hashable) -> None:
        """Process one datagram from a source address."""
        session = self._udp_sessions.get(source)
        if session is None:
            session = TransportSession(UDP_TEMPLATE_LIFETIME_SECONDS)
            self._udp_sessions[source] = session
            while len(self._udp_sessions) > MAX_SESSIONS:
                self._udp_sessions.popitem(last=False)
        self._udp_sessions.move_to_end(source)
        self.on_message(session, octets, source)

    def on_message(
        self, session: TransportSession, octets: bytes, source: object
    ) -> None:
        """Process one message of a session; count and report a malformed one."""
        version = int.from_bytes(octets[:VERSION_OCTETS], "big")
        decoder = session.decoders.get(version)
        try:
            if decoder is None:
                raise MalformedFlowMessageError(
                    f"version {version} is not supported, expected "
                    f"{' or '.join(map(str, sorted(CODECS_BY_VERSION)))}"
                )
            message = decoder.decode(octets, self._clock())
        except MalformedFlowMessageError as error:
            self.report_malformed(error, str(source))
            return
        self.messages += 1
        self.octets += len(octets)
        self.unknown_sets += message.unknown_sets
        self.templates += message.template_count
        if version == IPFIX.version:
            self._track_sequence(session, message)
        for record in message.records:
            self._process_record(record, message.domain)

    def report_malformed(self, error: MalformedFlowMessageError, source: str) -> None:
        """Count and report a malformed message."""
        self.malformed += 1
        self._on_malformed(error.with_location(source).describe())

    def summary(self) -> CollectionSummary:
        """Return the counts by their JSON keys."""
        totals = self.totals
        return {
            "messages": self.messages,
            "bytes": self.octets,
            "records": self.records,
            "templates": self.templates,
            "unknown_sets": self.unknown_sets,
            "malformed": self.malformed,
            "missing": self.missing,
            "doubled": self.duplicated,
            "sums": dict(totals.sums),
            "stores": dict(totals.octets_by_volume.most_common(PRINTED_TOP_ENTRIES)),
            "boxes": dict(totals.octets_by_node.most_common(PRINTED_TOP_ENTRIES)),
            "outcomes": dict(totals.attempts_by_outcome),
            "options": [
                {"template": template, "domain": domain, **values}
                for (template, domain), values in self.options.items()
            ],
        }

    def _track_sequence(
        self, session: TransportSession, message: DecodedMessage
    ) -> None:
        """Track the sequence numbers.

        A message with a set of an unknown template is left out, because its number of
        records is unknown.
        """
        sequence = session.sequences.get(message.domain)
        if sequence is None:
            sequence = SequenceTracker()
            session.sequences[message.domain] = sequence
            self._sequences.append(sequence)
            del self._sequences[:-MAX_TRACKED_STREAMS]
            while len(session.sequences) > MAX_TRACKED_STREAMS:
                session.sequences.popitem(last=False)
        if not message.unknown_sets:
            sequence.observe(message.sequence, len(message.records))

    def _process_record(self, record: DecodedRecord, domain: int) -> None:
        if not record.scope_count and not self._is_within(record.values):
            return
        self.records += 1
        if record.scope_count:
            self._store_option(record, domain)
        elif "finalAnswer" not in record.values:
            # The record of a command is left out: its flow includes the same counts.
            self.totals.add(record.values)
        self._on_record(
            {"template": record.template_id, "domain": domain, **record.values}
        )

    def _is_within(self, values: DecodedValues) -> bool:
        if self._within is None:
            return True
        return any(
            name in values and IPAddress(values[name]) in self._within
            for name in ("sourceIPv4Address", "destinationIPv4Address")
        )

    def _store_option(self, record: DecodedRecord, domain: int) -> None:
        key = record.template_id, domain
        self.options[key] = record.values
        self.options.move_to_end(key)
        while len(self.options) > MAX_OPTIONS:
            self.options.popitem(last=False)
