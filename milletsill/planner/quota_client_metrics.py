"""Metrics of a gateway's quota client."""

from __future__ import annotations

from collections.abc import Sequence

from prometheus_client import CollectorRegistry, Counter, Gauge

from milletsill.planner.quota_ledger import GrantOutcome, QuotaHolding
from milletsill.planner.quota_terms import WHOLE


class QuotaClientMetrics:
    """The metrics of one gateway; docs/planner.md describes how to act on them."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._planned = Gauge(
            "milletsill_planned", "1 while the planner answers", registry=registry
        )
        self._grants = Counter(
            "milletsill_grants",
            "Grants of quota shares by what became of them",
            ("fate",),
            registry=registry,
        )
        self._granted = Gauge(
            "milletsill_granted_parts",
            "Shares granted on top of the even ones, in whole quotas",
            registry=registry,
        )
        self._lent = Gauge(
            "milletsill_lent_parts", "Shares lent, in whole quotas", registry=registry
        )

    def on_grant(self, outcome: GrantOutcome) -> None:
        """Count a grant by its outcome."""
        self._grants.labels(outcome.value).inc()

    def update(self, planned: bool, holdings: Sequence[QuotaHolding], now: int) -> None:
        """Set the gauges to the present holdings and link state."""
        self._planned.set(planned)
        granted = sum(holding.granted_share(now) for holding in holdings)
        self._granted.set(granted / WHOLE)
        self._lent.set(sum(holding.lent(now) for holding in holdings) / WHOLE)
