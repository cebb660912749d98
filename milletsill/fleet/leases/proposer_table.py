"""The transition table of a lease proposer: next state and effect of each event."""

from __future__ import annotations

from enum import Enum, auto


class ProposerState(Enum):
    """The state of a proposer.

    PREPARING reads from a majority. REPAIRING writes the latest value again, because
    not all of the majority had accepted it. HOLDING, RENEWING and WRITING hold the
    lease.
    """

    IDLE = auto()
    PREPARING = auto()
    REPAIRING = auto()
    HOLDING = auto()
    RENEWING = auto()
    WRITING = auto()


class ProposerEvent(Enum):
    """An event at a proposer.

    SETTLED: a majority granted the round, and its replies show that a majority accepted
    the latest write. UNSETTLED: a majority granted the round, but its replies do not
    show that. REFUSED, BALLOT_TOO_LOW: a majority can no longer grant the round.
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
    """The effect of an event, which the proposer's owner has to carry out.

    PREPARE, PREPARE_HIGHER, REPAIR, RENEW and WRITE: the owner sends the request of
    `current_round`. HOLD: the lease is acquired. EXTEND: the lease is renewed.
    WRITTEN: the lease is renewed and the write is chosen. QUEUE: the write waits for
    the round in progress. RELEASE, LOSE: the lease is over; the owner sends
    `release_request`, if any. KEEP: a renewal failed, and the lease lasts until its
    end. NOT_HELD: there is no lease to write under.
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
# Effects that begin a round, whose request the owner sends.
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
    # An acquisition during a round shares the result of that round.
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
