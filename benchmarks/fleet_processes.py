"""Real gateways of one fleet under faults: `python -m benchmarks.fleet_view processes`.

Times are read from their own logs.
"""

from __future__ import annotations

import signal
import tempfile
import time
from random import Random

from milletsill.lab.fleet_processes import FleetProcesses, logged_at

MOST = 60.0  # seconds


def play(count: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        fleet = FleetProcesses(folder, count)
        try:
            faults(fleet, count)
        finally:
            fleet.close()


def tell(
    fleet: FleetProcesses,
    what: str,
    among: list[int],
    since: float,
    joined: int | None = None,
) -> None:
    """Seconds since an order.

    With `joined`, since that gateway's own first word about its fleet.
    """
    done = fleet.wait(lambda: fleet.views_agree(among, since), MOST)
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
        f"{what:44}"
        + (
            f"nine in ten {times[int(0.9 * (len(times) - 1))]:.2f} s, all {times[-1]:.2f} s"
            if done
            else "never"
        ),
        flush=True,
    )


def gone_said(fleet: FleetProcesses, among: list[int]) -> int:
    return sum(
        each["event"] == "member" and each["change"] == "gone"
        for number in among
        for each in fleet.log(number)
    )


def faults(fleet: FleetProcesses, count: int) -> None:
    rest, last = list(range(count - 1)), count - 1
    print(f"{count} processes on one machine")
    began = time.time()
    for each in rest:
        fleet.start(each)
    tell(fleet, f"{count - 1} start together (from the orders)", rest, began)
    began = time.time()
    fleet.start(last)
    tell(fleet, "one more joins (from its first word)", rest + [last], began, last)
    began = time.time()
    fleet.end(last)
    tell(fleet, "it is killed", rest, began)
    fleet.delete_state(last)
    began = time.time()
    fleet.start(last)
    tell(fleet, "it is back, its state lost (first word)", rest + [last], began, last)
    lost = sum(each.get("error") == "IncarnationLostError" for each in fleet.log(last))
    print(f"  it said LostState {lost} times")
    before, chance, stalls = gone_said(fleet, rest + [last]), Random(1), 0
    ends = time.monotonic() + 60
    due = {each: time.monotonic() + chance.uniform(0, 3) for each in rest}
    standing: dict[int, float] = {}
    while time.monotonic() < ends or standing:
        now = time.monotonic()
        for number in [each for each, until in standing.items() if until <= now]:
            del standing[number]
            fleet.send(number, signal.SIGCONT)
        for number in [each for each, at in due.items() if at <= now < ends]:
            fleet.send(number, signal.SIGSTOP)
            span = chance.uniform(0.66, 1.2)
            standing[number], due[number], stalls = (
                now + span,
                now + span + chance.uniform(0.8, 2.8),
                stalls + 1,
            )
        time.sleep(0.01)
    print(
        f"a minute of {stalls} stalls of 0.66 to 1.2 s: members declared gone {gone_said(fleet, rest + [last]) - before}",
        flush=True,
    )
    began = time.time()
    code = fleet.end(last, signal.SIGTERM)
    tell(fleet, f"one leaves by SIGTERM (status {code})", rest, began)
