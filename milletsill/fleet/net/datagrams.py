"""Datagrams between gateways: probes and gossip, over one UDP port."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from milletsill.fleet.frames.codec import MAX_DATAGRAM

# Large enough to hold the datagrams that arrive while this gateway is stalled.
RECEIVE_BUFFER_OCTETS = 1 << 20


class DatagramSocket(DatagramProtocol):
    """The UDP socket for frames.

    Args:
        on_datagram: Called with each datagram. It does not get the source address,
            which does not identify the sender because a relay may forward datagrams.
    """

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def listen(self, reactor: Any, host: str, port: int) -> Any:
        """Listen and return Twisted's listening port.

        Raises:
            CannotListenError: The address is in use or not local.
        """
        # One octet more than the maximum makes datagrams that are too long detectable.
        listening = reactor.listenUDP(
            port, self, interface=host, maxPacketSize=MAX_DATAGRAM + 1
        )
        listening.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_OCTETS
        )
        return listening

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Pass a datagram to the callback."""
        self._on_datagram(datagram)

    def send(self, address: str, data: bytes) -> bool:
        """Send a datagram; return False if it is too long or the send fails.

        A failed send is not retried: the protocol tolerates lost datagrams.
        """
        udp: Any = self.transport
        if len(data) > MAX_DATAGRAM or udp is None:
            return False
        host, _, port = address.rpartition(":")
        try:
            udp.write(data, (host, int(port)))
        except (OSError, ValueError, MessageLengthError):
            return False
        return True
