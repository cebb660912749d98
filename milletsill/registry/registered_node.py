"""A storage node as the registry describes it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from milletsill.errors import InvalidValueError
from milletsill.interface import Readiness

READINESS_BY_STATE = {"ready": Readiness.READY, "draining": Readiness.DRAINING}
MAX_ID = 1 << 32
MAX_KIND = 1 << 16
MAX_ZONE = 1 << 16
MAX_SHARD = 1 << 31
MAX_STARTED_MS = 1 << 53
MAX_SIZE = 1e6
MAX_ADDRESS = 300
QUOTED = 40  # characters of a wrong value in an error


class InvalidRegistryEntryError(InvalidValueError):
    """A value of the registry that describes no box."""

    remedy = (
        "put the value right in the registry, or delete its key; the other boxes stand"
    )


@dataclass(frozen=True, slots=True)
class RegisteredNode:
    """One node; `started_ms` is on the wall clock, 0 where it is not told."""

    id: int
    address: str
    readiness: Readiness
    size: float
    kind: int
    zone: int
    shard: int
    started_ms: int


def parse_registered_node(value: Any) -> RegisteredNode:
    """Return a node from its JSON value.

    Raises:
        InvalidRegistryEntryError: the value is none.
    """
    if not isinstance(value, dict):
        raise InvalidRegistryEntryError("not a JSON object")
    node_id = _whole_number(value, "id", MAX_ID, required=True)
    kind = _whole_number(value, "kind", MAX_KIND)
    zone = _whole_number(value, "zone", MAX_ZONE)
    shard = _whole_number(value, "cell", MAX_SHARD, required=True)
    started_ms = _whole_number(value, "started", MAX_STARTED_MS)
    size = _size(value.get("size", 1))
    state = value.get("state")
    if state not in READINESS_BY_STATE:
        names = ", ".join(READINESS_BY_STATE)
        raise InvalidRegistryEntryError(
            f"state {str(state)[:QUOTED]!r} is not one of {names}"
        )
    address = _address(value.get("address"))
    readiness = READINESS_BY_STATE[state]
    return RegisteredNode(
        node_id, address, readiness, size, kind, zone, shard, started_ms
    )


def _whole_number(
    value: Mapping[str, Any], name: str, limit: int, *, required: bool = False
) -> int:
    number = value.get(name, None if required else 0)
    if (
        isinstance(number, bool)
        or not isinstance(number, int)
        or not 0 <= number < limit
    ):
        raise InvalidRegistryEntryError(
            f"{name} {str(number)[:QUOTED]!r} is not a number from 0 to {limit - 1}"
        )
    return number


def _size(size: Any) -> float:
    numeric = isinstance(size, (int, float)) and not isinstance(size, bool)
    if not numeric or not 0 < size < MAX_SIZE:
        raise InvalidRegistryEntryError(
            f"size {str(size)[:QUOTED]!r} is not a number above 0"
        )
    return float(size)


def _address(address: Any) -> str:
    host, _, port = "", "", ""
    if isinstance(address, str):
        host, _, port = address.rpartition(":")
    if (
        not host
        or not port.isdecimal()
        or not 0 < int(port) < 65_536
        or len(address) > MAX_ADDRESS
    ):
        raise InvalidRegistryEntryError(
            f"address {str(address)[:QUOTED]!r} is not host:port"
        )
    return str(address)
