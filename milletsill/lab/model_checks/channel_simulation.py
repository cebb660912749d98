"""The simulated cluster of `channel_model`: gateways, clients, nodes and acceptors.

Gateways run the real channel owner. Leases are simulated with the guarantees that the
model check of leases establishes: one holder at a time for any clock drift within the
limit, and a record that only the latest holder writes. Everything else is faulty:
commands are lost, duplicated and reordered; a gateway stalls at any point (its timers
fire late and its released attempts are sent late) or is killed; a node runs an attempt
late, or twice, within the quarantine.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from milletsill.fleet.channels import codec
from milletsill.fleet.channels.channel_services import AttemptEnd
from milletsill.fleet.channels.commands import (
    ChannelCommand,
    NumberedRequest,
    OpenChannel,
    Redirect,
    ResolveNumber,
)
from milletsill.fleet.channels.contracts import (
    ChannelOrder,
    ContractCatalog,
    ContractOffer,
    IndeterminatePolicy,
    OrderingContract,
)
from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.fleet.channels.released_attempts import ReleasedAttempt
from milletsill.lab.model_checks.channel_acceptors import SimulatedAcceptors
from milletsill.lab.model_checks.channel_checker import ContractChecker, batch_of
from milletsill.lab.model_checks.channel_gateway import (
    CLIENT_TIMEOUT,
    DRIFT,
    GAP_TIMEOUT,
    KEY_WINDOW,
    QUARANTINE,
    RETRY_DELAY,
    PendingAcquire,
    SimulatedGateway,
    extent_of,
)
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets, status_tags
from milletsill.sftp.extensions import CommandTerms

CLAIM_GRACE_EVENTS = 40
"""Number of events after a new claim during which older claims may release."""


class SimulatedVolume:
    """The volume of the channel."""

    name = "v"
    number = 1


@dataclass(slots=True, eq=False)
class ModelledAttempt:
    """An attempt that was sent to a node.

    `runs_until` is the true time after which a node no longer runs it.
    """

    request: NumberedRequest
    gateway: SimulatedGateway
    attempt: ReleasedAttempt
    on_ended: Callable[[AttemptEnd], None]
    runs_until: int
    is_over: bool = False
    is_answered: bool = False


class SimulatedCluster:
    """One channel with all gateways, clients, nodes and acceptors that use it.

    A request's data consists of its extent and its number.

    Attributes:
        checker: Checks the contract and keeps the first violation.
        outstanding: Number of unanswered commands of each number.
        reported_failed: Numbers that were reported to a client as possibly executed.
        required_generation: By number, the first generation of its idempotency key
            that may still run after the client resolved the number.
        rejected: Rejected numbers, which a client may send with other content.
    """

    def __init__(
        self,
        order: ChannelOrder,
        policy: IndeterminatePolicy = IndeterminatePolicy.QUARANTINE,
        gateways: int = 2,
        numbers: int = 3,
        seed: int = 0,
    ) -> None:
        random = Random(seed)
        self.order = order
        self.numbers = numbers
        self.now = 0
        contract = OrderingContract(
            "c", 1, order, policy, max_waiting=8, gap_timeout=GAP_TIMEOUT
        )
        self.catalog = ContractCatalog([ContractOffer(contract)])
        self.checker = ContractChecker(order, policy, numbers)
        self.acceptors = SimulatedAcceptors(self.checker)
        rates = [random.choice((-DRIFT, DRIFT)) for _ in range(gateways)]
        self.gateways = [
            SimulatedGateway(self, f"g{index}", 1, rate)
            for index, rate in enumerate(rates)
        ]
        self.dispatches: list[ModelledAttempt] = []
        self.first_runs: dict[str, int] = {}  # by idempotency key, true time
        self.outstanding: dict[int, int] = {}
        self.reported_failed: set[int] = set()
        self.required_generation: dict[int, int] = {}
        self.rejected: set[int] = set()
        self.claim = 0
        self.claimed_at_event = 0
        self.open_commands = 0
        self.events = 0

    @property
    def violation(self) -> str | None:
        """The first violation, if any."""
        return self.checker.violation

    # Clients.

    def open(self, gateway: SimulatedGateway) -> None:
        """Open the channel as a client."""
        self.open_commands += 1
        body = OpenChannel("", 0, 0)
        token = str(self.open_commands)
        self._handle(gateway, body, token, self._on_opened)

    def _on_opened(self, packet: Any) -> None:
        if isinstance(packet, packets.ExtendedReply):
            claim = wire.decode_open_reply(packet).claim
            if claim > self.claim:
                self.claim = claim
                self.claimed_at_event = self.events

    def send(self, gateway: SimulatedGateway, number: int, claim: int) -> None:
        """Send a client's request to a gateway."""
        in_batches = self.order is ChannelOrder.BATCHES
        extent = self.checker.extents[number]
        body = NumberedRequest(
            number,
            claim,
            batch_of(number) if in_batches else 0,
            number % 2 == 0 and in_batches,
            CommandTerms(),
            "/f",
            packets.Write(0, b"f", 0, b"%d:%d" % (extent, number)),
        )
        self.outstanding[number] = self.outstanding.get(number, 0) + 1
        self._handle(
            gateway, body, "", lambda packet: self._on_answered(number, packet)
        )

    def _on_answered(self, number: int, packet: Any) -> None:
        self.outstanding[number] = max(self.outstanding.get(number, 0) - 1, 0)
        if isinstance(packet, Redirect):
            return
        tag = status_tags.parse_status_tag(packet.language)
        if tag is None:
            self.checker.on_reported_settled(number)
            return
        if tag.kind == "declined" and number not in self.checker.ever_released:
            self.rejected.add(number)
        if tag.kind in ("aborted", "stopped"):
            self.reported_failed.add(tag.number or number)

    def resolve(self, gateway: SimulatedGateway, number: int, resolution: int) -> None:
        """Resolve a number with an indeterminate outcome, as a client."""
        self.checker.resolved.add(number)

        def on_answer(packet: Any) -> None:
            if isinstance(packet, packets.Status) and packet.code == packets.OK:
                generation = self.required_generation.get(number, 0) + 1
                self.required_generation[number] = generation

        body = ResolveNumber(number, resolution, self.claim)
        self._handle(gateway, body, "", on_answer)

    def _handle(
        self,
        gateway: SimulatedGateway,
        body: OpenChannel | NumberedRequest | ResolveNumber,
        token: str,
        on_answer: Callable[[Any], None],
    ) -> None:
        deadline = gateway.now() + CLIENT_TIMEOUT
        volume = SimulatedVolume()
        gateway.owner.handle(
            ChannelCommand(volume, "c", deadline, body, token, on_answer)
        )

    def change_content(self, number: int) -> None:
        """Change the content with which the client sends a rejected number."""
        self.rejected.discard(number)
        self.checker.extents[number] = 1 - self.checker.extents[number]
        self.checker.changed.add(number)

    def on_lease_released(self, holder: tuple[str, int]) -> None:
        """Release the lease of a gateway, given by name and incarnation."""
        self.acceptors.release(holder)

    def on_released(self, request: NumberedRequest) -> None:
        """Check that a released request has a recent claim."""
        if (
            self.claim > request.claim
            and self.events - self.claimed_at_event > CLAIM_GRACE_EVENTS
        ):
            self.checker.fail(
                f"{request.number} was released under claim {request.claim} long "
                f"after claim {self.claim}"
            )

    # Nodes.

    def dispatch(self, gateway: SimulatedGateway) -> None:
        """Send a gateway's first queued attempt, if it may still be sent."""
        queued = gateway.queue.pop(0)
        attempt = queued.attempt
        if not attempt.may_send():
            event = attempt.event_without_answer()
            queued.on_ended(AttemptEnd(event, retry_delay=RETRY_DELAY))
            return
        attempt.sent += 1
        remaining = max(attempt.deadline - gateway.now(), 0)
        # A node does not run an attempt later than a quarantine after its deadline.
        runs_until = self.now + (remaining + QUARANTINE) * 1000 // (1000 + DRIFT)
        self.rejected.discard(queued.release.number)
        self.dispatches.append(
            ModelledAttempt(
                queued.request, gateway, attempt, queued.on_ended, runs_until
            )
        )

    def run(self, dispatch: ModelledAttempt) -> None:
        """Run an attempt at a node, or answer it by its remembered idempotency key."""
        key = dispatch.attempt.idempotency_key
        first_run = self.first_runs.get(key)
        memory = KEY_WINDOW * (1000 + 2 * DRIFT) // 1000
        if first_run is None or self.now - first_run > memory:
            self.first_runs[key] = self.now
            number, generation = (int(part) for part in key.split("."))
            if generation < self.required_generation.get(number, 0) and not generation:
                self.checker.fail(
                    f"{number} took effect after the client had resolved it"
                )
            request = dispatch.request
            self.checker.on_effect(request.number, extent_of(request))
        dispatch.is_answered = True

    def end(self, dispatch: ModelledAttempt, event: NumberEvent) -> None:
        """Deliver the end of an attempt to its gateway."""
        if dispatch.is_over or dispatch.gateway.is_dead:
            return
        dispatch.is_over = True
        packet = None
        if event is NumberEvent.SETTLED:
            packet = packets.Status(0, packets.OK)
        dispatch.on_ended(AttemptEnd(event, 0, RETRY_DELAY, packet))

    # Acceptors, time and kills.

    def time_out(self, dispatch: ModelledAttempt) -> None:
        """End an attempt without an answer at its deadline."""
        self.end(dispatch, dispatch.attempt.event_without_answer())

    def settle(self, gateway: SimulatedGateway, fate: str = "done") -> None:
        """Complete a gateway's first pending request to the acceptors.

        `fate` is `done`, `lost` (the request was lost) or `unheard` (the request was
        executed, and its reply was lost).
        """
        pending = gateway.pending.pop(0)
        if isinstance(pending, PendingAcquire):
            candidate = (gateway.name, gateway.incarnation)
            self.acceptors.settle_acquire(self.now, candidate, pending, fate)
        else:
            self.acceptors.settle_write(self.now, pending, fate)

    def pass_time(self, span: int) -> None:
        """Advance true time, and remove attempts that can no longer matter."""
        self.now += span
        self.dispatches = [
            each
            for each in self.dispatches
            if self.now <= each.runs_until
            or (not each.is_over and not each.gateway.is_dead)
        ]

    def kill(self, index: int) -> None:
        """Kill a gateway, and start its next incarnation."""
        old = self.gateways[index]
        old.kill()
        self.outstanding = {}
        self.gateways[index] = SimulatedGateway(
            self, old.name, old.incarnation + 1, old.rate
        )

    def fingerprint(self) -> Any:
        """Return a key of the state; explorations visit equal keys once."""
        gateways = tuple(
            (
                gateway.now(),
                gateway.incarnation,
                len(gateway.pending),
                len(gateway.queue),
                tuple(
                    _fingerprint_of(channel)
                    for channel in gateway.owner.channels.values()
                ),
            )
            for gateway in self.gateways
        )
        dispatches = tuple(
            (
                each.attempt.idempotency_key,
                each.runs_until,
                each.is_over,
                each.is_answered,
                each.gateway.name,
                each.gateway.is_dead,
            )
            for each in self.dispatches
        )
        return (
            self.now,
            gateways,
            dispatches,
            self.acceptors.record,
            self.acceptors.holder,
            self.acceptors.held_until,
            tuple(self.checker.effects),
            self.claim,
            tuple(sorted(self.outstanding.items())),
            tuple(sorted(self.first_runs.items())),
            tuple(self.checker.extents.values()),
        )


def _fingerprint_of(channel: Any) -> Any:
    sequencer = channel.sequencer
    return (
        codec.encode_record(sequencer, 0),
        sequencer.record_changed,
        channel.is_writing,
        channel.lease.expires_at,
        channel.is_lost,
        tuple(
            (number, each.state.name, each.quarantined_until, each.gap_since)
            for number, each in sequencer.open_numbers.items()
        ),
    )
