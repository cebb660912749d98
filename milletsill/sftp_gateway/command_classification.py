"""What a client's command is: its operation, and the path that it names."""

from __future__ import annotations

from collections.abc import Mapping

from milletsill.errors import InvalidValueError
from milletsill.sftp import packets

# The operation of each command; operators' routes name them.
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
    """A path of a client that names nothing here."""

    remedy = (
        "nothing: the client is told; one that insists sends paths over 4,096 "
        "characters or with zero octets"
    )


def canonical_path(path: str) -> str:
    """Return the absolute path without empty parts, . and ..

    What climbs above / stays there, as in a file system.

    Raises:
        InvalidPathError: the path is too long or has a zero byte.
    """
    if len(path) > MAX_PATH_LENGTH or "\0" in path:
        raise InvalidPathError("a path too long or with a zero byte")
    parts: list[str] = []
    for part in path.split("/"):
        if part == "..":
            del parts[-1:]
        elif part not in ("", "."):
            parts.append(part)
    return "/" + "/".join(parts)
