"""Encode and decode the JSON messages of etcd v3's gRPC gateway.

The gateway maps gRPC messages to JSON: keys and values are base64, 64-bit numbers are
strings. Source: etcd's API reference for the gRPC gateway (`/v3/kv/range`,
`/v3/watch`).
"""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from milletsill.errors import MalformedInputError
from milletsill.registry.endpoint_view import KeyChange
from milletsill.registry.registered_node import (
    InvalidRegistryEntryError,
    RegisteredNode,
    parse_registered_node,
)
from milletsill.registry.watch_state import RegistryHead

MAX_QUOTED_CHARS = 200
MAX_CLUSTER_ID = 40


class MalformedRegistryAnswerError(MalformedInputError):
    """The registry's answer violates its protocol."""

    remedy = (
        "check that registry.address is the address of etcd's JSON gateway (v3); "
        "the gateway keeps the last known list meanwhile"
    )


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key, its value, and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class EndpointList:
    """The complete list.

    Attributes:
        nodes: The nodes by key, without values that do not describe a node.
        keys: All keys, including those of such values.
        head: The cluster, and the revision of the list.
    """

    nodes: dict[str, RegisteredNode]
    keys: Sequence[str]
    head: RegistryHead


@dataclass(frozen=True, slots=True)
class NewestKey:
    """The newest change among the existing keys.

    Attributes:
        revision: Revision of that change; 0 if there are no keys.
        key_count: Number of existing keys.
        head: The registry's cluster and newest revision.
    """

    revision: int
    key_count: int
    head: RegistryHead


@dataclass(frozen=True, slots=True)
class WatchMessage:
    """One message of a watch.

    Attributes:
        changes: The changes in order.
        revision: The newest revision among them.
        opened: The registry's head if this message opens the watch.
        compacted: Whether the registry has compacted the revision from which the
            watch should start.
    """

    changes: Sequence[KeyChange] = ()
    revision: int = 0
    opened: RegistryHead | None = None
    compacted: bool = False


def encode_text(text: str) -> str:
    """Return a text encoded in base64."""
    return base64.b64encode(text.encode()).decode()


def list_request(prefix: str) -> bytes:
    """Return the range request for all keys with a prefix."""
    return json.dumps(_key_range(prefix)).encode()


def newest_key_request(prefix: str) -> bytes:
    """Return the range request for the most recently changed key, without its value.

    The answer also counts all keys with the prefix.
    """
    return json.dumps(
        {
            **_key_range(prefix),
            "limit": "1",
            "keys_only": True,
            "sort_order": "DESCEND",
            "sort_target": "MOD",
        }
    ).encode()


def watch_request(prefix: str, revision: int) -> bytes:
    """Return the request to watch all keys with a prefix, starting at a revision."""
    return json.dumps(
        {
            "create_request": {
                **_key_range(prefix),
                "start_revision": str(revision),
                "progress_notify": True,
            }
        }
    ).encode()


def parse_list(data: bytes, log_invalid: Callable[[str], None]) -> EndpointList:
    """Parse the answer to `list_request`.

    Args:
        data: The answer.
        log_invalid: Logs each value that does not describe a node.

    Raises:
        MalformedRegistryAnswerError: The answer is malformed. The other parsers of
            this module raise it likewise.
    """
    header, pairs = _parse_range(data)
    nodes: dict[str, RegisteredNode] = {}
    for pair in pairs:
        node = _parse_node(pair, log_invalid)
        if node is not None:
            nodes[pair.key] = node
    head = RegistryHead(
        _parse_head(header).cluster, _number(header.get("revision"), "a revision")
    )
    return EndpointList(nodes, [pair.key for pair in pairs], head)


def parse_newest_key(data: bytes) -> NewestKey:
    """Parse the answer to `newest_key_request`."""
    body = _parse_object(data, "the list")
    header, pairs = _parse_range(data)
    revision = max((pair.revision for pair in pairs), default=0)
    key_count = _number(body.get("count"), "a count")
    return NewestKey(revision, key_count, _parse_head(header))


def parse_watch_message(
    line: bytes, log_invalid: Callable[[str], None]
) -> WatchMessage:
    """Parse a watch message; `log_invalid` logs each value that is not a node."""
    body = _parse_object(line, "a watch message")
    result = body.get("result")
    if not isinstance(result, dict):
        error = json.dumps(body.get("error"))[:MAX_QUOTED_CHARS]
        raise MalformedRegistryAnswerError(
            f"watch message without a result, error {error}"
        )
    if result.get("canceled"):
        if _number(result.get("compact_revision"), "a revision"):
            return WatchMessage(compacted=True)
        reason = str(result.get("cancel_reason", ""))[:MAX_QUOTED_CHARS]
        raise MalformedRegistryAnswerError(
            f"the registry cancelled the watch: {reason}"
        )
    changes = []
    revision = 0
    for event in result.get("events") or []:
        change = _parse_event(event, log_invalid)
        changes.append(change)
        revision = max(revision, change.revision)
    opened = _parse_head(result.get("header")) if result.get("created") else None
    return WatchMessage(changes, revision, opened)


def _key_range(prefix: str) -> dict[str, str]:
    """Return the key range of a prefix; its end is the first key after the range."""
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {"key": encode_text(prefix), "range_end": encode_text(end)}


def _parse_object(data: bytes, what: str) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        raise MalformedRegistryAnswerError(f"{what} is not JSON") from None
    if not isinstance(value, dict):
        raise MalformedRegistryAnswerError(f"{what} is not a JSON object")
    return value


def _parse_range(data: bytes) -> tuple[dict[str, Any], list[KeyValue]]:
    """Return the header and key-value pairs in the answer to a range request."""
    body = _parse_object(data, "the list")
    header = body.get("header")
    pairs = body.get("kvs") or []
    if not isinstance(header, dict) or not isinstance(pairs, list):
        raise MalformedRegistryAnswerError(
            "the list has no header object or no array of key-value pairs"
        )
    return header, [_parse_pair(pair) for pair in pairs]


def _parse_pair(pair: Any) -> KeyValue:
    if not isinstance(pair, dict):
        raise MalformedRegistryAnswerError("a key-value pair is not a JSON object")
    key = _decode(pair.get("key", ""), "a key").decode("utf-8", "replace")
    value = _decode(pair.get("value", ""), "a value")
    return KeyValue(key, value, _number(pair.get("mod_revision"), "a revision"))


def _parse_node(
    pair: KeyValue, log_invalid: Callable[[str], None]
) -> RegisteredNode | None:
    """Return the node that a value describes, or None if it is invalid."""
    try:
        return parse_registered_node(json.loads(pair.value))
    except InvalidRegistryEntryError as error:
        invalid = error
    except (ValueError, RecursionError):
        invalid = InvalidRegistryEntryError("value is not JSON")
    log_invalid(invalid.with_location(pair.key[:MAX_QUOTED_CHARS]).describe())
    return None


def _parse_event(event: Any, log_invalid: Callable[[str], None]) -> KeyChange:
    if not isinstance(event, dict):
        raise MalformedRegistryAnswerError("an event is not a JSON object")
    pair = _parse_pair(event.get("kv"))
    if event.get("type") == "DELETE":
        return KeyChange(pair.key, None, pair.revision)
    node = _parse_node(pair, log_invalid)
    return KeyChange(pair.key, node, pair.revision, invalid=node is None)


def _parse_head(header: Any) -> RegistryHead:
    if not isinstance(header, dict):
        return RegistryHead()
    cluster = str(header.get("cluster_id") or "")[:MAX_CLUSTER_ID]
    return RegistryHead(cluster, _number(header.get("revision"), "a revision"))


def _decode(value: Any, what: str) -> bytes:
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, TypeError, ValueError):
        raise MalformedRegistryAnswerError(f"{what} is not base64") from None


def _number(value: Any, what: str) -> int:
    """Return a 64-bit number, which the JSON mapping encodes as a string."""
    try:
        return int(value or 0)
    except (TypeError, ValueError):
        shown = str(value)[:40]
        raise MalformedRegistryAnswerError(
            f"{what} {shown!r} is not a number"
        ) from None
