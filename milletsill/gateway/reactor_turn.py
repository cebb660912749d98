"""Calls that wait until all that lies in the sockets was read."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from milletsill.gateway.stall_detection import io_first


class NextTurn:
    """One call in the next turn of the reactor, however often it is asked for in this one.

    Guards clients and nodes against a process that stood since it was asked: what came meanwhile, a client's close above all, is
    read before anything is begun. Harm: one more turn of the loop, once.
    """

    __slots__ = ("reactor", "now", "call", "due", "pending", "put_off")

    def __init__(
        self, reactor: Any, now: Callable[[], int], call: Callable[[], None]
    ) -> None:
        self.reactor, self.now, self.call = reactor, now, call
        self.due, self.pending, self.put_off = 0, False, False

    def ask(self) -> None:
        if not self.pending:
            self.pending, self.due = True, self.now()
            self.reactor.callLater(0, self.ring)

    def ring(self) -> None:
        if io_first(self.now() - self.due, self.put_off):
            self.put_off = True
            self.reactor.callLater(0, self.ring)
            return
        self.pending = self.put_off = False
        self.call()
