"""Verdicts on boxes out of the words of all gateways: tables, tuned values, one judge. No I/O, no clock; no chance.

`Judge.look` is a function of the rows, the view and what the judge held at the look before; gateways with equal rows and views
agree within a few looks. Times are whole tenths of a millisecond. See docs/health.md.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import exp
from statistics import median

from milletsill.fleet.health.report_store import Rows

SECOND = 10_000
# Words and their spreading.
TAU = 2 * SECOND  # words fade with this
CALM_PUBLISH = 4  # periods between rows that have nothing ill in them
ROUND, EXCHANGE, FAN, MOST_WAITING = SECOND // 10, SECOND, 2, 8192
FAINT = 0.05  # a word of fewer answers says nothing
MOST_PACES, KNOWN, SIZES = (
    256,
    8,
    2.0,
)  # of which the usual is the median; until it is known; doublings of a size class
MOST_KINDS, MOST_PACE = 4096, 8.0
LASTS = 4  # periods that advice lasts when it is not renewed
# Voices: one origin has at most one on each box.
TRIM = 0.05  # of the gateways: the worst words of so many do not count
FEWEST, FEWEST_ILL = 2.5, 0.6  # voices for a finding, and on a box that few try
MOST_TRIM = 0.2  # the trimmed are at most this part of the voices, or one
SPREAD_FREE, SPREAD_NONE = (
    0.3,
    0.6,
)  # past the usual, an origin's ill share that starts to cost it its voice, and all of it
FATIGUE, IDLE_ILL = (
    20 * SECOND,
    0.2,
)  # over this an origin's ill words are held against the usual, plus so many
# Findings: to be called, and to be called no longer.
ILL_LOST, ILL_LONG, WELL_LOST, FAILS_LOST = (
    0.2,
    0.12,
    0.06,
    0.5,
)  # the second of what is smoothed
ILL_PACE, WELL_PACE = 0.5, 0.25  # log2
PACED, PACE_TAU, LOST_TAU = (
    4.0,
    2 * SECOND,
    4 * SECOND,
)  # voices with a pace that count; what a box's are smoothed over
WARM = 3 * SECOND  # of a judge, until it calls
CONFIRMED = 2  # looks in a row
# Load: part of the gateways that may send. It sinks while most of what a box gets is wasted, and rises while little is.
SINK_WASTE, RISE_WASTE, SINK, SINK_FAILING, RISE = 0.5, 0.25, 0.8, 0.5, 0.03
RAMP, RAMP_STEP = 1.35, 0.02  # of a box that is well again
STRAINED = 0.3  # waste of the middle box past which a slow one keeps its load: the others could not bear it
PROBES, FEWEST_PROBERS = (
    3.0,
    3,
)  # a second on all ill boxes, by all gateways; gateways for one box at least
MOST_STRAIN, LOST_STRAIN, TRIED = (
    4.0,
    3.0,
    0.0,
)  # advice against a node, in shortest target times

Verdict = Enum("Verdict", "STEADY DEGRADED FAILING RECOVERING")
CALLED = (Verdict.DEGRADED, Verdict.FAILING)
# LOST: most comes to nothing. ILL: much does, or it is slower than its load says. WELL: neither, by a margin. WHOLE: WELL, and
# all send again. DOUBTED: too many are ill at once. SILENT: nobody of those who may try it says anything.
Finding = Enum("Finding", "LOST ILL WELL WHOLE UNSURE SILENT DOUBTED")

TABLE: Mapping[tuple[Verdict, Finding], tuple[Verdict, str]] = {
    **{(verdict, Finding.LOST): (Verdict.FAILING, "sink") for verdict in Verdict},
    **{(verdict, Finding.ILL): (Verdict.DEGRADED, "ease") for verdict in Verdict},
    (Verdict.FAILING, Finding.WELL): (Verdict.RECOVERING, "ramp"),
    (Verdict.DEGRADED, Finding.WELL): (Verdict.RECOVERING, "ramp"),
    (Verdict.RECOVERING, Finding.WELL): (Verdict.RECOVERING, "ramp"),
    (Verdict.RECOVERING, Finding.WHOLE): (Verdict.STEADY, ""),
    # In a small fleet all try a box that is called, so that it is whole as soon as it is well.
    **{
        (verdict, Finding.WHOLE): (Verdict.RECOVERING, "ramp")
        for verdict in (Verdict.FAILING, Verdict.DEGRADED)
    },
    # Where too few may send to learn its pace, more must: a box that failed would else stay so for good.
    (Verdict.FAILING, Finding.UNSURE): (Verdict.FAILING, "ease"),
    (Verdict.DEGRADED, Finding.UNSURE): (Verdict.DEGRADED, "ease"),
    (Verdict.RECOVERING, Finding.UNSURE): (Verdict.RECOVERING, "ramp"),
    (Verdict.FAILING, Finding.SILENT): (Verdict.FAILING, "ramp"),
    **{
        (verdict, Finding.SILENT): (Verdict.RECOVERING, "ramp")
        for verdict in (Verdict.DEGRADED, Verdict.RECOVERING)
    },
    **{
        (verdict, Finding.DOUBTED): (Verdict.RECOVERING, "ramp")
        for verdict in (Verdict.DEGRADED, Verdict.FAILING)
    },
    (Verdict.RECOVERING, Finding.DOUBTED): (Verdict.RECOVERING, "ramp"),
}


@dataclass(slots=True)
class Voice:
    """One origin's say on one box."""

    origin: int
    weight: float
    lost: float
    waste: float
    paced: float
    pace: float


@dataclass(slots=True)
class Sum:
    """What all say of one box."""

    voices: float = 0.0
    lost: float = 0.0
    waste: float = 0.0
    pace: float = 0.0
    paced: float = 0.0


@dataclass(slots=True)
class Held:
    """What a judge holds of one box: of the gateways in its order, `part` may send and `open` do so as if it were well."""

    verdict: Verdict = Verdict.STEADY
    part: float = 1.0
    open: float = 1.0
    seems: Finding = Finding.WELL
    times: int = 0
    sum: Sum = field(default_factory=Sum)
    pace: float = 0.0  # smoothed, less what all have
    lost: float = 0.0  # smoothed


@dataclass(frozen=True, slots=True)
class Turn:
    """A verdict that changed, and on what."""

    box: int
    old: Verdict
    new: Verdict
    cause: str


def weighted_median(pairs: Sequence[tuple[float, float]]) -> float:
    """Of (value, weight); 0 for none."""
    left = sum(weight for _, weight in pairs) / 2
    for value, weight in sorted(pairs):
        left -= weight
        if left <= 0:
            return value
    return 0.0


def admitted(place: int, members: int, part: float) -> bool:
    """Whether the gateway at a place of a box's order is among a part of them."""
    return place < max(part * members, 1.0)


class Judge:
    """Verdicts of one gateway. `order(box)` gives each present origin's place for a box: rendezvous, the same at all."""

    def __init__(self, most_part: float) -> None:
        self.most_part = most_part
        self.boxes: dict[int, Held] = {}
        self.ills: dict[int, float] = {}  # smoothed, by origin
        self.last, self.began = 0, -1
        self.rate = 0.0  # answers a second of the middle gateway from one box
        self.doubted = 0  # boxes whose ill findings were not believed at the last look

    def look(
        self,
        rows: Rows,
        members: int,
        order: Order,
        cells: Mapping[int, int],
        now: int,
    ) -> list[Turn]:
        """One look at all rows. `cells`: the boxes that are listed, with their cells."""
        for box in [each for each in self.boxes if each not in cells]:
            del self.boxes[box]
        for box in cells:
            self.boxes.setdefault(box, Held())
        voices = self.gather(rows, cells, now)
        span, self.last = max(now - self.last, 0) if self.last else 0, now
        self.weigh(voices, span)
        for box, held in self.boxes.items():
            held.sum = self.add(voices.get(box, []), members, held.part, order, box)
        common = self.common()
        for held in self.boxes.values():
            # Few try a called box, and in a small or quiet fleet PACED are never reached: what it is held for could not fade
            # else. Harm: noise, on boxes that are called already.
            if held.sum.paced >= (FEWEST_ILL if held.verdict in CALLED else PACED):
                held.pace += (1 - exp(-span / PACE_TAU)) * (
                    held.sum.pace - common - held.pace
                )
            if held.sum.voices > FAINT:
                held.lost += (1 - exp(-span / LOST_TAU)) * (held.sum.lost - held.lost)
        if self.began < 0:
            self.began = now
        if (
            now - self.began < WARM
        ):  # guards against the few rows that come first; harm: it learns alone until then
            return []
        found = {box: self.find(held) for box, held in self.boxes.items()}
        self.doubt(found, cells)
        strained = (
            median([each.sum.waste for each in self.boxes.values()] or [0.0]) > STRAINED
        )
        return [
            turn
            for box, finding in found.items()
            if (turn := self.step(box, self.boxes[box], finding, members, strained))
        ]

    def gather(
        self, rows: Rows, cells: Mapping[int, int], now: int
    ) -> dict[int, list[Voice]]:
        """Words that have not faded, by box."""
        found: dict[int, list[Voice]] = {}
        answers, since = [], now - 4 * TAU
        spans = {
            box: TAU if held.verdict is Verdict.STEADY else TAU / 2
            for box, held in self.boxes.items()
        }
        for row in rows.rows.values():
            answers.append(
                sum(word.seen for word in row.words.values() if word.at >= now - TAU)
            )
            for box, word in row.words.items():
                if word.at >= since and box in spans:
                    left = exp(-max(now - word.at, 0) / spans[box])
                    if word.seen * left > FAINT:
                        found.setdefault(box, []).append(
                            Voice(
                                row.origin,
                                min(word.seen * left, 1.0),
                                word.lost,
                                word.waste,
                                min(word.paced * left, 1.0),
                                word.pace,
                            )
                        )
        self.rate = median(answers or [0.0]) / (TAU / SECOND) / max(len(cells), 1)
        return found

    def weigh(self, voices: dict[int, list[Voice]], span: int) -> None:
        """Each origin's weight. Guards against a gateway that is sick itself (ill words on all it sees), one that claims to see
        more than others do, and those who speak ill of the same boxes without pause. Harm: a true word of such a one is
        weaker.
        """
        total: dict[int, float] = {}
        ill: dict[int, float] = {}
        for each in (voice for held in voices.values() for voice in held):
            total[each.origin] = total.get(each.origin, 0.0) + each.weight
            bad = each.lost > ILL_LOST or each.paced > 0 and each.pace > 2 * ILL_PACE
            ill[each.origin] = ill.get(each.origin, 0.0) + each.weight * bad
        if not total:
            return
        usual_total = median(total.values())
        usual_share = median(ill[each] / total[each] for each in total)
        new = 1 - exp(-span / FATIGUE)
        self.ills = {
            each: self.ills.get(each, 0.0) * (1 - new) + ill.get(each, 0.0) * new
            for each in total | self.ills
            if each in total or self.ills.get(each, 0.0) > FAINT
        }
        usual_ill = 2 * median(self.ills.get(each, 0.0) for each in total) + IDLE_ILL
        weights = {}
        for each, whole in total.items():
            spread = ill[each] / whole - usual_share if whole > 1 else 0.0
            weights[each] = (
                min(2 * usual_total / whole, 1.0)
                * min(usual_ill / max(self.ills[each], 1e-9), 1.0) ** 2
                * min(
                    max((SPREAD_NONE - spread) / (SPREAD_NONE - SPREAD_FREE), 0.0), 1.0
                )
            )
        for each in (voice for held in voices.values() for voice in held):
            each.weight *= weights[each.origin]
            each.paced *= weights[each.origin]

    def add(
        self, voices: list[Voice], members: int, part: float, order: Order, box: int
    ) -> Sum:
        """The voices on one box of those who may send to it: the worst words of a few do not count."""
        if part < 1:
            places = order(box)
            voices = [
                each
                for each in voices
                if admitted(places.get(each.origin, members), members, part)
            ]
        whole = sum(each.weight for each in voices)
        if whole <= 0:
            return Sum()
        trim = max(min(TRIM * members * part, whole * MOST_TRIM), min(1.0, whole / 3))
        rest = whole - trim
        return Sum(
            whole,
            max(sum(each.weight * each.lost for each in voices) - trim, 0.0) / rest,
            max(sum(each.weight * each.waste for each in voices) - trim, 0.0) / rest,
            weighted_median(
                [(each.pace, each.paced) for each in voices if each.paced > 0]
            ),
            sum(each.paced for each in voices),
        )

    def common(self) -> float:
        """The pace of the middle box: what all have is not a box's."""
        return max(
            median(
                [
                    each.sum.pace
                    for each in self.boxes.values()
                    if each.sum.paced >= PACED
                ]
                or [0.0]
            ),
            0.0,
        )

    def find(self, held: Held) -> Finding:
        """What the voices say of a box, with hysteresis in both thresholds and time."""
        all_of = held.sum
        pace = held.pace
        if all_of.voices <= FAINT:
            finding = Finding.SILENT
        elif all_of.voices < (FEWEST if held.verdict not in CALLED else FEWEST_ILL):
            finding = Finding.UNSURE
        elif all_of.lost >= FAILS_LOST:
            finding = Finding.LOST
        elif all_of.lost >= ILL_LOST or held.lost >= ILL_LONG or pace >= ILL_PACE:
            finding = Finding.ILL
        elif (
            max(all_of.lost, 0.0 if held.verdict is Verdict.FAILING else held.lost)
            <= WELL_LOST
            and pace <= WELL_PACE
        ):
            finding = Finding.WELL
        else:
            finding = Finding.UNSURE
        held.times = held.times + 1 if finding is held.seems else 1
        held.seems = finding
        if finding is Finding.ILL and held.times < CONFIRMED:
            return Finding.UNSURE
        if (
            finding in (Finding.WELL, Finding.SILENT, Finding.UNSURE)
            and held.part >= 1
            and held.open >= 1
            and (finding is not Finding.UNSURE or held.verdict is Verdict.RECOVERING)
        ):
            return Finding.WHOLE
        return finding

    def doubt(self, found: dict[int, Finding], cells: Mapping[int, int]) -> None:
        """Guards the rest of the fleet against verdicts on too many at once: of a cell the less ill are not called, and past
        `most_part` of all none is believed, for the fault is elsewhere. Harm: many boxes that are truly ill go uncalled, and
        each gateway learns alone as without the others.
        """
        ill = [
            box
            for box, each in found.items()
            if each in (Finding.LOST, Finding.ILL)
            or each is Finding.UNSURE
            and self.boxes[box].verdict in CALLED
        ]
        sizes: dict[int, int] = {}
        for cell in cells.values():
            sizes[cell] = sizes.get(cell, 0) + 1
        taken: dict[int, int] = {}
        self.doubted = 0
        spent = len(ill) > max(self.most_part * len(cells), 1.0)
        ill.sort(
            key=lambda box: (
                self.boxes[box].verdict not in CALLED,
                -self.boxes[box].sum.lost,
                box,
            )
        )
        for box in ill:
            cell = cells[box]
            taken[cell] = taken.get(cell, 0) + 1
            if spent or taken[cell] > max(int(self.most_part * sizes[cell]), 1):
                found[box] = Finding.DOUBTED
                self.doubted += 1

    def step(
        self, box: int, held: Held, finding: Finding, members: int, strained: bool
    ) -> Turn | None:
        """Read the table and act."""
        old = held.verdict
        held.verdict, effect = TABLE.get((old, finding), (old, ""))
        ill = max(sum(each.verdict in CALLED for each in self.boxes.values()), 1)
        least = min(
            max(PROBES / ill / max(self.rate, 1e-9), FEWEST_PROBERS) / max(members, 1),
            1.0,
        )
        if effect == "sink":
            held.part = max(held.part * SINK_FAILING, least)
        elif effect == "ease" and held.sum.waste > SINK_WASTE and not strained:
            held.part = max(held.part * SINK, least)
        elif effect == "ease" and held.sum.waste < RISE_WASTE:
            held.part = min(held.part + RISE, 1.0)
        if effect in ("sink", "ease"):
            held.open = least
        elif effect == "ramp":
            held.part = min(held.part * RAMP + RAMP_STEP, 1.0)
            held.open = min(held.open * RAMP + RAMP_STEP, held.part)
        if old is held.verdict:
            return None
        if old is Verdict.FAILING or held.verdict is Verdict.RECOVERING:
            held.lost = held.sum.lost  # what was is over
        cause = (
            f"{finding.name.lower()}: {held.sum.voices:.1f} voices, {held.sum.lost:.2f} lost, {held.sum.waste:.2f} of no "
            f"use, pace {2**held.pace:.1f} of the usual"
        )
        return Turn(box, old, held.verdict, cause)

    def called(self) -> list[int]:
        return [
            box
            for box, held in self.boxes.items()
            if held.verdict is not Verdict.STEADY
        ]

    def advice(self, box: int, place: int, members: int) -> tuple[float, bool]:
        """Of a box that is not STEADY: what speaks against it, in shortest target times, and whether this gateway keeps away.
        Nothing speaks against it for those chosen to try it, and later for those for whom it is well again.
        """
        held = self.boxes[box]
        if admitted(place, members, held.open):
            return TRIED, False
        ill = LOST_STRAIN * held.sum.lost + max(2**held.pace - 1, 0.0)
        strain = (
            MOST_STRAIN if held.verdict is Verdict.FAILING else min(ill, MOST_STRAIN)
        )
        return strain, not admitted(place, members, held.part)


class Order:
    """Places of the present origins for each box, by rendezvous; kept until the view changes."""

    def __init__(self) -> None:
        self.places: dict[int, dict[int, int]] = {}
        self.chosen: object = None

    def see(self, chosen: object) -> None:
        """Another view: `chosen(name)` gives all origins in order."""
        self.places, self.chosen = {}, chosen

    def __call__(self, box: int) -> dict[int, int]:
        found = self.places.get(box)
        if found is None:
            found = self.places[box] = {
                origin: place for place, origin in enumerate(self.chosen(f"box {box}"))
            }  # type: ignore
        return found
