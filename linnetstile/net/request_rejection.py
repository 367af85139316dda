"""Rejects requests because of an error, a limit or a shutdown: answers the client and closes the connection."""

from __future__ import annotations

from ..codec import http1
from . import server_limits
from .request_connection import RequestConnection

TOO_SLOW_STATUS = 408
TOO_SLOW_TEXT = "too slow: nothing of this request was taken"
SHUTDOWN_STATUS = 503
NO_MEMORY_STATUS = 503
NO_MEMORY_TEXT = "refused: no memory for the rest of this request"


def reject_malformed(connection: RequestConnection, error: http1.Http1Error) -> None:
    """Answer malformed input with the status of its error, and close the connection."""
    connection.server.count("protocol_errors")
    connection.server.on_error(connection.peer_address(), error)
    connection.write_final_response(error.status, error.text)


def reject_for_shutdown(connection: RequestConnection, text: str) -> None:
    """Answer 503 to an incomplete request and close; do nothing if no byte of a request was received."""
    request_begun = connection.current_request is not None or not connection.input.parser.is_idle
    if request_begun and not connection.skipping_body:
        _reject_incomplete(connection, SHUTDOWN_STATUS, text)


def close_for_limit(connection: RequestConnection, limit: str) -> None:
    """Close a connection that exceeds the limit of this name.

    The connection is closed in the way that tells the client most: the client of an incomplete request is answered that
    the request was not accepted, unless the request has its response already.
    """
    if limit == server_limits.IDLE:
        if not connection.has_unread_input:  # otherwise its next request has arrived and is read soon
            connection.finish()
        return
    may_respond = not connection.input.parser.is_idle and _can_respond(connection)
    if may_respond and limit in server_limits.SLOW_REQUEST_LIMITS:
        _reject_incomplete(connection, TOO_SLOW_STATUS, TOO_SLOW_TEXT)
    elif may_respond and limit == server_limits.MEMORY:
        _reject_incomplete(connection, NO_MEMORY_STATUS, NO_MEMORY_TEXT)
    else:
        connection.transport.abort()


def _can_respond(connection: RequestConnection) -> bool:
    """Whether a response to the incomplete request of a connection may be written, and the peer may read it."""
    has_response = connection.finished or connection.skipping_body
    return not has_response and not connection.is_closing and not connection.peer_half_closed


def _reject_incomplete(connection: RequestConnection, status: int, text: str) -> None:
    """Answer an incomplete request, and close the connection."""
    request = connection.current_request
    if request is not None and not request.answered:
        request.answered = True
        connection.server.release(request)
    connection.write_final_response(status, text)
