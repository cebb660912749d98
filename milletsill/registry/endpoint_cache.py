"""The last list on disk: a restarted gateway has it at once. Replaced whole, so a crash leaves the old or the new."""

from __future__ import annotations

import json
import os
import zlib

from milletsill.errors import StateNotStored
from milletsill.interface import Readiness
from milletsill.registry.endpoint_view import InvalidRegistryEntry, Box, box_of

FORMAT, MOST_BYTES = 1, 16_000_000


class EndpointCacheNotStored(StateNotStored):
    """The last list of boxes on disk, which cannot be read or written."""

    remedy = "make room in state_dir or make it writable; traffic goes on, a restart begins without a list until the registry answers"


def put(path: str, boxes: dict[str, Box], revision: int) -> None:
    """Write the list beside and move it into place; `ListUnkept` where the disk is full or refuses."""
    rows = {
        key: {
            "id": each.id,
            "address": each.address,
            "size": each.size,
            "kind": each.kind,
            "zone": each.zone,
            "cell": each.cell,
            "started": each.started,
            "state": "ready" if each.readiness is Readiness.READY else "draining",
        }
        for key, each in boxes.items()
    }
    body = json.dumps(
        {"format": FORMAT, "revision": revision, "boxes": rows}, sort_keys=True
    ).encode()
    beside = f"{path}.new"
    try:
        with open(beside, "wb") as sink:
            sink.write(b"%08x\n" % zlib.crc32(body) + body)
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(beside, path)
    except OSError as error:
        try:
            os.unlink(beside)
        except OSError:
            pass
        raise EndpointCacheNotStored(error.strerror or str(error), path) from None


def get(path: str) -> tuple[dict[str, Box], int]:
    """The list and its revision; empty where there is none; `ListUnkept` where it is torn."""
    try:
        with open(path, "rb") as source:
            data = source.read(MOST_BYTES + 1)
    except FileNotFoundError:
        return {}, 0
    except OSError as error:
        raise EndpointCacheNotStored(error.strerror or str(error), path) from None
    head, _, body = data.partition(b"\n")
    try:
        if len(data) > MOST_BYTES or int(head, 16) != zlib.crc32(body):
            raise EndpointCacheNotStored("checksum does not fit", path)
        held = json.loads(body)
        if held["format"] != FORMAT:
            raise EndpointCacheNotStored(
                f"format {held['format']}, {FORMAT} is read", path
            )
        return {key: box_of(value) for key, value in held["boxes"].items()}, int(
            held["revision"]
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        InvalidRegistryEntry,
    ) as error:
        raise EndpointCacheNotStored(str(error), path) from None
