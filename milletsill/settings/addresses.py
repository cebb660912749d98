"""Addresses in an operator's file."""

from __future__ import annotations

from ipaddress import ip_address

from milletsill.settings.load import Report


def check_address(text: str, path: tuple[str, ...], report: Report) -> None:
    """host:port with a port from 0 to 65535."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        report.add(path, f"{text!r} is not host:port")


def check_reached(text: str, path: tuple[str, ...], report: Report) -> None:
    """An IPv4 address and a port that others can be told."""
    check_address(text, path, report)
    host, _, port = text.rpartition(":")
    if not is_ip(host) or ":" in host:
        report.add(path, f"{host!r} is not an IPv4 address")
    elif port.isdecimal() and not int(port):
        report.add(path, "port 0 cannot be told to other gateways")


def is_ip(text: str) -> bool:
    try:
        return bool(ip_address(text))
    except ValueError:
        return False
