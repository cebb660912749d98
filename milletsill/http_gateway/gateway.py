"""The HTTP gateway as one object: clients, scheduler, nodes, endpoint list, reports."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.gateway.scheduler_host import (
    HostCallbacks,
    SchedulerHost,
)
from milletsill.http1.message import HttpMessage
from milletsill.http_gateway.client_connection import ClientConnection
from milletsill.http_gateway.client_listener import ClientListener
from milletsill.http_gateway.configuration import (
    GatewayConfiguration,
    GatewayConfigurationRejectedError,
)
from milletsill.http_gateway.endpoint_watcher import EndpointWatcher, WatcherConfig
from milletsill.http_gateway.endpoints import NodeEndpoint
from milletsill.http_gateway.gateway_report import EventLog, GatewayReport
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
LISTEN_BACKLOG = 512
MAX_UNANSWERED = 512  # where the settings set no bound
# An answer is written this long before the client's time is up, in tenths of a
# millisecond.
ANSWER_MARGIN = 60
READY_PATH = b"/health/ready"
LIVE_PATH = b"/health/live"


class HttpGateway:
    """One gateway.

    Attributes:
        state: of the process.
        keep_alive: whether clients' connections stay open behind an answer.
        retry_after: told with a rejection before the scheduler, 0 for none.
        answers_by: once it leaves, the latest deadline of a request.
        shutdown_steps: what is to happen when, once it leaves.
        stopped: called once it is stopped.
    """

    def __init__(
        self,
        configuration: GatewayConfiguration,
        reactor: Any,
        now: Callable[[], int],
        clock: int,
        log: EventLog,
        make_scheduler: SchedulerFactory = Scheduler,
    ) -> None:
        self.configuration = configuration
        self.reactor = reactor
        self.now = now
        self.log = log
        self.state = ProcessState.STARTING
        self.keep_alive = True
        self.answers_by: int | None = None
        self.shutdown_steps: list[tuple[int, ProcessEvent]] = []
        self.report = GatewayReport(log)
        self.count = self.report.count
        self.warn = self.report.warn
        self.stopped: Callable[[], None] = lambda: None
        self.port: Any = None
        self.delayed_calls: list[Any] = []
        config = configuration.config
        self.retry_after = config.max_retry_after if config.sends_retry_after else 0
        self.request_parser = RequestParser(config)
        self.recent_ids = RecentRequestIds()
        self.buffers = BufferBudget(configuration.memory_mb)
        descriptors = divide_descriptors(configuration.sockets)
        self.listener = ClientListener(self, descriptors.clients)
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
                clock,
                configuration.grace,
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

    # Start and end.

    def start(self) -> None:
        """Take the endpoint list as it was known, and listen.

        Raises:
            CannotListenError: the address cannot be had.
        """
        if self.configuration.known is not None:
            self.watcher.set_known(self.configuration.known)
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
        self._check(self.now())
        self.log_report()

    def terminate(self) -> None:
        """Answer what was taken, then end: SIGTERM."""
        self._on_process_event(ProcessEvent.TERMINATE)

    def reload(self, configuration: GatewayConfiguration) -> None:
        """Take another configuration: SIGHUP.

        Discovery's address moves; what the scheduler was told at its start stands.
        """
        self.watcher.move(configuration.discovery)
        if (
            configuration.config != self.configuration.config
            or configuration.listen != self.configuration.listen
        ):
            error = GatewayConfigurationRejectedError(
                "settings or address are not those of the start"
            )
            self.warn("configuration", **error.log_fields())
        host, port = configuration.discovery
        self.log.info("reloaded", discovery=f"{host}:{port}")

    def _on_process_event(self, event: ProcessEvent) -> None:
        """Read the table and act."""
        self.state, effect = next_process_state(self.state, event)
        if effect is ProcessEffect.SCHEDULE_SHUTDOWN:
            self._schedule_shutdown()
        elif effect is ProcessEffect.CLOSE_AFTER_ANSWERS:
            self.keep_alive = False
        elif effect is ProcessEffect.STOP_LISTENING:
            self.port.stopListening()  # not sooner: it resets what waits in its queue
            self._stop_without_clients()
            for client in list(self.listener.connections):
                client.leave()
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
        self.answers_by, _ = self.shutdown_steps[0]
        self._run_shutdown_steps()

    def _run_shutdown_steps(self) -> None:
        """Run the steps after SIGTERM that are due, in order."""
        while self.shutdown_steps and self.shutdown_steps[0][0] <= self.now():
            _, event = self.shutdown_steps.pop(0)
            self._on_process_event(event)
            if event is ProcessEvent.SHUT:
                self._call_later(0, self._fail_unanswered)
                return
        if self.shutdown_steps:
            delay = self.shutdown_steps[0][0] - self.now()
            self._call_later(delay, self._run_shutdown_steps)

    def _fail_unanswered(self) -> None:
        """Answer what has no answer yet: its client would wait past the earliest kill.

        In the turn behind SHUT: where the process stood still, timers go before answers
        that came in time and lie in the sockets.
        """
        self.host.fail_all()
        self._run_shutdown_steps()

    def _stop_without_clients(self) -> None:
        """Stop once no client is left.

        Until then answers are being taken, or requests may come unread.
        """
        if self.state is ProcessState.DRAINING and not self.listener.connections:
            self._call_later(0, self._on_process_event, ProcessEvent.NO_CLIENTS)

    def stop(self) -> None:
        """Close everything."""
        self.state = ProcessState.STOPPED
        self.log_report()
        self.log.info("stopped", held=self.host.unanswered)
        self.host.stop()
        self.watcher.stop()
        self.node_pools.stop()
        for client in list(self.listener.connections):
            client.transport.loseConnection()
        for call in self.delayed_calls:
            if call.active():
                call.cancel()
        self.stopped()

    # Time.

    def _call_later(self, delay: int, call: Callable[..., None], *values: Any) -> None:
        delayed = self.reactor.callLater(delay / 10_000, call, *values)
        self.delayed_calls.append(delayed)

    def _check(self, last_check: int) -> None:
        """Do what time brings to connections and watches, ten times a second."""
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
        """Log counts and nodes, now and then."""
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
        """Take an update of the endpoint list.

        Connections first, then the scheduler.
        """
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
        """Take a complete request of a client.

        Answer it, or hand it to the scheduler.
        """
        if self._answer_health_check(client, message):
            return
        try:
            request = self._parse(message)
        except InvalidRequestError as error:
            client.refuse(error.status, str(error))
            return
        if not self._has_room(request):
            self.count("answer", "too late or too many")
            client.answer_rejected(self.retry_after)
            return
        if client.has_left():
            self.count("arrival", "its client has left")
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

    def _parse(self, message: HttpMessage) -> Request:
        now = self.now()
        request = self.request_parser.parse(
            message, now, ANSWER_MARGIN, self.answers_by
        )
        if request.id in self.host.active or self.recent_ids.contains(request.id, now):
            raise InvalidRequestError(409, "x-txn is another's open one")
        return request

    def _has_room(self, request: Request) -> bool:
        """Whether a request may still be taken.

        Once shut, whatever the clocks say: what is forwarded then has nobody left to
        hear its answer.
        """
        limit = self.configuration.config.max_queued_requests or MAX_UNANSWERED
        return (
            self.keep_alive
            and request.deadline > self.now()
            and self.host.unanswered < limit
        )

    def on_request_cancelled(self, request_id: int) -> None:
        """Drop a request whose client has left."""
        self.count("answer", "abandoned")
        self.host.cancel_request(request_id)

    def on_client_lost(self, client: ClientConnection) -> None:
        """Forget a client's connection."""
        self.listener.on_client_lost(client)
        self._stop_without_clients()
