"""The flow cache: what crosses the gateway, summed by flow, bounded; what leaves it becomes records.

Two kinds of flows. Client side: connection, store, plan, category; octets and packets to the gateway and, reversed, back
to the client; commands by final answer. Box side: box, store, category, outcome; octets and packets to the box and back;
dispatches. Every packet of a command or dispatch is counted when that has ended, once; other packets under an empty name.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from milletsill.flows.elements import (
    BOX_FLOW,
    CLIENT_FLOW,
    COMMAND,
    DONE_END,
    FORCED_END,
    NO_ROOM_END,
)
from milletsill.flows.export_policy import Kind, Level, Metering, Tally, ended, victim
from milletsill.flows.ipfix import Record

TCP = 6
FINALS = ("satisfied", "declined", "aborted", "abandoned")


class ClientKey(NamedTuple):
    """Ends of a client's connection and what its commands concern."""

    client: str
    client_port: int
    edge: str
    edge_port: int
    store: str
    plan: str
    category: str


class BoxKey(NamedTuple):
    """A box and what dispatches to it concern; the gateway's port differs from link to link and is told as 0."""

    edge: str
    box: str
    box_port: int
    id: int
    store: str
    category: str
    outcome: str


@dataclass(slots=True)
class Flow:
    """Sums of one flow; `started` and `last` on the gateway's clock."""

    started: int
    last: int
    octets_to: int = 0
    packets_to: int = 0
    octets_back: int = 0
    packets_back: int = 0
    count: int = 0  # commands or dispatches
    further: int = 0
    time_sum: int = 0
    time_max: int = 0
    satisfied: int = 0
    declined: int = 0
    aborted: int = 0
    abandoned: int = 0

    def add(
        self,
        now: int,
        octets_to: int,
        packets_to: int,
        octets_back: int,
        packets_back: int,
        span: int,
    ) -> None:
        self.last = now
        self.octets_to += octets_to
        self.packets_to += packets_to
        self.octets_back += octets_back
        self.packets_back += packets_back
        self.time_sum += span
        self.time_max = max(self.time_max, span)


@dataclass(frozen=True, slots=True)
class Out:
    """A record on its way, with what it counts."""

    record: Record
    kind: Kind
    tally: Tally


Wall = Callable[[int], int]  # a clock time as milliseconds of the wall clock


class Cache:
    """Flows by key, the least lately touched first. `put` takes what leaves."""

    def __init__(
        self, most: int, active: int, idle: int, wall: Wall, put: Callable[[Out], None]
    ) -> None:
        self.most, self.active, self.idle, self.wall, self.put = (
            most,
            active,
            idle,
            wall,
            put,
        )
        self.flows: OrderedDict[ClientKey | BoxKey, Flow] = OrderedDict()
        self.starts: OrderedDict[ClientKey | BoxKey, None] = OrderedDict()
        self.evicted = 0

    def touch(self, key: ClientKey | BoxKey, now: int) -> Flow:
        """The flow of a key, made where there is none; a full cache lets one go first."""
        flow = self.flows.get(key)
        if flow is None:
            while len(self.flows) >= self.most:
                self.evicted += 1
                self.leave(
                    victim(
                        self.flows.items(), lambda each: each.count + each.packets_to
                    ),
                    NO_ROOM_END,
                )
            flow = self.flows[key] = Flow(now, now)
            self.starts[key] = None
        else:
            self.flows.move_to_end(key)
        return flow

    def leave(self, key: Any, reason: int) -> None:
        """A flow goes out as a record."""
        flow = self.flows.pop(key)
        del self.starts[key]
        self.put(
            client_out(key, flow, reason, self.wall)
            if isinstance(key, ClientKey)
            else box_out(key, flow, reason, self.wall)
        )

    def sweep(self, now: int, most: int) -> int:
        """Flows whose time is up leave, at most so many of each reason in one go; how many did. One order is by last
        touch, for the idle ones, the other by start, for the active ones; so only what leaves is looked at.
        """
        gone = 0
        for order in (self.flows, self.starts):
            for _ in range(most):
                key = next(iter(order), None)
                if key is None:
                    break
                flow = self.flows[key]
                reason = ended(now, flow.started, flow.last, self.active, self.idle)
                if not reason:
                    break
                self.leave(key, reason)
                gone += 1
        return gone

    def flush(self) -> None:
        """All of them, at the end of the process."""
        for key in list(self.flows):
            self.leave(key, FORCED_END)


def client_out(key: ClientKey, flow: Flow, reason: int, wall: Wall) -> Out:
    values = (
        key.client,
        key.edge,
        key.client_port,
        key.edge_port,
        TCP,
        wall(flow.started),
        wall(flow.last),
        reason,
        flow.octets_to,
        flow.packets_to,
        flow.octets_back,
        flow.packets_back,
        flow.count,
        flow.satisfied,
        flow.declined,
        flow.aborted,
        flow.abandoned,
        flow.time_sum * 100,
        flow.time_max * 100,
        key.store,
        key.plan,
        key.category,
    )
    tally = Tally(
        1,
        flow.count,
        0,
        flow.packets_to + flow.packets_back,
        flow.octets_to + flow.octets_back,
    )
    return Out(Record(CLIENT_FLOW, values), Kind.FLOW, tally)


def box_out(key: BoxKey, flow: Flow, reason: int, wall: Wall) -> Out:
    values = (
        key.edge,
        key.box,
        0,
        key.box_port,
        TCP,
        wall(flow.started),
        wall(flow.last),
        reason,
        flow.octets_to,
        flow.packets_to,
        flow.octets_back,
        flow.packets_back,
        flow.count,
        flow.further,
        flow.time_sum * 100,
        flow.time_max * 100,
        key.id,
        key.store,
        key.category,
        key.outcome,
    )
    tally = Tally(
        1,
        0,
        flow.count,
        flow.packets_to + flow.packets_back,
        flow.octets_to + flow.octets_back,
    )
    return Out(Record(BOX_FLOW, values), Kind.FLOW, tally)


class Meter:
    """What the edge tells of. Each call is cheap; `spent` sums the seconds that they took by `timer`."""

    def __init__(
        self,
        cache: Cache,
        metering: Metering,
        now: Callable[[], int],
        timer: Callable[[], float],
    ) -> None:
        self.cache, self.metering, self.now, self.timer = cache, metering, now, timer
        self.not_metered = Tally()
        self.observed = self.selected = 0
        self.spent = 0.0

    def command(
        self,
        key: ClientKey,
        final: str,
        octets_in: int,
        octets_out: int,
        answered: bool,
        span: int,
    ) -> None:
        """A client's command has ended: `final` empty for packets that are no transfer's; `span` in tenths of a ms."""
        began, now, commands = self.timer(), self.now(), int(bool(final))
        self.observed += 1
        if self.metering.level is Level.SAMPLED and not self.metering.selects():
            self.not_metered.add(
                Tally(0, commands, 0, 1 + answered, octets_in + octets_out)
            )
            self.spent += self.timer() - began
            return
        self.selected += 1
        flow = self.cache.touch(key, now)
        flow.add(now, octets_in, 1, octets_out, int(answered), span)
        flow.count += commands
        if final:
            setattr(flow, final, getattr(flow, final) + 1)
            if self.metering.level is Level.COMMANDS:
                self.cache.put(
                    self.command_out(
                        key, final, octets_in, octets_out, answered, span, now
                    )
                )
        self.spent += self.timer() - began

    def command_out(
        self,
        key: ClientKey,
        final: str,
        octets_in: int,
        octets_out: int,
        answered: bool,
        span: int,
        now: int,
    ) -> Out:
        """A record of its own; its counts stand in the flow, so its tally holds the record alone."""
        wall = self.cache.wall
        values = (
            key.client,
            key.edge,
            key.client_port,
            key.edge_port,
            TCP,
            wall(now - span),
            wall(now),
            DONE_END,
            octets_in,
            1,
            octets_out,
            int(answered),
            span * 100,
            key.store,
            key.plan,
            key.category,
            final,
        )
        return Out(Record(COMMAND, values), Kind.COMMAND, Tally(1))

    def dispatch(
        self, key: BoxKey, further: bool, octets_to: int, octets_back: int, span: int
    ) -> None:
        """A dispatch has ended, or a control packet went or came (`outcome` empty)."""
        began, now, count = self.timer(), self.now(), int(bool(key.outcome))
        self.observed += 1
        packets_to, packets_back = int(octets_to > 0), int(octets_back > 0)
        if self.metering.level is Level.SAMPLED and not self.metering.selects():
            self.not_metered.add(
                Tally(0, 0, count, packets_to + packets_back, octets_to + octets_back)
            )
        else:
            self.selected += 1
            flow = self.cache.touch(key, now)
            flow.add(now, octets_to, packets_to, octets_back, packets_back, span)
            flow.count += count
            flow.further += int(further)
        self.spent += self.timer() - began
