"""The information elements of the records: elements of IANA and enterprise elements.

Sources: IANA's registry of IPFIX information elements; RFC 7012 (data types), RFC 5103
(reverse elements), RFC 5610 (types of enterprise elements, exported in the stream).
The enterprise elements of milletsill use the number in the setting `enterprise`. Its
default, 32473, is reserved for documentation by RFC 5612.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

REVERSE_PEN = 29305
"""Private enterprise number of reverse elements (RFC 5103)."""

DOCUMENTATION_PEN = 32473
"""Private enterprise number for documentation (RFC 5612)."""

VARIABLE_LENGTH = 65535
"""Field length in a template that denotes a variable length."""


class DataType(StrEnum):
    """Abstract data types (RFC 7012) by the names of IANA's registry."""

    OCTET_ARRAY = "octetArray"
    UNSIGNED8 = "unsigned8"
    UNSIGNED16 = "unsigned16"
    UNSIGNED32 = "unsigned32"
    UNSIGNED64 = "unsigned64"
    FLOAT64 = "float64"
    BOOLEAN = "boolean"
    STRING = "string"
    DATE_TIME_SECONDS = "dateTimeSeconds"
    DATE_TIME_MILLISECONDS = "dateTimeMilliseconds"
    IPV4_ADDRESS = "ipv4Address"


DATA_TYPE_NUMBERS: dict[DataType, int] = {
    DataType.OCTET_ARRAY: 0,
    DataType.UNSIGNED8: 1,
    DataType.UNSIGNED16: 2,
    DataType.UNSIGNED32: 3,
    DataType.UNSIGNED64: 4,
    DataType.FLOAT64: 10,
    DataType.BOOLEAN: 11,
    DataType.STRING: 13,
    DataType.DATE_TIME_SECONDS: 14,
    DataType.DATE_TIME_MILLISECONDS: 15,
    DataType.IPV4_ADDRESS: 18,
}
"""Value of informationElementDataType for each data type (RFC 5610)."""

DATA_TYPE_WIDTHS: dict[DataType, int] = {
    DataType.OCTET_ARRAY: 0,
    DataType.UNSIGNED8: 1,
    DataType.UNSIGNED16: 2,
    DataType.UNSIGNED32: 4,
    DataType.UNSIGNED64: 8,
    DataType.FLOAT64: 8,
    DataType.BOOLEAN: 1,
    DataType.STRING: 0,
    DataType.DATE_TIME_SECONDS: 4,
    DataType.DATE_TIME_MILLISECONDS: 8,
    DataType.IPV4_ADDRESS: 4,
}
"""Octets of a value in a message; 0 for variable length."""


class Semantics(StrEnum):
    """Data type semantics (RFC 7012) by the names of IANA's registry."""

    DEFAULT = "default"
    QUANTITY = "quantity"
    TOTAL_COUNTER = "totalCounter"
    DELTA_COUNTER = "deltaCounter"
    IDENTIFIER = "identifier"


SEMANTICS_NUMBERS: dict[Semantics, int] = {
    Semantics.DEFAULT: 0,
    Semantics.QUANTITY: 1,
    Semantics.TOTAL_COUNTER: 2,
    Semantics.DELTA_COUNTER: 3,
    Semantics.IDENTIFIER: 4,
}
"""Value of informationElementSemantics for each semantics (RFC 5610)."""


class ElementSpace(Enum):
    """The number space of an element."""

    IANA = "iana"
    ENTERPRISE = "enterprise"
    REVERSE = "reverse"


@dataclass(frozen=True, slots=True)
class InformationElement:
    """One information element (RFC 7012)."""

    name: str
    number: int
    data_type: DataType
    space: ElementSpace = ElementSpace.IANA
    semantics: Semantics = Semantics.DEFAULT
    description: str = ""

    @property
    def width(self) -> int:
        """Octets of a value in a message; 0 for variable length."""
        return DATA_TYPE_WIDTHS[self.data_type]


def _iana(name: str, number: int, data_type: DataType) -> InformationElement:
    return InformationElement(name, number, data_type)


def _enterprise(
    name: str, number: int, data_type: DataType, semantics: Semantics, description: str
) -> InformationElement:
    return InformationElement(
        name, number, data_type, ElementSpace.ENTERPRISE, semantics, description
    )


ELEMENTS: dict[str, InformationElement] = {
    each.name: each
    for each in (
        _iana("octetDeltaCount", 1, DataType.UNSIGNED64),
        _iana("packetDeltaCount", 2, DataType.UNSIGNED64),
        _iana("protocolIdentifier", 4, DataType.UNSIGNED8),
        _iana("sourceTransportPort", 7, DataType.UNSIGNED16),
        _iana("sourceIPv4Address", 8, DataType.IPV4_ADDRESS),
        _iana("destinationTransportPort", 11, DataType.UNSIGNED16),
        _iana("destinationIPv4Address", 12, DataType.IPV4_ADDRESS),
        _iana("exportedOctetTotalCount", 40, DataType.UNSIGNED64),
        _iana("exportedMessageTotalCount", 41, DataType.UNSIGNED64),
        _iana("exportedFlowRecordTotalCount", 42, DataType.UNSIGNED64),
        _iana("flowEndReason", 136, DataType.UNSIGNED8),
        _iana("exportingProcessId", 144, DataType.UNSIGNED32),
        _iana("observationDomainId", 149, DataType.UNSIGNED32),
        _iana("flowStartMilliseconds", 152, DataType.DATE_TIME_MILLISECONDS),
        _iana("flowEndMilliseconds", 153, DataType.DATE_TIME_MILLISECONDS),
        _iana("systemInitTimeMilliseconds", 160, DataType.DATE_TIME_MILLISECONDS),
        _iana("notSentFlowTotalCount", 165, DataType.UNSIGNED64),
        _iana("notSentPacketTotalCount", 166, DataType.UNSIGNED64),
        _iana("notSentOctetTotalCount", 167, DataType.UNSIGNED64),
        _iana("ignoredPacketTotalCount", 164, DataType.UNSIGNED64),
        _iana("observedFlowTotalCount", 163, DataType.UNSIGNED64),
        _iana("selectionSequenceId", 301, DataType.UNSIGNED64),
        _iana("selectorId", 302, DataType.UNSIGNED64),
        _iana("informationElementId", 303, DataType.UNSIGNED16),
        _iana("selectorAlgorithm", 304, DataType.UNSIGNED16),
        _iana("samplingPacketInterval", 305, DataType.UNSIGNED32),
        _iana("samplingPacketSpace", 306, DataType.UNSIGNED32),
        _iana("selectorIdTotalPktsObserved", 318, DataType.UNSIGNED64),
        _iana("selectorIdTotalPktsSelected", 319, DataType.UNSIGNED64),
        _iana("informationElementDataType", 339, DataType.UNSIGNED8),
        _iana("informationElementDescription", 340, DataType.STRING),
        _iana("informationElementName", 341, DataType.STRING),
        _iana("informationElementSemantics", 344, DataType.UNSIGNED8),
        _iana("privateEnterpriseNumber", 346, DataType.UNSIGNED32),
        InformationElement(
            "reverseOctetDeltaCount", 1, DataType.UNSIGNED64, ElementSpace.REVERSE
        ),
        InformationElement(
            "reversePacketDeltaCount", 2, DataType.UNSIGNED64, ElementSpace.REVERSE
        ),
        _enterprise(
            "gatewayName",
            1,
            DataType.STRING,
            Semantics.IDENTIFIER,
            "the gateway's name",
        ),
        _enterprise(
            "storeName",
            2,
            DataType.STRING,
            Semantics.IDENTIFIER,
            "the volume; empty for packets that concern none",
        ),
        _enterprise(
            "planName",
            3,
            DataType.STRING,
            Semantics.IDENTIFIER,
            "the plan that the volume stands on",
        ),
        _enterprise(
            "categoryName",
            4,
            DataType.STRING,
            Semantics.IDENTIFIER,
            "the category of the transfers",
        ),
        _enterprise(
            "boxId",
            5,
            DataType.UNSIGNED32,
            Semantics.IDENTIFIER,
            "the disk box's id in the registry",
        ),
        _enterprise(
            "dispatchOutcome",
            6,
            DataType.STRING,
            Semantics.IDENTIFIER,
            "how the dispatches ended; empty for control packets",
        ),
        _enterprise(
            "commandDeltaCount",
            7,
            DataType.UNSIGNED64,
            Semantics.DELTA_COUNTER,
            "commands with a final answer, or abandoned",
        ),
        _enterprise(
            "satisfiedDeltaCount",
            8,
            DataType.UNSIGNED64,
            Semantics.DELTA_COUNTER,
            "of these, satisfied",
        ),
        _enterprise(
            "declinedDeltaCount",
            9,
            DataType.UNSIGNED64,
            Semantics.DELTA_COUNTER,
            "of these, declined",
        ),
        _enterprise(
            "abortedDeltaCount",
            10,
            DataType.UNSIGNED64,
            Semantics.DELTA_COUNTER,
            "of these, aborted",
        ),
        _enterprise(
            "abandonedDeltaCount",
            11,
            DataType.UNSIGNED64,
            Semantics.DELTA_COUNTER,
            "of these, left by their client",
        ),
        _enterprise(
            "dispatchDeltaCount",
            12,
            DataType.UNSIGNED64,
            Semantics.DELTA_COUNTER,
            "dispatches that ended",
        ),
        _enterprise(
            "furtherDeltaCount",
            13,
            DataType.UNSIGNED64,
            Semantics.DELTA_COUNTER,
            "of these, not the first of their transfer",
        ),
        _enterprise(
            "timeSumMicroseconds",
            14,
            DataType.UNSIGNED64,
            Semantics.DELTA_COUNTER,
            "sum of the times that they took",
        ),
        _enterprise(
            "timeMaxMicroseconds",
            15,
            DataType.UNSIGNED64,
            Semantics.QUANTITY,
            "the longest of these times",
        ),
        _enterprise(
            "finalAnswer",
            16,
            DataType.STRING,
            Semantics.IDENTIFIER,
            "of one command: satisfied, declined, aborted, abandoned",
        ),
        _enterprise(
            "meteringLevel",
            17,
            DataType.UNSIGNED8,
            Semantics.IDENTIFIER,
            "0 each command, 1 flows, 2 sampled flows",
        ),
        _enterprise(
            "exportedCommandTotalCount",
            18,
            DataType.UNSIGNED64,
            Semantics.TOTAL_COUNTER,
            "commands in the records sent",
        ),
        _enterprise(
            "droppedCommandTotalCount",
            19,
            DataType.UNSIGNED64,
            Semantics.TOTAL_COUNTER,
            "commands in records dropped before sending",
        ),
        _enterprise(
            "notMeteredCommandTotalCount",
            20,
            DataType.UNSIGNED64,
            Semantics.TOTAL_COUNTER,
            "commands that sampling passed over",
        ),
        _enterprise(
            "exportedDispatchTotalCount",
            21,
            DataType.UNSIGNED64,
            Semantics.TOTAL_COUNTER,
            "dispatches in the records sent",
        ),
        _enterprise(
            "droppedDispatchTotalCount",
            22,
            DataType.UNSIGNED64,
            Semantics.TOTAL_COUNTER,
            "dispatches in records dropped",
        ),
        _enterprise(
            "notMeteredDispatchTotalCount",
            23,
            DataType.UNSIGNED64,
            Semantics.TOTAL_COUNTER,
            "dispatches that sampling passed over",
        ),
        _enterprise(
            "evictedFlowTotalCount",
            24,
            DataType.UNSIGNED64,
            Semantics.TOTAL_COUNTER,
            "flows that left a full cache before their time",
        ),
        _enterprise(
            "dropCause",
            25,
            DataType.STRING,
            Semantics.IDENTIFIER,
            "why records were dropped",
        ),
    )
}
"""All elements by name."""
