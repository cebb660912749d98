"""What a gateway's metrics say of offices and of its register."""

from __future__ import annotations

from typing import Any

from prometheus_client import Counter, Gauge, Histogram

BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)


class Figures:
    """Of the keeper's side, on each gateway; `register` where there is one."""

    def __init__(self, registry: Any) -> None:
        self.registry = registry
        self.held = Gauge(
            "milletsill_offices_held",
            "Channels whose office this gateway has",
            registry=registry,
        )
        self.pending = Gauge(
            "milletsill_offices_pending",
            "Calls to registers that are under way",
            registry=registry,
        )
        self.takes = Counter(
            "milletsill_offices_takes",
            "Takings and renewals of an office by how they ended",
            ("fate",),
            registry=registry,
        )
        self.writes = Counter(
            "milletsill_offices_writes",
            "Writes of a channel's record by how they ended",
            ("fate",),
            registry=registry,
        )
        self.write_seconds = Histogram(
            "milletsill_offices_write_seconds",
            "From the send of a record until a majority had it",
            buckets=BUCKETS,
            registry=registry,
        )
        self.unsent = Counter(
            "milletsill_offices_unsent",
            "Calls that could not be sent to a register",
            registry=registry,
        )
        self.unreadable = Counter(
            "milletsill_offices_unreadable",
            "Bodies from others that are no frames of ours",
            registry=registry,
        )


class RegisterFigures:
    """Of a register."""

    def __init__(self, registry: Any) -> None:
        self.standing = Gauge(
            "milletsill_register_standing",
            "1 for what the register is",
            ("standing",),
            registry=registry,
        )
        self.said = Counter(
            "milletsill_register_answers",
            "Answers to calls by what was said",
            ("say",),
            registry=registry,
        )
        self.channels = Gauge(
            "milletsill_register_channels",
            "Channels that the register has a record of",
            registry=registry,
        )
        self.commits = Counter(
            "milletsill_register_commits",
            "Commits to the register's file",
            registry=registry,
        )
        self.commit_seconds = Histogram(
            "milletsill_register_commit_seconds",
            "One round: reads, one commit, its sync",
            buckets=BUCKETS,
            registry=registry,
        )
        self.batch = Histogram(
            "milletsill_register_batch",
            "Calls of one round",
            buckets=(1, 2, 5, 10, 20, 50, 100, 200, 500, 1000),
            registry=registry,
        )
        self.waiting = Gauge(
            "milletsill_register_waiting",
            "Calls that wait for the next round",
            registry=registry,
        )
        self.dropped = Counter(
            "milletsill_register_dropped",
            "Calls left without an answer by cause",
            ("cause",),
            registry=registry,
        )
        self.forgotten = Counter(
            "milletsill_register_forgotten",
            "Records of silent channels that were let go",
            registry=registry,
        )
