"""The endpoint list of one gateway, fed by a faulty simulated registry.

It runs the real registry watcher (`milletsill.registry`) on a simulated clock. At the
end, the watcher's view and the endpoints notified to the scheduler must equal the
registry's list, and no change may have been notified twice or out of order.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from types import SimpleNamespace

from twisted.internet.task import Clock

from milletsill.interface import Endpoint, EndpointUpdateKind, Readiness
from milletsill.lab.hunt.simulated_registry import KEY_PREFIX, SimulatedRegistry
from milletsill.registry.registered_node import RegisteredNode
from milletsill.registry.registry_watcher import (
    RegistryCallbacks,
    RegistryConfig,
    RegistryWatcher,
)

WATCHER_CONFIG = RegistryConfig(
    address="127.0.0.1:1",
    prefix=KEY_PREFIX,
    gateway="g",
    call_timeout=1.0,
    connect_timeout=0.5,
    max_line=1 << 22,
    max_nodes=1024,
    warm_after=0,
    cache_path="list",
)
MIN_RETRY = 0.3  # seconds from a failure to the next watch request
MAX_RETRY = 2.0  # seconds


class NotifiedEndpoints:
    """The endpoints notified to the scheduler; checks that each change is new.

    Attributes:
        endpoints: the present endpoints, by node.
        removed: the write that removed each node, since the last whole list.
        failure: the first change that was notified twice or out of order.
    """

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self.removed: dict[int, float] = {}
        self.failure: str | None = None

    def clear(self) -> None:
        """Remove all endpoints, but keep the first failure."""
        self.endpoints = {}
        self.removed = {}

    def replace(self, endpoints: Sequence[Endpoint]) -> None:
        """Replace all endpoints by a whole list."""
        self.endpoints = {endpoint.node: endpoint for endpoint in endpoints}
        self.removed = {}

    def change(self, endpoint: Endpoint) -> None:
        """Apply one change and check that it is newer than what is known."""
        known = self.endpoints.get(endpoint.node)
        is_gone = endpoint.readiness is Readiness.GONE
        newest = max(
            known.size if known is not None and not is_gone else 0,
            self.removed.get(endpoint.node, 0),
        )
        is_older = is_gone and known is not None and endpoint.size < known.size
        if endpoint.size <= newest or is_older:
            order = "twice" if endpoint.size == newest else "out of order"
            self.failure = (
                self.failure
                or f"write {endpoint.size:.0f} of node {endpoint.node}"
                f"{' (removed)' * is_gone} was notified {order}"
            )
        if is_gone:
            self.removed[endpoint.node] = endpoint.size
            self.endpoints.pop(endpoint.node, None)
        else:
            self.endpoints[endpoint.node] = endpoint


class EndpointListSimulation:
    """A registry, the gateway's watcher, and the endpoints notified by it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.clock = Clock()
        self.registry = SimulatedRegistry(seed, self.clock)
        self.notified = NotifiedEndpoints()
        self.incarnation = 0
        self.watcher = self._start_watcher()

    def restart_gateway(self) -> None:
        """Restart the gateway with its cached list."""
        self.watcher.stop()
        self.watcher = self._start_watcher()

    def _start_watcher(self) -> RegistryWatcher:
        self.incarnation += 1
        self.notified.clear()
        incarnation = self.incarnation
        random = Random(self.seed * 1000 + incarnation)
        self._uniform = random.uniform

        def on_endpoints(
            kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
        ) -> None:
            if incarnation == self.incarnation:
                self._on_endpoints(kind, endpoints)

        watcher = RegistryWatcher(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            WATCHER_CONFIG,
            RegistryCallbacks(on_endpoints, lambda nodes: None, lambda text: None),
            random.uniform,
            self.clock.seconds,
        )
        agent = SimpleNamespace(request=self.registry.request)
        watcher.client.agent = agent
        watcher.start()
        return watcher

    def _on_endpoints(
        self, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Handle an update as the scheduler does."""
        if kind is EndpointUpdateKind.FAILED:
            delay = self._uniform(MIN_RETRY, MAX_RETRY)
            self.clock.callLater(delay, self._request_watch, self.incarnation)
            return
        if kind is EndpointUpdateKind.DELTA:
            for endpoint in endpoints:
                self.notified.change(endpoint)
            return
        self.notified.replace(endpoints)
        if kind is EndpointUpdateKind.CACHED:
            self.clock.callLater(0, self._request_watch, self.incarnation)

    def _request_watch(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.watcher.request_watch()

    def run_until(self, end: float) -> None:
        """Advance the clock to `end` seconds, stopping at the time of each due call."""
        while calls := self.clock.calls:
            first = min(call.getTime() for call in calls)
            if first > end:
                break
            self.clock.advance(max(first - self.clock.seconds(), 0))
        self.clock.advance(max(end - self.clock.seconds(), 0))

    def find_failure(self) -> str | None:
        """Return the failed check after the fault-free period, or None."""
        if self.notified.failure:
            return self.notified.failure
        registered = self.registry.nodes()
        seen = self.watcher.view.by_key
        if seen != registered:
            return (
                f"the watcher's view is {sizes_by_key(seen)}, "
                f"the registry has {sizes_by_key(registered)}"
            )
        notified = {
            endpoint.node: endpoint.size
            for endpoint in self.notified.endpoints.values()
        }
        truth = {node.id: node.size for node in registered.values() if node}
        if notified != truth:
            return f"the scheduler was notified of {notified}, the registry has {truth}"
        return None


def sizes_by_key(nodes: Mapping[str, RegisteredNode | None]) -> dict[str, int]:
    """Return the number of the last write of each key, stored as the node's size."""
    return {key: int(node.size) for key, node in sorted(nodes.items()) if node}


REGISTRY_FAULTS: dict[str, Callable[..., None]] = {
    "put": SimulatedRegistry.put,
    "delete": SimulatedRegistry.delete,
    "swap": SimulatedRegistry.swap,
    "flood": SimulatedRegistry.flood,
    "compact": SimulatedRegistry.compact,
    "backup": SimulatedRegistry.back_up,
    "restore": SimulatedRegistry.restore,
    "cut": SimulatedRegistry.cut_calls,
    "silence": SimulatedRegistry.silence_calls,
    "progress": SimulatedRegistry.send_progress,
    "gone_for": SimulatedRegistry.become_unavailable,
}
GATEWAY_RESTART = "restart"


def apply_fault(
    simulation: EndpointListSimulation, kind: str, values: tuple[object, ...]
) -> None:
    """Apply one event now."""
    if kind == GATEWAY_RESTART:
        simulation.restart_gateway()
    else:
        REGISTRY_FAULTS[kind](simulation.registry, *values)
