"""The interface of flow export for the SFTP gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import xxhash

from milletsill.flows.clocks import ExportClocks
from milletsill.flows.collector_transport import ExportReactor
from milletsill.flows.export_settings import read_export_settings
from milletsill.flows.exporting_process import ExportingProcess
from milletsill.flows.flow_records import (
    ClientFlowKey,
    CommandOutcome,
    Exchange,
    NodeFlowKey,
)
from milletsill.flows.option_records import ExporterIdentity
from milletsill.settings.milletsill_pb2 import GatewayFile
from milletsill.sftp.extensions import NodeRequest

UNKNOWN_ADDRESS = "0.0.0.0"
FALLBACK_DOMAIN = 1
ExchangeMeter: TypeAlias = Callable[[NodeRequest | None, str, int, int, int], None]
"""Called with request, outcome, octets sent and received, and duration in ticks."""


def observation_domain(gateway_name: str) -> int:
    """Return the default observation domain of a gateway, from its name; never 0."""
    encoded = gateway_name.encode("utf-8", "replace")
    return xxhash.xxh32_intdigest(encoded) or FALLBACK_DOMAIN


def ipv4_address(host: str) -> str:
    """Return the host if it is an IPv4 address, and else 0.0.0.0."""
    parts = host.split(".")
    if len(parts) != 4:
        return UNKNOWN_ADDRESS
    if all(part.isdecimal() and int(part) < 256 for part in parts):
        return host
    return UNKNOWN_ADDRESS


class GatewayFlowExport:
    """Flow export of one gateway."""

    def __init__(
        self,
        reactor: ExportReactor,
        now: Callable[[], int],
        file: GatewayFile,
        seed: int,
        log: Callable[..., None],
    ) -> None:
        """Create the exporting process; `now` returns the gateway's clock in ticks."""
        domain = observation_domain(file.name)
        if file.flows.HasField("domain"):
            domain = file.flows.domain
        self.exporting_process = ExportingProcess(
            reactor,
            read_export_settings(file.flows),
            ExporterIdentity(file.name, domain),
            ExportClocks(now),
            seed + 1,
            log,
        )
        self._metering = self.exporting_process.metering
        self._address = ipv4_address(file.listen.rpartition(":")[0])
        self._volume_names = {
            position + 1: volume.name for position, volume in enumerate(file.volume)
        }
        self._stopped = False

    def start(self) -> None:
        """Start flow export."""
        self.exporting_process.start()

    def meter_client_exchange(  # noqa: PLR0913
        self,
        endpoints: tuple[str, int, str, int],
        volume: str,
        service_plan: str,
        request_class: str,
        outcome: str,
        octets_in: int,
        octets_out: int,
        duration: int,
    ) -> None:
        """Meter one command, or a packet outside commands if `outcome` is empty.

        `endpoints` are host and port of the client and of the gateway; `duration` is in
        ticks.
        """
        client, client_port, gateway, gateway_port = endpoints
        key = ClientFlowKey(
            ipv4_address(client),
            client_port,
            ipv4_address(gateway),
            gateway_port,
            volume,
            service_plan,
            request_class,
        )
        exchange = Exchange(octets_in, 1, octets_out, int(octets_out > 0), duration)
        command_outcome = CommandOutcome(outcome) if outcome else None
        self._metering.on_command(key, command_outcome, exchange)

    def node_exchange_meter(self, node_id: int, address: str) -> ExchangeMeter:
        """Return the function that meters the exchanges with a node."""
        host, _, port = address.rpartition(":")
        node_host = ipv4_address(host)
        node_port = int(port)

        def on_exchange(
            request: NodeRequest | None,
            outcome: str,
            octets_out: int,
            octets_back: int,
            duration: int,
        ) -> None:
            key = NodeFlowKey(
                self._address,
                node_host,
                node_port,
                node_id,
                "" if request is None else self._volume_names.get(request.volume, ""),
                "" if request is None else request.request_class,
                outcome,
            )
            exchange = Exchange(
                octets_out,
                int(octets_out > 0),
                octets_back,
                int(octets_back > 0),
                duration,
            )
            is_retry = request is not None and request.attempt_number > 0
            self._metering.on_attempt(key, is_retry, exchange)

        return on_exchange

    def stop(self) -> None:
        """Send what can be sent at once and close; further calls do nothing."""
        if self._stopped:
            return
        self._stopped = True
        self.exporting_process.flush()
        self.exporting_process.stop()
