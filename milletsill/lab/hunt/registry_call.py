"""One HTTP call to the simulated registry, with the interface of Twisted's agent."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock


class CallNetwork(Protocol):
    """The simulated network between the client and the registry."""

    clock: Clock

    def draw_delay(self) -> float:
        """Return the delay of one chunk of data, in seconds."""

    def on_call_closed(self, call: RegistryCall) -> None:
        """Remove a closed call."""


class RegistryCall:
    """A call and its answer.

    Data sent on the call arrives in order until the call is closed or becomes silent.
    The `answer` fires once: with a response, with `ConnectionError` if the call is cut
    before its response, or with Twisted's `CancelledError` if the client cancels it.

    Attributes:
        is_closed: whether the call is closed.
        is_silent: whether the call stays open but delivers no further data.
        start_revision: the first revision that a watch requested.
    """

    def __init__(self, network: CallNetwork, body: dict[str, Any]) -> None:
        self.network = network
        self.body = body
        self.is_closed = False
        self.is_silent = False
        self.start_revision = 0
        self.answer: Deferred[Any] = Deferred(lambda _: self.loseConnection())
        self._protocol: Any = None
        self._last_arrival = 0.0

    def run_if_open(self, action: Callable[[], None]) -> None:
        """Run an action unless the call is closed or silent."""
        if not self.is_closed and not self.is_silent:
            action()

    def send_head(self, code: int) -> None:
        """Send the response's status code."""
        response = SimpleNamespace(code=code, deliverBody=self._deliver_body)
        self._run_on_arrival(lambda: self.answer.callback(response))

    def send_body(self, data: bytes) -> None:
        """Send a chunk of the response's body."""
        self._run_on_arrival(lambda: self._protocol.dataReceived(data))

    def send_end(self) -> None:
        """Send the end of the response's body."""
        self._run_on_arrival(self._end)

    def loseConnection(self) -> None:  # noqa: N802 - Twisted's transport
        """Close the call from the client's side."""
        self.is_closed = True
        self.network.on_call_closed(self)

    def cut(self) -> None:
        """Break the call from the registry's side."""
        if self.is_closed or self.is_silent:
            return
        self.loseConnection()
        if self._protocol is not None:
            self._protocol.connectionLost(None)
        elif not self.answer.called:
            self.answer.errback(
                ConnectionError("registry call cut before its response")
            )

    def _run_on_arrival(self, action: Callable[[], None]) -> None:
        clock = self.network.clock
        self._last_arrival = max(
            self._last_arrival, clock.seconds() + self.network.draw_delay()
        )
        clock.callLater(self._last_arrival - clock.seconds(), self.run_if_open, action)

    def _deliver_body(self, protocol: Any) -> None:
        self._protocol = protocol
        protocol.transport = self

    def _end(self) -> None:
        self.loseConnection()
        self._protocol.connectionLost(None)
