"""What a gateway of a large fleet costs, on the simulated clock.

    python -m milletsill.lab hunt scale --gateways 50,200,1000

Processor time is of this process, for all gateways together, divided by them and by
the seconds that passed on the clock: what it costs to simulate one, and about what its
state machines cost a real one, without sockets. An evaluation of all reports is timed
by itself.
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
    MAX_CALLED_SHARE,
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
    """Return the memory of this process now."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * resource.getpagesize() / MEBIBYTE


def measure_members(gateways: int, seed: int = 1) -> str:
    """Return what membership costs a gateway, with leases at twenty of them."""
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
        right = simulation.share_of_correct_views()
        memory = (resident_mebibytes() - memory_before) / gateways
        broke = f"; BROKE: {simulation.failure}" if simulation.failure else ""
        return (
            f"{gateways} gateways: {cpu:.2f} ms of CPU a gateway and second, "
            f"{frames:.1f} frames a second out of each, "
            f"{memory:.2f} MiB a gateway, views right {right:.3f}{broke}"
        )


class CountingTransport:
    """In the place of the fleet's transport: it counts the octets that are sent."""

    def __init__(self, names: Sequence[str]) -> None:
        self.name = names[0]
        self.incarnation = 1
        self.view = View(
            1, [Member(name, f"{name}:1", 1, MemberState.ALIVE) for name in names]
        )
        self.sent_octets = 0

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        """Count a message."""
        self.sent_octets += len(body)
        return True

    def subscribe(self, kind: MessageKind, handler: MessageHandler) -> None:
        """Take a handler, which is not called."""

    def watch_view(self, handler: ViewHandler) -> None:
        """Take a handler, which is not called."""


class ManualClock:
    """A time that is set by hand; nothing is called later."""

    def __init__(self, now: int) -> None:
        self.now = now


def encode_report(name: str, random: Random, now: int) -> bytes:
    """Return a gateway's report on all nodes, as one frame."""
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
    """Return what shared health costs one gateway.

    It hears each report once, passes it on, and evaluates all of them.
    """
    random = Random(seed)
    names = [f"gateway-{number}" for number in range(gateways)]
    clock = ManualClock(SECOND)
    transport = CountingTransport(names)
    health = SharedHealth(
        HealthConfig(
            PUBLISH_INTERVAL,
            REPORT_LIFETIME,
            MAX_CALLED_SHARE,
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
        f"{gateways} gateways, rows of {NODE_COUNT} boxes: "
        f"{exchange_cpu:.0f} ms of CPU to hear each row once and tell it on, "
        f"{transport.sent_octets / 1024:.0f} KiB told, {evaluation_cpu:.1f} ms a look"
    )


def report_costs(sizes: Sequence[int]) -> int:
    """Print what a gateway costs in fleets of these sizes; return 0."""
    for size in sizes:
        print(measure_members(size), flush=True)
        print(measure_health(size), flush=True)
    return 0
