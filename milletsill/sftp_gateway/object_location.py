"""The location of an object's data, its form in links, and a location cache."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_SHARD_DIGITS = 9


@dataclass(frozen=True, slots=True)
class ObjectLocation:
    """Where an object's data is stored.

    Attributes:
        shard: the shard whose nodes store it; -1 while it is unknown.
        name: the object's name on the shard.
    """

    shard: int
    name: str


def format_location(location: ObjectLocation) -> str:
    """Return the link target of a location."""
    return f"{location.shard}:{location.name}"


def parse_location(target: str) -> ObjectLocation | None:
    """Return the location in a link's target, or None if the target is invalid."""
    shard, colon, name = target.partition(":")
    if not colon or not name:
        return None
    if not shard.isdecimal() or len(shard) > MAX_SHARD_DIGITS:
        return None
    return ObjectLocation(int(shard), name)


class LocationCache:
    """An LRU cache of the locations of objects with free placement, by path.

    A stale entry costs an additional request to the path's home shard, but never
    causes a wrong answer.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.entries = OrderedDict[str, ObjectLocation]()

    def get(self, path: str) -> ObjectLocation | None:
        """Return the cached location of a path, or None."""
        if path in self.entries:
            self.entries.move_to_end(path)
        return self.entries.get(path)

    def put(self, path: str, location: ObjectLocation) -> None:
        """Store the location of a path."""
        self.entries[path] = location
        self.entries.move_to_end(path)
        while len(self.entries) > self.capacity:
            self.entries.popitem(last=False)

    def drop(self, path: str) -> None:
        """Remove the cached location of a path."""
        self.entries.pop(path, None)
