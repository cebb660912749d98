"""Decodes IPFIX messages (RFC 7011) strictly.

A message is decoded completely or rejected. The number of templates is limited, and
templates expire if a lifetime is given.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from struct import error as StructError  # noqa: N812

from milletsill.flows.decoded_message import (
    DecodedMessage,
    DecodedRecord,
    DecodedValues,
)
from milletsill.flows.errors import MalformedFlowMessageError
from milletsill.flows.field_encoding import (
    FIRST_DATA_SET_ID,
    FLOAT64,
    MAX_TEMPLATE_FIELDS,
    MAX_TEMPLATES,
    SET_HEADER,
    UNSIGNED_STRUCTS,
    decode_set_header,
    decode_text,
)
from milletsill.flows.information_elements import (
    DATA_TYPE_NUMBERS,
    DOCUMENTATION_PEN,
    ELEMENTS,
    VARIABLE_LENGTH,
    DataType,
)
from milletsill.flows.ipfix_encoder import (
    ENTERPRISE_BIT,
    LONG_LENGTH_MARK,
    MESSAGE_HEADER,
    OPTIONS_TEMPLATE_SET_ID,
    TEMPLATE_SET_ID,
    VERSION,
    enterprise_numbers,
)
from milletsill.flows.templates import FieldValue

MAX_ELEMENT_NAMES = 8192
"""Maximum of element names in a decoder, including those from the stream."""

MAX_ELEMENT_NAME_LENGTH = 200
DATA_TYPES_BY_NUMBER: dict[FieldValue, DataType] = {
    number: data_type for data_type, number in DATA_TYPE_NUMBERS.items()
}


@dataclass(frozen=True, slots=True)
class FieldSpecifier:
    """One field of a received template."""

    enterprise: int | None
    number: int
    length: int


@dataclass(frozen=True, slots=True)
class IpfixTemplate:
    """A received template and the time of its receipt."""

    fields: tuple[FieldSpecifier, ...]
    scope_count: int
    received_at: float

    def min_record_octets(self) -> int:
        """Return the minimum length of a record."""
        return sum(
            1 if field.length == VARIABLE_LENGTH else field.length
            for field in self.fields
        )


@dataclass(frozen=True, slots=True)
class DecodingContext:
    """The state while one message is decoded.

    `templates` are the templates in this message by domain and id; None is a
    withdrawal.
    """

    message: DecodedMessage
    now: float
    templates: dict[tuple[int, int], IpfixTemplate | None]


class IpfixDecoder:
    """Decodes the messages of one transport session."""

    def __init__(
        self,
        enterprise: int = DOCUMENTATION_PEN,
        template_lifetime: float | None = None,
    ) -> None:
        """Create a decoder without templates.

        Args:
            enterprise: Private enterprise number of milletsill's elements.
            template_lifetime: In seconds, for UDP; None if templates are valid for the
                whole session.
        """
        self.templates: dict[tuple[int, int], IpfixTemplate] = {}
        self._template_lifetime = template_lifetime
        self._elements: dict[tuple[int | None, int], tuple[str, DataType]] = {}
        numbers = enterprise_numbers(enterprise)
        for element in ELEMENTS.values():
            key = numbers[element.space], element.number
            self._elements[key] = (element.name, element.data_type)

    def decode(self, octets: bytes, now: float) -> DecodedMessage:
        """Decode one complete message; a malformed one does not change the templates.

        Raises:
            MalformedFlowMessageError: The message is malformed.
        """
        message = _decode_header(octets)
        context = DecodingContext(message, now, {})
        offset = MESSAGE_HEADER.size
        while offset < len(octets):
            set_id, length = decode_set_header(octets, offset, "set")
            body = octets[offset + SET_HEADER.size : offset + length]
            if set_id in (TEMPLATE_SET_ID, OPTIONS_TEMPLATE_SET_ID):
                is_options = set_id == OPTIONS_TEMPLATE_SET_ID
                message.template_count += _decode_templates(body, is_options, context)
            elif set_id >= FIRST_DATA_SET_ID:
                self._decode_data_set(body, set_id, context)
            else:
                raise MalformedFlowMessageError(
                    f"set id {set_id} at byte {offset} is reserved"
                )
            offset += length
        self._store_templates(context.templates)
        for record in message.records:
            self._store_element_type(record.values)
        return message

    def _store_templates(
        self, received: Mapping[tuple[int, int], IpfixTemplate | None]
    ) -> None:
        for key, template in received.items():
            self.templates.pop(key, None)
            if template is not None:
                self.templates[key] = template
        while len(self.templates) > MAX_TEMPLATES:
            self.templates.pop(next(iter(self.templates)))

    def _find_template(
        self, set_id: int, context: DecodingContext
    ) -> IpfixTemplate | None:
        key = context.message.domain, set_id
        if key in context.templates:
            template = context.templates[key]
        else:
            template = self.templates.get(key)
        if template is None or self._template_lifetime is None:
            return template
        if context.now - template.received_at > self._template_lifetime:
            return None
        return template

    def _decode_data_set(
        self, body: bytes, set_id: int, context: DecodingContext
    ) -> None:
        """Decode the records of a set; a rest shorter than any record is padding."""
        template = self._find_template(set_id, context)
        if template is None:
            context.message.unknown_sets += 1
            return
        min_octets = template.min_record_octets()
        offset = 0
        while len(body) - offset >= min_octets:
            values: DecodedValues = {}
            for field in template.fields:
                length, offset = _decode_length(field, body, offset)
                if offset + length > len(body):
                    raise MalformedFlowMessageError(
                        f"a record with field {field.number} is truncated"
                    )
                name, value = self._decode_value(field, body[offset : offset + length])
                values[name] = value
                offset += length
            record = DecodedRecord(set_id, template.scope_count, values)
            context.message.records.append(record)
        if any(body[offset:]):
            raise MalformedFlowMessageError(
                f"padding of set {set_id} at byte {offset} of its body is not zero"
            )

    def _decode_value(
        self, field: FieldSpecifier, octets: bytes
    ) -> tuple[str, FieldValue]:
        """Return name and value; for an unknown element, its numbers and hex octets."""
        unknown = f"{field.enterprise or 0}/{field.number}", DataType.OCTET_ARRAY
        key = field.enterprise, field.number
        name, data_type = self._elements.get(key, unknown)
        if data_type is DataType.STRING:
            return name, decode_text(octets)
        if data_type is DataType.IPV4_ADDRESS and len(octets) == 4:
            return name, str(IPv4Address(octets))
        if data_type is DataType.FLOAT64 and len(octets) == 8:
            return name, float(FLOAT64.unpack(octets)[0])
        if data_type in (
            DataType.OCTET_ARRAY,
            DataType.IPV4_ADDRESS,
            DataType.FLOAT64,
        ):
            return name, octets.hex()
        # The field may be shorter than its type: reduced-size encoding (RFC 7011).
        return name, int.from_bytes(octets, "big")

    def _store_element_type(self, values: DecodedValues) -> None:
        """Store the name and type of an element from its type record (RFC 5610)."""
        enterprise = values.get("privateEnterpriseNumber")
        number = values.get("informationElementId")
        name = values.get("informationElementName")
        if not isinstance(enterprise, int) or not isinstance(number, int) or not name:
            return
        if len(self._elements) > MAX_ELEMENT_NAMES:
            return
        type_number = values.get("informationElementDataType", -1)
        data_type = DATA_TYPES_BY_NUMBER.get(type_number, DataType.OCTET_ARRAY)
        key = enterprise, number & ~ENTERPRISE_BIT
        element = str(name)[:MAX_ELEMENT_NAME_LENGTH], data_type
        self._elements.setdefault(key, element)


def _decode_header(octets: bytes) -> DecodedMessage:
    if len(octets) < MESSAGE_HEADER.size:
        raise MalformedFlowMessageError(
            f"a message of {len(octets)} bytes is shorter than its header of "
            f"{MESSAGE_HEADER.size}"
        )
    version, length, export_time, sequence, domain = MESSAGE_HEADER.unpack_from(octets)
    if version != VERSION:
        raise MalformedFlowMessageError(f"version {version}, expected {VERSION}")
    if length != len(octets):
        raise MalformedFlowMessageError(
            f"the header states {length} bytes in a message of {len(octets)}"
        )
    return DecodedMessage(export_time, sequence, domain)


def _decode_length(field: FieldSpecifier, body: bytes, offset: int) -> tuple[int, int]:
    """Return the length of a value and the offset at which it starts."""
    if field.length != VARIABLE_LENGTH:
        return field.length, offset
    if offset >= len(body):
        raise MalformedFlowMessageError(
            f"a record with field {field.number} is truncated"
        )
    length = body[offset]
    offset += 1
    if length != LONG_LENGTH_MARK:
        return length, offset
    if offset + 2 > len(body):
        raise MalformedFlowMessageError(
            f"a record with field {field.number} is truncated"
        )
    return UNSIGNED_STRUCTS[2].unpack_from(body, offset)[0], offset + 2


def _decode_templates(body: bytes, is_options: bool, context: DecodingContext) -> int:
    """Decode the templates of a set and return their number."""
    offset = 0
    count = 0
    try:
        while len(body) - offset >= SET_HEADER.size and any(body[offset:]):
            template_id, field_count = SET_HEADER.unpack_from(body, offset)
            offset += SET_HEADER.size
            key = context.message.domain, template_id
            if not field_count:
                context.templates[key] = None
                continue
            scope_count = 0
            if is_options:
                scope_count = UNSIGNED_STRUCTS[2].unpack_from(body, offset)[0]
                offset += 2
            _check_template(template_id, field_count, scope_count, is_options)
            fields, offset = _decode_specifiers(body, offset, field_count)
            if not any(field.length for field in fields):
                raise MalformedFlowMessageError(
                    f"template {template_id} has only fields of length 0"
                )
            template = IpfixTemplate(fields, scope_count, context.now)
            context.templates[key] = template
            count += 1
    except StructError:
        raise MalformedFlowMessageError(
            f"a template in domain {context.message.domain} is truncated"
        ) from None
    return count


def _check_template(
    template_id: int, field_count: int, scope_count: int, is_options: bool
) -> None:
    allowed = template_id >= FIRST_DATA_SET_ID and field_count <= MAX_TEMPLATE_FIELDS
    if is_options and not 0 < scope_count <= field_count:
        allowed = False
    if not allowed:
        raise MalformedFlowMessageError(
            f"template {template_id} with {field_count} fields, {scope_count} of them "
            f"scope: expected an id from {FIRST_DATA_SET_ID}, at most "
            f"{MAX_TEMPLATE_FIELDS} fields, and a scope in options templates"
        )


def _decode_specifiers(
    body: bytes, offset: int, field_count: int
) -> tuple[tuple[FieldSpecifier, ...], int]:
    """Return the field specifiers and the offset after them."""
    fields = []
    for _ in range(field_count):
        number, length = SET_HEADER.unpack_from(body, offset)
        offset += SET_HEADER.size
        enterprise = None
        if number & ENTERPRISE_BIT:
            enterprise = UNSIGNED_STRUCTS[4].unpack_from(body, offset)[0]
            offset += 4
        fields.append(FieldSpecifier(enterprise, number & ~ENTERPRISE_BIT, length))
    return tuple(fields), offset
