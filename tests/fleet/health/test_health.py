"""Health that is shared: rows that become equal, verdicts by their table, liars, bounds, ramps, the module on advice."""

import re
import unittest
from pathlib import Path
from random import Random
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.fleet.health import codec, health_evaluator
from milletsill.fleet.health.health_evaluator import (
    CALLED,
    LASTS,
    SECOND,
    TABLE,
    Finding,
    Held,
    Judge,
    Order,
    Verdict,
)
from milletsill.fleet.health.health_sharing import Sharing
from milletsill.fleet.health.node_observer import Observer
from milletsill.fleet.health.report_exchange import Spread
from milletsill.fleet.health.report_store import MalformedHealthReport, Rows, Word
from milletsill.fleet.transport import MessageKind, Member, MemberState, View
from milletsill.interface import (
    AttemptResult,
    Request,
    Endpoint,
    EndpointUpdateKind,
    AttemptOutcome,
    Readiness,
)
from milletsill.lab.health_day import Day

GATEWAYS, BOXES = 40, 12
CELLS = {box: box for box in range(BOXES)}


def word(lost=0.0, pace=0.0, now=0, seen=1.0):
    return Word(0, now, seen, lost, lost, seen * (1 - lost), pace)


def view_of(count):
    return View(
        1, [Member(str(each), "", 1, MemberState.ALIVE) for each in range(count)]
    )


def order_of(count):
    order = Order()
    order.see(lambda name: map(int, view_of(count).rendezvous(name, count)))
    return order


class Fleet:
    """Rows of some gateways, all at one judge."""

    def __init__(self, gateways=GATEWAYS, cells=CELLS, most_part=0.34):
        self.rows, self.judge, self.now = (
            Rows(-1, 1, 4096, 4096),
            Judge(most_part),
            SECOND,
        )
        self.origins = [Rows(each, 1, 2, 4096) for each in range(gateways)]
        self.cells, self.order = cells, order_of(gateways)
        self.turns = []

    def play(self, seconds, said):
        """`said(origin, box)` gives a word or None; each tenth look is a word's chance for each origin and box."""
        for _ in range(round(seconds * SECOND) // 3000):
            self.now += 3000
            for number, origin in enumerate(self.origins):
                words = {
                    box: each
                    for box in self.cells
                    if (each := said(number, box)) is not None
                }
                for each in words.values():
                    each.at = self.now
                if words:
                    self.rows.merge(origin.write(words))
            self.turns += self.judge.look(
                self.rows, len(self.origins), self.order, self.cells, self.now
            )
        return {box for box, held in self.judge.boxes.items() if held.verdict in CALLED}


def seen(chance, lost=None, pace=None, part=0.2):
    """What honest gateways say: each of a box now and then; `lost` and `pace` by box."""
    return lambda origin, box: (
        word(
            float(chance.random() < (lost or {}).get(box, 0.0)),
            (pace or {}).get(box, 0.0) + chance.gauss(0, 0.8),
        )
        if chance.random() < part
        else None
    )


class RowsBecomeEqual(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 32), st.floats(0, 0.6))
    def test_whatever_is_lost_late_or_doubled(self, seed, loss):
        chance, frames = Random(seed), []
        nodes = {str(each): Rows(each, 1, 8, 8) for each in range(4)}
        spreads = {
            name: Spread(
                rows,
                seed + int(name),
                lambda to, body, name=name: frames.append((name, to, body)),
            )
            for name, rows in nodes.items()
        }

        def deliver(keep):
            chance.shuffle(frames)
            sent, frames[:] = frames[:], []
            for sender, to, body in sent:
                for _ in range(
                    chance.choice((1, 1, 2)) if chance.random() >= keep else 0
                ):
                    spreads[to].hear(0, sender, body, lambda origin: True)

        for step in range(12):
            one = chance.choice(list(nodes))
            if chance.random() < 0.1:
                nodes[one].restart(nodes[one].own.run + 1)
            spreads[one].write(
                {chance.randrange(8): word(chance.random(), chance.random())}
            )
            for name, each in spreads.items():
                each.round(step * 2000, [other for other in nodes if other != name])
            deliver(loss)
        for step in range(40):
            for name, each in spreads.items():
                each.round(
                    100 * SECOND + step * SECOND,
                    [other for other in nodes if other != name],
                )
            while frames:
                deliver(0.0)
        told = [rows.told() for rows in nodes.values()]
        self.assertTrue(all(each == told[0] for each in told))

    def test_rows_of_the_gone_go_and_bounds_hold(self):
        rows, other = Rows(1, 1, 3, 4), Rows(2, 5, 3, 9)
        news = other.write({1: word()})
        self.assertTrue(rows.merge(news))
        self.assertFalse(rows.merge(news))
        self.assertFalse(
            rows.merge(Rows(2, 4, 3, 9).write({1: word()}))
        )  # an older run
        with self.assertRaises(MalformedHealthReport):
            rows.merge(other.write({box: word() for box in range(9)}))
        for each in (3, 4):
            rows.merge(Rows(each, 1, 3, 4).write({1: word()}))
        self.assertEqual(set(rows.rows), {1, 2, 3})
        rows.keep((1, 3), 0)
        self.assertEqual(set(rows.rows), {1, 3})
        for body in (b"\xff\xff", b"x" * (6 * codec.MOST_FRAME)):
            with self.assertRaises(MalformedHealthReport):
                codec.decoded(body)


class Verdicts(unittest.TestCase):
    def test_the_table_calls_ramps_and_clears(self):
        path = [
            (Finding.ILL, Verdict.DEGRADED),
            (Finding.LOST, Verdict.FAILING),
            (Finding.UNSURE, Verdict.FAILING),
            (Finding.WELL, Verdict.RECOVERING),
            (Finding.ILL, Verdict.DEGRADED),
            (Finding.DOUBTED, Verdict.RECOVERING),
            (Finding.WHOLE, Verdict.STEADY),
            (Finding.UNSURE, Verdict.STEADY),
            (Finding.DOUBTED, Verdict.STEADY),
        ]
        verdict = Verdict.STEADY
        for finding, expected in path:
            verdict = TABLE.get((verdict, finding), (verdict, ""))[0]
            self.assertIs(verdict, expected)

    def test_ill_boxes_are_called_and_no_others_and_are_well_again_by_a_ramp(self):
        for lost, pace in (({3: 1.0}, {}), ({3: 0.4}, {}), ({}, {3: 1.3})):
            fleet, chance = Fleet(), Random(4)
            self.assertEqual(fleet.play(8, seen(chance)), set())
            self.assertEqual(
                fleet.play(12, seen(chance, lost, pace)), {3}, (lost, pace)
            )
            parts = []
            for _ in range(40):
                fleet.play(0.3, seen(chance))
                parts.append(fleet.judge.boxes[3].open)
            self.assertIs(fleet.judge.boxes[3].verdict, Verdict.STEADY)
            self.assertTrue(
                all(later - one < 0.5 for one, later in zip(parts, parts[1:])), parts
            )
            self.assertEqual({each.box for each in fleet.turns}, {3})

    def test_much_work_everywhere_calls_nobody_and_too_many_are_not_believed(self):
        fleet, chance = Fleet(), Random(5)
        fleet.play(6, seen(chance))
        self.assertEqual(
            fleet.play(8, seen(chance, {}, dict.fromkeys(CELLS, 1.5))), set()
        )
        self.assertEqual(
            fleet.play(8, seen(chance, dict.fromkeys(range(8), 1.0))), set()
        )
        self.assertGreater(fleet.judge.doubted, 4)

    def test_of_a_cell_not_all_are_called(self):
        fleet, chance = Fleet(cells={box: box // 4 for box in range(BOXES)}), Random(6)
        called = fleet.play(14, seen(chance, {0: 1.0, 1: 1.0, 2: 1.0}))
        self.assertEqual(len(called), 1)

    def test_liars_and_the_sick_move_nothing(self):
        for part, lies in (
            (0.05, lambda box: box in (1, 2)),
            (0.2, lambda box: box in (1, 2, 3)),
            (0.3, lambda box: True),
        ):
            fleet, chance = Fleet(100), Random(7)
            honest = seen(chance, {5: 1.0}, part=0.1)
            fleet.play(
                60,
                lambda origin, box: (
                    word(1.0, seen=8.0)
                    if origin < part * 100 and lies(box)
                    else honest(origin, box)
                ),
            )
            late = {each.box for each in fleet.turns[-1:]} | fleet.play(
                6,
                lambda origin, box: (
                    word(1.0, seen=8.0)
                    if origin < part * 100 and lies(box)
                    else honest(origin, box)
                ),
            )
            self.assertEqual(late & {1, 2, 3}, set(), part)
            self.assertIs(fleet.judge.boxes[5].verdict, Verdict.FAILING)

    def test_a_failing_box_is_tried_by_few_and_its_load_sinks_in_steps(self):
        fleet, chance = Fleet(), Random(8)
        fleet.play(6, seen(chance))
        fleet.play(12, seen(chance, {3: 1.0}))
        judge = fleet.judge
        advice = [
            judge.advice(3, fleet.order(3)[each], GATEWAYS) for each in range(GATEWAYS)
        ]
        tries = sum(strain <= 0 for strain, _ in advice)
        self.assertTrue(health_evaluator.FEWEST_PROBERS <= tries <= GATEWAYS / 3, tries)
        self.assertEqual(sum(away for _, away in advice), GATEWAYS - tries)
        held = Held(Verdict.FAILING)
        judge.step(3, held, Finding.LOST, GATEWAYS, False)
        self.assertEqual(held.part, health_evaluator.SINK_FAILING)

    def test_slow_is_told_from_much_work_size_by_size(self):
        def seen_by(latency, inflight):
            observer = Observer(
                SimpleNamespace(
                    request_classes=[SimpleNamespace(latency_objective=3000)]
                )
            )
            observer.list(
                [
                    Endpoint(each, Readiness.READY, 2.0, 0, 0, None, each)
                    for each in range(2)
                ]
            )

            def answer(box, units, latency, inflight):
                observer.answer(
                    0,
                    Request(1, 1, 1, 1, 0, 0, False, False, None, units, 9000),
                    AttemptResult(
                        1,
                        0,
                        box,
                        AttemptOutcome.SUCCEEDED,
                        True,
                        latency,
                        None,
                        0,
                        {"inflight": inflight},
                    ),
                )

            for _ in range(60):
                answer(0, 1, 200, 1)
                answer(0, 8, 1600, 1)
            answer(1, 8, latency, inflight)
            return observer.words(0)[1].pace

        self.assertAlmostEqual(seen_by(1600, 1), 0, places=2)
        self.assertAlmostEqual(seen_by(6400, 7), 0, places=2)
        self.assertAlmostEqual(seen_by(6400, 1), 2, places=2)


class Advice(unittest.TestCase):
    def day(self, ill="calm"):
        return Day(
            ill, "alone", 3, gateways=6, boxes=8, rate=60.0, begins=1, ends=3, lasts=4
        )

    def test_without_advice_each_decision_is_as_before_and_with_it_choice_moves(self):
        def played(advise):
            day, sent = self.day(), []
            for number, gateway in enumerate(day.gateways):
                send = gateway.send_attempt
                gateway.send_attempt = (
                    lambda transfer, node, timeout, send=send, number=number: (
                        sent.append((day.now, number, transfer, node, timeout)),
                        send(transfer, node, timeout),
                    )
                )
            for at in range(0, 4 * SECOND, 1000):
                day.at(at, advise, day)
            day.play()
            return sent

        plain = played(lambda day: None)
        self.assertGreater(len(plain), 200)
        for neutral in (
            lambda day: [
                each.module.on_health_advice(day.now, 99, 4.0, True, day.now + 3000)
                for each in day.gateways
            ],
            lambda day: [
                each.module.on_health_advice(day.now, 1, 4.0, True, day.now)
                for each in day.gateways
            ],
        ):
            self.assertEqual(played(neutral), plain)
        away = played(
            lambda day: [
                (
                    each.module.on_health_advice(day.now, 1, 4.0, True, day.now + 3000),
                    each.settle_soon(),
                )
                for each in day.gateways
            ]
        )
        count = [sum(node == 1 for _, _, _, node, _ in each) for each in (plain, away)]
        self.assertLess(count[1], count[0] / 2)

    def test_it_ends_by_itself_and_fresh_knowledge_goes_before(self):
        day = self.day()
        day.start()
        day.run(SECOND)
        module = day.gateways[0].module
        node = module.state.nodes[1]
        node.last_heard_at = node.failed_at = -9 * SECOND
        module.on_health_advice(day.now, 1, 4.0, True, day.now + 3000)
        self.assertEqual(node.backoff_until, day.now + 3000)
        transfer = SimpleNamespace(shard=None, key=0, node=None, attempts=[], units=1)
        spoken = module.placement.placement_cost(transfer, node, day.now)[3]
        self.assertAlmostEqual(
            spoken - module.placement.placement_cost(transfer, node, day.now + 3000)[3],
            4.0,
        )
        node.backoff_until, node.failures = 0, 2
        node.last_heard_at = day.now
        module.on_health_advice(day.now, 1, 4.0, True, day.now + 3000)
        self.assertEqual((node.backoff_until, node.failures), (0, 2))
        node.last_heard_at, node.backoff_until = -9 * SECOND, day.now + SECOND
        module.on_health_advice(
            day.now, 1, 0.0, False, day.now + 3000
        )  # chosen to try it
        self.assertEqual((node.backoff_until <= day.now, node.failures), (True, 0))


class Settings(unittest.TestCase):
    def test_figures_that_cannot_stand_are_said(self):
        from milletsill.settings.load import parse
        from milletsill.settings.milletsill_pb2 import GatewayFile
        from milletsill.settings.validation import check_gateway

        text = Path("examples/fleet-1.textproto").read_text("utf-8")
        text = re.sub(r"health *{[^}]*}", "", text).replace(
            "fleet {", "fleet { health { HERE }", 1
        )
        parse(text.replace("HERE", "lasts_s: 3"), "f", GatewayFile, check_gateway)
        for wrong, word_of in (
            ("publish_ms: 2", "publish_ms"),
            ("lasts_s: 1", "renewed"),
            ("most_part: 0.9", "most_part"),
        ):
            with self.assertRaisesRegex(Exception, word_of):
                parse(text.replace("HERE", wrong), "f", GatewayFile, check_gateway)


class Plane:
    """Members that hear each other at once."""

    def __init__(self, name, all_of):
        self.name, self.incarnation, self.all_of, self.heard = name, 1, all_of, None
        self.view = View(0, ())
        all_of[name] = self

    def send(self, member, kind, body):
        self.all_of[member].heard(self.name, self.incarnation, body)
        return True

    def subscribe(self, kind, heard):
        assert kind is MessageKind.HEALTH
        self.heard = heard

    def watch_view(self, told):
        self.told = told


class Gateways(unittest.TestCase):
    def test_gateways_agree_advise_their_modules_and_stop(self):
        from prometheus_client import CollectorRegistry
        from twisted.internet.task import Clock

        clock, planes, sharings, notes = Clock(), {}, [], []
        now = lambda: int(clock.seconds() * SECOND)  # noqa: E731
        link = SimpleNamespace(
            most_members=1024,
            health=SimpleNamespace(publish_ms=300, lasts_s=6, most_part=0.34),
        )
        entries = [
            Endpoint(each, Readiness.READY, 2.0, 0, 0, None, each) for each in range(6)
        ]
        for each in range(6):
            host = mock.Mock(
                config=SimpleNamespace(
                    request_classes=[SimpleNamespace(latency_objective=3000)]
                )
            )
            sharings.append(
                Sharing(
                    clock,
                    now,
                    link,
                    each,
                    Plane(f"edge-{each}", planes),
                    host,
                    mock.Mock(),
                    lambda event, **values: notes.append((event, values)),
                    CollectorRegistry(),
                    64,
                )
            )
            sharings[-1].start()
            sharings[-1].listed(EndpointUpdateKind.SNAPSHOT, entries)
        for each in sharings:
            each.viewed(
                View(1, [Member(name, "", 1, MemberState.ALIVE) for name in planes]), ()
            )
        arrival = Request(1, 1, 1, 1, 0, 0, False, False, None, 1, 99_000)
        for step in range(200):
            clock.advance(0.1)
            for each in sharings:
                box = step % 6
                lost = box == 2 and step > 60
                each.host.on_attempt_ended(
                    now(),
                    arrival,
                    AttemptResult(
                        1,
                        0,
                        box,
                        AttemptOutcome.TIMED_OUT if lost else AttemptOutcome.SUCCEEDED,
                        not lost,
                        300,
                        None,
                        0,
                        {},
                    ),
                )
        self.assertTrue(
            all(each.judge.boxes[2].verdict is Verdict.FAILING for each in sharings)
        )
        self.assertTrue(
            any(
                event == "box_verdict"
                and values["box"] == 2
                and values["new"] == "failing"
                for event, values in notes
            )
        )
        kept = [
            call.args
            for each in sharings
            for call in each.host.on_health_advice.call_args_list[-1:]
        ]
        self.assertTrue(
            any(away for _, _, away, _ in kept)
            and all(
                until == now() + LASTS * 3000 or until > now()
                for _, _, _, until in kept
            )
        )
        sharings[0].heard("edge-1", 1, b"\xff")
        self.assertEqual(
            sharings[0].remark.call_args.kwargs["error"], "MalformedHealthReport"
        )
        for each in sharings:
            each.stop()
        self.assertEqual(clock.getDelayedCalls(), [])


if __name__ == "__main__":
    unittest.main()
