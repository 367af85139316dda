"""The phases of a server connection; the values are the names that the admin socket and the logs show.

They are plain strings instead of an enumeration because the sweep over all connections compares them, and members of
an enumeration take more than ten times as long to access.
"""

from __future__ import annotations

from typing import Final, Literal

ConnectionPhase = Literal["handshake", "closing", "room", "held", "answer", "body", "head", "idle"]

HANDSHAKE: Final = "handshake"  # the TLS handshake is not complete
CLOSING: Final = "closing"  # the last response is written; further input is dropped
WAITING_FOR_CAPACITY: Final = "room"  # reading the body is paused until there is capacity for it
RESPONSE_PENDING: Final = "held"  # the request is complete, and its response was not written yet
WRITING_RESPONSE: Final = "answer"  # a part of the response was not sent yet
READING_BODY: Final = "body"  # the body of the request is incomplete
READING_HEAD: Final = "head"  # the head of a request is incomplete, or nothing was received on a new connection
IDLE: Final = "idle"  # between two requests

# Phases in which the client waits for a response or for the rest of one.
RESPONSE_PHASES: Final[tuple[ConnectionPhase, ...]] = (RESPONSE_PENDING, WRITING_RESPONSE, CLOSING)
# Phases in which a request has begun, or may have begun, and is incomplete.
INCOMPLETE_PHASES: Final[tuple[ConnectionPhase, ...]] = (READING_HEAD, READING_BODY, WAITING_FOR_CAPACITY)
# Phases in which bytes of an incomplete request are read.
READING_REQUEST_PHASES: Final[tuple[ConnectionPhase, ...]] = (READING_HEAD, READING_BODY)
# Phases in which received bytes are read immediately.
READING_PHASES: Final[tuple[ConnectionPhase, ...]] = (IDLE, READING_HEAD, READING_BODY)
