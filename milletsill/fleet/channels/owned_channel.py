"""One channel that this gateway owns: its sequencer, its record, its attempts.

The sequencer decides which numbers may be released, the lease manager whether this
gateway is the owner. Effects that depend on the record wait until it is stored.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from milletsill.errors import MilletsillError
from milletsill.fleet.channels import codec
from milletsill.fleet.channels.channel_sequencer import ChannelSequencer
from milletsill.fleet.channels.channel_services import (
    AttemptEnd,
    AttemptRunner,
    LeaseService,
)
from milletsill.fleet.channels.command_replies import (
    CONTRACT_ERRORS,
    COUNTED_CHANNEL_STATUS,
    COUNTED_NUMBER_STATUS,
    CommandReplies,
    channel_status_packet,
    number_status_packet,
    retry_delay_of,
)
from milletsill.fleet.channels.commands import (
    ChannelCommand,
    NumberedRequest,
    OpenChannel,
    ResolveNumber,
)
from milletsill.fleet.channels.contracts import ContractCatalog
from milletsill.fleet.channels.effects import (
    AnswerChannelOpen,
    AnswerNumberQuery,
    Effect,
    Notify,
    Release,
    ReplyKind,
)
from milletsill.fleet.channels.limits import DEFAULT_RETRY_DELAY
from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.fleet.channels.timers import UNITS_PER_SECOND, Timer, TimerScheduler
from milletsill.fleet.channels.tracked_numbers import PendingRequest
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets

RESOLUTION_EVENTS: dict[int, NumberEvent] = {
    wire.Resolution.DONE: NumberEvent.RESOLVED_DONE,
    wire.Resolution.NOT_DONE: NumberEvent.RESOLVED_NOT_DONE,
    wire.Resolution.SKIPPED: NumberEvent.RESOLVED_SKIPPED,
}


class ChannelHost(Protocol):
    """Services that an owned channel needs of the gateway's channel owner."""

    reactor: TimerScheduler
    now: Callable[[], int]
    leases: LeaseService
    catalog: ContractCatalog
    runner: AttemptRunner
    replies: CommandReplies
    log: Callable[..., None]
    is_draining: bool

    def on_channel_lost(self, channel: OwnedChannel) -> None:
        """Handle the loss of a channel's lease."""

    def hand_over(self, channel: OwnedChannel) -> None:
        """Remove a channel from memory and release its lease."""


class OwnedChannel:
    """One channel whose lease this gateway holds.

    Attributes:
        host: The channel owner that the channel belongs to.
        key: The channel's key.
        lease: The lease under which the channel is owned.
        sequencer: The channel's state.
        record: The last record that was written or is being written.
        is_writing: Whether a write of the record is in progress.
        is_lost: Whether the lease was lost.
        last_used: When the last command arrived.
    """

    __slots__ = (
        "key",
        "lease",
        "sequencer",
        "record",
        "is_writing",
        "is_lost",
        "last_used",
        "host",
        "_timer",
        "_timer_at",
        "_fresh_answers",
    )

    def __init__(
        self,
        host: ChannelHost,
        key: str,
        lease: LeaseTerm,
        sequencer: ChannelSequencer,
    ) -> None:
        self.host = host
        self.key = key
        self.lease = lease
        self.sequencer = sequencer
        self.record = lease.value
        self.is_writing = False
        self.is_lost = False
        self.last_used = host.now()
        self._timer: Timer | None = None
        self._timer_at = 0
        # Complete answers of nodes by number, until they are sent to clients.
        self._fresh_answers: dict[int, packets.Answer] = {}

    def is_current(self, lease: LeaseTerm) -> bool:
        """Whether the state in memory matches the record of a newly acquired lease.

        Prevents the use of outdated state after another gateway owned the channel in
        between. It has no cost: the record contains all that is needed.
        """
        return lease.value == self.record and not self.is_lost

    def is_idle(self) -> bool:
        """Whether no open number is tracked and no write is in progress."""
        return not self.sequencer.open_numbers and not self.is_writing

    # Commands.

    def handle(self, command: ChannelCommand) -> None:
        """Handle one command."""
        if self.is_lost:
            self.host.replies.reject(command, DEFAULT_RETRY_DELAY)
            return
        now = self.host.now()
        self.last_used = now
        try:
            self._apply(now, command)
        except CONTRACT_ERRORS as error:
            self.host.log(
                "channel_contract_refused", channel=self.key, **error.log_fields()
            )
            self.host.replies.report_error(command, error)
        self.pump()

    def _apply(self, now: int, command: ChannelCommand) -> None:
        body = command.body
        sequencer = self.sequencer
        if isinstance(body, OpenChannel):
            declaration = self.host.catalog.resolve(
                command.volume.name, body.contract, body.version, body.first_number
            )
            sequencer.open(now, declaration, command.token, command)
        elif isinstance(body, NumberedRequest):
            sequencer.submit(now, self._pending_request(command, body))
        elif isinstance(body, ResolveNumber):
            event = RESOLUTION_EVENTS[body.resolution]
            sequencer.resolve(now, body.number, event, body.claim, command)
        else:  # answered once the record contains the status that the answer reports
            sequencer.effects_after_write.append(
                AnswerNumberQuery(command, body.number)
            )

    def _pending_request(
        self, command: ChannelCommand, body: NumberedRequest
    ) -> PendingRequest:
        return PendingRequest(
            number=body.number,
            claim=body.claim,
            digest=body.digest(),
            ranges=self.host.runner.access_ranges(body),
            deadline=command.deadline,
            key_window=self.host.runner.key_window(command),
            recipient=command,
            batch=body.batch,
            ends_batch=body.ends_batch,
        )

    # Effects.

    def pump(self) -> None:
        """Perform immediate effects, write the record, then perform the others."""
        sequencer = self.sequencer
        immediate = sequencer.immediate_effects
        sequencer.immediate_effects = []
        self._perform_all(immediate)
        if self.is_lost or self.is_writing:
            return
        if sequencer.record_changed:
            self._write_record()
            return
        self.perform_after_write()
        if (
            sequencer.effects_after_write
            or sequencer.immediate_effects
            or sequencer.record_changed
        ):
            self.pump()
            return
        self.lease.in_use = bool(sequencer.open_numbers)
        self._set_timer()
        if self.host.is_draining:
            self._leave()

    def _write_record(self) -> None:
        sequencer = self.sequencer
        self.is_writing = True
        sequencer.record_changed = False
        waiting = sequencer.effects_after_write
        sequencer.effects_after_write = []
        self.record = codec.encode_record(sequencer, self.host.now())
        self.lease.in_use = True
        self.host.leases.write(
            self.lease, self.record, lambda error: self._on_written(waiting, error)
        )

    def _on_written(self, waiting: list[Effect], error: MilletsillError | None) -> None:
        """Handle the end of a write; on `error`, whether it succeeded is unknown."""
        self.is_writing = False
        if error is not None or self.is_lost:
            self.sequencer.effects_after_write = (
                waiting + self.sequencer.effects_after_write
            )
            self.lose(retry_delay_of(error))
            return
        self._perform_after_write(waiting)
        self.pump()

    def perform_after_write(self) -> None:
        """Perform the effects that waited for the record."""
        effects = self.sequencer.effects_after_write
        self.sequencer.effects_after_write = []
        self._perform_after_write(effects)

    def _perform_after_write(self, effects: list[Effect]) -> None:
        self._perform_all(effects)
        if not self.is_writing:
            self._fresh_answers.clear()

    def _perform_all(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Release):
                self.release(effect)
            elif isinstance(effect, Notify):
                self._notify(effect)
            else:
                self._send_status(effect)

    def _send_status(self, effect: AnswerChannelOpen | AnswerNumberQuery) -> None:
        replies = self.host.replies
        if isinstance(effect, AnswerChannelOpen):
            packet = channel_status_packet(self.sequencer)
            replies.send(effect.recipient, packet, COUNTED_CHANNEL_STATUS)
        else:
            packet = number_status_packet(self.sequencer, effect.number)
            replies.send(effect.recipient, packet, COUNTED_NUMBER_STATUS)

    def _notify(self, effect: Notify) -> None:
        command = effect.recipient
        if command is None:
            return
        if effect.kind is ReplyKind.OUTCOME:
            packet = self._fresh_answers.get(effect.number or 0) or packets.Status(
                0, effect.status_code, "remembered"
            )
            self.host.replies.send(command, packet, effect.kind.value)
            return
        self.host.replies.reply(
            command, effect.kind, effect.number, effect.retry_delay, effect.text
        )

    # Attempts.

    def release(self, release: Release) -> None:
        """Start an attempt, unless its lease or deadline expired during the write."""
        deadline = self.attempt_deadline(release)
        if not self.host.leases.holds(self.lease) or self.host.now() >= deadline:
            end = AttemptEnd(NumberEvent.NEVER_RAN, retry_delay=DEFAULT_RETRY_DELAY)
            self.on_attempt_ended(release.number, end)
            return
        self.host.runner.run_attempt(
            release,
            self.lease,
            deadline,
            lambda end: self.on_attempt_ended(release.number, end),
        )

    def attempt_deadline(self, release: Release) -> int:
        """Return when an attempt must have ended.

        No attempt outlives the lease under which it was released. Otherwise an attempt
        of an earlier owner could still run at a node after the next owner's quarantine
        ends. The cost is that a deadline after the lease's end is cut to that end.
        """
        return min(release.deadline, self.lease.expires_at)

    def on_attempt_ended(self, number: int, end: AttemptEnd) -> None:
        """Apply the end of a released attempt."""
        if self.is_lost:
            self._answer_lost_attempt(number, end)
            return
        if end.event is NumberEvent.SETTLED and end.packet is not None:
            self._fresh_answers[number] = end.packet
        self.sequencer.on_attempt_ended(
            self.host.now(), number, end.event, end.status_code, end.retry_delay
        )
        self.pump()

    def _answer_lost_attempt(self, number: int, end: AttemptEnd) -> None:
        """Answer the commands that waited for an attempt whose lease was lost."""
        open_number = self.sequencer.open_numbers.pop(number, None)
        if open_number is None:
            return
        never_ran = (
            end.event is NumberEvent.NEVER_RAN and not open_number.quarantined_until
        )
        kind = ReplyKind.REJECTED if never_ran else ReplyKind.FAILED
        for command in open_number.recipients:
            self.host.replies.reply(command, kind, retry_delay=end.retry_delay)

    # The end of the lease.

    def lose(self, retry_delay: int) -> None:
        """Handle the loss of the lease.

        Waiting requests are answered now, those in flight when their attempt ends.
        """
        self.is_lost = True
        self.host.on_channel_lost(self)
        self._set_timer()
        sequencer = self.sequencer
        sequencer.abandon_waiting(retry_delay)
        immediate = sequencer.immediate_effects
        waiting = sequencer.effects_after_write
        sequencer.immediate_effects = []
        sequencer.effects_after_write = []
        self._perform_all(immediate)
        for effect in waiting:
            self._abandon(effect, retry_delay)

    def _abandon(self, effect: Effect, retry_delay: int) -> None:
        """Answer for an effect whose record may or may not have been stored."""
        replies = self.host.replies
        if isinstance(effect, Release):  # its attempt was never started
            open_number = self.sequencer.open_numbers.pop(effect.number, None)
            kind = ReplyKind.FAILED if effect.is_retry else ReplyKind.REJECTED
            for command in open_number.recipients if open_number is not None else ():
                replies.reply(command, kind, retry_delay=retry_delay)
        elif not isinstance(effect, Notify):
            replies.reject(effect.recipient, retry_delay)
        elif effect.recipient is not None:
            replies.reply(effect.recipient, ReplyKind.FAILED)

    def drain(self) -> None:
        """Answer waiting requests; release the lease once no attempt is in flight."""
        self.sequencer.abandon_waiting(DEFAULT_RETRY_DELAY)
        self.pump()

    def close(self) -> None:
        """Stop the timer: this gateway does not own the channel any more."""
        self.is_lost = True
        self._set_timer()

    def _leave(self) -> None:
        if (
            not self.sequencer.released_count()
            and not self.is_writing
            and not self.is_lost
        ):
            self.host.hand_over(self)

    # Time.

    def _set_timer(self) -> None:
        """Set one timer for the earliest deadline, gap timeout or quarantine end."""
        now = self.host.now()
        wakeup = None if self.is_lost else self.sequencer.next_wakeup(now)
        if self._timer is not None and self._timer.active():
            if wakeup == self._timer_at:
                return
            self._timer.cancel()
        self._timer = None
        self._timer_at = wakeup or 0
        if wakeup is not None:
            delay = max(wakeup - self.host.now(), 1) / UNITS_PER_SECOND
            self._timer = self.host.reactor.callLater(delay, self._on_timer)

    def _on_timer(self) -> None:
        self.sequencer.release_ready(self.host.now())
        self.pump()
