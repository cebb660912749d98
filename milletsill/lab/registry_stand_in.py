"""The registry stand-in: enough of etcd v3's HTTP/JSON gateway for a list of boxes; slow, of fixed capacity, failing.

Written from etcd's published API: POST /v3/kv/range and /v3/watch, keys and values in base64, numbers as strings.
"""

from __future__ import annotations

import base64
import json
from random import Random
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from milletsill.lab.record import OUT, PacketRecorder

MOST_EVENTS = 100_000


class Registry:
    """Keys and values with revisions, and who watches them."""

    def __init__(
        self,
        reactor: Any,
        stand: Any,
        seed: int,
        recorder: PacketRecorder | None = None,
    ) -> None:
        self.reactor, self.stand, self.recorder = reactor, stand, recorder
        self.chance = Random(seed)
        self.revision, self.compacted = 1, 0
        self.held: dict[str, tuple[bytes, int]] = {}
        self.events: list[dict[str, Any]] = []
        self.watchers: list[Any] = []
        self.calls, self.away, self.due = 0, False, 0.0

    def put(self, key: str, value: dict[str, Any]) -> None:
        self.revision += 1
        data = json.dumps(value).encode()
        self.held[key] = (data, self.revision)
        self.changed("PUT", key, data)

    def delete(self, key: str) -> None:
        if self.held.pop(key, None) is not None:
            self.revision += 1
            self.changed("DELETE", key, b"")

    def changed(self, kind: str, key: str, value: bytes) -> None:
        event = {"type": kind, "kv": self.pair(key, value, self.revision)}
        self.events.append(event)
        del self.events[:-MOST_EVENTS]
        now = self.reactor.seconds()  # a watch tells changes in their order
        self.due = max(
            self.due, now + self.stand.notice_ms / 1000 * self.chance.uniform(0.5, 1.0)
        )
        self.reactor.callLater(self.due - now, self.spread, event, self.revision)

    def spread(self, event: dict[str, Any], revision: int) -> None:
        for request in list(self.watchers):
            if request.since <= revision:
                self.tell(
                    request, {"result": {"header": self.header(), "events": [event]}}
                )

    def pair(self, key: str, value: bytes, revision: int) -> dict[str, str]:
        return {
            "key": base64.b64encode(key.encode()).decode(),
            "value": base64.b64encode(value).decode(),
            "mod_revision": str(revision),
        }

    def header(self) -> dict[str, str]:
        return {"cluster_id": "1", "revision": str(self.revision)}

    def compact(self) -> None:
        """Forget the past: watches from before it are told so."""
        self.compacted = self.revision
        self.events.clear()

    def set_away(self, away: bool) -> None:
        """Unreachable: watches break, calls fail."""
        self.away = away
        if away:
            watchers, self.watchers = self.watchers, []
            for request in watchers:
                if request.channel is not None:
                    request.channel.forceAbortClient()

    def tell(self, request: Any, message: dict[str, Any]) -> None:
        data = json.dumps(message).encode() + b"\n"
        self.recorded(request, data)
        request.write(data)

    def recorded(self, request: Any, data: bytes) -> None:
        if self.recorder is not None:
            name = (request.getHeader("user-agent") or "?").rpartition("/")[2]
            self.recorder.put(0, OUT, name.encode() + b"\n" + data, 1 << 24)


class Call(Resource):
    """Both calls of the gateway."""

    isLeaf = True

    def __init__(self, registry: Registry) -> None:
        super().__init__()
        self.registry = registry

    def render_POST(self, request: Any) -> Any:
        registry = self.registry
        try:
            body = json.loads(request.content.read(1 << 20))
        except ValueError:
            request.setResponseCode(400)
            return b'{"error":"not JSON"}'
        stand = registry.stand
        over = (
            registry.calls >= stand.at_once * 8
            or registry.chance.random() < stand.fail_rate
        )
        if registry.away or over:
            request.setResponseCode(503)
            return b'{"error":"unavailable","code":14}'
        if request.path == b"/v3/kv/range":
            registry.calls += 1
            wait = stand.call_ms / 1000 * max(registry.calls / stand.at_once, 1)
            registry.reactor.callLater(
                wait, self.range, request, bool(body.get("keys_only"))
            )
            return NOT_DONE_YET
        if request.path == b"/v3/watch":
            return self.watch(
                request, int(body.get("create_request", {}).get("start_revision", 0))
            )
        request.setResponseCode(404)
        return b'{"error":"no such call"}'

    def range(self, request: Any, newest: bool) -> None:
        """The whole list, or only the key that was changed last."""
        registry = self.registry
        registry.calls -= 1
        if request._disconnected or registry.away:
            return
        kvs = [
            registry.pair(key, value, revision)
            for key, (value, revision) in sorted(registry.held.items())
        ]
        told = (
            sorted(kvs, key=lambda kv: -int(kv["mod_revision"]))[:1] if newest else kvs
        )
        data = json.dumps(
            {"header": registry.header(), "kvs": told, "count": str(len(kvs))}
        ).encode()
        if not newest:  # that is no list
            registry.recorded(request, data)
        request.write(data)
        request.finish()

    def watch(self, request: Any, since: int) -> Any:
        registry = self.registry
        request.since = since
        request.notifyFinish().addBoth(
            lambda _: (
                registry.watchers.remove(request)
                if request in registry.watchers
                else None
            )
        )
        if since <= registry.compacted:
            registry.tell(
                request,
                {
                    "result": {
                        "header": registry.header(),
                        "canceled": True,
                        "compact_revision": str(registry.compacted),
                    }
                },
            )
            return NOT_DONE_YET
        registry.tell(
            request, {"result": {"header": registry.header(), "created": True}}
        )
        missed = [
            each for each in registry.events if int(each["kv"]["mod_revision"]) >= since
        ]
        if missed:
            registry.tell(
                request, {"result": {"header": registry.header(), "events": missed}}
            )
        registry.watchers.append(request)
        return NOT_DONE_YET


def site(registry: Registry) -> Site:
    made = Site(Call(registry))
    made.noisy = False
    return made
