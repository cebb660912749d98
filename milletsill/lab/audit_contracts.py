"""Checks the contracts of channels from what crossed the sockets of clients and from when boxes wrote; gateways have no say.

A box's ticket says which number a write was of: `VOLUME@CHANNEL@NUMBER.TURN#...`, VOLUME the xxh64 of its name, TURN growing
with each `again` that a client said. A number is settled once a client was answered OK for it. Checked for every channel: no effect twice, none without having
been asked for, none missing or forgotten once it was said to be settled, none after it was said to have none, claims that grow;
then the order that its contract says.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import xxhash

from milletsill.lab.audit import SLACK, Breach
from milletsill.lab.evidence import OPEN, SAY, Evidence, Sent, Word

IN_ORDER, NEWEST, BY_EXTENT, BATCHES = range(4)
NAMES = {
    IN_ORDER: "each in order",
    NEWEST: "newest",
    BY_EXTENT: "by extent",
    BATCHES: "batches",
}
TICKET = re.compile(r"(\d+)@(.+)@(\d+)\.(\d+)#.*")
SAID_AGAIN, SAID_LEFT_OUT, OK = 2, 3, 0
GONE = (
    "x-left-out",
    "x-superseded",
)  # signs after which the number has no effect any more
Key = tuple[int, str]


@dataclass
class Effect:
    """A write at a box that a number stands behind."""

    at: float
    box: int
    number: int
    turn: int
    extent: tuple[str, int]
    gateway: str
    transfer: int

    def line(self) -> str:
        return f"{self.at:.4f} box {self.box} wrote number {self.number}.{self.turn}, {self.gateway} transfer {self.transfer}"


@dataclass
class Line:
    """All that is known of one channel; what is by number is in the order of its time."""

    key: Key
    order: int = -1
    effects: list[Effect] = field(default_factory=list)
    sent: dict[int, list[Sent]] = field(default_factory=lambda: defaultdict(list))
    said: dict[int, list[Word]] = field(default_factory=lambda: defaultdict(list))
    opens: list[Word] = field(default_factory=list)
    settled: dict[int, float] = field(
        default_factory=dict
    )  # when a client was first told so
    ended: dict[int, tuple[float, str]] = field(
        default_factory=dict
    )  # when one was told that it has none
    unsure: set[int] = field(default_factory=set)

    def breach(self, text: str, *packets: str) -> Breach:
        return Breach(
            0, f"channel {self.key[1]} of volume {self.key[0]}: {text}", list(packets)
        )

    def first(self, number: int) -> Effect | None:
        return next((each for each in self.effects if each.number == number), None)


def root_of(path: str, terms: Any) -> int:
    """A volume's number from a path in it; 0 for none."""
    return next(
        (
            place + 1
            for place, each in enumerate(terms.gateway.volume)
            if path == each.root or path.startswith(each.root + "/")
        ),
        0,
    )


def lines_of(evidence: Evidence, terms: Any) -> dict[Key, Line]:
    """Every channel that a client opened or a box wrote for."""
    found: dict[Key, Line] = {}
    handles: dict[tuple[int, str, bytes], Line] = {}
    for word in evidence.words:
        if word.verb == OPEN:
            key = (root_of(word.path, terms), word.channel)
            line = found.setdefault(key, Line(key))
            line.opens.append(word)
            if word.told:
                handles[word.conn, word.edge, word.told["handle"]] = line
                line.order = word.told["order"]
                line.unsure.update(word.told["unsure"])
    for word in evidence.words:
        if (
            word.verb == SAY
            and (line := handles.get((word.conn, word.edge, word.handle))) is not None
        ):
            line.said[word.number].append(word)
    for each in evidence.commands:
        if (
            each.handle
            and (line := handles.get((each.conn, each.edge, each.handle))) is not None
        ):
            line.sent[each.number].append(each)
    size = terms.gateway.rules.extent_bytes
    numbers = {
        xxhash.xxh64_intdigest(each.name.encode()): place + 1
        for place, each in enumerate(terms.gateway.volume)
    }
    for note in evidence.notes:
        taken = (
            TICKET.fullmatch(note.get("ticket", ""))
            if note["what"] == "effect" and note["code"] == OK
            else None
        )
        if taken is not None:
            key = (numbers.get(int(taken[1]), 0), taken[2])
            found.setdefault(key, Line(key)).effects.append(
                Effect(
                    note["at"],
                    note["box"],
                    int(taken[3]),
                    int(taken[4]),
                    (note["path"], note["offset"] // size),
                    note["gateway"],
                    note["transfer"],
                )
            )
    for line in found.values():
        line.effects.sort(key=lambda each: each.at)
        tell(line)
    return found


def tell(line: Line) -> None:
    """What clients were told of each number."""
    for number, sends in line.sent.items():
        for at, _, language, code in sorted(
            answer for each in sends for answer in each.answers
        ):
            if code == OK:
                line.settled.setdefault(number, at)
            elif language.startswith(GONE):
                line.ended.setdefault(number, (at, language))
            elif language == "x-aborted":
                line.unsure.add(number)
    for number, words in line.said.items():
        for word in words:
            if word.word == SAID_LEFT_OUT and any(
                code == OK for _, _, _, code in word.answers
            ):
                line.ended.setdefault(number, (word.answers[0][0], "said left out"))


# Of every channel.


def twice(line: Line) -> Iterator[Breach]:
    """One effect for a number and a turn; a further turn where a client asked for it."""
    seen: dict[tuple[int, int], Effect] = {}
    for each in line.effects:
        before = seen.setdefault((each.number, each.turn), each)
        if before is not each:
            yield line.breach(
                f"number {each.number} took effect twice", before.line(), each.line()
            )
        asked = sum(
            word.word == SAID_AGAIN and word.at <= each.at
            for word in line.said[each.number]
        )
        if each.turn > asked:
            yield line.breach(
                f"number {each.number} let go again, and nobody said so", each.line()
            )
        if line.opens and each.number not in line.sent:
            yield line.breach(
                f"number {each.number} took effect, and no client sent it", each.line()
            )


def lost(line: Line) -> Iterator[Breach]:
    """What was said to be settled had its effect, and is never told otherwise."""
    written = defaultdict(list)
    for each in line.effects:
        written[each.number].append(each.at)
    for number, at in line.settled.items():
        if not any(when <= at + SLACK for when in written[number]):
            yield line.breach(
                f"number {number} was settled without an effect",
                f"{at:.4f} settled",
                *(f"{when:.4f} written" for when in written[number]),
            )
        for each in line.sent[number]:
            for when, _, language, code in each.answers:
                if (
                    each.at > at
                    and code != OK
                    and not language.startswith(
                        ("x-declined", "x-claim-lost", "x-over")
                    )
                ):
                    yield line.breach(
                        f"number {number} was settled, and later told as {language or code}",
                        f"{at:.4f} settled",
                        f"{when:.4f} {each.line()}",
                    )
    if line.order not in (IN_ORDER, NEWEST):
        return
    for word in line.opens:
        top = max(
            (number for number, at in line.settled.items() if at < word.at), default=0
        )
        if word.told and word.told["next"] <= top:
            yield line.breach(
                f"next was told as {word.told['next']} after {top} was settled",
                f"{word.at:.4f} opened at {word.edge}",
            )


def after_an_end(line: Line) -> Iterator[Breach]:
    """No effect of a number after a client was told that it has none any more."""
    for each in line.effects:
        if each.number in line.ended and each.at > line.ended[each.number][0] + SLACK:
            at, sign = line.ended[each.number]
            yield line.breach(
                f"number {each.number} took effect after {sign}",
                f"{at:.4f} {sign}",
                each.line(),
            )


def claims(line: Line) -> Iterator[Breach]:
    """A claim that was asked for after another was answered is larger."""
    told = sorted(
        ((word.answers[0][0], word) for word in line.opens if word.told),
        key=lambda each: each[0],
    )
    highest: list[tuple[float, int, Word]] = []
    for at, word in told:
        claim = word.told["claim"]
        before = max(
            (each for each in highest if each[0] < word.at),
            key=lambda each: each[1],
            default=None,
        )
        if before is not None and claim <= before[1]:
            yield line.breach(
                f"claim {claim} after claim {before[1]}",
                f"{before[0]:.4f} told at {before[2].edge}",
                f"{at:.4f} told at {word.edge}",
            )
        highest.append((at, claim, word))


# By contract.


def inversions(line: Line, effects: Iterable[Effect]) -> Iterator[Breach]:
    """A lower number that is written after a higher one."""
    top: Effect | None = None
    for each in effects:
        if top is not None and each.number < top.number:
            yield line.breach(
                f"number {each.number} took effect after number {top.number}",
                top.line(),
                each.line(),
            )
        if top is None or each.number > top.number:
            top = each


def left_out(line: Line) -> Iterator[Breach]:
    """Below a number that took effect each has an effect or an end of which a client was told."""
    seen: set[int] = set()
    top = 0
    for each in line.effects:
        for number in range(top + 1, each.number):
            if (
                number not in seen
                and number not in line.ended
                and number not in line.unsure
            ):
                yield line.breach(
                    f"number {each.number} took effect, and number {number} before it did not",
                    each.line(),
                )
        seen.add(each.number)
        top = max(top, each.number)


def in_order(line: Line) -> Iterator[Breach]:
    yield from inversions(line, line.effects)
    yield from left_out(line)


def newest(line: Line) -> Iterator[Breach]:
    yield from inversions(line, line.effects)


def by_extent(line: Line) -> Iterator[Breach]:
    held: dict[tuple[str, int], list[Effect]] = defaultdict(list)
    for each in line.effects:
        held[each.extent].append(each)
    for effects in held.values():
        yield from inversions(line, effects)


def batches(line: Line) -> Iterator[Breach]:
    """None of a batch is written before each of the one before is, or has an end."""
    of: dict[int, int] = {number: sends[0].batch for number, sends in line.sent.items()}
    firsts = {
        number: each.at for number in of if (each := line.first(number)) is not None
    }
    for number, at in sorted(firsts.items()):
        for before, batch in of.items():
            if (
                batch < of[number]
                and firsts.get(before, at) > at
                and before not in line.ended
            ):
                yield line.breach(
                    f"number {number} of batch {of[number]} took effect before number {before} of batch {batch}",
                    f"{at:.4f} against {firsts[before]:.4f}",
                )
            elif (
                batch < of[number]
                and before not in firsts
                and before not in line.ended
                and before not in line.unsure
            ):
                yield line.breach(
                    f"number {number} of batch {of[number]} took effect, and number {before} of batch {batch} "
                    "did not",
                    f"{at:.4f}",
                )


OF_ALL: tuple[Callable[[Line], Iterator[Breach]], ...] = (
    twice,
    lost,
    after_an_end,
    claims,
)
OF_ORDER = {IN_ORDER: in_order, NEWEST: newest, BY_EXTENT: by_extent, BATCHES: batches}


def audit_contracts(evidence: Evidence, terms: Any) -> dict[str, list[Breach]]:
    """By the contract's order; `terms` is the scenario."""
    declared = {each.name: each.order for each in terms.gateway.fleet.channels.contract}
    found: dict[str, list[Breach]] = {
        NAMES[declared[each.contract]]: [] for each in terms.channels
    }
    for line in lines_of(evidence, terms).values():
        if line.order not in OF_ORDER:
            continue
        held = found.setdefault(NAMES[line.order], [])
        held += [
            breach
            for check in (*OF_ALL, OF_ORDER[line.order])
            for breach in check(line)
        ]
        held += [
            line.breach(
                f"contract {word.told['contract']} told as {NAMES.get(word.told['order'])}"
            )
            for word in line.opens
            if word.told and declared.get(word.told["contract"]) != word.told["order"]
        ]
    return found


def went_on(line: Line, at: float, killed: Sequence[str]) -> float | None:
    """Seconds from a kill until the next number was settled, where the killed gateway was the last that let one go."""
    before = [each.gateway for each in line.effects if each.at < at]
    after = [when for when in line.settled.values() if when > at]
    return min(after) - at if before and before[-1] in killed and after else None


def figures(
    evidence: Evidence, terms: Any, kills: Sequence[tuple[float, Sequence[str]]]
) -> dict[str, dict[str, Any]]:
    """By the contract's order: how much was checked, and how long channels stood whose keeper was killed."""
    found: dict[str, dict[str, Any]] = {}
    for line in lines_of(evidence, terms).values():
        row = found.setdefault(
            NAMES.get(line.order, "unknown"),
            dict.fromkeys(
                (
                    "channels",
                    "claims",
                    "numbers",
                    "settled",
                    "ended otherwise",
                    "written",
                    "answered from memory",
                ),
                0,
            ),
        )
        row["channels"] += 1
        row["claims"] += sum(bool(word.told) for word in line.opens)
        row["numbers"] += len(line.sent)
        row["settled"] += len(line.settled)
        row["ended otherwise"] += len(line.ended)
        row["written"] += len(line.effects)
        row["answered from memory"] += sum(
            code == OK
            for sends in line.sent.values()
            for each in sends
            for _, _, _, code in each.answers
        ) - len(line.settled)
        gaps = row.setdefault("went on after s", [])
        gaps += [
            gap for at, names in kills if (gap := went_on(line, at, names)) is not None
        ]
    for row in found.values():
        gaps = sorted(row.pop("went on after s"))
        if gaps:
            row.update(
                {
                    "keepers killed": len(gaps),
                    "went on after, median s": round(gaps[len(gaps) // 2], 2),
                    "longest s": round(gaps[-1], 2),
                }
            )
    return found
