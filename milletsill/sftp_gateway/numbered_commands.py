"""Reads numbered commands of clients and rejects those that cannot have a number."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from milletsill.fleet.channels.commands import NumberedRequest
from milletsill.fleet.channels.contracts import ContractCatalog
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.wire import text_to_bytes
from milletsill.sftp_gateway.client_handles import HandleTable
from milletsill.sftp_gateway.command_classification import (
    OPERATIONS,
    WRITE_OPERATIONS,
    canonical_path,
)
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.routing_table import RoutedVolume


@dataclass(frozen=True, slots=True)
class ChannelHandle:
    """What a client's channel handle refers to."""

    volume: RoutedVolume
    name: str
    claim: int
    contract: str


@dataclass(frozen=True, slots=True)
class NumberRefusal:
    """The reason why a command cannot have a number."""

    reason: str


def uses_handle(command: Any) -> bool:
    """Return whether a command refers to its file by a handle."""
    return hasattr(command, "handle") or isinstance(command, packets.Extended)


class NumberedCommandReader:
    """Reads numbered commands.

    A numbered command must write and must need a single request.
    """

    def __init__(self, gateway: GatewayContext, catalog: ContractCatalog) -> None:
        self.gateway = gateway
        self.catalog = catalog

    def read(
        self, handles: HandleTable, channel: ChannelHandle, given: wire.NumberedCommand
    ) -> NumberedRequest | NumberRefusal:
        """Return the numbered request of a command, or why it cannot have a number."""
        command = given.command
        path = self._path_of(handles, command, channel.volume)
        if isinstance(path, NumberRefusal):
            return path
        operation = OPERATIONS[type(command)]
        if not self.catalog.covers_operation(
            channel.contract, channel.volume.name, operation
        ):
            return NumberRefusal(
                f"contract {channel.contract} does not cover this operation: send it "
                "without a number"
            )
        return NumberedRequest(
            given.number,
            channel.claim,
            given.batch,
            given.ends_batch,
            given.terms,
            path,
            self._command_on_path(command, path),
        )

    def _command_on_path(self, command: Any, path: str) -> Any:
        """Return the command with id 0 and its path in place of a handle."""
        if hasattr(command, "handle"):
            return replace(command, id=0, handle=text_to_bytes(path))
        if isinstance(command, packets.Extended):
            return extensions.encode_fsync(0, text_to_bytes(path))
        return packet_codec.with_id(command, 0)

    def _path_of(
        self, handles: HandleTable, command: Any, volume: RoutedVolume
    ) -> str | NumberRefusal:
        if OPERATIONS.get(type(command)) not in WRITE_OPERATIONS:
            return NumberRefusal(
                "only a command that writes can have a number: send it without one"
            )
        if uses_handle(command):
            return self._path_of_handle(handles, command, volume)
        return self._path_in_volume(command, volume)

    def _path_of_handle(
        self, handles: HandleTable, command: Any, volume: RoutedVolume
    ) -> str | NumberRefusal:
        handle = (
            command.handle
            if hasattr(command, "handle")
            else extensions.decode_fsync(command)
        )
        opened = handles.get(handle)
        if opened is None or opened.location is None or opened.volume is not volume:
            return NumberRefusal("handle is not an open file of this channel's volume")
        most = self.gateway.routing_table.max_request_bytes
        if isinstance(command, packets.Write) and len(command.data) > most:
            return NumberRefusal(
                f"write of {len(command.data)} bytes exceeds the limit of {most}"
            )
        return opened.path

    def _path_in_volume(
        self, command: Any, volume: RoutedVolume
    ) -> str | NumberRefusal:
        table = self.gateway.routing_table
        path = canonical_path(command.path)
        if table.volume_of(path) is not volume or path == volume.root:
            return NumberRefusal("the path is outside the channel's volume")
        if isinstance(command, packets.Rename):
            target = canonical_path(command.target)
            stays = table.volume_of(target) is volume
            if not stays or not self.gateway.allows_rename(volume, path, target):
                return NumberRefusal(
                    "a numbered rename must stay within its volume and shard"
                )
        if isinstance(command, packets.Rmdir) and len(volume.shards) > 1:
            return NumberRefusal(
                "removing a directory on several shards takes several requests: "
                "remove it without a number"
            )
        return path
