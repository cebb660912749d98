"""The clients' side: SFTP version 3 packets straight over TCP, all of it bounded."""

from __future__ import annotations

from typing import Any
from typing import Protocol as Interface

from twisted.internet.protocol import Factory, Protocol

from milletsill.errors import MalformedInputError
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import CommandTerms
from milletsill.sftp.framing import BrokenPacketStreamError, PacketSplitter
from milletsill.sftp_gateway.client_commands import ClientCommands
from milletsill.sftp_gateway.client_handles import HandleTable
from milletsill.sftp_gateway.client_state import (
    SftpClientEffect,
    SftpClientEvent,
    SftpClientState,
    flow_control_event,
    next_client_state,
)
from milletsill.sftp_gateway.command_classification import InvalidPathError
from milletsill.sftp_gateway.command_execution import ClientCommand, CommandExecution
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.object_location import ObjectLocation
from milletsill.sftp_gateway.open_handle import OpenHandle
from milletsill.sftp_gateway.routing_table import RoutedVolume

LENGTH_OCTETS = 4  # before each packet
ID_END = 5  # a packet's kind and its id
READABLE_STATES = (SftpClientState.FRESH, SftpClientState.OPEN)
UNKNOWN_ADDRESS = ("0.0.0.0", 0, "0.0.0.0", 0)


class OutstandingCommand(Interface):
    """A command that has no answer yet."""

    command: Any
    volume: RoutedVolume
    request_class: int
    final: str
    octets: int
    began: int

    def abandon(self) -> None:
        """Drop it: the client has left."""


class SftpClientConnection(Protocol):
    """One client.

    Attributes:
        outstanding: commands without an answer, by the client's ids.
        channels: handles of channels, where the gateway keeps any.
        octets: of the packet at hand.
        addresses: host and port of the client, host and port of this side.
    """

    transport: Any  # Twisted's own type is narrower than the connection in use

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.state = SftpClientState.FRESH
        self.deframer = PacketSplitter(gateway.file.door.most_packet)
        self.outstanding: dict[int, OutstandingCommand] = {}
        self.handles = HandleTable(gateway)
        self.channels: dict[bytes, Any] = {}
        self.commands = ClientCommands(gateway, self)
        self.answers_not_taken = False
        self.reading = False
        self.octets = 0
        self.full_since: int | None = None
        self.addresses: tuple[str, int, str, int] = UNKNOWN_ADDRESS
        self.last_heard = gateway.now()
        self.not_taken_since = self.last_heard

    # What Twisted calls.

    def connectionMade(self) -> None:
        """Take the connection, or cut it where there is no room."""
        if not self.gateway.on_client_connected(self):
            self.state = SftpClientState.CLOSED
            self.transport.abortConnection()
            return
        peer, host = self.transport.getPeer(), self.transport.getHost()
        self.addresses = (peer.host, peer.port, host.host, host.port)
        self.transport.registerProducer(self, True)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: Any = None) -> None:
        """Drop what is outstanding."""
        self._on_event(SftpClientEvent.LOST)
        self.gateway.on_client_lost(self)

    def pauseProducing(self) -> None:
        """Note that the client does not take its answers."""
        self.answers_not_taken = True
        self.not_taken_since = self.gateway.now()
        self._control_flow()

    def resumeProducing(self) -> None:
        """Note that the client takes its answers again."""
        self.answers_not_taken = False
        self._control_flow()

    def stopProducing(self) -> None:
        """Do nothing: the loss of the connection is heard of."""

    def dataReceived(self, data: bytes) -> None:
        """Read what has come."""
        self.last_heard = self.gateway.now()
        self.deframer.feed(data)
        self._read_packets()

    # Reading.

    def _read_packets(self) -> None:
        """Take packets as long as the state lets them be read."""
        if self.reading:
            return
        self.reading = True
        try:
            while self.state in READABLE_STATES:
                body = self.deframer.next()
                if body is None:
                    break
                self._on_packet(body)
                self._control_flow()
        except BrokenPacketStreamError as error:
            self._warn("client_broken", error)
            self._on_event(SftpClientEvent.BROKEN)
        finally:
            self.reading = False

    def _control_flow(self) -> None:
        """Read on, or do not, as the bounds say."""
        event = flow_control_event(
            self.state,
            len(self.outstanding),
            self.answers_not_taken,
            self.gateway.file.door.most_outstanding,
        )
        if event is not None:
            self._on_event(event)

    def check(self, max_idle: int) -> None:
        """Close a client that is idle, or does not take its answers, for too long."""
        now = self.gateway.now()
        if self.answers_not_taken and now - self.not_taken_since > max_idle:
            self._on_event(SftpClientEvent.STUCK)
        elif not self.outstanding and now - self.last_heard > max_idle:
            self._on_event(SftpClientEvent.IDLE)

    def arrival_time(self) -> int:
        """Return when the packet at hand may have come.

        It lay unread while this connection was full or the process stood.
        """
        known = [
            since
            for since in (self.full_since, self.gateway.unread_since())
            if since is not None
        ]
        return min(known, default=self.gateway.now())

    # State.

    def _on_event(self, event: SftpClientEvent) -> None:
        """Read the table and act."""
        self.state, effect = next_client_state(self.state, event)
        if effect is SftpClientEffect.SEND_VERSION:
            offered = extensions.encode_offer(*self.gateway.extensions)
            self._reply(packets.Version(packets.VERSION_SPOKEN, offered))
        elif effect is SftpClientEffect.PAUSE_READING:
            self.full_since = self.gateway.now()
            self.transport.pauseProducing()
        elif effect is SftpClientEffect.RESUME_READING:
            self.transport.resumeProducing()
            self._read_packets()
            self.gateway.after_reads(self._on_sockets_read)
        elif effect is SftpClientEffect.ABANDON:
            self._drop_commands()
        elif effect is SftpClientEffect.ABORT:
            self._drop_commands()
            self.transport.abortConnection()
        elif effect is SftpClientEffect.CLOSE:
            self._drop_commands()
            self.transport.loseConnection()

    def _drop_commands(self) -> None:
        dropped = list(self.outstanding.values())
        self.outstanding = {}
        for command in dropped:
            command.abandon()
            self._meter(command, 0)
        self.handles.clear()
        self.channels.clear()

    def _on_sockets_read(self) -> None:
        """Note that what lay unread while this connection was full has been read."""
        if self.state is SftpClientState.OPEN:
            self.full_since = None

    # Packets and commands.

    def _on_packet(self, body: bytes) -> None:
        """Take one packet.

        One that makes no sense gets its answer, if it has an id, and loses nothing
        else.
        """
        self.octets = len(body) + LENGTH_OCTETS
        try:
            packet = packet_codec.decode(body)
        except packet_codec.UnknownPacketError as error:
            status = packets.Status(error.id, packets.UNSUPPORTED, str(error))
            self._reply(status)
            return
        except MalformedInputError as error:
            self._on_malformed(body, error)
            return
        if isinstance(packet, packets.Init):
            self._on_event(SftpClientEvent.INIT)
        elif not isinstance(packet, packets.COMMANDS):
            answer: Any = packet
            self._reply_bad_message(answer.id, "an answer where a command was due")
        else:
            self._on_event(SftpClientEvent.COMMAND)
            if self.state is SftpClientState.OPEN:
                self._on_command(packet)

    def _on_malformed(self, body: bytes, error: MalformedInputError) -> None:
        self._warn("client_malformed", error)
        if len(body) >= ID_END and self.state is SftpClientState.OPEN:
            id = int.from_bytes(body[1:ID_END], "big")
            self._reply_bad_message(id, error.what)
            return
        self._on_event(SftpClientEvent.BROKEN)

    def _on_command(self, packet: Any) -> None:
        """Answer at once what costs nodes no work; run the rest."""
        id = packet.id
        if id in self.outstanding:
            self._reply_bad_message(id, f"command {id} is still out")
            return
        try:
            terms = CommandTerms()
            if isinstance(packet, packets.Extended) and (
                packet.name == extensions.COMMAND
            ):
                terms, packet = extensions.decode_command(packet)
            answer = self.commands.take(packet, terms)
        except (MalformedInputError, InvalidPathError) as error:
            answer = packets.Status(id, packets.BAD_MESSAGE, str(error))
        if answer is not None:
            self._reply(answer)

    def run(
        self,
        packet: Any,
        terms: CommandTerms,
        volume: RoutedVolume,
        path: str,
        handle: OpenHandle | None,
    ) -> None:
        """Run a command that costs nodes work."""
        command = ClientCommand(
            packet, terms, volume, path, handle, self.arrival_time(), self.octets
        )
        execution = CommandExecution(
            self.gateway,
            command,
            lambda answer: self._on_executed(execution, answer),
        )
        self.outstanding[packet.id] = execution
        execution.start()

    def _on_executed(self, execution: CommandExecution, packet: Any) -> None:
        opened = isinstance(execution.command, packets.Open)
        if opened and isinstance(packet, packets.Handle):
            packet = self._open_file(execution, packet.id)
        self.answer(execution, packet)

    def _open_file(self, execution: CommandExecution, id: int) -> Any:
        """Return the answer to an OPEN that succeeded, with a handle of this client."""
        if self.handles.is_full():
            return self.handles.full_status(id)
        volume, path = execution.volume, execution.path
        location = execution.location or ObjectLocation(
            self.gateway.routing_table.home_shard(volume, path), path
        )
        handle = self.handles.add(OpenHandle(volume, path, location))
        return packets.Handle(id, handle)

    # Answers.

    def answer(self, command: OutstandingCommand, packet: Any) -> None:
        """Give the one answer to a command."""
        self.outstanding.pop(command.command.id, None)
        self._meter(command, self._send(packet))
        self._control_flow()

    def _send(self, packet: Any) -> int:
        """Return how many octets were written to the client."""
        if self.state is SftpClientState.CLOSED:
            return 0
        data = packet_codec.encode(packet)
        self.transport.write(data)
        return len(data)

    def _reply(self, packet: Any) -> None:
        """Answer the packet at hand at once: no node had work with it."""
        octets = self._send(packet)
        if self.gateway.flows is not None:
            self.gateway.flows.meter_client_exchange(
                self.addresses, "", "", "", "", self.octets, octets, 0
            )

    def _reply_bad_message(self, id: int, reason: str) -> None:
        self._reply(packets.Status(id, packets.BAD_MESSAGE, reason))

    def _meter(self, command: OutstandingCommand, octets: int) -> None:
        """Have flow export, where there is any, count a command that has ended."""
        gateway = self.gateway
        if gateway.flows is None:
            return
        gateway.flows.meter_client_exchange(
            self.addresses,
            command.volume.name,
            gateway.plan_name(command.volume),
            gateway.request_class_name(command.request_class),
            command.final,
            command.octets,
            octets,
            gateway.now() - command.began,
        )

    def _warn(self, event: str, error: MalformedInputError) -> None:
        client_host = self.addresses[0]
        self.gateway.warn(event, **error.with_location(client_host).log_fields())


class SftpClientListener(Factory):
    """Makes a connection for each client."""

    noisy = False

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway

    def buildProtocol(self, addr: Any) -> SftpClientConnection:
        """Return the connection of one client."""
        return SftpClientConnection(self.gateway)
