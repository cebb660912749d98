"""Formats the summary of a collecting process as tables."""

from __future__ import annotations

import io
import json

from rich.console import Console
from rich.table import Table

from milletsill.flows.collecting_process import CollectionSummary

TABLE_WIDTH = 110
TABLE_TITLES = (
    ("octets by store", "stores"),
    ("octets by box", "boxes"),
    ("dispatches by outcome", "outcomes"),
    ("sums", "sums"),
)
PRINTED_COUNTS = (
    "messages",
    "records",
    "unknown_sets",
    "malformed",
    "missing",
    "doubled",
)


def render_summary(summary: CollectionSummary) -> str:
    """Return the tables, followed by the counts in JSON."""
    console = Console(width=TABLE_WIDTH, record=True, file=io.StringIO())
    for title, name in TABLE_TITLES:
        table = Table(title=title, title_justify="left")
        table.add_column("of")
        table.add_column("count", justify="right")
        for key, value in summary[name].items():
            table.add_row(key or "-", f"{value}")
        console.print(table)
    counts = {name: summary[name] for name in PRINTED_COUNTS}
    console.print(json.dumps(counts))
    return console.export_text()
