"""One client connection: it serves one request at a time, with one answer each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol as TypingProtocol

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from milletsill.gateway.stream_transport import StreamTransport
from milletsill.http1.errors import MalformedHttpMessageError
from milletsill.http1.message import HttpMessage
from milletsill.http1.writer import encode_response
from milletsill.http_gateway.client_connection_state import (
    CANCELLING_EFFECTS,
    CLIENT_CLOSED_EFFECTS,
    CLOSING_EFFECTS,
    ENDED_STATES,
    LATEST_REQUEST_START,
    MAX_DISCARDED,
    MAX_PIPELINED,
    MAX_USUAL_REQUEST,
    OPEN_STATES,
    ClientEffect,
    ClientEvent,
    ClientState,
    next_state,
    time_event,
)
from milletsill.http_gateway.client_input import MAX_HELD, ClientInput
from milletsill.http_gateway.client_memory import ClientMemory
from milletsill.http_gateway.input_work import WORK_PER_TURN, InputWork
from milletsill.http_gateway.node_exchange import HttpNodeReply
from milletsill.http_gateway.resource_limits import SHORT_BODY, BufferBudget


class ClientGateway(TypingProtocol):
    """What a client connection needs of the gateway. Times: tenths of a millisecond.

    Attributes:
        buffers: the memory budget for long messages.
        client_work: the processor time for the input of all clients.
        keep_alive: whether connections stay open after an answer.
        retry_after: the Retry-After time sent with a rejection, 0 for none.
        count: counts an event by its name and a value.
    """

    reactor: Any
    buffers: BufferBudget
    client_work: InputWork
    keep_alive: bool
    retry_after: int
    now: Callable[[], int]
    count: Callable[..., None]

    def on_request(self, client: ClientConnection, message: HttpMessage, /) -> None:
        """Handle a complete request of a client."""

    def on_request_cancelled(self, request_id: int, /) -> None:
        """Handle the disconnect of a client whose request was open."""

    def on_client_lost(self, client: ClientConnection, /) -> None:
        """Handle the end of a client's connection."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """One client connection. It is the `ResponseSink` of its open request.

    Attributes:
        state: the state of the connection.
        since: the start of the state or of the next request, for time-outs.
        request_id: the id of the open request.
        keep_alive: whether the client allows another request on this connection.
        blocked: whether the write buffer is full because the client reads too slowly.
        discarded: octets that were read and discarded.
        client_closed: whether the client has closed its side.
        sent: whether the kernel has accepted everything that was written.
        input: what the client has sent and the connection has not taken.
        memory: the client's part of the memory budget.
    """

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, gateway: ClientGateway) -> None:
        self.gateway = gateway
        self.input = ClientInput()
        self.state = ClientState.NEW
        self.since = gateway.now()
        self.request_id: int | None = None
        self.keep_alive = True
        self.blocked = False
        self.discarded = 0
        self.client_closed = False
        self.sent = False
        self._taking_requests = False
        self.memory = ClientMemory(gateway.buffers)

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has arrived."""
        return self.input.has_partial_request

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Configure the transport."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

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
        if not self.has_partial_request:
            now = self.gateway.now()
            if self.state is ClientState.NEW:
                now = min(now, self.since + LATEST_REQUEST_START)
            self.since = now
        self.input.feed(data)
        self._take_requests()

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

    # Requests.

    def _take_requests(self) -> None:
        """Take requests from what was just read, or wait behind other clients.

        Not reentrant: what `detect_client_close` reads waits for the next iteration.
        """
        if self._taking_requests:
            return
        if self.input.is_waiting:
            self._pause_reading()
            self._check_room()
            return
        self._take_for(self.gateway.client_work.first_share(), False)

    def continue_input(self, work: int) -> None:
        """Take requests again, after other clients have had their turn."""
        if not self.input.is_waiting:
            return
        self.input.is_waiting = False
        self._take_for(work, True)
        if not self.input.is_waiting:
            self.transport.resumeProducing()

    def _take_for(self, work: int, has_had_share: bool) -> None:
        """Take requests, each once the previous one is answered, for some work."""
        self.input.work = work
        self._taking_requests = True
        try:
            while self._may_take() and (message := self.input.take()) is not None:
                self.memory.release_pending()
                if self._read_ahead():
                    self.keep_alive = message.keep_alive
                    self._take_request(message)
        finally:
            self._taking_requests = False
            self.gateway.client_work.spend(work - self.input.work)
        if self.state not in ENDED_STATES and self.input.needs_work(self._ready):
            self.input.is_waiting = True
            self._pause_reading()
            self.gateway.client_work.wait(self, has_had_share or work > 0)

    def _may_take(self) -> bool:
        """Read one request ahead; whether it may be taken now."""
        if self._ready and self.input.work <= 0:
            return False
        return self._read_ahead() and self._ready and self.input.work > 0

    def _pause_reading(self) -> None:
        """Stop reading while the connection waits for its share of work.

        A client with an open request is read on, because its close must be noticed.
        """
        if self._ready:
            self.transport.pauseProducing()

    def _take_request(self, message: HttpMessage) -> None:
        """Pass one request to the gateway.

        A long body is counted twice because the connection to a node holds a copy.
        """
        octets = 2 * len(message.body) if len(message.body) > SHORT_BODY else 0
        if not self.memory.reserve_body(octets):
            self.gateway.count("refused", "no room for a long request")
            self.answer_rejected(self.gateway.retry_after)
            return
        self.gateway.on_request(self, message)

    @property
    def _ready(self) -> bool:
        """Whether the connection may take its next request."""
        return self.state in OPEN_STATES and not self.blocked

    def _read_ahead(self) -> bool:
        """Read one request ahead, also while one is open; False after a refusal.

        A malformed message is answered as soon as it arrives. Otherwise a node would
        receive the first part of a body that exceeds its stated length, and the next
        requests would wait behind unreadable input. The error replaces the answer to
        the open request: such a client does not distinguish its own requests.
        """
        if self.state in ENDED_STATES:
            return False
        try:
            self.input.read_ahead()
        except MalformedHttpMessageError as error:
            self.refuse(error.status, error.reason)
            return False
        return self._check_room()

    def _check_room(self) -> bool:
        """Refuse a client that sends too much ahead; False after a refusal.

        Pipelined data is at most one request and `MAX_PIPELINED` octets. Memory is
        reserved for it and for a long request that is arriving; short requests are not
        counted.
        """
        busy = self.state is ClientState.BUSY
        if not self._ready and self.input.is_too_much(busy):
            self.refuse(400, "too much ahead of an answer")
            return False
        usual = MAX_USUAL_REQUEST if self._ready else MAX_PIPELINED
        if self.memory.reserve_pending(self.input.held, usual):
            return True
        self.refuse(503, "no room for a request that is long or ahead of an answer")
        return False

    def detect_client_close(self) -> bool:
        """Whether the client closed its side after its request; reads pending octets.

        The reactor reads octets one turn before the close that follows them. Without
        this check a node would work for a client that left while the process was
        stalled or while the request waited in the kernel's buffer. The check costs one
        more read for each request, and one for each piece of pipelined data.
        """
        reader = self.input.reader
        before = -1
        # A connection with more pipelined data is refused anyway.
        while before < reader.buffered <= MAX_HELD:
            before = reader.buffered
            if self.transport.doRead() is not None:
                self._on_event(ClientEvent.CLIENT_CLOSED)
                return True
        return False

    def _stop_reading(self) -> None:
        """Discard what is unparsed; what arrives from now on is read and discarded."""
        if self.input.is_waiting:
            self.input.is_waiting = False
            self.transport.resumeProducing()
        self.input.clear()
        self.memory.release_pending()
        self.memory.release_body()

    # Answers.

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
        keep = self.keep_alive and (
            self.gateway.keep_alive or self.input.next_request is not None
        )
        if self.state is ClientState.CLOSED:
            return
        self.transport.write(encode_response(status, body, keep, extra))
        if self.blocked:
            self.memory.hold_answer(len(body))
        self.since = self.gateway.now()
        self._on_event(ClientEvent.ANSWERED if keep else ClientEvent.LAST_ANSWERED)

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
            self.state, self.has_partial_request, elapsed, descriptors_short, sending
        )

    def read_pending(self) -> None:
        """Read the octets that have arrived, before the connection is ended.

        After a stall of the process the reactor runs timers before it reads sockets, so
        an idle close, a time-out or a shutdown could hit a request that has arrived.
        """
        if self.state in OPEN_STATES:
            self.transport.doRead()  # the next turn reports an end again
