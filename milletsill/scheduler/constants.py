"""Tuned values of the scheduler.

They are shares and counts only: every span comes from the deployment's configuration or
from what is measured. docs/design.md has the measurements behind them.
"""

# Later than any time on the scheduler's clock; also an amount that nothing reaches.
NEVER = 1 << 60
TICKS_PER_SECOND = 10_000

# A node's concurrency window, in attempts in flight.
INITIAL_WINDOW = 2.0
MIN_WINDOW = 1.0
MAX_WINDOW = 32.0
# The smallest window is this over the gateways and one more, where that is above
# MIN_WINDOW.
SHARED_MIN_WINDOW = 9.0
# The window widens below the first multiple of the best pace and narrows above the
# second.
WIDEN_BELOW_PACE = 1.5
NARROW_ABOVE_PACE = 2.0
WINDOW_DECREASE = 0.95

# The weight of a new latency in a smoothed one.
LATENCY_SMOOTHING = 1 / 8
# Until a latency is known, the latency objective over this stands in for it.
INITIAL_LATENCY_DIVISOR = 10
# The best pace is the one that this share of answers stays under, learnt in such steps.
UNIT_TIME_QUANTILE = 0.3
UNIT_TIME_STEP = 0.05
# The weight of an answer in its node's load factor.
LOAD_FACTOR_SMOOTHING = 1 / 4

# A request counts as in time with this share of its expected service left.
HOPEFUL_SERVICE_SHARE = 0.6
# A gateway's estimated part of a reserve: the number of gateways to minus this power.
RESERVE_EXPONENT = 0.5

# The most requests of one key that leave behind the first of a batch.
MAX_BATCH_FOLLOWERS = 2
# What a follower costs, and how long one is waited for, in expected services.
FOLLOWER_COST = 0.5
FOLLOWER_WAIT = 0.5

# An attempt counts as lost after so many latencies without an answer.
LOST_AFTER_LATENCIES = 6
# The most failures in a row that lengthen a node's backoff.
MAX_COUNTED_FAILURES = 3
# Waits of a lost attempt, or shortest objectives, within which its node was heard of
# lately.
RECENTLY_HEARD = 2

# What was never sent is given up after this share of its client's time.
UNSENT_TIME_SHARE = 0.48
# A request is answered this long before its client gives up, in timer resolutions.
ANSWER_MARGIN_RESOLUTIONS = 2

# The retry credit of a node at its start, and the most that it can earn.
MAX_RETRY_CREDIT = 4
# The most nodes that are drawn to choose from for one request.
MAX_CANDIDATES_DRAWN = 8

# The most that all admission draws get of a slow-start budget.
DRAWN_BUDGET_SHARE = 0.25
# The chance that draws pass what a node bears: e to minus this.
OVERLOAD_CHANCE_EXPONENT = 12.0

# The pause after a failed watch, in shares of the time within which it has to be
# renewed.
REWATCH_STEP = 1 / 8
REWATCH_MAX = 1 / 4

# A volume's surplus: the wait of a crowded answer, in shortest objectives, and its
# window.
CROWDED_WAIT = 1 / 4
SURPLUS_DECREASE = 0.7
MIN_SURPLUS_WINDOW = 1 / 16

# What is idle is forgotten after so many of the longest client timeouts.
IDLE_TIMEOUTS = 16
# How many records of each kind are looked at with each request.
RECORDS_SWEPT = 2
