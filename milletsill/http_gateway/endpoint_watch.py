"""One call to discovery, which watches the endpoint list: a Twisted protocol."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import Protocol as TypingProtocol

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from milletsill.errors import describe_error
from milletsill.gateway.stream_transport import StreamTransport
from milletsill.http1.errors import MalformedHttpMessageError
from milletsill.http1.response_line_reader import ResponseLineReader
from milletsill.http1.writer import encode_request
from milletsill.http_gateway.discovery_timing import (
    FIRST_VALUE_TIMEOUT,
    WATCH_TIMEOUT,
    CallProgress,
)
from milletsill.http_gateway.endpoints import InvalidEndpointError
from milletsill.http_gateway.watch_decoder import MAX_LIST, WatchDecoder

WATCH_PATH = b"/registry/instances?watch=1&from=%d"
# The `version` of a watch that has delivered a value.
VALUE_RECEIVED = -1


class WatchObserver(TypingProtocol):
    """Receives the events of a watch."""

    def now(self) -> int:
        """Return the time in tenths of a millisecond."""

    def on_progress(self, watch: EndpointWatch, /) -> None:
        """Handle a change in the progress of a call."""

    def on_value(self, watch: EndpointWatch, value: Any, /) -> None:
        """Handle a heartbeat, or a JSON value that should be an endpoint list."""

    def on_watch_ended(self, watch: EndpointWatch, reason: str, /) -> None:
        """Handle the end of a watch."""


class EndpointWatch(Protocol):
    """One open watch.

    Only complete lines reset its time-outs: a response that arrives octet by octet
    would otherwise stay open for ever. A list that takes longer to arrive is requested
    again.

    Attributes:
        host: the address of discovery, used as the Host field.
        version: the list version from which the watch was requested; `VALUE_RECEIVED`
            once the watch has delivered a value.
        silence_limit: time without a value after which another watch is opened.
        last_received_at: when the last complete line arrived; before the first line,
            when the head arrived, and before that, when the call was made.
        over: whether the watch has ended.
    """

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(
        self, owner: WatchObserver, host: str, version: int, silence_limit: int
    ) -> None:
        self.owner = owner
        self.host = host
        self.version = version
        self.silence_limit = silence_limit
        self.response = ResponseLineReader(MAX_LIST)
        self.decoder = WatchDecoder()
        self.last_received_at = owner.now()
        self.over = False
        self.progress = CallProgress.CONNECTING
        self.connector: Any = None

    @property
    def has_received_value(self) -> bool:
        """Whether the watch has delivered a value: a heartbeat or a list."""
        return self.version == VALUE_RECEIVED

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Send the request."""
        if self.over:
            self.transport.abortConnection()
            return
        target = WATCH_PATH % self.version
        self.transport.write(
            encode_request(b"GET", target, self.host.encode(), [], b"")
        )
        self._set_progress(CallProgress.CONNECTED)

    def dataReceived(self, data: bytes) -> None:
        """Read the response; malformed input ends the watch."""
        try:
            if not self._read(data):
                return
        except (
            MalformedHttpMessageError,
            InvalidEndpointError,
            ValueError,
            RecursionError,
        ) as error:
            self.end(describe_error(error))
            return
        if self.response.ended:
            self.end("the response ended")

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End the watch."""
        self.end("the connection closed")

    # Reading.

    def _set_progress(self, progress: CallProgress) -> None:
        self.progress = progress
        self.owner.on_progress(self)

    def _read(self, data: bytes) -> bool:
        """Read octets; False if the response's status ended the watch."""
        head_missing = not self.response.status
        lines = self.response.feed(data)
        if self.response.status not in (0, 200):
            self.end(f"response status {self.response.status}")
            return False
        if head_missing and self.response.status:
            self.last_received_at = self.owner.now()
        for line in lines:
            self._take(() if self.over else self.decoder.feed_line(line.strip()))
        if not self.over:
            values = self.decoder.try_unterminated(self.response.line.strip())
            if values:
                self.response.discard_line()
                self._take(values)
        partial = self.response.line or self.decoder.has_partial_value
        if (
            self.progress is CallProgress.CONNECTED
            and not self.has_received_value
            and partial
        ):
            self._set_progress(CallProgress.RECEIVING)
        return True

    def _take(self, values: Sequence[Any]) -> None:
        for value in values:
            self.last_received_at = self.owner.now()
            self.owner.on_value(self, value)

    # Time-outs and the end.

    def silence(self) -> int:
        """Return the time since the last complete line, the head or the call."""
        return self.owner.now() - self.last_received_at

    @property
    def timed_out(self) -> bool:
        """Whether the watch has been silent for longer than its time-out."""
        limit = WATCH_TIMEOUT if self.has_received_value else FIRST_VALUE_TIMEOUT
        return not self.over and self.silence() > limit

    def read_pending(self) -> None:
        """Read the octets that have arrived, before a time-out ends the watch.

        After a stall of the process the reactor runs timers before it reads sockets.
        Without this read, a watch could be ended for silence while values wait unread
        in its socket.
        """
        if self.transport is not None:
            self.transport.doRead()  # the next turn reports an end again

    def end(self, reason: str) -> None:
        """End the watch and notify its owner, once."""
        if not self.over:
            self.close()
            self.owner.on_watch_ended(self, reason)

    def close(self) -> None:
        """End the watch without notifying its owner."""
        self.over = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()
