"""HTTP/1.1 listener: one request of a connection at a time, answers in order, bounds on idle and slow peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..codec import http1
from .wire import Wire


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in seconds, counts a listener. A connection over one of them is let go."""

    connections: int = 4096
    head_s: float = 10.0  # from the first byte of a head to its end, and from the connection's start
    body_s: float = 60.0  # without a byte of the body
    idle_s: float = 60.0  # between two requests
    pipelined: int = 16  # parsed events waiting behind a request that is not answered yet
    write_bytes: int = 4 * 1024 * 1024  # answers that a peer does not read


class Exchange:
    """One request and its one reply."""

    __slots__ = ("conn", "head", "body", "began", "answered", "on_gone")

    def __init__(self, conn: Connection, head: http1.Request, began: float) -> None:
        self.conn = conn
        self.head = head
        self.body = b""
        self.began = began  # loop time, s
        self.answered = False
        self.on_gone: Callable[[], None] | None = None

    def reply(self, status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"",
              close: bool = False) -> bool:
        """Writes the answer; False if the client has gone. A second call is a fault of ours."""
        assert not self.answered, "a second answer to one request"
        self.answered = True
        return self.conn.answer(self, status, headers, body, close)


Handler = Callable[[Exchange], None]


class Connection(Wire):
    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = http1.Parser(limits=server.limits)
        self.pending: deque[http1.Event] = deque()
        self.current: Exchange | None = None
        self.skipping = False  # the request was answered before its body was read
        self.pieces: list[bytes] = []
        self.touched = self.since = server.loop.time()
        self.closing = False
        self.paused = False
        self.eof = False
        self.read = False  # the current request is complete

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if len(self.server.open) >= self.server.bounds.connections:
            self.server.count("refused_connections")
            self.transport.abort()  # guards descriptors and memory: the oldest connections keep their places
        self.server.open.add(self)

    def received(self, data: memoryview) -> None:
        self.touched = self.server.loop.time()
        if self.parser.idle:
            self.since = self.touched
        if self.closing:
            return
        with contextlib.suppress(http1.ProtocolError):  # told by parser.failed, after what came before it
            self.pending.extend(self.parser.feed(data))
        self._work()

    def _work(self) -> None:
        while self.pending and not self.closing and (self.current is None or not self._complete()):
            event = self.pending.popleft()
            if isinstance(event, http1.Request):
                self.current = Exchange(self, event, self.since)
                self.pieces.clear()
                self.server.head(self.current)
                if event.expects_continue and not self.current.answered:
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            elif isinstance(event, http1.Data):
                if not self.skipping:
                    self.pieces.append(event.data)
            elif isinstance(event, http1.End):
                self._ended()
        if not self.pending and self.parser.failed and not self.closing and not self._complete():
            self._refuse(self.parser.failed)
        full = len(self.pending) > self.server.bounds.pipelined
        if full != self.paused and not self.dead:
            self.paused = full
            self.transport.pause_reading() if full else self.transport.resume_reading()

    def _complete(self) -> bool:
        """The current request has been read and waits for its answer."""
        return self.current is not None and self.read

    def _ended(self) -> None:
        exchange = self.current
        if exchange is None:
            return
        self.since = self.server.loop.time()
        if self.skipping:
            self.skipping, self.current = False, None
            return
        self.read = True
        exchange.body = self.pieces[0] if len(self.pieces) == 1 else b"".join(self.pieces)
        self.pieces.clear()
        self.server.handler(exchange)

    def answer(self, exchange: Exchange, status: int, headers: Iterable[tuple[str, str]], body: bytes,
               close: bool) -> bool:
        if self.dead:
            return False
        early = not self.read
        # A body that was not asked for is read and dropped only if small: else the connection goes.
        close = close or self.eof or not exchange.head.keep_alive or early and bool(exchange.head.headers.get("expect"))
        fields = [*headers, ("Connection", "close")] if close else headers
        self.transport.write(http1.response(status, fields, body, exchange.head.method == "HEAD"))
        if self.transport.get_write_buffer_size() > self.server.bounds.write_bytes:
            self.server.count("slow_readers")
            self.transport.abort()
            return False
        if early:
            self.skipping = True
        else:
            self.read, self.current = False, None
        if close:
            self._finish()
        elif not early:
            self.server.loop.call_soon(self._work)
        return True

    def _refuse(self, error: http1.ProtocolError) -> None:
        self.server.count("protocol_errors")
        self.server.on_error(self.peer(), error)
        if not self.dead:
            text = f"{error.text}\n".encode()
            headers = [("Content-Type", "text/plain"), ("Connection", "close")]
            self.transport.write(http1.response(error.status, headers, text))
        self._finish()

    def _finish(self) -> None:
        """Writes what is left, then closes; what the peer still sends is dropped."""
        self.closing = True
        self.pending.clear()
        if not self.dead:
            self.transport.close()

    def eof_received(self) -> bool:
        """A client may close its half and still read the answer; an unfinished request is gone."""
        self.eof = True
        if self._complete() and self.current is not None and self.current.on_gone:
            self.current.on_gone()
        return self._complete()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.server.open.discard(self)
        if self.current is not None and self.current.on_gone and not self.current.answered and not self.eof:
            self.current.on_gone()

    def overdue(self, now: float) -> bool:
        bounds = self.server.bounds
        if self._complete():
            return False  # we owe the answer
        if self.current is not None:
            return now - self.touched > bounds.body_s
        return now - self.since > (bounds.idle_s if self.parser.idle else bounds.head_s)


class Server:
    """Serves `handler` on a loopback address; counters in `counts`."""

    def __init__(self, handler: Handler, head: Handler | None = None, limits: http1.Limits | None = None,
                 bounds: Bounds | None = None, on_error: Callable[[str, http1.ProtocolError], None] | None = None,
                 ) -> None:
        self.handler = handler
        self.head: Handler = head or (lambda exchange: None)
        self.limits = limits or http1.Limits()
        self.bounds = bounds or Bounds()
        self.on_error = on_error or (lambda peer, error: None)
        self.open: set[Connection] = set()
        self.counts: dict[str, int] = {}
        self.loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Returns the port. The accept queue holds 1024."""
        self._server = await self.loop.create_server(lambda: Connection(self), host, port, backlog=1024)
        self._sweep()
        return int(self._server.sockets[0].getsockname()[1])

    def _sweep(self) -> None:
        now = self.loop.time()
        for conn in [conn for conn in self.open if conn.overdue(now)]:
            self.count("let_go")
            conn.transport.abort()
        self._sweeper = self.loop.call_later(min(1.0, self.bounds.head_s / 4), self._sweep)

    def stop_listening(self) -> None:
        if self._server:
            self._server.close()

    def close(self) -> None:
        """Ends the listener and every connection, answered or not."""
        self.stop_listening()
        if self._sweeper:
            self._sweeper.cancel()
        for conn in list(self.open):
            conn.transport.abort()
