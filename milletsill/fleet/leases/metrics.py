"""Metrics of lease holders and of acceptors."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from milletsill.fleet.leases.acceptor_recovery import RecoveryStatus
from milletsill.fleet.leases.messages import ReplyStatus

DURATION_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)
BATCH_BUCKETS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000)

# Label values; dashboards use them.
REPLY_LABELS = {
    ReplyStatus.GRANTED: "yes",
    ReplyStatus.BALLOT_TOO_LOW: "lower",
    ReplyStatus.LEASE_HELD: "held",
    ReplyStatus.UNAVAILABLE: "away",
}
STATUS_LABELS = {
    RecoveryStatus.VERIFYING: "joining",
    RecoveryStatus.SERVING: "whole",
    RecoveryStatus.WAITING: "waiting",
    RecoveryStatus.CATCHING_UP: "gathering",
}


class LeaseMetrics:
    """Metrics of a gateway that acquires leases."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.held = Gauge(
            "milletsill_offices_held",
            "Leases that this gateway holds",
            registry=registry,
        )
        self.pending = Gauge(
            "milletsill_offices_pending",
            "Rounds of requests to the acceptors that are in progress",
            registry=registry,
        )
        self.acquisitions = Counter(
            "milletsill_offices_takes",
            "Acquisitions and renewals of a lease by result",
            ("fate",),
            registry=registry,
        )
        self.writes = Counter(
            "milletsill_offices_writes",
            "Writes of a lease's record by result",
            ("fate",),
            registry=registry,
        )
        self.write_seconds = Histogram(
            "milletsill_offices_write_seconds",
            "Time from sending a record until a majority accepted it",
            buckets=DURATION_BUCKETS,
            registry=registry,
        )
        self.unsent = Counter(
            "milletsill_offices_unsent",
            "Requests that could not be sent to an acceptor",
            registry=registry,
        )
        self.unreadable = Counter(
            "milletsill_offices_unreadable",
            "Messages of other gateways that could not be decoded",
            registry=registry,
        )


class AcceptorMetrics:
    """Metrics of an acceptor."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.status = Gauge(
            "milletsill_register_standing",
            "1 for the acceptor's recovery status",
            ("standing",),
            registry=registry,
        )
        self.replies = Counter(
            "milletsill_register_answers",
            "Replies to requests by status",
            ("say",),
            registry=registry,
        )
        self.records = Gauge(
            "milletsill_register_channels",
            "Leases of which the acceptor has a record",
            registry=registry,
        )
        self.commits = Counter(
            "milletsill_register_commits",
            "Commits to the acceptor's file",
            registry=registry,
        )
        self.commit_seconds = Histogram(
            "milletsill_register_commit_seconds",
            "Duration of a batch: reads, one commit and its sync to disk",
            buckets=DURATION_BUCKETS,
            registry=registry,
        )
        self.batch = Histogram(
            "milletsill_register_batch",
            "Requests in a batch",
            buckets=BATCH_BUCKETS,
            registry=registry,
        )
        self.waiting = Gauge(
            "milletsill_register_waiting",
            "Requests that wait for a batch",
            registry=registry,
        )
        self.dropped = Counter(
            "milletsill_register_dropped",
            "Requests that were dropped or failed, by cause",
            ("cause",),
            registry=registry,
        )
        self.removed = Counter(
            "milletsill_register_forgotten",
            "Records of idle leases that were removed",
            registry=registry,
        )

    def show_status(self, current: RecoveryStatus | None) -> None:
        """Set the gauge of each status; None if the acceptor is not running."""
        for status, label in STATUS_LABELS.items():
            self.status.labels(label).set(status is current)
