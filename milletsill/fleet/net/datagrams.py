"""Probes and news: one UDP port."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import MessageLengthError
from twisted.internet.interfaces import IReactorUDP
from twisted.internet.protocol import DatagramProtocol

from milletsill.fleet.frames.codec import MOST_DATAGRAM
from milletsill.fleet.net.stream_state import RECEIVES


class Datagrams(DatagramProtocol):
    """`heard` is handed each datagram; where it came from says nothing, a relay may stand between."""

    def __init__(self, heard: Callable[[bytes], None]) -> None:
        self.heard = heard

    def startProtocol(self) -> None:
        self.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVES)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.heard(datagram)

    def send(self, address: str, data: bytes) -> bool:
        """Whether it went out; what the network refuses is lost like any other datagram."""
        host, _, port = address.rpartition(":")
        if len(data) > MOST_DATAGRAM or self.transport is None:
            return False
        try:
            self.transport.write(data, (host, int(port)))
        except (OSError, ValueError, MessageLengthError):
            return False
        return True


def listen(
    reactor: IReactorUDP, host: str, port: int, heard: Callable[[bytes], None]
) -> tuple[Datagrams, Any]:
    made = Datagrams(heard)
    return made, reactor.listenUDP(
        port, made, interface=host, maxPacketSize=MOST_DATAGRAM + 1
    )
