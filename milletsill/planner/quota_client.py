"""The edge's side of the planner: what is asked for, the link, and what the module is told of parts.

Nothing here waits for the planner: without a word from it the edge has its even parts, or less where it has lent some, until that
is over (decide.py). An edge without a `planner` in its file loads none of this.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from prometheus_client import Counter, Gauge
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.protocol import Factory, Protocol

from milletsill.deployment_config import DeploymentConfig, ServicePlanConfig
from milletsill.interface import Endpoint, QuotaKind, Readiness, Request
from milletsill.planner.codec import (
    VERSION,
    MalformedPlannerFrame,
    Frames,
    encoded,
    get_grant,
    put_ask,
)
from milletsill.planner.demand_estimate import Demand, want_of, wanted
from milletsill.planner.errors import (
    PlannerUnreachable,
    PlannerEpochStale,
    PlannerRejectedGateway,
)
from milletsill.planner.plan_pb2 import Asks, Hello, Refused
from milletsill.planner.planner_link import Link, Said, dial_after, link_step
from milletsill.planner.planner_service import span_of
from milletsill.planner.quota_lending import Edge, Heard
from milletsill.planner.quota_terms import GUARD, SECOND, WHOLE, Thing

PER_FRAME, SILENT = 5000, 5 * SECOND  # asks; a planner without a word is cut


class Line(Protocol):
    """One connection to the planner."""

    def __init__(self, parts: Parts) -> None:
        self.parts, self.frames = parts, Frames()

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.parts.up(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            for frame in self.frames.feed(data):
                self.parts.heard(self, frame)
        except MalformedPlannerFrame as error:
            self.parts.remark("planner", **error.log_fields())
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.parts.lost(self)


class Parts:
    """One gateway's parts. `host` is told of each that changes."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        file: Any,
        config: DeploymentConfig,
        seed: int,
        incarnation: int,
        host: Any,
        remark: Callable[..., None],
        registry: Any,
    ) -> None:
        self.reactor, self.now, self.file, self.config = reactor, now, file, config
        self.host, self.remark = host, remark
        self.span = span_of(file.planner.lending)
        # A first run has no former self. What cannot be told counts as a later one.
        self.edge = Edge(
            file.name, incarnation, self.span, now(), fresh=incarnation == 1
        )
        self.chance = random.Random(seed)
        self.demand: dict[Thing, Demand] = {}
        self.wholes: dict[Thing, float] = {}  # units a second
        self.told: dict[Thing, tuple[int, int, int]] = {}
        self.nodes: dict[int, int] = {}  # cold nodes by cell
        self.plans = {each.name: place for place, each in enumerate(file.plan)}
        self.link, self.line = Link.DOWN, None
        self.failures, self.last = 0, 0
        self.calls: dict[str, Any] = {}
        self.stopped = False
        self.linked = Gauge(
            "milletsill_planned", "1 while the planner answers", registry=registry
        )
        self.takes = Counter(
            "milletsill_grants",
            "Grants by what became of them",
            ("fate",),
            registry=registry,
        )
        self.granted = Gauge(
            "milletsill_granted_parts",
            "Parts on top of the even ones, in wholes",
            registry=registry,
        )
        self.lent = Gauge(
            "milletsill_lent_parts", "Parts lent, in wholes", registry=registry
        )
        host.max_decision_age = GUARD

    # Life.

    def start(self) -> None:
        for number, volume in enumerate(
            self.file.volume, 1
        ):  # what comes through all gateways may be lent before it is used
            plan = self.config.service_plans[self.plans[volume.plan]]
            if not volume.gateways or volume.gateways == self.file.gateways:
                self.volume(number, self.file.gateways, plan, 0.0)
        self.dial()
        self.later("ask", self.file.planner.ask_s, self.ask)

    def stop(self) -> None:
        self.stopped = True
        for each in self.calls.values():
            if each.active():
                each.cancel()
        if self.line is not None:
            self.line.transport.loseConnection()

    def later(
        self, name: str, seconds: float, call: Callable[..., None], *values: Any
    ) -> None:
        """One timer a name; set anew."""
        old = self.calls.get(name)
        if old is not None and old.active():
            old.cancel()
        if not self.stopped:
            self.calls[name] = self.reactor.callLater(max(seconds, 0.0), call, *values)

    def look(self) -> None:
        """Once a second: figures."""
        self.forget()
        now, held = self.now(), self.edge.holdings.values()
        self.linked.set(self.link is Link.PLANNED)
        self.granted.set(
            sum(each.granted for each in held if now < each.granted_ends) / WHOLE
        )
        self.lent.set(sum(each.lent(now) for each in held) / WHOLE)

    def forget(self) -> None:
        """Boxes that are warm or gone, with nothing lent, granted or rested on. Guards an edge that runs for months against
        every box that was ever replaced; stores are those of the file. Harm: none, a box that is cold again is known anew.
        """
        now, cold = self.now(), set(self.nodes.values())
        for thing in [
            each for each in self.demand if each[0] == "cold" and each[1] not in cold
        ]:
            if self.edge.idle(thing, now):
                call = self.calls.pop(f"{thing[0]} {thing[1]}", None)
                if call is not None and call.active():
                    call.cancel()
                for held in (self.demand, self.wholes, self.told, self.edge.holdings):
                    del held[thing]
                self.host.on_quota_share(QuotaKind(thing[0]), thing[1], None, 0, 0.0)

    # What is asked of this gateway.

    def arrived(self, arrival: Request) -> None:
        """A transfer comes; before the module hears of it."""
        now, plan = self.now(), self.config.service_plans[arrival.service_plan]
        self.volume(arrival.volume, arrival.sharing_gateways, plan, arrival.units)
        node = self.nodes.get(arrival.shard) if arrival.shard is not None else None
        if node is not None and ("cold", node) in self.demand:
            self.demand["cold", node].add(arrival.units, now)

    def volume(
        self, number: int, gateways: int, plan: ServicePlanConfig, units: float
    ) -> None:
        """What of a volume is parted, and how much of it was asked."""
        for what, rate in (
            ("limit", plan.limit_rate),
            ("reserve", plan.reserved_rate),
        ):
            if rate > 0:
                found = self.wish((what, number), gateways, rate)
                if units:
                    found.add(units, self.now())

    def wish(self, thing: Thing, gateways: int, whole: float) -> Demand:
        """The demand for a thing; from the first on parts of it are asked for, and the module knows its own."""
        found = self.demand.get(thing)
        if found is None:
            found = self.demand[thing] = Demand(since=self.now())
            self.wholes[thing] = whole
            self.edge.know(thing, gateways)
            self.tell(thing)
        return found

    def listed(self, entries: Sequence[Endpoint]) -> None:
        """News of the list: cold nodes are parted while they are cold, and said to the module before it sends."""
        now, window = self.now(), max(self.config.slow_start_window, 1)
        for each in entries:
            cold = (
                each.started_at is not None
                and now - each.started_at < self.config.slow_start_duration
                and each.readiness is Readiness.READY
            )
            if cold:
                self.nodes[each.shard] = each.node
                self.wish(
                    ("cold", each.node),
                    self.config.gateway_count,
                    self.config.slow_start_units * SECOND / window,
                )
                self.tell(("cold", each.node))
            elif self.nodes.get(each.shard) == each.node:
                del self.nodes[each.shard]

    # What the module is told.

    def tell(self, thing: Thing) -> None:
        """Its part, if it has changed; and again when that ends by itself."""
        now = self.now()
        part, ends, after = found = self.edge.outlook(thing, now)
        if ends - now < 60 * SECOND:
            self.later(
                f"{thing[0]} {thing[1]}", (ends - now) / SECOND, self.tell, thing
            )
        if self.told.get(thing) == found and thing[0] != "cold":
            return
        self.told[thing] = found
        even = part == self.edge.holdings[thing].capital and ends >= 1 << 60
        self.host.on_quota_share(
            QuotaKind(thing[0]),
            thing[1],
            None if even else part / WHOLE,
            ends,
            after / WHOLE,
        )

    # The link.

    def step(self, said: Said, line: Any = None) -> None:
        """Read the table and act."""
        self.link, effect = link_step(self.link, said)
        if effect == "hello" and line is not None:
            terms = self.span
            line.transport.write(
                encoded(
                    hello=Hello(
                        version=VERSION,
                        name=self.file.name,
                        incarnation=self.edge.incarnation,
                        epoch=self.edge.epoch,
                        longest=terms.longest,
                        drift=terms.drift,
                        floor=int(terms.floor * 1e6),
                    )
                )
            )
        elif effect == "refuse" and line is not None:
            self.remark(
                "planner",
                **PlannerEpochStale(
                    "an older planner than one that was heard",
                    self.file.planner.address,
                ).log_fields(),
            )
            line.transport.write(
                encoded(
                    refused=Refused(
                        reason="a newer planner was heard", epoch=self.edge.epoch
                    )
                )
            )
            line.transport.loseConnection()
        elif effect == "cut" and line is not None:
            line.transport.abortConnection()
        if effect in ("refuse", "cut", "again"):
            self.failures += 1
            self.later(
                "dial",
                dial_after(self.failures, self.chance.random()) / SECOND,
                self.dial,
            )
        elif effect == "ask":
            self.failures = 0
            self.ask()

    def dial(self) -> None:
        """Connect; what comes of it is told later."""
        if self.stopped or self.line is not None:
            return
        host, _, port = self.file.planner.address.rpartition(":")
        HostnameEndpoint(self.reactor, host, int(port), timeout=2).connect(
            Factory.forProtocol(lambda: Line(self))
        ).addErrback(self.not_up)

    def not_up(self, failure: Any) -> None:
        if self.failures == 0:
            self.remark(
                "planner",
                **PlannerUnreachable(
                    failure.getErrorMessage(), self.file.planner.address
                ).log_fields(),
            )
        self.failures += 1
        self.later(
            "dial", dial_after(self.failures, self.chance.random()) / SECOND, self.dial
        )

    def up(self, line: Line) -> None:
        if self.stopped:
            return line.transport.abortConnection()
        self.line, self.last = line, self.now()
        self.step(Said.UP, line)

    def lost(self, line: Line) -> None:
        if line is self.line:
            self.line = None
            self.step(Said.LOST, line)

    def heard(self, line: Line, frame: Any) -> None:
        """One frame of the planner."""
        what, self.last = frame.WhichOneof("what"), self.now()
        if line is not self.line:
            return
        if what == "welcome":
            self.step(
                Said.WELCOME if self.edge.meet(frame.welcome.epoch) else Said.OLD, line
            )
        elif what == "grants" and self.link is Link.PLANNED:
            for each in frame.grants.given:
                self.take(get_grant(each))
        elif what == "refused":
            self.remark(
                "planner",
                **PlannerRejectedGateway(
                    frame.refused.reason[:200], self.file.planner.address
                ).log_fields(),
            )
            self.step(Said.REFUSED, line)

    def take(self, grant: Any) -> None:
        now = self.now()
        found = self.edge.take(grant, now)
        self.takes.labels(found.name.lower()).inc()
        if found in (Heard.TAKEN, Heard.TOO_LATE) and grant.thing in self.demand:
            self.demand[grant.thing].told(grant, now)
            self.tell(grant.thing)

    def waiting(self) -> dict[Thing, float]:
        """Units that were taken and not sent yet, by thing: what a limit holds back does not arrive faster, but is wanted."""
        found: dict[Thing, float] = {}
        for live in self.host.active.values():
            if not live.answered and not live.attempts:
                arrival = live.request
                node = (
                    self.nodes.get(arrival.shard) if arrival.shard is not None else None
                )
                for thing in (
                    ("limit", arrival.volume),
                    ("reserve", arrival.volume),
                    ("cold", node),
                ):
                    if thing in self.demand:
                        found[thing] = found.get(thing, 0.0) + arrival.units
        return found

    def ask(self) -> None:
        """All that is wanted, in frames of so many; a planner that does not answer is cut."""
        self.later(
            "ask", self.file.planner.ask_s * self.chance.uniform(0.9, 1.1), self.ask
        )
        now = self.now()
        if self.line is not None and now - self.last > SILENT:
            self.step(Said.SILENT, self.line)
        if self.link is not Link.PLANNED or self.line is None:
            return
        wishes, waiting = [], self.waiting()
        for thing, demand in self.demand.items():
            rate = wanted(demand.look(now), waiting.get(thing, 0.0))
            if demand.asks(now, rate, self.span):
                wishes.append(
                    put_ask(
                        self.edge.ask(thing, want_of(rate, self.wholes[thing]), now),
                        rate,
                    )
                )
        for at in range(0, max(len(wishes), 1), PER_FRAME):
            self.line.transport.write(
                encoded(asks=Asks(wish=wishes[at : at + PER_FRAME]))
            )
