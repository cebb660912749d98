"""Classifies a client's command: its operation and its canonical path."""

from __future__ import annotations

from collections.abc import Mapping

from milletsill.errors import InvalidValueError
from milletsill.sftp import packets

# The operation of each command; the routes in the operator's file use these names.
OPERATIONS: Mapping[type, str] = {
    packets.Read: "read",
    packets.Write: "write",
    packets.Open: "open",
    packets.Lstat: "look",
    packets.Stat: "look",
    packets.Fstat: "look",
    packets.Setstat: "change",
    packets.Fsetstat: "change",
    packets.Remove: "change",
    packets.Rename: "change",
    packets.Mkdir: "change",
    packets.Rmdir: "change",
    packets.Readdir: "list",
    packets.Extended: "sync",
}
DATA_OPERATIONS = ("read", "write")
WRITE_OPERATIONS = ("write", "change", "sync")
MAX_PATH_LENGTH = 4096  # characters


class InvalidPathError(InvalidValueError):
    """A client sent an invalid path."""

    remedy = (
        "none at the gateway: the client receives an error status; fix a client that "
        "sends paths over 4,096 characters or with NUL characters"
    )


def canonical_path(path: str) -> str:
    """Return the absolute path without empty components, "." and "..".

    A ".." at the root refers to the root itself, as in a file system.

    Raises:
        InvalidPathError: the path is too long or contains a NUL character.
    """
    if len(path) > MAX_PATH_LENGTH or "\0" in path:
        raise InvalidPathError(
            f"path of {len(path)} characters is over {MAX_PATH_LENGTH} or contains NUL"
        )
    parts: list[str] = []
    for part in path.split("/"):
        if part == "..":
            del parts[-1:]
        elif part not in ("", "."):
            parts.append(part)
    return "/" + "/".join(parts)
