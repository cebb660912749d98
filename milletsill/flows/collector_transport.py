"""How messages leave: a UDP socket for all collectors, a TCP connection for each."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.protocol import DatagramProtocol
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.python.failure import Failure

from milletsill.named_timers import ReactorTimers


class ExportReactor(ReactorTimers, Protocol):
    """What flow export asks of the reactor."""

    def listenUDP(  # noqa: N802
        self, port: int, protocol: DatagramProtocol, interface: str = ""
    ) -> Any:
        """Binds a UDP socket."""


class ConnectionEvents(Protocol):
    """What hears of a TCP connection to a collector."""

    def on_connected(self, connection: CollectorConnection) -> None:
        """The connection stands; aborted here if nobody waits for it any more."""

    def on_lost(self, connection: CollectorConnection) -> None:
        """The connection is gone."""

    def on_full(self) -> None:
        """The connection's buffer is full."""

    def on_drained(self) -> None:
        """The connection's buffer takes octets again."""


class CollectorConnection(StreamProtocol):
    """A TCP connection to a collector; what the collector sends is ignored."""

    def __init__(self, events: ConnectionEvents) -> None:
        self._events = events

    def connectionMade(self) -> None:
        """Reports the connection."""
        self._events.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Ignores what comes."""

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Reports the end."""
        self._events.on_lost(self)

    def start_producing(self) -> None:
        """Asks the transport to report when its buffer is full and drained."""
        self._transport.registerProducer(self, True)

    def send(self, octets: bytes) -> None:
        """Writes one message."""
        self._transport.write(octets)

    def abort(self) -> None:
        """Cuts the connection; what its buffer holds is lost."""
        self._transport.abortConnection()

    def close(self) -> None:
        """Closes the connection once its buffer has left."""
        self._transport.unregisterProducer()
        self._transport.loseConnection()

    def pauseProducing(self) -> None:
        """Reports that the buffer is full."""
        self._events.on_full()

    def resumeProducing(self) -> None:
        """Reports that the buffer takes octets again."""
        self._events.on_drained()

    def stopProducing(self) -> None:
        """Does nothing: the end is reported by connectionLost."""

    @property
    def _transport(self) -> Any:
        return self.transport


class UdpSendingProtocol(DatagramProtocol):
    """The socket's protocol; a sender of datagrams has no use for refusals."""

    noisy = False

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Ignores what comes."""

    def connectionRefused(self) -> None:
        """Ignores refusals."""


class ExportUdpSocket:
    """The UDP socket that all datagrams leave by."""

    def __init__(self, reactor: ExportReactor) -> None:
        self._reactor = reactor
        self._port: Any = None

    def open(self) -> None:
        """Binds the socket to any port."""
        self._port = self._reactor.listenUDP(0, UdpSendingProtocol(), interface="")

    def send(self, octets: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram; one that the socket refuses is lost like any other."""
        if self._port is None:
            return
        try:
            self._port.write(octets, address)
        except OSError:
            return

    def close(self) -> None:
        """Closes the socket."""
        if self._port is not None:
            self._port.stopListening()
