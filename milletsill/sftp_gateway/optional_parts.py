"""Creates the optional parts of a gateway that its file enables.

Each function imports the part that it creates, so that the code of a disabled part is
not loaded. The seed of a part is the gateway's seed plus a constant of the part.
"""

from __future__ import annotations

from typing import Any

from milletsill.deployment_config import DeploymentConfig
from milletsill.sftp_gateway.assembly import AssembledGateway

PLANNER_SEED = 2
FLEET_SEED = 3
CHANNELS_SEED = 4
HEALTH_SEED = 5


def make_flow_export(gateway: AssembledGateway, seed: int) -> Any:
    """Return the flow export, or None if the file has no `flows` block."""
    if not gateway.file.HasField("flows"):
        return None
    from milletsill.flows.gateway_export import GatewayFlowExport

    return GatewayFlowExport(
        gateway.reactor, gateway.now, gateway.file, seed, gateway.warn
    )


def make_traces(gateway: AssembledGateway, config: DeploymentConfig, seed: int) -> Any:
    """Return the traces, or None if the file has no `trace` block."""
    if not gateway.file.HasField("trace"):
        return None
    from milletsill.trace.gateway_trace import GatewayTrace, TracedRun

    return GatewayTrace(
        gateway.reactor,
        gateway.now,
        gateway.file,
        TracedRun(config, seed, gateway.incarnation),
        gateway.warn,
        gateway.metrics.registry,
    )


def make_quota_client(
    gateway: AssembledGateway, config: DeploymentConfig, seed: int
) -> Any:
    """Return the quota client, or None if the file has no `planner` block."""
    if not gateway.file.HasField("planner"):
        return None
    from milletsill.planner.quota_client import QuotaClient

    return QuotaClient.for_gateway(gateway, config, seed + PLANNER_SEED)


def make_fleet(gateway: AssembledGateway, seed: int) -> Any:
    """Return the fleet service, or None if the file has no `fleet` block."""
    if not gateway.file.HasField("fleet"):
        return None
    from milletsill.fleet.service import FleetService
    from milletsill.fleet.service_config import FleetCallbacks, FleetServiceConfig

    return FleetService(
        gateway.reactor,
        gateway.now,
        FleetServiceConfig.from_file(
            gateway.file, seed + FLEET_SEED, gateway.incarnation
        ),
        FleetCallbacks(
            warn=gateway.warn,
            info=gateway.inform,
            store_incarnation=gateway.raise_incarnation,
        ),
        gateway.metrics.registry,
    )


def make_shared_health(gateway: AssembledGateway, seed: int) -> Any:
    """Return the shared health, or None if the fleet has no `health` block."""
    if gateway.fleet is None or not gateway.file.fleet.HasField("health"):
        return None
    from milletsill.fleet.health.shared_health import SharedHealth

    return SharedHealth.for_gateway(gateway, seed + HEALTH_SEED)


def make_channels(gateway: AssembledGateway, seed: int) -> Any:
    """Return the ordered channels, or None if the fleet has no `channels` block."""
    if gateway.fleet is None or not gateway.file.fleet.HasField("channels"):
        return None
    from milletsill.sftp_gateway.channel_gateway import make_channel_gateway

    return make_channel_gateway(gateway, seed + CHANNELS_SEED)
