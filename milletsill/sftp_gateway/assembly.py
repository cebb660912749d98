"""Creates the parts that every gateway has, from its file."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, Protocol

from milletsill.deployment_config import DeploymentConfig
from milletsill.gateway.scheduler_host import (
    HostCallbacks,
    SchedulerHost,
)
from milletsill.interface import Endpoint, EndpointUpdateKind, SchedulerFactory
from milletsill.registry.registered_node import RegisteredNode
from milletsill.registry.registry_watcher import (
    RegistryCallbacks,
    RegistryConfig,
    RegistryWatcher,
)
from milletsill.sftp_gateway.deployment import pool_limits_of
from milletsill.sftp_gateway.identifiers import IdentifierSource
from milletsill.sftp_gateway.node_pools import SftpNodePools, SftpNodePoolsConfig

ENDPOINT_CACHE = "boxes.json"  # in the state directory


class AssembledGateway(Protocol):
    """A gateway during its construction, as seen by its parts."""

    reactor: Any
    now: Callable[[], int]
    file: Any
    log: Any
    host: Any
    fleet: Any
    metrics: Any
    flows: Any
    identifiers: IdentifierSource
    endpoint_watcher: Any
    node_pools: Any

    @property
    def incarnation(self) -> int:
        """The number of this start of the gateway."""

    def warn(self, event: str, /, **values: Any) -> None:
        """Log a warning."""

    def inform(self, event: str, /, **values: Any) -> None:
        """Log an event."""

    def on_endpoints(
        self, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Pass an update of the endpoint list to the scheduler and other parts."""

    def on_nodes(self, nodes: list[RegisteredNode]) -> None:
        """Update the node pools to the endpoint list."""

    def raise_incarnation(self, incarnation: int) -> None:
        """Adopt a later incarnation that the fleet knows."""


def make_endpoint_watcher(
    gateway: AssembledGateway, config: DeploymentConfig, seed: int
) -> RegistryWatcher:
    """Return the watcher of the endpoint list."""
    registry = gateway.file.registry
    return RegistryWatcher(
        gateway.reactor,
        gateway.now,
        RegistryConfig(
            address=registry.address,
            prefix=registry.prefix,
            gateway=gateway.file.name,
            call_timeout=registry.call_ms / 1000,
            connect_timeout=registry.connect_ms / 1000,
            max_line=registry.most_line,
            max_nodes=registry.most_boxes,
            warm_after=config.slow_start_duration,
            cache_path=os.path.join(gateway.file.state_dir, ENDPOINT_CACHE),
        ),
        RegistryCallbacks(
            on_endpoints=gateway.on_endpoints,
            on_nodes=gateway.on_nodes,
            log=lambda text: gateway.warn("list", reason=text),
        ),
        Random(f"{seed} list").uniform,
    )


def make_node_pools(gateway: AssembledGateway) -> SftpNodePools:
    """Return the node pools; the flow export must exist before them."""
    config = SftpNodePoolsConfig(
        pool_limits_of(gateway.file),
        gateway.file.links.most_packet,
        gateway.warn,
        gateway.flows.node_exchange_meter if gateway.flows is not None else None,
    )
    return SftpNodePools(gateway.reactor, gateway.now, gateway.identifiers, config)


def make_scheduler_host(
    gateway: AssembledGateway,
    config: DeploymentConfig,
    seed: int,
    make_scheduler: SchedulerFactory,
) -> SchedulerHost:
    """Return the scheduler host; the node pools and the watcher must exist before."""
    callbacks = HostCallbacks(
        start_attempt=gateway.node_pools.send_attempt,
        watch_endpoints=gateway.endpoint_watcher.request_watch,
        log=lambda text: gateway.warn("module", reason=text),
        count=gateway.metrics.count_host_event,
    )
    return SchedulerHost(
        gateway.reactor, gateway.now, config, seed, make_scheduler, callbacks
    )
