"""The packets of SFTP version 3, each a frozen dataclass, and their encoding.

Source: draft-ietf-secsh-filexfer-02; `fsync@openssh.com` and `limits@openssh.com`
from OpenSSH's PROTOCOL file. After its length field, a packet is one byte of packet
type (`kind`), then the fields in the order of the class, with the types that `layout`
lists.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, get_args

from milletsill.sftp.wire import DirectoryEntry, FileAttributes

PROTOCOL_VERSION = 3
# Open flags, section 6.3.
READ_FLAG = 1
WRITE_FLAG = 2
APPEND_FLAG = 4
CREATE_FLAG = 8
TRUNCATE_FLAG = 16
EXCLUSIVE_FLAG = 32
# Status codes, section 7.
OK = 0
EOF = 1
NO_SUCH_FILE = 2
PERMISSION_DENIED = 3
FAILURE = 4
BAD_MESSAGE = 5
UNSUPPORTED = 8


@dataclass(frozen=True, slots=True)
class Init:
    """SSH_FXP_INIT."""

    kind: ClassVar[int] = 1
    layout: ClassVar[str] = "u32 rest"
    version: int
    extensions: bytes = b""


@dataclass(frozen=True, slots=True)
class Version:
    """SSH_FXP_VERSION."""

    kind: ClassVar[int] = 2
    layout: ClassVar[str] = "u32 rest"
    version: int
    extensions: bytes = b""


@dataclass(frozen=True, slots=True)
class Open:
    """SSH_FXP_OPEN."""

    kind: ClassVar[int] = 3
    layout: ClassVar[str] = "u32 text u32 attrs"
    id: int
    path: str
    flags: int
    attrs: FileAttributes


@dataclass(frozen=True, slots=True)
class Close:
    """SSH_FXP_CLOSE."""

    kind: ClassVar[int] = 4
    layout: ClassVar[str] = "u32 raw"
    id: int
    handle: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """SSH_FXP_READ."""

    kind: ClassVar[int] = 5
    layout: ClassVar[str] = "u32 raw u64 u32"
    id: int
    handle: bytes
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Write:
    """SSH_FXP_WRITE."""

    kind: ClassVar[int] = 6
    layout: ClassVar[str] = "u32 raw u64 raw"
    id: int
    handle: bytes
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Lstat:
    """SSH_FXP_LSTAT."""

    kind: ClassVar[int] = 7
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Fstat:
    """SSH_FXP_FSTAT."""

    kind: ClassVar[int] = 8
    layout: ClassVar[str] = "u32 raw"
    id: int
    handle: bytes


@dataclass(frozen=True, slots=True)
class Setstat:
    """SSH_FXP_SETSTAT."""

    kind: ClassVar[int] = 9
    layout: ClassVar[str] = "u32 text attrs"
    id: int
    path: str
    attrs: FileAttributes


@dataclass(frozen=True, slots=True)
class Fsetstat:
    """SSH_FXP_FSETSTAT."""

    kind: ClassVar[int] = 10
    layout: ClassVar[str] = "u32 raw attrs"
    id: int
    handle: bytes
    attrs: FileAttributes


@dataclass(frozen=True, slots=True)
class Opendir:
    """SSH_FXP_OPENDIR."""

    kind: ClassVar[int] = 11
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Readdir:
    """SSH_FXP_READDIR."""

    kind: ClassVar[int] = 12
    layout: ClassVar[str] = "u32 raw"
    id: int
    handle: bytes


@dataclass(frozen=True, slots=True)
class Remove:
    """SSH_FXP_REMOVE."""

    kind: ClassVar[int] = 13
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Mkdir:
    """SSH_FXP_MKDIR."""

    kind: ClassVar[int] = 14
    layout: ClassVar[str] = "u32 text attrs"
    id: int
    path: str
    attrs: FileAttributes


@dataclass(frozen=True, slots=True)
class Rmdir:
    """SSH_FXP_RMDIR."""

    kind: ClassVar[int] = 15
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Realpath:
    """SSH_FXP_REALPATH."""

    kind: ClassVar[int] = 16
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Stat:
    """SSH_FXP_STAT."""

    kind: ClassVar[int] = 17
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Rename:
    """SSH_FXP_RENAME."""

    kind: ClassVar[int] = 18
    layout: ClassVar[str] = "u32 text text"
    id: int
    path: str
    target: str


@dataclass(frozen=True, slots=True)
class Readlink:
    """SSH_FXP_READLINK."""

    kind: ClassVar[int] = 19
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Symlink:
    """SSH_FXP_SYMLINK, in the draft's order of fields: the link's own path first."""

    kind: ClassVar[int] = 20
    layout: ClassVar[str] = "u32 text text"
    id: int
    path: str
    target: str


@dataclass(frozen=True, slots=True)
class Status:
    """SSH_FXP_STATUS."""

    kind: ClassVar[int] = 101
    layout: ClassVar[str] = "u32 u32 text text"
    id: int
    code: int
    message: str = ""
    language: str = ""


@dataclass(frozen=True, slots=True)
class Handle:
    """SSH_FXP_HANDLE."""

    kind: ClassVar[int] = 102
    layout: ClassVar[str] = "u32 raw"
    id: int
    handle: bytes


@dataclass(frozen=True, slots=True)
class Data:
    """SSH_FXP_DATA."""

    kind: ClassVar[int] = 103
    layout: ClassVar[str] = "u32 raw"
    id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class DirectoryEntries:
    """SSH_FXP_NAME."""

    kind: ClassVar[int] = 104
    layout: ClassVar[str] = "u32 names"
    id: int
    names: tuple[DirectoryEntry, ...]


@dataclass(frozen=True, slots=True)
class AttributesReply:
    """SSH_FXP_ATTRS."""

    kind: ClassVar[int] = 105
    layout: ClassVar[str] = "u32 attrs"
    id: int
    attrs: FileAttributes


@dataclass(frozen=True, slots=True)
class Extended:
    """SSH_FXP_EXTENDED."""

    kind: ClassVar[int] = 200
    layout: ClassVar[str] = "u32 text rest"
    id: int
    name: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ExtendedReply:
    """SSH_FXP_EXTENDED_REPLY."""

    kind: ClassVar[int] = 201
    layout: ClassVar[str] = "u32 rest"
    id: int
    body: bytes = b""


Command = (
    Init
    | Open
    | Close
    | Read
    | Write
    | Lstat
    | Fstat
    | Setstat
    | Fsetstat
    | Opendir
    | Readdir
    | Remove
    | Mkdir
    | Rmdir
    | Realpath
    | Stat
    | Rename
    | Readlink
    | Symlink
    | Extended
)
Answer = (
    Version
    | Status
    | Handle
    | Data
    | DirectoryEntries
    | AttributesReply
    | ExtendedReply
)
Packet = Command | Answer
COMMANDS: tuple[type[Any], ...] = get_args(Command)
ANSWERS: tuple[type[Any], ...] = get_args(Answer)
