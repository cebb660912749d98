"""Faults of clients and nodes, through whole gateways on loopback."""

import time

from twisted.trial.unittest import TestCase

from milletsill.sftp import packet_codec, packets
from milletsill.sftp.extensions import CommandTerms
from tests.support.sftp_answers import is_aborted, is_declined
from tests.support.sftp_gateway_rig import Rig, later, pattern


class ClientAndNodeFaults(TestCase):
    timeout = 20

    async def test_a_node_that_hangs_during_a_read_causes_one_rejection_in_time(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        handle = await client.open("/h/x")
        for node in rig.nodes:
            node.vanish()
        began = time.monotonic()
        answer = await client.command(
            packets.Read(0, handle, 0, 10), CommandTerms(400, 0, "m")
        )
        self.assertTrue(is_declined(answer), answer)
        self.assertLess(time.monotonic() - began, 0.4)
        await later(0.3)
        self.assertEqual(sum(each.id == answer.id for each in client.answers), 1)

    async def test_an_exclusive_write_that_may_have_run_is_aborted(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        handle = await client.open("/h/x")
        for node in rig.nodes:
            node.vanish()
        answer = await client.command(
            packets.Write(0, handle, 0, b"x"), CommandTerms(400, 0, "m")
        )
        self.assertTrue(is_aborted(answer), answer)

    async def test_an_answer_after_the_attempt_was_abandoned_is_dropped(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        handle = await client.open("/h/x")
        for node in rig.nodes:
            node.kind.cancel = "none"
            node.speed.still_until = time.monotonic() + 0.5
        answer = await client.command(
            packets.Read(0, handle, 0, 10), CommandTerms(250, 0, "m")
        )
        self.assertTrue(is_declined(answer), answer)
        await later(0.6)
        self.assertEqual(
            (
                len(gateway.host.active),
                sum(each.id == answer.id for each in client.answers),
            ),
            (0, 1),
        )

    async def test_a_disconnected_client_and_its_commands_are_dropped(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        handle = await client.open("/h/x")
        for node in rig.nodes:
            node.vanish()
        for _ in range(5):
            client.command(packets.Read(0, handle, 0, 10))
        await later(0.1)
        self.assertEqual(gateway.host.unanswered, 5)
        client.transport.abortConnection()
        await client.lost
        await later(0.1)
        self.assertEqual((gateway.host.unanswered, len(gateway.clients)), (0, 0))

    async def test_a_reused_id_is_refused_and_the_first_command_answered(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        for _ in range(2):
            client.transport.write(packet_codec.encode(packets.Stat(77, "/h/none")))
        await later(0.3)
        codes = [each.code for each in client.answers if each.id == 77]
        self.assertEqual(sorted(codes), [packets.NO_SUCH_FILE, packets.BAD_MESSAGE])

    async def test_a_packet_length_of_4_gib_disconnects_only_that_client(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        bad, good = await rig.client(gateway), await rig.client(gateway)
        bad.transport.write(b"\xff\xff\xff\xff" + bytes(100))
        await bad.lost
        self.assertEqual(
            (await good.command(packets.Stat(0, "/h"))).attrs.mode, 0o040755
        )

    async def test_a_malformed_packet_does_not_affect_other_commands(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        client.transport.write(b"\0\0\0\x06\x05\0\0\0\x09\x01")  # a truncated READ
        client.transport.write(b"\0\0\0\x05\x63\0\0\0\x08")  # an unknown packet type
        await later(0.1)
        self.assertEqual(
            [(each.id, each.code) for each in client.answers],
            [(9, packets.BAD_MESSAGE), (8, packets.UNSUPPORTED)],
        )
        self.assertIsInstance(
            await client.command(packets.Realpath(0, ".")), packets.DirectoryEntries
        )

    async def test_a_client_that_never_reads_is_limited_and_disconnected(self):
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
        most_outstanding = 0
        for _ in range(100):  # takes 2 s on an idle machine, longer under load
            await later(0.1)
            await other.command(packets.Stat(0, "/h"))
            most_outstanding = max(
                [most_outstanding, gateway.host.unanswered]
                + [len(each.outstanding) for each in gateway.clients]
            )
            if len(gateway.clients) == 1:
                break
        self.assertLessEqual(most_outstanding, 8)
        self.assertEqual(len(gateway.clients), 1)
        self.assertIsInstance(
            await other.command(packets.Stat(0, "/h")), packets.AttributesReply
        )
