"""Reads the evidence of a scenario run back from its records."""

from __future__ import annotations

import base64
import json
import os
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from milletsill.lab.client_records import ClientRecordReader
from milletsill.lab.evidence import (
    Evidence,
    GatewayStop,
    ListedState,
    NodeBoot,
    NodeNote,
    NodeOverload,
    NodeWrite,
    RecordedAttempt,
)
from milletsill.lab.record_entries import (
    EXTENDED,
    EXTENDED_REPLY,
    NOTE,
    OUT,
    FieldCursor,
    RecordEntry,
    read_entries,
)

DISPATCH_EXTENSION = "dispatch@milletsill"
CATCH_UP_S = 0.1
"""Seconds that a gateway may need after a stop to work off what waited in it."""


def read_attempt(at: float, node: int, cursor: FieldCursor) -> RecordedAttempt:
    """Read an attempt; the cursor is after the extension's name."""
    gateway = cursor.text()
    incarnation = cursor.number(4)
    request = cursor.number(8)
    number = cursor.number(4)
    units = cursor.number(4) / 1000
    key = cursor.number(8)
    cursor.number(4)  # the milliseconds until the deadline
    idempotency_key = cursor.text()
    volume = cursor.number(4)
    cursor.number(4)
    return RecordedAttempt(
        at,
        node,
        gateway,
        incarnation,
        request,
        number,
        units,
        key,
        idempotency_key,
        volume,
        request_class=cursor.text(),
        mark=cursor.text(),
        kind=cursor.number(1),
    )


def read_node_note(entry: RecordEntry) -> NodeNote:
    """Read a stand-in node's note, mapping its stored keys to the evidence's names."""
    note = entry.note()
    if note["what"] == "boot":
        return NodeBoot(
            entry.at,
            note["box"],
            note["cell"],
            note["zone"],
            note["cold"],
            note["cores"],
            note["cold_from"],
            note["cold_s"],
        )
    if note["what"] == "fell":
        return NodeOverload(entry.at, note["box"])
    return NodeWrite(
        entry.at,
        note["box"],
        note["ticket"],
        note["path"],
        note["offset"],
        note["gateway"],
        note["transfer"],
        note["code"],
    )


def read_node(path: str, node: int) -> tuple[list[RecordedAttempt], list[NodeNote]]:
    """Return a stand-in node's attempts with their verdicts, and its notes."""
    unanswered: dict[tuple[int, int], RecordedAttempt] = {}
    attempts: list[RecordedAttempt] = []
    notes: list[NodeNote] = []
    for entry in read_entries(path):
        if entry.direction == NOTE:
            notes.append(read_node_note(entry))
            continue
        cursor = FieldCursor(entry.data)
        kind = cursor.number(1)
        if kind == EXTENDED:
            packet_id = cursor.number(4)
            if cursor.text() == DISPATCH_EXTENSION:
                attempt = read_attempt(entry.at, node, cursor)
                attempts.append(attempt)
                unanswered[entry.connection, packet_id] = attempt
        elif kind == EXTENDED_REPLY:
            packet_id = cursor.number(4)
            verdict = cursor.number(4)
            answered = unanswered.pop((entry.connection, packet_id), None)
            if answered is not None:
                answered.verdict = verdict
                answered.ended_at = entry.at
    return attempts, notes


class ListedStates:
    """Reads what the registry sent to one gateway: whole lists and single changes."""

    def __init__(self) -> None:
        self.states: list[ListedState] = []
        self.node_by_key: dict[str, int] = {}

    def on_list(self, at: float, pairs: Iterable[Any]) -> None:
        """Add a whole list; nodes that it lacks become "gone"."""
        listed: dict[str, int] = {}
        for pair in pairs:
            listed[pair["key"]] = self.put(at, pair)
        self.states += [
            ListedState(at, node, "gone")
            for key, node in self.node_by_key.items()
            if key not in listed
        ]
        self.node_by_key = listed

    def on_event(self, at: float, event: Any) -> None:
        """Add the change or deletion of one node."""
        pair = event["kv"]
        key = pair["key"]
        if event["type"] != "DELETE":
            self.node_by_key[key] = self.put(at, pair)
        elif key in self.node_by_key:
            self.states.append(ListedState(at, self.node_by_key.pop(key), "gone"))

    def put(self, at: float, pair: Any) -> int:
        """Add a node's state, and return the node's id."""
        value = json.loads(base64.b64decode(pair["value"]))
        node: int = value["id"]
        self.states.append(ListedState(at, node, value["state"]))
        return node


def read_listed_states(path: str) -> dict[str, list[ListedState]]:
    """Return the node states that the registry sent, by gateway, in time order."""
    readers: dict[str, ListedStates] = defaultdict(ListedStates)
    for entry in read_entries(path):
        if entry.direction != OUT:
            continue
        name, _, body = entry.data.partition(b"\n")
        message = json.loads(body)
        message = message.get("result", message)
        reader = readers[name.decode()]
        if "kvs" in message:
            reader.on_list(entry.at, message["kvs"])
        for event in message.get("events", []):
            reader.on_event(entry.at, event)
    return {gateway: reader.states for gateway, reader in readers.items()}


def merge_stops(stops: Iterable[GatewayStop]) -> list[GatewayStop]:
    """Merge stops of one gateway that are at most `CATCH_UP_S` apart.

    Work that waited during the first stop may be done only after the second.
    """
    merged: list[GatewayStop] = []
    for stop in sorted(stops):
        last = merged[-1] if merged else None
        if (
            last is not None
            and last.gateway == stop.gateway
            and stop.since <= last.until + CATCH_UP_S
        ):
            until = max(stop.until, last.until)
            merged[-1] = GatewayStop(stop.gateway, last.since, until)
        else:
            merged.append(stop)
    return merged


def read_json(path: str) -> Any:
    """Return the value of a JSON file."""
    with open(path, encoding="utf-8") as source:
        return json.load(source)


def read_evidence(folder: str, node_count: int) -> Evidence:
    """Return the evidence of the run whose records are in a folder.

    Raises:
        OSError: A record is missing or cannot be read.
        ValueError: A file in the folder is not a valid record.
    """
    clients = ClientRecordReader()
    client_lateness = 0.0
    for name, summary in (("clients", "load"), ("channels", "channels")):
        path = f"{folder}/{name}.rec"
        if name == "clients" or os.path.exists(path):
            clients.gateways.clear()
            clients.unanswered.clear()
            clients.read(path)
            worst_ms = read_json(f"{folder}/{summary}.json")["worst_lag_ms"]
            client_lateness = max(client_lateness, worst_ms / 1000)
    attempts: list[RecordedAttempt] = []
    notes: list[NodeNote] = []
    for node in range(node_count):
        node_attempts, node_notes = read_node(f"{folder}/box-{node}.rec", node)
        attempts += node_attempts
        notes += node_notes
    stops = merge_stops(
        GatewayStop(*stop) for stop in read_json(f"{folder}/stops.json")
    )
    read_gaps: list[tuple[float, float]] = []
    if os.path.exists(f"{folder}/stand.json"):
        gaps = read_json(f"{folder}/stand.json")["deaf"]
        read_gaps = [(since, until) for since, until in gaps]
    return Evidence(
        commands=clients.commands,
        unmatched_answers=clients.unmatched_answers,
        attempts=attempts,
        notes=notes,
        listed_states=read_listed_states(f"{folder}/registry.rec"),
        gateway_stops=stops,
        client_lateness=client_lateness,
        channel_messages=clients.channel_messages,
        node_read_gaps=read_gaps,
    )
