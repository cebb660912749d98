"""The plan: what each edge of a thing would lend, and what be granted, by what they want."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, field

from milletsill.planner.quota_terms import MOST_ENDS, SECOND, SELDOM, Span

PLAN_EVERY, LEAST_PART = (
    SECOND // 2,
    4,
)  # a grant lasts a fourth of the longest span at least
# Of a report; of the capital at a time; over what is wanted; hysteresis; of what nobody wants.
SMOOTH, STEP, SLACK, QUIET, SPARE = 0.5, 0.25, 1.2, 0.02, 0.5


@dataclass(slots=True)
class Share:
    """The planner's record of one edge and one thing."""

    capital: int
    want: int = 0
    asked: int = 0  # the edge's clock
    wanted: float = 0.0  # smoothed
    promises: list[tuple[int, int]] = field(
        default_factory=list
    )  # (part, surely kept until), on the planner's clock
    lend: int = 0  # what the plan would have lent
    due: int = 0  # what the plan would grant
    grants: list[tuple[int, int]] = field(
        default_factory=list
    )  # (part, latest end) of those that may still run
    sequence: int = 0
    reported: int = 0  # planner's clock
    called: int = 0  # when it was last told of lending without having asked

    def lent(self, until: int) -> int:
        """What the edge surely lends until a time."""
        return max((part for part, ends in self.promises if ends >= until), default=0)

    def out(self, now: int) -> int:
        """The most that the edge may hold of grants now."""
        self.grants = [each for each in self.grants if now < each[1]]
        return max((part for part, _ in self.grants), default=0)


@dataclass(slots=True)
class Pot:
    """One thing: its shares by edge."""

    capital: int
    shares: dict[str, Share] = field(default_factory=dict)
    planned: int = -1 << 60
    loud: bool = False  # whether anybody wants more than its even part
    held: int = 0  # no less than what all may hold of grants
    lent: list[tuple[int, int]] = field(
        default_factory=list
    )  # (until, what is surely lent until then at least), latest first

    def recount(self, now: int) -> None:
        """Both sums anew. Between two counts `held` only grows and what is lent is not counted higher: what was true of
        promises stays true, and what runs out is counted on, which is safe.
        """
        self.held = sum(each.out(now) for each in self.shares.values())
        ends = sorted(
            (
                (ends, part, name)
                for name, each in self.shares.items()
                for part, ends in each.promises
            ),
            reverse=True,
        )
        best: dict[str, int] = {}
        self.lent, whole = [], 0
        for until, part, name in ends:
            whole += max(part - best.get(name, 0), 0)
            best[name] = max(part, best.get(name, 0))
            self.lent.append((until, whole))
        if len(self.lent) > MOST_ENDS:
            self.lent = self.lent[:: len(self.lent) // MOST_ENDS + 1]


def fair(wants: Mapping[str, int], whole: int) -> dict[str, int]:
    """Max-min: each gets what it wants, or an even part of what those who want more leave."""
    got: dict[str, int] = {}
    left, asking = whole, sorted(wants, key=lambda each: (wants[each], each))
    for place, each in enumerate(asking):
        got[each] = min(wants[each], left // (len(asking) - place))
        left -= got[each]
    return got


def plan(pot: Pot, span: Span, now: int, linked: Container[str] = ()) -> None:
    """What each edge of a thing would lend, and what be granted. The part of one that is silent and not linked is left to it."""
    for name in [
        name
        for name, each in pot.shares.items()
        if now - each.reported > span.longest * SELDOM * 3 and not each.out(now)
    ]:
        del pot.shares[name]
    shares = {
        name: each
        for name, each in pot.shares.items()
        if name in linked or now - each.reported <= span.longest
    }
    pot.loud = any(each.want > each.capital for each in shares.values())
    if not shares:
        return
    wants = {}
    for name, each in shares.items():
        # Guards against one report that is a thousand times too high or jumps each second: it moves little at a time. Harm:
        # a true surge waits a few rounds for its parts.
        wanted = min(
            each.want * SLACK, each.wanted + max(each.capital, each.wanted) * 2
        )
        each.wanted += (wanted - each.wanted) * SMOOTH
        wants[name] = max(int(each.wanted), int(each.capital * span.floor) + 1)
    whole = sum(each.capital for each in shares.values())
    got = fair(wants, whole)
    # Half of what nobody wants goes to those who want more than they have, for bursts between two looks. Harm: one that wakes
    # up finds less of its own for as long as a promise lasts.
    loud = {
        name: wants[name] for name, each in shares.items() if wants[name] > each.capital
    }
    extra = int((whole - sum(got.values())) * SPARE) if loud else 0
    for name, want in loud.items():
        got[name] += extra * want // sum(loud.values())
    over = sum(max(got[name] - each.capital, 0) for name, each in shares.items())
    under = sum(max(each.capital - got[name], 0) for name, each in shares.items())
    for name, each in shares.items():
        spare = max(each.capital - got[name], 0)
        lend = spare * min(over, under) // under if under else 0
        most = each.capital - int(each.capital * span.floor) - 1
        lend = (
            min(lend, most, each.lend + int(each.capital * STEP))
            if lend > each.lend
            else lend
        )
        each.lend = (
            each.lend if abs(lend - each.lend) < each.capital * QUIET and lend else lend
        )
        each.due = max(got[name] - each.capital, 0)
