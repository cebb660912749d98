"""The flow cache: a bounded table of flows, which are exported as they leave it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from milletsill.flows.flow_expiry import expiry_reason, select_victim
from milletsill.flows.flow_records import (
    Flow,
    FlowKey,
    WallMilliseconds,
    flow_record,
)
from milletsill.flows.record_queue import PendingRecord
from milletsill.flows.templates import FlowEndReason


@dataclass(frozen=True, slots=True)
class FlowCacheSettings:
    """The limits of a flow cache; timeouts are in ticks."""

    max_flows: int
    active_timeout: int
    idle_timeout: int


class FlowCache:
    """Flows by key.

    One dict is ordered by last event, for the idle timeout, the other by start, for the
    active timeout, so that expiry visits only flows that leave.
    """

    def __init__(
        self,
        settings: FlowCacheSettings,
        to_wall: WallMilliseconds,
        export: Callable[[PendingRecord], None],
    ) -> None:
        self.to_wall = to_wall
        self.export = export
        self.evicted = 0
        self._settings = settings
        self._by_last_seen: OrderedDict[FlowKey, Flow] = OrderedDict()
        self._by_start: OrderedDict[FlowKey, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_last_seen)

    def touch(self, key: FlowKey, now: int) -> Flow:
        """Return the flow of a key; create it if it does not exist.

        A full cache evicts a flow first.
        """
        flow = self._by_last_seen.get(key)
        if flow is not None:
            self._by_last_seen.move_to_end(key)
            return flow
        while len(self._by_last_seen) >= self._settings.max_flows:
            self.evicted += 1
            victim = select_victim(self._by_last_seen.items(), _eviction_size)
            self._end(victim, FlowEndReason.LACK_OF_RESOURCES)
        flow = Flow(started=now, last_seen=now)
        self._by_last_seen[key] = flow
        self._by_start[key] = None
        return flow

    def expire(self, now: int, max_flows: int) -> int:
        """Export flows that reached a timeout, and return their number.

        One call exports at most `max_flows` for each of the two orders.
        """
        expired = 0
        for keys in (self._by_last_seen, self._by_start):
            for _ in range(max_flows):
                key = next(iter(keys), None)
                if key is None:
                    break
                reason = self._expiry_reason(key, now)
                if reason is None:
                    break
                self._end(key, reason)
                expired += 1
        return expired

    def flush(self) -> None:
        """Export all flows, at shutdown."""
        for key in list(self._by_last_seen):
            self._end(key, FlowEndReason.FORCED_END)

    def _expiry_reason(self, key: FlowKey, now: int) -> FlowEndReason | None:
        flow = self._by_last_seen[key]
        return expiry_reason(
            now,
            flow.started,
            flow.last_seen,
            self._settings.active_timeout,
            self._settings.idle_timeout,
        )

    def _end(self, key: FlowKey, reason: FlowEndReason) -> None:
        flow = self._by_last_seen.pop(key)
        del self._by_start[key]
        self.export(flow_record(key, flow, reason, self.to_wall))


def _eviction_size(flow: Flow) -> int:
    return flow.count + flow.forward_packets
