"""What a numbered request touches: ranges of blocks of objects."""

from __future__ import annotations

from dataclasses import dataclass

LAST_BLOCK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class AccessRange:
    """Blocks of one object; by default all of them.

    Attributes:
        object: Hash of the object's name.
        first: The first block.
        last: The last block, inclusive.
    """

    object: int
    first: int = 0
    last: int = LAST_BLOCK

    def overlaps(self, other: AccessRange) -> bool:
        """Whether both have a block in common."""
        return (
            self.object == other.object
            and self.first <= other.last
            and other.first <= self.last
        )


AccessRanges = tuple[AccessRange, ...]


def ranges_overlap(some: AccessRanges, others: AccessRanges) -> bool:
    """Whether two requests touch the same extent."""
    return any(one.overlaps(other) for one in some for other in others)
