"""How messages reach a collecting process: over UDP and over TCP."""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

from milletsill.flows.collecting_process import CollectingProcess, TransportSession
from milletsill.flows.errors import MalformedFlowMessageError
from milletsill.flows.ipfix_stream import IpfixMessageSplitter


class UdpCollectingProtocol(DatagramProtocol):
    """Hands datagrams to a collecting process."""

    noisy = False

    def __init__(self, collector: CollectingProcess) -> None:
        self._collector = collector

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Hands on one datagram."""
        self._collector.on_datagram(datagram, addr)


class TcpCollectingProtocol(Protocol):
    """One exporting process over TCP, a session of its own.

    Malformed framing ends the connection: the stream cannot be read any further.
    """

    def __init__(self, collector: CollectingProcess) -> None:
        self._collector = collector
        self._session = TransportSession(template_lifetime=None)
        self._splitter = IpfixMessageSplitter()

    def dataReceived(self, data: bytes) -> None:
        """Hands on the messages that are complete."""
        transport: Any = self.transport
        peer = transport.getPeer()
        try:
            for message in self._splitter.feed(data):
                self._collector.on_message(self._session, message, peer)
        except MalformedFlowMessageError as error:
            self._collector.report_malformed(error, str(peer))
            transport.abortConnection()


class TcpCollectingFactory(Factory):
    """Makes a protocol for each connection."""

    noisy = False

    def __init__(self, collector: CollectingProcess) -> None:
        self._collector = collector

    def buildProtocol(self, addr: IAddress | None) -> TcpCollectingProtocol:
        """Returns the protocol of a new connection."""
        return TcpCollectingProtocol(self._collector)
