"""The interface of the gateway that client connections and commands use.

`gateway.SftpGateway` implements it. The other modules import this interface instead of
`gateway`, which avoids import cycles. Times are in tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from milletsill.sftp_gateway.object_location import LocationCache
from milletsill.sftp_gateway.routing_table import RoutedVolume, RoutingTable


class GatewayContext(Protocol):
    """The gateway as seen by client connections and commands.

    Attributes:
        file: the settings in the gateway's file.
        routing_table: maps paths and commands to volumes and request classes.
        host: the scheduler host.
        answer_margin: how long before the client timeout an answer is sent.
        location_cache: the last known locations of objects with free placement.
        traces, flows, quota_client, channels: None if the file does not enable
            them.
        extensions: SFTP extensions of optional parts, offered in addition to the
            standard ones.
        now: reads the monotonic clock.
    """

    file: Any
    routing_table: RoutingTable
    host: Any
    answer_margin: int
    location_cache: LocationCache
    traces: Any
    flows: Any
    quota_client: Any
    channels: Any
    extensions: tuple[str, ...]
    now: Callable[[], int]

    def on_client_connected(self, client: Any) -> bool:
        """Accept a new client; return False if the gateway has no capacity."""

    def on_client_lost(self, client: Any) -> None:
        """Remove a disconnected client."""

    def unread_since(self) -> int | None:
        """Return the earliest arrival time of the data that is read now.

        Return None if the process was not stalled.
        """

    def refusal(self, deadline: int) -> str:
        """Return why a command cannot be accepted now, or "" if it can."""

    def on_command_finished(self, execution: Any, final: str, reason: str) -> None:
        """Report an answered command."""

    def warn(self, event: str, /, **values: Any) -> None:
        """Log a warning."""

    def after_reads(self, call: Callable[[], None]) -> None:
        """Make a call once the sockets that are ready have been read."""

    def allows_rename(self, volume: RoutedVolume, path: str, target: str) -> bool:
        """Return whether a rename is possible: by links, or within one shard."""

    def plan_name(self, volume: RoutedVolume) -> str:
        """Return the name of a volume's service plan."""

    def request_class_name(self, request_class: int) -> str:
        """Return the name of a request class."""

    def next_request_id(self) -> int:
        """Return a request id that is unique within this start of the gateway."""

    def new_object_name(self) -> str:
        """Return an object name that no other gateway or start generates."""

    def new_idempotency_key(self) -> str:
        """Return an idempotency key for a command whose client sent none."""
