"""Reads the records of clients: commands, channel messages, and their answers."""

from __future__ import annotations

from milletsill.lab.evidence import (
    NO_CODE,
    RecordedAnswer,
    RecordedChannelMessage,
    RecordedChannelOpening,
    RecordedCommand,
)
from milletsill.lab.record_entries import (
    EXTENDED,
    EXTENDED_REPLY,
    IN,
    INIT,
    NOTE,
    OUT,
    STATUS,
    VERSION,
    FieldCursor,
    RecordEntry,
    read_entries,
)

CHANNEL_EXTENSION = "channel@milletsill"
COMMAND_EXTENSION = "command@milletsill"
NUMBERED_EXTENSION = "numbered@milletsill"
OPEN = 1
QUERY = 2
RESOLVE = 3
MAX_INDETERMINATE = 1024


class ClientRecordReader:
    """Reads the records of the client processes, one process at a time.

    Each answer is added to its command or channel message. An answer that matches none
    is kept as a line of text in `unmatched_answers`.
    """

    def __init__(self) -> None:
        self.commands: list[RecordedCommand] = []
        self.unmatched_answers: list[str] = []
        self.channel_messages: list[RecordedChannelMessage] = []
        self.gateways: dict[int, str] = {}
        self.unanswered: dict[
            tuple[int, int], RecordedCommand | RecordedChannelMessage
        ] = {}

    def read(self, path: str) -> None:
        """Read a whole record."""
        for entry in read_entries(path):
            if entry.direction == NOTE:
                self.on_note(entry)
                continue
            cursor = FieldCursor(entry.data)
            kind = cursor.number(1)
            if kind in (INIT, VERSION):
                continue
            packet_id = cursor.number(4)
            if entry.direction == OUT and kind == EXTENDED:
                self.on_request(entry, packet_id, cursor)
            elif entry.direction == IN:
                self.on_answer(entry, packet_id, kind, cursor)

    def on_note(self, entry: RecordEntry) -> None:
        """Read a note that a connection began or was lost."""
        note = entry.note()
        if note["what"] == "connect":
            self.gateways[note["conn"]] = note["edge"]
        elif note["what"] == "lost":
            for key in [key for key in self.unanswered if key[0] == note["conn"]]:
                self.unanswered.pop(key).lost_at = entry.at

    def on_request(
        self, entry: RecordEntry, packet_id: int, cursor: FieldCursor
    ) -> None:
        """Read an extended request of a client.

        Extensions other than the three of milletsill are not recorded.
        """
        extension = cursor.text()
        gateway = self.gateways[entry.connection]
        if extension == CHANNEL_EXTENSION:
            message = read_channel_message(entry, gateway, cursor)
            self.channel_messages.append(message)
            self.unanswered[entry.connection, packet_id] = message
        elif extension in (NUMBERED_EXTENSION, COMMAND_EXTENSION):
            numbered = extension == NUMBERED_EXTENSION
            command = read_command(entry, gateway, packet_id, cursor, numbered)
            self.commands.append(command)
            self.unanswered[entry.connection, packet_id] = command

    def on_answer(
        self, entry: RecordEntry, packet_id: int, kind: int, cursor: FieldCursor
    ) -> None:
        """Read an answer to a client, and match it to its command or message."""
        language = ""
        code = NO_CODE
        if kind == STATUS:
            code = cursor.number(4)
            cursor.text()
            language = cursor.text()
        found = self.unanswered.pop((entry.connection, packet_id), None)
        if found is None:
            self.unmatched_answers.append(
                f"{entry.at:.4f} connection {entry.connection} answer {kind} for "
                f"command {packet_id}, which is not in flight"
            )
            return
        found.answers.append(RecordedAnswer(entry.at, kind, language, code))
        if (
            isinstance(found, RecordedChannelMessage)
            and found.verb == OPEN
            and kind == EXTENDED_REPLY
        ):
            found.opening = read_opening(cursor)


def read_channel_message(
    entry: RecordEntry, gateway: str, cursor: FieldCursor
) -> RecordedChannelMessage:
    """Read a client's channel message; the cursor is after the extension's name."""
    message = RecordedChannelMessage(
        entry.at, entry.connection, gateway, cursor.number(4)
    )
    if message.verb == OPEN:
        message.path = cursor.text()
        message.channel = cursor.text()
        return message
    message.handle = cursor.raw()
    message.number = cursor.number(8)
    if message.verb == RESOLVE:
        message.resolution = cursor.number(4)
    return message


def read_command(
    entry: RecordEntry,
    gateway: str,
    packet_id: int,
    cursor: FieldCursor,
    numbered: bool,
) -> RecordedCommand:
    """Read a command; the cursor is after the extension's name.

    `numbered` means that the command belongs to a channel.
    """
    handle = b""
    number = 0
    batch = 0
    if numbered:
        handle = cursor.raw()
        number = cursor.number(8)
        batch = cursor.number(8)
        cursor.number(4)
    return RecordedCommand(
        entry.at,
        entry.connection,
        gateway,
        packet_id,
        client_timeout=cursor.number(4) / 1000,
        retry=cursor.number(4),
        mark=cursor.text(),
        kind=cursor.number(1),
        handle=handle,
        number=number,
        batch=batch,
    )


def read_opening(cursor: FieldCursor) -> RecordedChannelOpening:
    """Read the answer to a channel's opening."""
    handle = cursor.raw()
    claim = cursor.number(8)
    contract = cursor.text()
    cursor.number(4)  # the contract's version
    order = cursor.number(4)
    next_number = cursor.number(8)
    cursor.number(8)  # the batch
    cursor.number(4)  # the count of waiting numbers
    cursor.number(8)  # the count of remembered numbers
    count = min(cursor.number(4), MAX_INDETERMINATE)
    indeterminate = tuple(cursor.number(8) for _ in range(count))
    return RecordedChannelOpening(
        handle, claim, contract, order, next_number, indeterminate
    )
