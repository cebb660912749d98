"""The metering process: adds the events of the gateway to flows.

Each packet of a command or an attempt is counted once, when the command or attempt has
ended. Other packets are counted in flows with empty names.
"""

from __future__ import annotations

from collections.abc import Callable

from milletsill.flows.delivery_account import FlowRecordCounts
from milletsill.flows.flow_cache import FlowCache
from milletsill.flows.flow_records import (
    ClientFlowKey,
    CommandOutcome,
    Exchange,
    NodeFlowKey,
    command_record,
)
from milletsill.flows.metering_policy import MeteringControl, MeteringLevel


class MeteringProcess:
    """Adds the gateway's events to the flow cache.

    `cost_seconds` is the total time spent on it.
    """

    def __init__(
        self,
        cache: FlowCache,
        control: MeteringControl,
        now: Callable[[], int],
        cost_timer: Callable[[], float],
    ) -> None:
        self.not_metered = FlowRecordCounts()
        self.observed = 0
        self.selected = 0
        self.cost_seconds = 0.0
        self._cache = cache
        self._control = control
        self._now = now
        self._cost_timer = cost_timer

    def on_command(
        self, key: ClientFlowKey, outcome: CommandOutcome | None, exchange: Exchange
    ) -> None:
        """Meter a command of a client that has ended.

        `outcome` is None for packets that belong to no command.
        """
        began = self._cost_timer()
        now = self._now()
        if self._select():
            flow = self._cache.touch(key, now)
            flow.add(now, exchange)
            if outcome is not None:
                flow.count_outcome(outcome)
                if self._control.level is MeteringLevel.COMMANDS:
                    to_wall = self._cache.to_wall
                    record = command_record(key, outcome, exchange, now, to_wall)
                    self._cache.export(record)
        else:
            commands = int(outcome is not None)
            self.not_metered.add(
                FlowRecordCounts(
                    commands=commands, packets=exchange.packets, octets=exchange.octets
                )
            )
        self.cost_seconds += self._cost_timer() - began

    def on_attempt(self, key: NodeFlowKey, is_retry: bool, exchange: Exchange) -> None:
        """Meter an attempt that has ended, or a control packet sent or received."""
        began = self._cost_timer()
        now = self._now()
        attempts = int(bool(key.outcome))
        if self._select():
            flow = self._cache.touch(key, now)
            flow.add(now, exchange)
            flow.count += attempts
            flow.retries += int(is_retry)
        else:
            self.not_metered.add(
                FlowRecordCounts(
                    attempts=attempts,
                    packets=exchange.packets,
                    octets=exchange.octets,
                )
            )
        self.cost_seconds += self._cost_timer() - began

    def _select(self) -> bool:
        """Count one event and return whether it is metered."""
        self.observed += 1
        if self._control.level is MeteringLevel.SAMPLED and not self._control.selects():
            return False
        self.selected += 1
        return True
