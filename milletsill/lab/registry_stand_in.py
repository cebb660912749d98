"""Stand-in for the registry: the part of etcd v3's HTTP/JSON gateway that lists use.

Its call latency, capacity and failure rate are configured. It follows etcd's published
API: POST /v3/kv/range and /v3/watch, keys and values in base64, numbers as strings.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from milletsill.lab.record import OUT, PacketRecorder
from milletsill.settings.milletsill_pb2 import RegistryStand

MAX_EVENTS = 100_000  # events kept for watches that start at an old revision
MAX_BODY = 1 << 20
"""Bytes of a call's body that are read."""
MAX_RECORDED = 1 << 24
"""Bytes of an answer that are recorded."""
MAX_CALLS_FACTOR = 8
"""Open calls allowed, as a multiple of the calls that are served at once."""
UNAVAILABLE = b'{"error":"unavailable","code":14}'


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key's value and the revision at which it was put."""

    data: bytes
    revision: int


def key_value(key: str, data: bytes, revision: int) -> dict[str, str]:
    """Return a key and its value in etcd's JSON form."""
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(data).decode(),
        "mod_revision": str(revision),
    }


class RegistryStandIn:
    """Stores keys and values with revisions, and serves watches on them.

    Attributes:
        away: The registry is unavailable: calls fail and watches are broken.
        open_calls: Calls that wait for their answer.
        notified_at: When the last change is sent to watches, on the reactor's clock.
    """

    def __init__(
        self,
        reactor: Any,
        settings: RegistryStand,
        seed: int,
        recorder: PacketRecorder | None = None,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.recorder = recorder
        self.random = Random(seed)
        self.revision = 1
        self.compacted_revision = 0
        self.values: dict[str, StoredValue] = {}
        self.events: list[dict[str, Any]] = []
        self.watches: list[Any] = []
        self.open_calls = 0
        self.away = False
        self.notified_at = 0.0

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Put a value under a key."""
        self.revision += 1
        data = json.dumps(value).encode()
        self.values[key] = StoredValue(data, self.revision)
        self.on_change("PUT", key, data)

    def delete(self, key: str) -> None:
        """Delete a key if it exists."""
        if self.values.pop(key, None) is not None:
            self.revision += 1
            self.on_change("DELETE", key, b"")

    def on_change(self, kind: str, key: str, data: bytes) -> None:
        """Notify watches of a change after a random delay; changes stay in order."""
        event = {"type": kind, "kv": key_value(key, data, self.revision)}
        self.events.append(event)
        del self.events[:-MAX_EVENTS]
        now = self.reactor.seconds()
        delay = self.settings.notice_ms / 1000 * self.random.uniform(0.5, 1.0)
        self.notified_at = max(self.notified_at, now + delay)
        self.reactor.callLater(
            self.notified_at - now, self.notify, event, self.revision
        )

    def notify(self, event: dict[str, Any], revision: int) -> None:
        """Send an event to the watches that started at or before its revision."""
        for request in list(self.watches):
            if request.since <= revision:
                self.send(request, {"events": [event]})

    def header(self) -> dict[str, str]:
        """Return the header that every answer carries."""
        return {"cluster_id": "1", "revision": str(self.revision)}

    def compact(self) -> None:
        """Drop all past events; a watch from an older revision is then cancelled."""
        self.compacted_revision = self.revision
        self.events.clear()

    def set_away(self, away: bool) -> None:
        """Become unavailable, which aborts all watches and fails calls, or recover."""
        self.away = away
        if not away:
            return
        watches = self.watches
        self.watches = []
        for request in watches:
            if request.channel is not None:
                request.channel.forceAbortClient()

    def send(self, request: Any, result: dict[str, Any]) -> None:
        """Send a message on a watch."""
        message = {"result": {"header": self.header(), **result}}
        data = json.dumps(message).encode() + b"\n"
        self.record(request, data)
        request.write(data)

    def record(self, request: Any, data: bytes) -> None:
        """Record data sent to a gateway, whose name is the last part of User-Agent."""
        if self.recorder is not None:
            name = (request.getHeader("user-agent") or "?").rpartition("/")[2]
            entry = name.encode() + b"\n" + data
            self.recorder.put(0, OUT, entry, MAX_RECORDED)

    def is_overloaded(self) -> bool:
        """Return whether a call fails now: by too many open calls, or at random."""
        return (
            self.open_calls >= self.settings.at_once * MAX_CALLS_FACTOR
            or self.random.random() < self.settings.fail_rate
        )


class RegistryCalls(Resource):
    """Serves the calls of etcd's gateway: range and watch."""

    def __init__(self, registry: RegistryStandIn) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.isLeaf = True
        self.registry = registry

    def render_POST(self, request: Any) -> Any:  # noqa: N802
        """Handle a call."""
        registry = self.registry
        try:
            body = json.loads(request.content.read(MAX_BODY))
        except ValueError:
            request.setResponseCode(400)
            return b'{"error":"not JSON"}'
        overloaded = registry.is_overloaded()
        if registry.away or overloaded:
            request.setResponseCode(503)
            return UNAVAILABLE
        if request.path == b"/v3/kv/range":
            registry.open_calls += 1
            settings = registry.settings
            load = max(registry.open_calls / settings.at_once, 1)
            delay = settings.call_ms / 1000 * load
            newest_only = bool(body.get("keys_only"))
            registry.reactor.callLater(delay, self.answer_range, request, newest_only)
            return NOT_DONE_YET
        if request.path == b"/v3/watch":
            since = int(body.get("create_request", {}).get("start_revision", 0))
            self.begin_watch(request, since)
            return NOT_DONE_YET
        request.setResponseCode(404)
        return b'{"error":"no such call"}'

    def answer_range(self, request: Any, newest_only: bool) -> None:
        """Answer with the whole list, or with the most recently changed key only."""
        registry = self.registry
        registry.open_calls -= 1
        if request._disconnected or registry.away:
            return
        listed = [
            key_value(key, value.data, value.revision)
            for key, value in sorted(registry.values.items(), key=lambda item: item[0])
        ]
        returned = listed
        if newest_only:
            returned = sorted(listed, key=lambda kv: -int(kv["mod_revision"]))[:1]
        answer = {
            "header": registry.header(),
            "kvs": returned,
            "count": str(len(listed)),
        }
        data = json.dumps(answer).encode()
        if not newest_only:  # only whole lists are audited
            registry.record(request, data)
        request.write(data)
        request.finish()

    def begin_watch(self, request: Any, since: int) -> None:
        """Begin a watch and send the events since a revision that are already known."""
        registry = self.registry
        request.since = since
        request.notifyFinish().addBoth(lambda _: self.end_watch(request))
        if since <= registry.compacted_revision:
            compacted = str(registry.compacted_revision)
            registry.send(request, {"canceled": True, "compact_revision": compacted})
            return
        registry.send(request, {"created": True})
        missed = [
            event
            for event in registry.events
            if int(event["kv"]["mod_revision"]) >= since
        ]
        if missed:
            registry.send(request, {"events": missed})
        registry.watches.append(request)

    def end_watch(self, request: Any) -> None:
        """Remove a watch whose connection ended."""
        if request in self.registry.watches:
            self.registry.watches.remove(request)


def registry_site(registry: RegistryStandIn) -> Site:
    """Return the site that serves a registry."""
    site = Site(RegistryCalls(registry))  # type: ignore[no-untyped-call]
    site.noisy = False
    return site
