"""The channels that this gateway owns, and how it acquires their leases.

The lease manager decides whether this gateway may own a channel; `owned_channel`
handles the commands of an owned channel. Callbacks run in the reactor.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from milletsill.errors import MilletsillError
from milletsill.fleet.channels import codec
from milletsill.fleet.channels.channel_sequencer import ChannelSequencer
from milletsill.fleet.channels.channel_services import AttemptRunner, LeaseService
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
"""Commands of one channel that may wait while its lease is acquired."""

IDLE_TIMEOUT = 600_000
"""Idle time after which a channel is removed from memory, in tenths of a millisecond.

Its record stays with the acceptors.
"""


@dataclass(frozen=True, slots=True)
class ChannelOwnerSettings:
    """Settings of a gateway's channel owner.

    Attributes:
        gateway: This gateway's name in the fleet.
        quarantine: How long an attempt may run after its deadline, in tenths of a
            millisecond.
        max_channels: Limit of the channels held in memory.
        catalog: The operator's contracts.
    """

    gateway: str
    quarantine: int
    max_channels: int
    catalog: ContractCatalog


@dataclass(frozen=True, slots=True)
class ChannelTelemetry:
    """Telemetry callbacks: `log` takes event and fields, `count` an answer's name."""

    log: Callable[..., None]
    count: Callable[[str], None]


class ChannelOwner:
    """Handles channel commands; acquires the lease of a channel where it lacks it."""

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
        """Whether this gateway owns the channel now."""
        channel = self.channels.get(key)
        return channel is not None and self.leases.holds(channel.lease)

    def handle(self, command: ChannelCommand) -> None:
        """Handle a command, after acquiring the channel's lease if necessary."""
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
                f"all {limit} channels of this gateway are in use",
                key,
                DEFAULT_RETRY_DELAY,
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
        """Handle the lease, or the error with which its acquisition failed."""
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
        """Create the owned channel; None if its lease had to be released."""
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
        """Create a channel without a record, by the contract of the first open command.

        If that is impossible, the commands are answered and removed from the list.
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
                    text="the channel has no record: open it first",
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
        """Return when the last lease of a channel that was lost here ends; 0 for none.

        Attempts that this gateway released under the lost lease may run until its end,
        although the same gateway may acquire the lease again at once. The cost is that
        later numbers wait that long.
        """
        return self._lost_lease_ends.get(key, 0)

    def on_channel_lost(self, channel: OwnedChannel) -> None:
        """Remove a channel whose lease was lost, and keep the end of that lease."""
        if self.channels.get(channel.key) is channel:
            del self.channels[channel.key]
            self._lost_lease_ends[channel.key] = max(
                channel.lease.expires_at, self.lost_lease_end(channel.key)
            )

    def hand_over(self, channel: OwnedChannel) -> None:
        """Remove a channel and release its lease; others can acquire it at once."""
        self.channels.pop(channel.key, None)
        channel.close()
        if self.leases.holds(channel.lease):
            self.leases.release(channel.lease)

    # Housekeeping.

    def sweep(self) -> None:
        """Hand over idle channels that are long unused or belong to another gateway.

        Expired entries for lost leases are removed as well.
        """
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
        """Whether this gateway owns a channel that another one should own."""
        if not self.leases.holds(channel.lease):
            return False
        preferred = self.leases.preferred_holder(channel.key)
        return preferred not in ("", self.settings.gateway)

    def drain(self) -> None:
        """Prepare for shutdown.

        Waiting commands are answered; each lease is released once no attempt is in
        flight under it.
        """
        self.is_draining = True
        for commands in self._waiting_for_lease.values():
            for command in commands:
                self.replies.reject(command, DEFAULT_RETRY_DELAY)
            commands.clear()
        for channel in list(self.channels.values()):
            channel.drain()
