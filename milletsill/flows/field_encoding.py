"""The parts that the codecs of IPFIX and NetFlow version 9 share: values and sets."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from ipaddress import IPv4Address
from struct import Struct
from typing import Any, Protocol, TypeAlias

from milletsill.flows.errors import MalformedFlowMessageError
from milletsill.flows.information_elements import DataType, InformationElement
from milletsill.flows.templates import DataRecord, Template

FieldPacker: TypeAlias = Callable[[Any], bytes]
"""Encodes a value of one information element."""

SET_HEADER = Struct(">HH")
"""Set id, and octets of the set with this header."""

UNSIGNED_STRUCTS = {1: Struct(">B"), 2: Struct(">H"), 4: Struct(">I"), 8: Struct(">Q")}
"""Unsigned integers by their width in octets."""

FLOAT64 = Struct(">d")
FIRST_DATA_SET_ID = 256
"""Smallest template id, which is also the set id of the template's records."""

MAX_PADDING = 3
"""Maximum octets of padding that align a set to four octets."""

COUNTER_MODULUS = 1 << 32
"""Sequence numbers and export times wrap around at this number."""

MAX_TEMPLATES = 1024
"""Maximum of templates in a decoder; the oldest is dropped."""

MAX_TEMPLATE_FIELDS = 256
"""Maximum of fields in a template."""


class RecordEncoder(Protocol):
    """Encodes the records and templates of one export format."""

    def encode_record(self, record: DataRecord) -> bytes:
        """Return the octets of one data record, without a set header."""

    def encode_templates(
        self, templates: Sequence[Template]
    ) -> list[tuple[int, bytes]]:
        """Return the set id and the octets of each template."""

    def element_type_records(self) -> list[DataRecord]:
        """Return the records that describe the enterprise elements, if supported."""


class MessageBuilder(Protocol):
    """Collects records in sets until a message is full."""

    data_records: int

    def add(self, set_id: int, encoded: bytes) -> bool:
        """Add one record.

        Returns False and adds nothing if the message is full.
        """

    def finish(self, export_time: int, sequence: int, domain: int) -> bytes:
        """Return the message. `export_time` is in seconds since 1970."""


def pack_unsigned(width: int, value: int) -> bytes:
    """Encode an unsigned integer that fits in `width` octets."""
    return UNSIGNED_STRUCTS[width].pack(value)


def truncate_text(text: str, max_octets: int) -> bytes:
    """Encode text as UTF-8 of at most `max_octets`, truncated between characters.

    Lone surrogates, which UTF-8 cannot encode, become question marks.
    """
    encoded = text.encode("utf-8", "replace")
    if len(encoded) <= max_octets:
        return encoded
    return encoded[:max_octets].decode("utf-8", "ignore").encode()


def decode_text(octets: bytes) -> str:
    """Decode UTF-8; invalid octets become the replacement character."""
    return octets.decode("utf-8", "replace")


def fixed_width_packer(element: InformationElement) -> FieldPacker:
    """Return the packer for an element of fixed width.

    An integer out of range is replaced by the maximum.
    """
    if element.data_type is DataType.IPV4_ADDRESS:
        return lambda address: IPv4Address(address).packed
    if element.data_type is DataType.FLOAT64:
        return FLOAT64.pack
    pack = UNSIGNED_STRUCTS[element.width].pack
    largest = (1 << 8 * element.width) - 1
    return lambda value: pack(value if 0 <= value <= largest else largest)


class PackerCache:
    """Caches the packers for the elements of each template."""

    __slots__ = ("_by_template", "_packer_of")

    def __init__(self, packer_of: Callable[[InformationElement], FieldPacker]) -> None:
        self._packer_of = packer_of
        self._by_template: dict[int, tuple[FieldPacker, ...]] = {}

    def encode(self, record: DataRecord) -> bytes:
        """Return the octets of one record."""
        packers = self._by_template.get(record.template.id)
        if packers is None:
            packers = tuple(map(self._packer_of, record.template.elements))
            self._by_template[record.template.id] = packers
        packed = [
            pack(value) for pack, value in zip(packers, record.values, strict=False)
        ]
        return b"".join(packed)


class SetBuilder:
    """Collects records in the sets of one message.

    A message has at most `max_octets`, but the first record is accepted up to
    `hard_limit` octets; None is no limit.
    """

    def __init__(
        self, header_octets: int, max_octets: int, hard_limit: int | None = None
    ) -> None:
        self.data_records = 0
        self.record_count = 0
        self.sets: list[tuple[int, list[bytes]]] = []
        self._octets = header_octets
        self._max_octets = max_octets
        self._hard_limit = hard_limit

    def add(self, set_id: int, encoded: bytes) -> bool:
        """Add one record.

        Returns False and adds nothing if the message is full.
        """
        same_set = bool(self.sets) and self.sets[-1][0] == set_id
        needed = len(encoded)
        if not same_set:
            needed += SET_HEADER.size + MAX_PADDING
        octets = self._octets + needed
        if self._hard_limit is not None and octets > self._hard_limit:
            return False
        if octets > self._max_octets and self.sets:
            return False
        if not same_set:
            self.sets.append((set_id, []))
        self.sets[-1][1].append(encoded)
        self._octets = octets
        self.record_count += 1
        self.data_records += set_id >= FIRST_DATA_SET_ID
        return True


def encode_set(set_id: int, body: bytes, padding: int) -> bytes:
    """Return a set with its header and `padding` zero octets."""
    header = SET_HEADER.pack(set_id, SET_HEADER.size + len(body) + padding)
    return header + body + bytes(padding)


def decode_set_header(octets: bytes, offset: int, set_name: str) -> tuple[int, int]:
    """Return the id of a set and its length with the header.

    Args:
        octets: The message.
        offset: Where the set begins.
        set_name: The format's name for a set, for error messages.

    Raises:
        MalformedFlowMessageError: The set extends past the end of the message.
    """
    left = len(octets) - offset
    if left < SET_HEADER.size:
        raise MalformedFlowMessageError(
            f"{left} bytes after the last {set_name} at byte {offset}: expected "
            f"{SET_HEADER.size} or more"
        )
    set_id, length = SET_HEADER.unpack_from(octets, offset)
    if length < SET_HEADER.size or length > left:
        raise MalformedFlowMessageError(
            f"a {set_name} of {length} bytes at byte {offset}, expected "
            f"{SET_HEADER.size} to {left}"
        )
    return set_id, length
