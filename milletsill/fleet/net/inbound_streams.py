"""The TCP listener for one-way streams of frames from other gateways."""

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
# Longer than the sender's timeout, so that normally the sender closes an idle stream.
INBOUND_IDLE_TIMEOUT = 3 * IDLE_TIMEOUT


class InboundStream(Protocol):
    """One stream from another gateway."""

    def __init__(self, listener: StreamListener) -> None:
        self._listener = listener
        self._decoder = FrameDecoder()
        self.last_received = listener.now()

    def connectionMade(self) -> None:
        """Accept the stream, or abort it if MAX_INBOUND_STREAMS are open."""
        tcp: Any = self.transport
        if len(self._listener.streams) >= MAX_INBOUND_STREAMS:
            tcp.abortConnection()
            return
        self._listener.streams.add(self)
        tcp.setTcpKeepAlive(True)

    def dataReceived(self, data: bytes) -> None:
        """Deliver the complete frames; a length prefix over the limit aborts."""
        self.last_received = self._listener.now()
        try:
            for frame in self._decoder.feed(data):
                self._listener.on_frame(frame)
        except FrameTooLongError as error:
            self._listener.on_oversized_frame(error)
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the stream from the listener."""
        self._listener.streams.discard(self)

    def abort(self) -> None:
        """Abort the connection."""
        tcp: Any = self.transport
        tcp.abortConnection()


class StreamListener(Factory):
    """Accepts streams from other gateways; limits their number and idle time.

    Args:
        now: Returns the time in tenths of a millisecond.
        on_frame: Called with each encoded frame.
        on_oversized_frame: Called with the error when a length prefix is over the
            limit.
    """

    noisy = False

    def __init__(
        self,
        now: Callable[[], int],
        on_frame: Callable[[bytes], None],
        on_oversized_frame: Callable[[FrameTooLongError], None],
    ) -> None:
        self.now = now
        self.on_frame = on_frame
        self.on_oversized_frame = on_oversized_frame
        self.streams: set[InboundStream] = set()

    def buildProtocol(self, addr: IAddress | None) -> InboundStream:
        """Return the protocol of a new stream."""
        return InboundStream(self)

    def check_timeouts(self) -> None:
        """Abort the streams that received nothing for INBOUND_IDLE_TIMEOUT."""
        now = self.now()
        for stream in list(self.streams):
            if now - stream.last_received > INBOUND_IDLE_TIMEOUT:
                stream.abort()

    def close(self) -> None:
        """Abort all streams."""
        for stream in list(self.streams):
            stream.abort()
