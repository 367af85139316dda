"""Finds the limit that a connection exceeds: on idle time, on speed, on the time of a request."""

from __future__ import annotations

from typing import Final

from . import connection_phase
from .connection_phase import ConnectionPhase
from .request_connection import RequestConnection
from .server_settings import ServerLimits

# Time for which further input is dropped before closing, so that the peer can read why its request was rejected.
LINGER_TIMEOUT_S = 2.0

# Names of the limits, as counters and logs show them.
RESPONSE_RATE: Final = "answer_rate"  # the peer reads its response too slowly
BODY_RATE: Final = "body_rate"  # the peer sends a body too slowly
BODY_DEADLINE: Final = "body_time"  # a body is not complete by its deadline
LISTENER_FULL: Final = "full"  # the maximum number of connections is open
HANDSHAKE: Final = "handshake"  # the TLS handshake takes too long
HEAD: Final = "head"  # the head of a request takes too long
IDLE: Final = "idle"  # there was no request for too long
LINGER: Final = "linger"  # the peer does not close after the last response
MEMORY: Final = "memory"  # incomplete requests of all connections hold too much memory
# Limits that are not a fault of the peer, and are not reported as a slow peer.
ORDERLY_LIMITS = (IDLE, LINGER)
# Limits on an incomplete request; the peer is answered that it was too slow.
SLOW_REQUEST_LIMITS = (BODY_RATE, BODY_DEADLINE, HEAD)

COUNTER_PREFIX = "let_go_"


def counter_name(limit: str) -> str:
    """Return the name of the counter of connections that were closed for a limit."""
    return COUNTER_PREFIX + limit


def violated_limit(connection: RequestConnection, now: float) -> str:
    """Update the rate meters of a connection; return the name of the limit that it exceeds, or an empty string.

    Args:
        connection: The connection to check.
        now: Loop time in seconds.
    """
    phase = connection.phase
    written, read = connection.take_written_bytes(), connection.take_read_bytes()
    if not connection.unsent_bytes:
        connection.write_meter.pause()
    elif connection.write_meter.tick(now * 1000, written):
        return RESPONSE_RATE
    if connection.linger_started_at is not None:
        return LINGER if now - connection.linger_started_at > LINGER_TIMEOUT_S else ""
    if _body_deadline_passed(connection, now):
        return BODY_DEADLINE
    if phase == connection_phase.READING_BODY and not connection.reading_paused:
        return BODY_RATE if connection.read_meter.tick(now * 1000, read) else ""
    connection.read_meter.last_tick_at = None
    return _violated_timeout(phase, now - connection.phase_started_at, connection.server.limits)


def _body_deadline_passed(connection: RequestConnection, now: float) -> bool:
    """Whether the body of the current request is still incomplete after its deadline."""
    request = connection.current_request
    if request is None or connection.response_pending:
        return False
    return (request.body_deadline or now) < now


def _violated_timeout(phase: ConnectionPhase, duration_s: float, limits: ServerLimits) -> str:
    """Return the name of the timeout that is exceeded by a phase of this duration, or an empty string."""
    if phase == connection_phase.READING_HEAD:
        return HEAD if duration_s > limits.head_timeout_s else ""
    if phase == connection_phase.HANDSHAKE:
        return HANDSHAKE if duration_s > limits.head_timeout_s else ""
    if phase == connection_phase.IDLE:
        return IDLE if duration_s > limits.idle_timeout_s else ""
    return ""
