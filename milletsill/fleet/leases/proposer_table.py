"""The state table of a lease proposer: what each event does in each state."""

from __future__ import annotations

from enum import Enum, auto


class ProposerState(Enum):
    """Where a proposer stands.

    PREPARING reads a majority; REPAIRING writes again what not all of it had; HOLDING,
    RENEWING and WRITING have the lease.
    """

    IDLE = auto()
    PREPARING = auto()
    REPAIRING = auto()
    HOLDING = auto()
    RENEWING = auto()
    WRITING = auto()


class ProposerEvent(Enum):
    """What happens to a proposer.

    SETTLED, UNSETTLED: a majority granted the round, and has or has not all accepted
    the latest write. REFUSED, BALLOT_TOO_LOW: no majority can grant it any more.
    """

    ACQUIRE = auto()
    WRITE = auto()
    RELEASE = auto()
    SETTLED = auto()
    UNSETTLED = auto()
    REFUSED = auto()
    BALLOT_TOO_LOW = auto()
    TIMED_OUT = auto()


class ProposerEffect(Enum):
    """What a proposer has done and what its owner has to do.

    PREPARE, PREPARE_HIGHER, REPAIR, RENEW and WRITE: the request of `current_round` is
    to be sent. HOLD, EXTEND: the lease is held or goes on. WRITTEN: so it is, and the
    write counts. QUEUE: the write waits for the round under way. RELEASE, LOSE: the
    lease is over; `release_request` is to be sent, if any. KEEP: a renewal failed, the
    lease stands until its end. NOT_HELD: there is no lease to write under.
    """

    NONE = auto()
    PREPARE = auto()
    PREPARE_HIGHER = auto()
    REPAIR = auto()
    HOLD = auto()
    EXTEND = auto()
    RENEW = auto()
    WRITE = auto()
    WRITTEN = auto()
    QUEUE = auto()
    RELEASE = auto()
    LOSE = auto()
    KEEP = auto()
    NOT_HELD = auto()


_IDLE = ProposerState.IDLE
_PREPARING = ProposerState.PREPARING
_REPAIRING = ProposerState.REPAIRING
_HOLDING = ProposerState.HOLDING
_RENEWING = ProposerState.RENEWING
_WRITING = ProposerState.WRITING
LEASE_HELD_STATES = (_HOLDING, _RENEWING, _WRITING)
# Effects that begin a round: its request is to be sent.
ROUND_EFFECTS = (
    ProposerEffect.PREPARE,
    ProposerEffect.PREPARE_HIGHER,
    ProposerEffect.REPAIR,
    ProposerEffect.RENEW,
    ProposerEffect.WRITE,
)

PROPOSER_TABLE: dict[
    tuple[ProposerState, ProposerEvent], tuple[ProposerState, ProposerEffect]
] = {
    **{
        (state, ProposerEvent.WRITE): (state, ProposerEffect.NOT_HELD)
        for state in (_IDLE, _PREPARING, _REPAIRING)
    },
    **{
        (state, event): (_IDLE, ProposerEffect.LOSE)
        for state in ProposerState
        for event in (
            ProposerEvent.REFUSED,
            ProposerEvent.BALLOT_TOO_LOW,
            ProposerEvent.TIMED_OUT,
        )
    },
    **{
        (state, ProposerEvent.RELEASE): (_IDLE, ProposerEffect.RELEASE)
        for state in ProposerState
    },
    # Whoever acquires while a round is under way gets its result.
    **{
        (state, ProposerEvent.ACQUIRE): (state, ProposerEffect.NONE)
        for state in ProposerState
    },
    (_IDLE, ProposerEvent.ACQUIRE): (_PREPARING, ProposerEffect.PREPARE),
    (_IDLE, ProposerEvent.RELEASE): (_IDLE, ProposerEffect.NONE),
    (_PREPARING, ProposerEvent.SETTLED): (_HOLDING, ProposerEffect.HOLD),
    (_PREPARING, ProposerEvent.UNSETTLED): (_REPAIRING, ProposerEffect.REPAIR),
    (_PREPARING, ProposerEvent.BALLOT_TOO_LOW): (
        _PREPARING,
        ProposerEffect.PREPARE_HIGHER,
    ),
    (_REPAIRING, ProposerEvent.SETTLED): (_HOLDING, ProposerEffect.HOLD),
    (_HOLDING, ProposerEvent.ACQUIRE): (_RENEWING, ProposerEffect.RENEW),
    (_HOLDING, ProposerEvent.WRITE): (_WRITING, ProposerEffect.WRITE),
    (_RENEWING, ProposerEvent.SETTLED): (_HOLDING, ProposerEffect.EXTEND),
    (_RENEWING, ProposerEvent.UNSETTLED): (_HOLDING, ProposerEffect.EXTEND),
    (_RENEWING, ProposerEvent.TIMED_OUT): (_HOLDING, ProposerEffect.KEEP),
    (_RENEWING, ProposerEvent.WRITE): (_RENEWING, ProposerEffect.QUEUE),
    (_WRITING, ProposerEvent.WRITE): (_WRITING, ProposerEffect.QUEUE),
    (_WRITING, ProposerEvent.SETTLED): (_HOLDING, ProposerEffect.WRITTEN),
}
