"""One channel that this gateway owns: its sequencer, its record, its attempts.

What may be released is the sequencer's to say, whether this gateway is the owner the
lease manager's. The record is written before what it says is done.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from milletsill.errors import MilletsillError
from milletsill.fleet.channels import codec
from milletsill.fleet.channels.channel_sequencer import ChannelSequencer
from milletsill.fleet.channels.channel_surroundings import (
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
from milletsill.fleet.channels.sequences import PendingNumber
from milletsill.fleet.channels.timers import UNITS_PER_SECOND, Timer, TimerScheduler
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets

RESOLUTION_EVENTS: dict[int, NumberEvent] = {
    wire.Resolution.DONE: NumberEvent.RESOLVED_DONE,
    wire.Resolution.NOT_DONE: NumberEvent.RESOLVED_NOT_DONE,
    wire.Resolution.SKIPPED: NumberEvent.RESOLVED_SKIPPED,
}


class ChannelHost(Protocol):
    """What an owned channel needs of the gateway's channel owner."""

    reactor: TimerScheduler
    now: Callable[[], int]
    leases: LeaseService
    catalog: ContractCatalog
    runner: AttemptRunner
    replies: CommandReplies
    log: Callable[..., None]
    is_draining: bool

    def on_channel_lost(self, channel: OwnedChannel) -> None:
        """The channel's lease is gone."""

    def hand_over(self, channel: OwnedChannel) -> None:
        """Forget a channel and give up its lease."""


class OwnedChannel:
    """One channel of which this gateway has the lease.

    Attributes:
        host: The channel owner that it belongs to.
        key: The channel's key.
        lease: The lease under which it is owned.
        sequencer: Its state.
        record: The record that was written, or is being written.
        is_writing: Whether a write of the record is under way.
        is_lost: Whether the lease is gone.
        last_used: When a command came last.
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
        # Whole answers, until they are sent.
        self._fresh_answers: dict[int, packets.Answer] = {}

    def is_current(self, lease: LeaseTerm) -> bool:
        """Whether what is known here is what a lease that was taken anew says.

        Guards against what was known here while another owned the channel. Harm: none,
        the record says all.
        """
        return lease.value == self.record and not self.is_lost

    def is_idle(self) -> bool:
        """Whether no number is open and nothing is being written."""
        return not self.sequencer.open_sequences and not self.is_writing

    # Commands.

    def handle(self, command: ChannelCommand) -> None:
        """Take in one command."""
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
        else:  # answered once the record holds what the answer says
            sequencer.effects_after_write.append(
                AnswerNumberQuery(command, body.number)
            )

    def _pending_request(
        self, command: ChannelCommand, body: NumberedRequest
    ) -> PendingNumber:
        return PendingNumber(
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
        """Do what needs no record, write the record, do what it was written for."""
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
        self.lease.in_use = bool(sequencer.open_sequences)
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
        """A majority has the record, or nobody knows whether it does."""
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
        """Do what waited for the record."""
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
        """Start an attempt, unless it is too late for it now that the record stands."""
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
        """When an attempt must be over.

        Guards against an attempt of an earlier owner that is still lawfully at a node
        when the next one's quarantine is over: nothing that is released outlives the
        lease under which it was. Harm: a deadline past the lease is cut to it.
        """
        return min(release.deadline, self.lease.expires_at)

    def on_attempt_ended(self, number: int, end: AttemptEnd) -> None:
        """What was released has come to its end."""
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
        """Answer those who waited for an attempt whose lease is gone."""
        sequence = self.sequencer.open_sequences.pop(number, None)
        if sequence is None:
            return
        never_ran = (
            end.event is NumberEvent.NEVER_RAN and not sequence.quarantined_until
        )
        kind = ReplyKind.REJECTED if never_ran else ReplyKind.FAILED
        for command in sequence.recipients:
            self.host.replies.reply(command, kind, retry_delay=end.retry_delay)

    # The end of the lease.

    def lose(self, retry_delay: int) -> None:
        """The lease is gone: answer what waits; what is in flight when it ends."""
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
        """Answer for an effect whose record may stand or not."""
        replies = self.host.replies
        if isinstance(effect, Release):  # it never left
            sequence = self.sequencer.open_sequences.pop(effect.number, None)
            kind = ReplyKind.FAILED if effect.is_retry else ReplyKind.REJECTED
            for command in sequence.recipients if sequence is not None else ():
                replies.reply(command, kind, retry_delay=retry_delay)
        elif not isinstance(effect, Notify):
            replies.reject(effect.recipient, retry_delay)
        elif effect.recipient is not None:
            replies.reply(effect.recipient, ReplyKind.FAILED)

    def drain(self) -> None:
        """Answer what waits; the lease is given up once nothing is in flight."""
        self.sequencer.abandon_waiting(DEFAULT_RETRY_DELAY)
        self.pump()

    def close(self) -> None:
        """This gateway does not own the channel any more: nothing happens by itself."""
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
        """One timer for the soonest deadline, gap or quarantine."""
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
