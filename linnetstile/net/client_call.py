"""A call, which is one request to a peer: its address, its cancellation and its result."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ..codec import http1
from ..engine.attempt_outcome import WireResult

if TYPE_CHECKING:
    from .client_connection import ClientConnection
    from .tls_context import TlsContextFiles


class IdentifiedAddress(NamedTuple):
    """A TCP address with the identifier of the peer that listens there.

    Another peer may take over the address later; a connection to the earlier peer is never used for the later one.
    """

    host: str
    port: int
    peer_id: int


class TlsParameters(NamedTuple):
    """How to connect with TLS: the context, and the name that the peer's certificate must contain."""

    context_files: TlsContextFiles
    server_name: str


# Host and port, with an identifier or without, or the path of a local socket.
Address = tuple[str, int] | IdentifiedAddress | str
# The bytes of a request, either joined or as a pair of head and body.
RequestBytes = bytes | http1.EncodedMessage


def format_address(address: Address) -> str:
    """Return the address as `HOST:PORT`, or the path of a local socket."""
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"


@dataclass(frozen=True, slots=True)
class CallResult:
    """How a call ended."""

    wire_result: WireResult
    head: http1.Response | None = None  # None if no response was received
    body: bytes = b""
    # Whether the last byte of the request was sent, so that the peer may have received the complete request.
    request_complete: bool = True
    # Status from the first line of a response whose rest was not received or can't be parsed; 0 = no status is known.
    first_line_status: int = 0
    reused_connection: bool = False  # whether it was sent on an idle connection of an earlier call


class Call:
    """One request to a peer. Its callback is called once, never from within `ConnectionPool.call`."""

    def __init__(
        self, on_done: Callable[[CallResult], None], last_byte_delay_s: float = 0.0, send_before: float = math.inf
    ) -> None:
        self.on_done: Callable[[CallResult], None] | None = on_done
        self.connection: ClientConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        # An idle connection that is reserved for this call, and the timer of its reuse.
        self.reserved: ClientConnection | None = None
        self.reuse_timer: asyncio.TimerHandle | None = None
        self.reused_connection = False
        self.last_byte_delay_s = last_byte_delay_s
        self.send_before = send_before  # loop time, s
        self.timer: asyncio.TimerHandle | None = None

    def finish(
        self,
        wire_result: WireResult,
        head: http1.Response | None = None,
        body: bytes = b"",
        *,
        request_complete: bool = True,
        first_line_status: int = 0,
    ) -> None:
        """Pass the result to the callback, unless it was called or detached; `CallResult` documents the arguments."""
        callback, self.on_done = self.on_done, None
        if self.timer:
            self.timer.cancel()
        if callback:
            callback(CallResult(wire_result, head, body, request_complete, first_line_status, self.reused_connection))

    def detach(self) -> None:
        """Drop the callback; the connection may still complete its exchange and be reused."""
        self.on_done = None

    def abort(self, result: WireResult) -> None:
        """End the call now.

        Args:
            result: The result if the complete request was sent; else it is `NOT_SENT`, `NO_CONNECTION` or
                `REQUEST_INCOMPLETE`.
        """
        self._end(self._unsent_result() or result)

    def cancel_if_unsent(self) -> None:
        """End the call with `NOT_SENT` if the peer can't have received the complete request; otherwise do nothing."""
        if self.on_done is not None and self._unsent_result():
            self._end(WireResult.NOT_SENT)

    def _unsent_result(self) -> WireResult | None:
        """Return the result of ending the call now if its last byte was not sent; None if it was.

        Ending the call closes the connection, so the peer never receives the rest of the request.
        """
        if self.reserved is not None:
            return WireResult.NOT_SENT
        if self.connecting:
            return WireResult.NO_CONNECTION
        if self.connection is not None and self.connection.request_incomplete:
            return WireResult.REQUEST_INCOMPLETE
        return None

    def _end(self, result: WireResult) -> None:
        """End the call and close its connection: a connection with a request in flight can't be reused."""
        if self.connecting:
            self.connecting.cancel()
        self._release_reserved()
        connection, self.connection = self.connection, None
        first_line_status = 0
        if connection:
            connection.call = None
            first_line_status = connection.parser.first_line_status
            connection.transport.abort()
        self.finish(result, first_line_status=first_line_status)

    def _release_reserved(self) -> None:
        """Return the reserved connection to its pool: this call sent nothing on it."""
        reserved, self.reserved = self.reserved, None
        if self.reuse_timer:
            self.reuse_timer.cancel()
        if reserved is not None:
            reserved.pool.return_reserved(reserved)
