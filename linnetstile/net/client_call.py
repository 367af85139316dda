"""One request on its way to a peer: what is sent where, how it can be ended, and how it ended."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..codec import http1
from ..engine.attempt_outcome import WireResult
from .tls_context import TlsContextFiles

if TYPE_CHECKING:
    from .client_connection import ClientConnection

# Host and port, or the path of a local socket. The third part of a longer one tells peers apart that use one address
# one after the other: a connection to the one that has gone is never used for its successor.
Address = tuple[str, int] | tuple[str, int, int] | str
# The bytes of a request: in one piece, or its head and its body.
RequestBytes = bytes | tuple[bytes, bytes]
# The TLS context to connect with, and the name that the peer's certificate is to show.
TlsParameters = tuple[TlsContextFiles, str]


def format_address(address: Address) -> str:
    """Return the address as `HOST:PORT`, or the path of a local socket."""
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"


@dataclass(frozen=True, slots=True)
class CallResult:
    """How a call ended."""

    wire_result: WireResult
    head: http1.Response | None = None  # only where the call was answered
    body: bytes = b""
    # The last byte of the request had left this process, so that the peer may have had all of it.
    request_complete: bool = True
    # The status in the first line of a response whose rest has not come or can't be read; 0 = none can be read.
    claimed_status: int = 0
    reused_connection: bool = False  # it went out on a connection kept from an earlier call


class Call:
    """One request on its way. Its callback is called once, never from within `ConnectionPool.call`."""

    def __init__(self, on_done: Callable[[CallResult], None]) -> None:
        self.on_done: Callable[[CallResult], None] | None = on_done
        self.connection: ClientConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.reused_connection = False
        self.last_byte_delay_s = 0.0
        self.send_before = math.inf  # loop time, s
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, result: CallResult) -> None:
        """Tell the caller, if it still waits, how the call ended."""
        done, self.on_done = self.on_done, None
        if self.timer:
            self.timer.cancel()
        if done:
            done(replace(result, reused_connection=True) if self.reused_connection else result)

    def detach(self) -> None:
        """Call nobody back; the connection may still end its exchange in order and be kept."""
        self.on_done = None

    def abort(self, result: WireResult) -> None:
        """End the call now, with this result unless the request can't have been sent."""
        self._end(self._unsent_result() or result)

    def cancel_if_unsent(self) -> None:
        """End the call as not sent if the peer can't have had all of the request; else change nothing."""
        if self.on_done is not None and self._unsent_result():
            self._end(WireResult.NOT_SENT)

    def _unsent_result(self) -> WireResult | None:
        """What an end proves as long as the last byte has not left; None once it has.

        The rest of the request goes with the connection, and the peer never had all of it.
        """
        if self.connecting:
            return WireResult.NO_CONNECTION
        return (
            WireResult.REQUEST_INCOMPLETE
            if self.connection is not None and self.connection.request_incomplete
            else None
        )

    def _end(self, result: WireResult) -> None:
        """Close the connection too: one on which a request is out can't be kept."""
        if self.connecting:
            self.connecting.cancel()
        connection, self.connection = self.connection, None
        claimed_status = 0
        if connection:
            connection.call = None
            claimed_status = connection.parser.early_status
            connection.transport.abort()
        self.finish(CallResult(result, claimed_status=claimed_status))
