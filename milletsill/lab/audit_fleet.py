"""How long views, and what gateways call a box, took to agree after each fault, from the gateways' own logs.

Read are their JSON lines: `view` with a digest, `member` with a change, `node_verdict_changed`. Wall time becomes the run's monotonic time. A
moment agrees when all gateways that run and can speak say the same; over a split network each side by itself.
"""

from __future__ import annotations

import json
import os
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from milletsill.lab.evidence import entries

Span = tuple[float, float]
SLOW = (
    12.0  # seconds after a fault for which a member's being called gone may come of it
)
DOWN = ("balancer_crash", "balancer_lost", "balancer_old", "balancer_leave")
APART = ("split", "isolate")
OF_BOX, STEADY = ("slow", "pauses", "neighbour", "vanish"), "steady"


@dataclass
class Told:
    """What gateways said in their logs: by gateway (time, digest, members), ordered; members called gone: (time, by, whom)."""

    views: dict[str, list[tuple[float, str, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    gone: list[tuple[float, str, str]] = field(default_factory=list)
    verdicts: list[tuple[float, str, int, str]] = field(
        default_factory=list
    )  # (time, by, box, what it is called)


@dataclass
class Weather:
    """What was done: gateways that were down, and faults of the network as (what, gateways, from, to)."""

    down: dict[str, list[Span]]
    network: list[tuple[str, frozenset[str], float, float]]
    marks: list[tuple[float, str]]  # every begin and end, ordered


def json_lines(path: str) -> Iterator[dict[str, Any]]:
    """The lines of a log that are JSON; the rest is for people."""
    with open(path, encoding="utf-8", errors="replace") as source:
        for line in source:
            try:
                made = json.loads(line)
            except ValueError:
                continue
            if isinstance(made, dict) and "event" in made and "timestamp" in made:
                yield made


def read_logs(out: str, names: Sequence[str], offset: float) -> Told:
    """`offset` is wall time less monotonic time, seconds."""
    told = Told()
    for name in names:
        if not os.path.exists(f"{out}/{name}.log"):
            continue
        for line in json_lines(f"{out}/{name}.log"):
            at = (
                datetime.fromisoformat(
                    line["timestamp"].replace("Z", "+00:00")
                ).timestamp()
                - offset
            )
            gateway = line.get("gateway", name)
            if line["event"] == "view":
                told.views[gateway].append((at, line["digest"], line["members"]))
            elif line["event"] == "member" and line.get("change") == "gone":
                told.gone.append((at, gateway, line["member"]))
            elif line["event"] == "node_verdict_changed":
                told.verdicts.append((at, gateway, line["node"], line["new"]))
    told.verdicts.sort()
    return told


def back_at(told: Told, name: str, at: float) -> float:
    """When a gateway that was started again then had its first view: what Python takes to start is no matter of views."""
    return next((row[0] for row in told.views.get(name, ()) if row[0] >= at), at)


def read_weather(
    out: str,
    names: Sequence[str],
    start: float,
    told: Told,
    troubles: Sequence[dict[str, Any]],
) -> Weather:
    """From what the run did to processes, and from the relay's own record."""
    down: dict[str, list[Span]] = defaultdict(list)
    marks, network = [(start, "the day's start")], []
    for each in troubles:
        marks.append((each["at"], f"{each['fault']} of {', '.join(each['on'])}"))
        until = each["at"] + each["for_s"]
        if each["fault"] in DOWN:
            for name in each["on"]:
                down[name].append((each["at"], back_at(told, name, until)))
            last = max(down[name][-1][1] for name in each["on"])
            marks.append((last, f"{', '.join(each['on'])} back after {each['fault']}"))
        elif each["fault"] == "balancer_roll":
            for place, name in enumerate(each["on"]):
                at = each["at"] + each["for_s"] * place / len(each["on"])
                down[name].append((at, back_at(told, name, at + each["extra"])))
            marks.append(
                (max(down[name][-1][1] for name in each["on"]), "balancer_roll over")
            )
    began: dict[tuple[str, float], tuple[float, frozenset[str]]] = {}
    for at, _, direction, _, data in entries(f"{out}/relay.rec"):
        note = json.loads(data) if direction == 2 else {}
        if note.get("what") in ("begin", "end"):
            on = frozenset(names[each] for each in note["on"])
            said = f"{note['fault']} of {', '.join(sorted(on)) or 'all'}"
            marks.append((at, said if note["what"] == "begin" else f"healed: {said}"))
            key = (note["fault"], note["planned"])
            if note["what"] == "begin":
                began[key] = at, on
            elif key in began:
                since, on = began.pop(key)
                network.append((note["fault"], on, since, at))
    return Weather(down, network, sorted(marks))


def groups(weather: Weather, names: Sequence[str], at: float) -> list[list[str]]:
    """Those that run at a time, by whom they can speak to."""
    up = [
        name
        for name in names
        if not any(since <= at < to for since, to in weather.down.get(name, ()))
    ]
    now = [
        (what, on)
        for what, on, since, to in weather.network
        if since <= at < to and what in APART
    ]
    sides: dict[tuple[Any, ...], list[str]] = defaultdict(list)
    for name in up:
        sides[
            tuple(
                name if what == "isolate" and name in on else name in on
                for what, on in now
            )
        ].append(name)
    return list(sides.values())


def said(told: Told, weather: Weather, name: str, at: float) -> tuple[str, int] | None:
    """What a gateway's last line says at a time; None where it has said nothing since it started again."""
    rows = told.views.get(name, [])
    place = bisect_right(rows, at, key=lambda row: row[0]) - 1
    back = max((to for _, to in weather.down.get(name, ()) if to <= at), default=0.0)
    return rows[place][1:] if place >= 0 and rows[place][0] >= back else None


def agree(told: Told, weather: Weather, names: Sequence[str], at: float) -> bool:
    """Whether all who can speak to each other say the same, and of as many members as that is."""
    for group in groups(weather, names, at):
        heard = {said(told, weather, name, at) for name in group}
        if len(heard) != 1 or None in heard or heard.pop()[1] != len(group):  # type: ignore[index]
            return False
    return True


def agreements(
    told: Told, weather: Weather, names: Sequence[str], end: float
) -> list[tuple[str, float, float | None]]:
    """For each mark its name, its time, and after how many seconds all agreed and went on to; None where they did not
    before the next.
    """
    changes = sorted(row[0] for rows in told.views.values() for row in rows)
    found = []
    for place, (at, name) in enumerate(weather.marks):
        if any(
            what == "cut_one_way" and since <= at < to
            for what, _, since, to in weather.network
        ):
            continue
        until = weather.marks[place + 1][0] if place + 1 < len(weather.marks) else end
        agreed: float | None = None
        for when in [at] + [each for each in changes if at < each < until]:
            if not agree(told, weather, names, when):
                agreed = None
            elif agreed is None:
                agreed = when
        found.append((name, at, None if agreed is None else agreed - at))
    return found


def false_deaths(told: Told, weather: Weather) -> list[str]:
    """Members that were called gone while they ran and nothing had lain between in the last seconds."""
    found = []
    for at, by, whom in told.gone:
        was_down = any(
            since <= at <= to + SLOW
            for name in (whom, by)
            for since, to in weather.down.get(name, ())
        )
        was_apart = any(
            since <= at <= to + SLOW
            for what, _, since, to in weather.network
            if what in (*APART, "cut_one_way", "lossy")
        )
        if not was_down and not was_apart:
            found.append(f"{at:.3f} {by} called {whom} gone")
    return found


def nine_in_ten(times: Sequence[float], count: int) -> float | None:
    """When nine in ten of `count` had done it; None where they had not."""
    needed = -(-9 * count // 10)
    return sorted(times)[needed - 1] if len(times) >= needed else None


def verdicts(
    told: Told, scenario: Any, start: float, count: int
) -> list[tuple[str, int, float | None, int, float | None]]:
    """For each trouble of a named box: how many of `count` gateways called it anything but steady while it lasted and after how
    many seconds nine in ten did; and the same of `steady` after its end.
    """
    found = []
    for trouble in (each for each in scenario.trouble if each.what in OF_BOX):
        for box in trouble.on:
            since, until = start + trouble.at_s, start + trouble.at_s + trouble.for_s
            rows = [
                (at, by, state)
                for at, by, about, state in told.verdicts
                if about == box
            ]
            ill: dict[str, float] = {}
            well: dict[str, float] = {}
            for at, by, state in rows:
                if since <= at < until and state != STEADY:
                    ill.setdefault(by, at - since)
                elif at >= until and state == STEADY and by in ill:
                    well.setdefault(by, at - until)
            found.append(
                (
                    f"{trouble.what} of box {box}",
                    len(ill),
                    nine_in_ten(list(ill.values()), count),
                    len(well),
                    nine_in_ten(list(well.values()), count),
                )
            )
    return found


def traffic(out: str) -> dict[str, float]:
    """What a gateway said to others through the relay, a second, on the mean of all gateways over the relay's life."""
    rows = []
    for at, _, direction, _, data in entries(f"{out}/relay.rec"):
        note = json.loads(data) if direction == 2 else {}
        if note.get("what") == "passed":
            rows.append((at, note))
    if len(rows) < 2:
        return {}
    (since, first), (to, last) = rows[0], rows[-1]
    return {
        name: sum(b - a for a, b in zip(first[name], last[name]))
        / len(last[name])
        / (to - since)
        for name in ("packets", "octets", "stream_octets")
    }
