"""IPFIX messages, to and from bytes (RFC 7011), and the file of messages (RFC 5655). No transport, no decision.

`Encoder` writes records of `elements.TEMPLATES`; `Decoder` reads any stream strictly: a message is taken whole or refused
with one line, templates are bounded in number and, where a lifetime is given, in time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from struct import Struct
from struct import error as StructError
from typing import Any

from milletsill.errors import MalformedInput
from milletsill.flows.elements import (
    DOCUMENTATION_PEN,
    ELEMENTS,
    IANA,
    OURS,
    REVERSE,
    REVERSE_PEN,
    SEMANTICS,
    TYPES,
    VARIABLE,
    Element,
    Template,
)

VERSION, HEADER, SET = 10, Struct(">HHIII"), Struct(">HH")
TEMPLATE_SET, OPTIONS_SET, FIRST_DATA = 2, 3, 256
MOST_MESSAGE, MOST_STRING, MOST_TEMPLATES, MOST_FIELDS = 65535, 1024, 1024, 256
WIDTHS = {1: Struct(">B"), 2: Struct(">H"), 4: Struct(">I"), 8: Struct(">Q")}
FLOAT = Struct(">d")
MODULO = 1 << 32


class MalformedFlowMessage(MalformedInput):
    """Octets that RFC 7011 or NetFlow 9 does not allow, or that this decoder will not hold."""

    remedy = "see what exports to this collector; the message alone is passed over, a broken stream is cut"


@dataclass(frozen=True, slots=True)
class Record:
    """Values of a template's elements, in its order."""

    template: Template
    values: tuple[Any, ...]


def put_string(value: str) -> bytes:
    """A variable-length string; one past MOST_STRING bytes is cut at a character's border."""
    data = cut(value, MOST_STRING)
    return (
        bytes((len(data),)) + data
        if len(data) < 255
        else b"\xff" + WIDTHS[2].pack(len(data)) + data
    )


def cut(value: str, most: int) -> bytes:
    """At most so many bytes of UTF-8, whole characters; what is no text (lone surrogates) becomes question marks."""
    data = value.encode("utf-8", "replace")
    return data if len(data) <= most else data[:most].decode("utf-8", "ignore").encode()


def packer(element: Element) -> Callable[[Any], bytes]:
    """How one element is written."""
    if element.type == "string":
        return put_string
    if element.type == "ipv4Address":
        return lambda value: IPv4Address(value).packed
    if element.type == "float64":
        return FLOAT.pack
    pack, most = WIDTHS[element.width].pack, (1 << 8 * element.width) - 1
    return lambda value: pack(value if 0 <= value <= most else most)


class Encoder:
    """Writes templates and records under one enterprise number."""

    def __init__(self, pen: int = DOCUMENTATION_PEN) -> None:
        self.pens = {IANA: None, OURS: pen, REVERSE: REVERSE_PEN}
        self.packers: dict[int, tuple[Callable[[Any], bytes], ...]] = {}

    def record(self, record: Record) -> bytes:
        """The bytes of one data record."""
        packers = self.packers.get(record.template.id)
        if packers is None:
            packers = self.packers[record.template.id] = tuple(
                map(packer, record.template.elements)
            )
        return b"".join([pack(value) for pack, value in zip(packers, record.values)])

    def specifier(self, element: Element) -> bytes:
        pen, length = self.pens[element.space], element.width or VARIABLE
        head = WIDTHS[2].pack(element.id | (0x8000 if pen is not None else 0)) + WIDTHS[
            2
        ].pack(length)
        return head if pen is None else head + WIDTHS[4].pack(pen)

    def template(self, template: Template) -> bytes:
        """One template record."""
        head = WIDTHS[2].pack(template.id) + WIDTHS[2].pack(len(template.elements))
        if template.scope:
            head += WIDTHS[2].pack(template.scope)
        return head + b"".join(map(self.specifier, template.elements))

    def template_sets(self, templates: Sequence[Template]) -> list[tuple[int, bytes]]:
        """(set id, record) of each template."""
        return [
            (OPTIONS_SET if each.scope else TEMPLATE_SET, self.template(each))
            for each in templates
        ]

    def type_values(self, element: Element) -> tuple[Any, ...]:
        """What RFC 5610 tells of one of our elements."""
        return (
            self.pens[element.space] or 0,
            element.id,
            TYPES[element.type][0],
            SEMANTICS[element.semantics],
            element.name,
            element.text,
        )


class Message:
    """Gathers records into sets until the message is full."""

    def __init__(self, most: int) -> None:
        self.most, self.size = min(most, MOST_MESSAGE), HEADER.size
        self.sets: list[tuple[int, list[bytes]]] = []
        self.records = 0

    def add(self, set_id: int, data: bytes) -> bool:
        """Whether it still went in; a first record always does, if any message could hold it."""
        same = bool(self.sets) and self.sets[-1][0] == set_id
        need = len(data) + (
            0 if same else SET.size + 3
        )  # and at most three bytes of padding
        if (
            self.size + need > self.most
            and self.sets
            or self.size + need > MOST_MESSAGE
        ):
            return False
        if not same:
            self.sets.append((set_id, []))
        self.sets[-1][1].append(data)
        self.size += need
        self.records += set_id >= FIRST_DATA
        return True

    def finish(self, export_time: int, sequence: int, domain: int) -> bytes:
        """The whole message; `sequence` counts the data records sent before it. Sets are padded to four bytes, but
        where the padding could be read as a record.
        """
        body = []
        for set_id, records in self.sets:
            data = b"".join(records)
            pad = -len(data) % 4 if min(map(len, records)) > 3 else 0
            body.append(
                SET.pack(set_id, SET.size + len(data) + pad) + data + bytes(pad)
            )
        whole = b"".join(body)
        return (
            HEADER.pack(
                VERSION,
                HEADER.size + len(whole),
                export_time % MODULO,
                sequence % MODULO,
                domain,
            )
            + whole
        )


# --- Reading.


@dataclass(frozen=True, slots=True)
class Field:
    """One field of a template as it was told."""

    pen: int | None
    id: int
    length: int


@dataclass(frozen=True, slots=True)
class Learnt:
    """A template that a stream told, and when."""

    fields: tuple[Field, ...]
    scope: int
    at: float


@dataclass
class Decoded:
    """One message: `rows` are (template id, scope, values by name)."""

    export_time: int
    sequence: int
    domain: int
    rows: list[tuple[int, int, dict[str, Any]]] = field(default_factory=list)
    templates: int = 0
    unknown: int = 0  # sets whose template is not known (yet, or any more)


def text_value(data: bytes) -> str:
    return data.decode("utf-8", "replace")


class Decoder:
    """Reads one transport session. `lifetime` in seconds for UDP; None where templates last as long as the session."""

    def __init__(
        self, pen: int = DOCUMENTATION_PEN, lifetime: float | None = None
    ) -> None:
        self.lifetime = lifetime
        self.templates: dict[tuple[int, int], Learnt] = {}
        self.names: dict[tuple[int | None, int], tuple[str, str]] = {}
        for each in ELEMENTS.values():
            space = {IANA: None, OURS: pen, REVERSE: REVERSE_PEN}[each.space]
            self.names[space, each.id] = (each.name, each.type)

    def message(self, data: bytes, now: float) -> Decoded:
        """One whole message; `BadExport` leaves what was learnt before as it was."""
        if len(data) < HEADER.size:
            raise MalformedFlowMessage(f"a message of {len(data)} bytes has no header")
        version, length, export_time, sequence, domain = HEADER.unpack_from(data)
        if version != VERSION:
            raise MalformedFlowMessage(f"version {version}, {VERSION} is read")
        if length != len(data):
            raise MalformedFlowMessage(
                f"a length of {length} in a message of {len(data)} bytes"
            )
        made, learnt = (
            Decoded(export_time, sequence, domain),
            dict[tuple[int, int], Learnt | None](),
        )
        at = HEADER.size
        while at < length:
            if length - at < SET.size:
                raise MalformedFlowMessage(
                    f"{length - at} bytes left over behind the last set"
                )
            set_id, size = SET.unpack_from(data, at)
            if size < SET.size or at + size > length:
                raise MalformedFlowMessage(
                    f"a set of {size} bytes where {length - at} are left"
                )
            body = data[at + SET.size : at + size]
            if set_id in (TEMPLATE_SET, OPTIONS_SET):
                made.templates += self.learn(
                    body, domain, set_id == OPTIONS_SET, now, learnt
                )
            elif set_id >= FIRST_DATA:
                self.data_set(body, domain, set_id, now, learnt, made)
            else:
                raise MalformedFlowMessage(f"set id {set_id} is not allowed")
            at += size
        self.keep(learnt)
        for _, _, values in made.rows:
            self.learn_name(values)
        return made

    def keep(self, learnt: Mapping[tuple[int, int], Learnt | None]) -> None:
        for key, template in learnt.items():
            self.templates.pop(key, None)
            if template is not None:
                self.templates[key] = template
        while len(self.templates) > MOST_TEMPLATES:
            self.templates.pop(next(iter(self.templates)))

    def learn(
        self,
        body: bytes,
        domain: int,
        options: bool,
        now: float,
        learnt: dict[tuple[int, int], Learnt | None],
    ) -> int:
        """The templates of a set; a field count of 0 withdraws one."""
        at, count = 0, 0
        try:
            while len(body) - at >= 4 and any(body[at:]):
                template_id, fields = SET.unpack_from(body, at)
                at += 4
                if not fields:
                    learnt[domain, template_id] = None
                    continue
                scope = 0
                if options:
                    scope = WIDTHS[2].unpack_from(body, at)[0]
                    at += 2
                if (
                    template_id < FIRST_DATA
                    or fields > MOST_FIELDS
                    or options
                    and not 0 < scope <= fields
                ):
                    raise MalformedFlowMessage(
                        f"template {template_id} with {fields} fields, {scope} of scope"
                    )
                specifiers = []
                for _ in range(fields):
                    id, length = SET.unpack_from(body, at)
                    at += 4
                    pen = None
                    if id & 0x8000:
                        pen = WIDTHS[4].unpack_from(body, at)[0]
                        at += 4
                    specifiers.append(Field(pen, id & 0x7FFF, length))
                if not any(each.length for each in specifiers):
                    raise MalformedFlowMessage(
                        f"template {template_id} describes no byte"
                    )
                learnt[domain, template_id] = Learnt(tuple(specifiers), scope, now)
                count += 1
        except StructError:
            raise MalformedFlowMessage("a template is cut short") from None
        return count

    def data_set(
        self,
        body: bytes,
        domain: int,
        set_id: int,
        now: float,
        learnt: Mapping[tuple[int, int], Learnt | None],
        made: Decoded,
    ) -> None:
        """The records of a set; padding is shorter than any record."""
        key = domain, set_id
        template = learnt[key] if key in learnt else self.templates.get(key)
        if (
            template is not None
            and self.lifetime is not None
            and now - template.at > self.lifetime
        ):
            template = None
        if template is None:
            made.unknown += 1
            return
        least, at = (
            sum(
                1 if each.length == VARIABLE else each.length
                for each in template.fields
            ),
            0,
        )
        while len(body) - at >= least:
            values: dict[str, Any] = {}
            for each in template.fields:
                length = each.length
                if length == VARIABLE:
                    if at >= len(body):
                        raise MalformedFlowMessage("a record is cut short")
                    length, at = body[at], at + 1
                    if length == 255:
                        if at + 2 > len(body):
                            raise MalformedFlowMessage("a record is cut short")
                        length, at = WIDTHS[2].unpack_from(body, at)[0], at + 2
                if at + length > len(body):
                    raise MalformedFlowMessage("a record is cut short")
                name, value = self.value(each, body[at : at + length])
                values[name] = value
                at += length
            made.rows.append((set_id, template.scope, values))
        if any(body[at:]):
            raise MalformedFlowMessage("padding that is not zero")

    def value(self, field: Field, data: bytes) -> tuple[str, Any]:
        """A field's name and value; of one that is not known, its numbers and bytes."""
        name, kind = self.names.get(
            (field.pen, field.id), (f"{field.pen or 0}/{field.id}", "octetArray")
        )
        if kind == "string":
            return name, text_value(data)
        if kind == "ipv4Address" and len(data) == 4:
            return name, str(IPv4Address(data))
        if kind == "float64" and len(data) == 8:
            return name, FLOAT.unpack(data)[0]
        if kind in ("octetArray", "ipv4Address", "float64"):
            return name, data.hex()
        return name, int.from_bytes(
            data, "big"
        )  # any width up to the type's: reduced-size encoding

    def learn_name(self, values: Mapping[str, Any]) -> None:
        """RFC 5610: the type and name of an enterprise element, told in the stream."""
        pen, id = (
            values.get("privateEnterpriseNumber"),
            values.get("informationElementId"),
        )
        if (
            pen is None
            or id is None
            or not values.get("informationElementName")
            or len(self.names) > 8192
        ):
            return
        kinds = {number: name for name, (number, _) in TYPES.items()}
        kind = kinds.get(values.get("informationElementDataType"), "octetArray")  # type: ignore[arg-type]
        self.names.setdefault(
            (pen, id & 0x7FFF), (str(values["informationElementName"])[:200], kind)
        )


class Cutter:
    """Cuts a byte stream (TCP, a file) into messages; a bad length cannot be skipped."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        self.held += data
        while len(self.held) >= 4:
            version, length = SET.unpack_from(self.held)
            if version != VERSION or length < HEADER.size:
                raise MalformedFlowMessage(
                    f"version {version} and a length of {length} begin no message"
                )
            if len(self.held) < length:
                return
            message = bytes(self.held[:length])
            del self.held[:length]
            yield message
