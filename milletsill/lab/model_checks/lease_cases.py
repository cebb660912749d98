"""Scripted cases of the lease model that random walks rarely reach.

Each case returns the first violation, or None.
"""

from __future__ import annotations

from collections.abc import Callable

from milletsill.lab.model_checks.lease_cluster import TIMINGS, LeaseCluster
from milletsill.lab.model_checks.lease_cluster_members import RestartKind
from milletsill.lab.model_checks.lease_walk import continue_recovery

_ALL = ("r0", "r1", "r2")


def _reach(
    cluster: LeaseCluster,
    holder: str,
    reach: tuple[str, ...],
    event: Callable[[str], None],
) -> None:
    """Run one event of a holder, with messages to and from some acceptors only."""
    event(holder)
    for _ in range(3):
        cluster.exchange(holder, reach)
    cluster.in_flight = []


def _let_lease_expire(cluster: LeaseCluster) -> None:
    cluster.pass_time(TIMINGS.lease_duration * 12 // 10)


def _announce_all(cluster: LeaseCluster) -> None:
    for each in cluster.acceptors:
        cluster.announce(each)
    cluster.settle()


def _lose_and_recover(cluster: LeaseCluster, acceptor: str) -> None:
    cluster.restart_acceptor(acceptor, RestartKind.LOST)
    continue_recovery(cluster, acceptor)
    cluster.pass_time(TIMINGS.recovery_wait() * 12 // 10)
    continue_recovery(cluster, acceptor)


def copied_record_is_no_vote() -> str | None:
    """A recovering acceptor copies a write that only one other acceptor accepted.

    The recovering acceptor had promised a higher ballot. If the copy counted as a vote,
    two acceptors would seem to have accepted the write.
    """
    cluster = LeaseCluster(3, 3)
    _reach(cluster, "k0", _ALL, cluster.acquire)
    _reach(cluster, "k0", _ALL, cluster.write)
    _let_lease_expire(cluster)
    _reach(cluster, "k1", ("r1", "r2"), cluster.acquire)
    _announce_all(cluster)
    _reach(cluster, "k0", ("r0",), cluster.write)
    _lose_and_recover(cluster, "r1")
    _let_lease_expire(cluster)
    _reach(cluster, "k2", ("r0", "r1"), cluster.acquire)
    _reach(cluster, "k1", ("r2",), cluster.write)
    _let_lease_expire(cluster)
    _reach(cluster, "k0", ("r0", "r2"), cluster.acquire)
    return cluster.history.violation


def dropped_proposer_reuses_no_ballot() -> str | None:
    """A gateway drops a proposer after a write at one acceptor, and acquires again."""
    cluster = LeaseCluster(3, 2)
    _reach(cluster, "k0", _ALL, cluster.acquire)
    _reach(cluster, "k0", ("r0",), cluster.write)
    _let_lease_expire(cluster)
    cluster.drop_proposer("k0")
    _reach(cluster, "k0", ("r1", "r2"), cluster.acquire)
    _reach(cluster, "k0", ("r1", "r2"), cluster.write)
    _let_lease_expire(cluster)
    _reach(cluster, "k1", ("r0", "r1"), cluster.acquire)
    return cluster.history.violation


def removed_record_keeps_its_floor() -> str | None:
    """One acceptor removes an idle record that another then copies in an old version.

    The other acceptor had the same record, loses its state, and copies the records of a
    third acceptor that lacks the last write.
    """
    cluster = LeaseCluster(3, 2)
    idle_after = 6 * TIMINGS.lease_duration
    cluster.history.idle_after = idle_after
    _reach(cluster, "k0", _ALL, cluster.acquire)
    _reach(cluster, "k0", _ALL, cluster.write)
    _let_lease_expire(cluster)
    _reach(cluster, "k1", ("r1", "r2"), cluster.acquire)
    _reach(cluster, "k1", ("r1", "r2"), cluster.write)
    _announce_all(cluster)
    cluster.pass_time(idle_after * 12 // 10)
    cluster.remove_idle("r2")
    _lose_and_recover(cluster, "r1")
    _reach(cluster, "k0", ("r0", "r1"), cluster.write)
    return cluster.history.violation


CASES = (
    copied_record_is_no_vote,
    dropped_proposer_reuses_no_ballot,
    removed_record_keeps_its_floor,
)
