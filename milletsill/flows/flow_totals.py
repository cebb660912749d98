"""Sums over the flow records that a collecting process receives."""

from __future__ import annotations

from collections import Counter

from milletsill.flows.decoded_message import DecodedValues
from milletsill.flows.templates import FieldValue

MAX_TOP_ENTRIES = 100_000
"""Maximum of volumes or of nodes with a sum; above it the smaller half is dropped."""

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
    """Sums by flow kind and element, octets by volume and node, attempts by outcome."""

    def __init__(self) -> None:
        self.sums: Counter[str] = Counter()
        self.octets_by_volume: Counter[str] = Counter()
        self.octets_by_node: Counter[str] = Counter()
        self.attempts_by_outcome: Counter[str] = Counter()

    def add(self, values: DecodedValues) -> None:
        """Add one flow record."""
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
            attempts = _integer(values.get("dispatchDeltaCount", 0))
            self.attempts_by_outcome[outcome] += attempts
            _drop_smaller_half(self.octets_by_node)
        else:
            self.octets_by_volume[str(values.get("storeName", ""))] += octets
            _drop_smaller_half(self.octets_by_volume)


def _integer(value: FieldValue) -> int:
    if not isinstance(value, int):
        raise TypeError(f"expected an integer counter, found {value!r}")
    return value


def _drop_smaller_half(top: Counter[str]) -> None:
    if len(top) > MAX_TOP_ENTRIES:
        for name, _ in top.most_common()[MAX_TOP_ENTRIES // 2 :]:
            del top[name]
