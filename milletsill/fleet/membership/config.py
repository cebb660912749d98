"""The settings of group membership. Times are tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass

MILLISECOND = 10
SECOND = 10_000

TICK_INTERVAL = 100 * MILLISECOND  # between calls of Membership.tick


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """One gateway's intervals and limits, from the `fleet` block of its settings file.

    Times are tenths of a millisecond.
    """

    # The fleet's name; frames of a fleet with another name are refused.
    fleet: str
    # Time between rounds of probes; a longer interval sends fewer probes and detects a
    # failed member later.
    probe_interval: int = 500 * MILLISECOND
    # Time without an ack after which a member is also probed through other members.
    ack_timeout: int = 200 * MILLISECOND
    # Number of members that are asked for an indirect probe; more tolerate more packet
    # loss.
    indirect_probes: int = 3
    # Time in which a suspect can refute; a longer timeout tolerates longer stalls of
    # other gateways.
    suspicion_timeout: int = 2 * SECOND
    # Time between anti-entropy exchanges; with a longer interval the views take longer
    # to converge after a partition.
    exchange_interval: int = 5 * SECOND
    # Maximum number of members held, including absent ones; further members are
    # refused.
    max_members: int = 4096
    # Time for which gone and left members are kept. After a partition that lasts
    # longer, the members of the other side are no longer known.
    absent_retention: int = 3600 * SECOND
