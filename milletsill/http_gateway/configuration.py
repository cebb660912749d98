"""What the platform tells a gateway at its start and on SIGHUP.

A JSON file, checked.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping, Sequence
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
from milletsill.errors import ConfigurationRejectedError
from milletsill.http_gateway.discovery_timing import notification_span
from milletsill.http_gateway.endpoints import (
    EndpointUpdate,
    InvalidEndpointError,
    parse_address,
    parse_update,
)

MAX_FILE = 8 << 20  # octets
DEFAULT_MEMORY_MB = 64  # where no limit is told
MAX_NAMES = 20  # in one line of the log
MAX_NAME_LENGTH = 60
MAX_ERROR_LENGTH = 200
# Settings without which something is off or a plainer value stands in.
EXPECTED_SETTINGS = (
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


class GatewayConfigurationRejectedError(ConfigurationRejectedError):
    """The platform's file that cannot be used."""

    remedy = (
        "mend the file that NODE_CONFIG names, then restart or send SIGHUP; a gateway "
        "that runs goes on with what it had"
    )


@dataclass(frozen=True, slots=True)
class GatewayConfiguration:
    """One gateway's place on the platform.

    Attributes:
        name: of the gateway.
        listen, discovery: host and port.
        seed: of random numbers.
        sockets: descriptors that the process may hold.
        memory_mb: memory that it may hold.
        config: the deployment's settings.
        known: the endpoint list as this gateway last had it.
        grace: the time to stop sending to a node that drains, where lists are pushed; 0
            where they are asked for. Tenths of a millisecond.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    config: DeploymentConfig
    known: EndpointUpdate | None
    grace: int


def read_configuration(
    environ: Mapping[str, str], clock: int, log: Callable[[str], None]
) -> GatewayConfiguration:
    """Read the file that NODE_CONFIG names; other variables stand in for what it lacks.

    Raises:
        GatewayConfigurationRejectedError: the file cannot be used.
    """
    path = environ.get("NODE_CONFIG", "")
    if not path:
        raise GatewayConfigurationRejectedError("NODE_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE + 1)
        given = json.loads(data) if len(data) <= MAX_FILE else None
    except (OSError, ValueError, RecursionError) as error:
        raise GatewayConfigurationRejectedError(_one_line(error), path) from error
    if not isinstance(given, dict):
        raise GatewayConfigurationRejectedError(
            "not a JSON object of a bearable size", path
        )
    try:
        return parse_configuration(given, environ, clock, log)
    except (InvalidEndpointError, ValueError) as error:
        raise GatewayConfigurationRejectedError(_one_line(error), path) from error


def parse_configuration(
    given: Mapping[str, Any],
    environ: Mapping[str, str],
    clock: int,
    log: Callable[[str], None],
) -> GatewayConfiguration:
    """Return the checked configuration.

    Raises:
        InvalidEndpointError: an address or the known list is none.
        ValueError: a value cannot be meant.
    """
    config, grace = _parse_settings(given)
    _log_settings(given["settings"], log)
    limits = given.get("limits")
    known = given.get("known")
    return GatewayConfiguration(
        name=str(given.get("name") or environ.get("NODE_NAME", "")),
        listen=parse_address(given.get("listen") or environ.get("NODE_LISTEN")),
        discovery=parse_address(
            given.get("discovery") or environ.get("NODE_DISCOVERY")
        ),
        seed=_parse_seed(given),
        sockets=_parse_limit(limits, "sockets") or os.sysconf("SC_OPEN_MAX"),
        memory_mb=_parse_limit(limits, "memory_mb") or DEFAULT_MEMORY_MB,
        config=config,
        known=(
            None
            if known is None
            else parse_update(known, config.zone_names or (), clock, log)
        ),
        grace=grace,
    )


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())[:MAX_ERROR_LENGTH]


def _parse_settings(given: Mapping[str, Any]) -> tuple[DeploymentConfig, int]:
    """Return the deployment's settings, and the drain grace where lists are pushed."""
    try:
        config = config_from_settings(given.get("settings"))
        rules = SettingsSection(given["settings"]).section("rules")
        grace = ticks_at_most(rules.number("stop_sending_within_ns"))
    except ValueError as error:
        raise ValueError(f"settings: {error}") from None
    pushed = not config.watches_endpoints
    span = notification_span(pushed, config.rewatch_within, grace)
    config = replace(config, rewatch_within=span)
    if not config.request_classes:
        raise ValueError("settings: classes: none, so nothing can be taken")
    return config, grace if pushed else 0


def _log_settings(settings: Mapping[str, Any], log: Callable[[str], None]) -> None:
    """Log what the settings hold that is not known, and what they lack."""
    _log_names("not known and passed over", unknown_settings(settings), log)
    _log_names(
        "missing, what rests on them is off or at its plainest",
        missing_settings(settings, EXPECTED_SETTINGS),
        log,
    )


def _log_names(what: str, names: Sequence[str], log: Callable[[str], None]) -> None:
    if names:
        shown = ", ".join(name[:MAX_NAME_LENGTH] for name in names[:MAX_NAMES])
        log(f"settings {what}: {shown}")


def _parse_seed(given: Mapping[str, Any]) -> int:
    try:
        return int(str(given.get("seed", "0")), 16)
    except ValueError:
        raise ValueError("seed: not a hexadecimal number") from None


def _parse_limit(limits: Any, name: str) -> int:
    """Return a limit, 0 where none is told."""
    value = limits.get(name, 0) if isinstance(limits, dict) else 0
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"limits: {name} {str(value)[:40]!r} is not a number")
    return value
