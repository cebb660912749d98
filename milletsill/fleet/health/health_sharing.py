"""A gateway's side of shared health: what its module is told becomes its row, rows travel over the plane, verdicts become advice.

Nothing here waits for another gateway. Advice ends by itself some periods after it was last said. A gateway whose file has no
`health` block in its `fleet` loads none of this.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import xxhash
from prometheus_client import Counter, Gauge

from milletsill.fleet.health.health_evaluator import (
    CALM_PUBLISH,
    LASTS,
    ROUND,
    TAU,
    Judge,
    Order,
    Verdict,
)
from milletsill.fleet.health.node_observer import Observer, urgent
from milletsill.fleet.health.report_exchange import Spread
from milletsill.fleet.health.report_store import MalformedHealthReport, Rows
from milletsill.fleet.transport import (
    ViewChange,
    MessageKind,
    Member,
    FleetTransport,
    View,
)
from milletsill.interface import Endpoint, EndpointUpdateKind, Readiness

SAY_EVERY = 100_000  # between lines about rows that were refused


def key_of(name: str) -> int:
    """A gateway's number in rows: the same at all."""
    return xxhash.xxh64_intdigest(name.encode("utf-8", "surrogateescape"))


class Sharing:
    """`remark` takes a line that someone should look at, `note` one that says what goes on."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        link: Any,
        seed: int,
        plane: FleetTransport,
        host: Any,
        remark: Callable[..., None],
        note: Callable[..., None],
        registry: Any,
        most_boxes: int,
    ) -> None:
        self.reactor, self.now, self.plane, self.host = reactor, now, plane, host
        self.remark, self.note = remark, note
        self.period, self.lasts = (
            int(link.health.publish_ms * 10),
            int(link.health.lasts_s * 10_000),
        )
        self.key = key_of(plane.name)
        self.rows = Rows(self.key, plane.incarnation, link.most_members, most_boxes)
        self.spread = Spread(
            self.rows,
            seed,
            lambda member, body: plane.send(member, MessageKind.HEALTH, body),
        )
        self.observer, self.judge, self.order = (
            Observer(host.config),
            Judge(link.health.most_part),
            Order(),
        )
        self.present: set[int] = {self.key}
        self.others: list[str] = []
        self.cells: dict[int, int] = {}
        self.turn, self.refused_at, self.doubted, self.sent = (
            0,
            now() - SAY_EVERY,
            False,
            0,
        )
        self.calls: dict[str, Any] = {}
        self.stopped = False
        self.verdicts = Gauge(
            "milletsill_health_boxes",
            "Boxes by verdict",
            ("verdict",),
            registry=registry,
        )
        self.turns = Counter(
            "milletsill_health_verdicts",
            "Changes of verdicts, by the new one",
            ("verdict",),
            registry=registry,
        )
        self.octets = Counter(
            "milletsill_health_octets",
            "Octets of rows told to other gateways",
            registry=registry,
        )
        self.refused = Counter(
            "milletsill_health_refused",
            "Frames and rows that were not taken",
            registry=registry,
        )
        self.held = Gauge(
            "milletsill_health_rows",
            "Rows of gateways, this one's with them",
            registry=registry,
        )
        self.disbelieved = Gauge(
            "milletsill_health_doubted",
            "Boxes that seem ill and are not called, for too many do",
            registry=registry,
        )
        self.kept_away = Gauge(
            "milletsill_health_away",
            "Boxes that this gateway was advised to keep away from",
            registry=registry,
        )

    # Life.

    def start(self) -> None:
        self.plane.subscribe(MessageKind.HEALTH, self.heard)
        self.plane.watch_view(self.viewed)
        self.host.on_attempt_ended = self.observer.answer
        self.viewed(self.plane.view, ())
        self.every("round", ROUND, self.round)
        self.every("publish", self.period, self.publish)
        self.every("look", self.period, self.look)

    def stop(self) -> None:
        self.stopped = True
        for each in self.calls.values():
            if each.active():
                each.cancel()

    def every(self, name: str, span: int, call: Callable[[], None]) -> None:
        """One timer a name, until the end."""

        def ring() -> None:
            self.every(name, span, call)
            call()

        if not self.stopped:
            self.calls[name] = self.reactor.callLater(span / 10_000, ring)

    # What is told.

    def listed(self, news: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        """News of the list: verdicts are on those that are ready."""
        if news is EndpointUpdateKind.FAILED:
            return
        self.observer.list(entries)
        told = {each.node: each for each in entries}
        ready = {
            each.node: each.shard
            for each in entries
            if each.readiness is Readiness.READY
        }
        if news is EndpointUpdateKind.DELTA:
            ready |= {box: cell for box, cell in self.cells.items() if box not in told}
        self.cells = ready
        self.observer.forget(ready)

    def viewed(self, view: View, changes: Sequence[tuple[ViewChange, Member]]) -> None:
        """Who is there, and in which order they try a box."""
        names = {key_of(each): each for each in view.by_name}
        self.present = set(names) | {self.key}
        self.others = [each for each in view.by_name if each != self.plane.name]
        self.order.see(lambda box: map(key_of, view.rendezvous(box, len(names))))
        self.rows.keep(self.present, self.now() - self.lasts)

    def heard(self, member: str, run: int, body: bytes) -> None:
        try:
            self.spread.hear(self.now(), member, body, self.present.__contains__)
        except MalformedHealthReport as error:
            self.refused.inc()
            if self.now() - self.refused_at >= SAY_EVERY:
                self.refused_at = self.now()
                self.remark("health", member=member, **error.log_fields())

    # What is done.

    def publish(self) -> None:
        """This gateway's row: at once where something was ill, else now and then."""
        self.turn += 1
        self.rows.restart(self.plane.incarnation)
        news = self.observer.ill or urgent(self.observer.sights, self.judge.called())
        if news or self.turn % CALM_PUBLISH == 0:
            self.spread.write(self.observer.words(self.now()))

    def round(self) -> None:
        self.spread.round(self.now(), self.others)
        self.octets.inc(self.spread.octets - self.sent)
        self.sent = self.spread.octets

    def look(self) -> None:
        """Verdicts, said where they change, and advice for the module."""
        now, members = self.now(), len(self.present)
        self.rows.keep(self.present, now - min(self.lasts, 4 * TAU))
        for turn in self.judge.look(self.rows, members, self.order, self.cells, now):
            self.turns.labels(turn.new.name.lower()).inc()
            self.note(
                "box_verdict",
                box=turn.box,
                old=turn.old.name.lower(),
                new=turn.new.name.lower(),
                cause=turn.cause,
            )
        away = 0
        for box, held in self.judge.boxes.items():
            if held.verdict is not Verdict.STEADY:  # orders are made for these alone
                strain, keep_away = self.judge.advice(
                    box, self.order(box).get(self.key, members), members
                )
                away += keep_away
                self.host.on_health_advice(
                    box, strain, keep_away, now + LASTS * self.period
                )
        self.show(away)

    def show(self, away: int) -> None:
        """Figures, and a line when verdicts are no longer believed, or are again."""
        verdicts = [each.verdict for each in self.judge.boxes.values()]
        for verdict in Verdict:
            self.verdicts.labels(verdict.name.lower()).set(verdicts.count(verdict))
        self.held.set(len(self.rows.rows))
        self.kept_away.set(away)
        self.disbelieved.set(self.judge.doubted)
        doubted = self.judge.doubted > 0
        if doubted is not self.doubted:
            self.doubted = doubted
            if doubted:
                self.remark(
                    "health_doubted", boxes=self.judge.doubted, of=len(self.cells)
                )
            else:
                self.note("health_believed", boxes=len(self.cells))


def sharing_of(edge: Any, seed: int) -> Sharing:
    """For a gateway whose file asks for it; `edge` has its parts."""
    return Sharing(
        edge.reactor,
        edge.now,
        edge.file.fleet,
        seed,
        edge.fleet,
        edge.host,
        edge.warn,
        lambda event, **values: edge.log.info(event, **values),
        edge.metrics.registry,
        edge.file.registry.most_boxes,
    )
