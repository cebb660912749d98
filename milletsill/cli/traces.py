"""`milletsill trace`: look into traces, cut, merge, anonymise, mend, convert. A bad or missing file is one line and status 2."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from milletsill.errors import describe_error

FILE, FILES = (
    click.argument("file", type=click.Path()),
    click.argument("files", nargs=-1, required=True, type=click.Path()),
)
OUT = click.argument("out", type=click.Path())
FROM = click.option(
    "--from",
    "since",
    help="Tenths of a millisecond on the writer's clock, +N[s|m|h] "
    "after its opening, or ISO 8601 wall time.",
)
TO = click.option("--to", "until", help="Up to, not with.")


@click.group()
def trace() -> None:
    """Traces: look into them, cut, merge, anonymise, mend, convert."""


def said(call: Callable[..., Any], *values: Any, **named: Any) -> Any:
    """What a call on traces gives; a bad or missing file is one line and status 2."""
    from milletsill.trace.file_format import MalformedTrace

    try:
        return call(*values, **named)
    except (MalformedTrace, OSError) as error:
        what = (
            f"{error.filename}: {error.strerror}"
            if isinstance(error, OSError)
            else error.describe()
        )
        click.echo(f"milletsill: {what}", err=True)
        sys.exit(2)


def shown(files: list[str], call: Callable[[Any], Any], times: int = 1) -> Any:
    """A call that reads the files so many times, with a bar on a terminal's standard error."""
    if not sys.stderr.isatty():
        return said(call, None)
    from rich.console import Console
    from rich.progress import Progress

    total = sum(os.path.getsize(each) for each in files if os.path.exists(each))
    with Progress(console=Console(stderr=True), transient=True) as progress:
        bar = progress.add_task("reading", total=total * times)
        return said(call, lambda count: progress.advance(bar, count))


def moments(file: str, *texts: str | None) -> list[int | None]:
    """Times as given on the command line, on the file's clock."""
    from milletsill.trace.reader import TraceReader
    from milletsill.trace.time_argument import InvalidTime, parse_time

    def found() -> list[int | None]:
        with TraceReader(file) as reader:
            about = reader.contents.header
            return [
                None
                if text is None
                else parse_time(
                    text, int(about.get("opened", 0)), int(about.get("wall_ms", 0))
                )
                for text in texts
            ]

    try:
        return said(found)
    except (InvalidTime, ValueError, TypeError) as error:
        click.echo(f"milletsill: {describe_error(error)}", err=True)
        sys.exit(2)


@trace.command("info")
@FILES
def trace_info(files: tuple[str, ...]) -> None:
    """What each of FILES holds, a line of JSON for each."""
    from milletsill.trace.summary import summarise_trace

    for file in files:
        click.echo(
            json.dumps(
                shown([file], lambda heard, file=file: summarise_trace(file, heard))
            )
        )


@trace.command("cat")
@FILE
@FROM
@TO
def trace_cat(file: str, since: str | None, until: str | None) -> None:
    """Print FILE's records as JSON lines."""
    from milletsill.trace.summary import dump_records

    said(
        dump_records,
        file,
        *moments(file, since, until),
        lambda row: click.echo(json.dumps(row)),
    )


@trace.command("verify")
@FILES
def trace_verify(files: tuple[str, ...]) -> None:
    """Unpack every block of FILES. Exit status 1 where anything is broken."""
    from milletsill.trace.repair import verify

    broken = False
    for file in files:
        found = shown([file], lambda heard, file=file: verify(file, heard))
        click.echo(
            f"{file}: {found.state.name.lower()}, {len(found.blocks)} blocks, "
            f"{sum(each.record_count for each in found.blocks)} records"
        )
        for each in found.damage:
            broken = True
            click.echo(f"  at {each.offset}, {each.size} bytes: {each.reason}")
    sys.exit(1 if broken else 0)


@trace.command("repair")
@FILE
@OUT
def trace_repair(file: str, out: str) -> None:
    """Write the whole blocks of FILE, as they stand, to the new file OUT, with an index."""
    from milletsill.trace.repair import repair

    found = shown([file], lambda heard: repair(file, out, heard))
    click.echo(
        f"{out}: {len(found.blocks)} blocks kept, {sum(each.size for each in found.damage)} bytes left out"
    )


@trace.command("cut")
@FILE
@OUT
@FROM
@TO
@click.option("--store", help="Transfers of this store alone.")
@click.option("--category", help="Of this category alone: its name or place.")
@click.option("--box", type=int, help="Transfers that were dispatched to this box.")
def trace_cut(
    file: str,
    out: str,
    since: str | None,
    until: str | None,
    store: str | None,
    category: str | None,
    box: int | None,
) -> None:
    """Write a part of FILE to the new file OUT."""
    from milletsill.trace.cut import cut_trace, find_request_class
    from milletsill.trace.record_filter import RecordFilter

    begin, end = moments(file, since, until)
    place = None if category is None else said(find_request_class, file, category)
    wanted = RecordFilter(begin, end, store, place, box)
    made = shown([file], lambda heard: cut_trace(file, out, wanted, heard))
    click.echo(f"{out}: {made.records} records, {made.bytes_read} bytes read")


@trace.command("merge")
@OUT
@FILES
def trace_merge(out: str, files: tuple[str, ...]) -> None:
    """Write FILES of many gateways as one, by wall time, to the new file OUT. Clocks that are seconds off are mended by the
    list news that the gateways share; what each correction may be off by is told.
    """
    from milletsill.trace.merge import merge_traces

    made = shown(list(files), lambda heard: merge_traces(list(files), out, heard), 2)
    click.echo(f"{out}: {made.records} records")
    for clock in made.clocks:
        if clock.correction or clock.uncertainty is None:
            click.echo(
                f"  {clock.name}: clock set by {clock.correction / 10:g} ms, "
                + (
                    "nothing shared: the wall clock alone"
                    if clock.uncertainty is None
                    else f"give or take {clock.uncertainty / 10:g} ms"
                )
            )


@trace.command("anonymise")
@FILE
@OUT
@click.option(
    "--key-file",
    required=True,
    type=click.Path(),
    help="A secret of 16 bytes or more; one key, equal names.",
)
def trace_anonymise(file: str, out: str, key_file: str) -> None:
    """Write FILE to the new file OUT with stores, paths and categories' names replaced."""
    from milletsill.trace.anonymise import anonymise_trace

    key = said(lambda: Path(key_file).read_bytes()[:4096])
    if len(key) < 16:
        click.echo(f"{key_file}: a key of {len(key)} bytes, 16 at least", err=True)
        sys.exit(2)
    click.echo(
        f"{out}: {shown([file], lambda heard: anonymise_trace(file, out, key, heard))} records"
    )


@trace.command("convert")
@FILE
@OUT
@click.option(
    "--to",
    "to",
    type=click.Choice(["mtrace", "parquet", "csv"]),
    default="mtrace",
    show_default=True,
    help="mtrace: the present version, in full blocks. Others: OUT is a folder, one table for each kind.",
)
def trace_convert(file: str, out: str, to: str) -> None:
    """Write FILE in another form."""
    from milletsill.trace.convert import convert_trace

    click.echo(
        f"{out}: {shown([file], lambda heard: convert_trace(file, out, to, heard))} records"
    )


@trace.command("summarise")
@FILE
@FROM
@TO
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
def trace_summarise(
    file: str,
    since: str | None,
    until: str | None,
    window: float,
    power: float | None,
    as_json: bool,
    plot: str | None,
) -> None:
    """Service, quantiles, who was declined and why, by time window."""
    from milletsill.trace.service_display import format_report, plot_report
    from milletsill.trace.service_report import report_service

    begin, end = moments(file, since, until)
    found = shown(
        [file],
        lambda heard: report_service(
            file, max(int(window * 10_000), 10), power, begin, end, heard
        ),
    )
    click.echo(json.dumps(found) if as_json else format_report(found))
    if plot:
        try:
            said(plot_report, found, plot)
        except ValueError as error:
            click.echo(f"milletsill: {plot}: {error}", err=True)
            sys.exit(2)
