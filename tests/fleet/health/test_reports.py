"""Replicated reports converge, and their limits are enforced."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.fleet.health import codec
from milletsill.fleet.health.report_exchange import ReportExchange
from milletsill.fleet.health.report_store import MalformedHealthReportError, ReportStore
from milletsill.fleet.health.tuning import SECOND
from tests.fleet.health.observations import observation


class ReportsConverge(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 32), st.floats(0, 0.6))
    def test_despite_lost_reordered_and_duplicated_frames(self, seed, loss):
        random, frames = Random(seed), []
        stores = {str(each): ReportStore(each, 1, 8, 8) for each in range(4)}
        exchanges = {
            name: ReportExchange(
                store,
                seed + int(name),
                lambda to, body, name=name: frames.append((name, to, body)),
            )
            for name, store in stores.items()
        }

        def deliver(loss):
            random.shuffle(frames)
            sent, frames[:] = frames[:], []
            for sender, to, body in sent:
                for _ in range(
                    random.choice((1, 1, 2)) if random.random() >= loss else 0
                ):
                    exchanges[to].on_frame(0, sender, body, lambda origin: True)

        for step in range(12):
            writer = random.choice(list(stores))
            if random.random() < 0.1:
                stores[writer].restart(stores[writer].own.incarnation + 1)
            exchanges[writer].write(
                {random.randrange(8): observation(random.random(), random.random())}
            )
            for name, each in exchanges.items():
                each.run_round(
                    step * 2000, [other for other in stores if other != name]
                )
            deliver(loss)
        for step in range(40):
            for name, each in exchanges.items():
                each.run_round(
                    100 * SECOND + step * SECOND,
                    [other for other in stores if other != name],
                )
            while frames:
                deliver(0.0)
        states = [store.replicated_state() for store in stores.values()]
        self.assertTrue(all(each == states[0] for each in states))

    def test_reports_of_absent_origins_expire_and_limits_are_enforced(self):
        store, other = ReportStore(1, 1, 3, 4), ReportStore(2, 5, 3, 9)
        delta = other.write({1: observation()})
        self.assertTrue(store.merge(delta))
        self.assertFalse(store.merge(delta))
        self.assertFalse(
            store.merge(ReportStore(2, 4, 3, 9).write({1: observation()}))
        )  # an older incarnation
        with self.assertRaises(MalformedHealthReportError):
            store.merge(other.write({node: observation() for node in range(9)}))
        for each in (3, 4):
            store.merge(ReportStore(each, 1, 3, 4).write({1: observation()}))
        self.assertEqual(set(store.reports), {1, 2, 3})
        store.expire((1, 3), 0)
        self.assertEqual(set(store.reports), {1, 3})
        for body in (b"\xff\xff", b"x" * (6 * codec.MAX_FRAME_BYTES)):
            with self.assertRaises(MalformedHealthReportError):
                codec.decode_frame(body)


if __name__ == "__main__":
    unittest.main()
