"""What a trace says of the service: by time window, category and reason; and the service figure as the laboratory reckons it.

A command counts in the window of its arrival. `terms` of a header give reserves, weights and the fleet's power; a gateway's own
trace knows its facts, and not the power of the boxes, which is then handed in.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from milletsill.trace.format import MalformedTrace
from milletsill.trace.reader import Heard, Trace
from milletsill.trace.reckoning import Claim, Done, reckon
from milletsill.trace.records import BY_NAME

SECOND, MOST_WINDOWS, MOST_SPANS, MOST_REASONS = 10_000, 10_000, 2_000_000, 100
COMMANDS = frozenset((BY_NAME["command"].number,))


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What the figure needs: categories (name, target time, utility, late utility), prices of plans, claims of stores by
    name, the boxes' power in units a second, largest transfer, utilities of share and spare.
    """

    categories: list[tuple[str, int, float, float]]
    prices: list[float]
    stores: dict[str, int]
    claims: list[Claim]
    power: float
    largest: float
    share: float
    spare: float


def put_terms(terms: ServiceTerms) -> dict[str, Any]:
    """For a header."""
    return {
        "categories": [list(each) for each in terms.categories],
        "prices": terms.prices,
        "stores": list(terms.stores),
        "claims": [[each.reserve, each.weight] for each in terms.claims],
        "power": terms.power,
        "largest": terms.largest,
        "share": terms.share,
        "spare": terms.spare,
    }


def terms_of(about: dict[str, Any], power: float | None) -> ServiceTerms:
    """The terms of a header: its own `terms`, or those of a gateway's facts with the power given."""
    try:
        own = about.get("terms")
        if isinstance(own, dict):
            return ServiceTerms(
                [
                    (str(a), int(b), float(c), float(d))
                    for a, b, c, d in own["categories"]
                ],
                own["prices"],
                {name: place for place, name in enumerate(own["stores"])},
                [Claim(*each) for each in own["claims"]],
                power or own["power"],
                own["largest"],
                own["share"],
                own["spare"],
            )
        facts, plans = (
            about["facts"],
            {name: place for place, name in enumerate(about.get("plans", ()))},
        )
        claims = [
            facts["plans"][plans[plan] if plan in plans else 0]
            for _, plan in about["volumes"]
        ]
        return ServiceTerms(
            [
                (
                    str(each.get("name", place)),
                    each["target_time"],
                    each["utility"],
                    each["late_utility"],
                )
                for place, each in enumerate(facts["categories"])
            ],
            [each["price"] for each in facts["plans"]],
            {name: place for place, (name, _) in enumerate(about["volumes"])},
            [Claim(each["reserve_rate"], each["weight"]) for each in claims],
            power or 0.0,
            facts["largest_units"],
            facts["share_utility"],
            facts.get("spare_utility", 0.0),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise MalformedTrace(
            f"a header without the terms of service: {type(error).__name__} {error}"
        ) from None


def done_of(
    trace: Trace,
    terms: ServiceTerms,
    since: int | None = None,
    until: int | None = None,
) -> Iterator[tuple[Done, int, str, str]]:
    """Each command as the reckoning takes it, with its span, final answer and reason."""
    for _, _, values in trace.rows(since, until, only=COMMANDS):
        began, span, store, plan, category, _, units, _, _, final, why = values
        if not (
            0 <= category < len(terms.categories) and 0 <= plan < len(terms.prices)
        ):
            raise MalformedTrace(
                f"a command of category {category} and plan {plan}, which the header does not have"
            )
        name, target, utility, late = terms.categories[category]
        in_time = final == "satisfied" and span <= target
        counts = 1.0 if in_time else late if final == "satisfied" else 0.0
        yield (
            Done(
                began // SECOND,
                terms.stores.get(store, 0),
                name,
                units,
                utility * terms.prices[plan],
                counts,
                not in_time,
            ),
            span,
            final,
            why,
        )


@dataclass
class Window:
    """One stretch of time; utilities of what was asked and what was in time, without regard to reserves."""

    due: float = 0.0
    in_time: float = 0.0
    finals: Counter[str] = field(default_factory=Counter)
    spans: dict[str, list[int]] = field(default_factory=dict)

    def row(self) -> dict[str, Any]:
        return {
            "service": self.in_time / self.due if self.due else None,
            **self.finals,
            "ms": {
                name: quantiles(spans) for name, spans in sorted(self.spans.items())
            },
        }


def quantiles(spans: list[int]) -> dict[str, float]:
    values = np.percentile(np.array(spans), (50, 90, 99)) / 10
    return {
        name: round(float(value), 1)
        for name, value in zip(("p50", "p90", "p99"), values)
    }


def summarise(
    source: str,
    window: int,
    power: float | None = None,
    since: int | None = None,
    until: int | None = None,
    heard: Heard = None,
) -> dict[str, Any]:
    """Service, quantiles, who was declined and why, by windows of so many tenths of a millisecond."""
    windows: dict[int, Window] = {}
    reasons: Counter[tuple[str, str, str]] = Counter()
    done, spans_held = [], 0
    with Trace(source, heard) as trace:
        terms = terms_of(trace.map.about, power)
        for each, span, final, why in done_of(trace, terms, since, until):
            at = each.second * SECOND // window
            if at not in windows and len(windows) >= MOST_WINDOWS:
                raise MalformedTrace(
                    f"more than {MOST_WINDOWS} windows: take longer ones"
                )
            held = windows.setdefault(at, Window())
            held.due += each.units * each.utility
            held.in_time += 0.0 if each.late else each.units * each.utility
            held.finals[final] += 1
            if final == "satisfied" and spans_held < MOST_SPANS:
                held.spans.setdefault(each.category, []).append(span)
                spans_held += 1
            elif final != "satisfied" and (
                len(reasons) < MOST_REASONS or (each.category, final, why) in reasons
            ):
                reasons[each.category, final, why] += 1
            done.append(each)
        figure = reckoned(done, terms) if terms.power else None
        return {
            "file": source,
            "commands": len(done),
            "service": figure,
            "service without reserves": sum(w.in_time for w in windows.values())
            / max(sum(w.due for w in windows.values()), 1e-9),
            "windows": [
                {"from_s": at * window / SECOND, **held.row()}
                for at, held in sorted(windows.items())
            ],
            "not satisfied": [
                {"category": a, "final": b, "why": c, "count": count}
                for (a, b, c), count in reasons.most_common()
            ],
        }


def reckoned(done: list[Done], terms: ServiceTerms) -> dict[str, float]:
    """Service by reserve, share and the rest, in all ('') and by category; as the laboratory's report has it."""
    found = reckon(
        done, terms.claims, terms.power, terms.largest, terms.share, terms.spare
    )
    return {
        name: counted / due if due else 0.0
        for name, (counted, due) in sorted(found.items())
    }


def table(found: dict[str, Any]) -> str:
    """A summary for people."""
    lines = [
        f"{found['file']}: {found['commands']} commands; service "
        + (
            f"{found['service'].get('', 0):.3f} by reserve and share, "
            if found["service"]
            else ""
        )
        + f"{found['service without reserves']:.3f} without regard to them"
    ]
    lines.append(
        f"{'from s':>10}{'service':>9}{'satisfied':>10}{'declined':>9}{'aborted':>8}  p50/p99 ms"
    )
    for row in found["windows"]:
        spans = ", ".join(
            f"{name} {each['p50']:g}/{each['p99']:g}"
            for name, each in row["ms"].items()
        )
        service = "-" if row["service"] is None else f"{row['service']:.3f}"
        lines.append(
            f"{row['from_s']:>10.0f}{service:>9}{row.get('satisfied', 0):>10}{row.get('declined', 0):>9}"
            f"{row.get('aborted', 0):>8}  {spans}"
        )
    lines += [
        f"{each['count']:>10}  {each['category']} {each['final']}: {each['why'] or 'no reason kept'}"
        for each in found["not satisfied"]
    ]
    return "\n".join(lines)


def plot(found: dict[str, Any], path: str) -> None:
    """Service, answers and 99th percentiles over time, as a picture."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = found["windows"]
    at = [each["from_s"] for each in rows]
    figure, (upper, middle, lower) = pyplot.subplots(3, 1, sharex=True, figsize=(9, 8))
    upper.plot(at, [each["service"] for each in rows], drawstyle="steps-post")
    upper.set_ylabel("service")
    upper.set_ylim(0, 1.05)
    for final in ("satisfied", "declined", "aborted"):
        middle.plot(
            at,
            [each.get(final, 0) for each in rows],
            label=final,
            drawstyle="steps-post",
        )
    middle.set_ylabel("commands")
    middle.legend()
    for name in sorted({name for each in rows for name in each["ms"]}):
        lower.plot(
            at,
            [each["ms"].get(name, {}).get("p99") for each in rows],
            label=name,
            drawstyle="steps-post",
        )
    lower.set_ylabel("p99 ms")
    lower.set_xlabel("s")
    lower.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
