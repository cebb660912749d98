"""The state machine of a probe of one member: SWIM's probe, indirect probe, suspicion.

    AWAITING_ACK -> AWAITING_INDIRECT_ACK -> UNRESPONSIVE -> SUSPECTED -> FINISHED

Evidence that the member is alive ends the probe in any stage. VERIFYING is separate:
other members report that the member is gone, and this gateway probes it before it
accepts the report. No I/O; times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from math import log
from typing import NamedTuple

from milletsill.fleet.membership.config import MembershipConfig

# Multiples of the probe interval.
SILENCE_FACTOR = 2.4  # time without evidence of life after which a member is suspected
ROUND_FACTOR = 0.8  # between rounds of probes of a member after its first round failed

# Multiples of the suspicion timeout.
MIN_SUSPICION_FACTOR = 0.5  # the timeout if enough other members suspect the member
VERIFICATION_FACTOR = 0.7  # time in which a member reported gone may answer a probe

# Maximum number of other members whose suspicion shortens the suspicion timeout.
MAX_EXPECTED_CONFIRMATIONS = 1
# A local stall extends the silence timeout of an unresponsive member by its length, but
# only until this many ack timeouts remain.
ACK_TIMEOUTS_AFTER_STALL = 2
MAX_ACK_MULTIPLIER = 2  # cap of the local health multiplier in the first two stages


class ProbeStage(Enum):
    """The stage of this gateway's probe of a member."""

    AWAITING_ACK = auto()  # a probe was sent
    AWAITING_INDIRECT_ACK = auto()  # other members were asked to probe it too
    UNRESPONSIVE = auto()  # a round failed, and further rounds are sent
    SUSPECTED = auto()  # the suspicion is gossiped, and the member may refute it
    VERIFYING = auto()  # others report that it is gone, and it is probed
    FINISHED = auto()


class ProbeEvent(Enum):
    """An event that changes the stage of a probe."""

    # An ack, another frame of the member, or an update that only the member can cause.
    LIVENESS_EVIDENCE = auto()
    LOCAL_STALL = auto()  # this gateway itself stalled
    ACK_TIMEOUT = auto()
    INDIRECT_ACK_TIMEOUT = auto()
    ROUND_DUE = auto()
    SILENCE_TIMEOUT = auto()
    SUSPICION_TIMEOUT = auto()


class ProbeAction(Enum):
    """The action that a transition requires."""

    NONE = auto()
    RECORD_ACK = auto()
    RECORD_MISS = auto()
    PROBE_INDIRECTLY = auto()
    PROBE_ROUND = auto()  # probe directly and through other members
    VERIFY = auto()  # probe only directly
    SUSPECT = auto()
    DECLARE_GONE = auto()


class ProbeTransition(NamedTuple):
    """The stage after an event, and the action to perform."""

    stage: ProbeStage
    action: ProbeAction


_FIRST_STAGES = (ProbeStage.AWAITING_ACK, ProbeStage.AWAITING_INDIRECT_ACK)
_LATER_STAGES = (ProbeStage.UNRESPONSIVE, ProbeStage.SUSPECTED, ProbeStage.VERIFYING)

# (stage, event) -> transition; a pair that is not listed changes nothing.
PROBE_TRANSITIONS: Mapping[tuple[ProbeStage, ProbeEvent], ProbeTransition] = {
    (ProbeStage.AWAITING_ACK, ProbeEvent.ACK_TIMEOUT): ProbeTransition(
        ProbeStage.AWAITING_INDIRECT_ACK, ProbeAction.PROBE_INDIRECTLY
    ),
    (
        ProbeStage.AWAITING_INDIRECT_ACK,
        ProbeEvent.INDIRECT_ACK_TIMEOUT,
    ): ProbeTransition(ProbeStage.UNRESPONSIVE, ProbeAction.RECORD_MISS),
    (ProbeStage.UNRESPONSIVE, ProbeEvent.ROUND_DUE): ProbeTransition(
        ProbeStage.UNRESPONSIVE, ProbeAction.PROBE_ROUND
    ),
    (ProbeStage.UNRESPONSIVE, ProbeEvent.SILENCE_TIMEOUT): ProbeTransition(
        ProbeStage.SUSPECTED, ProbeAction.SUSPECT
    ),
    (ProbeStage.SUSPECTED, ProbeEvent.ROUND_DUE): ProbeTransition(
        ProbeStage.SUSPECTED, ProbeAction.PROBE_ROUND
    ),
    (ProbeStage.SUSPECTED, ProbeEvent.SUSPICION_TIMEOUT): ProbeTransition(
        ProbeStage.FINISHED, ProbeAction.DECLARE_GONE
    ),
    (ProbeStage.VERIFYING, ProbeEvent.ROUND_DUE): ProbeTransition(
        ProbeStage.VERIFYING, ProbeAction.VERIFY
    ),
    (ProbeStage.VERIFYING, ProbeEvent.SUSPICION_TIMEOUT): ProbeTransition(
        ProbeStage.FINISHED, ProbeAction.DECLARE_GONE
    ),
    **{
        (stage, ProbeEvent.LIVENESS_EVIDENCE): ProbeTransition(
            ProbeStage.FINISHED, ProbeAction.RECORD_ACK
        )
        for stage in _FIRST_STAGES
    },
    **{
        (stage, ProbeEvent.LIVENESS_EVIDENCE): ProbeTransition(
            ProbeStage.FINISHED, ProbeAction.NONE
        )
        for stage in _LATER_STAGES
    },
    # Keeps a gateway that stalled from suspecting healthy members: a first round that
    # was under way says nothing about its target and ends; a later stage is extended by
    # the stall and sends a new round. Trade-off: a gateway that keeps stalling detects
    # a failed member later; other gateways detect it in time.
    **{
        (stage, ProbeEvent.LOCAL_STALL): ProbeTransition(
            ProbeStage.FINISHED, ProbeAction.NONE
        )
        for stage in _FIRST_STAGES
    },
    **{
        (stage, ProbeEvent.LOCAL_STALL): ProbeTransition(stage, ProbeAction.PROBE_ROUND)
        for stage in _LATER_STAGES
    },
}


@dataclass(slots=True)
class ProbeState:
    """The state of this gateway's probe of one member.

    Attributes:
        name: The member's name.
        stage: The current stage.
        silent_since: The time since which there is no evidence that the member is
            alive.
        stage_since: The time at which the stage began.
        last_round: The time of the last round of probes; None before the first.
    """

    name: str
    stage: ProbeStage
    silent_since: int
    stage_since: int
    last_round: int | None

    @classmethod
    def begin(cls, name: str, stage: ProbeStage, now: int) -> ProbeState:
        """Return the state of a probe whose first round is sent now."""
        return cls(name, stage, silent_since=now, stage_since=now, last_round=now)

    @property
    def is_first_round(self) -> bool:
        """Whether the probe is still in its first round."""
        return self.stage in _FIRST_STAGES

    @property
    def is_failing(self) -> bool:
        """Whether a round failed; the number of such probes is limited."""
        return self.stage in (ProbeStage.UNRESPONSIVE, ProbeStage.SUSPECTED)


def due_event(
    probe: ProbeState,
    now: int,
    config: MembershipConfig,
    multiplier: float,
    confirmations: int,
    expected: int,
) -> ProbeEvent | None:
    """Return the event for a timeout of a probe that has expired, or None.

    Args:
        probe: The state of the probe.
        now: The current time.
        config: Intervals and timeouts.
        multiplier: The local health multiplier of timeouts, at least 1.
        confirmations: The number of other members that suspect the member.
        expected: The number of confirmations at which the suspicion timeout has its
            minimum.
    """
    stage = probe.stage
    silent_for = now - probe.silent_since
    stage_for = now - probe.stage_since
    if stage is ProbeStage.AWAITING_ACK:
        timeout = config.ack_timeout * min(multiplier, MAX_ACK_MULTIPLIER)
        return ProbeEvent.ACK_TIMEOUT if silent_for >= timeout else None
    if stage is ProbeStage.AWAITING_INDIRECT_ACK:
        timeout = config.probe_interval * min(multiplier, MAX_ACK_MULTIPLIER)
        return ProbeEvent.INDIRECT_ACK_TIMEOUT if silent_for >= timeout else None
    if stage is ProbeStage.UNRESPONSIVE:
        timeout = config.probe_interval * SILENCE_FACTOR * multiplier
        if silent_for >= timeout:
            return ProbeEvent.SILENCE_TIMEOUT
    elif stage is ProbeStage.SUSPECTED:
        timeout = suspicion_timeout(config.suspicion_timeout, confirmations, expected)
        if stage_for >= timeout * multiplier:
            return ProbeEvent.SUSPICION_TIMEOUT
    elif probe.last_round is not None and stage is ProbeStage.VERIFYING:
        timeout = config.suspicion_timeout * VERIFICATION_FACTOR * multiplier
        if stage_for >= timeout:
            return ProbeEvent.SUSPICION_TIMEOUT
    if probe.last_round is None:
        return ProbeEvent.ROUND_DUE
    round_due = now - probe.last_round >= config.probe_interval * ROUND_FACTOR
    return ProbeEvent.ROUND_DUE if round_due else None


def extend_after_stall(
    probe: ProbeState, now: int, stalled_for: int, config: MembershipConfig
) -> None:
    """Extend a probe's timeouts after a stall of this gateway.

    Timeouts after which the member may be declared gone count only the time in which
    this gateway ran. An unresponsive member can at worst become suspected next, which
    it can refute; it gets at most enough additional time to answer a new round.
    """
    probe.stage_since = min(probe.stage_since + stalled_for, now)
    shifted = probe.silent_since + stalled_for
    if probe.stage is not ProbeStage.UNRESPONSIVE:
        probe.silent_since = min(shifted, now)
        return
    silence_timeout = int(config.probe_interval * SILENCE_FACTOR)
    max_silent_time = silence_timeout - ACK_TIMEOUTS_AFTER_STALL * config.ack_timeout
    probe.silent_since = max(probe.silent_since, min(shifted, now - max_silent_time))


def suspicion_timeout(max_timeout: int, confirmations: int, expected: int) -> float:
    """Return the time in which a suspect may refute (Lifeguard's dynamic timeout).

    Args:
        max_timeout: The timeout if no other member suspects the member.
        confirmations: The number of other members that suspect it.
        expected: The number of confirmations at which the timeout has its minimum.
    """
    if expected <= 0:
        return max_timeout
    fraction = log(min(confirmations, expected) + 1) / log(expected + 1)
    return max_timeout * (1 - (1 - MIN_SUSPICION_FACTOR) * fraction)


def expected_confirmations(members: int) -> int:
    """Return the number of confirmations to expect in a fleet of that size.

    It is at most MAX_EXPECTED_CONFIRMATIONS. Neither the suspect nor this gateway can
    confirm.
    """
    return max(min(MAX_EXPECTED_CONFIRMATIONS, members - 2), 0)
