"""The TCP listener for streams from other gateways; each carries frames one way."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from milletsill.fleet.errors import FrameTooLongError
from milletsill.fleet.frames.stream_framing import FrameDecoder
from milletsill.fleet.net.stream_state import IDLE_TIMEOUT

MAX_INBOUND_STREAMS = 4096
# One that only listens waits longer than the side that closes idle streams.
INBOUND_IDLE_TIMEOUT = 3 * IDLE_TIMEOUT


class InboundStream(Protocol):
    """One stream from another gateway."""

    def __init__(self, listener: StreamListener) -> None:
        self._listener = listener
        self._decoder = FrameDecoder()
        self.last_received = listener.now()

    def connectionMade(self) -> None:
        """Take the stream, unless there are too many."""
        tcp: Any = self.transport
        if len(self._listener.streams) >= MAX_INBOUND_STREAMS:
            tcp.abortConnection()
            return
        self._listener.streams.add(self)
        tcp.setTcpKeepAlive(True)

    def dataReceived(self, data: bytes) -> None:
        """Hand on the frames that are complete; a length over the bound ends it."""
        self.last_received = self._listener.now()
        try:
            for frame in self._decoder.feed(data):
                self._listener.on_frame(frame)
        except FrameTooLongError as error:
            self._listener.on_refused(error)
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Forget the stream."""
        self._listener.streams.discard(self)

    def abort(self) -> None:
        """End the stream at once."""
        tcp: Any = self.transport
        tcp.abortConnection()


class StreamListener(Factory):
    """Streams from other gateways, bounded in number and by silence.

    Args:
        now: Returns tenths of a millisecond.
        on_frame: Called with each frame's octets.
        on_refused: Called with the error of a stream whose length prefix is too high.
    """

    noisy = False

    def __init__(
        self,
        now: Callable[[], int],
        on_frame: Callable[[bytes], None],
        on_refused: Callable[[FrameTooLongError], None],
    ) -> None:
        self.now = now
        self.on_frame = on_frame
        self.on_refused = on_refused
        self.streams: set[InboundStream] = set()

    def buildProtocol(self, addr: IAddress | None) -> InboundStream:
        """Return the protocol of a new stream."""
        return InboundStream(self)

    def check_timeouts(self) -> None:
        """End streams that were silent for too long."""
        now = self.now()
        for stream in list(self.streams):
            if now - stream.last_received > INBOUND_IDLE_TIMEOUT:
                stream.abort()

    def close(self) -> None:
        """End all streams."""
        for stream in list(self.streams):
            stream.abort()
