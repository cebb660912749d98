"""The gateway on the platform as one object: door, host of the module, links, list, tallies."""

from __future__ import annotations

import resource
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.gateway.scheduler_host import (
    HostCallbacks,
    SchedulerFactory,
    SchedulerHost,
)
from milletsill.http1.message import HttpMessage
from milletsill.http_gateway.configuration import (
    Deployment,
    GatewayConfigurationRejected,
)
from milletsill.http_gateway.endpoint_watcher import Follower
from milletsill.http_gateway.endpoints import Place
from milletsill.http_gateway.gateway_limits import (
    ANSWER_MARGIN,
    UNTOLD_DIAL,
    UNTOLD_IDLE,
    Event,
    Octets,
    Process,
    Spent,
    ends_of,
    pass_on,
    shares_of,
)
from milletsill.http_gateway.http_server import Client, Clients
from milletsill.http_gateway.node_connections import Fleet, Sending
from milletsill.http_gateway.request_parser import (
    Cargo,
    Categories,
    InvalidRequest,
    cargo_of,
)
from milletsill.interface import EndpointUpdateKind, Request
from milletsill.scheduler import Scheduler

LOOK_EVERY, TALLY_EVERY = 0.1, 5.0  # seconds
MOST_REMARKS = 20  # lines between two tallies
BACKLOG = 512
READY, LIVE = b"/health/ready", b"/health/live"


class Gateway:
    """One gateway. `log` takes an event and its values."""

    def __init__(
        self,
        deployment: Deployment,
        reactor: Any,
        now: Callable[[], int],
        clock: int,
        log: Any,
        make: SchedulerFactory = Scheduler,
    ) -> None:
        self.deployment, self.reactor, self.now, self.log = (
            deployment,
            reactor,
            now,
            log,
        )
        self.process, self.keeps = Process.STARTING, True
        self.answers_by: int | None = None  # once it leaves
        self.ends = list[tuple[int, Event]]()  # its steps then
        self.tally = Counter[tuple[str, str]]()
        self.remarks = 0
        config = deployment.config
        self.pause = config.max_retry_after if config.sends_retry_after else 0
        shares = shares_of(deployment.sockets)
        self.categories = Categories(config)
        self.clients = Clients(self, shares.clients)
        self.octets, self.spent = Octets(deployment.memory_mb), Spent()
        self.fleet = Fleet(
            reactor,
            now,
            shares.links,
            self.octets,
            config.dial_timeout or UNTOLD_DIAL,
            config.connection_idle_timeout or UNTOLD_IDLE,
            self.note,
        )
        self.follower = Follower(
            reactor,
            now,
            deployment.discovery,
            config.zone_names or (),
            clock,
            self.listed,
            lambda text: self.remark("list", reason=text),
            Random(f"{deployment.seed} list").uniform,
            deployment.grace,
        )
        self.host = SchedulerHost(
            reactor,
            now,
            config,
            deployment.seed,
            make,
            HostCallbacks(
                start_attempt=self.carry,
                watch_endpoints=self.follower.ask,
                log=lambda text: self.remark("module", reason=text),
                count=self.note,
            ),
        )
        self.port: Any = None
        self.stopped: Callable[[], None] = lambda: None
        self.calls: list[Any] = []
        self.late = 0

    # Life.

    def start(self) -> None:
        """Take the list as it was known, open the door. An error of the address is the caller's."""
        if self.deployment.known is not None:
            self.follower.known(self.deployment.known)
        self.follower.ask()
        host, port = self.deployment.listen
        self.port = self.clients.port = self.reactor.listenTCP(
            port, self.clients, BACKLOG, host
        )
        self.clients.ration()
        self.step(Event.UP)
        self.log.info(
            "listening",
            address=f"{host}:{self.port.getHost().port}",
            sockets=self.deployment.sockets,
        )
        self.look(self.now())
        self.tell_tally()

    def step(self, event: Event) -> None:
        """Read the table and act."""
        self.process, effect = pass_on(self.process, event)
        if effect == "leave":
            self.log.info("leaving", held=self.host.unanswered)
            ends = ends_of(
                max(
                    each.client_timeout
                    for each in self.deployment.config.request_classes
                )
            )
            self.ends = [(self.now() + within, each) for within, each in ends]
            self.answers_by = self.ends[0][0]
            self.go_on()
        elif effect == "shut":
            self.keeps = False
        elif effect == "drain":
            self.port.stopListening()  # not sooner: it resets what waits before the door
            self.emptied()
            for client in list(self.clients.open):
                client.leave()
        elif effect == "stop":
            self.stop()

    def go_on(self) -> None:
        """The steps after SIGTERM, in order, each when it is due."""
        while self.ends and self.ends[0][0] <= self.now():
            _, event = self.ends.pop(0)
            self.step(event)
            if event is Event.SHUT:
                return self.later(0, self.end_all)
        if self.ends:
            self.later(self.ends[0][0] - self.now(), self.go_on)

    def end_all(self) -> None:
        """The end of what is held once shut. In the turn behind it: guards answers that came in time against a process that stood
        still, where timers go before what lies in the sockets. Harm: one turn of the loop, of what is left before the kill.
        """
        self.host.fail_all()  # taken before SIGTERM by a client that would wait until after the earliest kill
        self.go_on()

    def later(self, span: int, call: Callable[..., None], *values: Any) -> None:
        self.calls.append(self.reactor.callLater(span / 10_000, call, *values))

    def terminate(self) -> None:
        """SIGTERM: what was taken is answered, then the end."""
        self.step(Event.TERM)

    def emptied(self) -> None:
        """Away as soon as no client is left: until then answers are being taken, or requests may come unread."""
        if self.process is Process.DRAINING and not self.clients.open:
            self.later(0, self.step, Event.EMPTY)

    def stop(self) -> None:
        self.process = Process.STOPPED
        self.tell_tally()
        self.log.info("stopped", held=self.host.unanswered)
        self.host.stop()
        self.follower.stop()
        self.fleet.stop()
        for client in list(self.clients.open):
            client.transport.loseConnection()
        for call in self.calls:
            if call.active():
                call.cancel()
        self.stopped()

    def reload(self, deployment: Deployment) -> None:
        """Another configuration: discovery's address moves; what the module was told at its start stands."""
        self.follower.move(deployment.discovery)
        if (
            deployment.config != self.deployment.config
            or deployment.listen != self.deployment.listen
        ):
            self.remark(
                "configuration",
                **GatewayConfigurationRejected(
                    "settings or address are not those of the start"
                ).log_fields(),
            )
        self.log.info("reloaded", discovery="%s:%d" % deployment.discovery)

    def look(self, since: int) -> None:
        """Ten times a second: connections, links, the watch, the loop's lateness."""
        now = self.now()
        self.late = max(self.late, now - since - int(LOOK_EVERY * 10_000))
        self.clients.look(self.clients.paused)
        self.fleet.look()
        self.follower.look()
        if self.process is not Process.STOPPED:
            self.calls = [each for each in self.calls if each.active()]
            self.calls.append(self.reactor.callLater(LOOK_EVERY, self.look, now))

    # The list.

    def listed(self, kind: EndpointUpdateKind, places: Sequence[Place]) -> None:
        if kind is not EndpointUpdateKind.FAILED:
            self.fleet.listed(kind is not EndpointUpdateKind.DELTA, places)
        self.note("list", kind.value)
        self.host.on_endpoints(kind, [each.listed for each in places])

    # The clients.

    def asked(self, client: Client, message: HttpMessage) -> None:
        """One whole request."""
        path = message.target.partition(b"?")[0]
        if path in (READY, LIVE) and message.method == b"GET":
            client.answer(
                200 if path == LIVE or self.process is Process.SERVING else 503, b""
            )
            return None
        try:
            arrival = self.categories.arrival(
                message, self.now(), ANSWER_MARGIN, self.answers_by
            )
            if arrival.id in self.host.active or self.spent.known(
                arrival.id, self.now()
            ):
                raise InvalidRequest(409, "x-txn is another's open one")
        except InvalidRequest as error:
            return client.refuse(error.status, str(error))
        # Once shut, whatever the clocks say: what is sent on then has nobody left to hear its answer. Harm: none, all is refused.
        if (
            not self.keeps
            or arrival.deadline <= self.now()
            or self.host.unanswered
            >= (self.deployment.config.max_queued_requests or BACKLOG)
        ):
            self.note("answer", "too late or too many")
            return client.turn_away(self.pause)
        if client.has_gone():
            return self.note("arrival", "its client has left")
        client.busy(arrival.id)
        self.spent.take(arrival.id, arrival.deadline, self.now())
        self.note("arrival", "repeat" if arrival.is_retry else "first")
        self.host.take(arrival, client, cargo_of(message))

    def carry(
        self,
        cargo: Cargo,
        arrival: Request,
        number: int,
        node: int,
        ends: int,
        ended: AttemptEnded,
    ) -> Sending | None:
        return self.fleet.carry(cargo, node, ends, ended)

    def abandoned(self, transfer: int) -> None:
        self.note("answer", "abandoned")
        self.host.cancel_request(transfer)

    def left(self, client: Client) -> None:
        self.clients.left(client)
        self.emptied()

    # What is said.

    def note(self, what: str, *values: Any) -> None:
        """Count an event by name and its first value."""
        self.tally[what, str(values[0])[:60] if values else ""] += 1

    def remark(self, event: str, **values: Any) -> None:
        self.remarks += 1
        if self.remarks <= MOST_REMARKS:
            self.log.warning(event, **values)

    def tell_tally(self) -> None:
        """Now and then: counts by cause, and of each node in use what the module believes beside what the sockets show."""
        counts = {
            " ".join(filter(None, each)): count
            for each, count in sorted(self.tally.items())
        }
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.log.info(
            "tally",
            held=self.host.unanswered,
            clients=len(self.clients.open),
            links=self.fleet.open,
            late_ms=self.late / 10,
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            peak_mb=usage.ru_maxrss // 1024,
            unsaid=max(self.remarks - MOST_REMARKS, 0),
            **counts,
        )
        self.tally.clear()
        self.late = self.remarks = 0
        scheduler = self.host.scheduler
        nodes = scheduler.state.nodes if isinstance(scheduler, Scheduler) else {}
        for number, there in self.fleet.nodes.items():
            node = nodes.get(number)
            if node is not None and (
                there.links or there.waiting or node.by_key or node.failures
            ):
                self.log.info(
                    "node",
                    id=there.name,
                    health=node.health.name,
                    out=len(node.in_flight),
                    held=len(node.by_key),
                    window=round(node.window, 1),
                    lapses=node.failures,
                    latency_ms=round((node.latency or 0) / 10),
                    pace_ms=round(node.pace / 10),
                    best_ms=round(node.best_pace / 10),
                    links=len(there.links),
                    free=len(there.free),
                    waiting=len(there.waiting),
                )
        if self.process is not Process.STOPPED:
            self.calls.append(self.reactor.callLater(TALLY_EVERY, self.tell_tally))
