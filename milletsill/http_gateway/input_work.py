"""Limit the processor time that the parsing of received input takes in one turn.

A peer can send input that costs far more time than its size suggests, for example a
body in chunks of one octet, or hundreds of requests that are answered at once. All
input of clients passes one `InputWork`, all input of nodes another. Connections whose
share is used up wait for a later turn of the reactor, in which sockets are read again
before they continue.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from milletsill.named_timers import ReactorTimers

# Work is counted in calls of the message parser, of 1 to 2 us each.
WORK_PER_TURN = 3_000
# What a connection may use before other connections with input have their turn. The
# first share is small, so that ordinary messages wait behind few others.
FIRST_SHARE = 192
NEXT_SHARE = 768
# Work of handling one request, apart from the chunks of its body.
REQUEST_WORK = 64


class InputConsumer(Protocol):
    """A connection with received input that has not been parsed."""

    def continue_input(self, work: int, /) -> None:
        """Parse input for about this much work, and wait again if some is left."""


class InputWork:
    """Shares the work of a turn among connections.

    Attributes:
        left: work that is left until waiting connections continue.
        new: connections that have had no share for their input yet, in order.
        continued: connections that have used a share, in order.
    """

    def __init__(self, reactor: ReactorTimers) -> None:
        self.reactor = reactor
        self.left = WORK_PER_TURN
        self.new: deque[InputConsumer] = deque()
        self.continued: deque[InputConsumer] = deque()
        self.scheduled = False

    def first_share(self) -> int:
        """Return how much work a connection may use for input that it has just read.

        The share is 0 while other connections wait that have had none.
        """
        return 0 if self.new else min(FIRST_SHARE, max(self.left, 0))

    def spend(self, work: int) -> None:
        """Count work that a connection has used."""
        self.left -= work

    def wait(self, consumer: InputConsumer, has_had_share: bool) -> None:
        """Call the connection's `continue_input` in a later turn."""
        (self.continued if has_had_share else self.new).append(consumer)
        self._schedule()

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.reactor.callLater(0, self._run)

    def _run(self) -> None:
        """Let waiting connections continue, for the work of one turn.

        New ones come first. One other continues in any case, so that none waits for
        ever.
        """
        self.scheduled = False
        self.left = WORK_PER_TURN
        try:
            if self.continued:
                self.continued.popleft().continue_input(NEXT_SHARE)
            self._continue_each(self.new, FIRST_SHARE)
            self._continue_each(self.continued, NEXT_SHARE)
        finally:
            if self.new or self.continued:
                self._schedule()

    def _continue_each(self, waiting: deque[InputConsumer], share: int) -> None:
        """Give each waiting connection a share, once, while work is left."""
        for _ in range(len(waiting)):
            if self.left <= 0:
                return
            waiting.popleft().continue_input(min(share, self.left))
