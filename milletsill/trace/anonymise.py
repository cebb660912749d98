"""Replaces the names in a trace."""

from __future__ import annotations

import hmac
from collections.abc import Iterator
from hashlib import blake2b
from typing import Any

from milletsill.trace.reader import ProgressCallback, TraceReader
from milletsill.trace.records import TraceRecord
from milletsill.trace.trace_file import TraceFile

DIGEST_LETTERS = 12
MAX_CACHED_NAMES = 100_000
KEPT_HEADER_FIELDS = ("seed", "opened", "wall_ms", "made")
# Free text, which may hold names.
DROPPED_KINDS = ("remark", "plan")
# Places of the fields that hold names.
ARRIVAL_VOLUME = 3
ARRIVAL_PATH = 12
COMMAND_VOLUME = 2
COMMAND_REASON = 10


class NameHasher:
    """Replaces names by keyed digests: equal names stay equal under one key."""

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.cache: dict[str, str] = {}

    def hash(self, name: str) -> str:
        """Return what stands for a name."""
        found = self.cache.get(name)
        if found is None:
            data = name.encode("utf-8", "surrogateescape")
            found = hmac.new(self.key, data, blake2b_256).hexdigest()[:DIGEST_LETTERS]
            if len(self.cache) < MAX_CACHED_NAMES:
                self.cache[name] = found
        return found

    def hash_path(self, path: str) -> str:
        """Return what stands for a path; its depth stays."""
        return "/".join(self.hash(part) if part else "" for part in path.split("/"))


def blake2b_256(data: bytes = b"") -> Any:
    """Return a BLAKE2b hash of 256 bits, as `hmac` asks for it."""
    return blake2b(data, digest_size=32)


def anonymise_trace(
    source: str, out: str, key: bytes, progress: ProgressCallback | None = None
) -> int:
    """Write a trace to the new file `out` without its names; return the records.

    Names of volumes and parts of paths are replaced by digests, which nobody can
    trace back without the key; remarks, plans and reasons are left out.

    Raises:
        OSError: where a file cannot be read or written, or `out` is there already.
        MalformedTraceError: where the source is no trace.
    """
    hasher = NameHasher(key)
    with TraceReader(source, progress) as reader:
        header = anonymise_header(reader.contents.header, hasher)
        target = TraceFile(out, {**header, "anonymised": True})
        return target.write_all(anonymise_records(reader, hasher))


def anonymise_header(header: dict[str, Any], hasher: NameHasher) -> dict[str, Any]:
    """Return a header without names: figures of the configuration stay."""
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
    """Return an entry of a list in the configuration without its name."""
    if isinstance(entry, dict) and "name" in entry:
        return {**entry, "name": hasher.hash(str(entry["name"]))}
    return entry


def anonymise_records(reader: TraceReader, hasher: NameHasher) -> Iterator[TraceRecord]:
    """Yield the records of a trace without names."""
    for at, kind, values in reader.records():
        if kind.name in DROPPED_KINDS:
            continue
        replaced = list(values)
        if kind.name == "arrival":
            replaced[ARRIVAL_PATH] = hasher.hash_path(values[ARRIVAL_PATH])
            replaced[ARRIVAL_VOLUME] = hasher.hash(values[ARRIVAL_VOLUME])
        elif kind.name == "command":
            replaced[COMMAND_VOLUME] = hasher.hash(values[COMMAND_VOLUME])
            replaced[COMMAND_REASON] = ""
        yield at, kind, tuple(replaced)
