"""Seeded random walks in a lease cluster whose clocks drift."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from milletsill.fleet.leases import ballot
from milletsill.fleet.leases.acceptor_recovery import RecoveryStatus
from milletsill.fleet.leases.proposer_table import ProposerState
from milletsill.lab.model_checks.lease_cluster import TIMINGS, LeaseCluster
from milletsill.lab.model_checks.lease_cluster_members import PageQuery, RestartKind

_DURATIONS = (20, 200, 1_000, 1_000, 2_400, 2_600, 5_000, 9_500)


@dataclass(frozen=True, slots=True)
class WalkResult:
    """The result of a walk.

    Attributes:
        steps: Number of steps made.
        violation: The first violation, if any.
        writes: Number of writes started.
    """

    steps: int
    violation: str | None
    writes: int


def continue_recovery(cluster: LeaseCluster, name: str) -> None:
    """Repeat the queries of a recovering acceptor, as it does periodically."""
    recovery = cluster.acceptors[name].recovery
    if recovery is None:
        return
    if recovery.status is RecoveryStatus.CATCHING_UP:
        for other in recovery.others:
            cluster.send(other, name, PageQuery())
    else:
        cluster.query_known_identity(name)
    cluster.settle()


class LeaseWalk:
    """One random walk in its own cluster."""

    def __init__(self, acceptors: int, holders: int, seed: int) -> None:
        self.seed = seed
        self.random = Random(seed)
        drift = TIMINGS.drift_permille
        rates = tuple(
            self.random.choice((-drift, drift)) for _ in range(acceptors + holders)
        )
        self.cluster = LeaseCluster(acceptors, holders, rates)
        history = self.cluster.history
        history.idle_after = self.random.choice((0, 6 * TIMINGS.lease_duration))
        self.holders = tuple(self.cluster.holders)
        self.acceptors = tuple(self.cluster.acceptors)
        if self.random.random() < 0.3:
            self._give_two_holders_one_name()

    def _give_two_holders_one_name(self) -> None:
        holders = self.cluster.holders
        first = holders[self.holders[0]].proposer
        holders[self.holders[1]].proposer.gateway = first.gateway

    def run(self, steps: int) -> WalkResult:
        """Make steps until a check fails."""
        cluster = self.cluster
        for step in range(steps):
            self._step()
            violation = cluster.history.violation
            if violation:
                what = f"seed {self.seed}, step {step}: {violation}"
                return WalkResult(step, what, cluster.written)
        return WalkResult(steps, None, cluster.written)

    def _step(self) -> None:
        holder = self.random.choice(self.holders)
        acceptor = self.random.choice(self.acceptors)
        moves = [*self._holder_moves(holder), *self._other_moves(holder, acceptor)]
        weights = [weight for weight, _ in moves]
        self.random.choices([move for _, move in moves], weights)[0]()

    def _holder_moves(self, holder: str) -> list[tuple[float, Callable[[], None]]]:
        cluster = self.cluster
        return [
            (0.08, lambda: cluster.acquire(holder)),
            (0.08, lambda: self._acquire_at_once(holder)),
            (0.06, lambda: self._write(holder)),
            (0.14, lambda: self._write_at_once(holder)),
            (0.30, self._deliver),
            (0.03, lambda: cluster.resend(holder)),
            (0.03, lambda: self._release_at_once(holder)),
            (0.12, lambda: cluster.pass_time(self.random.choice(_DURATIONS))),
        ]

    def _other_moves(
        self, holder: str, acceptor: str
    ) -> list[tuple[float, Callable[[], None]]]:
        cluster = self.cluster
        return [
            (0.04, lambda: self._acquire_when_free(holder, acceptor)),
            (0.03, self._announce_all),
            (0.02, lambda: cluster.restart_holder(holder)),
            (0.02, lambda: cluster.drop_proposer(holder)),
            (0.02, lambda: self._restart(acceptor)),
            (0.02, lambda: self._lose_state(acceptor)),
            (0.02, lambda: continue_recovery(cluster, acceptor)),
            (0.02, lambda: self._acquire_slowly(holder)),
            (0.015, lambda: self._restart_after_write(*self._two_holders())),
            (0.015, lambda: self._take_over(*self._two_holders())),
            (0.01, self._stay_idle),
        ]

    def _two_holders(self) -> list[str]:
        return self.random.sample(self.holders, 2)

    # Moves of holders.

    def _exchange_at_once(self, name: str) -> None:
        """Deliver a holder's requests to some acceptors, and usually their replies."""
        reach = self._some_acceptors()
        self.cluster.exchange(name, reach, self.random.random() < 0.85)

    def _some_acceptors(self) -> tuple[str, ...]:
        return tuple(
            each for each in self.cluster.acceptors if self.random.random() < 0.75
        )

    def _some_majority(self) -> list[str]:
        return self.random.sample(self.acceptors, ballot.majority(len(self.acceptors)))

    def _acquire_at_once(self, holder: str) -> None:
        self.cluster.acquire(holder)
        self._exchange_at_once(holder)

    def _release_at_once(self, holder: str) -> None:
        self.cluster.release(holder)
        self._exchange_at_once(holder)

    def _write(self, holder: str) -> None:
        state = self.cluster.holders[holder].proposer.state
        if state is ProposerState.HOLDING:
            self.cluster.write(holder)

    def _write_at_once(self, holder: str) -> None:
        state = self.cluster.holders[holder].proposer.state
        if state in (ProposerState.HOLDING, ProposerState.WRITING):
            self.cluster.write(holder)
            self._exchange_at_once(holder)

    def _deliver(self) -> None:
        in_flight = self.cluster.in_flight
        if in_flight:
            index = self.random.randrange(len(in_flight))
            self.cluster.deliver(index, self.random.random() < 0.25)

    def _acquire_slowly(self, holder: str) -> None:
        """Acquire the lease with replies that arrive just before the call timeout."""
        reach = self._some_acceptors()
        self.cluster.acquire(holder)
        self.cluster.exchange(holder, reach, False)
        self.cluster.pass_time(TIMINGS.call_timeout * 9 // 10)
        self.cluster.exchange(holder, reach)

    def _acquire_when_free(self, holder: str, acceptor: str) -> None:
        """Acquire the lease when an acceptor grants it to others, or a tick later."""
        duration = self.cluster.time_until_free(acceptor)
        self.cluster.pass_time(duration + self.random.choice((0, 1)))
        self.cluster.acquire(holder)
        self._exchange_at_once(holder)

    def _hold_and_write(self, holder: str, reach: tuple[str, ...]) -> None:
        for _ in range(2):
            self.cluster.acquire(holder)
            self.cluster.exchange(holder, reach)
        self.cluster.write(holder)
        self.cluster.exchange(holder, reach)

    # Moves of acceptors.

    def _announce_all(self) -> None:
        for each in self.acceptors:
            self.cluster.announce(each)
        self.cluster.settle()

    def _all_serve(self) -> bool:
        return all(each.is_serving() for each in self.cluster.acceptors.values())

    def _restart(self, acceptor: str) -> None:
        self.cluster.restart_acceptor(acceptor, RestartKind.KEPT)
        self.cluster.settle()

    def _lose_state(self, acceptor: str) -> None:
        """Make an acceptor lose state, and usually recover at once.

        Only one acceptor loses state at a time, since three acceptors tolerate the loss
        of one.
        """
        if not self._all_serve():
            return
        kinds = (RestartKind.ROLLED_BACK, RestartKind.LOST, RestartKind.LOST)
        cluster = self.cluster
        cluster.restart_acceptor(acceptor, self.random.choice(kinds))
        if self.random.random() < 0.7:
            continue_recovery(cluster, acceptor)
            wait = cluster.timings.recovery_wait() * 1000
            cluster.pass_time(wait // (1000 + cluster.rates[acceptor]) + 1)
            continue_recovery(cluster, acceptor)

    def _stay_idle(self) -> None:
        """Let the lease become idle, and remove the record at some acceptors.

        All messages in flight are dropped, since none is delayed for so long.
        """
        idle_after = self.cluster.history.idle_after
        if not idle_after:
            return
        self.cluster.in_flight = []
        self.cluster.pass_time(idle_after * 1100 // 1000)
        for name in self.cluster.acceptors:
            if self.random.random() < 0.8:
                self.cluster.remove_idle(name)

    # Moves of holders and acceptors.

    def _restart_after_write(self, holder: str, other: str) -> None:
        """Restart an acceptor after a grant and a write; then acquire for another."""
        self._announce_all()
        reach = self._some_majority()
        self._hold_and_write(holder, tuple(reach))
        if self._all_serve():
            self._announce_all()
            kind = self.random.choice((RestartKind.KEPT, RestartKind.ROLLED_BACK))
            self.cluster.restart_acceptor(reach[0], kind)
            self.cluster.settle()
        self._acquire_at_once(other)

    def _take_over(self, old: str, new: str) -> None:
        """Let one holder take over from another that continues to write.

        Some acceptors that the new holder reaches lose their state or remove the
        record.
        """
        cluster = self.cluster
        self._hold_and_write(old, self.acceptors)
        cluster.pass_time(TIMINGS.lease_duration * 12 // 10)
        if self.random.random() < 0.5:
            cluster.restart_holder(new)
        self._announce_all()
        if cluster.history.idle_after and self.random.random() < 0.4:
            self._stay_idle()
        reach = self._some_majority()
        cluster.acquire(new)
        cluster.exchange(new, reach, self.random.random() < 0.5)
        if self.random.random() < 0.4:
            cluster.write(old)
            cluster.exchange(
                old, [each for each in self.acceptors if each not in reach]
            )
        if self.random.random() < 0.6:
            self._announce_all()
            self._lose_state(reach[0])
        order = (old, new) if self.random.random() < 0.7 else (new, old)
        for each in order:
            cluster.write(each)
            self._exchange_at_once(each)


def walk(acceptors: int, holders: int, steps: int, seed: int) -> WalkResult:
    """Make a random walk from a seed."""
    return LeaseWalk(acceptors, holders, seed).run(steps)
