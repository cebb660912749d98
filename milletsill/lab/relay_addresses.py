"""The addresses of gateways on loopback: their own, and the relay's for them."""

from __future__ import annotations

INSIDE = "127.0.1."
OUTSIDE = "127.0.2."


def inside(number: int) -> str:
    """Return the IP address of a gateway itself."""
    return f"{INSIDE}{number + 1}"


def outside(number: int) -> str:
    """Return the IP address at which others reach a gateway, the relay's."""
    return f"{OUTSIDE}{number + 1}"


def speaker(host: str) -> int | None:
    """Return which gateway has this address; None for none."""
    prefix, _, last = host.rpartition(".")
    return int(last) - 1 if prefix + "." == INSIDE else None
