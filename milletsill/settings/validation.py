"""What an operator's file may say: every check of its figures, by themselves and against each other.

No I/O. A check is handed the message and a report, and adds a fault for each field that cannot stand. What is
refused here is refused before any traffic flows.
"""

from __future__ import annotations

from typing import Any

from milletsill.settings.addresses import check_address, check_reached
from milletsill.settings.channels import check_channels
from milletsill.settings.exports import check_flows, check_trace
from milletsill.settings.health import check_health
from milletsill.settings.load import Report

# (field, least, most) of each message; a fault names the field, the figure and the range.
RANGES: dict[str, tuple[tuple[str, float, float], ...]] = {
    "door": (
        ("most_connections", 1, 100_000),
        ("most_packet", 34_000, 64_000_000),
        ("most_handles", 1, 65_536),
        ("most_outstanding", 1, 4096),
        ("most_buffered", 65_536, 1 << 30),
        ("most_held", 1, 1_000_000),
        ("idle_s", 1, 86_400),
        ("answer_margin_ms", 0, 10_000),
        ("drain_s", 0.1, 3600),
        ("locations", 16, 10_000_000),
    ),
    "links": (
        ("connections", 1, 64),
        ("streams", 1, 4096),
        ("handshakes", 1, 16),
        ("dial_ms", 1, 60_000),
        ("idle_s", 0.1, 86_400),
        ("silent_ms", 10, 600_000),
        ("most_packet", 65_536, 1 << 30),
    ),
    "registry": (
        ("call_ms", 10, 60_000),
        ("connect_ms", 10, 60_000),
        ("most_line", 1024, 64_000_000),
        ("most_boxes", 1, 100_000),
    ),
    "rules": (
        ("drain_grace_ms", 0, 60_000),
        ("ask_within_ms", 100, 3_600_000),
        ("cold_from", 0, 1),
        ("warm_after_s", 0, 86_400),
        ("cold_multiple", 1, 1000),
        ("cold_window_ms", 0, 600_000),
        ("cold_units", 0, 1e9),
        ("further_free", 0, 1e6),
        ("further_ratio", 0, 10),
        ("further_window_ms", 1, 3_600_000),
        ("key_rest_ms", 0, 600_000),
        ("most_dispatches", 1, 16),
        ("longest_pause_ms", 0, 600_000),
        ("share_utility", 0, 1),
        ("spare_utility", 0, 1),
        ("unit_bytes", 256, 1 << 24),
        ("largest_units", 1, 4096),
        ("unit_mean", 0.01, 4096),
        ("meter_ms", 0, 3_600_000),
        ("tick_ms", 0.1, 100),
        ("meta_units", 0.001, 4096),
        ("extent_bytes", 4096, 1 << 40),
    ),
    "plan": (
        ("usual_rate", 0.001, 1e9),
        ("reserve_rate", 0, 1e9),
        ("weight", 0.001, 1e6),
        ("price", 0, 1e6),
        ("limit_rate", 0, 1e9),
        ("limit_store", 0, 1e9),
        ("limit_slack", 0, 1e9),
    ),
    "category": (
        ("target_ms", 1, 3_600_000),
        ("patience_ms", 1, 3_600_000),
        ("utility", 0, 1e6),
        ("late_utility", 0, 1),
        ("repeat_window_ms", 0, 3_600_000),
    ),
    "logging": (("answers_per_s", 0, 10_000),),
    "flows": (
        ("most_flows", 16, 10_000_000),
        ("active_s", 1, 86_400),
        ("idle_s", 0.5, 86_400),
        ("template_s", 1, 86_400),
        ("template_messages", 1, 1_000_000),
        ("path_bytes", 512, 65_000),
        ("cpu_share", 0.001, 1),
        ("enterprise", 1, (1 << 32) - 1),
    ),
    "planner": (("ask_s", 0.05, 10), ("most_things", 1, 100_000)),
    "fleet": (
        ("probe_ms", 50, 60_000),
        ("answer_ms", 10, 30_000),
        ("through", 0, 16),
        ("suspicion_ms", 100, 600_000),
        ("exchange_s", 0.2, 3600),
        ("most_members", 1024, 100_000),
        ("remember_s", 10, 30 * 86_400),
    ),
    "trace": (
        ("file_bytes", 65_536, 1 << 40),
        ("file_s", 1, 30 * 86_400),
        ("total_bytes", 131_072, 1 << 50),
        ("most_held", 1000, 10_000_000),
        ("block_s", 0.1, 600),
    ),
}
REPEATS, GROUPS = ("rerunnable", "ticketed", "exclusive"), ("all", "zone", "cell")
OPERATIONS = ("read", "write", "open", "look", "list", "change", "sync")
LEVELS = ("debug", "info", "warning", "error")
REPORT_FIELDS = ("inflight", "queue", "busy", "service_ms")
MOST_VOLUMES, MOST_CELLS = 200_000, 100_000
PACKET_ROOM = 1024  # bytes of a packet beside its data


def check_gateway(file: Any, report: Report, under: tuple[str, ...] = ()) -> None:
    """Everything about one gateway's file; `under` is where the message stands within a larger file."""
    check_ranges(file, report, under)
    if not 0 < len(file.name) <= 64 or not file.name.isprintable() or " " in file.name:
        report.add(
            under + ("name",),
            f"name {file.name!r} is not 1 to 64 printable characters without a space",
        )
    if not 1 <= file.gateways <= 100_000:
        report.add(
            under + ("gateways",), f"gateways {file.gateways} is not from 1 to 100000"
        )
    for field in ("listen", "metrics"):
        if file.HasField(field):
            check_address(getattr(file, field), under + (field,), report)
    check_address(file.registry.address, under + ("registry", "address"), report)
    if file.zones and file.zone >= len(file.zones):
        report.add(under + ("zone",), f"zone {file.zone} of {len(file.zones)} zones")
    check_logging(file, report, under)
    check_flows(file, report, under)
    check_trace(file, report, under)
    check_planner_link(file, report, under)
    check_fleet(file, report, under)
    check_plans(file, report, under)
    check_categories(file, report, under)
    check_volumes(file, report, under)
    check_routes(file, report, under)
    check_against(file, report, under)
    check_channels(file, report, under)
    check_health(file, report, under)


def check_ranges(file: Any, report: Report, under: tuple[str, ...]) -> None:
    """Each figure within its range."""
    for name, ranges in RANGES.items():
        held = getattr(file, name)
        parts = (
            [((name,), held)]
            if not hasattr(held, "__len__")
            else [((name, str(place)), each) for place, each in enumerate(held)]
        )
        for path, part in parts:
            for field, least, most in ranges:
                value = getattr(part, field)
                if part.HasField(field) and not least <= value <= most:
                    report.add(
                        under + path + (field,),
                        f"{field} {value:g} is not from {least:g} to {most:g}",
                    )


def check_logging(file: Any, report: Report, under: tuple[str, ...]) -> None:
    if file.logging.level not in LEVELS:
        report.add(
            under + ("logging", "level"),
            f"level {file.logging.level!r} is not one of {', '.join(LEVELS)}",
        )
    for place, field in enumerate(file.reports.field):
        if field not in REPORT_FIELDS:
            report.add(
                under + ("reports", "field", str(place)),
                f"report {field!r} is not one of {', '.join(REPORT_FIELDS)}",
            )


def check_lending(lending: Any, path: tuple[str, ...], report: Report) -> None:
    """Spans that leave room for an ask and its answer."""
    for field, least, most in (
        ("longest_s", 1, 60),
        ("drift_permille", 0, 100),
        ("floor", 0.01, 0.9),
    ):
        value = getattr(lending, field)
        if not least <= value <= most:
            report.add(
                path + (field,), f"{field} {value:g} is not from {least:g} to {most:g}"
            )


def check_planner_link(file: Any, report: Report, under: tuple[str, ...]) -> None:
    """An edge's way to the planner."""
    if not file.HasField("planner"):
        return
    here = under + ("planner",)
    check_address(file.planner.address, here + ("address",), report)
    check_lending(file.planner.lending, here + ("lending",), report)
    parted = 2 * sum(1 for each in file.volume) + 64
    if file.planner.most_things < parted:
        report.add(
            here + ("most_things",),
            f"most_things {file.planner.most_things} for {len(file.volume)} volumes, "
            f"{parted} at least",
        )
    if file.planner.ask_s * 3 > file.planner.lending.longest_s:
        report.add(
            here + ("ask_s",),
            f"asks every {file.planner.ask_s:g} s: three do not fit into a promise of "
            f"{file.planner.lending.longest_s:g} s",
        )


def check_planner(file: Any, report: Report, under: tuple[str, ...] = ()) -> None:
    """Everything about a planner's file."""
    if not 0 < len(file.name) <= 64 or not file.name.isprintable() or " " in file.name:
        report.add(
            under + ("name",),
            f"name {file.name!r} is not 1 to 64 printable characters without a space",
        )
    for field in ("listen", "metrics"):
        if file.HasField(field):
            check_address(getattr(file, field), under + (field,), report)
    if not file.state_dir:
        report.add(under + ("state_dir",), "no folder for the state")
    check_lending(file.lending, under + ("lending",), report)
    for field, least, most in (
        ("most_edges", 1, 100_000),
        ("most_things", 1, 10_000_000),
        ("silent_s", 1, 600),
    ):
        value = getattr(file, field)
        if not least <= value <= most:
            report.add(
                under + (field,), f"{field} {value:g} is not from {least:g} to {most:g}"
            )


LONGEST_ADDRESS = 80


def check_fleet(file: Any, report: Report, under: tuple[str, ...]) -> None:
    """A gateway's place among others: addresses that others can use, spans in sane relation. What is shared on top of the view
    (`health`, `channels`) has checks of its own.
    """
    if not file.HasField("fleet"):
        return
    fleet, here = file.fleet, under + ("fleet",)
    if (
        not 0 < len(fleet.name) <= 64
        or not fleet.name.isprintable()
        or " " in fleet.name
    ):
        report.add(
            here + ("name",),
            f"name {fleet.name!r} is not 1 to 64 printable characters without a space",
        )
    for field in ("address", "advertise"):
        if fleet.HasField(field):
            check_reached(getattr(fleet, field), here + (field,), report)
    if fleet.address.startswith("0.0.0.0:") and not fleet.HasField("advertise"):
        report.add(
            here + ("address",),
            f"others cannot reach {fleet.address}: fleet.advertise is missing",
        )
    if fleet.advertise.startswith("0.0.0.0:"):
        report.add(here + ("advertise",), f"others cannot reach {fleet.advertise}")
    for place, each in enumerate(fleet.join):
        check_address(each, here + ("join", str(place)), report)
        if len(each) > LONGEST_ADDRESS or each.endswith(":0"):
            report.add(
                here + ("join", str(place)),
                f"{each!r} is no address of another gateway",
            )
    for field in ("address", "listen", "metrics"):
        if (
            field != "address"
            and file.HasField(field)
            and getattr(file, field) == fleet.address
        ):
            report.add(here + ("address",), f"{fleet.address} is that of `{field}` too")
    if fleet.answer_ms * 2 > fleet.probe_ms:
        report.add(
            here + ("answer_ms",),
            f"an answer within {fleet.answer_ms:g} ms leaves no time for others to probe within "
            f"{fleet.probe_ms:g} ms",
        )
    if fleet.suspicion_ms < 2 * fleet.probe_ms:
        report.add(
            here + ("suspicion_ms",),
            f"{fleet.suspicion_ms:g} ms to refute a suspicion are not two probes of "
            f"{fleet.probe_ms:g} ms",
        )
    if fleet.remember_s < 10 * fleet.exchange_s:
        report.add(
            here + ("remember_s",),
            f"members are forgotten after {fleet.remember_s:g} s, not ten whole exchanges of "
            f"{fleet.exchange_s:g} s",
        )


def check_names(
    held: Any, what: str, report: Report, under: tuple[str, ...]
) -> set[str]:
    """Names are there and differ; all of them."""
    seen: set[str] = set()
    for place, each in enumerate(held):
        if not each.name or each.name in seen:
            report.add(
                under + (what, str(place), "name"),
                f"{what} {each.name!r} stands twice"
                if each.name
                else f"a {what} without a name",
            )
        seen.add(each.name)
    return seen


def check_plans(file: Any, report: Report, under: tuple[str, ...]) -> None:
    if not file.plan:
        report.add(under, "no plan")
    check_names(file.plan, "plan", report, under)
    for place, plan in enumerate(file.plan):
        here = under + ("plan", str(place))
        if plan.limit_rate and plan.limit_rate < plan.reserve_rate:
            report.add(
                here + ("limit_rate",),
                f"a limit of {plan.limit_rate:g} units a second under the reserve "
                f"of {plan.reserve_rate:g}",
            )
        if plan.limit_rate and plan.limit_store < file.rules.largest_units:
            report.add(
                here + ("limit_store",),
                f"a limit store of {plan.limit_store:g} units holds not one largest "
                f"transfer of {file.rules.largest_units}",
            )
        if not plan.limit_rate and (plan.limit_store or plan.limit_slack):
            report.add(
                here,
                f"plan {plan.name!r} has a limit store or slack without a limit_rate",
            )


def check_categories(file: Any, report: Report, under: tuple[str, ...]) -> None:
    if not file.category:
        report.add(under, "no category")
    check_names(file.category, "category", report, under)
    margin = file.door.answer_margin_ms
    for place, each in enumerate(file.category):
        here = under + ("category", str(place))
        if each.target_ms > each.patience_ms:
            report.add(
                here + ("target_ms",),
                f"a target time of {each.target_ms:g} ms past the patience of {each.patience_ms:g} ms",
            )
        if margin >= each.patience_ms:
            report.add(
                here + ("patience_ms",),
                f"a patience of {each.patience_ms:g} ms within the answer margin of {margin:g} ms",
            )
        for field, words in (("repeats", REPEATS), ("group", GROUPS)):
            if getattr(each, field) not in words:
                report.add(
                    here + (field,),
                    f"{field} {getattr(each, field)!r} is not one of {', '.join(words)}",
                )
        if each.repeats == "ticketed" and not each.repeat_window_ms:
            report.add(
                here + ("repeat_window_ms",),
                f"ticketed category {each.name!r} without a repeat window",
            )
        if each.in_order and not file.rules.HasField("key_rest_ms"):
            report.add(
                here + ("in_order",),
                f"category {each.name!r} keeps order, but rules.key_rest_ms is missing",
            )


def check_volumes(file: Any, report: Report, under: tuple[str, ...]) -> None:
    if not file.volume:
        report.add(under, "no volume")
    if len(file.volume) > MOST_VOLUMES:
        report.add(
            under + ("volume", str(MOST_VOLUMES)), f"more than {MOST_VOLUMES} volumes"
        )
    check_names(file.volume, "volume", report, under)
    plans, roots = {each.name for each in file.plan}, dict[str, str]()
    for place, each in enumerate(file.volume):
        here = under + ("volume", str(place))
        if each.plan not in plans:
            report.add(
                here + ("plan",),
                f"volume {each.name!r} stands on plan {each.plan!r}, which is missing",
            )
        if (
            not each.root.startswith("/")
            or each.root == "/"
            or each.root.endswith("/")
            or "//" in each.root
            or any(part in (".", "..") for part in each.root.split("/"))
        ):
            report.add(
                here + ("root",),
                f"root {each.root!r} is not an absolute path below / without . and ..",
            )
        if each.root in roots:
            report.add(
                here + ("root",),
                f"root {each.root!r} is that of volume {roots[each.root]!r} too",
            )
        roots[each.root] = each.name
        if not each.cell:
            report.add(here, f"volume {each.name!r} has no cell")
        if len(set(each.cell)) < len(each.cell) or any(
            cell > MOST_CELLS for cell in each.cell
        ):
            report.add(
                here + ("cell",),
                f"cells of {each.name!r} stand twice or pass {MOST_CELLS}",
            )
        if each.gateways > file.gateways:
            report.add(
                here + ("gateways",), f"{each.gateways} gateways of {file.gateways}"
            )
    for place, each in enumerate(file.volume):
        parts = each.root.split("/")
        above = [
            root
            for end in range(2, len(parts))
            if (root := "/".join(parts[:end])) in roots
        ]
        if above:
            report.add(
                under + ("volume", str(place), "root"),
                f"root {each.root!r} lies within {above[0]!r}",
            )


def check_routes(file: Any, report: Report, under: tuple[str, ...]) -> None:
    categories, volumes = (
        {each.name for each in file.category},
        {each.name for each in file.volume},
    )
    if not file.route:
        report.add(under, "no route")
    for place, each in enumerate(file.route):
        here = under + ("route", str(place))
        if each.category not in categories:
            report.add(here + ("category",), f"category {each.category!r} is missing")
        if each.volume and each.volume not in volumes:
            report.add(here + ("volume",), f"volume {each.volume!r} is missing")
        for number, operation in enumerate(each.operation):
            if operation not in OPERATIONS:
                report.add(
                    here + ("operation", str(number)),
                    f"operation {operation!r} is not one of {', '.join(OPERATIONS)}",
                )
    last = file.route[-1] if file.route else None
    if last is not None and (last.operation or last.volume or last.least_bytes):
        report.add(
            under + ("route", str(len(file.route) - 1)),
            "the last route must fit every command",
        )


def check_against(file: Any, report: Report, under: tuple[str, ...]) -> None:
    """Figures that contradict each other."""
    rules, largest = file.rules, file.rules.unit_bytes * file.rules.largest_units
    if largest + PACKET_ROOM > file.door.most_packet:
        report.add(
            under + ("door", "most_packet"),
            f"a packet of {file.door.most_packet} bytes cannot hold a largest "
            f"transfer of {largest}",
        )
    if largest + PACKET_ROOM > file.links.most_packet:
        report.add(
            under + ("links", "most_packet"),
            "most_packet holds not one largest transfer",
        )
    # A client that does not read is not read either, so what it can leave unread is what it has out.
    unread = file.door.most_outstanding * (largest + PACKET_ROOM)
    if unread > file.door.most_buffered:
        report.add(
            under + ("door", "most_buffered"),
            f"{file.door.most_outstanding} commands of {largest} bytes may "
            f"leave {unread} bytes unread, over {file.door.most_buffered}",
        )
    if rules.unit_mean > rules.largest_units:
        report.add(
            under + ("rules", "unit_mean"),
            f"a mean of {rules.unit_mean:g} units over the largest of "
            f"{rules.largest_units}",
        )
    if rules.HasField("further_window_ms") != (
        rules.HasField("further_ratio") or rules.HasField("further_free")
    ):
        report.add(
            under + ("rules",),
            "a budget of further dispatches needs further_window_ms and further_ratio or "
            "further_free",
        )
    if rules.drain_grace_ms >= rules.ask_within_ms:
        report.add(
            under + ("rules", "drain_grace_ms"),
            f"a drain grace of {rules.drain_grace_ms:g} ms is not under "
            f"ask_within_ms {rules.ask_within_ms:g}",
        )
    shortest = min((each.patience_ms for each in file.category), default=0)
    if file.links.dial_ms >= shortest > 0:
        report.add(
            under + ("links", "dial_ms"),
            f"dialling for {file.links.dial_ms:g} ms outlasts a patience of "
            f"{shortest:g} ms",
        )


TROUBLES = (
    "vanish",
    "slow",
    "pauses",
    "neighbour",
    "report_late",
    "burst",
    "tenant_burst",
    "hot_key",
    "scan",
    "reconnect",
    "balancer_crash",
    "balancer_roll",
    "balancer_stall",
    "retry_abuse",
    "give_up",
    "drain",
    "replace",
    "registry_away",
    "cut",
    "planner_crash",
    "planner_stall",
    "planner_old",
    "balancer_leave",
    "balancer_lost",
    "balancer_old",
    "balancer_full",
    "split",
    "isolate",
    "cut_one_way",
    "lossy",
    "slow_network",
    "reset_network",
)
OF_FLEET = ("split", "isolate", "cut_one_way", "lossy", "slow_network", "reset_network")
MOST_IN_FLEET = (
    250  # gateways of a laboratory fleet: each has a loopback address of its own
)
TRAFFIC = ("read", "write", "list", "look", "new")
MOST_EDGES, MOST_BOXES, MOST_SECONDS = 400, 400, 7200


def check_scenario(file: Any, report: Report) -> None:
    """Everything about a day of the laboratory."""
    check_gateway(file.gateway, report, ("gateway",))
    boxes = sum(each.count for each in file.box)
    for field, value, most in (
        ("edges", file.edges, MOST_EDGES),
        ("box", boxes, MOST_BOXES),
        ("seconds", file.seconds, MOST_SECONDS),
    ):
        if not 1 <= value <= most:
            report.add((field,), f"{field} {value:g} is not from 1 to {most}")
    if file.gateway.HasField("fleet") and file.edges > MOST_IN_FLEET:
        report.add(
            ("edges",), f"{file.edges} edges in a fleet of {MOST_IN_FLEET} at most"
        )
    kinds = check_names(file.kind, "kind", report, ())
    for place, each in enumerate(file.box):
        if each.kind not in kinds:
            report.add(("box", str(place), "kind"), f"kind {each.kind!r} is missing")
    for place, each in enumerate(file.gateway.volume):
        if any(cell >= boxes for cell in each.cell):
            report.add(
                ("gateway", "volume", str(place), "cell"),
                f"a cell of {each.name!r} without a box",
            )
    plans = {each.name for each in file.gateway.plan}
    categories = {each.name for each in file.gateway.category}
    for place, each in enumerate(file.traffic):
        if each.category not in categories:
            report.add(
                ("traffic", str(place), "category"),
                f"category {each.category!r} is missing",
            )
        if each.operation not in TRAFFIC:
            report.add(
                ("traffic", str(place), "operation"),
                f"operation {each.operation!r} is not one of {', '.join(TRAFFIC)}",
            )
    for place, each in enumerate(file.surge):
        if any(number >= len(file.gateway.volume) for number in each.on):
            report.add(
                ("surge", str(place), "on"),
                f"a surge on one of {len(file.gateway.volume)} volumes that is none",
            )
    for name, held in (
        ("traffic", file.traffic),
        ("surge", file.surge),
        ("trouble", file.trouble),
    ):
        for place, each in enumerate(held):
            if each.plan and each.plan not in plans:
                report.add((name, str(place), "plan"), f"plan {each.plan!r} is missing")
    check_channel_traffic(file, report)
    for place, each in enumerate(file.trouble):
        if each.what not in TROUBLES:
            report.add(
                ("trouble", str(place), "what"),
                f"{each.what!r} is not one of {', '.join(TROUBLES)}",
            )
        if each.what in OF_FLEET and not file.gateway.HasField("fleet"):
            report.add(
                ("trouble", str(place), "what"),
                f"{each.what!r} is between gateways, and there is no fleet",
            )
        if each.what == "lossy" and not (0 <= each.size < 1 and 0 <= each.extra <= 1):
            report.add(
                ("trouble", str(place)),
                "lossy: size is the share lost, under 1, extra the share that comes twice",
            )
        if (
            not 0 <= each.part <= 1
            or not 0 <= each.at_s <= MOST_SECONDS
            or not 0 <= each.for_s <= MOST_SECONDS
        ):
            report.add(
                ("trouble", str(place)),
                f"part {each.part:g}, at_s {each.at_s:g} or for_s {each.for_s:g} is "
                "out of range",
            )


def check_channel_traffic(file: Any, report: Report) -> None:
    """Clients with channels: their contract and volume are there, figures within reason."""
    contracts = {each.name for each in file.gateway.fleet.channels.contract}
    volumes = {each.name for each in file.gateway.volume}
    for place, each in enumerate(file.channels):
        here = ("channels", str(place))
        if each.contract not in contracts:
            report.add(
                here + ("contract",),
                f"contract {each.contract!r} is missing from gateway.fleet.channels",
            )
        if each.volume not in volumes:
            report.add(here + ("volume",), f"volume {each.volume!r} is missing")
        for field, least, most in (
            ("channels", 1, 1000),
            ("per_s", 0.01, 1000),
            ("window", 1, 1000),
            ("batch", 1, 1000),
            ("reconnect_s", 0.1, 3600),
            ("elsewhere", 0, 1),
            ("extents", 1, 1000),
            ("patience_ms", 10, 600_000),
        ):
            value = getattr(each, field)
            if not least <= value <= most:
                report.add(
                    here + (field,),
                    f"{field} {value:g} is not from {least:g} to {most:g}",
                )
