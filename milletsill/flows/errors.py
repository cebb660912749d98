"""Errors of flow export."""

from __future__ import annotations

from milletsill.errors import MalformedInputError


class MalformedFlowMessageError(MalformedInputError):
    """A message violates RFC 7011 or NetFlow 9, or exceeds a limit of the decoder."""

    remedy = (
        "check the exporters that send to this collector; only this message is "
        "skipped, but a TCP connection with broken framing is closed"
    )
