"""Entries of the platform's endpoint list: JSON in, checked endpoints out.

An entry that cannot be read is left out alone.
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
MAX_ID = 200  # characters of a node's id
MAX_SHARD = 1 << 16
MAX_WEIGHT = 1e6
MAX_STARTED_MS = 1 << 53
MAX_VERSION = 1 << 63
QUOTED = 40  # characters of a wrong value in an error
TICKS_PER_MS = 10


class InvalidEndpointError(InvalidValueError):
    """An entry of the list that describes no node."""

    remedy = (
        "put the entry right at discovery; the others stand, a whole list that is none "
        "is asked for again"
    )


@dataclass(frozen=True, slots=True)
class NodeEndpoint:
    """A node of the list, and where it is reached."""

    name: str
    host: str
    port: int
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """One object of the list's: a snapshot, or what has changed."""

    version: int
    snapshot: bool
    nodes: tuple[NodeEndpoint, ...]


def node_number(name: str) -> int:
    """Return the scheduler's number of a node.

    It is the same for the same id, without a map that would grow all day.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=7).digest(), "big")


def parse_address(text: Any) -> tuple[str, int]:
    """Return host and port.

    Raises:
        InvalidEndpointError: the text is no HOST:PORT.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    numeric = port.isascii() and port.isdigit()
    if not host or len(host) > MAX_ID or not numeric or not 0 < int(port[:6]) < 65_536:
        raise InvalidEndpointError(f"address {str(text)[:QUOTED]!r} is not HOST:PORT")
    return host, int(port)


def parse_update(
    value: Any, zones: Sequence[str], clock: int, log: Callable[[str], None]
) -> EndpointUpdate:
    """Return a list or its changes.

    Args:
        value: the JSON value.
        zones: the zones of the settings.
        clock: our clock less the wall clock, in tenths of a millisecond.
        log: takes a line on each entry that was left out.

    Raises:
        InvalidEndpointError: the value is neither.
    """
    if not isinstance(value, dict) or not isinstance(value.get("servers"), list):
        raise InvalidEndpointError("no list of nodes")
    nodes = []
    for entry in value["servers"]:
        try:
            nodes.append(parse_node(entry, zones, clock))
        except InvalidEndpointError as error:
            log(f"an entry was left out: {error.describe()}")
    version = _whole_number(value, "version", MAX_VERSION)
    return EndpointUpdate(version, value.get("full") is True, tuple(nodes))


def parse_node(entry: Any, zones: Sequence[str], clock: int) -> NodeEndpoint:
    """Return one entry; see `parse_update`."""
    if not isinstance(entry, dict):
        raise InvalidEndpointError("an entry that is no JSON object")
    name = entry.get("id")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_ID:
        raise InvalidEndpointError(f"id {str(name)[:QUOTED]!r} is not a name")
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
        started_ms * TICKS_PER_MS + clock if started_ms else None,
        _whole_number(entry, "cell", MAX_SHARD),
    )
    return NodeEndpoint(name, host, port, endpoint)


def _readiness(state: Any) -> Readiness:
    if not isinstance(state, str) or state not in READINESS_BY_STATE:
        names = ", ".join(READINESS_BY_STATE)
        raise InvalidEndpointError(
            f"state {str(state)[:QUOTED]!r} is not one of {names}"
        )
    return READINESS_BY_STATE[state]


def _weight(weight: Any) -> float:
    numeric = isinstance(weight, (int, float)) and not isinstance(weight, bool)
    if not numeric or not 0 <= weight < MAX_WEIGHT:
        raise InvalidEndpointError(
            f"weight {str(weight)[:QUOTED]!r} is not a number from 0"
        )
    return float(weight)


def _whole_number(entry: Mapping[str, Any], name: str, limit: int) -> int:
    value = entry.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < limit:
        shown = str(value)[:QUOTED]
        raise InvalidEndpointError(
            f"{name} {shown!r} is not a number from 0 to {limit - 1}"
        )
    return value


def _zone_number(zone: Any, name: str, zones: Sequence[str]) -> int:
    """Return the number of a node's zone.

    Rule 2 may turn on the zone: one that the settings do not name is itself alone, and
    a node without any shares its zone with none.
    """
    if isinstance(zone, str) and zone in zones:
        return zones.index(zone)
    known = isinstance(zone, str) and zone
    return len(zones) + node_number(f"zone {zone}" if known else f"node {name}")
