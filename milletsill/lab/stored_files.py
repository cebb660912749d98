"""The contents of a stand-in node, held in memory: files, directories and links.

A file's handle is its name encoded as UTF-8, so commands identify files by name.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import xxhash

from milletsill.sftp import packets
from milletsill.sftp.extensions import NodeReply, NodeReplyStatus
from milletsill.sftp.wire import DirectoryEntry, FileAttributes, bytes_to_text

MAX_NAMES = 100
"""Names in one reply to a directory read."""
MAX_FILE = 64_000_000
"""Largest size of a file in bytes."""
FILE_MODE = 0o100644
DIRECTORY_MODE = 0o040755
PATTERN_BYTES = 1 << 17
PATTERN = Random(11).randbytes(PATTERN_BYTES) * 3


def pattern(path: str, offset: int, length: int) -> bytes:
    """Return the expected contents of a laboratory file at an offset.

    They depend on the path and the offset only, so that any read can be checked.
    """
    position = xxhash.xxh32_intdigest(path.encode()) + offset
    start = position & (PATTERN_BYTES - 1)
    return PATTERN[start : start + length]


def status_reply(code: int, text: str = "") -> NodeReply:
    """Return the reply to an executed command, with an SFTP status."""
    return NodeReply(NodeReplyStatus.DONE, answer=packets.Status(0, code, text))


def redirect_reply(target: str) -> NodeReply:
    """Return the reply that redirects to the location of the requested object."""
    return NodeReply(
        NodeReplyStatus.ELSEWHERE, target, answer=packets.Status(0, packets.OK)
    )


NO_SUCH_FILE = status_reply(packets.NO_SUCH_FILE, "no such file")


class StoredFiles:
    """Objects by name; a command on a link is answered with the link's target."""

    def __init__(self) -> None:
        self.data: dict[str, bytearray] = {}
        self.links: dict[str, str] = {}
        self.folders: set[str] = set()
        self.name_handlers: dict[type, Callable[[Any, str], NodeReply]] = {
            packets.Open: self.open,
            packets.Read: self.read,
            packets.Write: self.write,
            packets.Extended: self.acknowledge,
            packets.Stat: self.stat,
            packets.Lstat: self.stat,
            packets.Fstat: self.stat,
            packets.Setstat: self.set_size,
            packets.Fsetstat: self.set_size,
            packets.Remove: self.remove,
            packets.Rename: self.rename,
        }
        self.command_handlers: dict[type, Callable[[Any], NodeReply]] = {
            packets.Readlink: self.read_link,
            packets.Symlink: self.change_link,
            packets.Mkdir: self.make_directory,
            packets.Rmdir: self.remove_directory,
            packets.Readdir: self.read_directory,
        }

    def run(self, command: packets.Command | packets.Extended) -> NodeReply:
        """Execute a command; its handle, if any, is the name of a file."""
        handle_command = self.command_handlers.get(type(command))
        if handle_command is not None:
            return handle_command(command)
        handle_name = self.name_handlers.get(type(command))
        if handle_name is None:
            return status_reply(packets.UNSUPPORTED)
        handle = getattr(command, "handle", None)
        name = getattr(command, "path", "") if handle is None else bytes_to_text(handle)
        if name in self.links:
            return redirect_reply(self.links[name])
        return handle_name(command, name)

    def attributes(self, name: str) -> FileAttributes:
        """Return the attributes of a file; those of a directory for any other name."""
        if name in self.data:
            return FileAttributes(size=len(self.data[name]), mode=FILE_MODE)
        return FileAttributes(mode=DIRECTORY_MODE)

    def is_directory(self, name: str) -> bool:
        """Return whether a name is a created directory or has entries below it."""
        return name in self.folders or self.has_entries(name)

    def has_entries(self, name: str) -> bool:
        """Return whether entries exist below a name."""
        start = name.rstrip("/") + "/"
        return any(
            each.startswith(start)
            for held in (self.data, self.links, self.folders)
            for each in held
        )

    # Commands on a file.

    def open(self, command: packets.Open, name: str) -> NodeReply:
        """Open a file; the handle is the file's name."""
        flags = command.flags
        creates = flags & packets.CREATE_FLAG
        if name in self.folders:
            return status_reply(packets.FAILURE, "is a directory")
        if name in self.data and creates and flags & packets.EXCLUSIVE_FLAG:
            return status_reply(packets.FAILURE, "file already exists")
        if name not in self.data and not creates:
            return NO_SUCH_FILE
        if name not in self.data or flags & packets.TRUNCATE_FLAG:
            self.data[name] = bytearray()
        handle = packets.Handle(0, name.encode("utf-8", "surrogateescape"))
        return NodeReply(NodeReplyStatus.DONE, answer=handle)

    def read(self, command: packets.Read, name: str) -> NodeReply:
        """Read a range of a file."""
        if name not in self.data:
            return NO_SUCH_FILE
        end = command.offset + command.length
        data = bytes(self.data[name][command.offset : end])
        if not data:
            return status_reply(packets.EOF, "end of file")
        return NodeReply(NodeReplyStatus.DONE, answer=packets.Data(0, data))

    def write(self, command: packets.Write, name: str) -> NodeReply:
        """Write a range of a file; a gap after the old end is filled with zeros."""
        held = self.data.get(name)
        end = command.offset + len(command.data)
        if held is None:
            return status_reply(packets.NO_SUCH_FILE, "no such file")
        if end > MAX_FILE:
            return status_reply(packets.FAILURE, "file size limit exceeded")
        held.extend(bytes(max(command.offset - len(held), 0)))
        held[command.offset : end] = command.data
        return status_reply(packets.OK)

    def acknowledge(self, command: packets.Extended, name: str) -> NodeReply:
        """Do nothing and report success."""
        return status_reply(packets.OK)

    def stat(
        self, command: packets.Stat | packets.Lstat | packets.Fstat, name: str
    ) -> NodeReply:
        """Return the attributes of a file or directory."""
        if name not in self.data and not self.is_directory(name):
            return NO_SUCH_FILE
        attributes = packets.AttributesReply(0, self.attributes(name))
        return NodeReply(NodeReplyStatus.DONE, answer=attributes)

    def set_size(
        self, command: packets.Setstat | packets.Fsetstat, name: str
    ) -> NodeReply:
        """Truncate or extend a file to a size; other attributes are ignored."""
        held = self.data.get(name)
        if held is None:
            return NO_SUCH_FILE
        size = command.attrs.size
        if size is not None and size <= MAX_FILE:
            del held[size:]
            held.extend(bytes(size - len(held)))
        return status_reply(packets.OK)

    def remove(self, command: packets.Remove, name: str) -> NodeReply:
        """Remove a file."""
        if self.data.pop(name, None) is None:
            return NO_SUCH_FILE
        return status_reply(packets.OK)

    def rename(self, command: packets.Rename, name: str) -> NodeReply:
        """Rename a file to a name that is not in use."""
        if command.target in self.data or command.target in self.links:
            return status_reply(packets.FAILURE, "new name already exists")
        if name not in self.data:
            return NO_SUCH_FILE
        self.data[command.target] = self.data.pop(name)
        return status_reply(packets.OK)

    # Commands on links and directories.

    def read_link(self, command: packets.Readlink) -> NodeReply:
        """Return the target of a link."""
        if command.path in self.links:
            return redirect_reply(self.links[command.path])
        return status_reply(
            packets.OK if command.path in self.data else packets.NO_SUCH_FILE
        )

    def change_link(self, command: packets.Symlink) -> NodeReply:
        """Create a link if none exists; target `-TARGET` removes the link to TARGET."""
        held = self.links.get(command.path)
        target = command.target
        if target.startswith("-"):
            if held is None or held != target[1:]:
                return status_reply(packets.NO_SUCH_FILE, "no such link")
            del self.links[command.path]
            return status_reply(packets.OK)
        if held is not None and held != target:
            return redirect_reply(held)
        if command.path in self.data:
            return status_reply(packets.FAILURE, "a file with this name exists")
        self.links[command.path] = target
        return status_reply(packets.OK)

    def make_directory(self, command: packets.Mkdir) -> NodeReply:
        """Create a directory."""
        if command.path in self.folders or command.path in self.data:
            return status_reply(packets.FAILURE, "name already exists")
        self.folders.add(command.path)
        return status_reply(packets.OK)

    def remove_directory(self, command: packets.Rmdir) -> NodeReply:
        """Remove an empty directory."""
        if self.has_entries(command.path):
            return status_reply(packets.FAILURE, "the directory is not empty")
        if command.path not in self.folders:
            return status_reply(packets.NO_SUCH_FILE, "no such directory")
        self.folders.discard(command.path)
        return status_reply(packets.OK)

    def read_directory(self, command: packets.Readdir) -> NodeReply:
        """Return up to MAX_NAMES names of a directory that follow a given name.

        The handle consists of the directory's path, a zero byte and the given name.
        """
        path, _, after = bytes_to_text(command.handle).partition("\0")
        found = self.entries_after(path, after)
        if not found:
            known = self.is_directory(path)
            return status_reply(
                packets.EOF if known else packets.NO_SUCH_FILE, "no more names"
            )
        entries = tuple(
            directory_entry(name, found[name]) for name in sorted(found)[:MAX_NAMES]
        )
        return NodeReply(
            NodeReplyStatus.DONE, answer=packets.DirectoryEntries(0, entries)
        )

    def entries_after(self, path: str, after: str) -> dict[str, FileAttributes]:
        """Return the names in a directory after a given name, with their attributes."""
        start = path.rstrip("/") + "/"
        found: dict[str, FileAttributes] = {}
        for held in (self.data, self.links, self.folders):
            for name in held:
                if not name.startswith(start):
                    continue
                first, deeper, _ = name[len(start) :].partition("/")
                if first <= after:
                    continue
                if deeper or name in self.folders:
                    found[first] = FileAttributes(mode=DIRECTORY_MODE)
                elif name in self.data:
                    found[first] = self.attributes(name)
                else:
                    found[first] = FileAttributes(mode=FILE_MODE)
        return found


def directory_entry(name: str, attributes: FileAttributes) -> DirectoryEntry:
    """Return a directory entry with its human-readable line."""
    letter = "d" if attributes.mode == DIRECTORY_MODE else "-"
    line = f"{letter}rw-r--r-- 1 - - {attributes.size or 0} {name}"
    return DirectoryEntry(name, line, attributes)
