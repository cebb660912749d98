"""The tables of contracts on order: phases of a number, what stands before it, what two declarations mean. docs/channels.md.

No I/O and no clock. Times are whole tenths of a millisecond on the keeper's own clock. `line.py` reads these tables.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from milletsill.fleet.channels.errors import (
    ContractOutdated,
    ContractNotOffered,
    ContractConflict,
)

# --- Tuned values; numbers, not times, unless they say so.

SPAN = 1024  # how far a number may be ahead of the lowest open one where holes stand open; a record's bound
REMEMBERED = 224  # answers that a channel remembers, over three times the most that may wait; a record must hold them
MOST_NUMBER = 1 << 63
MOST_ASKERS = 4  # words that wait for one number's end
MOST_TURNS = 32  # numbers that a client said were not done and has not sent anew
MOST_PINNED = 32  # numbers that were overtaken and have not come back
PAUSE = 1000  # what a decline without a better reason tells: a tenth of a second

Order = Enum("Order", "EACH_IN_ORDER NEWEST BY_EXTENT BATCHES", start=0)
Unsure = Enum("Unsure", "REST STOP", start=0)


@dataclass(frozen=True, slots=True)
class Contract:
    """A contract's terms, as data; spans in tenths of a millisecond."""

    name: str
    version: int
    order: Order
    unsure: Unsure = Unsure.REST
    silent: int = 36_000_000
    most_waiting: int = 64
    hole: int = 10_000


@dataclass(frozen=True, slots=True)
class Reach:
    """What a transfer touches of one object: its name's hash, and the first and last block; a whole object is all blocks."""

    object: int
    first: int = 0
    last: int = (1 << 64) - 1

    def meets(self, other: Reach) -> bool:
        return (
            self.object == other.object
            and self.first <= other.last
            and other.first <= self.last
        )


Reaches = tuple[Reach, ...]


def meet(these: Reaches, those: Reaches) -> bool:
    """Whether two transfers touch the same extent."""
    return any(one.meets(other) for one in these for other in those)


# --- The phases of one number.

# AWAITED: it is not here. WAITING: a transfer with it stands at the gate. OUT: the record says that it may be out. UNSURE: it
# was out and nobody knows what it came to. BACK: unsure, and its transfer has come again and waits out the rest. CLOSED: over.
Phase = Enum("Phase", "AWAITED WAITING OUT UNSURE BACK CLOSED")
# COMES: a transfer with the number. LEAVES: the gate lets it go. SETTLED: the box's answer. NEVER_RAN: it came back without
# having been let to any box's work. LOST: no answer. GIVEN_UP: its patience, the hole or its claim is over. PASSED: a newer one
# is settled. RESTED: the rest is over and others wait behind. SAID_*: the client's word.
Input = Enum(
    "Input",
    "COMES LEAVES SETTLED NEVER_RAN LOST GIVEN_UP PASSED RESTED SAID_DONE SAID_AGAIN SAID_LEFT_OUT",
)

# (phase, input) -> (next phase, effect). What is not here changes nothing.
PHASE_TABLE: Mapping[tuple[Phase, Input], tuple[Phase, str]] = {
    (Phase.AWAITED, Input.COMES): (Phase.WAITING, "hold"),
    (Phase.AWAITED, Input.SAID_LEFT_OUT): (Phase.CLOSED, "left_out"),
    (Phase.WAITING, Input.COMES): (Phase.WAITING, "replace"),
    (Phase.WAITING, Input.LEAVES): (Phase.OUT, "let_go"),
    (Phase.WAITING, Input.GIVEN_UP): (Phase.AWAITED, "drop"),
    (Phase.WAITING, Input.PASSED): (Phase.CLOSED, "supersede"),
    (Phase.AWAITED, Input.PASSED): (Phase.CLOSED, ""),
    (Phase.OUT, Input.COMES): (Phase.OUT, "join"),
    (Phase.OUT, Input.SETTLED): (Phase.CLOSED, "settle"),
    # Guards against a decline that was no promise: only where no dispatch can have run is the number free again.
    (Phase.OUT, Input.NEVER_RAN): (Phase.AWAITED, "decline"),
    (Phase.OUT, Input.LOST): (Phase.UNSURE, "abort"),
    # The same ticket again, within the time for which boxes remember it: no second effect, and perhaps a sure end.
    (Phase.UNSURE, Input.COMES): (Phase.BACK, "hold"),
    (Phase.BACK, Input.COMES): (Phase.BACK, "replace"),
    (Phase.BACK, Input.LEAVES): (Phase.OUT, "let_go"),
    (Phase.BACK, Input.GIVEN_UP): (Phase.UNSURE, "drop"),
    (Phase.UNSURE, Input.RESTED): (Phase.CLOSED, "stays_unsure"),
    (Phase.UNSURE, Input.SAID_DONE): (Phase.CLOSED, "said_done"),
    (Phase.UNSURE, Input.SAID_LEFT_OUT): (Phase.CLOSED, "left_out"),
    (Phase.UNSURE, Input.SAID_AGAIN): (Phase.AWAITED, "again"),
}


def step(phase: Phase, input: Input) -> tuple[Phase, str]:
    """The next phase of a number and what to do."""
    return PHASE_TABLE.get((phase, input), (phase, ""))


UNDER_WAY = (Phase.OUT, Phase.UNSURE, Phase.BACK)

# --- What stands before a number, by the contract.

# GO: it may be let go now. BUSY: what is before it is under way or may go itself. HOLE: what is before it is not here.
# RESTING: what is before it has an unsure end.
Gate = Enum("Gate", "GO BUSY HOLE RESTING")
GATE_OF: Mapping[Phase, Gate] = {
    Phase.AWAITED: Gate.HOLE,
    Phase.WAITING: Gate.BUSY,
    Phase.OUT: Gate.BUSY,
    Phase.BACK: Gate.BUSY,
    Phase.UNSURE: Gate.RESTING,
    Phase.CLOSED: Gate.GO,
}


def before_in_order(line: Any, number: int) -> int | None:
    """Guards the order: the lowest open number. Harm: one that can never end holds all; hence holes and rests have ends."""
    return line.floor if line.floor < number else None


def before_newest(line: Any, number: int) -> int | None:
    """Guards against an older one that takes effect after a newer one: one under way at a time, and the newest that waits
    goes first. Harm: a newer one waits for an older one's answer.
    """
    out = next(
        (
            each
            for each, entry in line.entries.items()
            if each != number and entry.phase in UNDER_WAY
        ),
        None,
    )
    if out is not None:
        return out
    ends = (
        line.coming[0] if line.coming and number < line.coming[0] else MOST_NUMBER
    )  # what waits for a change is no newer one yet
    newest = max(
        (
            each
            for each, entry in line.entries.items()
            if entry.phase is Phase.WAITING and each < ends
        ),
        default=number,
    )
    return newest if newest > number else None


def before_by_extent(line: Any, number: int) -> int | None:
    """Guards the order on one extent: a lower number that is not here may be of any extent, unless it was here before and
    was overtaken; then it is pinned to what it touches.
    """
    reaches = line.entries[number].reaches
    for each in range(line.floor, number):
        if each not in line.closed:
            entry = line.entries.get(each)
            known = entry.reaches if entry is not None else line.pinned.get(each)
            if known is None or meet(known, reaches):
                return each
            if (
                each not in line.pinned
                and entry.phase is Phase.WAITING
                and len(line.pinned) >= MOST_PINNED
            ):
                return each  # it could not be pinned
    return None


def before_batches(line: Any, number: int) -> int | None:
    """Guards a batch against the one before it: nothing of it until that is whole."""
    return line.floor if line.entries[number].batch != line.batch else None


ORDER_TABLE: Mapping[Order, Callable[[Any, int], int | None]] = {
    Order.EACH_IN_ORDER: before_in_order,
    Order.NEWEST: before_newest,
    Order.BY_EXTENT: before_by_extent,
    Order.BATCHES: before_batches,
}


# --- Declarations.


@dataclass(frozen=True, slots=True)
class Declared:
    """What an OPEN declares, after the operator's file was read: the contract and the number from which it holds, 0 for
    the next that is free. `named` where the client chose it by name.
    """

    contract: Contract
    first: int = 0
    named: bool = False


Meaning = Enum("Meaning", "STANDS CHANGES")


def meaning(
    now: Contract,
    named: bool,
    coming: tuple[int, Contract] | None,
    declared: Declared,
    free: int,
) -> Meaning:
    """What a declaration means to a channel that has a contract, perhaps with another `coming` from a number on; `named`
    where a client chose it; `free` is the lowest number past all that were let go. Raises what says which two contradict
    and what to do.
    """
    said = declared.contract
    known = [now] + ([coming[1]] if coming else [])
    last = known[-1]
    same = next(
        (
            each
            for each in known
            if (each.name, each.version) == (said.name, said.version)
        ),
        None,
    )
    if same is not None:
        if (same.order, same.unsure) != (said.order, said.unsure):
            raise ContractConflict(
                f"contract {said.name} version {said.version} is {words(said)} here and {words(same)} in "
                "the channel's record: give the changed one a higher version at all gateways"
            )
        if (
            declared.first
            and coming
            and same is coming[1]
            and declared.first != coming[0]
        ):
            raise ContractConflict(
                f"contract {said.name} version {said.version} holds from {coming[0]} already, not from "
                f"{declared.first}: open with {coming[0]} or with 0"
            )
        return Meaning.STANDS
    if said.name == last.name and said.version < last.version:
        raise ContractOutdated(
            f"contract {said.name} is at version {last.version} in the channel's record, version "
            f"{said.version} here: bring this gateway's file up to date"
        )
    if said.name != last.name and named and not declared.named:
        return Meaning.STANDS  # a client chose, and opens again without a name
    if coming:
        raise ContractConflict(
            f"contract {coming[1].name} version {coming[1].version} comes from number {coming[0]}: "
            f"{said.name} version {said.version} can be declared when that is reached"
        )
    if declared.first and declared.first < free:
        raise ContractConflict(
            f"numbers below {free} were let go under {now.name} version {now.version}: let "
            f"{said.name} version {said.version} hold from {free} or later"
        )
    return Meaning.CHANGES


def words(contract: Contract) -> str:
    return f"{contract.order.name} with {contract.unsure.name}"


class Book:
    """The operator's contracts, in the file's order: the first that fits is taken."""

    def __init__(
        self, contracts: list[tuple[Contract, frozenset[str], frozenset[str], bool]]
    ) -> None:
        self.contracts = contracts

    def covers(self, volume: str) -> bool:
        """Whether any contract holds for channels of a volume."""
        return any(
            not volumes or volume in volumes for _, volumes, _, _ in self.contracts
        )

    def takes(self, name: str, volume: str, operation: str) -> bool:
        """Whether a contract covers an operation of a volume; one that the file has no longer covers all that write."""
        for contract, volumes, operations, _ in self.contracts:
            if contract.name == name and (not volumes or volume in volumes):
                return not operations or operation in operations
        return True

    def declared(self, volume: str, name: str, version: int, first: int) -> Declared:
        """What a client's OPEN declares, within what the operator allows."""
        fitting = [each for each in self.contracts if not each[1] or volume in each[1]]
        if not fitting:
            raise ContractNotOffered(
                f"volume {volume} has no contract: name it in fleet.channels.contract"
            )
        if not name:
            return Declared(fitting[0][0], first)
        found = next((each for each in fitting if each[0].name == name), None)
        if found is None or not (found[3] or found is fitting[0]):
            raise ContractNotOffered(
                f"contract {name} is not offered to clients of volume {volume}: open without a name, or have "
                "the operator set chosen_by_client"
            )
        if version and version != found[0].version:
            raise ContractNotOffered(
                f"contract {name} is at version {found[0].version} here, not {version}: open with "
                f"{found[0].version} or 0"
            )
        return Declared(found[0], first, True)
