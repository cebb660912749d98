"""Structured logging with structlog: one event per line, as JSON or plain text."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def logger(
    level: str, as_json: bool, stream: TextIO | None = None, **bound: Any
) -> Any:
    """Return a logger that is independent of all other loggers.

    Args:
        level: a key of LEVELS; events of a lower level are not written.
        as_json: whether lines are JSON; otherwise they are text for a console.
        stream: the stream to write to; standard error if None.
        bound: fields to add to each line.
    """
    render: structlog.typing.Processor = structlog.dev.ConsoleRenderer(colors=False)
    if as_json:
        render = structlog.processors.JSONRenderer()
    return structlog.wrap_logger(
        structlog.PrintLogger(stream or sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    ).bind(**bound)
