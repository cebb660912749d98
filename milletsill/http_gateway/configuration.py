"""Read and check the gateway's JSON configuration file, at start and on SIGHUP."""

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
DEFAULT_MEMORY_MB = 64  # where the file states no limit
MAX_NAMES = 20  # in one log line
MAX_NAME_LENGTH = 60
MAX_ERROR_LENGTH = 200
# Settings whose absence disables a feature or selects a simple default.
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
    """The configuration file cannot be used."""

    remedy = (
        "correct the file that NODE_CONFIG names, then restart the gateway or send "
        "SIGHUP; a running gateway keeps its previous configuration"
    )


@dataclass(frozen=True, slots=True)
class GatewayConfiguration:
    """The checked configuration of one gateway.

    Attributes:
        name: the gateway's name.
        listen: host and port on which clients connect.
        discovery: host and port of the discovery service.
        seed: the seed of the random number generators.
        sockets: maximum number of descriptors of the process.
        memory_mb: maximum memory of the process, in MiB.
        config: the deployment's settings.
        cached_endpoints: the endpoint list that this gateway last received.
        drain_grace: if lists are pushed, the time within which sending to a draining
            node must stop, in tenths of a millisecond; 0 if lists are requested.
    """

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    config: DeploymentConfig
    cached_endpoints: EndpointUpdate | None
    drain_grace: int


def read_configuration(
    environ: Mapping[str, str], clock_offset: int, log: Callable[[str], None]
) -> GatewayConfiguration:
    """Read the file that NODE_CONFIG names.

    Other environment variables supply values that the file omits.

    Raises:
        GatewayConfigurationRejectedError: the file cannot be used.
    """
    path = environ.get("NODE_CONFIG", "")
    if not path:
        raise GatewayConfigurationRejectedError("NODE_CONFIG is not set or empty")
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE + 1)
        document = json.loads(data) if len(data) <= MAX_FILE else None
    except (OSError, ValueError, RecursionError) as error:
        raise GatewayConfigurationRejectedError(_one_line(error), path) from error
    if not isinstance(document, dict):
        raise GatewayConfigurationRejectedError(
            "not a JSON object, or larger than 8 MiB", path
        )
    try:
        return parse_configuration(document, environ, clock_offset, log)
    except (InvalidEndpointError, ValueError) as error:
        raise GatewayConfigurationRejectedError(_one_line(error), path) from error


def parse_configuration(
    document: Mapping[str, Any],
    environ: Mapping[str, str],
    clock_offset: int,
    log: Callable[[str], None],
) -> GatewayConfiguration:
    """Return the checked configuration.

    Raises:
        InvalidEndpointError: an address or the cached endpoint list is invalid.
        ValueError: a setting or limit is invalid.
    """
    config, drain_grace = _parse_settings(document)
    _log_settings(document["settings"], log)
    limits = document.get("limits")
    known = document.get("known")
    return GatewayConfiguration(
        name=str(document.get("name") or environ.get("NODE_NAME", "")),
        listen=parse_address(document.get("listen") or environ.get("NODE_LISTEN")),
        discovery=parse_address(
            document.get("discovery") or environ.get("NODE_DISCOVERY")
        ),
        seed=_parse_seed(document),
        sockets=_parse_limit(limits, "sockets") or os.sysconf("SC_OPEN_MAX"),
        memory_mb=_parse_limit(limits, "memory_mb") or DEFAULT_MEMORY_MB,
        config=config,
        cached_endpoints=(
            None
            if known is None
            else parse_update(known, config.zone_names or (), clock_offset, log)
        ),
        drain_grace=drain_grace,
    )


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())[:MAX_ERROR_LENGTH]


def _parse_settings(document: Mapping[str, Any]) -> tuple[DeploymentConfig, int]:
    """Return the deployment's settings and the drain grace.

    The drain grace is 0 unless endpoint lists are pushed.
    """
    try:
        config = config_from_settings(document.get("settings"))
        rules = SettingsSection(document["settings"]).section("rules")
        drain_grace = ticks_at_most(rules.number("stop_sending_within_ns"))
    except ValueError as error:
        raise ValueError(f"settings: {error}") from None
    pushed = not config.watches_endpoints
    span = notification_span(pushed, config.rewatch_within, drain_grace)
    config = replace(config, rewatch_within=span)
    if not config.request_classes:
        raise ValueError(
            "settings: classes: empty, expected at least one request class"
        )
    return config, drain_grace if pushed else 0


def _log_settings(settings: Mapping[str, Any], log: Callable[[str], None]) -> None:
    """Log unknown settings, and expected settings that are missing."""
    _log_names("unknown and ignored", unknown_settings(settings), log)
    _log_names(
        "missing, so the features that need them are off or use defaults",
        missing_settings(settings, EXPECTED_SETTINGS),
        log,
    )


def _log_names(what: str, names: Sequence[str], log: Callable[[str], None]) -> None:
    if names:
        shown = ", ".join(name[:MAX_NAME_LENGTH] for name in names[:MAX_NAMES])
        log(f"settings {what}: {shown}")


def _parse_seed(document: Mapping[str, Any]) -> int:
    try:
        return int(str(document.get("seed", "0")), 16)
    except ValueError:
        raise ValueError("seed: not a hexadecimal number") from None


def _parse_limit(limits: Any, name: str) -> int:
    """Return a limit; 0 if the file states none."""
    value = limits.get(name, 0) if isinstance(limits, dict) else 0
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(
            f"limits: {name} {str(value)[:40]!r} is not a whole number from 0"
        )
    return value
