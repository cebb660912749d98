"""The SFTP gateway: connects clients, scheduler, nodes, endpoint list and metrics.

A process can have several gateways.
"""

from __future__ import annotations

import os
import random
import time
from collections.abc import Callable, Sequence
from typing import Any

from milletsill.errors import MilletsillError
from milletsill.gateway.stall_watch import StallWatch
from milletsill.interface import Endpoint, EndpointUpdateKind, SchedulerFactory
from milletsill.logs import logger
from milletsill.registry.registered_node import RegisteredNode
from milletsill.scheduler import Scheduler
from milletsill.sftp_gateway import deployment, optional_parts
from milletsill.sftp_gateway.answer_log import AnswerLogLimiter
from milletsill.sftp_gateway.assembly import (
    make_endpoint_watcher,
    make_node_pools,
    make_scheduler_host,
)
from milletsill.sftp_gateway.command_execution import CommandExecution
from milletsill.sftp_gateway.command_report import CommandReport
from milletsill.sftp_gateway.errors import RestartRequiredError
from milletsill.sftp_gateway.gateway_state import (
    GatewayEffect,
    GatewayEvent,
    GatewayState,
    next_gateway_state,
    refusal_reason,
)
from milletsill.sftp_gateway.identifiers import IdentifierSource
from milletsill.sftp_gateway.incarnation import next_incarnation, store_incarnation
from milletsill.sftp_gateway.listening_ports import ListeningPorts
from milletsill.sftp_gateway.metrics import GatewayMetrics
from milletsill.sftp_gateway.object_location import LocationCache
from milletsill.sftp_gateway.routing_table import RoutedVolume, VolumePlacement
from milletsill.sftp_gateway.sftp_server import SftpClientConnection, SftpClientListener

CHECK_INTERVAL = 1.0  # seconds between checks of idle clients and the loop's lag
TICKS_PER_SECOND = 10_000
SEED_BITS = 63


def monotonic() -> int:
    """Return the monotonic clock in tenths of a millisecond, rounded up.

    Rounding up ensures that a deadline that has passed is seen as passed.
    """
    return -(-time.monotonic_ns() // 100_000)


class SftpGateway:
    """One gateway.

    `make_scheduler` creates the scheduler; only the laboratory replaces it, by a
    baseline.

    Attributes:
        state: the state of the gateway.
        failed: whether the gateway failed to start.
        on_stopped: callbacks for the end of the gateway.
        flows, traces, quota_client, fleet, health, channels: the optional parts;
            None if the file does not enable them.
    """

    def __init__(
        self,
        file: Any,
        reactor: Any,
        make_scheduler: SchedulerFactory = Scheduler,
        now: Callable[[], int] = monotonic,
        log: Any = None,
    ) -> None:
        self.file = file
        self.reactor = reactor
        self.now = now
        self.log = log or self._make_log(file)
        self.state = GatewayState.STARTING
        self.failed = False
        self.clients: set[SftpClientConnection] = set()
        self.on_stopped: list[Callable[[], None]] = []
        self.check_call: Any = None
        self.drain_deadline_call: Any = None
        self.metrics = GatewayMetrics()
        self.listening = ListeningPorts(reactor, self._on_listening, self._fail_start)
        self.stall_watch = StallWatch(reactor, now)
        self.unread_since = self.stall_watch.unread_since
        self.after_reads = self.stall_watch.after_reads
        self._load_incarnation()
        self._apply_reloadable_settings(file)
        self.location_cache = LocationCache(file.door.locations)
        config = deployment.config_of(file)
        seed = self._seed()
        self.endpoint_watcher = make_endpoint_watcher(self, config, seed)
        self.traces = optional_parts.make_traces(self, config, seed)
        if self.traces is not None:
            make_scheduler = self.traces.wrap(make_scheduler)
        self.flows = optional_parts.make_flow_export(self, seed)
        self.node_pools = make_node_pools(self)
        self.host = make_scheduler_host(self, config, seed, make_scheduler)
        self.quota_client = optional_parts.make_quota_client(self, config, seed)
        self.fleet = optional_parts.make_fleet(self, seed)
        self.health = optional_parts.make_shared_health(self, seed)
        self.channels = optional_parts.make_channels(self, seed)
        self.extensions: tuple[str, ...] = ()
        if self.channels is not None:
            self.extensions = self.channels.extensions

    # Assembly.

    def _make_log(self, file: Any) -> Any:
        return logger(file.logging.level, file.logging.json, gateway=file.name)

    def _incarnation_path(self) -> str:
        return os.path.join(self.file.state_dir, "incarnation")

    def _load_incarnation(self) -> None:
        os.makedirs(self.file.state_dir, exist_ok=True)
        incarnation, error = next_incarnation(self._incarnation_path())
        if error is not None:
            self.warn("incarnation_not_kept", **error.log_fields())
        self.identifiers = IdentifierSource(self.file.name, incarnation)
        self.next_request_id = self.identifiers.next_request_id
        self.new_object_name = self.identifiers.new_object_name
        self.new_idempotency_key = self.identifiers.new_idempotency_key

    def _apply_reloadable_settings(self, file: Any) -> None:
        self.routing_table = deployment.routing_table_of(file)
        self.answer_margin = deployment.ticks_rounded_up(file.door.answer_margin_ms)
        limiter = AnswerLogLimiter(file.logging.answers_per_s)
        self.command_report = CommandReport(self, self.metrics, limiter, self.log)

    def _seed(self) -> int:
        if self.file.HasField("seed"):
            return int(self.file.seed)
        return random.SystemRandom().getrandbits(SEED_BITS)

    @property
    def incarnation(self) -> int:
        """The number of this start of the gateway."""
        return self.identifiers.incarnation

    def raise_incarnation(self, incarnation: int) -> None:
        """Adopt a later incarnation that the fleet knows of this gateway.

        New identifiers contain the later incarnation, and the next start uses a
        greater one. Otherwise, after a loss of the state directory, names and keys
        would repeat those of an earlier start. Identifiers that were sent before the
        fleet's message still contain the lower incarnation.
        """
        self.identifiers.incarnation = max(self.incarnation, incarnation)
        error = store_incarnation(self._incarnation_path(), incarnation)
        if error is not None:
            self.warn("incarnation_not_kept", **error.log_fields())

    # Start and stop.

    def start(self) -> None:
        """Start the parts, load the cached endpoint list, and listen."""
        if self.fleet is not None:
            try:
                self.fleet.start()
            except MilletsillError as error:
                self._fail_start(error)
                return
        for part in (self.health, self.channels, self.flows, self.traces):
            if part is not None:
                part.start()
        self.endpoint_watcher.start()
        if self.quota_client is not None:
            self.quota_client.start()
        self._on_event(GatewayEvent.ENDPOINTS_LOADED)
        self._schedule_check(self.now())
        self.stall_watch.start()

    def terminate(self) -> None:
        """Reject new commands, answer the accepted ones, then stop (SIGTERM)."""
        self._on_event(GatewayEvent.TERMINATE)

    def reload(self, file: Any) -> None:
        """Apply the settings that can change in a running gateway (SIGHUP).

        These are client limits, volumes, routes and logging. The scheduler's
        configuration stays the same until a restart, so a file that changes it is
        rejected.
        """
        if self._needs_restart(file):
            error = RestartRequiredError(
                "plans, categories, rules, name, address, traces or fleet differ "
                "from those at the start"
            )
            self.warn("file_refused", **error.log_fields())
            return
        self.file = file
        self.log = self._make_log(file)
        self._apply_reloadable_settings(file)
        self.log.info("reloaded", volumes=len(file.volume), routes=len(file.route))

    def _needs_restart(self, file: Any) -> bool:
        return (
            deployment.config_of(file) != self.host.config
            or file.name != self.file.name
            or file.listen != self.file.listen
            or file.trace != self.file.trace
            or file.fleet != self.file.fleet
        )

    def _on_event(self, event: GatewayEvent) -> None:
        """Apply a state transition and carry out its effect."""
        self.state, effect = next_gateway_state(self.state, event)
        if effect is GatewayEffect.LISTEN:
            self._listen()
        elif effect is GatewayEffect.DRAIN:
            self._drain()
        elif effect is GatewayEffect.STOP:
            self.stop()

    def _drain(self) -> None:
        self.log.info("draining", held=self.host.unanswered)
        if self.channels is not None:
            # The channels leave the fleet once their leases are released.
            self.channels.drain()
        elif self.fleet is not None:
            self.fleet.leave()
        self.listening.close()
        self.drain_deadline_call = self.reactor.callLater(
            self.file.door.drain_s, self._on_event, GatewayEvent.DRAIN_TIMEOUT
        )
        self.stop_if_drained()

    def stop_if_drained(self) -> None:
        """Stop a draining gateway once no command is unanswered."""
        if self.state is not GatewayState.DRAINING or self.host.unanswered:
            return
        if self.channels is not None and self.channels.unanswered:
            return
        self.reactor.callLater(0, self._on_event, GatewayEvent.DRAINED)

    def stop(self) -> None:
        """Stop all parts and close all connections immediately."""
        self.state = GatewayState.STOPPED
        self.log.info("stopped", held=self.host.unanswered)
        self.listening.stop()
        self.endpoint_watcher.stop()
        if self.channels is not None:
            self.channels.stop()
        for client in list(self.clients):
            client.transport.loseConnection()
        self.host.stop()
        self.node_pools.abort()
        for part in (
            self.flows,
            self.traces,
            self.quota_client,
            self.health,
            self.fleet,
        ):
            if part is not None:
                part.stop()
        self.stall_watch.stop()
        for call in (self.check_call, self.drain_deadline_call):
            if call is not None and call.active():
                call.cancel()
        for callback in self.on_stopped:
            callback()

    def _listen(self) -> None:
        """Open the listening ports; a failure to bind ends the start with an error."""
        clients = SftpClientListener(self)
        self.listening.open(self.file.listen, clients, "listening")
        if self.file.HasField("metrics"):
            site = self.metrics.site()
            self.listening.open(self.file.metrics, site, "metrics_listening")

    def _on_listening(self, event: str, address: str) -> None:
        self.log.info(event, address=address, incarnation=self.incarnation)

    def _fail_start(self, error: MilletsillError) -> None:
        """Log the error that prevents the start, and stop."""
        self.log.error("cannot_listen", **error.log_fields())
        self.failed = True
        self.stop()

    # Periodic checks.

    def _schedule_check(self, now: int) -> None:
        self.check_call = self.reactor.callLater(CHECK_INTERVAL, self._check, now)

    def _check(self, last_check: int) -> None:
        """Check client timeouts and update the loop lag and the gauges."""
        now = self.now()
        lag = max(now - last_check - CHECK_INTERVAL * TICKS_PER_SECOND, 0)
        self.metrics.loop_lag.observe(lag / TICKS_PER_SECOND)
        self.metrics.unanswered.set(self.host.unanswered)
        self.metrics.clients.set(len(self.clients))
        if self.traces is not None:
            self.traces.update_metrics()
        if self.quota_client is not None:
            self.quota_client.on_tick()
        max_idle = deployment.ticks_rounded_up(self.file.door.idle_s * 1000)
        for client in list(self.clients):
            client.check_timeouts(max_idle)
        self._schedule_check(now)

    # The endpoint list.

    def on_endpoints(
        self, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Pass an update of the endpoint list to the scheduler and other parts."""
        self.metrics.endpoint_updates.labels(kind.value).inc()
        self.host.on_endpoints(kind, endpoints)
        if self.health is not None:
            self.health.on_endpoints(kind, endpoints)
        if self.quota_client is not None:
            self.quota_client.on_endpoints(endpoints)

    def on_nodes(self, nodes: list[RegisteredNode]) -> None:
        """Update the node pools to the endpoint list."""
        self.metrics.nodes.set(len(nodes))
        self.node_pools.update(nodes)

    # Clients.

    def on_client_connected(self, client: SftpClientConnection) -> bool:
        """Accept a new client; return False if the gateway has no capacity."""
        full = len(self.clients) >= self.file.door.most_connections
        if full or self.state is not GatewayState.SERVING:
            self.warn("client_not_taken", clients=len(self.clients))
            return False
        self.clients.add(client)
        return True

    def on_client_lost(self, client: SftpClientConnection) -> None:
        """Remove a disconnected client."""
        self.clients.discard(client)
        self.stop_if_drained()

    def refusal(self, deadline: int) -> str:
        """Return why a command cannot be accepted now, or "" if it can."""
        return refusal_reason(
            self.state,
            self.host.unanswered,
            self.file.door.most_held,
            deadline - self.now(),
        )

    def on_command_finished(
        self, execution: CommandExecution, final: str, reason: str
    ) -> None:
        """Report an answered command."""
        self.command_report.on_command_finished(execution, final, reason)
        self.stop_if_drained()

    def allows_rename(self, volume: RoutedVolume, path: str, target: str) -> bool:
        """Return whether a rename is possible: by links, or within one shard."""
        if volume.placement == VolumePlacement.FREE:
            return True
        home_shard = self.routing_table.home_shard
        return home_shard(volume, path) == home_shard(volume, target)

    # Names.

    def plan_name(self, volume: RoutedVolume) -> str:
        """Return the name of a volume's service plan."""
        return str(self.file.plan[volume.plan].name)

    def request_class_name(self, request_class: int) -> str:
        """Return the name of a request class."""
        return self.host.config.request_classes[request_class].name

    def warn(self, event: str, /, **values: Any) -> None:
        """Log a warning."""
        self.log.warning(event, **values)

    def inform(self, event: str, /, **values: Any) -> None:
        """Log an event."""
        self.log.info(event, **values)
