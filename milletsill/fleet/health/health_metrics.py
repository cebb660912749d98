"""Prometheus metrics of shared health."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge

from milletsill.fleet.health.verdict_table import HealthVerdict


class HealthMetrics:
    """One gateway's metrics; docs/health.md says how to react to each."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._nodes = Gauge(
            "milletsill_health_boxes",
            "Storage nodes by verdict",
            ("verdict",),
            registry=registry,
        )
        self._verdict_changes = Counter(
            "milletsill_health_verdicts",
            "Changes of verdicts on nodes, by the new verdict",
            ("verdict",),
            registry=registry,
        )
        self._sent_bytes = Counter(
            "milletsill_health_octets",
            "Bytes of health reports sent to other gateways",
            registry=registry,
        )
        self._malformed_frames = Counter(
            "milletsill_health_refused",
            "Received health frames that were malformed",
            registry=registry,
        )
        self._reports = Gauge(
            "milletsill_health_rows",
            "Stored health reports, including this gateway's own",
            registry=registry,
        )
        self._disregarded_nodes = Gauge(
            "milletsill_health_doubted",
            "Nodes found impaired whose verdict is withheld, being over the limit",
            registry=registry,
        )
        self._avoided_nodes = Gauge(
            "milletsill_health_away",
            "Nodes that this gateway is advised to avoid",
            registry=registry,
        )

    def on_verdict_change(self, verdict: HealthVerdict) -> None:
        """Count a verdict change by its new verdict."""
        self._verdict_changes.labels(verdict.value).inc()

    def on_sent(self, size: int) -> None:
        """Count bytes of sent reports."""
        self._sent_bytes.inc(size)

    def on_malformed_frame(self) -> None:
        """Count a received frame that was malformed."""
        self._malformed_frames.inc()

    def set_verdicts(self, verdicts: Iterable[HealthVerdict]) -> None:
        """Set the number of nodes by verdict."""
        counts = dict.fromkeys(HealthVerdict, 0)
        for verdict in verdicts:
            counts[verdict] += 1
        for verdict, count in counts.items():
            self._nodes.labels(verdict.value).set(count)

    def set_state(self, reports: int, disregarded: int, avoided: int) -> None:
        """Set the number of reports, of disregarded nodes and of avoided nodes."""
        self._reports.set(reports)
        self._disregarded_nodes.set(disregarded)
        self._avoided_nodes.set(avoided)
