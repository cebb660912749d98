"""Makes the parts of a gateway that its file may ask for.

None of a part's code is loaded where the file does not ask for it, so each function
imports what it makes. The seeds of the parts are the gateway's and a number of each
part's own.
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
    """Return the flow export, None where the file has none."""
    if not gateway.file.HasField("flows"):
        return None
    from milletsill.flows.gateway_export import GatewayFlowExport

    return GatewayFlowExport(
        gateway.reactor, gateway.now, gateway.file, seed, gateway.warn
    )


def make_traces(gateway: AssembledGateway, config: DeploymentConfig, seed: int) -> Any:
    """Return the traces, None where the file has none."""
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
    """Return the planner's client, None where the file has no planner."""
    if not gateway.file.HasField("planner"):
        return None
    from milletsill.planner.quota_client import QuotaClient

    return QuotaClient.for_gateway(gateway, config, seed + PLANNER_SEED)


def make_fleet(gateway: AssembledGateway, seed: int) -> Any:
    """Return the fleet's service, None where the file has no fleet."""
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
    """Return the shared health, None where the file has none."""
    if gateway.fleet is None or not gateway.file.fleet.HasField("health"):
        return None
    from milletsill.fleet.health.shared_health import SharedHealth

    return SharedHealth.for_gateway(gateway, seed + HEALTH_SEED)


def make_channels(gateway: AssembledGateway, seed: int) -> Any:
    """Return the ordered channels, None where the file has none."""
    if gateway.fleet is None or not gateway.file.fleet.HasField("channels"):
        return None
    from milletsill.sftp_gateway.channel_gateway import make_channel_gateway

    return make_channel_gateway(gateway, seed + CHANNELS_SEED)
