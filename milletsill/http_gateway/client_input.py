"""The octets that one client has sent and that its connection has not taken yet."""

from __future__ import annotations

from collections import deque

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
# Octets that the transport reads at once; a shorter read has emptied the socket.
READ_SIZE = 65_536
# Reads within this time share one record of their arrival, in tenths of a millisecond.
ARRIVAL_RESOLUTION = 100
# Octets of memory that a header field takes beside its own.
FIELD_OVERHEAD = 150
# Octets beyond which a client with an open request is refused whatever it has sent.
MAX_HELD = MAX_BODY + MAX_USUAL_REQUEST


def head_size(message: HttpMessage) -> int:
    """Return the octets of memory that the head of a message takes, about."""
    return message.head_size + len(message.fields) * FIELD_OVERHEAD


class ClientInput:
    """Reads requests, at most one ahead of the one that is taken.

    Attributes:
        next_request: a complete request that the connection has not taken.
        arrived_at: the earliest time at which the last octet of the request that was
            taken last may have arrived, in tenths of a millisecond.
        unread_since: the time since which octets may wait in the socket; None if the
            last read has emptied it.
        work: work that may be done until the connection has its next share.
        is_waiting: whether the connection waits for its next share.
    """

    def __init__(self, unread_since: int) -> None:
        self.reader = RequestReader(LIMITS)
        self.next_request: HttpMessage | None = None
        self.arrived_at = unread_since
        self.unread_since: int | None = unread_since
        self.next_arrived_at = unread_since
        self.received = 0
        # Pairs of the octets received so far and their earliest arrival.
        self.arrivals: deque[tuple[int, int]] = deque()
        self.work = 0
        self.is_waiting = False

    @property
    def has_partial_request(self) -> bool:
        """Whether part of a request has arrived."""
        return self.next_request is not None or self.reader.has_partial_message

    @property
    def held(self) -> int:
        """Octets of memory that are held for what the client has sent."""
        held = self.reader.buffered
        if self.reader.message is not None:
            held += head_size(self.reader.message)
        if self.next_request is not None:
            held += head_size(self.next_request) + len(self.next_request.body)
        return held

    @property
    def is_full(self) -> bool:
        """Whether so much is unparsed that no more is read before a request."""
        return self.reader.buffered > MAX_HELD

    def feed(self, data: bytes, now: int) -> None:
        """Add octets that are read now, and may have arrived since `unread_since`."""
        arrived_at = now if self.unread_since is None else min(self.unread_since, now)
        if len(data) < READ_SIZE:
            self.unread_since = None
        self.reader.feed(data)
        self.received += len(data)
        if self.arrivals and arrived_at - self.arrivals[-1][1] < ARRIVAL_RESOLUTION:
            _, arrived_at = self.arrivals.pop()
        self.arrivals.append((self.received, arrived_at))

    def discard(self, data: bytes) -> None:
        """Count octets that are not kept."""
        self.received += len(data)

    def may_have_waited(self, now: int) -> bool:
        """Whether unread octets may have arrived well before now."""
        since = self.unread_since
        return since is not None and now - since >= ARRIVAL_RESOLUTION

    def pause(self, now: int) -> None:
        """Record that the socket is not read from now on."""
        if self.unread_since is None:
            self.unread_since = now

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
        if self.next_request is not None:
            self._date_request()

    def _date_request(self) -> None:
        """Note when the octets arrived that completed the next request."""
        end = self.received - len(self.reader.buffer)
        while self.arrivals[0][0] < end:
            self.arrivals.popleft()
        _, self.next_arrived_at = self.arrivals[0]

    def take(self) -> HttpMessage | None:
        """Return the next request, and count the work of handling it."""
        message = self.next_request
        self.next_request = None
        if message is not None:
            self.work -= REQUEST_WORK
            self.arrived_at = self.next_arrived_at
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
