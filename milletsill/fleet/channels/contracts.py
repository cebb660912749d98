"""Ordering contracts: their terms, what clients may declare, and how they change.

No I/O and no clock. Spans are whole tenths of a millisecond. See docs/channels.md.
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
    """What may start before what. Names and values are those of the settings file."""

    EACH_IN_ORDER = 0
    NEWEST = 1
    BY_EXTENT = 2
    BATCHES = 3


class IndeterminatePolicy(Enum):
    """What an indeterminate outcome means for the numbers behind it.

    Values are those of the settings file.
    """

    QUARANTINE = 0
    """They wait out the quarantine; then the outcome stays indeterminate."""

    STOP = 1
    """They are stopped until the client says what became of it."""


POLICY_IN_SETTINGS = {
    IndeterminatePolicy.QUARANTINE: "REST",
    IndeterminatePolicy.STOP: "STOP",
}
"""The policies by their names in the settings file, for messages to operators."""


@dataclass(frozen=True, slots=True)
class OrderingContract:
    """The terms of one version of a contract.

    Attributes:
        name: Its name in the settings file.
        version: Grows when the operator changes the contract.
        order: What may start before what.
        indeterminate_policy: What an indeterminate outcome means for those behind it.
        idle_retention: For how long a silent channel's record is kept.
        max_waiting: Requests of one channel that may wait.
        gap_timeout: For how long a request waits for a lower number that is absent.
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
    """Another contract of a channel, which holds from `first_number` on."""

    first_number: int
    contract: OrderingContract
    chosen_by_client: bool = False


@dataclass(frozen=True, slots=True)
class ChannelDeclaration:
    """What an open command declares, resolved by the operator's settings.

    Attributes:
        contract: The contract that is to hold.
        first_number: The number from which it holds; 0 for the next that is free.
        chosen_by_client: Whether the client chose it by name.
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
    """Whether a declaration changes the contract of a channel that has one.

    Args:
        current: The contract that holds now.
        chosen_by_client: Whether a client chose `current` by name.
        pending: A change that was declared and is not reached yet.
        declaration: What the client declares.
        next_free: The lowest number past all that were released.

    Raises:
        ContractConflictError: Two declarations contradict each other.
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
            f"contract {declared.name} is at version {latest.version} in the channel's "
            f"record, version {declared.version} here: bring this gateway's file up to "
            "date"
        )
    if (
        declared.name != latest.name
        and chosen_by_client
        and not declaration.chosen_by_client
    ):
        return False  # a client chose, and opens again without a name
    _check_change(current, pending, declaration, next_free)
    return True


def _check_same_version(
    known: OrderingContract,
    pending: ContractChange | None,
    declaration: ChannelDeclaration,
) -> None:
    """Raises where a version that is known already is declared differently."""
    declared = declaration.contract
    if (known.order, known.indeterminate_policy) != (
        declared.order,
        declared.indeterminate_policy,
    ):
        raise ContractConflictError(
            f"contract {declared.name} version {declared.version} is "
            f"{_described(declared)} here and {_described(known)} in the channel's "
            "record: give the changed one a higher version at all gateways"
        )
    if (
        declaration.first_number
        and pending
        and known is pending.contract
        and declaration.first_number != pending.first_number
    ):
        raise ContractConflictError(
            f"contract {declared.name} version {declared.version} holds from "
            f"{pending.first_number} already, not from {declaration.first_number}: "
            f"open with {pending.first_number} or with 0"
        )


def _check_change(
    current: OrderingContract,
    pending: ContractChange | None,
    declaration: ChannelDeclaration,
    next_free: int,
) -> None:
    """Raises where a contract cannot change to the declared one now."""
    declared = declaration.contract
    if pending:
        raise ContractConflictError(
            f"contract {pending.contract.name} version {pending.contract.version} "
            f"comes from number {pending.first_number}: {declared.name} version "
            f"{declared.version} can be declared when that is reached"
        )
    if declaration.first_number and declaration.first_number < next_free:
        raise ContractConflictError(
            f"numbers below {next_free} were let go under {current.name} version "
            f"{current.version}: let {declared.name} version {declared.version} hold "
            f"from {next_free} or later"
        )


def _described(contract: OrderingContract) -> str:
    policy = POLICY_IN_SETTINGS[contract.indeterminate_policy]
    return f"{contract.order.name} with {policy}"


@dataclass(frozen=True, slots=True)
class ContractOffer:
    """A contract as the operator offers it.

    Attributes:
        contract: Its terms.
        volumes: Names of the volumes that it is for; empty for all.
        operations: Operations that it covers; empty for all that write.
        chosen_by_client: Whether a client may choose it by name.
    """

    contract: OrderingContract
    volumes: frozenset[str] = frozenset()
    operations: frozenset[str] = frozenset()
    chosen_by_client: bool = False

    def covers_volume(self, volume: str) -> bool:
        """Whether it is for this volume."""
        return not self.volumes or volume in self.volumes


class ContractCatalog:
    """The operator's contracts, in the order of the settings: the first that fits."""

    def __init__(self, offers: Sequence[ContractOffer]) -> None:
        self.offers = tuple(offers)

    def covers_volume(self, volume: str) -> bool:
        """Whether any contract holds for channels of a volume."""
        return any(offer.covers_volume(volume) for offer in self.offers)

    def covers_operation(self, name: str, volume: str, operation: str) -> bool:
        """Whether the contract `name` covers an operation of a volume.

        A contract that the settings have no longer covers all operations that write.
        """
        for offer in self.offers:
            if offer.contract.name == name and offer.covers_volume(volume):
                return not offer.operations or operation in offer.operations
        return True

    def resolve(
        self, volume: str, name: str, version: int, first_number: int
    ) -> ChannelDeclaration:
        """What an open command declares, within what the operator allows.

        Args:
            volume: Name of the channel's volume.
            name: The contract that the client chose; empty for the volume's own.
            version: Its version; 0 for this gateway's.
            first_number: The number from which it is to hold; 0 for the next free.

        Raises:
            ContractNotOfferedError: The operator does not offer it.
        """
        fitting = [offer for offer in self.offers if offer.covers_volume(volume)]
        if not fitting:
            raise ContractNotOfferedError(
                f"volume {volume} has no contract: name it in fleet.channels.contract"
            )
        if not name:
            return ChannelDeclaration(fitting[0].contract, first_number)
        offer = next((each for each in fitting if each.contract.name == name), None)
        if offer is None or not (offer.chosen_by_client or offer is fitting[0]):
            raise ContractNotOfferedError(
                f"contract {name} is not offered to clients of volume {volume}: open "
                "without a name, or have the operator set chosen_by_client"
            )
        offered = offer.contract
        if version and version != offered.version:
            raise ContractNotOfferedError(
                f"contract {name} is at version {offered.version} here, not {version}: "
                f"open with {offered.version} or 0"
            )
        return ChannelDeclaration(offered, first_number, chosen_by_client=True)
