"""Schedules and injects faults of gateway and planner processes.

It records them for the audit.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from random import Random
from typing import Any

from milletsill.lab.fault_timeline import ProcessFault
from milletsill.lab.processes import GatewayGroupProcess

GATEWAY_FAULTS = (
    "balancer_crash",
    "balancer_roll",
    "balancer_stall",
    "balancer_leave",
    "balancer_lost",
    "balancer_old",
    "balancer_full",
)
KILL_FAULTS = ("balancer_crash", "balancer_lost", "balancer_old")
PLANNER_FAULTS = ("planner_crash", "planner_stall", "planner_old")


class ProcessFaultInjector:
    """Injects a scenario's faults into the processes of a run, and records them."""

    def __init__(self, run: Any) -> None:
        self.run, self.random = run, Random(run.scenario.seed + 3)
        self.actions: list[tuple[float, Callable[[], None]]] = []
        # (gateway, from, to): its process was stopped, or had no processor core
        self.stops: list[tuple[str, float, float]] = []
        self.stopped: dict[str, float] = {}
        self.process_faults: list[ProcessFault] = []
        self.start = 0.0

    def plan(self, start: float) -> None:
        self.start = start
        for each in self.run.scenario.trouble:
            if (
                each.what in GATEWAY_FAULTS
                or each.what in PLANNER_FAULTS
                and self.run.planner is not None
            ):
                getattr(self, f"plan_{each.what}")(start + each.at_s, each)
        self.actions.sort(key=lambda each: each[0])

    def play(self, now: float) -> None:
        """Carry out all actions that are due."""
        while self.actions and self.actions[0][0] <= now:
            self.actions.pop(0)[1]()

    def choose_groups(self, fault: Any) -> list[GatewayGroupProcess]:
        groups = self.run.groups
        found = [groups[each] for each in fault.on if each < len(groups)]
        if not fault.on:
            found = self.random.sample(
                groups, min(max(round(fault.part * len(groups)), 1), len(groups))
            )
        self.process_faults.append(
            ProcessFault(
                fault.what,
                self.start + fault.at_s,
                fault.for_s,
                fault.extra,
                [name for each in found for name in each.names],
            )
        )
        return found

    def plan_balancer_crash(self, at: float, fault: Any) -> None:
        """Kill with SIGKILL, restart after `for_s` with the same state."""
        for each in self.choose_groups(fault):
            self.actions += [(at, each.kill), (at + fault.for_s, each.start)]

    def plan_balancer_lost(self, at: float, fault: Any) -> None:
        """Kill with SIGKILL, restart after `for_s` without state."""
        for each in self.choose_groups(fault):
            self.actions += [
                (at, each.kill),
                (at + 0.02, each.delete_state),
                (at + fault.for_s, each.start),
            ]

    def plan_balancer_old(self, at: float, fault: Any) -> None:
        """Kill with SIGKILL, restart after `for_s` with state `extra` seconds older."""
        for each in self.choose_groups(fault):
            self.actions += [
                (at - fault.extra, each.copy_state),
                (at, each.kill),
                (at + 0.02, each.restore_state_copy),
                (at + fault.for_s, each.start),
            ]

    def plan_balancer_leave(self, at: float, fault: Any) -> None:
        """Send SIGTERM; after `for_s` kill the process if it still runs, and restart."""
        for each in self.choose_groups(fault):
            self.actions += [
                (at, lambda each=each: each.signal(signal.SIGTERM)),
                (at + fault.for_s, each.kill),
                (at + fault.for_s, each.start),
            ]

    def plan_balancer_full(self, at: float, fault: Any) -> None:
        """Make all file writes of the process fail for `for_s`."""
        for each in self.choose_groups(fault):
            self.actions += [
                (at, lambda each=each: each.fill_disk(True)),
                (at + fault.for_s, lambda each=each: each.fill_disk(False)),
            ]

    def plan_balancer_roll(self, at: float, fault: Any) -> None:
        """Kill one after another within `for_s`; restart each after `extra` seconds."""
        chosen = self.choose_groups(fault)
        for place, each in enumerate(chosen):
            when = at + fault.for_s * place / len(chosen)
            self.actions += [(when, each.kill), (when + fault.extra, each.start)]

    def plan_balancer_stall(self, at: float, fault: Any) -> None:
        """Stop for `size` milliseconds, about every `extra` seconds."""
        for each in self.choose_groups(fault):
            when = at
            while when < at + fault.for_s:
                self.actions += [
                    (when, lambda each=each: self.stop(each)),
                    (when + fault.size / 1000, lambda each=each: self.resume(each)),
                ]
                when += max(fault.extra, fault.size / 1000 + 0.1) * self.random.uniform(
                    0.7, 1.3
                )

    def stop(self, group: GatewayGroupProcess) -> None:
        group.signal(signal.SIGSTOP)
        self.stopped[group.name] = time.monotonic()

    def resume(self, group: GatewayGroupProcess) -> None:
        """Resume a stopped process and record how long it was stopped.

        The actual time counts, not the planned one: this process may run late itself.
        """
        group.signal(signal.SIGCONT)
        since = self.stopped.pop(group.name, None)
        if since is not None:
            self.stops += [(name, since, time.monotonic()) for name in group.names]

    def plan_planner_crash(self, at: float, fault: Any) -> None:
        """Kill the planner, restart it after `for_s`."""
        planner = self.run.planner
        self.actions += [(at, planner.kill), (at + fault.for_s, planner.start)]

    def plan_planner_stall(self, at: float, fault: Any) -> None:
        """Stop the planner for `for_s`; afterwards it handles all pending input at once."""
        planner = self.run.planner
        self.actions += [
            (at, lambda: planner.signal(signal.SIGSTOP)),
            (at + fault.for_s, lambda: planner.signal(signal.SIGCONT)),
        ]

    def plan_planner_old(self, at: float, fault: Any) -> None:
        """Kill the planner, restart it with old state, after `for_s` with the current."""
        planner = self.run.planner
        self.actions += [
            (at, planner.kill),
            (at + 0.01, planner.start_with_old_state),
            (at + fault.for_s, planner.restart_with_current_state),
        ]
