"""SWIM's failure detector: schedules probes, indirect probes and suspicions."""

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
    due_event,
    expected_confirmations,
    extend_after_stall,
)
from milletsill.fleet.membership.probe_targets import ProbeTargets
from milletsill.fleet.transport import PRESENT_STATES

# Failing probes that one gateway follows up at a time; other gateways follow up the
# rest.
MAX_FAILING_PROBES = 12
# Members reported gone by others that are verified in one tick.
MAX_VERIFICATIONS_PER_TICK = 16
# Number of suspicion timeouts after which this gateway probes a member that is still
# suspected.
STALE_SUSPICION_TIMEOUTS = 3


class FailureDetector:
    """The probes of one gateway, at most one per member.

    Args:
        state: The membership state of this gateway.
        sender: Sends the probes.
        health: The local health, updated with the outcomes of probes.
        random: The random number generator of this gateway.
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
        """Handle the probes whose timeouts have expired."""
        if not self._probes:
            return
        multiplier = self._health.multiplier
        entries = self._state.table.entries
        expected = self._expected_confirmations()
        verifications = 0
        for probe in list(self._probes.values()):
            entry = entries.get(probe.name)
            if entry is None or entry.state not in PRESENT_STATES:
                self._finish(probe)
                continue
            confirmations = max(len(entry.suspected_by) - 1, 0)
            event = due_event(
                probe, now, self._config, multiplier, confirmations, expected
            )
            if event is None:
                continue
            if event is ProbeEvent.ROUND_DUE and probe.stage is ProbeStage.VERIFYING:
                verifications += 1
                if verifications > MAX_VERIFICATIONS_PER_TICK:
                    continue
            self._on_event(now, probe, event)

    def probe_next(self, now: int) -> None:
        """Begin the next round of probes and follow up stale suspicions."""
        for name in self._targets.next_round():
            is_self = name == self._state.name and not self._state.local.is_displaced
            if name not in self._probes and not is_self:
                probe = ProbeState.begin(name, ProbeStage.AWAITING_ACK, now)
                self._probes[name] = probe
                self._sender.probe(name)
        self._follow_up_suspicions(now)

    def on_local_stall(self, now: int, stalled_for: int) -> None:
        """Extend the probes, so that a local stall does not count as a lack of acks."""
        for probe in list(self._probes.values()):
            extend_after_stall(probe, now, stalled_for, self._config)
            self._on_event(now, probe, ProbeEvent.LOCAL_STALL)

    def on_liveness_evidence(self, now: int, name: str) -> None:
        """Handle evidence that a member is alive.

        A probe that verifies a member reported gone continues until it has been sent
        once, because the probe tells the member of that report and lets it refute.
        """
        probe = self._probes.get(name)
        if probe is not None and probe.last_round is not None:
            self._on_event(now, probe, ProbeEvent.LIVENESS_EVIDENCE)

    def verify_gone(self, now: int, name: str) -> None:
        """Begin to verify a member that others report as gone, from the next tick."""
        probe = self._probes.get(name)
        if probe is not None and not probe.is_first_round:
            return
        if probe is not None:
            self._finish(probe)
        verification = ProbeState.begin(name, ProbeStage.VERIFYING, now)
        verification.last_round = None
        self._probes[name] = verification

    def stop(self) -> None:
        """Discard all probes because this gateway leaves."""
        self._probes.clear()

    def probe_indirectly(self, probe: ProbeState) -> None:
        """Ask other members to probe a member."""
        target = self._state.table.entries[probe.name]
        for relay in self._state.table.sample(
            self._config.indirect_probes,
            self._random.randrange,
            self._state.name,
            probe.name,
        ):
            self._sender.request_indirect_probe(relay, target)

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
        self._set_stage(now, probe, transition.stage)
        self._perform(now, probe, transition.action)

    def _set_stage(self, now: int, probe: ProbeState, stage: ProbeStage) -> None:
        if stage is ProbeStage.FINISHED:
            self._finish(probe)
        elif stage is not probe.stage:
            self._failing -= probe.is_failing
            probe.stage = stage
            probe.stage_since = now
            self._failing += probe.is_failing

    def _perform(self, now: int, probe: ProbeState, action: ProbeAction) -> None:
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
        """Handle a failed round of probes.

        If enough members suspect the target, or too many probes of this gateway fail,
        the probe ends and other gateways follow the target up. This bounds the work of
        each gateway when many members fail at once.
        """
        self._health.on_miss(probe.name)
        entry = self._state.table.entries[probe.name]
        enough_suspect = len(entry.suspected_by) > self._expected_confirmations()
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

    def _expected_confirmations(self) -> int:
        return expected_confirmations(len(self._state.table.ring))
