"""Metrics of the planner."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from milletsill.planner.quota_planner import QuotaPlanner
from milletsill.planner.quota_terms import WHOLE


class PlannerMetrics:
    """The metrics of one run of the planner.

    Attributes:
        requests: Requests since the last update.
        invalid_requests: Invalid requests since the last update.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = 0
        self.invalid_requests = 0
        self._gateways = Gauge(
            "milletsill_planner_edges", "Gateways connected", registry=registry
        )
        self._quotas = Gauge(
            "milletsill_planner_things",
            "Quotas that shares are asked for",
            registry=registry,
        )
        self._requests = Counter(
            "milletsill_planner_asks",
            "Requests for shares: all, and those that were invalid",
            ("fate",),
            registry=registry,
        )
        self._granted = Gauge(
            "milletsill_planner_granted",
            "Shares granted now, in whole quotas",
            registry=registry,
        )
        self._lag = Histogram(
            "milletsill_planner_loop_lag_seconds",
            "How late the event loop was",
            registry=registry,
        )
        self._epoch = Gauge(
            "milletsill_planner_epoch", "The epoch of this run", registry=registry
        )

    def set_epoch(self, epoch: int) -> None:
        """Set the epoch of this run."""
        self._epoch.set(epoch)

    def update(self, planner: QuotaPlanner, gateways: int, now: int) -> None:
        """Set the gauges, and add the requests since the last update."""
        self._gateways.set(gateways)
        self._quotas.set(len(planner.quotas))
        granted = sum(
            share.granted(now)
            for quota in planner.quotas.values()
            for share in quota.shares.values()
        )
        self._granted.set(granted / WHOLE)
        self._requests.labels("asks").inc(self.requests)
        self._requests.labels("senseless").inc(self.invalid_requests)
        self.requests = 0
        self.invalid_requests = 0

    def on_loop_lag(self, seconds: float) -> None:
        """Observe how late the event loop was."""
        self._lag.observe(seconds)
