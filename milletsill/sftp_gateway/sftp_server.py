"""Client connections: SFTP version 3 packets directly over TCP, without SSH.

The packet size, the outstanding commands and the handles of a client are limited.
"""

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

LENGTH_PREFIX_OCTETS = 4  # the length field before each packet
ID_END_OFFSET = 5  # octets: a packet's type and its id
READABLE_STATES = (SftpClientState.AWAITING_INIT, SftpClientState.OPEN)
UNKNOWN_ADDRESS = ("0.0.0.0", 0, "0.0.0.0", 0)


class OutstandingCommand(Interface):
    """A command that has not been answered yet."""

    command: Any
    volume: RoutedVolume
    request_class: int
    final: str
    octets: int
    began: int

    def abandon(self) -> None:
        """Drop the command because its client has disconnected."""


class SftpClientConnection(Protocol):
    """The connection of one client.

    Attributes:
        outstanding: unanswered commands by the client's request ids.
        channels: the client's channel handles; empty if the gateway has no
            channels.
        octets: the size of the packet that is being handled, with its length
            field.
        addresses: the client's host and port, then the local host and port.
    """

    transport: Any  # Twisted's declared type lacks methods of a TCP transport

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.state = SftpClientState.AWAITING_INIT
        self.packet_splitter = PacketSplitter(gateway.file.door.most_packet)
        self.outstanding: dict[int, OutstandingCommand] = {}
        self.handles = HandleTable(gateway)
        self.channels: dict[bytes, Any] = {}
        self.commands = ClientCommands(gateway, self)
        self.send_blocked = False
        self.reading = False
        self.octets = 0
        self.reading_paused_since: int | None = None
        self.addresses: tuple[str, int, str, int] = UNKNOWN_ADDRESS
        self.last_received_at = gateway.now()
        self.send_blocked_since = self.last_received_at

    # Twisted callbacks.

    def connectionMade(self) -> None:
        """Accept the connection, or abort it if the gateway has no capacity."""
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
        """Abandon the outstanding commands."""
        self._on_event(SftpClientEvent.DISCONNECTED)
        self.gateway.on_client_lost(self)

    def pauseProducing(self) -> None:
        """Record that the transport's send buffer is full."""
        self.send_blocked = True
        self.send_blocked_since = self.gateway.now()
        self._control_flow()

    def resumeProducing(self) -> None:
        """Record that the transport's send buffer has room again."""
        self.send_blocked = False
        self._control_flow()

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` handles the end of the connection."""

    def dataReceived(self, data: bytes) -> None:
        """Handle the received data."""
        self.last_received_at = self.gateway.now()
        self.packet_splitter.feed(data)
        self._read_packets()

    # Reading.

    def _read_packets(self) -> None:
        """Handle buffered packets while the state allows reading."""
        if self.reading:
            return
        self.reading = True
        try:
            while self.state in READABLE_STATES:
                body = self.packet_splitter.next()
                if body is None:
                    break
                self._on_packet(body)
                self._control_flow()
        except BrokenPacketStreamError as error:
            self._warn("client_broken", error)
            self._on_event(SftpClientEvent.MALFORMED_STREAM)
        finally:
            self.reading = False

    def _control_flow(self) -> None:
        """Pause or resume reading according to the limits."""
        event = flow_control_event(
            self.state,
            len(self.outstanding),
            self.send_blocked,
            self.gateway.file.door.most_outstanding,
        )
        if event is not None:
            self._on_event(event)

    def check_timeouts(self, max_idle: int) -> None:
        """Close a connection that is idle, or has a full send buffer, for too long."""
        now = self.gateway.now()
        if self.send_blocked and now - self.send_blocked_since > max_idle:
            self._on_event(SftpClientEvent.SEND_TIMEOUT)
        elif not self.outstanding and now - self.last_received_at > max_idle:
            self._on_event(SftpClientEvent.IDLE_TIMEOUT)

    def arrival_time(self) -> int:
        """Return the earliest time at which the current packet may have arrived.

        The packet may have waited in the socket while reading was paused or while
        the process was stalled.
        """
        known = [
            since
            for since in (self.reading_paused_since, self.gateway.unread_since())
            if since is not None
        ]
        return min(known, default=self.gateway.now())

    # State.

    def _on_event(self, event: SftpClientEvent) -> None:
        """Apply a state transition and carry out its effect."""
        self.state, effect = next_client_state(self.state, event)
        if effect is SftpClientEffect.SEND_VERSION:
            offered = extensions.encode_offer(*self.gateway.extensions)
            self._reply(packets.Version(packets.PROTOCOL_VERSION, offered))
        elif effect is SftpClientEffect.PAUSE_READING:
            self.reading_paused_since = self.gateway.now()
            self.transport.pauseProducing()
        elif effect is SftpClientEffect.RESUME_READING:
            self.transport.resumeProducing()
            self._read_packets()
            self.gateway.after_reads(self._after_sockets_read)
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

    def _after_sockets_read(self) -> None:
        """Record that the data that arrived while reading was paused is read."""
        if self.state is SftpClientState.OPEN:
            self.reading_paused_since = None

    # Packets and commands.

    def _on_packet(self, body: bytes) -> None:
        """Handle one packet.

        A malformed packet that has an id is answered with an error status; the
        connection and its other commands are not affected.
        """
        self.octets = len(body) + LENGTH_PREFIX_OCTETS
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
            self._reply_bad_message(
                answer.id, "expected a command, received a reply packet"
            )
        else:
            self._on_event(SftpClientEvent.COMMAND)
            if self.state is SftpClientState.OPEN:
                self._on_command(packet)

    def _on_malformed(self, body: bytes, error: MalformedInputError) -> None:
        self._warn("client_malformed", error)
        if len(body) >= ID_END_OFFSET and self.state is SftpClientState.OPEN:
            id = int.from_bytes(body[1:ID_END_OFFSET], "big")
            self._reply_bad_message(id, error.what)
            return
        self._on_event(SftpClientEvent.MALFORMED_STREAM)

    def _on_command(self, packet: Any) -> None:
        """Answer a command directly if it needs no node; else start it."""
        id = packet.id
        if id in self.outstanding:
            self._reply_bad_message(
                id, f"the command with id {id} is still outstanding"
            )
            return
        try:
            terms = CommandTerms()
            if isinstance(packet, packets.Extended) and (
                packet.name == extensions.COMMAND
            ):
                terms, packet = extensions.decode_command(packet)
            answer = self.commands.handle_command(packet, terms)
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
        """Run a command that needs requests to nodes."""
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
        """Return the answer to a successful OPEN, with a new handle of this client."""
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
        """Send the final answer to a command."""
        self.outstanding.pop(command.command.id, None)
        self._meter(command, self._send(packet))
        self._control_flow()

    def _send(self, packet: Any) -> int:
        """Write a packet to the client; return the number of octets written."""
        if self.state is SftpClientState.CLOSED:
            return 0
        data = packet_codec.encode(packet)
        self.transport.write(data)
        return len(data)

    def _reply(self, packet: Any) -> None:
        """Answer the current packet directly, without a request to a node."""
        octets = self._send(packet)
        if self.gateway.flows is not None:
            self.gateway.flows.meter_client_exchange(
                self.addresses, "", "", "", "", self.octets, octets, 0
            )

    def _reply_bad_message(self, id: int, reason: str) -> None:
        self._reply(packets.Status(id, packets.BAD_MESSAGE, reason))

    def _meter(self, command: OutstandingCommand, octets: int) -> None:
        """Report a finished command to the flow export, if it is enabled."""
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
    """Creates a `SftpClientConnection` for each client."""

    noisy = False

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway

    def buildProtocol(self, addr: Any) -> SftpClientConnection:
        """Return the protocol instance of a new client."""
        return SftpClientConnection(self.gateway)
