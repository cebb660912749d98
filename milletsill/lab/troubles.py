"""Troubles of edges and planner: when each is to be done, and the doing of it, noted for the audit."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from random import Random
from typing import Any

from milletsill.lab.fault_timeline import ProcessFault
from milletsill.lab.processes import Group

OF_EDGES = (
    "balancer_crash",
    "balancer_roll",
    "balancer_stall",
    "balancer_leave",
    "balancer_lost",
    "balancer_old",
    "balancer_full",
)
OF_KILLS = ("balancer_crash", "balancer_lost", "balancer_old")
OF_PLANNER = ("planner_crash", "planner_stall", "planner_old")


class Troubles:
    """What a scenario does to the processes of a run."""

    def __init__(self, run: Any) -> None:
        self.run, self.chance = run, Random(run.scenario.seed + 3)
        self.actions: list[tuple[float, Callable[[], None]]] = []
        self.stops: list[
            tuple[str, float, float]
        ] = []  # (edge, from, to): stopped, so not running
        self.stopped: dict[str, float] = {}
        self.process_faults: list[ProcessFault] = []
        self.start = 0.0

    def plan(self, start: float) -> None:
        self.start = start
        for each in self.run.scenario.trouble:
            if (
                each.what in OF_EDGES
                or each.what in OF_PLANNER
                and self.run.planner is not None
            ):
                getattr(self, f"plan_{each.what}")(start + each.at_s, each)
        self.actions.sort(key=lambda each: each[0])

    def play(self, now: float) -> None:
        """All that is due."""
        while self.actions and self.actions[0][0] <= now:
            self.actions.pop(0)[1]()

    def chosen(self, trouble: Any) -> list[Group]:
        groups = self.run.groups
        found = [groups[each] for each in trouble.on if each < len(groups)]
        if not trouble.on:
            found = self.chance.sample(
                groups, min(max(round(trouble.part * len(groups)), 1), len(groups))
            )
        self.process_faults.append(
            ProcessFault(
                trouble.what,
                self.start + trouble.at_s,
                trouble.for_s,
                trouble.extra,
                [name for each in found for name in each.names],
            )
        )
        return found

    def plan_balancer_crash(self, at: float, trouble: Any) -> None:
        """Killed outright, back after `for_s` with the state it had."""
        for each in self.chosen(trouble):
            self.actions += [(at, each.kill), (at + trouble.for_s, each.start)]

    def plan_balancer_lost(self, at: float, trouble: Any) -> None:
        """Killed outright, back after `for_s` without its state."""
        for each in self.chosen(trouble):
            self.actions += [
                (at, each.kill),
                (at + 0.02, each.lose_state),
                (at + trouble.for_s, each.start),
            ]

    def plan_balancer_old(self, at: float, trouble: Any) -> None:
        """Killed outright, back after `for_s` with the state it had `extra` seconds before."""
        for each in self.chosen(trouble):
            self.actions += [
                (at - trouble.extra, each.copy_state),
                (at, each.kill),
                (at + 0.02, each.old_state),
                (at + trouble.for_s, each.start),
            ]

    def plan_balancer_leave(self, at: float, trouble: Any) -> None:
        """SIGTERM, back after `for_s`, when it is killed if it still runs."""
        for each in self.chosen(trouble):
            self.actions += [
                (at, lambda each=each: each.signal(signal.SIGTERM)),
                (at + trouble.for_s, each.kill),
                (at + trouble.for_s, each.start),
            ]

    def plan_balancer_full(self, at: float, trouble: Any) -> None:
        """No file of it takes a write for `for_s`."""
        for each in self.chosen(trouble):
            self.actions += [
                (at, lambda each=each: each.fill_disk(True)),
                (at + trouble.for_s, lambda each=each: each.fill_disk(False)),
            ]

    def plan_balancer_roll(self, at: float, trouble: Any) -> None:
        """One after another within `for_s`, each away for `extra` seconds."""
        chosen = self.chosen(trouble)
        for place, each in enumerate(chosen):
            when = at + trouble.for_s * place / len(chosen)
            self.actions += [(when, each.kill), (when + trouble.extra, each.start)]

    def plan_balancer_stall(self, at: float, trouble: Any) -> None:
        """Stopped for `size` milliseconds, every `extra` seconds."""
        for each in self.chosen(trouble):
            when = at
            while when < at + trouble.for_s:
                self.actions += [
                    (when, lambda each=each: self.stop(each)),
                    (when + trouble.size / 1000, lambda each=each: self.go_on(each)),
                ]
                when += max(
                    trouble.extra, trouble.size / 1000 + 0.1
                ) * self.chance.uniform(0.7, 1.3)

    def stop(self, group: Group) -> None:
        group.signal(signal.SIGSTOP)
        self.stopped[group.name] = time.monotonic()

    def go_on(self, group: Group) -> None:
        """The span is what it was, not what was planned: this process may be late itself."""
        group.signal(signal.SIGCONT)
        since = self.stopped.pop(group.name, None)
        if since is not None:
            self.stops += [(name, since, time.monotonic()) for name in group.names]

    def plan_planner_crash(self, at: float, trouble: Any) -> None:
        """Killed, back after `for_s`."""
        planner = self.run.planner
        self.actions += [(at, planner.kill), (at + trouble.for_s, planner.start)]

    def plan_planner_stall(self, at: float, trouble: Any) -> None:
        """Stopped for `for_s`, then all at once."""
        planner = self.run.planner
        self.actions += [
            (at, lambda: planner.signal(signal.SIGSTOP)),
            (at + trouble.for_s, lambda: planner.signal(signal.SIGCONT)),
        ]

    def plan_planner_old(self, at: float, trouble: Any) -> None:
        """Killed, back with an old state, and after `for_s` with the true one."""
        planner = self.run.planner
        self.actions += [
            (at, planner.kill),
            (at + 0.01, planner.start_old),
            (at + trouble.for_s, planner.start_again),
        ]
