"""`milletsill`: runs and checks gateways, and adds the other groups of commands.

Exit status 0: success, 1: failure, 2: bad input.
"""

from __future__ import annotations

import sys

import click

from milletsill.cli.files import load_or_exit
from milletsill.cli.flows import flows
from milletsill.cli.lab import lab
from milletsill.cli.planner import ctl, plan
from milletsill.cli.traces import trace
from milletsill.settings.gateway_file import check_gateway
from milletsill.settings.milletsill_pb2 import GatewayFile, Scenario
from milletsill.settings.scenario import check_scenario


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A storage gateway: schedules reads and writes of clients over storage nodes."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def edge(files: tuple[str, ...]) -> None:
    """Run the gateway of each FILE until SIGTERM; SIGHUP reloads the files."""
    loaded = [load_or_exit(file, GatewayFile, check_gateway) for file in files]
    from milletsill.sftp_gateway.process import run

    sys.exit(run(loaded, files))


@main.command()
def serve() -> None:
    """Run the HTTP gateway until SIGTERM; NODE_CONFIG names its settings file."""
    from milletsill.http_gateway import process

    sys.exit(process.main([]))


@main.command()
@click.argument("file", type=click.Path())
@click.option("--scenario", is_flag=True, help="FILE is a scenario of the laboratory.")
def check(file: str, scenario: bool) -> None:
    """Check FILE without starting anything."""
    if scenario:
        load_or_exit(file, Scenario, check_scenario)
    else:
        load_or_exit(file, GatewayFile, check_gateway)
    click.echo(f"{file}: fine")


main.add_command(lab)
main.add_command(flows)
main.add_command(trace)
main.add_command(plan)
main.add_command(ctl)
