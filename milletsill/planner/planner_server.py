"""The planner's TCP server for gateways and operators."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from math import ceil
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client.twisted import MetricsResource
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import Site

from milletsill.errors import ListenFailedError
from milletsill.logs import logger
from milletsill.planner.codec import (
    PROTOCOL_VERSION,
    FrameParser,
    MalformedPlannerFrameError,
    decode_request,
    encode_frame,
    encode_grant,
)
from milletsill.planner.epoch_store import next_epoch
from milletsill.planner.errors import PlannerSupersededError, QuotaSettingsMismatchError
from milletsill.planner.operator_commands import OperatorCommands
from milletsill.planner.plan_pb2 import (
    Asks,
    Frame,
    Given,
    Grants,
    Hello,
    Refused,
    Welcome,
)
from milletsill.planner.planner_metrics import PlannerMetrics
from milletsill.planner.quota_planner import QuotaPlanner
from milletsill.planner.quota_settings import floor_in_millionths, timings_from_settings
from milletsill.planner.quota_terms import SECOND, QuotaGrant, QuotaRequest
from milletsill.settings.milletsill_pb2 import PlannerFile

MAX_UNSENT_BYTES = 4 << 20  # send buffer of one connection
TICK_SECONDS = 1.0
SPARE_CONNECTIONS = 16  # for operators and for gateways that reconnect
MAX_NAME_LENGTH = 64


def monotonic() -> int:
    """Return the monotonic time in tenths of a millisecond."""
    return time.monotonic_ns() // 100_000


class PlannerConnection(Protocol):
    """One connection: a gateway's after its hello, an operator's otherwise.

    Attributes:
        gateway: The gateway's name; empty before its hello.
        incarnation: The gateway's incarnation.
        last_heard_at: When data last arrived.
        requests: Number of requests received.
    """

    transport: Any  # set by Twisted, whose declared type lacks the methods of TCP

    def __init__(self, server: PlannerServer) -> None:
        self.gateway = ""
        self.incarnation = 0
        self.last_heard_at = 0
        self.requests = 0
        self._server = server
        self._parser = FrameParser()

    def connectionMade(self) -> None:
        """Register the connection, or reject it if there are too many."""
        self.transport.setTcpNoDelay(True)
        self.last_heard_at = self._server.now()
        if not self._server.on_connected(self):
            self.reject("too many connections")

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Remove the connection from the server."""
        self._server.on_disconnected(self)

    def dataReceived(self, data: bytes) -> None:
        """Handle the frames in the data; a malformed frame ends the connection."""
        self.last_heard_at = self._server.now()
        try:
            for frame in self._parser.feed(data):
                self._on_frame(frame)
        except MalformedPlannerFrameError as error:
            peer = self.gateway or str(self.transport.getPeer())
            self._server.warn("malformed_frame", gateway=peer, **error.log_fields())
            self.reject(str(error))

    def _on_frame(self, frame: Frame) -> None:
        what = frame.WhichOneof("what")
        if what == "hello":
            self._server.on_hello(self, frame.hello)
        elif what == "question":
            self.send(told=self._server.commands.answer(frame.question))
        elif what == "asks" and self.gateway:
            self._on_requests(frame.asks)
        elif what == "refused" and self.gateway:
            self._server.on_rejected(self, frame.refused)
        else:
            raise MalformedPlannerFrameError(f"frame {what!r} before the hello")

    def _on_requests(self, asks: Asks) -> None:
        """Answer all requests of a frame in one frame."""
        now = self._server.now()
        given = []
        for message in asks.wish:
            request = decode_request(self.gateway, self.incarnation, message)
            grant = self._server.on_request(request, now)
            if grant is not None:
                given.append(encode_grant(grant))
        self.requests += len(asks.wish)
        self.send(grants=Grants(given=given))
        self._server.send_unsolicited()

    def send(self, **what: Any) -> None:
        """Send a frame, or abort the connection if its send buffer is too full."""
        if len(getattr(self.transport, "dataBuffer", b"")) > MAX_UNSENT_BYTES:
            self._server.warn("gateway_not_reading", gateway=self.gateway)
            self.transport.abortConnection()
            return
        self.transport.write(encode_frame(**what))

    def reject(self, reason: str, epoch: int = 0) -> None:
        """Send the reason and close the connection."""
        self.transport.write(encode_frame(refused=Refused(reason=reason, epoch=epoch)))
        self.transport.loseConnection()

    def abort(self) -> None:
        """Abort the connection without sending what is buffered."""
        self.transport.abortConnection()

    def close(self) -> None:
        """Close the connection after sending what is buffered."""
        self.transport.loseConnection()


class PlannerServer(Factory):
    """One run of the planner.

    Attributes:
        failed: Whether the process exits with status 1.
        superseded_by: The epoch of a newer planner that a gateway reported; 0 for none.
    """

    noisy = False

    def __init__(
        self,
        file: PlannerFile,
        reactor: Any,
        log: Any = None,
        now: Callable[[], int] = monotonic,
    ) -> None:
        self.now = now
        self.log = log or logger(
            file.logging.level, file.logging.json, planner=file.name
        )
        self.timings = timings_from_settings(file.lending)
        seed = random.SystemRandom().getrandbits(63)
        self.planner = QuotaPlanner(
            next_epoch(file.state_dir, random.Random(seed)),
            self.timings,
            file.most_edges,
            file.most_things,
        )
        self.by_name: dict[str, PlannerConnection] = {}
        self.commands = OperatorCommands(
            self.planner, self.by_name, now, file.most_edges, self.log.info
        )
        self.registry = CollectorRegistry()
        self.metrics = PlannerMetrics(self.registry)
        self.ports: list[Any] = []
        self.failed = False
        self.superseded_by = 0
        self.stops_reactor = False
        self._file = file
        self._reactor = reactor
        self._connections: set[PlannerConnection] = set()
        self._tick_call: Any = None

    def start(self) -> None:
        """Start listening and the periodic tick."""
        self._listen(self._file.listen, self, "listening")
        if self._file.HasField("metrics"):
            site = self._metrics_site()
            self._listen(self._file.metrics, site, "metrics_listening")
        self.metrics.set_epoch(self.planner.epoch)
        self._tick_call = self._reactor.callLater(TICK_SECONDS, self._tick, self.now())

    def _metrics_site(self) -> Any:
        """Return the web site of the metrics; twisted.web has no type annotations."""
        make_resource: Any = Resource
        make_site: Any = Site
        make_metrics: Any = MetricsResource
        root = make_resource()
        root.putChild(b"metrics", make_metrics(registry=self.registry))
        site = make_site(root)
        site.noisy = False
        return site

    def _listen(self, address: str, factory: Any, event: str) -> None:
        host, _, port = address.rpartition(":")

        def on_listening(listening: Any) -> None:
            self.ports.append(listening)
            own_address = f"{host}:{listening.getHost().port}"
            self.log.info(event, address=own_address, epoch=self.planner.epoch)

        def on_failed(failure: Failure) -> None:
            error = ListenFailedError(failure.getErrorMessage(), f"{host}:{int(port)}")
            self.log.error("cannot_listen", **error.log_fields())
            self.failed = True
            self.stop()

        make_endpoint: Any = TCP4ServerEndpoint
        endpoint = make_endpoint(self._reactor, int(port), interface=host)
        endpoint.listen(factory).addCallbacks(on_listening, on_failed)

    def stop(self) -> None:
        """Close listeners and connections; outstanding grants expire by themselves."""
        for port in self.ports:
            port.stopListening()
        self.ports = []
        if self._tick_call is not None and self._tick_call.active():
            self._tick_call.cancel()
        for connection in list(self._connections):
            connection.close()
        self.log.info("stopped", epoch=self.planner.epoch)
        if self._reactor.running and self.stops_reactor:
            self._reactor.callLater(0.1, self._reactor.stop)

    def _tick(self, scheduled_at: int) -> None:
        """Once a second, abort silent connections, update metrics, drop idle quotas."""
        now = self.now()
        lag = max(now - scheduled_at - TICK_SECONDS * SECOND, 0) / SECOND
        self.metrics.on_loop_lag(lag)
        max_silence = ceil(self._file.silent_s * SECOND)
        for connection in list(self._connections):
            if now - connection.last_heard_at > max_silence:
                connection.abort()
        self.metrics.update(self.planner, len(self.by_name), now)
        self.planner.forget_idle(now)
        self._tick_call = self._reactor.callLater(TICK_SECONDS, self._tick, now)

    def warn(self, event: str, **values: Any) -> None:
        """Log a warning."""
        self.log.warning(event, **values)

    def buildProtocol(self, addr: Any) -> PlannerConnection:
        """Create the protocol of a new connection."""
        return PlannerConnection(self)

    def on_connected(self, connection: PlannerConnection) -> bool:
        """Register a connection; return False if there are too many."""
        if len(self._connections) >= self._file.most_edges + SPARE_CONNECTIONS:
            return False
        self._connections.add(connection)
        return True

    def on_disconnected(self, connection: PlannerConnection) -> None:
        """Remove a connection, and its gateway unless it reconnected on another."""
        self._connections.discard(connection)
        if self.by_name.get(connection.gateway) is connection:
            del self.by_name[connection.gateway]
            self.planner.connected.discard(connection.gateway)

    def on_hello(self, connection: PlannerConnection, hello: Hello) -> None:
        """Accept a gateway, or reject it with a reason."""
        reason = self._why_rejected(hello)
        if reason is not None:
            connection.reject(reason)
            return
        if hello.epoch > self.planner.epoch:
            self._on_newer_planner(connection, hello.epoch)
            return
        former = self.by_name.get(hello.name)
        if former is not None and former is not connection:
            if hello.incarnation < former.incarnation:
                connection.reject("an older run of this edge")
                return
            former.abort()
        connection.gateway = hello.name
        connection.incarnation = hello.incarnation
        self.by_name[hello.name] = connection
        self.planner.connected.add(hello.name)
        welcome = Welcome(version=PROTOCOL_VERSION, epoch=self.planner.epoch)
        connection.send(welcome=welcome)

    def _why_rejected(self, hello: Hello) -> str | None:
        """Return why a gateway is rejected, or None if it is accepted."""
        if hello.version != PROTOCOL_VERSION:
            return f"version {hello.version}, {PROTOCOL_VERSION} is spoken"
        if (hello.longest, hello.drift, hello.floor) != (
            self.timings.max_duration,
            self.timings.drift_permille,
            floor_in_millionths(self.timings),
        ):
            name = hello.name[:MAX_NAME_LENGTH]
            error = QuotaSettingsMismatchError(
                "its `lending` settings differ from the planner's", name
            )
            self.warn("quota_settings_mismatch", **error.log_fields())
            return "other terms of lending"
        is_full = len(self.by_name) >= self._file.most_edges
        if not 0 < len(hello.name) <= MAX_NAME_LENGTH or (
            hello.name not in self.by_name and is_full
        ):
            return "no such name, or too many edges"
        return None

    def on_request(self, request: QuotaRequest, now: int) -> QuotaGrant | None:
        """Return the planner's answer to a request, and count the request."""
        grant = self.planner.on_request(request, now)
        self.metrics.requests += 1
        if grant is None:
            self.metrics.invalid_requests += 1
        return grant

    def send_unsolicited(self) -> None:
        """Send the unsolicited grants, one frame to each gateway."""
        grants_by_connection: dict[PlannerConnection, list[Given]] = {}
        for unsolicited in self.planner.take_unsolicited():
            connection = self.by_name.get(unsolicited.gateway)
            grant = unsolicited.grant
            if connection is not None and connection.incarnation == grant.incarnation:
                given = grants_by_connection.setdefault(connection, [])
                given.append(encode_grant(grant))
        for connection, given in grants_by_connection.items():
            connection.send(grants=Grants(given=given))

    def on_rejected(self, connection: PlannerConnection, refused: Refused) -> None:
        """Handle a gateway's rejection of this planner."""
        if refused.epoch > self.planner.epoch:
            self._on_newer_planner(connection, refused.epoch)

    def _on_newer_planner(self, connection: PlannerConnection, epoch: int) -> None:
        """Stop this run because a gateway has accepted a newer planner.

        It stops even if the newer planner was started by mistake. It grants nothing
        more, and outstanding grants expire by themselves.
        """
        connection.reject("an edge knows a newer planner", epoch)
        if not self.superseded_by:
            error = PlannerSupersededError(
                f"a gateway has accepted a newer epoch, {epoch}",
                connection.gateway or "a hello",
            )
            self.log.error(
                "superseded",
                **error.log_fields(),
                epoch=self.planner.epoch,
                newer=epoch,
            )
        self.superseded_by = max(self.superseded_by, epoch)
        self.failed = True
        self._reactor.callLater(0, self.stop)
