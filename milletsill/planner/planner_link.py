"""An edge's link to the planner, as a table."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from milletsill.planner.quota_terms import SECOND

# DOWN: nothing. GREETED: connected, the planner has not answered. PLANNED: grants come.
Link = Enum("Link", "DOWN GREETED PLANNED")
Said = Enum("Said", "UP WELCOME OLD REFUSED LOST SILENT")
LINK_TABLE: Mapping[tuple[Link, Said], tuple[Link, str]] = {
    (Link.DOWN, Said.UP): (Link.GREETED, "hello"),
    (Link.GREETED, Said.WELCOME): (Link.PLANNED, "ask"),
    # Guards against a planner that came back with an old view, or a copy of one: it is told the newest epoch.
    (Link.GREETED, Said.OLD): (Link.DOWN, "refuse"),
    (Link.PLANNED, Said.OLD): (Link.DOWN, "refuse"),
    (Link.GREETED, Said.REFUSED): (Link.DOWN, "cut"),
    (Link.PLANNED, Said.REFUSED): (Link.DOWN, "cut"),
    (Link.GREETED, Said.SILENT): (Link.DOWN, "cut"),
    (Link.PLANNED, Said.SILENT): (Link.DOWN, "cut"),
    (Link.GREETED, Said.LOST): (Link.DOWN, "again"),
    (Link.PLANNED, Said.LOST): (Link.DOWN, "again"),
}
FIRST_WAIT, MOST_WAIT = SECOND // 10, 5 * SECOND


def link_step(link: Link, said: Said) -> tuple[Link, str]:
    """The next state and what to do; what the table does not name changes nothing."""
    return LINK_TABLE.get((link, said), (link, ""))


def dial_after(failures: int, chance: float) -> int:
    """The pause before the next dial; `chance` from 0 to 1 spreads 150 edges after a planner's restart."""
    return int(min(FIRST_WAIT * 2 ** min(failures, 20), MOST_WAIT) * (0.5 + chance / 2))
