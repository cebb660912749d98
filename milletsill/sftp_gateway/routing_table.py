"""Maps paths and commands to volumes, shards and request classes.

The table is built from the gateway's file and does no I/O afterwards.
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
    """How a volume places its objects; the values are those in the gateway's file."""

    HASHED = 0  # on the path's home shard
    FREE = 1  # on a shard that the scheduler chooses; the home shard has a link
    BY_DIRECTORY = 2  # on the home shard of their directory


@dataclass(frozen=True, slots=True)
class RoutedVolume:
    """The routing of one volume.

    Attributes:
        number: identifies the volume to the scheduler.
        name: the volume's name in the operator's file.
        root: canonical path of the volume's root.
        plan: index of its service plan in the file.
        shards: the volume's shards, in the order of the file.
        sharing_gateways: number of gateways that serve the volume.
        placement: a `VolumePlacement`.
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
    """Assigns matching commands to a request class.

    Attributes:
        operations: the operations that match; empty for all.
        volume: name of the volume that matches; empty for all.
        min_bytes: minimum size of the command's data.
        request_class: index of the request class in the file.
    """

    operations: frozenset[str]
    volume: str
    min_bytes: int
    request_class: int


@dataclass(frozen=True, slots=True)
class RequestSizing:
    """How sizes are converted to units, and offsets to keys.

    Attributes:
        unit_bytes: bytes per unit.
        max_units: maximum units of a request.
        key_bytes: size of the blocks of an object; the offsets in a block have
            the same key.
        metadata_units: units of a command that transfers no data.
    """

    unit_bytes: int
    max_units: int
    key_bytes: int
    metadata_units: float = DEFAULT_METADATA_UNITS


class RoutingTable:
    """The volumes by root, the ordered routes, and the sizing of requests."""

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
        """Maximum data size of a request, in bytes."""
        return self.sizing.unit_bytes * self.sizing.max_units

    def volume_of(self, path: str) -> RoutedVolume | None:
        """Return the volume of a canonical path, or None if it is in no volume."""
        parts = path.split("/")
        for end in range(2, len(parts) + 1):
            volume = self.volumes_by_root.get("/".join(parts[:end]))
            if volume is not None:
                return volume
        return None

    def volume_named(self, name: str) -> RoutedVolume | None:
        """Return the first volume with this name, or None if there is none."""
        volumes = self.volumes_by_root.values()
        return next((each for each in volumes if each.name == name), None)

    def names_below(self, path: str) -> list[str]:
        """Return the sorted child names of a path that is above volume roots."""
        start = path if path.endswith("/") else path + "/"
        return sorted(
            {
                root[len(start) :].split("/")[0]
                for root in self.volumes_by_root
                if root.startswith(start)
            }
        )

    def request_class(self, operation: str, volume: RoutedVolume, size: int) -> int:
        """Return the index of a command's request class.

        The first matching route decides; the last route matches every command.
        """
        return next(
            each.request_class
            for each in self.routes
            if (not each.operations or operation in each.operations)
            and each.volume in ("", volume.name)
            and size >= each.min_bytes
        )

    def units(self, operation: str, size: int) -> float:
        """Return the units of a command: at least one, at most those of the sizing.

        A command that transfers no data counts as a fraction of a unit. If it counted
        as a whole unit, the scheduler would learn that a unit takes almost no time,
        and every read would look like overload.
        """
        if operation not in DATA_OPERATIONS:
            return self.sizing.metadata_units
        units = max(ceil(size / self.sizing.unit_bytes), 1)
        return float(min(units, self.sizing.max_units))

    def home_shard(self, volume: RoutedVolume, path: str) -> int:
        """Return the home shard of a path, which is the same at every gateway.

        Rendezvous hashing ensures that a shard that joins or leaves a volume moves
        only the paths that it gains or loses.
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
        """Return the key of the block at an offset of an object; it is never 0."""
        block = offset // self.sizing.key_bytes
        data = f"{name}\0{block}".encode("utf-8", "surrogateescape")
        return xxhash.xxh64_intdigest(data) or 1
