"""The view's machines: tables, what ends equal whatever is lost, lost state, two with one name, frames of later versions."""

import unittest
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from milletsill.errors import MilletsillError
from milletsill.fleet.errors import (
    FleetNameMismatch,
    FrameTooLong,
    FrameVersionTooNew,
    MalformedFrame,
)
from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.codec import (
    MAGIC,
    MAX_DATAGRAM,
    MAX_FRAME,
    FrameCodec,
)
from milletsill.fleet.frames.messages import FleetMessage, FrameType, MemberUpdate
from milletsill.fleet.frames.stream_framing import (
    LENGTH_PREFIX,
    FrameDecoder,
    add_length_prefix,
)
from milletsill.fleet.gossip.gossip_queue import GossipQueue, retransmit_limit
from milletsill.fleet.membership import probe_state
from milletsill.fleet.membership.config import TICK_INTERVAL, MembershipConfig
from milletsill.fleet.membership.effects import SendMessage
from milletsill.fleet.membership.local_health import (
    LocalHealth,
    ProbeOutcome,
    is_isolated,
)
from milletsill.fleet.membership.local_member import LocalIdentity
from milletsill.fleet.membership.member_table import MemberEntry
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.membership.name_claims import (
    NAME_CLAIM_RULES,
    LocalStatus,
    NameClaim,
    classify_claim,
)
from milletsill.fleet.membership.probe_relay import MAX_RELAYED_PROBES
from milletsill.fleet.membership.probe_state import ProbeEvent, ProbeStage, ProbeState
from milletsill.fleet.membership.update_rules import (
    UPDATE_RULES,
    MemberVersion,
    UpdateAction,
    UpdateOrder,
    compare_versions,
)
from milletsill.fleet.net.stream_state import (
    StreamAction,
    StreamEvent,
    StreamState,
    due_event,
    next_transition,
)
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
    FleetMessage(FrameType.INDIRECT_PROBE, ME, (), 0, "gw-2", "10.0.0.2:7700"),
    FleetMessage(FrameType.GOSSIP, ME, (OTHER, MemberUpdate("gw-3", 1, 9, 0, LEFT))),
    FleetMessage(FrameType.DIGEST, ME, digest=2**63 + 1),
    FleetMessage(
        FrameType.FULL_STATE,
        ME,
        (MemberUpdate("gw-3", 1, 9, 0, GONE, "10.0.0.3:7700", 55),),
        reply_wanted=True,
    ),
    FleetMessage(FrameType.APPLICATION, ME, kind=MessageKind.HEALTH, body=b"row"),
    FleetMessage(FrameType.DUPLICATE_NAME, ME),
]


class Octets(unittest.TestCase):
    def test_frames_of_this_version_are_what_they_were(self):
        """Recorded octets: a later text of this version must still say and understand them."""
        codec = FrameCodec("dock")
        with open(FIXTURE, encoding="ascii") as source:
            recorded = [bytes.fromhex(each) for each in source.read().split()]
        self.assertEqual([codec.decode(each) for each in recorded], FRAMES)
        self.assertEqual([codec.encode(each) for each in FRAMES], recorded)

    def test_what_makes_no_sense_has_its_own_error(self):
        codec, data = FrameCodec("dock"), FrameCodec("dock").encode(FRAMES[0])
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
            (FleetNameMismatch, FrameCodec("other").encode(FRAMES[0])),
            (FrameTooLong, bytes(MAX_FRAME + 1)),
        ):
            with self.assertRaises(error) as caught:
                codec.decode(octets)
            self.assertTrue(
                isinstance(caught.exception, MilletsillError)
                and caught.exception.remedy
            )
        frames = FrameDecoder()
        self.assertEqual(
            list(frames.feed(add_length_prefix(data)[:9]))
            + list(frames.feed(add_length_prefix(data)[9:] + add_length_prefix(data))),
            [data, data],
        )
        with self.assertRaises(FrameTooLong):
            list(FrameDecoder().feed(LENGTH_PREFIX.pack(MAX_FRAME + 1)))
        with self.assertRaises(FrameTooLong):
            codec.encode(
                FleetMessage(
                    FrameType.APPLICATION,
                    ME,
                    kind=MessageKind.HEALTH,
                    body=bytes(MAX_FRAME),
                )
            )

    def test_what_a_later_version_adds_is_passed_over(self):
        frame = fleet_pb2.Frame.FromString(FrameCodec("dock", 2).encode(FRAMES[3])[4:])
        frame.what = 99
        frame.row.add(name="gw-4", run=1, standing=77)
        data = (
            MAGIC + frame.SerializeToString() + b"\xfa\x3f\x03new" + b"\xf8\x42\x07"
        )  # two fields that nobody here knows
        heard = FrameCodec("dock").decode(data)
        self.assertEqual(
            (heard.type, heard.version, heard.sender, heard.updates),
            (None, 2, ME, FRAMES[3].updates),
        )

    @given(st.binary(max_size=300), st.integers(0, 300), st.integers(0, 255))
    def test_any_octets_are_a_message_or_a_typed_error(self, octets, at, value):
        data = bytearray(FrameCodec("dock").encode(FRAMES[0]))
        data[at % len(data)] = value
        for each in (octets, MAGIC + octets, bytes(data)):
            try:
                FrameCodec("dock").decode(each)
            except (MalformedFrame, FleetNameMismatch, FrameVersionTooNew):
                pass


class Tables(unittest.TestCase):
    def test_what_is_said_against_what_is_held(self):
        for case, wanted in (
            ((ALIVE, SUSPECT, UpdateOrder.SAME), UpdateAction.SUSPECTED),
            ((SUSPECT, ALIVE, UpdateOrder.NEWER), UpdateAction.REFUTED),
            ((ALIVE, GONE, UpdateOrder.SAME), UpdateAction.VERIFY_DEATH),
            ((SUSPECT, GONE, UpdateOrder.SAME), UpdateAction.JUDGE_DEATH),
            ((GONE, ALIVE, UpdateOrder.NEWER), UpdateAction.JOINED),
            ((ALIVE, ALIVE, UpdateOrder.NEW_START), UpdateAction.RESTARTED),
            ((SUSPECT, LEFT, UpdateOrder.SAME), UpdateAction.LEFT),
            ((LEFT, ALIVE, UpdateOrder.NEWER), UpdateAction.JOINED),
        ):
            self.assertEqual(UPDATE_RULES[case].action, wanted)
        self.assertFalse(
            [each for each in UPDATE_RULES if each[2] is UpdateOrder.OLDER]
        )
        self.assertFalse(
            [
                each
                for each in UPDATE_RULES
                if each[0] in (GONE, LEFT)
                and each[2] is UpdateOrder.SAME
                and each[1] in (ALIVE, SUSPECT)
            ]
        )
        self.assertEqual(
            [
                compare_versions(MemberVersion(2, 5, 1), MemberVersion(*each))
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
            [UpdateOrder.OLDER] * 3
            + [
                UpdateOrder.SAME,
                UpdateOrder.NEWER,
                UpdateOrder.NEW_START,
                UpdateOrder.NEW_START,
            ],
        )

    def test_spans_of_a_watch(self):
        config = MembershipConfig("t")
        for stage, since, began, wanted in (
            (ProbeStage.AWAITING_ACK, 1999, 0, None),
            (ProbeStage.AWAITING_ACK, 2000, 0, ProbeEvent.ACK_TIMEOUT),
            (
                ProbeStage.AWAITING_INDIRECT_ACK,
                5000,
                0,
                ProbeEvent.INDIRECT_ACK_TIMEOUT,
            ),
            (ProbeStage.UNRESPONSIVE, 11_999, 0, None),
            (ProbeStage.UNRESPONSIVE, 12_000, 0, ProbeEvent.SILENCE_TIMEOUT),
            (ProbeStage.SUSPECTED, 0, 19_999, None),
            (ProbeStage.SUSPECTED, 0, 20_000, ProbeEvent.SUSPICION_TIMEOUT),
        ):
            probe = ProbeState("x", stage, 100_000 - since, 100_000 - began, 100_000)
            self.assertEqual(
                probe_state.due_event(probe, 100_000, config, 1.0, 0, 2), wanted
            )
        self.assertEqual(
            probe_state.due_event(
                ProbeState("x", ProbeStage.SUSPECTED, 0, 100_000 - 10_001, 100_000),
                100_000,
                config,
                1.0,
                2,
                2,
            ),
            ProbeEvent.SUSPICION_TIMEOUT,
        )

    def test_doubt_in_oneself(self):
        missed = [ProbeOutcome(f"m{each}", acked=False) for each in range(6)]
        acked = [ProbeOutcome("w", acked=True)] * 2
        self.assertTrue(is_isolated(missed + acked))
        self.assertFalse(is_isolated(missed[:4] + acked * 2))
        # One member that is gone does not make this gateway isolated.
        self.assertFalse(is_isolated([ProbeOutcome("m1", acked=False)] * 8))
        health = LocalHealth()
        health.on_ack("w")
        self.assertEqual((health.score, health.multiplier), (0, 1.0))
        health.on_suspected()
        self.assertEqual((health.score, health.multiplier), (1, 1.25))
        for _ in range(5):
            health.on_stall()
        self.assertEqual((health.score, health.multiplier), (4, 2.0))
        for outcome in missed:
            health.on_miss(outcome.target)
        self.assertTrue(health.is_isolated)
        self.assertEqual((health.score, health.multiplier), (4, 3))

    def test_words_about_this_gateway(self):
        for row, claimed, wanted in (
            (("me", 5, 9, 0, SUSPECT), None, NameClaim.ACCUSATION),
            (("me", 5, 9, 0, ALIVE), None, NameClaim.STALE),
            (("me", 4, 1, 0, ALIVE), None, NameClaim.STALE),
            (("me", 5, 1, 0, GONE), None, NameClaim.OTHER_START),
            (("me", 8, 1, 0, ALIVE), 5, NameClaim.OVERTAKEN_BY_SMALLER_NONCE),
            (("me", 8, 99, 0, ALIVE), 5, NameClaim.OVERTAKEN_BY_LARGER_NONCE),
        ):
            self.assertEqual(
                classify_claim(MemberUpdate(*row), 5, 9, 0, claimed), wanted
            )
        self.assertEqual(
            NAME_CLAIM_RULES.get((LocalStatus.LEAVING, NameClaim.ACCUSATION)), None
        )

    def test_streams_end_when_they_should(self):
        self.assertEqual(
            [
                next_transition(*each)
                for each in (
                    (StreamState.CONNECTING, StreamEvent.CONNECTED),
                    (StreamState.CONNECTING, StreamEvent.CONNECT_FAILED),
                    (StreamState.OPEN, StreamEvent.BUFFER_FULL),
                    (StreamState.BLOCKED, StreamEvent.TIMED_OUT),
                    (StreamState.OPEN, StreamEvent.MEMBER_GONE),
                    (StreamState.CLOSED, StreamEvent.CONNECTION_LOST),
                )
            ],
            [
                (StreamState.OPEN, StreamAction.FLUSH),
                (StreamState.BACKING_OFF, StreamAction.DISCARD_WAITING),
                (StreamState.BLOCKED, StreamAction.NOTE_TIME),
                (StreamState.CLOSED, StreamAction.ABORT),
                (StreamState.CLOSED, StreamAction.ABORT),
                (StreamState.CLOSED, StreamAction.NONE),
            ],
        )
        self.assertEqual(
            [
                due_event(StreamState.OPEN, 300_000, 0),
                due_event(StreamState.BLOCKED, 49_999, 0),
                due_event(StreamState.BACKING_OFF, 3000, 0),
            ],
            [StreamEvent.IDLE, None, StreamEvent.TIMED_OUT],
        )

    def test_news_goes_out_least_told_first_and_a_bounded_number_of_times(self):
        queue, told = GossipQueue(), []
        for each in range(10):
            queue.add(f"n{each}")
        self.assertEqual(list(queue.take(30, 4, lambda name: 10)), ["n0", "n1", "n2"])
        self.assertEqual(list(queue.take(30, 4, lambda name: 10)), ["n3", "n4", "n5"])
        while queue:
            told += list(queue.take(70, 4, lambda name: 10))
        self.assertEqual(
            {each: told.count(each) for each in ("n0", "n9")}, {"n0": 3, "n9": 4}
        )
        self.assertEqual(retransmit_limit(1024), 33)

    def test_a_name_moves_only_where_its_own_member_goes(self):
        rows = [
            MemberUpdate(f"m{each}", 1, each, 0, ALIVE, f"a:{each + 1}")
            for each in range(40)
        ]
        whole = View(1, [MemberEntry(each, 0).to_member() for each in rows])
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
                (
                    found.said["INCARNATION_LOST"],
                    found.incarnation,
                    found.said["DUPLICATE_NAME"],
                ),
                (1, 2, 0),
            )

    def test_two_with_one_name_are_said_at_both_and_settle(self):
        clock = FleetClock(6)
        clock.whole(6, 2 * SECOND)
        first = clock.stands["gateway-2"]
        twin = clock.start("twin", run=1, join=["gateway-0"])
        twin.member = Membership(
            LocalIdentity("gateway-2", "twin:1", 9, 77),
            clock.terms,
            ["gateway-0:1"],
            Random(3),
            clock.now,
        )
        twin.name = "gateway-2"
        clock.run(clock.now + 20 * SECOND)
        self.assertTrue(first.said["DUPLICATE_NAME"] and twin.said["DUPLICATE_NAME"])
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
            each
            for each in (first, twin)
            if each.member.state.local.status is LocalStatus.DISPLACED
        )
        (first if rests is twin else twin).up = False
        self.assertTrue(
            clock.run(
                clock.now + 20 * SECOND,
                lambda: rests.member.state.local.status is LocalStatus.ACTIVE,
            )
        )

    def test_two_versions_in_one_fleet(self):
        """Every other gateway says later words too, and kinds that the rest do not know."""
        clock = FleetClock(8, octets=True)
        plain, later = FrameCodec("fleet"), FrameCodec("fleet", 2)

        class Both:
            turn = 0

            def encode(self, message):
                Both.turn += 1
                if int(message.sender.name.rpartition("-")[2]) % 2:
                    return plain.encode(message)
                frame = fleet_pb2.Frame.FromString(later.encode(message)[4:])
                if message.type is FrameType.GOSSIP:
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
        config = MembershipConfig("f" * 64, max_members=1024)
        member = Membership(
            LocalIdentity("m" * 64, "255.255.255.255:65535", 1 << 32, 1 << 63),
            config,
            [],
            Random(1),
            0,
        )
        codec = FrameCodec("f" * 64)
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
            member.on_message(
                1,
                FleetMessage(
                    FrameType.INDIRECT_PROBE,
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
            for each in member.tick(now * TICK_INTERVAL)
            if isinstance(each, SendMessage) and not each.stream
        ]
        self.assertGreater(len(sent), 200)
        self.assertLessEqual(
            max(len(codec.encode(each.message)) for each in sent), MAX_DATAGRAM
        )
        self.assertLessEqual(len(member.state.table.entries), 1024)
        self.assertLessEqual(len(member.relay.pending), MAX_RELAYED_PROBES)


if __name__ == "__main__":
    unittest.main()
