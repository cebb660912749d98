"""Compare admission rules for a node in slow start, for gateways without coordination.

Prints exact probabilities that the gateways together overload the node, and results of
simulations of several rules.

    python -m benchmarks.cold_bound [--runs 300]

Times are in slow-start windows. N is the slow-start budget of one window when the node
starts, in requests of mean work; it grows to five times that over 15 windows. The
overload limit is N + 2 sqrt(N) + 2, with N at the window's start. The benchmark models
the rules itself and runs no code of the gateway.
"""

from __future__ import annotations

import argparse
from bisect import bisect_left
from math import exp, lgamma, log, sqrt
from random import Random

WARM_UP, GROWTH, HISTORY, MAX_QUEUE_TIME, MAX_SEND_DELAY = (
    15.0,
    5.0,
    60.0,
    1.5,
    0.25,
)  # the last two: longest time in the queue, longest delay of an attempt, in windows
MAX_OVERLOAD_CHANCE = 1e-6
DRAWN_BUDGET_SHARE, OVERLOAD_CHANCE_EXPONENT = (
    0.25,
    12.0,
)  # The draw admits at most this share of N. By the Chernoff bound, the chance of
# overload in a window is at most exp(-OVERLOAD_CHANCE_EXPONENT).


def overload_limit(n: float) -> float:
    return n + 2 * sqrt(n) + 2


def draw_mean(n: float) -> float:
    """Return the mean work that all draws admit in a window, as in the scheduler."""
    return min(
        DRAWN_BUDGET_SHARE * n,
        overload_limit(n) / exp(1 + OVERLOAD_CHANCE_EXPONENT / overload_limit(n)),
    )


def poisson_tail(mean: float, least: int) -> float:
    """Return the chance that a Poisson variable is at least `least`."""
    return sum(
        exp(k * log(mean) - mean - lgamma(k + 1)) for k in range(least, least + 80)
    )


def worst_overload_chance(n: float, factor: float) -> float:
    """Return the chance of overload at `factor` times the draw's mean, for the worst size.

    All requests have one size. k requests exceed the limit if each weighs just over
    1/k of it; the draw admits heavier requests with a lower chance.
    """
    mean, largest = draw_mean(n), 0.0
    for k in range(1, int(overload_limit(n)) + 1):
        odds = factor * mean * (overload_limit(n) / mean) ** (1 - overload_limit(n) / k)
        largest = max(largest, poisson_tail(odds, k))
    return max(largest, poisson_tail(factor * mean, int(overload_limit(n)) + 1))


def largest_safe_mean(n: float) -> float:
    """Return the largest Poisson mean with overload in less than 1 in 10**6 windows."""
    low, high = 0.0, 2 * n + 5
    for _ in range(50):
        middle = (low + high) / 2
        low, high = (
            (middle, high)
            if poisson_tail(middle, int(overload_limit(n)) + 1) < MAX_OVERLOAD_CHANCE
            else (low, middle)
        )
    return low


def budget(n: float, age: float) -> float:
    return n * (1 + (GROWTH - 1) * max(age, 0.0) / WARM_UP)


class SlowStart:
    """The slow start of one node.

    Attributes:
        arrivals: time, gateway and weight of each request. Times are relative to the
            node's start; the weight is in requests of mean work.
        gateway_starts: start times of the gateways that start during the slow start.
        node_known_from: when each gateway learns that the node has started.
    """

    def __init__(
        self,
        rng: Random,
        gateways: int,
        n: float,
        demand: float,
        uneven: bool,
        surge: float,
        pause: float,
        retries: int,
        demand_factor: float,
    ) -> None:
        self.rng, self.gateways, self.n, self.demand_factor = (
            rng,
            gateways,
            n,
            demand_factor,
        )
        few = max(gateways // 10, 1) if uneven else gateways
        self.arrivals: list[tuple[float, int, float]] = []
        at = -HISTORY
        while at < WARM_UP:
            at += rng.expovariate(
                demand * demand_factor * (surge if 3 <= at < 8 else 1.0)
            )
            if pause and 3 - pause <= at < 3:  # no requests during the pause
                continue
            gateway = rng.randrange(few if uneven and rng.random() < 0.9 else gateways)
            weight = max(min(1 + int(rng.expovariate(0.7)), 8) / 1.9, 1.0)
            self.arrivals.append((at, gateway, weight))
            for retry in range(1, retries + 1):  # usually to another gateway
                self.arrivals.append(
                    (at + 0.3 * retry, rng.randrange(gateways), weight)
                )
        self.arrivals.sort()
        self.gateway_starts = {
            g: rng.uniform(0, WARM_UP)
            for g in rng.sample(range(gateways), gateways // 2)
        }
        self.node_known_from = [rng.uniform(0, 0.4) for _ in range(gateways)]

    def gap_draw(self, flat: bool = False) -> list[tuple[float, float]]:
        """Admit requests by one random draw each, when they arrive.

        The chance is the gateway's equal share of the budget for the time since its
        last request for the node's shard. With `flat`, the chance is the budget divided
        by the mean demand of all nodes, whatever the arrivals are.
        """
        last: dict[int, float] = {}
        sent, mean = [], len(self.arrivals) / (HISTORY + WARM_UP) / self.demand_factor
        for at, gateway, weight in self.arrivals:
            before = last.get(gateway, -HISTORY)
            started_at = self.gateway_starts.get(gateway, -HISTORY)
            if before < started_at <= at:
                before = started_at
            last[gateway] = at
            if at < self.node_known_from[gateway]:
                continue
            n = budget(self.n, at - 1)
            odds = (
                draw_mean(n) / mean
                if flat
                else draw_mean(n) * (at - before) / self.gateways
            )
            odds *= (overload_limit(n) / draw_mean(n)) ** (1 - weight)
            if self.rng.random() < odds:
                sent.append((at + self.rng.uniform(0, MAX_SEND_DELAY), weight))
        return sent

    def buckets(self, fraction: float, capacity: float) -> list[tuple[float, float]]:
        """Admit requests by a token bucket in each gateway.

        A bucket starts at a random level and fills with the gateway's equal share of
        the budget, up to `capacity`. A request takes its weight from the bucket.
        """
        level = [self.rng.random() * capacity for _ in range(self.gateways)]
        filled_at = [0.0] * self.gateways
        sent = []
        for at, gateway, weight in self.arrivals:
            if at < self.node_known_from[gateway]:
                continue
            if filled_at[gateway] < self.gateway_starts.get(gateway, 0.0) <= at:
                level[gateway] = self.rng.random() * capacity
            fill = (
                fraction
                * budget(self.n, at - 1)
                / self.gateways
                * (at - filled_at[gateway])
            )
            level[gateway], filled_at[gateway] = (
                min(level[gateway] + fill, capacity),
                at,
            )
            if level[gateway] >= weight:
                level[gateway] -= weight
                sent.append((at + self.rng.uniform(0, MAX_SEND_DELAY), weight))
        return sent

    def turns(self, fraction: float) -> list[tuple[float, float]]:
        """Admit requests of a few gateways at a time, in turns by gateway number.

        There is a turn every 1.5 windows, which lasts a quarter of a window. Each
        gateway of the turn sends one request; requests wait in the queue for the turn.
        """
        sent, taken = [], set()
        arrival_times = [at for at, _, _ in self.arrivals]
        for turn in range(int(WARM_UP / 1.5)):
            opens_at = turn * 1.5
            turn_size = (
                max(int(fraction * budget(self.n, opens_at - 1)), 1)
                if fraction * budget(self.n, opens_at - 1) >= 0.5
                else 0
            )
            turn_gateways = {
                (turn * 7 + place) % self.gateways for place in range(turn_size)
            }
            done = set()
            for place in range(
                bisect_left(arrival_times, opens_at - MAX_QUEUE_TIME),
                bisect_left(arrival_times, opens_at + 0.25),
            ):
                at, gateway, weight = self.arrivals[place]
                if (
                    gateway in turn_gateways
                    and gateway not in done
                    and place not in taken
                    and weight <= 1.0
                ):
                    done.add(gateway)
                    taken.add(place)
                    sent.append(
                        (
                            max(at, opens_at) + self.rng.uniform(0, MAX_SEND_DELAY),
                            weight,
                        )
                    )
        return sent

    def evaluate(self, sent: list[tuple[float, float]]) -> tuple[float, float]:
        """Return the largest work in a window and the work in total.

        The first is a fraction of the overload limit, the second of the budget.
        """
        sent.sort()
        peak = 0.0
        for place, (at, _) in enumerate(sent):
            inside = sum(
                weight for when, weight in sent[place : place + 200] if when < at + 1
            )
            peak = max(peak, inside / overload_limit(budget(self.n, at)))
        total = self.n * WARM_UP * (1 + GROWTH) / 2
        return peak, sum(weight for _, weight in sent) / total


CASES = {
    "even": {},
    "uneven": {"uneven": True},
    "surge of 3": {"surge": 3.0},
    "pause of 4 windows, then surge of 3": {"surge": 3.0, "pause": 4.0},
    "3 retries at other gateways": {"retries": 3},
    "3 times the demand of other nodes": {"demand_factor": 3.0},
}
RULES = {
    "turns": lambda simulation, fraction: simulation.turns(0.6),
    "bucket of 1, random level": lambda simulation, fraction: simulation.buckets(
        fraction, 1.0
    ),
    "bucket of 3, random level": lambda simulation, fraction: simulation.buckets(
        fraction, 3.0
    ),
    "one draw, mean demand": lambda simulation, fraction: simulation.gap_draw(True),
    "one draw, own interval": lambda simulation, fraction: simulation.gap_draw(),
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--use", type=float, default=0.4)
    options = parser.parse_args()
    print(
        "N, overload limit, largest safe mean (exact) / N, the draw's mean / N; chance of overload at 1, 2 and 3 times the draw's mean: "
        "for requests of mean work, and for requests of the worst size"
    )
    for n in (0.25, 0.5, 1, 2, 3, 5, 8, 12, 20, 30, 60):
        over = [
            poisson_tail(draw_mean(n) * factor, int(overload_limit(n)) + 1)
            for factor in (1, 2, 3)
        ] + [worst_overload_chance(n, factor) for factor in (1, 2, 3)]
        print(
            f"{n:5} {overload_limit(n):6.1f} {largest_safe_mean(n) / n:6.2f} {draw_mean(n) / n:6.2f}  "
            + " ".join(f"{each:.0e}" for each in over)
        )
    print(
        f"\nsimulated, {options.runs} slow starts each, turns at 0.6 N, buckets at {options.use} N: largest fraction of the overload limit, "
        "mean used fraction of the budget"
    )
    for gateways, n, demand in (
        (5, 2.0, 8.0),
        (12, 3.0, 8.0),
        (20, 4.0, 10.0),
        (30, 4.0, 10.0),
        (200, 0.5, 5.0),
        (200, 2.0, 8.0),
        (200, 8.0, 40.0),
        (1024, 4.0, 20.0),
    ):
        for case, overrides in CASES.items():
            found = []
            for name, rule in RULES.items():
                rng = Random(1)
                kwargs = {
                    "uneven": False,
                    "surge": 1.0,
                    "pause": 0.0,
                    "retries": 0,
                    "demand_factor": 1.0,
                    **overrides,
                }
                results = [
                    simulation.evaluate(rule(simulation, options.use))
                    for simulation in (
                        SlowStart(rng, gateways, n, demand, **kwargs)
                        for _ in range(options.runs)
                    )
                ]
                found.append(
                    f"{name}: {max(each[0] for each in results):.2f} {sum(each[1] for each in results) / len(results):.2f}"
                )
            print(
                f"{gateways:5} N={n} demand {demand}, {case}: " + "; ".join(found),
                flush=True,
            )


if __name__ == "__main__":
    main()
