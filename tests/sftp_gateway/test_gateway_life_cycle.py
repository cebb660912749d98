"""Registry outages, stalls, start, reload and shutdown of gateways on loopback."""

import time

from twisted.internet import defer
from twisted.trial.unittest import TestCase

from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import CommandTerms
from tests.support.sftp_answers import is_declined
from tests.support.sftp_gateway_rig import Rig, later


class GatewayLifeCycle(TestCase):
    timeout = 20

    async def test_a_registry_that_is_unreachable_at_the_start_is_retried(self):
        rig = Rig(self)
        rig.registry.set_away(True)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        answer = await client.command(
            packets.Stat(0, "/h/x"), CommandTerms(200, 0, "m")
        )
        self.assertTrue(is_declined(answer), answer)
        rig.registry.set_away(False)
        await later(1.2)
        self.assertEqual(
            (await client.command(packets.Stat(0, "/h/x"))).code, packets.NO_SUCH_FILE
        )

    async def test_a_restart_without_registry_uses_the_cached_endpoint_list(self):
        rig = Rig(self)
        first = await rig.start_gateway()
        client = await rig.client(first)
        await client.open("/h/x")
        first.stop()
        rig.registry.set_away(True)
        second = await rig.start_gateway()
        self.assertEqual(second.incarnation, first.incarnation + 1)
        client = await rig.client(second)
        self.assertIsInstance(
            await client.command(packets.Stat(0, "/h/x")), packets.AttributesReply
        )

    async def test_a_draining_node_gets_no_requests(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        await client.open("/d/x")
        busy = next(node for node in rig.nodes if "/d/x" in node.files.data)
        rig.register(busy, "draining")
        await later(0.3)
        before = busy.connection_count, sum(busy.units_served.values())
        answer = await client.command(
            packets.Stat(0, "/d/x"), CommandTerms(300, 0, "m")
        )
        self.assertTrue(is_declined(answer), answer)
        self.assertEqual(
            (busy.connection_count, sum(busy.units_served.values())), before
        )

    async def test_a_node_that_replaces_another_in_its_shard_serves_its_files(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        await client.open("/d/x")
        old = next(node for node in rig.nodes if "/d/x" in node.files.data)
        rig.registry.delete(f"{rig.file.registry.prefix}{old.settings.node}")
        old.vanish()
        old.drop()
        rig.add_node(9, old.settings.shard, old.files, cold=True)
        await later(0.9)
        answer = await client.command(packets.Stat(0, "/d/x"))
        self.assertIsInstance(answer, packets.AttributesReply)

    async def test_a_reactor_blocked_for_two_seconds_answers_all_once_and_recovers(
        self,
    ):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        handle = await client.open("/h/x")
        await client.command(packets.Write(0, handle, 0, b"data"))
        reads = [client.command(packets.Read(0, handle, 0, 4)) for _ in range(8)]
        await later(0.0005)
        time.sleep(2)
        answers = await defer.gatherResults(reads)
        self.assertEqual((len(answers), gateway.host.unanswered), (8, 0))
        self.assertEqual(len({each.id for each in answers}), 8)
        ends = time.monotonic() + 8
        while not isinstance(
            answer := await client.command(packets.Read(0, handle, 0, 4)), packets.Data
        ):
            self.assertLess(time.monotonic(), ends, answer)
            await later(0.2)

    async def test_the_client_timeout_includes_time_unread_in_a_stalled_process(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        handle = await client.open("/h/x")
        for node in rig.nodes:
            node.vanish()
        packet = extensions.encode_command(
            CommandTerms(900, 0, "m"), packets.Read(99, handle, 0, 4)
        )
        client.transport.socket.send(packet_codec.encode(packet))
        began = time.monotonic()
        time.sleep(0.6)
        while not any(each.id == 99 for each in client.answers):
            await later(0.005)
        self.assertLess(time.monotonic() - began, 0.9)

    async def test_the_client_timeout_includes_a_stall_just_before_the_read(
        self,
    ):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        connection = next(iter(gateway.clients))
        # a stall of 0.6 s between the last check and the read
        gateway.stall_watch.check_call.cancel()
        stalled_since = gateway.stall_watch.last_check = gateway.now() - 6000
        self.assertEqual(connection.arrival_time(), stalled_since)
        gateway.stall_watch.check()
        self.assertEqual(
            connection.arrival_time(), stalled_since
        )  # applies to all reads of this reactor turn
        while connection.arrival_time() == stalled_since:
            await later(0.005)
        self.assertLess(gateway.now() - connection.arrival_time(), 3000)
        self.assertTrue(client.transport.connected)

    async def test_sigterm_under_load_answers_all_accepted_commands_and_stops(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        handle = await client.open("/h/x")
        await client.command(packets.Write(0, handle, 0, b"data"))
        reads = [client.command(packets.Read(0, handle, 0, 4)) for _ in range(8)]
        await later(0.001)
        ended = defer.Deferred()
        gateway.on_stopped.append(lambda: ended.callback(None))
        gateway.terminate()
        late = client.command(packets.Stat(0, "/h/x"))
        answers = await defer.gatherResults(reads)
        self.assertTrue(
            all(isinstance(each, (packets.Data, packets.Status)) for each in answers)
        )
        await ended
        self.assertEqual(gateway.state.name, "STOPPED")
        self.assertTrue(not late.called or is_declined(late.result))

    async def test_a_state_directory_that_cannot_be_written_does_not_stop_service(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        gateway.endpoint_watcher.cache.path = "/dev/full/boxes"
        for number in range(3):
            rig.register(rig.nodes[0])
            await later(0.7)
        client = await rig.client(gateway)
        self.assertEqual(
            (await client.command(packets.Stat(0, "/h/x"))).code, packets.NO_SUCH_FILE
        )
        self.assertEqual(
            rig.log.getvalue().count("the endpoint list cannot be stored"), 1
        )

    async def test_a_compacted_watch_reads_the_whole_list_again(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        rig.registry.set_away(True)
        rig.registry.delete(f"{rig.file.registry.prefix}2")
        rig.registry.compact()
        rig.registry.set_away(False)
        await later(1.5)
        self.assertEqual(
            (sorted(gateway.node_pools.pools), gateway.endpoint_watcher.state.name),
            ([0, 1], "WATCHING"),
        )

    async def test_metrics_count_answers(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = await rig.client(gateway)
        await client.command(packets.Stat(0, "/h/x"))
        value = gateway.metrics.registry.get_sample_value(
            "milletsill_answers_total", {"category": "read", "final": "satisfied"}
        )
        self.assertEqual(value, 1.0)

    async def test_a_reload_applies_new_volumes_and_rejects_changed_plans(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        file = type(gateway.file)()
        file.CopyFrom(gateway.file)
        file.volume.add(name="new", root="/new", plan="p", cell=[1])
        gateway.reload(file)
        client = await rig.client(gateway)
        self.assertIsInstance(
            await client.command(packets.Stat(0, "/new")), packets.AttributesReply
        )
        other = type(file)()
        other.CopyFrom(file)
        other.plan[0].usual_rate = 1
        gateway.reload(other)
        self.assertIs(gateway.file, file)
