"""Simulation of many schedulers that send to one node which has just started.

It runs on a simulated clock in ticks of a tenth of a millisecond.
"""

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

NODE_START, SECOND = 5_000, 10_000  # when the node starts, and a second, in ticks
LATE_CONNECTION_DELAY = 9_000  # delay of a late connection, in ticks


class SlowStartGateway:
    """One scheduler and its effects."""

    def __init__(self, fleet, index):
        self.fleet, self.attempts = fleet, {}
        self.scheduler = Scheduler(
            replace(fleet.config, gateway_index=index),
            fleet.random.getrandbits(32),
            fleet.now,
            self,
        )

    def send_attempt(self, request_id, node, timeout):
        number = self.attempts[request_id] = self.attempts.get(request_id, -1) + 1
        self.fleet.on_attempt_sent(self, request_id, number, node, timeout)

    def set_timer(self, at, token):
        self.fleet.schedule(
            at, lambda: self.scheduler.on_timer(self.fleet.now, token), self
        )

    def reject(self, request_id, pause):
        self.fleet.on_rejected(request_id)

    def __getattr__(self, name):  # ignores all other effects
        return lambda *values: None


class SlowStartFleet:
    """Gateways, their clients, the node that warms up and other nodes.

    Attributes:
        is_even: whether all gateways get equal traffic; otherwise a tenth of the
            gateways get nine tenths of it.
        surge_factor: multiplies the traffic in the middle third of the warm-up.
        client_retries: how often a client retries a rejected request, at any gateway.
        node_speed: the node's capacity as a multiple of the configured one.
        max_transit: the longest time that an attempt takes to reach the node.
        late_connection_share: the fraction of gateways whose connection to the node
            comes up late.
        announcement_span: the time within which all gateways learn of the node's start.
        max_units: the units of the largest request.
        other_nodes: the number of warm nodes that also take new objects.
        new_object_share: the fraction of requests that are for new objects.
        restart_together: whether all gateways restart within one second; otherwise half
            of them restart at random times of the warm-up.
    """

    def __init__(
        self,
        seed,
        gateways,
        rate,
        is_even,
        surge_factor=1.0,
        client_retries=0,
        node_speed=1.0,
        max_transit=0,
        late_connection_share=0.0,
        announcement_span=SECOND,
        max_units=8,
        other_nodes=0,
        new_object_share=0.0,
        restart_together=False,
        **overrides,
    ):
        self.random, self.now, self.events, self.sequence = Random(seed), 0, [], count()
        self.config = replace(CONFIG, gateway_count=gateways, **overrides)
        (
            self.client_retries,
            self.retry_counts,
            self.node_speed,
            self.max_transit,
            self.late_connection_share,
            self.new_object_share,
        ) = (
            client_retries,
            {},
            node_speed,
            max_transit,
            late_connection_share,
            new_object_share,
        )
        self.endpoints = [endpoint(7, started_at=NODE_START)] + [
            endpoint(8 + each, shard=1 + each) for each in range(other_nodes)
        ]
        (
            self.units,
            self.arrivals,
            self.busy_until,
            self.is_even,
            self.max_units,
            self.connected_gateways,
        ) = (
            {},
            [],
            NODE_START,
            is_even,
            max_units,
            set(),
        )
        self.gateways = [SlowStartGateway(self, each) for each in range(gateways)]
        for index in range(gateways):
            self.schedule(
                NODE_START + int(self.random.uniform(0, announcement_span)),
                lambda index=index: self.announce_start(index),
            )
        warm = self.config.slow_start_duration
        first, last = (warm // 2, warm // 2 + SECOND) if restart_together else (0, warm)
        for index in self.random.sample(
            range(gateways), gateways if restart_together else gateways // 2
        ):  # restarts within the warm-up
            self.schedule(
                NODE_START + int(self.random.uniform(first, last)),
                lambda index=index: self.restart_gateway(index),
            )
        arrival_time = 0.0
        while arrival_time < NODE_START + warm:
            self.schedule(int(arrival_time), self.on_client_request)
            arrival_time += (
                self.random.expovariate(
                    rate
                    * (
                        surge_factor
                        if 1 / 3 < (arrival_time - NODE_START) / warm < 2 / 3
                        else 1.0
                    )
                )
                * SECOND
            )

    def schedule(self, at, call, gateway=None):
        heapq.heappush(
            self.events, (max(at, self.now), next(self.sequence), call, gateway)
        )

    def announce_start(self, index):
        self.gateways[index].scheduler.on_endpoints(
            self.now, EndpointUpdateKind.DELTA, self.endpoints
        )

    def restart_gateway(self, index):
        self.gateways[index] = SlowStartGateway(self, index)
        self.announce_start(index)

    def on_rejected(self, request_id):
        retry_count = self.retry_counts.pop(request_id, 0)
        if retry_count < self.client_retries:
            self.schedule(
                self.now + int(self.random.uniform(0, SECOND)),
                lambda: self.on_client_request(retry_count + 1),
            )

    def on_client_request(self, retry_count=0):
        sending_gateways = (
            len(self.gateways)
            if self.is_even or self.random.random() < 0.1
            else len(self.gateways) // 10 + 1
        )
        gateway, id = (
            self.gateways[self.random.randrange(sending_gateways)],
            next(self.sequence),
        )
        self.retry_counts[id] = retry_count
        self.units[id] = min(1 + int(self.random.expovariate(1.0)), self.max_units)
        shard = None if self.random.random() < self.new_object_share else 0
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
        self.schedule(self.now, lambda: None, gateway)

    def on_attempt_sent(self, gateway, request_id, number, node, timeout):
        """Deliver an attempt to the warming-up node after its transit time.

        Other nodes answer after 500 ticks.
        """
        sent_at = self.now
        if node != 7:
            return self.schedule_result(
                gateway, request_id, number, node, sent_at, sent_at + 500
            )
        transit = int(self.random.uniform(0, self.max_transit))
        if (
            gateway not in self.connected_gateways
            and self.random.random() < self.late_connection_share
        ):
            transit = LATE_CONNECTION_DELAY
        self.connected_gateways.add(gateway)
        self.schedule(
            sent_at + transit,
            lambda: self.on_node_arrival(gateway, request_id, number, sent_at, timeout),
        )

    def on_node_arrival(self, gateway, request_id, number, sent_at, timeout):
        """Serve an attempt at the configured capacity times `node_speed`.

        One answer in ten is lost.
        """
        age, config = self.now - NODE_START, self.config
        self.arrivals.append((self.now, self.units[request_id]))
        rate = (
            config.slow_start_units
            / config.slow_start_multiple
            / config.slow_start_window
            * self.budget_growth(age)
            * self.node_speed
        )
        self.busy_until = max(self.busy_until, self.now) + int(
            self.units[request_id] / rate
        )
        if self.random.random() < 0.9 and self.busy_until < sent_at + (
            timeout or 1 << 40
        ):
            self.schedule_result(
                gateway, request_id, number, 7, sent_at, self.busy_until
            )
        elif timeout:
            self.schedule_result(
                gateway,
                request_id,
                number,
                7,
                sent_at,
                sent_at + timeout,
                AttemptOutcome.TIMED_OUT,
            )

    def schedule_result(
        self,
        gateway,
        request_id,
        number,
        node,
        sent_at,
        at,
        outcome=AttemptOutcome.SUCCEEDED,
    ):
        finished = outcome is AttemptOutcome.SUCCEEDED
        self.schedule(
            at,
            lambda: gateway.scheduler.on_attempt_result(
                self.now,
                AttemptResult(
                    request_id,
                    number,
                    node,
                    outcome,
                    finished,
                    self.now - sent_at,
                    None,
                    0,
                    {},
                ),
            ),
            gateway,
        )

    def budget_growth(self, age):
        return (
            1
            + (1 / self.config.slow_start_initial_fraction - 1)
            * max(age, 0)
            / self.config.slow_start_duration
        )

    def run(self):
        end = NODE_START + self.config.slow_start_duration
        while self.events and self.events[0][0] < end:
            self.now, _, call, gateway = heapq.heappop(self.events)
            call()
            if gateway is not None:
                gateway.scheduler.dispatch_pending(self.now)
        return self

    def peak_load_ratio(self):
        """Return the peak load of one window, as a fraction of the overload threshold.

        The node is overloaded by more than N + 2 sqrt(N) + 2 requests of mean work,
        where N is what the settings allow all gateways together at the window's start.
        A small request counts as a mean one.
        """
        window, window_requests, peak, mean = (
            deque(),
            0.0,
            0.0,
            self.config.mean_request_units,
        )
        for at, units in self.arrivals:
            window.append((at, max(units / mean, 1.0)))
            window_requests += window[-1][1]
            while window[0][0] <= at - self.config.slow_start_window:
                window_requests -= window.popleft()[1]
            budget = (
                self.config.slow_start_units
                / mean
                * self.budget_growth(at - self.config.slow_start_window - NODE_START)
            )
            peak = max(peak, window_requests / (budget + 2 * budget**0.5 + 2))
        return peak

    def budget_use(self):
        """Return the requests sent over the warm-up, as a fraction of the budget."""
        config = self.config
        budget = (
            config.slow_start_units
            / config.mean_request_units
            * (1 + self.budget_growth(config.slow_start_duration))
            / 2
        )
        sent_requests = sum(
            max(units / config.mean_request_units, 1.0) for _, units in self.arrivals
        )
        return (
            sent_requests
            / budget
            * config.slow_start_window
            / config.slow_start_duration
        )
