"""The listening ports of a gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints

from milletsill.errors import ListenFailedError

make_endpoint: Any = endpoints.TCP4ServerEndpoint


class ListeningPorts:
    """Opens listening ports and closes all of them together.

    `on_listening` is called with the event's name and the address of each open port,
    `on_failed` with the error of each address that cannot be bound.

    Attributes:
        ports: the open ports, in the order in which they were opened.
    """

    def __init__(
        self,
        reactor: Any,
        on_listening: Callable[[str, str], None],
        on_failed: Callable[[ListenFailedError], None],
    ) -> None:
        self.reactor = reactor
        self.on_listening = on_listening
        self.on_failed = on_failed
        self.ports: list[Any] = []
        self.stopped = False

    def open(self, address: str, factory: Any, event: str) -> None:
        """Listen on host:port; the factory creates the connections."""
        host, _, port = address.rpartition(":")

        def on_open(opened: Any) -> None:
            if self.stopped:  # another address failed to bind in the meantime
                opened.stopListening()
                return
            self.ports.append(opened)
            self.on_listening(event, f"{host}:{opened.getHost().port}")

        def on_failure(failure: Any) -> None:
            self.on_failed(ListenFailedError(failure.getErrorMessage(), address))

        endpoint = make_endpoint(self.reactor, int(port), interface=host)
        endpoint.listen(factory).addCallbacks(on_open, on_failure)

    def close(self) -> None:
        """Close every open port."""
        ports = self.ports
        self.ports = []
        for port in ports:
            port.stopListening()

    def stop(self) -> None:
        """Close every port; a port that opens later is closed immediately."""
        self.stopped = True
        self.close()
