"""A registry of nodes, in memory, that misbehaves as it is told to.

It has revisions, transactions, compaction, watches and backups. Its calls arrive late,
fail, hang or fall silent. Each write has a number of its own, which it carries as the
node's size.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from milletsill.lab.hunt.registry_call import RegistryCall
from milletsill.registry.registered_node import RegisteredNode, parse_registered_node

KEY_PREFIX = "b/"
KEY_COUNT = 8
MIN_DELAY = 0.001  # seconds
MAX_DELAY = 0.02


def encode_base64(text: str) -> str:
    """Return a text as the registry's JSON has it."""
    return base64.b64encode(text.encode()).decode()


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """A key's value and the revision that wrote it."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class RegistryBackup:
    """What the registry held at a revision."""

    revision: int
    stored: dict[str, RegistryEntry]


def key_value_message(key: str, stored: RegistryEntry) -> dict[str, str]:
    """Return a key as the registry's answers have it."""
    return {
        "key": encode_base64(key),
        "value": encode_base64(stored.value.decode()),
        "mod_revision": str(stored.revision),
    }


class SimulatedRegistry:
    """The registry's data, its open calls and its faults."""

    def __init__(self, seed: int, clock: Clock) -> None:
        self.clock = clock
        self.random = Random(seed)
        self.revision = 1
        self.compacted_revision = 0
        self.cluster_id = 1
        self.write_count = 0
        self.stored: dict[str, RegistryEntry] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.backups = [RegistryBackup(1, {})]
        self.watches: dict[RegistryCall, None] = {}
        self.calls: list[RegistryCall] = []
        self.refuses_until = 0.0
        self.hangs_until = 0.0

    def draw_delay(self) -> float:
        """Return the delay of one piece of data, in seconds."""
        return self.random.uniform(MIN_DELAY, MAX_DELAY)

    def nodes(self) -> dict[str, RegisteredNode | None]:
        """Return the nodes that it holds, by key."""
        return {
            key: parse_registered_node(json.loads(stored.value))
            for key, stored in self.stored.items()
        }

    # Calls.

    def request(
        self, method: bytes, url: bytes, headers: object, body: Any
    ) -> Deferred[Any]:
        """Take a call as Twisted's agent does."""
        call = RegistryCall(self, json.loads(body.data))
        self.calls = [other for other in self.calls if not other.is_closed]
        self.calls.append(call)
        is_range = url.endswith(b"range")
        self.clock.callLater(
            self.draw_delay(),
            call.run_if_open,
            lambda: self._on_arrived(call, is_range),
        )
        return call.answer

    def on_call_closed(self, call: RegistryCall) -> None:
        """Forget a call that is over."""
        self.watches.pop(call, None)

    def _on_arrived(self, call: RegistryCall, is_range: bool) -> None:
        now = self.clock.seconds()
        if now < self.hangs_until:
            call.is_silent = True
            return
        if now < self.refuses_until:
            call.cut()
            return
        call.send_head(200)
        if is_range:
            self._answer_range(call)
        else:
            self._open_watch(call)

    def _answer_range(self, call: RegistryCall) -> None:
        found = [key_value_message(key, stored) for key, stored in self.stored.items()]
        count = str(len(found))
        if call.body.get("keys_only"):
            found = sorted(found, key=lambda kv: -int(kv["mod_revision"]))[:1]
        answer = {"header": self._header(), "kvs": found, "count": count}
        call.send_body(json.dumps(answer).encode())
        call.send_end()

    def _open_watch(self, call: RegistryCall) -> None:
        call.start_revision = int(call.body["create_request"]["start_revision"])
        if call.start_revision <= self.compacted_revision:
            self._send_watch(
                call, canceled=True, compact_revision=str(self.compacted_revision)
            )
            return
        self._send_watch(call, created=True)
        missed = [
            event for revision, event in self.history if revision >= call.start_revision
        ]
        if missed:
            self._send_watch(call, events=missed)
        self.watches[call] = None

    def _send_watch(self, call: RegistryCall, **fields: Any) -> None:
        result = {"header": self._header(), **fields}
        call.send_body(json.dumps({"result": result}).encode() + b"\n")

    def _header(self) -> dict[str, str]:
        return {"cluster_id": str(self.cluster_id), "revision": str(self.revision)}

    # Writes.

    def put(self, place: int, is_draining: bool, node: int) -> None:
        """Write a node under the key of a place."""
        self._commit([self._draw_value(place, is_draining, node)])

    def delete(self, place: int) -> None:
        """Delete the key of a place, if it is there."""
        if f"{KEY_PREFIX}{place}" in self.stored:
            self._commit([(f"{KEY_PREFIX}{place}", None)])

    def swap(self, place: int, other: int) -> None:
        """Delete one key and write another in one transaction."""
        if f"{KEY_PREFIX}{place}" in self.stored and place != other:
            self._commit(
                [
                    (f"{KEY_PREFIX}{place}", None),
                    self._draw_value(other, False, other),
                ]
            )

    def flood(self, count: int) -> None:
        """Write many times at one moment."""
        for number in range(count):
            self.put(number % KEY_COUNT, number % 3 == 0, number % KEY_COUNT)

    def _draw_value(
        self, place: int, is_draining: bool, node: int
    ) -> tuple[str, bytes]:
        self.write_count += 1
        value = {
            "id": node,
            "address": "127.0.0.1:9",
            "state": "draining" if is_draining else "ready",
            "size": self.write_count,
            "cell": 0,
        }
        return f"{KEY_PREFIX}{place}", json.dumps(value).encode()

    def _commit(self, changes: Sequence[tuple[str, bytes | None]]) -> None:
        """Make all changes at one revision; None deletes a key."""
        self.revision += 1
        events: list[dict[str, Any]] = []
        for key, value in changes:
            stored = RegistryEntry(value or b"", self.revision)
            if value is None:
                del self.stored[key]
            else:
                self.stored[key] = stored
            events.append(
                {
                    "type": "DELETE" if value is None else "PUT",
                    "kv": key_value_message(key, stored),
                }
            )
        self.history += [(self.revision, event) for event in events]
        for watch in list(self.watches):
            if self.revision >= watch.start_revision:
                self._send_watch(watch, events=events)

    # Faults.

    def compact(self) -> None:
        """Forget all changes up to now."""
        self.compacted_revision = self.revision
        self.history = []

    def back_up(self) -> None:
        """Keep a copy that may be restored."""
        self.backups.append(RegistryBackup(self.revision, dict(self.stored)))

    def restore(self, back: int, silently: bool) -> None:
        """Restore a backup under a new cluster's id, as the registry's tool does it.

        Its watches break, or, with `silently`, stay open at something between the
        client and the registry that does not tell.
        """
        self.cluster_id += 1
        backup = self.backups[-1 - back % len(self.backups)]
        self.revision = backup.revision
        self.stored = dict(backup.stored)
        self.history = []
        self.compacted_revision = self.revision
        watches = list(self.watches)
        self.watches = {}
        if not silently:
            for watch in watches:
                watch.cut()

    def cut_calls(self) -> None:
        """Break all open calls."""
        for call in list(self.calls):
            call.cut()

    def silence_calls(self) -> None:
        """Leave open what is open, and send nothing on it any more."""
        for call in self.calls:
            call.is_silent = True
        self.watches = {}

    def send_progress(self) -> None:
        """Tell all watches the revision."""
        for watch in self.watches:
            self._send_watch(watch)

    def become_unavailable(self, ticks: int, hangs: bool) -> None:
        """Refuse calls, or leave them without an answer, for some ticks of 0.1 ms."""
        until = self.clock.seconds() + ticks / 10_000
        if hangs:
            self.hangs_until = until
            return
        self.refuses_until = until
        self.cut_calls()
