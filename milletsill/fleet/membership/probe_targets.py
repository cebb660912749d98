"""Selects the members to probe next."""

from __future__ import annotations

from random import Random

from milletsill.fleet.membership.member_table import MemberTable
from milletsill.fleet.membership.membership_state import MembershipState
from milletsill.fleet.transport import PRESENT_STATES

# Each gateway probes this many successors on the hash ring in every round, so that
# every member is probed regularly.
RING_SUCCESSORS = 2


class ProbeTargets:
    """The successors on the hash ring, plus one member by SWIM's round robin."""

    def __init__(self, state: MembershipState, random: Random) -> None:
        self._state = state
        self._random = random
        self._round_robin: list[str] = []

    def next_round(self) -> list[str]:
        """Return the names of the members to probe in this round.

        The round robin never yields this gateway's own name.
        """
        table = self._state.table
        after_local = self._state.local.entry.ring_position + 1
        names = table.successors(after_local, RING_SUCCESSORS, self._state.name)
        for _ in range(len(self._round_robin) + 2):
            if not self._round_robin:
                self._round_robin = self._shuffled(table)
                if len(self._round_robin) < 2:
                    break
            name = self._round_robin.pop()
            if self._is_target(name) and name not in names:
                names.append(name)
                break
        return names

    def _shuffled(self, table: MemberTable) -> list[str]:
        names = [name for _, name in table.ring]
        self._random.shuffle(names)
        return names

    def _is_target(self, name: str) -> bool:
        entry = self._state.table.get(name)
        if entry is None or entry.state not in PRESENT_STATES:
            return False
        return name != self._state.name
