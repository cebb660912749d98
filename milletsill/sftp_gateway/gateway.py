"""The edge as one object: door, host of the module, links, list, metrics; several can live in one process."""

from __future__ import annotations

import os
import random
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ServerEndpoint

from milletsill.deployment_config import DeploymentConfig
from milletsill.errors import ListenFailed, MilletsillError
from milletsill.gateway.active_requests import AttemptEnded
from milletsill.gateway.scheduler_host import (
    HostCallbacks,
    SchedulerFactory,
    SchedulerHost,
)
from milletsill.gateway.stall_detection import STALL_CHECK_INTERVAL, earliest_arrival
from milletsill.interface import Endpoint, EndpointUpdateKind, Readiness, Request
from milletsill.logs import logger
from milletsill.node_connections.attempt_exchange import PooledExchange
from milletsill.node_connections.connection_pool import NodeConnectionPool
from milletsill.node_connections.pool_config import PoolConfig
from milletsill.registry.endpoint_view import Box
from milletsill.registry.registry_watcher import Follower
from milletsill.scheduler import Scheduler
from milletsill.sftp.extensions import Order
from milletsill.sftp_gateway import deployment
from milletsill.sftp_gateway.command_execution import CommandExecution, CommandPayload
from milletsill.sftp_gateway.errors import RestartRequired
from milletsill.sftp_gateway.incarnation import keep, next_incarnation
from milletsill.sftp_gateway.metrics import GatewayMetrics
from milletsill.sftp_gateway.routing import (
    FREE,
    AnswerLogLimiter,
    GatewayEvent,
    GatewayState,
    LocationCache,
    RoutedVolume,
    canonical,
    next_gateway_state,
    refusal_reason,
)
from milletsill.sftp_gateway.sftp_server import SftpClientConnection, SftpClientListener

LOOK_EVERY = 1.0  # seconds between looks at idle clients and the loop's lag


def monotonic() -> int:
    """Tenths of a millisecond, whole, rounded up: what is over is over."""
    return -(-time.monotonic_ns() // 100_000)


class SftpGateway:
    """One gateway. `make` is the module; the laboratory alone puts a baseline in its place."""

    def __init__(
        self,
        file: Any,
        reactor: Any,
        make: SchedulerFactory = Scheduler,
        now: Callable[[], int] = monotonic,
        log: Any = None,
    ) -> None:
        self.file, self.reactor, self.now = file, reactor, now
        self.log = log or logger(
            file.logging.level, file.logging.json, gateway=file.name
        )
        os.makedirs(file.state_dir, exist_ok=True)
        self.incarnation, complaint = next_incarnation(
            os.path.join(file.state_dir, "incarnation")
        )
        if complaint is not None:
            self.remark("incarnation_not_kept", **complaint.log_fields())
        self.metrics, self.answer_log_limiter = (
            GatewayMetrics(),
            AnswerLogLimiter(file.logging.answers_per_s),
        )
        self.state, self.routing_table = (
            GatewayState.STARTING,
            deployment.routing_table_of(file),
        )
        self.location_cache, self.pool_limits = (
            LocationCache(file.door.locations),
            deployment.pool_limits_of(file),
        )
        self.answer_margin = deployment.at_least(file.door.answer_margin_ms)
        self.pools: dict[int, NodeConnectionPool] = {}
        self.clients: set[SftpClientConnection] = set()
        self.request_count = self.object_count = self.key_count = 0
        config = deployment.config_of(file)
        seed = (
            file.seed
            if file.HasField("seed")
            else random.SystemRandom().getrandbits(63)
        )
        self.endpoint_watcher = Follower(
            reactor,
            now,
            file.registry,
            config.slow_start_duration,
            os.path.join(file.state_dir, "boxes.json"),
            self.listed,
            self.moved,
            lambda text: self.remark("list", reason=text),
            file.name,
            random.Random(f"{seed} list").uniform,
        )
        self.traces = self.tracer(config, seed) if file.HasField("trace") else None
        if self.traces is not None:
            make = self.traces.around(make)
        self.host = SchedulerHost(
            reactor,
            now,
            config,
            seed,
            make,
            HostCallbacks(
                start_attempt=self.carry,
                watch_endpoints=self.endpoint_watcher.ask,
                log=lambda text: self.remark("module", reason=text),
                count=self.metrics.note,
            ),
        )
        self.flows = self.exporter(seed) if file.HasField("flows") else None
        self.parts = self.planned(config, seed) if file.HasField("planner") else None
        self.fleet = self.among_others(seed) if file.HasField("fleet") else None
        self.health = (
            self.sharing(seed)
            if self.fleet is not None and file.fleet.HasField("health")
            else None
        )
        self.extensions: tuple[
            str, ...
        ] = ()  # of the door, beside those that always stand
        self.channels = (
            self.channelled(seed)
            if self.fleet is not None and file.fleet.HasField("channels")
            else None
        )
        self.ports: list[Any] = []
        self.stopped: list[Callable[[], None]] = []
        self.check_call: Any = None
        self.stall_check_call: Any = None
        self.last_stall_check, self.stalled_since = now(), None
        self.drain_deadline_call: Any = None
        self.failed = False

    def exporter(self, seed: int) -> Any:
        """Flow export; none of its code is loaded where the file does not ask for it."""
        from milletsill.flows.gateway_export import Flows

        return Flows(self.reactor, self.now, self.file, seed, self.remark)

    def tracer(self, config: DeploymentConfig, seed: int) -> Any:
        """Traces; none of their code is loaded where the file does not ask for them."""
        from milletsill.trace.gateway_trace import Traces

        return Traces(
            self.reactor,
            self.now,
            self.file,
            config,
            seed,
            self.incarnation,
            self.remark,
            self.metrics.registry,
        )

    def planned(self, config: DeploymentConfig, seed: int) -> Any:
        """Parts from a planner; none of their code is loaded where the file does not ask for them."""
        from milletsill.planner.quota_client import Parts

        return Parts(
            self.reactor,
            self.now,
            self.file,
            config,
            seed + 2,
            self.incarnation,
            self.host,
            self.remark,
            self.metrics.registry,
        )

    def among_others(self, seed: int) -> Any:
        """The fleet's view; none of its code is loaded where the file does not ask for it."""
        from milletsill.fleet.service import FleetService
        from milletsill.fleet.service_config import FleetCallbacks, FleetServiceConfig

        return FleetService(
            self.reactor,
            self.now,
            FleetServiceConfig.from_file(self.file, seed + 3, self.incarnation),
            FleetCallbacks(
                warn=self.remark,
                info=lambda event, **values: self.log.info(event, **values),
                store_incarnation=self.keep_run,
            ),
            self.metrics.registry,
        )

    def sharing(self, seed: int) -> Any:
        """Health that is shared; none of its code is loaded where the file does not ask for it."""
        from milletsill.fleet.health.health_sharing import sharing_of

        return sharing_of(self, seed + 5)

    def channelled(self, seed: int) -> Any:
        """Contracts on the order of channels; none of their code is loaded where the file does not ask for it."""
        from milletsill.sftp_gateway.channel_commands import EXTENSIONS, channels_of

        self.extensions = EXTENSIONS
        return channels_of(self, seed + 4)

    def keep_run(self, run: int) -> None:
        """The fleet knew a later run than this one: what leaves from now on has the new one, the next start goes past both. Guards
        boxes against names and tickets of a former run whose state was lost. Harm: what left before the fleet's word has the old.
        """
        self.incarnation = max(self.incarnation, run)
        complaint = keep(os.path.join(self.file.state_dir, "incarnation"), run)
        if complaint is not None:
            self.remark("incarnation_not_kept", **complaint.log_fields())

    # Life.

    def start(self) -> None:
        """Read the last list, open the doors."""
        if self.fleet is not None:
            try:
                self.fleet.start()
            except MilletsillError as error:
                return self.cannot(error)
        if self.health is not None:
            self.health.start()
        if self.channels is not None:
            self.channels.start()
        if self.flows is not None:
            self.flows.start()
        if self.traces is not None:
            self.traces.start()
        self.endpoint_watcher.start()
        if self.parts is not None:
            self.parts.start()
        self.step(GatewayEvent.LISTED)
        self.check_call = self.reactor.callLater(LOOK_EVERY, self.look, self.now())
        self.last_stall_check = self.now()
        self.stall_check_call = self.reactor.callLater(
            STALL_CHECK_INTERVAL / 10_000, self.beat
        )

    def beat(self) -> None:
        """Whether the process stood since the last beat: the sockets are read right after this."""
        now = self.now()
        since = earliest_arrival(
            now, self.last_stall_check + STALL_CHECK_INTERVAL, self.last_stall_check
        )
        if since is not None:
            self.stalled_since = since
            self.after_round(self.caught_up)
        self.last_stall_check = now
        self.stall_check_call = self.reactor.callLater(
            STALL_CHECK_INTERVAL / 10_000, self.beat
        )

    def unread_since(self) -> int | None:
        """Since when what is read now may have lain unread; None where it is as new as it looks. Asked at each read: a process that
        stood between a socket's being ready and its being read has had no beat yet.
        """
        since = earliest_arrival(
            self.now(),
            self.last_stall_check + STALL_CHECK_INTERVAL,
            self.last_stall_check,
        )
        return (
            self.stalled_since
            if since is None
            else min(since, since if self.stalled_since is None else self.stalled_since)
        )

    def caught_up(self) -> None:
        self.stalled_since = None

    def after_round(self, call: Callable[[], None]) -> None:
        """Once the sockets have been read: a timer of now comes before that, one set by it after."""
        self.reactor.callLater(0, self.reactor.callLater, 0, call)

    def step(self, event: GatewayEvent) -> None:
        """Read the table and act."""
        self.state, effect = next_gateway_state(self.state, event)
        if effect == "open":
            self.open()
        elif effect == "drain":
            self.log.info("draining", held=self.host.unanswered)
            if self.channels is not None:
                self.channels.drain()  # the fleet is told of the leave when its offices are given up
            elif self.fleet is not None:
                self.fleet.leave()
            self.close_ports()
            self.drain_deadline_call = self.reactor.callLater(
                self.file.door.drain_s, self.step, GatewayEvent.OVERDUE
            )
            self.emptied()
        elif effect == "stop":
            self.stop()

    def open(self) -> None:
        """Listen; an address that cannot be had ends the start with one line."""
        host, _, port = self.file.listen.rpartition(":")
        self.listen(host, int(port), SftpClientListener(self), "listening")
        if self.file.HasField("metrics"):
            host, _, port = self.file.metrics.rpartition(":")
            self.listen(host, int(port), self.metrics.page(), "metrics_listening")

    def cannot(self, error: MilletsillError) -> None:
        """The start is over before it began."""
        self.log.error("cannot_listen", **error.log_fields())
        self.state, self.failed = GatewayState.STOPPED, True
        self.stop()

    def listen(self, host: str, port: int, factory: Any, word: str) -> None:
        def up(got: Any) -> None:
            if (
                self.state is GatewayState.STOPPED
            ):  # another address could not be had meanwhile
                got.stopListening()
                return
            self.ports.append(got)
            self.log.info(
                word,
                address=f"{host}:{got.getHost().port}",
                incarnation=self.incarnation,
            )

        def not_up(failure: Any) -> None:
            self.cannot(ListenFailed(failure.getErrorMessage(), f"{host}:{port}"))

        TCP4ServerEndpoint(self.reactor, port, interface=host).listen(
            factory
        ).addCallbacks(up, not_up)

    def terminate(self) -> None:
        """SIGTERM: no new transfers, all held ones answered, then the end."""
        self.step(GatewayEvent.TERM)

    def reload(self, file: Any) -> None:
        """Another file for what a running gateway can change: bounds of the door, volumes, routes, logs. What the
        module was told at the start stands until a restart.
        """
        if (
            deployment.config_of(file) != self.host.config
            or file.name != self.file.name
            or file.listen != self.file.listen
            or (file.trace != self.file.trace or file.fleet != self.file.fleet)
        ):
            return self.remark(
                "file_refused",
                **RestartRequired(
                    "plans, categories, rules, name, address, traces or fleet are not those of the start"
                ).log_fields(),
            )
        self.file, self.routing_table, self.answer_margin = (
            file,
            deployment.routing_table_of(file),
            deployment.at_least(file.door.answer_margin_ms),
        )
        self.answer_log_limiter = AnswerLogLimiter(file.logging.answers_per_s)
        self.log = logger(file.logging.level, file.logging.json, gateway=file.name)
        self.log.info("reloaded", volumes=len(file.volume), routes=len(file.route))

    def emptied(self) -> None:
        if (
            self.state is GatewayState.DRAINING
            and not self.host.unanswered
            and not (self.channels is not None and self.channels.held)
        ):
            self.reactor.callLater(0, self.step, GatewayEvent.EMPTY)

    def close_ports(self) -> None:
        ports, self.ports = self.ports, []
        for each in ports:
            each.stopListening()

    def stop(self) -> None:
        """Cut everything that is left."""
        self.state = GatewayState.STOPPED
        self.log.info("stopped", held=self.host.unanswered)
        self.close_ports()
        self.endpoint_watcher.stop()
        if self.channels is not None:
            self.channels.stop()
        for client in list(self.clients):
            client.transport.loseConnection()
        self.host.stop()
        for pool in self.pools.values():
            pool.abort()
        if self.flows is not None:
            self.flows.stop()
        if self.traces is not None:
            self.traces.stop()
        if self.parts is not None:
            self.parts.stop()
        if self.health is not None:
            self.health.stop()
        if self.fleet is not None:
            self.fleet.stop()
        for call in (self.check_call, self.drain_deadline_call, self.stall_check_call):
            if call is not None and call.active():
                call.cancel()
        for each in self.stopped:
            each()

    def look(self, since: int) -> None:
        """Once a second: idle clients, the loop's lag, gauges."""
        now = self.now()
        self.metrics.lag.observe(max(now - since - LOOK_EVERY * 10_000, 0) / 10_000)
        self.metrics.held.set(self.host.unanswered)
        self.metrics.clients.set(len(self.clients))
        if self.traces is not None:
            self.traces.look()
        if self.parts is not None:
            self.parts.look()
        idle = deployment.at_least(self.file.door.idle_s * 1000)
        for client in list(self.clients):
            client.tick(idle)
        self.check_call = self.reactor.callLater(LOOK_EVERY, self.look, now)

    # The list.

    def listed(self, news: EndpointUpdateKind, entries: list[Endpoint]) -> None:
        self.metrics.news.labels(news.value).inc()
        self.host.on_endpoints(news, entries)
        if self.health is not None:
            self.health.listed(news, entries)
        if self.parts is not None:
            self.parts.listed(entries)

    def moved(self, boxes: list[Box]) -> None:
        """Links follow the list: a new address gets a pool of its own, a box that left loses its."""
        self.metrics.boxes.set(len(boxes))
        for box in boxes:
            pool = self.pools.get(box.id)
            if pool is None or pool.address != box.address:
                if pool is not None:
                    pool.close()
                pool = self.pools[box.id] = NodeConnectionPool(
                    self.reactor,
                    self.now,
                    PoolConfig(
                        box.address,
                        self.pool_limits,
                        self.file.name,
                        self.incarnation,
                        self.file.links.most_packet,
                    ),
                    lambda text, id=box.id: self.remark("link", box=id, reason=text),
                    metered=self.flows.box(box.id, box.address)
                    if self.flows is not None
                    else None,
                )
            pool.set_unavailable(box.readiness is not Readiness.READY)
        for id in self.pools.keys() - {each.id for each in boxes}:
            self.pools.pop(id).close()

    def carry(
        self,
        cargo: CommandPayload,
        arrival: Request,
        number: int,
        node: int,
        ends: int,
        ended: AttemptEnded,
    ) -> PooledExchange | None:
        """A dispatch as an order to a disk box."""
        pool = self.pools.get(node)
        if pool is None:
            return None
        gate = cargo.attempt_guard
        if gate is not None:
            if not gate.may_send():
                return None
            ended = gate.count_dispatch(ended)
        left = max((arrival.deadline - self.now()) // 10, 1)
        return pool.send_attempt(
            Order(
                self.file.name,
                self.incarnation,
                arrival.id,
                number,
                arrival.units,
                arrival.key,
                left,
                cargo.ticket,
                arrival.volume,
                arrival.sharing_gateways,
                cargo.category,
                cargo.mark,
                cargo.command,
            ),
            ended,
            gate,
        )

    # The clients.

    def connected(self, client: SftpClientConnection) -> bool:
        """Whether one more client is taken."""
        if (
            len(self.clients) >= self.file.door.most_connections
            or self.state is not GatewayState.SERVING
        ):
            self.remark("client_not_taken", clients=len(self.clients))
            return False
        self.clients.add(client)
        return True

    def disconnected(self, client: SftpClientConnection) -> None:
        self.clients.discard(client)
        self.emptied()

    def refusal(self, ends: int) -> str:
        """Why a command cannot be taken now; '' for none."""
        return refusal_reason(
            self.state,
            self.host.unanswered,
            self.file.door.most_held,
            ends - self.now(),
        )

    def told(self, running: CommandExecution, final: str, why: str) -> None:
        """A command has its answer: counted, and now and then said."""
        now, name = self.now(), self.category_name(running.category)
        self.metrics.child(self.metrics.answers, name, final).inc()
        self.metrics.child(self.metrics.latency, name).observe(
            (now - running.began) / 10_000
        )
        if self.traces is not None:
            self.traces.command(
                now,
                running.began,
                running.volume.name,
                running.volume.plan,
                running.category,
                running.operation,
                self.routing_table.units(running.operation, running.size),
                running.legs,
                running.terms.tries,
                final,
                why,
            )
        passed = self.answer_log_limiter.take(now)
        if passed is not None:
            self.log.info(
                "answer",
                final=final,
                why=why,
                category=name,
                volume=running.volume.name,
                operation=running.operation,
                ms=(now - running.began) / 10,
                legs=running.legs,
                tries=running.terms.tries,
                unsaid=passed,
            )
        self.emptied()

    def remark(self, event: str, **values: Any) -> None:
        self.log.warning(event, **values)

    # Names and numbers.

    def canonical(self, path: str) -> str:
        return canonical(path)

    def renames(self, volume: RoutedVolume, path: str, target: str) -> bool:
        """Whether a rename can be done: by links, or within one cell."""
        return volume.placement == FREE or self.routing_table.home(
            volume, path
        ) == self.routing_table.home(volume, target)

    def plan_name(self, volume: RoutedVolume) -> str:
        return self.file.plan[volume.plan].name

    def category_name(self, place: int) -> str:
        return self.host.config.request_classes[place].name

    def next_transfer(self) -> int:
        self.request_count += 1
        return self.request_count

    def object_name(self) -> str:
        """A name on a box that no other gateway or run gives."""
        self.object_count += 1
        return f"#{self.file.name}.{self.incarnation}.{self.object_count}"

    def mark(self) -> str:
        self.key_count += 1
        return f"{self.file.name}.{self.incarnation}.{self.key_count}"
