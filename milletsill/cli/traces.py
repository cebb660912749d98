"""`milletsill trace`: shows, cuts, merges, anonymises, repairs and converts traces.

An invalid or missing file gives one line on standard error and exit status 2.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, TypeAlias, TypeVar

import click

from milletsill.cli.exits import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    exit_with,
    exit_with_error,
)
from milletsill.cli.options import group_options
from milletsill.errors import describe_error

MIN_KEY = 16  # bytes of the secret key for anonymised names
MAX_KEY = 4096  # bytes; the rest of a longer key file is ignored
TICKS_PER_S = 10_000  # a tick of a trace is 0.1 ms
TICKS_PER_MS = 10
MIN_WINDOW = 10  # ticks

FILE = click.argument("file", type=click.Path())
FILES = click.argument("files", nargs=-1, required=True, type=click.Path())
OUT = click.argument("out", type=click.Path())
SINCE = click.option(
    "--from",
    "since",
    help="Start of the period: ticks of 0.1 ms on the writer's clock, +N[s|m|h] after "
    "the start of the trace, or ISO 8601 wall time.",
)
UNTIL = click.option(
    "--to", "until", help="End of the period (exclusive), in the forms of --from."
)

ResultT = TypeVar("ResultT")
# Called with the number of bytes read since the last call.
OnBytesRead: TypeAlias = Callable[[int], None]


@click.group()
def trace() -> None:
    """Traces: show, cut, merge, anonymise, repair and convert them."""


def result_or_exit(call: Callable[[], ResultT]) -> ResultT:
    """Return the result of a call that reads traces.

    An invalid or missing file ends the process with EXIT_BAD_INPUT.
    """
    from milletsill.trace.file_format import MalformedTraceError

    try:
        return call()
    except MalformedTraceError as error:
        exit_with_error(error.describe(), EXIT_BAD_INPUT)
    except OSError as error:
        exit_with_error(f"{error.filename}: {error.strerror}", EXIT_BAD_INPUT)


def read_with_progress(
    files: list[str],
    read: Callable[[OnBytesRead | None], ResultT],
    passes: int = 1,
) -> ResultT:
    """Return the result of a call that reads whole files.

    Shows a progress bar if standard error is a terminal; `passes` is how often the call
    reads the files. An invalid or missing file ends the process with EXIT_BAD_INPUT.
    """
    if not sys.stderr.isatty():
        return result_or_exit(lambda: read(None))
    from rich.console import Console
    from rich.progress import Progress

    size = sum(os.path.getsize(file) for file in files if os.path.exists(file))
    with Progress(console=Console(stderr=True), transient=True) as progress:
        bar = progress.add_task("reading", total=size * passes)
        return result_or_exit(lambda: read(partial(progress.advance, bar)))


def parse_period(
    file: str, since: str | None, until: str | None
) -> tuple[int | None, int | None]:
    """Return start and end of a period on the file's clock, None if not given.

    An invalid time or file ends the process with EXIT_BAD_INPUT.
    """
    from milletsill.trace.time_argument import InvalidTimeError

    try:
        return result_or_exit(lambda: _parse_period(file, since, until))
    except (InvalidTimeError, ValueError, TypeError) as error:
        exit_with_error(describe_error(error), EXIT_BAD_INPUT)


def _parse_period(
    file: str, since: str | None, until: str | None
) -> tuple[int | None, int | None]:
    """Read the file's clock, and return start and end of a period on it."""
    from milletsill.trace.reader import TraceReader
    from milletsill.trace.time_argument import parse_time

    def parse_optional(text: str | None) -> int | None:
        if text is None:
            return None
        return parse_time(
            text, int(header.get("opened", 0)), int(header.get("wall_ms", 0))
        )

    with TraceReader(file) as reader:
        header = reader.contents.header
        return parse_optional(since), parse_optional(until)


@trace.command("info")
@FILES
def trace_info(files: tuple[str, ...]) -> None:
    """Print a summary of each of FILES as a line of JSON."""
    from milletsill.trace.summary import summarise_trace

    for file in files:
        click.echo(
            json.dumps(read_with_progress([file], partial(summarise_trace, file)))
        )


@trace.command("cat")
@FILE
@SINCE
@UNTIL
def trace_cat(file: str, since: str | None, until: str | None) -> None:
    """Print the records of FILE as lines of JSON."""
    from milletsill.trace.summary import dump_records

    begin, end = parse_period(file, since, until)
    result_or_exit(
        lambda: dump_records(
            file, begin, end, lambda record: click.echo(json.dumps(record))
        )
    )


@trace.command("verify")
@FILES
def trace_verify(files: tuple[str, ...]) -> None:
    """Decompress and check all blocks of FILES. Exit status 1 if any is damaged."""
    from milletsill.trace.repair import verify

    is_damaged = False
    for file in files:
        found = read_with_progress([file], partial(verify, file))
        click.echo(
            f"{file}: {found.state.name.lower()}, {len(found.blocks)} blocks, "
            f"{sum(block.record_count for block in found.blocks)} records"
        )
        for gap in found.damage:
            is_damaged = True
            click.echo(f"  at {gap.offset}, {gap.size} bytes: {gap.reason}")
    sys.exit(EXIT_FAILED if is_damaged else 0)


@trace.command(
    "repair",
    help="Copy the intact blocks of FILE unchanged to the new file OUT, with a new "
    "index.",
)
@FILE
@OUT
def trace_repair(file: str, out: str) -> None:
    """Copy the intact blocks of a file to a new file, with an index."""
    from milletsill.trace.repair import repair

    found = read_with_progress([file], partial(repair, file, out))
    left_out = sum(gap.size for gap in found.damage)
    click.echo(f"{out}: {len(found.blocks)} blocks kept, {left_out} bytes left out")


@dataclass(frozen=True, slots=True)
class CutOptions:
    """The part of a trace that `trace cut` writes; a field of None filters nothing.

    Attributes:
        since: start of the period.
        until: end of the period.
        store: name of the volume to keep.
        category: name or position of the request class to keep.
        box: number of the node to keep.
    """

    since: str | None
    until: str | None
    store: str | None
    category: str | None
    box: int | None


@trace.command("cut")
@FILE
@OUT
@SINCE
@UNTIL
@click.option("--store", help="Keep only requests to this volume.")
@click.option(
    "--category", help="Keep only requests of this request class: its name or position."
)
@click.option(
    "--box", type=int, help="Keep only requests with an attempt on this node."
)
@group_options(CutOptions)
def trace_cut(file: str, out: str, options: CutOptions) -> None:
    """Write part of FILE to the new file OUT."""
    from milletsill.trace.cut import cut_trace, find_request_class
    from milletsill.trace.record_filter import RecordFilter

    begin, end = parse_period(file, options.since, options.until)
    category = options.category
    position = None
    if category is not None:
        position = result_or_exit(partial(find_request_class, file, category))
    wanted = RecordFilter(begin, end, options.store, position, options.box)
    result = read_with_progress([file], partial(cut_trace, file, out, wanted))
    click.echo(f"{out}: {result.records} records, {result.bytes_read} bytes read")


@trace.command(
    "merge",
    help="Merge FILES of several gateways by wall time into the new file OUT. Clocks "
    "that are seconds apart are corrected by the endpoint updates that the gateways "
    "have in common; the uncertainty of each correction is printed.",
)
@OUT
@FILES
def trace_merge(out: str, files: tuple[str, ...]) -> None:
    """Merge traces of several gateways and print the correction of each clock."""
    from milletsill.trace.merge import merge_traces

    result = read_with_progress(
        list(files), partial(merge_traces, list(files), out), passes=2
    )
    click.echo(f"{out}: {result.records} records")
    for clock in result.clocks:
        uncertainty = clock.uncertainty
        if not clock.correction and uncertainty is not None:
            continue
        if uncertainty is None:
            source = "no common endpoint updates, by wall clock only"
        else:
            source = f"uncertainty {uncertainty / TICKS_PER_MS:g} ms"
        correction = clock.correction / TICKS_PER_MS
        click.echo(f"  {clock.name}: clock corrected by {correction:g} ms, {source}")


@trace.command(
    "anonymise",
    help="Write FILE to the new file OUT with the names of volumes and request classes "
    "and all paths replaced.",
)
@FILE
@OUT
@click.option(
    "--key-file",
    required=True,
    type=click.Path(),
    help="File with a secret of at least 16 bytes; the same key gives the same names.",
)
def trace_anonymise(file: str, out: str, key_file: str) -> None:
    """Write a file to a new file with names and paths replaced."""
    from milletsill.trace.anonymise import anonymise_trace

    key = result_or_exit(lambda: Path(key_file).read_bytes()[:MAX_KEY])
    if len(key) < MIN_KEY:
        exit_with(
            f"{key_file}: a key of {len(key)} bytes, expected at least {MIN_KEY}",
            EXIT_BAD_INPUT,
        )
    records = read_with_progress([file], partial(anonymise_trace, file, out, key))
    click.echo(f"{out}: {records} records")


@trace.command("convert")
@FILE
@OUT
@click.option(
    "--to",
    "to",
    type=click.Choice(["mtrace", "parquet", "csv"]),
    default="mtrace",
    show_default=True,
    help="mtrace: the current version, in full blocks. parquet, csv: OUT is a folder "
    "with one table for each kind of record.",
)
def trace_convert(file: str, out: str, to: str) -> None:
    """Convert FILE to another format."""
    from milletsill.trace.convert import convert_trace

    records = read_with_progress(
        [file], lambda on_bytes_read: convert_trace(file, out, to, on_bytes_read)
    )
    click.echo(f"{out}: {records} records")


@dataclass(frozen=True, slots=True)
class SummaryOptions:
    """The options of `trace summarise`.

    Attributes:
        since: start of the period; None for the start of the trace.
        until: end of the period; None for the end of the trace.
        window: seconds per row.
        power: units per second of all nodes; None if not known.
        as_json: whether to print JSON instead of a table.
        plot: file for a plot; None for no plot.
    """

    since: str | None
    until: str | None
    window: float
    power: float | None
    as_json: bool
    plot: str | None


@trace.command("summarise")
@FILE
@SINCE
@UNTIL
@click.option(
    "--window",
    type=click.FloatRange(0.001),
    default=60.0,
    show_default=True,
    help="Seconds.",
)
@click.option(
    "--power",
    type=click.FloatRange(0, min_open=True),
    help="Units per second of all nodes, for the service by reserve and share from the "
    "trace of one gateway.",
)
@click.option("--json", "as_json", is_flag=True)
@click.option(
    "--plot",
    type=click.Path(),
    help="Also write a plot; the file name ends in .png or .svg.",
)
@group_options(SummaryOptions)
def trace_summarise(file: str, options: SummaryOptions) -> None:
    """Print service, latency quantiles and rejections with causes, by time window."""
    from milletsill.trace.service_display import format_report, plot_report
    from milletsill.trace.service_report import report_service

    begin, end = parse_period(file, options.since, options.until)
    window = max(int(options.window * TICKS_PER_S), MIN_WINDOW)
    summary: dict[str, Any] = read_with_progress(
        [file],
        partial(report_service, file, window, options.power, begin, end),
    )
    click.echo(json.dumps(summary) if options.as_json else format_report(summary))
    plot_file = options.plot
    if not plot_file:
        return
    try:
        result_or_exit(lambda: plot_report(summary, plot_file))
    except ValueError as error:
        exit_with_error(f"{plot_file}: {error}", EXIT_BAD_INPUT)
