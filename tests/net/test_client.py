"""The pool: kept connections are looked at before use; a byte that is held back keeps a request unfinished."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from linnetstile.codec import http1
from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.net import client

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REQUEST = http1.request("POST", "/", [("Host", "x")], b"body")


class Peer:
    """Gives `answers` in turn, a whole request each; counts connections and whole requests."""

    def __init__(self) -> None:
        self.connections = self.whole = 0
        self.came: list[bytes] = []
        self.reset_on_bytes = False
        self.extra: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.reads: asyncio.Event | None = None  # nothing is read before

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        if self.reads is not None:
            await self.reads.wait()
        data = b""
        while piece := await reader.read(1000):
            data += piece
            self.came.append(piece)
            if self.reset_on_bytes:
                writer.transport.abort()
                return
            if data.endswith(b"body"):
                self.whole += 1
                data = b""
                writer.write(OK + (self.extra.pop(0) if self.extra else b""))
        writer.close()


def play(story: Callable[[Peer, client.Pool, client.Address], Awaitable[None]], most_idle: int = 100) -> None:
    async def run() -> None:
        peer = Peer()
        server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        pool = client.Pool(eager=True, most_idle=most_idle)
        host, port = server.sockets[0].getsockname()[:2]
        try:
            await story(peer, pool, (host, port, 1))
        finally:
            pool.close()
            for writer in peer.writers:
                writer.transport.abort()
            server.close()
            await asyncio.sleep(0)

    asyncio.run(run())


async def call(
    pool: client.Pool, where: client.Address, hold_s: float = 0.0, begin_s: float = 9.0, data: bytes = REQUEST
) -> client.Answer:
    answered: asyncio.Future[client.Answer] = asyncio.get_running_loop().create_future()
    pool.call(
        where,
        "POST",
        data,
        answered.set_result,
        pool.loop.time() + 3,
        hold_s=hold_s,
        begin_by=pool.loop.time() + begin_s,
    )
    return await answered


def test_held_back_byte_comes_late_and_makes_the_request_whole() -> None:
    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        answer = await call(pool, where, 0.05)
        assert answer.sight is WireResult.ANSWERED and peer.came == [REQUEST[:-1], REQUEST[-1:]]
        assert (await call(pool, where, 0.05)).reused and peer.connections == 1

    play(story)


def test_connection_that_ends_before_the_last_byte_proves_that_nothing_ran() -> None:
    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        peer.reset_on_bytes = True
        assert (await call(pool, where, 0.5)).sight is WireResult.REQUEST_INCOMPLETE and peer.whole == 0
        assert (await call(pool, where)).sight is WireResult.CONNECTION_LOST  # without it the end proves nothing

    play(story)


def test_kept_connection_that_was_closed_or_speaks_is_not_used() -> None:
    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        await call(pool, where)
        (conn,) = pool.idle[where]
        peer.writers[0].write(OK)  # as an answer to a request that is still to come
        conn.transport.pause_reading()
        await asyncio.sleep(0.05)
        answer = await call(pool, where)
        assert answer.sight is WireResult.ANSWERED and not answer.reused
        assert peer.connections == 2 and peer.whole == 2

    play(story)


def test_answer_with_more_behind_it_ends_its_connection() -> None:
    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        for extra in (OK, b"\x00noise", b"\r\n"):
            peer.extra = [extra]
            assert (await call(pool, where)).sight is WireResult.ANSWERED
            assert not pool.idle.get(where)
        assert peer.connections == 3

    play(story)


def test_no_more_idle_connections_are_kept_than_told_and_none_for_a_successor() -> None:
    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        await asyncio.gather(*(call(pool, where) for _ in range(5)))
        assert pool.resting == len(pool.idle[where]) == 2
        other = (str(where[0]), int(where[1]), 3)
        both = [asyncio.ensure_future(call(pool, where, 0.2)) for _ in range(2)]  # an address with none idle
        answers = await asyncio.gather(*(call(pool, other) for _ in range(4)), *both)
        assert {answer.sight for answer in answers} == {WireResult.ANSWERED}
        assert pool.resting == sum(map(len, pool.idle.values())) == 2
        successor = (str(where[0]), int(where[1]), 2)
        assert not (await call(pool, successor)).reused
        pool.close_idle(successor)
        assert pool.resting == sum(map(len, pool.idle.values()))

    play(story, most_idle=2)


@pytest.mark.parametrize(("makes_s", "sight"), [(0.0, WireResult.ANSWERED), (0.6, WireResult.NOT_SENT)])
def test_connection_that_comes_up_too_late_carries_nothing(
    makes_s: float, sight: WireResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    opens = client.Pool._open

    async def slow(pool: client.Pool, *where: Any) -> client.ClientConnection:
        await asyncio.sleep(makes_s)
        return await opens(pool, *where)

    monkeypatch.setattr(client.Pool, "_open", slow)

    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        assert (await call(pool, where, begin_s=0.3)).sight is sight
        await asyncio.sleep(makes_s)
        assert peer.whole == (sight is WireResult.ANSWERED)

    play(story)


def test_connection_that_came_up_in_the_last_moment_waits_for_another_call() -> None:
    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        conn = await pool._open(where, None)
        late: asyncio.Future[client.Answer] = pool.loop.create_future()
        attempt = client.Call(late.set_result)
        attempt.send_before = pool.loop.time() - 0.001
        assert not conn.send(attempt, "POST", REQUEST) and not conn.dead
        assert (await call(pool, where, begin_s=-0.001)).sight is WireResult.NOT_SENT
        await asyncio.sleep(0.05)
        assert peer.whole == 0 and not peer.came

    play(story)


@pytest.mark.parametrize("hold_s", [0.0, 5.0])
def test_last_byte_that_has_not_left_in_time_never_leaves(hold_s: float) -> None:
    big = REQUEST if hold_s else http1.request("POST", "/", [("Host", "x")], bytes(16_000_000) + b"body")

    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        peer.reads = asyncio.Event()
        assert (await call(pool, where, hold_s, 0.2, big)).sight is WireResult.REQUEST_INCOMPLETE
        peer.reads.set()
        await asyncio.sleep(0.1)
        assert peer.whole == 0

    play(story)


@pytest.mark.parametrize(
    ("stage", "sight"),
    [
        ("connecting", WireResult.NOT_SENT),
        ("held", WireResult.NOT_SENT),
        ("blocked", WireResult.NOT_SENT),
        ("out", WireResult.ANSWERED),
    ],
)
def test_recalled_call_is_not_sent_as_long_as_its_last_byte_has_not_left(stage: str, sight: WireResult) -> None:
    big = REQUEST if stage != "blocked" else http1.request("POST", "/", [("Host", "x")], bytes(16_000_000) + b"body")

    async def story(peer: Peer, pool: client.Pool, where: client.Address) -> None:
        peer.reads = asyncio.Event()
        answered: asyncio.Future[client.Answer] = pool.loop.create_future()
        one = pool.call(where, "POST", big, answered.set_result, hold_s=0.3 if stage == "held" else 0.0)
        if stage != "connecting":
            await asyncio.sleep(0.1)
        one.recall()
        peer.reads.set()
        assert (await answered).sight is sight
        await asyncio.sleep(0.3)
        assert peer.whole == (stage == "out")
        one.recall()  # one that has ended stays as it is

    play(story)
