"""The fleet's metrics; their names stand in docs/fleet.md."""

from __future__ import annotations

from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Gauge


class FrameDirection(Enum):
    """Values of the label `way`."""

    OUT = "out"
    IN = "in"


class FrameCarrier(Enum):
    """Values of the label `over`."""

    DATAGRAM = "datagram"
    STREAM = "stream"


class RefusalCause(Enum):
    """Values of the label `cause`: why a frame was not taken."""

    TOO_LONG = "too_long"
    MALFORMED = "unreadable"
    OTHER_FLEET = "other_fleet"
    TOO_NEW = "too_new"
    UNKNOWN_TYPE = "unknown_what"
    UNKNOWN_KIND = "unknown_kind"
    NOT_A_MEMBER = "not_a_member"


class FleetMetrics:
    """The fleet's metrics, on a gateway's own registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def gauge(name: str, text: str, *labels: str) -> Gauge:
            return Gauge(f"milletsill_fleet_{name}", text, labels, registry=registry)

        def counter(name: str, text: str, *labels: str) -> Counter:
            return Counter(f"milletsill_fleet_{name}", text, labels, registry=registry)

        self.members = gauge(
            "members", "Known members by state, this gateway with them", "standing"
        )
        self.changes = counter("changes", "Changes of the view", "change")
        self.view_digest = gauge("view", "The view digest, its lower 48 bits")
        self.view_version = gauge(
            "view_version", "Versions of the view since the start"
        )
        self.incarnation = gauge(
            "run", "This gateway's incarnation, as the others know it"
        )
        self.frames = counter(
            "frames", "Frames between gateways, by direction and carrier", "way", "over"
        )
        self.octets = counter("octets", "Octets of those frames", "way", "over")
        self.refused = counter(
            "refused", "Frames that were not taken, by cause", "cause"
        )
        self.unsent = counter(
            "unsent", "Frames that could not be sent, by carrier", "over"
        )
        self.local_health_score = gauge(
            "doubt", "Local health score of this gateway, 0 (healthy) to 4"
        )
        self.isolated = gauge("troubled", "1 while most of this gateway's probes fail")
        self.waiting_octets = gauge(
            "waiting_octets", "Octets that wait on streams to other gateways"
        )
        self.streams = gauge(
            "streams", "Open streams between gateways, by direction", "way"
        )
        self._traffic = {
            (direction, carrier): (
                self.frames.labels(direction.value, carrier.value),
                self.octets.labels(direction.value, carrier.value),
            )
            for direction in FrameDirection
            for carrier in FrameCarrier
        }

    def count_frame(
        self, direction: FrameDirection, carrier: FrameCarrier, octets: int
    ) -> None:
        """Count one frame."""
        frames, total = self._traffic[direction, carrier]
        frames.inc()
        total.inc(octets)

    def count_refused(self, cause: RefusalCause) -> None:
        """Count a frame that was not taken."""
        self.refused.labels(cause.value).inc()
