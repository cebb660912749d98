"""Checks of single fields that several checkers of settings files share."""

from __future__ import annotations

from collections.abc import Iterable
from ipaddress import ip_address
from typing import NamedTuple, Protocol

from google.protobuf.message import Message

from milletsill.settings.flaws import MessageReport

MAX_PORT = 65_535
MAX_PROGRAM_NAME = 64  # characters


class FieldRange(NamedTuple):
    """The allowed range of a numeric field; both bounds are included."""

    field_name: str
    minimum: float
    maximum: float


class NamedMessage(Protocol):
    """A message with a name, such as a service plan or a volume."""

    @property
    def name(self) -> str:
        """Return the name by which other parts of the file refer to the message."""


def check_ranges(
    message: Message, ranges: Iterable[FieldRange], report: MessageReport
) -> None:
    """Check that each number is within its range; an absent field has its default."""
    for field_range in ranges:
        check_range(message, field_range, report)


def check_ranges_if_present(
    message: Message, ranges: Iterable[FieldRange], report: MessageReport
) -> None:
    """Check that each number that is present in the file is within its range."""
    for field_range in ranges:
        if message.HasField(field_range.field_name):
            check_range(message, field_range, report)


def check_range(
    message: Message, field_range: FieldRange, report: MessageReport
) -> None:
    """Check that one number is within its range."""
    name, minimum, maximum = field_range
    value = getattr(message, name)
    if not minimum <= value <= maximum:
        report.add(f"{name} {value:g} is not from {minimum:g} to {maximum:g}", name)


def check_choice(
    message: Message, field_name: str, choices: Iterable[str], report: MessageReport
) -> None:
    """Check that the value of a text field is one of `choices`."""
    value = getattr(message, field_name)
    if value not in choices:
        report.add(
            f"{field_name} {value!r} is not one of {', '.join(choices)}", field_name
        )


def check_unique_names(
    messages: Iterable[NamedMessage], field_name: str, report: MessageReport
) -> set[str]:
    """Check that the values of a repeated field have unique names; return the names."""
    names: set[str] = set()
    for index, message in enumerate(messages):
        name = message.name
        if not name:
            report.nested(field_name, index).add(f"{field_name} has no name", "name")
        elif name in names:
            report.nested(field_name, index).add(
                f"{field_name} name {name!r} is used twice", "name"
            )
        names.add(name)
    return names


def check_program_name(name: str, report: MessageReport) -> None:
    """Check the field `name` that identifies a gateway or a planner."""
    is_short = 0 < len(name) <= MAX_PROGRAM_NAME
    if not is_short or not name.isprintable() or " " in name:
        report.add(
            f"name {name!r} is not 1 to {MAX_PROGRAM_NAME} printable characters "
            "without a space",
            "name",
        )


def check_present_addresses(
    message: Message, field_names: Iterable[str], report: MessageReport
) -> None:
    """Check each of the address fields that is present in the file."""
    for field_name in field_names:
        if message.HasField(field_name):
            check_address(getattr(message, field_name), report, field_name)


def check_address(
    address: str, report: MessageReport, field_name: str, index: int = 0
) -> None:
    """Check that an address is host:port, with a port from 0 to MAX_PORT."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        report.add(f"{address!r} is not host:port", field_name, index)


def check_reachable_address(
    address: str, report: MessageReport, field_name: str
) -> None:
    """Check that an address is an IPv4 address and a port to which others connect."""
    check_address(address, report, field_name)
    host, _, port = address.rpartition(":")
    if not is_ip_address(host) or ":" in host:
        report.add(f"{host!r} is not an IPv4 address", field_name)
    elif port.isdecimal() and not int(port):
        report.add(
            "port 0 is not allowed: other gateways need a fixed port", field_name
        )


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IPv4 or IPv6 address."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
