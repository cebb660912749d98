"""Datagrams between gateways: probes and gossip, over one UDP port."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from milletsill.fleet.frames.codec import MAX_DATAGRAM

# Octets that the socket holds while this gateway is stalled.
RECEIVE_BUFFER = 1 << 20


class DatagramSocket(DatagramProtocol):
    """One UDP port.

    Args:
        on_datagram: Called with each datagram. Where it came from says nothing, since a
            relay may stand between.
    """

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def listen(self, reactor: Any, host: str, port: int) -> Any:
        """Listen and return Twisted's listening port.

        Raises:
            CannotListenError: The address is not ours.
        """
        # One octet more than a datagram may have shows which are too long.
        listening = reactor.listenUDP(
            port, self, interface=host, maxPacketSize=MAX_DATAGRAM + 1
        )
        listening.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        return listening

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Hand a datagram on."""
        self._on_datagram(datagram)

    def send(self, address: str, data: bytes) -> bool:
        """Return whether it went out; what the network refuses is lost as any other."""
        udp: Any = self.transport
        if len(data) > MAX_DATAGRAM or udp is None:
            return False
        host, _, port = address.rpartition(":")
        try:
            udp.write(data, (host, int(port)))
        except (OSError, ValueError, MessageLengthError):
            return False
        return True
