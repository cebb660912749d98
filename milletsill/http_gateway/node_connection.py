"""One HTTP connection to a storage node.

It carries one attempt at a time and never sends an attempt twice.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol as TypingProtocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from milletsill.gateway.stream_transport import StreamTransport
from milletsill.http1.errors import MalformedHttpMessageError
from milletsill.http1.message_limits import MessageLimits
from milletsill.http1.message_reader import ResponseReader
from milletsill.http1.writer import encode_request
from milletsill.http_gateway.input_work import InputWork
from milletsill.http_gateway.node_exchange import (
    HttpExchange,
    HttpNodeReply,
    outcome_of,
)
from milletsill.http_gateway.resource_limits import MAX_BODY, SHORT_BODY, BufferBudget
from milletsill.interface import AttemptOutcome

LIMITS = MessageLimits(body=MAX_BODY)
TICKS_PER_MS = 10


class ConnectionPool(TypingProtocol):
    """The pool to which a connection belongs."""

    address: tuple[str, int]
    host_field: bytes
    buffers: BufferBudget
    input_work: InputWork
    count: Callable[..., None]
    now: Callable[[], int]

    def on_connected(self, connection: HttpNodeConnection, /) -> None:
        """Handle the establishment of a connection."""

    def on_idle(self, connection: HttpNodeConnection, /) -> None:
        """Handle a connection that is free for another attempt."""

    def on_lost(self, connection: HttpNodeConnection, /) -> None:
        """Handle the end of a connection."""

    def resubmit(self, exchange: HttpExchange, /) -> None:
        """Send an attempt that never ran on another connection."""


class HttpNodeConnection(Protocol):
    """One connection to a node.

    It is a pull producer only to be notified when the last octet was sent.

    Attributes:
        address: the host and port to which it was connected.
        exchange: the attempt that it carries.
        written: whether all octets of that attempt were sent.
        uses: number of attempts that it has carried.
        idle_since: the time since which it has been idle.
        reserved: octets of the memory budget reserved for a long response.
        is_waiting: whether octets that have arrived wait for a share of work.
    """

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.address = pool.address
        self.reader = ResponseReader(LIMITS)
        self.exchange: HttpExchange | None = None
        self.written = True
        self.closed = False
        self.uses = 0
        self.idle_since = 0
        self.reserved = 0
        self.is_waiting = False

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Offer the connection to its pool."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        self.pool.on_connected(self)

    def resumeProducing(self) -> None:
        """Record that all written octets were sent."""
        self.written = True

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` follows."""

    def dataReceived(self, data: bytes) -> None:
        """Read the response."""
        if self.exchange is None:  # after a complete response, or unsolicited
            self.close()
            return
        if not self.written and self.uses > 1:
            self._resubmit_unwritten(self.exchange)
            return
        self.reader.feed(data)
        if not self.is_waiting:
            self._read_response(self.pool.input_work.first_share(), False)

    def continue_input(self, work: int) -> None:
        """Read on, after other connections have had their turn."""
        if not self.is_waiting:
            return
        self.is_waiting = False
        self._read_response(work, True)
        if not (self.is_waiting or self.closed):
            self.transport.resumeProducing()

    def _read_response(self, work: int, has_had_share: bool) -> None:
        """Parse the response, and wait if its chunks need more work."""
        self.reader.chunk_calls = work
        try:
            message = self.reader.next_message()
        except MalformedHttpMessageError as error:
            self.pool.count("spoilt", error.reason)
            self.finish(AttemptOutcome.ERROR, None, False)
            return
        finally:
            self.pool.input_work.spend(work - self.reader.chunk_calls)
        if message is not None:
            keep = (
                message.keep_alive
                and self.written
                and not self.reader.has_partial_message
            )
            self.finish(outcome_of(message), HttpNodeReply(message), keep)
            return
        self._reserve_long_response()
        if self.reader.is_suspended and not self.closed:
            self.is_waiting = True
            self.transport.pauseProducing()
            self.pool.input_work.wait(self, has_had_share or work > 0)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End the attempt.

        An orderly close completes a response without a length. A reset does not,
        because octets may have been lost.
        """
        complete = None
        if reason is not None and isinstance(reason.value, ConnectionDone):
            complete = self.reader.on_close()
        exchange = self.exchange
        self.exchange = None
        self._on_gone()
        if exchange is None:
            return
        if complete is not None:
            exchange.end(outcome_of(complete), HttpNodeReply(complete))
        elif self.written:
            exchange.end(AttemptOutcome.RESET)
        elif self.uses > 1:
            # The node closed the reused connection before the whole attempt was
            # written. The attempt never ran, and the node may be healthy.
            exchange.connection = None
            self.pool.resubmit(exchange)
        else:
            exchange.end(AttemptOutcome.UNREACHABLE)

    # Called by the pool.

    def start(self, exchange: HttpExchange) -> None:
        """Send one attempt."""
        self.exchange = exchange
        exchange.connection = self
        self.written = False
        self.uses += 1
        payload = exchange.payload
        remaining_ms = max((exchange.deadline - self.pool.now()) // TICKS_PER_MS, 1)
        request = encode_request(
            payload.method,
            payload.target,
            self.pool.host_field,
            [*payload.fields, (b"X-Remaining-Ms", b"%d" % remaining_ms)],
            payload.body,
        )
        self.transport.write(request)

    def close(self) -> None:
        """Abort the connection; the caller ends the attempt on it."""
        self.exchange = None
        if not self.closed and self.transport is not None:
            self.transport.abortConnection()
        self._on_gone()

    # Completion and release.

    def finish(
        self, outcome: AttemptOutcome, reply: HttpNodeReply | None, keep: bool
    ) -> None:
        """End the current attempt; keep the connection for another, or close it."""
        exchange = self.exchange
        self.exchange = None
        self._release()
        if keep:
            self.pool.on_idle(self)
        else:
            self.close()
        if exchange is not None:
            exchange.end(outcome, reply)

    def _resubmit_unwritten(self, exchange: HttpExchange) -> None:
        """Resubmit an attempt if octets arrived before all of it was written.

        Those octets belong to an earlier attempt on this connection. A node starts a
        request only once it has received all of it, so this attempt never ran.
        """
        exchange.connection = None
        self.close()
        self.pool.resubmit(exchange)

    def _reserve_long_response(self) -> None:
        """Reserve memory for a long response that is arriving, or fail the attempt."""
        length = self.reader.expected_body_size(SHORT_BODY)
        if length <= SHORT_BODY or self.reserved:
            return
        if not self.pool.buffers.reserve(length):
            self.pool.count("spoilt", "no room for a long answer")
            self.finish(AttemptOutcome.ERROR, None, False)
            return
        self.reserved = length

    def _release(self) -> None:
        self.pool.buffers.release(self.reserved)
        self.reserved = 0

    def _on_gone(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.is_waiting = False
        self._release()
        self.pool.on_lost(self)
