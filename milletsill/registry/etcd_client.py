"""Calls to etcd's JSON gateway: short answers whole, a watch line by line.

All is bounded.
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

OK = 200
LineHandler = Callable[[bytes], None]
# Gets a whole answer, or None where the call failed or its stream has ended. Called
# once.
DoneHandler = Callable[[bytes | None], None]


class LineSplitter:
    """Cuts a streamed body into lines; one past `max_line` octets is malformed."""

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.partial = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now, without empty ones.

        Raises:
            MalformedRegistryAnswerError: a line is too long.
        """
        *lines, self.partial = (self.partial + data).split(b"\n")
        longest = max(map(len, (*lines, self.partial)))
        if longest > self.max_line:
            raise MalformedRegistryAnswerError(
                f"a line of more than {self.max_line} bytes"
            )
        return [line for line in lines if line.strip()]


@implementer(IBodyProducer)
class RequestBody:
    """The body of a short request."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write it all."""
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
    """Reads a body: whole, or line by line where there is a line handler."""

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
        self.over = False

    def dataReceived(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self.over:
            return
        if self.on_line is None:
            self._keep(data)
            return
        try:
            for line in self.lines.feed(data):
                if not self.over:
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
        """End it from this side: nothing more is heard."""
        if not self.over:
            self.over = True
            self.transport.loseConnection()
            self.on_done(None)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Hand over the body."""
        if not self.over:
            self.over = True
            self.on_done(b"".join(self.pieces) if self.on_line is None else None)


class EtcdClient:
    """Makes one call at a time beside a stream.

    Attributes:
        pending: the call under way.
        body: the short answer that is being read.
        stream: the watch.
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
        """Make a call; with a line handler its answer is a stream."""
        url = f"http://{self.address}{path}".encode()
        answered = self.agent.request(b"POST", url, self.headers, RequestBody(body))
        done = False

        def on_done_once(data: bytes | None) -> None:
            nonlocal done
            if not done:
                done = True
                on_done(data)

        def on_response(response: Any) -> None:
            handler = on_line
            if response.code != OK:
                self.log(f"{path} answered {response.code}")
                on_done_once(None)
                handler = None
            reader = ResponseBody(self.max_line, handler, on_done_once)
            if on_line is not None:
                self.stream = reader
            else:
                self.body = reader
            response.deliverBody(reader)

        answered.addCallback(on_response)
        answered.addErrback(lambda failure: on_done_once(None))
        self.pending = answered

    def cancel(self) -> None:
        """Stop waiting for the call under way, whether or not its answer has begun."""
        if self.pending is not None:
            self.pending.cancel()
        if self.body is not None:
            self.body.stop()

    def close_stream(self) -> None:
        """End the watch."""
        stream = self.stream
        self.stream = None
        if stream is not None:
            stream.stop()

    def stop(self) -> None:
        """Stop waiting for the call under way."""
        if self.pending is not None:
            self.pending.cancel()
