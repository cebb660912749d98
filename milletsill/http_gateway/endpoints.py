"""Entries of the platform's list: JSON in, checked places out. One that does not parse is left out alone."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from milletsill.errors import InvalidValue
from milletsill.interface import Endpoint, Readiness

STATES = {
    "active": Readiness.READY,
    "leaving": Readiness.DRAINING,
    "left": Readiness.GONE,
}
MOST_ID, MOST_CELL = 200, 1 << 16


class InvalidEndpoint(InvalidValue):
    """An entry of the list that describes no node."""

    remedy = "put the entry right at discovery; the others stand, a whole list that is none is asked for again"


@dataclass(frozen=True, slots=True)
class Place:
    """A node of the list, and where it is reached."""

    name: str
    host: str
    port: int
    listed: Endpoint


def number_of(name: str) -> int:
    """The module's number of a node: the same for the same id, without a map that would grow all day."""
    return int.from_bytes(blake2b(name.encode(), digest_size=7).digest(), "big")


def address_of(text: Any) -> tuple[str, int]:
    """Host and port; `BadEntry` where it is none."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if (
        not host
        or len(host) > MOST_ID
        or not (port.isascii() and port.isdigit())
        or not 0 < int(port[:6]) < 65_536
    ):
        raise InvalidEndpoint(f"address {str(text)[:40]!r} is not HOST:PORT")
    return host, int(port)


def whole(entry: dict[str, Any], name: str, most: int) -> int:
    """A whole number from 0 of an entry."""
    value = entry.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < most:
        raise InvalidEndpoint(
            f"{name} {str(value)[:40]!r} is not a number from 0 to {most - 1}"
        )
    return value


def zone_of(zone: Any, name: str, zones: Sequence[str]) -> int:
    """The place of a node's zone in the settings. Guards rule 2, which may turn on the zone: one that the settings do not
    name is itself alone, and a node without any shares its zone with none. Harm: none to what they name.
    """
    if isinstance(zone, str) and zone in zones:
        return zones.index(zone)
    return len(zones) + number_of(
        f"zone {zone}" if isinstance(zone, str) and zone else f"node {name}"
    )


def place_of(entry: Any, zones: Sequence[str], clock: int) -> Place:
    """One entry; `clock` is our clock less the wall's, in tenths of a millisecond."""
    if not isinstance(entry, dict):
        raise InvalidEndpoint("an entry that is no JSON object")
    name, state, size = entry.get("id"), entry.get("state"), entry.get("weight", 1.0)
    if not isinstance(name, str) or not 0 < len(name) <= MOST_ID:
        raise InvalidEndpoint(f"id {str(name)[:40]!r} is not a name")
    if not isinstance(state, str) or state not in STATES:
        raise InvalidEndpoint(
            f"state {str(state)[:40]!r} is not one of {', '.join(STATES)}"
        )
    if (
        isinstance(size, bool)
        or not isinstance(size, (int, float))
        or not 0 <= size < 1e6
    ):
        raise InvalidEndpoint(f"weight {str(size)[:40]!r} is not a number from 0")
    readiness = STATES[state]
    gone = readiness is Readiness.GONE and "addr" not in entry
    host, port = ("", 0) if gone else address_of(entry.get("addr"))
    started = whole(entry, "started_ms", 1 << 53)
    zone = zone_of(entry.get("zone"), name, zones)
    since = started * 10 + clock if started else None
    return Place(
        name,
        host,
        port,
        Endpoint(
            number_of(name),
            readiness,
            float(size),
            0,
            zone,
            since,
            whole(entry, "cell", MOST_CELL),
        ),
    )


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """One object of the list's: whole, or what has changed."""

    version: int
    whole: bool
    places: tuple[Place, ...]


def news_of(
    value: Any, zones: Sequence[str], clock: int, remark: Callable[[str], None]
) -> EndpointUpdate:
    """A list or its changes; `BadEntry` where it is neither."""
    if not isinstance(value, dict) or not isinstance(value.get("servers"), list):
        raise InvalidEndpoint("no list of nodes")
    places = []
    for entry in value["servers"]:
        try:
            places.append(place_of(entry, zones, clock))
        except InvalidEndpoint as error:
            remark(f"an entry was left out: {error.describe()}")
    return EndpointUpdate(
        whole(value, "version", 1 << 63), value.get("full") is True, tuple(places)
    )
