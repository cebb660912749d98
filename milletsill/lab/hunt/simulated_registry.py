"""An in-memory node registry with injected faults.

It supports revisions, transactions, compaction, watches and backups. Its calls may be
delayed, fail, hang or become silent. Each write has a unique number, stored as the
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
    """Encode a text as in the registry's JSON."""
    return base64.b64encode(text.encode()).decode()


@dataclass(frozen=True, slots=True)
class RegistryEntry:
    """A key's value and the revision that wrote it."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class RegistryBackup:
    """The registry's contents at a revision."""

    revision: int
    stored: dict[str, RegistryEntry]


def key_value_message(key: str, stored: RegistryEntry) -> dict[str, str]:
    """Return a key-value message as in the registry's answers."""
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
        """Return the delay of one chunk of data, in seconds."""
        return self.random.uniform(MIN_DELAY, MAX_DELAY)

    def nodes(self) -> dict[str, RegisteredNode | None]:
        """Return the registered nodes, by key."""
        return {
            key: parse_registered_node(json.loads(stored.value))
            for key, stored in self.stored.items()
        }

    # Calls.

    def request(
        self, method: bytes, url: bytes, headers: object, body: Any
    ) -> Deferred[Any]:
        """Start a call; the interface of Twisted's agent."""
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
        """Remove the watch of a closed call."""
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

    def put(self, key_index: int, is_draining: bool, node: int) -> None:
        """Write a node under the key with a number."""
        self._commit([self._draw_value(key_index, is_draining, node)])

    def delete(self, key_index: int) -> None:
        """Delete the key with a number, if it exists."""
        if f"{KEY_PREFIX}{key_index}" in self.stored:
            self._commit([(f"{KEY_PREFIX}{key_index}", None)])

    def swap(self, key_index: int, other: int) -> None:
        """Delete one key and write another in one transaction."""
        if f"{KEY_PREFIX}{key_index}" in self.stored and key_index != other:
            self._commit(
                [
                    (f"{KEY_PREFIX}{key_index}", None),
                    self._draw_value(other, False, other),
                ]
            )

    def flood(self, count: int) -> None:
        """Make `count` writes at the same time."""
        for number in range(count):
            self.put(number % KEY_COUNT, number % 3 == 0, number % KEY_COUNT)

    def _draw_value(
        self, key_index: int, is_draining: bool, node: int
    ) -> tuple[str, bytes]:
        self.write_count += 1
        value = {
            "id": node,
            "address": "127.0.0.1:9",
            "state": "draining" if is_draining else "ready",
            "size": self.write_count,
            "cell": 0,
        }
        return f"{KEY_PREFIX}{key_index}", json.dumps(value).encode()

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
        """Compact the history up to the current revision."""
        self.compacted_revision = self.revision
        self.history = []

    def back_up(self) -> None:
        """Add a copy of the contents to the backups."""
        self.backups.append(RegistryBackup(self.revision, dict(self.stored)))

    def restore(self, back: int, silently: bool) -> None:
        """Restore a backup with a new cluster id, as the registry's restore tool does.

        Its watches break. With `silently` they stay open without further events, as
        behind a proxy that does not report the lost connection.
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
        """Cut all open calls."""
        for call in list(self.calls):
            call.cut()

    def silence_calls(self) -> None:
        """Keep all open calls open, but send nothing more on them."""
        for call in self.calls:
            call.is_silent = True
        self.watches = {}

    def send_progress(self) -> None:
        """Send the current revision to all watches."""
        for watch in self.watches:
            self._send_watch(watch)

    def become_unavailable(self, ticks: int, hangs: bool) -> None:
        """Refuse calls, or leave them unanswered, for some ticks of 0.1 ms."""
        until = self.clock.seconds() + ticks / 10_000
        if hangs:
            self.hangs_until = until
            return
        self.refuses_until = until
        self.cut_calls()
