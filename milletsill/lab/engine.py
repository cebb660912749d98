"""Models the processing time of a stand-in disk node.

The model covers cores, slots, a queue, cold starts, crashes from overload, pauses and
deferred writes. It runs on any clock: callers pass `now` in seconds. `Engine.take` adds
a job; `Engine.advance` works up to a time and returns the jobs that ended. The jobs in
slots share the processor; behind them, a first-in-first-out queue holds the others.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from typing import Any

# Tolerance before a cold node crashes, in seconds of the work of all its cores, since
# the cost of requests varies at random.
CRASH_SLACK_S = 0.5


@dataclass(eq=False)
class Job:
    """An attempt that the node processes.

    `left` is the remaining work in seconds of one core at speed 1. `what` is the
    caller's value for the attempt, or None for the engine's own flush of deferred
    writes. `expires` is when the attempt's deadline passes.
    """

    left: float
    what: Any
    expires: float
    cancelled: bool = False


@dataclass
class Speed:
    """The current effect of injected faults on a node's speed."""

    slow: float = 1.0  # divides the speed
    taken: float = 0.0  # share of the machine that other programs use
    still_until: float = 0.0  # no work is done before


class Engine:
    """The work of one node since its last start."""

    def __init__(
        self,
        kind: Any,
        rules: Any,
        random: Random,
        now: float,
        cold: bool,
        speed: Speed,
    ) -> None:
        self.kind, self.random, self.speed = kind, random, speed
        self.started = now if cold else now - kind.cold_s
        self.at, self.next_pause, self.next_flush = (
            now,
            now + self.random_delay(kind.pause_every_s),
            now + kind.flush_s,
        )
        self.working: list[Job] = []
        self.queue: deque[Job] = deque()
        self.deferred_work, self.done_work = 0.0, 0.0
        self.extents: OrderedDict[int, None] = OrderedDict()
        self.cold_multiple, self.window, self.cold_units = (
            rules.cold_multiple,
            rules.cold_window_ms / 1000,
            rules.cold_units,
        )
        # Time, work and units of each attempt in the window while the node is cold.
        self.recent_load: deque[tuple[float, float, float]] = deque()
        self.crashed = False

    def random_delay(self, mean: float) -> float:
        return self.random.uniform(0.5, 1.5) * mean if mean else 1e18

    def warmth(self, now: float) -> float:
        """Return the share of its full capacity that the node has at a time.

        The share rises linearly from `cold_from` to 1 during `cold_s` seconds after the
        start.
        """
        kind = self.kind
        age = (now - self.started) / kind.cold_s if kind.cold_s else 1.0
        return min(kind.cold_from + (1 - kind.cold_from) * age, 1.0)

    def capacity(self, now: float) -> float:
        """Return the seconds of work that the node does per second.

        The number of jobs above `knee` reduces it, by the share `thrash` at most.
        """
        kind, held = self.kind, len(self.working) + len(self.queue)
        over = min(max(held / kind.knee - 1, 0.0), 1.0) if kind.knee else 0.0
        return (
            kind.cores
            * kind.speed
            * (1 - self.speed.taken)
            * (1 - kind.thrash * over)
            / self.speed.slow
            * (self.warmth(now))
        )

    def take(
        self,
        now: float,
        work: float,
        units: float,
        extent: int,
        first: bool,
        write: bool,
        expires: float,
        what: Any,
    ) -> Job | None:
        """Add a job and return it; return None where the queue is full.

        A first attempt on a remembered extent costs less by the share `seek`. The share
        `defer` of a write's work is deferred until the next flush.
        """
        if first and extent in self.extents:
            work *= 1 - self.kind.seek
        self.extents[extent] = None
        self.extents.move_to_end(extent)
        while len(self.extents) > self.kind.remembers:
            self.extents.popitem(last=False)
        self.check_overload(now, work, units)
        if write:
            self.deferred_work, work = (
                self.deferred_work + work * self.kind.defer,
                work * (1 - self.kind.defer),
            )
        job = Job(work, what, expires)
        if len(self.working) < self.kind.slots:
            self.working.append(job)
        elif len(self.queue) < self.kind.queue:
            self.queue.append(job)
        else:
            return None
        return job

    def check_overload(self, now: float, work: float, units: float) -> None:
        """Crash if the node is cold and has got too much work within the window.

        The limit is a multiple of the work that the node can do within the window.
        Windows of at most `cold_units` units never cause a crash.
        """
        if self.warmth(now) >= 1 or not self.window:
            return
        self.recent_load.append((now, work, units))
        while self.recent_load[0][0] < now - self.window:
            self.recent_load.popleft()
        limit = (
            self.cold_multiple * self.capacity(now) * self.window
            + CRASH_SLACK_S * self.kind.cores
        )
        if (
            sum(each[2] for each in self.recent_load) > self.cold_units
            and sum(each[1] for each in self.recent_load) > limit
        ):
            self.crashed = True

    def cancel(self, job: Job) -> None:
        """Cancel a job whose client no longer waits.

        The node's kind decides whether that removes only queued jobs, all jobs or none.
        """
        job.cancelled = True
        if self.kind.cancel in ("queued", "all") and job in self.queue:
            self.queue.remove(job)
        elif self.kind.cancel == "all" and job in self.working:
            self.working.remove(job)

    def rate(self, now: float) -> float:
        """Return the work per second that each job in a slot gets."""
        if now < self.speed.still_until or not self.working:
            return 0.0
        return min(
            self.capacity(now) / len(self.working), self.kind.speed / self.speed.slow
        )

    def advance(self, now: float) -> list[Job]:
        """Work until `now`, and return the jobs that ended, in order."""
        ended: list[Job] = []
        while True:
            self.fill()
            self.pause()
            step, soon = now - self.at, None
            rate = self.rate(self.at)
            if rate > 0 and self.working:
                soon = min(self.working, key=lambda each: each.left)
                step = min(step, soon.left / rate)
            elif self.at < self.speed.still_until:
                step = min(step, self.speed.still_until - self.at)
            step = min(
                [step]
                + [
                    at - self.at
                    for at in (self.next_pause, self.next_flush)
                    if at > self.at
                ]
            )
            for each in self.working:
                each.left -= rate * step
            self.at += step
            if soon is not None and soon.left <= 1e-9:
                self.working.remove(soon)
                ended.append(soon)
            elif self.at >= now - 1e-9:
                self.at = max(self.at, now)
                return ended

    def pause(self) -> None:
        """Start a pause or a flush that is due.

        A flush does all deferred work of writes as one job.
        """
        if self.at >= self.next_pause:
            self.next_pause = self.at + self.random_delay(self.kind.pause_every_s)
            self.speed.still_until = max(
                self.speed.still_until, self.at + self.kind.pause_ms / 1000
            )
        if self.at >= self.next_flush:
            self.next_flush = self.at + self.kind.flush_s
            if self.deferred_work:
                self.working.append(Job(self.deferred_work, None, 1e18))
                self.deferred_work = 0.0

    def fill(self) -> None:
        """Move jobs from the head of the queue into free slots.

        Expired jobs are discarded if the node's kind has `drops_expired`.
        """
        while self.queue and len(self.working) < self.kind.slots:
            job = self.queue.popleft()
            if not (self.kind.drops_expired and self.at >= job.expires):
                self.working.append(job)

    def soonest(self, now: float) -> float:
        """Return the seconds until a job may end or a pause ends.

        The result is at most 0.25 s outside a pause, and 1 s where nothing runs.
        """
        if now < self.speed.still_until:
            return self.speed.still_until - now
        rate = self.rate(now)
        if not rate:
            return 1.0
        return max(min(min(each.left for each in self.working) / rate, 0.25), 0.0005)
