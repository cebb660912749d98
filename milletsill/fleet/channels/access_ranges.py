"""Access ranges of a numbered request: the blocks of objects that it touches."""

from __future__ import annotations

from dataclasses import dataclass

LAST_BLOCK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class AccessRange:
    """A range of blocks of one object; by default all of its blocks.

    Attributes:
        object: Hash of the object's name.
        first: The first block.
        last: The last block, inclusive.
    """

    object: int
    first: int = 0
    last: int = LAST_BLOCK

    def overlaps(self, other: AccessRange) -> bool:
        """Whether the two ranges have a block in common."""
        return (
            self.object == other.object
            and self.first <= other.last
            and other.first <= self.last
        )


AccessRanges = tuple[AccessRange, ...]


def ranges_overlap(some: AccessRanges, others: AccessRanges) -> bool:
    """Whether any range of one request overlaps a range of the other."""
    return any(one.overlaps(other) for one in some for other in others)
