"""Checks the volumes and routes of a gateway's file."""

from __future__ import annotations

from milletsill.settings.field_checks import check_unique_names
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import GatewayFile, Route, Volume

OPERATIONS = ("read", "write", "open", "look", "list", "change", "sync")
MAX_VOLUMES = 200_000
MAX_SHARD = 100_000  # highest number of a shard (setting `cell`)


def check_volumes(file: GatewayFile, report: MessageReport) -> None:
    """Check each volume by itself, and that no two roots overlap."""
    if not file.volume:
        report.add("the file needs at least one volume")
    if len(file.volume) > MAX_VOLUMES:
        report.add(f"the file has over {MAX_VOLUMES} volumes", "volume", MAX_VOLUMES)
    check_unique_names(file.volume, "volume", report)
    plans = {plan.name for plan in file.plan}
    name_by_root: dict[str, str] = {}
    for index, volume in enumerate(file.volume):
        volume_report = report.nested("volume", index)
        if volume.plan not in plans:
            volume_report.add(
                f"volume {volume.name!r} refers to plan {volume.plan!r}, which is not "
                "defined",
                "plan",
            )
        _check_root(volume, name_by_root, volume_report)
        name_by_root[volume.root] = volume.name
        _check_shards(volume, volume_report)
        if volume.gateways > file.gateways:
            volume_report.add(
                f"gateways {volume.gateways} is over the {file.gateways} of the fleet",
                "gateways",
            )
    _check_roots_are_apart(file, set(name_by_root), report)


def _check_root(
    volume: Volume, name_by_root: dict[str, str], report: MessageReport
) -> None:
    """Check the root of one volume; `name_by_root` has the roots of earlier volumes."""
    root = volume.root
    if not _is_plain_folder(root):
        report.add(
            f"root {root!r} is not an absolute path below / without . and ..", "root"
        )
    if root in name_by_root:
        report.add(
            f"root {root!r} is also the root of volume {name_by_root[root]!r}", "root"
        )


def _is_plain_folder(path: str) -> bool:
    """Return whether a path is absolute, below `/`, and normalized."""
    if not path.startswith("/") or path.endswith("/") or "//" in path:
        return False
    return not any(part in (".", "..") for part in path.split("/"))


def _check_shards(volume: Volume, report: MessageReport) -> None:
    """Check the shards of one volume."""
    shards = volume.cell
    if not shards:
        report.add(f"volume {volume.name!r} has no cell (shard)")
    is_repeated = len(set(shards)) < len(shards)
    if is_repeated or any(shard > MAX_SHARD for shard in shards):
        report.add(
            f"a cell (shard) of volume {volume.name!r} is listed twice or over "
            f"{MAX_SHARD}",
            "cell",
        )


def _check_roots_are_apart(
    file: GatewayFile, roots: set[str], report: MessageReport
) -> None:
    """Check that the root of no volume is inside the root of another."""
    for index, volume in enumerate(file.volume):
        outer_root = _outermost_enclosing_root(volume.root, roots)
        if outer_root is not None:
            report.nested("volume", index).add(
                f"root {volume.root!r} is within root {outer_root!r}", "root"
            )


def _outermost_enclosing_root(path: str, roots: set[str]) -> str | None:
    """Return the outermost of the roots that contain `path`, if there is one."""
    parts = path.split("/")
    for length in range(2, len(parts)):
        outer = "/".join(parts[:length])
        if outer in roots:
            return outer
    return None


def check_routes(file: GatewayFile, report: MessageReport) -> None:
    """Check that routes refer to defined names and the last matches every command."""
    categories = {category.name for category in file.category}
    volumes = {volume.name for volume in file.volume}
    if not file.route:
        report.add("the file needs at least one route")
        return
    for index, route in enumerate(file.route):
        route_report = report.nested("route", index)
        if route.category not in categories:
            route_report.add(f"category {route.category!r} is not defined", "category")
        if route.volume and route.volume not in volumes:
            route_report.add(f"volume {route.volume!r} is not defined", "volume")
        _check_operations(route, route_report)
    last = file.route[-1]
    if last.operation or last.volume or last.least_bytes:
        report.add(
            "the last route must match every command: it allows only `category`",
            "route",
            len(file.route) - 1,
        )


def _check_operations(route: Route, report: MessageReport) -> None:
    """Check the operations that a route matches."""
    for index, operation in enumerate(route.operation):
        if operation not in OPERATIONS:
            report.add(
                f"operation {operation!r} is not one of {', '.join(OPERATIONS)}",
                "operation",
                index,
            )
