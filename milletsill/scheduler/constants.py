"""Constants of the scheduler.

They are fractions, factors and counts only: every duration comes from the deployment's
configuration or from measured latencies. docs/design.md has the measurements behind
them.
"""

# Later than any time on the scheduler's clock, and larger than any amount of units.
NEVER = 1 << 60
TICKS_PER_SECOND = 10_000

# A node's concurrency window, in attempts in flight.
INITIAL_WINDOW = 2.0
MIN_WINDOW = 1.0
MAX_WINDOW = 32.0
# The smallest window is SHARED_MIN_WINDOW / (gateways + 1) where that is above
# MIN_WINDOW.
SHARED_MIN_WINDOW = 9.0
# The window widens while the smoothed latency per unit is below the first multiple of
# the usual one. Above the second multiple the node counts as congested, and each
# success multiplies its window by WINDOW_DECREASE.
WIDEN_BELOW_LATENCY_RATIO = 1.5
NARROW_ABOVE_LATENCY_RATIO = 2.0
WINDOW_DECREASE = 0.95

# Weight of a new latency in the smoothed latency (exponential moving average).
LATENCY_SMOOTHING = 1 / 8
# Before the first answer, a node's latency is taken as the request's latency objective
# divided by this.
INITIAL_LATENCY_DIVISOR = 10
# The usual time of a unit is this quantile of all unit times. Each answer moves the
# estimate by a relative step of this size.
UNIT_TIME_QUANTILE = 0.3
UNIT_TIME_STEP = 0.05
# Weight of an answer in its node's smoothed load factor.
LOAD_FACTOR_SMOOTHING = 1 / 4

# A request still counts as in time if this fraction of its expected service time is
# left before its target.
IN_TIME_SERVICE_FRACTION = 0.6
# A gateway's estimated share of a reserve is gateways ** -RESERVE_EXPONENT.
RESERVE_EXPONENT = 0.5

# Maximum requests of one key that are sent right behind the first of a batch.
MAX_BATCH_FOLLOWERS = 2
# Cost of a follower, and how long the scheduler waits for one, both in expected service
# times.
FOLLOWER_COST = 0.5
FOLLOWER_WAIT = 0.5

# An attempt counts as lost after this many latencies without an answer.
LOST_AFTER_LATENCIES = 6
# Maximum consecutive failures that lengthen a node's backoff.
MAX_COUNTED_FAILURES = 3
# A response counts as recent within this many spans; a span is the wait of the lost
# attempt or the shortest latency objective.
RECENT_RESPONSE_SPANS = 2

# A request that was never sent is given up after this fraction of the time that its
# client waits.
UNSENT_TIME_SHARE = 0.48
# A request is answered this long before its client's deadline, in timer resolutions.
ANSWER_MARGIN_RESOLUTIONS = 2

# Retry credit of a node at its start, and the maximum that it can earn.
MAX_RETRY_CREDIT = 4
# Maximum nodes that are sampled as candidates for one request.
MAX_CANDIDATES_DRAWN = 8

# Maximum fraction of a slow-start budget that all admission draws together may use.
DRAWN_BUDGET_SHARE = 0.25
# The probability that admission draws exceed what a node can serve is at most e to the
# power of minus this.
OVERLOAD_CHANCE_EXPONENT = 12.0

# Pause before a failed watch is renewed, as a fraction of the time within which it has
# to be renewed: the step per failure and the maximum.
REWATCH_STEP = 1 / 8
REWATCH_MAX = 1 / 4

# Surplus of a volume (its requests beyond the reserve). An answer counts as congested
# if it waited longer than CONGESTED_WAIT shortest latency objectives. It then
# multiplies the volume's surplus window by SURPLUS_DECREASE, down to
# MIN_SURPLUS_WINDOW.
CONGESTED_WAIT = 1 / 4
SURPLUS_DECREASE = 0.7
MIN_SURPLUS_WINDOW = 1 / 16

# Idle records are evicted after this many of the longest client timeouts.
IDLE_CLIENT_TIMEOUTS = 16
# Above this number of volumes, records without an open request are evicted. Without it,
# requests under ever new volumes would fill the memory.
MAX_KEPT_VOLUMES = 4_096
# A volume has no open request after this many of the longest client timeouts.
OPEN_CLIENT_TIMEOUTS = 2
# Number of records of each kind that are checked for eviction with each request.
EVICTION_CHECKS_PER_REQUEST = 2
