"""The octets that one client has sent and that its connection has not taken yet."""

from __future__ import annotations

from milletsill.http1.message import HttpMessage
from milletsill.http1.message_limits import MessageLimits
from milletsill.http1.message_reader import RequestReader
from milletsill.http_gateway.client_connection_state import (
    MAX_PIPELINED,
    MAX_USUAL_REQUEST,
)
from milletsill.http_gateway.input_work import REQUEST_WORK
from milletsill.http_gateway.resource_limits import MAX_BODY

LIMITS = MessageLimits(body=MAX_BODY)
# Octets beyond which a client with an open request is refused whatever it has sent.
MAX_HELD = MAX_BODY + MAX_USUAL_REQUEST


class ClientInput:
    """Reads requests, at most one ahead of the one that is taken.

    Attributes:
        next_request: a complete request that the connection has not taken.
        work: work that may be done until the connection has its next share.
        is_waiting: whether the connection waits for its next share.
    """

    def __init__(self) -> None:
        self.reader = RequestReader(LIMITS)
        self.next_request: HttpMessage | None = None
        self.work = 0
        self.is_waiting = False

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has arrived."""
        return self.next_request is not None or self.reader.has_partial_message

    @property
    def held(self) -> int:
        """Octets that are held, those of the next request's body included."""
        waiting = len(self.next_request.body) if self.next_request is not None else 0
        return self.reader.buffered + waiting

    def feed(self, data: bytes) -> None:
        """Add received octets."""
        self.reader.feed(data)

    def read_ahead(self) -> None:
        """Parse the next request if none waits, as far as the work allows.

        Raises:
            MalformedHttpMessageError: the octets cannot be parsed any further.
        """
        if self.next_request is not None:
            return
        allowed = max(self.work, 0)
        self.reader.chunk_calls = allowed
        try:
            self.next_request = self.reader.next_message()
        finally:
            self.work -= allowed - self.reader.chunk_calls

    def take(self) -> HttpMessage | None:
        """Return the next request, and count the work of handling it."""
        message = self.next_request
        self.next_request = None
        if message is not None:
            self.work -= REQUEST_WORK
        return message

    def is_too_much(self, busy: bool) -> bool:
        """Whether more is held than may wait for an answer.

        `busy` states whether a request is open; otherwise the client does not read its
        last answer.
        """
        limit = MAX_PIPELINED if busy else MAX_USUAL_REQUEST
        has_next = self.next_request is not None
        return self.reader.buffered > (limit if has_next else MAX_HELD)

    def needs_work(self, ready: bool) -> bool:
        """Whether octets wait only because the connection's share is used up.

        `ready` states whether the connection may take a request.
        """
        if self.reader.is_suspended:
            return True
        return ready and self.work <= 0 and self.has_partial_request

    def clear(self) -> None:
        """Discard everything that is held."""
        self.reader = RequestReader(LIMITS)
        self.next_request = None
