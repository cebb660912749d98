"""The bytes of a stand-in node, kept in memory: files, directories, links.

Commands name files by their handles, whose octets are the files' names.
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
"""Names on a page of a directory."""
MAX_FILE = 64_000_000
"""Bytes of a file."""
FILE_MODE = 0o100644
DIRECTORY_MODE = 0o040755
PATTERN_BYTES = 1 << 17
PATTERN = Random(11).randbytes(PATTERN_BYTES) * 3


def pattern(path: str, offset: int, length: int) -> bytes:
    """Return what every file of the laboratory holds at a place.

    Its path alone tells it, so that any read can be checked.
    """
    place = xxhash.xxh32_intdigest(path.encode()) + offset
    start = place & (PATTERN_BYTES - 1)
    return PATTERN[start : start + length]


def status_reply(code: int, text: str = "") -> NodeReply:
    """Return the reply to a command that was run, with an SFTP status."""
    return NodeReply(NodeReplyStatus.DONE, answer=packets.Status(0, code, text))


def redirect_reply(target: str) -> NodeReply:
    """Return the reply that names the place of what was asked for."""
    return NodeReply(
        NodeReplyStatus.ELSEWHERE, target, answer=packets.Status(0, packets.OK)
    )


NO_SUCH_FILE = status_reply(packets.NO_SUCH_FILE, "no such file")


class StoredFiles:
    """Objects by name. A name that links elsewhere answers with the link's target."""

    def __init__(self) -> None:
        self.data: dict[str, bytearray] = {}
        self.links: dict[str, str] = {}
        self.folders: set[str] = set()
        self.by_name: dict[type, Callable[[Any, str], NodeReply]] = {
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
        self.by_command: dict[type, Callable[[Any], NodeReply]] = {
            packets.Readlink: self.read_link,
            packets.Symlink: self.change_link,
            packets.Mkdir: self.make_directory,
            packets.Rmdir: self.remove_directory,
            packets.Readdir: self.read_directory,
        }

    def run(self, command: packets.Command | packets.Extended) -> NodeReply:
        """Do a command, its handles being names."""
        on_command = self.by_command.get(type(command))
        if on_command is not None:
            return on_command(command)
        on_name = self.by_name.get(type(command))
        if on_name is None:
            return status_reply(packets.UNSUPPORTED)
        handle = getattr(command, "handle", None)
        name = getattr(command, "path", "") if handle is None else bytes_to_text(handle)
        if name in self.links:
            return redirect_reply(self.links[name])
        return on_name(command, name)

    def attributes(self, name: str) -> FileAttributes:
        """Return the attributes of a file, or of a directory."""
        if name in self.data:
            return FileAttributes(size=len(self.data[name]), mode=FILE_MODE)
        return FileAttributes(mode=DIRECTORY_MODE)

    def is_directory(self, name: str) -> bool:
        """Return whether a directory was made or something lies below a name."""
        return name in self.folders or self.has_entries(name)

    def has_entries(self, name: str) -> bool:
        """Return whether something lies below a name."""
        start = name.rstrip("/") + "/"
        return any(
            each.startswith(start)
            for held in (self.data, self.links, self.folders)
            for each in held
        )

    # Of a file.

    def open(self, command: packets.Open, name: str) -> NodeReply:
        """Open a file; its name is its handle."""
        flags = command.flags
        creates = flags & packets.CREATE_FLAG
        if name in self.folders:
            return status_reply(packets.FAILURE, "a directory")
        if name in self.data and creates and flags & packets.EXCLUSIVE_FLAG:
            return status_reply(packets.FAILURE, "it stands already")
        if name not in self.data and not creates:
            return NO_SUCH_FILE
        if name not in self.data or flags & packets.TRUNCATE_FLAG:
            self.data[name] = bytearray()
        handle = packets.Handle(0, name.encode("utf-8", "surrogateescape"))
        return NodeReply(NodeReplyStatus.DONE, answer=handle)

    def read(self, command: packets.Read, name: str) -> NodeReply:
        """Read a part of a file."""
        if name not in self.data:
            return NO_SUCH_FILE
        end = command.offset + command.length
        data = bytes(self.data[name][command.offset : end])
        if not data:
            return status_reply(packets.EOF, "the end")
        return NodeReply(NodeReplyStatus.DONE, answer=packets.Data(0, data))

    def write(self, command: packets.Write, name: str) -> NodeReply:
        """Write a part of a file; what lies between its end and that is zero."""
        held = self.data.get(name)
        end = command.offset + len(command.data)
        if held is None:
            return status_reply(packets.NO_SUCH_FILE, "cannot be written")
        if end > MAX_FILE:
            return status_reply(packets.FAILURE, "cannot be written")
        held.extend(bytes(max(command.offset - len(held), 0)))
        held[command.offset : end] = command.data
        return status_reply(packets.OK)

    def acknowledge(self, command: packets.Extended, name: str) -> NodeReply:
        """Do nothing, and say that it is done."""
        return status_reply(packets.OK)

    def stat(
        self, command: packets.Stat | packets.Lstat | packets.Fstat, name: str
    ) -> NodeReply:
        """Tell the attributes of a file or directory."""
        if name not in self.data and not self.is_directory(name):
            return NO_SUCH_FILE
        attributes = packets.AttributesReply(0, self.attributes(name))
        return NodeReply(NodeReplyStatus.DONE, answer=attributes)

    def set_size(
        self, command: packets.Setstat | packets.Fsetstat, name: str
    ) -> NodeReply:
        """Cut or fill up a file to a size; other attributes are left out."""
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
        """Give a file a name that nothing has."""
        if command.target in self.data or command.target in self.links:
            return status_reply(packets.FAILURE, "the new name stands already")
        if name not in self.data:
            return NO_SUCH_FILE
        self.data[command.target] = self.data.pop(name)
        return status_reply(packets.OK)

    # Of links and directories.

    def read_link(self, command: packets.Readlink) -> NodeReply:
        """Tell where a link leads."""
        if command.path in self.links:
            return redirect_reply(self.links[command.path])
        return status_reply(
            packets.OK if command.path in self.data else packets.NO_SUCH_FILE
        )

    def change_link(self, command: packets.Symlink) -> NodeReply:
        """Make a link where none stands; `-TARGET` takes that very link away."""
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
            return status_reply(packets.FAILURE, "a file stands there")
        self.links[command.path] = target
        return status_reply(packets.OK)

    def make_directory(self, command: packets.Mkdir) -> NodeReply:
        """Make a directory."""
        if command.path in self.folders or command.path in self.data:
            return status_reply(packets.FAILURE, "it stands already")
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
        """Tell a page of the names after one.

        The handle is the directory, a zero byte and that name.
        """
        path, _, after = bytes_to_text(command.handle).partition("\0")
        found = self.entries_after(path, after)
        if not found:
            known = self.is_directory(path)
            return status_reply(
                packets.EOF if known else packets.NO_SUCH_FILE, "the end"
            )
        entries = tuple(
            directory_entry(name, found[name]) for name in sorted(found)[:MAX_NAMES]
        )
        return NodeReply(
            NodeReplyStatus.DONE, answer=packets.DirectoryEntries(0, entries)
        )

    def entries_after(self, path: str, after: str) -> dict[str, FileAttributes]:
        """Return the names in a directory after one, with their attributes."""
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
    """Return an entry of a directory with its line for people."""
    letter = "d" if attributes.mode == DIRECTORY_MODE else "-"
    line = f"{letter}rw-r--r-- 1 - - {attributes.size or 0} {name}"
    return DirectoryEntry(name, line, attributes)
