"""The HTTP gateway object, which connects clients, scheduler, nodes and discovery."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.gateway.scheduler_host import (
    HostCallbacks,
    SchedulerHost,
)
from milletsill.gateway.stall_watch import StallWatch
from milletsill.http1.message import HttpMessage
from milletsill.http_gateway.client_connection import ClientConnection
from milletsill.http_gateway.client_listener import LISTEN_BACKLOG, ClientListener
from milletsill.http_gateway.configuration import (
    GatewayConfiguration,
    GatewayConfigurationRejectedError,
)
from milletsill.http_gateway.endpoint_watcher import EndpointWatcher, WatcherConfig
from milletsill.http_gateway.endpoints import NodeEndpoint
from milletsill.http_gateway.gateway_report import EventLog, GatewayReport
from milletsill.http_gateway.input_work import InputWork
from milletsill.http_gateway.node_exchange import HttpExchange
from milletsill.http_gateway.node_pools import (
    DEFAULT_CONNECT_TIMEOUT,
    DEFAULT_IDLE_TIMEOUT,
    HttpNodePools,
    NodePoolsConfig,
)
from milletsill.http_gateway.process_state import (
    ProcessEffect,
    ProcessEvent,
    ProcessState,
    next_process_state,
    shutdown_schedule,
)
from milletsill.http_gateway.recent_request_ids import RecentRequestIds
from milletsill.http_gateway.request_parser import (
    ForwardedPayload,
    InvalidRequestError,
    RequestParser,
    payload_of,
)
from milletsill.http_gateway.resource_limits import BufferBudget, divide_descriptors
from milletsill.interface import EndpointUpdateKind, Request, SchedulerFactory
from milletsill.scheduler import Scheduler

CHECK_INTERVAL = 0.1  # seconds
REPORT_INTERVAL = 5.0  # seconds
MAX_UNANSWERED = 512  # if the settings state no limit
# An answer is written at least this long before the client's deadline, in tenths of a
# millisecond.
ANSWER_MARGIN = 60
READY_PATH = b"/health/ready"
LIVE_PATH = b"/health/live"


class HttpGateway:
    """One gateway. Times are tenths of a millisecond.

    Attributes:
        state: the state of the process.
        keep_alive: whether clients' connections stay open after an answer.
        retry_after: the Retry-After time of rejections that the gateway makes without
            the scheduler, 0 for none.
        latest_deadline: the latest deadline of a request, None before the shutdown.
        shutdown_steps: the times and events of the remaining shutdown steps.
        on_stopped: called once the gateway has stopped.
    """

    def __init__(
        self,
        configuration: GatewayConfiguration,
        reactor: Any,
        now: Callable[[], int],
        clock_offset: int,
        log: EventLog,
        make_scheduler: SchedulerFactory = Scheduler,
    ) -> None:
        self.configuration = configuration
        self.reactor = reactor
        self.now = now
        self.log = log
        self.state = ProcessState.STARTING
        self.keep_alive = True
        self.latest_deadline: int | None = None
        self.shutdown_steps: list[tuple[int, ProcessEvent]] = []
        self.report = GatewayReport(log)
        self.count = self.report.count
        self.warn = self.report.warn
        self.on_stopped: Callable[[], None] = lambda: None
        self.port: Any = None
        self.delayed_calls: list[Any] = []
        config = configuration.config
        self.retry_after = config.max_retry_after if config.sends_retry_after else 0
        self.request_parser = RequestParser(config)
        self.recent_ids = RecentRequestIds()
        self.buffers = BufferBudget(configuration.memory_mb)
        self.client_work = InputWork(reactor)
        self.stall_watch = StallWatch(reactor, now)
        self.unread_since = self.stall_watch.unread_since
        descriptors = divide_descriptors(configuration.sockets)
        self.listener = ClientListener(self, descriptors.clients)
        self.buffers.on_short = self.listener.end_stopped_requests
        self.node_pools = HttpNodePools(
            reactor,
            now,
            NodePoolsConfig(
                descriptors.node_connections,
                config.dial_timeout or DEFAULT_CONNECT_TIMEOUT,
                config.connection_idle_timeout or DEFAULT_IDLE_TIMEOUT,
            ),
            self.buffers,
            self.count,
        )
        self.watcher = EndpointWatcher(
            reactor,
            now,
            WatcherConfig(
                configuration.discovery,
                config.zone_names or (),
                clock_offset,
                configuration.drain_grace,
            ),
            self.on_endpoints,
            lambda text: self.warn("list", reason=text),
            Random(f"{configuration.seed} list").uniform,
        )
        self.host = SchedulerHost(
            reactor,
            now,
            config,
            configuration.seed,
            make_scheduler,
            HostCallbacks(
                start_attempt=self._start_attempt,
                watch_endpoints=self.watcher.request_watch,
                log=lambda text: self.warn("module", reason=text),
                count=self.count,
            ),
        )

    # Start and shutdown.

    def start(self) -> None:
        """Use the cached endpoint list, and listen for clients.

        Raises:
            CannotListenError: the listening address is not available.
        """
        if self.configuration.cached_endpoints is not None:
            self.watcher.load_cached_list(self.configuration.cached_endpoints)
        self.watcher.request_watch()
        host, port = self.configuration.listen
        self.port = self.reactor.listenTCP(port, self.listener, LISTEN_BACKLOG, host)
        self.listener.port = self.port
        self.listener.limit_accepts()
        self._on_process_event(ProcessEvent.LISTENING)
        self.log.info(
            "listening",
            address=f"{host}:{self.port.getHost().port}",
            sockets=self.configuration.sockets,
        )
        self.stall_watch.start()
        self._check(self.now())
        self.log_report()

    def terminate(self) -> None:
        """Shut down on SIGTERM: answer the accepted requests, then stop."""
        self._on_process_event(ProcessEvent.TERMINATE)

    def reload(self, configuration: GatewayConfiguration) -> None:
        """Apply a new configuration on SIGHUP.

        Only the address of discovery changes; the scheduler keeps its settings.
        """
        self.watcher.move(configuration.discovery)
        if (
            configuration.config != self.configuration.config
            or configuration.listen != self.configuration.listen
        ):
            error = GatewayConfigurationRejectedError(
                "settings and listen address can change only at a restart"
            )
            self.warn("configuration", **error.log_fields())
        host, port = configuration.discovery
        self.log.info("reloaded", discovery=f"{host}:{port}")

    def _on_process_event(self, event: ProcessEvent) -> None:
        """Make the state transition for an event and perform its effect."""
        self.state, effect = next_process_state(self.state, event)
        if effect is ProcessEffect.SCHEDULE_SHUTDOWN:
            self._schedule_shutdown()
        elif effect is ProcessEffect.CLOSE_AFTER_ANSWERS:
            self.keep_alive = False
        elif effect is ProcessEffect.STOP_LISTENING:
            self.port.stopListening()  # earlier, it would reset queued connections
            self.listener.stop()
            self._stop_without_clients()
            for client in list(self.listener.connections):
                client.begin_shutdown()
        elif effect is ProcessEffect.STOP:
            self.stop()

    def _schedule_shutdown(self) -> None:
        self.log.info("leaving", held=self.host.unanswered)
        classes = self.configuration.config.request_classes
        longest = max(each.client_timeout for each in classes)
        now = self.now()
        self.shutdown_steps = [
            (now + delay, event) for delay, event in shutdown_schedule(longest)
        ]
        self.latest_deadline, _ = self.shutdown_steps[0]
        self._run_shutdown_steps()

    def _run_shutdown_steps(self) -> None:
        """Run the steps after SIGTERM that are due, in order."""
        while self.shutdown_steps and self.shutdown_steps[0][0] <= self.now():
            _, event = self.shutdown_steps.pop(0)
            self._on_process_event(event)
            if event is ProcessEvent.START_REJECTING:
                self._call_later(0, self._fail_unanswered)
                return
        if self.shutdown_steps:
            delay = self.shutdown_steps[0][0] - self.now()
            self._call_later(delay, self._run_shutdown_steps)

    def _fail_unanswered(self) -> None:
        """Answer all open requests: an answer later than the kill would never be sent.

        This runs in the turn after `START_REJECTING`. After a stall of the process the
        reactor runs timers before it reads answers that arrived in time.
        """
        self.host.fail_all()
        self._run_shutdown_steps()

    def _stop_without_clients(self) -> None:
        """Stop once no client is connected.

        Until then clients may be reading answers or sending requests.
        """
        if self.state is ProcessState.DRAINING and not self.listener.connections:
            self._call_later(0, self._on_process_event, ProcessEvent.NO_CLIENTS)

    def stop(self) -> None:
        """Close all connections and stop."""
        self.state = ProcessState.STOPPED
        self.log_report()
        self.log.info("stopped", held=self.host.unanswered)
        self.host.stop()
        self.stall_watch.stop()
        self.watcher.stop()
        self.node_pools.stop()
        for client in list(self.listener.connections):
            client.transport.loseConnection()
        for call in self.delayed_calls:
            if call.active():
                call.cancel()
        self.on_stopped()

    # Timers and reports.

    def _call_later(self, delay: int, call: Callable[..., None], *values: Any) -> None:
        delayed = self.reactor.callLater(delay / 10_000, call, *values)
        self.delayed_calls.append(delayed)

    def _check(self, last_check: int) -> None:
        """Check the time-outs of connections and watches, ten times a second."""
        now = self.now()
        self.report.note_lateness(now - last_check - int(CHECK_INTERVAL * 10_000))
        self.listener.check(self.listener.paused)
        self.node_pools.check()
        self.watcher.check()
        if self.state is not ProcessState.STOPPED:
            self.delayed_calls = [each for each in self.delayed_calls if each.active()]
            delayed = self.reactor.callLater(CHECK_INTERVAL, self._check, now)
            self.delayed_calls.append(delayed)

    def log_report(self) -> None:
        """Log counts and node states every `REPORT_INTERVAL`."""
        self.report.log_counts(
            self.host.unanswered,
            len(self.listener.connections),
            self.node_pools.open_connections,
        )
        scheduler = self.host.scheduler
        if isinstance(scheduler, Scheduler):
            self.report.log_nodes(scheduler.state.nodes, self.node_pools)
        if self.state is not ProcessState.STOPPED:
            delayed = self.reactor.callLater(REPORT_INTERVAL, self.log_report)
            self.delayed_calls.append(delayed)

    # The endpoint list and the nodes.

    def on_endpoints(
        self, kind: EndpointUpdateKind, nodes: Sequence[NodeEndpoint]
    ) -> None:
        """Apply an update of the endpoint list: to connections, then the scheduler."""
        if kind is not EndpointUpdateKind.FAILED:
            self.node_pools.update(kind is not EndpointUpdateKind.DELTA, nodes)
        self.count("list", kind.value)
        self.host.on_endpoints(kind, [node.endpoint for node in nodes])

    def _start_attempt(
        self,
        payload: ForwardedPayload,
        request: Request,
        number: int,
        node: int,
        deadline: int,
        ended: AttemptEnded,
    ) -> HttpExchange | None:
        return self.node_pools.send_attempt(payload, node, deadline, ended)

    # Clients.

    def on_request(self, client: ClientConnection, message: HttpMessage) -> None:
        """Handle a complete request of a client.

        The request is answered here or handed to the scheduler.
        """
        if self._answer_health_check(client, message):
            return
        try:
            request = self._parse(message, client.input.arrived_at)
        except InvalidRequestError as error:
            client.refuse(error.status, str(error))
            return
        if not self._can_accept(request):
            self.count("answer", "too late or too many")
            client.answer_rejected(self.retry_after)
            return
        if client.detect_client_close():
            return
        client.open_request(request.id)
        self.recent_ids.add(request.id, request.deadline, self.now())
        self.count("arrival", "repeat" if request.is_retry else "first")
        self.host.accept_request(request, client, payload_of(message))

    def _answer_health_check(
        self, client: ClientConnection, message: HttpMessage
    ) -> bool:
        path, _, _ = message.target.partition(b"?")
        if path not in (READY_PATH, LIVE_PATH) or message.method != b"GET":
            return False
        healthy = path == LIVE_PATH or self.state is ProcessState.SERVING
        client.answer(200 if healthy else 503, b"")
        return True

    def _parse(self, message: HttpMessage, arrived_at: int) -> Request:
        """Return the request of a message; its time runs from the arrival."""
        request = self.request_parser.parse(
            message, arrived_at, ANSWER_MARGIN, self.latest_deadline
        )
        now = self.now()
        if request.id in self.host.active or self.recent_ids.contains(request.id, now):
            raise InvalidRequestError(409, "x-txn is another's open one")
        return request

    def _can_accept(self, request: Request) -> bool:
        """Whether another request may be accepted.

        Once requests are rejected, none is accepted whatever its deadline: no answer to
        it could be delivered.
        """
        limit = self.configuration.config.max_queued_requests or MAX_UNANSWERED
        return (
            self.keep_alive
            and request.deadline > self.now()
            and self.host.unanswered < limit
        )

    def on_request_cancelled(self, request_id: int) -> None:
        """Cancel a request whose client has disconnected."""
        self.count("answer", "abandoned")
        self.host.cancel_request(request_id)

    def on_client_lost(self, client: ClientConnection) -> None:
        """Remove a client's connection."""
        self.listener.on_client_lost(client)
        self._stop_without_clients()
