"""Parse a storage node's entry in the registry."""

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
MAX_QUOTED_CHARS = 40  # characters of an invalid value in an error message


class InvalidRegistryEntryError(InvalidValueError):
    """A value in the registry does not describe a storage node."""

    remedy = (
        "correct the value in the registry or delete its key; "
        "the other nodes are not affected"
    )


@dataclass(frozen=True, slots=True)
class RegisteredNode:
    """One node; `started_ms` is in milliseconds of the wall clock, 0 if unknown."""

    id: int
    address: str
    readiness: Readiness
    size: float
    kind: int
    zone: int
    shard: int
    started_ms: int


def parse_registered_node(value: Any) -> RegisteredNode:
    """Return the node that a decoded JSON value describes.

    Raises:
        InvalidRegistryEntryError: The value does not describe a node.
    """
    if not isinstance(value, dict):
        raise InvalidRegistryEntryError("value is not a JSON object")
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
            f"state {str(state)[:MAX_QUOTED_CHARS]!r} is not one of {names}"
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
            f"{name} {str(number)[:MAX_QUOTED_CHARS]!r} is not an integer "
            f"from 0 to {limit - 1}"
        )
    return number


def _size(size: Any) -> float:
    numeric = isinstance(size, (int, float)) and not isinstance(size, bool)
    if not numeric or not 0 < size < MAX_SIZE:
        raise InvalidRegistryEntryError(
            f"size {str(size)[:MAX_QUOTED_CHARS]!r} is not a number "
            f"above 0 and below {MAX_SIZE:g}"
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
            f"address {str(address)[:MAX_QUOTED_CHARS]!r} is not host:port "
            "with a port from 1 to 65535"
        )
    return str(address)
