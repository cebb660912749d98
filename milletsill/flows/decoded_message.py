"""The result of decoding a message."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

from milletsill.flows.templates import FieldValue

DecodedValues: TypeAlias = dict[str, FieldValue]
"""Values by the names of their information elements."""


@dataclass(frozen=True, slots=True)
class DecodedRecord:
    """One record; `scope_count` is 0 for a record that is not an options record."""

    template_id: int
    scope_count: int
    values: DecodedValues


@dataclass(slots=True)
class DecodedMessage:
    """One message of an exporting process."""

    export_time: int
    sequence: int
    domain: int
    records: list[DecodedRecord] = field(default_factory=list)
    template_count: int = 0
    unknown_sets: int = 0
    """Number of data sets whose template is unknown: not received yet, or expired."""


class MessageDecoder(Protocol):
    """Decodes the messages of one transport session."""

    def decode(self, octets: bytes, now: float) -> DecodedMessage:
        """Decode one complete message; `now` is a monotonic time in seconds.

        Raises:
            MalformedFlowMessageError: The message is malformed.
        """
