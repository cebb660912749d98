"""The planner's epoch on disk: two places written in turn, each with a checksum, so that a torn write leaves the other.

That no two runs share an epoch is all that must be kept: grants and promises are of one run (docs/planner.md). An epoch is a count
of starts in the upper 40 bits and chance in the lower 24, so that copies of one state that start at once differ all the same.
"""

from __future__ import annotations

import os
import zlib
from random import Random
from struct import Struct

from milletsill.errors import StateNotStored

PLACE, CHANCE_BITS, MOST = Struct("<4sQI"), 24, (1 << 62)
MAGIC, NAMES = b"MEPO", ("epoch-a", "epoch-b")


class EpochNotStored(StateNotStored):
    """An epoch that cannot be kept: a planner must not start without."""

    remedy = "make room in the planner's state_dir or make it writable, and start it again; the edges go on with even parts"


def read(path: str) -> int:
    """The epoch of one place; 0 for none, or one that is torn."""
    try:
        with open(path, "rb") as source:
            data = source.read(PLACE.size + 1)
    except OSError:
        return 0
    if len(data) != PLACE.size:
        return 0
    magic, epoch, crc = PLACE.unpack(data)
    return (
        epoch if magic == MAGIC and crc == zlib.crc32(data[:-4]) and epoch < MOST else 0
    )


def next_epoch(folder: str, chance: Random, least: int = 0) -> int:
    """A new epoch, past those kept and past `least`, on disk before it is given."""
    try:
        os.makedirs(folder, exist_ok=True)
        held = [read(os.path.join(folder, each)) for each in NAMES]
        epoch = (
            (max(*held, least) >> CHANCE_BITS) + 1 << CHANCE_BITS
        ) | chance.getrandbits(CHANCE_BITS)
        write(os.path.join(folder, NAMES[held.index(min(held))]), epoch)
        sync_folder(folder)
    except OSError as error:
        raise EpochNotStored(error.strerror or str(error), folder) from None
    return epoch


def write(path: str, epoch: int) -> None:
    """In place: whatever a cut leaves of it is not valid, and the other place stands."""
    head = PLACE.pack(MAGIC, epoch, 0)[:-4]
    with open(path, "wb") as sink:
        sink.write(head + zlib.crc32(head).to_bytes(4, "little"))
        sink.flush()
        os.fsync(sink.fileno())


def sync_folder(folder: str) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
