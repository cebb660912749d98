"""Templates of the exported records, and the reasons for the end of a flow."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from milletsill.flows.information_elements import ELEMENTS, InformationElement

FieldValue: TypeAlias = int | float | str
"""A value to encode: a number, a text or a dotted IPv4 address."""


class FlowEndReason(IntEnum):
    """Values of flowEndReason (IANA)."""

    IDLE_TIMEOUT = 1
    ACTIVE_TIMEOUT = 2
    END_OF_FLOW = 3
    FORCED_END = 4
    LACK_OF_RESOURCES = 5


@dataclass(frozen=True, slots=True)
class Template:
    """The ordered fields of a kind of record.

    In an options template, the first `scope_count` fields are the scope; 0 means that
    it is a template of data records.
    """

    id: int
    name: str
    elements: tuple[InformationElement, ...]
    scope_count: int = 0


@dataclass(frozen=True, slots=True)
class DataRecord:
    """The values of one record, in the order of its template's elements."""

    template: Template
    values: tuple[FieldValue, ...]


def _template(id: int, name: str, names: str, scope_count: int = 0) -> Template:
    elements = tuple(ELEMENTS[each] for each in names.split())
    return Template(id, name, elements, scope_count)


_ENDPOINTS = (
    "sourceIPv4Address destinationIPv4Address sourceTransportPort "
    "destinationTransportPort protocolIdentifier"
)
_FLOW_TIMES = "flowStartMilliseconds flowEndMilliseconds flowEndReason"
_COUNTS = (
    "octetDeltaCount packetDeltaCount reverseOctetDeltaCount reversePacketDeltaCount"
)
_DURATIONS = "timeSumMicroseconds timeMaxMicroseconds"
# A template id keeps its meaning within a major version; new fields need a new id.
CLIENT_FLOW = _template(
    256,
    "client flow",
    f"{_ENDPOINTS} {_FLOW_TIMES} {_COUNTS} commandDeltaCount satisfiedDeltaCount "
    f"declinedDeltaCount abortedDeltaCount abandonedDeltaCount {_DURATIONS} "
    "storeName planName categoryName",
)
NODE_FLOW = _template(
    257,
    "node flow",
    f"{_ENDPOINTS} {_FLOW_TIMES} {_COUNTS} dispatchDeltaCount furtherDeltaCount "
    f"{_DURATIONS} boxId storeName categoryName dispatchOutcome",
)
COMMAND_RECORD = _template(
    258,
    "command",
    f"{_ENDPOINTS} {_FLOW_TIMES} {_COUNTS} timeSumMicroseconds storeName planName "
    "categoryName finalAnswer",
)
ELEMENT_TYPE = _template(
    259,
    "element type",
    "privateEnterpriseNumber informationElementId informationElementDataType "
    "informationElementSemantics informationElementName "
    "informationElementDescription",
    2,
)
RELIABILITY = _template(
    260,
    "reliability",
    "observationDomainId exportingProcessId gatewayName exportedMessageTotalCount "
    "exportedFlowRecordTotalCount exportedOctetTotalCount notSentFlowTotalCount "
    "notSentPacketTotalCount notSentOctetTotalCount exportedCommandTotalCount "
    "droppedCommandTotalCount notMeteredCommandTotalCount exportedDispatchTotalCount "
    "droppedDispatchTotalCount notMeteredDispatchTotalCount "
    "evictedFlowTotalCount dropCause",
    2,
)
SAMPLING = _template(
    261,
    "selection",
    "selectionSequenceId selectorId selectorAlgorithm samplingPacketInterval "
    "samplingPacketSpace selectorIdTotalPktsObserved "
    "selectorIdTotalPktsSelected meteringLevel",
    1,
)
TEMPLATES = (
    CLIENT_FLOW,
    NODE_FLOW,
    COMMAND_RECORD,
    ELEMENT_TYPE,
    RELIABILITY,
    SAMPLING,
)
