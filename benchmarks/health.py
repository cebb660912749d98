"""What health that is shared is worth, simulated.

Paired days with the same seeds, alone, shared, and with a table of the truth.

    python -m benchmarks.health days [--seeds 10 --cell 2 --liars 0 --ills "slow 2,still" --ways alone,shared,truth]
    python -m benchmarks.health spread [--seeds 10 --gateways 150]
    python -m benchmarks.health cost [--gateways 150]

`days` gives service (the share of the utility asked for from the fault until 4 s after
its end) and the differences of pairs with 95% intervals (Student's t). `spread` has
every gateway exchange rows for real and gives the time until nine in ten agree, octets
a second, false verdicts, liars, partitions. Two processes at most; `--out FILE` keeps
each run as a line of JSON.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import time
from pathlib import Path
from typing import Any

import numpy as np

from milletsill.lab import gossip_simulation, health_scenario, health_simulation

T95 = {
    2: 12.706,
    3: 4.303,
    4: 3.182,
    5: 2.776,
    6: 2.571,
    7: 2.447,
    8: 2.365,
    9: 2.306,
    10: 2.262,
    12: 2.201,
    16: 2.131,
    20: 2.093,
}


JOBS = {
    "days": ("ill", "way", "seed", "cell", "liars"),
    "spread": ("case", "seed", "gateways"),
}  # as their runs tell them


def key(made: dict[str, Any], given: Any) -> tuple[Any, ...]:
    return tuple(made.get(name) for name in JOBS[given.what])


def interval(values: list[float]) -> str:
    """Mean and half the 95% interval; of one value the value alone."""
    if len(values) < 2:
        return f"{np.mean(values):+.4f}"
    t = T95.get(len(values), 2.3 if len(values) < 16 else 2.1)
    return f"{np.mean(values):+.4f} +- {t * np.std(values, ddof=1) / len(values) ** 0.5:.4f} ({len(values)} pairs)"


def day(job: tuple[str, str, int, int, float]) -> dict[str, Any]:
    os.nice(0)
    ill, way, seed, cell, liars = job
    scenario = health_scenario.HealthScenario(
        fault=ill, knowledge=way, seed=seed, shard_size=cell, liar_share=liars
    )
    made = health_simulation.HealthSimulation(scenario)
    return {
        "ill": ill,
        "way": way,
        "seed": seed,
        "cell": cell,
        "liars": liars,
        "service": made.play(),
        "false": made.count_false_verdicts(),
        "hours": made.lasts / 36_000_000,
    }


def days(given: Any) -> None:
    ways = given.ways.split(",")
    ills = [each for each in given.ills.split(",")]
    jobs = [
        (ill, way, seed, given.cell, given.liars if way == "shared" else 0.0)
        for seed in range(1, given.seeds + 1)
        for ill in ills
        for way in ways
    ]
    found: dict[tuple[str, str], dict[int, float]] = {}
    false: dict[str, list[float]] = {}
    for made in worked(day, jobs, given):
        found.setdefault((made["ill"], made["way"]), {})[made["seed"]] = made["service"]
        if made["way"] == "shared":
            false.setdefault(made["ill"], []).append(made["false"] / made["hours"])
    for ill in ills:
        said = [f"{way} {np.mean(list(found[ill, way].values())):.4f}" for way in ways]
        for one, two in (("shared", "alone"), ("truth", "alone")):
            if one in ways and two in ways:
                pairs = [
                    value - found[ill, two][seed]
                    for seed, value in found[ill, one].items()
                    if seed in found[ill, two]
                ]
                said.append(f"{one} - {two} {interval(pairs)}")
        if ill in false:
            said.append(f"well boxes called ill {np.mean(false[ill]):.1f} an hour")
        print(f"{ill}: " + ", ".join(said), flush=True)


def spread(given: Any) -> None:
    jobs = [
        (case, seed, given.gateways)
        for seed in range(1, given.seeds + 1)
        for case in gossip_simulation.CASES
    ]
    found: dict[str, list[dict[str, Any]]] = {}
    for made in worked(gossip_simulation.play, jobs, given):
        found.setdefault(made["case"], []).append(made)
    for case, runs in found.items():
        names = [each for each in runs[0] if each not in JOBS["spread"]]
        print(
            f"{case}: "
            + ", ".join(
                f"{name} {np.median(values):.2f} (worst {max(values):.2f})"
                if (values := [each[name] for each in runs if each[name] is not None])
                else f"{name} never"
                for name in names
            ),
            flush=True,
        )


def cost(given: Any) -> None:
    """One gateway's work.

    A second's rows of all others, in and merged, and its looks.
    """
    from random import Random

    from milletsill.fleet.health import codec
    from milletsill.fleet.health.health_evaluator import HealthEvaluator
    from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking
    from milletsill.fleet.health.report_store import NodeObservation, ReportStore

    chance, boxes, now = Random(1), 44, 100_000
    origins = [ReportStore(each, 1, 2, 4096) for each in range(given.gateways)]
    store, evaluator = ReportStore(-1, 1, 8192, 4096), HealthEvaluator(0.34)

    def observations(count: int) -> dict[int, NodeObservation]:
        return {
            chance.randrange(boxes): NodeObservation(
                0, now, 1.0, 0.0, 0.0, 1.0, chance.gauss(0, 1)
            )
            for _ in range(count)
        }

    frames = [
        next(codec.encode_frames([origin.write(observations(5))], (), now))
        for _ in range(2)
        for origin in origins
    ]
    began = time.process_time()
    for body in frames:
        for each in codec.decode_frame(body).difference:
            store.merge(codec.decode_delta(each, now))
    heard = (time.process_time() - began) / len(frames)
    began = time.process_time()
    for step in range(20):
        evaluator.evaluate(
            store,
            given.gateways,
            RendezvousRanking(),
            {box: box // 2 for box in range(boxes)},
            now + step,
        )
    look = (time.process_time() - began) / 20
    size = sum(map(len, frames)) / len(frames)
    share = heard * given.gateways / 1.2 + look / 0.3
    print(
        f"{given.gateways} gateways, {boxes} boxes: a row of 5 words is {size:.0f} octets and costs {heard * 1e6:.0f} us to read "
        f"and merge, a look {look * 1e3:.1f} ms: {share:.3f} of a core on a calm day",
        flush=True,
    )


def worked(call: Any, jobs: list[Any], given: Any) -> Any:
    """Runs as they end; those that `--out` has are not made again."""
    began, done = time.monotonic(), []
    if given.out and Path(given.out).exists():
        done = [
            json.loads(line) for line in Path(given.out).read_text("utf-8").splitlines()
        ]
        done = [made for made in done if key(made, given) in jobs]
        jobs = [
            each for each in jobs if each not in [key(made, given) for made in done]
        ]
    yield from done
    with multiprocessing.Pool(given.processes) as pool:
        for made in pool.imap_unordered(call, jobs):
            if given.out:
                with Path(given.out).open("a", encoding="utf-8") as out:
                    out.write(json.dumps(made) + "\n")
            yield made
    print(
        f"simulated; {len(jobs)} runs in {time.monotonic() - began:.0f} s", flush=True
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("days", "spread", "cost"))
    for name, default in (
        ("seeds", 10),
        ("gateways", 150),
        ("cell", 2),
        ("processes", 2),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--liars", type=float, default=0.0)
    parser.add_argument("--ills", default=",".join(health_scenario.NODE_FAULTS))
    parser.add_argument("--ways", default="alone,shared,truth")
    parser.add_argument("--out", default="")
    given = parser.parse_args()
    {"days": days, "spread": spread, "cost": cost}[given.what](given)


if __name__ == "__main__":
    main()
