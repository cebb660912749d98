"""Prometheus metrics of the fleet; docs/fleet.md lists them."""

from __future__ import annotations

from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Gauge


class FrameDirection(Enum):
    """Direction of a frame: the values of the metric label `way`."""

    OUT = "out"
    IN = "in"


class FrameCarrier(Enum):
    """Transport of a frame: the values of the metric label `over`."""

    DATAGRAM = "datagram"
    STREAM = "stream"


class RejectionCause(Enum):
    """Reason for rejecting a frame: the values of the metric label `cause`."""

    TOO_LONG = "too_long"
    MALFORMED = "unreadable"
    OTHER_FLEET = "other_fleet"
    TOO_NEW = "too_new"
    UNKNOWN_TYPE = "unknown_what"
    UNKNOWN_KIND = "unknown_kind"
    NOT_A_MEMBER = "not_a_member"


class FleetMetrics:
    """The fleet's metrics, registered in the gateway's own registry."""

    def __init__(self, registry: CollectorRegistry) -> None:
        def gauge(name: str, text: str, *labels: str) -> Gauge:
            return Gauge(f"milletsill_fleet_{name}", text, labels, registry=registry)

        def counter(name: str, text: str, *labels: str) -> Counter:
            return Counter(f"milletsill_fleet_{name}", text, labels, registry=registry)

        self.members = gauge(
            "members", "Known members by state, including this gateway", "standing"
        )
        self.changes = counter(
            "changes", "Member changes in the view, by type", "change"
        )
        self.view_digest = gauge("view", "Lower 48 bits of the view digest")
        self.view_version = gauge(
            "view_version", "Version of the view, counted from the start"
        )
        self.incarnation = gauge("run", "Incarnation that this gateway announces")
        self.frames = counter(
            "frames",
            "Frames sent or received, by direction and transport",
            "way",
            "over",
        )
        self.octets = counter(
            "octets", "Bytes of frames, by direction and transport", "way", "over"
        )
        self.rejected = counter(
            "refused", "Received frames that were rejected, by cause", "cause"
        )
        self.unsent = counter(
            "unsent", "Frames that could not be sent, by transport", "over"
        )
        self.local_health_score = gauge(
            "doubt", "Local health score of this gateway, 0 (healthy) to 4"
        )
        self.isolated = gauge("troubled", "1 while most of this gateway's probes fail")
        self.waiting_octets = gauge(
            "waiting_octets", "Bytes queued on streams to other gateways"
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
        """Count one frame and its bytes."""
        frames, total = self._traffic[direction, carrier]
        frames.inc()
        total.inc(octets)

    def count_rejected(self, cause: RejectionCause) -> None:
        """Count a received frame that was rejected."""
        self.rejected.labels(cause.value).inc()
