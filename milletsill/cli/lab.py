"""`milletsill lab`: plays scenarios in the laboratory, and audits them."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import dataclass

import click
from google.protobuf import text_format

from milletsill.cli.exits import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    exit_with,
    exit_with_error,
)
from milletsill.cli.files import load_or_exit
from milletsill.cli.options import group_options
from milletsill.errors import describe_error
from milletsill.settings.flaws import SettingsFileRejectedError
from milletsill.settings.load import read_text
from milletsill.settings.milletsill_pb2 import Scenario
from milletsill.settings.scenario import check_scenario

OWN_MODULE = "bd-edf"  # the scheduler itself; all others are baselines
MAX_BREACHES_SHOWN = 20  # of one rule


@dataclass(frozen=True, slots=True)
class LabRunOptions:
    """What `lab run` is given beside the scenario.

    Attributes:
        out: folder for records, logs and results.
        modules: schedulers to play with; empty for OWN_MODULE alone.
        per_process: gateways of one process.
        seed: in place of the scenario's; None keeps that.
        flows: what becomes of the flow export.
        traced: whether each gateway writes a trace.
        planned: whether there is a planner.
        plant: name of a fault planted in one ordering contract; empty for none.
    """

    out: str
    modules: tuple[str, ...]
    per_process: int
    seed: int | None
    flows: str
    traced: bool
    planned: bool
    plant: str


@click.group()
def lab() -> None:
    """The laboratory: play days against stand-ins on loopback."""


@lab.command(
    "run",
    help="Play SCENARIO and audit what crossed the sockets. Exit status 1 where a rule "
    "was broken by the module.",
)
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
    help="What decides; several are played one after another. Baselines stand in only "
    "here.",
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
    help="A fault planted in the gate of one contract: the audit has to find it. "
    "`linger` is lawful by itself.",
)
@group_options(LabRunOptions)
def lab_run(scenario: str, options: LabRunOptions) -> None:
    """Play a scenario with each module, and end with EXIT_FAILED if it broke a rule."""
    file = load_or_exit(scenario, Scenario, check_scenario)
    if options.seed is not None:
        file.seed = options.seed
    failed = False
    for module in options.modules or (OWN_MODULE,):
        out = options.out
        if len(options.modules) > 1:
            out = os.path.join(out, module)
        failed |= _play(file, module, out, options)
    sys.exit(EXIT_FAILED if failed else 0)


def _play(scenario: Scenario, module: str, out: str, options: LabRunOptions) -> bool:
    """Play a scenario with one module, print the result, return whether that failed.

    Only OWN_MODULE fails by breaking a rule: baselines are expected to. A play that
    cannot start or end ends the process with EXIT_FAILED.
    """
    from milletsill.lab.run import Run, broken, report

    try:
        result = Run(
            scenario,
            out,
            "" if module == OWN_MODULE else module,
            options.per_process,
            lambda text: click.echo(text, err=True),
            options.flows,
            options.traced,
            options.planned,
            options.plant,
        ).play()
    except (RuntimeError, OSError) as error:
        exit_with_error(str(error), EXIT_FAILED)
    click.echo(report(result))
    return module == OWN_MODULE and bool(broken(result))


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
    from milletsill.lab.day import InvalidDayFileError, scenario_of

    try:
        scenario = scenario_of(json.loads(read_text(day)), edges, boxes, seconds)
    except SettingsFileRejectedError as error:
        exit_with(str(error), EXIT_BAD_INPUT)
    except (InvalidDayFileError, ValueError, RecursionError) as error:
        exit_with(f"{day}: {describe_error(error)}", EXIT_BAD_INPUT)
    click.echo(text_format.MessageToString(scenario), nl=False)


@lab.command("audit")
@click.argument("out", type=click.Path())
def lab_audit(out: str) -> None:
    """Audit the records of an earlier run in the folder OUT once more."""
    import glob

    from milletsill.lab.audit import RULES, audit, gather
    from milletsill.lab.audit_contracts import audit_contracts

    file = os.path.join(out, "scenario.textproto")
    scenario = load_or_exit(file, Scenario, check_scenario)
    try:
        evidence = gather(out, len(glob.glob(os.path.join(out, "box-*.rec"))))
    except (OSError, ValueError) as error:
        exit_with_error(str(error), EXIT_BAD_INPUT)
    breaches_by_title = {
        f"rule {rule}, {RULES[rule]}": breaches
        for rule, breaches in audit(evidence, scenario).items()
    }
    for name, breaches in audit_contracts(evidence, scenario).items():
        breaches_by_title[f"contract {name}"] = breaches
    for title, breaches in breaches_by_title.items():
        verdict = f"{len(breaches)} breaches" if breaches else "kept"
        click.echo(f"{title}: {verdict}")
        for breach in breaches[:MAX_BREACHES_SHOWN]:
            click.echo("  " + "\n    ".join([breach.text, *breach.packets]))
    sys.exit(EXIT_FAILED if any(breaches_by_title.values()) else 0)
