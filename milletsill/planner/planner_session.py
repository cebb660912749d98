"""A gateway's connection to the planner: connect, greet, hear grants, reconnect."""

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
MAX_SILENCE = 5 * SECOND  # a planner without a word for so long is cut
MAX_LOGGED_REASON = 200  # characters
RECONNECT_TIMER = "dial"


class PlannerListener(Protocol):
    """Who uses the session."""

    def on_planned(self) -> None:
        """Hear that the planner took this gateway: requests may be sent."""

    def on_grant(self, grant: QuotaGrant) -> None:
        """Take a grant."""


@dataclass(frozen=True, slots=True)
class SessionEnvironment:
    """What a session works with.

    Attributes:
        reactor: A Twisted reactor.
        now: Returns the present time, in tenths of a millisecond.
        timers: The gateway's timers; once they are stopped nothing connects.
        random: Spreads the pauses before it connects again.
        warn: Logs an event that somebody should look at.
    """

    reactor: Any
    now: Callable[[], int]
    timers: NamedTimers
    random: Random
    warn: Callable[..., None]


class SessionConnection(protocol.Protocol):
    """One connection to the planner."""

    transport: Any  # set by Twisted; its type there lacks what TCP has

    def __init__(self, session: PlannerSession) -> None:
        self._session = session
        self._parser = FrameParser()

    def connectionMade(self) -> None:
        """Tell the session."""
        self.transport.setTcpNoDelay(True)
        self._session.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Pass frames on; what is none ends the connection."""
        try:
            for frame in self._parser.feed(data):
                self._session.on_frame(self, frame)
        except MalformedPlannerFrameError as error:
            self._session.warn(error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Tell the session."""
        self._session.on_connection_lost(self)


class PlannerSession:
    """The link to the planner, made again whenever it is lost.

    Args:
        address: The planner's host:port.
        ledger: Whose name, incarnation and epoch the planner hears.
        environment: Collaborators.
        listener: Hears of grants.
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
    def is_planned(self) -> bool:
        """Whether the planner answers."""
        return self.state is LinkState.PLANNED

    def connect(self) -> None:
        """Connect, unless there is a connection; what comes of it is told later."""
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
        """Cut a planner that does not answer."""
        silence = self._environment.now() - self._last_heard_at
        if self._connection is not None and silence > MAX_SILENCE:
            self._step(LinkEvent.TIMED_OUT, self._connection)

    def can_send_requests(self) -> bool:
        """Return whether the planner takes requests now."""
        return self.is_planned and self._connection is not None

    def warn(self, error: MilletsillError) -> None:
        """Log an error of the link."""
        self._environment.warn("planner", **error.log_fields())

    def on_connected(self, connection: SessionConnection) -> None:
        """Take a new connection."""
        if self._environment.timers.stopped:
            connection.transport.abortConnection()
            return
        self._connection = connection
        self._last_heard_at = self._environment.now()
        self._step(LinkEvent.CONNECTED, connection)

    def on_connection_lost(self, connection: SessionConnection) -> None:
        """Forget a connection that ended."""
        if connection is self._connection:
            self._connection = None
            self._step(LinkEvent.LOST, None)

    def on_frame(self, connection: SessionConnection, frame: Frame) -> None:
        """Take one frame of the planner."""
        self._last_heard_at = self._environment.now()
        if connection is not self._connection:
            return
        what = frame.WhichOneof("what")
        if what == "welcome":
            accepted = self._ledger.accept_epoch(frame.welcome.epoch)
            event = LinkEvent.WELCOMED if accepted else LinkEvent.EPOCH_STALE
            self._step(event, connection)
        elif what == "grants" and self.is_planned:
            for message in frame.grants.given:
                self._listener.on_grant(decode_grant(message))
        elif what == "refused":
            reason = frame.refused.reason[:MAX_LOGGED_REASON]
            self.warn(PlannerRejectedGatewayError(reason, self._address))
            self._step(LinkEvent.REJECTED, connection)

    def _on_connect_failed(self, failure: Failure) -> None:
        if self._failures == 0:
            self.warn(PlannerUnreachableError(failure.getErrorMessage(), self._address))
        self._reconnect_later()

    def _step(self, event: LinkEvent, connection: SessionConnection | None) -> None:
        """Read the table and act."""
        self.state, action = next_link_state(self.state, event)
        if action is LinkAction.SEND_REQUESTS:
            self._failures = 0
            self._listener.on_planned()
        elif action is LinkAction.RECONNECT:
            self._reconnect_later()
        elif connection is not None:
            self._act_on(connection, action)

    def _act_on(self, connection: SessionConnection, action: LinkAction) -> None:
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
        """Tell an old planner the newest epoch, and leave it."""
        self.warn(
            PlannerEpochStaleError(
                "an older planner than one that was heard", self._address
            )
        )
        refused = Refused(reason="a newer planner was heard", epoch=self._ledger.epoch)
        connection.transport.write(encode_frame(refused=refused))
        connection.transport.loseConnection()

    def _reconnect_later(self) -> None:
        self._failures += 1
        delay = reconnect_delay(self._failures, self._environment.random.random())
        self._environment.timers.set(RECONNECT_TIMER, delay / SECOND, self.connect)
