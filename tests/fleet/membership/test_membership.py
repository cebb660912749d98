"""The view's machines: tables, what ends equal whatever is lost, lost state, two with one name, frames of later versions."""

import unittest
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from milletsill.errors import MilletsillError
from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.codec import (
    LENGTH,
    MAGIC,
    MOST_DATAGRAM,
    MOST_FRAME,
    Codec,
    Frames,
    FleetNameMismatch,
    FrameTooLong,
    FrameVersionTooNew,
    MalformedFrame,
    framed,
)
from milletsill.fleet.frames.messages import FleetMessage, MemberUpdate, FrameType
from milletsill.fleet.gossip.gossip_queue import Spread, bound
from milletsill.fleet.membership import failure_detector
from milletsill.fleet.membership.effects import SendMessage
from milletsill.fleet.membership.failure_detector import (
    BEAT,
    HELD,
    Order,
    Own,
    Sign,
    Stage,
    Terms,
    Watch,
    Word,
)
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.net.stream_state import Line, due, step
from milletsill.fleet.net.stream_state import Sign as LineSign
from milletsill.fleet.transport import MessageKind, MemberState, View
from milletsill.lab.fleet_clock import SECOND, FleetClock
from tests.support.paths import FIXTURES

FIXTURE = str(FIXTURES / "fleet-1.hex")
ALIVE, SUSPECT, GONE, LEFT = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.GONE,
    MemberState.LEFT,
)
ME = MemberUpdate("gw-1", 7, 0xABCDEF, 2, ALIVE, "10.0.0.1:7700")
OTHER = MemberUpdate("gw-2", 3, 5, 1, SUSPECT, suspected_by=("gw-1", "gw-9"))
FRAMES = [
    FleetMessage(FrameType.PROBE, ME, (OTHER,), 4, "gw-2"),
    FleetMessage(FrameType.ACK, ME, (), 4, "gw-1"),
    FleetMessage(FrameType.THROUGH, ME, (), 0, "gw-2", "10.0.0.2:7700"),
    FleetMessage(FrameType.NEWS, ME, (OTHER, MemberUpdate("gw-3", 1, 9, 0, LEFT))),
    FleetMessage(FrameType.DIGEST, ME, digest=2**63 + 1),
    FleetMessage(
        FrameType.ROWS,
        ME,
        (MemberUpdate("gw-3", 1, 9, 0, GONE, "10.0.0.3:7700", 55),),
        answer=True,
    ),
    FleetMessage(FrameType.BODY, ME, kind=MessageKind.HEALTH, body=b"row"),
    FleetMessage(FrameType.TWIN, ME),
]


class Octets(unittest.TestCase):
    def test_frames_of_this_version_are_what_they_were(self):
        """Recorded octets: a later text of this version must still say and understand them."""
        codec = Codec("dock")
        with open(FIXTURE, encoding="ascii") as source:
            recorded = [bytes.fromhex(each) for each in source.read().split()]
        self.assertEqual([codec.decode(each) for each in recorded], FRAMES)
        self.assertEqual([codec.encode(each) for each in FRAMES], recorded)

    def test_what_makes_no_sense_has_its_own_error(self):
        codec, data = Codec("dock"), Codec("dock").encode(FRAMES[0])
        newer = (
            MAGIC
            + fleet_pb2.Frame(version=9, least=9, fleet="dock").SerializeToString()
        )
        senderless = (
            MAGIC + fleet_pb2.Frame(version=1, fleet="dock", what=1).SerializeToString()
        )
        for error, octets in (
            (MalformedFrame, b""),
            (MalformedFrame, b"GET / HTTP/1.1"),
            (MalformedFrame, MAGIC + b"\xff\xff"),
            (FrameVersionTooNew, newer),
            (MalformedFrame, senderless),
            (FleetNameMismatch, Codec("other").encode(FRAMES[0])),
            (FrameTooLong, bytes(MOST_FRAME + 1)),
        ):
            with self.assertRaises(error) as caught:
                codec.decode(octets)
            self.assertTrue(
                isinstance(caught.exception, MilletsillError)
                and caught.exception.remedy
            )
        frames = Frames()
        self.assertEqual(
            list(frames.feed(framed(data)[:9]))
            + list(frames.feed(framed(data)[9:] + framed(data))),
            [data, data],
        )
        with self.assertRaises(FrameTooLong):
            list(Frames().feed(LENGTH.pack(MOST_FRAME + 1)))
        with self.assertRaises(FrameTooLong):
            codec.encode(
                FleetMessage(
                    FrameType.BODY, ME, kind=MessageKind.HEALTH, body=bytes(MOST_FRAME)
                )
            )

    def test_what_a_later_version_adds_is_passed_over(self):
        frame = fleet_pb2.Frame.FromString(Codec("dock", 2).encode(FRAMES[3])[4:])
        frame.what = 99
        frame.row.add(name="gw-4", run=1, standing=77)
        data = (
            MAGIC + frame.SerializeToString() + b"\xfa\x3f\x03new" + b"\xf8\x42\x07"
        )  # two fields that nobody here knows
        heard = Codec("dock").decode(data)
        self.assertEqual(
            (heard.type, heard.version, heard.sender, heard.updates),
            (None, 2, ME, FRAMES[3].updates),
        )

    @given(st.binary(max_size=300), st.integers(0, 300), st.integers(0, 255))
    def test_any_octets_are_a_message_or_a_typed_error(self, octets, at, value):
        data = bytearray(Codec("dock").encode(FRAMES[0]))
        data[at % len(data)] = value
        for each in (octets, MAGIC + octets, bytes(data)):
            try:
                Codec("dock").decode(each)
            except (MalformedFrame, FleetNameMismatch, FrameVersionTooNew):
                pass


class Tables(unittest.TestCase):
    def test_what_is_said_against_what_is_held(self):
        for case, wanted in (
            ((ALIVE, SUSPECT, Order.SAME), "suspect"),
            ((SUSPECT, ALIVE, Order.NEWER), "refuted"),
            ((ALIVE, GONE, Order.SAME), "hearsay"),
            ((SUSPECT, GONE, Order.SAME), "sentence"),
            ((GONE, ALIVE, Order.NEWER), "again"),
            ((ALIVE, ALIVE, Order.RUN), "restarted"),
            ((SUSPECT, LEFT, Order.SAME), "left"),
            ((LEFT, ALIVE, Order.NEWER), "again"),
        ):
            self.assertEqual(HELD[case][1], wanted)
        self.assertFalse([each for each in HELD if each[2] is Order.OLDER])
        self.assertFalse(
            [
                each
                for each in HELD
                if each[0] in (GONE, LEFT)
                and each[2] is Order.SAME
                and each[1] in (ALIVE, SUSPECT)
            ]
        )
        self.assertEqual(
            [
                failure_detector.order_of((2, 5, 1), each)
                for each in (
                    (1, 9, 9),
                    (2, 4, 9),
                    (2, 5, 0),
                    (2, 5, 1),
                    (2, 5, 2),
                    (2, 6, 0),
                    (3, 0, 0),
                )
            ],
            [Order.OLDER] * 3 + [Order.SAME, Order.NEWER, Order.RUN, Order.RUN],
        )

    def test_spans_of_a_watch(self):
        terms = Terms("t")
        for stage, since, began, wanted in (
            (Stage.ASKED, 1999, 0, None),
            (Stage.ASKED, 2000, 0, Sign.LATE),
            (Stage.THROUGH, 5000, 0, Sign.MISSED),
            (Stage.DOUBTED, 11_999, 0, None),
            (Stage.DOUBTED, 12_000, 0, Sign.SILENT),
            (Stage.SUSPECTED, 0, 19_999, None),
            (Stage.SUSPECTED, 0, 20_000, Sign.OVER),
        ):
            watch = Watch("x", stage, 100_000 - since, 100_000 - began, 100_000)
            self.assertEqual(
                failure_detector.due(watch, 100_000, terms, 1.0, 0, 2), wanted
            )
        self.assertEqual(
            failure_detector.due(
                Watch("x", Stage.SUSPECTED, 0, 100_000 - 10_001, 100_000),
                100_000,
                terms,
                1.0,
                2,
                2,
            ),
            Sign.OVER,
        )

    def test_doubt_in_oneself(self):
        lost, well = [(f"m{each}", False) for each in range(6)], [("w", True)] * 2
        self.assertTrue(failure_detector.troubled(lost + well))
        self.assertFalse(failure_detector.troubled(lost[:4] + well * 2))
        self.assertFalse(
            failure_detector.troubled([("m1", False)] * 8)
        )  # one member that is gone is no trouble of mine
        self.assertEqual(
            (
                failure_detector.score(4, "stood"),
                failure_detector.score(0, "well"),
                failure_detector.times_longer(4, False),
            ),
            (4, 0, 2.0),
        )

    def test_words_about_this_gateway(self):
        for row, claimed, wanted in (
            (("me", 5, 9, 0, SUSPECT), None, Word.MINE),
            (("me", 5, 9, 0, ALIVE), None, Word.OLD),
            (("me", 4, 1, 0, ALIVE), None, Word.OLD),
            (("me", 5, 1, 0, GONE), None, Word.FIRST),
            (("me", 8, 1, 0, ALIVE), 5, Word.PAST_WON),
            (("me", 8, 99, 0, ALIVE), 5, Word.PAST_LOST),
        ):
            self.assertEqual(
                failure_detector.word_of(MemberUpdate(*row), 5, 9, 0, claimed), wanted
            )
        self.assertEqual(failure_detector.OWN.get((Own.LEAVING, Word.MINE)), None)

    def test_streams_end_when_they_should(self):
        self.assertEqual(
            [
                step(*each)
                for each in (
                    (Line.DIALING, LineSign.UP),
                    (Line.DIALING, LineSign.UNREACHED),
                    (Line.OPEN, LineSign.FULL),
                    (Line.STUCK, LineSign.RIPE),
                    (Line.OPEN, LineSign.AWAY),
                    (Line.CLOSED, LineSign.LOST),
                )
            ],
            [
                (Line.OPEN, "flush"),
                (Line.RESTING, "rest"),
                (Line.STUCK, "stuck"),
                (Line.CLOSED, "cut"),
                (Line.CLOSED, "cut"),
                (Line.CLOSED, ""),
            ],
        )
        self.assertEqual(
            [
                due(Line.OPEN, 300_000, 0),
                due(Line.STUCK, 49_999, 0),
                due(Line.RESTING, 3000, 0),
            ],
            [LineSign.SPENT, None, LineSign.RIPE],
        )

    def test_news_goes_out_least_told_first_and_a_bounded_number_of_times(self):
        spread, told = Spread(), []
        for each in range(10):
            spread.add(f"n{each}")
        self.assertEqual(list(spread.take(30, 4, lambda name: 10)), ["n0", "n1", "n2"])
        self.assertEqual(list(spread.take(30, 4, lambda name: 10)), ["n3", "n4", "n5"])
        while spread:
            told += list(spread.take(70, 4, lambda name: 10))
        self.assertEqual(
            {each: told.count(each) for each in ("n0", "n9")}, {"n0": 3, "n9": 4}
        )
        self.assertEqual(bound(1024), 33)

    def test_a_name_moves_only_where_its_own_member_goes(self):
        rows = [
            MemberUpdate(f"m{each}", 1, each, 0, ALIVE, f"a:{each + 1}")
            for each in range(40)
        ]
        from milletsill.fleet.membership.member_table import Known

        whole = View(1, [Known(each, 0).member() for each in rows])
        less = View(2, [each for each in whole.members if each.name != "m7"])
        for number in range(200):
            before, after = (
                whole.rendezvous(f"box {number}", 3),
                less.rendezvous(f"box {number}", 3),
            )
            self.assertEqual(
                [each for each in before if each != "m7"],
                list(after)[: len([each for each in before if each != "m7"])],
            )
        self.assertTrue(less.has_majority(77) and not less.has_majority(78))


class Fleets(unittest.TestCase):
    """Whole fleets on the simulated clock."""

    def settle(self, clock, seconds=90):
        self.assertTrue(
            clock.run(clock.now + seconds * SECOND, lambda: clock.right() == 1),
            clock.right(),
        )
        self.assertEqual(len({each.view.digest for each in clock.live()}), 1)

    @settings(max_examples=12, deadline=None, suppress_health_check=list(HealthCheck))
    @given(
        st.integers(0, 1 << 30),
        st.lists(
            st.sampled_from(
                [
                    "kill",
                    "leave",
                    "back",
                    "lost",
                    "cut",
                    "one way",
                    "stall",
                    "heal",
                    "loss",
                    "new",
                ]
            ),
            min_size=2,
            max_size=8,
        ),
    )
    def test_after_any_faults_heal_all_views_are_equal(self, seed, faults):
        clock, chance = FleetClock(seed), Random(seed)
        clock.whole(8, 2 * SECOND)
        ends: list[str] = []
        for fault in faults:
            live = [each.name for each in clock.live()]
            name = chance.choice(live)
            if fault in ("kill", "leave") and len(live) > 3:
                getattr(clock, fault)(name)
                ends.append(name)
            elif fault in ("back", "lost") and ends:
                old = ends.pop()
                clock.start(
                    old,
                    clock.stands[old].incarnation + 1 if fault == "back" else 1,
                    join=live[:3],
                )
            elif fault == "new":
                clock.start(f"new-{len(clock.stands)}", join=live[:3])
            elif fault in ("cut", "one way"):
                half = chance.sample(live, len(live) // 2)
                clock.cut(
                    half,
                    [each for each in clock.stands if each not in half],
                    fault == "cut",
                )
            elif fault == "stall":
                clock.stall(name, chance.randrange(5000, 80_000))
            elif fault == "loss":
                clock.loss = 0.2
            elif fault == "heal":
                clock.heal()
            clock.run(clock.now + chance.randrange(2000, 12 * SECOND))
        clock.heal()
        clock.loss = 0.0
        self.settle(clock)

    def test_stalls_are_no_deaths_and_a_death_is_one(self):
        clock, chance = FleetClock(4), Random(4)
        clock.whole(16, 3 * SECOND)

        def together():
            for name in chance.sample(sorted(clock.stands), 13):
                clock.at(
                    clock.now + chance.randrange(1000),
                    clock.stall,
                    name,
                    chance.randrange(6600, 12_001),
                )
            clock.at(clock.now + chance.randrange(20_000, 40_001), together)

        together()
        clock.run(clock.now + 60 * SECOND)
        self.assertEqual(clock.false, [])
        clock.kill("gateway-5")
        self.settle(clock, 10)

    def test_a_lost_state_is_said_and_gone_past_whatever_the_nonces(self):
        for seed in range(6):
            clock = FleetClock(seed)
            clock.whole(4, SECOND)
            clock.kill("gateway-3")
            clock.run(clock.now + 5 * SECOND)
            found = clock.start("gateway-3", run=1, join=["gateway-0"])
            self.settle(clock, 10)
            clock.run(clock.now + SECOND)
            self.assertEqual(
                (found.said["LOST_STATE"], found.incarnation, found.said["TWIN"]),
                (1, 2, 0),
            )

    def test_two_with_one_name_are_said_at_both_and_settle(self):
        clock = FleetClock(6)
        clock.whole(6, 2 * SECOND)
        first = clock.stands["gateway-2"]
        twin = clock.start("twin", run=1, join=["gateway-0"])
        twin.member = Membership(
            "gateway-2",
            "twin:1",
            9,
            77,
            clock.terms,
            Random(3),
            ["gateway-0:1"],
            clock.now,
        )
        twin.name = "gateway-2"
        clock.run(clock.now + 20 * SECOND)
        self.assertTrue(first.said["TWIN"] and twin.said["TWIN"])
        held, versions = (
            {each.view.digest for each in clock.live()},
            [each.version for each in clock.live()],
        )
        self.assertEqual(len(held), 1)
        clock.run(clock.now + 120 * SECOND)
        self.assertEqual(
            [each.version for each in clock.live()], versions
        )  # nobody flaps
        rests = next(
            each for each in (first, twin) if each.member.rolls.own is Own.DISPLACED
        )
        (first if rests is twin else twin).up = False
        self.assertTrue(
            clock.run(clock.now + 20 * SECOND, lambda: rests.member.rolls.own is Own.UP)
        )

    def test_two_versions_in_one_fleet(self):
        """Every other gateway says later words too, and kinds that the rest do not know."""
        clock = FleetClock(8, octets=True)
        plain, later = Codec("fleet"), Codec("fleet", 2)

        class Both:
            turn = 0

            def encode(self, message):
                Both.turn += 1
                if int(message.sender.name.rpartition("-")[2]) % 2:
                    return plain.encode(message)
                frame = fleet_pb2.Frame.FromString(later.encode(message)[4:])
                if message.type is FrameType.NEWS:
                    frame.what = 50  # a later word for it
                return MAGIC + frame.SerializeToString() + b"\xfa\x3f\x03new"

            def decode(self, data):
                return plain.decode(data)

        clock.codec = Both()
        clock.whole(9, 2 * SECOND)
        clock.kill("gateway-3")
        self.settle(clock, 15)
        clock.start("gateway-3", run=2, join=["gateway-4"])
        self.settle(clock, 15)
        self.assertEqual(clock.false, [])

    def test_datagrams_and_maps_stay_in_their_bounds(self):
        terms = Terms("f" * 64, most_members=1024)
        member = Membership(
            "m" * 64, "255.255.255.255:65535", 1 << 32, 1 << 63, terms, Random(1), [], 0
        )
        codec = Codec("f" * 64)
        for each in range(3000):
            row = MemberUpdate(
                f"{each:064}",
                each + 1,
                each,
                1 << 20,
                SUSPECT,
                "255.255.255.255:65535",
                suspected_by=tuple(f"{each}{by}".zfill(64) for by in range(3)),
            )
            member.heard(
                1,
                FleetMessage(
                    FrameType.THROUGH,
                    MemberUpdate(f"s{each % 50}", 1, 1, 0, ALIVE, "1.1.1.1:1"),
                    (row,),
                    each,
                    "x",
                    "1.1.1.1:1",
                ),
            )
        sent = [
            each
            for now in range(1, 200)
            for each in member.tick(now * BEAT)
            if isinstance(each, SendMessage) and not each.stream
        ]
        self.assertGreater(len(sent), 200)
        self.assertLessEqual(
            max(len(codec.encode(each.message)) for each in sent), MOST_DATAGRAM
        )
        self.assertLessEqual(len(member.rolls.table.held), 1024)
        self.assertLessEqual(len(member.relays), failure_detector.RELAYS)


if __name__ == "__main__":
    unittest.main()
