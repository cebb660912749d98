"""The gateway's figures on prometheus-client, and their page. Each instance has a registry of its own."""

from __future__ import annotations

from functools import lru_cache
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.twisted import MetricsResource
from twisted.web.resource import Resource
from twisted.web.server import Site

SPANS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    1.0,
    1.5,
    3.0,
    6.0,
)  # seconds


class GatewayMetrics:
    """What is counted; names are those of docs/operators.md."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry()
        self.answers = Counter(
            "milletsill_answers",
            "Commands by final answer",
            ("category", "final"),
            registry=registry,
        )
        self.latency = Histogram(
            "milletsill_answer_seconds",
            "From taking a command to its answer",
            ("category",),
            buckets=SPANS,
            registry=registry,
        )
        self.dispatches = Counter(
            "milletsill_dispatches",
            "Dispatches sent, first or further",
            ("which",),
            registry=registry,
        )
        self.outcomes = Counter(
            "milletsill_outcomes",
            "Dispatches by how they ended",
            ("outcome",),
            registry=registry,
        )
        self.box_seconds = Histogram(
            "milletsill_dispatch_seconds",
            "Time of a dispatch",
            buckets=SPANS,
            registry=registry,
        )
        self.held = Gauge(
            "milletsill_held", "Transfers without a final answer", registry=registry
        )
        self.clients = Gauge(
            "milletsill_clients", "Client connections", registry=registry
        )
        self.boxes = Gauge(
            "milletsill_boxes", "Boxes of the last list", registry=registry
        )
        self.news = Counter(
            "milletsill_list_news",
            "News of the list by kind",
            ("kind",),
            registry=registry,
        )
        self.faults = Counter(
            "milletsill_faults", "Faults of the program", registry=registry
        )
        self.collections = Histogram(
            "milletsill_collector_seconds",
            "Pauses of Python's garbage collector",
            buckets=SPANS,
            registry=registry,
        )
        self.lag = Histogram(
            "milletsill_loop_lag_seconds",
            "How late the event loop was",
            buckets=SPANS,
            registry=registry,
        )

        # Children are looked up once: what is counted has few names, all known from the operator's file.
        self.child = lru_cache(maxsize=4096)(
            lambda figure, *labels: figure.labels(*labels)
        )

    def note(self, what: str, *values: Any) -> None:
        """What the host saw."""
        if what == "dispatch":
            self.child(self.dispatches, "further" if values[0] else "first").inc()
        elif what == "ended":
            self.child(self.outcomes, values[0]).inc()
            self.box_seconds.observe(values[1] / 10_000)

    def page(self) -> Site:
        """A site with /metrics on it."""
        root = Resource()
        root.putChild(b"metrics", MetricsResource(registry=self.registry))
        site = Site(root)
        site.noisy = False
        return site
