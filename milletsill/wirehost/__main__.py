"""Speaks the simulator's wire on standard input and output."""

import sys

from milletsill.wirehost.codec import MalformedBatchError
from milletsill.wirehost.host import serve

EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Exit cleanly when input ends; one line and status 2 on malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedBatchError as error:
        print(f"milletsill: malformed input: {error.describe()}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
