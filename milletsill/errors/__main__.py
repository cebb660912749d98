"""Prints the table of errors, or writes it into a page.

`python -m milletsill.errors` prints the table, `... NAME` prints one row of it, and
`... --into PAGE` replaces the rows in a page.
"""

import re
import sys
from pathlib import Path

from milletsill.errors.catalog import error_types, table_row

HEADING = "## Errors by name\n"
ROWS = re.compile(r"(?:^\| `\w+` \|.*\n)+", re.MULTILINE)


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    rows = {
        name: "".join(table_row(each) + "\n" for each in types)
        for name, types in sorted(error_types().items())
    }
    if arguments[:1] == ["--into"] and len(arguments) == 2:
        return replace_rows(Path(arguments[1]), "".join(rows.values()))
    print("".join(rows.get(name, "") for name in arguments or rows), end="")
    return 0


def replace_rows(page: Path, rows: str) -> int:
    """Replace the rows of the table in a page and return an exit status."""
    before, heading, after = page.read_text("utf-8").partition(HEADING)
    if not heading:
        print(f"milletsill: {page} has no line {HEADING.strip()!r}", file=sys.stderr)
        return 2
    table = ROWS.sub(lambda _: rows, after, count=1)
    page.write_text(before + heading + table, "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
