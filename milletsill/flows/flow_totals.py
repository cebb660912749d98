"""Sums over the flow records that a collecting process received."""

from __future__ import annotations

from collections import Counter

from milletsill.flows.decoded_message import DecodedValues
from milletsill.flows.templates import FieldValue

MAX_TOP_ENTRIES = 100_000
"""Stores, or nodes, whose octets are held; past that the smaller half is forgotten."""

SUMMED_ELEMENTS = (
    "octetDeltaCount",
    "reverseOctetDeltaCount",
    "packetDeltaCount",
    "reversePacketDeltaCount",
    "commandDeltaCount",
    "satisfiedDeltaCount",
    "declinedDeltaCount",
    "abortedDeltaCount",
    "abandonedDeltaCount",
    "dispatchDeltaCount",
    "furtherDeltaCount",
)
CLIENT_PREFIX = "client"
NODE_PREFIX = "box"
"""First words of the printed names of sums."""


class FlowTotals:
    """Sums by side and element, octets by store and by node, dispatches by outcome."""

    def __init__(self) -> None:
        self.sums: Counter[str] = Counter()
        self.octets_by_store: Counter[str] = Counter()
        self.octets_by_node: Counter[str] = Counter()
        self.dispatches_by_outcome: Counter[str] = Counter()

    def add(self, values: DecodedValues) -> None:
        """Adds one flow record."""
        is_node_flow = "boxId" in values
        prefix = NODE_PREFIX if is_node_flow else CLIENT_PREFIX
        for name in SUMMED_ELEMENTS:
            if name in values:
                self.sums[f"{prefix} {name}"] += _integer(values[name])
        octets = _integer(values.get("octetDeltaCount", 0))
        octets += _integer(values.get("reverseOctetDeltaCount", 0))
        if is_node_flow:
            self.octets_by_node[str(values["boxId"])] += octets
            outcome = str(values.get("dispatchOutcome", ""))
            dispatches = _integer(values.get("dispatchDeltaCount", 0))
            self.dispatches_by_outcome[outcome] += dispatches
            _forget_smallest(self.octets_by_node)
        else:
            self.octets_by_store[str(values.get("storeName", ""))] += octets
            _forget_smallest(self.octets_by_store)


def _integer(value: FieldValue) -> int:
    if not isinstance(value, int):
        raise TypeError(f"a counter of {value!r}")
    return value


def _forget_smallest(top: Counter[str]) -> None:
    if len(top) > MAX_TOP_ENTRIES:
        for name, _ in top.most_common()[MAX_TOP_ENTRIES // 2 :]:
            del top[name]
