"""Constants of shared health.

Times are in whole tenths of a millisecond. A vote has a weight of at most 1; thresholds
on votes are sums of weights. Paces are relative: log2 of a node's pace over the usual
pace of its kind. A flagged node has the verdict DEGRADED or FAILING.
"""

from __future__ import annotations

SECOND = 10_000

# Observations and their exchange.
OBSERVATION_DECAY_TIME = 2 * SECOND  # time constant of their exponential decay
MIN_ANSWERS = 0.05  # an observation of fewer answers, after decay, is ignored
ROUTINE_REPORT_PERIODS = 4  # publish periods between reports without urgent results
GOSSIP_INTERVAL = SECOND // 10
SYNC_INTERVAL = SECOND  # between two anti-entropy exchanges with a random member
GOSSIP_FANOUT = 2
MAX_PENDING_DELTAS = 8192

# Usual pace, by kind and size of node and by kind and size of request.
PACE_WINDOW = 256  # the usual pace is the median of so many latest paces
MIN_PACE_SAMPLES = 8  # with fewer, the usual pace is unknown
DOUBLINGS_PER_SIZE_CLASS = 2.0  # range of request sizes in one class, in factors of two
MAX_PACE_CLASSES = 4096
MAX_RELATIVE_PACE = 8.0

ADVICE_PERIODS = 4  # publish periods until advice expires unless renewed

# Votes: an origin has at most one vote on each node.
TRIMMED_GATEWAY_SHARE = 0.05  # share of the gateways whose worst votes are ignored
# Limit on the trimmed weight, as a share of all votes. One vote, or a third of the
# weight if that is less, is always trimmed.
MAX_TRIMMED_WEIGHT = 0.2
MIN_VOTES = 2.5  # weight of votes required for a finding
MIN_VOTES_FLAGGED = 0.6  # on a flagged node, which few gateways probe
# Excess of an origin's share of bad votes over the median origin's share. From the
# first value on its votes lose weight; from the second on they have no weight.
BAD_SHARE_TOLERATED = 0.3
BAD_SHARE_REJECTED = 0.6
BAD_WEIGHT_DECAY_TIME = 20 * SECOND  # time constant of the smoothed bad-vote weight
TOLERATED_BAD_WEIGHT = 0.2  # smoothed weight of bad votes without a penalty

# Findings: thresholds to flag a node, and lower ones to clear it (hysteresis).
IMPAIRED_LOSS = 0.2
IMPAIRED_SMOOTHED_LOSS = 0.12
HEALTHY_LOSS = 0.06
FAILING_LOSS = 0.5
IMPAIRED_PACE = 0.5
HEALTHY_PACE = 0.25
MIN_PACED_VOTES = 4.0  # weight of votes with a pace required to judge a node's pace
PACE_SMOOTHING = 2 * SECOND
LOSS_SMOOTHING = 4 * SECOND
WARM_UP = 3 * SECOND  # of an evaluator, before it flags any node
CONFIRMING_FINDINGS = 2  # consecutive IMPAIRED findings before a node is DEGRADED

# Admitted share: the share of the gateways that may send to a node. It is cut while
# most of the node's attempts are wasted, and raised while few are.
CUT_WASTE = 0.5
RAISE_WASTE = 0.25
CUT_FACTOR = 0.8
FAILING_CUT_FACTOR = 0.5
RAISE_STEP = 0.03
RAMP_FACTOR = 1.35  # growth of the share of a recovering node per evaluation
RAMP_STEP = 0.02
# From this median wasted share over all nodes on, a slow node keeps its load, since the
# other nodes lack capacity for it.
OVERLOADED_WASTE = 0.3
PROBES_PER_SECOND = 3.0  # total over all flagged nodes and all gateways
MIN_PROBERS = 3  # per flagged node

# Load factor in advice on a node, in units of the shortest latency objective.
MAX_LOAD_FACTOR = 4.0
LOAD_FACTOR_PER_LOSS = 3.0
PROBER_LOAD_FACTOR = 0.0
