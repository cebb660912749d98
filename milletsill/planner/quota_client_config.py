"""Settings of a gateway's quotas."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from milletsill.interface import Facts
from milletsill.planner.quota_settings import timings_from_settings
from milletsill.planner.quota_terms import SECOND, QuotaTimings
from milletsill.settings.milletsill_pb2 import GatewayFile


@dataclass(frozen=True, slots=True)
class PlanRates:
    """What of a service plan is shared, in units a second; 0 for none."""

    limit: float
    reserve: float


@dataclass(frozen=True, slots=True)
class FleetVolume:
    """A volume whose requests come through all gateways."""

    number: int
    rates: PlanRates


@dataclass(frozen=True, slots=True)
class QuotaClientConfig:
    """Settings of a gateway's quotas; times in tenths of a millisecond.

    Attributes:
        name: The gateway's name.
        planner_address: host:port.
        request_interval: Seconds between two rounds of requests.
        timings: The same as the planner's.
        gateways: In the fleet.
        volumes: Known from the start.
        plans: Rates by service plan.
        warm_up_time: How long a node that has started has a slow-start budget.
        slow_start_rate: Units a second of that budget.
    """

    name: str
    planner_address: str
    request_interval: float
    timings: QuotaTimings
    gateways: int
    volumes: Sequence[FleetVolume]
    plans: Sequence[PlanRates]
    warm_up_time: int
    slow_start_rate: float

    @classmethod
    def from_settings(cls, file: GatewayFile, facts: Facts) -> QuotaClientConfig:
        """Read a gateway's file, which has a `planner` block, and its facts."""
        plans = [
            PlanRates(plan["limit_rate"], plan["reserve_rate"])
            for plan in facts["plans"]
        ]
        plan_numbers = {plan.name: number for number, plan in enumerate(file.plan)}
        window = max(facts["cold_window"], 1)
        return cls(
            name=file.name,
            planner_address=file.planner.address,
            request_interval=file.planner.ask_s,
            timings=timings_from_settings(file.planner.lending),
            gateways=facts["gateways"],
            volumes=[
                FleetVolume(number, plans[plan_numbers[volume.plan]])
                for number, volume in enumerate(file.volume, 1)
                if not volume.gateways or volume.gateways == file.gateways
            ],
            plans=plans,
            warm_up_time=facts["warm_after"],
            slow_start_rate=facts["cold_units"] * SECOND / window,
        )
