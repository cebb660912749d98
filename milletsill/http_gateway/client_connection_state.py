"""State machine of a client connection, with its time-outs.

The module consists of a transition table and pure functions: it performs no I/O and
reads no clock. Times are tenths of a millisecond.

    NEW --REQUEST_TAKEN--> BUSY --ANSWERED--> IDLE --REQUEST_TAKEN--> BUSY
     |                      |                  |
     +- LAST_ANSWERED, REFUSED, SHUTDOWN, CLIENT_CLOSED -> CLOSING
     CLOSING --LINGER_TIMED_OUT--> CLOSED
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class ClientState(Enum):
    """The state of one client's connection."""

    # No request has been handed to the scheduler yet. Health checks and immediate
    # rejections do not leave this state.
    NEW = auto()
    IDLE = auto()  # between requests
    BUSY = auto()  # a request is open
    # No more requests are read: the last answer is being sent, the gateway's side is
    # closed, or the client has closed its side.
    CLOSING = auto()
    CLOSED = auto()


class ClientEvent(Enum):
    """What happens to a client's connection."""

    REQUEST_TAKEN = auto()
    ANSWERED = auto()
    LAST_ANSWERED = auto()  # the answer announced the close of the connection
    REFUSED = auto()  # an error was answered; no more requests are read
    IDLE_TOO_LONG = auto()
    SHUTDOWN = auto()  # the gateway shuts down
    REQUEST_TOO_SLOW = auto()
    CLIENT_CLOSED = auto()
    LINGER_TIMED_OUT = auto()  # the client kept its side open for too long
    LOST = auto()  # the transport ended


class ClientEffect(Enum):
    """The action that follows an event."""

    NONE = auto()
    CONTINUE_READING = auto()
    CLOSE_OUR_SIDE = auto()
    CANCEL_AND_CLOSE_OUR_SIDE = auto()
    CLOSE_AFTER_WRITE = auto()
    CANCEL_AND_CLOSE_AFTER_WRITE = auto()
    ANSWER_TIMEOUT = auto()
    CLOSE = auto()
    END_LINGERING = auto()
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
    (ClientState.BUSY, ClientEvent.ANSWERED): (
        ClientState.IDLE,
        ClientEffect.CONTINUE_READING,
    ),
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
        (state, ClientEvent.SHUTDOWN): (
            ClientState.CLOSING,
            ClientEffect.CLOSE_OUR_SIDE,
        )
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
            ClientEffect.ANSWER_TIMEOUT,
        )
        for state in OPEN_STATES
    },
    (ClientState.CLOSING, ClientEvent.LINGER_TIMED_OUT): (
        ClientState.CLOSED,
        ClientEffect.END_LINGERING,
    ),
    **{
        (state, ClientEvent.LOST): (ClientState.CLOSED, ClientEffect.NONE)
        for state in (*OPEN_STATES, ClientState.CLOSING)
    },
    (ClientState.BUSY, ClientEvent.LOST): (
        ClientState.CLOSED,
        ClientEffect.CANCEL_REQUEST,
    ),
}

# Time-out of a new connection on which no octet has arrived.
NEW_TIMEOUT = 22_000
# Time from the first octet of a request until it must be complete, or it is refused.
REQUEST_TIMEOUT = 20_000
# On a new connection a request counts as begun at most this long after the connection
# was accepted, because a faulty client must receive its error within 3 s. A client that
# sends its first octet late therefore has less time to complete its request.
LATEST_REQUEST_START = 9_000
# Time-out of a connection between requests.
IDLE_TIMEOUT = 200_000
# Time-out of a new connection while descriptors are short, even if it has made a health
# check, because thousands of such connections may arrive. A client that was rejected
# at once and pauses must then open a new connection.
NEW_TIMEOUT_WHEN_SHORT = 500
# Time without an octet after which a partial request is refused while descriptors are
# short.
REQUEST_PAUSE_WHEN_SHORT = 3_000
# Interval between checks of all connections while descriptors are short.
CHECK_INTERVAL_WHEN_SHORT = 200
# Time-out of a connection between requests while descriptors are short.
IDLE_TIMEOUT_WHEN_SHORT = 21_000
# Time after which a connection whose last answer was sent is ended.
LINGER_TIMEOUT = 10_000
LINGER_TIMEOUT_WHEN_SHORT = 1_000
# Octets of pipelined data that may follow the next request while a request is open.
MAX_PIPELINED = 16_384
# Octets that may follow the next request while the client does not read its last
# answer: a typical request with its head.
MAX_USUAL_REQUEST = 73_728
# Octets that are read and discarded after a refused request.
MAX_DISCARDED = 1 << 20


def next_state(state: ClientState, event: ClientEvent) -> Transition:
    """Return the next state and the action to perform.

    An event without a table entry changes nothing.
    """
    return CLIENT_TABLE.get((state, event), (state, ClientEffect.NONE))


def time_event(
    state: ClientState,
    partial_request: bool,
    elapsed: int,
    descriptors_short: bool,
    sending: bool = False,
    since_octet: int = 0,
) -> ClientEvent | None:
    """Return the time-out event that is due on a client connection, if any.

    Args:
        state: the state of the connection.
        partial_request: whether part of a request has arrived.
        elapsed: time since the state, or the reading of the request, began.
        descriptors_short: whether descriptors are short.
        sending: whether the last answer is still being sent. Ending the connection
            would truncate it, so the longer idle time-out applies; a client that does
            not read holds its descriptor that much longer.
        since_octet: time since an octet of the partial request was last read.
    """
    idle_timeout = IDLE_TIMEOUT_WHEN_SHORT if descriptors_short else IDLE_TIMEOUT
    if state is ClientState.CLOSING:
        linger = LINGER_TIMEOUT_WHEN_SHORT if descriptors_short else LINGER_TIMEOUT
        timeout = idle_timeout if sending else linger
        return ClientEvent.LINGER_TIMED_OUT if elapsed >= timeout else None
    if state not in OPEN_STATES:
        return None
    if partial_request:
        stopped = descriptors_short and since_octet >= REQUEST_PAUSE_WHEN_SHORT
        too_slow = stopped or elapsed >= REQUEST_TIMEOUT
        return ClientEvent.REQUEST_TOO_SLOW if too_slow else None
    if state is ClientState.NEW:
        timeout = NEW_TIMEOUT_WHEN_SHORT if descriptors_short else NEW_TIMEOUT
    else:
        timeout = idle_timeout
    return ClientEvent.IDLE_TOO_LONG if elapsed >= timeout else None
