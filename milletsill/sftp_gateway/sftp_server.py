"""The clients' door: SFTP version 3 packets straight over TCP, bounded on every side."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory, Protocol

from milletsill.errors import MalformedInput
from milletsill.sftp import extensions, packets
from milletsill.sftp.extensions import Terms
from milletsill.sftp.framing import BrokenPacketStream, Deframer
from milletsill.sftp.wire import Attrs, Name
from milletsill.sftp_gateway.command_execution import CommandExecution, OpenHandle
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.routing import (
    InvalidPath,
    ObjectLocation,
    SftpClientEvent,
    SftpClientState,
    flow_control_event,
    next_client_state,
)

DIRECTORY = Attrs(mode=0o040755)
BY_HANDLE = (
    packets.Read,
    packets.Write,
    packets.Fstat,
    packets.Fsetstat,
    packets.Readdir,
)


class SftpClientConnection(Protocol):
    """One client."""

    def __init__(self, edge: GatewayContext) -> None:
        self.edge, self.door = edge, SftpClientState.FRESH
        self.deframer = Deframer(edge.file.door.most_packet)
        self.out: dict[int, CommandExecution] = {}
        self.handles: dict[bytes, OpenHandle] = {}
        self.channels: dict[
            bytes, Any
        ] = {}  # handles of channels, where the gateway keeps any
        self.handle_count, self.unread, self.reading = 0, False, False
        self.octets = 0  # of the packet at hand
        self.full_since: int | None = None
        self.ends: tuple[str, int, str, int] = ("0.0.0.0", 0, "0.0.0.0", 0)
        self.heard = self.stuck_since = edge.now()

    def connectionMade(self) -> None:
        if not self.edge.connected(self):
            self.door = SftpClientState.CLOSED
            return self.transport.abortConnection()
        peer, host = self.transport.getPeer(), self.transport.getHost()
        self.ends = (peer.host, peer.port, host.host, host.port)
        self.transport.registerProducer(self, True)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: Any = None) -> None:
        self.next_client_state(SftpClientEvent.LOST)
        self.edge.disconnected(self)

    def pauseProducing(self) -> None:
        """The client does not take its answers."""
        self.unread, self.stuck_since = True, self.edge.now()
        self.look()

    def resumeProducing(self) -> None:
        self.unread = False
        self.look()

    def stopProducing(self) -> None: ...

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.edge.now()
        self.deframer.feed(data)
        self.read()

    def read(self) -> None:
        """Packets as long as the door is open."""
        if self.reading:
            return
        self.reading = True
        try:
            while (
                self.door in (SftpClientState.FRESH, SftpClientState.OPEN)
                and (body := self.deframer.next()) is not None
            ):
                self.packet(body)
                self.look()
        except BrokenPacketStream as error:
            self.edge.remark(
                "client_broken", **error.with_location(self.ends[0]).log_fields()
            )
            self.next_client_state(SftpClientEvent.BROKEN)
        finally:
            self.reading = False

    def look(self) -> None:
        """Read on, or do not, as the bounds say."""
        sign = flow_control_event(
            self.door, len(self.out), self.unread, self.edge.file.door.most_outstanding
        )
        if sign is not None:
            self.next_client_state(sign)

    def tick(self, idle: int) -> None:
        """Now and then: whether it is idle, or its answers are not taken, for too long."""
        now = self.edge.now()
        if self.unread and now - self.stuck_since > idle:
            self.next_client_state(SftpClientEvent.STUCK)
        elif not self.out and now - self.heard > idle:
            self.next_client_state(SftpClientEvent.IDLE)

    def next_client_state(self, sign: SftpClientEvent) -> None:
        """Read the table and act."""
        self.door, effect = next_client_state(self.door, sign)
        if effect == "pause":
            self.full_since = self.edge.now()
        if effect == "version":
            self.reply(
                packets.Version(
                    packets.VERSION_SPOKEN, extensions.offered(*self.edge.extensions)
                )
            )
        elif effect == "pause":
            self.transport.pauseProducing()
        elif effect == "resume":
            self.transport.resumeProducing()
            self.read()
            self.edge.after_round(self.caught_up)
        elif effect in ("cut", "close", "abandon"):
            out, self.out = list(self.out.values()), {}
            for each in out:
                each.abandon()
                self.meter(each, 0)
            self.handles.clear()
            self.channels.clear()
            if effect == "cut":
                self.transport.abortConnection()
            elif effect == "close":
                self.transport.loseConnection()

    def caught_up(self) -> None:
        """What lay unread while the door was full has been read."""
        if self.door is SftpClientState.OPEN:
            self.full_since = None

    def send(self, packet: Any) -> int:
        """Bytes written to the client."""
        if self.door is SftpClientState.CLOSED:
            return 0
        data = packets.encode(packet)
        self.transport.write(data)
        return len(data)

    def reply(self, packet: Any) -> None:
        """The answer at once to the packet at hand, which no box had work with."""
        octets = self.send(packet)
        if self.edge.flows is not None:
            self.edge.flows.client(self.ends, "", "", "", "", self.octets, octets, 0)

    def meter(self, running: CommandExecution, octets: int) -> None:
        """Tell flow export, where there is any, of a command that has ended."""
        if self.edge.flows is not None:
            self.edge.flows.client(
                self.ends,
                running.volume.name,
                self.edge.plan_name(running.volume),
                self.edge.category_name(running.category),
                running.final,
                running.octets,
                octets,
                self.edge.now() - running.began,
            )

    def packet(self, body: bytes) -> None:
        """One packet; one that makes no sense gets its answer, if it has an id, and loses nothing else."""
        self.octets = len(body) + 4
        try:
            packet = packets.decode(body)
        except packets.UnknownPacket as error:
            return self.reply(packets.Status(error.id, packets.UNSUPPORTED, str(error)))
        except MalformedInput as error:
            self.edge.remark(
                "client_malformed", **error.with_location(self.ends[0]).log_fields()
            )
            if len(body) >= 5 and self.door is SftpClientState.OPEN:
                return self.reply(
                    packets.Status(
                        int.from_bytes(body[1:5], "big"),
                        packets.BAD_MESSAGE,
                        error.what,
                    )
                )
            return self.next_client_state(SftpClientEvent.BROKEN)
        if isinstance(packet, packets.Init):
            return self.next_client_state(SftpClientEvent.INIT)
        if not isinstance(packet, packets.COMMANDS):
            return self.reply(
                packets.Status(
                    packet.id, packets.BAD_MESSAGE, "an answer where a command was due"
                )
            )
        self.next_client_state(SftpClientEvent.COMMAND)
        if self.door is SftpClientState.OPEN:
            self.command(packet)

    def command(self, packet: Any) -> None:
        """Answer at once what costs no box work; run the rest."""
        id, terms = packet.id, Terms()
        if id in self.out:
            return self.reply(
                packets.Status(id, packets.BAD_MESSAGE, f"command {id} is still out")
            )
        try:
            if (
                isinstance(packet, packets.Extended)
                and packet.name == extensions.COMMAND
            ):
                terms, packet = extensions.read_terms(packet)
            answer = self.at_once(packet, terms)
        except (MalformedInput, InvalidPath) as error:
            answer = packets.Status(id, packets.BAD_MESSAGE, str(error))
        if answer is not None:
            self.reply(answer)

    def at_once(self, packet: Any, terms: Terms) -> Any:
        """The answer, or None where the command was put on its way."""
        id, edge = packet.id, self.edge
        if isinstance(packet, packets.Realpath):
            return packets.Names(
                id, (Name(path := edge.canonical(packet.path or "/"), path, Attrs()),)
            )
        if isinstance(packet, packets.Close):
            gone = self.handles.pop(packet.handle, None) or self.channels.pop(
                packet.handle, None
            )
            return packets.Status(
                id,
                packets.OK if gone else packets.FAILURE,
                "" if gone else "no such handle",
            )
        if isinstance(packet, packets.Extended):
            return self.extended(packet, terms)
        if isinstance(packet, BY_HANDLE):
            return self.by_handle(packet, terms)
        if isinstance(packet, (packets.Readlink, packets.Symlink)):
            return packets.Status(id, packets.UNSUPPORTED, "links are not offered")
        return self.by_path(packet, terms)

    def extended(self, packet: packets.Extended, terms: Terms) -> Any:
        door = self.edge.file.door
        if packet.name == extensions.LIMITS:
            most = self.edge.routing_table.most_bytes
            return extensions.put_limits(
                packet.id, door.most_packet, most, most, door.most_handles
            )
        if packet.name in self.edge.extensions:
            return self.edge.channels.command(self, packet)
        if packet.name != extensions.FSYNC:
            return packets.Status(
                packet.id,
                packets.UNSUPPORTED,
                f"unknown extension {packet.name[:40]!r}",
            )
        opened = self.handles.get(extensions.read_fsync(packet))
        if opened is None or opened.volume is None or opened.location is None:
            return packets.Status(packet.id, packets.FAILURE, "no such handle")
        self.run(packet, terms, opened.volume, opened.path, opened)

    def by_handle(self, packet: Any, terms: Terms) -> Any:
        opened = self.handles.get(packet.handle)
        listing = isinstance(packet, packets.Readdir)
        if opened is None or listing != (opened.location is None):
            return packets.Status(packet.id, packets.FAILURE, "no such handle")
        if (
            isinstance(packet, packets.Write)
            and len(packet.data) > self.edge.routing_table.most_bytes
        ):
            return packets.Status(
                packet.id,
                packets.FAILURE,
                f"a write of {len(packet.data)} bytes, "
                f"{self.edge.routing_table.most_bytes} at most",
            )
        if listing and opened.volume is None:
            return self.list_above(packet.id, opened)
        assert opened.volume is not None
        self.run(packet, terms, opened.volume, opened.path, opened)

    def list_above(self, id: int, opened: OpenHandle) -> Any:
        """The names above all volumes, in one page."""
        names = [] if opened.found else self.edge.routing_table.above(opened.path)
        opened.found = True
        if not names:
            return packets.Status(id, packets.EOF, "the end")
        return packets.Names(
            id,
            tuple(
                Name(each, f"drwxr-xr-x 1 - - 0 {each}", DIRECTORY)
                for each in names[:1000]
            ),
        )

    def by_path(self, packet: Any, terms: Terms) -> Any:
        edge, path = self.edge, self.edge.canonical(packet.path)
        volume = edge.routing_table.volume(path)
        if isinstance(packet, packets.Rename):
            target = edge.canonical(packet.target)
            if (
                volume is None
                or edge.routing_table.volume(target) is not volume
                or path == volume.root
            ):
                return packets.Status(
                    packet.id,
                    packets.UNSUPPORTED,
                    "a rename must stay within its volume",
                )
            if not edge.renames(volume, path, target):
                return packets.Status(
                    packet.id, packets.UNSUPPORTED, "the new name lies in another cell"
                )
        above = volume is None and (path == "/" or edge.routing_table.above(path))
        root = above or volume is not None and path == volume.root
        if isinstance(packet, packets.Opendir):
            return (
                self.opendir(packet, volume, path)
                if volume or above
                else self.missing(packet.id)
            )
        if root and isinstance(packet, (packets.Stat, packets.Lstat)):
            return packets.AttrsAnswer(packet.id, DIRECTORY)
        if root:
            return packets.Status(
                packet.id, packets.PERMISSION_DENIED, "this belongs to the operator"
            )
        if volume is None:
            return self.missing(packet.id)
        if (
            isinstance(packet, packets.Open)
            and len(self.handles) >= edge.file.door.most_handles
        ):
            return self.no_more_handles(packet.id)
        self.run(packet, terms, volume, path, None)

    def missing(self, id: int) -> packets.Status:
        return packets.Status(id, packets.NO_SUCH_FILE, "no such file")

    def no_more_handles(self, id: int) -> packets.Status:
        return packets.Status(
            id, packets.FAILURE, f"more than {self.edge.file.door.most_handles} handles"
        )

    def opendir(self, packet: Any, volume: Any, path: str) -> Any:
        if len(self.handles) >= self.edge.file.door.most_handles:
            return self.no_more_handles(packet.id)
        return packets.Handle(packet.id, self.keep(OpenHandle(volume, path, None)))

    def keep(self, opened: OpenHandle) -> bytes:
        """A handle for it."""
        self.handle_count += 1
        handle = self.handle_count.to_bytes(8, "big")
        self.handles[handle] = opened
        return handle

    def run(
        self,
        packet: Any,
        terms: Terms,
        volume: Any,
        path: str,
        opened: OpenHandle | None,
    ) -> None:
        """Put a command on its way to the boxes."""
        running = CommandExecution(
            self.edge,
            packet,
            terms,
            volume,
            path,
            opened,
            lambda answer: self.answer(running, answer),
            self.came(),
        )
        running.octets = self.octets
        self.out[packet.id] = running
        running.start()

    def came(self) -> int:
        """When the packet at hand may have come: it lay unread while this door was full or the process stood."""
        known = [
            each
            for each in (self.full_since, self.edge.unread_since())
            if each is not None
        ]
        return min(known, default=self.edge.now())

    def answer(self, running: CommandExecution, packet: Any) -> None:
        """The one answer of a command."""
        self.out.pop(running.command.id, None)
        if isinstance(packet, packets.Handle) and isinstance(
            running.command, packets.Open
        ):
            spot = running.location or ObjectLocation(
                self.edge.routing_table.home(running.volume, running.path), running.path
            )
            packet = (
                packets.Handle(
                    packet.id, self.keep(OpenHandle(running.volume, running.path, spot))
                )
                if len(self.handles) < self.edge.file.door.most_handles
                else self.no_more_handles(packet.id)
            )
        self.meter(running, self.send(packet))
        self.look()


class SftpClientListener(Factory):
    """Makes a Connection for each client."""

    noisy = False

    def __init__(self, edge: GatewayContext) -> None:
        self.edge = edge

    def buildProtocol(self, addr: Any) -> SftpClientConnection:
        return SftpClientConnection(self.edge)
