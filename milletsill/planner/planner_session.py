"""A gateway's connection to the planner: handshake, grants and reconnects."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from milletsill.errors import MilletsillError
from milletsill.named_timers import NamedTimers
from milletsill.planner.codec import (
    PROTOCOL_VERSION,
    FrameParser,
    MalformedPlannerFrameError,
    decode_grant,
    encode_frame,
)
from milletsill.planner.errors import (
    PlannerEpochStaleError,
    PlannerRejectedGatewayError,
    PlannerUnreachableError,
)
from milletsill.planner.plan_pb2 import Frame, Hello, Refused
from milletsill.planner.planner_link import (
    LinkAction,
    LinkEvent,
    LinkState,
    next_link_state,
    reconnect_delay,
)
from milletsill.planner.quota_ledger import QuotaLedger
from milletsill.planner.quota_settings import floor_in_millionths
from milletsill.planner.quota_terms import SECOND, QuotaGrant

CONNECT_TIMEOUT_SECONDS = 2
MAX_SILENCE = 5 * SECOND  # a connection that receives nothing for longer is aborted
MAX_LOGGED_REASON = 200  # characters
RECONNECT_TIMER = "dial"


class PlannerListener(Protocol):
    """Receives the session's notifications."""

    def on_established(self) -> None:
        """Handle that the planner accepted this gateway; requests may be sent."""

    def on_grant(self, grant: QuotaGrant) -> None:
        """Handle a grant."""


@dataclass(frozen=True, slots=True)
class SessionEnvironment:
    """Collaborators of a session.

    Attributes:
        reactor: A Twisted reactor.
        now: Returns the present time, in tenths of a millisecond.
        timers: The gateway's timers; once they are stopped, the session does not
            connect.
        random: Source of the jitter of reconnect delays.
        warn: Logs a warning.
    """

    reactor: Any
    now: Callable[[], int]
    timers: NamedTimers
    random: Random
    warn: Callable[..., None]


class SessionConnection(protocol.Protocol):
    """One connection to the planner."""

    transport: Any  # set by Twisted, whose declared type lacks the methods of TCP

    def __init__(self, session: PlannerSession) -> None:
        self._session = session
        self._parser = FrameParser()

    def connectionMade(self) -> None:
        """Register the connection with the session."""
        self.transport.setTcpNoDelay(True)
        self._session.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass frames to the session; a malformed frame ends the connection."""
        try:
            for frame in self._parser.feed(data):
                self._session.on_frame(self, frame)
        except MalformedPlannerFrameError as error:
            self._session.warn(error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Remove the connection from the session."""
        self._session.on_connection_lost(self)


class PlannerSession:
    """The link to the planner, which is established again whenever it is lost.

    Args:
        address: The planner's host:port.
        ledger: Holds the name, incarnation, epoch and timings that the hello carries.
        environment: Collaborators.
        listener: Receives grants.
    """

    def __init__(
        self,
        address: str,
        ledger: QuotaLedger,
        environment: SessionEnvironment,
        listener: PlannerListener,
    ) -> None:
        self.state = LinkState.DOWN
        self._address = address
        self._ledger = ledger
        self._environment = environment
        self._listener = listener
        self._connection: SessionConnection | None = None
        self._failures = 0
        self._last_heard_at = 0

    @property
    def is_established(self) -> bool:
        """Whether the planner has accepted this gateway on the present connection."""
        return self.state is LinkState.ESTABLISHED

    def connect(self) -> None:
        """Start to connect unless connected; callbacks report the result."""
        if self._environment.timers.stopped or self._connection is not None:
            return
        host, _, port = self._address.rpartition(":")
        endpoint = HostnameEndpoint(
            self._environment.reactor, host, int(port), timeout=CONNECT_TIMEOUT_SECONDS
        )
        factory: Any = Factory.forProtocol(lambda: SessionConnection(self))
        endpoint.connect(factory).addErrback(self._on_connect_failed)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.transport.loseConnection()

    def send(self, **what: Any) -> None:
        """Send a frame, if there is a connection."""
        if self._connection is not None:
            self._connection.transport.write(encode_frame(**what))

    def check_silence(self) -> None:
        """Abort the connection if the planner has sent nothing for MAX_SILENCE."""
        silence = self._environment.now() - self._last_heard_at
        if self._connection is not None and silence > MAX_SILENCE:
            self._apply_event(LinkEvent.TIMED_OUT, self._connection)

    def can_send_requests(self) -> bool:
        """Return whether requests can be sent to the planner now."""
        return self.is_established and self._connection is not None

    def warn(self, error: MilletsillError) -> None:
        """Log an error of the link."""
        self._environment.warn("planner", **error.log_fields())

    def on_connected(self, connection: SessionConnection) -> None:
        """Register a new connection."""
        if self._environment.timers.stopped:
            connection.transport.abortConnection()
            return
        self._connection = connection
        self._last_heard_at = self._environment.now()
        self._apply_event(LinkEvent.CONNECTED, connection)

    def on_connection_lost(self, connection: SessionConnection) -> None:
        """Remove a connection that ended."""
        if connection is self._connection:
            self._connection = None
            self._apply_event(LinkEvent.LOST, None)

    def on_frame(self, connection: SessionConnection, frame: Frame) -> None:
        """Handle a frame from the planner."""
        self._last_heard_at = self._environment.now()
        if connection is not self._connection:
            return
        what = frame.WhichOneof("what")
        if what == "welcome":
            accepted = self._ledger.accept_epoch(frame.welcome.epoch)
            event = LinkEvent.WELCOMED if accepted else LinkEvent.EPOCH_STALE
            self._apply_event(event, connection)
        elif what == "grants" and self.is_established:
            for message in frame.grants.given:
                self._listener.on_grant(decode_grant(message))
        elif what == "refused":
            reason = frame.refused.reason[:MAX_LOGGED_REASON]
            self.warn(PlannerRejectedGatewayError(reason, self._address))
            self._apply_event(LinkEvent.REJECTED, connection)

    def _on_connect_failed(self, failure: Failure) -> None:
        if self._failures == 0:
            self.warn(PlannerUnreachableError(failure.getErrorMessage(), self._address))
        self._reconnect_later()

    def _apply_event(
        self, event: LinkEvent, connection: SessionConnection | None
    ) -> None:
        """Apply an event to the link's state and perform the resulting action."""
        self.state, action = next_link_state(self.state, event)
        if action is LinkAction.SEND_REQUESTS:
            self._failures = 0
            self._listener.on_established()
        elif action is LinkAction.RECONNECT:
            self._reconnect_later()
        elif connection is not None:
            self._perform(connection, action)

    def _perform(self, connection: SessionConnection, action: LinkAction) -> None:
        if action is LinkAction.SEND_HELLO:
            self._send_hello(connection)
        elif action is LinkAction.REJECT_PLANNER:
            self._reject_planner(connection)
            self._reconnect_later()
        elif action is LinkAction.ABORT:
            connection.transport.abortConnection()
            self._reconnect_later()

    def _send_hello(self, connection: SessionConnection) -> None:
        timings = self._ledger.timings
        hello = Hello(
            version=PROTOCOL_VERSION,
            name=self._ledger.name,
            incarnation=self._ledger.incarnation,
            epoch=self._ledger.epoch,
            longest=timings.max_duration,
            drift=timings.drift_permille,
            floor=floor_in_millionths(timings),
        )
        connection.transport.write(encode_frame(hello=hello))

    def _reject_planner(self, connection: SessionConnection) -> None:
        """Send the newest epoch to a planner with an older one, and disconnect."""
        self.warn(
            PlannerEpochStaleError(
                f"its epoch is older than the newest accepted, {self._ledger.epoch}",
                self._address,
            )
        )
        refused = Refused(reason="a newer planner was heard", epoch=self._ledger.epoch)
        connection.transport.write(encode_frame(refused=refused))
        connection.transport.loseConnection()

    def _reconnect_later(self) -> None:
        self._failures += 1
        delay = reconnect_delay(self._failures, self._environment.random.random())
        self._environment.timers.set(RECONNECT_TIMER, delay / SECOND, self.connect)
