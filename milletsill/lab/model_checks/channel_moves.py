"""The possible next events of a simulated cluster, by name."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.lab.model_checks.channel_gateway import (
    LEASE_SPAN,
    QUARANTINE,
    SimulatedGateway,
)
from milletsill.lab.model_checks.channel_simulation import (
    ModelledAttempt,
    SimulatedCluster,
)
from milletsill.sftp import channel_extensions as wire

MAX_OUTSTANDING = 2
"""Largest number of unanswered commands with one number."""

FATES = ("done", "lost", "unheard")
TIME_STEPS = (24, QUARANTINE + 20, LEASE_SPAN // 2, LEASE_SPAN + 60)
RESOLUTIONS = (
    ("done", wire.Resolution.DONE),
    ("not done", wire.Resolution.NOT_DONE),
    ("skipped", wire.Resolution.SKIPPED),
)
RESOLVING_GATEWAYS = 2

Moves = dict[str, Callable[[], None]]


class EventPlayer:
    """Runs events by name in a cluster.

    Attributes:
        cluster: The cluster.
        budget: How many more events may be run whose name contains a key; events that
            match no key are unlimited.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.budget: dict[str, int] = {}

    def do(self, name: str) -> bool:
        """Run one event by name; return False if it is not possible."""
        move = moves_of(self.cluster).get(name)
        if move is None:
            return False
        self.cluster.events += 1
        for word in self.budget:
            self.budget[word] -= word in name
        move()
        return True

    def moves_within_budget(self) -> list[str]:
        """Return the names of the possible events that the budget allows."""
        spent = [word for word, left in self.budget.items() if left <= 0]
        return [
            name
            for name in moves_of(self.cluster)
            if not any(word in name for word in spent)
        ]

    def fingerprint(self) -> Any:
        """Return a key that is equal for clusters and budgets in equal states."""
        return self.cluster.fingerprint(), tuple(self.budget.values())


def moves_of(cluster: SimulatedCluster) -> Moves:
    """Return all possible next events, in a fixed order."""
    moves: Moves = {}
    for index, gateway in enumerate(cluster.gateways):
        _add_client_moves(moves, cluster, gateway)
        _add_gateway_moves(moves, cluster, gateway)
        moves[f"{gateway.name} killed"] = partial(cluster.kill, index)
    for index, dispatch in enumerate(cluster.dispatches):
        _add_dispatch_moves(moves, cluster, index, dispatch)
    for number in sorted(cluster.reported_failed):
        for name, resolution in RESOLUTIONS:
            for gateway in cluster.gateways[:RESOLVING_GATEWAYS]:
                moves[f"resolve {number} {name} at {gateway.name}"] = partial(
                    cluster.resolve, gateway, number, resolution
                )
    for number in sorted(cluster.rejected):
        moves[f"{number} changes content"] = partial(cluster.change_content, number)
    for span in TIME_STEPS:
        moves[f"time {span}"] = partial(cluster.pass_time, span)
    return moves


def _add_client_moves(
    moves: Moves, cluster: SimulatedCluster, gateway: SimulatedGateway
) -> None:
    moves[f"{gateway.name} opens"] = partial(cluster.open, gateway)
    claim = cluster.claim
    for number in range(1, cluster.numbers + 1):
        if cluster.outstanding.get(number, 0) >= MAX_OUTSTANDING:
            continue
        if claim:
            moves[f"{number} to {gateway.name}"] = partial(
                cluster.send, gateway, number, claim
            )
        if claim > 1:
            moves[f"{number} to {gateway.name} under the previous claim"] = partial(
                cluster.send, gateway, number, claim - 1
            )


def _add_gateway_moves(
    moves: Moves, cluster: SimulatedCluster, gateway: SimulatedGateway
) -> None:
    if gateway.pending:
        for fate in FATES:
            moves[f"{gateway.name} acceptors {fate}"] = partial(
                cluster.settle, gateway, fate
            )
    if gateway.queue:
        moves[f"{gateway.name} dispatches"] = partial(cluster.dispatch, gateway)
    if gateway.has_due_timer():
        moves[f"{gateway.name} timers fire"] = gateway.fire_due_timers


def _add_dispatch_moves(
    moves: Moves, cluster: SimulatedCluster, index: int, dispatch: ModelledAttempt
) -> None:
    if cluster.now <= dispatch.runs_until:
        moves[f"node runs {index}"] = partial(cluster.run, dispatch)
    if dispatch.is_over:
        return
    if dispatch.is_answered:
        moves[f"answer {index}"] = partial(cluster.end, dispatch, NumberEvent.SETTLED)
    if dispatch.gateway.now() >= dispatch.attempt.deadline:
        moves[f"time-out {index}"] = partial(cluster.time_out, dispatch)
