"""Faults of clients and nodes, through whole gateways on loopback."""

import time

from twisted.trial.unittest import TestCase

from milletsill.sftp import packet_codec, packets
from milletsill.sftp.extensions import CommandTerms
from tests.support.sftp_answers import aborted, declined
from tests.support.sftp_gateway_rig import Rig, later, pattern


class ClientAndNodeFaults(TestCase):
    timeout = 20

    async def test_a_box_that_stands_still_mid_transfer_costs_one_answer_in_time(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.vanish()
        began = time.monotonic()
        answer = await client.command(
            packets.Read(0, handle, 0, 10), CommandTerms(400, 0, "m")
        )
        self.assertTrue(declined(answer), answer)
        self.assertLess(time.monotonic() - began, 0.4)
        await later(0.3)
        self.assertEqual(sum(each.id == answer.id for each in client.answers), 1)

    async def test_an_exclusive_write_that_may_have_run_is_aborted(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.vanish()
        answer = await client.command(
            packets.Write(0, handle, 0, b"x"), CommandTerms(400, 0, "m")
        )
        self.assertTrue(aborted(answer), answer)

    async def test_an_answer_after_the_dispatch_was_given_up_is_dropped(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.kind.cancel = "none"
            box.speed.still_until = time.monotonic() + 0.5
        answer = await client.command(
            packets.Read(0, handle, 0, 10), CommandTerms(250, 0, "m")
        )
        self.assertTrue(declined(answer), answer)
        await later(0.6)
        self.assertEqual(
            (
                len(gateway.host.active),
                sum(each.id == answer.id for each in client.answers),
            ),
            (0, 1),
        )

    async def test_a_client_that_leaves_is_forgotten(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.vanish()
        for _ in range(5):
            client.command(packets.Read(0, handle, 0, 10))
        await later(0.1)
        self.assertEqual(gateway.host.unanswered, 5)
        client.transport.abortConnection()
        await client.lost
        await later(0.1)
        self.assertEqual((gateway.host.unanswered, len(gateway.clients)), (0, 0))

    async def test_an_id_that_is_still_out_is_refused_and_the_first_answered(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        for _ in range(2):
            client.transport.write(packet_codec.encode(packets.Stat(77, "/h/none")))
        await later(0.3)
        codes = [each.code for each in client.answers if each.id == 77]
        self.assertEqual(sorted(codes), [packets.NO_SUCH_FILE, packets.BAD_MESSAGE])

    async def test_four_gibibytes_cut_that_client_alone(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        bad, good = await rig.client(gateway), await rig.client(gateway)
        bad.transport.write(b"\xff\xff\xff\xff" + bytes(100))
        await bad.lost
        self.assertEqual(
            (await good.command(packets.Stat(0, "/h"))).attrs.mode, 0o040755
        )

    async def test_a_malformed_packet_loses_nothing_else(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        client.transport.write(b"\0\0\0\x06\x05\0\0\0\x09\x01")  # READ cut short
        client.transport.write(b"\0\0\0\x05\x63\0\0\0\x08")  # a kind that there is not
        await later(0.1)
        self.assertEqual(
            [(each.id, each.code) for each in client.answers],
            [(9, packets.BAD_MESSAGE), (8, packets.UNSUPPORTED)],
        )
        self.assertIsInstance(
            await client.command(packets.Realpath(0, ".")), packets.DirectoryEntries
        )

    async def test_a_client_that_never_reads_is_bounded_and_cut(self):
        rig = Rig(self)
        gateway = await rig.start_gateway(idle_s=1)
        client, other = await rig.client(gateway), await rig.client(gateway)
        handle = await client.open("/h/x")
        await client.command(packets.Write(0, handle, 0, pattern(32768)))
        client.transport.pauseProducing()
        for _ in range(4000):
            client.ids += 1
            client.transport.write(
                packet_codec.encode(packets.Read(client.ids, handle, 0, 32768))
            )
        most = 0
        for _ in range(
            100
        ):  # a busy machine needs more than the 2 s that it takes alone
            await later(0.1)
            await other.command(packets.Stat(0, "/h"))
            most = max(
                [most, gateway.host.unanswered]
                + [len(each.outstanding) for each in gateway.clients]
            )
            if len(gateway.clients) == 1:
                break
        self.assertLessEqual(most, 8)
        self.assertEqual(len(gateway.clients), 1)
        self.assertIsInstance(
            await other.command(packets.Stat(0, "/h")), packets.AttributesReply
        )
