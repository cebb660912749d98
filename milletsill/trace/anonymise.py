"""Anonymises a trace: replaces names by keyed digests and drops free text."""

from __future__ import annotations

import hmac
from collections.abc import Iterator
from hashlib import blake2b
from typing import Any

from milletsill.trace.reader import ProgressCallback, TraceReader
from milletsill.trace.records import TraceRecord
from milletsill.trace.trace_file import TraceFile

DIGEST_HEX_DIGITS = 12
MAX_CACHED_NAMES = 100_000
KEPT_HEADER_FIELDS = ("seed", "opened", "wall_ms", "made")
# These kinds hold free text, which may contain names.
DROPPED_KINDS = ("remark", "plan")
# Indexes of the fields that hold names or free text.
ARRIVAL_VOLUME_INDEX = 3
ARRIVAL_PATH_INDEX = 12
COMMAND_VOLUME_INDEX = 2
COMMAND_REASON_INDEX = 10


class NameHasher:
    """Replaces names by keyed digests; equal names get equal digests under one key."""

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.cache: dict[str, str] = {}

    def hash(self, name: str) -> str:
        """Return the digest that replaces a name."""
        digest = self.cache.get(name)
        if digest is None:
            data = name.encode("utf-8", "surrogateescape")
            digest = hmac.new(self.key, data, blake2b_256).hexdigest()[
                :DIGEST_HEX_DIGITS
            ]
            if len(self.cache) < MAX_CACHED_NAMES:
                self.cache[name] = digest
        return digest

    def hash_path(self, path: str) -> str:
        """Return a path with each component replaced by its digest."""
        return "/".join(self.hash(part) if part else "" for part in path.split("/"))


def blake2b_256(data: bytes = b"") -> Any:
    """Return a 256-bit BLAKE2b hash object; `hmac` takes this as its `digestmod`."""
    return blake2b(data, digest_size=32)


def anonymise_trace(
    source: str, out: str, key: bytes, progress: ProgressCallback | None = None
) -> int:
    """Write a trace without its names to the new file `out`.

    Digests replace volume names and path components; they cannot be reversed without
    the key. Remarks, plans and reasons are omitted. The result is the number of records
    written.

    Raises:
        OSError: if a file cannot be read or written, or `out` exists.
        MalformedTraceError: if the source is not a trace.
    """
    hasher = NameHasher(key)
    with TraceReader(source, progress) as reader:
        header = anonymise_header(reader.contents.header, hasher)
        target = TraceFile(out, {**header, "anonymised": True})
        return target.write_all(anonymise_records(reader, hasher))


def anonymise_header(header: dict[str, Any], hasher: NameHasher) -> dict[str, Any]:
    """Return a header without names; numbers of the configuration are kept."""
    kept: dict[str, Any] = {
        name: header[name] for name in KEPT_HEADER_FIELDS if name in header
    }
    config = header.get("facts")
    if isinstance(config, dict):
        kept["facts"] = {
            name: [anonymise_entry(entry, hasher) for entry in value]
            if isinstance(value, list)
            else value
            for name, value in config.items()
        }
    return kept


def anonymise_entry(entry: Any, hasher: NameHasher) -> Any:
    """Return an entry of a configuration list with its name replaced by a digest."""
    if isinstance(entry, dict) and "name" in entry:
        return {**entry, "name": hasher.hash(str(entry["name"]))}
    return entry


def anonymise_records(reader: TraceReader, hasher: NameHasher) -> Iterator[TraceRecord]:
    """Yield the records of a trace with names replaced and free text dropped."""
    for at, kind, values in reader.records():
        if kind.name in DROPPED_KINDS:
            continue
        replaced = list(values)
        if kind.name == "arrival":
            replaced[ARRIVAL_PATH_INDEX] = hasher.hash_path(values[ARRIVAL_PATH_INDEX])
            replaced[ARRIVAL_VOLUME_INDEX] = hasher.hash(values[ARRIVAL_VOLUME_INDEX])
        elif kind.name == "command":
            replaced[COMMAND_VOLUME_INDEX] = hasher.hash(values[COMMAND_VOLUME_INDEX])
            replaced[COMMAND_REASON_INDEX] = ""
        yield at, kind, tuple(replaced)
