"""`milletsill plan` runs the planner, `milletsill ctl` queries and controls it."""

from __future__ import annotations

import json
import socket
import sys
from typing import Any

import click

from milletsill.cli.exits import EXIT_FAILED, exit_with_error
from milletsill.cli.files import load_or_exit
from milletsill.errors import MilletsillError, describe_error

ANSWER_TIMEOUT = 5.0  # seconds
READ_SIZE = 1 << 16  # bytes of an answer at a time


@click.command(
    "plan",
    help="Run the planner of FILE until SIGTERM. Exit status 1 if it could not start "
    "or another planner superseded it.",
)
@click.argument("file", type=click.Path())
@click.option("--check", is_flag=True, help="Check FILE without starting anything.")
def plan(file: str, check: bool) -> None:
    """Run the planner of a file, or only check the file."""
    from milletsill.settings.milletsill_pb2 import PlannerFile
    from milletsill.settings.planner_file import check_planner

    loaded = load_or_exit(file, PlannerFile, check_planner)
    if check:
        click.echo(f"{file}: fine")
        return
    from milletsill.planner.planner_process import run

    sys.exit(run(loaded))


class PlannerCommandFailedError(MilletsillError):
    """The planner rejected a command, or closed the connection without an answer."""

    remedy = (
        "see the reason given; `milletsill ctl --planner ADDRESS edges` lists the "
        "gateways that it knows"
    )


def ask(address: str, **question: Any) -> list[dict[str, Any]]:
    """Send a command to a planner and return the JSON value of each answer line.

    The keywords are the fields of the protobuf message `Question`. A rejection or a
    missing answer ends the process with EXIT_FAILED; for an address that is not
    host:port click reports a usage error.
    """
    try:
        return _ask(address, question)
    except (OSError, OverflowError, ValueError, MilletsillError) as error:
        exit_with_error(f"{address}: {describe_error(error)}", EXIT_FAILED)


def _ask(address: str, question: dict[str, Any]) -> list[dict[str, Any]]:
    """Send a command to a planner and return its answer.

    Raises:
        PlannerCommandFailedError: the planner rejected the command, or closed the
            connection without an answer.
        click.BadParameter: the address is not host:port.
        OSError: the planner cannot be reached, or did not answer in time.
    """
    from milletsill.planner.codec import FrameParser, encode_frame
    from milletsill.planner.plan_pb2 import Question

    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise click.BadParameter(f"{address!r} is not host:port")
    with socket.create_connection((host, int(port)), ANSWER_TIMEOUT) as connection:
        connection.settimeout(ANSWER_TIMEOUT)
        connection.sendall(encode_frame(question=Question(**question)))
        parser = FrameParser()
        while data := connection.recv(READ_SIZE):
            for frame in parser.feed(data):
                if frame.told.fault:
                    raise PlannerCommandFailedError(frame.told.fault)
                return [json.loads(line) for line in frame.told.line]
    raise PlannerCommandFailedError(
        "the planner closed the connection without an answer"
    )


def _print_answer(address: str, **question: Any) -> None:
    """Send a command to a planner and print each value of the answer as JSON."""
    for value in ask(address, **question):
        click.echo(json.dumps(value))


def _print_first_value(address: str, **question: Any) -> None:
    """Send a command to a planner and print the first value of the answer."""
    click.echo(json.dumps(ask(address, **question)[0]))


@click.group()
@click.option("--planner", "address", required=True, help="host:port of the planner.")
@click.pass_context
def ctl(context: click.Context, address: str) -> None:
    """Query and control the planner."""
    context.obj = address


@ctl.command("shares")
@click.option("--edge", default="", help="Only the quota shares of this gateway.")
@click.option(
    "--most",
    default=1000,
    show_default=True,
    type=click.IntRange(1, 100_000),
)
@click.pass_obj
def ctl_shares(address: str, edge: str, most: int) -> None:
    """Print the quota share of each gateway in each quota, a line of JSON each."""
    _print_answer(address, what="shares", edge=edge, most=most)


@ctl.command("edges")
@click.pass_obj
def ctl_edges(address: str) -> None:
    """Print the connected gateways, with incarnation and time of the last message."""
    _print_answer(address, what="edges")


@ctl.command("freeze")
@click.pass_obj
def ctl_freeze(address: str) -> None:
    """Stop planning: the planner keeps the current plan and makes no new one."""
    _print_first_value(address, what="freeze")


@ctl.command("thaw")
@click.pass_obj
def ctl_thaw(address: str) -> None:
    """Resume planning after `freeze`."""
    _print_first_value(address, what="thaw")


@ctl.command("drain")
@click.argument("edge")
@click.pass_obj
def ctl_drain(address: str, edge: str) -> None:
    """Plan for gateway EDGE without demand: it keeps the floor, others get the rest."""
    _print_first_value(address, what="drain", edge=edge)


@ctl.command("undrain")
@click.argument("edge")
@click.pass_obj
def ctl_undrain(address: str, edge: str) -> None:
    """Undo `drain`: plan for gateway EDGE by its demand."""
    _print_first_value(address, what="undrain", edge=edge)
