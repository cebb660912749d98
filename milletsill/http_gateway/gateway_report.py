"""Periodic log reports of a gateway: event counts, and the state of each used node."""

from __future__ import annotations

import resource
from collections import Counter
from collections.abc import Mapping
from typing import Any, Protocol

from milletsill.http_gateway.node_pools import HttpNodePools
from milletsill.scheduler.records import StorageNode

MAX_VALUE_LENGTH = 60
MAX_WARNINGS = 20  # log lines between two reports


class EventLog(Protocol):
    """Logs events."""

    def info(self, event: str, **values: Any) -> None:
        """Log an ordinary event."""

    def warning(self, event: str, **values: Any) -> None:
        """Log an event that an operator should look at."""


class GatewayReport:
    """Counts events by name and value, and limits the warnings between two reports."""

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.counts: Counter[tuple[str, str]] = Counter()
        self.warnings = 0
        self.max_lateness = 0

    def count(self, event: str, *values: Any) -> None:
        """Count an event by its name and its first value."""
        value = str(values[0])[:MAX_VALUE_LENGTH] if values else ""
        self.counts[event, value] += 1

    def warn(self, event: str, **values: Any) -> None:
        """Log a warning, at most `MAX_WARNINGS` between two reports."""
        self.warnings += 1
        if self.warnings <= MAX_WARNINGS:
            self.log.warning(event, **values)

    def note_lateness(self, late: int) -> None:
        """Record the greatest lateness of the reactor, in tenths of a millisecond."""
        self.max_lateness = max(self.max_lateness, late)

    def log_counts(self, unanswered: int, clients: int, node_connections: int) -> None:
        """Log the counts since the last report, and reset them."""
        counts = {
            " ".join(filter(None, each)): count
            for each, count in sorted(self.counts.items())
        }
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.log.info(
            "tally",
            held=unanswered,
            clients=clients,
            links=node_connections,
            late_ms=self.max_lateness / 10,
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            peak_mb=usage.ru_maxrss // 1024,
            unsaid=max(self.warnings - MAX_WARNINGS, 0),
            **counts,
        )
        self.counts.clear()
        self.max_lateness = 0
        self.warnings = 0

    def log_nodes(
        self, nodes: Mapping[int, StorageNode], node_pools: HttpNodePools
    ) -> None:
        """Log the scheduler's state and the connections of each node in use."""
        for number, pool in node_pools.pools.items():
            node = nodes.get(number)
            if node is None:
                continue
            if pool.connections or pool.waiting or node.by_key or node.failures:
                self.log.info(
                    "node",
                    id=pool.name,
                    health=node.health.name,
                    out=len(node.in_flight),
                    held=len(node.by_key),
                    window=round(node.window, 1),
                    lapses=node.failures,
                    latency_ms=round((node.latency or 0) / 10),
                    pace_ms=round(node.unit_latency / 10),
                    best_ms=round(node.usual_unit_latency / 10),
                    links=len(pool.connections),
                    free=len(pool.idle),
                    waiting=len(pool.waiting),
                )
