"""The phases of a server connection; the values are the names that the admin socket and the logs show.

They are plain strings and no enumeration: the sweep over all connections compares them, and members of an enumeration
cost more than ten times as much to access.
"""

from __future__ import annotations

from typing import Final, Literal

ConnectionPhase = Literal["handshake", "closing", "room", "held", "answer", "body", "head", "idle"]

HANDSHAKE: Final = "handshake"  # of TLS
CLOSING: Final = "closing"  # the last response is written; further input is dropped
WAITING_FOR_CAPACITY: Final = "room"  # the body is not read on until there is capacity for it
RESPONSE_PENDING: Final = "held"  # the request is complete, and its response is not
WRITING_RESPONSE: Final = "answer"  # a part of a response was not sent
READING_BODY: Final = "body"
READING_HEAD: Final = "head"  # or the connection is new and nothing was received yet
IDLE: Final = "idle"  # between two requests

# A connection in one of these waits for a response, or for the end of one.
OBLIGED_PHASES: Final[tuple[ConnectionPhase, ...]] = (RESPONSE_PENDING, WRITING_RESPONSE, CLOSING)
# A request has begun, or may have, and is not complete.
INCOMPLETE_PHASES: Final[tuple[ConnectionPhase, ...]] = (READING_HEAD, READING_BODY, WAITING_FOR_CAPACITY)
# What is received is read at once.
READING_PHASES: Final[tuple[ConnectionPhase, ...]] = (IDLE, READING_HEAD, READING_BODY)
