"""Rows that travel for real between many gateways on a clock of its own: who agrees when, and what that costs.

Every gateway has its rows and its part in spreading them (`fleet/health/report_exchange.py`; octets are those of the encoded pieces);
some have a judge. What gateways see is drawn: each box answers at a rate, at some gateway by chance, and what is ill is lost,
fails or is slow. Words, delays and losses are as in service; queues at boxes and clients are left out (`health_simulation` has them).
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any

from milletsill.fleet.health import codec
from milletsill.fleet.health.health_evaluator import HealthEvaluator
from milletsill.fleet.health.node_observer import (
    NodeStatistics,
    has_news_of,
    take_unreported,
)
from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking, is_admitted
from milletsill.fleet.health.report_exchange import ReportExchange
from milletsill.fleet.health.report_store import (
    NodeObservation,
    ReportDelta,
    ReportStore,
    ReportVersion,
)
from milletsill.fleet.health.tuning import (
    CALM_PUBLISH_PERIODS,
    GOSSIP_INTERVAL,
    OBSERVATION_FADE,
    SECOND,
)
from milletsill.fleet.transport import Member, MemberState, View

BOXES, RATE, PERIOD, JUDGES, SPREAD_OF_PACE, KEEP = 44, 580.0, 3000, 10, 1.0, 2 * SECOND
WAY, LOSS = (
    (5, 60),
    0.02,
)  # tenths of a millisecond that a frame takes; the share that is lost
KNOWN_OCTETS = 17  # of a row in what a gateway says it knows
SILENT = 4000  # what is not answered is known after this
BEGINS, ENDS, LASTS = 6 * SECOND, 16 * SECOND, 28 * SECOND
QUIET = (
    4 * SECOND
)  # without new rows at the end, after which all are looked at for equality
# What is ill with one box in eight: share lost, log2 of pace; and the share of liars, whether the fleet is in halves.
CASES: dict[str, tuple[float, float, float, bool]] = {
    "still": (1.0, 0.0, 0.0, False),
    "slow 5": (0.1, 2.3, 0.0, False),
    "fails a third": (1 / 3, 0.0, 0.0, False),
    "still, 20% lie": (1.0, 0.0, 0.2, False),
    "still, 5% lie": (1.0, 0.0, 0.05, False),
    "halves": (1.0, 0.0, 0.0, True),
    "slow 2": (0.0, 1.0, 0.0, False),
    "calm": (0.0, 0.0, 0.0, False),
}


class Carried(ReportExchange):
    """Spreading without the work of encoding each frame: the octets are those of its pieces, each measured once."""

    def __init__(self, world: World, gateway: Gateway) -> None:
        super().__init__(
            gateway.store,
            world.seed * 10_000 + gateway.number,
            lambda member, body: None,
        )
        self.world, self.gateway = world, gateway

    def send_to(self, members: Any, deltas: Any, versions: Any, now: int) -> None:
        pieces, rest = list(deltas), list(versions)
        octets = sum(self.world.size_of(each) for each in pieces) + KNOWN_OCTETS * len(
            rest
        )
        for member in members:
            self.sent_bytes += octets
            self.world.send(self.gateway, int(member), pieces, rest)


class Gateway:
    """One gateway's sights, rows and part in spreading."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.turn, self.ill = world, number, number, False
        self.store = ReportStore(number, 1, 4096, 4096)
        self.exchange = Carried(world, self)
        self.statistics: dict[int, NodeStatistics] = {}
        self.judge = HealthEvaluator(0.34) if number < JUDGES else None
        self.lies = False

    def answer(self, box: int, lost: bool, pace: float) -> None:
        statistics = self.statistics.get(box) or self.statistics.setdefault(
            box, NodeStatistics(self.world.now)
        )
        statistics.fade(self.world.now)
        statistics.add(lost, lost, None if lost else pace)
        self.ill |= lost or pace > 1

    def publish(self) -> None:
        if self.world.quiet:
            return
        self.turn += 1
        judge = self.world.gateways[self.number % 2 if self.world.halves else 0].judge
        if (
            self.ill
            or self.lies
            or has_news_of(self.statistics, judge.not_healthy())
            or self.turn % CALM_PUBLISH_PERIODS == 0
        ):
            words, self.ill = take_unreported(self.statistics, self.world.now), False
            if self.lies:
                words |= {
                    box: NodeObservation(0, self.world.now, 8.0, 1.0, 1.0, 0.0, 0.0)
                    for box in self.world.slandered
                }
                words |= {
                    box: NodeObservation(0, self.world.now, 8.0, 0.0, 0.0, 8.0, 0.0)
                    for box in self.world.sick
                }
            self.exchange.write(words)
        self.world.at(self.world.now + PERIOD, self.publish)

    def round(self) -> None:
        world = self.world
        self.exchange.run_round(world.now, world.others(self.number))
        world.at(world.now + GOSSIP_INTERVAL, self.round)

    def keep(self) -> None:
        self.store.expire(
            range(len(self.world.gateways)), self.world.now - 4 * OBSERVATION_FADE
        )
        self.world.at(self.world.now + KEEP, self.keep)

    def look(self) -> None:
        world = self.world
        present = world.present(self.number)
        self.judge.evaluate(
            self.store, len(present), world.order(self.number), world.cells, world.now
        )
        world.at(world.now + PERIOD, self.look)

    def calls(self) -> frozenset[int]:
        return frozenset(
            box for box, held in self.judge.nodes.items() if held.is_called
        )


class World:
    def __init__(self, case: str, seed: int, gateways: int) -> None:
        self.lost, self.pace, liars, self.halves = CASES[case]
        self.seed, self.chance, self.now, self.count, self.quiet = (
            seed,
            Random(seed),
            0,
            0,
            False,
        )
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sizes: dict[int, tuple[ReportDelta, int]] = {}
        self.cells = {box: box // 2 for box in range(BOXES)}
        draw = Random(seed + 7)
        self.sick = (
            sorted(draw.sample(range(BOXES), BOXES // 8))
            if self.lost or self.pace
            else []
        )
        self.slandered = draw.sample(
            [box for box in range(BOXES) if box not in self.sick], 5
        )
        self.gateways = [Gateway(self, each) for each in range(gateways)]
        for each in draw.sample(self.gateways[JUDGES:], round(liars * gateways)):
            each.lies = True
        self.orders = {half: self.order_of(half) for half in ("", "0", "1")}
        for each in self.gateways:
            self.at(self.chance.randrange(PERIOD), each.publish)
            self.at(self.chance.randrange(GOSSIP_INTERVAL), each.round)
            self.at(self.chance.randrange(KEEP), each.keep)
            if each.judge is not None:
                self.at(self.chance.randrange(PERIOD), each.look)
        self.at(0, self.work)

    def at(self, at: int, call: Callable[..., None], *values: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (at, self.count, call, values))

    def parted(self) -> bool:
        return self.halves and BEGINS <= self.now < ENDS

    def present(self, number: int) -> list[int]:
        return [
            each
            for each in range(len(self.gateways))
            if not self.parted() or each % 2 == number % 2
        ]

    def others(self, number: int) -> list[str]:
        return [str(each) for each in self.present(number) if each != number]

    def order_of(self, half: str) -> RendezvousRanking:
        names = [
            each
            for each in range(len(self.gateways))
            if not half or each % 2 == int(half)
        ]
        view = View(1, [Member(str(each), "", 1, MemberState.ALIVE) for each in names])
        order = RendezvousRanking()
        order.update(lambda name: map(int, view.rendezvous(name, len(names))))
        return order

    def order(self, number: int) -> RendezvousRanking:
        return self.orders[str(number % 2) if self.parted() else ""]

    def size_of(self, news: ReportDelta) -> int:
        found = self.sizes.get(id(news))
        if found is None or found[0] is not news:
            found = self.sizes[id(news)] = (
                news,
                codec.encode_delta(news, self.now).ByteSize() + 3,
            )
        return found[1]

    def send(
        self,
        sender: Gateway,
        to: int,
        news: list[ReportDelta],
        known: list[ReportVersion],
    ) -> None:
        if self.chance.random() >= LOSS and not (
            self.parted() and (sender.number - to) % 2
        ):
            self.at(
                self.now + self.chance.randrange(*WAY),
                self.hear,
                sender.number,
                to,
                news,
                known,
            )

    def hear(
        self,
        sender: int,
        to: int,
        news: list[ReportDelta],
        known: list[ReportVersion],
    ) -> None:
        if self.parted() and (sender - to) % 2:
            return
        parted, exchange = self.parted(), self.gateways[to].exchange
        exchange.merge(each for each in news if not (parted and (each.origin - to) % 2))
        if known:
            exchange.send_missing(
                self.now,
                str(sender),
                {version.origin: version for version in known},
            )

    def ill(self, box: int, gateway: Gateway) -> bool:
        """In halves a box is out of reach for one of them."""
        return (
            box in self.sick
            and BEGINS <= self.now < ENDS
            and (not self.halves or gateway.number % 2 == 1)
        )

    def work(self) -> None:
        """One transfer, and when the next comes. Who keeps away sends it to a box that is not kept away from."""
        chance = self.chance
        gateway, box = chance.choice(self.gateways), chance.randrange(BOXES)
        judge = self.gateways[gateway.number % 2 if self.halves else 0].judge
        held = judge.nodes.get(box)
        if (
            held is None
            or not held.is_called
            or is_admitted(
                self.order(gateway.number).places(box).get(gateway.number, 0),
                len(self.present(gateway.number)),
                held.unrestricted_share,
            )
        ):
            ill = self.ill(box, gateway)
            lost = ill and chance.random() < self.lost
            pace = chance.gauss(self.pace if ill else 0.0, SPREAD_OF_PACE)
            self.at(
                self.now + (SILENT if lost else 800), gateway.answer, box, lost, pace
            )
        self.at(self.now + max(round(chance.expovariate(RATE) * SECOND), 1), self.work)

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call, values = heapq.heappop(self.events)
            call(*values)
        self.now = until

    def agreeing(self, truth: frozenset[int], half: int | None = None) -> float:
        judges = [
            each
            for each in self.gateways[:JUDGES]
            if half is None or each.number % 2 == half
        ]
        return sum(each.calls() == truth for each in judges) / len(judges)


def until_agreed(
    world: World, truth: Callable[[], bool], since: int, ends: int
) -> float | None:
    """Seconds from a time until it holds, looked at each tenth of a second."""
    for now in range(since, ends, SECOND // 10):
        world.run(now)
        if truth():
            return (now - since) / SECOND
    return None


def play(job: tuple[str, int, int]) -> dict[str, Any]:
    """One case. `there`, `back`: seconds until nine in ten judges call just the ill boxes, and none again; `false`: boxes
    called by some judge that are well, at the looks of half seconds.
    """
    case, seed, gateways = job
    world = World(case, seed, gateways)
    world.run(BEGINS)
    octets = sum(each.exchange.sent_bytes for each in world.gateways)
    if world.halves:
        truth = lambda: (
            world.agreeing(frozenset(world.sick), 1) >= 0.9  # noqa: E731
            and world.agreeing(frozenset(), 0) >= 0.9
        )
    else:
        truth = lambda: world.agreeing(frozenset(world.sick)) >= 0.9  # noqa: E731
    there, false, looks, agreed = until_agreed(world, truth, BEGINS, ENDS), 0, 0, 0
    now = world.now
    while now < ENDS:
        now = min(now + SECOND // 2, ENDS)
        world.run(now)
        looks += 1
        agreed += truth()
        false += len(
            set().union(*(each.calls() for each in world.gateways[:JUDGES]))
            - set(world.sick)
        )
    per_s = (
        (sum(each.exchange.sent_bytes for each in world.gateways) - octets)
        / gateways
        / ((ENDS - BEGINS) / SECOND)
    )
    back = until_agreed(world, lambda: world.agreeing(frozenset()) >= 0.9, ENDS, LASTS)
    world.run(LASTS)
    calls = sum(1 for each in world.gateways[:JUDGES] if each.calls())
    world.quiet = True
    world.run(LASTS + QUIET)
    rows = [
        {
            origin: (report.incarnation, report.complete_up_to)
            for origin, report in each.store.reports.items()
        }
        for each in world.gateways
    ]
    behind = sum(each != rows[0] for each in rows)
    return {
        "case": case,
        "seed": seed,
        "gateways": gateways,
        "there": there,
        "back": back,
        "stays": agreed / max(looks, 1),
        "false_boxes": false / max(looks, 1),
        "octets_a_second": per_s,
        "judges_with_calls_at_the_end": calls,
        "rows_behind": behind / gateways,
    }
