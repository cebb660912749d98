"""The entry point of `python -m milletsill`.

`serve` bypasses the command line interface and imports only what it needs, so that it
starts quickly. All other commands are those of the command line interface.
"""

import sys


def main() -> None:
    """Run the command that is given on the command line."""
    if sys.argv[1:2] == ["serve"]:
        from milletsill.http_gateway import process

        sys.exit(process.main(sys.argv[2:]))
    from milletsill.cli.main import main as command_line

    command_line(prog_name="milletsill")


if __name__ == "__main__":
    main()
