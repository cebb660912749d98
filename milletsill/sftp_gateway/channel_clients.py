"""Client commands on channels: routed to the channel's owner and answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import SystemRandom
from typing import Any, Protocol

from milletsill.fleet.channels.commands import (
    ChannelCommand,
    CommandBody,
    NumberedRequest,
    OpenChannel,
    QueryNumber,
    Redirect,
    ResolveNumber,
)
from milletsill.fleet.channels.contracts import ContractCatalog
from milletsill.fleet.channels.limits import DEFAULT_RETRY_DELAY
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packet_codec, packets, status_tags
from milletsill.sftp_gateway.channel_attempts import written_size
from milletsill.sftp_gateway.channel_router import ChannelRouter, rejection
from milletsill.sftp_gateway.client_handles import HandleTable, unknown_handle_status
from milletsill.sftp_gateway.command_classification import OPERATIONS, canonical_path
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.gateway_state import client_deadline
from milletsill.sftp_gateway.numbered_commands import (
    ChannelHandle,
    NumberedCommandReader,
    NumberRefusal,
)
from milletsill.sftp_gateway.routing_table import RoutedVolume

HANDLE_PREFIX = b"channel"
HANDLE_LENGTH = 8  # octets after the prefix
FIRST_TOKEN_BITS = 62
TICKS_PER_SECOND = 10_000
CHANNEL_OPERATION = "change"  # request class of OPEN, QUERY and RESOLVE


class ChannelClient(Protocol):
    """The client connection that sent a command."""

    outstanding: dict[int, Any]
    handles: HandleTable
    channels: dict[bytes, ChannelHandle]
    octets: int

    def arrival_time(self) -> int:
        """Return the earliest time at which the current packet may have arrived."""

    def answer(self, command: Any, packet: Any) -> None:
        """Send the final answer to a command."""


class ChannelClientHost(GatewayContext, Protocol):
    """The gateway that the channels belong to."""

    reactor: Any

    def stop_if_drained(self) -> None:
        """Stop a draining gateway once no command is unanswered."""


class PendingChannelCommand:
    """A client's command on a channel that has not been answered yet.

    The client's connection lists it among its outstanding commands.

    Attributes:
        on_answer: receives the final answer.
        timeout: the delayed call that answers the command at its deadline.
    """

    __slots__ = (
        "began",
        "command",
        "final",
        "octets",
        "on_answer",
        "request_class",
        "timeout",
        "volume",
    )

    def __init__(
        self,
        command: Any,
        volume: RoutedVolume,
        request_class: int,
        client: ChannelClient,
    ) -> None:
        self.command = command
        self.volume = volume
        self.request_class = request_class
        self.octets = client.octets
        self.began = client.arrival_time()
        self.final = "abandoned"
        self.on_answer: Callable[[Any], None] = _ignore_answer
        self.timeout: Any = None

    def abandon(self) -> None:
        """Discard the answer, because the client has disconnected.

        A released request still runs, and the channel's owner stores its answer.
        """
        self.on_answer = _ignore_answer


class ChannelClients:
    """Handles the clients' commands on channels.

    Attributes:
        unanswered: number of unanswered commands, plus one while the channels drain.
    """

    def __init__(
        self,
        gateway: ChannelClientHost,
        fleet: Any,
        catalog: ContractCatalog,
        router: ChannelRouter,
        count: Callable[[str], None],
    ) -> None:
        self.gateway = gateway
        self.fleet = fleet
        self.catalog = catalog
        self.router = router
        self.count = count
        self.reader = NumberedCommandReader(gateway, catalog)
        self.pending: set[PendingChannelCommand] = set()
        self.unanswered = 0
        # Handles and tokens start at a random number. If a gateway restarts under an
        # incarnation that it has used before, its OPEN would otherwise have the token
        # of an earlier OPEN and be treated as a repetition of it.
        self.last_token = SystemRandom().getrandbits(FIRST_TOKEN_BITS)

    def stop(self) -> None:
        """Cancel the timeouts of all unanswered commands and forget them."""
        for pending in self.pending:
            pending.timeout.cancel()
        self.pending.clear()

    def handle_command(self, client: ChannelClient, packet: packets.Extended) -> Any:
        """Return the answer to a command on a channel, or None if it was sent on."""
        if packet.name == wire.NUMBERED:
            return self._handle_numbered(client, packet)
        given = wire.decode_channel_request(packet)
        if isinstance(given, wire.ChannelOpen):
            return self._handle_open(client, packet, given)
        channel = client.channels.get(given.handle)
        if channel is None:
            return unknown_handle_status(packet.id)
        body: CommandBody
        if isinstance(given, wire.ChannelQuery):
            body = QueryNumber(given.number)
        else:
            body = ResolveNumber(given.number, given.resolution, channel.claim)
        return self._send(client, packet, channel.volume, channel.name, body)

    def _handle_open(
        self, client: ChannelClient, packet: packets.Extended, given: wire.ChannelOpen
    ) -> Any:
        volume = self.gateway.routing_table.volume_of(canonical_path(given.path))
        if volume is None or not self.catalog.covers_volume(volume.name):
            reason = "no ordering contract covers this volume"
            return packets.Status(packet.id, packets.UNSUPPORTED, reason)
        if len(client.channels) >= client.handles.max_handles:
            return client.handles.full_status(packet.id)
        body = OpenChannel(given.contract, given.version, given.first)
        return self._send(client, packet, volume, given.channel, body)

    def _handle_numbered(self, client: ChannelClient, packet: packets.Extended) -> Any:
        given = wire.decode_numbered(packet)
        channel = client.channels.get(given.handle)
        if channel is None:
            return unknown_handle_status(packet.id)
        body = self.reader.read(client.handles, channel, given)
        if isinstance(body, NumberRefusal):
            return status_tags.tagged_status(packet.id, "contract", body.reason)
        return self._send(client, packet, channel.volume, channel.name, body)

    # Requests.

    def _send(
        self,
        client: ChannelClient,
        packet: packets.Extended,
        volume: RoutedVolume,
        name: str,
        body: CommandBody,
    ) -> Any:
        """Send a command to the channel's owner; return an answer if it is rejected."""
        request_class = self._request_class(volume, body)
        pending = PendingChannelCommand(packet, volume, request_class, client)
        deadline = self._deadline(pending, body)
        reason = self._refusal(deadline)
        if reason:
            return self._rejected(packet.id, reason)
        client.outstanding[packet.id] = pending
        self.unanswered += 1
        pending.on_answer = partial(self._answer_client, client, pending)
        on_answer = partial(self._on_answer, client, pending, name, body)
        self._set_timeout(pending, deadline, body, on_answer)
        self.pending.add(pending)
        token = self._new_token()
        command = ChannelCommand(volume, name, deadline, body, token, _ignore_answer)
        self._route(command, on_answer)
        return None

    def _route(self, command: ChannelCommand, on_answer: Callable[[Any], None]) -> None:
        """Route a command to the owner and follow redirects until it is answered."""

        def on_owner_answer(answer: Any) -> None:
            if isinstance(answer, Redirect):
                self.router.on_redirect(command, answer)
            else:
                on_answer(answer)

        command.on_answer = on_owner_answer
        self.router.route(command)

    def _rejected(self, id: int, reason: str) -> packets.Status:
        delay = self.gateway.host.config.max_retry_after
        message = f"declined: {reason}"
        return status_tags.tagged_status(id, "declined", message, None, delay)

    def _request_class(self, volume: RoutedVolume, body: CommandBody) -> int:
        table = self.gateway.routing_table
        if not isinstance(body, NumberedRequest):
            return table.request_class(CHANNEL_OPERATION, volume, 0)
        operation = OPERATIONS[type(body.command)]
        return table.request_class(operation, volume, written_size(body))

    def _deadline(self, pending: PendingChannelCommand, body: CommandBody) -> int:
        classes = self.gateway.host.config.request_classes
        client_timeout = 0
        if isinstance(body, NumberedRequest):
            client_timeout = body.terms.client_timeout_ms * 10
        return client_deadline(
            pending.began,
            classes[pending.request_class].client_timeout,
            client_timeout,
            self.gateway.answer_margin,
        )

    def _refusal(self, deadline: int) -> str:
        reason = self.gateway.refusal(deadline)
        if reason:
            return reason
        if self.unanswered >= self.gateway.file.door.most_held:
            return "this gateway has reached its limit of unanswered requests"
        return ""

    def _new_token(self) -> str:
        self.last_token += 1
        return f"{self.fleet.name}.{self.fleet.incarnation}.{self.last_token}"

    def _set_timeout(
        self,
        pending: PendingChannelCommand,
        deadline: int,
        body: CommandBody,
        on_answer: Callable[[Any], None],
    ) -> None:
        """Answer a command just after its deadline if it is still unanswered.

        Every command must be answered in time, even if it waits for a lease to be
        acquired or a record to be written: the owner has no timer for the command
        until then. The timeout is later than all timers of the owner, so it never
        preempts an answer of the owner.
        """
        due = deadline + self.gateway.answer_margin // 2
        delay = max(due - self.gateway.now(), 1) / TICKS_PER_SECOND
        pending.timeout = self.gateway.reactor.callLater(
            delay, self._on_timeout, body, on_answer
        )

    def _on_timeout(self, body: CommandBody, on_answer: Callable[[Any], None]) -> None:
        self.count("overdue")
        if isinstance(body, (NumberedRequest, ResolveNumber)):
            message = "aborted: no answer before the deadline"
            on_answer(status_tags.tagged_status(0, "aborted", message))
            return
        on_answer(rejection("no answer before the deadline", DEFAULT_RETRY_DELAY))

    # Answers.

    def _on_answer(
        self,
        client: ChannelClient,
        pending: PendingChannelCommand,
        name: str,
        body: CommandBody,
        answer: Any,
    ) -> None:
        """Handle an answer; only the first answer to a command is used."""
        if pending not in self.pending:
            return
        self._forget(pending)
        volume = pending.volume
        pending.on_answer(self._with_handle(client, volume, name, body, answer))

    def _answer_client(
        self, client: ChannelClient, pending: PendingChannelCommand, answer: Any
    ) -> None:
        pending.final = final_outcome(answer)
        client.answer(pending, packet_codec.with_id(answer, pending.command.id))

    def _forget(self, pending: PendingChannelCommand) -> None:
        self.pending.remove(pending)
        if pending.timeout.active():
            pending.timeout.cancel()
        self.unanswered -= 1
        self.gateway.stop_if_drained()

    def _with_handle(
        self,
        client: ChannelClient,
        volume: RoutedVolume,
        name: str,
        body: CommandBody,
        answer: Any,
    ) -> Any:
        """Add a handle of this connection to the answer to a successful OPEN."""
        if not isinstance(body, OpenChannel):
            return answer
        if not isinstance(answer, packets.ExtendedReply):
            return answer
        opened = wire.decode_open_reply(answer)
        self.last_token += 1
        handle = HANDLE_PREFIX + self.last_token.to_bytes(HANDLE_LENGTH, "big")
        client.channels[handle] = ChannelHandle(
            volume, name, opened.claim, opened.contract
        )
        return wire.encode_open_reply(0, replace(opened, handle=handle))


def final_outcome(answer: Any) -> str:
    """Return the final outcome of a channel command, for flow records."""
    sign = None
    if isinstance(answer, packets.Status):
        sign = status_tags.parse_status_tag(answer.language)
    if sign is None:
        return "satisfied"
    return "aborted" if sign.kind == "aborted" else "declined"


def _ignore_answer(answer: Any) -> None:
    """Ignore the answer to a command whose client has disconnected."""
