"""Checks the settings of fleet membership in a gateway's file.

The modules `health` and `channels` check the other parts of `fleet`.
"""

from __future__ import annotations

from milletsill.settings.field_checks import (
    check_address,
    check_program_name,
    check_reachable_address,
)
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import FleetLink, GatewayFile

MAX_ADDRESS = 80  # characters of the address of another gateway
ANY_HOST = "0.0.0.0:"  # valid to listen on, but not to connect to
ANY_PORT = ":0"
# Full state exchanges during which a member that left or failed is remembered.
MIN_EXCHANGES_REMEMBERED = 10


def check_fleet(file: GatewayFile, report: MessageReport) -> None:
    """Check `fleet`, if the file has it."""
    if not file.HasField("fleet"):
        return
    fleet_report = report.nested("fleet")
    check_program_name(file.fleet.name, fleet_report)
    _check_own_addresses(file.fleet, fleet_report)
    _check_other_addresses(file.fleet, fleet_report)
    _check_address_is_free(file, fleet_report)
    _check_timings(file.fleet, fleet_report)


def _check_own_addresses(fleet: FleetLink, report: MessageReport) -> None:
    """Check that other gateways can connect to this one."""
    for field_name in ("address", "advertise"):
        if fleet.HasField(field_name):
            check_reachable_address(getattr(fleet, field_name), report, field_name)
    if fleet.address.startswith(ANY_HOST) and not fleet.HasField("advertise"):
        report.add(
            f"other gateways cannot reach {fleet.address}: set fleet.advertise",
            "address",
        )
    if fleet.advertise.startswith(ANY_HOST):
        report.add(f"other gateways cannot reach {fleet.advertise}", "advertise")


def _check_other_addresses(fleet: FleetLink, report: MessageReport) -> None:
    """Check the addresses of the gateways to join."""
    for index, address in enumerate(fleet.join):
        check_address(address, report, "join", index)
        if len(address) > MAX_ADDRESS or address.endswith(ANY_PORT):
            report.add(
                f"{address!r} cannot be the address of another gateway", "join", index
            )


def _check_address_is_free(file: GatewayFile, report: MessageReport) -> None:
    """Check that the gateway does not listen at the fleet address for another use."""
    address = file.fleet.address
    for field_name in ("listen", "metrics"):
        if file.HasField(field_name) and getattr(file, field_name) == address:
            report.add(f"{address} is also the address of `{field_name}`", "address")


def _check_timings(fleet: FleetLink, report: MessageReport) -> None:
    """Check that the timings of probes, suspicions and exchanges are consistent."""
    if fleet.answer_ms * 2 > fleet.probe_ms:
        report.add(
            f"answer_ms {fleet.answer_ms:g} is over half of probe_ms "
            f"{fleet.probe_ms:g}: no time is left for indirect probes",
            "answer_ms",
        )
    if fleet.suspicion_ms < 2 * fleet.probe_ms:
        report.add(
            f"suspicion_ms {fleet.suspicion_ms:g} is under two probe intervals of "
            f"probe_ms {fleet.probe_ms:g}",
            "suspicion_ms",
        )
    if fleet.remember_s < MIN_EXCHANGES_REMEMBERED * fleet.exchange_s:
        report.add(
            f"remember_s {fleet.remember_s:g} is under {MIN_EXCHANGES_REMEMBERED} "
            f"full state exchanges of exchange_s {fleet.exchange_s:g}",
            "remember_s",
        )
