"""Structured logs on structlog: one event a line, JSON or console, to standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def logger(level: str, as_json: bool, stream: Any = None, **bound: Any) -> Any:
    """A logger of its own, bound to these values; a stream that refuses lines loses them, nothing else."""
    render = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
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
