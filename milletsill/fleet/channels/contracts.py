"""Ordering contracts: their terms, what clients may declare, and how they change.

No I/O and no clock. Durations are whole tenths of a millisecond. See docs/channels.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from milletsill.fleet.channels.errors import (
    ContractConflictError,
    ContractNotOfferedError,
    ContractOutdatedError,
)


class ChannelOrder(Enum):
    """Order in which numbers may start. Names and values match the settings file."""

    EACH_IN_ORDER = 0
    NEWEST = 1
    BY_EXTENT = 2
    BATCHES = 3


class IndeterminatePolicy(Enum):
    """How an indeterminate outcome affects the numbers that are ordered after it.

    Values match the settings file.
    """

    QUARANTINE = 0
    """They wait until the quarantine ends; then the outcome stays indeterminate."""

    STOP = 1
    """They are stopped until the client resolves the indeterminate number."""


POLICY_IN_SETTINGS = {
    IndeterminatePolicy.QUARANTINE: "REST",
    IndeterminatePolicy.STOP: "STOP",
}
"""Names of the policies in the settings file, for error messages."""


@dataclass(frozen=True, slots=True)
class OrderingContract:
    """The terms of one version of a contract.

    Attributes:
        name: Name of the contract in the settings file.
        version: The operator increases it with each change of the contract.
        order: Order in which numbers may start.
        indeterminate_policy: How an indeterminate outcome affects later numbers.
        idle_retention: How long the record of an idle channel is kept.
        max_waiting: How many requests of one channel may wait.
        gap_timeout: How long a request waits for a lower number that is absent.
    """

    name: str
    version: int
    order: ChannelOrder
    indeterminate_policy: IndeterminatePolicy = IndeterminatePolicy.QUARANTINE
    idle_retention: int = 36_000_000
    max_waiting: int = 64
    gap_timeout: int = 10_000


@dataclass(frozen=True, slots=True)
class ContractChange:
    """A change of a channel's contract that applies from `first_number` on."""

    first_number: int
    contract: OrderingContract
    chosen_by_client: bool = False


@dataclass(frozen=True, slots=True)
class ChannelDeclaration:
    """What an open command declares, after lookup in the operator's settings.

    Attributes:
        contract: The declared contract.
        first_number: The first number it applies to; 0 for the next free number.
        chosen_by_client: Whether the client chose the contract by name.
    """

    contract: OrderingContract
    first_number: int = 0
    chosen_by_client: bool = False


def changes_contract(
    current: OrderingContract,
    chosen_by_client: bool,
    pending: ContractChange | None,
    declaration: ChannelDeclaration,
    next_free: int,
) -> bool:
    """Whether a declaration changes the contract of an existing channel.

    Args:
        current: The contract in force.
        chosen_by_client: Whether a client chose `current` by name.
        pending: A declared change whose first number is not reached yet.
        declaration: What the client declares.
        next_free: The lowest number above all released numbers.

    Raises:
        ContractConflictError: The declaration contradicts an earlier one.
        ContractOutdatedError: The declared version is older than the channel's.
    """
    declared = declaration.contract
    known = [current, pending.contract] if pending else [current]
    for contract in known:
        if (contract.name, contract.version) == (declared.name, declared.version):
            _check_same_version(contract, pending, declaration)
            return False
    latest = known[-1]
    if declared.name == latest.name and declared.version < latest.version:
        raise ContractOutdatedError(
            f"contract {declared.name} has version {latest.version} in the channel's "
            f"record, but version {declared.version} in this gateway's settings file: "
            "update the settings file"
        )
    if (
        declared.name != latest.name
        and chosen_by_client
        and not declaration.chosen_by_client
    ):
        return False  # a client chose `current`, and this open names no contract
    _check_change(current, pending, declaration, next_free)
    return True


def _check_same_version(
    known: OrderingContract,
    pending: ContractChange | None,
    declaration: ChannelDeclaration,
) -> None:
    """Raise if a declaration contradicts the same contract version in the record."""
    declared = declaration.contract
    if (known.order, known.indeterminate_policy) != (
        declared.order,
        declared.indeterminate_policy,
    ):
        raise ContractConflictError(
            f"contract {declared.name} version {declared.version} is "
            f"{_describe(declared)} in this gateway's settings file, but "
            f"{_describe(known)} in the channel's record: give the changed contract a "
            "higher version at all gateways"
        )
    if (
        declaration.first_number
        and pending
        and known is pending.contract
        and declaration.first_number != pending.first_number
    ):
        raise ContractConflictError(
            f"contract {declared.name} version {declared.version} is already declared "
            f"from number {pending.first_number}, not {declaration.first_number}: "
            f"open the channel with first number {pending.first_number} or 0"
        )


def _check_change(
    current: OrderingContract,
    pending: ContractChange | None,
    declaration: ChannelDeclaration,
    next_free: int,
) -> None:
    """Raise if the contract cannot change to the declared one now."""
    declared = declaration.contract
    if pending:
        raise ContractConflictError(
            f"contract {pending.contract.name} version {pending.contract.version} is "
            f"pending from number {pending.first_number}: declare {declared.name} "
            f"version {declared.version} once that number is reached"
        )
    if declaration.first_number and declaration.first_number < next_free:
        raise ContractConflictError(
            f"contract {declared.name} version {declared.version} cannot apply from "
            f"number {declaration.first_number}: numbers below {next_free} belong to "
            f"{current.name} version {current.version}; declare it from {next_free} or "
            "later"
        )


def _describe(contract: OrderingContract) -> str:
    policy = POLICY_IN_SETTINGS[contract.indeterminate_policy]
    return f"{contract.order.name} with {policy}"


@dataclass(frozen=True, slots=True)
class ContractOffer:
    """A contract that the operator offers to clients.

    Attributes:
        contract: The terms of the contract.
        volumes: Names of the volumes it applies to; empty for all volumes.
        operations: Operations it covers; empty for all operations that write.
        chosen_by_client: Whether a client may choose the contract by name.
    """

    contract: OrderingContract
    volumes: frozenset[str] = frozenset()
    operations: frozenset[str] = frozenset()
    chosen_by_client: bool = False

    def covers_volume(self, volume: str) -> bool:
        """Whether the contract applies to this volume."""
        return not self.volumes or volume in self.volumes


class ContractCatalog:
    """The operator's contracts, in the order of the settings file.

    The first contract that covers a volume is the volume's default.
    """

    def __init__(self, offers: Sequence[ContractOffer]) -> None:
        self.offers = tuple(offers)

    def covers_volume(self, volume: str) -> bool:
        """Whether any contract applies to channels of a volume."""
        return any(offer.covers_volume(volume) for offer in self.offers)

    def covers_operation(self, name: str, volume: str, operation: str) -> bool:
        """Whether the contract `name` covers an operation of a volume.

        A contract that is not in the settings any more covers all that write.
        """
        for offer in self.offers:
            if offer.contract.name == name and offer.covers_volume(volume):
                return not offer.operations or operation in offer.operations
        return True

    def resolve(
        self, volume: str, name: str, version: int, first_number: int
    ) -> ChannelDeclaration:
        """Return the declaration that an open command makes.

        Args:
            volume: Name of the channel's volume.
            name: The contract that the client chose; empty for the volume's default.
            version: The version it expects; 0 for the version of this gateway.
            first_number: The first number it applies to; 0 for the next free number.

        Raises:
            ContractNotOfferedError: The operator does not offer the contract.
        """
        fitting = [offer for offer in self.offers if offer.covers_volume(volume)]
        if not fitting:
            raise ContractNotOfferedError(
                f"no contract covers volume {volume}: add it to fleet.channels.contract"
            )
        if not name:
            return ChannelDeclaration(fitting[0].contract, first_number)
        offer = next((each for each in fitting if each.contract.name == name), None)
        if offer is None or not (offer.chosen_by_client or offer is fitting[0]):
            raise ContractNotOfferedError(
                f"contract {name} is not offered to clients of volume {volume}: open "
                "without a contract name, or have the operator set chosen_by_client"
            )
        offered = offer.contract
        if version and version != offered.version:
            raise ContractNotOfferedError(
                f"contract {name} has version {offered.version} at this gateway, not "
                f"{version}: open with version {offered.version} or 0"
            )
        return ChannelDeclaration(offered, first_number, chosen_by_client=True)
