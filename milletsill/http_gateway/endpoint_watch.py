"""One call to discovery: a watch of the endpoint list, as a Twisted protocol."""

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
    FIRST_WORD_TIMEOUT,
    WATCH_TIMEOUT,
    CallProgress,
)
from milletsill.http_gateway.endpoints import InvalidEndpointError
from milletsill.http_gateway.watch_decoder import MAX_LIST, WatchDecoder

PATH = b"/registry/instances?watch=1&from=%d"
# The version of a watch that has spoken.
SPOKEN = -1


class WatchOwner(TypingProtocol):
    """Who hears of a watch."""

    def now(self) -> int:
        """Return the time in tenths of a millisecond."""

    def on_progress(self, watch: EndpointWatch, /) -> None:
        """A call has come further."""

    def on_value(self, watch: EndpointWatch, value: Any, /) -> None:
        """A heartbeat, or what a list should be, has come."""

    def on_watch_ended(self, watch: EndpointWatch, reason: str, /) -> None:
        """A watch is over."""


class EndpointWatch(Protocol):
    """One open watch.

    Octets alone are no word: a response that drips would stand for ever. A list that
    takes longer on its way is asked for again.

    Attributes:
        host: where the call goes.
        version: the list's version that it asked from; `SPOKEN` once it has spoken.
        silence_limit: when silent for this long, another is opened beside it.
        last_word_at: when its last word came: a complete line, before the first the
            head, before that the call.
        over: whether it has ended.
    """

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(
        self, owner: WatchOwner, host: str, version: int, silence_limit: int
    ) -> None:
        self.owner = owner
        self.host = host
        self.version = version
        self.silence_limit = silence_limit
        self.response = ResponseLineReader(MAX_LIST)
        self.decoder = WatchDecoder()
        self.last_word_at = owner.now()
        self.over = False
        self.progress = CallProgress.CONNECTING
        self.connector: Any = None

    @property
    def has_spoken(self) -> bool:
        """Whether a first word came: a heartbeat or a list."""
        return self.version == SPOKEN

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Send the call."""
        if self.over:
            self.transport.abortConnection()
            return
        target = PATH % self.version
        self.transport.write(
            encode_request(b"GET", target, self.host.encode(), [], b"")
        )
        self._set_progress(CallProgress.CONNECTED)

    def dataReceived(self, data: bytes) -> None:
        """Read the response; what cannot be read ends the watch."""
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
            self.end("the watch ended")

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End the watch."""
        self.end("the connection ended")

    # Reading.

    def _set_progress(self, progress: CallProgress) -> None:
        self.progress = progress
        self.owner.on_progress(self)

    def _read(self, data: bytes) -> bool:
        """Read octets; False where the response's status ended the watch."""
        head_missing = not self.response.status
        lines = self.response.feed(data)
        if self.response.status not in (0, 200):
            self.end(f"answered {self.response.status}")
            return False
        if head_missing and self.response.status:
            self.last_word_at = self.owner.now()
        for line in lines:
            self._take(() if self.over else self.decoder.feed_line(line.strip()))
        if not self.over:
            values = self.decoder.try_unterminated(self.response.line.strip())
            if values:
                self.response.line = b""
                self._take(values)
        partial = self.response.line or self.decoder.has_partial_value
        if self.progress is CallProgress.CONNECTED and not self.has_spoken and partial:
            self._set_progress(CallProgress.RECEIVING)
        return True

    def _take(self, values: Sequence[Any]) -> None:
        for value in values:
            self.last_word_at = self.owner.now()
            self.owner.on_value(self, value)

    # Time.

    def quiet(self) -> int:
        """Return how long no word has come."""
        return self.owner.now() - self.last_word_at

    @property
    def overdue(self) -> bool:
        """Whether it has been silent for longer than any watch is."""
        limit = WATCH_TIMEOUT if self.has_spoken else FIRST_WORD_TIMEOUT
        return not self.over and self.quiet() > limit

    def read_pending(self) -> None:
        """Read what has come before the watch is ended for silence.

        Timers go before what lies in the sockets when the process stood still, and
        words that lie there unread would go with the watch that is ended for their
        want.
        """
        if self.transport is not None:
            self.transport.doRead()  # an end is told again in the next turn

    def end(self, reason: str) -> None:
        """End the watch and tell its owner, once."""
        if not self.over:
            self.close()
            self.owner.on_watch_ended(self, reason)

    def close(self) -> None:
        """End the watch without a word."""
        self.over = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()
