"""One member that is probed: SWIM's probe, indirect probe and suspicion. Pure.

    AWAITING_ACK -> AWAITING_INDIRECT_ACK -> UNRESPONSIVE -> SUSPECTED -> FINISHED

A sign of life ends each stage. VERIFYING is apart: others say that the member is gone,
and this gateway asks it itself before it believes that.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from math import log
from typing import NamedTuple

from milletsill.fleet.membership.config import MembershipConfig

# Shares of the probe interval.
SILENCE_SHARE = 2.4  # without a sign of life for so long a member is suspected
ROUND_SHARE = 0.8  # between rounds of probes to one that is unresponsive or suspected

# Shares of the suspicion timeout.
LEAST_SUSPICION_SHARE = 0.5  # where enough others suspect the member too
VERIFY_SHARE = 0.7  # in which one that is said to be gone may answer this gateway

CONFIRMATIONS_WANTED = 1  # other members whose suspicion shortens the timeout
# Ack timeouts that an unresponsive member has left, at least, after a local stall.
ACK_TIMEOUTS_AFTER_STALL = 2
MAX_ACK_MULTIPLIER = 2  # of the local health multiplier, on the first two stages


class ProbeStage(Enum):
    """How far this gateway is with a member that it probes."""

    AWAITING_ACK = auto()  # a probe is out
    AWAITING_INDIRECT_ACK = auto()  # others were asked to probe it too
    UNRESPONSIVE = auto()  # a round failed; rounds follow each other
    SUSPECTED = auto()  # the suspicion is gossiped, and the member may refute
    VERIFYING = auto()  # others say that it is gone; it is asked
    FINISHED = auto()


class ProbeEvent(Enum):
    """What a probe's state reacts to."""

    SIGN_OF_LIFE = auto()  # an ack or any other, from whomever
    LOCAL_STALL = auto()  # this gateway itself stalled
    ACK_TIMEOUT = auto()
    INDIRECT_ACK_TIMEOUT = auto()
    ROUND_DUE = auto()
    SILENCE_TIMEOUT = auto()
    SUSPICION_TIMEOUT = auto()


class ProbeAction(Enum):
    """What a transition wants done."""

    NONE = auto()
    RECORD_ACK = auto()
    RECORD_MISS = auto()
    PROBE_INDIRECTLY = auto()
    PROBE_ROUND = auto()  # directly and through others
    VERIFY = auto()  # probe directly alone
    SUSPECT = auto()
    DECLARE_GONE = auto()


class ProbeTransition(NamedTuple):
    """The stage after an event, and what to do."""

    stage: ProbeStage
    action: ProbeAction


_FIRST_STAGES = (ProbeStage.AWAITING_ACK, ProbeStage.AWAITING_INDIRECT_ACK)
_LATER_STAGES = (ProbeStage.UNRESPONSIVE, ProbeStage.SUSPECTED, ProbeStage.VERIFYING)

# (stage, event) -> transition; what is not here changes nothing.
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
        (stage, ProbeEvent.SIGN_OF_LIFE): ProbeTransition(
            ProbeStage.FINISHED, ProbeAction.RECORD_ACK
        )
        for stage in _FIRST_STAGES
    },
    **{
        (stage, ProbeEvent.SIGN_OF_LIFE): ProbeTransition(
            ProbeStage.FINISHED, ProbeAction.NONE
        )
        for stage in _LATER_STAGES
    },
    # Guards the others against a gateway that stalled: a probe that was out then
    # says nothing of its target; what was further on gets that much longer and a new
    # round. Cost: one that stalls all the time sees a death later; others see it.
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
    """One member that this gateway probes.

    Attributes:
        name: The member's name.
        stage: How far the probe is.
        silent_since: Since when nothing was heard of the member.
        stage_since: When the stage began.
        last_round: When the last round of probes went out; None before the first.
    """

    name: str
    stage: ProbeStage
    silent_since: int
    stage_since: int
    last_round: int | None

    @classmethod
    def begin(cls, name: str, stage: ProbeStage, now: int) -> ProbeState:
        """Return a state whose first probe goes out now."""
        return cls(name, stage, silent_since=now, stage_since=now, last_round=now)

    @property
    def is_first_round(self) -> bool:
        """Whether the first probe of the member may still be answered."""
        return self.stage in _FIRST_STAGES

    @property
    def is_failing(self) -> bool:
        """Whether a round failed; such probes are bounded in number."""
        return self.stage in (ProbeStage.UNRESPONSIVE, ProbeStage.SUSPECTED)


def due_event(
    probe: ProbeState,
    now: int,
    config: MembershipConfig,
    multiplier: float,
    confirmations: int,
    wanted: int,
) -> ProbeEvent | None:
    """Return what the passing of time means for a probe, if anything.

    Args:
        probe: The member's probe.
        now: The time.
        config: Intervals and timeouts.
        multiplier: The local health multiplier of timeouts, 1 or more.
        confirmations: Other members that suspect this one.
        wanted: Confirmations that bring the suspicion timeout to its least.
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
        timeout = config.probe_interval * SILENCE_SHARE * multiplier
        if silent_for >= timeout:
            return ProbeEvent.SILENCE_TIMEOUT
    elif stage is ProbeStage.SUSPECTED:
        timeout = suspicion_timeout(config.suspicion_timeout, confirmations, wanted)
        if stage_for >= timeout * multiplier:
            return ProbeEvent.SUSPICION_TIMEOUT
    elif probe.last_round is not None and stage is ProbeStage.VERIFYING:
        timeout = config.suspicion_timeout * VERIFY_SHARE * multiplier
        if stage_for >= timeout:
            return ProbeEvent.SUSPICION_TIMEOUT
    if probe.last_round is None:
        return ProbeEvent.ROUND_DUE
    round_due = now - probe.last_round >= config.probe_interval * ROUND_SHARE
    return ProbeEvent.ROUND_DUE if round_due else None


def extend_after_stall(
    probe: ProbeState, now: int, stalled_for: int, config: MembershipConfig
) -> None:
    """Do not count a stall of this gateway against the member.

    What ends in a death counts the time alone in which this gateway was awake. An
    unresponsive member, which is next only suspected and can refute that, has a new
    round to answer and goes on.
    """
    probe.stage_since = min(probe.stage_since + stalled_for, now)
    shifted = probe.silent_since + stalled_for
    if probe.stage is not ProbeStage.UNRESPONSIVE:
        probe.silent_since = min(shifted, now)
        return
    silence_timeout = int(config.probe_interval * SILENCE_SHARE)
    most_silent = silence_timeout - ACK_TIMEOUTS_AFTER_STALL * config.ack_timeout
    probe.silent_since = max(probe.silent_since, min(shifted, now - most_silent))


def suspicion_timeout(most: int, confirmations: int, wanted: int) -> float:
    """Return for how long a suspect may refute (Lifeguard's dynamic timeout).

    Args:
        most: The timeout where nobody else suspects the member.
        confirmations: Other members that suspect it.
        wanted: Confirmations that bring the timeout down to its least.
    """
    if wanted <= 0:
        return most
    part = log(min(confirmations, wanted) + 1) / log(wanted + 1)
    return most * (1 - (1 - LEAST_SUSPICION_SHARE) * part)


def confirmations_wanted(members: int) -> int:
    """Return the confirmations that a fleet of that size can give, within the bound.

    Neither the suspect nor this gateway can confirm.
    """
    return max(min(CONFIRMATIONS_WANTED, members - 2), 0)
