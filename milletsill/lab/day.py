"""Converts a day file of the benchmark simulator to a scenario of the laboratory.

The scenario keeps the day's size, or has fewer gateways, nodes or seconds, with the
traffic reduced in proportion to the nodes.

It takes over the nodes with their speeds, queues, cold starts and pauses; request
classes, service plans, and volumes with their shards and gateways; the traffic rates;
the clients' behaviour; the delays of the endpoint list; and the faults. A day file says
which volumes surge, how far and for how long, but not when: the times are drawn here.
The noise of single attempts, correlated arrivals and growing pauses are not taken over.
"""

from __future__ import annotations

from random import Random
from typing import Any

from milletsill.errors import InvalidValueError
from milletsill.settings.milletsill_pb2 import Scenario
from milletsill.settings.scenario import FAULTS

MICRO = 1_000_000
RETRY_SAFETY = {"safe": "rerunnable", "keyed": "ticketed", "unsafe": "exclusive"}
REPORT_FIELDS = {
    "inflight": "inflight",
    "queue": "queue",
    "util": "busy",
    "latency_ms": "service_ms",
}
SURGE_INTERVAL_S = 30.0  # mean time between surges in the benchmark simulator
NODE_FAULTS = ("vanish", "slow", "pauses", "neighbour")


class InvalidDayFileError(InvalidValueError):
    """A file is not a valid day file of the simulator's family `stores`."""

    remedy = "give a day file of the family `stores`"


def scenario_of(
    day: Any,
    max_gateways: int | None = None,
    max_nodes: int | None = None,
    max_seconds: float | None = None,
) -> Scenario:
    """Return the scenario of a day file's JSON value, reduced to the given limits.

    Raises:
        InvalidDayFileError: The value is not a day of the family `stores`.
    """
    try:
        if day["family"] != "stores":
            raise InvalidDayFileError(
                f"day file of family {str(day['family'])[:40]!r}, expected 'stores'"
            )
        scenario = Scenario(
            name=f"{day['site']}-{day['kind']}", seed=int(day["noise"]) % 1_000_000
        )
        servers, balancers = day["servers"], day["balancers"]
        count = min(max_nodes or len(servers), len(servers))
        scenario.edges = min(max_gateways or len(balancers), len(balancers))
        scenario.seconds = min(max_seconds or 1e9, day["length"] / MICRO)
        fill_rules(scenario.gateway, day)
        fill_request_classes(scenario.gateway, day)
        fill_volumes(scenario, day, count)
        fill_nodes(scenario, day, count)
        fill_traffic(scenario, day, count)
        fill_clients(scenario, day)
        fill_faults(scenario, day, count)
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
            f"not a valid day file: {type(error).__name__} {error}"
        ) from None
    return scenario


def fill_rules(gateway_file: Any, day: Any) -> None:
    """Fill in the scheduler's rules, including what the nodes allow."""
    family, tier, allow = day["fam"], day["tiers"][0], day["allow"]
    gateway_file.name, gateway_file.gateways, gateway_file.registry.address = (
        "edge",
        len(day["balancers"]),
        "127.0.0.1:1",
    )
    rules = gateway_file.rules
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
    rules.largest_units, rules.unit_mean = (
        int(family["most_units"]),
        family["mean_units"],
    )
    rules.share_utility, rules.spare_utility = family["worths"][1], family["worths"][2]
    rules.meter_ms, rules.tick_ms = family["meter"] / 1000, day["tick"] / 1000
    slowest = min(kind["cores"] for kind in tier["kinds"]) * rules.cold_from
    rules.cold_units = (
        slowest
        * rules.cold_multiple
        * rules.cold_window_ms
        / (family["unit_work"] / 1000)
        / 2
    )
    if day.get("budget_share"):
        rules.further_ratio, rules.further_free = (
            day["budget_share"],
            int(day.get("budget_free", 3)),
        )
        rules.further_window_ms = day.get("budget_ms", 5_000_000) / 1000
    if tier["report_how"] == "answers":
        gateway_file.reports.field.extend(
            REPORT_FIELDS[each]
            for each in tier["report_fields"]
            if each in REPORT_FIELDS
        )
    gateway_file.links.streams, gateway_file.links.connections = int(tier["streams"]), 2
    gateway_file.links.dial_ms = tier["connect_timeout"] / 1000
    gateway_file.door.answer_margin_ms = 30


def fill_request_classes(gateway_file: Any, day: Any) -> None:
    """Fill in request classes, service plans and routes.

    Routes tell the request classes apart by operation and size.
    """
    for each in day["classes"]:
        gateway_file.category.add(
            name=each["name"],
            target_ms=each["aim"] / 1000,
            patience_ms=each["deadline"] / 1000,
            utility=each["worth"],
            late_utility=each["late_worth"],
            repeats=RETRY_SAFETY[each["effect"]],
            group=each["group"],
            repeat_window_ms=each["window"] / 1000,
            write=each["write"],
        )
    for tenant, plan in zip(day["tenants"], day["fam"]["plans"]):
        service_plan = gateway_file.plan.add(
            name=tenant["name"],
            usual_rate=plan["rate"],
            reserve_rate=plan["reserve"],
            weight=plan["weight"],
            price=plan["price"],
        )
        if plan["limit"]:
            service_plan.limit_rate, service_plan.limit_store = (
                plan["limit"],
                plan["limit_burst"],
            )
            service_plan.limit_slack = plan["slack"]
    for each in day["classes"]:
        if each["write"]:
            gateway_file.route.add(
                operation=["write", "change", "sync"], category=each["name"]
            )
    reads = [each for each in day["classes"] if not each["write"]]
    for each in sorted(reads, key=lambda each: -each["work"])[:-1]:
        gateway_file.route.add(
            operation=["read"],
            least_bytes=export_bytes(gateway_file),
            category=each["name"],
        )
    gateway_file.route.add(category=min(reads, key=lambda each: each["work"])["name"])


def export_bytes(gateway_file: Any) -> int:
    """Return the least size of a read of a costly class: over half of the largest."""
    return (gateway_file.rules.largest_units // 2 + 1) * gateway_file.rules.unit_bytes


def fill_volumes(scenario: Any, day: Any, count: int) -> None:
    names = [each["name"] for each in day["tenants"]]
    for number, each in enumerate(day["fam"]["volumes"]):
        cells = sorted({node % count for node in each["nodes"]})
        scenario.gateway.volume.add(
            name=f"v{number}",
            root=f"/v{number}",
            plan=names[each["plan"]],
            cell=cells,
            gateways=max(min(each["hosts"], scenario.edges), 1),
        )
        scenario.volume_base.append(each["base"])
        fill_surges(scenario, number, each)
    scenario.files = 8


def fill_surges(scenario: Any, number: int, volume: Any) -> None:
    """Draw a volume's surges, about one per `SURGE_INTERVAL_S`."""
    if volume["high"] <= 0:
        return
    random = Random(scenario.seed * 1000 + number)
    at = random.uniform(0, SURGE_INTERVAL_S) - volume["len"] / 2
    while at < scenario.seconds:
        scenario.surge.add(
            on=[number],
            at_s=max(at, 0.0),
            for_s=volume["len"] + min(at, 0.0),
            times=volume["high"],
        )
        at += SURGE_INTERVAL_S * random.uniform(0.7, 1.3) + volume["len"] / 2


def fill_nodes(scenario: Any, day: Any, count: int) -> None:
    tier, family = day["tiers"][0], day["fam"]
    for number, server in enumerate(day["servers"][:count]):
        kind = tier["kinds"][server["kind"]]
        scenario.kind.add(
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
            remembers=int(family["remembers"]),
            seek=family["seek"],
            defer=family["defer"],
            flush_s=family["flush"] / MICRO,
            cancel=kind["cancel"],
            drops_expired=kind["drops_expired"],
            error_rate=kind["error_rate"],
            ticket_s=max(each["window"] for each in day["classes"]) / MICRO,
            thrash=kind["thrash"],
            knee=kind["knee"],
            most_connections=int(tier["conn_cap_per_core"] * kind["cores"]),
        )
        scenario.box.add(kind=f"k{number}", zone=server["zone"])


def fill_traffic(scenario: Any, day: Any, count: int) -> None:
    """Fill in the traffic of each request class.

    The day's load is a share of the nodes' capacity; the rates follow from it and the
    mean work of a request.
    """
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
        scenario.traffic.add(
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
    scenario.file_units = 2 * scenario.gateway.rules.largest_units


def fill_clients(scenario: Any, day: Any) -> None:
    habits, discovery = day["clients"], day["discovery"]
    scenario.clients.retries, scenario.clients.pause_ms = (
        int(habits["retries"]),
        habits["backoff_us"] / 1000,
    )
    scenario.clients.honour, scenario.clients.try_share = (
        habits["honour"],
        habits["try_share"],
    )
    scenario.clients.connections, scenario.clients.shift_s = 1, day["fam"]["shift_s"]
    scenario.clients.skew = day["fam"]["skew"]
    scenario.registry.notice_ms, scenario.registry.vanish_s = (
        discovery["notice"] / 1000,
        discovery["silent_notice"] / MICRO,
    )
    scenario.registry.at_once = max(scenario.edges // 4, 8)


def fill_faults(scenario: Any, day: Any, count: int) -> None:
    names = [each["name"] for each in day["tenants"]]
    for each in day["troubles"]:
        if each["kind"] not in FAULTS or each["at"] / MICRO >= scenario.seconds:
            continue
        fault = scenario.trouble.add(
            what=each["kind"],
            at_s=each["at"] / MICRO,
            for_s=each["len"] / MICRO,
            size=each["size"],
            extra=each["extra"],
        )
        if each["kind"] == "reconnect":
            fault.part = min(max(each["size"], 0.0), 1.0)
        if each["kind"] in ("tenant_burst", "retry_abuse"):
            fault.plan = names[each["which"] % len(names)]
        if each["on"]:
            limit = count if each["kind"] in NODE_FAULTS else scenario.edges
            total = (
                len(day["servers"])
                if each["kind"] in NODE_FAULTS
                else len(day["balancers"])
            )
            fault.on.extend(sorted({on for on in each["on"] if on < limit}) or [0])
            fault.part = min(len(each["on"]) / total, 1.0)
