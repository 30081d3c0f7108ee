"""Logs: one line of ``key=value`` pairs for each event."""

import logging
import sys

import structlog

__all__ = ["configure", "logger"]


def configure(level: str, **common: str) -> None:
    """Set up logging to standard error.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param common: pairs that stand in every line.
    """
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**common)
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
    """Return the logger."""
    return structlog.get_logger()
