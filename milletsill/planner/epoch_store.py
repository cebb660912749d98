"""Store the planner's epoch on disk in two alternating slots with checksums.

A torn write leaves the other slot intact. The store only has to ensure that no two runs
share an epoch, since grants and loans belong to one run (docs/planner.md). The upper 40
bits of an epoch count starts and the lower 24 are random, so that two planners that
start from copies of the same state still get different epochs.
"""

from __future__ import annotations

import os
import zlib
from random import Random
from struct import Struct

from milletsill.errors import StateNotStoredError

MAGIC = b"MEPO"
SLOT = Struct("<4sQI")  # magic, epoch, CRC-32 of both
SLOT_NAMES = ("epoch-a", "epoch-b")
CRC_BYTES = 4
RANDOM_BITS = 24
MAX_EPOCH = 1 << 62


class EpochNotStoredError(StateNotStoredError):
    """The epoch cannot be stored; the planner must not start without it."""

    remedy = (
        "free space in the planner's state_dir or make it writable, then restart it; "
        "the gateways continue with even shares"
    )


def read_slot(path: str) -> int:
    """Return the epoch in a slot; 0 if the slot is missing or invalid."""
    try:
        with open(path, "rb") as source:
            data = source.read(SLOT.size + 1)
    except OSError:
        return 0
    if len(data) != SLOT.size:
        return 0
    magic, epoch, crc = SLOT.unpack(data)
    if magic != MAGIC or crc != zlib.crc32(data[:-CRC_BYTES]):
        return 0
    return int(epoch) if epoch < MAX_EPOCH else 0


def next_epoch(folder: str, random: Random, min_epoch: int = 0) -> int:
    """Return a new epoch after writing it to disk.

    Args:
        folder: Directory of the slots; created if it does not exist.
        random: Source of the lower bits.
        min_epoch: The new epoch is greater than this and than the stored epochs.

    Raises:
        EpochNotStoredError: The epoch cannot be written.
    """
    try:
        os.makedirs(folder, exist_ok=True)
        stored = [read_slot(os.path.join(folder, name)) for name in SLOT_NAMES]
        starts = (max(*stored, min_epoch) >> RANDOM_BITS) + 1
        epoch = (starts << RANDOM_BITS) | random.getrandbits(RANDOM_BITS)
        older = SLOT_NAMES[stored.index(min(stored))]
        write_slot(os.path.join(folder, older), epoch)
        sync_folder(folder)
    except OSError as error:
        raise EpochNotStoredError(error.strerror or str(error), folder) from error
    return epoch


def write_slot(path: str, epoch: int) -> None:
    """Write a slot in place.

    An interrupted write leaves an invalid slot; the other slot stays valid.
    """
    payload = SLOT.pack(MAGIC, epoch, 0)[:-CRC_BYTES]
    with open(path, "wb") as sink:
        sink.write(payload + zlib.crc32(payload).to_bytes(CRC_BYTES, "little"))
        sink.flush()
        os.fsync(sink.fileno())


def sync_folder(folder: str) -> None:
    """Flush the directory entries of a folder to disk."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
