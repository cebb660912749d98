"""Sends messages: over one UDP socket, or a TCP connection to each collector."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.python.failure import Failure

from milletsill.named_timers import ReactorTimers


class ExportReactor(ReactorTimers, Protocol):
    """The methods of the reactor that flow export uses."""

    def listenUDP(  # noqa: N802
        self, port: int, protocol: DatagramProtocol, interface: str = ""
    ) -> Any:
        """Bind a UDP socket."""


class ConnectionEvents(Protocol):
    """Receives the events of a TCP connection to a collector."""

    def on_connected(self, connection: CollectorConnection) -> None:
        """Handle an established connection; abort it if it is no longer wanted."""

    def on_lost(self, connection: CollectorConnection) -> None:
        """Handle the loss of the connection."""

    def on_full(self) -> None:
        """Handle a full send buffer."""

    def on_drained(self) -> None:
        """Handle a send buffer that has space again."""


class CollectorConnection(StreamProtocol):
    """A TCP connection to a collector; data from the collector is ignored."""

    def __init__(self, events: ConnectionEvents) -> None:
        self._events = events

    def connectionMade(self) -> None:
        """Report the established connection."""
        self._events.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Ignore received data."""

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Report the loss of the connection."""
        self._events.on_lost(self)

    def start_producing(self) -> None:
        """Ask the transport for events when its send buffer fills and drains."""
        self._transport.registerProducer(self, True)

    def send(self, octets: bytes) -> None:
        """Write one message."""
        self._transport.write(octets)

    def abort(self) -> None:
        """Abort the connection; unsent data is lost."""
        self._transport.abortConnection()

    def close(self) -> None:
        """Close the connection once its send buffer is empty."""
        self._transport.unregisterProducer()
        self._transport.loseConnection()

    def pauseProducing(self) -> None:
        """Report that the send buffer is full."""
        self._events.on_full()

    def resumeProducing(self) -> None:
        """Report that the send buffer has space again."""
        self._events.on_drained()

    def stopProducing(self) -> None:
        """Do nothing: connectionLost reports the end."""

    @property
    def _transport(self) -> Any:
        return self.transport


class UdpSendingProtocol(DatagramProtocol):
    """The protocol of the UDP socket; it ignores received data and ICMP refusals."""

    noisy = False

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Ignore received data."""

    def connectionRefused(self) -> None:
        """Ignore a refused datagram."""


class ExportUdpSocket:
    """The UDP socket from which all datagrams are sent."""

    def __init__(self, reactor: ExportReactor) -> None:
        self._reactor = reactor
        self._port: Any = None

    def open(self) -> None:
        """Bind the socket to any free port."""
        self._port = self._reactor.listenUDP(0, UdpSendingProtocol(), interface="")

    def send(self, octets: bytes, address: tuple[str, int]) -> None:
        """Send one datagram; drop it if the socket returns an error."""
        if self._port is None:
            return
        try:
            self._port.write(octets, address)
        except OSError:
            return

    def close(self) -> None:
        """Close the socket."""
        if self._port is not None:
            self._port.stopListening()
