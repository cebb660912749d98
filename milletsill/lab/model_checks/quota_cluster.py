"""A simulated fleet that shares one quota: planner, gateways and a faulty network.

It runs the real planner and ledgers; clocks, restarts and messages are simulated.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from functools import partial
from typing import NamedTuple

from milletsill.interface import QuotaKind
from milletsill.planner.quota_ledger import QuotaLedger
from milletsill.planner.quota_planner import QuotaPlanner
from milletsill.planner.quota_terms import (
    SECOND,
    WHOLE,
    QuotaGrant,
    QuotaKey,
    QuotaRequest,
    QuotaTimings,
)

KEY = QuotaKey(QuotaKind.LIMIT, 1)
TIMINGS = QuotaTimings(4 * SECOND, 0, 0.2)
MAX_IN_FLIGHT = 6  # messages per gateway
CLOCK_OFFSET = 7  # ticks between the clocks of successive gateways

Message = QuotaRequest | QuotaGrant


class InFlight(NamedTuple):
    """A message in flight from or to a gateway."""

    gateway: int
    message: Message


class SimulatedQuotaFleet:
    """The planner, the gateways, and the messages in flight."""

    def __init__(self, gateways: int, timings: QuotaTimings = TIMINGS) -> None:
        self.timings = timings
        self.now = 100 * SECOND
        self.epoch = 1
        self.planner = QuotaPlanner(1, timings)
        self.planner.connected = {f"e{number}" for number in range(gateways)}
        self.ledgers = [
            QuotaLedger(f"e{number}", 1, timings, self.now, fresh=True)
            for number in range(gateways)
        ]
        self.clock_offsets = [number * CLOCK_OFFSET for number in range(gateways)]
        self.clock_rates = [0] * gateways  # rate errors, in parts per thousand
        for ledger in self.ledgers:
            ledger.track(KEY, gateways)
            ledger.accept_epoch(1)
        self.wants = [WHOLE if number == 0 else 0 for number in range(gateways)]
        self.in_flight: list[InFlight] = []

    def clock(self, gateway: int) -> int:
        """Return the reading of a gateway's clock."""
        return self.now + self.clock_offsets[gateway]

    def share(self, gateway: int) -> int:
        """Return the share that a gateway may use now, in millionths."""
        return self.ledgers[gateway].share(KEY, self.clock(gateway))

    def total_share(self) -> int:
        """Return the sum of all shares in use, which must not exceed `WHOLE`."""
        return sum(self.share(gateway) for gateway in range(len(self.ledgers)))

    # Events.

    def make_request(self, gateway: int, wanted: int | None = None) -> QuotaRequest:
        """Return a gateway's request for the share that it wants now."""
        want = self.wants[gateway] if wanted is None else wanted
        return self.ledgers[gateway].make_request(KEY, want, self.clock(gateway))

    def send_request(self, gateway: int) -> None:
        """Send a gateway's request."""
        self._send(gateway, self.make_request(gateway))

    def _send(self, gateway: int, message: Message | None) -> None:
        if message is None or InFlight(gateway, message) in self.in_flight:
            return
        self.in_flight.append(InFlight(gateway, message))
        del self.in_flight[: -MAX_IN_FLIGHT * len(self.ledgers)]

    def deliver(self, index: int, again: bool) -> None:
        """Deliver a message; with `again` it stays in flight."""
        if again:
            gateway, message = self.in_flight[index]
        else:
            gateway, message = self.in_flight.pop(index)
        if isinstance(message, QuotaRequest):
            self._send(gateway, self.planner.on_request(message, self.now))
            self._send_unsolicited()
        else:
            self._take_grant(gateway, message)

    def _take_grant(self, gateway: int, grant: QuotaGrant) -> None:
        ledger = self.ledgers[gateway]
        if ledger.accept_epoch(grant.epoch):
            ledger.on_grant(grant, self.clock(gateway))

    def exchange(self, gateway: int) -> None:
        """Deliver a gateway's request and the grant without delay."""
        grant = self.planner.on_request(self.make_request(gateway), self.now)
        if grant is not None:
            self._take_grant(gateway, grant)
        self._send_unsolicited()

    def _send_unsolicited(self) -> None:
        for unsolicited in self.planner.take_unsolicited():
            self._send(int(unsolicited.gateway[1:]), unsolicited.grant)

    def pass_time(self, duration: int) -> None:
        """Advance true time, and each clock at its own rate."""
        self.now += duration
        for gateway, rate in enumerate(self.clock_rates):
            self.clock_offsets[gateway] += duration * rate // 1000

    def restart_gateway(self, gateway: int) -> None:
        """Restart a gateway without its former state."""
        former = self.ledgers[gateway]
        ledger = QuotaLedger(
            former.name, former.incarnation + 1, self.timings, self.clock(gateway)
        )
        ledger.track(KEY, len(self.ledgers))
        self.ledgers[gateway] = ledger

    def restart_planner(self) -> None:
        """Restart the planner without its former state, in a new epoch."""
        connected = self.planner.connected
        self.epoch += 1
        self.planner = QuotaPlanner(self.epoch, self.timings)
        self.planner.connected = connected

    def change_demand(self, gateway: int) -> None:
        """Make one gateway want the whole quota, and the others nothing."""
        self.wants = [
            WHOLE if number == gateway else 0 for number in range(len(self.ledgers))
        ]

    def events(self) -> list[tuple[str, Callable[[], None]]]:
        """Return the possible next events, by name."""
        events: list[tuple[str, Callable[[], None]]] = []
        for gateway in range(len(self.ledgers)):
            events.append((f"ask {gateway}", partial(self.send_request, gateway)))
            events.append(
                (f"restart {gateway}", partial(self.restart_gateway, gateway))
            )
        for index in range(len(self.in_flight)):
            events.append((f"arrive {index}", partial(self.deliver, index, False)))
            events.append((f"double {index}", partial(self.deliver, index, True)))
        half = self.timings.max_duration // 2
        events.append(("time", partial(self.pass_time, half)))
        events.append(("planner", self.restart_planner))
        return events

    def key(self) -> Hashable:
        """Return a key that is equal for fleets in equal states."""
        return (
            self.now,
            self.epoch,
            tuple(_state_of(ledger) for ledger in self.ledgers),
            _state_of(self.planner),
            tuple(sorted(map(repr, self.in_flight))),
        )


def _state_of(machine: object) -> str:
    return repr(sorted(vars(machine).items(), key=lambda pair: pair[0]))
