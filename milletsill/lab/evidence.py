"""Defines the evidence that an audit checks: the packets of one scenario run.

`evidence_reader` reads it from the records of clients, stand-in nodes and the registry
stand-in. What a gateway reports about itself is not evidence. Times are seconds of the
machine's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NO_CODE = -1  # the code of an answer that is not an SFTP status
LATE_READ = 0.02
"""Seconds after a read gap within which packets that arrived in the gap are read."""


@dataclass(frozen=True, slots=True, order=True)
class RecordedAnswer:
    """A packet that answered a client; `kind` is its SFTP type, `code` its status."""

    at: float
    kind: int
    language: str = ""
    code: int = NO_CODE


@dataclass(slots=True)
class RecordedCommand:
    """A command of a client with its answers; `client_timeout` is in seconds.

    `mark` identifies what the client wants; `retry` counts how often the client sent
    the command of that mark before. `handle`, `number` and `batch` are the command's
    place in a channel; `handle` is empty outside a channel. `lost_at` is when the
    connection ended before an answer came.
    """

    at: float
    connection: int
    gateway: str
    packet_id: int
    client_timeout: float
    retry: int
    mark: str
    kind: int
    handle: bytes = b""
    number: int = 0
    batch: int = 0
    answers: list[RecordedAnswer] = field(default_factory=list)
    lost_at: float | None = None

    def describe(self) -> str:
        """Return the command as one line of a report."""
        return (
            f"{self.at:.4f} {self.gateway} connection {self.connection} command "
            f"{self.packet_id} {self.mark} retry {self.retry}"
        )


@dataclass(frozen=True, slots=True)
class RecordedChannelOpening:
    """The contents of the answer to a client's opening of a channel."""

    handle: bytes
    claim: int
    contract: str
    order: int
    next_number: int
    indeterminate: tuple[int, ...] = ()


@dataclass(slots=True)
class RecordedChannelMessage:
    """A client's message about a channel: an opening, a query or a resolution.

    `verb` says which of the three it is. Only an opening has `path` and `channel`, and
    `opening` once it is answered. Queries and resolutions have `handle` and `number`,
    and only a resolution has `resolution`.
    """

    at: float
    connection: int
    gateway: str
    verb: int
    path: str = ""
    channel: str = ""
    handle: bytes = b""
    number: int = 0
    resolution: int = 0
    opening: RecordedChannelOpening | None = None
    answers: list[RecordedAnswer] = field(default_factory=list)
    lost_at: float | None = None


@dataclass(slots=True)
class RecordedAttempt:
    """An attempt that reached a stand-in node.

    `number` counts the request's earlier attempts. `verdict` is the node's answer, or
    None where the node sent none.
    """

    at: float
    node: int
    gateway: str
    incarnation: int
    request: int
    number: int
    units: float
    key: int
    idempotency_key: str
    volume: int
    request_class: str
    mark: str
    kind: int
    verdict: int | None = None
    ended_at: float | None = None

    def describe(self) -> str:
        """Return the attempt as one line of a report."""
        return (
            f"{self.at:.4f} node {self.node} <- {self.gateway}.{self.incarnation} "
            f"request {self.request} attempt {self.number} {self.units:g} units "
            f"{self.request_class} verdict {self.verdict}"
        )


@dataclass(frozen=True, slots=True)
class NodeBoot:
    """The start of a stand-in node.

    `cores` counts cores of usual speed. After a cold start, the node's capacity rises
    linearly from the share `cold_from` to its full value within `cold_s` seconds.
    """

    at: float
    node: int
    shard: int
    zone: int
    cold: bool
    cores: float
    cold_from: float
    cold_s: float

    def scope_id(self, retry_scope: str) -> int:
        """Return the id of the node, its shard or its zone, as the scope asks."""
        return {"box": self.node, "cell": self.shard, "zone": self.zone}[retry_scope]


@dataclass(frozen=True, slots=True)
class NodeOverload:
    """The crash of a cold stand-in node from overload; the node stays down."""

    at: float
    node: int


@dataclass(frozen=True, slots=True)
class NodeWrite:
    """A write that a stand-in node executed; `code` is the write's SFTP status."""

    at: float
    node: int
    idempotency_key: str
    path: str
    offset: int
    gateway: str
    request: int
    code: int


NodeNote = NodeBoot | NodeOverload | NodeWrite


@dataclass(frozen=True, slots=True)
class ListedState:
    """A node's state as the registry sent it to a gateway.

    The state is "gone" where the node was deleted or a whole list lacks it.
    """

    at: float
    node: int
    state: str


@dataclass(frozen=True, slots=True, order=True)
class GatewayStop:
    """A span in which a gateway did not run."""

    gateway: str
    since: float
    until: float


@dataclass(slots=True)
class Evidence:
    """The evidence of one scenario run.

    `client_lateness` is the greatest delay, in seconds, of the client processes' own
    timers; the times in the clients' records are uncertain by as much.
    `node_read_gaps` are the spans in which the process of the stand-in nodes read
    nothing. `unmatched_answers` describes answers that match no command.
    """

    commands: list[RecordedCommand]
    unmatched_answers: list[str]
    attempts: list[RecordedAttempt]
    notes: list[NodeNote]
    listed_states: dict[str, list[ListedState]]
    gateway_stops: list[GatewayStop] = field(default_factory=list)
    client_lateness: float = 0.0
    channel_messages: list[RecordedChannelMessage] = field(default_factory=list)
    node_read_gaps: list[tuple[float, float]] = field(default_factory=list)

    def earliest_arrival(self, read_at: float) -> float:
        """Return the earliest time at which a packet read at `read_at` may have come.

        A packet that is read right after a read gap may have come during the gap.
        """
        return min(
            (
                since
                for since, until in self.node_read_gaps
                if since <= read_at <= until + LATE_READ
            ),
            default=read_at,
        )
