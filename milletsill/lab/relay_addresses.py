"""Loopback addresses of gateways: their own, and the relay's for each of them."""

from __future__ import annotations

OWN_PREFIX = "127.0.1."
RELAY_PREFIX = "127.0.2."


def own_address(number: int) -> str:
    """Return the IP address that a gateway itself listens on."""
    return f"{OWN_PREFIX}{number + 1}"


def relay_address(number: int) -> str:
    """Return the relay's IP address at which other gateways reach a gateway."""
    return f"{RELAY_PREFIX}{number + 1}"


def gateway_with_address(host: str) -> int | None:
    """Return the number of the gateway with this own address; None if there is none."""
    prefix, _, last = host.rpartition(".")
    return int(last) - 1 if prefix + "." == OWN_PREFIX else None
