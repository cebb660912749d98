"""What a gateway of a large fleet costs, on the simulated clock: `python -m milletsill.lab hunt scale --gateways 50,200,1000`.

Processor time is of this process, for all gateways together, divided by them and by the seconds that passed on the clock: what it
costs to simulate one, and about what its machines cost a real one, without sockets. A look at all rows is timed by itself.
"""

from __future__ import annotations

import gc
import resource
import time
from collections.abc import Sequence
from random import Random
from types import SimpleNamespace
from unittest import mock

from prometheus_client import CollectorRegistry

from milletsill.fleet.health import codec
from milletsill.fleet.health.report_store import NodeObservation, ReportStore
from milletsill.fleet.health.shared_health import (
    HealthConfig,
    HealthEnvironment,
    SharedHealth,
    origin_of,
)
from milletsill.fleet.leases import acceptor_service, lease_manager
from milletsill.fleet.transport import Member, MemberState, View
from milletsill.lab.fleet_clock import SECOND
from milletsill.lab.hunt.fleet_world import FleetWorld
from milletsill.lab.hunt.gate import PERIOD, Host, Kept, remark

SETTLE, SPAN, BOXES, LOOKS = 5 * SECOND, 10 * SECOND, 44, 5


def resident() -> float:
    """MiB of this process now."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * resource.getpagesize() / (1 << 20)


def fleet(gateways: int, seed: int = 1) -> str:
    """Members, and offices at twenty of them."""
    gc.collect()
    secrets, before = Random(seed), resident()
    with (
        mock.patch.object(lease_manager, "SystemRandom", lambda: secrets),
        mock.patch.object(acceptor_service, "AcceptorStore", Kept),
    ):
        world = FleetWorld(seed, gateways, registers=5, users=20, judges=0, boxes=BOXES)
        world.acquaint()
        world.run(SETTLE)
        began, frames = time.process_time(), world.frames
        world.run(SETTLE + SPAN)
        spent = (time.process_time() - began) / gateways / (SPAN / SECOND) * 1000
        return (
            f"{gateways} gateways: {spent:.2f} ms of CPU a gateway and second, "
            f"{(world.frames - frames) / gateways / (SPAN / SECOND):.1f} frames a second out of each, "
            f"{(resident() - before) / gateways:.2f} MiB a gateway, views right {world.right():.3f}"
            + (f"; BROKE: {world.wrong}" if world.wrong else "")
        )


def health(gateways: int, seed: int = 1) -> str:
    """One gateway that hears each row once, tells it on, and looks at all of them."""
    chance, octets = Random(seed), [0]
    names = [f"gateway-{each}" for each in range(gateways)]
    view = View(1, [Member(each, f"{each}:1", 1, MemberState.ALIVE) for each in names])
    plane = SimpleNamespace(
        name=names[0],
        incarnation=1,
        view=view,
        subscribe=lambda *what: None,
        watch_view=lambda on_view: None,
        send=lambda member, kind, body: octets.__setitem__(0, octets[0] + len(body)),
    )
    now = [SECOND]
    shared_health = SharedHealth(
        HealthConfig(PERIOD, 60 * SECOND, 0.34, 4096, 1024, ()),
        HealthEnvironment(
            None,  # type: ignore[arg-type]
            lambda: now[0],
            plane,  # type: ignore[arg-type]
            Host(),
            remark,
            remark,
            CollectorRegistry(),
        ),
        seed,
    )
    shared_health.shards = {each: each // 2 for each in range(BOXES)}
    shared_health.on_view(view, ())
    bodies = []
    for name in names[1:]:
        store = ReportStore(origin_of(name), 1, 2, 1024)
        store.own.sequence = store.own.complete_up_to = 1
        observations = {
            box: NodeObservation(
                0, now[0], 1 + 3 * chance.random(), 0.0, 0.0, 1.0, chance.gauss(0, 0.1)
            )
            for box in range(BOXES)
        }
        bodies.append(
            (name, next(codec.encode_frames([store.write(observations)], (), now[0])))
        )
    began = time.process_time()
    for at, (name, body) in enumerate(bodies, 1):
        shared_health.on_frame(name, 1, body)
        if at % 50 == 0:
            shared_health.run_round()
    shared_health.run_round()
    heard = time.process_time() - began
    began = time.process_time()
    for _ in range(LOOKS):
        now[0] += 3000
        shared_health.evaluate()
    return (
        f"{gateways} gateways, rows of {BOXES} boxes: {heard * 1000:.0f} ms of CPU to hear each row once and tell it on, "
        f"{octets[0] / 1024:.0f} KiB told, {(time.process_time() - began) / LOOKS * 1000:.1f} ms a look"
    )


def report(sizes: Sequence[int]) -> int:
    for size in sizes:
        print(fleet(size), flush=True)
        print(health(size), flush=True)
    return 0
