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
from milletsill.http_gateway.client_input import ClientInput
from milletsill.http_gateway.client_memory import ClientMemory
from milletsill.http_gateway.input_work import InputWork
from milletsill.http_gateway.resource_limits import BufferBudget

TOO_MUCH_AHEAD = "too much ahead of an answer"
NO_ROOM = "no room for a request that is long or ahead of an answer"


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
        discards_pipelined: whether what follows the open request is discarded, because
            there was no room for it.
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
        self.discards_pipelined = False
        self._taking_requests = False
        self._paused = False

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
            self._set_reading()
            self._check_room()
            return
        self._take_for(self.gateway.client_work.first_share(), False)

    def continue_input(self, work: int) -> None:
        """Take requests again, after other clients have had their turn."""
        if not self.input.is_waiting:
            return
        self.input.is_waiting = False
        self._take_for(work, True)

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
        if self.state in ENDED_STATES:
            return
        if self.input.needs_work(self._ready) and self._check_room():
            self.input.is_waiting = True
            self.gateway.client_work.wait(self, has_had_share or work > 0)
        self._set_reading()

    def _may_take(self) -> bool:
        """Read one request ahead; whether it may be taken now."""
        if self._ready and self.input.work <= 0:
            return False
        return self._read_ahead() and self._ready and self.input.work > 0

    def _set_reading(self) -> None:
        """Stop reading while the connection waits for its share of work, or go on.

        A client with an open request is always read, because its close must be noticed.
        """
        pause = self.input.is_waiting and self._ready
        if pause == self._paused:
            return
        self._paused = pause
        if pause:
            self.input.pause(self.gateway.now())
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

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
            self.refuse(400, TOO_MUCH_AHEAD)
            return False
        if self.memory.reserve_pending(self.input.held):
            return True
        if busy:
            self._discard_pipelined()
        else:
            self.refuse(503, NO_ROOM)
        return False

    def _discard_pipelined(self) -> None:
        """Discard what is behind the open request, and decline it in its turn.

        An error now would be the answer to the open request. As a decline it would
        promise that the open request has had no effect, but a node may have run it.
        """
        self.discards_pipelined = True
        self.input.is_waiting = False
        self.input.clear()
        self.memory.release_pending()

    def detect_client_close(self) -> bool:
        """Whether the client has left after its request; reads pending octets.

        The reactor reads octets one turn before the close that follows them. Without
        this check a node would work for a client that left while the process was
        stalled or while the request waited in the kernel's buffer. The check costs one
        more read for each request, and one for each piece of pipelined data.

        A client that has sent so much that a close behind it cannot be seen is refused.
        """
        before = -1
        while before < self.input.received and not self.input.is_full:
            before = self.input.received
            if self.transport.doRead() is not None:
                self.gateway.count("arrival", "its client has left")
                self._on_event(ClientEvent.CLIENT_CLOSED)
                return True
        if self.input.is_full:
            self.refuse(400, TOO_MUCH_AHEAD)
            return True
        return False

    def _stop_reading(self) -> None:
        """Discard what is unparsed; what arrives from now on is read and discarded."""
        self.input.is_waiting = False
        self._set_reading()
        self.input.clear()
        self.memory.release_pending()
        self.memory.release_body()
