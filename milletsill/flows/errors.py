"""Errors of flow export."""

from __future__ import annotations

from milletsill.errors import MalformedInputError


class MalformedFlowMessageError(MalformedInputError):
    """Octets that RFC 7011 or NetFlow 9 does not allow, or that the decoder refuses."""

    remedy = (
        "see what exports to this collector; the message alone is passed over, "
        "a broken stream is cut"
    )
