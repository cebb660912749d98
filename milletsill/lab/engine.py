"""The time a stand-in disk box takes: cores, slots, a queue, cold starts, falling over, pauses, put-off writes.

A model on any clock: `now` is handed in, in seconds. `Engine.take` puts a job in; `advance` works up to a time and
gives the jobs that ended. Processor sharing among the slots in work, a queue in turn of arrival behind them.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from typing import Any

FALL_SLACK = 0.5  # of a second's whole capacity, for chance


@dataclass(eq=False)
class Job:
    """One dispatch in work; `left` in seconds of one core at speed 1."""

    left: float
    what: Any
    expires: float
    gone: bool = False


@dataclass
class Speed:
    """What troubles do to a box."""

    slow: float = 1.0  # divides
    taken: float = 0.0  # share of the machine that another program takes
    still_until: float = 0.0


class Engine:
    """The work of one box since its last start."""

    def __init__(
        self,
        kind: Any,
        rules: Any,
        chance: Random,
        now: float,
        cold: bool,
        speed: Speed,
    ) -> None:
        self.kind, self.chance, self.speed = kind, chance, speed
        self.started = now if cold else now - kind.cold_s
        self.at, self.next_pause, self.next_flush = (
            now,
            now + self.drawn(kind.pause_every_s),
            now + kind.flush_s,
        )
        self.working: list[Job] = []
        self.queue: deque[Job] = deque()
        self.put_off, self.done_work = 0.0, 0.0
        self.extents: OrderedDict[int, None] = OrderedDict()
        self.multiple, self.window, self.borne = (
            rules.cold_multiple,
            rules.cold_window_ms / 1000,
            rules.cold_units,
        )
        self.pushed: deque[tuple[float, float, float]] = deque()  # (time, work, units)
        self.fallen = False

    def drawn(self, mean: float) -> float:
        return self.chance.uniform(0.5, 1.5) * mean if mean else 1e18

    def warmth(self, now: float) -> float:
        """The share of its capacity that a box can do, rising evenly after its start."""
        kind = self.kind
        age = (now - self.started) / kind.cold_s if kind.cold_s else 1.0
        return min(kind.cold_from + (1 - kind.cold_from) * age, 1.0)

    def capacity(self, now: float) -> float:
        """Seconds of work a second."""
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
        """A job, or None where the queue is full. The first dispatch on a remembered extent costs less; a part of a
        write is put off.
        """
        if first and extent in self.extents:
            work *= 1 - self.kind.seek
        self.extents[extent] = None
        self.extents.move_to_end(extent)
        while len(self.extents) > self.kind.remembers:
            self.extents.popitem(last=False)
        self.weigh(now, work, units)
        if write:
            self.put_off, work = (
                self.put_off + work * self.kind.defer,
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

    def weigh(self, now: float, work: float, units: float) -> None:
        """A cold box that is sent more than a multiple of what it can do, kept up for the window, falls over."""
        if self.warmth(now) >= 1 or not self.window:
            return
        self.pushed.append((now, work, units))
        while self.pushed[0][0] < now - self.window:
            self.pushed.popleft()
        bears = (
            self.multiple * self.capacity(now) * self.window
            + FALL_SLACK * self.kind.cores
        )
        if (
            sum(each[2] for each in self.pushed) > self.borne
            and sum(each[1] for each in self.pushed) > bears
        ):
            self.fallen = True

    def cancel(self, job: Job) -> None:
        """Nobody waits: what that stops is the kind's."""
        job.gone = True
        if self.kind.cancel in ("queued", "all") and job in self.queue:
            self.queue.remove(job)
        elif self.kind.cancel == "all" and job in self.working:
            self.working.remove(job)

    def rate(self, now: float) -> float:
        """Work a second for each job in a slot."""
        if now < self.speed.still_until or not self.working:
            return 0.0
        return min(
            self.capacity(now) / len(self.working), self.kind.speed / self.speed.slow
        )

    def advance(self, now: float) -> list[Job]:
        """Work until now; the jobs that ended, in order."""
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
        """The box's own pauses, and the work put off, done in one go."""
        if self.at >= self.next_pause:
            self.next_pause = self.at + self.drawn(self.kind.pause_every_s)
            self.speed.still_until = max(
                self.speed.still_until, self.at + self.kind.pause_ms / 1000
            )
        if self.at >= self.next_flush:
            self.next_flush = self.at + self.kind.flush_s
            if self.put_off:
                self.working.append(Job(self.put_off, None, 1e18))
                self.put_off = 0.0

    def fill(self) -> None:
        """The head of the queue into free slots; what has expired is not begun where the kind says so."""
        while self.queue and len(self.working) < self.kind.slots:
            job = self.queue.popleft()
            if not (self.kind.drops_expired and self.at >= job.expires):
                self.working.append(job)

    def soonest(self, now: float) -> float:
        """Seconds until something may end."""
        if now < self.speed.still_until:
            return self.speed.still_until - now
        rate = self.rate(now)
        if not rate:
            return 1.0
        return max(min(min(each.left for each in self.working) / rate, 0.25), 0.0005)
