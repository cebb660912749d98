"""The handles of one client's connection."""

from __future__ import annotations

from milletsill.sftp import packets
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.open_handle import OpenHandle

HANDLE_LENGTH = 8  # octets


class HandleTable:
    """What a client's handles stand for, bounded.

    The bound is read at each use: a reload of the gateway's file changes it.
    """

    def __init__(self, gateway: GatewayContext) -> None:
        self.gateway = gateway
        self.handles: dict[bytes, OpenHandle] = {}
        self.count = 0

    @property
    def max_handles(self) -> int:
        """How many handles a client may have."""
        return int(self.gateway.file.door.most_handles)

    def is_full(self) -> bool:
        """Return whether there is no room for one more."""
        return len(self.handles) >= self.max_handles

    def get(self, handle: bytes) -> OpenHandle | None:
        """Return what a handle stands for, None for no such handle."""
        return self.handles.get(handle)

    def add(self, opened: OpenHandle) -> bytes:
        """Return a new handle."""
        self.count += 1
        handle = self.count.to_bytes(HANDLE_LENGTH, "big")
        self.handles[handle] = opened
        return handle

    def remove(self, handle: bytes) -> bool:
        """Close a handle; return whether it was there."""
        return self.handles.pop(handle, None) is not None

    def clear(self) -> None:
        """Close all."""
        self.handles.clear()

    def full_status(self, id: int) -> packets.Status:
        """Return the answer to a command that would open one too many."""
        reason = f"more than {self.max_handles} handles"
        return packets.Status(id, packets.FAILURE, reason)


def unknown_handle_status(id: int) -> packets.Status:
    """Return the answer to a command on a handle that is not open."""
    return packets.Status(id, packets.FAILURE, "no such handle")
