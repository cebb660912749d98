"""Explores every order of events of a small lease cluster up to a depth."""

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


class StartingPoint(Enum):
    """The state of the cluster at the start of an exploration.

    NOTHING: no event has happened. WRITTEN: a holder has written at two of three
    acceptors. INDETERMINATE: a holder's write reached only one acceptor.
    """

    NOTHING = auto()
    WRITTEN = auto()
    INDETERMINATE = auto()


@dataclass(frozen=True, slots=True)
class LeaseExploration:
    """The result of an exploration.

    Attributes:
        clusters: Number of distinct cluster states.
        depth: Depth up to which every order of events was run.
        violation: The first violation and the events that led to it, if any.
    """

    clusters: int
    depth: int
    violation: str | None


def single_events(cluster: LeaseCluster) -> dict[str, Move]:
    """Return the possible next events, with single messages."""
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
            found[f"{name} restarts"] = partial(_restart_holder, name=name)
    return found


def _deliveries(cluster: LeaseCluster) -> dict[str, Move]:
    found: dict[str, Move] = {}
    for index, message in enumerate(cluster.in_flight):
        what = f"{message.sender}>{message.to} {index}"
        found[what] = partial(_deliver, index=index)
        if cluster.budget[MemberFault.DUPLICATE]:
            found[f"{what} twice"] = partial(_duplicate, index=index)
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
    """Return the possible next events, each a whole exchange with some acceptors.

    All other messages are lost. This explores longer histories than single messages,
    but fewer interleavings.
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


def _deliver(cluster: LeaseCluster, index: int) -> None:
    cluster.deliver(index, False)


def _duplicate(cluster: LeaseCluster, index: int) -> None:
    cluster.budget[MemberFault.DUPLICATE] -= 1
    cluster.deliver(index, True)


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
    """Run one exchange, and drop the messages that are left."""
    event(cluster, name)
    cluster.exchange(name, reach)
    cluster.in_flight = []


def starting_cluster(start: StartingPoint) -> LeaseCluster:
    """Return the cluster at the start of an exploration."""
    cluster = LeaseCluster(3, 2)
    if start is not StartingPoint.NOTHING:
        cluster.acquire("k0")
        cluster.exchange("k0", ("r0", "r1"))
        cluster.write("k0")
        is_written = start is StartingPoint.WRITTEN
        cluster.exchange("k0", ("r0", "r1") if is_written else ("r0",))
        for name in cluster.acceptors:
            cluster.announce(name)
        cluster.settle()
        cluster.in_flight = []
    if start is StartingPoint.INDETERMINATE:
        cluster.pass_time(cluster.timings.call_timeout * 51 // 50)
        cluster.in_flight = []
    return cluster


def explore(
    start: StartingPoint, depth: int, limit: int, moves: Moves = single_events
) -> LeaseExploration:
    """Run every order of events; visit equal cluster states once.

    Args:
        start: The state at the start.
        depth: Largest number of events.
        limit: Number of cluster states at which the exploration stops.
        moves: Returns the possible next events.
    """
    first = starting_cluster(start)
    seen = {first.key()}
    path: tuple[str, ...] = ()
    layer = [(first, path)]
    count = 1
    for level in range(depth):
        next_layer: list[tuple[LeaseCluster, tuple[str, ...]]] = []
        for cluster, path in layer:
            for name, move in moves(cluster).items():
                successor = cluster.copy()
                move(successor)
                violation = successor.history.violation
                if violation:
                    events = ", ".join((*path, name))
                    return LeaseExploration(count, level, f"{events}: {violation}")
                key = successor.key()
                if key in seen:
                    continue
                seen.add(key)
                count += 1
                if count >= limit:
                    return LeaseExploration(count, level, None)
                next_layer.append((successor, (*path, name)))
        layer = next_layer
    return LeaseExploration(count, depth, None)
