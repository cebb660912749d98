"""Errors of reading HTTP/1.1 messages."""

from __future__ import annotations

import httptools

from milletsill.errors import MalformedInputError

PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class MalformedHttpMessageError(MalformedInputError):
    """Octets that are no HTTP/1.1 message within the bounds.

    `status` is what a server answers with.
    """

    remedy = (
        "see which client, node or discovery sends them; its connection alone is closed"
    )

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
