"""What an audit works on: everything that crossed the sockets of one scenario run.

Read back by `evidence_reader` from the records of clients, stand-in nodes and the
registry stand-in; gateways have no say in it. Times are seconds of the machine's
monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NO_CODE = -1  # of an answer that is no SFTP status
LATE_READ = 0.02
"""Seconds after a gap without reads within which what came in the gap is read."""


@dataclass(frozen=True, slots=True, order=True)
class RecordedAnswer:
    """A packet that answered a client: its SFTP type, language tag and status code."""

    at: float
    kind: int
    language: str = ""
    code: int = NO_CODE


@dataclass(slots=True)
class RecordedCommand:
    """A command of a client with its answers; `client_timeout` in seconds.

    `retry` counts how often the client sent the command marked `mark` before. The
    last three name its place in a channel; `handle` is empty where it has none.
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
            f"{self.packet_id} {self.mark} try {self.retry}"
        )


@dataclass(frozen=True, slots=True)
class RecordedChannelOpening:
    """What the answer to a client's opening of a channel said."""

    handle: bytes
    claim: int
    contract: str
    order: int
    next_number: int
    indeterminate: tuple[int, ...] = ()


@dataclass(slots=True)
class RecordedChannelMessage:
    """A client's message about a channel: an opening, a question or a resolution.

    `path` and `channel` are of an opening, `opening` what its answer said; `handle`
    and `number` are of the other two, `resolution` of the last.
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
    """An attempt that reached a stand-in node; `verdict` is None where none left it."""

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
            f"{self.at:.4f} box {self.node} <- {self.gateway}.{self.incarnation} "
            f"transfer {self.request} number {self.number} {self.units:g} units "
            f"{self.request_class} verdict {self.verdict}"
        )


@dataclass(frozen=True, slots=True)
class NodeBoot:
    """A stand-in node started; `cores` in cores of usual speed, `cold_s` in seconds."""

    at: float
    node: int
    cell: int
    zone: int
    cold: bool
    cores: float
    cold_from: float
    cold_s: float

    def place(self, retry_scope: str) -> int:
        """Return which group of nodes it belongs to: the node, its cell or its zone."""
        return {"box": self.node, "cell": self.cell, "zone": self.zone}[retry_scope]


@dataclass(frozen=True, slots=True)
class NodeOverload:
    """A stand-in node was pushed over while it was cold, and stays down."""

    at: float
    node: int


@dataclass(frozen=True, slots=True)
class NodeWrite:
    """A write took effect at a stand-in node; `code` is the SFTP status of it."""

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
    """What the registry told a gateway of a node; `gone` where a list lacks it."""

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
    """All records of one scenario run.

    `client_lateness` is by how many seconds the clients' own process was late at the
    worst: their times are that unsure. In `node_read_gaps` the process of the
    stand-in nodes read nothing.
    """

    commands: list[RecordedCommand]
    unowed_answers: list[str]
    attempts: list[RecordedAttempt]
    notes: list[NodeNote]
    listed_states: dict[str, list[ListedState]]
    gateway_stops: list[GatewayStop] = field(default_factory=list)
    client_lateness: float = 0.0
    channel_messages: list[RecordedChannelMessage] = field(default_factory=list)
    node_read_gaps: list[tuple[float, float]] = field(default_factory=list)

    def earliest_arrival(self, read_at: float) -> float:
        """Return from when on a packet that a node read then may have lain there."""
        return min(
            (
                since
                for since, until in self.node_read_gaps
                if since <= read_at <= until + LATE_READ
            ),
            default=read_at,
        )
