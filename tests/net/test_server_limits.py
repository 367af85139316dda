"""Limits on the connections of a server: peers that stop in the middle of a request, and the checks of the limits."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import gc
import weakref
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.net import client, client_pool, server_limits
from linnetstile.net.periodic_timers import PeriodicTimers
from linnetstile.net.server import RequestConnection, RequestContext, Server, ServerLimits
from linnetstile.net.server_connection import EVENTS_PER_PASS, ServerConnection
from linnetstile.net.server_limits import LINGER_TIMEOUT_S

HALF_REQUEST = b"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhello"
NO_SWEEP_S = 3600.0  # the tests check the limits themselves, so that the order of events is the same each time
LIMITS = ServerLimits(max_connections=64, sweep_interval_s=NO_SWEEP_S, head_timeout_s=NO_SWEEP_S)
OnHead = Callable[[RequestContext], None]


def wait_for_body(request: RequestContext) -> None:
    """Accept the head: the body is read."""


def reject_and_close(request: RequestContext) -> None:
    request.reply(400, close=True)


def reject_and_skip_body(request: RequestContext) -> None:
    request.reply(400)


def answer_unless_answered(request: RequestContext) -> None:
    if not request.answered:
        request.reply(200)


ANSWERS_TO_HEAD: dict[str, OnHead] = {
    "none, as the body is expected": wait_for_body,
    "an error that closes the connection": reject_and_close,
    "an error after which the body is skipped": reject_and_skip_body,
}


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():  # noqa: ASYNC110  a condition on any state has no event to wait for
            await asyncio.sleep(0.001)


def run_with_server(
    scenario: Callable[[Server, int], Awaitable[None]],
    on_head: OnHead = wait_for_body,
    handler: OnHead = answer_unless_answered,
    expected_faults: int = 0,
    limits: ServerLimits = LIMITS,
) -> None:
    """Run a scenario with a server; fail unless its callbacks raised the expected number of exceptions."""

    async def run() -> None:
        faults: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: faults.append(context.get("exception")))
        server = Server(handler, on_head=on_head, limits=limits)
        port = await server.start()
        try:
            await scenario(server, port)
        finally:
            server.close()
            await asyncio.sleep(0.01)
        assert len(faults) == expected_faults

    asyncio.run(run())


def expire_body(connection: RequestConnection) -> None:
    """Let the deadline of the body of the current request have passed."""
    if connection.current_request is not None:
        connection.current_request.body_deadline = connection.server.loop.time() - 1.0


def expire_linger(connection: RequestConnection) -> None:
    """Let the last response have been written for longer than the connection is kept."""
    if connection.linger_started_at is not None:
        connection.linger_started_at -= LINGER_TIMEOUT_S + 1


@pytest.mark.parametrize("answer", ANSWERS_TO_HEAD)
def test_peer_that_stops_in_the_middle_of_a_body_gets_one_response_and_is_closed(answer: str) -> None:
    # Guards against a second response after the last one, which raised RuntimeError and ended all checks of limits.
    async def scenario(server: Server, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HALF_REQUEST)
        await wait_until(lambda: any(connection.bytes_read for connection in server.connections))
        connection = next(iter(server.connections))
        expire_body(connection)
        server._sweep()
        expire_body(connection)
        server._sweep()
        expire_linger(connection)
        server._sweep()
        try:
            received = await asyncio.wait_for(reader.read(), 3.0)
        except ConnectionError:
            received = b"HTTP/1.1 "  # reset, and what had arrived is lost
        assert received.count(b"HTTP/1.1 ") == 1
        await wait_until(lambda: not server.connections)
        writer.close()

    run_with_server(scenario, ANSWERS_TO_HEAD[answer])


def test_exception_in_the_check_of_one_connection_ends_neither_the_checks_nor_those_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against the end of all time limits: the checks set their next timer in their last line.
    original = server_limits.violated_limit
    broken: list[RequestConnection] = []

    def violated_limit(connection: RequestConnection, now: float) -> str:
        if not broken:
            broken.append(connection)
            raise KeyError("state of this connection")
        return original(connection, now)

    async def scenario(server: Server, port: int) -> None:
        peers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(8)]
        await wait_until(lambda: len(server.connections) == len(peers))
        monkeypatch.setattr("linnetstile.net.server.violated_limit", violated_limit)
        await wait_until(lambda: broken)
        assert broken[0].is_closing
        for reader, writer in peers:
            with contextlib.suppress(ConnectionError):
                assert await asyncio.wait_for(reader.read(), 3.0) == b""
            writer.close()
        await wait_until(lambda: not server.connections)
        assert server.counts["let_go_head"] == len(peers) - 1

    run_with_server(scenario, limits=ServerLimits(sweep_interval_s=0.05, head_timeout_s=0.3), expected_faults=1)


def test_connection_whose_later_request_raises_an_exception_is_closed() -> None:
    # Guards against connections that stay open for ever: an exception in a scheduled step closed nothing.
    def handler(request: RequestContext) -> None:
        if request.head.target == "/broken":
            raise KeyError("state of this request")
        request.reply(200)

    async def scenario(server: Server, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(head % b"/first" + head % b"/broken")
        with contextlib.suppress(ConnectionError):
            await asyncio.wait_for(reader.read(), 3.0)
        await wait_until(lambda: not server.connections)
        writer.close()

    run_with_server(scenario, handler=handler, expected_faults=1)


def test_exception_in_a_job_ends_only_its_current_run() -> None:
    runs: list[int] = []

    def job() -> None:
        runs.append(len(runs))
        if len(runs) == 1:
            raise KeyError("first run")

    async def scenario(server: Server, port: int) -> None:
        timers = PeriodicTimers()
        timers.run_every(1.0, job)
        await wait_until(lambda: len(runs) >= 3)
        timers.close()

    run_with_server(scenario, expected_faults=1)


def test_call_to_a_host_that_has_no_address_ends_at_once() -> None:
    # Guards against a call that ends only at its time-out: resolving such a name raises a ValueError.
    results: list[client.CallResult] = []

    async def scenario(server: Server, port: int) -> None:
        pool = client.ConnectionPool()
        pool.call(("a..b", 80), "GET", b"GET / HTTP/1.1\r\n\r\n", results.append)
        await wait_until(lambda: results)
        pool.close()

    run_with_server(scenario)
    assert [result.wire_result for result in results] == [WireResult.NO_CONNECTION]


def test_call_whose_connection_raises_an_unexpected_exception_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    results: list[client.CallResult] = []

    async def open_connection(connection: object, tls: object) -> None:
        raise KeyError("state of this connection")

    async def scenario(server: Server, port: int) -> None:
        monkeypatch.setattr(client_pool, "open_connection", open_connection)
        pool = client.ConnectionPool()
        pool.call(("127.0.0.1", port), "GET", b"GET / HTTP/1.1\r\n\r\n", results.append)
        await wait_until(lambda: results)
        pool.close()

    run_with_server(scenario, expected_faults=1)
    assert [result.wire_result for result in results] == [WireResult.NO_CONNECTION]


def test_connections_that_have_their_last_response_make_room_for_new_ones() -> None:
    # Guards against a listener that is full of peers that were rejected and stay.
    async def scenario(server: Server, port: int) -> None:
        rejected = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
        for _, writer in rejected:
            writer.write(HALF_REQUEST)
        await wait_until(lambda: sum(each.finished for each in server.connections) == len(rejected))
        for number in range(8):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % number)
            assert (await asyncio.wait_for(reader.readline(), 3.0)).startswith(b"HTTP/1.1 200")
            writer.close()
            await wait_until(lambda: all(each.finished for each in server.connections))
        for reader, writer in rejected:
            assert (await asyncio.wait_for(reader.readline(), 3.0)).startswith(b"HTTP/1.1 400")
            writer.close()

    def on_head(request: RequestContext) -> None:
        if request.head.method == "POST":
            request.reply(400, close=True)

    run_with_server(scenario, on_head, limits=dataclasses.replace(LIMITS, max_connections=4))


ENDED_CONNECTIONS = {
    "a complete request": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "a head that is not HTTP": b"\x00\x01\x02\r\n\r\n",
    "a head of very many short fields": b"GET / HTTP/1.1\r\nHost: x\r\n" + b"a:b\r\n" * 3000 + b"\r\n",
    "a body that is too long": b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n",
    "half a head": b"GET / HTTP/1.1\r\nHos",
    "half a body": HALF_REQUEST,
}


@pytest.mark.parametrize("kind", ENDED_CONNECTIONS)
def test_connection_that_has_ended_is_freed_without_a_garbage_collection(kind: str) -> None:
    # Guards against memory that grows with each client that is rejected: the error kept all that was being parsed.
    async def scenario(server: Server, port: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(ENDED_CONNECTIONS[kind])
        await wait_until(lambda: any(connection.bytes_read for connection in server.connections))
        await asyncio.sleep(0.01)
        connection = weakref.ref(next(iter(server.connections)))
        parser = weakref.ref(next(iter(server.connections)).input.parser)
        writer.transport.abort()
        await wait_until(lambda: not server.connections)
        await asyncio.sleep(0.01)
        assert connection() is None
        assert parser() is None

    gc.disable()
    try:
        run_with_server(scenario)
    finally:
        gc.enable()


async def is_rejected(reader: asyncio.StreamReader) -> bool:
    """Return whether a client is answered 503 a short time from now."""
    try:
        return (await asyncio.wait_for(reader.readline(), 0.2)).startswith(b"HTTP/1.1 503")
    except TimeoutError:
        return False


def test_request_that_holds_the_most_is_rejected_when_all_together_hold_too_much() -> None:
    # Guards against a process that passes its memory limit by incomplete requests.
    async def scenario(server: Server, port: int) -> None:
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n"
        small_reader, small_writer = await asyncio.open_connection("127.0.0.1", port)
        small_writer.write(head + b"x" * 100)
        await wait_until(lambda: server.input_memory.total_bytes == 100)
        large = [await asyncio.open_connection("127.0.0.1", port) for _ in range(6)]
        for _, writer in large:
            writer.write(head + b"x" * 40_000)
        await wait_until(lambda: server.counts.get("let_go_memory", 0) >= 4)
        assert server.input_memory.total_bytes <= 100_000
        rejected = [(reader, writer) for reader, writer in large if await is_rejected(reader)]
        assert len(rejected) == server.counts["let_go_memory"]
        small_writer.write(b"x" * 59_900)
        assert (await asyncio.wait_for(small_reader.readline(), 3.0)).split()[1] == b"200"
        for _, writer in [*large, (small_reader, small_writer)]:
            writer.close()
        await wait_until(lambda: not server.connections)
        assert server.input_memory.total_bytes == 0

    run_with_server(scenario, limits=dataclasses.replace(LIMITS, max_input_bytes=100_000))


def test_body_in_very_many_small_chunks_is_read_a_few_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against one client whose small chunks delay all others: all that had been read were handled in one pass.
    chunks = 5000
    add_body_data = ServerConnection._add_body_data
    handled_by_pass: Counter[int] = Counter()
    bodies: list[bytes] = []

    def handler(request: RequestContext) -> None:
        bodies.append(request.body)
        request.reply(200)

    async def scenario(server: Server, port: int) -> None:
        current_pass = 0

        def count_pass() -> None:
            nonlocal current_pass
            current_pass += 1
            server.loop.call_soon(count_pass)

        def add_and_count(self: ServerConnection, data: bytes) -> None:
            handled_by_pass[current_pass] += 1
            add_body_data(self, data)

        monkeypatch.setattr(ServerConnection, "_add_body_data", add_and_count)
        server.loop.call_soon(count_pass)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"1\r\na\r\n" * chunks + b"0\r\n\r\n")
        assert (await asyncio.wait_for(reader.readline(), 5.0)).startswith(b"HTTP/1.1 200")
        writer.close()

    run_with_server(scenario, handler=handler)
    assert bodies == [b"a" * chunks]
    assert max(handled_by_pass.values()) <= EVENTS_PER_PASS
