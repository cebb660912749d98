"""Cases of the lease model that chance meets seldom.

Each returns what went wrong, None for nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from milletsill.lab.model_checks.lease_cluster import TIMINGS, LeaseCluster
from milletsill.lab.model_checks.lease_cluster_members import RestartKind
from milletsill.lab.model_checks.lease_walk import copy_records

_ALL = ("r0", "r1", "r2")


def _reach(
    cluster: LeaseCluster,
    holder: str,
    reach: tuple[str, ...],
    event: Callable[[str], None],
) -> None:
    """Have a holder do one thing with some acceptors and no others."""
    event(holder)
    for _ in range(3):
        cluster.exchange(holder, reach)
    cluster.in_flight = []


def _pass_lease(cluster: LeaseCluster) -> None:
    cluster.pass_time(TIMINGS.lease_duration * 12 // 10)


def _announce_all(cluster: LeaseCluster) -> None:
    for each in cluster.acceptors:
        cluster.announce(each)
    cluster.settle()


def _lose_and_recover(cluster: LeaseCluster, acceptor: str) -> None:
    cluster.restart_acceptor(acceptor, RestartKind.LOST)
    copy_records(cluster, acceptor)
    cluster.pass_time(TIMINGS.recovery_wait() * 12 // 10)
    copy_records(cluster, acceptor)


def copied() -> str | None:
    """A write that only one acceptor took is copied by another that recovers.

    That one had let a later ballot in: it looks as if two had accepted the write.
    """
    cluster = LeaseCluster(3, 3)
    _reach(cluster, "k0", _ALL, cluster.acquire)
    _reach(cluster, "k0", _ALL, cluster.write)
    _pass_lease(cluster)
    _reach(cluster, "k1", ("r1", "r2"), cluster.acquire)
    _announce_all(cluster)
    _reach(cluster, "k0", ("r0",), cluster.write)
    _lose_and_recover(cluster, "r1")
    _pass_lease(cluster)
    _reach(cluster, "k2", ("r0", "r1"), cluster.acquire)
    _reach(cluster, "k1", ("r2",), cluster.write)
    _pass_lease(cluster)
    _reach(cluster, "k0", ("r0", "r2"), cluster.acquire)
    return cluster.history.violation


def twice() -> str | None:
    """A gateway drops a proposer whose write one acceptor took, and acquires anew."""
    cluster = LeaseCluster(3, 2)
    _reach(cluster, "k0", _ALL, cluster.acquire)
    _reach(cluster, "k0", ("r0",), cluster.write)
    _pass_lease(cluster)
    cluster.drop_proposer("k0")
    _reach(cluster, "k0", ("r1", "r2"), cluster.acquire)
    _reach(cluster, "k0", ("r1", "r2"), cluster.write)
    _pass_lease(cluster)
    _reach(cluster, "k1", ("r0", "r1"), cluster.acquire)
    return cluster.history.violation


def fenced() -> str | None:
    """One acceptor removes an idle record that another is about to copy.

    The other knew what it knew and is lost; it copies from a third that lags.
    """
    cluster = LeaseCluster(3, 2)
    idle_after = 6 * TIMINGS.lease_duration
    cluster.history.idle_after = idle_after
    _reach(cluster, "k0", _ALL, cluster.acquire)
    _reach(cluster, "k0", _ALL, cluster.write)
    _pass_lease(cluster)
    _reach(cluster, "k1", ("r1", "r2"), cluster.acquire)
    _reach(cluster, "k1", ("r1", "r2"), cluster.write)
    _announce_all(cluster)
    cluster.pass_time(idle_after * 12 // 10)
    cluster.remove_idle("r2")
    _lose_and_recover(cluster, "r1")
    _reach(cluster, "k0", ("r0", "r1"), cluster.write)
    return cluster.history.violation


CASES = (copied, twice, fenced)
