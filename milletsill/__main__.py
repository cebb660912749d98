"""`python -m milletsill`.

`serve` loads only what it needs, so that it starts quickly; all other commands go
through the command line.
"""

import sys


def main() -> None:
    """Run the command that the process was started with."""
    if sys.argv[1:2] == ["serve"]:
        from milletsill.http_gateway import process

        sys.exit(process.main(sys.argv[2:]))
    from milletsill.cli.main import main as command_line

    command_line(prog_name="milletsill")


if __name__ == "__main__":
    main()
