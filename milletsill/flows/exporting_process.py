"""The exporting process (RFC 7011) of one gateway: flow cache, metering, collectors.

It runs in short steps on a timer of the reactor, and requests never wait for it.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from milletsill.flows.clocks import TICKS_PER_SECOND, ExportClocks
from milletsill.flows.collector_sender import (
    MAX_RECORDS_PER_STEP,
    CollectorSender,
    SenderContext,
)
from milletsill.flows.collector_states import select_all, select_failover
from milletsill.flows.collector_transport import (
    ExportReactor,
    ExportUdpSocket,
)
from milletsill.flows.export_settings import ExportSettings
from milletsill.flows.flow_cache import FlowCache
from milletsill.flows.metering_policy import MeteringControl
from milletsill.flows.metering_process import MeteringProcess
from milletsill.flows.option_records import (
    ExporterIdentity,
    reliability_record,
    sampling_record,
)
from milletsill.flows.record_queue import FlowRecordKind, PendingRecord
from milletsill.named_timers import DelayedCall

STEP_SECONDS = 0.1
STEPS_PER_COST_CHECK = 10
STEPS_PER_REPORT = 100
ALL_RECORDS = 1 << 30  # more than any queue holds
MIN_LIFETIME_SECONDS = 0.001
DROPPED_STOPPED = "stopped"
"""Cause of a drop, exported in dropCause."""


class ExportingProcess:
    """Flow export of one gateway."""

    def __init__(
        self,
        reactor: ExportReactor,
        settings: ExportSettings,
        identity: ExporterIdentity,
        clocks: ExportClocks,
        seed: int,
        log: Callable[..., None],
    ) -> None:
        self.control = MeteringControl(settings.closest_level, settings.closest_level)
        self.cache = FlowCache(settings.cache, clocks.wall_milliseconds, self._export)
        self.metering = MeteringProcess(
            self.cache, self.control, clocks.now, clocks.cost_timer
        )
        self.datagrams = ExportUdpSocket(reactor)
        context = SenderContext(
            reactor=reactor,
            clocks=clocks,
            domain=identity.domain,
            datagrams=self.datagrams,
            uniform=Random(seed).uniform,
            log=log,
        )
        self.senders = [CollectorSender(each, context) for each in settings.collectors]
        self.next_step: DelayedCall | None = None
        self._reactor = reactor
        self._settings = settings
        self._identity = identity
        self._clocks = clocks
        self._log = log
        self._current = 0
        self._steps = 0
        self._began = clocks.now()
        self._cost_checked_at = clocks.now()
        self._cost_at_check = 0.0
        self._export_cost_seconds = 0.0

    def start(self) -> None:
        """Open the UDP socket, if a collector needs it, and run the first step."""
        if any(sender.settings.over_udp for sender in self.senders):
            self.datagrams.open()
        self.step()

    def step(self) -> None:
        """Expire flows, send records to the collectors and check the cost of export."""
        began = self._clocks.cost_timer()
        now = self._clocks.now()
        self._steps += 1
        self.cache.expire(now, MAX_RECORDS_PER_STEP)
        for sender in self.senders:
            sender.check_time(now)
        if self._steps % STEPS_PER_REPORT == 0:
            self._report()
        for sender in self.senders:
            sender.send()
        self._export_cost_seconds += self._clocks.cost_timer() - began
        if self._steps % STEPS_PER_COST_CHECK == 0:
            self._check_cost(now)
        self.next_step = self._reactor.callLater(STEP_SECONDS, self.step)

    def flush(self) -> None:
        """Export all flows and a last report at shutdown, as far as possible at once.

        Records that the collectors do not accept now are dropped and counted.
        """
        self.cache.flush()
        for sender in self.senders:
            sender.send(ALL_RECORDS)
        self._report()
        for sender in self.senders:
            sender.send(ALL_RECORDS)
            sender.drop_queued(DROPPED_STOPPED)
        if self.next_step is not None and self.next_step.active():
            self.next_step.cancel()
        elapsed = (self._clocks.now() - self._began) / TICKS_PER_SECOND
        accounts = [sender.stream.account for sender in self.senders]
        self._log(
            "flows_ended",
            share=round(self._cost_seconds() / max(elapsed, MIN_LIFETIME_SECONDS), 5),
            evicted=self.cache.evicted,
            messages=sum(account.messages for account in accounts),
            dropped=sum(account.dropped().records for account in accounts),
        )

    def stop(self) -> None:
        """Close the connections and the socket; buffered data is still sent."""
        for sender in self.senders:
            sender.close()
        self.datagrams.close()

    def _cost_seconds(self) -> float:
        return self._export_cost_seconds + self.metering.cost_seconds

    def _export(self, pending: PendingRecord) -> None:
        """Queue a record for the selected collectors."""
        states = [sender.state for sender in self.senders]
        if self._settings.copies:
            positions = select_all(states)
        else:
            on_probation = [sender.is_on_probation for sender in self.senders]
            positions = select_failover(states, on_probation, self._current)
        for position in positions:
            self.senders[position].enqueue(pending)
        if positions and not self._settings.copies:
            self._fail_over(positions[0])

    def _fail_over(self, position: int) -> None:
        """Make a collector the current one and move the queue of the old one to it."""
        if position == self._current:
            return
        old = self.senders[self._current]
        self._current = position
        self.senders[position].queue.take_over(old.queue)

    def _check_cost(self, now: int) -> None:
        """Measure the cost of export and adjust the metering level to it."""
        cost = self._cost_seconds()
        elapsed = (now - self._cost_checked_at) / TICKS_PER_SECOND
        share = (cost - self._cost_at_check) / elapsed if elapsed > 0 else 0.0
        self._cost_checked_at = now
        self._cost_at_check = cost
        if self.control.observe_cost(share, self._settings.max_cost_share):
            self._log(
                "metering",
                level=self.control.level.name.lower(),
                interval=self.control.interval,
                share=round(share, 4),
            )
            self._report()

    def _report(self) -> None:
        """Queue the options records; they replace those still queued."""
        sampling = sampling_record(self._identity, self.metering, self.control)
        for sender in self.senders:
            if not sender.settings.codec.exports_options:
                continue
            sender.queue.records(FlowRecordKind.OPTION).clear()
            sender.enqueue(sampling)
            reliability = reliability_record(
                self._identity,
                sender.stream.account,
                self.metering.not_metered,
                self.cache.evicted,
            )
            sender.enqueue(reliability)
