"""The nodes that the registry last listed, one for each id; no I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import islice

from milletsill.interface import Endpoint, Readiness
from milletsill.registry.registered_node import RegisteredNode

# Keys without a node that are remembered; further ones are not counted.
MAX_KEYS_WITHOUT_NODE = 1 << 16
TICKS_PER_MS = 10


@dataclass(frozen=True, slots=True)
class KeyChange:
    """One change of a key.

    Attributes:
        key: The key.
        node: The node that it describes now; None if the key is deleted or invalid.
        revision: The revision of the change.
        invalid: Whether the key exists with a value that does not describe a node.
    """

    key: str
    node: RegisteredNode | None
    revision: int
    invalid: bool = False


class EndpointView:
    """Nodes by key, at one revision of the registry.

    The view holds at most `max_nodes`; further ones are dropped and counted in
    `overflow`. Times are tenths of a millisecond.
    """

    def __init__(self, max_nodes: int, warm_after: int) -> None:
        self.max_nodes = max_nodes
        self.warm_after = warm_after
        self.by_key: dict[str, RegisteredNode] = {}
        self.revision = 0
        self.overflow = 0
        # Node id -> its start, in ms of the wall clock and on this process's clock.
        self.starts: dict[int, tuple[int, int]] = {}
        # Keys of the registry that have no node in the view.
        self.keys_without_node: set[str] = set()

    def replace(
        self,
        nodes: Mapping[str, RegisteredNode],
        revision: int,
        keys: Iterable[str] = (),
    ) -> None:
        """Replace the view with a complete list.

        Args:
            nodes: The nodes by key.
            revision: The revision of the list.
            keys: All keys of the registry, including those without a valid node.
        """
        kept = list(nodes.items())[: self.max_nodes]
        self.overflow = len(nodes) - len(kept)
        self.by_key = dict(kept)
        self.revision = revision
        known = set(islice(keys, MAX_KEYS_WITHOUT_NODE))
        self.keys_without_node = known - self.by_key.keys()

    def key_count(self) -> int:
        """Return how many keys the registry has according to this view."""
        return len(self.by_key) + len(self.keys_without_node)

    def apply(self, changes: Sequence[KeyChange]) -> list[RegisteredNode]:
        """Apply changes in order and return the final state of each changed node.

        A removed node is returned with readiness GONE. A change that the view already
        contains is skipped; the registry may repeat it after a reconnect.
        """
        changed: dict[int, RegisteredNode] = {}
        for change in changes:
            if change.revision > self.revision:
                self._apply_one(change, changed)
        self.revision = max([self.revision, *(each.revision for each in changes)])
        return list(changed.values())

    def _apply_one(self, change: KeyChange, changed: dict[int, RegisteredNode]) -> None:
        key = change.key
        old = self.by_key.get(key)
        if change.invalid:
            self._add_key_without_node(key)
        elif change.node is None:
            self.keys_without_node.discard(key)
            if old is not None:
                del self.by_key[key]
                changed.update(self._gone(old))
        elif old is not None or len(self.by_key) < self.max_nodes:
            self.by_key[key] = change.node
            self.keys_without_node.discard(key)
            if old is not None and old.id != change.node.id:
                changed.update(self._gone(old))
            changed[change.node.id] = change.node
        else:
            self.overflow += 1
            self._add_key_without_node(key)

    def _add_key_without_node(self, key: str) -> None:
        """Remember a key that has no node in the view."""
        if key in self.by_key or len(self.keys_without_node) >= MAX_KEYS_WITHOUT_NODE:
            return
        self.keys_without_node.add(key)

    def _gone(self, old: RegisteredNode) -> dict[int, RegisteredNode]:
        """Return a removed node as GONE, unless another key still describes it."""
        if any(node.id == old.id for node in self.by_key.values()):
            return {}
        return {old.id: replace(old, readiness=Readiness.GONE)}

    def nodes(self) -> list[RegisteredNode]:
        """Return all nodes; if two keys describe one id, the later key's node."""
        return list({node.id: node for node in self.by_key.values()}.values())

    def endpoints(
        self, nodes: Iterable[RegisteredNode], now: int, wall_ms: int
    ) -> list[Endpoint]:
        """Return nodes as the scheduler's endpoints.

        Args:
            nodes: The nodes to convert.
            now: This process's clock.
            wall_ms: The wall clock in milliseconds.
        """
        return [
            Endpoint(
                node.id,
                node.readiness,
                node.size,
                node.kind,
                node.zone,
                self.started_at(node, now, wall_ms),
                node.shard,
            )
            for node in nodes
        ]

    def started_at(self, node: RegisteredNode, now: int, wall_ms: int) -> int | None:
        """Return when a node started, on this process's clock; None if it is warm.

        The start is converted to this process's clock once, when the node is first
        listed, so that a step of the wall clock does not look like a restart.
        """
        known = self.starts.get(node.id)
        if known is None or known[0] != node.started_ms:
            age = (wall_ms - node.started_ms) * TICKS_PER_MS
            known = (node.started_ms, min(now - age, now))
            self.starts[node.id] = known
            if len(self.starts) > 2 * self.max_nodes:
                self.starts.pop(next(iter(self.starts)))
        _, started_at = known
        if not node.started_ms or started_at <= now - self.warm_after:
            return None
        return started_at
