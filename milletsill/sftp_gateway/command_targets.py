"""The target shard, object name and node command of one step of a command."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from milletsill.sftp import extensions, packets
from milletsill.sftp_gateway.command_classification import canonical_path
from milletsill.sftp_gateway.object_location import ObjectLocation, format_location

REMOVED_LINK_PREFIX = "-"  # a SYMLINK whose target starts with it removes the link


@dataclass(frozen=True, slots=True)
class StepTarget:
    """The target of one step of a command.

    Attributes:
        shard: the target shard; None if the scheduler chooses it.
        name: the object's name on the shard.
        command: the command that the node executes.
    """

    shard: int | None
    name: str
    command: Any


def link_target(shard: int, path: str, location: ObjectLocation) -> StepTarget:
    """Return the target of a step that creates a link from a path to a location."""
    link = packets.Symlink(0, path, format_location(location))
    return StepTarget(shard, path, link)


def unlink_target(shard: int, path: str, location: ObjectLocation) -> StepTarget:
    """Return the target of a step that removes a link.

    The node removes the link only if it still refers to the location.
    """
    target = REMOVED_LINK_PREFIX + format_location(location)
    return StepTarget(shard, path, packets.Symlink(0, path, target))


def command_with_name(command: Any, name: str, max_read: int) -> Any:
    """Return the client's command with the object name that the node uses.

    Args:
        command: the client's command.
        name: replaces the handle or path of the command.
        max_read: maximum length of a read, in bytes.
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
