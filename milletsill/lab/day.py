"""A day that the bench drew as a scenario.

Sizes kept, or cut down with the traffic in proportion.

Carried over: boxes with their speeds, queues, cold starts and pauses; categories,
plans, volumes with their cells and gateways; the rates; clients' habits; the list's
delays; troubles. A day file says which volumes surge, how far and for how long, not
when: that is drawn here. Not carried over: noise of one attempt, correlated arrivals,
pauses that grow.
"""

from __future__ import annotations

from random import Random
from typing import Any

from milletsill.errors import InvalidValueError
from milletsill.settings.milletsill_pb2 import Scenario
from milletsill.settings.scenario import FAULTS

MICRO = 1_000_000
REPEATS = {"safe": "rerunnable", "keyed": "ticketed", "unsafe": "exclusive"}
REPORTS = {
    "inflight": "inflight",
    "queue": "queue",
    "util": "busy",
    "latency_ms": "service_ms",
}
SURGE_EVERY = 30.0  # seconds, as the bench's page has it
OF_BOXES = ("vanish", "slow", "pauses", "neighbour")


class InvalidDayFileError(InvalidValueError):
    """A file that is no day of storage nodes."""

    remedy = "give a day file of the family `stores`"


def scenario_of(
    day: Any,
    edges: int | None = None,
    boxes: int | None = None,
    seconds: float | None = None,
) -> Scenario:
    """The scenario of a day file's JSON value, cut down where asked."""
    try:
        if day["family"] != "stores":
            raise InvalidDayFileError(
                f"a day of {str(day['family'])[:40]!r}, only 'stores' are played"
            )
        made = Scenario(
            name=f"{day['site']}-{day['kind']}", seed=int(day["noise"]) % 1_000_000
        )
        servers, balancers = day["servers"], day["balancers"]
        count = min(boxes or len(servers), len(servers))
        made.edges = min(edges or len(balancers), len(balancers))
        made.seconds = min(seconds or 1e9, day["length"] / MICRO)
        fill_rules(made.gateway, day)
        fill_categories(made.gateway, day)
        fill_volumes(made, day, count)
        fill_boxes(made, day, count)
        fill_traffic(made, day, count)
        fill_clients(made, day)
        fill_troubles(made, day, count)
    except InvalidDayFileError:
        raise
    except (
        KeyError,
        IndexError,
        TypeError,
        ValueError,
        ZeroDivisionError,
        OverflowError,
    ) as error:
        raise InvalidDayFileError(
            f"not a day file: {type(error).__name__} {error}"
        ) from None
    return made


def fill_rules(file: Any, day: Any) -> None:
    """Rules and what nodes allow."""
    fam, tier, allow = day["fam"], day["tiers"][0], day["allow"]
    file.name, file.gateways, file.registry.address = (
        "edge",
        len(day["balancers"]),
        "127.0.0.1:1",
    )
    rules = file.rules
    rules.drain_grace_ms, rules.cold_multiple = (
        day["drain_grace"] / 1000,
        day["fall_multiple"],
    )
    rules.cold_window_ms, rules.cold_from = (
        day["fall_for"] / 1000,
        tier["stated_cold_from"],
    )
    rules.warm_after_s = tier["stated_cold"] / MICRO
    rules.may_cancel, rules.may_copy = allow["cancel"], allow["second_copies"]
    rules.most_dispatches, rules.longest_pause_ms = (
        allow["max_attempts"],
        day["clients"]["max_retry_after"] / 1000,
    )
    rules.largest_units, rules.unit_mean = int(fam["most_units"]), fam["mean_units"]
    rules.share_utility, rules.spare_utility = fam["worths"][1], fam["worths"][2]
    rules.meter_ms, rules.tick_ms = fam["meter"] / 1000, day["tick"] / 1000
    slowest = min(kind["cores"] for kind in tier["kinds"]) * rules.cold_from
    rules.cold_units = (
        slowest
        * rules.cold_multiple
        * rules.cold_window_ms
        / (fam["unit_work"] / 1000)
        / 2
    )
    if day.get("budget_share"):
        rules.further_ratio, rules.further_free = (
            day["budget_share"],
            int(day.get("budget_free", 3)),
        )
        rules.further_window_ms = day.get("budget_ms", 5_000_000) / 1000
    if tier["report_how"] == "answers":
        file.reports.field.extend(
            REPORTS[each] for each in tier["report_fields"] if each in REPORTS
        )
    file.links.streams, file.links.connections = int(tier["streams"]), 2
    file.links.dial_ms = tier["connect_timeout"] / 1000
    file.door.answer_margin_ms = 30


def fill_categories(file: Any, day: Any) -> None:
    """Categories, plans and routes: a category is known by its operation and size."""
    for each in day["classes"]:
        file.category.add(
            name=each["name"],
            target_ms=each["aim"] / 1000,
            patience_ms=each["deadline"] / 1000,
            utility=each["worth"],
            late_utility=each["late_worth"],
            repeats=REPEATS[each["effect"]],
            group=each["group"],
            repeat_window_ms=each["window"] / 1000,
            write=each["write"],
        )
    for tenant, plan in zip(day["tenants"], day["fam"]["plans"]):
        made = file.plan.add(
            name=tenant["name"],
            usual_rate=plan["rate"],
            reserve_rate=plan["reserve"],
            weight=plan["weight"],
            price=plan["price"],
        )
        if plan["limit"]:
            made.limit_rate, made.limit_store = plan["limit"], plan["limit_burst"]
            made.limit_slack = plan["slack"]
    for each in day["classes"]:
        if each["write"]:
            file.route.add(operation=["write", "change", "sync"], category=each["name"])
    reads = [each for each in day["classes"] if not each["write"]]
    for each in sorted(reads, key=lambda each: -each["work"])[:-1]:
        file.route.add(
            operation=["read"], least_bytes=export_bytes(file), category=each["name"]
        )
    file.route.add(category=min(reads, key=lambda each: each["work"])["name"])


def export_bytes(file: Any) -> int:
    """Reads from this size on are of the costly category: over half of the largest."""
    return (file.rules.largest_units // 2 + 1) * file.rules.unit_bytes


def fill_volumes(made: Any, day: Any, count: int) -> None:
    names = [each["name"] for each in day["tenants"]]
    for number, each in enumerate(day["fam"]["volumes"]):
        cells = sorted({node % count for node in each["nodes"]})
        made.gateway.volume.add(
            name=f"v{number}",
            root=f"/v{number}",
            plan=names[each["plan"]],
            cell=cells,
            gateways=max(min(each["hosts"], made.edges), 1),
        )
        made.volume_base.append(each["base"])
        fill_surges(made, number, each)
    made.files = 8


def fill_surges(made: Any, number: int, volume: Any) -> None:
    """A volume's surges, about one in SURGE_EVERY seconds."""
    if volume["high"] <= 0:
        return
    chance = Random(made.seed * 1000 + number)
    at = chance.uniform(0, SURGE_EVERY) - volume["len"] / 2
    while at < made.seconds:
        made.surge.add(
            on=[number],
            at_s=max(at, 0.0),
            for_s=volume["len"] + min(at, 0.0),
            times=volume["high"],
        )
        at += SURGE_EVERY * chance.uniform(0.7, 1.3) + volume["len"] / 2


def fill_boxes(made: Any, day: Any, count: int) -> None:
    tier, fam = day["tiers"][0], day["fam"]
    for number, server in enumerate(day["servers"][:count]):
        kind = tier["kinds"][server["kind"]]
        made.kind.add(
            name=f"k{number}",
            cores=kind["cores"],
            slots=kind["slots"],
            queue=kind["queue"],
            speed=server["speed"],
            cold_from=kind["cold_from"],
            cold_s=kind["cold"] / MICRO,
            pause_every_s=kind["pause_every"] / MICRO,
            pause_ms=kind["pause"] / 1000,
            handshake_ms=tier["handshake_work"] / 1000,
            report_every_ms=tier["report_period"] / 1000,
            report_late_ms=tier["report_delay"] / 1000,
            remembers=int(fam["remembers"]),
            seek=fam["seek"],
            defer=fam["defer"],
            flush_s=fam["flush"] / MICRO,
            cancel=kind["cancel"],
            drops_expired=kind["drops_expired"],
            error_rate=kind["error_rate"],
            ticket_s=max(each["window"] for each in day["classes"]) / MICRO,
            thrash=kind["thrash"],
            knee=kind["knee"],
            most_connections=int(tier["conn_cap_per_core"] * kind["cores"]),
        )
        made.box.add(kind=f"k{number}", zone=server["zone"])


def fill_traffic(made: Any, day: Any, count: int) -> None:
    """Rates from the load, as a share of what the boxes can do, and the mean work of a transfer."""
    capacity = sum(
        day["tiers"][0]["kinds"][each["kind"]]["cores"] * each["speed"]
        for each in day["servers"][:count]
    )
    work = sum(each["share"] * each["work"] for each in day["classes"]) / MICRO
    rate = day["traffic"]["load"] * capacity / work
    mean = day["fam"]["mean_units"]
    reads = [each for each in day["classes"] if not each["write"]]
    light = min(reads, key=lambda each: each["work"])
    for each, run in zip(day["classes"], day["fam"]["run"]):
        heavy = not each["write"] and each is not light
        made.traffic.add(
            category=each["name"],
            operation="write" if each["write"] else "read",
            per_s=rate * each["share"],
            cv=min(each["cv"], 1.0),
            run=max(run, 1),
            work_ms=each["work"] / 1000 * mean / (6.5 if heavy else mean)
            if heavy
            else each["work"] / 1000,
            units=mean,
        )
    made.file_units = 2 * made.gateway.rules.largest_units


def fill_clients(made: Any, day: Any) -> None:
    habits, found = day["clients"], day["discovery"]
    made.clients.retries, made.clients.pause_ms = (
        int(habits["retries"]),
        habits["backoff_us"] / 1000,
    )
    made.clients.honour, made.clients.try_share = habits["honour"], habits["try_share"]
    made.clients.connections, made.clients.shift_s = 1, day["fam"]["shift_s"]
    made.clients.skew = day["fam"]["skew"]
    made.registry.notice_ms, made.registry.vanish_s = (
        found["notice"] / 1000,
        found["silent_notice"] / MICRO,
    )
    made.registry.at_once = max(made.edges // 4, 8)


def fill_troubles(made: Any, day: Any, count: int) -> None:
    names = [each["name"] for each in day["tenants"]]
    for each in day["troubles"]:
        if each["kind"] not in FAULTS or each["at"] / MICRO >= made.seconds:
            continue
        trouble = made.trouble.add(
            what=each["kind"],
            at_s=each["at"] / MICRO,
            for_s=each["len"] / MICRO,
            size=each["size"],
            extra=each["extra"],
        )
        if each["kind"] == "reconnect":
            trouble.part = min(max(each["size"], 0.0), 1.0)
        if each["kind"] in ("tenant_burst", "retry_abuse"):
            trouble.plan = names[each["which"] % len(names)]
        if each["on"]:
            most = count if each["kind"] in OF_BOXES else made.edges
            whole = (
                len(day["servers"])
                if each["kind"] in OF_BOXES
                else len(day["balancers"])
            )
            trouble.on.extend(sorted({on for on in each["on"] if on < most}) or [0])
            trouble.part = min(len(each["on"]) / whole, 1.0)
