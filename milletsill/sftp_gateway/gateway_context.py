"""What the door's connections and commands may ask of the gateway around them. `service.Edge` is it; arrows run to here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from milletsill.sftp_gateway.routing import LocationCache, RoutedVolume


class GatewayContext(Protocol):
    """The gateway as its clients' connections and commands see it. Times are tenths of a millisecond."""

    file: Any
    atlas: Any
    host: Any
    margin: int
    locations: LocationCache
    traces: Any  # None where the file asks for none, like `flows` and `parts`
    flows: Any
    parts: Any
    channels: Any
    extensions: tuple[str, ...]  # of the door, beside those that always stand
    now: Callable[[], int]

    def connected(self, client: Any) -> bool:
        """Whether one more client is taken."""

    def disconnected(self, client: Any) -> None: ...

    def unread_since(self) -> int | None:
        """Since when what is read now may have lain unread; None where it is as new as it looks."""

    def refusal(self, ends: int) -> str:
        """Why a command cannot be taken now; '' for none."""

    def told(self, running: Any, final: str, why: str) -> None:
        """A command has its answer."""

    def remark(self, event: str, **values: Any) -> None:
        """A line of the log."""

    def after_round(self, call: Callable[[], None]) -> None:
        """Once the sockets have been read."""

    def canonical(self, path: str) -> str: ...

    def renames(self, volume: RoutedVolume, path: str, target: str) -> bool:
        """Whether a rename can be done."""

    def plan_name(self, volume: RoutedVolume) -> str: ...

    def category_name(self, place: int) -> str: ...

    def next_transfer(self) -> int: ...

    def object_name(self) -> str:
        """A name on a box that no other gateway or run gives."""

    def mark(self) -> str: ...
