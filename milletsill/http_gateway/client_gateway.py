"""The parts of the gateway that its client connections use."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from typing import Protocol as TypingProtocol

from milletsill.http1.message import HttpMessage
from milletsill.http_gateway.input_work import InputWork
from milletsill.http_gateway.resource_limits import BufferBudget

if TYPE_CHECKING:
    from milletsill.http_gateway.client_connection import ClientConnection


class ClientGateway(TypingProtocol):
    """What a client connection needs of the gateway. Times: tenths of a millisecond.

    Attributes:
        buffers: the memory budget for long messages.
        client_work: the processor time for the input of all clients.
        keep_alive: whether connections stay open after an answer.
        retry_after: the Retry-After time sent with a rejection, 0 for none.
        unread_since: returns the earliest arrival of what is read now, if the process
            was stalled.
        count: counts an event by its name and a value.
    """

    reactor: Any
    buffers: BufferBudget
    client_work: InputWork
    keep_alive: bool
    retry_after: int
    now: Callable[[], int]
    unread_since: Callable[[], int | None]
    count: Callable[..., None]

    def on_request(self, client: ClientConnection, message: HttpMessage, /) -> None:
        """Handle a complete request of a client."""

    def on_request_cancelled(self, request_id: int, /) -> None:
        """Handle the disconnect of a client whose request was open."""

    def on_client_lost(self, client: ClientConnection, /) -> None:
        """Handle the end of a client's connection."""
