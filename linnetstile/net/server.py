"""HTTP/1.1 server: the listener and its life cycle, and the names that other packages import.

The modules: `request_connection.py` is one connection with its requests and responses, `server_connection.py` reads
requests, `request_rejection.py` rejects them, `server_settings.py` has the limits on connections, `server_limits.py`
and `input_memory.py` judge them, and `connection_registry.py` stores the open connections.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from ..codec import http1
from . import connection_phase, server_limits
from .connection_phase import ConnectionPhase
from .connection_registry import ConnectionRegistry
from .input_memory import InputMemory
from .periodic_timers import PeriodicTimers
from .request_connection import AdmitCallback, ErrorCallback, Handler, RequestConnection, RequestContext
from .request_rejection import close_for_limit, reject_for_shutdown
from .server_connection import ServerConnection
from .server_limits import violated_limit
from .server_settings import ServerLimits

if TYPE_CHECKING:
    from .tls import TlsContextFiles

__all__ = ["ServerLimits", "RequestConnection", "Handler", "RequestContext", "Server"]

# Called with a connection and the name of the limit that it is closed for.
LimitCallback = Callable[[RequestConnection, str], None]

# Maximum number of connections accepted in one pass of the event loop. The open files may exceed the limit by this
# number for a moment, because asyncio reports no accepted connection before the pass ends.
MAX_ACCEPTS_PER_PASS = 64
# A listener with few `max_connections` accepts half of them in one pass, but no fewer than this.
MIN_ACCEPTS_PER_PASS = 8
ACCEPT_QUEUE = 1024  # connections that the kernel queues until they are accepted
LOCAL_ACCEPT_QUEUE = 16  # connections to a local socket that the kernel queues until they are accepted
OWNER_ONLY_UMASK = 0o177


class Server:
    """Serves HTTP/1.1 on a TCP address or a local socket.

    Attributes:
        handler: Called with each complete request.
        on_head: Called with a request when its head is complete; may answer it.
        http_limits: Limits on the size of requests.
        limits: Limits on connections, times and rates.
        on_error: Called for an error in a client's bytes.
        admit: Called to request capacity for a body; see `AdmitCallback`.
        release: Called to release the capacity of a request that was answered or ended incomplete.
        on_connection_evicted: Called for a connection that is closed for a limit.
        tls: Keys and certificates; None = without TLS.
        counts: Events by name, among them `server_limits.counter_name` of each limit that connections were closed for.
    """

    def __init__(
        self,
        handler: Handler,
        on_head: Handler | None = None,
        http_limits: http1.Limits | None = None,
        limits: ServerLimits | None = None,
        on_error: ErrorCallback | None = None,
        admit: AdmitCallback | None = None,
        release: Handler | None = None,
        on_connection_evicted: LimitCallback | None = None,
        tls: TlsContextFiles | None = None,
    ) -> None:
        """Create a server on the running event loop; `start` or `start_local` makes it listen."""
        self.handler = handler
        self.on_head = on_head or _ignore_request
        self.admit = admit or _admit_always
        self.release = release or _ignore_request
        self.http_limits = http_limits or http1.Limits()
        self.limits = limits or ServerLimits()
        self.on_error = on_error or _ignore_error
        self.on_connection_evicted = on_connection_evicted or _ignore_limit
        self.tls = tls
        self.counts: dict[str, int] = {}
        self.loop = asyncio.get_running_loop()
        self.registry = ConnectionRegistry(
            self.loop, self.limits.max_connections, MAX_ACCEPTS_PER_PASS, self._report_eviction
        )
        self.input_memory = InputMemory(self.limits.max_input_bytes)
        self._server: asyncio.Server | None = None
        self._timers = PeriodicTimers()

    @property
    def connections(self) -> set[RequestConnection]:
        """The open connections."""
        return self.registry.connections

    def count(self, event: str) -> None:
        """Count an event of this name."""
        self.counts[event] = self.counts.get(event, 0) + 1

    # -- accepting connections ---------------------------------------------------------------------------

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen on a TCP address; return the port."""
        accepts_per_pass = min(MAX_ACCEPTS_PER_PASS, max(MIN_ACCEPTS_PER_PASS, self.limits.max_connections // 2))
        self._server = await self.loop.create_server(self._make_protocol, host, port, backlog=accepts_per_pass)
        for server_socket in self._server.sockets:
            with socket.socket(fileno=os.dup(server_socket.fileno())) as listening:
                listening.listen(ACCEPT_QUEUE)  # asyncio uses `backlog` for this and for the accepts per pass
        self._start_sweeps()
        return int(self._server.sockets[0].getsockname()[1])

    async def start_local(self, path: str) -> None:
        """Listen on a Unix socket at `path` that only the file's owner can connect to."""
        previous_umask = os.umask(OWNER_ONLY_UMASK)
        try:
            self._server = await self.loop.create_unix_server(self._make_protocol, path, backlog=LOCAL_ACCEPT_QUEUE)
        finally:
            os.umask(previous_umask)
        self._start_sweeps()

    def _make_protocol(self) -> asyncio.BaseProtocol:
        connection = ServerConnection(self)
        if self.tls is None:
            return connection
        from .tls import TlsTransport  # loads OpenSSL

        connection.tls = TlsTransport(connection, self.tls.context, True, on_handshake=connection.handshake_ended)
        return connection.tls

    def register(self, connection: RequestConnection) -> None:
        """Add a connection that stays open."""
        self.registry.add(connection)

    def unregister(self, connection: RequestConnection) -> None:
        """Remove a connection that has ended."""
        self.registry.remove(connection)

    def admit_connection(self, connection: RequestConnection) -> bool:
        """Return whether a new connection may stay open; if necessary, another one is evicted for it."""
        return self.registry.admit_connection(connection)

    def _report_eviction(self, connection: RequestConnection) -> None:
        self.count(server_limits.counter_name(server_limits.LISTENER_FULL))
        if not connection.had_complete_request:
            self.on_connection_evicted(connection, server_limits.LISTENER_FULL)

    # -- limits ------------------------------------------------------------------------------------------

    def _start_sweeps(self) -> None:
        interval_s = min(self.limits.sweep_interval_s, self.limits.head_timeout_s / 4)
        self._timers.run_every(interval_s * 1000, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that exceed a limit."""
        now = self.loop.time()
        self._for_each(
            list(self.connections), "a check of a connection's limits", lambda each: self._enforce(each, now)
        )

    def _enforce(self, connection: RequestConnection, now: float) -> None:
        """Close a connection if it exceeds a limit."""
        limit = violated_limit(connection, now)
        if not limit:
            return
        self.count(server_limits.counter_name(limit))
        if limit not in server_limits.ORDERLY_LIMITS:
            self.on_connection_evicted(connection, limit)
        close_for_limit(connection, limit)

    @staticmethod
    def _for_each(
        connections: Iterable[RequestConnection], work: str, function: Callable[[RequestConnection], None]
    ) -> None:
        """Call a function with each connection; one for which it raises an exception is aborted."""
        for connection in connections:
            connection.run_or_abort(work, partial(function, connection))

    def account_input(self, connection: RequestConnection) -> None:
        """Account for the received bytes that a connection holds; reject incomplete requests if all hold too many."""
        self.input_memory.update(connection)
        if self.input_memory.is_exceeded:
            incomplete = self._open_connections_in(connection_phase.READING_REQUEST_PHASES)
            too_large = self.input_memory.connections_to_reject(incomplete)
            self._for_each(too_large, "the rejection of a request", self._reject_for_memory)

    def input_dropped(self, connection: RequestConnection) -> None:
        """Account for a connection that holds no received bytes any more."""
        self.input_memory.update(connection)

    def _reject_for_memory(self, connection: RequestConnection) -> None:
        self.count(server_limits.counter_name(server_limits.MEMORY))
        self.on_connection_evicted(connection, server_limits.MEMORY)
        close_for_limit(connection, server_limits.MEMORY)
        connection.drop_input()

    # -- shutting down -----------------------------------------------------------------------------------

    def close_idle(self) -> None:
        """Close idle connections in an orderly way, except those with unread input, whose next request has arrived."""
        idle = self._open_connections_in((connection_phase.IDLE,))
        self._for_each(idle, "the close of an idle connection", lambda each: close_for_limit(each, server_limits.IDLE))

    def reject_incomplete_requests(self, text: str) -> None:
        """Answer 503 to the clients of incomplete requests: they were not accepted."""
        incomplete = self._open_connections_in(connection_phase.INCOMPLETE_PHASES)
        self._for_each(incomplete, "the rejection of a request", lambda each: reject_for_shutdown(each, text))

    def _open_connections_in(self, phases: tuple[ConnectionPhase, ...]) -> list[RequestConnection]:
        """Return the connections that are in one of these phases and are not being closed."""
        return [
            connection for connection in self.connections if connection.phase in phases and not connection.is_closing
        ]

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel has unread bytes of a connection that currently reads its input."""
        return any(
            connection.has_unread_input
            for connection in self.connections
            if not connection.is_closing and connection.phase in connection_phase.READING_PHASES
        )

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are not affected."""
        if self._server:
            self._server.close()

    def close(self) -> None:
        """Close the listener and abort all connections, including those that wait for a response."""
        self.stop_listening()
        self._timers.close()
        for connection in list(self.connections):
            connection.transport.abort()


def _ignore_request(request: RequestContext) -> None:
    """Do nothing: no callback was given."""


def _admit_always(request: RequestContext, size: int) -> bool:
    """Admit every body: no callback was given."""
    return True


def _ignore_error(peer: str, error: http1.Http1Error) -> None:
    """Do nothing: no callback was given."""


def _ignore_limit(connection: RequestConnection, limit: str) -> None:
    """Do nothing: no callback was given."""
