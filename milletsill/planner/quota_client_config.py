"""Settings of a gateway's quota client."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from milletsill.deployment_config import DeploymentConfig, ServicePlanConfig
from milletsill.planner.quota_settings import timings_from_settings
from milletsill.planner.quota_terms import SECOND, QuotaTimings
from milletsill.settings.milletsill_pb2 import GatewayFile


@dataclass(frozen=True, slots=True)
class FleetVolume:
    """A volume that all gateways of the fleet serve."""

    number: int
    plan: ServicePlanConfig


@dataclass(frozen=True, slots=True)
class QuotaClientConfig:
    """Settings of a gateway's quota client; times in tenths of a millisecond.

    Attributes:
        name: The gateway's name.
        planner_address: The planner's host:port.
        request_interval: Seconds between two rounds of requests.
        timings: Timings of loans and grants; the planner has the same.
        gateways: Number of gateways in the fleet.
        volumes: The volumes that all gateways serve.
        plans: The service plans, indexed by the number in a request.
        warm_up_time: How long a node has a slow-start budget after its start.
        slow_start_rate: Rate of that budget, in units per second.
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
        """Return the settings from a gateway's file with a `planner` block."""
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
