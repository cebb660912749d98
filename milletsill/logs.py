"""Structured logs on structlog: one event a line, as JSON or for a console."""

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
    """Return a logger that shares nothing with other loggers.

    Args:
        level: a key of LEVELS; what is below it is not written.
        as_json: whether a line is JSON, or text for a console.
        stream: where lines go; standard error where absent.
        bound: fields of each line.
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
