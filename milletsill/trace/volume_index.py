"""Finds the blocks that hold a volume's records.

A file's volume index lists them exactly; the Bloom filters in the block headers may
include blocks without such records.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

import xxhash

from milletsill.trace.records import (
    REQUEST_KINDS,
    VOLUME_FIELD_INDEX,
    BlockHeader,
    TraceRecord,
)

MAX_INDEXED_VOLUMES = 1 << 16
MAX_TRACKED_REQUESTS = 1 << 16

FILTER_BITS = 256
FILTER_BYTES = FILTER_BITS // 8
FILTER_HASHES = 3
# In files of an earlier minor version a filter holds the volumes of arrivals only.
FIRST_MINOR_WITH_WHOLE_FILTERS = 1


def filter_bits(volume: str) -> list[int]:
    """Return the positions of the bits that a volume sets in a filter."""
    data = volume.encode("utf-8", "surrogateescape")
    return [
        xxhash.xxh32_intdigest(data, seed=seed) % FILTER_BITS
        for seed in range(FILTER_HASHES)
    ]


@lru_cache(maxsize=4096)
def filter_mask(volume: str) -> int:
    """Return the bits that a volume sets in a filter, as an integer."""
    return sum({1 << bit for bit in filter_bits(volume)})


def build_filter(volumes: Iterable[str]) -> bytes:
    """Return the Bloom filter of these volumes, `FILTER_HASHES` bits for each."""
    bits = 0
    for volume in set(volumes):
        bits |= filter_mask(volume)
    return bits.to_bytes(FILTER_BYTES, "little")


def may_contain(volume_filter: bytes, volume: str) -> bool:
    """Whether a block with this filter may hold records of the volume."""
    bits = int.from_bytes(volume_filter, "little")
    return all(bits >> bit & 1 for bit in filter_bits(volume))


class VolumeIndexBuilder:
    """Builds a file's volume index from its blocks, added one after another.

    Only the arrival of a request names its volume; the builder therefore keeps the
    volumes of the latest `MAX_TRACKED_REQUESTS` requests for their later records.

    Attributes:
        request_volumes: the volumes of the tracked requests, by request id.
        blocks: block numbers by volume, the file's index; None once there are more than
            `MAX_INDEXED_VOLUMES` volumes.
        block_count: number of blocks added so far.
    """

    def __init__(self) -> None:
        self.request_volumes: dict[int, str] = {}
        self.blocks: dict[str, list[int]] | None = {}
        self.block_count = 0

    def add_block(self, records: Sequence[TraceRecord]) -> set[str]:
        """Add the next block and return the volumes that its records concern."""
        found: set[str] = set()
        request_volumes = self.request_volumes
        for _, kind, values in records:
            number = kind.number
            if number in VOLUME_FIELD_INDEX:
                volume = values[VOLUME_FIELD_INDEX[number]]
                found.add(volume)
                if number in REQUEST_KINDS:
                    request_volumes[values[0]] = volume
            elif number in REQUEST_KINDS:
                volume = request_volumes.get(values[0])
                if volume is not None:
                    found.add(volume)
        while len(request_volumes) > MAX_TRACKED_REQUESTS:
            del request_volumes[next(iter(request_volumes))]
        self.add_to_index(found)
        return found

    def add_to_index(self, volumes: set[str]) -> None:
        """Add the volumes of the next block to the index."""
        if self.blocks is not None:
            for volume in volumes:
                self.blocks.setdefault(volume, []).append(self.block_count)
            if len(self.blocks) > MAX_INDEXED_VOLUMES:
                self.blocks = None
        self.block_count += 1

    def next_file(self) -> VolumeIndexBuilder:
        """Return a builder for the next file that shares the tracked requests."""
        builder = VolumeIndexBuilder()
        builder.request_volumes = self.request_volumes
        return builder


def select_blocks(
    blocks: Sequence[BlockHeader],
    volume: str,
    index: Mapping[str, Sequence[int]] | None,
    minor_version: int,
) -> list[BlockHeader]:
    """Return the blocks that may hold a volume's records.

    They come from the index, or from the filters if the file has no index. A filter of
    version 1.0 holds the volumes of arrivals only; later records of these requests may
    be in any block after the first match.
    """
    if index is not None:
        return [blocks[number] for number in index.get(volume, ())]
    found = [
        number
        for number, block in enumerate(blocks)
        if may_contain(block.volume_filter, volume)
    ]
    if minor_version < FIRST_MINOR_WITH_WHOLE_FILTERS:
        return list(blocks[found[0] :]) if found else []
    return [blocks[number] for number in found]
