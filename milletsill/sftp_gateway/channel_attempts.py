"""Runs the requests that channels release, as commands of this gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash

from milletsill.fleet.channels.access_ranges import AccessRange, AccessRanges
from milletsill.fleet.channels.channel_services import AttemptEnd
from milletsill.fleet.channels.commands import ChannelCommand, NumberedRequest
from milletsill.fleet.channels.effects import Release
from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.fleet.channels.released_attempts import LeaseChecker, ReleasedAttempt
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.sftp import channel_keys, packets
from milletsill.sftp.extensions import CommandTerms
from milletsill.sftp.wire import text_to_bytes
from milletsill.sftp_gateway.command_classification import (
    OPERATIONS,
    InvalidPathError,
    canonical_path,
)
from milletsill.sftp_gateway.command_execution import ClientCommand, CommandExecution
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.numbered_commands import uses_handle
from milletsill.sftp_gateway.object_location import ObjectLocation
from milletsill.sftp_gateway.open_handle import OpenHandle


def written_size(request: NumberedRequest) -> int:
    """Return the bytes that a numbered request writes."""
    return len(getattr(request.command, "data", b""))


class ChannelAttemptRunner:
    """Runs attempts for the owner of a channel; implements `AttemptRunner`."""

    def __init__(self, gateway: GatewayContext, leases: LeaseChecker) -> None:
        self.gateway = gateway
        self.leases = leases

    def access_ranges(self, request: NumberedRequest) -> AccessRanges:
        """Return the ranges that a request accesses.

        A write accesses the blocks it overlaps, each of the size of a key; any other
        command accesses whole objects.
        """
        command = request.command
        object_hash = xxhash.xxh64_intdigest(text_to_bytes(request.path))
        if isinstance(command, packets.Write):
            block_bytes = self.gateway.routing_table.sizing.key_bytes
            last_byte = command.offset + max(len(command.data), 1) - 1
            first_block = command.offset // block_bytes
            return (AccessRange(object_hash, first_block, last_byte // block_bytes),)
        if isinstance(command, packets.Rename):
            target = canonical_path(command.target)
            target_hash = xxhash.xxh64_intdigest(text_to_bytes(target))
            return (AccessRange(object_hash), AccessRange(target_hash))
        return (AccessRange(object_hash),)

    def key_window(self, command: ChannelCommand) -> int:
        """Return how long nodes remember a numbered request's idempotency key."""
        request = command.body
        assert isinstance(request, NumberedRequest)
        volume: Any = command.volume
        class_index = self.gateway.routing_table.request_class(
            OPERATIONS[type(request.command)], volume, written_size(request)
        )
        request_class = self.gateway.host.config.request_classes[class_index]
        return int(request_class.retry_window)

    def run_attempt(
        self,
        release: Release,
        lease: LeaseTerm,
        deadline: int,
        on_ended: Callable[[AttemptEnd], None],
    ) -> None:
        """Execute a released request like any other command."""
        command = release.request.recipient
        request = command.body
        assert isinstance(request, NumberedRequest)
        key = channel_keys.format_channel_key(
            command.volume.name,
            command.channel,
            release.number,
            release.key_generation,
        )
        attempt = ReleasedAttempt(self.leases, lease, key, deadline, release.is_retry)

        def on_answer(packet: Any) -> None:
            if execution.final == "satisfied":
                status = getattr(packet, "code", 0)
                on_ended(AttemptEnd(NumberEvent.SETTLED, status, 0, packet))
                return
            event = attempt.event_without_answer()
            retry_delay = self.gateway.host.config.max_retry_after
            on_ended(AttemptEnd(event, 0, retry_delay))

        execution = CommandExecution(
            self.gateway,
            self._client_command(command.volume, request, attempt),
            on_answer,
        )
        try:
            execution.start()
        except InvalidPathError:
            on_ended(AttemptEnd(NumberEvent.NEVER_RAN))

    def _client_command(
        self, volume: Any, request: NumberedRequest, attempt: ReleasedAttempt
    ) -> ClientCommand:
        handle = None
        if uses_handle(request.command):
            home = self.gateway.routing_table.home_shard(volume, request.path)
            location = ObjectLocation(home, request.path)
            handle = OpenHandle(volume, request.path, location)
        return ClientCommand(
            packet=request.command,
            terms=CommandTerms(
                0, request.terms.retry_count, request.terms.idempotency_key
            ),
            volume=volume,
            path=request.path,
            handle=handle,
            arrived=self.gateway.now(),
            attempt_guard=attempt,
        )
