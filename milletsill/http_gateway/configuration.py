"""What the platform tells a gateway at its start and on SIGHUP: a JSON file, checked."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from milletsill.deployment_config import DeploymentConfig
from milletsill.deployment_settings import (
    SettingsSection,
    config_from_settings,
    missing_settings,
    ticks_at_most,
    unknown_settings,
)
from milletsill.errors import ConfigurationRejected
from milletsill.http_gateway.endpoints import (
    EndpointUpdate,
    InvalidEndpoint,
    address_of,
    news_of,
)
from milletsill.http_gateway.gateway_limits import ask_within

MOST_OCTETS = 8 << 20
LEAST_MEMORY = 64  # MB, where no limit is told
MOST_NAMES = 20  # in one line
# Settings without which something is off or a plainer value stands in.
WANTED = (
    "resolution_ns",
    "membership_mode",
    "plans",
    "extra.cold_bears",
    "extra.largest",
    "extra.slots_total",
    "extra.unit_mean",
    "extra.writes",
    "limits.conn_idle_ns",
    "limits.dial_timeout_ns",
    "limits.max_attempts",
    "limits.most_held",
    "rules.ask_within_ns",
    "rules.fall_multiple",
    "rules.fall_ns",
    "rules.warm_after_ns",
)


class GatewayConfigurationRejected(ConfigurationRejected):
    """The platform's file that cannot be used."""

    remedy = "mend the file that NODE_CONFIG names, then restart or send SIGHUP; a gateway that runs goes on with what it had"


@dataclass(frozen=True, slots=True)
class Deployment:
    """One gateway's place on the platform."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    config: DeploymentConfig
    known: EndpointUpdate | None
    grace: int  # to stop sending, where lists are pushed; else 0


def read(
    environ: Mapping[str, str], clock: int, remark: Callable[[str], None]
) -> Deployment:
    """The file that NODE_CONFIG names; the other variables stand in for what it leaves out."""
    path = environ.get("NODE_CONFIG", "")
    if not path:
        raise GatewayConfigurationRejected("NODE_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_OCTETS + 1)
        given = json.loads(data) if len(data) <= MOST_OCTETS else None
    except (OSError, ValueError, RecursionError) as error:
        raise GatewayConfigurationRejected(
            " ".join(str(error).split())[:200], path
        ) from None
    if not isinstance(given, dict):
        raise GatewayConfigurationRejected("not a JSON object of a bearable size", path)
    try:
        return deployment_of(given, environ, clock, remark)
    except (InvalidEndpoint, ValueError) as error:
        raise GatewayConfigurationRejected(
            " ".join(str(error).split())[:200], path
        ) from None


def deployment_of(
    given: Mapping[str, Any],
    environ: Mapping[str, str],
    clock: int,
    remark: Callable[[str], None],
) -> Deployment:
    """The checked whole."""
    try:
        config = config_from_settings(given.get("settings"))
        rules = SettingsSection(given["settings"]).section("rules")
        grace = ticks_at_most(rules.number("stop_sending_within_ns"))
    except ValueError as error:
        raise ValueError(f"settings: {error}") from None
    pushed = not config.watches_endpoints
    config = replace(
        config, rewatch_within=ask_within(pushed, config.rewatch_within, grace)
    )
    if not config.request_classes:
        raise ValueError("settings: classes: none, so nothing can be taken")
    for names, what in (
        (unknown_settings(given["settings"]), "not known and passed over"),
        (
            missing_settings(given["settings"], WANTED),
            "missing, what rests on them is off or at its plainest",
        ),
    ):
        if names:
            remark(
                f"settings {what}: {', '.join(name[:60] for name in names[:MOST_NAMES])}"
            )
    limits = given.get("limits")
    sockets, memory = (limit_of(limits, name) for name in ("sockets", "memory_mb"))
    try:
        seed = int(str(given.get("seed", "0")), 16)
    except ValueError:
        raise ValueError("seed: not a hexadecimal number") from None
    known = given.get("known")
    return Deployment(
        str(given.get("name") or environ.get("NODE_NAME", "")),
        address_of(given.get("listen") or environ.get("NODE_LISTEN")),
        address_of(given.get("discovery") or environ.get("NODE_DISCOVERY")),
        seed,
        sockets or os.sysconf("SC_OPEN_MAX"),
        memory or LEAST_MEMORY,
        config,
        news_of(known, config.zone_names or (), clock, remark)
        if known is not None
        else None,
        grace * pushed,
    )


def limit_of(limits: Any, name: str) -> int:
    """A limit, 0 where none is told."""
    value = limits.get(name, 0) if isinstance(limits, dict) else 0
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"limits: {name} {str(value)[:40]!r} is not a number")
    return value
