"""The whole path on loopback, client to boxes and back, and the failures that it exists for."""

import time

from twisted.conch.ssh.filetransfer import FileTransferClient, SFTPError
from twisted.internet import defer, protocol, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.trial.unittest import TestCase

from milletsill.sftp import extensions, packets
from milletsill.sftp.extensions import Terms
from tests.support.sftp_gateway_rig import Rig, later, pattern


def declined(answer):
    return isinstance(answer, packets.Status) and answer.language.startswith(
        "x-declined-"
    )


def aborted(answer):
    return isinstance(answer, packets.Status) and answer.language == "x-aborted"


class Paths(TestCase):
    timeout = 20

    async def test_what_is_written_through_one_gateway_is_read_through_another(self):
        rig = Rig(self)
        first = await rig.client(await rig.edge("edge-a"))
        second = await rig.client(await rig.edge("edge-b"))
        for path in ("/h/x", "/f/x", "/d/sub/x"):
            data = pattern(20_000)
            handle = await first.open(path)
            for at in range(0, len(data), 8192):
                answer = await first.command(
                    packets.Write(0, handle, at, data[at : at + 8192])
                )
                self.assertEqual(answer.code, packets.OK, answer)
            handle = await second.open(path, packets.READ_FLAG)
            read = b""
            while isinstance(
                answer := await second.command(
                    packets.Read(0, handle, len(read), 8192)
                ),
                packets.Data,
            ):
                read += answer.data
            self.assertEqual((read == data, answer.code), (True, packets.EOF))

    async def test_new_objects_are_placed_by_the_module_and_linked_at_home(self):
        rig = Rig(self)
        client = await rig.client(await rig.edge(most_handles=50))
        for number in range(12):
            await client.open(f"/f/{number}")
        held = [
            sum(name.startswith("#") for name in box.files.data) for box in rig.boxes
        ]
        self.assertEqual(
            (sum(held), sum(len(box.files.links) for box in rig.boxes)), (12, 12)
        )

    async def test_an_independent_client_does_its_commands(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = FileTransferClient()
        port = edge.listening.ports[0].getHost().port
        await TCP4ClientEndpoint(reactor, "127.0.0.1", port).connect(
            protocol.Factory.forProtocol(lambda: client)
        )
        self.addCleanup(client.transport.abortConnection)
        await later(0.1)
        file = await client.openFile(b"/f/conch", 2 | 8 | 1, {})
        await file.writeChunk(0, b"hello")
        self.assertEqual(await file.readChunk(0, 99), b"hello")
        self.assertEqual((await file.getAttrs())["size"], 5)
        await file.close()
        await client.makeDirectory(b"/h/dir", {})
        await client.renameFile(b"/f/conch", b"/f/other")
        self.assertEqual((await client.getAttrs(b"/f/other"))["size"], 5)
        with self.assertRaises(SFTPError) as caught:
            await client.getAttrs(b"/f/conch")
        self.assertEqual(caught.exception.code, 2)
        self.assertEqual(await client.realPath(b"/h/../f/./other"), "/f/other")
        listing = await client.openDirectory(b"/f")
        names = await listing.read()
        self.assertEqual([each[0] for each in names], [b"other"])
        await client.removeFile(b"/f/other")
        await client.removeDirectory(b"/h/dir")
        with self.assertRaises(SFTPError):
            await client.removeDirectory(b"/h/dir")

    async def test_a_directory_over_all_cells_is_listed_whole_and_once(self):
        rig = Rig(self)
        client = await rig.client(await rig.edge(most_handles=500))
        for number in range(30):
            await client.open(f"/h/{number}")
            await client.open(f"/h/sub/{number}")
        handle = (await client.command(packets.Opendir(0, "/h"))).handle
        names = []
        while isinstance(
            answer := await client.command(packets.Readdir(0, handle)), packets.Names
        ):
            names += [each.filename for each in answer.names]
        self.assertEqual(
            sorted(names), sorted([str(each) for each in range(30)] + ["sub"])
        )
        root = (await client.command(packets.Opendir(0, "/"))).handle
        self.assertEqual(
            [
                each.filename
                for each in (await client.command(packets.Readdir(0, root))).names
            ],
            ["d", "f", "h"],
        )

    async def test_two_gateways_that_make_the_same_name_end_with_one_object(self):
        rig = Rig(self)
        clients = [await rig.client(await rig.edge(f"edge-{each}")) for each in "ab"]
        handles = await defer.gatherResults(
            [defer.ensureDeferred(each.open("/f/same")) for each in clients]
        )
        await clients[0].command(packets.Write(0, handles[0], 0, b"one"))
        answer = await clients[1].command(packets.Read(0, handles[1], 0, 10))
        self.assertEqual(answer.data, b"one")

    async def test_handles_writes_and_limits_are_bounded(self):
        rig = Rig(self)
        client = await rig.client(await rig.edge())
        answers = [await client.command(packets.Opendir(0, "/h")) for _ in range(8)]
        self.assertEqual([type(each).__name__ for each in answers].count("Handle"), 6)
        answer = await client.command(packets.Extended(0, extensions.LIMITS))
        self.assertEqual(extensions.read_limits(answer)[1:], (32768, 32768, 6))
        await client.command(packets.Close(0, answers[0].handle))
        handle = await client.open("/h/x")
        self.assertEqual(
            (await client.command(packets.Write(0, handle, 0, bytes(32769)))).code,
            packets.FAILURE,
        )
        self.assertEqual(
            (await client.command(extensions.put_fsync(0, handle))).code, packets.OK
        )
        self.assertEqual(
            (await client.command(packets.Extended(0, "x@y"))).code, packets.UNSUPPORTED
        )


class Failures(TestCase):
    timeout = 20

    async def test_a_box_that_stands_still_mid_transfer_costs_one_answer_in_time(self):
        rig = Rig(self)
        client = await rig.client(await rig.edge())
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.vanish()
        began = time.monotonic()
        answer = await client.command(
            packets.Read(0, handle, 0, 10), Terms(400, 0, "m")
        )
        self.assertTrue(declined(answer), answer)
        self.assertLess(time.monotonic() - began, 0.4)
        await later(0.3)
        self.assertEqual(sum(each.id == answer.id for each in client.answers), 1)

    async def test_an_exclusive_write_that_may_have_run_is_aborted(self):
        rig = Rig(self)
        client = await rig.client(await rig.edge())
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.vanish()
        answer = await client.command(
            packets.Write(0, handle, 0, b"x"), Terms(400, 0, "m")
        )
        self.assertTrue(aborted(answer), answer)

    async def test_an_answer_after_the_dispatch_was_given_up_is_dropped(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.kind.cancel = "none"
            box.speed.still_until = time.monotonic() + 0.5
        answer = await client.command(
            packets.Read(0, handle, 0, 10), Terms(250, 0, "m")
        )
        self.assertTrue(declined(answer), answer)
        await later(0.6)
        self.assertEqual(
            (
                len(edge.host.active),
                sum(each.id == answer.id for each in client.answers),
            ),
            (0, 1),
        )

    async def test_a_client_that_leaves_is_forgotten(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.vanish()
        for _ in range(5):
            client.command(packets.Read(0, handle, 0, 10))
        await later(0.1)
        self.assertEqual(edge.host.unanswered, 5)
        client.transport.abortConnection()
        await client.lost
        await later(0.1)
        self.assertEqual((edge.host.unanswered, len(edge.clients)), (0, 0))

    async def test_an_id_that_is_still_out_is_refused_and_the_first_answered(self):
        rig = Rig(self)
        client = await rig.client(await rig.edge())
        for _ in range(2):
            client.transport.write(packets.encode(packets.Stat(77, "/h/none")))
        await later(0.3)
        codes = [each.code for each in client.answers if each.id == 77]
        self.assertEqual(sorted(codes), [packets.NO_SUCH_FILE, packets.BAD_MESSAGE])

    async def test_four_gibibytes_cut_that_client_alone(self):
        rig = Rig(self)
        edge = await rig.edge()
        bad, good = await rig.client(edge), await rig.client(edge)
        bad.transport.write(b"\xff\xff\xff\xff" + bytes(100))
        await bad.lost
        self.assertEqual(
            (await good.command(packets.Stat(0, "/h"))).attrs.mode, 0o040755
        )

    async def test_a_malformed_packet_loses_nothing_else(self):
        rig = Rig(self)
        client = await rig.client(await rig.edge())
        client.transport.write(b"\0\0\0\x06\x05\0\0\0\x09\x01")  # READ cut short
        client.transport.write(b"\0\0\0\x05\x63\0\0\0\x08")  # a kind that there is not
        await later(0.1)
        self.assertEqual(
            [(each.id, each.code) for each in client.answers],
            [(9, packets.BAD_MESSAGE), (8, packets.UNSUPPORTED)],
        )
        self.assertIsInstance(
            await client.command(packets.Realpath(0, ".")), packets.Names
        )

    async def test_a_client_that_never_reads_is_bounded_and_cut(self):
        rig = Rig(self)
        edge = await rig.edge(idle_s=1)
        client, other = await rig.client(edge), await rig.client(edge)
        handle = await client.open("/h/x")
        await client.command(packets.Write(0, handle, 0, pattern(32768)))
        client.transport.pauseProducing()
        for _ in range(4000):
            client.ids += 1
            client.transport.write(
                packets.encode(packets.Read(client.ids, handle, 0, 32768))
            )
        most = 0
        for _ in range(
            100
        ):  # a busy machine needs more than the 2 s that it takes alone
            await later(0.1)
            await other.command(packets.Stat(0, "/h"))
            most = max(
                [most, edge.host.unanswered]
                + [len(each.outstanding) for each in edge.clients]
            )
            if len(edge.clients) == 1:
                break
        self.assertLessEqual(most, 8)
        self.assertEqual(len(edge.clients), 1)
        self.assertIsInstance(
            await other.command(packets.Stat(0, "/h")), packets.AttrsAnswer
        )

    async def test_a_registry_that_is_away_at_the_start_is_asked_again(self):
        rig = Rig(self)
        rig.registry.set_away(True)
        edge = await rig.edge()
        client = await rig.client(edge)
        answer = await client.command(packets.Stat(0, "/h/x"), Terms(200, 0, "m"))
        self.assertTrue(declined(answer), answer)
        rig.registry.set_away(False)
        await later(1.2)
        self.assertEqual(
            (await client.command(packets.Stat(0, "/h/x"))).code, packets.NO_SUCH_FILE
        )

    async def test_a_restarted_gateway_has_its_last_list_with_the_registry_away(self):
        rig = Rig(self)
        first = await rig.edge()
        client = await rig.client(first)
        await client.open("/h/x")
        first.stop()
        rig.registry.set_away(True)
        second = await rig.edge()
        self.assertEqual(second.incarnation, first.incarnation + 1)
        client = await rig.client(second)
        self.assertIsInstance(
            await client.command(packets.Stat(0, "/h/x")), packets.AttrsAnswer
        )

    async def test_a_drain_told_is_a_drain_kept(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        await client.open("/d/x")
        busy = next(box for box in rig.boxes if "/d/x" in box.files.data)
        rig.tell(busy, "draining")
        await later(0.3)
        before = busy.counted, sum(busy.served.values())
        answer = await client.command(packets.Stat(0, "/d/x"), Terms(300, 0, "m"))
        self.assertTrue(declined(answer), answer)
        self.assertEqual((busy.counted, sum(busy.served.values())), before)

    async def test_a_box_replaced_in_its_cell_serves_its_files(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        await client.open("/d/x")
        old = next(box for box in rig.boxes if "/d/x" in box.files.data)
        rig.registry.delete(f"{rig.file.registry.prefix}{old.id}")
        old.vanish()
        old.drop()
        rig.add_box(9, old.cell, old.files, cold=True)
        await later(0.9)
        answer = await client.command(packets.Stat(0, "/d/x"))
        self.assertIsInstance(answer, packets.AttrsAnswer)

    async def test_a_reactor_blocked_for_two_seconds_answers_all_once_and_goes_on(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        handle = await client.open("/h/x")
        await client.command(packets.Write(0, handle, 0, b"data"))
        going = [client.command(packets.Read(0, handle, 0, 4)) for _ in range(8)]
        await later(0.0005)
        time.sleep(2)
        answers = await defer.gatherResults(going)
        self.assertEqual((len(answers), edge.host.unanswered), (8, 0))
        self.assertEqual(len({each.id for each in answers}), 8)
        ends = time.monotonic() + 8
        while not isinstance(
            answer := await client.command(packets.Read(0, handle, 0, 4)), packets.Data
        ):
            self.assertLess(time.monotonic(), ends, answer)
            await later(0.2)

    async def test_patience_runs_while_a_command_lies_unread_in_a_stalled_process(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        handle = await client.open("/h/x")
        for box in rig.boxes:
            box.vanish()
        asking = extensions.put_terms(
            Terms(900, 0, "m"), packets.Read(99, handle, 0, 4)
        )
        client.transport.socket.send(packets.encode(asking))
        began = time.monotonic()
        time.sleep(0.6)
        while not any(each.id == 99 for each in client.answers):
            await later(0.005)
        self.assertLess(time.monotonic() - began, 0.9)

    async def test_patience_runs_where_the_process_stood_before_it_read_what_was_ready(
        self,
    ):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        door = next(iter(edge.clients))
        edge.stall_watch.check_call.cancel()  # it stands between a beat and the read, 0.6 s long
        stood = edge.stall_watch.last_check = edge.now() - 6000
        self.assertEqual(door.arrival_time(), stood)
        edge.stall_watch.check()
        self.assertEqual(door.arrival_time(), stood)  # all that is read in this turn
        while door.arrival_time() == stood:
            await later(0.005)
        self.assertLess(edge.now() - door.arrival_time(), 3000)
        self.assertTrue(client.transport.connected)

    async def test_term_in_a_surge_answers_all_that_is_held_and_ends(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        handle = await client.open("/h/x")
        await client.command(packets.Write(0, handle, 0, b"data"))
        going = [client.command(packets.Read(0, handle, 0, 4)) for _ in range(8)]
        await later(0.001)
        ended = defer.Deferred()
        edge.on_stopped.append(lambda: ended.callback(None))
        edge.terminate()
        late = client.command(packets.Stat(0, "/h/x"))
        answers = await defer.gatherResults(going)
        self.assertTrue(
            all(isinstance(each, (packets.Data, packets.Status)) for each in answers)
        )
        await ended
        self.assertEqual(edge.state.name, "STOPPED")
        self.assertTrue(not late.called or declined(late.result))

    async def test_a_state_folder_that_takes_nothing_stops_nothing(self):
        rig = Rig(self)
        edge = await rig.edge()
        edge.endpoint_watcher.cache.path = "/dev/full/boxes"
        for number in range(3):
            rig.tell(rig.boxes[0])
            await later(0.7)
        client = await rig.client(edge)
        self.assertEqual(
            (await client.command(packets.Stat(0, "/h/x"))).code, packets.NO_SUCH_FILE
        )
        self.assertEqual(rig.log.getvalue().count("cannot be kept"), 1)

    async def test_a_watch_that_is_compacted_asks_for_the_whole_list(self):
        rig = Rig(self)
        edge = await rig.edge()
        rig.registry.set_away(True)
        rig.registry.delete(f"{rig.file.registry.prefix}2")
        rig.registry.compact()
        rig.registry.set_away(False)
        await later(1.5)
        self.assertEqual(
            (sorted(edge.node_pools.pools), edge.endpoint_watcher.state.name),
            ([0, 1], "WATCHING"),
        )

    async def test_plain_metrics_tell_answers(self):
        rig = Rig(self)
        edge = await rig.edge()
        client = await rig.client(edge)
        await client.command(packets.Stat(0, "/h/x"))
        value = edge.metrics.registry.get_sample_value(
            "milletsill_answers_total", {"category": "read", "final": "satisfied"}
        )
        self.assertEqual(value, 1.0)

    async def test_a_reload_takes_volumes_and_refuses_plans(self):
        rig = Rig(self)
        edge = await rig.edge()
        file = type(edge.file)()
        file.CopyFrom(edge.file)
        file.volume.add(name="new", root="/new", plan="p", cell=[1])
        edge.reload(file)
        client = await rig.client(edge)
        self.assertIsInstance(
            await client.command(packets.Stat(0, "/new")), packets.AttrsAnswer
        )
        other = type(file)()
        other.CopyFrom(file)
        other.plan[0].usual_rate = 1
        edge.reload(other)
        self.assertIs(edge.file, file)
