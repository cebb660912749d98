"""Event sequences for the model check of channels: starting states and scripts.

The event names are those of `channel_moves.moves_of`. Events of a script that are not
possible are skipped. Each script detects a missing guard that random walks detect late.
"""

from __future__ import annotations

OPENED = ["g0 opens", "g0 acceptors done", "g0 acceptors done"]
RELEASED = [*OPENED, "1 to g0", "g0 acceptors done", "g0 dispatches"]
"""Number 1 is at a node."""

OWNER_REPLACED = [
    *RELEASED,
    "g0 killed",
    "time 500",
    "time 500",
    "time 24",
    "g1 opens",
    "g1 acceptors done",
    "g1 acceptors done",
]
"""The owner that released number 1 was killed; after its lease, another took over."""

STARTS = {"opened": OPENED, "released": RELEASED, "owner replaced": OWNER_REPLACED}
"""Events that lead to the starting state of an exploration, by name."""

_RETRY_LATE = [
    "time 1060",
    "time 1060",
    "1 to g0",
    *3 * ["g0 acceptors done"],
    "g0 dispatches",
    "node runs 0",
    "node runs 1",
]
_SEND_SECOND = [
    "2 to g1",
    "g1 acceptors done",
    "g1 dispatches",
    "node runs 1",
    "node runs 0",
]
SCRIPTS: dict[str, list[str]] = {
    "a late run under a new owner": OWNER_REPLACED
    + _SEND_SECOND[:1]
    + ["time 24", "g1 timers fire"]
    + _SEND_SECOND[1:],
    "a long deadline under a new owner": OWNER_REPLACED
    + _SEND_SECOND[:1]
    + ["time 120", "g1 timers fire"]
    + _SEND_SECOND[1:],
    "an owner that stalls before the send": RELEASED[:-1]
    + OWNER_REPLACED[len(RELEASED) + 1 :]
    + [
        "2 to g1",
        "time 120",
        "g1 timers fire",
        "g1 acceptors done",
        "g1 dispatches",
        "node runs 0",
        "g0 dispatches",
        "node runs 1",
    ],
    "an idempotency key that nodes forgot": RELEASED
    + ["node runs 0", "time 500", "time 500", "time-out 0", "time 1060"]
    + _RETRY_LATE,
    "a rejected number that ran": RELEASED
    + ["time 500", "time 500", "time-out 0", "node runs 0", "time 1060"]
    + _RETRY_LATE,
    "a retry that was never sent": RELEASED
    + [
        "node runs 0",
        "time 500",
        "time 500",
        "time-out 0",
        "time 120",
        "1 to g0",
        "g0 acceptors done",
        "g0 acceptors done",
        "time 1060",
        "g0 dispatches",
        "g0 acceptors done",
    ]
    + _RETRY_LATE,
    "an owner that acquires the lease again": RELEASED
    + [
        "node runs 0",
        "answer 0",
        "g0 acceptors done",
        "time 1060",
        "g1 opens",
        "g1 acceptors done",
        "g1 acceptors done",
        "2 to g1",
        "g1 acceptors done",
        "g1 dispatches",
        "node runs 0",
        "node runs 1",
        "answer 0",
        "answer 1",
        "g1 acceptors done",
        "time 1060",
        "g0 opens",
        "g0 acceptors done",
        "g0 acceptors done",
        "time 1060",
        "g1 opens",
        "g1 acceptors done",
    ],
}


OVERTAKEN = RELEASED + [
    "2 to g0",
    "g0 acceptors done",
    "g0 dispatches",
    "node runs 1",
    "answer 1",
    "g0 acceptors done",
    "3 to g0",
    "4 to g0",
    "g0 acceptors done",
    "g0 dispatches",
    "node runs 2",
    "answer 2",
    "g0 acceptors done",
    "time 1060",
    "time 1060",
    "time-out 0",
    "3 changes content",
    "time 120",
    "3 to g0",
    "g0 acceptors done",
    "g0 acceptors done",
    "g0 acceptors done",
    "g0 dispatches",
    "node runs 0",
    "node runs 1",
]


# A lost record write ends the lease, and the same gateway acquires it again at once. An
# attempt released under the lost lease may still run.
SCRIPTS["a lease lost and acquired again"] = RELEASED + [
    "g0 opens",
    "g0 acceptors lost",
    "g0 opens",
    "g0 acceptors done",
    "g0 acceptors done",
    "2 to g0",
    "time 120",
    "g0 timers fire",
    "g0 acceptors done",
    "g0 dispatches",
    "node runs 1",
    "node runs 0",
]
