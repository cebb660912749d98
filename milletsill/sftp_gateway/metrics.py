"""The gateway's Prometheus metrics and the HTTP page that exports them.

Each gateway has its own collector registry.
"""

from __future__ import annotations

from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.twisted import MetricsResource
from twisted.web.resource import Resource
from twisted.web.server import Site

# Upper bounds in seconds.
LATENCY_BUCKETS = (
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
)
MAX_CACHED_CHILDREN = 4096
TICKS_PER_SECOND = 10_000
# Twisted has no type annotations for these classes.
make_resource: Any = Resource
make_site: Any = Site
make_metrics_page: Any = MetricsResource


class GatewayMetrics:
    """The metrics of one gateway; docs/operators.md lists their names."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = self._counter(
            "milletsill_answers", "Commands by final answer", "category", "final"
        )
        self.latency = self._histogram(
            "milletsill_answer_seconds",
            "Time from receiving a command to its answer",
            "category",
        )
        self.attempts = self._counter(
            "milletsill_dispatches", "Attempts sent, first or further ones", "which"
        )
        self.outcomes = self._counter(
            "milletsill_outcomes", "Attempts by outcome", "outcome"
        )
        self.attempt_time = self._histogram(
            "milletsill_dispatch_seconds", "Duration of an attempt"
        )
        self.unanswered = self._gauge(
            "milletsill_held", "Requests without a final answer"
        )
        self.clients = self._gauge("milletsill_clients", "Client connections")
        self.nodes = self._gauge("milletsill_boxes", "Nodes in the last endpoint list")
        self.endpoint_updates = self._counter(
            "milletsill_list_news", "Updates of the endpoint list by kind", "kind"
        )
        self.faults = self._counter("milletsill_faults", "Unexpected internal errors")
        self.collector_pauses = self._histogram(
            "milletsill_collector_seconds", "Pauses of Python's garbage collector"
        )
        self.loop_lag = self._histogram(
            "milletsill_loop_lag_seconds", "Delay of the event loop's timers"
        )
        self._children: dict[tuple[Any, ...], Any] = {}

    def _counter(self, name: str, help: str, *labels: str) -> Counter:
        return Counter(name, help, labels, registry=self.registry)

    def _gauge(self, name: str, help: str) -> Gauge:
        return Gauge(name, help, registry=self.registry)

    def _histogram(self, name: str, help: str, *labels: str) -> Histogram:
        return Histogram(
            name, help, labels, buckets=LATENCY_BUCKETS, registry=self.registry
        )

    def _child(self, metric: Any, *labels: str) -> Any:
        """Return the child of a metric with these labels, from a cache.

        The number of children is small, because all label values come from the
        operator's file.
        """
        key = (metric, *labels)
        child = self._children.get(key)
        if child is None:
            child = metric.labels(*labels)
            if len(self._children) < MAX_CACHED_CHILDREN:
                self._children[key] = child
        return child

    def count_answer(self, request_class: str, final: str, seconds: float) -> None:
        """Count an answered command and observe its latency."""
        self._child(self.answers, request_class, final).inc()
        self._child(self.latency, request_class).observe(seconds)

    def count_host_event(self, what: str, *values: Any) -> None:
        """Count an event of the scheduler's host."""
        if what == "dispatch":
            which = "further" if values[0] else "first"
            self._child(self.attempts, which).inc()
        elif what == "ended":
            outcome, duration = values
            self._child(self.outcomes, outcome).inc()
            self.attempt_time.observe(duration / TICKS_PER_SECOND)

    def site(self) -> Site:
        """Return an HTTP site that serves /metrics."""
        root: Any = make_resource()
        root.putChild(b"metrics", make_metrics_page(registry=self.registry))
        site: Site = make_site(root)
        site.noisy = False
        return site
