"""Receives messages for a collecting process over UDP and TCP."""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import DatagramProtocol, Factory, Protocol

from milletsill.flows.collecting_process import CollectingProcess, TransportSession
from milletsill.flows.errors import MalformedFlowMessageError
from milletsill.flows.ipfix_stream import IpfixMessageSplitter


class UdpCollectingProtocol(DatagramProtocol):
    """Passes datagrams to a collecting process."""

    noisy = False

    def __init__(self, collector: CollectingProcess) -> None:
        self._collector = collector

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Pass on one datagram."""
        self._collector.on_datagram(datagram, addr)


class TcpCollectingProtocol(Protocol):
    """A TCP connection from one exporting process, with its own transport session.

    A malformed message header closes the connection, as the start of the next message
    is then unknown.
    """

    def __init__(self, collector: CollectingProcess) -> None:
        self._collector = collector
        self._session = TransportSession(template_lifetime=None)
        self._splitter = IpfixMessageSplitter()

    def dataReceived(self, data: bytes) -> None:
        """Pass on the complete messages."""
        transport: Any = self.transport
        peer = transport.getPeer()
        try:
            for message in self._splitter.feed(data):
                self._collector.on_message(self._session, message, peer)
        except MalformedFlowMessageError as error:
            self._collector.report_malformed(error, str(peer))
            transport.abortConnection()


class TcpCollectingFactory(Factory):
    """Creates a protocol for each connection."""

    noisy = False

    def __init__(self, collector: CollectingProcess) -> None:
        self._collector = collector

    def buildProtocol(self, addr: IAddress | None) -> TcpCollectingProtocol:
        """Return the protocol of a new connection."""
        return TcpCollectingProtocol(self._collector)
