"""HTTP client for etcd's JSON gateway.

It reads the answer of a range request as a whole and a watch line by line; the size of
an answer and of a line is bounded.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from milletsill.gateway.stream_transport import StreamTransport
from milletsill.registry.etcd_json import MalformedRegistryAnswerError

HTTP_OK = 200
LineHandler = Callable[[bytes], None]
# Called once, with the whole answer, or with None if the call failed or the stream
# ended.
DoneHandler = Callable[[bytes | None], None]


class LineSplitter:
    """Splits a streamed body into lines of at most `max_line` bytes."""

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.partial = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete so far, without empty ones.

        Raises:
            MalformedRegistryAnswerError: A line is too long.
        """
        *lines, self.partial = (self.partial + data).split(b"\n")
        longest = max(map(len, (*lines, self.partial)))
        if longest > self.max_line:
            raise MalformedRegistryAnswerError(
                f"line of {longest} bytes exceeds the limit of {self.max_line}"
            )
        return [line for line in lines if line.strip()]


@implementer(IBodyProducer)
class RequestBody:
    """A request body that is written at once."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body."""
        consumer.write(self.data)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Do nothing: all was written."""

    def resumeProducing(self) -> None:
        """Do nothing: all was written."""

    def stopProducing(self) -> None:
        """Do nothing: all was written."""


class ResponseBody(Protocol):
    """Reads a response body as a whole, or line by line if it has a line handler."""

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(
        self, max_size: int, on_line: LineHandler | None, on_done: DoneHandler
    ) -> None:
        self.max_size = max_size
        self.on_line = on_line
        self.on_done = on_done
        self.lines = LineSplitter(max_size)
        self.pieces: list[bytes] = []
        self.size = 0
        self.finished = False

    def dataReceived(self, data: bytes) -> None:
        """Handle a part of the body."""
        if self.finished:
            return
        if self.on_line is None:
            self._keep(data)
            return
        try:
            for line in self.lines.feed(data):
                if not self.finished:
                    self.on_line(line)
        except MalformedRegistryAnswerError:
            self.stop()

    def _keep(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > self.max_size:
            self.stop()
        else:
            self.pieces.append(data)

    def stop(self) -> None:
        """Close the connection and report failure; later data is ignored."""
        if not self.finished:
            self.finished = True
            self.transport.loseConnection()
            self.on_done(None)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Pass on the whole body, or report the end of a stream."""
        if not self.finished:
            self.finished = True
            self.on_done(b"".join(self.pieces) if self.on_line is None else None)


class EtcdClient:
    """Makes one call at a time, in parallel with one watch.

    Attributes:
        pending: The call in progress.
        body: The non-streamed answer that is being read.
        stream: The watch.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        gateway: str,
        connect_timeout: float,
        max_line: int,
        log: Callable[[str], None],
    ) -> None:
        self.address = address
        self.max_line = max_line
        self.log = log
        self.headers = Headers(
            {
                b"Content-Type": [b"application/json"],
                b"User-Agent": [f"milletsill/{gateway}".encode()],
            }
        )
        # twisted.web is untyped.
        make_pool: Any = HTTPConnectionPool
        make_agent: Any = Agent
        self.agent = make_agent(
            reactor, connectTimeout=connect_timeout, pool=make_pool(reactor, False)
        )
        self.pending: Deferred[Any] | None = None
        self.body: ResponseBody | None = None
        self.stream: ResponseBody | None = None

    def call(
        self,
        path: str,
        body: bytes,
        on_line: LineHandler | None,
        on_done: DoneHandler,
    ) -> None:
        """Make a call; its answer is a stream if there is a line handler."""
        url = f"http://{self.address}{path}".encode()
        response_received = self.agent.request(
            b"POST", url, self.headers, RequestBody(body)
        )
        done = False

        def on_done_once(data: bytes | None) -> None:
            nonlocal done
            if not done:
                done = True
                on_done(data)

        def on_response(response: Any) -> None:
            handler = on_line
            if response.code != HTTP_OK:
                self.log(f"registry: {path} returned HTTP status {response.code}")
                on_done_once(None)
                handler = None
            reader = ResponseBody(self.max_line, handler, on_done_once)
            if on_line is not None:
                self.stream = reader
            else:
                self.body = reader
            response.deliverBody(reader)

        response_received.addCallback(on_response)
        response_received.addErrback(lambda failure: on_done_once(None))
        self.pending = response_received

    def cancel(self) -> None:
        """Cancel the call in progress, even if its answer is being read."""
        if self.pending is not None:
            self.pending.cancel()
        if self.body is not None:
            self.body.stop()

    def close_stream(self) -> None:
        """Close the watch."""
        stream = self.stream
        self.stream = None
        if stream is not None:
            stream.stop()

    def stop(self) -> None:
        """Cancel the call in progress if its answer has not begun."""
        if self.pending is not None:
            self.pending.cancel()
