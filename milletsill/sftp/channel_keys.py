"""Idempotency keys of numbered commands on channels.

A node recognises by the key a command that it has already run. The key of a numbered
attempt is `VOLUME@CHANNEL@NUMBER.GENERATION`, followed by `#STEP.0`. VOLUME is the
xxhash (64 bits, decimal) of the volume's name, which is the same at gateways whose
files list the volumes in another order. GENERATION is 0 until a client resolves the
number as not done.
"""

from __future__ import annotations

import xxhash

from milletsill.sftp.wire import text_to_bytes


def format_channel_key(volume: str, channel: str, number: int, generation: int) -> str:
    """Return the key that all attempts of a number share, at whichever gateway."""
    return (
        f"{xxhash.xxh64_intdigest(text_to_bytes(volume))}@{channel}@{number}"
        f".{generation}"
    )


def parse_channel_key(key: str) -> tuple[int, str, int, int] | None:
    """Return the parts of a key.

    They are the hash of the volume's name, the channel, the number and the key
    generation. Return None for keys of other forms.
    """
    head, _, tail = key.rpartition("#")[0].rpartition("@")
    volume, at, channel = head.partition("@")
    number, dot, generation = tail.partition(".")
    if not (
        at
        and dot
        and volume.isdecimal()
        and number.isdecimal()
        and generation.isdecimal()
    ):
        return None
    return int(volume), channel, int(number), int(generation)
