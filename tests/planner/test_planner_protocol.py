"""Tests of the link's state machine, the demand estimate, epochs and frames."""

import os
import tempfile
import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.interface import QuotaKind
from milletsill.planner import codec, epoch_store
from milletsill.planner.codec import (
    FrameParser,
    MalformedPlannerFrameError,
    encode_frame,
)
from milletsill.planner.demand_estimate import DemandEstimate, share_for_rate
from milletsill.planner.plan_pb2 import Asks, Welcome
from milletsill.planner.planner_link import (
    MAX_RECONNECT_DELAY,
    LinkAction,
    LinkEvent,
    LinkState,
    next_link_state,
    reconnect_delay,
)
from milletsill.planner.quota_ledger import QuotaLedger
from milletsill.planner.quota_terms import (
    SECOND,
    QuotaGrant,
    QuotaKey,
    QuotaLoan,
    QuotaRequest,
    QuotaTimings,
    ReportedLoan,
)


class LinkDemandAndForecast(unittest.TestCase):
    def test_the_link_is_reestablished_after_a_stale_epoch_timeout_or_loss(self):
        self.assertEqual(
            [
                next_link_state(*each)
                for each in (
                    (LinkState.DOWN, LinkEvent.CONNECTED),
                    (LinkState.HELLO_SENT, LinkEvent.WELCOMED),
                    (LinkState.ESTABLISHED, LinkEvent.EPOCH_STALE),
                    (LinkState.ESTABLISHED, LinkEvent.TIMED_OUT),
                    (LinkState.ESTABLISHED, LinkEvent.LOST),
                    (LinkState.DOWN, LinkEvent.LOST),
                )
            ],
            [
                (LinkState.HELLO_SENT, LinkAction.SEND_HELLO),
                (LinkState.ESTABLISHED, LinkAction.SEND_REQUESTS),
                (LinkState.DOWN, LinkAction.REJECT_PLANNER),
                (LinkState.DOWN, LinkAction.ABORT),
                (LinkState.DOWN, LinkAction.RECONNECT),
                (LinkState.DOWN, LinkAction.NOTHING),
            ],
        )

    def test_reconnect_delays_are_jittered_and_grow_to_a_maximum(self):
        self.assertLess(reconnect_delay(1, 0.0), reconnect_delay(1, 1.0))
        self.assertEqual(reconnect_delay(90, 1.0), MAX_RECONNECT_DELAY)

    def test_the_rate_rises_within_two_seconds_and_falls_within_three(self):
        demand = DemandEstimate(sampled_at=0)
        demand.add(50, SECOND)
        self.assertEqual(demand.update_rate(SECOND), 25.0)
        self.assertAlmostEqual(demand.update_rate(2 * SECOND), 25.0 * 2 / 3)
        self.assertAlmostEqual(demand.update_rate(2 * SECOND + 1), 25.0 * 2 / 3)

    def test_share_for_rate_is_a_fraction_of_the_whole_within_bounds(self):
        self.assertEqual(
            [share_for_rate(*each) for each in ((5, 10), (50, 10), (0, 10), (1, 0))],
            [500_000, 1_000_000, 0, 1_000_000],
        )

    def test_the_share_never_falls_below_the_forecast(self):
        timings, key = QuotaTimings(40_000, 0, 0.2), QuotaKey(QuotaKind.LIMIT, 1)
        random = Random(5)
        for _ in range(300):
            ledger = QuotaLedger("e", 1, timings, 0, fresh=random.random() < 0.5)
            holding = ledger.track(key, 4)
            for _ in range(random.randrange(4)):
                holding.add_loan(
                    QuotaLoan(random.randrange(200_000), random.randrange(50_000), 0), 0
                )
            holding.granted = random.randrange(500_000)
            holding.granted_until = random.randrange(50_000)
            now = random.randrange(50_000)
            forecast = ledger.forecast(key, now)
            for at in range(now, 60_000, 500):
                least = forecast.share if at < forecast.until else forecast.least_after
                self.assertLessEqual(least, ledger.share(key, at))


class Epochs(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def test_each_start_gets_a_newer_epoch_and_copies_of_a_state_differ(self):
        epochs = [
            epoch_store.next_epoch(self.folder, Random(each)) for each in range(4)
        ]
        self.assertEqual(epochs, sorted(set(epochs)))
        other = epoch_store.next_epoch(f"{self.folder}/copy", Random(9))
        self.assertNotEqual(
            other, epoch_store.next_epoch(f"{self.folder}/copy2", Random(10))
        )

    def test_a_write_truncated_at_any_byte_leaves_the_other_slot_valid(self):
        before = epoch_store.next_epoch(self.folder, Random(1))
        last = epoch_store.next_epoch(self.folder, Random(2))
        for name in epoch_store.SLOT_NAMES:
            path = os.path.join(self.folder, name)
            with open(path, "rb") as source:
                data = source.read()
            for size in range(len(data)):
                with open(path, "wb") as sink:
                    sink.write(data[:size])
                results = [
                    epoch_store.read_slot(os.path.join(self.folder, each))
                    for each in epoch_store.SLOT_NAMES
                ]
                self.assertIn(max(results), (before, last))
            with open(path, "wb") as sink:
                sink.write(data)

    def test_a_flipped_bit_invalidates_the_slot(self):
        epoch_store.next_epoch(self.folder, Random(1))
        path = os.path.join(self.folder, epoch_store.SLOT_NAMES[0])
        with open(path, "rb") as source:
            data = bytearray(source.read())
        for at in range(len(data)):
            data[at] ^= 4
            with open(path, "wb") as sink:
                sink.write(data)
            self.assertEqual(epoch_store.read_slot(path), 0)
            data[at] ^= 4

    def test_an_unwritable_folder_raises_epoch_not_stored(self):
        path = os.path.join(self.folder, "file")
        with open(path, "w", encoding="ascii") as sink:
            sink.write("not a directory")
        with self.assertRaises(epoch_store.EpochNotStoredError):
            epoch_store.next_epoch(path, Random(1))


class Frames(unittest.TestCase):
    def test_requests_and_grants_survive_encoding_and_decoding(self):
        loans = (ReportedLoan(3, 4), ReportedLoan(1, 9))
        request = QuotaRequest(
            "e", 7, 1 << 60, QuotaKey(QuotaKind.SLOW_START, 9), 1, 2, loans, 5
        )
        message = codec.encode_request(request, 1.5)
        self.assertEqual(codec.decode_request("e", 7, message), request)
        grant = QuotaGrant(
            1 << 60, 7, QuotaKey(QuotaKind.LIMIT, 2), 3, 4, 5, 6, 7, 8, 9
        )
        self.assertEqual(codec.decode_grant(codec.encode_grant(grant)), grant)

    def test_frames_are_parsed_from_pieces_of_any_size(self):
        data = encode_frame(welcome=Welcome(version=1, epoch=5)) + encode_frame(
            asks=Asks()
        )
        for size in range(1, len(data)):
            parser = FrameParser()
            results = [
                frame
                for at in range(0, len(data), size)
                for frame in parser.feed(data[at : at + size])
            ]
            self.assertEqual(
                [each.WhichOneof("what") for each in results], ["welcome", "asks"]
            )

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_parse_or_raise_a_one_line_error(self, data):
        try:
            list(FrameParser().feed(data))
        except MalformedPlannerFrameError as error:
            self.assertNotIn("\n", str(error))

    def test_an_oversized_frame_is_rejected_from_its_length_alone(self):
        with self.assertRaises(MalformedPlannerFrameError):
            list(FrameParser().feed((1 << 30).to_bytes(4, "big")))


if __name__ == "__main__":
    unittest.main()
