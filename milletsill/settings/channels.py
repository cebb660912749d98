"""What an operator's file may say of channels: registers, offices, contracts on order, and the categories that they need."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from milletsill.settings.load import Report

KEEPING = (
    ("office_s", 0.2, 60),
    ("drift_permille", 0, 100),
    ("most_channels", 1, 10_000_000),
    ("call_ms", 10, 10_000),
)
TERMS = (
    ("version", 1, 1 << 31),
    ("silent_s", 1, 90 * 86_400),
    ("most_waiting", 1, 64),
    ("hole_ms", 10, 60_000),
)
WRITING = (
    "write",
    "change",
    "sync",
)  # what can have a number: one transfer that writes
FREE, MOST_REGISTERS, MOST_CONTRACT, MOST_VOLUME = (
    1,
    31,
    64,
    120,
)  # placement; registers; characters of a name; octets of a name


def check_channels(file: Any, report: Report, under: tuple[str, ...]) -> None:
    """Everything about `fleet { channels }`; nothing where it is absent."""
    if not file.HasField("fleet") or not file.fleet.HasField("channels"):
        return
    keeping, here = file.fleet.channels, under + ("fleet", "channels")
    check_figures(keeping, KEEPING, here, report)
    names = list(keeping.register)
    if (
        not names
        or len(names) % 2 == 0
        or len(set(names)) < len(names)
        or len(names) > MOST_REGISTERS
    ):
        report.add(
            here + ("register",),
            f"{len(names)} registers: an odd number of different gateways, {MOST_REGISTERS} at most",
        )
    if keeping.call_ms * 4 > keeping.office_s * 1000:
        report.add(
            here + ("call_ms",),
            f"calls of {keeping.call_ms:g} ms: an office of {keeping.office_s:g} s must hold four",
        )
    if not keeping.contract:
        report.add(here, "channels without a contract")
    if not file.rules.HasField("key_rest_ms"):
        report.add(here, "an unsure end needs rules.key_rest_ms")
    volumes = {each.name: each for each in file.volume}
    seen: set[str] = set()
    for place, each in enumerate(keeping.contract):
        path = here + ("contract", str(place))
        if each.name in seen or not 0 < len(each.name) <= MOST_CONTRACT:
            report.add(
                path + ("name",),
                f"contract {each.name!r} stands twice, or its name is not 1 to {MOST_CONTRACT} characters",
            )
        seen.add(each.name)
        check_figures(each, TERMS, path, report)
        check_contract(file, each, volumes, path, report)


def check_figures(
    held: Any, ranges: Any, path: tuple[str, ...], report: Report
) -> None:
    for field, least, most in ranges:
        value = getattr(held, field)
        if not least <= value <= most:
            report.add(
                path + (field,), f"{field} {value:g} is not from {least:g} to {most:g}"
            )


def check_contract(
    file: Any,
    contract: Any,
    volumes: dict[str, Any],
    path: tuple[str, ...],
    report: Report,
) -> None:
    """Volumes and operations that a contract can hold for, and categories whose repeats are harmless in time."""
    for place, each in enumerate(contract.operation):
        if each not in WRITING:
            report.add(
                path + ("operation", str(place)),
                f"operation {each!r} has no number: {', '.join(WRITING)} have",
            )
    missing = [each for each in contract.volume if each not in volumes]
    for each in missing:
        report.add(path + ("volume",), f"volume {each!r} is missing")
    covered = (
        [volumes[each] for each in contract.volume if each in volumes]
        if contract.volume
        else list(file.volume)
    )
    long = next(
        (
            each
            for each in covered
            if len(each.name.encode("utf-8", "surrogateescape")) > MOST_VOLUME
        ),
        None,
    )
    if long is not None:
        report.add(
            path + ("volume",),
            f"a volume's name over {MOST_VOLUME} octets leaves no room for a channel's: {long.name[:40]!r}...",
        )
    free = next((each for each in covered if each.placement == FREE), None)
    if free is not None:
        report.add(
            path + ("volume",),
            f"contract {contract.name!r} covers volume {free.name!r}, which is FREE: a new object there "
            "is several transfers; name volumes that are HASHED or BY_DIRECTORY",
        )
    categories = {each.name: each for each in file.category}
    told: set[str] = set()
    for name in categories_of(file, covered, list(contract.operation) or list(WRITING)):
        found = categories.get(name)
        if found is None or name in told:
            continue
        told.add(name)
        if found.repeats != "ticketed" or found.group not in ("all", "cell"):
            report.add(
                path,
                f"contract {contract.name!r} covers category {name!r}, which is {found.repeats} in group "
                f"{found.group}: it must be ticketed, in group cell or all",
            )
        elif found.repeat_window_ms > contract.silent_s * 1000:
            report.add(
                path + ("silent_s",),
                f"silent_s {contract.silent_s:g}: a channel may be forgotten within category {name!r}'s "
                f"repeat window of {found.repeat_window_ms:g} ms",
            )
        elif found.repeat_window_ms <= file.rules.key_rest_ms:
            report.add(
                path,
                f"category {name!r} repeats within {found.repeat_window_ms:g} ms, no longer than key_rest_ms: an unsure "
                "end could never be tried again",
            )


def categories_of(
    file: Any, covered: list[Any], operations: list[str]
) -> Iterator[str]:
    """The categories that covered commands may fall into, by the routes as a command meets them."""
    named = {each.volume for each in file.route if each.volume}
    special = [each.name for each in covered if each.name in named]
    names = special + [""] * (
        len(covered) > len(special)
    )  # all that no route names are alike
    for volume in names:
        for operation in operations:
            for route in file.route:
                if (
                    route.operation
                    and operation not in route.operation
                    or route.volume not in ("", volume)
                ):
                    continue
                yield route.category
                if not route.least_bytes:
                    break
