"""Guards of the fleet that hunts must find missing, one out at a time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any
from unittest import mock

from milletsill.fleet.health import verdict_table
from milletsill.fleet.health.report_store import ReportStore
from milletsill.fleet.health.verdict_table import HealthFinding, HealthVerdict
from milletsill.fleet.membership import failure_detector as members
from milletsill.fleet.membership import membership
from milletsill.fleet.membership.failure_detector import Order, Own, Word
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.transport import MemberState
from milletsill.lab.model_checks import lease_model


def table(held: Any, without: Any = (), **more: Any) -> Callable[[], Any]:
    """Some rows of a table out."""
    left = {key: value for key, value in held.items() if key not in without}
    return lambda: mock.patch.dict(held, left, clear=True)


def _believed(held: Any) -> dict[Any, Any]:
    return {
        (MemberState.ALIVE, MemberState.GONE, order): (MemberState.GONE, "gone")
        for order in (Order.SAME, Order.NEWER)
    }


MUTANTS: dict[str, Callable[[], Any]] = {
    "members: a suspicion is refuted": table(members.OWN, [(Own.UP, Word.MINE)]),
    "members: one that stood still doubts itself": lambda: mock.patch.object(
        Membership, "stood", lambda self, now, late: None
    ),
    "members: who is said to be gone is asked": lambda: mock.patch.dict(
        members.HELD, _believed(members.HELD)
    ),
    "members: those gone are asked now and then": lambda: mock.patch.object(
        membership, "LOST_PART", 1 << 60
    ),
    "members: others probe for me": lambda: mock.patch.object(
        Membership, "through", lambda self, now, watch: None
    ),
    "health: a box that all may try is well again": table(
        verdict_table.TRANSITIONS,
        [
            (HealthVerdict.DEGRADED, HealthFinding.RESTORED),
            (HealthVerdict.FAILING, HealthFinding.RESTORED),
        ],
    ),
    "health: what is missing is asked for": lambda: mock.patch.object(
        ReportStore, "delta_since", lambda self, origin, known: None
    ),
    **{
        f"registers: {each}": partial(lease_model.without, each)
        for each in lease_model.MUTANTS
    },
}
