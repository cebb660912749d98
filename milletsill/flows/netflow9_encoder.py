"""Encodes records and templates as NetFlow version 9 packets (RFC 3954).

Version 9 has no enterprise numbers and no variable length. Enterprise elements use
field types from 40000, reverse elements from 41000. Strings have STRING_OCTETS: they
are truncated between characters and padded with zeros. Sequence numbers count packets.
"""

from __future__ import annotations

from collections.abc import Sequence
from struct import Struct

from milletsill.flows.field_encoding import (
    COUNTER_MODULUS,
    FieldPacker,
    PackerCache,
    SetBuilder,
    encode_set,
    fixed_width_packer,
    pack_unsigned,
    truncate_text,
)
from milletsill.flows.information_elements import (
    DataType,
    ElementSpace,
    InformationElement,
)
from milletsill.flows.templates import DataRecord, Template

VERSION = 9
PACKET_HEADER = Struct(">HHIIII")
"""Version, record count, uptime in ms, export time in s, sequence number, source id."""

TEMPLATE_SET_ID = 0
OPTIONS_TEMPLATE_SET_ID = 1
STRING_OCTETS = 48
SCOPE_SYSTEM = 1
"""Scope field type for the whole exporting system."""

FIELD_SPECIFIER_OCTETS = 4
FIELD_TYPE_OFFSETS = {
    ElementSpace.IANA: 0,
    ElementSpace.ENTERPRISE: 40_000,
    ElementSpace.REVERSE: 41_000,
}


def field_type(element: InformationElement) -> int:
    """Return the field type under which an element is exported."""
    return element.number + FIELD_TYPE_OFFSETS[element.space]


def field_length(element: InformationElement) -> int:
    """Return the number of octets of an element's values."""
    return element.width or STRING_OCTETS


def packer_of(element: InformationElement) -> FieldPacker:
    """Return the packer for an element."""
    if element.data_type is DataType.STRING:
        return lambda text: truncate_text(text, STRING_OCTETS).ljust(
            STRING_OCTETS, b"\0"
        )
    return fixed_width_packer(element)


class NetFlow9Encoder:
    """Encodes templates and records."""

    def __init__(self) -> None:
        self._packers = PackerCache(packer_of)

    def encode_record(self, record: DataRecord) -> bytes:
        """Return the octets of one data record, without a flow set header."""
        return self._packers.encode(record)

    def encode_templates(
        self, templates: Sequence[Template]
    ) -> list[tuple[int, bytes]]:
        """Return the flow set id and the octets of each template."""
        return [
            (
                OPTIONS_TEMPLATE_SET_ID if template.scope_count else TEMPLATE_SET_ID,
                _encode_template(template),
            )
            for template in templates
        ]

    def element_type_records(self) -> list[DataRecord]:
        """Return no records: version 9 cannot describe elements."""
        return []


def _encode_template(template: Template) -> bytes:
    """Encode a template; scope fields have the type SCOPE_SYSTEM."""
    specifiers = b""
    for position, element in enumerate(template.elements):
        is_scope = position < template.scope_count
        specifiers += pack_unsigned(
            2, SCOPE_SYSTEM if is_scope else field_type(element)
        )
        specifiers += pack_unsigned(2, field_length(element))
    field_count = len(template.elements)
    header = pack_unsigned(2, template.id)
    if not template.scope_count:
        return header + pack_unsigned(2, field_count) + specifiers
    option_count = field_count - template.scope_count
    header += pack_unsigned(2, FIELD_SPECIFIER_OCTETS * template.scope_count)
    header += pack_unsigned(2, FIELD_SPECIFIER_OCTETS * option_count)
    return header + specifiers


class NetFlow9PacketBuilder(SetBuilder):
    """Collects records in the flow sets of one packet of at most `max_octets`.

    The first record is always accepted.
    """

    def __init__(self, max_octets: int) -> None:
        super().__init__(PACKET_HEADER.size, max_octets)

    def finish(
        self, export_time: int, sequence: int, domain: int, uptime_ms: int = 0
    ) -> bytes:
        """Return the packet; `sequence` is the number of packets sent before it."""
        body = b"".join(_encode_set(set_id, records) for set_id, records in self.sets)
        header = PACKET_HEADER.pack(
            VERSION,
            self.record_count,
            uptime_ms % COUNTER_MODULUS,
            export_time % COUNTER_MODULUS,
            sequence % COUNTER_MODULUS,
            domain,
        )
        return header + body


def _encode_set(set_id: int, records: Sequence[bytes]) -> bytes:
    body = b"".join(records)
    return encode_set(set_id, body, -len(body) % 4)
