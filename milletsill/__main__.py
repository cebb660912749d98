"""`python -m milletsill`. `serve` loads only what it needs; all else goes through the command line."""

import sys


def main() -> None:
    if sys.argv[1:2] == ["serve"]:
        from milletsill.http_gateway import process

        sys.exit(process.main(sys.argv[2:]))
    from milletsill.cli.main import main as others

    others(prog_name="milletsill")


if __name__ == "__main__":
    main()
