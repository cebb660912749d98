"""The operator's contracts on the order of channels."""

from __future__ import annotations

from typing import Any

from milletsill.fleet.channels.contracts import (
    ChannelOrder,
    ContractCatalog,
    ContractOffer,
    IndeterminatePolicy,
    OrderingContract,
)

SECOND = 10_000  # in tenths of a millisecond
MILLISECOND = 10


def contract_catalog(file: Any) -> ContractCatalog:
    """Return the contracts of a gateway's file."""
    return ContractCatalog([offer_of(each) for each in file.fleet.channels.contract])


def offer_of(given: Any) -> ContractOffer:
    """Return one contract of the file, with what it covers."""
    contract = OrderingContract(
        given.name,
        given.version,
        ChannelOrder(given.order),
        IndeterminatePolicy(given.unsure),
        round(given.silent_s * SECOND),
        given.most_waiting,
        round(given.hole_ms * MILLISECOND),
    )
    return ContractOffer(
        contract,
        frozenset(given.volume),
        frozenset(given.operation),
        given.chosen_by_client,
    )


def idle_retention(file: Any) -> int:
    """Return for how long the record of a silent channel is kept at the most."""
    contracts = file.fleet.channels.contract
    return max((round(each.silent_s * SECOND) for each in contracts), default=0)
