"""HTTP/1.1 listener: one request of a connection at a time, answers in order, bounds on idle and slow peers."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..codec import http1
from ..engine.connection_eviction import IdleConnection, connections_to_evict
from .connection import BufferedConnection
from .tls import Keys, Tls

SMALL_BODY = 64 * 1024  # bytes: a body that was refused by its head is read and dropped up to here
LINGER_S = 2.0  # what a peer still sends is dropped for so long, so that it can read why it was refused
EVENTS, REQUESTS = 8, 1  # parsed at a time, and begun in one turn of a connection
YOUNG_S = 0.5  # a connection has so long to show what it is for before it gives way like the others
ACCEPTS = 64  # connections taken in one turn: what the open files may be over the bound for a moment
LINGER_BYTES = 1024 * 1024
STEP = 64 * 1024  # bytes of room asked for at a time by a body that tells no length


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in seconds, rates in bytes a second (0 = none asked for), counts a listener. A connection over one of them
    is let go."""

    connections: int = 4096
    head_s: float = 10.0  # from the first byte of a head to its end, and from the connection's start
    idle_s: float = 60.0  # between two requests
    body_rate: float = 0.0  # least rate of a body
    answer_rate: float = 0.0  # least rate at which an answer is read
    grace_s: float = 5.0  # of a stall that the least rates forgive
    pipelined: int = 32  # events, or 512 bytes each, that wait behind a request that is not answered yet
    write_bytes: int = 256 * 1024  # of answers that a peer has not read, before no more is read from it
    sweep_s: float = 1.0  # how often bounds are looked at


class RequestContext:
    """One request and its one reply."""

    __slots__ = (
        "conn",
        "head",
        "body",
        "began",
        "answered",
        "on_gone",
        "length",
        "room",
        "charge",
        "who",
        "until",
        "sink",
    )

    def __init__(self, conn: Connection, head: http1.Request, began: float) -> None:
        self.conn = conn
        self.head = head
        self.body = b""
        self.began = began  # loop time, s
        self.answered = False
        self.on_gone: Callable[[], None] | None = None
        chunked = "transfer-encoding" in head.headers
        self.length = None if chunked else int(head.headers.get("content-length") or 0)
        self.room = 0  # bytes of its body that there is room for
        self.charge: object = None  # of whoever grants room; given back by the server's `release`
        self.until: float | None = None  # loop time from which on it is too late for the body to be complete
        self.sink: Callable[[bytes], object] | None = None  # gets each piece of the body as it comes
        self.who: object = None  # what was read out of the head already

    def go(self) -> None:
        """There is room: the body is read on."""
        self.conn.go(self)

    def reply(
        self, status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"", close: bool = False
    ) -> bool:
        """Writes the answer; False if the client has gone. A second call is a fault of ours."""
        assert not self.answered, "a second answer to one request"
        self.answered = True
        if self.charge is not None:
            self.conn.server.release(self)
        return self.conn.answer(self, status, headers, body, close)


Handler = Callable[[RequestContext], None]


class Connection(BufferedConnection):
    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = http1.Parser(limits=server.limits)
        self.pending: deque[http1.Event] = deque()
        self.current: RequestContext | None = None
        self.skipping = False  # the request was answered before its body was read
        self.pieces: list[bytes] = []
        self.size = 0  # of the pieces
        self.opened = self.since = server.loop.time()
        self.closing = False
        self.paused = False
        self.planned = False  # a turn of work is on its way
        self.waiting = False  # for room
        self.eof = False
        self.read = False  # the current request is complete
        self.requests = 0
        self.lingers: float | None = None
        self.dropped = 0  # bytes that came after the last answer
        self.tls: Tls | None = None
        self.metered(server.bounds.body_rate, server.bounds.answer_rate, server.bounds.grace_s)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.where = self.host()
        if not self.server.room_for(self):
            self.server.count("refused_connections")
            self.transport.abort()  # guards descriptors and memory
            return
        self.server.add(self)

    def secured(self, why: str | None) -> None:
        """The TLS handshake has ended."""
        if why is not None:
            self.server.count("handshakes_failed")
            self.server.on_error(self.peer(), http1.ProtocolError(0, f"no TLS handshake: {why}"))

    def received(self, data: memoryview) -> None:
        self.came += len(data)
        if self.parser.idle:
            self.since = self.server.loop.time()
        if self.closing:
            self.dropped += len(data)
            if self.dropped > LINGER_BYTES:  # it will not stop
                self.transport.abort()
            return
        self._parse(data)
        self._work()

    def _parse(self, data: bytes | memoryview) -> None:
        try:
            self.pending.extend(self.parser.feed(data, EVENTS))
        except http1.ProtocolError:
            return  # told by parser.failed, after what came before it

    def _work(self) -> None:
        self.planned = False
        if self.lost:  # a turn that was planned before the end: nothing of it would be given back
            return
        begun = 0
        while not (self.closing or self.waiting or self.read and self.current or self.blocked and self.choked):
            if not self.pending:
                if not self.parser.buffered or self.parser.failed:
                    break
                self._parse(b"")
                if not self.pending:
                    break
            if begun >= REQUESTS and isinstance(self.pending[0], http1.Request):
                self._plan()  # guards the others' turns against a peer that pipelines without end
                break
            event = self.pending.popleft()
            if isinstance(event, http1.Request):
                begun += 1
                self._begun(event)
            elif isinstance(event, http1.Data):
                self._data(event.data)
            elif isinstance(event, http1.End):
                self._ended()
        if not self.pending and self.parser.failed and not self.closing and not self._complete():
            self._refuse(self.parser.failed)
        self._flow()

    def _plan(self) -> None:
        if not self.planned:
            self.planned = True
            self.server.loop.call_soon(self._work)

    def _flow(self) -> None:
        """Reads on, or not: what waits behind this connection's own request, answer or room is not taken in."""
        if self.closing:
            return
        behind = len(self.pending) + self.parser.buffered // 512
        full = self.waiting or self.blocked and self.choked or behind > self.server.bounds.pipelined
        if full != self.paused and not self.dead:
            self.paused = full
            self.transport.pause_reading() if full else self.transport.resume_reading()

    @property
    def choked(self) -> bool:
        """Answers wait to be read: no further request is begun before they are."""
        return self.blocked and self.unsent > self.server.bounds.write_bytes

    def _begun(self, head: http1.Request) -> None:
        self.current = exchange = RequestContext(self, head, self.since)
        self.requests += 1
        self.pieces.clear()
        self.size = 0
        self.meter_in.pause()
        self.server.head(exchange)
        if exchange.answered:
            return
        need = exchange.length if exchange.length is not None else STEP
        if need and not self.server.admit(exchange, need):
            self.waiting = not exchange.answered
            return
        exchange.room = need
        self._welcome(exchange)

    def _welcome(self, exchange: RequestContext) -> None:
        self.hungry = exchange.length is None or exchange.length > SMALL_BODY
        if exchange.head.expects_continue:
            self.put(b"HTTP/1.1 100 Continue\r\n\r\n")

    def go(self, exchange: RequestContext) -> None:
        if exchange is not self.current or exchange.answered or self.dead:
            return
        self.waiting = False
        if not exchange.room:
            self._welcome(exchange)
        exchange.room += exchange.length if exchange.length is not None else STEP
        self._work()

    def _data(self, data: bytes) -> None:
        exchange = self.current
        if self.skipping or exchange is None:
            return
        self.pieces.append(data)
        if exchange.sink is not None:
            exchange.sink(data)
        self.size += len(data)
        while exchange.length is None and self.size > exchange.room and not exchange.answered:
            if not self.server.admit(exchange, STEP):
                self.waiting = not exchange.answered
                return
            exchange.room += STEP

    def _complete(self) -> bool:
        """The current request has been read and waits for its answer."""
        return self.current is not None and self.read

    def _ended(self) -> None:
        exchange = self.current
        if exchange is None:
            return
        self.since = self.server.loop.time()
        self.hungry = False
        if self.skipping:
            self.skipping, self.current = False, None
            return
        self.read = True
        exchange.body = self.pieces[0] if len(self.pieces) == 1 else b"".join(self.pieces)
        self.pieces.clear()
        self.server.handler(exchange)

    def answer(
        self, exchange: RequestContext, status: int, headers: Iterable[tuple[str, str]], body: bytes, close: bool
    ) -> bool:
        if self.dead:
            return False
        early, self.waiting = not self.read, False
        # A body that was not asked for is read and dropped only if small: else the connection goes.
        big = early and (exchange.length is None or exchange.length > SMALL_BODY)
        expects = early and bool(exchange.head.headers.get("expect"))
        close = close or self.eof or not exchange.head.keep_alive or big or expects
        fields = [*headers, ("Connection", "close")] if close else headers
        self.put(*http1.response_parts(status, fields, body, exchange.head.method == "HEAD"))
        if early:
            self.skipping = True
            self.pieces.clear()
            self.hungry = False
        else:
            self.read, self.current = False, None
        if close:
            self._finish(linger=early)
        elif self.pending or self.parser.buffered or self.paused or self.parser.failed:
            self._plan()
        return True

    def _refuse(self, error: http1.ProtocolError) -> None:
        self.server.count("protocol_errors")
        self.server.on_error(self.peer(), error)
        self._last_words(error.status, error.text)

    def _last_words(self, status: int, text: str) -> None:
        headers = [("Content-Type", "text/plain"), ("Connection", "close")]
        self.put(*http1.response_parts(status, headers, f"{text}\n".encode()))
        self._finish(linger=True)

    def _finish(self, linger: bool = False) -> None:
        """Writes what is left, then closes; what the peer still sends is dropped. With `linger` it may send on for a
        while: closing on unread bytes resets the connection, and the answer might never be read."""
        self.closing = True
        self.pending.clear()
        if self.dead:
            return
        if linger and not self.eof and not self.queue and self.transport.can_write_eof():
            self.lingers = self.server.loop.time()
            try:
                self.transport.write_eof()
                self.transport.resume_reading()
            except OSError:  # reset by the peer, and the loop has not told yet
                self.transport.abort()
        else:
            self.end()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self.pending or self.paused:
            self._plan()

    def eof_received(self) -> bool:
        """A client may close its half and still read the answer; an unfinished request is gone."""
        self.eof = True
        if self._complete() and self.current is not None and self.current.on_gone:
            self.current.on_gone()
        return self._complete() or self.unsent > 0 and self.lingers is None

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.server.drop(self)
        self.give_back()
        current = self.current
        if current is not None and not current.answered and current.on_gone and not (self.eof and self._complete()):
            current.on_gone()

    def give_back(self) -> None:
        """What a request holds that was never taken."""
        if self.current is not None and not self.current.answered and not self._complete():
            self.server.release(self.current)

    # -- bounds ------------------------------------------------------------------------------------------

    @property
    def phase(self) -> str:
        """What this connection is at, in words that operators read."""
        if self.tls is not None and not self.tls.secured:
            return "handshake"
        if self.lingers is not None or self.closing:
            return "closing"
        if self.waiting:
            return "room"
        if self._complete():
            return "held"
        if self.unsent:
            return "answer"
        if self.current is not None:
            return "body"
        return "head" if not self.parser.idle or not self.requests else "idle"

    @property
    def carries(self) -> bool:
        """Something was taken from it, or is owed to it: a request that is not complete never was."""
        return self.phase in ("held", "answer", "closing")

    @property
    def proven(self) -> bool:
        """A request of it was complete once."""
        return self.requests > 1 or self.requests == 1 and (self.current is None or self.read)

    def overdue(self, now: float) -> str:
        """Which bound it is over, if any; ticks the meters."""
        bounds, phase = self.server.bounds, self.phase
        went, came = self.went_out(), self.came_in()
        if not self.unsent:
            self.meter_out.pause()
        elif self.meter_out.tick(now * 1000, went):
            return "answer_rate"
        if self.current is not None and not self._complete() and (self.current.until or now) < now:
            return "body_time"
        if phase == "body" and not self.paused:
            return "body_rate" if self.meter_in.tick(now * 1000, came) else ""
        self.meter_in.last_tick_at = None
        if self.lingers is not None:
            return "linger" if now - self.lingers > LINGER_S else ""
        if phase in ("head", "handshake"):
            return phase if now - self.since > bounds.head_s else ""
        return "idle" if phase == "idle" and now - self.since > bounds.idle_s else ""

    def refuse_begun(self, text: str) -> None:
        """A request that has begun and is not complete; none if not a byte of it has come."""
        if self.parser.idle and self.current is None or self.skipping:
            return
        self._never_taken(503, text)

    def _never_taken(self, status: int, text: str) -> None:
        """Last words to a request that is not complete."""
        if self.current is not None and not self.current.answered:
            self.current.answered = True
            self.server.release(self.current)
        self._last_words(status, text)

    def let_go(self, why: str) -> None:
        """In the way that proves most: a request that is not complete is told that it never was taken."""
        if why in ("body_rate", "body_time", "head") and not self.parser.idle and not self.dead and not self.eof:
            self._never_taken(408, "too slow: nothing of this request was taken")
        elif why == "idle":
            if not self.speaks:  # else its next request has arrived, and is read in a moment
                self._finish()
        else:
            self.transport.abort()


class Server:
    """Serves `handler` on a loopback address; counters in `counts`.

    `head` is called when a head is complete, and may answer; `admit(exchange, bytes)` when a body is due: True = there
    is room, False = it was answered, or it waits and `exchange.go()` follows; `release(exchange)` when an exchange ends
    by an answer, or before it was complete."""

    def __init__(
        self,
        handler: Handler,
        head: Handler | None = None,
        limits: http1.Limits | None = None,
        bounds: Bounds | None = None,
        on_error: Callable[[str, http1.ProtocolError], None] | None = None,
        admit: Callable[[RequestContext, int], bool] | None = None,
        release: Handler | None = None,
        on_slow: Callable[[Connection, str], None] | None = None,
        keys: Keys | None = None,
    ) -> None:
        self.handler = handler
        self.head: Handler = head or (lambda exchange: None)
        self.admit = admit or (lambda exchange, size: True)
        self.release: Handler = release or (lambda exchange: None)
        self.limits = limits or http1.Limits()
        self.bounds = bounds or Bounds()
        self.on_error = on_error or (lambda peer, error: None)
        self.on_slow = on_slow or (lambda conn, why: None)
        self.keys = keys
        self.open: set[Connection] = set()
        self.hosts: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        self.loop = asyncio.get_running_loop()
        self.spare: list[tuple[str, Connection]] = []  # those that give way next, the last one first
        self.spare_at = 0.0
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _made(self) -> asyncio.BaseProtocol:
        conn = Connection(self)
        if self.keys is None:
            return conn
        conn.tls = Tls(conn, self.keys.context, True, ready=conn.secured)
        return conn.tls

    def room_for(self, conn: Connection) -> bool:
        """A full listener lets one go that carries nothing: half-open connections don't keep others out."""
        if len(self.open) < self.bounds.connections:
            return True
        if not self.spare or self.loop.time() > self.spare_at + 0.25:
            self._rank()
        while self.spare:
            host, other = self.spare.pop()
            if other.dead or other.carries or other not in self.open or other.proven and other.speaks:
                continue  # the last: its next request has arrived
            if self.hosts.get(conn.where, 0) > self.hosts.get(host, 0) + 1 and other.proven:
                break  # it may not crowd out another host's
            self.count("let_go_full")
            if not other.proven:
                self.on_slow(other, "full")
            other.transport.abort()
            self.drop(other)
            other.give_back()  # now, and not when the loop tells of its end: the new one counts already
            return True
        return False

    def _rank(self) -> None:
        """The order in which connections give way, for the next ones: one look at all serves many."""
        now = self.spare_at = self.loop.time()
        able = [
            IdleConnection(c.where, c.proven, now - c.opened < YOUNG_S, c.came / (now - c.opened + 1), c.since, c)
            for c in self.open
            if not c.carries and not c.dead
        ]
        self.spare = [(place.host, place.token) for place in connections_to_evict(self.hosts, able, ACCEPTS)]

    def add(self, conn: Connection) -> None:
        self.open.add(conn)
        self.hosts[conn.where] = self.hosts.get(conn.where, 0) + 1

    def drop(self, conn: Connection) -> None:
        if conn in self.open:
            self.open.remove(conn)
            self.hosts[conn.where] -= 1
            if not self.hosts[conn.where]:
                del self.hosts[conn.where]

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Returns the port. The accept queue holds 1024, of which asyncio takes `ACCEPTS` in one turn, fewer where few
        may be open: it counts none of them before the turn is over."""
        turn = min(ACCEPTS, max(8, self.bounds.connections // 2))
        self._server = await self.loop.create_server(self._made, host, port, backlog=turn)
        for each in self._server.sockets:
            with socket.socket(fileno=os.dup(each.fileno())) as listening:
                listening.listen(1024)
        self._sweep()
        return int(self._server.sockets[0].getsockname()[1])

    async def start_local(self, path: str) -> None:
        """Listens on a socket of the file system, for the owner alone."""
        before = os.umask(0o177)
        try:
            self._server = await self.loop.create_unix_server(self._made, path, backlog=16)
        finally:
            os.umask(before)
        self._sweep()

    def _sweep(self) -> None:
        now = self.loop.time()
        for conn in list(self.open):
            why = conn.overdue(now)
            if why:
                self.count(f"let_go_{why}")
                if why not in ("idle", "linger"):
                    self.on_slow(conn, why)
                conn.let_go(why)
        self._sweeper = self.loop.call_later(min(self.bounds.sweep_s, self.bounds.head_s / 4), self._sweep)

    def close_idle(self) -> None:
        """In order: what a client has sent and nobody has read yet, it may send again elsewhere."""
        for conn in [conn for conn in self.open if conn.phase == "idle" and not conn.dead]:
            conn.let_go("idle")

    def refuse_begun(self, text: str) -> None:
        """Whoever is in the middle of a request hears that it was not taken."""
        for conn in [conn for conn in self.open if conn.phase in ("head", "body", "room") and not conn.dead]:
            conn.refuse_begun(text)

    @property
    def unread(self) -> bool:
        """Bytes of clients have arrived that nobody has read."""
        return any(conn.speaks for conn in self.open if not conn.dead and conn.phase in ("idle", "head", "body"))

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
