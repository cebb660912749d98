"""Settings of a gateway's quotas."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from milletsill.deployment_config import DeploymentConfig, ServicePlanConfig
from milletsill.planner.quota_settings import timings_from_settings
from milletsill.planner.quota_terms import SECOND, QuotaTimings
from milletsill.settings.milletsill_pb2 import GatewayFile


@dataclass(frozen=True, slots=True)
class FleetVolume:
    """A volume whose requests come through all gateways."""

    number: int
    plan: ServicePlanConfig


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
        plans: The service plans, by the number that a request gives.
        warm_up_time: How long a node that has started has a slow-start budget.
        slow_start_rate: Units a second of that budget.
    """

    name: str
    planner_address: str
    request_interval: float
    timings: QuotaTimings
    gateways: int
    volumes: Sequence[FleetVolume]
    plans: Sequence[ServicePlanConfig]
    warm_up_time: int
    slow_start_rate: float

    @classmethod
    def from_settings(
        cls, file: GatewayFile, deployment: DeploymentConfig
    ) -> QuotaClientConfig:
        """Read a gateway's file, which has a `planner` block, and its deployment."""
        plans = deployment.service_plans
        plan_numbers = {plan.name: number for number, plan in enumerate(file.plan)}
        window = max(deployment.slow_start_window, 1)
        return cls(
            name=file.name,
            planner_address=file.planner.address,
            request_interval=file.planner.ask_s,
            timings=timings_from_settings(file.planner.lending),
            gateways=deployment.gateway_count,
            volumes=[
                FleetVolume(number, plans[plan_numbers[volume.plan]])
                for number, volume in enumerate(file.volume, 1)
                if not volume.gateways or volume.gateways == file.gateways
            ],
            plans=plans,
            warm_up_time=deployment.slow_start_duration,
            slow_start_rate=deployment.slow_start_units * SECOND / window,
        )
