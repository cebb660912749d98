"""Where the bytes of an object lie, as links name it, and a cache of such places."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_SHARD_DIGITS = 9


@dataclass(frozen=True, slots=True)
class ObjectLocation:
    """Where an object's bytes lie.

    Attributes:
        shard: the shard whose nodes hold it; -1 while it is not known yet.
        name: the object's name there.
    """

    shard: int
    name: str


def format_location(location: ObjectLocation) -> str:
    """Return a location as the target of a link."""
    return f"{location.shard}:{location.name}"


def parse_location(target: str) -> ObjectLocation | None:
    """Return the location that a link's target names, None where it names none."""
    shard, colon, name = target.partition(":")
    if not colon or not name:
        return None
    if not shard.isdecimal() or len(shard) > MAX_SHARD_DIGITS:
        return None
    return ObjectLocation(int(shard), name)


class LocationCache:
    """Where new objects were last seen, by path.

    Bounded: the least recently used leaves. A stale entry costs a look at the path's
    home shard, never a wrong answer.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.entries = OrderedDict[str, ObjectLocation]()

    def get(self, path: str) -> ObjectLocation | None:
        """Return the location of a path, None where it is not known."""
        if path in self.entries:
            self.entries.move_to_end(path)
        return self.entries.get(path)

    def put(self, path: str, location: ObjectLocation) -> None:
        """Remember a location."""
        self.entries[path] = location
        self.entries.move_to_end(path)
        while len(self.entries) > self.capacity:
            self.entries.popitem(last=False)

    def drop(self, path: str) -> None:
        """Forget the location of a path."""
        self.entries.pop(path, None)
