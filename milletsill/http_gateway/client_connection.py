"""One client connection: it serves one request at a time, with one answer each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol as TypingProtocol

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure
from zope.interface import implementer

from milletsill.http1.message import HttpMessage
from milletsill.http1.writer import encode_response
from milletsill.http_gateway.client_connection_state import (
    CANCELLING_EFFECTS,
    CLIENT_CLOSED_EFFECTS,
    CLOSING_EFFECTS,
    ENDED_STATES,
    LATEST_REQUEST_START,
    MAX_DISCARDED,
    OPEN_STATES,
    ClientEffect,
    ClientEvent,
    ClientState,
    next_state,
    time_event,
)
from milletsill.http_gateway.client_reader import (
    NO_ROOM,
    TOO_MUCH_AHEAD,
    ClientReader,
    ReadingGateway,
)
from milletsill.http_gateway.input_work import WORK_PER_TURN
from milletsill.http_gateway.node_exchange import HttpNodeReply


class ClientGateway(ReadingGateway, TypingProtocol):
    """What a client connection needs of the gateway. Times: tenths of a millisecond.

    Attributes:
        keep_alive: whether connections stay open after an answer.
        unread_since: returns the earliest arrival of what is read now, if the process
            was stalled.
    """

    reactor: Any
    keep_alive: bool
    unread_since: Callable[[], int | None]

    def on_request(self, client: ClientConnection, message: HttpMessage, /) -> None:
        """Handle a complete request of a client."""

    def on_request_cancelled(self, request_id: int, /) -> None:
        """Handle the disconnect of a client whose request was open."""

    def on_client_lost(self, client: ClientConnection, /) -> None:
        """Handle the end of a client's connection."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(ClientReader):
    """One client connection. It is the `ResponseSink` of its open request.

    Attributes:
        since: the start of the state or of the next request, for time-outs.
        last_octet_at: when octets were last read.
        request_id: the id of the open request.
        discarded: octets that were read and discarded.
        client_closed: whether the client has closed its side.
        sent: whether the kernel has accepted everything that was written.
    """

    gateway: ClientGateway

    def __init__(self, gateway: ClientGateway, arrived_at: int) -> None:
        """Create the protocol of a connection that has arrived at `arrived_at`."""
        super().__init__(gateway, arrived_at)
        self.since = gateway.now()
        self.last_octet_at = self.since
        self.request_id: int | None = None
        self.discarded = 0
        self.client_closed = False
        self.sent = False
        self._reading_on = False

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Configure the transport."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        if self.input.may_have_waited(self.since):
            # Only what is in the socket now has waited in the accept queue.
            self.read_pending()
        self.input.unread_since = None

    def pauseProducing(self) -> None:
        """Stop taking requests while the write buffer is full."""
        self.blocked = True

    def resumeProducing(self) -> None:
        """Take requests again: the write buffer has drained."""
        self.blocked = False
        self.memory.release_answer()
        self._take_requests()

    def stopProducing(self) -> None:
        """Stop taking requests for good."""
        self.blocked = True

    def dataReceived(self, data: bytes) -> None:
        """Read requests."""
        if self.state in ENDED_STATES:
            self.discarded += len(data)
            if self.discarded > MAX_DISCARDED:
                self.transport.pauseProducing()
            return
        if self.discards_pipelined:
            self._discard(data)
            return
        was_busy = self.state is ClientState.BUSY
        now = self.gateway.now()
        self.last_octet_at = now
        if not self.has_partial_request:
            latest = self.since + LATEST_REQUEST_START
            self.since = min(now, latest) if self.state is ClientState.NEW else now
        stalled_since = self.gateway.unread_since()
        self.input.feed(data, now if stalled_since is None else stalled_since)
        self._take_requests()
        if was_busy:
            self._read_to_the_end()

    def _discard(self, data: bytes) -> None:
        """Read on behind an open request without keeping anything."""
        self.input.discard(data)
        self.discarded += len(data)
        if self.discarded > MAX_DISCARDED:
            self.refuse(400, TOO_MUCH_AHEAD)
        else:
            self._read_to_the_end()

    def _read_to_the_end(self) -> None:
        """Read all that has arrived behind an open request, up to the client's close.

        The reactor reads once in a turn. After a stall, the request would be forwarded
        although its client's close had arrived behind these octets.
        """
        if self._reading_on:
            return
        self._reading_on = True
        try:
            if self.state is ClientState.BUSY:
                self.detect_client_close()
        finally:
            self._reading_on = False

    def readConnectionLost(self) -> None:
        """Handle the close of the client's side; it may still read a last answer."""
        self._on_event(ClientEvent.CLIENT_CLOSED)

    def writeConnectionLost(self) -> None:
        """Record that the gateway's side is closed after everything was written."""
        self.sent = True
        self.since = self.gateway.now()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Release the memory that the connection holds."""
        self._on_event(ClientEvent.LOST)
        self.memory.release_answer()
        self._stop_reading()
        self.gateway.on_client_lost(self)

    # Requests and answers.

    def _on_request(self, message: HttpMessage) -> None:
        self.gateway.on_request(self, message)

    def open_request(self, request_id: int) -> None:
        """Record that a request was handed to the scheduler."""
        self.request_id = request_id
        self._on_event(ClientEvent.REQUEST_TAKEN)

    def succeeded(self, reply: HttpNodeReply) -> None:
        """Answer with the body of the node's response."""
        self.gateway.count("answer", "satisfied")
        self.answer(200, reply.body)

    def rejected(self, pause: int) -> None:
        """Answer that a retry is safe, preferably after the pause."""
        self.gateway.count("answer", "declined")
        self.answer_rejected(pause)

    def failed(self) -> None:
        """Answer that the request may or may not have taken effect."""
        self.gateway.count("answer", "aborted")
        self.answer(502, b"")

    def answer_rejected(self, pause: int) -> None:
        """Answer with 503, and with Retry-After if the pause is not 0."""
        retry_after = b""
        if pause:
            seconds, milliseconds = divmod(-(-pause // 10), 1000)
            retry_after = b"Retry-After: %d.%03d\r\n" % (seconds, milliseconds)
        self.answer(503, b"", retry_after)

    def answer(self, status: int, body: bytes, extra: bytes = b"") -> None:
        """Write the answer to the open request."""
        self.request_id = None
        self.memory.release_body()
        # A request that was read completely is answered even during shutdown.
        answers_next = self.input.next_request is not None or self.discards_pipelined
        keep = self.keep_alive and (self.gateway.keep_alive or answers_next)
        if self.state is ClientState.CLOSED:
            return
        self.transport.write(encode_response(status, body, keep, extra))
        if self.blocked:
            self.memory.hold_answer(len(body))
        self.since = self.gateway.now()
        self._on_event(ClientEvent.ANSWERED if keep else ClientEvent.LAST_ANSWERED)
        if keep and self.discards_pipelined:
            self.refuse(503, NO_ROOM)

    def refuse(self, status: int, reason: str) -> None:
        """Answer an invalid request with an error and stop reading."""
        self.gateway.count("refused", reason)
        if self.state in ENDED_STATES:
            return
        body = reason.encode("latin-1", "replace") + b"\n"
        self.transport.write(encode_response(status, body, False))
        self._on_event(ClientEvent.REFUSED)

    # Closing.

    def _on_event(self, event: ClientEvent) -> None:
        """Make the state transition for an event and perform its effect."""
        self.state, effect = next_state(self.state, event)
        if effect is ClientEffect.CONTINUE_READING:
            if self.has_partial_request:
                self._take_requests()
        elif effect is ClientEffect.ANSWER_TIMEOUT:
            self.gateway.count("refused", "a request that does not end")
            self.transport.write(encode_response(408, b"", False))
            self._close_our_side()
        elif effect is ClientEffect.CLOSE:
            self.transport.unregisterProducer()
            self.transport.loseConnection()
        elif effect is ClientEffect.END_LINGERING:
            self._end_lingering()
        elif effect in CANCELLING_EFFECTS and self.request_id is not None:
            request_id = self.request_id
            self.request_id = None
            self.gateway.on_request_cancelled(request_id)
        if effect in CLOSING_EFFECTS:
            self._close_our_side()
        elif effect in CLIENT_CLOSED_EFFECTS:
            self._close_after_write()

    def _close_our_side(self) -> None:
        """Close only the gateway's side: a reset on unread octets could lose output."""
        self.since = self.gateway.now()
        self._stop_reading()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def _close_after_write(self) -> None:
        """Close once all output is sent; the client has closed its side."""
        self.client_closed = True
        self.since = self.gateway.now()
        self._stop_reading()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _end_lingering(self) -> None:
        """End a connection that the client keeps open after its last answer.

        If the kernel has accepted all output, a normal close keeps what the client has
        not read; a reset would discard it. A client that sends on or reads nothing is
        reset.
        """
        if self.sent and self.discarded <= MAX_DISCARDED:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def begin_shutdown(self) -> None:
        """Shut down: reject a partial request, or close a connection without one."""
        self.read_pending()
        if self.input.is_waiting:
            self.continue_input(WORK_PER_TURN)
        if self.has_partial_request and self.state in OPEN_STATES:
            self.gateway.count("refused", "half a request at the end")
            self.keep_alive = False
            self.answer_rejected(self.gateway.retry_after)
        else:
            self._on_event(ClientEvent.SHUTDOWN)

    def check(self, now: int, descriptors_short: bool) -> None:
        """Handle time-outs; octets that have arrived are read first."""
        if self._time_event(now, descriptors_short) is None:
            return
        self.read_pending()
        event = self._time_event(self.gateway.now(), descriptors_short)
        if event is not None:
            self._on_event(event)

    def _time_event(self, now: int, descriptors_short: bool) -> ClientEvent | None:
        sending = not (self.sent or self.client_closed)
        elapsed = now - self.since
        return time_event(
            self.state,
            self.has_partial_request,
            elapsed,
            descriptors_short,
            sending,
            now - self.last_octet_at,
        )

    def read_pending(self) -> None:
        """Read the octets that have arrived, before the connection is ended.

        After a stall of the process the reactor runs timers before it reads sockets, so
        an idle close, a time-out or a shutdown could hit a request that has arrived.
        """
        if self.state in OPEN_STATES:
            self.transport.doRead()  # the next turn reports an end again
