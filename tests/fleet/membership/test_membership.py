"""Whole fleets on a simulated clock: faults, lost state, duplicate names, bounds."""

import unittest
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.codec import MAGIC, MAX_DATAGRAM, FrameCodec
from milletsill.fleet.frames.messages import FleetMessage, FrameType, MemberUpdate
from milletsill.fleet.membership.config import TICK_INTERVAL, MembershipConfig
from milletsill.fleet.membership.effects import SendMessage
from milletsill.fleet.membership.local_member import LocalIdentity
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.membership.name_claims import LocalStatus
from milletsill.fleet.membership.probe_relay import MAX_RELAYED_PROBES
from milletsill.fleet.transport import MemberState
from milletsill.lab.fleet_clock import SECOND, FleetClock

ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT


class SimulatedFleets(unittest.TestCase):
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
    def test_views_are_equal_after_any_faults_heal(self, seed, faults):
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

    def test_stalls_are_no_deaths_and_a_kill_is_one(self):
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

    def test_a_lost_incarnation_is_reported_and_overtaken(self):
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

    def test_a_duplicate_name_is_reported_at_both_and_settles(self):
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
