"""The planner's epoch on disk: two slots written in turn, each with a checksum.

A torn write leaves the other slot. That no two runs share an epoch is all that must be
kept: grants and loans are of one run (docs/planner.md). An epoch is a count of starts
in the upper 40 bits and chance in the lower 24, so that copies of one state that start
at once differ all the same.
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
    """An epoch that cannot be kept: a planner must not start without."""

    remedy = (
        "make room in the planner's state_dir or make it writable, and start it again; "
        "the gateways go on with even shares"
    )


def read_slot(path: str) -> int:
    """Return the epoch of one slot; 0 for none, or one that is torn."""
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


def next_epoch(folder: str, random: Random, least: int = 0) -> int:
    """Return a new epoch, on disk before it is returned.

    Args:
        folder: Where the epochs are kept; made if it is not there.
        random: For the lower bits.
        least: The new epoch is past this and past those kept.

    Raises:
        EpochNotStoredError: It cannot be written.
    """
    try:
        os.makedirs(folder, exist_ok=True)
        stored = [read_slot(os.path.join(folder, name)) for name in SLOT_NAMES]
        starts = (max(*stored, least) >> RANDOM_BITS) + 1
        epoch = (starts << RANDOM_BITS) | random.getrandbits(RANDOM_BITS)
        older = SLOT_NAMES[stored.index(min(stored))]
        write_slot(os.path.join(folder, older), epoch)
        sync_folder(folder)
    except OSError as error:
        raise EpochNotStoredError(error.strerror or str(error), folder) from error
    return epoch


def write_slot(path: str, epoch: int) -> None:
    """Write in place: what a cut leaves is not valid, and the other slot stands."""
    head = SLOT.pack(MAGIC, epoch, 0)[:-CRC_BYTES]
    with open(path, "wb") as sink:
        sink.write(head + zlib.crc32(head).to_bytes(CRC_BYTES, "little"))
        sink.flush()
        os.fsync(sink.fileno())


def sync_folder(folder: str) -> None:
    """Make the entries of a folder durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
