"""Channels at a gateway: their owner, their clients, the way between gateways.

Made only where the file has a `fleet { channels }` block.
"""

from __future__ import annotations

import os
from typing import Any

from prometheus_client import Counter, Gauge

from milletsill.fleet.channels.channel_owner import (
    ChannelOwner,
    ChannelOwnerSettings,
    ChannelTelemetry,
)
from milletsill.fleet.channels.peer_forwarder import (
    ForwarderHandlers,
    ForwarderSettings,
    PeerForwarder,
)
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets
from milletsill.sftp_gateway.channel_attempts import ChannelAttemptRunner
from milletsill.sftp_gateway.channel_clients import ChannelClient, ChannelClients
from milletsill.sftp_gateway.channel_contracts import (
    MILLISECOND,
    SECOND,
    contract_catalog,
    idle_retention,
)
from milletsill.sftp_gateway.channel_router import ChannelRouter
from milletsill.sftp_gateway.routing_table import RoutedVolume, RoutingTable

SWEEP_INTERVAL = 5.0  # seconds between sweeps of idle channels
DRAIN_CHECK_INTERVAL = 0.02  # seconds between checks of what holds up the end
# Checks without a channel, after which the releases of leases have had time to leave.
QUIET_CHECKS = 5


def make_channel_gateway(gateway: Any, seed: int) -> ChannelGateway:
    """Return a gateway's channels over its fleet, as its file has them."""
    # The leases' code is loaded only where there are channels.
    from milletsill.fleet.leases.lease_manager import LeaseManager
    from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
    from milletsill.fleet.leases.timings import LeaseTimings

    given = gateway.file.fleet.channels
    settings = LeaseSettings(
        acceptors=tuple(given.register),
        timings=LeaseTimings(
            lease_duration=round(given.office_s * SECOND),
            call_timeout=round(given.call_ms * MILLISECOND),
            drift_permille=given.drift_permille,
        ),
        max_leases=given.most_channels,
        idle_after=idle_retention(gateway.file),
        store_path=os.path.join(gateway.file.state_dir, "registers.db"),
        seed=seed,
    )
    environment = LeaseEnvironment(
        gateway.reactor,
        gateway.now,
        gateway.fleet,
        gateway.warn,
        gateway.metrics.registry,
    )
    leases = LeaseManager(settings, environment)
    channels = ChannelGateway(gateway, gateway.fleet, leases)
    leases.set_on_channel_message(channels.on_message)
    return channels


class ChannelMetrics:
    """What is counted of channels."""

    def __init__(self, registry: Any) -> None:
        self.events = Counter(
            "milletsill_channel_words_total",
            "Final answers on channels, and ways that commands took",
            ["word"],
            registry=registry,
        )
        self.owned = Gauge(
            "milletsill_channels_kept",
            "Channels in this gateway's memory as their owner",
            registry=registry,
        )

    def count(self, event: str) -> None:
        """Count an event by name."""
        self.events.labels(event).inc()


class ChannelGateway:
    """Channels at one gateway.

    Attributes:
        extensions: of SFTP that are offered to clients.
        unanswered: commands of clients without an answer, and a drain that goes on.
        leases: made by who makes this; its other messages come to `on_message`.
    """

    extensions = (wire.CHANNEL, wire.NUMBERED)

    def __init__(self, gateway: Any, fleet: Any, leases: Any) -> None:
        self.gateway = gateway
        self.fleet = fleet
        self.leases = leases
        self.metrics = ChannelMetrics(gateway.metrics.registry)
        self.catalog = contract_catalog(gateway.file)
        self.owner = self._make_owner()
        self.router = ChannelRouter(fleet, leases, self.owner, self.metrics.count)
        self.forwarder = self._make_forwarder()
        self.router.forwarder = self.forwarder
        self.clients = ChannelClients(
            gateway, fleet, self.catalog, self.router, self.metrics.count
        )
        self.sweep_call: Any = None
        self.drain_call: Any = None

    def _make_owner(self) -> ChannelOwner:
        gateway = self.gateway
        settings = ChannelOwnerSettings(
            self.fleet.name,
            gateway.host.config.key_quarantine,
            gateway.file.fleet.channels.most_channels,
            self.catalog,
        )
        return ChannelOwner(
            settings,
            gateway.reactor,
            gateway.now,
            self.leases,
            ChannelAttemptRunner(gateway, self.leases),
            ChannelTelemetry(gateway.warn, self.metrics.count),
        )

    def _make_forwarder(self) -> PeerForwarder:
        gateway, given = self.gateway, self.gateway.file.fleet.channels
        return PeerForwarder(
            ForwarderSettings(round(given.call_ms * MILLISECOND), given.drift_permille),
            gateway.reactor,
            gateway.now,
            self.fleet,
            ForwarderHandlers(
                self.router.on_peer_command,
                self.owner.handle,
                self.find_volume,
                self.metrics.count,
            ),
        )

    @property
    def unanswered(self) -> int:
        """How much still has to be answered before the gateway may stop."""
        return self.clients.unanswered

    def find_volume(self, name: str) -> RoutedVolume | None:
        """Return a volume that has channels by its name."""
        if not self.catalog.covers_volume(name):
            return None
        routing_table: RoutingTable = self.gateway.routing_table
        return routing_table.volume_named(name)

    def take(self, client: ChannelClient, packet: packets.Extended) -> Any:
        """Return the answer to a client's command, None where it is on its way."""
        return self.clients.take(client, packet)

    def on_message(self, member: str, incarnation: int, body: bytes) -> None:
        """Take what another gateway says of channels."""
        self.forwarder.on_message(member, incarnation, body)

    # Start and end.

    def start(self) -> None:
        """Begin to sweep idle channels."""
        self.sweep_call = self.gateway.reactor.callLater(SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        self.owner.sweep()
        self.metrics.owned.set(len(self.owner.channels))
        self.sweep_call = self.gateway.reactor.callLater(SWEEP_INTERVAL, self._sweep)

    def drain(self) -> None:
        """Give leases up as soon as nothing is in flight under them: SIGTERM.

        The releases get time to leave before the fleet is left.
        """
        self.clients.unanswered += 1
        self.owner.drain()
        self._check_drained(0)

    def _check_drained(self, quiet_checks: int) -> None:
        quiet_checks = 0 if self.owner.channels else quiet_checks + 1
        if quiet_checks <= QUIET_CHECKS:
            self.drain_call = self.gateway.reactor.callLater(
                DRAIN_CHECK_INTERVAL, self._check_drained, quiet_checks
            )
            return
        self.fleet.leave()
        self.clients.unanswered -= 1
        self.gateway.stop_if_drained()

    def stop(self) -> None:
        """Drop everything."""
        for call in (self.sweep_call, self.drain_call):
            if call is not None and call.active():
                call.cancel()
        self.clients.stop()
        for forwarded in list(self.forwarder.forwarded.values()):
            self.forwarder.cancel(forwarded)
        for channel in list(self.owner.channels.values()):
            self.owner.hand_over(channel)
        self.leases.stop()
