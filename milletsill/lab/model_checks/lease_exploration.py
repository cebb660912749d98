"""Every order of events of a small lease cluster, up to a depth."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from functools import partial

from milletsill.fleet.leases.proposer_table import ProposerState
from milletsill.lab.model_checks.lease_cluster import LeaseCluster
from milletsill.lab.model_checks.lease_cluster_members import MemberFault, RestartKind

Move = Callable[[LeaseCluster], None]
Moves = Callable[[LeaseCluster], dict[str, Move]]

_RESTART_FAULTS = {
    RestartKind.KEPT: MemberFault.RESTART,
    RestartKind.ROLLED_BACK: MemberFault.ROLL_BACK,
    RestartKind.LOST: MemberFault.LOSE_STATE,
}


class Opening(Enum):
    """Where an exploration begins.

    NOTHING; a holder that WRITTEN at two of three acceptors; one whose write reached
    only one of them and is INDETERMINATE.
    """

    NOTHING = auto()
    WRITTEN = auto()
    INDETERMINATE = auto()


@dataclass(frozen=True, slots=True)
class LeaseExploration:
    """What an exploration came to.

    Attributes:
        clusters: How many different clusters were looked at.
        depth: The depth up to which every order was looked at.
        violation: The events that led to something wrong, and what; None for nothing.
    """

    clusters: int
    depth: int
    violation: str | None


def single_events(cluster: LeaseCluster) -> dict[str, Move]:
    """Return what may happen next, message by message."""
    return {
        **_holder_events(cluster),
        **_deliveries(cluster),
        **_restarts(cluster),
        "time": lambda c: c.pass_time(c.timings.lease_duration // 2),
    }


def _holder_events(cluster: LeaseCluster) -> dict[str, Move]:
    found: dict[str, Move] = {}
    for name, each in cluster.holders.items():
        state = each.proposer.state
        if state in (ProposerState.IDLE, ProposerState.HOLDING):
            found[f"{name} acquires"] = partial(_acquire, name=name)
        if state is ProposerState.HOLDING:
            found[f"{name} writes"] = partial(_write, name=name)
            found[f"{name} releases"] = partial(_release, name=name)
        if cluster.budget[MemberFault.RESTART_HOLDER]:
            found[f"{name} starts anew"] = partial(_restart_holder, name=name)
    return found


def _deliveries(cluster: LeaseCluster) -> dict[str, Move]:
    found: dict[str, Move] = {}
    for place, message in enumerate(cluster.in_flight):
        what = f"{message.sender}>{message.to} {place}"
        found[what] = partial(_deliver, place=place)
        if cluster.budget[MemberFault.DUPLICATE]:
            found[f"{what} twice"] = partial(_duplicate, place=place)
    return found


def _restarts(cluster: LeaseCluster) -> dict[str, Move]:
    found: dict[str, Move] = {}
    for name in cluster.acceptors:
        for kind, fault in _RESTART_FAULTS.items():
            if cluster.budget[fault]:
                what = f"{name} {kind.name.lower()}"
                found[what] = partial(_restart, name=name, kind=kind)
    return found


def whole_exchanges(cluster: LeaseCluster) -> dict[str, Move]:
    """Return what may happen next, a whole exchange with some acceptors at a time.

    The rest of the messages is lost: that goes deeper, but is less fine.
    """
    found: dict[str, Move] = {}
    names = tuple(cluster.acceptors)
    reaches = (names[:2], names[1:3], names[2:3], names[:1])
    for name, each in cluster.holders.items():
        is_holding = each.proposer.state is ProposerState.HOLDING
        for reach in reaches:
            events = {"acquires": _acquire}
            if is_holding:
                events |= {"writes": _write, "releases": _release}
            for what, event in events.items():
                found[f"{name} {what} at {'+'.join(reach)}"] = partial(
                    _exchange, name=name, event=event, reach=reach
                )
    for name in names:
        if cluster.budget[MemberFault.RESTART]:
            found[f"{name} kept"] = partial(_restart_and_settle, name=name)
    found["call over"] = lambda c: c.pass_time(c.timings.call_timeout * 51 // 50)
    found["time"] = lambda c: c.pass_time(c.timings.lease_duration * 99 // 100)
    return found


def _acquire(cluster: LeaseCluster, name: str) -> None:
    cluster.acquire(name)


def _write(cluster: LeaseCluster, name: str) -> None:
    cluster.write(name)


def _release(cluster: LeaseCluster, name: str) -> None:
    cluster.release(name)


def _restart_holder(cluster: LeaseCluster, name: str) -> None:
    cluster.budget[MemberFault.RESTART_HOLDER] -= 1
    cluster.restart_holder(name)


def _deliver(cluster: LeaseCluster, place: int) -> None:
    cluster.deliver(place, False)


def _duplicate(cluster: LeaseCluster, place: int) -> None:
    cluster.budget[MemberFault.DUPLICATE] -= 1
    cluster.deliver(place, True)


def _restart(cluster: LeaseCluster, name: str, kind: RestartKind) -> None:
    cluster.budget[_RESTART_FAULTS[kind]] -= 1
    cluster.restart_acceptor(name, kind)


def _restart_and_settle(cluster: LeaseCluster, name: str) -> None:
    _restart(cluster, name, RestartKind.KEPT)
    cluster.settle()


def _exchange(
    cluster: LeaseCluster,
    name: str,
    event: Callable[[LeaseCluster, str], None],
    reach: tuple[str, ...],
) -> None:
    """Have one exchange, and nothing of it later."""
    event(cluster, name)
    cluster.exchange(name, reach)
    cluster.in_flight = []


def open_cluster(opening: Opening) -> LeaseCluster:
    """Return the cluster with which an exploration begins."""
    cluster = LeaseCluster(3, 2)
    if opening is not Opening.NOTHING:
        cluster.acquire("k0")
        cluster.exchange("k0", ("r0", "r1"))
        cluster.write("k0")
        is_written = opening is Opening.WRITTEN
        cluster.exchange("k0", ("r0", "r1") if is_written else ("r0",))
        for name in cluster.acceptors:
            cluster.announce(name)
        cluster.settle()
        cluster.in_flight = []
    if opening is Opening.INDETERMINATE:
        cluster.pass_time(cluster.timings.call_timeout * 51 // 50)
        cluster.in_flight = []
    return cluster


def explore(
    opening: Opening, depth: int, limit: int, moves: Moves = single_events
) -> LeaseExploration:
    """Go through every order of events, clusters that are alike once.

    Args:
        opening: Where to begin.
        depth: How many events to go through at most.
        limit: How many clusters to look at, at most.
        moves: What may happen next.
    """
    first = open_cluster(opening)
    seen = {first.key()}
    path: tuple[str, ...] = ()
    layer = [(first, path)]
    count = 1
    for level in range(depth):
        following: list[tuple[LeaseCluster, tuple[str, ...]]] = []
        for cluster, path in layer:
            for name, move in moves(cluster).items():
                made = cluster.copy()
                move(made)
                violation = made.history.violation
                if violation:
                    events = ", ".join((*path, name))
                    return LeaseExploration(count, level, f"{events}: {violation}")
                key = made.key()
                if key in seen:
                    continue
                seen.add(key)
                count += 1
                if count >= limit:
                    return LeaseExploration(count, level, None)
                following.append((made, (*path, name)))
        layer = following
    return LeaseExploration(count, depth, None)
