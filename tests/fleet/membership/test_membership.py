"""Simulated fleets: faults, lost state, duplicate names, mixed versions, limits."""

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
    """Fleets of several gateways on a simulated clock and network."""

    def assert_views_converge(self, network, seconds=90):
        self.assertTrue(
            network.run(
                network.now + seconds * SECOND,
                lambda: network.share_of_correct_views() == 1,
            ),
            network.share_of_correct_views(),
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
                    "restart",
                    "restart with lost state",
                    "partition",
                    "one-way partition",
                    "stall",
                    "heal",
                    "loss",
                    "join",
                ]
            ),
            min_size=2,
            max_size=8,
        ),
    )
    def test_views_converge_after_any_faults_heal(self, seed, faults):
        network, random = SimulatedNetwork(seed), Random(seed)
        network.start_fleet(8, 2 * SECOND)
        stopped: list[str] = []
        for fault in faults:
            live = [each.name for each in network.live_members()]
            name = random.choice(live)
            if fault in ("kill", "leave") and len(live) > 3:
                getattr(network, fault)(name)
                stopped.append(name)
            elif fault in ("restart", "restart with lost state") and stopped:
                name_to_restart = stopped.pop()
                network.start(
                    name_to_restart,
                    network.members[name_to_restart].incarnation + 1
                    if fault == "restart"
                    else 1,
                    seeds=live[:3],
                )
            elif fault == "join":
                network.start(f"new-{len(network.members)}", seeds=live[:3])
            elif fault in ("partition", "one-way partition"):
                half = random.sample(live, len(live) // 2)
                network.cut(
                    half,
                    [each for each in network.members if each not in half],
                    fault == "partition",
                )
            elif fault == "stall":
                network.stall(name, random.randrange(5000, 80_000))
            elif fault == "loss":
                network.loss = 0.2
            elif fault == "heal":
                network.heal()
            network.run(network.now + random.randrange(2000, 12 * SECOND))
        network.heal()
        network.loss = 0.0
        self.assert_views_converge(network)

    def test_stalls_cause_no_false_deaths_and_a_kill_is_detected(self):
        network, random = SimulatedNetwork(4), Random(4)
        network.start_fleet(16, 3 * SECOND)

        def stall_most_members():
            for name in random.sample(sorted(network.members), 13):
                network.call_at(
                    network.now + random.randrange(1000),
                    network.stall,
                    name,
                    random.randrange(6600, 12_001),
                )
            network.call_at(
                network.now + random.randrange(20_000, 40_001), stall_most_members
            )

        stall_most_members()
        network.run(network.now + 60 * SECOND)
        self.assertEqual(network.false_deaths, [])
        network.kill("gateway-5")
        self.assert_views_converge(network, 10)

    def test_a_lost_incarnation_is_reported_and_replaced_by_a_later_one(self):
        for seed in range(6):
            network = SimulatedNetwork(seed)
            network.start_fleet(4, SECOND)
            network.kill("gateway-3")
            network.run(network.now + 5 * SECOND)
            restarted = network.start("gateway-3", incarnation=1, seeds=["gateway-0"])
            self.assert_views_converge(network, 10)
            network.run(network.now + SECOND)
            self.assertEqual(
                (
                    restarted.event_counts["INCARNATION_LOST"],
                    restarted.incarnation,
                    restarted.event_counts["DUPLICATE_NAME"],
                ),
                (1, 2, 0),
            )

    def test_a_duplicate_name_is_reported_by_both_gateways_and_resolved(self):
        network = SimulatedNetwork(6)
        network.start_fleet(6, 2 * SECOND)
        first = network.members["gateway-2"]
        duplicate = network.start("twin", incarnation=1, seeds=["gateway-0"])
        duplicate.membership = Membership(
            LocalIdentity("gateway-2", "twin:1", 9, 77),
            network.config,
            ["gateway-0:1"],
            Random(3),
            network.now,
        )
        duplicate.name = "gateway-2"
        network.run(network.now + 20 * SECOND)
        self.assertTrue(
            first.event_counts["DUPLICATE_NAME"]
            and duplicate.event_counts["DUPLICATE_NAME"]
        )
        digests, versions = (
            {each.view.digest for each in network.live_members()},
            [each.view_version for each in network.live_members()],
        )
        self.assertEqual(len(digests), 1)
        network.run(network.now + 120 * SECOND)
        self.assertEqual(
            [each.view_version for each in network.live_members()], versions
        )  # the gateways do not displace each other repeatedly
        displaced = next(
            each
            for each in (first, duplicate)
            if each.membership.state.local.status is LocalStatus.DISPLACED
        )
        (first if displaced is duplicate else duplicate).is_up = False
        self.assertTrue(
            network.run(
                network.now + 20 * SECOND,
                lambda: displaced.membership.state.local.status is LocalStatus.ACTIVE,
            )
        )

    def test_two_protocol_versions_work_in_one_fleet(self):
        """Every other gateway sends unknown fields and frames of an unknown type."""
        network = SimulatedNetwork(8, with_codec=True)
        current_codec, later_codec = FrameCodec("fleet"), FrameCodec("fleet", 2)

        class MixedVersionCodec:
            encode_count = 0

            def encode(self, message):
                MixedVersionCodec.encode_count += 1
                if int(message.sender.name.rpartition("-")[2]) % 2:
                    return current_codec.encode(message)
                frame = fleet_pb2.Frame.FromString(later_codec.encode(message)[4:])
                if message.type is FrameType.GOSSIP:
                    frame.what = 50  # a frame type that only a later version defines
                return MAGIC + frame.SerializeToString() + b"\xfa\x3f\x03new"

            def decode(self, data):
                return current_codec.decode(data)

        network.codec = MixedVersionCodec()
        network.start_fleet(9, 2 * SECOND)
        network.kill("gateway-3")
        self.assert_views_converge(network, 15)
        network.start("gateway-3", incarnation=2, seeds=["gateway-4"])
        self.assert_views_converge(network, 15)
        self.assertEqual(network.false_deaths, [])

    def test_datagrams_and_tables_stay_within_their_limits(self):
        config = MembershipConfig("f" * 64, max_members=1024)
        membership = Membership(
            LocalIdentity("m" * 64, "255.255.255.255:65535", 1 << 32, 1 << 63),
            config,
            [],
            Random(1),
            0,
        )
        codec = FrameCodec("f" * 64)
        for each in range(3000):
            update = MemberUpdate(
                f"{each:064}",
                each + 1,
                each,
                1 << 20,
                SUSPECT,
                "255.255.255.255:65535",
                suspected_by=tuple(f"{each}{by}".zfill(64) for by in range(3)),
            )
            membership.on_message(
                1,
                FleetMessage(
                    FrameType.INDIRECT_PROBE,
                    MemberUpdate(f"s{each % 50}", 1, 1, 0, ALIVE, "1.1.1.1:1"),
                    (update,),
                    each,
                    "x",
                    "1.1.1.1:1",
                ),
            )
        sent = [
            each
            for now in range(1, 200)
            for each in membership.tick(now * TICK_INTERVAL)
            if isinstance(each, SendMessage) and not each.stream
        ]
        self.assertGreater(len(sent), 200)
        self.assertLessEqual(
            max(len(codec.encode(each.message)) for each in sent), MAX_DATAGRAM
        )
        self.assertLessEqual(len(membership.state.table.entries), 1024)
        self.assertLessEqual(len(membership.relay.pending), MAX_RELAYED_PROBES)


if __name__ == "__main__":
    unittest.main()
