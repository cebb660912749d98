"""Limits of a channel. They keep its record small enough for an acceptor to store."""

from __future__ import annotations

MAX_NUMBERS_AHEAD = 1024
"""How far a number may be above the lowest open one; NEWEST has no such limit."""

MAX_REMEMBERED = 224
"""Completed numbers whose outcome a channel remembers.

More than three times the number of requests that may wait.
"""

MAX_NUMBER = 1 << 63
"""Exclusive upper bound of the numbers that a client may use."""

MAX_RECIPIENTS = 4
"""Commands that may wait for the outcome of one released number."""

MAX_KEY_GENERATIONS = 32
"""Open numbers with a key generation.

A client resolved each of them as not done and it has not completed since.
"""

MAX_PINNED = 32
"""Open numbers that are pinned to their access ranges after being overtaken."""

DEFAULT_RETRY_DELAY = 1000
"""Retry delay where no better value is known, in tenths of a millisecond."""
