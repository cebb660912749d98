"""Measures the cost per gateway of a large fleet on the simulated clock.

    python -m milletsill.lab hunt scale --gateways 50,200,1000

The CPU time is that of this process for all gateways, divided by the number of gateways
and by the simulated seconds. It is the cost of simulating one gateway, and roughly the
cost of the state machines in a real gateway, without sockets. The evaluation of all
health reports is timed separately.
"""

from __future__ import annotations

import gc
import resource
import time
from collections.abc import Sequence
from random import Random

from prometheus_client import CollectorRegistry

from milletsill.fleet.health import codec
from milletsill.fleet.health.report_store import NodeObservation, ReportStore
from milletsill.fleet.health.shared_health import (
    HealthConfig,
    HealthEnvironment,
    SharedHealth,
    origin_of,
)
from milletsill.fleet.transport import (
    Member,
    MemberState,
    MessageHandler,
    MessageKind,
    View,
    ViewHandler,
)
from milletsill.lab.hunt.fleet_gateway import (
    MAX_FLAGGED_SHARE,
    MAX_GATEWAYS,
    PUBLISH_INTERVAL,
    REPORT_LIFETIME,
    FleetShape,
)
from milletsill.lab.hunt.fleet_simulation import FleetSimulation
from milletsill.lab.hunt.simulated_disk import simulated_leases
from milletsill.lab.hunt.simulated_health import AdviceRecorder, ignore_log
from milletsill.lab.simulated_clock import SECOND

# Times are ticks of 0.1 ms.
SETTLE = 5 * SECOND
SPAN = 10 * SECOND
EVALUATION_INTERVAL = 3000
NODE_COUNT = 44
MAX_NODES = 1024
EVALUATIONS = 5
REPORTS_PER_ROUND = 50
ACCEPTORS = 5
CHANNEL_USERS = 20
MEBIBYTE = 1 << 20


def resident_mebibytes() -> float:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * resource.getpagesize() / MEBIBYTE


def measure_members(gateways: int, seed: int = 1) -> str:
    """Measure membership per gateway; `CHANNEL_USERS` gateways use leases."""
    gc.collect()
    memory_before = resident_mebibytes()
    shape = FleetShape(
        gateways=gateways,
        acceptors=ACCEPTORS,
        channel_users=CHANNEL_USERS,
        evaluators=0,
        nodes=NODE_COUNT,
    )
    with simulated_leases(seed):
        simulation = FleetSimulation(seed, shape)
        simulation.introduce_all()
        simulation.run(SETTLE)
        began = time.process_time()
        frames_before = simulation.message_count
        simulation.run(SETTLE + SPAN)
        gateway_seconds = gateways * SPAN / SECOND
        cpu = (time.process_time() - began) / gateway_seconds * 1000
        frames = (simulation.message_count - frames_before) / gateway_seconds
        right = simulation.share_of_true_views()
        memory = (resident_mebibytes() - memory_before) / gateways
        failed = f"; FAILED: {simulation.failure}" if simulation.failure else ""
        return (
            f"{gateways} gateways: {cpu:.2f} ms of CPU per gateway and second, "
            f"{frames:.1f} frames sent per gateway and second, "
            f"{memory:.2f} MiB per gateway, share of correct views {right:.3f}{failed}"
        )


class CountingTransport:
    """A `FleetTransport` that only counts the octets sent."""

    def __init__(self, names: Sequence[str]) -> None:
        self.name = names[0]
        self.incarnation = 1
        self.view = View(
            1, [Member(name, f"{name}:1", 1, MemberState.ALIVE) for name in names]
        )
        self.sent_octets = 0

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        """Count the octets of a message."""
        self.sent_octets += len(body)
        return True

    def subscribe(self, kind: MessageKind, handler: MessageHandler) -> None:
        """Ignore the handler; it is never called."""

    def watch_view(self, handler: ViewHandler) -> None:
        """Ignore the handler; it is never called."""


class ManualClock:
    """A clock that is set explicitly and runs no timers."""

    def __init__(self, now: int) -> None:
        self.now = now


def encode_report(name: str, random: Random, now: int) -> bytes:
    """Return a gateway's report on all nodes, encoded as one frame."""
    store = ReportStore(origin_of(name), 1, 2, MAX_NODES)
    store.own.sequence = 1
    store.own.complete_up_to = 1
    observations = {
        node: NodeObservation(
            sequence=0,
            observed_at=now,
            answers=1 + 3 * random.random(),
            lost_share=0.0,
            wasted_share=0.0,
            paced_answers=1.0,
            relative_pace=random.gauss(0, 0.1),
        )
        for node in range(NODE_COUNT)
    }
    return next(codec.encode_frames([store.write(observations)], (), now))


def measure_health(gateways: int, seed: int = 1) -> str:
    """Measure shared health at one gateway.

    The gateway receives each report once, forwards it, and evaluates all reports.
    """
    random = Random(seed)
    names = [f"gateway-{number}" for number in range(gateways)]
    clock = ManualClock(SECOND)
    transport = CountingTransport(names)
    health = SharedHealth(
        HealthConfig(
            PUBLISH_INTERVAL,
            REPORT_LIFETIME,
            MAX_FLAGGED_SHARE,
            MAX_GATEWAYS,
            MAX_NODES,
            (),
        ),
        HealthEnvironment(
            None,  # type: ignore[arg-type]
            lambda: clock.now,
            transport,
            AdviceRecorder(),
            ignore_log,
            ignore_log,
            CollectorRegistry(),
        ),
        seed,
    )
    health.shards = {node: node // 2 for node in range(NODE_COUNT)}
    health.on_view(transport.view, ())
    frames = [(name, encode_report(name, random, clock.now)) for name in names[1:]]
    began = time.process_time()
    for count, (name, frame) in enumerate(frames, 1):
        health.on_frame(name, 1, frame)
        if count % REPORTS_PER_ROUND == 0:
            health.run_round()
    health.run_round()
    exchange_cpu = (time.process_time() - began) * 1000
    began = time.process_time()
    for _ in range(EVALUATIONS):
        clock.now += EVALUATION_INTERVAL
        health.evaluate()
    evaluation_cpu = (time.process_time() - began) / EVALUATIONS * 1000
    return (
        f"{gateways} gateways, reports on {NODE_COUNT} nodes: "
        f"{exchange_cpu:.0f} ms of CPU to receive and forward each report once, "
        f"{transport.sent_octets / 1024:.0f} KiB sent, "
        f"{evaluation_cpu:.1f} ms per evaluation"
    )


def report_costs(sizes: Sequence[int]) -> int:
    """Print the cost per gateway for each fleet size; return 0."""
    for size in sizes:
        print(measure_members(size), flush=True)
        print(measure_health(size), flush=True)
    return 0
