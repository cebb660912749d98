"""The channels that this gateway owns, and how it becomes the owner of one.

Whether this gateway may own a channel is the lease manager's to say; what happens in
it, `owned_channel`'s. Callbacks come by the reactor.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from milletsill.errors import MilletsillError
from milletsill.fleet.channels import codec
from milletsill.fleet.channels.channel_sequencer import ChannelSequencer
from milletsill.fleet.channels.channel_surroundings import AttemptRunner, LeaseService
from milletsill.fleet.channels.command_replies import (
    CONTRACT_ERRORS,
    CommandReplies,
    retry_delay_of,
)
from milletsill.fleet.channels.commands import ChannelCommand, OpenChannel
from milletsill.fleet.channels.contracts import ContractCatalog
from milletsill.fleet.channels.effects import ReplyKind
from milletsill.fleet.channels.errors import ChannelRecordUnreadableError
from milletsill.fleet.channels.limits import DEFAULT_RETRY_DELAY
from milletsill.fleet.channels.owned_channel import OwnedChannel
from milletsill.fleet.channels.timers import TimerScheduler
from milletsill.fleet.leases.errors import ResourceLimitReachedError
from milletsill.fleet.leases.lease_term import LeaseTerm

MAX_WAITING_FOR_LEASE = 256
"""Commands of one channel that wait while its lease is acquired."""

IDLE_TIMEOUT = 600_000
"""When a quiet channel leaves this gateway's memory, in tenths of a millisecond.

Its record stays with the acceptors.
"""


@dataclass(frozen=True, slots=True)
class ChannelOwnerSettings:
    """Settings of a gateway's channel owner.

    Attributes:
        gateway: This gateway's name in the fleet.
        quarantine: For how long an attempt may run after its deadline, in tenths of a
            millisecond.
        max_channels: Channels that are held in memory at once.
        catalog: The operator's contracts.
    """

    gateway: str
    quarantine: int
    max_channels: int
    catalog: ContractCatalog


@dataclass(frozen=True, slots=True)
class ChannelTelemetry:
    """Where events go: `log` takes event and fields, `count` an answer's name."""

    log: Callable[..., None]
    count: Callable[[str], None]


class ChannelOwner:
    """Handles commands of channels as their owner, or as one that tries to be."""

    def __init__(
        self,
        settings: ChannelOwnerSettings,
        reactor: TimerScheduler,
        now: Callable[[], int],
        leases: LeaseService,
        runner: AttemptRunner,
        telemetry: ChannelTelemetry,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.now = now
        self.leases = leases
        self.runner = runner
        self.catalog = settings.catalog
        self.log = telemetry.log
        self.replies = CommandReplies(telemetry.count)
        self.channels: dict[str, OwnedChannel] = {}
        self.is_draining = False
        self._waiting_for_lease: dict[str, list[ChannelCommand]] = {}
        self._lost_lease_ends: dict[str, int] = {}

    def owns(self, key: str) -> bool:
        """Whether this gateway is the channel's owner now."""
        channel = self.channels.get(key)
        return channel is not None and self.leases.holds(channel.lease)

    def handle(self, command: ChannelCommand) -> None:
        """Take in a command, acquiring the channel's lease first where need be."""
        key = command.key
        channel = self.channels.get(key)
        if self.is_draining:
            self.replies.reject(command, DEFAULT_RETRY_DELAY)
            return
        if channel is not None and self.leases.holds(channel.lease):
            channel.handle(command)
            return
        waiting = self._waiting_for_lease.get(key)
        if waiting is not None:
            if len(waiting) >= MAX_WAITING_FOR_LEASE:
                self.replies.reject(command, DEFAULT_RETRY_DELAY)
            else:
                waiting.append(command)
            return
        if channel is None and self._is_full():
            limit = self.settings.max_channels
            error = ResourceLimitReachedError(
                f"{limit} channels are kept here", key, DEFAULT_RETRY_DELAY
            )
            self.replies.report_error(command, error)
            return
        self._waiting_for_lease[key] = [command]
        self.leases.acquire(key, lambda outcome: self._on_acquired(key, outcome))

    def _is_full(self) -> bool:
        held = len(self.channels) + len(self._waiting_for_lease)
        return held >= self.settings.max_channels

    # Leases.

    def _on_acquired(self, key: str, outcome: LeaseTerm | MilletsillError) -> None:
        """The lease, or why not."""
        commands = self._waiting_for_lease.pop(key, [])
        channel = self.channels.get(key)
        if isinstance(outcome, MilletsillError):
            if channel is not None:
                channel.lose(retry_delay_of(outcome))
            for command in commands:
                self.replies.report_error(command, outcome)
            return
        if channel is not None and channel.is_current(outcome):
            channel.lease = outcome
        else:
            if channel is not None:
                channel.lose(DEFAULT_RETRY_DELAY)
            channel = self._begin(key, outcome, commands)
        for command in commands:
            if channel is None:
                self.replies.reject(command, DEFAULT_RETRY_DELAY)
            else:
                channel.handle(command)

    def _begin(
        self, key: str, lease: LeaseTerm, commands: list[ChannelCommand]
    ) -> OwnedChannel | None:
        """Begin to own a channel; None where its lease had to be given up."""
        if lease.value:
            sequencer = self._read_record(key, lease)
        else:
            sequencer = self._new_channel(lease, commands)
        if sequencer is None:
            return None
        channel = OwnedChannel(self, key, lease, sequencer)
        self.channels[key] = channel
        return channel

    def _read_record(self, key: str, lease: LeaseTerm) -> ChannelSequencer | None:
        try:
            return codec.decode_record(
                lease.value,
                self.settings.quarantine,
                self.now(),
                lease.value_age,
                self.lost_lease_end(key),
            )
        except ChannelRecordUnreadableError as error:
            self.log("channel_record_unreadable", channel=key, **error.log_fields())
            self.leases.release(lease)
            return None

    def _new_channel(
        self, lease: LeaseTerm, commands: list[ChannelCommand]
    ) -> ChannelSequencer | None:
        """A channel without a record, with the contract of the first open command.

        Where none can begin, the commands are answered and taken out of the list.
        """
        for command in commands:
            body = command.body
            if isinstance(body, OpenChannel):
                break
        else:
            self.leases.release(lease)
            for command in commands:
                self.replies.reply(
                    command,
                    ReplyKind.CLAIM_LOST,
                    text="nothing is known of this channel: open it",
                )
            commands.clear()
            return None
        try:
            declaration = self.catalog.resolve(
                command.volume.name, body.contract, body.version, 0
            )
        except CONTRACT_ERRORS as error:
            self.leases.release(lease)
            for command in commands:
                self.replies.report_error(command, error)
            commands.clear()
            return None
        return ChannelSequencer(
            declaration.contract,
            self.settings.quarantine,
            declaration.chosen_by_client,
        )

    def lost_lease_end(self, key: str) -> int:
        """When the last lease of a channel ends that was lost here; 0 for none.

        Guards against what this gateway itself released under it, which lasts to its
        end though the same gateway may take the lease again at once. Harm: what stands
        behind waits so long.
        """
        return self._lost_lease_ends.get(key, 0)

    def on_channel_lost(self, channel: OwnedChannel) -> None:
        """The lease of a channel is gone."""
        if self.channels.get(channel.key) is channel:
            del self.channels[channel.key]
            self._lost_lease_ends[channel.key] = max(
                channel.lease.expires_at, self.lost_lease_end(channel.key)
            )

    def hand_over(self, channel: OwnedChannel) -> None:
        """Forget a channel and give up its lease: others may take it at once."""
        self.channels.pop(channel.key, None)
        channel.close()
        if self.leases.holds(channel.lease):
            self.leases.release(channel.lease)

    # Housekeeping.

    def sweep(self) -> None:
        """Forget quiet channels; hand over what the view gives to other gateways."""
        now = self.now()
        self._lost_lease_ends = {
            key: end for key, end in self._lost_lease_ends.items() if end > now
        }
        for channel in list(self.channels.values()):
            if channel.is_idle() and (
                now - channel.last_used > IDLE_TIMEOUT or self._is_misplaced(channel)
            ):
                self.hand_over(channel)

    def _is_misplaced(self, channel: OwnedChannel) -> bool:
        """Whether another gateway should own a channel that this one owns."""
        if not self.leases.holds(channel.lease):
            return False
        preferred = self.leases.preferred_holder(channel.key)
        return preferred not in ("", self.settings.gateway)

    def drain(self) -> None:
        """Going down: answer what waits, give up leases once nothing is in flight."""
        self.is_draining = True
        for commands in self._waiting_for_lease.values():
            for command in commands:
                self.replies.reject(command, DEFAULT_RETRY_DELAY)
            commands.clear()
        for channel in list(self.channels.values()):
            channel.drain()
