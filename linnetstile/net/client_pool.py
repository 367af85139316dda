"""The connection pool of the client: reuses idle connections by address, and opens new ones."""

from __future__ import annotations

import asyncio
import errno
import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..codec import http1
from ..engine.attempt_outcome import WireResult
from ..engine.connection_policy import MIN_IDLE_MS
from .client_call import Address, Call, CallResult, RequestBytes, TlsParameters
from .client_connection import ClientConnection
from .connector import HandshakeError, open_connection
from .fault_boundary import FaultBoundary
from .idle_connections import IdleConnections
from .periodic_timers import PeriodicTimers

DEFAULT_CONNECT_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
UNLIMITED_IDLE = 1 << 30
# Interval at which idle connections are checked if no minimum rates are set.
SWEEP_INTERVAL_S = 1.0
# Interval at which idle connections and minimum rates are checked; short, as the grace of a rate may be below a second.
SWEEP_INTERVAL_WITH_RATES_S = 0.25
NO_DESCRIPTORS_ERRNOS = (errno.EMFILE, errno.ENFILE)


@dataclass(frozen=True, slots=True)
class MinimumRates:
    """Minimum rates in bytes a second (0 = none), and the stall in seconds that they allow."""

    request_rate: float = 0.0  # at which a peer reads the request
    response_rate: float = 0.0  # at which a peer sends its response, from the first byte on
    grace_s: float = 5.0


@dataclass(frozen=True, slots=True)
class _Request:
    """What a call sends, and to whom."""

    address: Address
    method: str
    data: RequestBytes
    tls: TlsParameters | None


class ConnectionPool:
    """Open connections by address; idle ones are reused, the newest first.

    A connection is reused only after it has been idle for a while. HTTP/1.1 matches responses with requests by their
    order alone, so surplus bytes of a peer right behind its response, such as a second copy of it, would be taken for
    the response to the next request. Bytes that arrive while the connection is idle end it instead.

    Attributes:
        idle_connections: Connections without a call, which can be reused.
        connections: All open connections.
        counts: Connections opened, reused and failed, and how often the process had no free file descriptor.
    """

    def __init__(
        self,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
        limits: http1.Limits | None = None,
        rates: MinimumRates | None = None,
        on_connection_evicted: Callable[[ClientConnection, str], None] | None = None,
        finish_at_status_line: bool = False,
        max_idle: int = UNLIMITED_IDLE,
        min_idle_s: float = MIN_IDLE_MS / 1000,
        keeps_bodies: bool = True,
    ) -> None:
        """Start an empty pool on the running event loop.

        Args:
            connect_timeout_s: Maximum time in seconds to open a connection, including its TLS handshake.
            idle_timeout_s: Time in seconds after which an idle connection is closed.
            limits: Limits on the size of responses.
            rates: Minimum rates at which peers must read requests and send responses.
            on_connection_evicted: Called with a connection and the limit for which it is closed, or the reason of a
                failed handshake.
            finish_at_status_line: Whether a call ends as soon as the status line of a 200 was received; for peers
                whose status is final whatever follows.
            max_idle: Maximum number of idle connections; the oldest is closed first.
            min_idle_s: Time in seconds for which a connection is idle before it is reused.
            keeps_bodies: Whether results have the bodies of responses; otherwise these are dropped as they are read.
        """
        self.min_idle_s = min_idle_s
        self.keeps_bodies = keeps_bodies
        self.is_closed = False
        self._awaited_addresses: set[Address] = set()  # those of the reserved connections
        self.finish_at_status_line = finish_at_status_line
        self.max_idle = max_idle
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.limits = limits or http1.Limits()
        self.rates = rates or MinimumRates()
        self.on_connection_evicted = on_connection_evicted or (lambda connection, limit: None)
        self.idle_connections = IdleConnections()
        self.connections: set[ClientConnection] = set()
        self.counts = {"connects": 0, "reused": 0, "failed": 0, "no_descriptors": 0}
        has_rates = self.rates.request_rate or self.rates.response_rate
        sweep_interval_s = SWEEP_INTERVAL_WITH_RATES_S if has_rates else SWEEP_INTERVAL_S
        self._timers = PeriodicTimers()
        self._timers.run_every(sweep_interval_s * 1000, self._sweep)

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return self.idle_connections.count

    def call(
        self,
        address: Address,
        method: str,
        data: RequestBytes,
        on_done: Callable[[CallResult], None],
        timeout_at: float | None = None,
        tls: TlsParameters | None = None,
        last_byte_delay_s: float = 0.0,
        send_before: float = math.inf,
    ) -> Call:
        """Send one request.

        Args:
            address: The peer.
            method: The request's method, which determines how the response is parsed.
            data: The bytes of the request.
            on_done: Called once with the result, never from within this method.
            timeout_at: Loop time (s) at which the call times out; None = never.
            tls: How to open new connections with TLS; None = without TLS.
            last_byte_delay_s: Time in seconds by which the last byte is delayed. If the connection ends before that,
                for instance because the peer had closed it already, the peer did not receive the complete request.
            send_before: Loop time (s) after which the request is not sent, even if a connection was opened for it.
        """
        call = Call(on_done, last_byte_delay_s, send_before)
        if timeout_at is not None:
            call.timer = self.loop.call_at(timeout_at, call.abort, WireResult.TIMED_OUT)
        self._start(call, _Request(address, method, data, tls))
        return call

    def _start(self, call: Call, request: _Request) -> None:
        """Send the call on an idle connection, wait until one may be reused, or open a connection.

        Waiting takes no longer than opening a connection usually does, and saves the peer a connection. Only one call
        waits for each address, so that the pool grows to the connections that its load needs.
        """
        if self._send_on_idle_connection(call, request):
            return
        is_awaited = request.address in self._awaited_addresses
        reserved = None if is_awaited else self.idle_connections.take_oldest(request.address)
        if reserved is None:
            call.connecting = self.loop.create_task(self._connect_and_send(call, request))
            return
        self._awaited_addresses.add(request.address)
        call.reserved = reserved
        call.reuse_timer = self.loop.call_at(reserved.idle_since + self.min_idle_s, self._reuse, call, request)

    def _reuse(self, call: Call, request: _Request) -> None:
        """Send the call on the connection that was reserved for it."""
        reserved, call.reserved = call.reserved, None
        assert reserved is not None, "the timer is cancelled when the reserved connection is released"
        if self.is_closed or self.loop.time() > call.send_before:
            self.return_reserved(reserved)
            call.finish(WireResult.NOT_SENT)
            return
        self._awaited_addresses.discard(request.address)
        if not self._send_on_reused(reserved, call, request):
            self._start(call, request)

    def _send_on_idle_connection(self, call: Call, request: _Request) -> bool:
        """Send the call on the newest usable idle connection; return False if there is none."""
        while connection := self._take_idle_connection(call, request.address):
            if self._send_on_reused(connection, call, request):
                return True
            # No byte was sent, so using another connection does not make a second attempt.
        return False

    def _send_on_reused(self, connection: ClientConnection, call: Call, request: _Request) -> bool:
        """Send the call on a connection that was idle; return False if no byte was sent."""
        # Under TLS the unread input may be records without application data.
        if connection.is_closing or (request.tls is None and connection.abort_if_unsolicited_input()):
            return False
        if not connection.send(call, request.method, request.data):
            if not connection.is_closing:
                self._add_idle(connection)  # too late for this call, but usable by another one
            return False
        self.counts["reused"] += 1
        call.reused_connection = True
        return True

    def _take_idle_connection(self, call: Call, address: Address) -> ClientConnection | None:
        """Remove and return the newest connection that may be reused; None without one or after `send_before`."""
        now = self.loop.time()
        if now > call.send_before:
            return None
        return self.idle_connections.take_newest(address, now - self.min_idle_s)

    async def _connect_and_send(self, call: Call, request: _Request) -> None:
        """Send the call on a new connection; it ends, too, if that raises an unexpected exception."""
        with FaultBoundary("the connection of a call") as boundary:
            await self._send_on_new_connection(call, request)
        if boundary.failed and call.connecting is not None:
            self._finish_unconnected(call, WireResult.NO_CONNECTION)
        elif boundary.failed:
            call.abort(WireResult.CONNECTION_LOST)

    async def _send_on_new_connection(self, call: Call, request: _Request) -> None:
        self.counts["connects"] += 1
        failure = WireResult.NO_CONNECTION
        try:
            async with asyncio.timeout(min(self.connect_timeout_s, call.send_before - self.loop.time())):
                try:
                    connection = await self._open(request.address, request.tls)
                except OSError as error:
                    if error.errno not in NO_DESCRIPTORS_ERRNOS:
                        raise
                    # A lack of file descriptors in this process says nothing about the peer.
                    failure = WireResult.NOT_SENT
                    await self._free_descriptors()
                    connection = await self._open(request.address, request.tls)
        except (OSError, TimeoutError, ValueError):  # ValueError: the host name cannot be resolved
            self._finish_unconnected(call, failure)
            return
        call.connecting = None
        if call.on_done is None:
            connection.transport.close()
        elif not connection.send(call, request.method, request.data):
            if not connection.is_closing:
                self.keep_idle(connection)  # too late for this call, but usable by another one
            call.finish(WireResult.NOT_SENT)

    def _finish_unconnected(self, call: Call, failure: WireResult) -> None:
        """End a call for which no connection could be opened."""
        self.counts["failed"] += 1
        call.connecting = None
        too_late = self.loop.time() >= call.send_before
        call.finish(WireResult.NOT_SENT if too_late else failure)

    async def _free_descriptors(self) -> None:
        """Close all idle connections to free their file descriptors."""
        self.counts["no_descriptors"] += 1
        for address in list(self.idle_connections.by_address):
            self.close_idle(address)
        await asyncio.sleep(0)  # the loop closes their sockets in its next pass

    async def _open(self, address: Address, tls: TlsParameters | None) -> ClientConnection:
        """Open a connection.

        Raises:
            OSError: The connection can't be opened.
        """
        connection = ClientConnection(self, address)
        try:
            await open_connection(connection, tls)
        except HandshakeError as error:
            self.on_connection_evicted(connection, f"handshake: {error}")
            raise
        return connection

    def keep_idle(self, connection: ClientConnection) -> None:
        """Keep an open connection whose call has ended, so that a later call can use it."""
        connection.idle_since = self.loop.time()
        self._add_idle(connection)

    def return_reserved(self, connection: ClientConnection) -> None:
        """Put back an idle connection that was reserved for a call and not used."""
        self._awaited_addresses.discard(connection.address)
        if not connection.is_closing:
            self._add_idle(connection)

    def _add_idle(self, connection: ClientConnection) -> None:
        self.idle_connections.add(connection)
        if self.idle_connections.count > self.max_idle:
            self._close(self.idle_connections.oldest())

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended or is being closed."""
        self.connections.discard(connection)
        self.idle_connections.remove(connection)

    def close_idle(self, address: Address) -> int:
        """Close the idle connections to an address; return their number."""
        connections = self.idle_connections.take_all(address)
        for connection in connections:
            connection.transport.close()
        return len(connections)

    def _close(self, connection: ClientConnection) -> None:
        self.remove(connection)
        connection.transport.close()

    def _sweep(self) -> None:
        """Close the connections that were idle for too long, and abort the calls of peers that are too slow."""
        for connection in self.idle_connections.idle_since_before(self.loop.time() - self.idle_timeout_s):
            self._close(connection)
        now_ms = self.loop.time() * 1000
        for connection in list(self.connections):
            connection.run_or_abort("a check of a call's rates", partial(self._abort_if_slow, connection, now_ms))

    def _abort_if_slow(self, connection: ClientConnection, now_ms: float) -> None:
        violated_rate = connection.violated_rate(now_ms)
        if violated_rate and connection.call is not None:
            self.on_connection_evicted(connection, violated_rate)
            connection.call.abort(WireResult.TIMED_OUT)

    def close(self) -> None:
        """Abort all connections, including those with a call, and stop the periodic checks."""
        self.is_closed = True
        self._timers.close()
        for connection in list(self.connections):
            connection.transport.abort()
