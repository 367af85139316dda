"""HTTP/1.1 server: the listener with its life cycle, and the names that other packages use.

The parts: `server_connection.py` reads requests, `request_context.py` is one request, `response_writer.py` writes
responses, `server_limits.py` has the limits on idle and slow peers, `connection_registry.py` the open connections.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from ..codec import http1
from . import connection_phase, server_limits
from .connection_registry import ConnectionRegistry
from .request_context import Handler, RequestContext
from .server_connection import ServerConnection
from .server_limits import ServerLimits, violated_limit
from .tls import TlsContextFiles, TlsTransport

__all__ = ["ServerLimits", "ServerConnection", "Handler", "RequestContext", "Server"]

# Connections accepted in one turn: what the open files may be over the limit for a moment, since asyncio counts none of
# them before the turn is over. Fewer, down to the second figure, where few may be open.
MAX_ACCEPTS_PER_TURN = 64
MIN_ACCEPTS_PER_TURN = 8
ACCEPT_QUEUE = 1024  # connections that the kernel holds until they are accepted
LOCAL_ACCEPT_QUEUE = 16
OWNER_ONLY_UMASK = 0o177


class Server:
    """Serves HTTP/1.1 on a TCP address or a local socket.

    Attributes:
        counts: Events by name, among them `let_go_NAME` for each limit that connections were closed for.
    """

    def __init__(
        self,
        handler: Handler,
        on_head: Handler | None = None,
        http_limits: http1.Limits | None = None,
        limits: ServerLimits | None = None,
        on_error: Callable[[str, http1.Http1Error], None] | None = None,
        admit: Callable[[RequestContext, int], bool] | None = None,
        release: Handler | None = None,
        on_slow: Callable[[ServerConnection, str], None] | None = None,
        tls: TlsContextFiles | None = None,
    ) -> None:
        """Make a server on the running event loop; `start` makes it listen.

        Args:
            handler: Called with each complete request.
            on_head: Called when a head is complete, and may answer.
            http_limits: Limits on the size of requests.
            limits: Limits on connections, times and rates.
            on_error: Called with the peer and what was wrong with its bytes or its TLS handshake.
            admit: Called with a request and a number of bytes when a body is due. True = there is capacity; False = the
                request was answered, or waits for `RequestContext.resume_body`.
            release: Called when a request ends by a response, or ended before it was complete.
            on_slow: Called with a connection and the name of the limit that it is closed for.
            tls: Serves with TLS.
        """
        self.handler = handler
        self.on_head: Handler = on_head or (lambda request: None)
        self.admit = admit or (lambda request, size: True)
        self.release: Handler = release or (lambda request: None)
        self.http_limits = http_limits or http1.Limits()
        self.limits = limits or ServerLimits()
        self.on_error = on_error or (lambda peer, error: None)
        self.on_slow = on_slow or (lambda connection, limit: None)
        self.tls = tls
        self.counts: dict[str, int] = {}
        self.loop = asyncio.get_running_loop()
        self.registry = ConnectionRegistry(
            self.loop, self.limits.max_connections, MAX_ACCEPTS_PER_TURN, self._report_eviction
        )
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> set[ServerConnection]:
        """The open connections."""
        return self.registry.connections

    def count(self, event: str) -> None:
        """Count an event of this name."""
        self.counts[event] = self.counts.get(event, 0) + 1

    # -- accepting connections ---------------------------------------------------------------------------

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen on a TCP address; return the port."""
        accepts_per_turn = min(MAX_ACCEPTS_PER_TURN, max(MIN_ACCEPTS_PER_TURN, self.limits.max_connections // 2))
        self._server = await self.loop.create_server(self._make_protocol, host, port, backlog=accepts_per_turn)
        for each in self._server.sockets:
            with socket.socket(fileno=os.dup(each.fileno())) as listening:
                listening.listen(ACCEPT_QUEUE)  # asyncio uses its backlog for this figure too
        self._sweep()
        return int(self._server.sockets[0].getsockname()[1])

    async def start_local(self, path: str) -> None:
        """Listen on a socket of the file system, for the owner alone."""
        previous_umask = os.umask(OWNER_ONLY_UMASK)
        try:
            self._server = await self.loop.create_unix_server(self._make_protocol, path, backlog=LOCAL_ACCEPT_QUEUE)
        finally:
            os.umask(previous_umask)
        self._sweep()

    def _make_protocol(self) -> asyncio.BaseProtocol:
        connection = ServerConnection(self)
        if self.tls is None:
            return connection
        connection.tls = TlsTransport(connection, self.tls.context, True, on_handshake=connection.handshake_ended)
        return connection.tls

    def make_room_for(self, connection: ServerConnection) -> bool:
        """Return whether there is a place for a new connection, made where needed by closing another one."""
        return self.registry.make_room_for(connection)

    def _report_eviction(self, connection: ServerConnection) -> None:
        self.count(f"let_go_{server_limits.FULL}")
        if not connection.had_complete_request:
            self.on_slow(connection, server_limits.FULL)

    # -- limits ------------------------------------------------------------------------------------------

    def _sweep(self) -> None:
        """Close the connections that are over a limit, now and from time to time."""
        now = self.loop.time()
        for connection in list(self.connections):
            limit = violated_limit(connection, now)
            if limit:
                self.count(f"let_go_{limit}")
                if limit not in server_limits.ORDERLY_LIMITS:
                    self.on_slow(connection, limit)
                connection.close_for_limit(limit)
        interval_s = min(self.limits.sweep_interval_s, self.limits.head_timeout_s / 4)
        self._sweep_timer = self.loop.call_later(interval_s, self._sweep)

    # -- shutting down -----------------------------------------------------------------------------------

    def close_idle(self) -> None:
        """Close idle connections in order: what a client has sent and nobody has read, it may send again elsewhere."""
        for connection in [
            each for each in self.connections if each.phase == connection_phase.IDLE and not each.is_closing
        ]:
            connection.close_for_limit(server_limits.IDLE)

    def reject_incomplete_requests(self, text: str) -> None:
        """Answer 503 to whoever is in the middle of a request: it was not taken."""
        for connection in [
            each
            for each in self.connections
            if each.phase in connection_phase.INCOMPLETE_PHASES and not each.is_closing
        ]:
            connection.reject_incomplete(text)

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes of clients have arrived that nobody has read."""
        return any(
            each.has_unread_input
            for each in self.connections
            if not each.is_closing and each.phase in connection_phase.READING_PHASES
        )

    def stop_listening(self) -> None:
        """Accept no further connection; those that are open go on."""
        if self._server:
            self._server.close()

    def close(self) -> None:
        """End the listener and every connection at once, with or without a response."""
        self.stop_listening()
        if self._sweep_timer:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.transport.abort()
