"""The last endpoint list on disk, which a restarted gateway uses at once.

The file is replaced atomically, so that a crash leaves either the old list or the new.
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

FORMAT_VERSION = 1
MAX_FILE_BYTES = 16_000_000


class EndpointCacheNotStoredError(StateNotStoredError):
    """The endpoint list on disk cannot be read or written."""

    remedy = (
        "free space in state_dir or make it writable; traffic continues, but after a "
        "restart the gateway has no list until the registry answers"
    )


def write_cache(path: str, nodes: Mapping[str, RegisteredNode], revision: int) -> None:
    """Write the list to a temporary file and rename it to the path.

    Raises:
        EndpointCacheNotStoredError: The file cannot be written.
    """
    rows = {key: _encode_node(node) for key, node in nodes.items()}
    body = json.dumps(
        {"format": FORMAT_VERSION, "revision": revision, "boxes": rows}, sort_keys=True
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
    """Return the list and its revision; empty and 0 if there is no file.

    Raises:
        EndpointCacheNotStoredError: The file cannot be read, is damaged or has another
            format.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
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


def _encode_node(node: RegisteredNode) -> dict[str, int | float | str]:
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
    if len(data) > MAX_FILE_BYTES or int(checksum, 16) != zlib.crc32(body):
        raise EndpointCacheNotStoredError(
            f"checksum mismatch, or more than {MAX_FILE_BYTES} bytes", path
        )
    stored = json.loads(body)
    if stored["format"] != FORMAT_VERSION:
        raise EndpointCacheNotStoredError(
            f"format {stored['format']}, expected {FORMAT_VERSION}", path
        )
    nodes = {
        key: parse_registered_node(value) for key, value in stored["boxes"].items()
    }
    return nodes, int(stored["revision"])
