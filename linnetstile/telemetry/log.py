"""Structured log: a JSON object a line on standard error. Event names are the constants here."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO, cast

STARTED, STOPPING, STOPPED = "started", "stopping", "stopped"
TAKEN, REFUSED_AT_DOOR, REPEATED = "taken", "refused_at_door", "handed_in_again"
ATTEMPT, ENDED, ANSWERED = "attempt", "attempt_ended", "answered"
REGISTER, RECEIPT_ODD, BAD_PEER, HANDBACK = "register", "receipt_without_attempt", "protocol_error", "handback"
# Flow control: a wait for room, a refusal for want of it, a connection let go, an office that holds slots for long.
WAITS, NO_ROOM, LET_GO, SLOW, TRUSTED = "waits_for_room", "no_room", "let_go", "slow_partner", "partner_trusted_again"
KEYS, FILES = "tls_keys", "open_files"
KNOWLEDGE_NO_ANSWER = "knowledge_no_answer"
KNOWLEDGE_OTHER_FLEET = "knowledge_other_fleet"
KNOWLEDGE_SNAPSHOT_AGELESS = "knowledge_snapshot_ageless"
KNOWLEDGE_SNAPSHOT_FAILED = "knowledge_snapshot_failed"
KNOWLEDGE_SNAPSHOT_READ = "knowledge_snapshot_read"
KNOWLEDGE_SNAPSHOT_UNUSABLE = "knowledge_snapshot_unusable"
KNOWLEDGE_TAKEN = "knowledge_taken"
KNOWLEDGE_UNREADABLE = "knowledge_unreadable"
UNFINISHED, FAULT = "unfinished_at_stop", "fault"


class Unfailing:
    """Standard error whose faults are counted and not raised: guards messages against a full disk or a closed pipe
    behind the log, where a line that can't be written would cost a final answer."""

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream
        self.lost = 0

    def write(self, text: str) -> int:
        try:
            self.stream.write(text)
            self.stream.flush()
        except (OSError, ValueError):
            self.lost += 1
        return len(text)

    def flush(self) -> None:
        """Each write has been flushed."""


def logger(level: str = "info", **bound: Any) -> Any:
    """A logger that writes to standard error; `bound` goes into each line."""
    import structlog

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper("iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(sort_keys=False),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, Unfailing(sys.stderr))),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(**bound)
