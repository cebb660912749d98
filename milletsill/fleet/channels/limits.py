"""Bounds of a channel. They keep a record small enough for an acceptor to store."""

from __future__ import annotations

MAX_NUMBERS_AHEAD = 1024
"""How far a number may be ahead of the lowest open one; NEWEST has no such bound."""

MAX_REMEMBERED = 224
"""Outcomes that a channel remembers: over three times the most that may wait."""

MAX_NUMBER = 1 << 63
"""Greater than any number that a client may use."""

MAX_RECIPIENTS = 4
"""Commands that wait for the end of one number."""

MAX_KEY_GENERATIONS = 32
"""Numbers that a client said were not done and has not sent again."""

MAX_PINNED = 32
"""Numbers that were overtaken and have not come back."""

DEFAULT_RETRY_DELAY = 1000
"""When to come back where nothing better is known, in tenths of a millisecond."""
