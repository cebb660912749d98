"""`milletsill lab`: runs scenarios in the laboratory and audits the results."""

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

OWN_MODULE = "bd-edf"  # milletsill's own scheduler; the others are baselines
MAX_BREACHES_SHOWN = 20  # per rule


@dataclass(frozen=True, slots=True)
class LabRunOptions:
    """The options of `lab run`.

    Attributes:
        out: folder for records, logs and results.
        modules: schedulers to run; empty for OWN_MODULE only.
        per_process: number of gateways in one process.
        seed: replaces the seed of the scenario; None keeps it.
        flows: condition of the flow export.
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
    """The laboratory: run scenarios with stand-in nodes on loopback."""


@lab.command(
    "run",
    help="Run SCENARIO and audit the recorded traffic. Exit status 1 if bd-edf broke a "
    "rule.",
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
    help="Scheduler to run; may be repeated, for one run each. fifo and flood are "
    "baselines that exist only in the laboratory.",
)
@click.option(
    "--per-process",
    default=1,
    show_default=True,
    type=click.IntRange(1, 400),
    help="Gateways (edges) per process.",
)
@click.option("--seed", type=int, help="Replaces the seed of the scenario.")
@click.option(
    "--flows",
    default="off",
    show_default=True,
    type=click.Choice(["off", "on", "away", "stuck"]),
    help="Flow export: off, to a collector (on), to an address without a collector "
    "(away), to a collector that never reads (stuck).",
)
@click.option(
    "--trace",
    "traced",
    is_flag=True,
    help="Each gateway writes a trace into OUT/traces.",
)
@click.option(
    "--planner",
    "planned",
    is_flag=True,
    help="Run with a planner; faults of planners occur only with it.",
)
@click.option(
    "--plant",
    default="",
    type=click.Choice(
        ["", "each-in-order", "newest", "by-extent", "batches", "all", "linger"]
    ),
    help="Fault to plant in the implementation of one ordering contract, which the "
    "audit must find. `linger` only delays requests, which breaks no rule.",
)
@group_options(LabRunOptions)
def lab_run(scenario: str, options: LabRunOptions) -> None:
    """Run a scenario with each module; exit with EXIT_FAILED if OWN_MODULE failed."""
    file = load_or_exit(scenario, Scenario, check_scenario)
    if options.seed is not None:
        file.seed = options.seed
    failed = False
    for module in options.modules or (OWN_MODULE,):
        out = options.out
        if len(options.modules) > 1:
            out = os.path.join(out, module)
        failed |= _run_scenario(file, module, out, options)
    sys.exit(EXIT_FAILED if failed else 0)


def _run_scenario(
    scenario: Scenario, module: str, out: str, options: LabRunOptions
) -> bool:
    """Run a scenario with one module, print the result, return whether it failed.

    Only OWN_MODULE fails if it breaks a rule: baselines are expected to break rules. If
    the run cannot start or finish, the process exits with EXIT_FAILED.
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
@click.option(
    "--edges", type=click.IntRange(1, 400), help="Reduce to this many gateways (edges)."
)
@click.option(
    "--boxes", type=click.IntRange(1, 400), help="Reduce to this many nodes (boxes)."
)
@click.option(
    "--seconds", type=click.FloatRange(1, 7200), help="Reduce to this many seconds."
)
def lab_from_day(
    day: str, edges: int | None, boxes: int | None, seconds: float | None
) -> None:
    """Convert DAY, a day file of the benchmark, into a scenario on standard output."""
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
    """Audit again the records of an earlier run in the folder OUT."""
    import glob

    from milletsill.lab.audit import audit
    from milletsill.lab.audit_contracts import audit_contracts
    from milletsill.lab.breaches import RULES
    from milletsill.lab.evidence_reader import read_evidence

    file = os.path.join(out, "scenario.textproto")
    scenario = load_or_exit(file, Scenario, check_scenario)
    try:
        evidence = read_evidence(out, len(glob.glob(os.path.join(out, "box-*.rec"))))
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
