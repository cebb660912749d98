"""Parse and check the entries of the discovery service's endpoint list.

An invalid entry is ignored; the other entries are used.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from milletsill.errors import InvalidValueError
from milletsill.interface import Endpoint, Readiness

READINESS_BY_STATE = {
    "active": Readiness.READY,
    "leaving": Readiness.DRAINING,
    "left": Readiness.GONE,
}
MAX_ID = 200  # characters of a node's id, or of the host in an address
MAX_SHARD = 1 << 16
MAX_WEIGHT = 1e6
MAX_STARTED_MS = 1 << 53
MAX_VERSION = 1 << 63
MAX_QUOTED_LENGTH = 40  # characters of an invalid value in an error
TICKS_PER_MS = 10


class InvalidEndpointError(InvalidValueError):
    """An endpoint list, one of its entries or an address is invalid."""

    remedy = (
        "correct the entry at the discovery service; other entries are used, and an "
        "invalid list is requested again"
    )


@dataclass(frozen=True, slots=True)
class NodeEndpoint:
    """A node of the endpoint list with its name and address."""

    name: str
    host: str
    port: int
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """One update of the endpoint list: a snapshot or a set of changes."""

    version: int
    snapshot: bool
    nodes: tuple[NodeEndpoint, ...]


def node_number(name: str) -> int:
    """Return the number by which the scheduler identifies a node.

    A hash of the id gives the same number each time, without a map that would grow with
    every new node.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=7).digest(), "big")


def parse_address(text: Any) -> tuple[str, int]:
    """Return the host and port of an address.

    Raises:
        InvalidEndpointError: the text is not HOST:PORT.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    numeric = port.isascii() and port.isdigit()
    if not host or len(host) > MAX_ID or not numeric or not 0 < int(port[:6]) < 65_536:
        raise InvalidEndpointError(
            f"address {str(text)[:MAX_QUOTED_LENGTH]!r} is not HOST:PORT"
        )
    return host, int(port)


def parse_update(
    value: Any, zones: Sequence[str], clock_offset: int, log: Callable[[str], None]
) -> EndpointUpdate:
    """Return an update of the endpoint list.

    Args:
        value: the JSON value.
        zones: the zones that the settings name.
        clock_offset: the gateway's clock minus the wall clock, in tenths of a
            millisecond.
        log: receives a line for each entry that is ignored.

    Raises:
        InvalidEndpointError: the value is not an update of the endpoint list.
    """
    if not isinstance(value, dict) or not isinstance(value.get("servers"), list):
        raise InvalidEndpointError('not a JSON object with an array "servers"')
    nodes = []
    for entry in value["servers"]:
        try:
            nodes.append(parse_node(entry, zones, clock_offset))
        except InvalidEndpointError as error:
            log(f"endpoint list entry ignored: {error.describe()}")
    version = _whole_number(value, "version", MAX_VERSION)
    return EndpointUpdate(version, value.get("full") is True, tuple(nodes))


def parse_node(entry: Any, zones: Sequence[str], clock_offset: int) -> NodeEndpoint:
    """Return the node that one entry describes; see `parse_update`."""
    if not isinstance(entry, dict):
        raise InvalidEndpointError("entry is not a JSON object")
    name = entry.get("id")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_ID:
        raise InvalidEndpointError(
            f"id {str(name)[:MAX_QUOTED_LENGTH]!r} is not a string of suitable length"
        )
    readiness = _readiness(entry.get("state"))
    weight = _weight(entry.get("weight", 1.0))
    host, port = "", 0
    if readiness is not Readiness.GONE or "addr" in entry:
        host, port = parse_address(entry.get("addr"))
    started_ms = _whole_number(entry, "started_ms", MAX_STARTED_MS)
    endpoint = Endpoint(
        node_number(name),
        readiness,
        weight,
        0,
        _zone_number(entry.get("zone"), name, zones),
        started_ms * TICKS_PER_MS + clock_offset if started_ms else None,
        _whole_number(entry, "cell", MAX_SHARD),
    )
    return NodeEndpoint(name, host, port, endpoint)


def _readiness(state: Any) -> Readiness:
    if not isinstance(state, str) or state not in READINESS_BY_STATE:
        names = ", ".join(READINESS_BY_STATE)
        raise InvalidEndpointError(
            f"state {str(state)[:MAX_QUOTED_LENGTH]!r} is not one of {names}"
        )
    return READINESS_BY_STATE[state]


def _weight(weight: Any) -> float:
    numeric = isinstance(weight, (int, float)) and not isinstance(weight, bool)
    if not numeric or not 0 <= weight < MAX_WEIGHT:
        raise InvalidEndpointError(
            f"weight {str(weight)[:MAX_QUOTED_LENGTH]!r} is not a number in range"
        )
    return float(weight)


def _whole_number(entry: Mapping[str, Any], name: str, limit: int) -> int:
    value = entry.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < limit:
        shown = str(value)[:MAX_QUOTED_LENGTH]
        raise InvalidEndpointError(
            f"{name} {shown!r} is not a number from 0 to {limit - 1}"
        )
    return value


def _zone_number(zone: Any, name: str, zones: Sequence[str]) -> int:
    """Return the number of a node's zone.

    Whether a request may be repeated on another node can depend on the zones. A zone
    that the settings do not name therefore differs from all others, and a node without
    a zone shares its zone with no other node.
    """
    if isinstance(zone, str) and zone in zones:
        return zones.index(zone)
    known = isinstance(zone, str) and zone
    return len(zones) + node_number(f"zone {zone}" if known else f"node {name}")
