"""How a server connection ends for a fault, a limit or a shutdown: what the client is answered before it is closed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codec import http1
from . import server_limits
from .response_writer import finish, write_final_response

if TYPE_CHECKING:
    from .server_connection import ServerConnection

TOO_SLOW_STATUS = 408
TOO_SLOW_TEXT = "too slow: nothing of this request was taken"
SHUTDOWN_STATUS = 503


def reject_malformed(connection: ServerConnection, error: http1.Http1Error) -> None:
    """Answer bytes that are not HTTP with the status of the error, and close."""
    connection.server.count("protocol_errors")
    connection.server.on_error(connection.peer_address(), error)
    write_final_response(connection, error.status, error.text)


def reject_for_shutdown(connection: ServerConnection, text: str) -> None:
    """Answer 503 to a request that has begun and is not complete; nothing if not a byte of it was received."""
    request_begun = connection.current_request is not None or not connection.input.parser.is_idle
    if request_begun and not connection.skipping_body:
        _reject_incomplete(connection, SHUTDOWN_STATUS, text)


def close_for_limit(connection: ServerConnection, limit: str) -> None:
    """Close for the limit of this name, in the way that proves most to the client.

    The client of an incomplete request is answered that the request was not accepted.
    """
    if limit == server_limits.IDLE:
        if not connection.has_unread_input:  # else its next request was received, and is read in a moment
            finish(connection)
        return
    slow_request = limit in server_limits.SLOW_REQUEST_LIMITS and not connection.input.parser.is_idle
    if slow_request and not connection.is_closing and not connection.peer_half_closed:
        _reject_incomplete(connection, TOO_SLOW_STATUS, TOO_SLOW_TEXT)
    else:
        connection.transport.abort()


def _reject_incomplete(connection: ServerConnection, status: int, text: str) -> None:
    """Answer a request that is not complete, and close."""
    request = connection.current_request
    if request is not None and not request.answered:
        request.answered = True
        connection.server.release(request)
    write_final_response(connection, status, text)
