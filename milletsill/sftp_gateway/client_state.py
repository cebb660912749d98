"""The states of a client's SFTP connection: a table and pure functions."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class SftpClientState(Enum):
    """The state of a client's connection."""

    FRESH = auto()  # before INIT
    OPEN = auto()
    FULL = auto()  # not read: too much is outstanding, or answers are not taken
    CLOSED = auto()


class SftpClientEvent(Enum):
    """What happens on a client's connection."""

    INIT = auto()
    COMMAND = auto()
    FULL = auto()
    ROOM = auto()
    BROKEN = auto()  # the stream makes no sense any more
    STUCK = auto()  # the client takes no answers
    IDLE = auto()
    LOST = auto()


class SftpClientEffect(Enum):
    """What is to be done after an event."""

    NONE = auto()
    SEND_VERSION = auto()
    TAKE_COMMAND = auto()
    PAUSE_READING = auto()
    RESUME_READING = auto()
    ABORT = auto()  # close without flushing
    CLOSE = auto()
    ABANDON = auto()  # the client is gone


ClientTransition = tuple[SftpClientState, SftpClientEffect]
CLIENT_TABLE: Mapping[tuple[SftpClientState, SftpClientEvent], ClientTransition] = {
    (SftpClientState.FRESH, SftpClientEvent.INIT): (
        SftpClientState.OPEN,
        SftpClientEffect.SEND_VERSION,
    ),
    (SftpClientState.FRESH, SftpClientEvent.COMMAND): (
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
    (SftpClientState.OPEN, SftpClientEvent.FULL): (
        SftpClientState.FULL,
        SftpClientEffect.PAUSE_READING,
    ),
    (SftpClientState.FULL, SftpClientEvent.ROOM): (
        SftpClientState.OPEN,
        SftpClientEffect.RESUME_READING,
    ),
    # Guards against a client that asks and never reads, which would hold answers for
    # good.
    (SftpClientState.FULL, SftpClientEvent.STUCK): (
        SftpClientState.CLOSED,
        SftpClientEffect.ABORT,
    ),
    **{
        (state, SftpClientEvent.IDLE): (SftpClientState.CLOSED, SftpClientEffect.CLOSE)
        for state in (SftpClientState.FRESH, SftpClientState.OPEN)
    },
    **{
        (state, SftpClientEvent.BROKEN): (
            SftpClientState.CLOSED,
            SftpClientEffect.ABORT,
        )
        for state in (
            SftpClientState.FRESH,
            SftpClientState.OPEN,
            SftpClientState.FULL,
        )
    },
    **{
        (state, SftpClientEvent.LOST): (
            SftpClientState.CLOSED,
            SftpClientEffect.ABANDON,
        )
        for state in (
            SftpClientState.FRESH,
            SftpClientState.OPEN,
            SftpClientState.FULL,
        )
    },
}


def next_client_state(
    state: SftpClientState, event: SftpClientEvent
) -> ClientTransition:
    """Return the next state and what to do.

    An event not in the table changes nothing.
    """
    return CLIENT_TABLE.get((state, event), (state, SftpClientEffect.NONE))


def flow_control_event(
    state: SftpClientState, outstanding: int, unread: bool, max_outstanding: int
) -> SftpClientEvent | None:
    """Return what the bounds say of reading a connection, None for no change.

    It is not read while too many commands are outstanding, or its answers are not
    taken; it is read again once half of them are done: a bound on both sides keeps it
    from flapping.
    """
    if state is SftpClientState.OPEN and (unread or outstanding >= max_outstanding):
        return SftpClientEvent.FULL
    if (
        state is SftpClientState.FULL
        and not unread
        and outstanding <= max_outstanding // 2
    ):
        return SftpClientEvent.ROOM
    return None
