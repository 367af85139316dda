"""The client's connection pool: checks idle connections before reuse, and can delay the last byte of a request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from linnetstile.codec import http1
from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.net import client

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REQUEST = http1.encode_request("POST", "/", [("Host", "x")], b"body")


class ScriptedPeer:
    """Answers each complete request with 200; counts connections and complete requests."""

    def __init__(self) -> None:
        self.connections = self.complete_requests = 0
        self.received_pieces: list[bytes] = []
        self.reset_on_bytes = False
        self.extra_bytes: list[bytes] = []  # one entry is written after each response
        self.writers: list[asyncio.StreamWriter] = []
        self.may_read: asyncio.Event | None = None  # if set, the peer reads nothing until this event

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        if self.may_read is not None:
            await self.may_read.wait()
        data = b""
        while piece := await reader.read(1000):
            data += piece
            self.received_pieces.append(piece)
            if self.reset_on_bytes:
                writer.transport.abort()
                return
            if data.endswith(b"body"):
                self.complete_requests += 1
                data = b""
                writer.write(RESPONSE + (self.extra_bytes.pop(0) if self.extra_bytes else b""))
        writer.close()


def run_scenario(
    scenario: Callable[[ScriptedPeer, client.ConnectionPool, client.Address], Awaitable[None]], max_idle: int = 100
) -> None:
    async def run() -> None:
        peer = ScriptedPeer()
        server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        pool = client.ConnectionPool(finish_at_status_line=True, max_idle=max_idle)
        host, port = server.sockets[0].getsockname()[:2]
        try:
            await scenario(peer, pool, client.IdentifiedAddress(host, port, 1))
        finally:
            pool.close()
            for writer in peer.writers:
                writer.transport.abort()
            server.close()
            await asyncio.sleep(0)

    asyncio.run(run())


async def send_request(
    pool: client.ConnectionPool,
    address: client.Address,
    last_byte_delay_s: float = 0.0,
    send_within_s: float = 9.0,
    data: bytes = REQUEST,
) -> client.CallResult:
    answered: asyncio.Future[client.CallResult] = asyncio.get_running_loop().create_future()
    pool.call(
        address,
        "POST",
        data,
        answered.set_result,
        pool.loop.time() + 3,
        last_byte_delay_s=last_byte_delay_s,
        send_before=pool.loop.time() + send_within_s,
    )
    return await answered


def test_delayed_last_byte_completes_the_request() -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        answer = await send_request(pool, address, 0.05)
        assert answer.wire_result is WireResult.ANSWERED
        assert peer.received_pieces == [REQUEST[:-1], REQUEST[-1:]]
        assert (await send_request(pool, address, 0.05)).reused_connection
        assert peer.connections == 1

    run_scenario(scenario)


def test_connection_that_ends_before_the_last_byte_leaves_the_request_incomplete() -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        peer.reset_on_bytes = True
        assert (await send_request(pool, address, 0.5)).wire_result is WireResult.REQUEST_INCOMPLETE
        assert peer.complete_requests == 0
        # Without the delay the peer may have received the complete request.
        assert (await send_request(pool, address)).wire_result is WireResult.CONNECTION_LOST

    run_scenario(scenario)


def test_idle_connection_with_unread_input_is_not_reused() -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        await send_request(pool, address)
        (connection,) = pool.idle_connections.by_address[address]
        peer.writers[0].write(RESPONSE)  # a response to a request that was not sent yet
        connection.transport.pause_reading()
        await asyncio.sleep(0.05)
        answer = await send_request(pool, address)
        assert answer.wire_result is WireResult.ANSWERED
        assert not answer.reused_connection
        assert peer.connections == 2
        assert peer.complete_requests == 2

    run_scenario(scenario)


def test_bytes_after_a_response_end_the_connection() -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        for extra in (RESPONSE, b"\x00noise", b"\r\n"):
            peer.extra_bytes = [extra]
            assert (await send_request(pool, address)).wire_result is WireResult.ANSWERED
            assert not pool.idle_connections.by_address.get(address)
        assert peer.connections == 3

    run_scenario(scenario)


def test_idle_connections_are_limited_and_not_reused_for_a_later_peer_at_the_address() -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        await asyncio.gather(*(send_request(pool, address) for _ in range(5)))
        assert pool.idle_count == len(pool.idle_connections.by_address[address]) == 2
        other = client.IdentifiedAddress(str(address[0]), int(address[1]), 3)
        # These calls take both idle connections of the address, so that no idle one is left there.
        delayed_calls = [asyncio.ensure_future(send_request(pool, address, 0.2)) for _ in range(2)]
        answers = await asyncio.gather(*(send_request(pool, other) for _ in range(4)), *delayed_calls)
        assert {answer.wire_result for answer in answers} == {WireResult.ANSWERED}
        assert pool.idle_count == sum(map(len, pool.idle_connections.by_address.values())) == 2
        successor = client.IdentifiedAddress(str(address[0]), int(address[1]), 2)
        assert not (await send_request(pool, successor)).reused_connection
        pool.close_idle(successor)
        assert pool.idle_count == sum(map(len, pool.idle_connections.by_address.values()))

    run_scenario(scenario, max_idle=2)


@pytest.mark.parametrize(("connect_delay_s", "result"), [(0.0, WireResult.ANSWERED), (0.6, WireResult.NOT_SENT)])
def test_connection_opened_too_late_sends_nothing(
    connect_delay_s: float, result: WireResult, monkeypatch: pytest.MonkeyPatch
) -> None:
    open_connection = client.ConnectionPool._open

    async def open_slowly(pool: client.ConnectionPool, *address: Any) -> client.ClientConnection:
        await asyncio.sleep(connect_delay_s)
        return await open_connection(pool, *address)

    monkeypatch.setattr(client.ConnectionPool, "_open", open_slowly)

    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        assert (await send_request(pool, address, send_within_s=0.3)).wire_result is result
        await asyncio.sleep(connect_delay_s)
        assert peer.complete_requests == (result is WireResult.ANSWERED)

    run_scenario(scenario)


def test_connection_opened_just_too_late_stays_open_for_another_call() -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        connection = await pool._open(address, None)
        answered: asyncio.Future[client.CallResult] = pool.loop.create_future()
        call = client.Call(answered.set_result)
        call.send_before = pool.loop.time() - 0.001
        assert not connection.send(call, "POST", REQUEST)
        assert not connection.is_closing
        assert (await send_request(pool, address, send_within_s=-0.001)).wire_result is WireResult.NOT_SENT
        await asyncio.sleep(0.05)
        assert peer.complete_requests == 0
        assert not peer.received_pieces

    run_scenario(scenario)


@pytest.mark.parametrize("last_byte_delay_s", [0.0, 5.0])
def test_last_byte_is_never_sent_after_its_deadline(last_byte_delay_s: float) -> None:
    data = (
        REQUEST
        if last_byte_delay_s
        else http1.encode_request("POST", "/", [("Host", "x")], bytes(16_000_000) + b"body")
    )

    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        peer.may_read = asyncio.Event()
        assert (
            await send_request(pool, address, last_byte_delay_s, 0.2, data)
        ).wire_result is WireResult.REQUEST_INCOMPLETE
        peer.may_read.set()
        await asyncio.sleep(0.1)
        assert peer.complete_requests == 0

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("stage", "result"),
    [
        ("connecting", WireResult.NOT_SENT),
        ("last byte delayed", WireResult.NOT_SENT),
        ("writing blocked", WireResult.NOT_SENT),
        ("sent", WireResult.ANSWERED),
    ],
)
def test_cancelled_call_is_not_sent_unless_its_last_byte_was_sent(stage: str, result: WireResult) -> None:
    data = (
        REQUEST
        if stage != "writing blocked"
        else http1.encode_request("POST", "/", [("Host", "x")], bytes(16_000_000) + b"body")
    )

    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        peer.may_read = asyncio.Event()
        answered: asyncio.Future[client.CallResult] = pool.loop.create_future()
        call = pool.call(
            address, "POST", data, answered.set_result, last_byte_delay_s=0.3 if stage == "last byte delayed" else 0.0
        )
        if stage != "connecting":
            await asyncio.sleep(0.1)
        call.cancel_if_unsent()
        peer.may_read.set()
        assert (await answered).wire_result is result
        await asyncio.sleep(0.3)
        assert peer.complete_requests == (stage == "sent")
        call.cancel_if_unsent()  # has no effect on a call that has ended

    run_scenario(scenario)


def run_scenario_with_idle_connection(
    scenario: Callable[[ScriptedPeer, client.ConnectionPool, client.Address], Awaitable[None]], min_idle_s: float
) -> None:
    """Run a scenario that starts with one connection, which has just become idle."""

    async def run_first_request(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        pool.min_idle_s = min_idle_s
        assert (await send_request(pool, address)).wire_result is WireResult.ANSWERED
        await scenario(peer, pool, address)

    run_scenario(run_first_request)


def test_connection_is_reused_only_after_it_has_been_idle_for_a_while() -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        (connection,) = pool.idle_connections.by_address[address]
        may_be_reused_at = connection.idle_since + 0.1
        assert (await send_request(pool, address)).reused_connection
        assert connection.call_started_at >= may_be_reused_at
        assert peer.connections == 1

    run_scenario_with_idle_connection(scenario, min_idle_s=0.1)


def test_surplus_response_during_the_wait_ends_the_connection_and_the_call_uses_another_one() -> None:
    """Guards against a response that is matched with the next call: the copy arrives while that call waits."""

    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        pool.loop.call_later(0.05, peer.writers[0].write, b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        answer = await send_request(pool, address)
        assert answer.head is not None
        assert answer.head.status == 200
        assert not answer.reused_connection
        assert peer.complete_requests == 2

    run_scenario_with_idle_connection(scenario, min_idle_s=0.1)


def test_one_call_waits_for_an_idle_connection_and_others_open_new_ones() -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        answers = await asyncio.gather(*(send_request(pool, address) for _ in range(3)))
        assert [answer.reused_connection for answer in answers] == [True, False, False]
        assert peer.connections == 3

    run_scenario_with_idle_connection(scenario, min_idle_s=0.1)


@pytest.mark.parametrize("ending", ["cancelled", "timed out", "send_before has passed", "pool closed"])
def test_call_that_ends_while_it_waits_for_an_idle_connection_was_not_sent(ending: str) -> None:
    async def scenario(peer: ScriptedPeer, pool: client.ConnectionPool, address: client.Address) -> None:
        answered: asyncio.Future[client.CallResult] = pool.loop.create_future()
        send_before = pool.loop.time() + (0.05 if ending == "send_before has passed" else 9.0)
        call = pool.call(address, "POST", REQUEST, answered.set_result, send_before=send_before)
        if ending == "cancelled":
            call.cancel_if_unsent()
        elif ending == "timed out":
            call.abort(WireResult.TIMED_OUT)
        elif ending == "pool closed":
            pool.close()
        assert (await answered).wire_result is WireResult.NOT_SENT
        assert peer.complete_requests == 1
        if ending != "pool closed":
            assert pool.idle_count == 1
            assert (await send_request(pool, address)).reused_connection

    run_scenario_with_idle_connection(scenario, min_idle_s=0.1)
