"""The cluster that `channel_model` plays: gateways, clients, nodes, acceptors.

Gateways run the program's own channel owner. Leases are taken for what the leases' own
model shows of them: one holder at a time whatever clocks do within their drift, and a
record that only the latest holder writes. Everything else misbehaves: commands are
lost, doubled and reordered; a gateway stands still at any point (its timers fire late,
what it decided leaves late) or is killed; a node runs an attempt late, or twice, within
the quarantine.
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
"""Events after which nothing is released under an earlier claim any more."""


class SimulatedVolume:
    """The channel's volume."""

    name = "v"
    number = 1


@dataclass(slots=True, eq=False)
class ModelledAttempt:
    """An attempt at a node, or on its way there or back.

    `runs_until` is the true time after which a node does not run it any more.
    """

    request: NumberedRequest
    gateway: SimulatedGateway
    attempt: ReleasedAttempt
    on_ended: Callable[[AttemptEnd], None]
    runs_until: int
    is_over: bool = False
    is_answered: bool = False


class SimulatedCluster:
    """A channel's whole world. A request's data are its extent and its number.

    Attributes:
        checker: Checks the contract; its `violation` says what was broken first.
        outstanding: Commands of each number on their way or waiting.
        reported_failed: Numbers of which a client heard that they may have been done.
        required_generation: By number, the first generation of its idempotency key that
            may still run, once the client's word on it was taken.
        rejected: Numbers that were rejected: a client may send another content.
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
            SimulatedGateway(self, f"g{place}", 1, rate)
            for place, rate in enumerate(rates)
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
        """What was broken first, if anything."""
        return self.checker.violation

    # Clients.

    def open(self, gateway: SimulatedGateway) -> None:
        """A client opens the channel."""
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
        """A client's request; one that was rejected may come with another content."""
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
        sign = status_tags.parse_status_tag(packet.language)
        if sign is None:
            self.checker.on_reported_settled(number)
            return
        if sign.kind == "declined" and number not in self.checker.ever_released:
            self.rejected.add(number)
        if sign.kind in ("aborted", "stopped"):
            self.reported_failed.add(sign.number or number)

    def resolve(self, gateway: SimulatedGateway, number: int, resolution: int) -> None:
        """A client says what became of a number that is in doubt."""
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
        """The client sends a rejected number with another content from now on."""
        self.rejected.discard(number)
        self.checker.extents[number] = 1 - self.checker.extents[number]
        self.checker.changed.add(number)

    def on_lease_released(self, holder: tuple[str, int]) -> None:
        """A gateway, by name and incarnation, gives up its lease."""
        self.acceptors.release(holder)

    def on_released(self, request: NumberedRequest) -> None:
        """A request passes the gate."""
        if (
            self.claim > request.claim
            and self.events - self.claimed_at_event > CLAIM_GRACE_EVENTS
        ):
            self.checker.fail(
                f"{request.number} passed under claim {request.claim} long after "
                f"{self.claim}"
            )

    # Nodes.

    def dispatch(self, gateway: SimulatedGateway) -> None:
        """What was released reaches the last place before the network."""
        queued = gateway.queue.pop(0)
        attempt = queued.attempt
        if not attempt.may_send():
            event = attempt.event_without_answer()
            queued.on_ended(AttemptEnd(event, retry_delay=RETRY_DELAY))
            return
        attempt.sent += 1
        remaining = max(attempt.deadline - gateway.now(), 0)
        # Rule 5: it does not run after its end and the quarantine.
        runs_until = self.now + (remaining + QUARANTINE) * 1000 // (1000 + DRIFT)
        self.rejected.discard(queued.release.number)
        self.dispatches.append(
            ModelledAttempt(
                queued.request, gateway, attempt, queued.on_ended, runs_until
            )
        )

    def run(self, dispatch: ModelledAttempt) -> None:
        """A node does it, or answers from its memory of idempotency keys."""
        key = dispatch.attempt.idempotency_key
        first_run = self.first_runs.get(key)
        memory = KEY_WINDOW * (1000 + 2 * DRIFT) // 1000
        if first_run is None or self.now - first_run > memory:
            self.first_runs[key] = self.now
            number, generation = (int(part) for part in key.split("."))
            if generation < self.required_generation.get(number, 0) and not generation:
                self.checker.fail(
                    f"{number} took effect after the client's word on it was taken"
                )
            request = dispatch.request
            self.checker.on_effect(request.number, extent_of(request))
        dispatch.is_answered = True

    def end(self, dispatch: ModelledAttempt, event: NumberEvent) -> None:
        """The gateway hears how an attempt ended."""
        if dispatch.is_over or dispatch.gateway.is_dead:
            return
        dispatch.is_over = True
        packet = None
        if event is NumberEvent.SETTLED:
            packet = packets.Status(0, packets.OK)
        dispatch.on_ended(AttemptEnd(event, 0, RETRY_DELAY, packet))

    # Acceptors, time and kills.

    def time_out(self, dispatch: ModelledAttempt) -> None:
        """The gateway waits no longer for an attempt."""
        self.end(dispatch, dispatch.attempt.event_without_answer())

    def settle(self, gateway: SimulatedGateway, fate: str = "done") -> None:
        """What a gateway asked of the acceptors comes to something.

        `fate` is `done`, `lost` (nothing came of it) or `unheard` (done, unheard).
        """
        pending = gateway.pending.pop(0)
        if isinstance(pending, PendingAcquire):
            candidate = (gateway.name, gateway.incarnation)
            self.acceptors.settle_acquire(self.now, candidate, pending, fate)
        else:
            self.acceptors.settle_write(self.now, pending, fate)

    def pass_time(self, span: int) -> None:
        """True time goes by."""
        self.now += span
        self.dispatches = [
            each
            for each in self.dispatches
            if self.now <= each.runs_until
            or (not each.is_over and not each.gateway.is_dead)
        ]

    def kill(self, place: int) -> None:
        """A gateway is killed, and another begins in its place."""
        old = self.gateways[place]
        old.kill()
        self.outstanding = {}
        self.gateways[place] = SimulatedGateway(
            self, old.name, old.incarnation + 1, old.rate
        )

    def fingerprint(self) -> Any:
        """The same for clusters that go on alike, as far as it is told apart here."""
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
