"""The stand-in for the registry: enough of etcd v3's HTTP/JSON gateway for a list.

Slow, of fixed capacity, and failing as it is told. Written from etcd's published API:
POST /v3/kv/range and /v3/watch, keys and values in base64, numbers as strings.
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

MAX_EVENTS = 100_000
MAX_BODY = 1 << 20
"""Bytes of a call that are read."""
MAX_RECORDED = 1 << 24
"""Bytes of an answer that are recorded."""
MAX_CALLS_FACTOR = 8
"""How many times the calls it serves at once may wait."""
UNAVAILABLE = b'{"error":"unavailable","code":14}'


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key's value, and the revision that it was put at."""

    data: bytes
    revision: int


def key_value(key: str, data: bytes, revision: int) -> dict[str, str]:
    """Return a key with its value as etcd tells it."""
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(data).decode(),
        "mod_revision": str(revision),
    }


class RegistryStandIn:
    """Keys and values with revisions, and who watches them.

    Attributes:
        away: It cannot be reached.
        open_calls: Calls that wait for their answer.
        notified_at: When watches hear of the last change, on the reactor's clock.
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
        """Delete a key, where it is there."""
        if self.values.pop(key, None) is not None:
            self.revision += 1
            self.on_change("DELETE", key, b"")

    def on_change(self, kind: str, key: str, data: bytes) -> None:
        """Notify watches of a change; they hear changes in their order."""
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
        """Tell an event to the watches that want it."""
        for request in list(self.watches):
            if request.since <= revision:
                self.send(request, {"events": [event]})

    def header(self) -> dict[str, str]:
        """Return the header that all answers have."""
        return {"cluster_id": "1", "revision": str(self.revision)}

    def compact(self) -> None:
        """Forget the past: watches from before it are told so."""
        self.compacted_revision = self.revision
        self.events.clear()

    def set_away(self, away: bool) -> None:
        """Become unreachable, so that watches break and calls fail, or return."""
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
        """Record what a gateway is told; its name ends its user agent."""
        if self.recorder is not None:
            name = (request.getHeader("user-agent") or "?").rpartition("/")[2]
            entry = name.encode() + b"\n" + data
            self.recorder.put(0, OUT, entry, MAX_RECORDED)

    def is_overloaded(self) -> bool:
        """Return whether a call fails now: by too many others, or by chance."""
        return (
            self.open_calls >= self.settings.at_once * MAX_CALLS_FACTOR
            or self.random.random() < self.settings.fail_rate
        )


class RegistryCalls(Resource):
    """Both calls of etcd's gateway."""

    def __init__(self, registry: RegistryStandIn) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.isLeaf = True
        self.registry = registry

    def render_POST(self, request: Any) -> Any:  # noqa: N802
        """Take a call."""
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
        """Answer with the whole list, or with the key that was changed last."""
        registry = self.registry
        registry.open_calls -= 1
        if request._disconnected or registry.away:
            return
        listed = [
            key_value(key, value.data, value.revision)
            for key, value in sorted(registry.values.items(), key=lambda item: item[0])
        ]
        told = listed
        if newest_only:
            told = sorted(listed, key=lambda kv: -int(kv["mod_revision"]))[:1]
        answer = {"header": registry.header(), "kvs": told, "count": str(len(listed))}
        data = json.dumps(answer).encode()
        if not newest_only:  # that is no list
            registry.record(request, data)
        request.write(data)
        request.finish()

    def begin_watch(self, request: Any, since: int) -> None:
        """Begin a watch; what it missed since a revision comes at once."""
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
        """Forget a watch whose connection ended."""
        if request in self.registry.watches:
            self.registry.watches.remove(request)


def registry_site(registry: RegistryStandIn) -> Site:
    """Return the site that serves a registry."""
    made = Site(RegistryCalls(registry))  # type: ignore[no-untyped-call]
    made.noisy = False
    return made
