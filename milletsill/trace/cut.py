"""Cuts a part out of a trace. Memory is bounded by a block."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.reader import ProgressCallback, TraceReader
from milletsill.trace.record_filter import RecordFilter, select_requests
from milletsill.trace.records import BY_NAME
from milletsill.trace.trace_file import TraceFile

DISPATCHES = frozenset((BY_NAME["dispatch"].number,))


@dataclass(frozen=True, slots=True)
class CutResult:
    """What a cut did: records written, and bytes read of the source."""

    records: int
    bytes_read: int


def cut_trace(
    source: str,
    out: str,
    wanted: RecordFilter,
    progress: ProgressCallback | None = None,
) -> CutResult:
    """Write the wanted part of a trace to the new file `out`.

    Requests that arrived before `since` are left out of a cut by volume, class or node:
    their arrivals are not read.

    Raises:
        OSError: where a file cannot be read or written, or `out` is there already.
        MalformedTraceError: where the source is no trace.
    """
    with TraceReader(source, progress) as reader:
        header = {**reader.contents.header, "cut": wanted.to_stored()}
        target = TraceFile(out, header)
        sent_to_node = None
        if wanted.node is not None:
            sent_to_node = requests_sent_to_node(reader, wanted)
        records = reader.records(wanted.since, wanted.until, wanted.volume)
        if not wanted.keeps_all_requests:
            records = select_requests(records, wanted, sent_to_node)
        return CutResult(target.write_all(records), reader.contents.bytes_read)


def requests_sent_to_node(reader: TraceReader, wanted: RecordFilter) -> set[int]:
    """Return the ids of the requests sent to the wanted node in the wanted time."""
    records = reader.records(wanted.since, wanted.until, wanted.volume, DISPATCHES)
    return {values[0] for _, _, values in records if values[1] == wanted.node}


def find_request_class(source: str, request_class: str) -> int:
    """Return the place of a request class by its name in the header, or by number.

    Raises:
        MalformedTraceError: where there is no such class.
    """
    with TraceReader(source) as reader:
        config = reader.contents.header.get("facts")
        classes = config.get("categories", ()) if isinstance(config, dict) else ()
        names = [str(each.get("name")) for each in classes if isinstance(each, dict)]
    if request_class in names:
        return names.index(request_class)
    if request_class.isdecimal():
        return int(request_class)
    raise MalformedTraceError(
        f"no category {request_class!r}; there are {', '.join(names) or 'none named'}"
    )
