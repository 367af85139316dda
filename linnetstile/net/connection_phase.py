"""The phases of a server connection, in the words that operators read in the admin socket and in logs.

They are plain strings and no enumeration: the sweep over all connections compares them, and members of an enumeration
cost more than ten times as much to look up.
"""

from __future__ import annotations

from typing import Final, Literal

ConnectionPhase = Literal["handshake", "closing", "room", "held", "answer", "body", "head", "idle"]

HANDSHAKE: Final = "handshake"  # of TLS
CLOSING: Final = "closing"  # the last response is written; what still comes is dropped
WAITING_FOR_CAPACITY: Final = "room"  # the body is not read on until there is capacity for it
RESPONSE_PENDING: Final = "held"  # the request is complete, and we owe the response
WRITING_RESPONSE: Final = "answer"  # a part of a response has not left
READING_BODY: Final = "body"
READING_HEAD: Final = "head"  # or the connection is new and nothing has come yet
IDLE: Final = "idle"  # between two requests

# A connection in one of these has an obligation of ours, or the end of one.
OBLIGED_PHASES = (RESPONSE_PENDING, WRITING_RESPONSE, CLOSING)
# A request has begun, or may have, and is not complete.
INCOMPLETE_PHASES = (READING_HEAD, READING_BODY, WAITING_FOR_CAPACITY)
# Whatever arrives is read at once.
READING_PHASES = (IDLE, READING_HEAD, READING_BODY)
