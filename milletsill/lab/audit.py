"""Checks the seven rules from what crossed the sockets; the edge has no say in it.

`audit` gives one `Breach` for each thing found, with the packets that show it. Slacks are for the way through the sockets of
a busy machine, and stated in the report.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from milletsill.lab.evidence import Dispatch, Evidence, gather

__all__ = ["RULES", "Breach", "audit", "gather"]
SLACK = 0.06  # seconds between a packet's being written and its being read on a busy machine
WORK_SLACK = 1.0  # seconds of work of a cold box, for chance in what a transfer costs
RULES = {
    1: "one final answer in time",
    2: "no effect twice",
    3: "drains are kept",
    4: "no cold box pushed over",
    5: "order by key",
    6: "budget of further dispatches",
    7: "limits",
}


@dataclass
class Breach:
    """A broken rule and the packets that show it."""

    rule: int
    text: str
    packets: list[str] = field(default_factory=list)


def transfers_of(evidence: Evidence) -> dict[tuple[str, int, int], list[Dispatch]]:
    """Dispatches by transfer, in the order in which they came."""
    found: dict[tuple[str, int, int], list[Dispatch]] = defaultdict(list)
    for each in sorted(evidence.dispatches, key=lambda each: each.at):
        found[each.edge, each.incarnation, each.transfer].append(each)
    return found


def rule_1(evidence: Evidence, terms: Any) -> Iterator[Breach]:
    """Each command one answer before its patience, but where its connection ended; nothing sent after it."""
    for stray in evidence.strays:
        yield Breach(1, "an answer that is not owed", [stray])
    answered: dict[str, float] = {}
    slack = SLACK + evidence.late
    for each in evidence.commands:
        line = each.line()
        ends = each.at + each.patience
        # A gateway that the laboratory stopped is not running: it owes its answer once it runs again.
        ends = max(
            [ends]
            + [
                to + SLACK
                for edge, since, to in evidence.stops
                if edge == each.edge and since - SLACK <= ends <= to + SLACK
            ]
        )
        if not each.answers and (each.lost is None or each.lost > ends + slack):
            yield Breach(1, f"no answer within {each.patience:g} s", [line])
        for at, kind, language, _ in each.answers:
            if at > ends + slack:
                yield Breach(
                    1,
                    f"an answer {at - ends:.3f} s after patience",
                    [line, f"{at:.4f} answer {kind}"],
                )
            if each.mark:
                # A number that a gateway gave up with `aborted` may yet be done by its keeper, as long as its client's patience.
                open_end = each.handle and language == "x-aborted"
                answered[f"{each.mark}~{each.tries}"] = (
                    max(at, ends) if open_end else at
                )
    for each in evidence.dispatches:
        end = answered.get(each.mark)
        # Its time is that of the box's read: where the boxes' process stood, it may have been there since that began.
        if each.mark and end is not None and evidence.sent_by(each.at) > end + slack:
            yield Breach(
                1,
                "a dispatch after the final answer",
                [f"{end:.4f} final answer", each.line()],
            )


def rule_2(evidence: Evidence, terms: Any) -> Iterator[Breach]:
    """Exclusive: nothing more once one may have run. Ticketed: within window and group. No untrue decline."""
    categories = {each.name: each for each in terms.gateway.category}
    answers = {
        f"{each.mark}~{each.tries}": answer[2]
        for each in evidence.commands
        for answer in each.answers
        if each.mark
    }
    places = {each["box"]: each for each in evidence.notes if each["what"] == "boot"}
    for dispatches in transfers_of(evidence).values():
        category = categories.get(dispatches[0].category)
        if category is None or category.repeats == "rerunnable":
            continue
        ran = [each for each in dispatches if each.verdict not in (1, 2)]
        lines = [each.line() for each in dispatches]
        for later in dispatches:
            before = [
                each
                for each in ran
                if each.at < later.at
                and each.number < later.number
                and not (each.ended is not None and each.verdict in (1, 2))
            ]
            if not before:
                continue
            if category.repeats == "exclusive":
                yield Breach(
                    2, "an exclusive transfer sent again after it may have run", lines
                )
            elif later.at > before[0].at + category.repeat_window_ms / 1000 + SLACK:
                yield Breach(2, "a ticketed transfer sent again past its window", lines)
            elif category.group != "all" and any(
                places[each.box][category.group] != places[later.box][category.group]
                for each in before
            ):
                yield Breach(
                    2, "a ticketed transfer sent again outside its group", lines
                )
        declined = answers.get(dispatches[0].mark, "").startswith("x-declined")
        if (
            ran
            and declined
            and (category.repeats, category.group) != ("ticketed", "all")
        ):
            yield Breach(2, "declined though it may have run", lines)


def rule_3(evidence: Evidence, terms: Any) -> Iterator[Breach]:
    """Nothing to a box later than the grace after this gateway was told that it drains or is gone."""
    grace = terms.gateway.rules.drain_grace_ms / 1000 + SLACK
    by_pair: dict[tuple[str, int], list[tuple[float, str]]] = defaultdict(list)
    for edge, rows in evidence.told.items():
        for at, box, state in rows:
            by_pair[edge, box].append((at, state))
    for each in evidence.dispatches:
        last, since = "ready", 0.0
        for at, state in by_pair.get((each.edge, each.box), []):
            if at > each.at:
                break
            if state != last:
                since = at if last == "ready" else since
                last = state
        if last != "ready" and each.at > since + grace:
            yield Breach(
                3,
                f"sent {each.at - since:.3f} s after the gateway was told that the box is {last}",
                [each.line()],
            )


def rule_4(evidence: Evidence, terms: Any) -> Iterator[Breach]:
    """A cold box gets no more than the multiple of what it can do, kept up for the window; and none fell."""
    rules, window = terms.gateway.rules, terms.gateway.rules.cold_window_ms / 1000
    work = {
        each.category: each.work_ms / 1000 / rules.unit_mean for each in terms.traffic
    }
    for note in evidence.notes:
        if note["what"] == "fell":
            yield Breach(
                4,
                f"box {note['box']} fell over",
                [f"{note['at']:.4f} box {note['box']} fell"],
            )
        if note["what"] != "boot" or not note["cold"]:
            continue
        start = note["at"]
        sends = sorted(
            (
                each
                for each in evidence.dispatches
                if each.box == note["box"] and start <= each.at < start + note["cold_s"]
            ),
            key=lambda each: each.at,
        )
        first = 0
        for place, each in enumerate(sends):
            while sends[first].at < each.at - window:
                first += 1
            within = sends[first : place + 1]
            warmth = note["cold_from"] + (1 - note["cold_from"]) * min(
                (each.at - start) / note["cold_s"], 1
            )
            bears = rules.cold_multiple * note["cores"] * warmth * window + WORK_SLACK
            if (
                sum(one.units for one in within) > rules.cold_units
                and sum(
                    one.units * work.get(one.category, 0.001)
                    if one.kind in (5, 6)
                    else 0.001
                    for one in within
                )
                > bears
            ):
                yield Breach(
                    4,
                    f"more than a cold box bears within {window:g} s",
                    [one.line() for one in within[-5:]],
                )
                break


def rule_5(evidence: Evidence, terms: Any) -> Iterator[Breach]:
    """Transfers of one key run one at a time."""
    ordered = {each.name for each in terms.gateway.category if each.in_order}
    rest = terms.gateway.rules.key_rest_ms / 1000
    by_key: dict[tuple[str, int, int], list[Dispatch]] = defaultdict(list)
    for each in evidence.dispatches:
        if each.category in ordered and each.extent:
            by_key[each.edge, each.incarnation, each.extent].append(each)
    for rows in by_key.values():
        rows.sort(key=lambda each: each.at)
        for before, after in zip(rows, rows[1:]):
            ends = before.ended if before.ended is not None else before.at + rest
            if before.transfer != after.transfer and after.at < ends - SLACK:
                yield Breach(
                    5, "two transfers of one key at once", [before.line(), after.line()]
                )
            elif before.transfer > after.transfer:
                yield Breach(
                    5, "a key's transfers out of turn", [before.line(), after.line()]
                )


def rule_6(evidence: Evidence, terms: Any) -> Iterator[Breach]:
    """Further dispatches in any window against the commands that the gateway took in it."""
    rules = terms.gateway.rules
    if not rules.HasField("further_window_ms"):
        return
    window = rules.further_window_ms / 1000
    taken: dict[str, list[float]] = defaultdict(list)
    for each in evidence.commands:
        taken[each.edge].append(each.at)
    further: dict[str, list[Dispatch]] = defaultdict(list)
    for each in sorted(evidence.dispatches, key=lambda each: each.at):
        if each.number:
            further[each.edge].append(each)
    for edge, rows in further.items():
        for place, each in enumerate(rows):
            within = [
                one for one in rows[: place + 1] if one.at > each.at - window + SLACK
            ]
            took = sum(each.at - window - SLACK <= at <= each.at for at in taken[edge])
            if len(within) > rules.further_free + rules.further_ratio * took:
                yield Breach(
                    6,
                    f"{len(within)} further dispatches within {window:g} s, {took} commands taken",
                    [one.line() for one in within[-5:]],
                )
                break


def rule_7(evidence: Evidence, terms: Any) -> Iterator[Breach]:
    """What all gateways first send for a volume against its plan's limit store, full at the start."""
    plans = {each.name: each for each in terms.gateway.plan}
    by_volume: dict[int, list[Dispatch]] = defaultdict(list)
    for rows in transfers_of(evidence).values():
        by_volume[rows[0].volume].append(rows[0])
    for number, rows in by_volume.items():
        if not 1 <= number <= len(terms.gateway.volume):
            continue
        plan = plans[terms.gateway.volume[number - 1].plan]
        if not plan.limit_rate:
            continue
        rows.sort(key=lambda each: each.at)
        level, at = plan.limit_store, rows[0].at
        for each in rows:
            level = (
                min(level + plan.limit_rate * (each.at - at), plan.limit_store)
                - each.units
            )
            at = each.at
            if level < -plan.limit_slack - plan.limit_rate * SLACK:
                yield Breach(
                    7,
                    f"volume {number} is {-level:.1f} units past its limit",
                    [each.line()],
                )
                break


CHECKS = {1: rule_1, 2: rule_2, 3: rule_3, 4: rule_4, 5: rule_5, 6: rule_6, 7: rule_7}


def audit(evidence: Evidence, terms: Any) -> dict[int, list[Breach]]:
    """Every rule with its breaches; `terms` is the scenario."""
    return {rule: list(check(evidence, terms)) for rule, check in CHECKS.items()}
