"""The fleet's figures; names are those of docs/fleet.md."""

from __future__ import annotations

from typing import Any

from prometheus_client import Counter, Gauge


class Figures:
    """On a gateway's own registry."""

    def __init__(self, registry: Any) -> None:
        self.members = Gauge(
            "milletsill_fleet_members",
            "Members by standing, this one with them",
            ("standing",),
            registry=registry,
        )
        self.changes = Counter(
            "milletsill_fleet_changes",
            "Changes of the view",
            ("change",),
            registry=registry,
        )
        self.view = Gauge(
            "milletsill_fleet_view",
            "The view's digest, its lower 48 bits",
            registry=registry,
        )
        self.version = Gauge(
            "milletsill_fleet_view_version",
            "Versions of the view since the start",
            registry=registry,
        )
        self.run = Gauge(
            "milletsill_fleet_run",
            "This gateway's run, as the others know it",
            registry=registry,
        )
        self.frames = Counter(
            "milletsill_fleet_frames",
            "Frames between gateways",
            ("way", "over"),
            registry=registry,
        )
        self.octets = Counter(
            "milletsill_fleet_octets",
            "Octets of those frames",
            ("way", "over"),
            registry=registry,
        )
        self.refused = Counter(
            "milletsill_fleet_refused",
            "Frames that were not taken",
            ("cause",),
            registry=registry,
        )
        self.unsent = Counter(
            "milletsill_fleet_unsent",
            "Frames that could not be sent",
            ("over",),
            registry=registry,
        )
        self.doubt = Gauge(
            "milletsill_fleet_doubt",
            "Doubt of this gateway in itself, 0 to 4",
            registry=registry,
        )
        self.troubled = Gauge(
            "milletsill_fleet_troubled",
            "1 while most of its probes come to nothing",
            registry=registry,
        )
        self.waiting = Gauge(
            "milletsill_fleet_waiting_octets",
            "What waits on streams to others",
            registry=registry,
        )
        self.streams = Gauge(
            "milletsill_fleet_streams", "Streams", ("way",), registry=registry
        )
        ways = [(way, over) for way in ("out", "in") for over in ("datagram", "stream")]
        self.counted = {
            each: (self.frames.labels(*each), self.octets.labels(*each))
            for each in ways
        }

    def count(self, way: str, over: str, octets: int) -> None:
        frames, total = self.counted[way, over]
        frames.inc()
        total.inc(octets)
