"""What traces cost.

An hour of a fleet on a simulated clock, and kills at chance moments. What they cost an
edge: `python -m benchmarks.gateway pairs --of trace`.

    python -m benchmarks.trace hour SCENARIO --out DIR [--gateways 150 --rate 580 --seconds 3600 --parts 6]
    python -m benchmarks.trace kills [--count 200 --parts 5]

`hour` plays the scenario's traffic through the real modules (lab/traffic_simulation.py),
writes a trace for each gateway, then measures sizes against other formats, a cut of a minute
and of a store, and the merge of all. Simulated: no sockets, no real time.
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


# --- The hour.


class TimedTrace(SimulationTrace):
    """The time that writing takes is counted."""

    def __init__(self, path: str, about: dict[str, Any], age: int) -> None:
        super().__init__(path, about, age)
        self.count, self.cpu = 0, 0.0

    def put(self, name: str, at: int, *values: Any) -> None:
        self.count += 1
        super().put(name, at, *values)

    def flush(self) -> None:
        began = time.process_time()
        super().flush()
        self.cpu += time.process_time() - began

    def close(self) -> None:
        began = time.process_time()
        super().close()
        self.cpu += time.process_time() - began


def part(
    path: str,
    out: str,
    number: int,
    of: int,
    gateways: int,
    rate: float,
    seconds: float,
    age: int,
    traced: bool,
) -> None:
    """One process's gateways; prints what it counted."""
    from milletsill.lab.traffic_simulation import TrafficSimulation, scenario_part
    from milletsill.trace.recorder import CommandRecord, TraceRecorder

    with open(path, encoding="utf-8") as source:
        scenario = scenario_part(
            text_format.Parse(source.read(), Scenario()), number, of
        )
    fleet = TrafficSimulation(scenario, gateways, rate, scenario.seed)
    taps, names, finals = (
        [],
        [each.name for each in fleet.volumes],
        {"satisfied": 0, "declined": 0, "aborted": 0},
    )

    def around(gateway: Any) -> Callable[[Any], Any]:
        def told(now: int, transfer: Any, final: str) -> None:
            finals[final] += 1
            if traced:
                arrival = transfer.request
                command = CommandRecord(
                    began=transfer.received_at,
                    volume=names[arrival.volume - 1],
                    service_plan=arrival.service_plan,
                    request_class=arrival.request_class,
                    operation=transfer.operation,
                    units=arrival.units,
                    requests=1,
                    attempts=0,
                    answer=final,
                    reason="",
                )
                recorder.record_command(now, command)

        gateway.on_final = told
        if not traced:
            return lambda make: make
        name = f"edge-{number * gateways + gateway.place:03d}"
        tap = TimedTrace(
            f"{out}/{name}.mtrace",
            {
                "name": name,
                "seed": gateway.seed,
                "facts": to_stored(gateway.config),
                "opened": 0,
                "wall_ms": 1_700_000_000_000,
                "made": 0,
                "volumes": [[each.name, each.plan] for each in fleet.volumes],
            },
            age,
        )
        taps.append(tap)
        recorder = TraceRecorder(tap, names)
        gateway.on_path = recorder.set_next_path
        return recorder.wrap

    began = time.process_time()
    fleet.start(around)
    fleet.run(int(seconds * SECOND))
    for each in taps:
        each.close()
    print(
        json.dumps(
            {
                "cpu": time.process_time() - began,
                "writing": sum(each.cpu for each in taps),
                "records": sum(each.count for each in taps),
                "finals": finals,
            }
        )
    )


def whole(
    given: argparse.Namespace,
    traced: bool,
    gateways: int,
    parts: int,
    age: int,
    out: str,
) -> dict[str, Any]:
    """All parts at once; their sums."""
    os.makedirs(out, exist_ok=True)
    for old in glob.glob(f"{out}/*"):
        os.unlink(old)
    words = [sys.executable, "-m", "benchmarks.trace", "part", given.scenario, out]
    running = [
        subprocess.Popen(
            [
                *words,
                *map(
                    str,
                    (
                        number,
                        parts,
                        gateways // parts,
                        given.rate / parts,
                        given.seconds,
                        age,
                        int(traced),
                    ),
                ),
            ],
            stdout=subprocess.PIPE,
        )
        for number in range(parts)
    ]
    told = [json.loads(each.communicate()[0]) for each in running]
    finals = {
        name: sum(each["finals"][name] for each in told) for name in told[0]["finals"]
    }
    return {
        "finals": finals,
        **{
            name: sum(each[name] for each in told)
            for name in ("cpu", "writing", "records")
        },
    }


def sizes(path: str, out: str) -> dict[str, int]:
    """The same records in other formats."""
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


def hour(given: argparse.Namespace) -> None:
    os.makedirs(given.out, exist_ok=True)
    bare = whole(
        given, False, given.gateways, given.parts, MAX_BLOCK_AGE, f"{given.out}/bare"
    )
    count = sum(bare["finals"].values())
    print(
        f"{given.gateways} gateways without a trace: {count} transfers, {bare['cpu'] / count * 1e6:.0f} us of processor each",
        flush=True,
    )
    for seconds in (5, 60):
        made = whole(
            given,
            True,
            given.gateways,
            given.parts,
            seconds * SECOND,
            f"{given.out}/edges-{seconds}",
        )
        files = sorted(glob.glob(f"{given.out}/edges-{seconds}/*.mtrace"))
        size = sum(map(os.path.getsize, files))
        count = sum(made["finals"].values())
        print(
            f"blocks of {seconds} s: {made['finals']}, {made['records']} records, {size} bytes in {len(files)} files, "
            f"{size / made['records']:.2f} bytes a record; {made['writing'] / count * 1e6:.1f} us of processor a transfer to "
            f"write, {made['records'] / max(made['writing'], 1e-9):.0f} records a second; "
            f"{made['cpu'] / count * 1e6:.0f} us a transfer in all",
            flush=True,
        )
    files, merged = (
        sorted(glob.glob(f"{given.out}/edges-5/*.mtrace")),
        f"{given.out}/merged.mtrace",
    )
    if os.path.exists(merged):
        os.unlink(merged)
    tool = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.trace", "merge", merged, *files],
        stdout=subprocess.PIPE,
    )
    print(tool.communicate()[0].decode().strip(), flush=True)
    print("sizes of the whole hour:", sizes(merged, given.out), flush=True)
    size = os.path.getsize(merged)
    with TraceReader(merged) as trace:
        last = max(each.last_time for each in trace.contents.blocks)
        store = sorted(
            trace.contents.volume_blocks or {},
            key=lambda each: len(trace.contents.volume_blocks[each]),
        )  # type: ignore[index]
    minute = (last // 2, last // 2 + 60 * SECOND)
    for what, terms in (
        ("a minute", RecordFilter(since=minute[0], until=minute[1])),
        (
            "a store in a minute",
            RecordFilter(since=minute[0], until=minute[1], volume=store[-1]),
        ),
        ("the rarest store", RecordFilter(volume=store[0])),
    ):
        out = f"{given.out}/cut.mtrace"
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
    told = merge_traces(list(files), out)
    print(
        f"merge of {len(files)} files: {told.records} records, {time.perf_counter() - began:.0f} s, peak memory "
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB, {os.path.getsize(out)} bytes"
    )


# --- Kills.


def killing(count: int, seed: int) -> None:
    """One bench, its edge killed again and again at chance moments under load.

    Each file looked through after each kill.
    """
    from benchmarks.gateway import Bench

    chance, lost, files, open_ends, records = Random(seed), 0, 0, 0, 0
    with (
        tempfile.TemporaryDirectory() as folder,
        Bench(trace=folder, block_s=0.2) as bench,
    ):
        for _ in range(count):
            bench.await_door()
            client = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.gateway",
                    "client",
                    str(bench.door),
                    "4",
                    "4",
                    "500",
                    "30",
                ],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            time.sleep(chance.uniform(0.8, 2.5))
            seen = {each: synced(each) for each in glob.glob(f"{folder}/*.mtrace")}
            bench.edge.kill()
            bench.edge.wait()
            client.kill()
            client.wait()
            for each in glob.glob(f"{folder}/*.mtrace"):
                found, files = verify(each), files + 1
                held = sum(head.record_count for head in found.blocks)
                records += held
                open_ends += found.state is not FileState.WHOLE
                middle = [
                    gap
                    for gap in found.damage
                    if gap.offset + gap.size < os.path.getsize(each)
                ]
                lost += held < seen.get(each, 0) or bool(middle)
                os.unlink(each)
            bench.restart()
    print(
        json.dumps(
            {
                "kills": count,
                "files": files,
                "without an end": open_ends,
                "records": records,
                "lost": lost,
            }
        )
    )


def synced(path: str) -> int:
    """Records of the whole blocks that the file has now."""
    try:
        with TraceReader(path) as trace:
            return sum(each.record_count for each in trace.contents.blocks)
    except Exception:  # a header that is being written
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
    told = [json.loads(each.communicate()[0]) for each in running]
    print({name: sum(each[name] for each in told) for name in told[0]})


def main() -> None:
    words = sys.argv[1:]
    if words[:1] == ["part"]:
        path, out, number, of, gateways, a_second, seconds, age, traced = words[1:]
        return part(
            path,
            out,
            int(number),
            int(of),
            int(gateways),
            float(a_second),
            float(seconds),
            int(age),
            bool(int(traced)),
        )
    if words[:1] == ["merge"]:
        return merge(*words[1:])
    if words[:1] == ["killing"]:
        return killing(int(words[1]), int(words[2]))
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
    given = parser.parse_args()
    if given.what == "hour":
        hour(given)
    else:
        kills(given.count, given.parts)


if __name__ == "__main__":
    main()
