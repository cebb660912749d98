"""Errors that are raised while HTTP/1.1 messages are read."""

from __future__ import annotations

import httptools

from milletsill.errors import MalformedInputError

PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class MalformedHttpMessageError(MalformedInputError):
    """The received octets are not an HTTP/1.1 message within the limits.

    `status` is the response status that a server sends for this error.
    """

    remedy = (
        "find the client, node or discovery service that sent the malformed message; "
        "only its connection is closed"
    )

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
