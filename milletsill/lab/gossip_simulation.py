"""Health reports that travel between many gateways: who agrees when, and at what cost.

On a simulated clock. Every gateway has its reports and its part in their gossip
(`milletsill.fleet.health.report_exchange`; octets are those of the encoded pieces);
some evaluate them. What gateways see is drawn: each node answers at a rate, at some
gateway by chance, and what is ill is lost or slow. Messages, delays and losses are as
in service; queues at nodes and clients are left out (`health_simulation` has them).

Times are ticks of a tenth of a millisecond where nothing else is said.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from milletsill.fleet.health import codec
from milletsill.fleet.health.health_evaluator import HealthEvaluator
from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking, is_admitted
from milletsill.fleet.health.report_store import ReportDelta, ReportVersion
from milletsill.fleet.health.tuning import GOSSIP_INTERVAL, SECOND
from milletsill.fleet.transport import Member, MemberState, View
from milletsill.lab.gossip_gateway import (
    EXPIRE_INTERVAL,
    PUBLISH_INTERVAL,
    GossipGateway,
)
from milletsill.lab.simulated_clock import SimulatedClock

NODE_COUNT = 44
NODES_PER_SHARD = 2
ILL_SHARE = 8  # one node in so many is ill
SLANDERED_COUNT = 5
RATE = 580.0  # requests a second
EVALUATORS = 10
PACE_DEVIATION = 1.0
MIN_DELAY = 5  # of a frame
MAX_DELAY = 60
LOSS = 0.02  # share of the frames
LOST_KNOWN_AFTER = 4000  # of an attempt that is not answered
ANSWERED_AFTER = 800
DELTA_FRAMING_OCTETS = 3
BEGINS = 6 * SECOND
ENDS = 16 * SECOND
LASTS = 28 * SECOND
QUIET = 4 * SECOND  # without new reports at the end, until all are compared
AGREEING_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class GossipCase:
    """What is ill with one node in eight.

    Attributes:
        lost_share: Share of its attempts that are lost.
        pace: log2 of its pace over the usual one.
        liar_share: Share of the gateways that lie.
        is_split: The fleet is in halves meanwhile.
    """

    lost_share: float = 0.0
    pace: float = 0.0
    liar_share: float = 0.0
    is_split: bool = False


CASES = {
    "still": GossipCase(lost_share=1.0),
    "slow 5": GossipCase(lost_share=0.1, pace=2.3),
    "fails a third": GossipCase(lost_share=1 / 3),
    "still, 20% lie": GossipCase(lost_share=1.0, liar_share=0.2),
    "still, 5% lie": GossipCase(lost_share=1.0, liar_share=0.05),
    "halves": GossipCase(lost_share=1.0, is_split=True),
    "slow 2": GossipCase(pace=1.0),
    "calm": GossipCase(),
}


@dataclass(frozen=True, slots=True)
class MeasuredDelta:
    """A delta, kept so that its id stays its own, and its octets."""

    delta: ReportDelta
    octets: int


class GossipSimulation(SimulatedClock):
    """The gateways and what is between them.

    Attributes:
        ill_nodes: The nodes that are ill while there is a fault.
        slandered: The well nodes that liars report as failing.
        is_quiet: Nobody writes a report any more.
    """

    def __init__(self, case: GossipCase, seed: int, gateways: int) -> None:
        super().__init__()
        self.case = case
        self.seed = seed
        self.random = Random(seed)
        self.is_quiet = False
        self.shards = {node: node // NODES_PER_SHARD for node in range(NODE_COUNT)}
        nodes = range(NODE_COUNT)
        draw = Random(seed + 7)
        self.ill_nodes: list[int] = []
        if case.lost_share or case.pace:
            self.ill_nodes = sorted(draw.sample(nodes, NODE_COUNT // ILL_SHARE))
        well = [node for node in nodes if node not in self.ill_nodes]
        self.slandered = draw.sample(well, SLANDERED_COUNT)
        self.gateways = [
            GossipGateway(self, place, place < EVALUATORS) for place in range(gateways)
        ]
        liar_count = round(case.liar_share * gateways)
        for gateway in draw.sample(self.gateways[EVALUATORS:], liar_count):
            gateway.is_liar = True
        self._measured: dict[int, MeasuredDelta] = {}
        self._whole_ranking = self._rank(range(gateways))
        self._half_rankings = [
            self._rank(range(half, gateways, 2)) for half in range(2)
        ]
        for gateway in self.gateways:
            self._start(gateway)
        self.call_at(0, self._draw_request)

    def _start(self, gateway: GossipGateway) -> None:
        self.call_at(self.random.randrange(PUBLISH_INTERVAL), gateway.publish)
        self.call_at(self.random.randrange(GOSSIP_INTERVAL), gateway.run_round)
        self.call_at(self.random.randrange(EXPIRE_INTERVAL), gateway.expire)
        if gateway.evaluator is not None:
            self.call_at(self.random.randrange(PUBLISH_INTERVAL), gateway.evaluate)

    def _rank(self, places: range) -> RendezvousRanking:
        view = View(
            1, [Member(str(place), "", 1, MemberState.ALIVE) for place in places]
        )
        ranking = RendezvousRanking()
        ranking.update(lambda name: map(int, view.rendezvous(name, len(places))))
        return ranking

    # What gateways see of each other.

    def gateway_count(self) -> int:
        """Return how many gateways there are."""
        return len(self.gateways)

    def has_fault(self) -> bool:
        """Return whether nodes are ill, or the fleet is in halves, now."""
        return BEGINS <= self.now < ENDS

    def is_split_now(self) -> bool:
        """Return whether the fleet is in halves now."""
        return self.case.is_split and self.has_fault()

    def reachable_from(self, place: int) -> list[int]:
        """Return the gateways that a gateway sees, itself among them."""
        is_split = self.is_split_now()
        return [
            other
            for other in range(len(self.gateways))
            if not is_split or other % 2 == place % 2
        ]

    def ranking_for(self, place: int) -> RendezvousRanking:
        """Return the ranking of the gateways that a gateway sees."""
        if self.is_split_now():
            return self._half_rankings[place % 2]
        return self._whole_ranking

    def evaluator_for(self, place: int) -> HealthEvaluator:
        """Return the evaluator that speaks for a gateway."""
        evaluator = self.gateways[place % 2 if self.case.is_split else 0].evaluator
        assert evaluator is not None
        return evaluator

    # The network.

    def octets_of(self, delta: ReportDelta) -> int:
        """Return the octets of a delta in a frame."""
        measured = self._measured.get(id(delta))
        if measured is None or measured.delta is not delta:
            size = codec.encode_delta(delta, self.now).ByteSize()
            measured = MeasuredDelta(delta, size + DELTA_FRAMING_OCTETS)
            self._measured[id(delta)] = measured
        return measured.octets

    def _is_cut(self, sender: int, receiver: int) -> bool:
        return self.is_split_now() and (sender - receiver) % 2 != 0

    def send(
        self,
        sender: int,
        receiver: int,
        deltas: list[ReportDelta],
        versions: list[ReportVersion],
    ) -> None:
        """Carry a message, if it is not lost."""
        if self.random.random() < LOSS or self._is_cut(sender, receiver):
            return
        when = self.now + self.random.randrange(MIN_DELAY, MAX_DELAY)
        self.call_at(when, self._deliver, sender, receiver, deltas, versions)

    def _deliver(
        self,
        sender: int,
        receiver: int,
        deltas: list[ReportDelta],
        versions: list[ReportVersion],
    ) -> None:
        if self._is_cut(sender, receiver):
            return
        exchange = self.gateways[receiver].exchange
        exchange.merge(
            delta for delta in deltas if not self._is_cut(delta.origin, receiver)
        )
        if versions:
            known = {version.origin: version for version in versions}
            exchange.send_missing(self.now, str(sender), known)

    # Requests.

    def _is_ill(self, node: int, place: int) -> bool:
        """Return whether a node is ill for a gateway; in halves it is for one."""
        if node not in self.ill_nodes or not self.has_fault():
            return False
        return not self.case.is_split or place % 2 == 1

    def _may_send(self, place: int, node: int) -> bool:
        held = self.evaluator_for(place).nodes.get(node)
        if held is None or not held.is_flagged:
            return True
        return is_admitted(
            self.ranking_for(place).places(node).get(place, 0),
            len(self.reachable_from(place)),
            held.unrestricted_share,
        )

    def _draw_request(self) -> None:
        """Draw one request, and when the next comes.

        A gateway that avoids the node sends it to another, which is not played.
        """
        random = self.random
        gateway = random.choice(self.gateways)
        node = random.randrange(NODE_COUNT)
        if self._may_send(gateway.place, node):
            is_ill = self._is_ill(node, gateway.place)
            is_lost = is_ill and random.random() < self.case.lost_share
            pace = random.gauss(self.case.pace if is_ill else 0.0, PACE_DEVIATION)
            delay = LOST_KNOWN_AFTER if is_lost else ANSWERED_AFTER
            self.call_at(self.now + delay, gateway.on_answer, node, is_lost, pace)
        pause = max(round(random.expovariate(RATE) * SECOND), 1)
        self.call_at(self.now + pause, self._draw_request)

    # What is looked at.

    def sent_octets(self) -> int:
        """Return the octets that all gateways have sent."""
        return sum(gateway.exchange.sent_bytes for gateway in self.gateways)

    def evaluating(self) -> list[GossipGateway]:
        """Return the gateways that evaluate."""
        return self.gateways[:EVALUATORS]

    def do_agree(self, truth: frozenset[int], half: int | None = None) -> bool:
        """Return whether nine in ten, of all or a half, call just these nodes ill."""
        gateways = [
            gateway
            for gateway in self.evaluating()
            if half is None or gateway.place % 2 == half
        ]
        agreeing = sum(gateway.called_nodes() == truth for gateway in gateways)
        return agreeing / len(gateways) >= AGREEING_SHARE

    def do_see_fault(self) -> bool:
        """Return whether nine in ten see the fault as it is for them."""
        ill = frozenset(self.ill_nodes)
        if self.case.is_split:
            return self.do_agree(ill, 1) and self.do_agree(frozenset(), 0)
        return self.do_agree(ill)

    def count_false_calls(self) -> int:
        """Return how many nodes are called ill by some evaluator and are well."""
        called: set[int] = set()
        for gateway in self.evaluating():
            called |= gateway.called_nodes()
        return len(called - set(self.ill_nodes))

    def share_behind(self) -> float:
        """Return the share of gateways with other reports than the first."""
        versions = [
            {
                origin: (report.incarnation, report.complete_up_to)
                for origin, report in gateway.store.reports.items()
            }
            for gateway in self.gateways
        ]
        behind = sum(each != versions[0] for each in versions)
        return behind / len(self.gateways)


def seconds_until(
    simulation: GossipSimulation, condition: Callable[[], bool], since: int, ends: int
) -> float | None:
    """Return after how long a condition holds, looked at each tenth of a second."""
    for now in range(since, ends, SECOND // 10):
        simulation.run(now)
        if condition():
            return (now - since) / SECOND
    return None


def play(job: tuple[str, int, int]) -> dict[str, Any]:
    """Play a case, a seed and a number of gateways; return what is recorded of it.

    `there` and `back` are the seconds until nine in ten evaluators call just the ill
    nodes, and none again; `false_boxes` the nodes that some evaluator calls ill and
    that are well, at the looks of half seconds.
    """
    case, seed, gateways = job
    simulation = GossipSimulation(CASES[case], seed, gateways)
    simulation.run(BEGINS)
    octets_before = simulation.sent_octets()
    there = seconds_until(simulation, simulation.do_see_fault, BEGINS, ENDS)
    false_calls = 0
    looks = 0
    agreed = 0
    while simulation.now < ENDS:
        simulation.run(min(simulation.now + SECOND // 2, ENDS))
        looks += 1
        agreed += simulation.do_see_fault()
        false_calls += simulation.count_false_calls()
    octets = simulation.sent_octets() - octets_before
    back = seconds_until(
        simulation, lambda: simulation.do_agree(frozenset()), ENDS, LASTS
    )
    simulation.run(LASTS)
    still_calling = sum(
        bool(gateway.called_nodes()) for gateway in simulation.evaluating()
    )
    simulation.is_quiet = True
    simulation.run(LASTS + QUIET)
    return {
        "case": case,
        "seed": seed,
        "gateways": gateways,
        "there": there,
        "back": back,
        "stays": agreed / max(looks, 1),
        "false_boxes": false_calls / max(looks, 1),
        "octets_a_second": octets / gateways / ((ENDS - BEGINS) / SECOND),
        "judges_with_calls_at_the_end": still_calling,
        "rows_behind": simulation.share_behind(),
    }
