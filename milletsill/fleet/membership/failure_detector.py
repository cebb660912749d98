"""SWIM's failure detector: probes, indirect probes and suspicions over time."""

from __future__ import annotations

from random import Random

from milletsill.fleet.membership.config import MembershipConfig
from milletsill.fleet.membership.local_health import LocalHealth
from milletsill.fleet.membership.membership_state import MembershipState
from milletsill.fleet.membership.message_sender import MessageSender
from milletsill.fleet.membership.probe_state import (
    PROBE_TRANSITIONS,
    ProbeAction,
    ProbeEvent,
    ProbeStage,
    ProbeState,
    confirmations_wanted,
    due_event,
    extend_after_stall,
)
from milletsill.fleet.membership.probe_targets import ProbeTargets
from milletsill.fleet.transport import PRESENT_STATES

# Failing probes that one gateway follows at a time; other gateways follow the rest.
MAX_FAILING_PROBES = 12
# Members said to be gone that are verified in one tick.
MAX_VERIFICATIONS_PER_TICK = 16
# Suspicion timeouts after which a suspicion that nobody ended is followed up.
STALE_SUSPICION_TIMEOUTS = 3


class FailureDetector:
    """The probes of one gateway, one a member at most.

    Args:
        state: What this gateway holds of the members.
        sender: Sends probes.
        health: The local health, fed by the outcomes of probes.
        random: This gateway's own.
    """

    def __init__(
        self,
        state: MembershipState,
        sender: MessageSender,
        health: LocalHealth,
        random: Random,
    ) -> None:
        self._state = state
        self._sender = sender
        self._health = health
        self._random = random
        self._config: MembershipConfig = state.config
        self._targets = ProbeTargets(state, random)
        self._probes: dict[str, ProbeState] = {}
        self._failing = 0

    def check(self, now: int) -> None:
        """Act on the probes whose timeouts are over."""
        if not self._probes:
            return
        multiplier = self._health.multiplier
        entries = self._state.table.entries
        wanted = self._confirmations_wanted()
        verifications = 0
        for probe in list(self._probes.values()):
            entry = entries.get(probe.name)
            if entry is None or entry.state not in PRESENT_STATES:
                self._finish(probe)
                continue
            confirmations = max(len(entry.suspected_by) - 1, 0)
            event = due_event(
                probe, now, self._config, multiplier, confirmations, wanted
            )
            if event is None:
                continue
            if event is ProbeEvent.ROUND_DUE and probe.stage is ProbeStage.VERIFYING:
                verifications += 1
                if verifications > MAX_VERIFICATIONS_PER_TICK:
                    continue
            self._on_event(now, probe, event)

    def probe_next(self, now: int) -> None:
        """Begin the next round of probes, and follow up stale suspicions."""
        for name in self._targets.next_round():
            is_self = name == self._state.name and not self._state.local.is_displaced
            if name not in self._probes and not is_self:
                probe = ProbeState.begin(name, ProbeStage.AWAITING_ACK, now)
                self._probes[name] = probe
                self._sender.probe(name)
        self._follow_up_suspicions(now)

    def on_local_stall(self, now: int, stalled_for: int) -> None:
        """Do not take what this gateway missed in a stall for others' silence."""
        for probe in list(self._probes.values()):
            extend_after_stall(probe, now, stalled_for, self._config)
            self._on_event(now, probe, ProbeEvent.LOCAL_STALL)

    def on_sign_of_life(self, now: int, name: str) -> None:
        """A member is alive.

        One that is said to be gone is asked first, so that it hears of that and refutes
        it.
        """
        probe = self._probes.get(name)
        if probe is not None and probe.last_round is not None:
            self._on_event(now, probe, ProbeEvent.SIGN_OF_LIFE)

    def verify_death(self, now: int, name: str) -> None:
        """Ask a member that others say is gone, from the next tick on."""
        probe = self._probes.get(name)
        if probe is not None and not probe.is_first_round:
            return
        if probe is not None:
            self._finish(probe)
        verification = ProbeState.begin(name, ProbeStage.VERIFYING, now)
        verification.last_round = None
        self._probes[name] = verification

    def stop(self) -> None:
        """Forget all probes: this gateway leaves."""
        self._probes.clear()

    def probe_indirectly(self, probe: ProbeState) -> None:
        """Ask other members to probe a member."""
        target = self._state.table.entries[probe.name]
        for helper in self._state.table.sample(
            self._config.indirect_probes,
            self._random.randrange,
            self._state.name,
            probe.name,
        ):
            self._sender.request_indirect_probe(helper, target)

    def _follow_up_suspicions(self, now: int) -> None:
        timeout = STALE_SUSPICION_TIMEOUTS * self._config.suspicion_timeout
        entries = self._state.table.entries
        stale = [
            name
            for name in self._state.table.suspects
            if name not in self._probes and entries[name].since < now - timeout
        ]
        for name in stale:
            if self._failing < MAX_FAILING_PROBES:
                probe = ProbeState.begin(name, ProbeStage.SUSPECTED, now)
                self._probes[name] = probe
                self._failing += 1
                self._probe_round(now, probe)

    def _on_event(self, now: int, probe: ProbeState, event: ProbeEvent) -> None:
        transition = PROBE_TRANSITIONS.get((probe.stage, event))
        if transition is None:
            return
        self._move(now, probe, transition.stage)
        self._act(now, probe, transition.action)

    def _move(self, now: int, probe: ProbeState, stage: ProbeStage) -> None:
        if stage is ProbeStage.FINISHED:
            self._finish(probe)
        elif stage is not probe.stage:
            self._failing -= probe.is_failing
            probe.stage = stage
            probe.stage_since = now
            self._failing += probe.is_failing

    def _act(self, now: int, probe: ProbeState, action: ProbeAction) -> None:
        match action:
            case ProbeAction.NONE:
                pass
            case ProbeAction.RECORD_ACK:
                self._health.on_ack(probe.name)
            case ProbeAction.RECORD_MISS:
                self._on_miss(now, probe)
            case ProbeAction.PROBE_INDIRECTLY:
                self.probe_indirectly(probe)
            case ProbeAction.PROBE_ROUND:
                self._probe_round(now, probe)
            case ProbeAction.VERIFY:
                self._verify(now, probe)
            case ProbeAction.SUSPECT:
                self._state.suspect(now, probe.name)
                self._probe_round(now, probe)
            case ProbeAction.DECLARE_GONE:
                self._state.declare_gone(now, probe.name)

    def _on_miss(self, now: int, probe: ProbeState) -> None:
        """A whole round failed.

        Where enough members suspect the target, or too many probes fail here, others
        follow it up: that bounds what a fault of many members costs each.
        """
        self._health.on_miss(probe.name)
        entry = self._state.table.entries[probe.name]
        enough_suspect = len(entry.suspected_by) > self._confirmations_wanted()
        if self._failing > MAX_FAILING_PROBES or enough_suspect:
            self._finish(probe)
            return
        self._probe_round(now, probe)

    def _probe_round(self, now: int, probe: ProbeState) -> None:
        probe.last_round = now
        self._sender.probe(probe.name)
        if probe.stage is not ProbeStage.VERIFYING:
            self.probe_indirectly(probe)

    def _verify(self, now: int, probe: ProbeState) -> None:
        if probe.last_round is None:
            probe.stage_since = now
        probe.last_round = now
        self._sender.probe(probe.name)

    def _finish(self, probe: ProbeState) -> None:
        if self._probes.pop(probe.name, None) is not None:
            self._failing -= probe.is_failing

    def _confirmations_wanted(self) -> int:
        return confirmations_wanted(len(self._state.table.ring))
