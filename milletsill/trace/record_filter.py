"""Which records a cut of a trace keeps."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from milletsill.trace.records import (
    REQUEST_CLASS_PLACE,
    REQUEST_KINDS,
    VOLUME_PLACE,
    RecordKind,
    TraceRecord,
)
from milletsill.trace.volume_index import MAX_TRACKED_REQUESTS


@dataclass(frozen=True, slots=True)
class RecordFilter:
    """What a cut keeps; None for all.

    Attributes:
        since: earliest time of a record.
        until: time that all records are before.
        volume: name of the volume of the requests.
        request_class: place of the requests' class in the configuration.
        node: id of a node that the requests were sent to.
    """

    since: int | None = None
    until: int | None = None
    volume: str | None = None
    request_class: int | None = None
    node: int | None = None

    @property
    def keeps_all_requests(self) -> bool:
        """Whether only the times are bounded."""
        return self.volume is None and self.request_class is None and self.node is None

    def to_stored(self) -> dict[str, int | str]:
        """Return what is set, by the names in a trace's header."""
        fields = {
            "since": self.since,
            "until": self.until,
            "store": self.volume,
            "category": self.request_class,
            "box": self.node,
        }
        return {name: value for name, value in fields.items() if value is not None}

    def matches(self, kind: RecordKind, values: tuple[Any, ...]) -> bool:
        """Whether a record that names a volume and a class is kept."""
        if self.volume is not None and values[VOLUME_PLACE[kind.number]] != self.volume:
            return False
        if self.request_class is None:
            return True
        found: int = values[REQUEST_CLASS_PLACE[kind.number]]
        return found == self.request_class


def select_requests(
    records: Iterable[TraceRecord],
    wanted: RecordFilter,
    sent_to_node: set[int] | None,
) -> Iterator[TraceRecord]:
    """Yield the arrivals of the wanted requests, and all later records of them.

    `sent_to_node` holds the ids of the requests that were sent to the wanted node; None
    where no node is asked for.
    """
    request_ids: dict[int, None] = {}
    for record in records:
        _, kind, values = record
        if kind.number in REQUEST_CLASS_PLACE:
            is_arrival = kind.number in REQUEST_KINDS
            if not wanted.matches(kind, values):
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
