"""`milletsill plan` runs the planner, `milletsill ctl` asks it."""

from __future__ import annotations

import json
import socket
import sys
from typing import Any

import click

from milletsill.errors import MilletsillError, describe_error

WITHIN = 5.0  # seconds for an answer


@click.command("plan")
@click.argument("file", type=click.Path())
@click.option("--check", is_flag=True, help="Check FILE and start nothing.")
def plan(file: str, check: bool) -> None:
    """Run the planner of FILE until SIGTERM. Exit status 1 where another planner took over or it could not start."""
    from milletsill.cli.files import taken
    from milletsill.settings.milletsill_pb2 import PlannerFile
    from milletsill.settings.validation import check_planner

    loaded = taken(file, PlannerFile, check_planner)
    if check:
        return click.echo(f"{file}: fine")
    from milletsill.planner.planner_process import run

    sys.exit(run(loaded))


class PlannerCommandFailed(MilletsillError):
    """The planner said why it did not do what it was asked, or ended."""

    remedy = (
        "see what it says; `milletsill ctl --planner ADDRESS edges` tells whom it knows"
    )


def ask(address: str, **question: Any) -> list[dict[str, Any]]:
    """One question to a planner; a fault or no answer is one line and status 1."""
    from milletsill.planner.codec import FrameParser, encode_frame
    from milletsill.planner.plan_pb2 import Question

    host, _, port = address.rpartition(":")
    try:
        if not host or not port.isdecimal():
            raise click.BadParameter(f"{address!r} is not host:port")
        with socket.create_connection((host, int(port)), WITHIN) as link:
            link.settimeout(WITHIN)
            link.sendall(encode_frame(question=Question(**question)))
            frames = FrameParser()
            while data := link.recv(1 << 16):
                for frame in frames.feed(data):
                    if frame.told.fault:
                        raise PlannerCommandFailed(frame.told.fault)
                    return [json.loads(each) for each in frame.told.line]
            raise PlannerCommandFailed("the planner ended without an answer")
    except (OSError, OverflowError, ValueError, MilletsillError) as error:
        click.echo(f"milletsill: {address}: {describe_error(error)}", err=True)
        sys.exit(1)


@click.group()
@click.option("--planner", "address", required=True, help="host:port of the planner.")
@click.pass_context
def ctl(context: click.Context, address: str) -> None:
    """Ask the planner and steer it."""
    context.obj = address


@ctl.command("shares")
@click.option("--edge", default="", help="This edge's alone.")
@click.option(
    "--most", default=1000, show_default=True, type=click.IntRange(1, 100_000)
)
@click.pass_obj
def ctl_shares(address: str, edge: str, most: int) -> None:
    """Who holds what, until when: a line of JSON for each edge and thing."""
    for each in ask(address, what="shares", edge=edge, most=most):
        click.echo(json.dumps(each))


@ctl.command("edges")
@click.pass_obj
def ctl_edges(address: str) -> None:
    """The edges that are connected, their runs and last words."""
    for each in ask(address, what="edges"):
        click.echo(json.dumps(each))


@ctl.command("freeze")
@click.pass_obj
def ctl_freeze(address: str) -> None:
    """Make no new plans; what stands goes on."""
    click.echo(json.dumps(ask(address, what="freeze")[0]))


@ctl.command("thaw")
@click.pass_obj
def ctl_thaw(address: str) -> None:
    """Plan again."""
    click.echo(json.dumps(ask(address, what="thaw")[0]))


@ctl.command("drain")
@click.argument("edge")
@click.pass_obj
def ctl_drain(address: str, edge: str) -> None:
    """Plan as if EDGE wanted nothing: it keeps the floor, the rest is lent on."""
    click.echo(json.dumps(ask(address, what="drain", edge=edge)[0]))


@ctl.command("undrain")
@click.argument("edge")
@click.pass_obj
def ctl_undrain(address: str, edge: str) -> None:
    """Plan for EDGE again."""
    click.echo(json.dumps(ask(address, what="undrain", edge=edge)[0]))
