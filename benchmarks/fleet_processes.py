"""Measure membership changes in real gateways: `benchmarks.fleet_view processes`.

Times are taken from the gateways' logs.
"""

from __future__ import annotations

import signal
import tempfile
import time
from random import Random

from milletsill.lab.fleet_processes import FleetProcesses, logged_at

MAX_WAIT_SECONDS = 60.0


def run(count: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        fleet = FleetProcesses(folder, count)
        try:
            run_events(fleet, count)
        finally:
            fleet.close()


def report_agreement(
    fleet: FleetProcesses,
    event: str,
    among: list[int],
    since: float,
    joined: int | None = None,
) -> None:
    """Print how many seconds after `since` the gateways' views agree.

    With `joined`, the time starts at that gateway's last `fleet_joining` log line.
    """
    done = fleet.wait(lambda: fleet.views_agree(among, since), MAX_WAIT_SECONDS)
    if joined is not None:
        since = max(
            [
                logged_at(each)
                for each in fleet.log(joined)
                if each["event"] == "fleet_joining"
            ],
            default=since,
        )
    times = fleet.view_times(among, since)
    print(
        f"{event:44}"
        + (
            f"90% {times[int(0.9 * (len(times) - 1))]:.2f} s, all {times[-1]:.2f} s"
            if done
            else f"not within {MAX_WAIT_SECONDS:.0f} s"
        ),
        flush=True,
    )


def logged_deaths(fleet: FleetProcesses, among: list[int]) -> int:
    return sum(
        each["event"] == "member" and each["change"] == "gone"
        for number in among
        for each in fleet.log(number)
    )


def run_events(fleet: FleetProcesses, count: int) -> None:
    rest, last = list(range(count - 1)), count - 1
    print(f"{count} processes on one machine")
    began = time.time()
    for each in rest:
        fleet.start(each)
    report_agreement(
        fleet, f"{count - 1} start together (from the start commands)", rest, began
    )
    began = time.time()
    fleet.start(last)
    report_agreement(
        fleet, "one more joins (from its join)", rest + [last], began, last
    )
    began = time.time()
    fleet.end(last)
    report_agreement(fleet, "it is killed", rest, began)
    fleet.delete_state(last)
    began = time.time()
    fleet.start(last)
    report_agreement(
        fleet, "it restarts without state (from its join)", rest + [last], began, last
    )
    lost = sum(each.get("error") == "IncarnationLostError" for each in fleet.log(last))
    print(f"  it logged IncarnationLostError {lost} times")
    before, rng, stall_count = logged_deaths(fleet, rest + [last]), Random(1), 0
    deadline = time.monotonic() + 60
    due = {each: time.monotonic() + rng.uniform(0, 3) for each in rest}
    stopped_until: dict[int, float] = {}
    while time.monotonic() < deadline or stopped_until:
        now = time.monotonic()
        for number in [each for each, until in stopped_until.items() if until <= now]:
            del stopped_until[number]
            fleet.send(number, signal.SIGCONT)
        for number in [each for each, at in due.items() if at <= now < deadline]:
            fleet.send(number, signal.SIGSTOP)
            span = rng.uniform(0.66, 1.2)
            stopped_until[number], due[number], stall_count = (
                now + span,
                now + span + rng.uniform(0.8, 2.8),
                stall_count + 1,
            )
        time.sleep(0.01)
    print(
        f"a minute of {stall_count} stalls of 0.66 to 1.2 s: members declared dead {logged_deaths(fleet, rest + [last]) - before}",
        flush=True,
    )
    began = time.time()
    code = fleet.end(last, signal.SIGTERM)
    report_agreement(fleet, f"one leaves by SIGTERM (status {code})", rest, began)
