"""Structured log: a JSON object a line on standard error. Event names are the constants here."""

from __future__ import annotations

import logging
import sys
from typing import Any

STARTED, STOPPING, STOPPED = "started", "stopping", "stopped"
TAKEN, REFUSED_AT_DOOR, REPEATED = "taken", "refused_at_door", "handed_in_again"
ATTEMPT, ENDED, ANSWERED = "attempt", "attempt_ended", "answered"
REGISTER, RECEIPT_ODD, BAD_PEER, HANDBACK = "register", "receipt_without_attempt", "protocol_error", "handback"
UNFINISHED, FAULT = "unfinished_at_stop", "fault"


def logger(level: str = "info", **bound: Any) -> Any:
    """A logger that writes to standard error; `bound` goes into each line."""
    import structlog

    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper("iso", utc=True),
                    structlog.processors.format_exc_info, structlog.processors.JSONRenderer(sort_keys=False)],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr), cache_logger_on_first_use=True)
    return structlog.get_logger().bind(**bound)
