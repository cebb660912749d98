"""The SFTP handles of one client connection."""

from __future__ import annotations

from milletsill.sftp import packets
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.open_handle import OpenHandle

HANDLE_LENGTH = 8  # octets


class HandleTable:
    """Maps a client's handles to open files and directories, up to a limit.

    The limit is read from the settings at each use, because a reload of the gateway's
    file may change it.
    """

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.handles: dict[bytes, OpenHandle] = {}
        self.count = 0

    @property
    def max_handles(self) -> int:
        """The maximum number of handles of a client."""
        return int(self.gateway.file.door.most_handles)

    def is_full(self) -> bool:
        """Return whether the limit of handles is reached."""
        return len(self.handles) >= self.max_handles

    def get(self, handle: bytes) -> OpenHandle | None:
        """Return what a handle refers to, or None if it is not open."""
        return self.handles.get(handle)

    def add(self, opened: OpenHandle) -> bytes:
        """Open a new handle and return it."""
        self.count += 1
        handle = self.count.to_bytes(HANDLE_LENGTH, "big")
        self.handles[handle] = opened
        return handle

    def remove(self, handle: bytes) -> bool:
        """Close a handle; return whether it was open."""
        return self.handles.pop(handle, None) is not None

    def clear(self) -> None:
        """Close all handles."""
        self.handles.clear()

    def full_status(self, id: int) -> packets.Status:
        """Return the answer to a command that would exceed the limit of handles."""
        reason = f"limit of {self.max_handles} open handles reached"
        return packets.Status(id, packets.FAILURE, reason)


def unknown_handle_status(id: int) -> packets.Status:
    """Return the answer to a command on a handle that is not open."""
    return packets.Status(id, packets.FAILURE, "handle is not open")
