"""A gateway in the simulation of health gossip: its observations and its report store.

Times are ticks of 0.1 ms.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from milletsill.fleet.health.health_evaluator import HealthEvaluator
from milletsill.fleet.health.node_observer import (
    NodeStatistics,
    has_unreported,
    take_unreported,
)
from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking
from milletsill.fleet.health.report_exchange import ReportExchange
from milletsill.fleet.health.report_store import (
    NodeObservation,
    ReportDelta,
    ReportStore,
    ReportVersion,
)
from milletsill.fleet.health.tuning import (
    GOSSIP_INTERVAL,
    OBSERVATION_DECAY_TIME,
    ROUTINE_REPORT_PERIODS,
    SECOND,
)

PUBLISH_INTERVAL = 3000
EXPIRE_INTERVAL = 2 * SECOND
REPORT_KEPT_FOR = 4 * OBSERVATION_DECAY_TIME
KNOWN_VERSION_OCTETS = 17  # size of one known report version in a message
MAX_FLAGGED_SHARE = 0.34
MAX_REPORTS = 4096
MAX_NODES = 4096


class GossipSurroundings(Protocol):
    """The part of the simulation that a gateway uses."""

    now: int
    seed: int
    is_quiet: bool

    @property
    def shards(self) -> Mapping[int, int]:
        """The shard of each node."""

    @property
    def faulty_nodes(self) -> Sequence[int]:
        """The nodes that are faulty while the fault lasts."""

    @property
    def falsely_reported(self) -> Sequence[int]:
        """The sound nodes that lying gateways report as failing."""

    def call_at(self, when: int, call: Callable[..., object], *values: Any) -> None:
        """Schedule a call for a time."""

    def evaluator_for(self, place: int) -> HealthEvaluator:
        """Return the evaluator whose verdicts a gateway follows."""

    def ranking_for(self, place: int) -> RendezvousRanking:
        """Return the rendezvous ranking of the gateways that a gateway can reach."""

    def reachable_from(self, place: int) -> list[int]:
        """Return the gateways that a gateway can reach, including itself."""

    def gateway_count(self) -> int:
        """Return how many gateways there are."""

    def octets_of(self, delta: ReportDelta) -> int:
        """Return the size of an encoded delta in a frame, in octets."""

    def send(
        self,
        sender: int,
        receiver: int,
        deltas: list[ReportDelta],
        versions: list[ReportVersion],
    ) -> None:
        """Send a message, which the simulated network may lose."""


class MeasuredExchange(ReportExchange):
    """A report exchange that does not encode its frames, to save simulation time.

    It adds up the encoded sizes of the deltas, each of which is measured once.
    """

    def __init__(
        self, simulation: GossipSurroundings, place: int, store: ReportStore
    ) -> None:
        seed = simulation.seed * 10_000 + place
        super().__init__(store, seed, lambda member, body: None)
        self.simulation = simulation
        self.place = place

    def send_to(
        self,
        members: Sequence[str],
        deltas: Iterable[ReportDelta],
        versions: Iterable[ReportVersion],
        now: int,
    ) -> None:
        """Send deltas and known versions to each of the members."""
        sent_deltas = list(deltas)
        sent_versions = list(versions)
        octets = sum(self.simulation.octets_of(delta) for delta in sent_deltas)
        octets += KNOWN_VERSION_OCTETS * len(sent_versions)
        for member in members:
            self.sent_bytes += octets
            self.simulation.send(self.place, int(member), sent_deltas, sent_versions)


class GossipGateway:
    """One gateway: its observations, its report store and its part in the gossip.

    Attributes:
        place: The gateway's index, which is also the origin of its reports.
        store: The reports that the gateway holds.
        exchange: Sends and merges reports.
        evaluator: Judges nodes; None if this gateway does not evaluate.
        is_liar: The gateway reports the opposite of the truth for some nodes.
    """

    def __init__(
        self, simulation: GossipSurroundings, place: int, evaluates: bool
    ) -> None:
        self.simulation = simulation
        self.place = place
        self.store = ReportStore(place, 1, MAX_REPORTS, MAX_NODES)
        self.exchange = MeasuredExchange(simulation, place, self.store)
        self.evaluator = HealthEvaluator(MAX_FLAGGED_SHARE) if evaluates else None
        self.is_liar = False
        self._statistics: dict[int, NodeStatistics] = {}
        self._has_urgent_results = False
        self._periods = place

    def on_answer(self, node: int, is_lost: bool, pace: float) -> None:
        """Count the end of an attempt.

        `pace` is log2 of the attempt's latency relative to the usual one.
        """
        now = self.simulation.now
        statistics = self._statistics.setdefault(node, NodeStatistics(now))
        statistics.decay(now)
        statistics.add(is_lost, is_lost, None if is_lost else pace)
        self._has_urgent_results |= is_lost or pace > 1

    def publish(self) -> None:
        """Write the report if it has something new, and schedule the next time."""
        simulation = self.simulation
        if simulation.is_quiet:
            return
        self._periods += 1
        evaluator = simulation.evaluator_for(self.place)
        if (
            self._has_urgent_results
            or self.is_liar
            or has_unreported(self._statistics, evaluator.not_healthy())
            or self._periods % ROUTINE_REPORT_PERIODS == 0
        ):
            observations = take_unreported(self._statistics, simulation.now)
            self._has_urgent_results = False
            if self.is_liar:
                self._falsify(observations)
            self.exchange.write(observations)
        simulation.call_at(simulation.now + PUBLISH_INTERVAL, self.publish)

    def _falsify(self, observations: dict[int, NodeObservation]) -> None:
        now = self.simulation.now
        for node in self.simulation.falsely_reported:
            observations[node] = NodeObservation(0, now, 8.0, 1.0, 1.0, 0.0, 0.0)
        for node in self.simulation.faulty_nodes:
            observations[node] = NodeObservation(0, now, 8.0, 0.0, 0.0, 8.0, 0.0)

    def run_round(self) -> None:
        """Send new reports to some other gateways, and schedule the next round."""
        now = self.simulation.now
        reachable = self.simulation.reachable_from(self.place)
        others = [str(place) for place in reachable if place != self.place]
        self.exchange.run_round(now, others)
        self.simulation.call_at(now + GOSSIP_INTERVAL, self.run_round)

    def expire(self) -> None:
        """Remove expired reports, and schedule the next time."""
        now = self.simulation.now
        count = self.simulation.gateway_count()
        self.store.expire(range(count), now - REPORT_KEPT_FOR)
        self.simulation.call_at(now + EXPIRE_INTERVAL, self.expire)

    def evaluate(self) -> None:
        """Evaluate all nodes, and schedule the next time; needs an evaluator."""
        simulation = self.simulation
        assert self.evaluator is not None
        self.evaluator.evaluate(
            self.store,
            len(simulation.reachable_from(self.place)),
            simulation.ranking_for(self.place),
            simulation.shards,
            simulation.now,
        )
        simulation.call_at(simulation.now + PUBLISH_INTERVAL, self.evaluate)

    def flagged_nodes(self) -> frozenset[int]:
        """Return the nodes that this gateway's evaluator flags."""
        assert self.evaluator is not None
        return frozenset(
            node for node, held in self.evaluator.nodes.items() if held.is_flagged
        )
