"""Audits the ordering contracts of channels from clients' packets and nodes' writes.

The audit does not rely on what gateways report. In every channel, a number takes effect
at most once and only if a client sent it; a number that was answered as settled has
taken effect and is never reported otherwise; a number that was reported as without
effect takes none later; claims increase. In addition, each contract's order is checked.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass

from milletsill.lab.breaches import SOCKET_SLACK, Breach
from milletsill.lab.channel_history import (
    NOT_DONE,
    OK,
    ChannelHistory,
    KeyRange,
    NumberWrite,
    channel_histories,
)
from milletsill.lab.evidence import Evidence, RecordedAnswer
from milletsill.settings.milletsill_pb2 import Scenario

IN_ORDER = 0
NEWEST = 1
BY_KEY_RANGE = 2
BATCHES = 3
ORDER_TITLES = {
    IN_ORDER: "each in order",
    NEWEST: "newest",
    BY_KEY_RANGE: "by extent",
    BATCHES: "batches",
}
RETRYABLE_TAGS = ("x-declined", "x-claim-lost", "x-over")
"""Prefixes of language tags that leave open what happened to a number."""
Check = Callable[[ChannelHistory], Iterator[Breach]]


# Checks of every channel.


def check_single_effects(history: ChannelHistory) -> Iterator[Breach]:
    """Each generation of a number takes effect once at most, and was requested.

    A generation above 0 needs as many resolutions "not done" by a client before it.
    """
    seen: dict[tuple[int, int], NumberWrite] = {}
    for effect in history.effects:
        number = effect.number
        line = effect.describe()
        before = seen.setdefault((number, effect.generation), effect)
        if before is not effect:
            yield history.breach(
                f"number {number} took effect twice", before.describe(), line
            )
        asked = sum(
            message.resolution == NOT_DONE and message.at <= effect.at
            for message in history.resolutions[number]
        )
        if effect.generation > asked:
            yield history.breach(
                f"number {number} released again, no client resolved it as not done",
                line,
            )
        if history.openings and number not in history.commands:
            yield history.breach(
                f"number {number} took effect, and no client sent it", line
            )


def contradicts_settled(answer: RecordedAnswer) -> bool:
    """Return whether an answer denies that a number is settled."""
    return answer.code != OK and not answer.language.startswith(RETRYABLE_TAGS)


def check_settled(history: ChannelHistory) -> Iterator[Breach]:
    """A number answered as settled has taken effect and stays reported as settled."""
    written: dict[int, list[float]] = defaultdict(list)
    for effect in history.effects:
        written[effect.number].append(effect.at)
    for number, settled_at in history.settled.items():
        if not any(at <= settled_at + SOCKET_SLACK for at in written[number]):
            yield history.breach(
                f"number {number} was settled without an effect",
                f"{settled_at:.4f} settled",
                *(f"{at:.4f} written" for at in written[number]),
            )
        for command in history.commands[number]:
            if command.at <= settled_at:
                continue
            for answer in filter(contradicts_settled, command.answers):
                reported = answer.language or answer.code
                yield history.breach(
                    f"number {number} was settled, later reported as {reported}",
                    f"{settled_at:.4f} settled",
                    f"{answer.at:.4f} {command.describe()}",
                )
    if history.order in (IN_ORDER, NEWEST):
        yield from check_next_numbers(history)


def check_next_numbers(history: ChannelHistory) -> Iterator[Breach]:
    """The next number in an opening's answer is above all numbers settled before."""
    for message in history.openings:
        top = max(
            (number for number, at in history.settled.items() if at < message.at),
            default=0,
        )
        opening = message.opening
        if opening is not None and opening.next_number <= top:
            yield history.breach(
                f"next number is {opening.next_number} after {top} was settled",
                f"{message.at:.4f} opened at {message.gateway}",
            )


def check_ended(history: ChannelHistory) -> Iterator[Breach]:
    """A number that was reported as without effect does not take effect later."""
    for effect in history.effects:
        end = history.ended.get(effect.number)
        if end is not None and effect.at > end.at + SOCKET_SLACK:
            yield history.breach(
                f"number {effect.number} took effect after {end.reason}",
                f"{end.at:.4f} {end.reason}",
                effect.describe(),
            )


@dataclass(frozen=True, slots=True)
class AnsweredClaim:
    """A claim that a gateway granted to a client, with both times."""

    claim: int
    requested_at: float
    answered_at: float
    gateway: str


def check_claims(history: ChannelHistory) -> Iterator[Breach]:
    """A claim requested after another claim was answered is larger than it."""
    claims = sorted(
        (
            AnsweredClaim(
                message.opening.claim,
                message.at,
                message.answers[0].at,
                message.gateway,
            )
            for message in history.openings
            if message.opening is not None
        ),
        key=lambda claim: claim.answered_at,
    )
    for place, claim in enumerate(claims):
        before = max(
            (each for each in claims[:place] if each.answered_at < claim.requested_at),
            key=lambda each: each.claim,
            default=None,
        )
        if before is not None and claim.claim <= before.claim:
            yield history.breach(
                f"claim {claim.claim} after claim {before.claim}",
                f"{before.answered_at:.4f} answered by {before.gateway}",
                f"{claim.answered_at:.4f} answered by {claim.gateway}",
            )


# Checks of one contract each.


def inversions(
    history: ChannelHistory, effects: Iterable[NumberWrite]
) -> Iterator[Breach]:
    """Find lower numbers that were written after higher ones."""
    top: NumberWrite | None = None
    for effect in effects:
        if top is not None and effect.number < top.number:
            yield history.breach(
                f"number {effect.number} took effect after number {top.number}",
                top.describe(),
                effect.describe(),
            )
        if top is None or effect.number > top.number:
            top = effect


def gaps(history: ChannelHistory) -> Iterator[Breach]:
    """Find gaps: numbers without effect or reported end below one with an effect."""
    seen: set[int] = set()
    top = 0
    for effect in history.effects:
        for number in range(top + 1, effect.number):
            if number not in seen and not history.may_lack_effect(number):
                yield history.breach(
                    f"number {effect.number} took effect, and number {number} before "
                    "it did not",
                    effect.describe(),
                )
        seen.add(effect.number)
        top = max(top, effect.number)


def check_in_order(history: ChannelHistory) -> Iterator[Breach]:
    """Each number takes effect after all lower ones."""
    yield from inversions(history, history.effects)
    yield from gaps(history)


def check_newest(history: ChannelHistory) -> Iterator[Breach]:
    """No number takes effect after a higher one."""
    yield from inversions(history, history.effects)


def check_key_ranges(history: ChannelHistory) -> Iterator[Breach]:
    """No number takes effect after a higher one in the same part of a file."""
    by_range: dict[KeyRange, list[NumberWrite]] = defaultdict(list)
    for effect in history.effects:
        by_range[effect.range].append(effect)
    for effects in by_range.values():
        yield from inversions(history, effects)


def check_batches(history: ChannelHistory) -> Iterator[Breach]:
    """No number of a batch is written before all numbers of earlier batches.

    A number that was reported as without effect, or whose outcome is indeterminate,
    need not be written.
    """
    batches = {
        number: commands[0].batch for number, commands in history.commands.items()
    }
    written_at = {
        number: effect.at
        for number in batches
        if (effect := history.first_effect(number)) is not None
    }
    for number, at in sorted(written_at.items()):
        for before, batch in batches.items():
            if batch >= batches[number]:
                continue
            where = f"number {number} of batch {batches[number]} took effect"
            if before not in written_at:
                if not history.may_lack_effect(before):
                    yield history.breach(
                        f"{where}, and number {before} of batch {batch} did not",
                        f"{at:.4f}",
                    )
            elif written_at[before] > at and before not in history.ended:
                yield history.breach(
                    f"{where} before number {before} of batch {batch}",
                    f"{at:.4f} before {written_at[before]:.4f}",
                )


CHECKS_OF_ALL: tuple[Check, ...] = (
    check_single_effects,
    check_settled,
    check_ended,
    check_claims,
)
CHECK_OF_ORDER: dict[int, Check] = {
    IN_ORDER: check_in_order,
    NEWEST: check_newest,
    BY_KEY_RANGE: check_key_ranges,
    BATCHES: check_batches,
}


def mismatched_orders(
    history: ChannelHistory, declared: Mapping[str, int]
) -> Iterator[Breach]:
    """Find openings answered with another order than the settings declare."""
    for message in history.openings:
        opening = message.opening
        if opening is not None and declared.get(opening.contract) != opening.order:
            order = ORDER_TITLES.get(opening.order)
            yield history.breach(
                f"contract {opening.contract} opened with order {order}"
            )


def audit_contracts(evidence: Evidence, scenario: Scenario) -> dict[str, list[Breach]]:
    """Return the breaches by the title of the contract's order; see `ORDER_TITLES`."""
    contracts = scenario.gateway.fleet.channels.contract
    declared = {contract.name: contract.order for contract in contracts}
    found: dict[str, list[Breach]] = {
        ORDER_TITLES[declared[each.contract]]: [] for each in scenario.channels
    }
    for history in channel_histories(evidence, scenario):
        if history.order not in CHECK_OF_ORDER:
            continue
        breaches = found.setdefault(ORDER_TITLES[history.order], [])
        for check in (*CHECKS_OF_ALL, CHECK_OF_ORDER[history.order]):
            breaches += check(history)
        breaches += mismatched_orders(history, declared)
    return found
