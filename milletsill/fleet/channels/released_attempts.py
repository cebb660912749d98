"""What was let go, as the way to the boxes sees it."""

from __future__ import annotations

from typing import Any

from milletsill.fleet.channels.ordering import Input
from milletsill.interface import AttemptOutcome

NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE)


class Gone:
    """One number that was let go, as the way to the boxes sees it: whether it may still leave, and whether it may have run."""

    __slots__ = ("offices", "term", "ticket", "ends", "again", "sent", "harmless")

    def __init__(
        self, offices: Any, term: Any, ticket: str, ends: int, again: bool
    ) -> None:
        self.offices, self.term, self.ticket, self.ends, self.again = (
            offices,
            term,
            ticket,
            ends,
            again,
        )
        self.sent = self.harmless = 0

    def input(self) -> Input:
        """What an end without an answer means. Guards against a decline of what may have run. Harm: a rest for nothing."""
        return Input.NEVER_RAN if self.sent == self.harmless else Input.LOST

    def leaves(self) -> bool:
        """Guards against a process that stood between the gate and the send: another may keep the channel by now, or its ticket be
        forgotten. Asked at the last place, also for what waited for a link. Harm: a lawful dispatch is put off.
        """
        return bool(self.offices.holds(self.term)) and self.offices.now() < self.ends

    def watched(self, ended: Any) -> Any:
        """Counts dispatches that came back without having run."""
        self.sent += 1

        def heard(outcome: AttemptOutcome, verdict: Any) -> None:
            self.harmless += outcome in NEVER_RAN
            ended(outcome, verdict)

        return heard
