"""What an attempt carries beside its request's numbers, and answers without one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.sftp import packets


class AttemptGuard(Protocol):
    """Says whether a channel's request may still leave (fleet/channels)."""

    idempotency_key: str
    deadline: int

    def may_send(self) -> bool:
        """Whether an attempt may leave now."""

    def count_attempt(self, ended: AttemptEnded) -> AttemptEnded:
        """Count an attempt that leaves; return who is to hear of its end."""


@dataclass(frozen=True, slots=True)
class CommandPayload:
    """What an attempt carries to a node beside the request's numbers.

    Attributes:
        command: as the node is to run it.
        idempotency_key: by which the node knows the request again.
        mark: the client's, with its count of tries; empty for none.
        request_class: its name.
        attempt_guard: of a channel's request, else None.
    """

    command: packets.Command
    idempotency_key: str
    mark: str
    request_class: str
    attempt_guard: Any = None


def rejected_status(id: int, retry_delay: int) -> packets.Status:
    """Return the answer to a rejected command; the delay in tenths of a millisecond."""
    milliseconds = -(-retry_delay // 10)
    return packets.Status(
        id,
        packets.FAILURE,
        f"declined: nothing was done, come again in {milliseconds} ms",
        f"x-declined-{milliseconds}",
    )


def failed_status(id: int) -> packets.Status:
    """Return the answer to a command that may have been done."""
    return packets.Status(
        id, packets.FAILURE, "aborted: it may have been done or not", "x-aborted"
    )


AnswerCallback = Callable[[Any], None]
