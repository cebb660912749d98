"""Guards of the fleet; a search must fail when any one is disabled."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from contextlib import AbstractContextManager
from functools import partial
from typing import Any, TypeVar
from unittest import mock

from milletsill.fleet.health import verdict_table
from milletsill.fleet.health.report_store import ReportStore
from milletsill.fleet.health.verdict_table import HealthFinding, HealthVerdict
from milletsill.fleet.membership import anti_entropy, name_claims, update_rules
from milletsill.fleet.membership.failure_detector import FailureDetector
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.membership.name_claims import LocalStatus, NameClaim
from milletsill.fleet.membership.update_rules import (
    UpdateAction,
    UpdateOrder,
    UpdateRule,
)
from milletsill.fleet.transport import MemberState
from milletsill.lab.model_checks import lease_mutation_checks

K = TypeVar("K")
V = TypeVar("V")
GuardRemoval = Callable[[], AbstractContextManager[Any]]


def without_rows(table: Mapping[K, V], removed: Collection[K]) -> GuardRemoval:
    """Return a context manager factory that removes some rows from a table."""
    left = {key: value for key, value in table.items() if key not in removed}
    return lambda: mock.patch.dict(table, left, clear=True)


# These rules accept a GONE update without suspecting and probing the member first.
UNVERIFIED_GONE_RULES = {
    (MemberState.ALIVE, MemberState.GONE, order): UpdateRule(
        MemberState.GONE, UpdateAction.GONE
    )
    for order in (UpdateOrder.SAME, UpdateOrder.NEWER)
}

GUARD_REMOVALS: dict[str, GuardRemoval] = {
    "members: a suspicion is refuted": without_rows(
        name_claims.NAME_CLAIM_RULES, [(LocalStatus.ACTIVE, NameClaim.NEEDS_REFUTATION)]
    ),
    "members: a stalled member discounts acks that it missed": lambda: (
        mock.patch.object(Membership, "on_stall", lambda self, now, stalled_for: None)
    ),
    "members: a member reported as gone is probed": lambda: mock.patch.dict(
        update_rules.UPDATE_RULES, UNVERIFIED_GONE_RULES
    ),
    "members: gone members are contacted periodically": lambda: mock.patch.object(
        anti_entropy, "ABSENT_TARGET_ODDS", 1 << 60
    ),
    "members: other members probe indirectly": lambda: mock.patch.object(
        FailureDetector, "probe_indirectly", lambda self, probe: None
    ),
    "health: a box that all may try is well again": without_rows(
        verdict_table.TRANSITIONS,
        [
            (HealthVerdict.DEGRADED, HealthFinding.RESTORED),
            (HealthVerdict.FAILING, HealthFinding.RESTORED),
        ],
    ),
    "health: missing reports are requested": lambda: mock.patch.object(
        ReportStore, "delta_since", lambda self, origin, known: None
    ),
    **{
        f"leases: {guard}": partial(lease_mutation_checks.without_guard, guard)
        for guard in lease_mutation_checks.MUTATIONS
    },
}
