"""End-to-end tests of channels: owners that stop, clients that reconnect."""

from __future__ import annotations

import time

from twisted.internet import defer, reactor
from twisted.trial.unittest import TestCase

from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets, status_tags
from milletsill.sftp.extensions import CommandTerms
from tests.support.channel_rig import ChannelClient, ChannelFleet, answer_kind
from tests.support.sftp_gateway_rig import Rig, later


class ChannelsEndToEnd(TestCase):
    timeout = 25

    async def test_numbers_take_effect_in_order_from_any_gateway(self):
        rig = ChannelFleet(self)
        gateways = await rig.gateways()
        channel_client = await ChannelClient.open(rig, gateways[0])
        self.assertEqual(
            (
                channel_client.opened.lowest_open,
                channel_client.opened.contract,
                channel_client.opened.order,
            ),
            (1, "landing", 0),
        )
        answers = await defer.gatherResults(
            [channel_client.put(each) for each in (3, 1, 2)]
        )
        self.assertEqual([answer_kind(each) for each in answers], [packets.OK] * 3)
        # The client reconnects to another gateway: it gets the remembered answer and
        # continues with the next number.
        for gateway in gateways[1:]:
            channel_client = await ChannelClient.open(rig, gateway)
            self.assertEqual(answer_kind(await channel_client.put(2)), packets.OK)
            self.assertEqual(
                answer_kind(await channel_client.put(2, mark=77)), "contract"
            )
            following = channel_client.opened.lowest_open
            self.assertEqual(
                answer_kind(await channel_client.put(following)), packets.OK
            )
        self.assertEqual(rig.effects, [1, 2, 3, 4, 5])
        self.assertEqual(
            (await channel_client.query(4)).status, wire.NumberStatus.SETTLED
        )
        late_answer = await channel_client.put(9)
        self.assertEqual(
            (
                answer_kind(late_answer),
                status_tags.parse_status_tag(late_answer.language).number,
            ),
            ("declined", 6),
        )
        self.assertEqual(
            sum(each.channels.owner.owns("hashed/boat") for each in gateways), 1
        )
        self.assertEqual(rig.tracebacks(), [])

    async def test_a_later_claim_ends_the_earlier_one(self):
        rig = ChannelFleet(self)
        gateways = await rig.gateways()
        first = await ChannelClient.open(rig, gateways[0])
        waiting = first.put(2)
        await later(0.05)
        second = await ChannelClient.open(rig, gateways[1])
        self.assertEqual(answer_kind(await waiting), "claim-lost")
        self.assertEqual(answer_kind(await first.put(1)), "claim-lost")
        self.assertEqual(answer_kind(await second.put(1)), packets.OK)
        self.assertEqual(rig.effects, [1])

    async def test_a_channel_continues_after_its_owner_is_killed(self):
        rig = ChannelFleet(self)
        gateways = await rig.gateways()
        channel_client = await ChannelClient.open(rig, gateways[0])
        self.assertEqual(answer_kind(await channel_client.put(1)), packets.OK)
        owner = rig.owner("hashed/boat")
        others = [each for each in gateways if each is not owner]
        channel_client = await ChannelClient.open(rig, others[0])
        # Number 2 is released, and no node answers it.
        rig.nodes[0].silent = rig.nodes[1].silent = rig.nodes[2].silent = True
        lost = channel_client.put(2)
        await later(0.1)
        for each in rig.nodes:
            each.silent = False
        rig.kill(owner)
        began, done, channel_client = time.monotonic(), None, None
        while time.monotonic() < began + 12:
            channel_client = await ChannelClient.open(rig, others[1])
            done = await channel_client.put(2)
            # "aborted" if the time since its first release is not known any more
            if answer_kind(done) in (packets.OK, "aborted"):
                break
            await later(0.05)
        self.assertIn(answer_kind(done), (packets.OK, "aborted"))
        self.assertEqual(answer_kind(await channel_client.put(3)), packets.OK)
        self.assertIn(
            rig.effects,
            ([1, 2, 3], [1, 3])[: 1 if answer_kind(done) == packets.OK else 2],
        )
        self.assertIn(
            answer_kind(await lost), ("aborted", "claim-lost", "declined", packets.OK)
        )
        self.assertEqual(rig.tracebacks(), [])

    async def test_a_command_that_waits_for_a_lease_is_answered_by_its_deadline(self):
        """The acceptors never reply.

        One command waits for a lease, another one for the write of a record.
        """
        rig = ChannelFleet(self)
        gateways = await rig.gateways()
        channel_client = await ChannelClient.open(rig, gateways[0])
        for each in gateways:
            each.channels.leases.acquire = lambda key, got: None
            each.channels.leases.write = lambda term, value, wrote: None
        began = time.monotonic()
        write = packets.Write(0, channel_client.file, 8, b"00000001")
        put = channel_client.client.command(
            wire.encode_numbered(
                0,
                wire.NumberedCommand(
                    channel_client.opened.handle, 1, 0, False, CommandTerms(600), write
                ),
            )
        )
        other = await rig.client(gateways[1])
        opened = other.command(
            wire.encode_channel_request(0, wire.ChannelOpen("/h", "another", ""))
        )
        for answer, kind, timeout in ((put, "aborted", 0.6), (opened, "declined", 3.0)):
            # 0.25 s of tolerance for a busy machine
            answer.addTimeout(began + timeout + 0.25 - time.monotonic(), reactor)
            self.assertEqual(answer_kind(await answer), kind)
        self.assertEqual(
            (
                sum(each.channels.unanswered for each in gateways),
                rig.effects,
                rig.tracebacks(),
            ),
            (0, [], []),
        )

    async def test_batches_and_requests_that_violate_a_contract(self):
        rig = ChannelFleet(self)
        gateways = await rig.gateways()
        channel_client = await ChannelClient.open(rig, gateways[0], contract="lots")
        early = channel_client.put(4, 2)
        await defer.gatherResults(
            [channel_client.put(3, 1, True), channel_client.put(1, 1)]
        )
        self.assertEqual(set(rig.effects), {1, 3})
        self.assertEqual(answer_kind(await channel_client.put(2, 1)), packets.OK)
        self.assertEqual(answer_kind(await early), packets.OK)
        self.assertEqual(rig.effects[2:], [2, 4])
        for request, kind in (
            (wire.ChannelOpen("/h", "boat", "none"), "contract"),
            (wire.ChannelOpen("/h", "boat", "lots", 7), "contract"),
            (wire.ChannelOpen("/f", "boat"), packets.UNSUPPORTED),
        ):
            self.assertEqual(
                answer_kind(
                    await channel_client.client.command(
                        wire.encode_channel_request(0, request)
                    )
                ),
                kind,
            )
        read_command = wire.NumberedCommand(
            channel_client.opened.handle,
            9,
            2,
            False,
            CommandTerms(),
            packets.Read(0, channel_client.file, 0, 8),
        )
        self.assertEqual(
            answer_kind(
                await channel_client.client.command(
                    wire.encode_numbered(0, read_command)
                )
            ),
            "contract",
        )
        self.assertEqual(
            (
                await channel_client.client.command(
                    packets.Close(0, channel_client.opened.handle)
                )
            ).code,
            packets.OK,
        )
        self.assertEqual(answer_kind(await channel_client.put(5, 2)), packets.FAILURE)

    async def test_sigterm_hands_channels_over_and_a_lost_majority_is_rejected_at_once(
        self,
    ):
        rig = ChannelFleet(self)
        gateways = await rig.gateways()
        channel_client = await ChannelClient.open(rig, gateways[0])
        self.assertEqual(answer_kind(await channel_client.put(1)), packets.OK)
        owner = rig.owner("hashed/boat")
        owner.terminate()
        other = next(each for each in gateways if each is not owner)
        began = time.monotonic()
        channel_client = await ChannelClient.open(rig, other)
        self.assertEqual(answer_kind(await channel_client.put(2)), packets.OK)
        # The new owner starts before the lease would have ended.
        self.assertLess(time.monotonic() - began, 0.8)
        for each in gateways:
            if each is not other and each.state.name != "STOPPED":
                each.stop()
        began = time.monotonic()
        answer = await ChannelClient.open(rig, other, "another", seconds=0)
        self.assertEqual(
            (
                answer_kind(answer),
                status_tags.parse_status_tag(answer.language).retry_delay_ms > 0,
            ),
            ("declined", True),
        )
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual(rig.tracebacks(), [])


class WithoutChannels(TestCase):
    async def test_a_gateway_without_channels_offers_none(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        answer = await client.command(
            wire.encode_channel_request(0, wire.ChannelOpen("/h", "boat"))
        )
        self.assertEqual(
            (answer.code, rig.running_gateways[0].channels), (packets.UNSUPPORTED, None)
        )
