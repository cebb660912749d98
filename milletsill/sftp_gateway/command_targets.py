"""Where one step of a command goes, and the command that the node is to run there."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from milletsill.sftp import extensions, packets
from milletsill.sftp_gateway.command_classification import canonical_path
from milletsill.sftp_gateway.object_location import ObjectLocation, format_location

REMOVED_LINK_PREFIX = "-"  # a link with it takes the link to that location away


@dataclass(frozen=True, slots=True)
class StepTarget:
    """Where one step of a command goes.

    Attributes:
        shard: None for any that the scheduler chooses.
        name: the object's name there.
        command: as the node is to run it.
    """

    shard: int | None
    name: str
    command: Any


def link_target(shard: int, path: str, location: ObjectLocation) -> StepTarget:
    """Return the step that makes a link from a path to a location."""
    link = packets.Symlink(0, path, format_location(location))
    return StepTarget(shard, path, link)


def unlink_target(shard: int, path: str, location: ObjectLocation) -> StepTarget:
    """Return the step that takes a link away if it still leads to the location."""
    target = REMOVED_LINK_PREFIX + format_location(location)
    return StepTarget(shard, path, packets.Symlink(0, path, target))


def renamed_command(command: Any, name: str, max_read: int) -> Any:
    """Return the client's command with the name that the node knows.

    Args:
        command: the client's.
        name: takes the place of its handle or path.
        max_read: bytes that one read may ask for.
    """
    if isinstance(command, packets.Extended):
        return extensions.encode_fsync(0, name.encode("utf-8", "surrogateescape"))
    if hasattr(command, "handle"):
        handle = name.encode("utf-8", "surrogateescape")
        if isinstance(command, packets.Read):
            length = min(command.length, max_read)
            return replace(command, handle=handle, length=length)
        return replace(command, handle=handle)
    if isinstance(command, packets.Rename):
        return replace(command, path=name, target=canonical_path(command.target))
    return replace(command, path=name)
