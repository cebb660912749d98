"""Speaks the simulator's wire protocol on standard input and output."""

import sys

from milletsill.wirehost.codec import MalformedBatchError
from milletsill.wirehost.host import serve

EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Serve until the input ends, and return the exit status.

    Malformed input prints one line to standard error and gives status 2.
    """
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
