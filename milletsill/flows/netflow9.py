"""NetFlow version 9, to and from bytes (RFC 3954), from the same records as IPFIX.

Version 9 has no enterprise numbers and no variable length: our elements stand at 40000 and more, reverse ones at 41000
and more, and strings are STRING bytes, cut at a character's border and filled with zeros. Sequence numbers count packets.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from struct import Struct
from typing import Any

from milletsill.flows.elements import ELEMENTS, IANA, OURS, Element, Template
from milletsill.flows.ipfix import (
    MODULO,
    SET,
    WIDTHS,
    MalformedFlowMessage,
    Decoded,
    Record,
    cut,
    packer,
    text_value,
)

VERSION, HEADER = 9, Struct(">HHIIII")
TEMPLATE_SET, OPTIONS_SET, FIRST_DATA, STRING = 0, 1, 256, 48
OFFSETS = {IANA: 0, OURS: 40_000}
REVERSE_OFFSET, SCOPE_SYSTEM, MOST_TEMPLATES, MOST_FIELDS = 41_000, 1, 1024, 256


def number(element: Element) -> int:
    """The field type that an element goes under."""
    return element.id + OFFSETS.get(element.space, REVERSE_OFFSET)


def width(element: Element) -> int:
    return element.width or STRING


def put(element: Element) -> Callable[[Any], bytes]:
    if element.type == "string":
        return lambda value: cut(value, STRING).ljust(STRING, b"\0")
    return packer(element)


class Encoder:
    """Writes templates and records."""

    def __init__(self, pen: int = 0) -> None:
        self.packers: dict[int, tuple[Callable[[Any], bytes], ...]] = {}

    def record(self, record: Record) -> bytes:
        packers = self.packers.get(record.template.id)
        if packers is None:
            packers = self.packers[record.template.id] = tuple(
                map(put, record.template.elements)
            )
        return b"".join([pack(value) for pack, value in zip(packers, record.values)])

    def template(self, template: Template) -> bytes:
        """One template; a scope goes as a scope of the system with the element's own width."""
        specifiers = [
            (SCOPE_SYSTEM if place < template.scope else number(each), width(each))
            for place, each in enumerate(template.elements)
        ]
        body = b"".join(
            WIDTHS[2].pack(each) + WIDTHS[2].pack(size) for each, size in specifiers
        )
        if not template.scope:
            return WIDTHS[2].pack(template.id) + WIDTHS[2].pack(len(specifiers)) + body
        return (
            b"".join(
                WIDTHS[2].pack(each)
                for each in (
                    template.id,
                    4 * template.scope,
                    4 * (len(specifiers) - template.scope),
                )
            )
            + body
        )

    def template_sets(self, templates: Sequence[Template]) -> list[tuple[int, bytes]]:
        return [
            (OPTIONS_SET if each.scope else TEMPLATE_SET, self.template(each))
            for each in templates
        ]


class Message:
    """Gathers records into flow sets until the packet is full."""

    def __init__(self, most: int) -> None:
        self.most, self.size, self.records, self.count = most, HEADER.size, 0, 0
        self.sets: list[tuple[int, list[bytes]]] = []

    def add(self, set_id: int, data: bytes) -> bool:
        same = bool(self.sets) and self.sets[-1][0] == set_id
        need = len(data) + (0 if same else SET.size + 3)
        if self.size + need > self.most and self.sets:
            return False
        if not same:
            self.sets.append((set_id, []))
        self.sets[-1][1].append(data)
        self.size += need
        self.count += 1
        self.records += set_id >= FIRST_DATA
        return True

    def finish(
        self, export_time: int, sequence: int, domain: int, uptime: int = 0
    ) -> bytes:
        """The whole packet; `sequence` counts packets, `uptime` is in milliseconds."""
        body = b""
        for set_id, records in self.sets:
            data = b"".join(records)
            pad = -len(data) % 4
            body += SET.pack(set_id, SET.size + len(data) + pad) + data + bytes(pad)
        return (
            HEADER.pack(
                VERSION,
                self.count,
                uptime % MODULO,
                export_time % MODULO,
                sequence % MODULO,
                domain,
            )
            + body
        )


class Decoder:
    """Reads packets of one exporter, strictly."""

    def __init__(self, pen: int = 0, lifetime: float | None = None) -> None:
        self.lifetime = lifetime
        self.names = {
            number(each): (each.name, each.type) for each in ELEMENTS.values()
        }
        self.templates: dict[
            tuple[int, int], tuple[list[tuple[int, int]], int, float]
        ] = {}

    def message(self, data: bytes, now: float) -> Decoded:
        if len(data) < HEADER.size:
            raise MalformedFlowMessage(f"a packet of {len(data)} bytes has no header")
        version, _, _, export_time, sequence, domain = HEADER.unpack_from(data)
        if version != VERSION:
            raise MalformedFlowMessage(f"version {version}, {VERSION} is read")
        made, at = Decoded(export_time, sequence, domain), HEADER.size
        while at < len(data):
            if len(data) - at < SET.size:
                raise MalformedFlowMessage(
                    f"{len(data) - at} bytes left over behind the last flow set"
                )
            set_id, size = SET.unpack_from(data, at)
            if size < SET.size or at + size > len(data):
                raise MalformedFlowMessage(
                    f"a flow set of {size} bytes where {len(data) - at} are left"
                )
            body = data[at + SET.size : at + size]
            if set_id in (TEMPLATE_SET, OPTIONS_SET):
                made.templates += self.learn(body, domain, set_id == OPTIONS_SET, now)
            elif set_id >= FIRST_DATA:
                self.data_set(body, domain, set_id, now, made)
            else:
                raise MalformedFlowMessage(f"flow set id {set_id} is not allowed")
            at += size
        return made

    def learn(self, body: bytes, domain: int, options: bool, now: float) -> int:
        at, count, head = 0, 0, 6 if options else 4
        while len(body) - at >= head and any(body[at:]):
            id, first = SET.unpack_from(body, at)
            scope = first // 4 if options else 0
            fields = (
                scope + WIDTHS[2].unpack_from(body, at + 4)[0] // 4
                if options
                else first
            )
            at += head
            if (
                id < FIRST_DATA
                or not 0 < fields <= MOST_FIELDS
                or at + 4 * fields > len(body)
            ):
                raise MalformedFlowMessage(f"template {id} with {fields} fields")
            told = [SET.unpack_from(body, at + 4 * each) for each in range(fields)]
            if not sum(size for _, size in told):
                raise MalformedFlowMessage(f"template {id} describes no byte")
            at += 4 * fields
            self.templates.pop((domain, id), None)
            self.templates[domain, id] = (told, scope, now)
            count += 1
        while len(self.templates) > MOST_TEMPLATES:
            self.templates.pop(next(iter(self.templates)))
        return count

    def data_set(
        self, body: bytes, domain: int, set_id: int, now: float, made: Decoded
    ) -> None:
        found = self.templates.get((domain, set_id))
        if (
            found is None
            or self.lifetime is not None
            and now - found[2] > self.lifetime
        ):
            made.unknown += 1
            return
        fields, scope, _ = found
        size, at = sum(each for _, each in fields), 0
        while len(body) - at >= size:
            values: dict[str, Any] = {}
            for place, (kind, length) in enumerate(fields):
                name, value = self.value(kind, body[at : at + length], place < scope)
                values[f"scope{place}" if place < scope else name] = value
                at += length
            made.rows.append((set_id, scope, values))

    def value(self, kind: int, data: bytes, scope: bool) -> tuple[str, Any]:
        name, type_name = (
            self.names.get(kind, (str(kind), "unsigned64"))
            if not scope
            else ("scope", "unsigned64")
        )
        if type_name == "string":
            return name, text_value(data.rstrip(b"\0"))
        if type_name == "ipv4Address" and len(data) == 4:
            return name, ".".join(map(str, data))
        return name, int.from_bytes(data, "big")
