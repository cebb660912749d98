"""What the registry last listed: one node for each id. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import islice

from milletsill.interface import Endpoint, Readiness
from milletsill.registry.registered_node import RegisteredNode

# Keys that are kept in mind without a node.
MAX_KEYS_WITHOUT_NODE = 1 << 16
TICKS_PER_MS = 10


@dataclass(frozen=True, slots=True)
class KeyChange:
    """One change of a key.

    Attributes:
        key: the key.
        node: what it describes now, None where it is gone.
        revision: the revision that made the change.
        invalid: whether it is there with a value that describes no node.
    """

    key: str
    node: RegisteredNode | None
    revision: int
    invalid: bool = False


class EndpointView:
    """Nodes by key, and the revision they are at.

    Bounded: of a registry that lists more than `max_nodes`, those past it are left out
    and counted in `overflow`. Times are tenths of a millisecond.
    """

    def __init__(self, max_nodes: int, warm_after: int) -> None:
        self.max_nodes = max_nodes
        self.warm_after = warm_after
        self.by_key: dict[str, RegisteredNode] = {}
        self.revision = 0
        self.overflow = 0
        # Node id -> its start on the wall clock in ms, and on this process's clock.
        self.starts: dict[int, tuple[int, int]] = {}
        # Keys that the registry has and of which there is no node here.
        self.keys_without_node: set[str] = set()

    def replace(
        self,
        nodes: Mapping[str, RegisteredNode],
        revision: int,
        keys: Iterable[str] = (),
    ) -> None:
        """Take the whole list as at a revision.

        `keys` are all that the registry has.
        """
        kept = list(nodes.items())[: self.max_nodes]
        self.overflow = len(nodes) - len(kept)
        self.by_key = dict(kept)
        self.revision = revision
        known = set(islice(keys, MAX_KEYS_WITHOUT_NODE))
        self.keys_without_node = known - self.by_key.keys()

    def key_count(self) -> int:
        """Return how many keys the registry has, as far as this view was told."""
        return len(self.by_key) + len(self.keys_without_node)

    def apply(self, changes: Sequence[KeyChange]) -> list[RegisteredNode]:
        """Apply changes in order and return what they leave of each node.

        A node that is gone is marked so. A change that the view already holds (told
        twice after a break) is passed over.
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
            self._keep_key(key)
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
            self._keep_key(key)

    def _keep_key(self, key: str) -> None:
        """Keep a key in mind of which there is no node here."""
        if key in self.by_key or len(self.keys_without_node) >= MAX_KEYS_WITHOUT_NODE:
            return
        self.keys_without_node.add(key)

    def _gone(self, old: RegisteredNode) -> dict[int, RegisteredNode]:
        """Return a node whose key is gone, unless another key describes it."""
        if any(node.id == old.id for node in self.by_key.values()):
            return {}
        return {old.id: replace(old, readiness=Readiness.GONE)}

    def nodes(self) -> list[RegisteredNode]:
        """Return all nodes, the last told for an id that two keys claim."""
        return list({node.id: node for node in self.by_key.values()}.values())

    def endpoints(
        self, nodes: Iterable[RegisteredNode], now: int, wall_ms: int
    ) -> list[Endpoint]:
        """Return nodes as the scheduler takes them; `wall_ms` is the wall clock."""
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
        """Return when a node started, None where it is warm by now.

        Its start is set against this process's clock once, when it is first told: a
        step of the wall clock does not make it look started again.
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
