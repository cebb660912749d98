"""What the pool of one node does.

Which connection an attempt takes, when connections end.

A table and pure functions: no I/O, no clock. Times are tenths of a millisecond.

    DIALING --CONNECTED--> HANDSHAKING --VERSION--> READY <--RECEIVED-- SUSPECT
                                                      |---SILENT-----------^ |
                                                      v                      v SILENT
                                                    CLOSED <-----------------+
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto


class ConnectionState(Enum):
    """The state of one connection."""

    DIALING = auto()  # no connection yet
    HANDSHAKING = auto()  # waits for the node's VERSION packet
    READY = auto()  # takes attempts
    SUSPECT = auto()  # owes the answer to a ping
    CLOSED = auto()


class ConnectionEvent(Enum):
    """What happens to one connection."""

    CONNECTED = auto()
    VERSION = auto()  # the node's VERSION packet came
    RECEIVED = auto()  # octets came
    SILENT = auto()  # nothing came for the silence limit although something is owed
    HANDSHAKE_LATE = auto()
    IDLE = auto()  # nothing was owed for the idle limit
    MALFORMED = auto()  # octets that are no packet, or the process ends
    LOST = auto()  # the transport ended
    RETIRED = auto()  # the node is gone


class ConnectionEffect(Enum):
    """What is to be done after an event."""

    NONE = auto()
    SEND_INIT = auto()
    SERVE_WAITING = auto()  # hand waiting attempts to connections
    SEND_PING = auto()
    CLOSE = auto()
    ABORT = auto()
    FINISH = auto()  # the transport has ended by itself


OPEN_STATES = (
    ConnectionState.DIALING,
    ConnectionState.HANDSHAKING,
    ConnectionState.READY,
    ConnectionState.SUSPECT,
)
OPENING_STATES = (ConnectionState.DIALING, ConnectionState.HANDSHAKING)
Transition = tuple[ConnectionState, ConnectionEffect]
CONNECTION_TABLE: Mapping[tuple[ConnectionState, ConnectionEvent], Transition] = {
    (ConnectionState.DIALING, ConnectionEvent.CONNECTED): (
        ConnectionState.HANDSHAKING,
        ConnectionEffect.SEND_INIT,
    ),
    (ConnectionState.HANDSHAKING, ConnectionEvent.VERSION): (
        ConnectionState.READY,
        ConnectionEffect.SERVE_WAITING,
    ),
    (ConnectionState.HANDSHAKING, ConnectionEvent.SILENT): (
        ConnectionState.HANDSHAKING,
        ConnectionEffect.NONE,
    ),
    (ConnectionState.READY, ConnectionEvent.SILENT): (
        ConnectionState.SUSPECT,
        ConnectionEffect.SEND_PING,
    ),
    (ConnectionState.SUSPECT, ConnectionEvent.RECEIVED): (
        ConnectionState.READY,
        ConnectionEffect.SERVE_WAITING,
    ),
    # A half-open connection gives neither data nor an end. A node that only stands
    # still for less than two silence limits is kept; one that is stopped for longer
    # loses what it had in work.
    (ConnectionState.SUSPECT, ConnectionEvent.SILENT): (
        ConnectionState.CLOSED,
        ConnectionEffect.ABORT,
    ),
    (ConnectionState.READY, ConnectionEvent.IDLE): (
        ConnectionState.CLOSED,
        ConnectionEffect.CLOSE,
    ),
    (ConnectionState.READY, ConnectionEvent.RETIRED): (
        ConnectionState.CLOSED,
        ConnectionEffect.CLOSE,
    ),
    **{
        (state, ConnectionEvent.HANDSHAKE_LATE): (
            ConnectionState.CLOSED,
            ConnectionEffect.ABORT,
        )
        for state in OPENING_STATES
    },
    **{
        (state, ConnectionEvent.MALFORMED): (
            ConnectionState.CLOSED,
            ConnectionEffect.ABORT,
        )
        for state in OPEN_STATES
    },
    **{
        (state, ConnectionEvent.LOST): (
            ConnectionState.CLOSED,
            ConnectionEffect.FINISH,
        )
        for state in OPEN_STATES
    },
}


def next_state(state: ConnectionState, event: ConnectionEvent) -> Transition:
    """Return the next state and what to do.

    An event not in the table changes nothing.
    """
    return CONNECTION_TABLE.get((state, event), (state, ConnectionEffect.NONE))


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds of one pool.

    Attributes:
        connections: connections to one node.
        streams: attempts in flight on one connection.
        handshakes: connections that may be opening at once.
        dial: time until a connection has to be ready.
        idle: time after which a connection that owes nothing is closed.
        silence: time without an octet after which a node that owes something is pinged.
    """

    connections: int
    streams: int
    handshakes: int
    dial: int
    idle: int
    silence: int


@dataclass(slots=True)
class ConnectionLoad:
    """One connection as the pool sees it.

    Attributes:
        in_flight: attempts without an end.
        blocked: whether the node does not take octets at the moment.
    """

    state: ConnectionState
    in_flight: int = 0
    blocked: bool = False


class Route(Enum):
    """Which way an attempt goes."""

    USE = auto()  # a connection that is ready
    DIAL = auto()  # a new connection
    WAIT = auto()  # a connection that is opening
    REFUSE = auto()


def choose_route(
    loads: Sequence[ConnectionLoad], waiting: int, limits: PoolLimits
) -> tuple[Route, int]:
    """Return the route of an attempt, and the index of the connection it uses or -1.

    The least loaded connection that takes more; else a new one, if the bounds let it;
    else the attempt waits for one that is opening, but no more attempts than those can
    carry; else it is refused, and the scheduler hears that the node is unreachable.
    """
    best = min(
        (
            index
            for index, load in enumerate(loads)
            if load.state is ConnectionState.READY
            and not load.blocked
            and load.in_flight < limits.streams
        ),
        key=lambda index: loads[index].in_flight,
        default=-1,
    )
    if best >= 0:
        in_flight = loads[best].in_flight
        if (
            in_flight == 0
            or not may_dial(loads, limits)
            or in_flight < limits.streams // 2
        ):
            return Route.USE, best
    if may_dial(loads, limits):
        return Route.DIAL, -1
    if best >= 0:
        return Route.USE, best
    opening = sum(load.state in OPENING_STATES for load in loads)
    return (Route.WAIT if waiting < opening * limits.streams else Route.REFUSE), -1


def may_dial(loads: Sequence[ConnectionLoad], limits: PoolLimits) -> bool:
    """Whether one more connection is within the bounds."""
    open_loads = [load for load in loads if load.state in OPEN_STATES]
    opening = sum(load.state in OPENING_STATES for load in open_loads)
    return len(open_loads) < limits.connections and opening < limits.handshakes


def time_event(
    state: ConnectionState, owed: int, quiet: int, age: int, limits: PoolLimits
) -> ConnectionEvent | None:
    """Return what the passing of time means for one connection.

    Args:
        state: the connection's state.
        owed: answers that the node owes, to attempts or pings.
        quiet: time since its last octet, or since it owes, whichever is later.
        age: time since dialling.
        limits: the pool's bounds.
    """
    if state in OPENING_STATES:
        return ConnectionEvent.HANDSHAKE_LATE if age >= limits.dial else None
    if owed and quiet >= limits.silence:
        return ConnectionEvent.SILENT
    if not owed and quiet >= limits.idle:
        return ConnectionEvent.IDLE
    return None
