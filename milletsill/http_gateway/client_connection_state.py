"""The state of a client's connection, and what the passing of time means for it.

A table and pure functions: no I/O, no clock. Times are tenths of a millisecond.

    NEW --REQUEST_TAKEN--> BUSY --ANSWERED--> IDLE --REQUEST_TAKEN--> BUSY
     |                      |                  |
     +- LAST_ANSWERED, REFUSED, LEAVE, CLIENT_CLOSED -> CLOSING --LINGERED--> CLOSED
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class ClientState(Enum):
    """The state of one client's connection."""

    # No request was taken yet; health checks and rejections are answered at once.
    NEW = auto()
    IDLE = auto()  # between requests
    BUSY = auto()  # a request is open
    # Nothing more is read: the last answer is being sent, our side is closed, or the
    # client has closed its own.
    CLOSING = auto()
    CLOSED = auto()


class ClientEvent(Enum):
    """What happens to a client's connection."""

    REQUEST_TAKEN = auto()
    ANSWERED = auto()
    LAST_ANSWERED = auto()  # the answer said that the connection closes
    REFUSED = auto()  # an error was answered; nothing more is read
    IDLE_TOO_LONG = auto()
    LEAVE = auto()  # the gateway shuts down
    REQUEST_TOO_SLOW = auto()
    CLIENT_CLOSED = auto()
    LINGERED = auto()  # the client kept its side open for too long
    LOST = auto()  # the transport ended


class ClientEffect(Enum):
    """What is to be done after an event."""

    NONE = auto()
    READ_ON = auto()
    CLOSE_OUR_SIDE = auto()
    CANCEL_AND_CLOSE_OUR_SIDE = auto()
    CLOSE_AFTER_WRITE = auto()
    CANCEL_AND_CLOSE_AFTER_WRITE = auto()
    ANSWER_TIME_OUT = auto()
    CLOSE = auto()
    CUT = auto()
    CANCEL_REQUEST = auto()


CLOSING_EFFECTS = (
    ClientEffect.CLOSE_OUR_SIDE,
    ClientEffect.CANCEL_AND_CLOSE_OUR_SIDE,
)
CLIENT_CLOSED_EFFECTS = (
    ClientEffect.CLOSE_AFTER_WRITE,
    ClientEffect.CANCEL_AND_CLOSE_AFTER_WRITE,
)
CANCELLING_EFFECTS = (
    ClientEffect.CANCEL_REQUEST,
    ClientEffect.CANCEL_AND_CLOSE_OUR_SIDE,
    ClientEffect.CANCEL_AND_CLOSE_AFTER_WRITE,
)

Transition = tuple[ClientState, ClientEffect]
OPEN_STATES = (ClientState.NEW, ClientState.IDLE)
ENDED_STATES = (ClientState.CLOSING, ClientState.CLOSED)

CLIENT_TABLE: Mapping[tuple[ClientState, ClientEvent], Transition] = {
    **{
        (state, ClientEvent.REQUEST_TAKEN): (ClientState.BUSY, ClientEffect.NONE)
        for state in OPEN_STATES
    },
    (ClientState.BUSY, ClientEvent.ANSWERED): (ClientState.IDLE, ClientEffect.READ_ON),
    **{
        (state, ClientEvent.LAST_ANSWERED): (
            ClientState.CLOSING,
            ClientEffect.CLOSE_OUR_SIDE,
        )
        for state in (*OPEN_STATES, ClientState.BUSY)
    },
    **{
        (state, ClientEvent.REFUSED): (ClientState.CLOSING, ClientEffect.CLOSE_OUR_SIDE)
        for state in OPEN_STATES
    },
    (ClientState.BUSY, ClientEvent.REFUSED): (
        ClientState.CLOSING,
        ClientEffect.CANCEL_AND_CLOSE_OUR_SIDE,
    ),
    (ClientState.NEW, ClientEvent.IDLE_TOO_LONG): (
        ClientState.CLOSED,
        ClientEffect.CLOSE,
    ),
    (ClientState.IDLE, ClientEvent.IDLE_TOO_LONG): (
        ClientState.CLOSING,
        ClientEffect.CLOSE_OUR_SIDE,
    ),
    **{
        (state, ClientEvent.LEAVE): (ClientState.CLOSING, ClientEffect.CLOSE_OUR_SIDE)
        for state in OPEN_STATES
    },
    **{
        (state, ClientEvent.CLIENT_CLOSED): (
            ClientState.CLOSING,
            ClientEffect.CLOSE_AFTER_WRITE,
        )
        for state in (*OPEN_STATES, ClientState.CLOSING)
    },
    (ClientState.BUSY, ClientEvent.CLIENT_CLOSED): (
        ClientState.CLOSING,
        ClientEffect.CANCEL_AND_CLOSE_AFTER_WRITE,
    ),
    **{
        (state, ClientEvent.REQUEST_TOO_SLOW): (
            ClientState.CLOSING,
            ClientEffect.ANSWER_TIME_OUT,
        )
        for state in OPEN_STATES
    },
    (ClientState.CLOSING, ClientEvent.LINGERED): (ClientState.CLOSED, ClientEffect.CUT),
    **{
        (state, ClientEvent.LOST): (ClientState.CLOSED, ClientEffect.NONE)
        for state in (*OPEN_STATES, ClientState.CLOSING)
    },
    (ClientState.BUSY, ClientEvent.LOST): (
        ClientState.CLOSED,
        ClientEffect.CANCEL_REQUEST,
    ),
}

# A connection on which nothing ever came is closed after this.
NEW_TIMEOUT = 22_000
# A request has to be complete this long after its first octet, or is refused.
REQUEST_TIMEOUT = 20_000
# On a new connection a request counts as begun this long after the connection came, at
# the latest: a bad client is owed its error within three seconds. One that comes late
# and then slowly is refused sooner.
LATEST_REQUEST_START = 9_000
# A connection between requests is closed after this.
IDLE_TIMEOUT = 200_000
# Where descriptors are short, a connection on which no request was taken is closed from
# this age on, also if it asked for our health: thousands of these may come. Who was
# rejected at once and rests comes again on a new connection.
NEW_TIMEOUT_WHEN_SHORT = 500
# Between checks of all connections, where descriptors are short.
CHECK_INTERVAL_WHEN_SHORT = 200
# Where descriptors are short, a connection between requests is closed after this.
IDLE_TIMEOUT_WHEN_SHORT = 21_000
# A connection whose last answer was sent is cut after this.
LINGER_TIMEOUT = 10_000
# Octets of later requests that are held while one is open, behind the next one.
MAX_PIPELINED = 16_384
# Octets of a usual request with its head; a longer one counts against the memory.
MAX_USUAL_REQUEST = 73_728
# Octets that are read and thrown away behind a refused request.
MAX_DISCARDED = 1 << 20


def next_state(state: ClientState, event: ClientEvent) -> Transition:
    """Return the next state and what to do.

    An event not in the table changes nothing.
    """
    return CLIENT_TABLE.get((state, event), (state, ClientEffect.NONE))


def time_event(
    state: ClientState,
    partial_request: bool,
    quiet: int,
    short: bool,
    sending: bool = False,
) -> ClientEvent | None:
    """Return what the passing of time means for a client's connection.

    Args:
        state: its state.
        partial_request: whether a part of a request has come.
        quiet: time since the state, or the request, began.
        short: whether descriptors are short.
        sending: whether the client still takes its last answer, which a cut would tear;
            one that takes none holds its descriptor that much longer.
    """
    idle_timeout = IDLE_TIMEOUT_WHEN_SHORT if short else IDLE_TIMEOUT
    if state is ClientState.CLOSING:
        timeout = idle_timeout if sending else LINGER_TIMEOUT
        return ClientEvent.LINGERED if quiet >= timeout else None
    if state not in OPEN_STATES:
        return None
    if partial_request:
        return ClientEvent.REQUEST_TOO_SLOW if quiet >= REQUEST_TIMEOUT else None
    if state is ClientState.NEW:
        timeout = NEW_TIMEOUT_WHEN_SHORT if short else NEW_TIMEOUT
    else:
        timeout = idle_timeout
    return ClientEvent.IDLE_TOO_LONG if quiet >= timeout else None
