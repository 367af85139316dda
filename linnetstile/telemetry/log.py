"""Structured logging: one JSON object a line on standard error. `log_events` has the names of the events."""

from __future__ import annotations

import logging
import sys
from typing import Any, Protocol, TextIO, cast


class Logger(Protocol):
    """The interface of a structured logger that the program uses: an event name and named fields at each level."""

    def debug(self, event: str, **fields: Any) -> Any:
        """Log an event that is useful for debugging."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log an event of normal operation."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log an event that operators may have to investigate."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log an event that operators have to investigate."""


class NonFailingStream:
    """A text stream whose write errors are counted and not raised.

    The log may be on a full disk or a closed pipe; an error that is raised by a log line would lose the final answer of
    a message.

    Attributes:
        failed_writes: Number of writes that failed, whose text is lost.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.failed_writes = 0

    def write(self, text: str) -> int:
        """Write and flush `text`; count an error instead of raising it."""
        try:
            self.stream.write(text)
            self.stream.flush()
        except (OSError, ValueError):
            self.failed_writes += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: each write has been flushed."""


def create_logger(level: str = "info", **bound: Any) -> Logger:
    """Return a logger that writes to standard error.

    Args:
        level: Name of the lowest level that is written.
        **bound: Fields that are added to each line.
    """
    import structlog

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(sort_keys=False),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, NonFailingStream(sys.stderr))),
        cache_logger_on_first_use=True,
    )
    return cast(Logger, structlog.get_logger().bind(**bound))
