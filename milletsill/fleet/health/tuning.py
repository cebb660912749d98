"""Tuned values of shared health, and the reason for each.

Times are whole tenths of a millisecond. A vote weighs at most 1; thresholds on votes
are sums of such weights. Paces are log2 of the latency over the usual latency.
"""

from __future__ import annotations

SECOND = 10_000

# Observations and their exchange.
OBSERVATION_FADE = 2 * SECOND  # time constant with which observations fade
MIN_ANSWERS = 0.05  # an observation of fewer (faded) answers counts for nothing
CALM_PUBLISH_PERIODS = 4  # publish periods between reports without bad news
GOSSIP_INTERVAL = SECOND // 10
SYNC_INTERVAL = SECOND  # between two anti-entropy exchanges with a random member
GOSSIP_FANOUT = 2
MAX_PENDING_DELTAS = 8192

# Usual latency, by kind of node and size of request.
PACE_WINDOW = 256  # latest paces of which the median is the usual one
MIN_PACE_SAMPLES = 8  # the usual pace is unknown until there are so many
DOUBLINGS_PER_SIZE_CLASS = 2.0  # request sizes in one class
MAX_PACE_CLASSES = 4096
MAX_RELATIVE_PACE = 8.0

ADVICE_PERIODS = 4  # publish periods after which advice that is not renewed ends

# Votes: one origin has at most one on each node.
TRIMMED_GATEWAYS = 0.05  # share of the gateways whose worst observations do not count
MAX_TRIMMED_WEIGHT = 0.2  # the trimmed are at most this share of the votes, or one
MIN_VOTES = 2.5  # weight of votes that a finding needs
MIN_VOTES_CALLED = 0.6  # the same on a called node, which few gateways try
# An origin's share of bad observations beyond the median origin's: from the first on
# its votes lose weight, from the second on they have none.
BAD_SHARE_TOLERATED = 0.3
BAD_SHARE_REJECTED = 0.6
BAD_WEIGHT_FADE = 20 * SECOND  # time constant of an origin's smoothed bad observations
BAD_WEIGHT_FREE = 0.2  # smoothed weight that is held against nobody

# Findings: thresholds to call a node, and lower ones to call it no longer.
IMPAIRED_LOSS = 0.2
IMPAIRED_SMOOTHED_LOSS = 0.12
HEALTHY_LOSS = 0.06
FAILING_LOSS = 0.5
IMPAIRED_PACE = 0.5
HEALTHY_PACE = 0.25
MIN_PACED_VOTES = 4.0  # weight of votes with a pace that a node's pace needs
PACE_SMOOTHING = 2 * SECOND
LOSS_SMOOTHING = 4 * SECOND
WARM_UP = 3 * SECOND  # of an evaluator, until it calls any node
CONFIRMING_FINDINGS = 2  # equal findings in a row before a node is DEGRADED

# Load: the share of the gateways that may send to a node. It is cut while most of what
# the node gets is wasted, and raised while little is.
CUT_WASTE = 0.5
RAISE_WASTE = 0.25
CUT_FACTOR = 0.8
FAILING_CUT_FACTOR = 0.5
RAISE_STEP = 0.03
RAMP_FACTOR = 1.35  # growth at each evaluation on a node that recovers
RAMP_STEP = 0.02
# Median waste over all nodes from which on a slow node keeps its load, since the
# others could not bear it.
OVERLOADED_WASTE = 0.3
PROBES_PER_SECOND = 3.0  # on all called nodes together, by all gateways
MIN_PROBERS = 3  # gateways that try one called node, at least

# Advice against a node, in shortest target times.
MAX_LOAD_FACTOR = 4.0
LOAD_FACTOR_PER_LOSS = 3.0
PROBER_LOAD_FACTOR = 0.0
