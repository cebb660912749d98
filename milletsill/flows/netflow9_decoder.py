"""Decodes NetFlow version 9 packets (RFC 3954) strictly."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.flows.decoded_message import (
    DecodedMessage,
    DecodedRecord,
    DecodedValues,
)
from milletsill.flows.errors import MalformedFlowMessageError
from milletsill.flows.field_encoding import (
    FIRST_DATA_SET_ID,
    MAX_TEMPLATE_FIELDS,
    MAX_TEMPLATES,
    SET_HEADER,
    UNSIGNED_STRUCTS,
    decode_set_header,
    decode_text,
)
from milletsill.flows.information_elements import ELEMENTS, DataType
from milletsill.flows.netflow9_encoder import (
    FIELD_SPECIFIER_OCTETS,
    OPTIONS_TEMPLATE_SET_ID,
    PACKET_HEADER,
    TEMPLATE_SET_ID,
    VERSION,
    field_type,
)
from milletsill.flows.templates import FieldValue

TEMPLATE_HEADER_OCTETS = 4
OPTIONS_TEMPLATE_HEADER_OCTETS = 6


@dataclass(frozen=True, slots=True)
class NetFlow9Template:
    """A template and the time of its receipt; `fields` are types and lengths."""

    fields: tuple[tuple[int, int], ...]
    scope_count: int
    received_at: float

    def record_octets(self) -> int:
        """Return the length of a record."""
        return sum(length for _, length in self.fields)


class NetFlow9Decoder:
    """Decodes the packets of one exporter."""

    def __init__(self, template_lifetime: float | None = None) -> None:
        """Create a decoder; `template_lifetime` is in seconds, None for unlimited."""
        self._template_lifetime = template_lifetime
        self._elements = {
            field_type(element): (element.name, element.data_type)
            for element in ELEMENTS.values()
        }
        self._templates: dict[tuple[int, int], NetFlow9Template] = {}

    def decode(self, octets: bytes, now: float) -> DecodedMessage:
        """Decode one complete packet.

        Raises:
            MalformedFlowMessageError: The packet is malformed.
        """
        message = _decode_header(octets)
        offset = PACKET_HEADER.size
        while offset < len(octets):
            set_id, length = decode_set_header(octets, offset, "flow set")
            body = octets[offset + SET_HEADER.size : offset + length]
            if set_id in (TEMPLATE_SET_ID, OPTIONS_TEMPLATE_SET_ID):
                is_options = set_id == OPTIONS_TEMPLATE_SET_ID
                message.template_count += self._decode_templates(
                    body, message.domain, is_options, now
                )
            elif set_id >= FIRST_DATA_SET_ID:
                self._decode_data_set(body, set_id, now, message)
            else:
                raise MalformedFlowMessageError(
                    f"flow set id {set_id} at byte {offset} is reserved"
                )
            offset += length
        return message

    def _decode_templates(
        self, body: bytes, domain: int, is_options: bool, now: float
    ) -> int:
        """Decode the templates of a flow set and return their number."""
        header_octets = (
            OPTIONS_TEMPLATE_HEADER_OCTETS if is_options else TEMPLATE_HEADER_OCTETS
        )
        offset = 0
        count = 0
        while len(body) - offset >= header_octets and any(body[offset:]):
            template_id, field_count = SET_HEADER.unpack_from(body, offset)
            scope_count = 0
            if is_options:
                scope_count = field_count // FIELD_SPECIFIER_OCTETS
                option_octets = UNSIGNED_STRUCTS[2].unpack_from(body, offset + 4)[0]
                field_count = scope_count + option_octets // FIELD_SPECIFIER_OCTETS
            offset += header_octets
            fields = _decode_fields(body, offset, template_id, field_count)
            offset += FIELD_SPECIFIER_OCTETS * field_count
            self._templates.pop((domain, template_id), None)
            template = NetFlow9Template(fields, scope_count, now)
            self._templates[domain, template_id] = template
            count += 1
        while len(self._templates) > MAX_TEMPLATES:
            self._templates.pop(next(iter(self._templates)))
        return count

    def _decode_data_set(
        self, body: bytes, set_id: int, now: float, message: DecodedMessage
    ) -> None:
        template = self._templates.get((message.domain, set_id))
        if template is None or self._is_expired(template, now):
            message.unknown_sets += 1
            return
        record_octets = template.record_octets()
        offset = 0
        while len(body) - offset >= record_octets:
            values: DecodedValues = {}
            for position, (type_number, length) in enumerate(template.fields):
                value_octets = body[offset : offset + length]
                if position < template.scope_count:
                    values[f"scope{position}"] = int.from_bytes(value_octets, "big")
                else:
                    name, value = self._decode_value(type_number, value_octets)
                    values[name] = value
                offset += length
            record = DecodedRecord(set_id, template.scope_count, values)
            message.records.append(record)

    def _is_expired(self, template: NetFlow9Template, now: float) -> bool:
        if self._template_lifetime is None:
            return False
        return now - template.received_at > self._template_lifetime

    def _decode_value(self, type_number: int, octets: bytes) -> tuple[str, FieldValue]:
        unknown = str(type_number), DataType.UNSIGNED64
        name, data_type = self._elements.get(type_number, unknown)
        if data_type is DataType.STRING:
            return name, decode_text(octets.rstrip(b"\0"))
        if data_type is DataType.IPV4_ADDRESS and len(octets) == 4:
            return name, ".".join(map(str, octets))
        return name, int.from_bytes(octets, "big")


def _decode_header(octets: bytes) -> DecodedMessage:
    if len(octets) < PACKET_HEADER.size:
        raise MalformedFlowMessageError(
            f"a packet of {len(octets)} bytes is shorter than its header of "
            f"{PACKET_HEADER.size}"
        )
    header = PACKET_HEADER.unpack_from(octets)
    version, _, _, export_time, sequence, domain = header
    if version != VERSION:
        raise MalformedFlowMessageError(f"version {version}, expected {VERSION}")
    return DecodedMessage(export_time, sequence, domain)


def _decode_fields(
    body: bytes, offset: int, template_id: int, field_count: int
) -> tuple[tuple[int, int], ...]:
    end = offset + FIELD_SPECIFIER_OCTETS * field_count
    if (
        template_id < FIRST_DATA_SET_ID
        or not 0 < field_count <= MAX_TEMPLATE_FIELDS
        or end > len(body)
    ):
        raise MalformedFlowMessageError(
            f"template {template_id} with {field_count} fields: expected an id from "
            f"{FIRST_DATA_SET_ID} and 1 to {MAX_TEMPLATE_FIELDS} complete fields"
        )
    fields = tuple(SET_HEADER.iter_unpack(body[offset:end]))
    if not sum(length for _, length in fields):
        raise MalformedFlowMessageError(
            f"template {template_id} has only fields of length 0"
        )
    return fields
