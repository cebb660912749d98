"""Checks what a gateway's file says of its place among other gateways.

What gateways share on top of membership has checks of its own, in `health` and
`channels`.
"""

from __future__ import annotations

from milletsill.settings.field_checks import (
    check_address,
    check_program_name,
    check_reachable_address,
)
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import FleetLink, GatewayFile

MAX_ADDRESS = 80  # characters of another gateway's address
ANY_HOST = "0.0.0.0:"  # an address to listen at, not to call
ANY_PORT = ":0"
EXCHANGES_REMEMBERED = 10  # whole exchanges for which a gone member is remembered


def check_fleet(file: GatewayFile, report: MessageReport) -> None:
    """Check `fleet`; nothing where it is absent."""
    if not file.HasField("fleet"):
        return
    fleet_report = report.nested("fleet")
    check_program_name(file.fleet.name, fleet_report)
    _check_own_addresses(file.fleet, fleet_report)
    _check_other_addresses(file.fleet, fleet_report)
    _check_address_is_free(file, fleet_report)
    _check_timings(file.fleet, fleet_report)


def _check_own_addresses(fleet: FleetLink, report: MessageReport) -> None:
    """Check that other gateways can call this one."""
    for field_name in ("address", "advertise"):
        if fleet.HasField(field_name):
            check_reachable_address(getattr(fleet, field_name), report, field_name)
    if fleet.address.startswith(ANY_HOST) and not fleet.HasField("advertise"):
        report.add(
            f"others cannot reach {fleet.address}: fleet.advertise is missing",
            "address",
        )
    if fleet.advertise.startswith(ANY_HOST):
        report.add(f"others cannot reach {fleet.advertise}", "advertise")


def _check_other_addresses(fleet: FleetLink, report: MessageReport) -> None:
    """Check the addresses of the gateways to join."""
    for index, address in enumerate(fleet.join):
        check_address(address, report, "join", index)
        if len(address) > MAX_ADDRESS or address.endswith(ANY_PORT):
            report.add(f"{address!r} is no address of another gateway", "join", index)


def _check_address_is_free(file: GatewayFile, report: MessageReport) -> None:
    """Check that the gateway itself uses the fleet's address for nothing else."""
    address = file.fleet.address
    for field_name in ("listen", "metrics"):
        if file.HasField(field_name) and getattr(file, field_name) == address:
            report.add(f"{address} is that of `{field_name}` too", "address")


def _check_timings(fleet: FleetLink, report: MessageReport) -> None:
    """Check that probes, suspicions and exchanges leave time for each other."""
    if fleet.answer_ms * 2 > fleet.probe_ms:
        report.add(
            f"an answer within {fleet.answer_ms:g} ms leaves no time for others to "
            f"probe within {fleet.probe_ms:g} ms",
            "answer_ms",
        )
    if fleet.suspicion_ms < 2 * fleet.probe_ms:
        report.add(
            f"{fleet.suspicion_ms:g} ms to refute a suspicion are not two probes of "
            f"{fleet.probe_ms:g} ms",
            "suspicion_ms",
        )
    if fleet.remember_s < EXCHANGES_REMEMBERED * fleet.exchange_s:
        report.add(
            f"members are forgotten after {fleet.remember_s:g} s, not ten whole "
            f"exchanges of {fleet.exchange_s:g} s",
            "remember_s",
        )
