"""Simulates the gossip of health reports among many gateways on a simulated clock.

The simulation measures how soon the gateways' evaluators agree and how many octets the
gossip takes. Every gateway has a report store and takes part in the gossip
(`milletsill.fleet.health.report_exchange`); only some evaluate the reports. Attempts
are drawn at random: they come at a fixed mean rate, each at a random gateway and node,
and a faulty node loses attempts or answers slowly. Messages are delayed and lost as in
production. Queues at nodes and clients are not simulated here (`health_simulation`
simulates them).

Times are ticks of 0.1 ms unless stated otherwise.
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
NODES_PER_FAULTY_NODE = 8  # one node in 8 is faulty
FALSELY_REPORTED_COUNT = 5
RATE = 580.0  # requests per second over all gateways
EVALUATORS = 10
PACE_DEVIATION = 1.0  # standard deviation of an attempt's log2 pace
MIN_DELAY = 5  # of a frame in the network
MAX_DELAY = 60
LOSS = 0.02  # share of frames that are lost
LOST_KNOWN_AFTER = 4000  # time until an unanswered attempt counts as lost
ANSWERED_AFTER = 800
DELTA_FRAMING_OCTETS = 3
FAULT_BEGINS = 6 * SECOND
FAULT_ENDS = 16 * SECOND
RUN_ENDS = 28 * SECOND
QUIET = 4 * SECOND  # time without new reports at the end, before stores are compared
AGREEING_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class GossipCase:
    """The fault of one node in eight, and what else happens during it.

    Attributes:
        lost_share: Share of a faulty node's attempts that are lost.
        pace: log2 of a faulty node's latency relative to the usual one.
        liar_share: Share of the gateways that send false reports.
        is_split: The fleet is partitioned into halves during the fault.
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
    """A delta with its encoded size.

    The reference to the delta keeps its `id` from being reused.
    """

    delta: ReportDelta
    octets: int


class GossipSimulation(SimulatedClock):
    """The simulated gateways and the network between them.

    Attributes:
        faulty_nodes: The nodes that are faulty while the fault lasts.
        falsely_reported: The sound nodes that lying gateways report as failing.
        is_quiet: Gateways write no more reports.
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
        self.faulty_nodes: list[int] = []
        if case.lost_share or case.pace:
            self.faulty_nodes = sorted(
                draw.sample(nodes, NODE_COUNT // NODES_PER_FAULTY_NODE)
            )
        sound = [node for node in nodes if node not in self.faulty_nodes]
        self.falsely_reported = draw.sample(sound, FALSELY_REPORTED_COUNT)
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

    # Which gateways reach each other.

    def gateway_count(self) -> int:
        """Return how many gateways there are."""
        return len(self.gateways)

    def has_fault(self) -> bool:
        """Return whether the fault, or the partition, is active now."""
        return FAULT_BEGINS <= self.now < FAULT_ENDS

    def is_split_now(self) -> bool:
        """Return whether the fleet is partitioned into halves now."""
        return self.case.is_split and self.has_fault()

    def reachable_from(self, place: int) -> list[int]:
        """Return the gateways that a gateway can reach, including itself."""
        is_split = self.is_split_now()
        return [
            other
            for other in range(len(self.gateways))
            if not is_split or other % 2 == place % 2
        ]

    def ranking_for(self, place: int) -> RendezvousRanking:
        """Return the rendezvous ranking of the gateways that a gateway can reach."""
        if self.is_split_now():
            return self._half_rankings[place % 2]
        return self._whole_ranking

    def evaluator_for(self, place: int) -> HealthEvaluator:
        """Return the evaluator whose verdicts a gateway follows."""
        evaluator = self.gateways[place % 2 if self.case.is_split else 0].evaluator
        assert evaluator is not None
        return evaluator

    # The network.

    def octets_of(self, delta: ReportDelta) -> int:
        """Return the size of an encoded delta in a frame, in octets."""
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
        """Send a message; it may be lost at random or by the partition."""
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
        """Return whether a node is faulty for a gateway.

        While the fleet is partitioned, it is faulty only for the odd half.
        """
        if node not in self.faulty_nodes or not self.has_fault():
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
        """Simulate one request and schedule the next.

        A gateway that avoids the node would send the request to another node; that
        attempt is not simulated.
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

    # Measurements.

    def sent_octets(self) -> int:
        """Return the octets that all gateways have sent."""
        return sum(gateway.exchange.sent_bytes for gateway in self.gateways)

    def evaluating(self) -> list[GossipGateway]:
        """Return the gateways that evaluate."""
        return self.gateways[:EVALUATORS]

    def do_agree(self, truth: frozenset[int], half: int | None = None) -> bool:
        """Return whether 90 % of the evaluators flag exactly these nodes.

        The evaluators are all, or those of one half of the fleet.
        """
        gateways = [
            gateway
            for gateway in self.evaluating()
            if half is None or gateway.place % 2 == half
        ]
        agreeing = sum(gateway.flagged_nodes() == truth for gateway in gateways)
        return agreeing / len(gateways) >= AGREEING_SHARE

    def do_see_fault(self) -> bool:
        """Return whether 90 % of evaluators flag exactly the nodes faulty for them."""
        faulty = frozenset(self.faulty_nodes)
        if self.case.is_split:
            return self.do_agree(faulty, 1) and self.do_agree(frozenset(), 0)
        return self.do_agree(faulty)

    def count_false_verdicts(self) -> int:
        """Return how many sound nodes at least one evaluator flags."""
        flagged: set[int] = set()
        for gateway in self.evaluating():
            flagged |= gateway.flagged_nodes()
        return len(flagged - set(self.faulty_nodes))

    def share_behind(self) -> float:
        """Return the share of gateways whose reports differ from the first one's."""
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
    """Return the seconds until a condition holds, None if never; checks each 0.1 s."""
    for now in range(since, ends, SECOND // 10):
        simulation.run(now)
        if condition():
            return (now - since) / SECOND
    return None


def play(job: tuple[str, int, int]) -> dict[str, Any]:
    """Simulate a case with a seed and a number of gateways; return the measurements.

    `there` is the seconds until 90 % of the evaluators flag exactly the faulty nodes;
    `back` is the seconds after the fault until 90 % flag none. `stays` is the share of
    the checks, one each 0.5 s, at which they agree on the fault; `false_boxes` is the
    mean number of sound nodes that some evaluator flags at these checks.
    """
    case, seed, gateways = job
    simulation = GossipSimulation(CASES[case], seed, gateways)
    simulation.run(FAULT_BEGINS)
    octets_before = simulation.sent_octets()
    there = seconds_until(simulation, simulation.do_see_fault, FAULT_BEGINS, FAULT_ENDS)
    false_verdicts = 0
    checks = 0
    agreed = 0
    while simulation.now < FAULT_ENDS:
        simulation.run(min(simulation.now + SECOND // 2, FAULT_ENDS))
        checks += 1
        agreed += simulation.do_see_fault()
        false_verdicts += simulation.count_false_verdicts()
    octets = simulation.sent_octets() - octets_before
    back = seconds_until(
        simulation, lambda: simulation.do_agree(frozenset()), FAULT_ENDS, RUN_ENDS
    )
    simulation.run(RUN_ENDS)
    still_flagging = sum(
        bool(gateway.flagged_nodes()) for gateway in simulation.evaluating()
    )
    simulation.is_quiet = True
    simulation.run(RUN_ENDS + QUIET)
    return {
        "case": case,
        "seed": seed,
        "gateways": gateways,
        "there": there,
        "back": back,
        "stays": agreed / max(checks, 1),
        "false_boxes": false_verdicts / max(checks, 1),
        "octets_a_second": octets / gateways / ((FAULT_ENDS - FAULT_BEGINS) / SECOND),
        "judges_with_calls_at_the_end": still_flagging,
        "rows_behind": simulation.share_behind(),
    }
