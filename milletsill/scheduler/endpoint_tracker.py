"""The nodes of the endpoint list, and the watch on it (rule 3 in docs/design.md)."""

from collections.abc import Sequence

from milletsill.interface import Endpoint, EndpointUpdateKind, Readiness
from milletsill.scheduler.constants import (
    INITIAL_WINDOW,
    NEVER,
    REWATCH_MAX,
    REWATCH_STEP,
)
from milletsill.scheduler.outlier_detection import OutlierDetection
from milletsill.scheduler.records import StorageNode
from milletsill.scheduler.slow_start import WINDOW_MARGIN_TICKS, SlowStart
from milletsill.scheduler.state import SchedulerState
from milletsill.scheduler.transitions import NodeEvent, NodeHealth, TimerToken


class EndpointTracker:
    """Tracks the nodes of the endpoint list, and for a while those that left it.

    Attributes:
        failed_watches: the number of watches requested since one last brought an
            update.
    """

    def __init__(
        self, state: SchedulerState, outliers: OutlierDetection, slow_start: SlowStart
    ) -> None:
        self._state = state
        self._outliers = outliers
        self._slow_start = slow_start
        self.failed_watches = 0

    def start(self) -> None:
        """Request the list if the deployment does not push it."""
        if self._state.config.watches_endpoints:
            self._renew_watch()

    def on_endpoints(
        self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Process an update of the list."""
        if kind is EndpointUpdateKind.FAILED:
            self._schedule_watch(now)
            return
        self.failed_watches = int(kind is EndpointUpdateKind.CACHED)
        for endpoint in endpoints:
            self._on_endpoint(endpoint, now)
        if kind is not EndpointUpdateKind.DELTA:
            self._remove_missing(endpoints, now)
        self._index_nodes()
        self._evict_departed_nodes(now)

    def on_watch_timer(self) -> None:
        """Request the list again."""
        self._renew_watch()

    def _renew_watch(self) -> None:
        self.failed_watches += 1
        self._state.effects.watch_endpoints()

    def _schedule_watch(self, now: int) -> None:
        """Renew a failed watch, quickly at first and then more slowly.

        The pause starts short so that two consecutive failures still leave time to
        renew the watch within `rewatch_within`. It grows so that a slow list server is
        not overloaded.
        """
        state = self._state
        span = state.config.rewatch_within or state.longest_client_timeout
        share = min(REWATCH_STEP * self.failed_watches, REWATCH_MAX)
        pause = span * share * state.random.uniform(0.5, 1)
        state.effects.set_timer(now + int(pause), TimerToken.RENEW_WATCH)

    def _on_endpoint(self, endpoint: Endpoint, now: int) -> None:
        state = self._state
        node = state.nodes.get(endpoint.node)
        started_at = endpoint.started_at
        has_started = started_at is not None and (
            node is None or started_at != node.started_at
        )
        if node is None:
            node = StorageNode(endpoint, max(INITIAL_WINDOW, state.min_window))
            state.nodes[endpoint.node] = node
        node.shard = endpoint.shard
        node.zone = endpoint.zone
        node.started_at = started_at
        has_size = state.config.has_nominal_sizes and 0 < endpoint.size < NEVER
        node.size = endpoint.size if has_size else 1
        if has_started:
            self._slow_start.on_node_start(node, endpoint, now)
        event = NodeEvent.RESTARTED if has_started else NodeEvent.READY
        if endpoint.readiness is not Readiness.READY:
            event = NodeEvent.NOT_READY
        self._outliers.on_node_event(node, event, now)

    def _remove_missing(self, endpoints: Sequence[Endpoint], now: int) -> None:
        nodes = self._state.nodes
        for missing in sorted(nodes.keys() - {each.node for each in endpoints}):
            self._outliers.on_node_event(nodes[missing], NodeEvent.NOT_READY, now)

    def _index_nodes(self) -> None:
        state = self._state
        state.serving = [
            node
            for node in state.nodes.values()
            if node.health is not NodeHealth.UNAVAILABLE
        ]
        state.shards = {}
        for node in state.serving:
            state.shards.setdefault(node.shard, []).append(node)

    def _evict_departed_nodes(self, now: int) -> None:
        """Evict nodes that left the list and did not come back.

        This bounds the memory of a gateway that runs for months. A node that returns
        counts as new: it warms up if the list gives its start time. Eviction is safe
        once everything that was sent to the node has left the slow-start window.
        """
        state = self._state
        window = state.config.slow_start_window + WINDOW_MARGIN_TICKS
        kept_for = max(state.idle_timeout, window)
        for node in list(state.nodes.values()):
            is_gone = (
                node.health is NodeHealth.UNAVAILABLE
                and not node.in_flight
                and not node.by_key
            )
            if is_gone and now > node.unavailable_since + kept_for:
                del state.nodes[node.id]
