"""A gateway's fleet service: runs its membership over sockets and timers.

A gateway imports this module only if its settings file has a `fleet` block.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random, SystemRandom
from typing import Any

from prometheus_client import CollectorRegistry
from twisted.internet.error import CannotListenError

from milletsill.errors import MilletsillError
from milletsill.fleet.errors import (
    FleetAddressUnavailableError,
    FleetNameMismatchError,
    FrameTooLongError,
    FrameVersionTooNewError,
    MalformedFrameError,
)
from milletsill.fleet.frames.codec import MAX_BODY, MAX_DATAGRAM, FrameCodec
from milletsill.fleet.frames.messages import FleetMessage, FrameType
from milletsill.fleet.membership.config import SECOND, TICK_INTERVAL
from milletsill.fleet.membership.effects import (
    Effect,
    IncarnationChanged,
    OperatorEvent,
    SendMessage,
    ViewChanged,
)
from milletsill.fleet.membership.local_member import LocalIdentity
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.membership.name_claims import LocalStatus
from milletsill.fleet.metrics import (
    FleetMetrics,
    FrameCarrier,
    FrameDirection,
    RejectionCause,
)
from milletsill.fleet.net.datagrams import DatagramSocket
from milletsill.fleet.net.inbound_streams import StreamListener
from milletsill.fleet.net.outbound_streams import OutboundStreamPool
from milletsill.fleet.operator_log import OperatorLog
from milletsill.fleet.service_config import FleetCallbacks, FleetServiceConfig
from milletsill.fleet.transport import (
    Member,
    MemberChange,
    MemberState,
    MessageHandler,
    MessageKind,
    View,
    ViewChange,
    ViewHandler,
)
from milletsill.fleet.view_publisher import ViewPublisher

# Times are in tenths of a millisecond.
MAINTENANCE_INTERVAL = SECOND
NO_PEERS_AFTER = 100_000  # from the start until the absence of peers is logged

NONCE_BITS = 64
DIGEST_METRIC_MASK = (1 << 48) - 1  # a gauge is a float, exact to 53 bits

_REJECTION_CAUSES: dict[type[MilletsillError], RejectionCause] = {
    FrameTooLongError: RejectionCause.TOO_LONG,
    MalformedFrameError: RejectionCause.MALFORMED,
    FleetNameMismatchError: RejectionCause.OTHER_FLEET,
    FrameVersionTooNewError: RejectionCause.TOO_NEW,
}


class FleetService:
    """Implements `FleetTransport` over sockets.

    Args:
        reactor: The Twisted reactor.
        now: Returns the monotonic time in tenths of a millisecond.
        config: This gateway's settings.
        callbacks: Write to the log and store a new incarnation.
        registry: The registry in which metrics are registered.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        config: FleetServiceConfig,
        callbacks: FleetCallbacks,
        registry: CollectorRegistry,
    ) -> None:
        self.name = config.name
        self._reactor = reactor
        self._now = now
        self._config = config
        self._callbacks = callbacks
        self._codec = FrameCodec(config.fleet, config.version)
        self._metrics = FleetMetrics(registry)
        self._log = OperatorLog(config, callbacks, now)
        self._publisher = ViewPublisher(
            self._members, self._schedule_publish, self._on_view
        )
        self._membership: Membership | None = None
        self._handlers: dict[MessageKind, list[MessageHandler]] = {}
        self._timers: dict[str, Any] = {}
        self._ports: list[Any] = []
        self._started_at = now()
        self._no_peers_reported = False
        self._stopped = False

    def start(self) -> None:
        """Listen on the fleet address and begin to join the fleet.

        Raises:
            FleetAddressUnavailableError: The address is not available.
        """
        host, _, _ = self._config.address.rpartition(":")
        self._listen()
        address = self._config.advertise or f"{host}:{self.listening_port}"
        self._started_at = self._now()
        identity = LocalIdentity(
            name=self.name,
            address=address,
            incarnation=self._config.incarnation,
            nonce=SystemRandom().getrandbits(NONCE_BITS),
        )
        self._membership = Membership(
            identity,
            self._config.membership,
            self._config.seeds,
            Random(self._config.seed),
            self._started_at,
        )
        self._log.on_joining(address, self.incarnation)
        self._publisher.publish()
        self._tick()
        self._maintain()

    def leave(self) -> None:
        """Announce that this gateway leaves; it receives messages until `stop`."""
        membership = self._membership
        if membership is None:
            return
        if membership.state.local.status is not LocalStatus.LEAVING:
            self._apply(membership.leave(self._now()))

    def stop(self) -> None:
        """Leave the fleet, cancel the timers and close ports and streams."""
        self.leave()
        self._stopped = True
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
        for port in self._ports:
            port.stopListening()
        if self._membership is not None:
            self._listener.close()
            self._streams.close()

    # FleetTransport.

    @property
    def view(self) -> View:
        """The current view: the members that are present."""
        return self._publisher.view

    @property
    def incarnation(self) -> int:
        """The incarnation that this gateway announces to the others."""
        if self._membership is None:
            return self._config.incarnation
        return self._membership.state.local.entry.incarnation

    @property
    def listening_port(self) -> int:
        """The port number on which the started service listens, UDP and TCP."""
        number: int = self._ports[0].getHost().port
        return number

    @property
    def is_isolated(self) -> bool:
        """Whether most probes fail, so that the view may be out of date."""
        return self._membership is not None and self._membership.is_isolated

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        """Send to one member; return False if the message cannot be sent."""
        membership = self._membership
        receiver = self.view.by_name.get(member)
        if membership is None or receiver is None or self._stopped:
            return False
        if member == self.name or len(body) > MAX_BODY:
            return False
        message = FleetMessage(
            FrameType.APPLICATION, membership.state.local.update, kind=kind, body=body
        )
        return self._transmit(SendMessage(receiver.address, message, stream=True))

    def subscribe(self, kind: MessageKind, handler: MessageHandler) -> None:
        """Call `handler` for each message of a kind from a member of the view."""
        self._handlers.setdefault(kind, []).append(handler)

    def watch_view(self, handler: ViewHandler) -> None:
        """Call `handler` after each change of the view."""
        self._publisher.watch(handler)

    # Sockets and timers.

    def _listen(self) -> None:
        """Listen on one port number for TCP and for UDP."""
        host, _, port = self._config.address.rpartition(":")
        self._listener = StreamListener(
            self._now, self._on_stream_frame, self._on_rejected_frame
        )
        self._streams = OutboundStreamPool(self._reactor, self._now, host)
        self._datagrams = DatagramSocket(self._on_datagram)
        try:
            tcp = self._reactor.listenTCP(int(port), self._listener, interface=host)
            self._ports.append(tcp)
            udp = self._datagrams.listen(self._reactor, host, self.listening_port)
            self._ports.append(udp)
        except CannotListenError as error:
            raise FleetAddressUnavailableError(
                str(error), self._config.address
            ) from error

    def _schedule(self, name: str, delay: int, call: Callable[[], None]) -> None:
        """Call a function after a delay in tenths of a millisecond; one per name."""
        if not self._stopped:
            self._timers[name] = self._reactor.callLater(delay / SECOND, call)

    def _schedule_publish(self, delay: int, call: Callable[[], None]) -> None:
        self._schedule("publish", delay, call)

    def _tick(self) -> None:
        self._schedule("tick", TICK_INTERVAL, self._tick)
        self._apply(self._started_membership().tick(self._now()))

    def _maintain(self) -> None:
        """Check stream timeouts, update gauges and check for peers, once a second."""
        self._schedule("maintain", MAINTENANCE_INTERVAL, self._maintain)
        self._streams.check_timeouts()
        self._listener.check_timeouts()
        self._update_gauges(self._started_membership())
        self._check_peers(self._started_membership())

    def _update_gauges(self, membership: Membership) -> None:
        metrics = self._metrics
        states = [each.state for each in membership.state.table.entries.values()]
        for state in MemberState:
            metrics.members.labels(state.name.lower()).set(states.count(state))
        metrics.local_health_score.set(membership.health.score)
        metrics.isolated.set(membership.is_isolated)
        metrics.incarnation.set(self.incarnation)
        metrics.waiting_octets.set(self._streams.waiting_octets())
        metrics.streams.labels(FrameDirection.OUT.value).set(len(self._streams))
        metrics.streams.labels(FrameDirection.IN.value).set(len(self._listener.streams))

    def _check_peers(self, membership: Membership) -> None:
        if len(membership.state.table.entries) > 1:
            self._no_peers_reported = False
            return
        waited = self._now() - self._started_at >= NO_PEERS_AFTER
        if waited and membership.seeds and not self._no_peers_reported:
            self._no_peers_reported = True
            self._log.on_no_peers()

    def _started_membership(self) -> Membership:
        if self._membership is None:
            raise RuntimeError("the fleet service has not been started")
        return self._membership

    # Frames.

    def _on_datagram(self, data: bytes) -> None:
        self._on_octets(data, FrameCarrier.DATAGRAM)

    def _on_stream_frame(self, data: bytes) -> None:
        self._on_octets(data, FrameCarrier.STREAM)

    def _on_octets(self, data: bytes, carrier: FrameCarrier) -> None:
        membership = self._membership
        if self._stopped or membership is None:
            return
        self._metrics.count_frame(FrameDirection.IN, carrier, len(data))
        try:
            message = self._decode(data, carrier)
        except (
            MalformedFrameError,
            FleetNameMismatchError,
            FrameVersionTooNewError,
        ) as error:
            self._on_rejected_frame(error)
            return
        self._apply(membership.on_message(self._now(), message))
        if message.type is None:
            self._metrics.count_rejected(RejectionCause.UNKNOWN_TYPE)
        elif message.type is FrameType.APPLICATION:
            self._deliver(membership, message)

    def _decode(self, data: bytes, carrier: FrameCarrier) -> FleetMessage:
        if carrier is FrameCarrier.DATAGRAM and len(data) > MAX_DATAGRAM:
            raise FrameTooLongError(
                f"a datagram of {len(data)} bytes, the maximum is {MAX_DATAGRAM}"
            )
        return self._codec.decode(data)

    def _deliver(self, membership: Membership, message: FleetMessage) -> None:
        """Pass an application message on if its sender is a member of the view.

        The nonce has to match, so that messages from an earlier start of the same
        gateway are rejected.
        """
        if message.kind is None:
            self._metrics.count_rejected(RejectionCause.UNKNOWN_KIND)
            return
        entry = membership.state.table.get(message.sender.name)
        if entry is None or entry.nonce != message.sender.nonce or not entry.in_view:
            self._metrics.count_rejected(RejectionCause.NOT_A_MEMBER)
            return
        for handler in self._handlers.get(message.kind, ()):
            handler(entry.name, entry.incarnation, message.body)

    def _on_rejected_frame(self, error: MilletsillError) -> None:
        cause = _REJECTION_CAUSES[type(error)]
        self._metrics.count_rejected(cause)
        self._log.on_rejected_frame(cause.value, error)

    def _transmit(self, sent: SendMessage) -> bool:
        """Send a message; return whether it was sent or queued."""
        data = self._codec.encode(sent.message)
        carrier = FrameCarrier.STREAM if sent.stream else FrameCarrier.DATAGRAM
        send = self._streams.send if sent.stream else self._datagrams.send
        if not send(sent.address, data):
            self._metrics.unsent.labels(carrier.value).inc()
            return False
        self._metrics.count_frame(FrameDirection.OUT, carrier, len(data))
        return True

    # Effects of the membership.

    def _apply(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendMessage():
                    self._transmit(effect)
                case ViewChanged():
                    self._on_member_change(MemberChange(effect.change, effect.member))
                case IncarnationChanged():
                    self._callbacks.store_incarnation(effect.incarnation)
                case OperatorEvent():
                    self._log.on_event(effect, self._started_membership())

    def _on_member_change(self, changed: MemberChange) -> None:
        change, member = changed
        self._metrics.changes.labels(change.name.lower()).inc()
        absent = change in (ViewChange.GONE, ViewChange.LEFT)
        if absent and member.name != self.name:
            self._streams.on_member_gone(member.address)
        self._log.on_member_change(changed)
        self._publisher.add_change(changed)

    def _members(self) -> list[Member]:
        entries = self._started_membership().state.table.entries
        return [each.to_member() for each in entries.values()]

    def _on_view(self, view: View) -> None:
        self._metrics.view_digest.set(view.digest & DIGEST_METRIC_MASK)
        self._metrics.view_version.set(view.version)
        self._log.on_view(view)
