"""The settings of failure detection. Times are tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass

MILLISECOND = 10
SECOND = 10_000

TICK_INTERVAL = 100 * MILLISECOND  # between calls of Membership.tick


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """One gateway's intervals and bounds, from the `fleet` block of its file.

    Times are tenths of a millisecond.
    """

    # The fleet's name; frames of a fleet with another name are refused.
    fleet: str
    # Between rounds of probes; longer probes less and sees a death later.
    probe_interval: int = 500 * MILLISECOND
    # Until a probe without an ack goes through other members too.
    ack_timeout: int = 200 * MILLISECOND
    # Members that are asked for an indirect probe; more bear more loss.
    indirect_probes: int = 3
    # In which a suspect may refute; longer bears longer stalls of other gateways.
    suspicion_timeout: int = 2 * SECOND
    # Between anti-entropy exchanges; longer heals a cut later.
    exchange_interval: int = 5 * SECOND
    # Members that are held at most, the absent ones with them; more are refused.
    max_members: int = 4096
    # For which members that are gone or left are kept; shorter forgets a cut-off half.
    remember_absent: int = 3600 * SECOND
