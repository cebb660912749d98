"""The channels of a gateway: owner, client commands and forwarding between gateways.

It is created only if the gateway's file has a `fleet { channels }` block.
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
    TICKS_PER_MILLISECOND,
    TICKS_PER_SECOND,
    contract_catalog,
    idle_retention,
)
from milletsill.sftp_gateway.channel_router import ChannelRouter
from milletsill.sftp_gateway.routing_table import RoutedVolume, RoutingTable

SWEEP_INTERVAL = 5.0  # seconds between sweeps of idle channels
DRAIN_CHECK_INTERVAL = 0.02  # seconds between checks whether the drain is done
# Consecutive checks without an owned channel, so that lease releases are sent.
QUIET_CHECKS = 5


def make_channel_gateway(gateway: Any, seed: int) -> ChannelGateway:
    """Create the channels of a gateway from its file."""
    # The lease package is imported only if the gateway has channels.
    from milletsill.fleet.leases.lease_manager import LeaseManager
    from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
    from milletsill.fleet.leases.timings import LeaseTimings

    given = gateway.file.fleet.channels
    settings = LeaseSettings(
        acceptors=tuple(given.register),
        timings=LeaseTimings(
            lease_duration=round(given.office_s * TICKS_PER_SECOND),
            call_timeout=round(given.call_ms * TICKS_PER_MILLISECOND),
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
    """The metrics of channels."""

    def __init__(self, registry: Any) -> None:
        self.events = Counter(
            "milletsill_channel_words_total",
            "Channel events: final answers and routing decisions",
            ["word"],
            registry=registry,
        )
        self.owned = Gauge(
            "milletsill_channels_kept",
            "Channels that this gateway owns",
            registry=registry,
        )

    def count(self, event: str) -> None:
        """Count an event by name."""
        self.events.labels(event).inc()


class ChannelGateway:
    """The channels of one gateway.

    Attributes:
        extensions: the SFTP extensions that are offered to clients.
        unanswered: number of unanswered client commands, plus one while the
            channels drain.
        leases: the lease manager. It passes messages that do not concern leases to
            `on_message`.
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
            ForwarderSettings(
                round(given.call_ms * TICKS_PER_MILLISECOND), given.drift_permille
            ),
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
        """The number of commands and drains that must end before the gateway stops."""
        return self.clients.unanswered

    def find_volume(self, name: str) -> RoutedVolume | None:
        """Return the volume with this name if a contract covers it, else None."""
        if not self.catalog.covers_volume(name):
            return None
        routing_table: RoutingTable = self.gateway.routing_table
        return routing_table.volume_named(name)

    def handle_command(self, client: ChannelClient, packet: packets.Extended) -> Any:
        """Return the answer to a client's command, or None if it was sent on."""
        return self.clients.handle_command(client, packet)

    def on_message(self, member: str, incarnation: int, body: bytes) -> None:
        """Handle another gateway's message about channels."""
        self.forwarder.on_message(member, incarnation, body)

    # Start and stop.

    def start(self) -> None:
        """Start the periodic sweep of idle channels."""
        self.sweep_call = self.gateway.reactor.callLater(SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        self.owner.sweep()
        self.metrics.owned.set(len(self.owner.channels))
        self.sweep_call = self.gateway.reactor.callLater(SWEEP_INTERVAL, self._sweep)

    def drain(self) -> None:
        """Release each lease once nothing is in flight under it, on SIGTERM.

        The gateway leaves the fleet only after the releases had time to be sent.
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
        """Cancel timers and forwarded commands, and hand over all channels."""
        for call in (self.sweep_call, self.drain_call):
            if call is not None and call.active():
                call.cancel()
        self.clients.stop()
        for forwarded in list(self.forwarder.forwarded.values()):
            self.forwarder.cancel(forwarded)
        for channel in list(self.owner.channels.values()):
            self.owner.hand_over(channel)
        self.leases.stop()
