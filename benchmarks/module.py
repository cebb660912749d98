"""A soak of the decision module alone, on a clock of its own: transfers over ever new volumes, boxes that come and go.

    python -m benchmarks.module --transfers 10000000

Prints resident memory and the sizes of what the module holds as it goes. Simulated; one answer a dispatch, some lost.
"""

from __future__ import annotations

import argparse
import heapq
import os
import time
from random import Random
from typing import Any

from milletsill.interface import (
    AttemptResult,
    Request,
    Endpoint,
    EndpointUpdateKind,
    AttemptOutcome,
    Readiness,
)
from milletsill.scheduler import Scheduler

CATEGORY = {
    "target_time": 3000,
    "patience": 15_000,
    "utility": 1.0,
    "late_utility": 0.2,
    "repeats": "rerunnable",
    "group": "all",
    "repeat_window": 20_000,
    "in_order": False,
}
PLAN = {
    "usual_rate": 10.0,
    "reserve_rate": 10.0,
    "weight": 1.0,
    "price": 1.0,
    "limit_rate": 0.0,
    "limit_store": 0.0,
    "limit_slack": 0.0,
}
LIMITED = {**PLAN, "limit_rate": 40.0, "limit_store": 100.0, "limit_slack": 10.0}
FACTS: dict[str, Any] = {
    "gateways": 3,
    "tick": 10,
    "plans": [PLAN, LIMITED],
    "categories": [CATEGORY, {**CATEGORY, "in_order": True, "repeats": "exclusive"}],
    "share_utility": 0.3,
    "largest_units": 8,
    "cold_units": 100.0,
    "may_cancel": True,
    "may_copy": True,
    "most_dispatches": 3,
    "pause_told": True,
    "longest_pause": 5000,
    "list_on_request": False,
    "ask_within": 100_000,
    "cold_from": 0.25,
    "cold_multiple": 2.0,
    "warm_after": 100_000,
    "cold_window": 10_000,
    "dial": 0,
    "further_free": 3,
    "further_ratio": 0.2,
    "further_window": None,
    "key_rest": 3000,
}
NODES, STEP, LOST = 40, 4, 0.002  # a transfer every STEP tenths of a millisecond


class World:
    """The Port, and the nodes behind it."""

    def __init__(self) -> None:
        self.chance, self.now, self.count, self.answered = Random(1), 0, 0, 0
        self.events: list[tuple[int, int, str, Any]] = []
        self.numbers: dict[int, int] = {}

    def push(self, at: int, what: str, value: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (at, self.count, what, value))

    def send_attempt(self, transfer: int, node: int, timeout: int) -> None:
        number = self.numbers[transfer] = self.numbers.get(transfer, -1) + 1
        lost = self.chance.random() < LOST
        span = (
            (timeout or 15_000) if lost else int(self.chance.expovariate(1 / 250)) + 50
        )
        self.push(self.now + span, "answer", (transfer, number, node, span, lost))

    def end(self, transfer: int, pause: int = 0) -> None:
        self.answered += 1
        self.numbers.pop(transfer, None)

    reject = fail = end

    def set_timer(self, at: int, what: object) -> None:
        self.push(at, "wake", what)

    def cancel_attempt(self, transfer: int, number: int) -> None: ...

    def watch_endpoints(self) -> None: ...

    def log(self, text: str) -> None: ...


def resident() -> float:
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * os.sysconf("SC_PAGESIZE") / (1 << 20)


def play(transfers: int, report: int) -> None:
    world = World()
    module = Scheduler(FACTS, 1, 0, world)  # type: ignore[arg-type]
    nodes = [
        Endpoint(each, Readiness.READY, 1.0, 0, 0, None, each) for each in range(NODES)
    ]
    module.on_endpoints(0, EndpointUpdateKind.CACHED, nodes)
    chance, began, next_node = Random(2), time.monotonic(), NODES
    for number in range(1, transfers + 1):
        world.now = number * STEP
        while world.events and world.events[0][0] <= world.now:
            _, _, what, value = heapq.heappop(world.events)
            if what == "wake":
                module.on_timer(world.now, value)
                continue
            transfer, go, node, span, lost = value
            outcome = AttemptOutcome.TIMED_OUT if lost else AttemptOutcome.SUCCEEDED
            over = not lost and transfer in module.transfers
            module.on_attempt_result(
                world.now,
                AttemptResult(transfer, go, node, outcome, over, span, None, 0, {}),
            )
            if over:
                world.end(transfer)
        in_order = chance.random() < 0.2
        module.on_request(
            world.now,
            Request(
                number,
                number // 3,
                chance.randrange(1 << 40) if number % 2 else number // 50,
                2,
                int(in_order),
                number % 2,
                False,
                False,
                nodes[number % NODES].shard,
                2.0,
                world.now + 15_000,
            ),
        )
        module.dispatch_pending(world.now)
        if number % 50_000 == 0:  # one node leaves for good, another takes its cell
            old = nodes.pop(0)
            nodes.append(
                Endpoint(next_node, Readiness.READY, 1.0, 0, 0, world.now, old.shard)
            )
            next_node += 1
            module.on_endpoints(world.now, EndpointUpdateKind.SNAPSHOT, nodes)
        if number % report == 0:
            print(
                f"{number} transfers, {time.monotonic() - began:.0f} s: {resident():.1f} MiB; held "
                f"{len(module.transfers)} transfers, {len(module.volumes)} volumes, {len(module.nodes)} nodes, "
                f"{len(module.keys)} keys, {len(module.taken_at)} counts, "
                f"{len(module.outstanding)} out; {world.answered} answered",
                flush=True,
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--transfers", type=int, default=200_000)
    parser.add_argument("--report", type=int, default=0)
    given = parser.parse_args()
    play(given.transfers, given.report or max(given.transfers // 20, 1))
