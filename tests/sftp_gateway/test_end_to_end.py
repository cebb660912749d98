"""Files through whole gateways on loopback, from client to nodes and back."""

from twisted.conch.ssh.filetransfer import FileTransferClient, SFTPError
from twisted.internet import defer, protocol, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.trial.unittest import TestCase

from milletsill.sftp import extensions, packets
from tests.support.sftp_gateway_rig import Rig, later, pattern


class FilesThroughGateways(TestCase):
    timeout = 20

    async def test_what_is_written_through_one_gateway_is_read_through_another(self):
        rig = Rig(self)
        first = await rig.client(await rig.start_gateway("edge-a"))
        second = await rig.client(await rig.start_gateway("edge-b"))
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

    async def test_new_objects_are_placed_by_the_scheduler_and_linked_at_home(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway(most_handles=50))
        for number in range(12):
            await client.open(f"/f/{number}")
        object_counts = [
            sum(name.startswith("#") for name in node.files.data) for node in rig.nodes
        ]
        self.assertEqual(
            (sum(object_counts), sum(len(node.files.links) for node in rig.nodes)),
            (12, 12),
        )

    async def test_the_sftp_client_of_twisted_conch_is_served(self):
        rig = Rig(self)
        gateway = await rig.start_gateway()
        client = FileTransferClient()
        port = gateway.listening.ports[0].getHost().port
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

    async def test_a_directory_on_all_shards_is_listed_completely_without_duplicates(
        self,
    ):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway(most_handles=500))
        for number in range(30):
            await client.open(f"/h/{number}")
            await client.open(f"/h/sub/{number}")
        handle = (await client.command(packets.Opendir(0, "/h"))).handle
        names = []
        while isinstance(
            answer := await client.command(packets.Readdir(0, handle)),
            packets.DirectoryEntries,
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

    async def test_two_gateways_that_create_the_same_name_share_one_object(self):
        rig = Rig(self)
        clients = [
            await rig.client(await rig.start_gateway(f"edge-{each}")) for each in "ab"
        ]
        handles = await defer.gatherResults(
            [defer.ensureDeferred(each.open("/f/same")) for each in clients]
        )
        await clients[0].command(packets.Write(0, handles[0], 0, b"one"))
        answer = await clients[1].command(packets.Read(0, handles[1], 0, 10))
        self.assertEqual(answer.data, b"one")

    async def test_handles_and_write_sizes_are_limited(self):
        rig = Rig(self)
        client = await rig.client(await rig.start_gateway())
        answers = [await client.command(packets.Opendir(0, "/h")) for _ in range(8)]
        self.assertEqual([type(each).__name__ for each in answers].count("Handle"), 6)
        answer = await client.command(packets.Extended(0, extensions.LIMITS))
        self.assertEqual(extensions.decode_limits(answer)[1:], (32768, 32768, 6))
        await client.command(packets.Close(0, answers[0].handle))
        handle = await client.open("/h/x")
        self.assertEqual(
            (await client.command(packets.Write(0, handle, 0, bytes(32769)))).code,
            packets.FAILURE,
        )
        self.assertEqual(
            (await client.command(extensions.encode_fsync(0, handle))).code, packets.OK
        )
        self.assertEqual(
            (await client.command(packets.Extended(0, "x@y"))).code, packets.UNSUPPORTED
        )
