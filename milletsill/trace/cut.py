"""Extracts a part of a trace into a new file.

It holds the records of one block at a time, and the ids of the selected requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.reader import ProgressCallback, TraceReader
from milletsill.trace.record_filter import RecordFilter, select_requests
from milletsill.trace.records import BY_NAME
from milletsill.trace.trace_file import TraceFile

DISPATCH_KINDS = frozenset((BY_NAME["dispatch"].number,))


@dataclass(frozen=True, slots=True)
class CutResult:
    """The result of a cut: records written, and bytes read from the source."""

    records: int
    bytes_read: int


def cut_trace(
    source: str,
    out: str,
    selection: RecordFilter,
    progress: ProgressCallback | None = None,
) -> CutResult:
    """Write the wanted part of a trace to the new file `out`.

    A cut by volume, class or node omits requests that arrived before `since`, because
    it does not read their arrivals.

    Raises:
        OSError: if a file cannot be read or written, or `out` exists.
        MalformedTraceError: if the source is not a trace.
    """
    with TraceReader(source, progress) as reader:
        header = {**reader.contents.header, "cut": selection.to_stored()}
        target = TraceFile(out, header)
        sent_to_node = None
        if selection.node is not None:
            sent_to_node = requests_sent_to_node(reader, selection)
        records = reader.records(selection.since, selection.until, selection.volume)
        if not selection.keeps_all_requests:
            records = select_requests(records, selection, sent_to_node)
        return CutResult(target.write_all(records), reader.contents.bytes_read)


def requests_sent_to_node(reader: TraceReader, selection: RecordFilter) -> set[int]:
    """Return the ids of the requests sent to the wanted node in the time range."""
    records = reader.records(
        selection.since, selection.until, selection.volume, DISPATCH_KINDS
    )
    return {values[0] for _, _, values in records if values[1] == selection.node}


def find_request_class(source: str, request_class: str) -> int:
    """Return the index of a request class, given by its name or as a decimal number.

    Raises:
        MalformedTraceError: if the header has no such class.
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
        f"the header has no category {request_class!r}; "
        f"its named categories: {', '.join(names) or 'none'}"
    )
