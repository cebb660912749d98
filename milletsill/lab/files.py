"""The bytes of a stand-in disk box, kept in memory: files, directories, links, and the answers to commands."""

from __future__ import annotations

from random import Random
from typing import Any

import xxhash

from milletsill.sftp import packets
from milletsill.sftp.extensions import NodeReply, NodeReplyStatus
from milletsill.sftp.wire import DirectoryEntry, FileAttributes, bytes_to_text

MOST_NAMES = 100  # on a page
MOST_FILE = 64_000_000
BLOCK = Random(11).randbytes(1 << 17) * 3
PATTERN = (1 << 17) - 1


def pattern(path: str, offset: int, length: int) -> bytes:
    """What every file of the laboratory holds: told by its path alone, so that any read can be checked."""
    start = (xxhash.xxh32_intdigest(path.encode()) + offset) & PATTERN
    return BLOCK[start : start + length]


class Files:
    """Objects by name. A name that links elsewhere answers with the link's target."""

    def __init__(self) -> None:
        self.data: dict[str, bytearray] = {}
        self.links: dict[str, str] = {}
        self.folders: set[str] = set()

    def run(self, command: Any) -> NodeReply:
        """Do a command, its handles being names."""
        method = getattr(self, type(command).__name__.lower(), None)
        if method is None:
            return self.status(packets.UNSUPPORTED)
        if type(command) in (
            packets.Readlink,
            packets.Symlink,
            packets.Readdir,
            packets.Mkdir,
            packets.Rmdir,
        ):
            return method(command)
        name = (
            bytes_to_text(command.handle)
            if hasattr(command, "handle")
            else getattr(command, "path", "")
        )
        if name in self.links:
            return NodeReply(
                NodeReplyStatus.ELSEWHERE,
                self.links[name],
                answer=packets.Status(0, packets.OK),
            )
        return method(command, name)

    def status(self, code: int, text: str = "") -> NodeReply:
        return NodeReply(NodeReplyStatus.DONE, answer=packets.Status(0, code, text))

    def attrs(self, name: str) -> FileAttributes:
        return (
            FileAttributes(size=len(self.data[name]), mode=0o100644)
            if name in self.data
            else FileAttributes(mode=0o040755)
        )

    def open(self, command: packets.Open, name: str) -> NodeReply:
        flags = command.flags
        if name in self.folders:
            return self.status(packets.FAILURE, "a directory")
        if (
            name in self.data
            and flags & packets.CREATE_FLAG
            and flags & packets.EXCLUSIVE_FLAG
        ):
            return self.status(packets.FAILURE, "it stands already")
        if name not in self.data and not flags & packets.CREATE_FLAG:
            return self.status(packets.NO_SUCH_FILE, "no such file")
        if name not in self.data or flags & packets.TRUNCATE_FLAG:
            self.data[name] = bytearray()
        return NodeReply(
            NodeReplyStatus.DONE,
            answer=packets.Handle(0, name.encode("utf-8", "surrogateescape")),
        )

    def read(self, command: packets.Read, name: str) -> NodeReply:
        if name not in self.data:
            return self.status(packets.NO_SUCH_FILE, "no such file")
        data = bytes(self.data[name][command.offset : command.offset + command.length])
        return (
            NodeReply(NodeReplyStatus.DONE, answer=packets.Data(0, data))
            if data
            else self.status(packets.EOF, "the end")
        )

    def write(self, command: packets.Write, name: str) -> NodeReply:
        held, end = self.data.get(name), command.offset + len(command.data)
        if held is None or end > MOST_FILE:
            return self.status(
                packets.NO_SUCH_FILE if held is None else packets.FAILURE,
                "cannot be written",
            )
        held.extend(bytes(max(command.offset - len(held), 0)))
        held[command.offset : end] = command.data
        return self.status(packets.OK)

    def extended(self, command: Any, name: str) -> NodeReply:
        return self.status(packets.OK)

    def stat(self, command: Any, name: str) -> NodeReply:
        known = name in self.data or name in self.folders or self.below(name)
        return (
            NodeReply(
                NodeReplyStatus.DONE,
                answer=packets.AttributesReply(0, self.attrs(name)),
            )
            if known
            else self.status(packets.NO_SUCH_FILE, "no such file")
        )

    lstat = fstat = stat

    def setstat(self, command: Any, name: str) -> NodeReply:
        held = self.data.get(name)
        if held is None:
            return self.status(packets.NO_SUCH_FILE, "no such file")
        size = command.attrs.size
        if size is not None and size <= MOST_FILE:
            del held[size:]
            held.extend(bytes(size - len(held)))
        return self.status(packets.OK)

    fsetstat = setstat

    def remove(self, command: Any, name: str) -> NodeReply:
        if self.data.pop(name, None) is None:
            return self.status(packets.NO_SUCH_FILE, "no such file")
        return self.status(packets.OK)

    def rename(self, command: packets.Rename, name: str) -> NodeReply:
        if command.target in self.data or command.target in self.links:
            return self.status(packets.FAILURE, "the new name stands already")
        if name not in self.data:
            return self.status(packets.NO_SUCH_FILE, "no such file")
        self.data[command.target] = self.data.pop(name)
        return self.status(packets.OK)

    def readlink(self, command: packets.Readlink) -> NodeReply:
        if command.path in self.links:
            return NodeReply(
                NodeReplyStatus.ELSEWHERE,
                self.links[command.path],
                answer=packets.Status(0, packets.OK),
            )
        return self.status(
            packets.OK if command.path in self.data else packets.NO_SUCH_FILE
        )

    def symlink(self, command: packets.Symlink) -> NodeReply:
        """A link where none stands; `-TARGET` takes that very link away."""
        held, target = self.links.get(command.path), command.target
        if target.startswith("-"):
            if held is None or held != target[1:]:
                return self.status(packets.NO_SUCH_FILE, "no such link")
            del self.links[command.path]
        elif held is not None and held != target:
            return NodeReply(
                NodeReplyStatus.ELSEWHERE, held, answer=packets.Status(0, packets.OK)
            )
        elif command.path in self.data:
            return self.status(packets.FAILURE, "a file stands there")
        else:
            self.links[command.path] = target
        return self.status(packets.OK)

    def mkdir(self, command: packets.Mkdir) -> NodeReply:
        if command.path in self.folders or command.path in self.data:
            return self.status(packets.FAILURE, "it stands already")
        self.folders.add(command.path)
        return self.status(packets.OK)

    def rmdir(self, command: packets.Rmdir) -> NodeReply:
        if self.below(command.path):
            return self.status(packets.FAILURE, "the directory is not empty")
        if command.path not in self.folders:
            return self.status(packets.NO_SUCH_FILE, "no such directory")
        self.folders.discard(command.path)
        return self.status(packets.OK)

    def below(self, name: str) -> bool:
        start = name.rstrip("/") + "/"
        return any(
            each.startswith(start)
            for held in (self.data, self.links, self.folders)
            for each in held
        )

    def readdir(self, command: packets.Readdir) -> NodeReply:
        """The names after one, a page; the handle is the directory, a zero byte and that name."""
        path, _, after = bytes_to_text(command.handle).partition("\0")
        start, found = path.rstrip("/") + "/", dict[str, FileAttributes]()
        for held in (self.data, self.links, self.folders):
            for name in held:
                if name.startswith(start):
                    first, deeper, _ = name[len(start) :].partition("/")
                    if first > after:
                        found[first] = (
                            FileAttributes(mode=0o040755)
                            if deeper or name in self.folders
                            else self.attrs(name)
                            if name in self.data
                            else FileAttributes(mode=0o100644)
                        )
        if not found:
            known = path in self.folders or self.below(path)
            return self.status(
                packets.EOF if known else packets.NO_SUCH_FILE, "the end"
            )
        names = sorted(found)[:MOST_NAMES]
        lines = tuple(
            DirectoryEntry(
                each,
                f"{'d' if found[each].mode == 0o040755 else '-'}rw-r--r-- 1 - - "
                f"{found[each].size or 0} {each}",
                found[each],
            )
            for each in names
        )
        return NodeReply(
            NodeReplyStatus.DONE, answer=packets.DirectoryEntries(0, lines)
        )
