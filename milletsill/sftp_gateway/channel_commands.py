"""Channels at a gateway: words of its clients and of other gateways to whoever keeps the channel, and its part of the module's
door. Made only where the file has a `fleet { channels }` block.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from random import SystemRandom
from typing import Any

import xxhash
from prometheus_client import Counter, Gauge

from milletsill.fleet.channels.access_ranges import AccessRange, AccessRanges
from milletsill.fleet.channels.channel_owner import (
    ChannelOwner,
    ChannelOwnerSettings,
    ChannelTelemetry,
)
from milletsill.fleet.channels.channel_surroundings import AttemptEnd
from milletsill.fleet.channels.commands import (
    ChannelCommand,
    NumberedRequest,
    OpenChannel,
    QueryNumber,
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
from milletsill.fleet.channels.effects import Release
from milletsill.fleet.channels.limits import DEFAULT_RETRY_DELAY
from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.fleet.channels.peer_forwarder import (
    ForwarderHandlers,
    ForwarderSettings,
    PeerForwarder,
)
from milletsill.fleet.channels.released_attempts import ReleasedAttempt
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import extensions, packets
from milletsill.sftp.extensions import Terms
from milletsill.sftp.wire import bytes_of
from milletsill.sftp_gateway.command_execution import CommandExecution, OpenHandle
from milletsill.sftp_gateway.routing import (
    OPERATIONS,
    WRITE_OPERATIONS,
    InvalidPath,
    ObjectLocation,
)

EXTENSIONS = (wire.CHANNEL, wire.NUMBERED)
LOOK_EVERY, LEAVE_EVERY, QUIET = (
    5.0,
    0.02,
    5,
)  # seconds between looks at quiet channels, and at what holds up the end; looks then
HANDLE = b"channel"
MOST_SENT_ON = 3  # times that a word follows what registers say of the keeper


def contract_catalog(file: Any) -> ContractCatalog:
    """The operator's contracts."""
    found = []
    for each in file.fleet.channels.contract:
        contract = OrderingContract(
            each.name,
            each.version,
            ChannelOrder(each.order),
            IndeterminatePolicy(each.unsure),
            round(each.silent_s * 10_000),
            each.most_waiting,
            round(each.hole_ms * 10),
        )
        found.append(
            ContractOffer(
                contract,
                frozenset(each.volume),
                frozenset(each.operation),
                each.chosen_by_client,
            )
        )
    return ContractCatalog(found)


def channels_of(edge: Any, seed: int) -> ChannelGateway:
    """A gateway's channels over its fleet, as its file has them."""
    from milletsill.fleet.leases.lease_manager import LeaseManager
    from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
    from milletsill.fleet.leases.timings import LeaseTimings

    keeping = edge.file.fleet.channels
    silent = max(
        (round(each.silent_s * 10_000) for each in keeping.contract), default=0
    )
    settings = LeaseSettings(
        acceptors=tuple(keeping.register),
        timings=LeaseTimings(
            lease_duration=round(keeping.office_s * 10_000),
            call_timeout=round(keeping.call_ms * 10),
            drift_permille=keeping.drift_permille,
        ),
        max_leases=keeping.most_channels,
        idle_after=silent,
        store_path=os.path.join(edge.file.state_dir, "registers.db"),
        seed=seed,
    )
    environment = LeaseEnvironment(
        edge.reactor, edge.now, edge.fleet, edge.remark, edge.metrics.registry
    )
    offices = LeaseManager(settings, environment)
    made = ChannelGateway(edge, edge.fleet, offices)
    offices.set_on_foreign_message(made.heard)
    return made


class ChannelHandle:
    """What a client's channel handle stands for."""

    __slots__ = ("volume", "name", "claim", "contract")

    def __init__(self, volume: Any, name: str, claim: int, contract: str) -> None:
        self.volume, self.name, self.claim, self.contract = (
            volume,
            name,
            claim,
            contract,
        )


class PendingChannelCommand:
    """A client's word that is not answered yet, as its connection knows commands."""

    __slots__ = (
        "command",
        "volume",
        "category",
        "octets",
        "final",
        "began",
        "answered",
        "late",
    )

    def __init__(
        self, command: Any, volume: Any, category: int, octets: int, began: int
    ) -> None:
        self.command, self.volume, self.category, self.octets, self.began = (
            command,
            volume,
            category,
            octets,
            began,
        )
        self.final = "abandoned"
        self.answered: Callable[[Any], None] = lambda packet: None
        self.late: Any = None

    def abandon(self) -> None:
        """Its client has left; what was let go goes on, its answer is remembered."""
        self.answered = lambda packet: None


class ChannelGateway:
    """All of it at one gateway. `offices` is made by who starts this; its other bodies come to `heard`."""

    def __init__(self, edge: Any, plane: Any, offices: Any) -> None:
        self.edge, self.plane, self.offices = edge, plane, offices
        keeping = edge.file.fleet.channels
        registry = edge.metrics.registry
        self.words = Counter(
            "milletsill_channel_words_total",
            "Final words on channels, and ways taken",
            ["word"],
            registry=registry,
        )
        self.kept = Gauge(
            "milletsill_channels_kept",
            "Channels in this gateway's memory as their keeper",
            registry=registry,
        )
        self.held = 0
        self.standing: set[PendingChannelCommand] = set()
        self.catalog = contract_catalog(edge.file)
        self.owner = ChannelOwner(
            ChannelOwnerSettings(
                plane.name,
                edge.host.config.key_quarantine,
                keeping.most_channels,
                self.catalog,
            ),
            edge.reactor,
            edge.now,
            offices,
            self,
            ChannelTelemetry(edge.remark, self.count),
        )
        self.forwarder = PeerForwarder(
            ForwarderSettings(round(keeping.call_ms * 10), keeping.drift_permille),
            edge.reactor,
            edge.now,
            plane,
            ForwarderHandlers(
                self.forwarded, self.owner.handle, self.volume, self.count
            ),
        )
        # Handles and the marks of words begin by chance. Guards against a gateway that starts again under a run that it had before:
        # its OPEN would pass for an earlier one. Harm: none.
        self.handles = SystemRandom().getrandbits(62)
        self.look_calls: list[
            Any
        ] = []  # the next look, and where it goes down the next look at what is left

    def start(self) -> None:
        self.look_calls = [self.edge.reactor.callLater(LOOK_EVERY, self.look)]

    def look(self) -> None:
        self.owner.sweep()
        self.kept.set(len(self.owner.channels))
        self.look_calls[0] = self.edge.reactor.callLater(LOOK_EVERY, self.look)

    def drain(self) -> None:
        """SIGTERM: offices are given up as soon as nothing is out under them, and the word of it gets time to leave."""
        self.held += 1
        self.owner.drain()
        self.drained(0)

    def drained(self, quiet: int) -> None:
        quiet = 0 if self.owner.channels else quiet + 1
        if quiet <= QUIET:
            self.look_calls[1:] = [
                self.edge.reactor.callLater(LEAVE_EVERY, self.drained, quiet)
            ]
        else:
            self.plane.leave()
            self.held -= 1
            self.edge.emptied()

    def stop(self) -> None:
        for call in self.look_calls:
            if call.active():
                call.cancel()
        for standing in self.standing:
            standing.late.cancel()
        self.standing.clear()
        for each in list(self.forwarder.forwarded.values()):
            self.forwarder.cancel(each)
        for channel in list(self.owner.channels.values()):
            self.owner.hand_over(channel)
        self.offices.stop()

    def count(self, word: str) -> None:
        self.words.labels(word).inc()

    def volume(self, name: str) -> Any:
        """A volume by name that has channels."""
        return next(
            (
                each
                for each in self.edge.routing_table.roots.values()
                if each.name == name and self.catalog.covers_volume(name)
            ),
            None,
        )

    # A client's door.

    def command(self, client: Any, packet: packets.Extended) -> Any:
        """A channel@ or numbered@ packet: its answer at once, or None where it is on its way."""
        if packet.name == wire.NUMBERED:
            return self.numbered(client, packet, wire.read_numbered(packet))
        said = wire.read_channel(packet)
        if isinstance(said, wire.Opening):
            volume = self.edge.routing_table.volume(self.edge.canonical(said.path))
            if volume is None or not self.catalog.covers_volume(volume.name):
                return packets.Status(
                    packet.id,
                    packets.UNSUPPORTED,
                    "no contract on order holds for this volume",
                )
            if len(client.channels) >= self.edge.file.door.most_handles:
                return client.no_more_handles(packet.id)
            return self.send(
                client,
                packet,
                volume,
                said.channel,
                OpenChannel(said.contract, said.version, said.first),
            )
        channel = client.channels.get(said.handle)
        if channel is None:
            return packets.Status(packet.id, packets.FAILURE, "no such handle")
        what = (
            QueryNumber(said.number)
            if isinstance(said, wire.Asking)
            else ResolveNumber(said.number, said.word, channel.claim)
        )
        return self.send(client, packet, channel.volume, channel.name, what)

    def numbered(
        self, client: Any, packet: packets.Extended, said: wire.Numbered
    ) -> Any:
        """One transfer of a channel: its command must write and be one transfer."""
        channel, command = client.channels.get(said.handle), said.command
        if channel is None:
            return packets.Status(packet.id, packets.FAILURE, "no such handle")
        path, why = self.path(client, command, channel.volume)
        if not why and not self.catalog.covers_operation(
            channel.contract, channel.volume.name, OPERATIONS[type(command)]
        ):
            why = f"contract {channel.contract} does not cover this operation: send it without a number"
        if why:
            return wire.put_sign(packet.id, "contract", why)
        if hasattr(command, "handle"):
            command = packets.with_id(command, 0)
            command = type(command)(
                0,
                bytes_of(path),
                *[
                    getattr(command, name)
                    for name in packets.REST_OF[type(command)][1:]
                ],
            )
        elif isinstance(command, packets.Extended):
            command = extensions.put_fsync(0, bytes_of(path))
        what = NumberedRequest(
            said.number,
            channel.claim,
            said.batch,
            said.last,
            said.terms,
            path,
            packets.with_id(command, 0),
        )
        return self.send(client, packet, channel.volume, channel.name, what)

    def path(self, client: Any, command: Any, volume: Any) -> tuple[str, str]:
        """The object of a numbered command, and why it cannot be one."""
        edge = self.edge
        if OPERATIONS.get(type(command)) not in WRITE_OPERATIONS:
            return "", "only a command that writes can have a number: send it without"
        if hasattr(command, "handle") or isinstance(command, packets.Extended):
            handle = (
                command.handle
                if hasattr(command, "handle")
                else extensions.read_fsync(command)
            )
            opened = client.handles.get(handle)
            if opened is None or opened.location is None or opened.volume is not volume:
                return "", "no such handle of this channel's volume"
            if (
                isinstance(command, packets.Write)
                and len(command.data) > edge.routing_table.most_bytes
            ):
                return (
                    "",
                    f"a write of {len(command.data)} bytes, {edge.routing_table.most_bytes} at most",
                )
            return opened.path, ""
        path = edge.canonical(command.path)
        if edge.routing_table.volume(path) is not volume or path == volume.root:
            return "", "this lies outside the channel's volume"
        if isinstance(command, packets.Rename):
            target = edge.canonical(command.target)
            if edge.routing_table.volume(target) is not volume or not edge.renames(
                volume, path, target
            ):
                return "", "a numbered rename must stay within its volume and cell"
        if isinstance(command, packets.Rmdir) and len(volume.cells) > 1:
            return (
                "",
                "a directory over several cells is no single transfer: remove it without a number",
            )
        return path, ""

    def send(self, client: Any, packet: Any, volume: Any, name: str, what: Any) -> Any:
        """Put a word on its way to whoever keeps the channel."""
        edge, came = self.edge, client.came()
        operation = (
            OPERATIONS[type(what.command)]
            if isinstance(what, NumberedRequest)
            else "change"
        )
        size = (
            len(getattr(what.command, "data", b""))
            if isinstance(what, NumberedRequest)
            else 0
        )
        category = edge.routing_table.category(operation, volume, size)
        patience = edge.host.config.request_classes[category].client_timeout
        own = what.terms.patience * 10 if isinstance(what, NumberedRequest) else 0
        ends = came + min(patience, own or patience) - edge.answer_margin
        why = edge.refusal(ends) or (
            "this gateway holds all that it may"
            if self.held >= edge.file.door.most_held
            else ""
        )
        if why:
            return wire.put_sign(
                packet.id,
                "declined",
                f"declined: {why}",
                None,
                edge.host.config.max_retry_after,
            )
        standing = PendingChannelCommand(packet, volume, category, client.octets, came)
        client.out[packet.id] = standing
        self.held += 1

        def told(answer: Any) -> None:
            if standing not in self.standing:
                return  # the one answer was given
            self.standing.remove(standing)
            if standing.late.active():
                standing.late.cancel()
            self.held -= 1
            edge.emptied()
            standing.answered(self.opened(client, volume, name, what, answer))

        def answered(answer: Any) -> None:
            standing.final = final_of(answer)
            client.answer(standing, packets.with_id(answer, packet.id))

        standing.answered = answered
        # Guards rule 1 against a word that waits for what has no end at its client's patience: an office that is taken, a record that
        # is written, before a keeper's own timers even know of it. Harm: none, it comes after all their last words.
        standing.late = edge.reactor.callLater(
            max(ends + edge.answer_margin // 2 - edge.now(), 1) / 10_000,
            self.overdue,
            what,
            told,
        )
        self.standing.add(standing)
        self.handles += 1
        token = f"{self.plane.name}.{self.plane.incarnation}.{self.handles}"
        command = ChannelCommand(volume, name, ends, what, token, lambda answer: None)
        command.on_answer = lambda answer: (
            self.redirect(command, answer)
            if isinstance(answer, Redirect)
            else told(answer)
        )
        self.place(command)
        return None

    def overdue(self, what: Any, told: Callable[[Any], None]) -> None:
        """Patience is over, and nobody has said what became of a word."""
        self.count("overdue")
        if isinstance(what, (NumberedRequest, ResolveNumber)):
            return told(wire.put_sign(0, "aborted", "aborted: no answer in time"))
        told(
            wire.put_sign(
                0, "declined", "declined: no answer in time", None, DEFAULT_RETRY_DELAY
            )
        )

    def opened(
        self, client: Any, volume: Any, name: str, what: Any, answer: Any
    ) -> Any:
        """An OPEN that was answered gets a handle of this connection."""
        if not isinstance(what, OpenChannel) or not isinstance(
            answer, packets.ExtendedReply
        ):
            return answer
        told = wire.read_opened(answer)
        self.handles += 1
        handle = HANDLE + self.handles.to_bytes(8, "big")
        client.channels[handle] = ChannelHandle(volume, name, told.claim, told.contract)
        return wire.put_opened(
            0, wire.Opened(handle, *[getattr(told, each) for each in OPENED_REST])
        )

    # Where a command goes.

    def place(self, command: ChannelCommand) -> None:
        """Here, where this gateway owns the channel or should; else by the view."""
        owner = (
            ""
            if self.owner.owns(command.key)
            else self.offices.preferred_holder(command.key)
        )
        if owner in ("", self.plane.name) or not self.forwarder.is_reachable(owner):
            self.count("kept_here")
            return self.owner.handle(command)
        self.forwarder.forward(command, owner)

    def redirect(self, command: ChannelCommand, redirect: Redirect) -> None:
        """The acceptors say that another gateway holds the lease.

        Guards against a command that goes to and fro between one that has it still,
        going down, and one that may not have it yet. Harm: a client comes back once
        more.
        """
        command.redirects += 1
        if command.redirects > MOST_SENT_ON:
            return command.on_answer(
                wire.put_sign(
                    0,
                    "declined",
                    f"declined: {redirect.owner} hands the channel over",
                    None,
                    max(redirect.retry_delay // 4, DEFAULT_RETRY_DELAY),
                )
            )
        tried = (
            self.plane.name,
            *command.unreachable_owners,
            *self.forwarder.unreachable_since,
        )
        if redirect.owner in tried or redirect.owner not in self.plane.view.by_name:
            return command.on_answer(
                wire.put_sign(
                    0,
                    "declined",
                    f"declined: {redirect.owner} held the channel and is away",
                    None,
                    redirect.retry_delay,
                )
            )
        self.forwarder.forward(command, redirect.owner, 1)

    def forwarded(self, command: ChannelCommand, member: str) -> None:
        """Another gateway's command: this one is thought to be the owner.

        One that goes down has the other try to be it.
        """
        if self.owner.is_draining:
            return command.on_answer(Redirect(member, 0))
        self.owner.handle(command)

    def heard(self, member: str, run: int, body: bytes) -> None:
        """What other gateways say of channels."""
        self.forwarder.on_message(member, run, body)

    # What a channel's owner needs of the gateway.

    def access_ranges(self, request: NumberedRequest) -> AccessRanges:
        """What a request touches: blocks of an extent's size where it writes there, else the whole object."""
        command, blocks = request.command, self.edge.routing_table.extent_bytes
        object = xxhash.xxh64_intdigest(bytes_of(request.path))
        if isinstance(command, packets.Write):
            return (
                AccessRange(
                    object,
                    command.offset // blocks,
                    (command.offset + max(len(command.data), 1) - 1) // blocks,
                ),
            )
        if isinstance(command, packets.Rename):
            target = self.edge.canonical(command.target)
            return (
                AccessRange(object),
                AccessRange(xxhash.xxh64_intdigest(bytes_of(target))),
            )
        return (AccessRange(object),)

    def key_window(self, command: ChannelCommand) -> int:
        """For how long nodes remember the idempotency key of a numbered request."""
        what = command.body
        assert isinstance(what, NumberedRequest)
        size = len(getattr(what.command, "data", b""))
        category = self.edge.routing_table.category(
            OPERATIONS[type(what.command)], command.volume, size
        )
        return self.edge.host.config.request_classes[category].retry_window

    def run_attempt(
        self,
        release: Release,
        lease: LeaseTerm,
        deadline: int,
        on_ended: Callable[[AttemptEnd], None],
    ) -> None:
        """To the scheduler, which keeps the seven rules for it as for any other."""
        command = release.request.recipient
        volume: Any = command.volume
        what, edge = command.body, self.edge
        assert isinstance(what, NumberedRequest)
        spot = ObjectLocation(edge.routing_table.home(volume, what.path), what.path)
        by_handle = hasattr(what.command, "handle") or isinstance(
            what.command, packets.Extended
        )
        opened = OpenHandle(volume, what.path, spot) if by_handle else None
        attempt = ReleasedAttempt(
            self.offices,
            lease,
            wire.put_ticket(
                command.volume.name,
                command.channel,
                release.number,
                release.key_generation,
            ),
            deadline,
            release.is_retry,
        )
        terms = Terms(0, what.terms.tries, what.terms.mark)

        def answered(packet: Any) -> None:
            if running.final == "satisfied":
                code = getattr(packet, "code", 0)
                return on_ended(AttemptEnd(NumberEvent.SETTLED, code, 0, packet))
            event = attempt.event_without_answer()
            on_ended(AttemptEnd(event, 0, edge.host.config.max_retry_after))

        running = CommandExecution(
            edge,
            what.command,
            terms,
            volume,
            what.path,
            opened,
            answered,
            edge.now(),
            attempt,
        )
        try:
            running.start()
        except InvalidPath:
            on_ended(AttemptEnd(NumberEvent.NEVER_RAN))


def final_of(answer: Any) -> str:
    """How a word ended, for flow records."""
    sign = (
        wire.read_sign(answer.language) if isinstance(answer, packets.Status) else None
    )
    if sign is None:
        return "satisfied"
    return "aborted" if sign.word == "aborted" else "declined"


OPENED_REST = (
    "claim",
    "contract",
    "version",
    "order",
    "next",
    "batch",
    "most_waiting",
    "remembered",
    "unsure",
)
