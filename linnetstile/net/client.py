"""Client connections and the pool that keeps them, by address; one request of a connection at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..codec import http1
from ..decisions.evidence import Sight
from .wire import Wire

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Answer:
    """How a call ended; `head` and `body` only where it was answered."""

    sight: Sight
    head: http1.Response | None = None
    body: bytes = b""


class Call:
    """One request on its way. `done` is called once, never from within `Pool.call`."""

    def __init__(self, done: Callable[[Answer], None]) -> None:
        self.done: Callable[[Answer], None] | None = done
        self.conn: ClientConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.written = False
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, answer: Answer) -> None:
        done, self.done = self.done, None
        if self.timer:
            self.timer.cancel()
        if done:
            done(answer)

    def forget(self) -> None:
        """Nobody waits any more; the connection may still end in order and be kept."""
        self.done = None

    def abort(self, sight: Sight) -> None:
        """Ends it now. A connection on which a request is out can't be kept."""
        if self.connecting:
            self.connecting.cancel()
            sight = Sight.NO_CONNECTION
        conn, self.conn = self.conn, None
        if conn:
            conn.call = None
            conn.transport.abort()
        self.finish(Answer(sight))


class ClientConnection(Wire):
    def __init__(self, pool: Pool, address: Address) -> None:
        self.pool = pool
        self.address = address
        self.parser = http1.Parser(client=True, limits=pool.limits)
        self.call: Call | None = None
        self.head: http1.Response | None = None
        self.pieces: list[bytes] = []
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.pool.open.add(self)

    def send(self, call: Call, method: str, data: bytes) -> bool:
        """False if not a byte left: the connection had died, or the first write met that it has."""
        if self.dead:
            return False
        self.call, call.conn = call, self
        self.parser.expect(method)
        self.transport.write(data)
        if self.transport.is_closing():  # the only write, into an empty buffer, failed as a whole
            self.call = call.conn = None
            return False
        call.written = True
        return True

    def received(self, data: memoryview) -> None:
        if self.call is None:  # bytes that answer nothing: such a connection can't be trusted with a request
            self.transport.abort()
            return
        try:
            events = self.parser.feed(data)
        except http1.ProtocolError:
            events = []
        self._take(events)
        if self.parser.failed and self.call is not None:
            self.call.abort(Sight.GARBLED)

    def _take(self, events: list[http1.Event]) -> None:
        for event in events:
            if isinstance(event, http1.Response):
                self.head = event
            elif isinstance(event, http1.Data):
                self.pieces.append(event.data)
            elif isinstance(event, http1.End):
                self._answered()

    def _answered(self) -> None:
        call, head, body = self.call, self.head, b"".join(self.pieces)
        self.call = self.head = None
        self.pieces.clear()
        assert call is not None and head is not None
        call.conn = None
        unsent = self.transport.get_write_buffer_size()  # an answer that came before the request was out
        if head.keep_alive and self.parser.idle and not unsent and not self.dead:
            self.pool.keep(self)
        else:
            self.transport.close()
        call.finish(Answer(Sight.ANSWERED, head, body))

    def eof_received(self) -> None:
        if self.call is not None and not self.parser.failed:
            try:
                self._take(self.parser.eof())
            except http1.ProtocolError:
                return

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.pool.drop(self)
        call, self.call = self.call, None
        if call is not None:
            call.conn = None
            call.finish(Answer(Sight.LOST))


class Pool:
    """Keeps idle connections for `idle_s` at most, newest first; counters in `counts`."""

    def __init__(self, connect_s: float = 3.0, idle_s: float = 15.0, limits: http1.Limits | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_s = connect_s
        self.idle_s = idle_s
        self.limits = limits or http1.Limits()
        self.idle: dict[Address, list[ClientConnection]] = {}
        self.open: set[ClientConnection] = set()
        self.counts = {"connects": 0, "reused": 0, "failed": 0}
        self._sweeper = self.loop.call_later(1.0, self._sweep)

    def call(self, address: Address, method: str, data: bytes, done: Callable[[Answer], None],
             until: float | None = None) -> Call:
        """Sends one request; `until` is the loop time at which it times out."""
        call = Call(done)
        if until is not None:
            call.timer = self.loop.call_at(until, call.abort, Sight.TIMED_OUT)
        idle = self.idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.send(call, method, data):
                self.counts["reused"] += 1
                return call
            # Not a byte left: another connection is no second attempt.
        call.connecting = self.loop.create_task(self._connect(call, address, method, data))
        return call

    async def _connect(self, call: Call, address: Address, method: str, data: bytes) -> None:
        self.counts["connects"] += 1
        try:
            async with asyncio.timeout(self.connect_s):
                _, conn = await self.loop.create_connection(lambda: ClientConnection(self, address), *address)
        except (OSError, TimeoutError):
            self.counts["failed"] += 1
            call.connecting = None
            call.finish(Answer(Sight.NO_CONNECTION))
            return
        call.connecting = None
        if call.done is None:
            conn.transport.close()
        elif not conn.send(call, method, data):
            call.finish(Answer(Sight.NOT_SENT))

    def keep(self, conn: ClientConnection) -> None:
        conn.idle_since = self.loop.time()
        self.idle.setdefault(conn.address, []).append(conn)

    def drop(self, conn: ClientConnection) -> None:
        self.open.discard(conn)
        idle = self.idle.get(conn.address, [])
        if conn in idle:
            idle.remove(conn)
        if not idle:
            self.idle.pop(conn.address, None)

    def close_idle(self, address: Address) -> int:
        conns = self.idle.pop(address, [])
        for conn in conns:
            conn.transport.close()
        return len(conns)

    def _sweep(self) -> None:
        old = self.loop.time() - self.idle_s
        for conn in [c for idle in self.idle.values() for c in idle if c.idle_since < old]:
            self.drop(conn)
            conn.transport.close()
        self._sweeper = self.loop.call_later(1.0, self._sweep)

    def close(self) -> None:
        self._sweeper.cancel()
        for conn in list(self.open):
            conn.transport.abort()


async def once(address: Address, method: str, data: bytes, seconds: float,
               limits: http1.Limits | None = None) -> Answer:
    """One call on a connection of its own, for tools."""
    answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    pool = Pool(limits=limits)
    try:
        pool.call(address, method, data, answered.set_result, asyncio.get_running_loop().time() + seconds)
        return await answered
    finally:
        pool.close()
