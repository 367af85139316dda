"""Structured logging: one JSON object a line on standard error. `log_events` has the names of the events."""

from __future__ import annotations

import logging
import sys
from typing import Any, Protocol, TextIO, cast


class Logger(Protocol):
    """The interface of a structured logger that the program uses: an event name and named fields at each level."""

    def debug(self, event: str, **fields: Any) -> Any:
        """Log an event that matters while searching for a fault."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log an event of normal operation."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log an event that operators may have to look at."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log an event that operators have to look at."""


class NonFailingStream:
    """A text stream whose write errors are counted and not raised.

    It guards messages against a full disk or a closed pipe behind the log: an error raised by a log line would lose
    the final answer of a message.

    Attributes:
        failed_writes: Number of writes that were lost.
    """

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.failed_writes = 0

    def write(self, text: str) -> int:
        """Write and flush `text`; on an error count it and go on."""
        try:
            self.stream.write(text)
            self.stream.flush()
        except (OSError, ValueError):
            self.failed_writes += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: each write has been flushed."""


def logger(level: str = "info", **bound: Any) -> Logger:
    """Return a logger that writes to standard error.

    Args:
        level: Name of the lowest level that is written.
        **bound: Fields that go into each line.
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
