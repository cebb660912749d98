"""`milletsill trace`: looks into traces, cuts, merges, anonymises, converts them.

A bad or missing file is one line on standard error and exit status 2.
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

MIN_KEY = 16  # bytes of the secret for anonymous names
MAX_KEY = 4096  # bytes; what a file has after these is not read as key
TICKS_PER_S = 10_000  # a trace counts time in tenths of a millisecond
TICKS_PER_MS = 10
MIN_WINDOW = 10  # ticks

FILE = click.argument("file", type=click.Path())
FILES = click.argument("files", nargs=-1, required=True, type=click.Path())
OUT = click.argument("out", type=click.Path())
SINCE = click.option(
    "--from",
    "since",
    help="Tenths of a millisecond on the writer's clock, +N[s|m|h] "
    "after its opening, or ISO 8601 wall time.",
)
UNTIL = click.option("--to", "until", help="Up to, not with.")

ResultT = TypeVar("ResultT")
# Is called with the number of bytes that were read since the last call.
OnBytesRead: TypeAlias = Callable[[int], None]


@click.group()
def trace() -> None:
    """Traces: look into them, cut, merge, anonymise, mend, convert."""


def result_or_exit(call: Callable[[], ResultT]) -> ResultT:
    """Return what a call on traces gives.

    A bad or missing file ends the process with EXIT_BAD_INPUT.
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
    """Return what a call that reads whole files gives.

    Shows a progress bar where standard error is a terminal; `passes` is how often the
    call reads the files. A bad or missing file ends the process with EXIT_BAD_INPUT.
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
    """Return begin and end of a period on the file's clock, None where not given.

    A bad time or file ends the process with EXIT_BAD_INPUT.
    """
    from milletsill.trace.time_argument import InvalidTimeError

    try:
        return result_or_exit(lambda: _parse_period(file, since, until))
    except (InvalidTimeError, ValueError, TypeError) as error:
        exit_with_error(describe_error(error), EXIT_BAD_INPUT)


def _parse_period(
    file: str, since: str | None, until: str | None
) -> tuple[int | None, int | None]:
    """Read the file's clock, and return begin and end of a period on it."""
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
    """What each of FILES holds, a line of JSON for each."""
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
    """Print FILE's records as JSON lines."""
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
    """Unpack every block of FILES. Exit status 1 where anything is broken."""
    from milletsill.trace.repair import verify

    is_broken = False
    for file in files:
        found = read_with_progress([file], partial(verify, file))
        click.echo(
            f"{file}: {found.state.name.lower()}, {len(found.blocks)} blocks, "
            f"{sum(block.record_count for block in found.blocks)} records"
        )
        for gap in found.damage:
            is_broken = True
            click.echo(f"  at {gap.offset}, {gap.size} bytes: {gap.reason}")
    sys.exit(EXIT_FAILED if is_broken else 0)


@trace.command(
    "repair",
    help="Write the whole blocks of FILE, as they stand, to the new file OUT, with an "
    "index.",
)
@FILE
@OUT
def trace_repair(file: str, out: str) -> None:
    """Write the whole blocks of a file to a new file, with an index."""
    from milletsill.trace.repair import repair

    found = read_with_progress([file], partial(repair, file, out))
    left_out = sum(gap.size for gap in found.damage)
    click.echo(f"{out}: {len(found.blocks)} blocks kept, {left_out} bytes left out")


@dataclass(frozen=True, slots=True)
class CutOptions:
    """What part of a trace `trace cut` writes; None of a field leaves nothing out.

    Attributes:
        since: begin of the period.
        until: end of the period.
        store: name of the only volume.
        category: the only request class, its name or position.
        box: number of the only node.
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
@click.option("--store", help="Transfers of this store alone.")
@click.option("--category", help="Of this category alone: its name or place.")
@click.option("--box", type=int, help="Transfers that were dispatched to this box.")
@group_options(CutOptions)
def trace_cut(file: str, out: str, options: CutOptions) -> None:
    """Write a part of FILE to the new file OUT."""
    from milletsill.trace.cut import cut_trace, find_request_class
    from milletsill.trace.record_filter import RecordFilter

    begin, end = parse_period(file, options.since, options.until)
    category = options.category
    place = None
    if category is not None:
        place = result_or_exit(partial(find_request_class, file, category))
    wanted = RecordFilter(begin, end, options.store, place, options.box)
    result = read_with_progress([file], partial(cut_trace, file, out, wanted))
    click.echo(f"{out}: {result.records} records, {result.bytes_read} bytes read")


@trace.command(
    "merge",
    help="Write FILES of many gateways as one, by wall time, to the new file OUT. "
    "Clocks that are seconds off are mended by the list news that the gateways share; "
    "what each correction may be off by is told.",
)
@OUT
@FILES
def trace_merge(out: str, files: tuple[str, ...]) -> None:
    """Write traces of many gateways as one, and print how each clock was corrected."""
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
            source = "nothing shared: the wall clock alone"
        else:
            source = f"give or take {uncertainty / TICKS_PER_MS:g} ms"
        correction = clock.correction / TICKS_PER_MS
        click.echo(f"  {clock.name}: clock set by {correction:g} ms, {source}")


@trace.command(
    "anonymise",
    help="Write FILE to the new file OUT with stores, paths and categories' names "
    "replaced.",
)
@FILE
@OUT
@click.option(
    "--key-file",
    required=True,
    type=click.Path(),
    help="A secret of 16 bytes or more; one key, equal names.",
)
def trace_anonymise(file: str, out: str, key_file: str) -> None:
    """Write a file to a new file with names and paths replaced."""
    from milletsill.trace.anonymise import anonymise_trace

    key = result_or_exit(lambda: Path(key_file).read_bytes()[:MAX_KEY])
    if len(key) < MIN_KEY:
        exit_with(
            f"{key_file}: a key of {len(key)} bytes, {MIN_KEY} at least",
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
    help="mtrace: the present version, in full blocks. Others: OUT is a folder, one "
    "table for each kind.",
)
def trace_convert(file: str, out: str, to: str) -> None:
    """Write FILE in another form."""
    from milletsill.trace.convert import convert_trace

    records = read_with_progress(
        [file], lambda on_bytes_read: convert_trace(file, out, to, on_bytes_read)
    )
    click.echo(f"{out}: {records} records")


@dataclass(frozen=True, slots=True)
class SummaryOptions:
    """What `trace summarise` is given beside the file.

    Attributes:
        since: begin of the period; None for that of the trace.
        until: end of the period; None for that of the trace.
        window: seconds of each row.
        power: units a second of all nodes; None where not known.
        as_json: whether to print JSON in place of a table.
        plot: file for a picture; None for none.
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
    help="Units a second of all boxes, for the figure by reserve "
    "and share of a gateway's own trace.",
)
@click.option("--json", "as_json", is_flag=True)
@click.option(
    "--plot", type=click.Path(), help="Also a picture, PNG or SVG by the name."
)
@group_options(SummaryOptions)
def trace_summarise(file: str, options: SummaryOptions) -> None:
    """Service, quantiles, who was declined and why, by time window."""
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
