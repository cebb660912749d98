"""The last endpoint list on disk: a restarted gateway has it at once.

The file is replaced whole, so that a crash leaves the old one or the new.
"""

from __future__ import annotations

import json
import os
import zlib
from collections.abc import Mapping
from contextlib import suppress

from milletsill.errors import StateNotStoredError
from milletsill.interface import Readiness
from milletsill.registry.registered_node import (
    InvalidRegistryEntryError,
    RegisteredNode,
    parse_registered_node,
)

FORMAT = 1
MAX_FILE = 16_000_000  # octets


class EndpointCacheNotStoredError(StateNotStoredError):
    """The last list of boxes on disk, which cannot be read or written."""

    remedy = (
        "make room in state_dir or make it writable; traffic goes on, a restart begins "
        "without a list until the registry answers"
    )


def write_cache(path: str, nodes: Mapping[str, RegisteredNode], revision: int) -> None:
    """Write the list beside the file and move it into place.

    Raises:
        EndpointCacheNotStoredError: the disk is full or refuses.
    """
    rows = {key: _row(node) for key, node in nodes.items()}
    body = json.dumps(
        {"format": FORMAT, "revision": revision, "boxes": rows}, sort_keys=True
    ).encode()
    temporary = f"{path}.new"
    try:
        with open(temporary, "wb") as file:
            file.write(b"%08x\n" % zlib.crc32(body) + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError as error:
        with suppress(OSError):
            os.unlink(temporary)
        raise EndpointCacheNotStoredError(error.strerror or str(error), path) from error


def read_cache(path: str) -> tuple[dict[str, RegisteredNode], int]:
    """Return the list and its revision; empty and 0 where there is none.

    Raises:
        EndpointCacheNotStoredError: it cannot be read, is torn or of another format.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE + 1)
    except FileNotFoundError:
        return {}, 0
    except OSError as error:
        raise EndpointCacheNotStoredError(error.strerror or str(error), path) from error
    try:
        return _parse(data, path)
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        InvalidRegistryEntryError,
    ) as error:
        raise EndpointCacheNotStoredError(str(error), path) from error


def _row(node: RegisteredNode) -> dict[str, int | float | str]:
    return {
        "id": node.id,
        "address": node.address,
        "size": node.size,
        "kind": node.kind,
        "zone": node.zone,
        "cell": node.shard,
        "started": node.started_ms,
        "state": "ready" if node.readiness is Readiness.READY else "draining",
    }


def _parse(data: bytes, path: str) -> tuple[dict[str, RegisteredNode], int]:
    checksum, _, body = data.partition(b"\n")
    if len(data) > MAX_FILE or int(checksum, 16) != zlib.crc32(body):
        raise EndpointCacheNotStoredError("checksum does not fit", path)
    stored = json.loads(body)
    if stored["format"] != FORMAT:
        raise EndpointCacheNotStoredError(
            f"format {stored['format']}, {FORMAT} is read", path
        )
    nodes = {
        key: parse_registered_node(value) for key, value in stored["boxes"].items()
    }
    return nodes, int(stored["revision"])
