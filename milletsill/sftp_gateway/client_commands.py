"""Answers client commands that need no node, and starts the others."""

from __future__ import annotations

from typing import Any, Protocol

from milletsill.sftp import extensions, packets
from milletsill.sftp.extensions import CommandTerms
from milletsill.sftp.wire import DirectoryEntry, FileAttributes
from milletsill.sftp_gateway.client_handles import HandleTable, unknown_handle_status
from milletsill.sftp_gateway.command_classification import canonical_path
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.open_handle import OpenHandle
from milletsill.sftp_gateway.routing_table import RoutedVolume

DIRECTORY_ATTRS = FileAttributes(mode=0o040755)
MAX_NAMES_ABOVE_VOLUMES = 1000  # names in the listing of a directory above the volumes
MAX_SHOWN_EXTENSION_LENGTH = 40  # characters of an unknown name in an error
HANDLE_COMMANDS = (
    packets.Read,
    packets.Write,
    packets.Fstat,
    packets.Fsetstat,
    packets.Readdir,
)


class CommandClient(Protocol):
    """The client connection that sent a command."""

    handles: HandleTable
    channels: dict[bytes, Any]

    def run(
        self,
        packet: Any,
        terms: CommandTerms,
        volume: RoutedVolume,
        path: str,
        handle: OpenHandle | None,
    ) -> None:
        """Run a command that needs requests to nodes."""


class ClientCommands:
    """Handles the commands of one client.

    The methods return the answer to a command, or None if the command was started.
    """

    def __init__(self, gateway: GatewayContext, client: CommandClient) -> None:
        self.gateway = gateway
        self.client = client
        self.handles = client.handles

    def handle_command(self, packet: Any, terms: CommandTerms) -> Any:
        """Return the answer to a command, or start it and return None.

        Raises:
            InvalidPathError: the command has an invalid path.
            MalformedInputError: the data of an extended command is malformed.
        """
        if isinstance(packet, packets.Realpath):
            path = canonical_path(packet.path or "/")
            return packets.DirectoryEntries(
                packet.id, (DirectoryEntry(path, path, FileAttributes()),)
            )
        if isinstance(packet, packets.Close):
            return self._close(packet)
        if isinstance(packet, packets.Extended):
            return self._handle_extended(packet, terms)
        if isinstance(packet, HANDLE_COMMANDS):
            return self._handle_on_handle(packet, terms)
        if isinstance(packet, (packets.Readlink, packets.Symlink)):
            reason = "symbolic links are not supported"
            return packets.Status(packet.id, packets.UNSUPPORTED, reason)
        return self._handle_on_path(packet, terms)

    def _close(self, packet: packets.Close) -> packets.Status:
        if self.handles.remove(packet.handle):
            return packets.Status(packet.id, packets.OK, "")
        if self.client.channels.pop(packet.handle, None) is not None:
            return packets.Status(packet.id, packets.OK, "")
        return unknown_handle_status(packet.id)

    # Extensions.

    def _handle_extended(self, packet: packets.Extended, terms: CommandTerms) -> Any:
        if packet.name == extensions.LIMITS:
            most = self.gateway.routing_table.max_request_bytes
            door = self.gateway.file.door
            return extensions.encode_limits(
                packet.id, door.most_packet, most, most, door.most_handles
            )
        if packet.name in self.gateway.extensions:
            return self.gateway.channels.handle_command(self.client, packet)
        if packet.name != extensions.FSYNC:
            reason = f"unknown extension {packet.name[:MAX_SHOWN_EXTENSION_LENGTH]!r}"
            return packets.Status(packet.id, packets.UNSUPPORTED, reason)
        handle = self.handles.get(extensions.decode_fsync(packet))
        if handle is None or handle.volume is None or handle.location is None:
            return unknown_handle_status(packet.id)
        self.client.run(packet, terms, handle.volume, handle.path, handle)
        return None

    # Commands on handles.

    def _handle_on_handle(self, packet: Any, terms: CommandTerms) -> Any:
        handle = self.handles.get(packet.handle)
        listing = isinstance(packet, packets.Readdir)
        if handle is None or listing != (handle.location is None):
            return unknown_handle_status(packet.id)
        most = self.gateway.routing_table.max_request_bytes
        if isinstance(packet, packets.Write) and len(packet.data) > most:
            reason = f"write of {len(packet.data)} bytes exceeds the limit of {most}"
            return packets.Status(packet.id, packets.FAILURE, reason)
        if listing and handle.volume is None:
            return self._list_above_volumes(packet.id, handle)
        assert handle.volume is not None
        self.client.run(packet, terms, handle.volume, handle.path, handle)
        return None

    def _list_above_volumes(self, id: int, handle: OpenHandle) -> Any:
        """Return a listing of a directory above the volumes, in one page."""
        names: list[str] = []
        if not handle.directory_found:
            names = self.gateway.routing_table.names_below(handle.path)
        handle.directory_found = True
        if not names:
            return packets.Status(id, packets.EOF, "end of directory")
        listed = tuple(
            DirectoryEntry(each, f"drwxr-xr-x 1 - - 0 {each}", DIRECTORY_ATTRS)
            for each in names[:MAX_NAMES_ABOVE_VOLUMES]
        )
        return packets.DirectoryEntries(id, listed)

    # Commands on paths.

    def _handle_on_path(self, packet: Any, terms: CommandTerms) -> Any:
        table = self.gateway.routing_table
        path = canonical_path(packet.path)
        volume = table.volume_of(path)
        if isinstance(packet, packets.Rename):
            refusal = self._refuse_rename(packet, volume, path)
            if refusal is not None:
                return refusal
        above = volume is None and (path == "/" or bool(table.names_below(path)))
        if isinstance(packet, packets.Opendir):
            if volume is None and not above:
                return self._no_such_file(packet.id)
            return self._open_directory(packet.id, volume, path)
        if above or (volume is not None and path == volume.root):
            return self._answer_on_volume_root(packet)
        if volume is None:
            return self._no_such_file(packet.id)
        if isinstance(packet, packets.Open) and self.handles.is_full():
            return self.handles.full_status(packet.id)
        self.client.run(packet, terms, volume, path, None)
        return None

    def _refuse_rename(
        self, packet: packets.Rename, volume: RoutedVolume | None, path: str
    ) -> packets.Status | None:
        target = canonical_path(packet.target)
        if (
            volume is None
            or self.gateway.routing_table.volume_of(target) is not volume
            or path == volume.root
        ):
            reason = "a rename must stay within its volume"
            return packets.Status(packet.id, packets.UNSUPPORTED, reason)
        if not self.gateway.allows_rename(volume, path, target):
            reason = "the new name is on another shard"
            return packets.Status(packet.id, packets.UNSUPPORTED, reason)
        return None

    def _answer_on_volume_root(self, packet: Any) -> Any:
        """Answer a command on a volume's root or above, which clients cannot change."""
        if isinstance(packet, (packets.Stat, packets.Lstat)):
            return packets.AttributesReply(packet.id, DIRECTORY_ATTRS)
        reason = "volume roots and the directories above them cannot be changed"
        return packets.Status(packet.id, packets.PERMISSION_DENIED, reason)

    def _no_such_file(self, id: int) -> packets.Status:
        return packets.Status(id, packets.NO_SUCH_FILE, "no such file")

    def _open_directory(self, id: int, volume: RoutedVolume | None, path: str) -> Any:
        if self.handles.is_full():
            return self.handles.full_status(id)
        handle = self.handles.add(OpenHandle(volume, path, None))
        return packets.Handle(id, handle)
