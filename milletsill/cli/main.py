"""`milletsill`: run and check a gateway, play days in the laboratory. Exit status 0 fine, 1 failed, 2 bad input."""

from __future__ import annotations

import json
import os
import sys
from typing import Any

import click
from google.protobuf import text_format

from milletsill.cli.files import taken
from milletsill.cli.planner import ctl, plan
from milletsill.cli.traces import trace
from milletsill.errors import describe_error
from milletsill.settings.load import SettingsFileRejected, text_from
from milletsill.settings.milletsill_pb2 import GatewayFile, Scenario
from milletsill.settings.validation import check_gateway, check_scenario


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A storage gateway: schedules a host's reads and writes over storage nodes."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def edge(files: tuple[str, ...]) -> None:
    """Run the gateway of each FILE until SIGTERM; SIGHUP reads the files again."""
    loaded = [taken(each, GatewayFile, check_gateway) for each in files]
    from milletsill.sftp_gateway.process import run

    sys.exit(run(loaded, files))


@main.command()
def serve() -> None:
    """Serve the platform's protocol until SIGTERM; NODE_CONFIG names the file."""
    from milletsill.http_gateway import process

    sys.exit(process.main([]))


@main.command()
@click.argument("file", type=click.Path())
@click.option("--scenario", is_flag=True, help="FILE is a day of the laboratory.")
def check(file: str, scenario: bool) -> None:
    """Check FILE without starting anything."""
    made, checks = (
        (Scenario, check_scenario) if scenario else (GatewayFile, check_gateway)
    )
    taken(file, made, checks)
    click.echo(f"{file}: fine")


@main.group()
def lab() -> None:
    """The laboratory: play days against stand-ins on loopback."""


@lab.command("run")
@click.argument("scenario", type=click.Path())
@click.option(
    "--out",
    required=True,
    type=click.Path(),
    help="Folder for records, logs and results.",
)
@click.option(
    "--module",
    "modules",
    multiple=True,
    type=click.Choice(["bd-edf", "fifo", "flood"]),
    help="What decides; several are played one after another. Baselines stand in only here.",
)
@click.option(
    "--per-process",
    default=1,
    show_default=True,
    type=click.IntRange(1, 400),
    help="Edges of one process.",
)
@click.option("--seed", type=int, help="In place of the scenario's.")
@click.option(
    "--flows",
    default="off",
    show_default=True,
    type=click.Choice(["off", "on", "away", "stuck"]),
    help="Flow export: none, to a collector, to nobody, to one that never reads.",
)
@click.option(
    "--trace", "traced", is_flag=True, help="Each edge writes a trace, into OUT/traces."
)
@click.option(
    "--planner",
    "planned",
    is_flag=True,
    help="With a planner; troubles of planners are played only then.",
)
@click.option(
    "--plant",
    default="",
    type=click.Choice(
        ["", "each-in-order", "newest", "by-extent", "batches", "all", "linger"]
    ),
    help="A fault planted in the gate of one contract: the audit has to find it. `linger` is lawful by itself.",
)
def lab_run(
    scenario: str,
    out: str,
    modules: tuple[str, ...],
    per_process: int,
    seed: int | None,
    flows: str,
    traced: bool,
    planned: bool,
    plant: str,
) -> None:
    """Play SCENARIO and audit what crossed the sockets. Exit status 1 where a rule was broken by the module."""
    from milletsill.lab.run import Run, broken, report

    day = taken(scenario, Scenario, check_scenario)
    if seed is not None:
        day.seed = seed
    failed = False
    for module in modules or ("bd-edf",):
        name = "" if module == "bd-edf" else module
        try:
            result = Run(
                day,
                os.path.join(out, module) if len(modules) > 1 else out,
                name,
                per_process,
                lambda text: click.echo(text, err=True),
                flows,
                traced,
                planned,
                plant,
            ).play()
        except (RuntimeError, OSError) as error:
            click.echo(f"milletsill: {error}", err=True)
            sys.exit(1)
        click.echo(report(result))
        failed |= not name and broken(result)
    sys.exit(1 if failed else 0)


@lab.command("from-day")
@click.argument("day", type=click.Path())
@click.option("--edges", type=click.IntRange(1, 400), help="Cut down to so many edges.")
@click.option("--boxes", type=click.IntRange(1, 400), help="Cut down to so many boxes.")
@click.option(
    "--seconds", type=click.FloatRange(1, 7200), help="Cut down to so many seconds."
)
def lab_from_day(
    day: str, edges: int | None, boxes: int | None, seconds: float | None
) -> None:
    """Turn DAY, a day file that the bench drew, into a scenario on standard output."""
    from milletsill.lab.day import InvalidDayFile, scenario_of

    try:
        given = json.loads(text_from(day))
        made = scenario_of(given, edges, boxes, seconds)
    except SettingsFileRejected as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except (InvalidDayFile, ValueError, RecursionError) as error:
        click.echo(f"{day}: {describe_error(error)}", err=True)
        sys.exit(2)
    click.echo(text_format.MessageToString(made), nl=False)


@lab.command("audit")
@click.argument("out", type=click.Path())
def lab_audit(out: str) -> None:
    """Audit the records of an earlier run in the folder OUT once more."""
    import glob

    from milletsill.lab.audit import RULES, audit, gather
    from milletsill.lab.audit_contracts import audit_contracts

    terms = taken(os.path.join(out, "scenario.textproto"), Scenario, check_scenario)
    try:
        evidence = gather(out, len(glob.glob(os.path.join(out, "box-*.rec"))))
    except (OSError, ValueError) as error:
        click.echo(f"milletsill: {error}", err=True)
        sys.exit(2)
    found = {
        f"rule {rule}, {RULES[rule]}": held
        for rule, held in audit(evidence, terms).items()
    }
    found.update(
        (f"contract {name}", held)
        for name, held in audit_contracts(evidence, terms).items()
    )
    for name, breaches in found.items():
        click.echo(f"{name}: {'kept' if not breaches else f'{len(breaches)} breaches'}")
        for each in breaches[:20]:
            click.echo("  " + "\n    ".join([each.text, *each.packets]))
    sys.exit(1 if any(found.values()) else 0)


@main.group()
def flows() -> None:
    """Flow export: hear, decode and explain it."""


@flows.command("collect")
@click.option(
    "--listen",
    default="127.0.0.1:4739",
    show_default=True,
    help="host:port for UDP and TCP alike.",
)
@click.option(
    "--seconds", type=click.FloatRange(0.1, 86_400), help="End by itself after so long."
)
@click.option(
    "--within",
    multiple=True,
    help="Only flows with an end in this prefix; may be given again.",
)
@click.option(
    "--quiet", is_flag=True, help="No line for each record, what it came to alone."
)
@click.option(
    "--table",
    "as_table",
    is_flag=True,
    help="A table at the end in place of a line for each record.",
)
def flows_collect(
    listen: str,
    seconds: float | None,
    within: tuple[str, ...],
    quiet: bool,
    as_table: bool,
) -> None:
    """Hear IPFIX and NetFlow 9, decode strictly, print JSON lines; at the end what it came to."""
    import signal

    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    from milletsill.flows.collecting_process import CollectingProcess
    from milletsill.flows.collecting_transport import (
        TcpCollectingFactory,
        UdpCollectingProtocol,
    )
    from milletsill.flows.summary_table import render_summary

    collector = CollectingProcess(
        (lambda row: None)
        if as_table or quiet
        else lambda row: click.echo(json.dumps(row)),
        lambda text: click.echo(text, err=True),
        prefixes(within),
    )
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        click.echo(f"milletsill: {listen!r} is not host:port", err=True)
        sys.exit(2)
    try:
        reactor.listenUDP(
            int(port),
            UdpCollectingProtocol(collector),
            interface=host,
            maxPacketSize=65_535,
        )
        reactor.listenTCP(int(port), TcpCollectingFactory(collector), interface=host)
    except CannotListenError as error:
        click.echo(f"milletsill: {error}", err=True)
        sys.exit(1)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(reactor.stop))
    if seconds:
        reactor.callLater(seconds, reactor.stop)
    reactor.run(installSignalHandlers=False)
    click.echo(
        render_summary(collector.summary())
        if as_table
        else json.dumps(collector.summary())
    )


def prefixes(given: tuple[str, ...]) -> Any:
    """An address set, or None for all; a bad prefix is one line and status 2."""
    from netaddr import AddrFormatError, IPSet

    try:
        return IPSet(given) if given else None
    except (AddrFormatError, ValueError) as error:
        click.echo(f"milletsill: {error}", err=True)
        sys.exit(2)


@flows.command("decode")
@click.argument("file", type=click.Path())
@click.option(
    "--within",
    multiple=True,
    help="Only flows with an end in this prefix; may be given again.",
)
def flows_decode(file: str, within: tuple[str, ...]) -> None:
    """Decode FILE, IPFIX messages one behind the other (RFC 5655). Exit status 1 where it ends in the middle of one."""
    from milletsill.flows.collecting_process import CollectingProcess, TransportSession
    from milletsill.flows.errors import MalformedFlowMessage
    from milletsill.flows.ipfix_stream import IpfixMessageSplitter

    collector = CollectingProcess(
        lambda row: click.echo(json.dumps(row)),
        lambda text: click.echo(text, err=True),
        prefixes(within),
    )
    session = TransportSession(template_lifetime=None)
    splitter = IpfixMessageSplitter()
    at = 0
    try:
        with open(file, "rb") as source:
            while data := source.read(65_536):
                for message in splitter.feed(data):
                    collector.on_message(session, message, f"{file} at {at}")
                    at += len(message)
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
        sys.exit(2)
    except MalformedFlowMessage as error:
        click.echo(error.with_location(f"{file} at {at}").describe(), err=True)
        sys.exit(1)
    if splitter.buffer:
        click.echo(
            f"{file}: cut {len(splitter.buffer)} bytes into a message at {at}", err=True
        )
    sys.exit(1 if splitter.buffer or collector.malformed else 0)


@flows.command("elements")
def flows_elements() -> None:
    """Print our enterprise elements."""
    from milletsill.flows.information_elements import ELEMENTS, ElementSpace

    for element in ELEMENTS.values():
        if element.space is ElementSpace.ENTERPRISE:
            click.echo(
                f"{element.number:>3} {element.name:<32} {element.data_type:<12} "
                f"{element.semantics:<13} {element.description}"
            )


main.add_command(trace)
main.add_command(plan)
main.add_command(ctl)
