"""Sequences of events that the model of channels plays: starts, and cases by name.

The names are those of `SimulatedCluster.moves`. Of a script, what cannot happen is left
out: each is a case that chance finds late, for one guard.
"""

from __future__ import annotations

OPENED = ["g0 opens", "g0 acceptors done", "g0 acceptors done"]
RELEASED = [*OPENED, "1 to g0", "g0 acceptors done", "g0 dispatches"]
"""Number 1 is at a node."""

OWNER_GONE = [
    *RELEASED,
    "g0 killed",
    "time 500",
    "time 500",
    "time 24",
    "g1 opens",
    "g1 acceptors done",
    "g1 acceptors done",
]
"""The owner that released number 1 is gone, its lease is over, another has begun."""

STARTS = {"opened": OPENED, "released": RELEASED, "owner gone": OWNER_GONE}
"""How a channel stands when an exploration begins."""

_RETRY_LATE = [
    "time 1060",
    "time 1060",
    "1 to g0",
    *3 * ["g0 acceptors done"],
    "g0 dispatches",
    "node runs 0",
    "node runs 1",
]
_BEHIND = [
    "2 to g1",
    "g1 acceptors done",
    "g1 dispatches",
    "node runs 1",
    "node runs 0",
]
SCRIPTS: dict[str, list[str]] = {
    "a late run behind a new owner": OWNER_GONE
    + _BEHIND[:1]
    + ["time 24", "g1 timers fire"]
    + _BEHIND[1:],
    "a long deadline behind a new owner": OWNER_GONE
    + _BEHIND[:1]
    + ["time 120", "g1 timers fire"]
    + _BEHIND[1:],
    "an owner that stood still before the send": RELEASED[:-1]
    + OWNER_GONE[len(RELEASED) + 1 :]
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
    "an idempotency key that is forgotten": RELEASED
    + ["node runs 0", "time 500", "time 500", "time-out 0", "time 1060"]
    + _RETRY_LATE,
    "a rejection that was none": RELEASED
    + ["time 500", "time 500", "time-out 0", "node runs 0", "time 1060"]
    + _RETRY_LATE,
    "a retry that never left": RELEASED
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
    "an owner that comes back": RELEASED
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
    "3 becomes another",
    "time 120",
    "3 to g0",
    "g0 acceptors done",
    "g0 acceptors done",
    "g0 acceptors done",
    "g0 dispatches",
    "node runs 0",
    "node runs 1",
]


# A lease is lost by a write that came to nothing and acquired again at once: what was
# released under it may still run.
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
