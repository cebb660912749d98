"""Encodes records and templates as IPFIX messages (RFC 7011)."""

from __future__ import annotations

from collections.abc import Sequence
from struct import Struct

from milletsill.flows.field_encoding import (
    COUNTER_MODULUS,
    MAX_PADDING,
    FieldPacker,
    PackerCache,
    SetBuilder,
    encode_set,
    fixed_width_packer,
    pack_unsigned,
    truncate_text,
)
from milletsill.flows.information_elements import (
    DATA_TYPE_NUMBERS,
    DOCUMENTATION_PEN,
    ELEMENTS,
    REVERSE_PEN,
    SEMANTICS_NUMBERS,
    VARIABLE_LENGTH,
    DataType,
    ElementSpace,
    InformationElement,
)
from milletsill.flows.templates import (
    ELEMENT_TYPE,
    DataRecord,
    FieldValue,
    Template,
)

VERSION = 10
MESSAGE_HEADER = Struct(">HHIII")
"""Version, length, export time, sequence number, observation domain."""

TEMPLATE_SET_ID = 2
OPTIONS_TEMPLATE_SET_ID = 3
MAX_MESSAGE_OCTETS = 65535
MAX_STRING_OCTETS = 1024
"""Longer strings are truncated between characters."""

ENTERPRISE_BIT = 0x8000
LONG_LENGTH_MARK = 255
"""First octet of a variable length that is encoded in three octets."""


def pack_string(text: str) -> bytes:
    """Encode a string of variable length, truncated to MAX_STRING_OCTETS."""
    encoded = truncate_text(text, MAX_STRING_OCTETS)
    if len(encoded) < LONG_LENGTH_MARK:
        return bytes((len(encoded),)) + encoded
    return bytes((LONG_LENGTH_MARK,)) + pack_unsigned(2, len(encoded)) + encoded


def packer_of(element: InformationElement) -> FieldPacker:
    """Return the packer for an element."""
    if element.data_type is DataType.STRING:
        return pack_string
    return fixed_width_packer(element)


def enterprise_numbers(enterprise: int) -> dict[ElementSpace, int | None]:
    """Return the private enterprise number of each space; None for IANA."""
    return {
        ElementSpace.IANA: None,
        ElementSpace.ENTERPRISE: enterprise,
        ElementSpace.REVERSE: REVERSE_PEN,
    }


class IpfixEncoder:
    """Encodes templates and records.

    `enterprise` is the private enterprise number of milletsill's elements.
    """

    def __init__(self, enterprise: int = DOCUMENTATION_PEN) -> None:
        self._enterprise_numbers = enterprise_numbers(enterprise)
        self._packers = PackerCache(packer_of)

    def encode_record(self, record: DataRecord) -> bytes:
        """Return the octets of one data record, without a set header."""
        return self._packers.encode(record)

    def encode_templates(
        self, templates: Sequence[Template]
    ) -> list[tuple[int, bytes]]:
        """Return the set id and the octets of each template."""
        return [
            (
                OPTIONS_TEMPLATE_SET_ID if template.scope_count else TEMPLATE_SET_ID,
                self._encode_template(template),
            )
            for template in templates
        ]

    def element_type_records(self) -> list[DataRecord]:
        """Return the records that describe the enterprise elements (RFC 5610)."""
        return [
            DataRecord(ELEMENT_TYPE, self._element_type_values(element))
            for element in ELEMENTS.values()
            if element.space is ElementSpace.ENTERPRISE
        ]

    def _element_type_values(
        self, element: InformationElement
    ) -> tuple[FieldValue, ...]:
        return (
            self._enterprise_numbers[element.space] or 0,
            element.number,
            DATA_TYPE_NUMBERS[element.data_type],
            SEMANTICS_NUMBERS[element.semantics],
            element.name,
            element.description,
        )

    def _encode_template(self, template: Template) -> bytes:
        header = pack_unsigned(2, template.id)
        header += pack_unsigned(2, len(template.elements))
        if template.scope_count:
            header += pack_unsigned(2, template.scope_count)
        return header + b"".join(map(self._encode_specifier, template.elements))

    def _encode_specifier(self, element: InformationElement) -> bytes:
        enterprise = self._enterprise_numbers[element.space]
        length = pack_unsigned(2, element.width or VARIABLE_LENGTH)
        if enterprise is None:
            return pack_unsigned(2, element.number) + length
        number = pack_unsigned(2, element.number | ENTERPRISE_BIT)
        return number + length + pack_unsigned(4, enterprise)


class IpfixMessageBuilder(SetBuilder):
    """Collects records in the sets of one message of at most `max_octets`.

    The first record may exceed `max_octets`, up to MAX_MESSAGE_OCTETS.
    """

    def __init__(self, max_octets: int) -> None:
        super().__init__(
            MESSAGE_HEADER.size,
            min(max_octets, MAX_MESSAGE_OCTETS),
            hard_limit=MAX_MESSAGE_OCTETS,
        )

    def finish(self, export_time: int, sequence: int, domain: int) -> bytes:
        """Return the message.

        Args:
            export_time: Seconds since 1970.
            sequence: Number of data records sent in the stream before this message.
            domain: Observation domain id.
        """
        body = b"".join(_encode_set(set_id, records) for set_id, records in self.sets)
        header = MESSAGE_HEADER.pack(
            VERSION,
            MESSAGE_HEADER.size + len(body),
            export_time % COUNTER_MODULUS,
            sequence % COUNTER_MODULUS,
            domain,
        )
        return header + body


def _encode_set(set_id: int, records: Sequence[bytes]) -> bytes:
    """Encode a set, padded to four octets unless a record is as short as padding."""
    body = b"".join(records)
    padding = -len(body) % 4 if min(map(len, records)) > MAX_PADDING else 0
    return encode_set(set_id, body, padding)
