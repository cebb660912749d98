"""`python -m milletsill.errors` prints the table of errors, `... NAME` one row of it, `... --into PAGE` puts the rows into a page."""

import re
import sys
from pathlib import Path

from milletsill.errors.known import known, row

HEADING = "## Errors by name\n"
ROWS = re.compile(r"(?:^\| `\w+` \|.*\n)+", re.MULTILINE)


def main(arguments: list[str]) -> int:
    rows = {
        name: "".join(row(each) + "\n" for each in types)
        for name, types in sorted(known().items())
    }
    if arguments[:1] == ["--into"] and len(arguments) == 2:
        page = Path(arguments[1])
        before, heading, behind = page.read_text("utf-8").partition(HEADING)
        if not heading:
            print(
                f"milletsill: {page} has no line {HEADING.strip()!r}", file=sys.stderr
            )
            return 2
        page.write_text(
            before
            + heading
            + ROWS.sub(lambda _: "".join(rows.values()), behind, count=1),
            "utf-8",
        )
        return 0
    print("".join(rows.get(each, "") for each in arguments or rows), end="")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
