"""The operator's map from commands to requests: volumes, shards, request classes.

Built once from the gateway's file and pure afterwards: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from math import ceil

import xxhash

from milletsill.sftp_gateway.command_classification import DATA_OPERATIONS

DEFAULT_METADATA_UNITS = 0.5


class VolumePlacement(IntEnum):
    """How a volume's objects are placed; the values are those of the file."""

    HASHED = 0  # at the path's home shard
    FREE = 1  # wherever the scheduler puts them, behind a link at the home shard
    BY_DIRECTORY = 2  # at the home shard of their directory


@dataclass(frozen=True, slots=True)
class RoutedVolume:
    """A volume as the gateway needs it.

    Attributes:
        number: by which the scheduler knows it.
        name: in the operator's file.
        root: canonical path of its root.
        plan: place of its service plan in the file.
        shards: in the file's order.
        sharing_gateways: how many gateways its requests come through.
        placement: how its objects are placed.
    """

    number: int
    name: str
    root: str
    plan: int
    shards: tuple[int, ...]
    sharing_gateways: int
    placement: int


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Which commands a request class takes.

    Attributes:
        operations: empty for all.
        volume: name of the volume, empty for all.
        min_bytes: the least size of the command's data.
        request_class: place of the class in the file.
    """

    operations: frozenset[str]
    volume: str
    min_bytes: int
    request_class: int


@dataclass(frozen=True, slots=True)
class RequestSizing:
    """How bytes are counted as units, and offsets as keys.

    Attributes:
        unit_bytes: bytes of one unit.
        max_units: units of the largest request.
        key_bytes: bytes of an object that share a key.
        metadata_units: units of a command that moves no data.
    """

    unit_bytes: int
    max_units: int
    key_bytes: int
    metadata_units: float = DEFAULT_METADATA_UNITS


class RoutingTable:
    """Volumes by root, routes in order, and the sizing of requests."""

    def __init__(
        self,
        volumes: Sequence[RoutedVolume],
        routes: Sequence[RouteRule],
        sizing: RequestSizing,
    ) -> None:
        self.volumes_by_root = {each.root: each for each in volumes}
        self.routes = tuple(routes)
        self.sizing = sizing

    @property
    def max_request_bytes(self) -> int:
        """Bytes of the largest request."""
        return self.sizing.unit_bytes * self.sizing.max_units

    def volume_of(self, path: str) -> RoutedVolume | None:
        """Return the volume of a canonical path, None above all volumes."""
        parts = path.split("/")
        for end in range(2, len(parts) + 1):
            volume = self.volumes_by_root.get("/".join(parts[:end]))
            if volume is not None:
                return volume
        return None

    def volume_named(self, name: str) -> RoutedVolume | None:
        """Return the first volume of that name, None for no such volume."""
        volumes = self.volumes_by_root.values()
        return next((each for each in volumes if each.name == name), None)

    def names_below(self, path: str) -> list[str]:
        """Return the names right below a path that lies above volumes, sorted."""
        start = path if path.endswith("/") else path + "/"
        return sorted(
            {
                root[len(start) :].split("/")[0]
                for root in self.volumes_by_root
                if root.startswith(start)
            }
        )

    def request_class(self, operation: str, volume: RoutedVolume, size: int) -> int:
        """Return the place of the request class of a command.

        The first route that fits decides; the last one fits all.
        """
        return next(
            each.request_class
            for each in self.routes
            if (not each.operations or operation in each.operations)
            and each.volume in ("", volume.name)
            and size >= each.min_bytes
        )

    def units(self, operation: str, size: int) -> float:
        """Return the units of so many bytes, between one and those of the largest.

        Of a command that moves no data it is a part of one: counted as whole ones they
        would teach the scheduler that a unit takes next to nothing, and every read
        would look like a crowd.
        """
        if operation not in DATA_OPERATIONS:
            return self.sizing.metadata_units
        units = max(ceil(size / self.sizing.unit_bytes), 1)
        return float(min(units, self.sizing.max_units))

    def home_shard(self, volume: RoutedVolume, path: str) -> int:
        """Return the shard that a path belongs to: the same at every gateway.

        Rendezvous hashing: a shard that joins or leaves a volume moves only the paths
        that it gains or loses.
        """
        name = path
        if volume.placement == VolumePlacement.BY_DIRECTORY and path != volume.root:
            name, _, _ = path.rpartition("/")
        data = name.encode("utf-8", "surrogateescape")
        return max(
            volume.shards,
            key=lambda shard: (xxhash.xxh64_intdigest(data, seed=shard + 1), shard),
        )

    def request_key(self, name: str, offset: int) -> int:
        """Return the key of an offset of an object, never 0."""
        block = offset // self.sizing.key_bytes
        data = f"{name}\0{block}".encode("utf-8", "surrogateescape")
        return xxhash.xxh64_intdigest(data) or 1
