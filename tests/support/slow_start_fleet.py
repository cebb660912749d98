"""Many schedulers in front of one node that has just come up, on a clock of the test's own."""

import heapq
from collections import deque
from dataclasses import replace
from itertools import count
from random import Random

from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    EndpointUpdateKind,
    Request,
)
from milletsill.scheduler import Scheduler
from tests.support.scheduler_builders import CONFIG, endpoint

STARTS, SECOND = 5_000, 10_000  # the node's start
LATE = 9_000  # a connection that comes up late


class Gateway:
    """One scheduler and its effects."""

    def __init__(self, fleet, index):
        self.fleet, self.attempts = fleet, {}
        self.scheduler = Scheduler(
            replace(fleet.config, gateway_index=index),
            fleet.chance.getrandbits(32),
            fleet.now,
            self,
        )

    def send_attempt(self, request_id, node, timeout):
        number = self.attempts[request_id] = self.attempts.get(request_id, -1) + 1
        self.fleet.leaves(self, request_id, number, node, timeout)

    def set_timer(self, at, token):
        self.fleet.at(at, lambda: self.scheduler.on_timer(self.fleet.now, token), self)

    def reject(self, request_id, pause):
        self.fleet.declined(request_id)

    def __getattr__(self, name):  # what else the scheduler does is not looked at
        return lambda *values: None


class Fleet:
    """`even`: one share of the traffic for each gateway.

    Else a tenth of them have nine tenths. `surge`: so many times the traffic in the
    middle third; `retries`: how often a client comes again, at another gateway, when it
    was declined. `quick`: so many times what is promised the node does; `way`: the
    longest way of an attempt to it; `late`: the share of gateways whose connection to
    it comes up late; `told`: the span in which all are told of its start; `largest`: of
    the requests; `others`: warm nodes beside it, where new objects, the share `new`,
    may go; `at_once`: all restart in one second.
    """

    def __init__(
        self,
        seed,
        gateways,
        rate,
        even,
        surge=1.0,
        retries=0,
        quick=1.0,
        way=0,
        late=0.0,
        told=SECOND,
        largest=8,
        others=0,
        new=0.0,
        at_once=False,
        **overrides,
    ):
        self.chance, self.now, self.events, self.numbers = Random(seed), 0, [], count()
        self.config = replace(CONFIG, gateway_count=gateways, **overrides)
        self.retries, self.again, self.quick, self.way, self.late, self.new = (
            retries,
            {},
            quick,
            way,
            late,
            new,
        )
        self.endpoints = [endpoint(7, started_at=STARTS)] + [
            endpoint(8 + each, shard=1 + each) for each in range(others)
        ]
        self.units, self.sent, self.busy_until, self.even, self.largest, self.met = (
            {},
            [],
            STARTS,
            even,
            largest,
            set(),
        )
        self.gateways = [Gateway(self, each) for each in range(gateways)]
        for index in range(gateways):
            self.at(
                STARTS + int(self.chance.uniform(0, told)),
                lambda index=index: self.told(index),
            )
        warm = self.config.slow_start_duration
        first, last = (warm // 2, warm // 2 + SECOND) if at_once else (0, warm)
        for index in self.chance.sample(
            range(gateways), gateways if at_once else gateways // 2
        ):  # restarts inside the warm-up
            self.at(
                STARTS + int(self.chance.uniform(first, last)),
                lambda index=index: self.restart(index),
            )
        at = 0.0
        while at < STARTS + warm:
            self.at(int(at), self.arrival)
            at += (
                self.chance.expovariate(
                    rate * (surge if 1 / 3 < (at - STARTS) / warm < 2 / 3 else 1.0)
                )
                * SECOND
            )

    def at(self, at, call, gateway=None):
        heapq.heappush(
            self.events, (max(at, self.now), next(self.numbers), call, gateway)
        )

    def told(self, index):
        self.gateways[index].scheduler.on_endpoints(
            self.now, EndpointUpdateKind.DELTA, self.endpoints
        )

    def restart(self, index):
        self.gateways[index] = Gateway(self, index)
        self.told(index)

    def declined(self, request_id):
        again = self.again.pop(request_id, 0)
        if again < self.retries:
            self.at(
                self.now + int(self.chance.uniform(0, SECOND)),
                lambda: self.arrival(again + 1),
            )

    def arrival(self, again=0):
        some = (
            len(self.gateways)
            if self.even or self.chance.random() < 0.1
            else len(self.gateways) // 10 + 1
        )
        gateway, id = self.gateways[self.chance.randrange(some)], next(self.numbers)
        self.again[id] = again
        self.units[id] = min(1 + int(self.chance.expovariate(1.0)), self.largest)
        shard = None if self.chance.random() < self.new else 0
        gateway.scheduler.on_request(
            self.now,
            Request(
                id,
                id,
                id % 50,
                9,
                0,
                0,
                False,
                False,
                shard,
                float(self.units[id]),
                self.now + 15_000,
            ),
        )
        self.at(self.now, lambda: None, gateway)

    def leaves(self, gateway, request_id, number, node, timeout):
        """To the cold node it takes its way; any other answers after a while."""
        sent = self.now
        if node != 7:
            return self.ends(gateway, request_id, number, node, sent, sent + 500)
        way = int(self.chance.uniform(0, self.way))
        if gateway not in self.met and self.chance.random() < self.late:
            way = LATE
        self.met.add(gateway)
        self.at(
            sent + way, lambda: self.reached(gateway, request_id, number, sent, timeout)
        )

    def reached(self, gateway, request_id, number, sent, timeout):
        """The node works off what comes at what the settings promise of it.

        One answer in ten is lost.
        """
        age, config = self.now - STARTS, self.config
        self.sent.append((self.now, self.units[request_id]))
        rate = (
            config.slow_start_units
            / config.slow_start_multiple
            / config.slow_start_window
            * self.grown(age)
            * self.quick
        )
        self.busy_until = max(self.busy_until, self.now) + int(
            self.units[request_id] / rate
        )
        if self.chance.random() < 0.9 and self.busy_until < sent + (timeout or 1 << 40):
            self.ends(gateway, request_id, number, 7, sent, self.busy_until)
        elif timeout:
            self.ends(
                gateway,
                request_id,
                number,
                7,
                sent,
                sent + timeout,
                AttemptOutcome.TIMED_OUT,
            )

    def ends(
        self,
        gateway,
        request_id,
        number,
        node,
        sent,
        at,
        outcome=AttemptOutcome.SUCCEEDED,
    ):
        finished = outcome is AttemptOutcome.SUCCEEDED
        self.at(
            at,
            lambda: gateway.scheduler.on_attempt_result(
                self.now,
                AttemptResult(
                    request_id,
                    number,
                    node,
                    outcome,
                    finished,
                    self.now - sent,
                    None,
                    0,
                    {},
                ),
            ),
            gateway,
        )

    def grown(self, age):
        return (
            1
            + (1 / self.config.slow_start_initial_fraction - 1)
            * max(age, 0)
            / self.config.slow_start_duration
        )

    def play(self):
        ends = STARTS + self.config.slow_start_duration
        while self.events and self.events[0][0] < ends:
            self.now, _, call, gateway = heapq.heappop(self.events)
            call()
            if gateway is not None:
                gateway.scheduler.dispatch_pending(self.now)
        return self

    def most(self):
        """The most that came in one window, in parts of what fells a node.

        More than N + 2 root N + 2 requests of mean work, N being what the settings let
        all together send at the window's start. A small one counts as a mean one.
        """
        window, sent, most, mean = deque(), 0.0, 0.0, self.config.mean_request_units
        for at, units in self.sent:
            window.append((at, max(units / mean, 1.0)))
            sent += window[-1][1]
            while window[0][0] <= at - self.config.slow_start_window:
                sent -= window.popleft()[1]
            n = (
                self.config.slow_start_units
                / mean
                * self.grown(at - self.config.slow_start_window - STARTS)
            )
            most = max(most, sent / (n + 2 * n**0.5 + 2))
        return most

    def used(self):
        """What was sent over the warm-up, in parts of N."""
        config = self.config
        n = (
            config.slow_start_units
            / config.mean_request_units
            * (1 + self.grown(config.slow_start_duration))
            / 2
        )
        sent = sum(
            max(units / config.mean_request_units, 1.0) for _, units in self.sent
        )
        return sent / n * config.slow_start_window / config.slow_start_duration
