"""Writes the responses of a server connection in order, and closes the connection after the last one."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..codec import http1

if TYPE_CHECKING:
    from .request_context import RequestContext
    from .server_connection import ServerConnection

# Largest body that is read and dropped if its request was answered early; for a larger one the connection is closed.
# Bodies above this size are read into the large receive buffer.
SMALL_BODY_BYTES = 64 * 1024
# Maximum input dropped after the last response; a peer that sends more does not stop, and its connection is aborted.
MAX_DISCARDED_BYTES = 1024 * 1024


def write_response(
    connection: ServerConnection,
    request: RequestContext,
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    close: bool,
) -> bool:
    """Write the response to the current request of a connection.

    Returns:
        False if the client has disconnected, also if that shows only as the response is written.
    """
    if connection.is_closing:
        return False
    early = not connection.request_complete
    connection.waiting_for_capacity = False
    close = close or connection.peer_half_closed or not request.head.keep_alive
    if early:
        close = close or not _can_skip_body(request)
    fields = [*headers, ("Connection", "close")] if close else headers
    connection.write(*http1.encode_response_parts(status, fields, body, request.head.method == "HEAD"))
    was_written = not connection.is_closing
    if early:
        connection.skipping_body = True
        connection.body.drop_pieces()
        connection.uses_large_buffer = False
    else:
        connection.request_complete, connection.current_request = False, None
    if close:
        finish(connection, linger=early)
    elif connection.reading_paused or not connection.input.is_exhausted:
        connection.schedule_processing()
    return was_written


def _can_skip_body(request: RequestContext) -> bool:
    """Whether the rest of a request that was answered early can be read and dropped.

    Its body must be known to be small, and the client must not wait for `100 Continue`.
    """
    small = request.content_length is not None and request.content_length <= SMALL_BODY_BYTES
    return small and not request.head.headers.get("expect")


def write_final_response(connection: ServerConnection, status: int, text: str) -> None:
    """Write a plain-text response, and close the connection."""
    headers = [("Content-Type", "text/plain"), ("Connection", "close")]
    connection.write(*http1.encode_response_parts(status, headers, f"{text}\n".encode()))
    finish(connection, linger=True)


def finish(connection: ServerConnection, linger: bool = False) -> None:
    """Write what is queued, then close the connection; further input is dropped.

    Args:
        connection: The connection to close.
        linger: Whether the peer may continue to send for a while. Closing with unread bytes resets the connection, and
            the peer might never read the response.
    """
    connection.finished = True
    connection.drop_input()
    if connection.is_closing:
        return
    transport = connection.transport
    if linger and not connection.peer_half_closed and not connection.write_queue and transport.can_write_eof():
        connection.linger_started_at = connection.server.loop.time()
        try:
            transport.write_eof()
            transport.resume_reading()
        except OSError:  # reset by the peer, and the event loop has not reported it yet
            transport.abort()
    else:
        connection.close_when_written()


def discard_input(connection: ServerConnection, size_bytes: int) -> None:
    """Drop bytes received after the last response; abort the connection of a peer that does not stop sending."""
    connection.discarded_bytes += size_bytes
    if connection.discarded_bytes > MAX_DISCARDED_BYTES:
        connection.transport.abort()
