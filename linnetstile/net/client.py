"""Client connections and the pool that keeps them, by address; one request of a connection at a time."""

from __future__ import annotations

import asyncio
import errno
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..codec import http1
from ..engine.attempt_outcome import WireResult
from .connection import BufferedConnection
from .tls import Keys, Tls

# Host and port, or the path of a local socket; the third part of a longer one tells peers apart that use one address
# one after the other: a connection to the one that has gone is never used for its successor.
Address = tuple[str, int] | tuple[str, int, int] | str
TAIL_S = 1.0  # what is left of an answer that counts already may take so long, or its connection goes
Data = bytes | tuple[bytes, bytes]
Secure = tuple[Keys, str]  # with which keys, and the name that the peer's certificate is to show


def shown(address: Address) -> str:
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"


@dataclass(frozen=True, slots=True)
class Rates:
    """Least rates in bytes a second (0 = none asked for), and the stall in seconds that they forgive."""

    request: float = 0.0  # at which a peer reads
    response: float = 0.0  # at which it answers, from the first byte of its answer on
    grace_s: float = 5.0


@dataclass(frozen=True, slots=True)
class Answer:
    """How a call ended; `head` and `body` only where it was answered. `whole`: the last byte of the request had left
    this process, so that the peer may have had all of it. `claimed`: the status in the first line of an answer whose
    rest has not come or can't be read; 0 = none can be read. `reused`: it went out on a connection kept from
    an earlier call."""

    sight: WireResult
    head: http1.Response | None = None
    body: bytes = b""
    whole: bool = True
    claimed: int = 0
    reused: bool = False


class Call:
    """One request on its way. `done` is called once, never from within `Pool.call`."""

    def __init__(self, done: Callable[[Answer], None]) -> None:
        self.done: Callable[[Answer], None] | None = done
        self.conn: ClientConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.written = False
        self.reused = False
        self.hold_s = 0.0
        self.begin_by = math.inf  # loop time, s
        self.timer: asyncio.TimerHandle | None = None

    def finish(self, answer: Answer) -> None:
        done, self.done = self.done, None
        if self.timer:
            self.timer.cancel()
        if done:
            done(replace(answer, reused=True) if self.reused else answer)

    def forget(self) -> None:
        """Nobody waits any more; the connection may still end in order and be kept."""
        self.done = None

    def _unsent(self) -> WireResult | None:
        """What an end proves as long as the last byte has not left: the rest of the request goes with the connection,
        and it never was whole. None once it has left."""
        if self.connecting:
            return WireResult.NO_CONNECTION
        return WireResult.REQUEST_INCOMPLETE if self.conn is not None and self.conn.partial else None

    def abort(self, sight: WireResult) -> None:
        """Ends it now."""
        self._end(self._unsent() or sight)

    def recall(self) -> None:
        """Ends it as not sent if the peer can't have had all of it; else nothing changes."""
        if self.done is not None and self._unsent():
            self._end(WireResult.NOT_SENT)

    def _end(self, sight: WireResult) -> None:
        """A connection on which a request is out can't be kept."""
        if self.connecting:
            self.connecting.cancel()
        conn, self.conn = self.conn, None
        claimed = 0
        if conn:
            conn.call = None
            claimed = conn.parser.claimed
            conn.transport.abort()
        self.finish(Answer(sight, claimed=claimed))


class ClientConnection(BufferedConnection):
    def __init__(self, pool: Pool, address: Address) -> None:
        self.pool = pool
        self.address = address
        self.parser = http1.Parser(client=True, limits=pool.limits)
        self.call: Call | None = None
        self.head: http1.Response | None = None
        self.pieces: list[bytes] = []
        self.idle_since = 0.0
        self.held = b""  # the end of a request that is held back
        self.began = pool.loop.time()  # of the call
        self.metered(pool.rates.response, pool.rates.request, pool.rates.grace_s)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.pool.open.add(self)

    @property
    def partial(self) -> bool:
        """A byte of the request has not left this process. RFC 9112, 8: what is not complete can't be acted on, and
        an AS2 message has its digest over all of it."""
        return self.blocked or self.queued > 0 or bool(self.held)

    def began_to_speak(self) -> bool:
        """The kernel holds bytes or the end of a connection on which nothing is out. Guards the next request against
        the rest of an answer that brought too much, and against a connection that its peer has closed."""
        if self.speaks:
            self.transport.abort()
            return True
        return False

    def send(self, call: Call, method: str, data: Data) -> bool:
        """False if not a byte left: the connection had died, or the first write met that it has, or it is too late."""
        if self.dead or self.pool.loop.time() > call.begin_by:
            return False
        self.call, call.conn = call, self
        self.began = self.pool.loop.time()
        self.came = self.counted = 0
        self.meter_in.pause()
        self.parser.expect(method)
        if call.hold_s > 0:
            joined = data if isinstance(data, bytes) else b"".join(data)
            self.held = joined[-1:]
            self.put(joined[:-1])
            self.pool.loop.call_later(call.hold_s, self._release, call)
        else:
            self.put(data) if isinstance(data, bytes) else self.put(*data)
        if self.transport.is_closing():  # the first write, into an empty buffer, failed as a whole
            self.call = call.conn = None
            return False
        call.written = True
        if self.partial and call.begin_by < math.inf:
            self.pool.loop.call_at(call.begin_by, self._late, call)
        return True

    def _late(self, call: Call) -> None:
        """What has not left by now must not: a peer that reads on, or a network that is back, would have it whole."""
        if self.call is call and self.partial:
            call.abort(WireResult.REQUEST_INCOMPLETE)

    def _release(self, call: Call) -> None:
        if self.call is call and self.held:
            held, self.held = self.held, b""
            self.put(held)

    def overdue(self, now: float) -> str:
        """Which least rate the peer is below, if any; ticks the meters. Times in ms."""
        if self.call is None:
            return ""
        went = self.went_out()
        if self.partial:
            return "request_rate" if self.meter_out.tick(now, went) else ""
        self.meter_out.pause()
        came = self.came_in()
        # Until the first byte of an answer a peer works, and its time is the caller's to bound.
        return "response_rate" if self.came and self.meter_in.tick(now, came) else ""

    def received(self, data: memoryview) -> None:
        self.came += len(data)
        if self.call is None:  # bytes that answer nothing: such a connection can't be trusted with a request
            self.transport.abort()
            return
        try:
            events = self.parser.feed(data)
        except http1.ProtocolError:
            events = []
        self._take(events)
        call = self.call
        if call is None:
            return
        if self.pool.eager and call.done is not None and self.parser.claimed == 200:
            # Its first line is true whatever follows: the peer's slot is free, and so is ours. The rest is only read
            # to see whether the connection can be used again.
            call.finish(Answer(WireResult.ANSWERED, self.head, b"", not self.partial, 200))
            call.timer = self.pool.loop.call_later(TAIL_S, call.abort, WireResult.TIMED_OUT)
        if self.parser.failed:
            call.abort(WireResult.MALFORMED)

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
        partial = self.partial  # an answer that came before the request was out
        if head.keep_alive and self.parser.idle and not self.parser.failed and not partial and not self.dead:
            self.pool.keep(self)
        else:
            self.transport.abort() if partial else self.transport.close()
        call.finish(Answer(WireResult.ANSWERED, head, body, not partial))

    def eof_received(self) -> None:
        if self.call is not None and not self.parser.failed:
            try:
                self._take(self.parser.eof())
            except http1.ProtocolError:
                return

    def connection_lost(self, exc: Exception | None) -> None:
        partial = self.partial
        super().connection_lost(exc)
        self.pool.drop(self)
        call, self.call = self.call, None
        if call is not None:
            call.conn = None
            call.finish(
                Answer(
                    WireResult.REQUEST_INCOMPLETE if partial else WireResult.CONNECTION_LOST,
                    claimed=self.parser.claimed,
                )
            )


class Pool:
    """Keeps idle connections for `idle_s` at most and `most_idle` of them, newest first; counters in `counts`. An
    `eager` one tells of a 200 as soon as its first line can be read (the platform's peers mean it)."""

    def __init__(
        self,
        connect_s: float = 3.0,
        idle_s: float = 15.0,
        limits: http1.Limits | None = None,
        rates: Rates | None = None,
        on_slow: Callable[[ClientConnection, str], None] | None = None,
        eager: bool = False,
        most_idle: int = 1 << 30,
    ) -> None:
        self.eager, self.most_idle = eager, most_idle
        self.loop = asyncio.get_running_loop()
        self.connect_s = connect_s
        self.idle_s = idle_s
        self.limits = limits or http1.Limits()
        self.rates = rates or Rates()
        self.on_slow = on_slow or (lambda conn, why: None)
        self.idle: dict[Address, list[ClientConnection]] = {}
        self.resting = 0  # idle connections
        self.open: set[ClientConnection] = set()
        self.counts = {"connects": 0, "reused": 0, "failed": 0, "no_descriptors": 0}
        self._every = 0.25 if self.rates.request or self.rates.response else 1.0
        self._sweeper = self.loop.call_later(self._every, self._sweep)

    def call(
        self,
        address: Address,
        method: str,
        data: Data,
        done: Callable[[Answer], None],
        until: float | None = None,
        secure: Secure | None = None,
        hold_s: float = 0.0,
        begin_by: float = math.inf,
    ) -> Call:
        """Sends one request, in one piece or several; `until` is the loop time at which it times out. Its last byte is
        held back for `hold_s`: a connection that ends before then, as one does that had been closed, had no request.
        It leaves by the loop time `begin_by` or not at all, however long a connection takes to be made."""
        call = Call(done)
        if until is not None:
            call.timer = self.loop.call_at(until, call.abort, WireResult.TIMED_OUT)
        idle = self.idle.get(address, [])
        call.hold_s, call.begin_by = hold_s, begin_by
        while idle and self.loop.time() <= begin_by:
            conn = idle.pop()
            self.resting -= 1
            # Under TLS there may be records that are not for us.
            if conn.dead or secure is None and conn.began_to_speak():
                continue
            if conn.send(call, method, data):
                self.counts["reused"] += 1
                call.reused = True
                return call
            # Not a byte left: another connection is no second attempt.
        call.connecting = self.loop.create_task(self._connect(call, address, method, data, secure))
        return call

    async def _connect(self, call: Call, address: Address, method: str, data: Data, secure: Secure | None) -> None:
        self.counts["connects"] += 1
        sight = WireResult.NO_CONNECTION
        conn: ClientConnection | None = None
        try:
            async with asyncio.timeout(min(self.connect_s, call.begin_by - self.loop.time())):
                try:
                    conn = await self._open(address, secure)
                except OSError as error:
                    if error.errno not in (errno.EMFILE, errno.ENFILE):
                        raise
                    # Our own want of descriptors proves nothing about the peer.
                    sight = WireResult.NOT_SENT
                    self.counts["no_descriptors"] += 1
                    for other in list(self.idle):
                        self.close_idle(other)
                    await asyncio.sleep(0)
                    conn = await self._open(address, secure)
        except (OSError, TimeoutError):
            self.counts["failed"] += 1
            call.connecting = None
            call.finish(Answer(WireResult.NOT_SENT if self.loop.time() >= call.begin_by else sight))
            return
        call.connecting = None
        if call.done is None:
            conn.transport.close()
        elif not conn.send(call, method, data):
            if not conn.dead:
                self.keep(conn)  # too late for this call, and good for another one
            call.finish(Answer(WireResult.NOT_SENT))

    async def _open(self, address: Address, secure: Secure | None) -> ClientConnection:
        conn = ClientConnection(self, address)
        if isinstance(address, str):
            await self.loop.create_unix_connection(lambda: conn, address)
            return conn
        if secure is None:
            await self.loop.create_connection(lambda: conn, address[0], address[1])
            return conn
        ready: asyncio.Future[str | None] = self.loop.create_future()
        keys, name = secure

        def told(why: str | None) -> None:
            if not ready.done():
                ready.set_result(why)

        await self.loop.create_connection(lambda: Tls(conn, keys.context, False, name, told), address[0], address[1])
        try:
            why = await ready
        except asyncio.CancelledError:
            conn.transport.abort()
            raise
        if why is not None:
            self.on_slow(conn, f"handshake: {why}")
            raise ConnectionError(why)
        return conn

    def keep(self, conn: ClientConnection) -> None:
        conn.idle_since = self.loop.time()
        self.idle.setdefault(conn.address, []).append(conn)
        self.resting += 1
        if self.resting > self.most_idle:
            oldest = min((idle[0] for idle in self.idle.values() if idle), key=lambda each: each.idle_since)
            self.drop(oldest)
            oldest.transport.close()

    def drop(self, conn: ClientConnection) -> None:
        self.open.discard(conn)
        idle = self.idle.get(conn.address, [])
        if conn in idle:
            idle.remove(conn)
            self.resting -= 1
        if not idle:
            self.idle.pop(conn.address, None)

    def close_idle(self, address: Address) -> int:
        conns = self.idle.pop(address, [])
        self.resting -= len(conns)
        for conn in conns:
            conn.transport.close()
        return len(conns)

    def _sweep(self) -> None:
        old = self.loop.time() - self.idle_s
        for conn in [c for idle in self.idle.values() for c in idle if c.idle_since < old]:
            self.drop(conn)
            conn.transport.close()
        now = self.loop.time() * 1000
        for conn in list(self.open):
            why = conn.overdue(now)
            if why and conn.call is not None:
                self.on_slow(conn, why)
                conn.call.abort(WireResult.TIMED_OUT)
        self._sweeper = self.loop.call_later(self._every, self._sweep)

    def close(self) -> None:
        self._sweeper.cancel()
        for conn in list(self.open):
            conn.transport.abort()


async def once(address: Address, method: str, data: Data, seconds: float, limits: http1.Limits | None = None) -> Answer:
    """One call on a connection of its own, for tools."""
    answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    pool = Pool(limits=limits)
    try:
        pool.call(address, method, data, answered.set_result, asyncio.get_running_loop().time() + seconds)
        return await answered
    finally:
        pool.close()
