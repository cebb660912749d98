"""Selects the records that a cut of a trace keeps."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from milletsill.trace.records import (
    REQUEST_CLASS_FIELD_INDEX,
    REQUEST_KINDS,
    VOLUME_FIELD_INDEX,
    RecordKind,
    TraceRecord,
)
from milletsill.trace.volume_index import MAX_TRACKED_REQUESTS


@dataclass(frozen=True, slots=True)
class RecordFilter:
    """The records that a cut keeps; a field that is None restricts nothing.

    Attributes:
        since: inclusive lower bound of the records' times.
        until: exclusive upper bound of the records' times.
        volume: name of the requests' volume.
        request_class: index of the requests' class in the configuration.
        node: id of a node that the requests were sent to.
    """

    since: int | None = None
    until: int | None = None
    volume: str | None = None
    request_class: int | None = None
    node: int | None = None

    @property
    def keeps_all_requests(self) -> bool:
        """Whether the filter restricts times only."""
        return self.volume is None and self.request_class is None and self.node is None

    def to_stored(self) -> dict[str, int | str]:
        """Return the fields that are set, under their names in a trace's header."""
        fields = {
            "since": self.since,
            "until": self.until,
            "store": self.volume,
            "category": self.request_class,
            "box": self.node,
        }
        return {name: value for name, value in fields.items() if value is not None}

    def matches(self, kind: RecordKind, values: tuple[Any, ...]) -> bool:
        """Whether the filter keeps a record that names a volume and a class."""
        if (
            self.volume is not None
            and values[VOLUME_FIELD_INDEX[kind.number]] != self.volume
        ):
            return False
        if self.request_class is None:
            return True
        found: int = values[REQUEST_CLASS_FIELD_INDEX[kind.number]]
        return found == self.request_class


def select_requests(
    records: Iterable[TraceRecord],
    selection: RecordFilter,
    sent_to_node: set[int] | None,
) -> Iterator[TraceRecord]:
    """Yield the arrivals of the wanted requests, and all later records of these.

    `sent_to_node` holds the ids of the requests that were sent to the wanted node; None
    selects requests of all nodes.
    """
    request_ids: dict[int, None] = {}
    for record in records:
        _, kind, values = record
        if kind.number in REQUEST_CLASS_FIELD_INDEX:
            is_arrival = kind.number in REQUEST_KINDS
            if not selection.matches(kind, values):
                continue
            if sent_to_node is not None and not (
                is_arrival and values[0] in sent_to_node
            ):
                continue
            if is_arrival:
                request_ids[values[0]] = None
                while len(request_ids) > MAX_TRACKED_REQUESTS:
                    del request_ids[next(iter(request_ids))]
            yield record
        elif kind.number in REQUEST_KINDS and values[0] in request_ids:
            yield record
