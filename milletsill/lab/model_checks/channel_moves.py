"""The events of a simulated cluster, by name: which may happen next, one at a time."""

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
"""Commands of one number that a client has out at once."""

FATES = ("done", "lost", "unheard")
TIME_STEPS = (24, QUARANTINE + 20, LEASE_SPAN // 2, LEASE_SPAN + 60)
RESOLUTIONS = (
    ("done", wire.Resolution.DONE),
    ("again", wire.Resolution.NOT_DONE),
    ("left out", wire.Resolution.SKIPPED),
)
RESOLVING_GATEWAYS = 2

Moves = dict[str, Callable[[], None]]


class EventPlayer:
    """Lets events happen in a cluster.

    Attributes:
        cluster: The cluster.
        budget: How often events with such a word in their name may still happen, where
            that is bounded.
    """

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.budget: dict[str, int] = {}

    def do(self, name: str) -> bool:
        """Let one event happen, by name; False where it cannot."""
        move = moves_of(self.cluster).get(name)
        if move is None:
            return False
        self.cluster.events += 1
        for word in self.budget:
            self.budget[word] -= word in name
        move()
        return True

    def moves_within_budget(self) -> list[str]:
        """Names of the events that the budget still bears."""
        spent = [word for word, left in self.budget.items() if left <= 0]
        return [
            name
            for name in moves_of(self.cluster)
            if not any(word in name for word in spent)
        ]

    def fingerprint(self) -> Any:
        """The same for clusters that go on alike within their budgets."""
        return self.cluster.fingerprint(), tuple(self.budget.values())


def moves_of(cluster: SimulatedCluster) -> Moves:
    """All events that may happen next; always in the same order."""
    moves: Moves = {}
    for place, gateway in enumerate(cluster.gateways):
        _add_client_moves(moves, cluster, gateway)
        _add_gateway_moves(moves, cluster, gateway)
        moves[f"{gateway.name} killed"] = partial(cluster.kill, place)
    for place, dispatch in enumerate(cluster.dispatches):
        _add_dispatch_moves(moves, cluster, place, dispatch)
    for number in sorted(cluster.reported_failed):
        for name, resolution in RESOLUTIONS:
            for gateway in cluster.gateways[:RESOLVING_GATEWAYS]:
                moves[f"resolve {number} {name} at {gateway.name}"] = partial(
                    cluster.resolve, gateway, number, resolution
                )
    for number in sorted(cluster.rejected):
        moves[f"{number} becomes another"] = partial(cluster.change_content, number)
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
            moves[f"{number} to {gateway.name} under the claim before"] = partial(
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
    moves: Moves, cluster: SimulatedCluster, place: int, dispatch: ModelledAttempt
) -> None:
    if cluster.now <= dispatch.runs_until:
        moves[f"node runs {place}"] = partial(cluster.run, dispatch)
    if dispatch.is_over:
        return
    if dispatch.is_answered:
        moves[f"answer {place}"] = partial(cluster.end, dispatch, NumberEvent.SETTLED)
    if dispatch.gateway.now() >= dispatch.attempt.deadline:
        moves[f"time-out {place}"] = partial(cluster.time_out, dispatch)
