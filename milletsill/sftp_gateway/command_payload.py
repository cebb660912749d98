"""What an attempt carries to a node, and the answers to unfinished commands."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.sftp import packets


class AttemptGuard(Protocol):
    """Decides whether a channel's request may still be sent (see fleet/channels)."""

    idempotency_key: str
    deadline: int

    def may_send(self) -> bool:
        """Return whether an attempt may be sent now."""

    def count_attempt(self, ended: AttemptEnded) -> AttemptEnded:
        """Count an attempt that is sent; return the callback for its end."""


@dataclass(frozen=True, slots=True)
class CommandPayload:
    """What an attempt carries to a node in addition to the request's fields.

    Attributes:
        command: the command that the node executes.
        idempotency_key: identifies repeated requests at the node.
        mark: the client's mark with its number of retries; empty for none.
        request_class: the name of the request class.
        attempt_guard: the guard of a channel's request, else None.
    """

    command: packets.Command
    idempotency_key: str
    mark: str
    request_class: str
    attempt_guard: Any = None


def rejected_status(id: int, retry_delay: int) -> packets.Status:
    """Return the answer to a rejected command.

    Args:
        id: the client's id of the command.
        retry_delay: in tenths of a millisecond.
    """
    milliseconds = -(-retry_delay // 10)
    return packets.Status(
        id,
        packets.FAILURE,
        f"declined: nothing was done, retry in {milliseconds} ms",
        f"x-declined-{milliseconds}",
    )


def failed_status(id: int) -> packets.Status:
    """Return the answer to a command that may have been done."""
    return packets.Status(
        id, packets.FAILURE, "aborted: it may have been done", "x-aborted"
    )


AnswerCallback = Callable[[Any], None]
