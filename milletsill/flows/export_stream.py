"""The message stream to one collector: templates, records, sequence numbers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from milletsill.flows.clocks import TICKS_PER_SECOND, ExportClocks
from milletsill.flows.delivery_account import DeliveryAccount
from milletsill.flows.export_settings import CollectorSettings, TemplateSchedule
from milletsill.flows.field_encoding import MessageBuilder
from milletsill.flows.record_queue import (
    KINDS_BY_PRIORITY,
    FlowRecordKind,
    PendingRecord,
    RecordQueue,
)
from milletsill.flows.templates import TEMPLATES

FIRST_TEMPLATE_INTERVAL = TICKS_PER_SECOND
TEMPLATE_INTERVAL_FACTOR = 4
MAX_TEMPLATE_INTERVAL_STEPS = 20  # bounds the exponent; the setting caps the interval
DROPPED_TOO_LARGE = "too large"
"""Cause of a drop, exported in dropCause."""


@dataclass(slots=True)
class TemplateProgress:
    """How often and when templates were sent in a stream, and the messages since."""

    times_sent: int = 0
    sent_at: int = 0
    messages_since: int = 0


def templates_due(
    schedule: TemplateSchedule, progress: TemplateProgress, now: int
) -> bool:
    """Return whether templates must be sent before the next record.

    They are sent once on each connection, and over UDP again after a time or a number
    of messages. Over UDP the first intervals are short: if the first datagram is lost,
    the collector cannot decode records until the templates are resent.
    """
    if not progress.times_sent:
        return True
    if not schedule.over_udp:
        return False
    steps = min(progress.times_sent - 1, MAX_TEMPLATE_INTERVAL_STEPS)
    early_interval = FIRST_TEMPLATE_INTERVAL * TEMPLATE_INTERVAL_FACTOR**steps
    interval = min(early_interval, schedule.interval)
    if now - progress.sent_at >= interval:
        return True
    return progress.messages_since >= schedule.message_interval


class ExportStream:
    """Builds the messages to one collector and passes them to `transmit`."""

    def __init__(
        self,
        settings: CollectorSettings,
        domain: int,
        clocks: ExportClocks,
        transmit: Callable[[bytes], None],
    ) -> None:
        self.account = DeliveryAccount()
        self._settings = settings
        self._codec = settings.codec
        self._encoder = settings.codec.new_encoder(settings.enterprise)
        self._domain = domain
        self._clocks = clocks
        self._transmit = transmit
        self._sequence = 0
        self._templates = TemplateProgress()

    def restart(self) -> None:
        """Start a new stream, as each connection is its own stream (RFC 7011)."""
        self._templates = TemplateProgress()
        if not self._settings.over_udp:
            self._sequence = 0

    def drop(self, pending: PendingRecord, cause: str) -> None:
        """Count a record that will not be sent.

        The sequence number skips it, so that the collector sees the loss.
        """
        self.account.drop(cause, pending.counts)
        is_option = pending.kind is FlowRecordKind.OPTION
        if self._codec.sequence_counts_records and not is_option:
            self._sequence += 1

    def send_from(self, queue: RecordQueue) -> int:
        """Send one message, preceded by templates if they are due.

        Returns the number of records removed from the queue, which must not be empty.
        """
        now = self._clocks.now()
        if templates_due(self._settings.templates, self._templates, now):
            self._send_templates(now)
        message = self._new_message()
        taken = self._fill(message, queue)
        if not taken:
            self.drop(queue.pop_highest_priority(), DROPPED_TOO_LARGE)
            return 1
        self._send(message, taken)
        return len(taken)

    def _new_message(self) -> MessageBuilder:
        return self._codec.new_message(self._settings.max_message_octets)

    def _fill(self, message: MessageBuilder, queue: RecordQueue) -> list[PendingRecord]:
        """Move records to a message, in order of priority, until it is full."""
        taken: list[PendingRecord] = []
        for kind in KINDS_BY_PRIORITY:
            waiting = queue.records(kind)
            while waiting:
                record = waiting[0].record
                encoded = self._encoder.encode_record(record)
                if not message.add(record.template.id, encoded):
                    return taken
                taken.append(waiting.popleft())
        return taken

    def _send_templates(self, now: int) -> None:
        """Send all templates and element types, in separate messages."""
        self._templates.times_sent += 1
        self._templates.sent_at = now
        self._templates.messages_since = 0
        templates = [
            template
            for template in TEMPLATES
            if self._codec.exports_options or not template.scope_count
        ]
        encoded_records = self._encoder.encode_templates(templates)
        for record in self._encoder.element_type_records():
            encoded = self._encoder.encode_record(record)
            encoded_records.append((record.template.id, encoded))
        message = self._new_message()
        for set_id, encoded in encoded_records:
            if not message.add(set_id, encoded):
                self._send(message, [])
                message = self._new_message()
                message.add(set_id, encoded)
        self._send(message, [])

    def _send(self, message: MessageBuilder, taken: Sequence[PendingRecord]) -> None:
        """Transmit one message and count it."""
        octets = message.finish(int(self._clocks.wall()), self._sequence, self._domain)
        if self._codec.sequence_counts_records:
            self._sequence += message.data_records
        else:
            self._sequence += 1
        self.account.messages += 1
        self.account.octets += len(octets)
        self._templates.messages_since += 1
        for pending in taken:
            if pending.kind is not FlowRecordKind.OPTION:
                self.account.sent.add(pending.counts)
        self._transmit(octets)
