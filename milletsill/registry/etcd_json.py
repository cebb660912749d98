"""The registry's JSON: etcd v3's gateway wraps gRPC messages, keys and values in base64, 64-bit numbers as strings.

Source: etcd's api-reference for the gRPC gateway (`/v3/kv/range`, `/v3/watch`). `Lines` cuts a streamed body into its
objects, one a line, bounded.
"""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable
from typing import Any

from milletsill.errors import MalformedInput
from milletsill.registry.endpoint_view import InvalidRegistryEntry, Box, Told, box_of


class MalformedRegistryAnswer(MalformedInput):
    """An answer of the registry that its protocol does not allow."""

    remedy = "see that registry.address leads to etcd's JSON gateway (v3); the list that was known stands meanwhile"


def encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def decoded(value: Any, what: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, TypeError, ValueError):
        raise MalformedRegistryAnswer(f"{what} is not base64") from None


def number(value: Any, what: str) -> int:
    """A 64-bit number, which JSON carries as a string."""
    try:
        return int(value or 0)
    except (TypeError, ValueError):
        raise MalformedRegistryAnswer(
            f"{what} {str(value)[:40]!r} is not a number"
        ) from None


def after(prefix: str) -> str:
    """The first key behind all that start with the prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def range_body(prefix: str) -> bytes:
    return json.dumps(
        {"key": encoded(prefix), "range_end": encoded(after(prefix))}
    ).encode()


def newest_body(prefix: str) -> bytes:
    """Asks only for the key that was changed last, without its value; the answer counts all."""
    return json.dumps(
        {
            "key": encoded(prefix),
            "range_end": encoded(after(prefix)),
            "limit": "1",
            "keys_only": True,
            "sort_order": "DESCEND",
            "sort_target": "MOD",
        }
    ).encode()


def watch_body(prefix: str, revision: int) -> bytes:
    return json.dumps(
        {
            "create_request": {
                "key": encoded(prefix),
                "range_end": encoded(after(prefix)),
                "start_revision": str(revision),
                "progress_notify": True,
            }
        }
    ).encode()


def parsed(data: bytes, what: str) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        raise MalformedRegistryAnswer(f"{what} is not JSON") from None
    if not isinstance(value, dict):
        raise MalformedRegistryAnswer(f"{what} is not a JSON object")
    return value


def pair(kv: Any) -> tuple[str, bytes, int]:
    """Key, value and the revision of the last change of one pair."""
    if not isinstance(kv, dict):
        raise MalformedRegistryAnswer("a pair is not a JSON object")
    key = decoded(kv.get("key", ""), "a key").decode("utf-8", "replace")
    return (
        key,
        decoded(kv.get("value", ""), "a value"),
        number(kv.get("mod_revision"), "a revision"),
    )


def read_box(key: str, value: bytes, complain: Callable[[str], None]) -> Box | None:
    """The box of one value; one that makes no sense is left out, and said."""
    try:
        return box_of(json.loads(value))
    except (InvalidRegistryEntry, ValueError, RecursionError) as error:
        fault = (
            error
            if isinstance(error, InvalidRegistryEntry)
            else InvalidRegistryEntry("not JSON")
        )
        complain(fault.with_location(key[:200]).describe())
        return None


def read_range(
    data: bytes, complain: Callable[[str], None]
) -> tuple[dict[str, Box], int]:
    """Boxes by key, and the revision they are at."""
    body = parsed(data, "the list")
    header, kvs = body.get("header"), body.get("kvs") or []
    if not isinstance(header, dict) or not isinstance(kvs, list):
        raise MalformedRegistryAnswer("the list has no header or pairs")
    boxes = {
        key: box
        for key, value, _ in map(pair, kvs)
        if (box := read_box(key, value, complain)) is not None
    }
    return boxes, number(header.get("revision"), "a revision")


def head_of(header: Any) -> tuple[str, int]:
    """The cluster's id, which a restore changes, and the registry's revision; nothing for what is not said."""
    if not isinstance(header, dict):
        return "", 0
    return str(header.get("cluster_id") or "")[:40], number(
        header.get("revision"), "a revision"
    )


def read_keys(data: bytes) -> tuple[list[str], str]:
    """All keys of a list, also those whose value describes no box, and the cluster's id."""
    body = parsed(data, "the list")
    return [pair(kv)[0] for kv in body.get("kvs") or []], head_of(body.get("header"))[0]


def read_newest(data: bytes) -> tuple[int, int, tuple[str, int]]:
    """The newest change of a key that is there, how many are, and how far the registry is itself."""
    body = parsed(data, "the list")
    header, kvs = body.get("header"), body.get("kvs") or []
    if not isinstance(header, dict) or not isinstance(kvs, list):
        raise MalformedRegistryAnswer("the list has no header or pairs")
    return (
        max((pair(kv)[2] for kv in kvs), default=0),
        number(body.get("count"), "a count"),
        head_of(header),
    )


def read_watch(
    line: bytes, complain: Callable[[str], None]
) -> tuple[list[Told], int, tuple[str, int] | None, bool]:
    """One message of a watch: changes, its newest revision, how far the registry is itself where it opens, whether the past was
    compacted.
    """
    body = parsed(line, "a watch message")
    result = body.get("result")
    if not isinstance(result, dict):
        raise MalformedRegistryAnswer(
            f"the watch says {json.dumps(body.get('error'))[:200]}"
        )
    if result.get("canceled"):
        if number(result.get("compact_revision"), "a revision"):
            return [], 0, None, True
        raise MalformedRegistryAnswer(
            f"the watch was ended: {str(result.get('cancel_reason', ''))[:200]}"
        )
    changes, newest = [], 0
    for event in result.get("events") or []:
        if not isinstance(event, dict):
            raise MalformedRegistryAnswer("an event is not a JSON object")
        key, value, revision = pair(event.get("kv"))
        newest = max(newest, revision)
        gone = event.get("type") == "DELETE"
        box = None if gone else read_box(key, value, complain)
        changes.append(Told(key, box, revision, not gone and box is None))
    return (
        changes,
        newest,
        head_of(result.get("header")) if result.get("created") else None,
        False,
    )


class Lines:
    """A streamed body as lines; one past `most` bytes breaks it."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, b""

    def feed(self, data: bytes) -> list[bytes]:
        *whole, self.held = (self.held + data).split(b"\n")
        if len(self.held) > self.most or any(len(each) > self.most for each in whole):
            raise MalformedRegistryAnswer(f"a line of more than {self.most} bytes")
        return [each for each in whole if each.strip()]
