"""Reading of requests from one client connection, one after the other."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from typing import Protocol as TypingProtocol

from twisted.internet.protocol import Protocol

from milletsill.gateway.stream_transport import StreamTransport
from milletsill.http1.errors import MalformedHttpMessageError
from milletsill.http1.message import HttpMessage
from milletsill.http_gateway.client_connection_state import (
    ENDED_STATES,
    OPEN_STATES,
    ClientEvent,
    ClientState,
)
from milletsill.http_gateway.client_input import MAX_HELD, ClientInput
from milletsill.http_gateway.client_memory import ClientMemory
from milletsill.http_gateway.input_work import InputWork
from milletsill.http_gateway.resource_limits import BufferBudget


class ReadingGateway(TypingProtocol):
    """What the reading of requests needs of the gateway. Times: 0.1 ms.

    Attributes:
        buffers: the memory budget.
        client_work: the processor time for the input of all clients.
        retry_after: the Retry-After time sent with a rejection, 0 for none.
        count: counts an event by its name and a value.
    """

    buffers: BufferBudget
    client_work: InputWork
    retry_after: int
    now: Callable[[], int]
    count: Callable[..., None]


class ClientReader(Protocol):
    """Takes the requests of a client within its shares of work and memory.

    The subclass answers them and ends the connection.

    Attributes:
        state: the state of the connection.
        keep_alive: whether the client allows another request on this connection.
        blocked: whether the write buffer is full because the client reads too slowly.
        input: what the client has sent and the connection has not taken.
        memory: the client's part of the memory budget.
    """

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, gateway: ReadingGateway, arrived_at: int) -> None:
        """Create the reader of a connection that has arrived at `arrived_at`."""
        self.gateway: ReadingGateway = gateway
        self.input = ClientInput(arrived_at)
        self.state = ClientState.NEW
        self.keep_alive = True
        self.blocked = False
        self.memory = ClientMemory(gateway.buffers)
        self._taking_requests = False

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has arrived."""
        return self.input.has_partial_request

    @abstractmethod
    def refuse(self, status: int, reason: str) -> None:
        """Answer an invalid request with an error and stop reading."""

    @abstractmethod
    def answer_rejected(self, pause: int) -> None:
        """Answer that a retry is safe, preferably after the pause."""

    @abstractmethod
    def _on_request(self, message: HttpMessage) -> None:
        """Pass a complete request to the gateway."""

    @abstractmethod
    def _on_event(self, event: ClientEvent) -> None:
        """Make the state transition for an event."""

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
        if self.state in ENDED_STATES or not self.input.needs_work(self._ready):
            return
        if self._check_room():
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
            self.input.pause(self.gateway.now())
            self.transport.pauseProducing()

    def _take_request(self, message: HttpMessage) -> None:
        """Pass one request to the gateway, if there is room for its body."""
        if not self.memory.reserve_body(len(message.body)):
            self.gateway.count("refused", "no room for a long request")
            self.answer_rejected(self.gateway.retry_after)
            return
        self._on_request(message)

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
        reserved for all that the client has sent, unless it is small.
        """
        busy = self.state is ClientState.BUSY
        if not self._ready and self.input.is_too_much(busy):
            self.refuse(400, "too much ahead of an answer")
            return False
        if self.memory.reserve_pending(self.input.held):
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
