"""What connections and commands of clients may ask of the gateway around them.

`gateway.SftpGateway` is it; imports run towards here. Times are tenths of a
millisecond.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from milletsill.sftp_gateway.object_location import LocationCache
from milletsill.sftp_gateway.routing_table import RoutedVolume, RoutingTable


class GatewayContext(Protocol):
    """The gateway as its clients' connections and commands see it.

    Attributes:
        file: the operator's settings.
        routing_table: from commands to requests.
        host: of the scheduler.
        answer_margin: by which an answer leaves before the client's time is up.
        location_cache: where new objects were last seen.
        traces, flows, quota_client, channels: None where the file asks for none.
        extensions: of SFTP that are offered beside those that always are.
        now: the monotonic clock.
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
        """Take a new client; return False where there is no room for it."""

    def on_client_lost(self, client: Any) -> None:
        """Forget a client."""

    def unread_since(self) -> int | None:
        """Return since when what is read now may have lain unread.

        None where it is as new as it looks.
        """

    def refusal(self, deadline: int) -> str:
        """Return why a command cannot be taken now, "" where it can."""

    def on_command_finished(self, execution: Any, final: str, reason: str) -> None:
        """Count a command that has its answer."""

    def warn(self, event: str, /, **values: Any) -> None:
        """Log a warning."""

    def after_reads(self, call: Callable[[], None]) -> None:
        """Call once the sockets that are ready have been read."""

    def allows_rename(self, volume: RoutedVolume, path: str, target: str) -> bool:
        """Return whether a rename can be done: by links, or within one shard."""

    def plan_name(self, volume: RoutedVolume) -> str:
        """Return the name of a volume's service plan."""

    def request_class_name(self, request_class: int) -> str:
        """Return the name of a request class."""

    def next_request_id(self) -> int:
        """Return an id that no other request of this start has."""

    def new_object_name(self) -> str:
        """Return a name on a node that no other gateway or start gives."""

    def new_idempotency_key(self) -> str:
        """Return a key for a command whose client gave none."""
