"""Structured logs: one line of ``key=value`` pairs for each event."""

import logging
import sys

import structlog

__all__ = ["configure", "logger"]


def configure(level: str, **context: str) -> None:
    """Configure logging to standard error.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param context: key-value pairs added to every line.
    """
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**context)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )


def logger() -> structlog.typing.FilteringBoundLogger:
    """Return the structured logger."""
    return structlog.get_logger()
