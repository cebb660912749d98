"""The states of a client's SFTP connection, as a table and pure functions."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class SftpClientState(Enum):
    """The state of a client's connection."""

    AWAITING_INIT = auto()  # before INIT
    OPEN = auto()
    PAUSED = auto()  # too many outstanding commands, or the send buffer is full
    CLOSED = auto()


class SftpClientEvent(Enum):
    """The events of a client's connection."""

    INIT = auto()
    COMMAND = auto()
    OVER_LIMIT = auto()
    UNDER_LIMIT = auto()
    MALFORMED_STREAM = auto()  # the packet stream is malformed
    SEND_TIMEOUT = auto()  # the send buffer stayed full for too long
    IDLE_TIMEOUT = auto()
    DISCONNECTED = auto()


class SftpClientEffect(Enum):
    """The action that follows an event."""

    NONE = auto()
    SEND_VERSION = auto()
    TAKE_COMMAND = auto()
    PAUSE_READING = auto()
    RESUME_READING = auto()
    ABORT = auto()  # close without flushing the send buffer
    CLOSE = auto()
    ABANDON = auto()  # drop the commands of a disconnected client


ClientTransition = tuple[SftpClientState, SftpClientEffect]
CLIENT_TABLE: Mapping[tuple[SftpClientState, SftpClientEvent], ClientTransition] = {
    (SftpClientState.AWAITING_INIT, SftpClientEvent.INIT): (
        SftpClientState.OPEN,
        SftpClientEffect.SEND_VERSION,
    ),
    (SftpClientState.AWAITING_INIT, SftpClientEvent.COMMAND): (
        SftpClientState.CLOSED,
        SftpClientEffect.ABORT,
    ),
    (SftpClientState.OPEN, SftpClientEvent.INIT): (
        SftpClientState.CLOSED,
        SftpClientEffect.ABORT,
    ),
    (SftpClientState.OPEN, SftpClientEvent.COMMAND): (
        SftpClientState.OPEN,
        SftpClientEffect.TAKE_COMMAND,
    ),
    (SftpClientState.OPEN, SftpClientEvent.OVER_LIMIT): (
        SftpClientState.PAUSED,
        SftpClientEffect.PAUSE_READING,
    ),
    (SftpClientState.PAUSED, SftpClientEvent.UNDER_LIMIT): (
        SftpClientState.OPEN,
        SftpClientEffect.RESUME_READING,
    ),
    # A client that sends commands but never reads would otherwise keep its answers in
    # memory forever.
    (SftpClientState.PAUSED, SftpClientEvent.SEND_TIMEOUT): (
        SftpClientState.CLOSED,
        SftpClientEffect.ABORT,
    ),
    **{
        (state, SftpClientEvent.IDLE_TIMEOUT): (
            SftpClientState.CLOSED,
            SftpClientEffect.CLOSE,
        )
        for state in (SftpClientState.AWAITING_INIT, SftpClientState.OPEN)
    },
    **{
        (state, SftpClientEvent.MALFORMED_STREAM): (
            SftpClientState.CLOSED,
            SftpClientEffect.ABORT,
        )
        for state in (
            SftpClientState.AWAITING_INIT,
            SftpClientState.OPEN,
            SftpClientState.PAUSED,
        )
    },
    **{
        (state, SftpClientEvent.DISCONNECTED): (
            SftpClientState.CLOSED,
            SftpClientEffect.ABANDON,
        )
        for state in (
            SftpClientState.AWAITING_INIT,
            SftpClientState.OPEN,
            SftpClientState.PAUSED,
        )
    },
}


def next_client_state(
    state: SftpClientState, event: SftpClientEvent
) -> ClientTransition:
    """Return the next state and the effect.

    An event that is not in the table changes nothing.
    """
    return CLIENT_TABLE.get((state, event), (state, SftpClientEffect.NONE))


def flow_control_event(
    state: SftpClientState, outstanding: int, send_blocked: bool, max_outstanding: int
) -> SftpClientEvent | None:
    """Return the event that pauses or resumes reading, or None for no change.

    Reading pauses while too many commands are outstanding or the send buffer is full.
    It resumes once at most half of the limit is outstanding; this hysteresis avoids
    frequent changes.
    """
    if state is SftpClientState.OPEN and (
        send_blocked or outstanding >= max_outstanding
    ):
        return SftpClientEvent.OVER_LIMIT
    if (
        state is SftpClientState.PAUSED
        and not send_blocked
        and outstanding <= max_outstanding // 2
    ):
        return SftpClientEvent.UNDER_LIMIT
    return None
