"""Tickets of numbered commands, by which a node knows an effect it had already.

The ticket of a numbered attempt at a node is `VOLUME@CHANNEL@NUMBER.GENERATION`,
and then `#LEG.0`. VOLUME is the xxhash (64 bits, decimal) of the volume's name,
the same at gateways whose files list volumes in another order. GENERATION is 0
until a client says of the number that it was not done.
"""

from __future__ import annotations

import xxhash

from milletsill.sftp.wire import text_to_bytes


def format_ticket(volume: str, channel: str, number: int, turn: int) -> str:
    """Return what all attempts of one number share, at whichever gateway they start."""
    return f"{xxhash.xxh64_intdigest(text_to_bytes(volume))}@{channel}@{number}.{turn}"


def parse_ticket(ticket: str) -> tuple[int, str, int, int] | None:
    """Return a ticket's parts.

    Hash of the volume's name, channel, number, key generation; None for other tickets.
    """
    head, _, tail = ticket.rpartition("#")[0].rpartition("@")
    volume, at, channel = head.partition("@")
    number, dot, turn = tail.partition(".")
    if not (
        at and dot and volume.isdecimal() and number.isdecimal() and turn.isdecimal()
    ):
        return None
    return int(volume), channel, int(number), int(turn)
