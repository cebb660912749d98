"""The decisions of a connection pool: state machine and choice of a connection.

The module is a table and pure functions without I/O or clock. Times are in tenths of a
millisecond. The main transitions of a connection:

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

    DIALING = auto()  # not connected yet
    HANDSHAKING = auto()  # waits for the node's VERSION packet
    READY = auto()  # takes attempts
    SUSPECT = auto()  # waits for the answer to a ping
    CLOSED = auto()


class ConnectionEvent(Enum):
    """An event of one connection."""

    CONNECTED = auto()
    VERSION = auto()  # the node's VERSION packet arrived
    RECEIVED = auto()  # octets arrived
    SILENT = auto()  # no octet within the silence timeout, with answers outstanding
    HANDSHAKE_LATE = auto()  # not ready within the dial timeout
    IDLE = auto()  # no answer was outstanding for the idle timeout
    MALFORMED = auto()  # a malformed packet, or the end of the process
    LOST = auto()  # the transport ended
    RETIRED = auto()  # the node has left


class ConnectionEffect(Enum):
    """The action that follows an event."""

    NONE = auto()
    SEND_INIT = auto()
    SERVE_WAITING = auto()  # send waiting attempts
    SEND_PING = auto()
    CLOSE = auto()
    ABORT = auto()
    FINISH = auto()  # nothing to close: the transport has ended


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
    # A half-open connection delivers neither data nor an end. A node that stalls for
    # less than two silence timeouts keeps its connection; the attempts in flight at a
    # node that stalls for longer are reset.
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
    """Return the next state and effect; an event not in the table changes nothing."""
    return CONNECTION_TABLE.get((state, event), (state, ConnectionEffect.NONE))


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """The limits of one pool.

    Attributes:
        max_connections: maximum of connections to the node.
        attempts_per_connection: maximum of attempts in flight on one connection.
        max_handshakes: maximum of connections that are opening at once.
        dial_timeout: time within which a connection must become ready.
        idle_timeout: time after which a connection without outstanding answers is
            closed.
        silence_timeout: time without an octet after which a node with outstanding
            answers is pinged.
    """

    max_connections: int
    attempts_per_connection: int
    max_handshakes: int
    dial_timeout: int
    idle_timeout: int
    silence_timeout: int


@dataclass(slots=True)
class ConnectionLoad:
    """The state and load of one connection, for the choice of a connection.

    Attributes:
        state: the connection's state.
        in_flight: count of attempts that have not ended.
        blocked: whether the transport's send buffer is full.
    """

    state: ConnectionState
    in_flight: int = 0
    blocked: bool = False


class Route(Enum):
    """How the pool handles a new attempt."""

    USE = auto()  # use a connection that is ready
    DIAL = auto()  # open a new connection and wait for it
    WAIT = auto()  # wait for a connection that is opening
    REFUSE = auto()  # end the attempt as unreachable


def choose_route(
    loads: Sequence[ConnectionLoad], waiting: int, limits: PoolLimits
) -> tuple[Route, int]:
    """Return the route of an attempt, and the index of the connection it uses or -1.

    The attempt uses the least loaded connection with free capacity, unless that
    connection is half full and the limits allow another one. Without such a connection,
    a new one is opened if the limits allow it. Otherwise the attempt waits for an
    opening connection, as long as the opening ones can carry all waiting attempts. If
    they cannot, the attempt is refused and the scheduler gets "unreachable".
    """
    best = min(
        (
            index
            for index, load in enumerate(loads)
            if load.state is ConnectionState.READY
            and not load.blocked
            and load.in_flight < limits.attempts_per_connection
        ),
        key=lambda index: loads[index].in_flight,
        default=-1,
    )
    if best >= 0:
        in_flight = loads[best].in_flight
        if (
            in_flight == 0
            or not may_dial(loads, limits)
            or in_flight < limits.attempts_per_connection // 2
        ):
            return Route.USE, best
    if may_dial(loads, limits):
        return Route.DIAL, -1
    if best >= 0:
        return Route.USE, best
    opening = sum(load.state in OPENING_STATES for load in loads)
    return (
        Route.WAIT
        if waiting < opening * limits.attempts_per_connection
        else Route.REFUSE
    ), -1


def may_dial(loads: Sequence[ConnectionLoad], limits: PoolLimits) -> bool:
    """Return whether the limits allow one more connection."""
    open_loads = [load for load in loads if load.state in OPEN_STATES]
    opening = sum(load.state in OPENING_STATES for load in open_loads)
    return len(open_loads) < limits.max_connections and opening < limits.max_handshakes


def timeout_event(
    state: ConnectionState, outstanding: int, silence: int, age: int, limits: PoolLimits
) -> ConnectionEvent | None:
    """Return the event of a timeout that has passed, None if none has.

    Args:
        state: the connection's state.
        outstanding: count of attempts and pings that the node has not answered.
        silence: time since the last octet from the node, or since an answer has been
            outstanding, whichever is later.
        age: time since dialling.
        limits: the pool's limits.
    """
    if state in OPENING_STATES:
        return ConnectionEvent.HANDSHAKE_LATE if age >= limits.dial_timeout else None
    if outstanding and silence >= limits.silence_timeout:
        return ConnectionEvent.SILENT
    if not outstanding and silence >= limits.idle_timeout:
        return ConnectionEvent.IDLE
    return None
