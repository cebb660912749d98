"""Reads the ordering contracts of channels from the gateway's file."""

from __future__ import annotations

from typing import Any

from milletsill.fleet.channels.contracts import (
    ChannelOrder,
    ContractCatalog,
    ContractOffer,
    IndeterminatePolicy,
    OrderingContract,
)

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10


def contract_catalog(file: Any) -> ContractCatalog:
    """Return the catalog of the contracts in a gateway's file."""
    return ContractCatalog([offer_of(each) for each in file.fleet.channels.contract])


def offer_of(given: Any) -> ContractOffer:
    """Return a contract of the file with the volumes and operations it covers."""
    contract = OrderingContract(
        given.name,
        given.version,
        ChannelOrder(given.order),
        IndeterminatePolicy(given.unsure),
        round(given.silent_s * TICKS_PER_SECOND),
        given.most_waiting,
        round(given.hole_ms * TICKS_PER_MILLISECOND),
    )
    return ContractOffer(
        contract,
        frozenset(given.volume),
        frozenset(given.operation),
        given.chosen_by_client,
    )


def idle_retention(file: Any) -> int:
    """Return the longest time, in ticks, that the record of an idle channel is kept."""
    contracts = file.fleet.channels.contract
    return max(
        (round(each.silent_s * TICKS_PER_SECOND) for each in contracts), default=0
    )
