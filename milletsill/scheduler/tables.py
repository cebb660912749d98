"""Tuned values (shares and counts only: every span comes from the facts or from what is seen) and tables."""

from enum import Enum

from milletsill.interface import AttemptOutcome

FIRST_WINDOW, LEAST_WINDOW, MOST_WINDOW = 2.0, 1.0, 32.0
TOGETHER = 9.0  # the least window is this over the gateways and one more, where that is above the one before
NEAR, FAR, NARROWER = (
    1.5,
    2.0,
    0.95,
)  # a window widens below, narrows above these multiples of the best pace
SMOOTH, FIRST_M = (
    1 / 8,
    10,
)  # weight of a new latency in M, which starts at the target time over this
CLEAR, CLEAR_STEP = (
    0.3,
    0.05,
)  # best pace: what this share of answers stays under; how fast it is learnt
HOPE, PART = (
    0.6,
    0.5,
)  # in time with this share of its service left; a part of a reserve: gateways to it
RUN, HIT, FOLLOW_WAIT = (
    2,
    0.5,
    0.5,
)  # most that leave behind a run's first; their cost, the wait, in services
LOST, MOST_LAPSES = (
    6,
    3,
)  # latencies without an answer until a dispatch is lost; doublings of a node's rest
UNSENT = 0.48  # of its client's time, until what was never dispatched is given up
HEARD = 2  # waits of a lost dispatch, or shortest target times, within which its node was heard of late
CREDITS, DRAWN, STRAIN = (
    4,
    8,
    1 / 4,
)  # of a node; drawn for a new object; an answer's weight in the strain
LOT, RARE = (
    0.25,
    12.0,
)  # the most that all draws get of a cold node's budget; of the chance to pass it, ln
ENDING_TICKS, ASK_AGAIN, ASK_MOST = (
    2,
    1 / 8,
    1 / 4,
)  # before a client gives up; shares of the time to ask in
CROWDED, EASE, LEAST_SURPLUS = (
    1 / 4,
    0.7,
    1 / 16,
)  # a volume's surplus: a crowded answer's wait; its window
IDLE, SWEPT = (
    16,
    2,
)  # longest patiences until what is idle is forgotten; records looked at with each transfer

Phase = Enum("Phase", "HELD OUT OVER")
# CLOSED: the client has its answer or has left; AGAIN, LAST: no dispatch is out, and another is lawful or
# not; HOPELESS: the client is about to leave, or nothing this gateway can still do would be of use.
Cue = Enum("Cue", "SENT CLOSED AGAIN LAST HOPELESS")
# RETURNED: came back or did not answer; proves itself with the most useful work. BARRED: draining or gone.
Health = Enum("Health", "STEADY RETURNED BARRED")
Sign = Enum("Sign", "PROVEN LAPSE READY FRESH UNREADY")

TRANSFER_TABLE = {
    (Phase.HELD, Cue.SENT): (Phase.OUT, ""),
    (Phase.HELD, Cue.HOPELESS): (Phase.OVER, "give_up"),
    **{
        (phase, Cue.CLOSED): (Phase.OVER, "forget") for phase in (Phase.HELD, Phase.OUT)
    },
    (Phase.OUT, Cue.AGAIN): (Phase.HELD, "hold"),
    (Phase.OUT, Cue.LAST): (Phase.OVER, "give_up"),
}
NODE_TABLE = {
    **{
        (health, Sign.LAPSE): (Health.RETURNED, "narrow")
        for health in (Health.STEADY, Health.RETURNED)
    },
    (Health.RETURNED, Sign.PROVEN): (Health.STEADY, ""),
    (Health.BARRED, Sign.READY): (Health.RETURNED, "restart"),
    **{(health, Sign.FRESH): (Health.RETURNED, "restart") for health in Health},
    **{
        (health, Sign.UNREADY): (Health.BARRED, "empty")
        for health in Health
        if health is not Health.BARRED
    },
}
NEVER_RAN = (
    AttemptOutcome.REJECTED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.WITHDRAWN,
)
NO_WORD = (AttemptOutcome.TIMED_OUT, AttemptOutcome.UNREACHABLE, AttemptOutcome.RESET)
UNSETTLED = (AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)
NEVER = 1 << 60
