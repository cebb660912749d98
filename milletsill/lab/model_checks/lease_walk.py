"""Seeded chance through a lease cluster whose clocks drift."""

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
    """What a walk came to.

    Attributes:
        steps: How many steps were made.
        violation: What went wrong, None for nothing.
        writes: How many writes were begun.
    """

    steps: int
    violation: str | None
    writes: int


def copy_records(cluster: LeaseCluster, name: str) -> None:
    """Have an acceptor that may not answer ask on, as it does again and again."""
    recovery = cluster.acceptors[name].recovery
    if recovery is None:
        return
    if recovery.status is RecoveryStatus.CATCHING_UP:
        for other in recovery.others:
            cluster.send(other, name, PageQuery())
    else:
        cluster.query_witnesses(name)
    cluster.settle()


class LeaseWalk:
    """One walk: a cluster and the chance that moves it."""

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
            self._give_two_one_name()

    def _give_two_one_name(self) -> None:
        holders = self.cluster.holders
        first = holders[self.holders[0]].proposer
        holders[self.holders[1]].proposer.gateway = first.gateway

    def run(self, steps: int) -> WalkResult:
        """Make steps until something is wrong."""
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
            (0.08, lambda: self._acquire_nearby(holder)),
            (0.06, lambda: self._write(holder)),
            (0.14, lambda: self._write_nearby(holder)),
            (0.30, self._deliver),
            (0.03, lambda: cluster.resend(holder)),
            (0.03, lambda: self._release_nearby(holder)),
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
            (0.02, lambda: self._lose(acceptor)),
            (0.02, lambda: copy_records(cluster, acceptor)),
            (0.02, lambda: self._acquire_slowly(holder)),
            (0.015, lambda: self._restart_after_write(*self._two_holders())),
            (0.015, lambda: self._take_over(*self._two_holders())),
            (0.01, self._stay_idle),
        ]

    def _two_holders(self) -> list[str]:
        return self.random.sample(self.holders, 2)

    # Moves of holders.

    def _exchange_nearby(self, name: str) -> None:
        """Have open requests reach some acceptors at once, and most replies return."""
        reach = self._some_acceptors()
        self.cluster.exchange(name, reach, self.random.random() < 0.85)

    def _some_acceptors(self) -> tuple[str, ...]:
        return tuple(
            each for each in self.cluster.acceptors if self.random.random() < 0.75
        )

    def _some_majority(self) -> list[str]:
        return self.random.sample(self.acceptors, ballot.majority(len(self.acceptors)))

    def _acquire_nearby(self, holder: str) -> None:
        self.cluster.acquire(holder)
        self._exchange_nearby(holder)

    def _release_nearby(self, holder: str) -> None:
        self.cluster.release(holder)
        self._exchange_nearby(holder)

    def _write(self, holder: str) -> None:
        state = self.cluster.holders[holder].proposer.state
        if state is ProposerState.HOLDING:
            self.cluster.write(holder)

    def _write_nearby(self, holder: str) -> None:
        state = self.cluster.holders[holder].proposer.state
        if state in (ProposerState.HOLDING, ProposerState.WRITING):
            self.cluster.write(holder)
            self._exchange_nearby(holder)

    def _deliver(self) -> None:
        in_flight = self.cluster.in_flight
        if in_flight:
            place = self.random.randrange(len(in_flight))
            self.cluster.deliver(place, self.random.random() < 0.25)

    def _acquire_slowly(self, holder: str) -> None:
        """Have replies take nearly all of a request's time."""
        reach = self._some_acceptors()
        self.cluster.acquire(holder)
        self.cluster.exchange(holder, reach, False)
        self.cluster.pass_time(TIMINGS.call_timeout * 9 // 10)
        self.cluster.exchange(holder, reach)

    def _acquire_when_free(self, holder: str, acceptor: str) -> None:
        """Acquire at the very moment at which an acceptor lets others in."""
        duration = self.cluster.time_until_free(acceptor)
        self.cluster.pass_time(duration + self.random.choice((0, 1)))
        self.cluster.acquire(holder)
        self._exchange_nearby(holder)

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

    def _lose(self, acceptor: str) -> None:
        """Have an acceptor lose something, and with chance be back at once.

        One at a time: that is what is promised of three.
        """
        if not self._all_serve():
            return
        kinds = (RestartKind.ROLLED_BACK, RestartKind.LOST, RestartKind.LOST)
        cluster = self.cluster
        cluster.restart_acceptor(acceptor, self.random.choice(kinds))
        if self.random.random() < 0.7:
            copy_records(cluster, acceptor)
            wait = cluster.timings.recovery_wait() * 1000
            cluster.pass_time(wait // (1000 + cluster.rates[acceptor]) + 1)
            copy_records(cluster, acceptor)

    def _stay_idle(self) -> None:
        """Have nothing happen for so long that acceptors remove records; some do.

        No message is on its way for that long.
        """
        idle_after = self.cluster.history.idle_after
        if not idle_after:
            return
        self.cluster.in_flight = []
        self.cluster.pass_time(idle_after * 1100 // 1000)
        for name in self.cluster.acceptors:
            if self.random.random() < 0.8:
                self.cluster.remove_idle(name)

    # Moves of several.

    def _restart_after_write(self, holder: str, other: str) -> None:
        """Restart an acceptor right after it let a holder in; then another comes."""
        self._announce_all()
        reach = self._some_majority()
        self._hold_and_write(holder, tuple(reach))
        if self._all_serve():
            self._announce_all()
            kind = self.random.choice((RestartKind.KEPT, RestartKind.ROLLED_BACK))
            self.cluster.restart_acceptor(reach[0], kind)
            self.cluster.settle()
        self._acquire_nearby(other)

    def _take_over(self, old: str, new: str) -> None:
        """Have one holder follow another that goes on writing.

        Some of the acceptors that the new one reaches lose it or remove its record.
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
            self._lose(reach[0])
        order = (old, new) if self.random.random() < 0.7 else (new, old)
        for each in order:
            cluster.write(each)
            self._exchange_nearby(each)


def walk(acceptors: int, holders: int, steps: int, seed: int) -> WalkResult:
    """Make a walk from a seed."""
    return LeaseWalk(acceptors, holders, seed).run(steps)
