"""Whole fleets on a simulated clock: faults, lost state, duplicate names, bounds."""

import unittest
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.codec import MAGIC, MAX_DATAGRAM, FrameCodec
from milletsill.fleet.frames.messages import (
    FleetMessage,
    FrameType,
    MemberUpdate,
)
from milletsill.fleet.membership.config import TICK_INTERVAL, MembershipConfig
from milletsill.fleet.membership.effects import SendMessage
from milletsill.fleet.membership.local_member import LocalIdentity
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.membership.name_claims import LocalStatus
from milletsill.fleet.membership.probe_relay import MAX_RELAYED_PROBES
from milletsill.fleet.transport import MemberState
from milletsill.lab.simulated_clock import SECOND
from milletsill.lab.simulated_network import SimulatedNetwork

ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT


class SimulatedFleets(unittest.TestCase):
    """Whole fleets on the simulated clock."""

    def settle(self, network, seconds=90):
        self.assertTrue(
            network.run(
                network.now + seconds * SECOND,
                lambda: network.share_of_true_views() == 1,
            ),
            network.share_of_true_views(),
        )
        self.assertEqual(len({each.view.digest for each in network.live_members()}), 1)

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
        network, chance = SimulatedNetwork(seed), Random(seed)
        network.start_fleet(8, 2 * SECOND)
        ends: list[str] = []
        for fault in faults:
            live = [each.name for each in network.live_members()]
            name = chance.choice(live)
            if fault in ("kill", "leave") and len(live) > 3:
                getattr(network, fault)(name)
                ends.append(name)
            elif fault in ("back", "lost") and ends:
                old = ends.pop()
                network.start(
                    old,
                    network.members[old].incarnation + 1 if fault == "back" else 1,
                    seeds=live[:3],
                )
            elif fault == "new":
                network.start(f"new-{len(network.members)}", seeds=live[:3])
            elif fault in ("cut", "one way"):
                half = chance.sample(live, len(live) // 2)
                network.cut(
                    half,
                    [each for each in network.members if each not in half],
                    fault == "cut",
                )
            elif fault == "stall":
                network.stall(name, chance.randrange(5000, 80_000))
            elif fault == "loss":
                network.loss = 0.2
            elif fault == "heal":
                network.heal()
            network.run(network.now + chance.randrange(2000, 12 * SECOND))
        network.heal()
        network.loss = 0.0
        self.settle(network)

    def test_stalls_are_no_deaths_and_a_kill_is_one(self):
        network, chance = SimulatedNetwork(4), Random(4)
        network.start_fleet(16, 3 * SECOND)

        def together():
            for name in chance.sample(sorted(network.members), 13):
                network.call_at(
                    network.now + chance.randrange(1000),
                    network.stall,
                    name,
                    chance.randrange(6600, 12_001),
                )
            network.call_at(network.now + chance.randrange(20_000, 40_001), together)

        together()
        network.run(network.now + 60 * SECOND)
        self.assertEqual(network.false_deaths, [])
        network.kill("gateway-5")
        self.settle(network, 10)

    def test_a_lost_incarnation_is_reported_and_overtaken(self):
        for seed in range(6):
            network = SimulatedNetwork(seed)
            network.start_fleet(4, SECOND)
            network.kill("gateway-3")
            network.run(network.now + 5 * SECOND)
            found = network.start("gateway-3", incarnation=1, seeds=["gateway-0"])
            self.settle(network, 10)
            network.run(network.now + SECOND)
            self.assertEqual(
                (
                    found.event_counts["INCARNATION_LOST"],
                    found.incarnation,
                    found.event_counts["DUPLICATE_NAME"],
                ),
                (1, 2, 0),
            )

    def test_a_duplicate_name_is_reported_at_both_and_settles(self):
        network = SimulatedNetwork(6)
        network.start_fleet(6, 2 * SECOND)
        first = network.members["gateway-2"]
        twin = network.start("twin", incarnation=1, seeds=["gateway-0"])
        twin.membership = Membership(
            LocalIdentity("gateway-2", "twin:1", 9, 77),
            network.config,
            ["gateway-0:1"],
            Random(3),
            network.now,
        )
        twin.name = "gateway-2"
        network.run(network.now + 20 * SECOND)
        self.assertTrue(
            first.event_counts["DUPLICATE_NAME"] and twin.event_counts["DUPLICATE_NAME"]
        )
        held, versions = (
            {each.view.digest for each in network.live_members()},
            [each.view_version for each in network.live_members()],
        )
        self.assertEqual(len(held), 1)
        network.run(network.now + 120 * SECOND)
        self.assertEqual(
            [each.view_version for each in network.live_members()], versions
        )  # nobody flaps
        rests = next(
            each
            for each in (first, twin)
            if each.membership.state.local.status is LocalStatus.DISPLACED
        )
        (first if rests is twin else twin).is_up = False
        self.assertTrue(
            network.run(
                network.now + 20 * SECOND,
                lambda: rests.membership.state.local.status is LocalStatus.ACTIVE,
            )
        )

    def test_two_versions_in_one_fleet(self):
        """Every other gateway says later words too, and kinds that the rest do not know."""
        network = SimulatedNetwork(8, with_codec=True)
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

        network.codec = Both()
        network.start_fleet(9, 2 * SECOND)
        network.kill("gateway-3")
        self.settle(network, 15)
        network.start("gateway-3", incarnation=2, seeds=["gateway-4"])
        self.settle(network, 15)
        self.assertEqual(network.false_deaths, [])

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
