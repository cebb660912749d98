"""What crossed the sockets, read back from the records of boxes, clients and the registry, with a decoder of its own.

lab/record.py has the format; it is decoded here again, and so are the packets. Times are seconds of the machine's monotonic
clock.
"""

from __future__ import annotations

import base64
import json
import os
import struct
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

NUMBERED, WORD = "numbered@milletsill", "channel@milletsill"
OPEN, ASK, SAY = 1, 2, 3
CATCHES_UP = 0.1  # seconds
READS_ON = (
    0.02  # seconds after a span without a read in which what came meanwhile is read
)


@dataclass
class Sent:
    """A command of a client: `answers` are (time, kind, language or '', code or -1)."""

    at: float
    conn: int
    edge: str
    id: int
    patience: float
    tries: int
    mark: str
    kind: int
    handle: bytes = b""  # of its channel, and what it is there
    number: int = 0
    batch: int = 0
    answers: list[tuple[float, int, str, int]] = field(default_factory=list)
    lost: float | None = None

    def line(self) -> str:
        return f"{self.at:.4f} {self.edge} connection {self.conn} command {self.id} {self.mark} try {self.tries}"


@dataclass
class Word:
    """A word of a client on a channel: OPEN with what it was told, ASK or SAY."""

    at: float
    conn: int
    edge: str
    verb: int
    path: str = ""
    channel: str = ""
    handle: bytes = b""
    number: int = 0
    word: int = 0
    told: dict[str, Any] = field(
        default_factory=dict
    )  # of OPEN: handle, claim, contract, order, next, unsure
    answers: list[tuple[float, int, str, int]] = field(default_factory=list)
    lost: float | None = None


@dataclass
class Dispatch:
    """A dispatch that reached a box; `verdict` is None where none left it."""

    at: float
    box: int
    edge: str
    incarnation: int
    transfer: int
    number: int
    units: float
    extent: int
    ticket: str
    volume: int
    category: str
    mark: str
    kind: int
    verdict: int | None = None
    ended: float | None = None

    def line(self) -> str:
        return (
            f"{self.at:.4f} box {self.box} <- {self.edge}.{self.incarnation} transfer {self.transfer} number "
            f"{self.number} {self.units:g} units {self.category} verdict {self.verdict}"
        )


class Cursor:
    """Counted fields of a packet, decoded here once more on purpose."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def number(self, size: int) -> int:
        self.at += size
        return int.from_bytes(self.data[self.at - size : self.at], "big")

    def raw(self) -> bytes:
        size = self.number(4)
        self.at += size
        return self.data[self.at - size : self.at]

    def text(self) -> str:
        return self.raw().decode("utf-8", "replace")


def entries(path: str) -> Iterator[tuple[float, int, int, int, bytes]]:
    """Time, connection, direction, whole length and kept bytes of each entry; a torn end is where it ends."""
    with open(path, "rb") as source:
        if not source.readline().startswith(b"milletsill record 1 "):
            raise ValueError(f"{path} is no record")
        while len(head := source.read(21)) == 21:
            at, conn, direction, whole, kept = struct.unpack(">QIBII", head)
            data = source.read(kept)
            if len(data) < kept:
                return
            yield at / 1e9, conn, direction, whole, data


def sent_of(
    cursor: Cursor, name: str, at: float, conn: int, id: int, edge: str
) -> Sent | Word | None:
    """A packet that goes out, where it is one of ours that is owed an answer."""
    handle, number, batch = b"", 0, 0
    if name == WORD:
        verb = cursor.number(4)
        if verb == OPEN:
            return Word(at, conn, edge, verb, cursor.text(), cursor.text())
        return Word(
            at,
            conn,
            edge,
            verb,
            handle=cursor.raw(),
            number=cursor.number(8),
            word=cursor.number(4) if verb == SAY else 0,
        )
    if name == NUMBERED:
        handle, number, batch, _ = (
            cursor.raw(),
            cursor.number(8),
            cursor.number(8),
            cursor.number(4),
        )
    elif name != "command@milletsill":
        return None
    patience, tries, mark = cursor.number(4) / 1000, cursor.number(4), cursor.text()
    return Sent(
        at,
        conn,
        edge,
        id,
        patience,
        tries,
        mark,
        cursor.number(1),
        handle,
        number,
        batch,
    )


def told_of(cursor: Cursor) -> dict[str, Any]:
    """The answer to OPEN."""
    told = {
        "handle": cursor.raw(),
        "claim": cursor.number(8),
        "contract": cursor.text(),
        "version": cursor.number(4),
        "order": cursor.number(4),
        "next": cursor.number(8),
        "batch": cursor.number(8),
        "waiting": cursor.number(4),
        "remembered": cursor.number(8),
    }
    return {
        **told,
        "unsure": [cursor.number(8) for _ in range(min(cursor.number(4), 1024))],
    }


def read_clients(path: str) -> tuple[list[Sent], list[str], list[Word]]:
    """Commands with their answers, answers that nobody asked for, and words on channels."""
    edges: dict[int, str] = {}
    out: dict[tuple[int, int], Sent | Word] = {}
    commands, strays, words = list[Sent](), list[str](), list[Word]()
    for at, conn, direction, _, data in entries(path):
        if direction == 2:
            note = json.loads(data)
            if note["what"] == "connect":
                edges[note["conn"]] = note["edge"]
            elif note["what"] == "lost":
                for each in [key for key in out if key[0] == note["conn"]]:
                    out.pop(each).lost = at
            continue
        cursor = Cursor(data)
        kind = cursor.number(1)
        if kind in (1, 2):
            continue
        id = cursor.number(4)
        if direction == 1 and kind == 200:
            sent = sent_of(cursor, cursor.text(), at, conn, id, edges[conn])
            if sent is not None:
                (words if isinstance(sent, Word) else commands).append(sent)  # type: ignore[arg-type]
                out[conn, id] = sent
        elif direction == 0:
            language, code = "", -1
            if kind == 101:
                code = cursor.number(4)
                cursor.text()
                language = cursor.text()
            found = out.pop((conn, id), None)
            if found is None:
                strays.append(
                    f"{at:.4f} connection {conn} answer {kind} for command {id}, which is not out"
                )
                continue
            found.answers.append((at, kind, language, code))
            if isinstance(found, Word) and found.verb == OPEN and kind == 201:
                found.told = told_of(cursor)
    return commands, strays, words


def read_box(path: str, number: int) -> tuple[list[Dispatch], list[dict[str, Any]]]:
    """Dispatches with their verdicts, and the notes of the box."""
    out: dict[tuple[int, int], Dispatch] = {}
    found, notes = [], []
    for at, conn, direction, _, data in entries(path):
        if direction == 2:
            notes.append({"at": at, **json.loads(data)})
            continue
        cursor = Cursor(data)
        kind = cursor.number(1)
        if kind == 200:
            id, name = cursor.number(4), cursor.text()
            if name != "dispatch@milletsill":
                continue
            edge, incarnation, transfer, count = (
                cursor.text(),
                cursor.number(4),
                cursor.number(8),
                cursor.number(4),
            )
            units, extent, _ = (
                cursor.number(4) / 1000,
                cursor.number(8),
                cursor.number(4),
            )
            ticket, volume, _, category = (
                cursor.text(),
                cursor.number(4),
                cursor.number(4),
                cursor.text(),
            )
            made = Dispatch(
                at,
                number,
                edge,
                incarnation,
                transfer,
                count,
                units,
                extent,
                ticket,
                volume,
                category,
                cursor.text(),
                cursor.number(1),
            )
            found.append(made)
            out[conn, id] = made
        elif kind == 201:
            id, verdict = cursor.number(4), cursor.number(4)
            made = out.pop((conn, id), None)
            if made is not None:
                made.verdict, made.ended = verdict, at
    return found, notes


def read_told(path: str) -> dict[str, list[tuple[float, int, str]]]:
    """What the registry told each gateway: (time, box, state), a box that is not in a whole list as gone."""
    told: dict[str, list[tuple[float, int, str]]] = defaultdict(list)
    known: dict[str, dict[str, int]] = defaultdict(dict)
    for at, _, direction, _, data in entries(path):
        if direction != 1:
            continue
        name, _, body = data.partition(b"\n")
        edge, message = name.decode(), json.loads(body)
        message = message.get("result", message)
        keys = known[edge]
        if "kvs" in message:
            there = {}
            for each in message["kvs"]:
                value = json.loads(base64.b64decode(each["value"]))
                there[each["key"]] = value["id"]
                told[edge].append((at, value["id"], value["state"]))
            told[edge] += [
                (at, box, "gone") for key, box in keys.items() if key not in there
            ]
            known[edge] = there
        for event in message.get("events", []):
            key = event["kv"]["key"]
            if event["type"] == "DELETE":
                if key in keys:
                    told[edge].append((at, keys.pop(key), "gone"))
            else:
                value = json.loads(base64.b64decode(event["kv"]["value"]))
                keys[key] = value["id"]
                told[edge].append((at, value["id"], value["state"]))
    return told


@dataclass
class Evidence:
    """All that was read."""

    commands: list[Sent]
    strays: list[str]
    dispatches: list[Dispatch]
    notes: list[dict[str, Any]]
    told: dict[str, list[tuple[float, int, str]]]
    stops: list[tuple[str, float, float]] = field(
        default_factory=list
    )  # (edge, from, to): it did not run then
    late: float = 0.0  # seconds that the clients' own process was late at the worst: their times are that unsure
    words: list[Word] = field(default_factory=list)
    deaf: list[tuple[float, float]] = field(
        default_factory=list
    )  # the boxes' process read nothing then

    def sent_by(self, at: float) -> float:
        """From when on a packet that a box read at a time may have lain in its socket."""
        return min(
            (since for since, to in self.deaf if since <= at <= to + READS_ON),
            default=at,
        )


def merged(stops: list[Any]) -> list[Any]:
    """Spans of one edge with next to nothing between them are one: what waited is done then."""
    found: list[Any] = []
    for edge, since, to in sorted(stops):
        if found and found[-1][0] == edge and since <= found[-1][2] + CATCHES_UP:
            found[-1] = (edge, found[-1][1], max(to, found[-1][2]))
        else:
            found.append((edge, since, to))
    return found


def gather(out: str, boxes: int) -> Evidence:
    """The records of one run."""
    commands, strays, words, late = list[Sent](), list[str](), list[Word](), 0.0
    for name, told in (("clients", "load"), ("channels", "channels")):
        if name == "clients" or os.path.exists(f"{out}/{name}.rec"):
            found, stray, said = read_clients(f"{out}/{name}.rec")
            commands, strays, words = commands + found, strays + stray, words + said
            with open(f"{out}/{told}.json", encoding="utf-8") as source:
                late = max(late, json.load(source)["worst_lag_ms"] / 1000)
    dispatches, notes = list[Dispatch](), list[dict[str, Any]]()
    for number in range(boxes):
        carried, marked = read_box(f"{out}/box-{number}.rec", number)
        dispatches, notes = dispatches + carried, notes + marked
    with open(f"{out}/stops.json", encoding="utf-8") as source:
        stops = merged([tuple(each) for each in json.load(source)])
    deaf = list[tuple[float, float]]()
    if os.path.exists(f"{out}/stand.json"):
        with open(f"{out}/stand.json", encoding="utf-8") as source:
            deaf = [(since, to) for since, to in json.load(source)["deaf"]]
    return Evidence(
        commands,
        strays,
        dispatches,
        notes,
        read_told(f"{out}/registry.rec"),
        stops,
        late,
        words,
        deaf,
    )
