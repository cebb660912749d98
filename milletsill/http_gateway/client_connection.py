"""One connection of a client: one request at a time, one answer to each."""

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
from milletsill.http1.message_limits import MessageLimits
from milletsill.http1.message_reader import RequestReader
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
from milletsill.http_gateway.client_memory import ClientMemory
from milletsill.http_gateway.node_exchange import HttpNodeReply
from milletsill.http_gateway.resource_limits import MAX_BODY, SHORT_BODY, BufferBudget

LIMITS = MessageLimits(body=MAX_BODY)


class ClientGateway(TypingProtocol):
    """The gateway as its clients see it. Times are tenths of a millisecond.

    Attributes:
        buffers: the memory for long messages.
        keep_alive: whether connections stay open behind an answer.
        retry_after: told with a rejection, 0 for none.
        count: counts an event by name and value.
    """

    reactor: Any
    buffers: BufferBudget
    keep_alive: bool
    retry_after: int
    now: Callable[[], int]
    count: Callable[..., None]

    def on_request(self, client: ClientConnection, message: HttpMessage, /) -> None:
        """Take a complete request of a client."""

    def on_request_cancelled(self, request_id: int, /) -> None:
        """A client has left while its request was open."""

    def on_client_lost(self, client: ClientConnection, /) -> None:
        """A client's connection has ended."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """One connection of a client. It is the `ResponseSink` of its open request.

    Attributes:
        state: its state; `since` is when that, or a request, began.
        request_id: of the open request.
        keep_alive: whether the client allows another request.
        blocked: whether the client does not take octets.
        discarded: octets that were read and thrown away.
        client_closed: whether the client has closed its side.
        sent: whether all that we had to write was handed to the system.
        next_request: the next request, complete, while one is open or an answer is
            not taken.
    """

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, gateway: ClientGateway) -> None:
        self.gateway = gateway
        self.reader = RequestReader(LIMITS)
        self.state = ClientState.NEW
        self.since = gateway.now()
        self.request_id: int | None = None
        self.keep_alive = True
        self.blocked = False
        self.discarded = 0
        self.client_closed = False
        self.sent = False
        self.next_request: HttpMessage | None = None
        self._taking_requests = False
        self.memory = ClientMemory(gateway.buffers)

    @property
    def has_partial_request(self) -> bool:
        """Whether a part of a request is here."""
        return self.next_request is not None or self.reader.has_partial_message

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Set the connection up."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def pauseProducing(self) -> None:
        """Take no request: the client does not take octets."""
        self.blocked = True

    def resumeProducing(self) -> None:
        """Take requests again."""
        self.blocked = False
        self.memory.release_answer()
        self._take_requests()

    def stopProducing(self) -> None:
        """Take no request any more."""
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
        self.reader.feed(data)
        self._take_requests()

    def readConnectionLost(self) -> None:
        """The client has left, but may still take a last answer."""
        self._on_event(ClientEvent.CLIENT_CLOSED)

    def writeConnectionLost(self) -> None:
        """Our side is closed behind all that was written."""
        self.sent = True
        self.since = self.gateway.now()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Forget all that is held."""
        self._on_event(ClientEvent.LOST)
        self.memory.release_answer()
        self._stop_reading()
        self.gateway.on_client_lost(self)

    # Requests.

    def _take_requests(self) -> None:
        """Take the next request, once the last one has its answer.

        Never from within itself: what `has_left` reads waits.
        """
        if self._taking_requests:
            return
        self._taking_requests = True
        try:
            while self._read_ahead() and self._ready and self.next_request is not None:
                message = self.next_request
                self.next_request = None
                self.memory.release_pending()
                if self._read_ahead():
                    self.keep_alive = message.keep_alive
                    self._take_request(message)
        finally:
            self._taking_requests = False

    def _take_request(self, message: HttpMessage) -> None:
        """Take one request.

        A long body counts twice: a connection to a node holds it too.
        """
        octets = 2 * len(message.body) if len(message.body) > SHORT_BODY else 0
        if not self.memory.reserve_body(octets):
            self.gateway.count("refused", "no room for a long request")
            self.answer_rejected(self.gateway.retry_after)
            return
        self.gateway.on_request(self, message)

    @property
    def _ready(self) -> bool:
        """Whether the next request may be taken."""
        return self.state in OPEN_STATES and not self.blocked

    def _read_ahead(self) -> bool:
        """Read one request ahead, also while one is open; False once refused.

        An error is known, and answered, as soon as it is here: no node gets the first
        part of a body whose length was told too short, and the client's next requests
        do not wait behind what cannot be read. The error takes the place of the open
        request's answer, for a client that does not tell its own requests apart.
        """
        if self.state in ENDED_STATES:
            return False
        try:
            if self.next_request is None:
                self.next_request = self.reader.next_message()
        except MalformedHttpMessageError as error:
            self.refuse(error.status, error.reason)
            return False
        if not self._ready and self.next_request is not None:
            busy = self.state is ClientState.BUSY
            if self.reader.buffered > (MAX_PIPELINED if busy else MAX_USUAL_REQUEST):
                self.refuse(400, "too much ahead of an answer")
                return False
        return self._reserve_pending()

    def _reserve_pending(self) -> bool:
        """Reserve room for what is ahead, or for a long request that comes in.

        That is up to one complete request and a little; short ones are not counted.
        False once refused.
        """
        held = self.reader.buffered
        if self.next_request is not None:
            held += len(self.next_request.body)
        usual = MAX_USUAL_REQUEST if self._ready else MAX_PIPELINED
        if self.memory.reserve_pending(held, usual):
            return True
        self.refuse(503, "no room for a request that is long or ahead of an answer")
        return False

    def has_left(self) -> bool:
        """Whether the client's close came behind its request, whatever lies between.

        Octets are read a turn before the end behind them, and no node is to work for
        who has left while the process stood still or the request waited in the system.
        It costs one more read for each request, and one for each piece that lies behind
        it.
        """
        before = -1
        # Beyond the bound the connection is refused anyway.
        while before < self.reader.buffered <= MAX_BODY + MAX_USUAL_REQUEST:
            before = self.reader.buffered
            if self.transport.doRead() is not None:
                self._on_event(ClientEvent.CLIENT_CLOSED)
                return True
        return False

    def _stop_reading(self) -> None:
        self.reader = RequestReader(LIMITS)
        self.next_request = None
        self.memory.release_pending()
        self.memory.release_body()

    # Answers.

    def open_request(self, request_id: int) -> None:
        """Note that a request was handed to the scheduler."""
        self.request_id = request_id
        self._on_event(ClientEvent.REQUEST_TAKEN)

    def succeeded(self, reply: HttpNodeReply) -> None:
        """Answer with what the node answered."""
        self.gateway.count("answer", "satisfied")
        self.answer(200, reply.body)

    def rejected(self, pause: int) -> None:
        """Answer that a retry is harmless, best after the pause."""
        self.gateway.count("answer", "declined")
        self.answer_rejected(pause)

    def failed(self) -> None:
        """Answer that nothing is promised."""
        self.gateway.count("answer", "aborted")
        self.answer(502, b"")

    def answer_rejected(self, pause: int) -> None:
        """Answer with 503, and when to come back where there is a time to tell."""
        retry_after = b""
        if pause:
            seconds, milliseconds = divmod(-(-pause // 10), 1000)
            retry_after = b"Retry-After: %d.%03d\r\n" % (seconds, milliseconds)
        self.answer(503, b"", retry_after)

    def answer(self, status: int, body: bytes, extra: bytes = b"") -> None:
        """Write the one answer to the request that is open."""
        self.request_id = None
        self.memory.release_body()
        # What was read as a whole has its answer, also when the gateway leaves.
        keep = self.keep_alive and (
            self.gateway.keep_alive or self.next_request is not None
        )
        if self.state is ClientState.CLOSED:
            return
        self.transport.write(encode_response(status, body, keep, extra))
        if self.blocked:
            self.memory.hold_answer(len(body))
        self.since = self.gateway.now()
        self._on_event(ClientEvent.ANSWERED if keep else ClientEvent.LAST_ANSWERED)

    def refuse(self, status: int, reason: str) -> None:
        """Answer what is no request with an error, and read nothing more."""
        self.gateway.count("refused", reason)
        if self.state in ENDED_STATES:
            return
        body = reason.encode("latin-1", "replace") + b"\n"
        self.transport.write(encode_response(status, body, False))
        self._on_event(ClientEvent.REFUSED)

    # The end.

    def _on_event(self, event: ClientEvent) -> None:
        """Read the table and act."""
        self.state, effect = next_state(self.state, event)
        if effect is ClientEffect.READ_ON:
            if self.has_partial_request:
                self._take_requests()
        elif effect is ClientEffect.ANSWER_TIME_OUT:
            self.gateway.count("refused", "a request that does not end")
            self.transport.write(encode_response(408, b"", False))
            self._close_our_side()
        elif effect is ClientEffect.CLOSE:
            self.transport.unregisterProducer()
            self.transport.loseConnection()
        elif effect is ClientEffect.CUT:
            self._cut()
        elif effect in CANCELLING_EFFECTS and self.request_id is not None:
            request_id = self.request_id
            self.request_id = None
            self.gateway.on_request_cancelled(request_id)
        if effect in CLOSING_EFFECTS:
            self._close_our_side()
        elif effect in CLIENT_CLOSED_EFFECTS:
            self._close_after_write()

    def _close_our_side(self) -> None:
        """Close our side; a full close over unread octets would tear the answer."""
        self.since = self.gateway.now()
        self._stop_reading()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def _close_after_write(self) -> None:
        """The client has left: close once what was written is sent."""
        self.client_closed = True
        self.since = self.gateway.now()
        self._stop_reading()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _cut(self) -> None:
        """End a connection that its client leaves open.

        Where all was handed to the system, what the client has not fetched yet stays
        for it; a reset would throw it away. Who goes on sending, or takes nothing, is
        reset.
        """
        if self.sent and self.discarded <= MAX_DISCARDED:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def leave(self) -> None:
        """The gateway leaves: reject half a request, close the rest."""
        self.read_pending()
        if self.has_partial_request and self.state in OPEN_STATES:
            self.gateway.count("refused", "half a request at the end")
            self.keep_alive = False
            self.answer_rejected(self.gateway.retry_after)
        else:
            self._on_event(ClientEvent.LEAVE)

    def check(self, now: int, short: bool) -> None:
        """Do what time brings; what has come by then is read before."""
        if self._time_event(now, short) is None:
            return
        self.read_pending()
        event = self._time_event(self.gateway.now(), short)
        if event is not None:
            self._on_event(event)

    def _time_event(self, now: int, short: bool) -> ClientEvent | None:
        sending = not (self.sent or self.client_closed)
        quiet = now - self.since
        return time_event(self.state, self.has_partial_request, quiet, short, sending)

    def read_pending(self) -> None:
        """Read what has come before the connection is ended.

        Timers go before what lies in the sockets when the process stood still: an idle
        close, a time-out or the end would meet a request that is here.
        """
        if self.state in OPEN_STATES:
            self.transport.doRead()  # an end is told again in the next turn
