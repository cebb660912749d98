"""Measure the cost of traces, and test that killed gateways lose no complete blocks.

The cost of tracing in a real gateway: `python -m benchmarks.gateway pairs --of trace`.

    python -m benchmarks.trace hour SCENARIO --out DIR [--gateways 150 --rate 580 --seconds 3600 --parts 6]
    python -m benchmarks.trace kills [--count 200 --parts 5]

`hour` runs the scenario's traffic through real schedulers on a simulated clock, without
sockets (lab/traffic_simulation.py), and writes a trace for each gateway. It then
compares the size with other formats, and measures cuts by time and volume and the merge
of all traces. `kills` kills a real gateway at random times under load, and verifies the
trace that it leaves.
"""

from __future__ import annotations

import argparse
import glob
import json
import os
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from random import Random
from typing import Any

from google.protobuf import text_format

from milletsill.deployment_config import to_stored
from milletsill.settings.milletsill_pb2 import Scenario
from milletsill.trace.convert import convert_trace
from milletsill.trace.cut import CutResult, cut_trace
from milletsill.trace.merge import merge_traces
from milletsill.trace.reader import FileState, TraceReader
from milletsill.trace.record_filter import RecordFilter
from milletsill.trace.recording_policy import MAX_BLOCK_AGE
from milletsill.trace.repair import verify
from milletsill.trace.trace_file import SimulationTrace

SECOND = 10_000


# --- The simulated hour.


class TimedTrace(SimulationTrace):
    """A trace that counts its records and the CPU time of writing blocks."""

    def __init__(self, path: str, header: dict[str, Any], max_block_age: int) -> None:
        super().__init__(path, header, max_block_age)
        self.record_count, self.write_seconds = 0, 0.0

    def put(self, name: str, at: int, *values: Any) -> None:
        self.record_count += 1
        super().put(name, at, *values)

    def flush(self) -> None:
        began = time.process_time()
        super().flush()
        self.write_seconds += time.process_time() - began

    def close(self) -> None:
        began = time.process_time()
        super().close()
        self.write_seconds += time.process_time() - began


def run_part(
    path: str,
    out: str,
    number: int,
    part_count: int,
    gateways: int,
    rate: float,
    seconds: float,
    max_block_age: int,
    is_traced: bool,
) -> None:
    """Simulate one process's part of the gateways, and print its counts as JSON."""
    from milletsill.lab.traffic_simulation import TrafficSimulation, scenario_part
    from milletsill.trace.recorder import CommandRecord, TraceRecorder

    with open(path, encoding="utf-8") as source:
        scenario = scenario_part(
            text_format.Parse(source.read(), Scenario()), number, part_count
        )
    simulation = TrafficSimulation(scenario, gateways, rate, scenario.seed)
    traces, names, finals = (
        [],
        [each.name for each in simulation.volumes],
        {"satisfied": 0, "declined": 0, "aborted": 0},
    )

    def wrapper_for(gateway: Any) -> Callable[[Any], Any]:
        def on_final(now: int, request: Any, final: str) -> None:
            finals[final] += 1
            if is_traced:
                scheduled = request.request
                command = CommandRecord(
                    began=request.received_at,
                    volume=names[scheduled.volume - 1],
                    service_plan=scheduled.service_plan,
                    request_class=scheduled.request_class,
                    operation=request.operation,
                    units=scheduled.units,
                    requests=1,
                    attempts=0,
                    answer=final,
                    reason="",
                )
                recorder.record_command(now, command)

        gateway.on_final = on_final
        if not is_traced:
            return lambda make: make
        name = f"edge-{number * gateways + gateway.place:03d}"
        trace = TimedTrace(
            f"{out}/{name}.mtrace",
            {
                "name": name,
                "seed": gateway.seed,
                "facts": to_stored(gateway.config),
                "opened": 0,
                "wall_ms": 1_700_000_000_000,
                "made": 0,
                "volumes": [[each.name, each.plan] for each in simulation.volumes],
            },
            max_block_age,
        )
        traces.append(trace)
        recorder = TraceRecorder(trace, names)
        gateway.on_path = recorder.set_next_path
        return recorder.wrap

    began = time.process_time()
    simulation.start(wrapper_for)
    simulation.run(int(seconds * SECOND))
    for each in traces:
        each.close()
    print(
        json.dumps(
            {
                "cpu": time.process_time() - began,
                "writing": sum(each.write_seconds for each in traces),
                "records": sum(each.record_count for each in traces),
                "finals": finals,
            }
        )
    )


def run_all_parts(
    options: argparse.Namespace,
    is_traced: bool,
    gateways: int,
    parts: int,
    max_block_age: int,
    out: str,
) -> dict[str, Any]:
    """Run all parts as parallel processes and return the sums of their counts."""
    os.makedirs(out, exist_ok=True)
    for old in glob.glob(f"{out}/*"):
        os.unlink(old)
    command = [sys.executable, "-m", "benchmarks.trace", "part", options.scenario, out]
    running = [
        subprocess.Popen(
            [
                *command,
                *map(
                    str,
                    (
                        number,
                        parts,
                        gateways // parts,
                        options.rate / parts,
                        options.seconds,
                        max_block_age,
                        int(is_traced),
                    ),
                ),
            ],
            stdout=subprocess.PIPE,
        )
        for number in range(parts)
    ]
    results = [json.loads(each.communicate()[0]) for each in running]
    finals = {
        name: sum(each["finals"][name] for each in results)
        for name in results[0]["finals"]
    }
    return {
        "finals": finals,
        **{
            name: sum(each[name] for each in results)
            for name in ("cpu", "writing", "records")
        },
    }


def sizes(path: str, out: str) -> dict[str, int]:
    """Return the sizes in bytes of the same records in several formats."""
    import zstandard

    plain, packed = 0, f"{out}/lines.zst"
    with TraceReader(path) as trace, open(packed, "wb") as sink:
        with zstandard.ZstdCompressor(level=6).stream_writer(sink) as pack:
            for at, kind, values in trace.records():
                line = (
                    json.dumps(
                        {
                            "at": at,
                            "kind": kind.name,
                            **{
                                name: value
                                for (name, _), value in zip(kind.fields, values)
                            },
                        }
                    ).encode()
                    + b"\n"
                )
                plain += len(line)
                pack.write(line)
    convert_trace(path, f"{out}/parquet", "parquet")
    return {
        "json lines": plain,
        "json lines, zstandard 6": os.path.getsize(packed),
        "parquet, zstandard": sum(
            os.path.getsize(each) for each in glob.glob(f"{out}/parquet/*.parquet")
        ),
        "trace": os.path.getsize(path),
    }


def timed(what: str, call: Callable[[], Any]) -> Any:
    began = time.perf_counter()
    found = call()
    print(f"{what}: {time.perf_counter() - began:.2f} s, {found}", flush=True)
    return found


def hour(options: argparse.Namespace) -> None:
    os.makedirs(options.out, exist_ok=True)
    untraced = run_all_parts(
        options,
        False,
        options.gateways,
        options.parts,
        MAX_BLOCK_AGE,
        f"{options.out}/bare",
    )
    count = sum(untraced["finals"].values())
    print(
        f"{options.gateways} gateways without traces: {count} requests, {untraced['cpu'] / count * 1e6:.0f} us of CPU time each",
        flush=True,
    )
    for seconds in (5, 60):
        traced = run_all_parts(
            options,
            True,
            options.gateways,
            options.parts,
            seconds * SECOND,
            f"{options.out}/edges-{seconds}",
        )
        files = sorted(glob.glob(f"{options.out}/edges-{seconds}/*.mtrace"))
        size = sum(map(os.path.getsize, files))
        count = sum(traced["finals"].values())
        print(
            f"blocks of {seconds} s: {traced['finals']}, {traced['records']} records, {size} bytes in {len(files)} files, "
            f"{size / traced['records']:.2f} bytes per record; {traced['writing'] / count * 1e6:.1f} us of CPU time per request to "
            f"write, {traced['records'] / max(traced['writing'], 1e-9):.0f} records per second; "
            f"{traced['cpu'] / count * 1e6:.0f} us per request in total",
            flush=True,
        )
    files, merged = (
        sorted(glob.glob(f"{options.out}/edges-5/*.mtrace")),
        f"{options.out}/merged.mtrace",
    )
    if os.path.exists(merged):
        os.unlink(merged)
    tool = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.trace", "merge", merged, *files],
        stdout=subprocess.PIPE,
    )
    print(tool.communicate()[0].decode().strip(), flush=True)
    print("sizes in bytes of the merged trace:", sizes(merged, options.out), flush=True)
    size = os.path.getsize(merged)
    with TraceReader(merged) as trace:
        last = max(each.last_time for each in trace.contents.blocks)
        volumes = sorted(
            trace.contents.volume_blocks or {},
            key=lambda each: len(trace.contents.volume_blocks[each]),
        )  # type: ignore[index]
    minute = (last // 2, last // 2 + 60 * SECOND)
    for what, terms in (
        ("a minute", RecordFilter(since=minute[0], until=minute[1])),
        (
            "a volume in a minute",
            RecordFilter(since=minute[0], until=minute[1], volume=volumes[-1]),
        ),
        ("the volume in the fewest blocks", RecordFilter(volume=volumes[0])),
    ):
        out = f"{options.out}/cut.mtrace"
        if os.path.exists(out):
            os.unlink(out)
        result: CutResult = timed(
            f"cut of {what}", lambda: cut_trace(merged, out, terms)
        )
        print(
            f"  {result.records} records, {result.bytes_read / size:.2%} of the bytes read"
        )


def merge(out: str, *files: str) -> None:
    began = time.perf_counter()
    result = merge_traces(list(files), out)
    print(
        f"merge of {len(files)} files: {result.records} records, {time.perf_counter() - began:.0f} s, peak memory "
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB, {os.path.getsize(out)} bytes"
    )


# --- Kills.


def run_kills(count: int, seed: int) -> None:
    """Kill one gateway repeatedly at random times under load.

    After each kill, each trace file is verified: it must still have the records of all
    blocks that were complete before the kill, and no damage except at its end.
    """
    from benchmarks.gateway import Bench

    rng, lost, files, files_without_end, records = Random(seed), 0, 0, 0, 0
    with (
        tempfile.TemporaryDirectory() as folder,
        Bench(trace=folder, block_s=0.2) as bench,
    ):
        for _ in range(count):
            bench.wait_until_listening()
            client = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.gateway",
                    "client",
                    str(bench.port),
                    "4",
                    "4",
                    "500",
                    "30",
                ],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            time.sleep(rng.uniform(0.8, 2.5))
            seen = {
                each: complete_records(each) for each in glob.glob(f"{folder}/*.mtrace")
            }
            bench.gateway.kill()
            bench.gateway.wait()
            client.kill()
            client.wait()
            for each in glob.glob(f"{folder}/*.mtrace"):
                found, files = verify(each), files + 1
                found_records = sum(head.record_count for head in found.blocks)
                records += found_records
                files_without_end += found.state is not FileState.WHOLE
                inner_damage = [
                    gap
                    for gap in found.damage
                    if gap.offset + gap.size < os.path.getsize(each)
                ]
                lost += found_records < seen.get(each, 0) or bool(inner_damage)
                os.unlink(each)
            bench.restart()
    print(
        json.dumps(
            {
                "kills": count,
                "files": files,
                "without an end": files_without_end,
                "records": records,
                "lost": lost,
            }
        )
    )


def complete_records(path: str) -> int:
    """Return the number of records in the complete blocks of a file."""
    try:
        with TraceReader(path) as trace:
            return sum(each.record_count for each in trace.contents.blocks)
    except Exception:  # the header is not complete yet
        return 0


def kills(count: int, parts: int) -> None:
    running = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.trace",
                "killing",
                str(count // parts),
                str(seed),
            ],
            stdout=subprocess.PIPE,
        )
        for seed in range(parts)
    ]
    results = [json.loads(each.communicate()[0]) for each in running]
    print({name: sum(each[name] for each in results) for name in results[0]})


def main() -> None:
    arguments = sys.argv[1:]
    if arguments[:1] == ["part"]:
        path, out, number, part_count, gateways, rate, seconds, age, is_traced = (
            arguments[1:]
        )
        return run_part(
            path,
            out,
            int(number),
            int(part_count),
            int(gateways),
            float(rate),
            float(seconds),
            int(age),
            bool(int(is_traced)),
        )
    if arguments[:1] == ["merge"]:
        return merge(*arguments[1:])
    if arguments[:1] == ["killing"]:
        return run_kills(int(arguments[1]), int(arguments[2]))
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("hour", "kills"))
    parser.add_argument("scenario", nargs="?")
    parser.add_argument("--out", default="out/trace")
    for name, kind, default in (
        ("gateways", int, 150),
        ("rate", float, 580.0),
        ("seconds", float, 3600.0),
        ("parts", int, 6),
        ("count", int, 200),
    ):
        parser.add_argument(f"--{name}", type=kind, default=default)
    options = parser.parse_args()
    if options.what == "hour":
        hour(options)
    else:
        kills(options.count, options.parts)


if __name__ == "__main__":
    main()
