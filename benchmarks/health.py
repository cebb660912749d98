"""Measure the benefit of shared health reports, in simulations.

Simulations with the same seed are compared in pairs: with gateways that judge nodes
alone, with gateways that share reports, and with gateways that know the truth.

    python -m benchmarks.health days [--seeds 10 --cell 2 --liars 0 --ills "slow 2,still" --ways alone,shared,truth]
    python -m benchmarks.health spread [--seeds 10 --gateways 150]
    python -m benchmarks.health cost [--gateways 150]

`days` prints the service (the share of the requested utility that is delivered, from
the start of the fault until 4 s after its end) and the mean differences of the pairs
with 95% confidence intervals (Student's t). `spread` runs the real exchange of reports
between all gateways, also with lying gateways and partitions. It prints the time until
nine in ten gateways agree, the octets per second and the false verdicts. `cost` prints
the CPU time that one gateway spends on reports. Two processes run at a time by default;
`--out FILE` stores each run as a line of JSON.
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

T95 = {  # two-sided 95% quantiles of Student's t, by number of pairs
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


JOB_FIELDS = {
    "days": ("ill", "way", "seed", "cell", "liars"),
    "spread": ("case", "seed", "gateways"),
}  # fields of a result that identify its run


def job_key(result: dict[str, Any], options: Any) -> tuple[Any, ...]:
    return tuple(result.get(name) for name in JOB_FIELDS[options.what])


def interval(values: list[float]) -> str:
    """Return the mean and half the 95% interval, or the value if there is only one."""
    if len(values) < 2:
        return f"{np.mean(values):+.4f}"
    t = T95.get(len(values), 2.3 if len(values) < 16 else 2.1)
    return f"{np.mean(values):+.4f} +- {t * np.std(values, ddof=1) / len(values) ** 0.5:.4f} ({len(values)} pairs)"


def run_day(job: tuple[str, str, int, int, float]) -> dict[str, Any]:
    os.nice(0)
    fault, way, seed, cell, liars = job
    scenario = health_scenario.HealthScenario(
        fault=fault, knowledge=way, seed=seed, shard_size=cell, liar_share=liars
    )
    simulation = health_simulation.HealthSimulation(scenario)
    return {
        "ill": fault,
        "way": way,
        "seed": seed,
        "cell": cell,
        "liars": liars,
        "service": simulation.play(),
        "false": simulation.count_false_verdicts(),
        "hours": simulation.lasts / 36_000_000,
    }


def days(options: Any) -> None:
    ways = options.ways.split(",")
    faults = [each for each in options.ills.split(",")]
    jobs = [
        (fault, way, seed, options.cell, options.liars if way == "shared" else 0.0)
        for seed in range(1, options.seeds + 1)
        for fault in faults
        for way in ways
    ]
    found: dict[tuple[str, str], dict[int, float]] = {}
    false_verdict_rates: dict[str, list[float]] = {}
    for result in run_jobs(run_day, jobs, options):
        found.setdefault((result["ill"], result["way"]), {})[result["seed"]] = result[
            "service"
        ]
        if result["way"] == "shared":
            false_verdict_rates.setdefault(result["ill"], []).append(
                result["false"] / result["hours"]
            )
    for fault in faults:
        parts = [
            f"{way} {np.mean(list(found[fault, way].values())):.4f}" for way in ways
        ]
        for one, two in (("shared", "alone"), ("truth", "alone")):
            if one in ways and two in ways:
                pairs = [
                    value - found[fault, two][seed]
                    for seed, value in found[fault, one].items()
                    if seed in found[fault, two]
                ]
                parts.append(f"{one} - {two} {interval(pairs)}")
        if fault in false_verdict_rates:
            parts.append(
                f"healthy nodes judged faulty {np.mean(false_verdict_rates[fault]):.1f} per hour"
            )
        print(f"{fault}: " + ", ".join(parts), flush=True)


def spread(options: Any) -> None:
    jobs = [
        (case, seed, options.gateways)
        for seed in range(1, options.seeds + 1)
        for case in gossip_simulation.CASES
    ]
    found: dict[str, list[dict[str, Any]]] = {}
    for result in run_jobs(gossip_simulation.play, jobs, options):
        found.setdefault(result["case"], []).append(result)
    for case, runs in found.items():
        names = [each for each in runs[0] if each not in JOB_FIELDS["spread"]]
        print(
            f"{case}: "
            + ", ".join(
                f"{name} {np.median(values):.2f} (largest {max(values):.2f})"
                if (values := [each[name] for each in runs if each[name] is not None])
                else f"{name} never"
                for name in names
            ),
            flush=True,
        )


def cost(options: Any) -> None:
    """Measure the CPU time of one gateway for health reports.

    It decodes and merges the reports of all other gateways, and evaluates the store.
    """
    from random import Random

    from milletsill.fleet.health import codec
    from milletsill.fleet.health.health_evaluator import HealthEvaluator
    from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking
    from milletsill.fleet.health.report_store import NodeObservation, ReportStore

    rng, node_count, now = Random(1), 44, 100_000
    origins = [ReportStore(each, 1, 2, 4096) for each in range(options.gateways)]
    store, evaluator = ReportStore(-1, 1, 8192, 4096), HealthEvaluator(0.34)

    def observations(count: int) -> dict[int, NodeObservation]:
        return {
            rng.randrange(node_count): NodeObservation(
                0, now, 1.0, 0.0, 0.0, 1.0, rng.gauss(0, 1)
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
    merge_seconds = (time.process_time() - began) / len(frames)
    began = time.process_time()
    for step in range(20):
        evaluator.evaluate(
            store,
            options.gateways,
            RendezvousRanking(),
            {node: node // 2 for node in range(node_count)},
            now + step,
        )
    evaluation_seconds = (time.process_time() - began) / 20
    size = sum(map(len, frames)) / len(frames)
    share = merge_seconds * options.gateways / 1.2 + evaluation_seconds / 0.3
    print(
        f"{options.gateways} gateways, {node_count} nodes: a report of 5 observations has {size:.0f} octets and takes {merge_seconds * 1e6:.0f} us to decode "
        f"and merge, an evaluation takes {evaluation_seconds * 1e3:.1f} ms: {share:.3f} of a core without faults",
        flush=True,
    )


def run_jobs(call: Any, jobs: list[Any], options: Any) -> Any:
    """Yield results as runs end; runs whose results are in `--out` are not repeated."""
    began, done = time.monotonic(), []
    if options.out and Path(options.out).exists():
        done = [
            json.loads(line)
            for line in Path(options.out).read_text("utf-8").splitlines()
        ]
        done = [result for result in done if job_key(result, options) in jobs]
        jobs = [
            each
            for each in jobs
            if each not in [job_key(result, options) for result in done]
        ]
    yield from done
    with multiprocessing.Pool(options.processes) as pool:
        for result in pool.imap_unordered(call, jobs):
            if options.out:
                with Path(options.out).open("a", encoding="utf-8") as out:
                    out.write(json.dumps(result) + "\n")
            yield result
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
    options = parser.parse_args()
    {"days": days, "spread": spread, "cost": cost}[options.what](options)


if __name__ == "__main__":
    main()
