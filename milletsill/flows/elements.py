"""Information elements: IANA's that are used, and ours, with their types.

Sources: IANA's registry of IPFIX information elements; RFC 7012 (types), RFC 5103 (reverse elements), RFC 5610 (types of
enterprise elements, told in the stream). Ours stand under `enterprise`, 32473 unless the operator has a number of
his own: it is the one that RFC 5612 keeps for documentation.
"""

from __future__ import annotations

from dataclasses import dataclass

REVERSE_PEN, DOCUMENTATION_PEN = 29305, 32473
VARIABLE = 65535
# Abstract types by their number in RFC 5610, and their width on the wire; 0 for variable length.
TYPES = {
    "octetArray": (0, 0),
    "unsigned8": (1, 1),
    "unsigned16": (2, 2),
    "unsigned32": (3, 4),
    "unsigned64": (4, 8),
    "float64": (10, 8),
    "boolean": (11, 1),
    "string": (13, 0),
    "dateTimeSeconds": (14, 4),
    "dateTimeMilliseconds": (15, 8),
    "ipv4Address": (18, 4),
}
SEMANTICS = {
    "default": 0,
    "quantity": 1,
    "totalCounter": 2,
    "deltaCounter": 3,
    "identifier": 4,
}
OURS, IANA, REVERSE = "ours", "iana", "reverse"


@dataclass(frozen=True, slots=True)
class Element:
    """One information element; `space` says whose number it is."""

    name: str
    id: int
    type: str
    space: str = IANA
    semantics: str = "default"
    text: str = ""

    @property
    def width(self) -> int:
        """Bytes on the wire, 0 for variable length."""
        return TYPES[self.type][1]


def _iana(name: str, id: int, type: str) -> Element:
    return Element(name, id, type)


def _ours(name: str, id: int, type: str, semantics: str, text: str) -> Element:
    return Element(name, id, type, OURS, semantics, text)


ELEMENTS = {
    each.name: each
    for each in (
        _iana("octetDeltaCount", 1, "unsigned64"),
        _iana("packetDeltaCount", 2, "unsigned64"),
        _iana("protocolIdentifier", 4, "unsigned8"),
        _iana("sourceTransportPort", 7, "unsigned16"),
        _iana("sourceIPv4Address", 8, "ipv4Address"),
        _iana("destinationTransportPort", 11, "unsigned16"),
        _iana("destinationIPv4Address", 12, "ipv4Address"),
        _iana("exportedOctetTotalCount", 40, "unsigned64"),
        _iana("exportedMessageTotalCount", 41, "unsigned64"),
        _iana("exportedFlowRecordTotalCount", 42, "unsigned64"),
        _iana("flowEndReason", 136, "unsigned8"),
        _iana("exportingProcessId", 144, "unsigned32"),
        _iana("observationDomainId", 149, "unsigned32"),
        _iana("flowStartMilliseconds", 152, "dateTimeMilliseconds"),
        _iana("flowEndMilliseconds", 153, "dateTimeMilliseconds"),
        _iana("systemInitTimeMilliseconds", 160, "dateTimeMilliseconds"),
        _iana("notSentFlowTotalCount", 165, "unsigned64"),
        _iana("notSentPacketTotalCount", 166, "unsigned64"),
        _iana("notSentOctetTotalCount", 167, "unsigned64"),
        _iana("ignoredPacketTotalCount", 164, "unsigned64"),
        _iana("observedFlowTotalCount", 163, "unsigned64"),
        _iana("selectionSequenceId", 301, "unsigned64"),
        _iana("selectorId", 302, "unsigned64"),
        _iana("informationElementId", 303, "unsigned16"),
        _iana("selectorAlgorithm", 304, "unsigned16"),
        _iana("samplingPacketInterval", 305, "unsigned32"),
        _iana("samplingPacketSpace", 306, "unsigned32"),
        _iana("selectorIdTotalPktsObserved", 318, "unsigned64"),
        _iana("selectorIdTotalPktsSelected", 319, "unsigned64"),
        _iana("informationElementDataType", 339, "unsigned8"),
        _iana("informationElementDescription", 340, "string"),
        _iana("informationElementName", 341, "string"),
        _iana("informationElementSemantics", 344, "unsigned8"),
        _iana("privateEnterpriseNumber", 346, "unsigned32"),
        Element("reverseOctetDeltaCount", 1, "unsigned64", REVERSE),
        Element("reversePacketDeltaCount", 2, "unsigned64", REVERSE),
        _ours("gatewayName", 1, "string", "identifier", "the gateway's name"),
        _ours(
            "storeName",
            2,
            "string",
            "identifier",
            "the volume; empty for packets that concern none",
        ),
        _ours(
            "planName", 3, "string", "identifier", "the plan that the volume stands on"
        ),
        _ours(
            "categoryName", 4, "string", "identifier", "the category of the transfers"
        ),
        _ours(
            "boxId", 5, "unsigned32", "identifier", "the disk box's id in the registry"
        ),
        _ours(
            "dispatchOutcome",
            6,
            "string",
            "identifier",
            "how the dispatches ended; empty for control packets",
        ),
        _ours(
            "commandDeltaCount",
            7,
            "unsigned64",
            "deltaCounter",
            "commands with a final answer, or abandoned",
        ),
        _ours(
            "satisfiedDeltaCount",
            8,
            "unsigned64",
            "deltaCounter",
            "of these, satisfied",
        ),
        _ours(
            "declinedDeltaCount", 9, "unsigned64", "deltaCounter", "of these, declined"
        ),
        _ours(
            "abortedDeltaCount", 10, "unsigned64", "deltaCounter", "of these, aborted"
        ),
        _ours(
            "abandonedDeltaCount",
            11,
            "unsigned64",
            "deltaCounter",
            "of these, left by their client",
        ),
        _ours(
            "dispatchDeltaCount",
            12,
            "unsigned64",
            "deltaCounter",
            "dispatches that ended",
        ),
        _ours(
            "furtherDeltaCount",
            13,
            "unsigned64",
            "deltaCounter",
            "of these, not the first of their transfer",
        ),
        _ours(
            "timeSumMicroseconds",
            14,
            "unsigned64",
            "deltaCounter",
            "sum of the times that they took",
        ),
        _ours(
            "timeMaxMicroseconds",
            15,
            "unsigned64",
            "quantity",
            "the longest of these times",
        ),
        _ours(
            "finalAnswer",
            16,
            "string",
            "identifier",
            "of one command: satisfied, declined, aborted, abandoned",
        ),
        _ours(
            "meteringLevel",
            17,
            "unsigned8",
            "identifier",
            "0 each command, 1 flows, 2 sampled flows",
        ),
        _ours(
            "exportedCommandTotalCount",
            18,
            "unsigned64",
            "totalCounter",
            "commands in the records sent",
        ),
        _ours(
            "droppedCommandTotalCount",
            19,
            "unsigned64",
            "totalCounter",
            "commands in records dropped before sending",
        ),
        _ours(
            "notMeteredCommandTotalCount",
            20,
            "unsigned64",
            "totalCounter",
            "commands that sampling passed over",
        ),
        _ours(
            "exportedDispatchTotalCount",
            21,
            "unsigned64",
            "totalCounter",
            "dispatches in the records sent",
        ),
        _ours(
            "droppedDispatchTotalCount",
            22,
            "unsigned64",
            "totalCounter",
            "dispatches in records dropped",
        ),
        _ours(
            "notMeteredDispatchTotalCount",
            23,
            "unsigned64",
            "totalCounter",
            "dispatches that sampling passed over",
        ),
        _ours(
            "evictedFlowTotalCount",
            24,
            "unsigned64",
            "totalCounter",
            "flows that left a full cache before their time",
        ),
        _ours("dropCause", 25, "string", "identifier", "why records were dropped"),
    )
}


@dataclass(frozen=True, slots=True)
class Template:
    """A record's shape: its id, elements, and how many of them are its scope (0: no options)."""

    id: int
    name: str
    elements: tuple[Element, ...]
    scope: int = 0


def _template(id: int, name: str, names: str, scope: int = 0) -> Template:
    return Template(id, name, tuple(ELEMENTS[each] for each in names.split()), scope)


_ENDS = "sourceIPv4Address destinationIPv4Address sourceTransportPort destinationTransportPort protocolIdentifier"
_SPAN = "flowStartMilliseconds flowEndMilliseconds flowEndReason"
_COUNTS = (
    "octetDeltaCount packetDeltaCount reverseOctetDeltaCount reversePacketDeltaCount"
)
_TIMES = "timeSumMicroseconds timeMaxMicroseconds"
# Ids never change meaning within a major version; a new shape gets a new id.
CLIENT_FLOW = _template(
    256,
    "client flow",
    f"{_ENDS} {_SPAN} {_COUNTS} commandDeltaCount satisfiedDeltaCount "
    f"declinedDeltaCount abortedDeltaCount abandonedDeltaCount {_TIMES} storeName planName categoryName",
)
BOX_FLOW = _template(
    257,
    "box flow",
    f"{_ENDS} {_SPAN} {_COUNTS} dispatchDeltaCount furtherDeltaCount {_TIMES} boxId "
    "storeName categoryName dispatchOutcome",
)
COMMAND = _template(
    258,
    "command",
    f"{_ENDS} {_SPAN} {_COUNTS} timeSumMicroseconds storeName planName categoryName "
    "finalAnswer",
)
TYPE_INFO = _template(
    259,
    "element type",
    "privateEnterpriseNumber informationElementId informationElementDataType "
    "informationElementSemantics informationElementName informationElementDescription",
    2,
)
RELIABILITY = _template(
    260,
    "reliability",
    "observationDomainId exportingProcessId gatewayName exportedMessageTotalCount "
    "exportedFlowRecordTotalCount exportedOctetTotalCount notSentFlowTotalCount "
    "notSentPacketTotalCount notSentOctetTotalCount exportedCommandTotalCount "
    "droppedCommandTotalCount notMeteredCommandTotalCount exportedDispatchTotalCount "
    "droppedDispatchTotalCount notMeteredDispatchTotalCount evictedFlowTotalCount dropCause",
    2,
)
SELECTION = _template(
    261,
    "selection",
    "selectionSequenceId selectorId selectorAlgorithm samplingPacketInterval "
    "samplingPacketSpace selectorIdTotalPktsObserved selectorIdTotalPktsSelected meteringLevel",
    1,
)
TEMPLATES = (CLIENT_FLOW, BOX_FLOW, COMMAND, TYPE_INFO, RELIABILITY, SELECTION)
ACTIVE_END, IDLE_END, FORCED_END, NO_ROOM_END, DONE_END = (
    2,
    1,
    4,
    5,
    3,
)  # flowEndReason, IANA
