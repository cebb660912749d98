"""Checks the settings of channels in a gateway's file: leases, ordering contracts."""

from __future__ import annotations

from milletsill.settings.field_checks import FieldRange, check_ranges
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import (
    Category,
    ChannelKeeping,
    Contract,
    GatewayFile,
    Volume,
)

CHANNEL_RANGES = (
    FieldRange("office_s", 0.2, 60),
    FieldRange("drift_permille", 0, 100),
    FieldRange("most_channels", 1, 10_000_000),
    FieldRange("call_ms", 10, 10_000),
)
CONTRACT_RANGES = (
    FieldRange("version", 1, 1 << 31),
    FieldRange("silent_s", 1, 90 * 86_400),
    FieldRange("most_waiting", 1, 64),
    FieldRange("hole_ms", 10, 60_000),
)
# Operations whose commands are each a single request that writes.
NUMBERED_OPERATIONS = ("write", "change", "sync")
CALLS_PER_LEASE = 4  # calls to acceptors that must fit into one lease
MAX_ACCEPTORS = 31
MAX_CONTRACT_NAME = 64  # characters
MAX_VOLUME_NAME = 120  # octets
MAX_SHOWN_NAME = 40  # characters of a long name in a message


def check_channels(file: GatewayFile, report: MessageReport) -> None:
    """Check `fleet { channels }`, if the file has it."""
    if not file.HasField("fleet") or not file.fleet.HasField("channels"):
        return
    channels = file.fleet.channels
    channels_report = report.nested("fleet").nested("channels")
    check_ranges(channels, CHANNEL_RANGES, channels_report)
    _check_acceptors(channels, channels_report)
    if not channels.contract:
        channels_report.add("fleet.channels needs at least one contract")
    if not file.rules.HasField("key_rest_ms"):
        channels_report.add(
            "fleet.channels needs rules.key_rest_ms, the quarantine of a key after "
            "an indeterminate outcome"
        )
    names: set[str] = set()
    for index, contract in enumerate(channels.contract):
        contract_report = channels_report.nested("contract", index)
        _check_contract_name(contract.name, names, contract_report)
        names.add(contract.name)
        check_ranges(contract, CONTRACT_RANGES, contract_report)
        _check_contract(file, contract, contract_report)


def _check_acceptors(channels: ChannelKeeping, report: MessageReport) -> None:
    """Check the acceptors of the leases (setting `register`) and the call timeout."""
    names = list(channels.register)
    is_odd = len(names) % 2 == 1
    is_unique = len(set(names)) == len(names)
    if not is_odd or not is_unique or len(names) > MAX_ACCEPTORS:
        report.add(
            f"{len(names)} registers: expected an odd number of different gateway "
            f"names, at most {MAX_ACCEPTORS} (the acceptors of leases)",
            "register",
        )
    if channels.call_ms * CALLS_PER_LEASE > channels.office_s * 1000:
        report.add(
            f"call_ms {channels.call_ms:g}: {CALLS_PER_LEASE} calls to an acceptor "
            f"must fit into a lease of office_s {channels.office_s:g}",
            "call_ms",
        )


def _check_contract_name(
    name: str, earlier_names: set[str], report: MessageReport
) -> None:
    """Check that a contract's name has a valid length and is not used before."""
    if name in earlier_names or not 0 < len(name) <= MAX_CONTRACT_NAME:
        report.add(
            f"contract name {name!r} is used twice or is not 1 to "
            f"{MAX_CONTRACT_NAME} characters long",
            "name",
        )


def _check_contract(
    file: GatewayFile, contract: Contract, report: MessageReport
) -> None:
    """Check the operations, volumes and request classes that a contract covers."""
    for index, operation in enumerate(contract.operation):
        if operation not in NUMBERED_OPERATIONS:
            report.add(
                f"operation {operation!r} has no channel number: expected one of "
                f"{', '.join(NUMBERED_OPERATIONS)}",
                "operation",
                index,
            )
    volumes = _covered_volumes(file, contract, report)
    _check_covered_volumes(contract, volumes, report)
    for category in _covered_categories(file, contract, volumes):
        _check_covered_category(file, contract, category, report)


def _covered_volumes(
    file: GatewayFile, contract: Contract, report: MessageReport
) -> list[Volume]:
    """Return the volumes that a contract names, or all volumes if it names none."""
    if not contract.volume:
        return list(file.volume)
    volume_by_name = {volume.name: volume for volume in file.volume}
    volumes = []
    for name in contract.volume:
        volume = volume_by_name.get(name)
        if volume is None:
            report.add(f"volume {name!r} is not defined", "volume")
        else:
            volumes.append(volume)
    return volumes


def _check_covered_volumes(
    contract: Contract, volumes: list[Volume], report: MessageReport
) -> None:
    """Check that each volume can have channels.

    Only the first volume with too long a name and the first FREE one are reported.
    """
    for volume in volumes:
        if len(volume.name.encode("utf-8", "surrogateescape")) > MAX_VOLUME_NAME:
            report.add(
                f"a volume name over {MAX_VOLUME_NAME} octets leaves no room for the "
                f"name of a channel: {volume.name[:MAX_SHOWN_NAME]!r}...",
                "volume",
            )
            break
    for volume in volumes:
        if volume.placement == Volume.FREE:
            report.add(
                f"contract {contract.name!r} covers volume {volume.name!r}, which is "
                "FREE: creating an object there takes several requests; list volumes "
                "that are HASHED or BY_DIRECTORY",
                "volume",
            )
            break


def _check_covered_category(
    file: GatewayFile, contract: Contract, category: Category, report: MessageReport
) -> None:
    """Check that a class has the idempotency and retry window a contract needs."""
    window_ms = category.repeat_window_ms
    if category.repeats != "ticketed" or category.group not in ("all", "cell"):
        report.add(
            f"contract {contract.name!r} covers category {category.name!r}, which is "
            f"{category.repeats} in group {category.group}: it must be ticketed "
            "(idempotency-keyed) in group cell or all"
        )
    elif window_ms > contract.silent_s * 1000:
        report.add(
            f"silent_s {contract.silent_s:g}: the record of an idle channel may be "
            f"deleted within the repeat_window_ms {window_ms:g} of category "
            f"{category.name!r}",
            "silent_s",
        )
    elif window_ms <= file.rules.key_rest_ms:
        report.add(
            f"category {category.name!r} has repeat_window_ms {window_ms:g}, not "
            f"over key_rest_ms {file.rules.key_rest_ms:g}: a request with an "
            "indeterminate outcome could never be retried"
        )


def _covered_categories(
    file: GatewayFile, contract: Contract, volumes: list[Volume]
) -> list[Category]:
    """Return the request classes that a contract covers, without duplicates."""
    category_by_name = {category.name: category for category in file.category}
    operations = list(contract.operation) or list(NUMBERED_OPERATIONS)
    names: dict[str, None] = {}  # an ordered set, in the order of the routes
    for volume_name in _volume_names_to_route(file, volumes):
        for operation in operations:
            names.update(
                dict.fromkeys(_routed_categories(file, volume_name, operation))
            )
    return [category_by_name[name] for name in names if name in category_by_name]


def _volume_names_to_route(file: GatewayFile, volumes: list[Volume]) -> list[str]:
    """Return the names of those volumes that a route refers to.

    Routes treat all other volumes alike, so one empty name represents them.
    """
    routed = {route.volume for route in file.route if route.volume}
    names = [volume.name for volume in volumes if volume.name in routed]
    if len(names) < len(volumes):
        names.append("")
    return names


def _routed_categories(
    file: GatewayFile, volume_name: str, operation: str
) -> list[str]:
    """Return the classes that routes may give to one operation on a volume."""
    names = []
    for route in file.route:
        if route.operation and operation not in route.operation:
            continue
        if route.volume not in ("", volume_name):
            continue
        names.append(route.category)
        if not route.least_bytes:
            break
    return names
