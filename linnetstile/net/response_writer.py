"""The write side of a server connection: responses in order, and the orderly end after the last one."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..codec import http1

if TYPE_CHECKING:
    from .request_context import RequestContext
    from .server_connection import ServerConnection

# Up to here the body of a request that was rejected by its head is read and dropped; in front of a larger one the
# connection is closed. A larger one is also read by whole buffers.
SMALL_BODY_BYTES = 64 * 1024
# Bytes that are dropped after the last response before the connection is aborted: the peer will not stop.
MAX_DISCARDED_BYTES = 1024 * 1024


def write_response(
    connection: ServerConnection,
    request: RequestContext,
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    close: bool,
) -> bool:
    """Write the response to the current request of a connection; return False if the client has disconnected."""
    if connection.is_closing:
        return False
    early = not connection.request_complete
    connection.waiting_for_capacity = False
    close = close or connection.peer_half_closed or not request.head.keep_alive
    if early:
        close = close or not _can_skip_body(request)
    fields = [*headers, ("Connection", "close")] if close else headers
    connection.write(*http1.encode_response_parts(status, fields, body, request.head.method == "HEAD"))
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
    return True


def _can_skip_body(request: RequestContext) -> bool:
    """Whether the rest of a request that was answered early is read and dropped.

    That needs a body that is known to be small, and a client that does not wait for `100 Continue`.
    """
    small = request.content_length is not None and request.content_length <= SMALL_BODY_BYTES
    return small and not request.head.headers.get("expect")


def write_final_response(connection: ServerConnection, status: int, text: str) -> None:
    """Write a response of plain text, and close."""
    headers = [("Content-Type", "text/plain"), ("Connection", "close")]
    connection.write(*http1.encode_response_parts(status, headers, f"{text}\n".encode()))
    finish(connection, linger=True)


def finish(connection: ServerConnection, linger: bool = False) -> None:
    """Write what is queued, then close; what the peer still sends is dropped.

    Args:
        connection: The connection to close.
        linger: Whether the peer may send on for a while: closing on unread bytes resets the connection, and the
            response might never be read.
    """
    connection.finished = True
    connection.input.clear_events()
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
    """Drop bytes received after the last response; abort a peer that does not stop."""
    connection.discarded_bytes += size_bytes
    if connection.discarded_bytes > MAX_DISCARDED_BYTES:
        connection.transport.abort()
