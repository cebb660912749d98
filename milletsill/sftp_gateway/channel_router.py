"""Takes a channel's command to the gateway that owns the channel."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from milletsill.fleet.channels.channel_owner import ChannelOwner
from milletsill.fleet.channels.channel_services import LeaseService
from milletsill.fleet.channels.commands import ChannelCommand, Redirect
from milletsill.fleet.channels.limits import DEFAULT_RETRY_DELAY
from milletsill.fleet.channels.peer_forwarder import PeerForwarder
from milletsill.sftp import status_tags

MAX_REDIRECTS = 3  # times that a command follows what the acceptors say of the owner


def rejection(reason: str, retry_delay: int) -> Any:
    """Return the answer to a command that was not taken; it has no id yet."""
    return status_tags.tagged_status(
        0, "declined", f"declined: {reason}", None, retry_delay
    )


class ChannelRouter:
    """Decides whether a command is handled here or forwarded to another gateway."""

    def __init__(
        self,
        fleet: Any,
        leases: LeaseService,
        owner: ChannelOwner,
        count: Callable[[str], None],
    ) -> None:
        self.fleet = fleet
        self.leases = leases
        self.owner = owner
        self.count = count
        self.forwarder: PeerForwarder

    def route(self, command: ChannelCommand) -> None:
        """Handle a command here, where this gateway owns the channel or should.

        Else forward it by the fleet's view.
        """
        owner = ""
        if not self.owner.owns(command.key):
            owner = self.leases.preferred_holder(command.key)
        if owner in ("", self.fleet.name) or not self.forwarder.is_reachable(owner):
            self.count("kept_here")
            self.owner.handle(command)
            return
        self.forwarder.forward(command, owner)

    def on_redirect(self, command: ChannelCommand, redirect: Redirect) -> None:
        """Follow what the acceptors say: another gateway holds the lease.

        Guards against a command that goes to and fro between one that has it still,
        going down, and one that may not have it yet. Harm: a client comes back once
        more.
        """
        command.redirects += 1
        if command.redirects > MAX_REDIRECTS:
            delay = max(redirect.retry_delay // 4, DEFAULT_RETRY_DELAY)
            reason = f"{redirect.owner} hands the channel over"
            command.on_answer(rejection(reason, delay))
            return
        unreachable = (
            self.fleet.name,
            *command.unreachable_owners,
            *self.forwarder.unreachable_since,
        )
        known = redirect.owner in self.fleet.view.by_name
        if redirect.owner in unreachable or not known:
            reason = f"{redirect.owner} held the channel and is away"
            command.on_answer(rejection(reason, redirect.retry_delay))
            return
        self.forwarder.forward(command, redirect.owner, 1)

    def on_peer_command(self, command: ChannelCommand, member: str) -> None:
        """Handle another gateway's command: this one is thought to be the owner.

        One that goes down has the other try to be it.
        """
        if self.owner.is_draining:
            command.on_answer(Redirect(member, 0))
            return
        self.owner.handle(command)
