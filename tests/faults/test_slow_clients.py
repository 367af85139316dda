"""Slow clients: which ones are evicted, and which answer they get."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

import pytest

from linnetstile.codec import http1
from linnetstile.net import server

from .raw_requests import request_head, send_byte_by_byte
from .relay_testbed import RelayTestbed, answer_kind, async_test, wait_until
from .testbed_settings import STRICT_RATES


def reply_with_body(size: int) -> Callable[[server.RequestContext], None]:
    """Return a handler that answers with a body of `size` bytes."""

    def reply(request: server.RequestContext) -> None:
        request.reply(200, body=b"x" * size)

    return reply


@pytest.mark.parametrize("slow_part", ["head", "body", "chunks"])
@async_test
async def test_a_client_below_the_minimum_rate_gets_an_answer_that_nothing_was_accepted(
    tmp_path: Path, slow_part: str
) -> None:
    async with RelayTestbed(tmp_path, limits=STRICT_RATES) as testbed:
        reader, writer = await testbed.connect()
        if slow_part == "chunks":
            chunked_head = request_head(testbed, 0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            writer.write(chunked_head + b"1000\r\n")
        elif slow_part == "body":
            writer.write(request_head(testbed, 4000))
        sending = asyncio.create_task(send_byte_by_byte(writer, request_head(testbed, 100) * 20))
        response = await asyncio.wait_for(reader.read(), 8)
        assert response.startswith(b"HTTP/1.1 408")
        assert b"nothing of this request was taken" in response
        sending.cancel()
        writer.close()
        relay = testbed.relays[0]
        assert relay.counts["let_go_head" if slow_part == "head" else "let_go_body_rate"] == 1
        assert not relay.admission.reservations
        assert relay.counts["taken"] == 6
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
    assert not testbed.broken_rules()


@async_test
async def test_a_client_that_stalls_briefly_is_served(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, limits=STRICT_RATES) as testbed:
        reader, writer = await testbed.connect()
        body = b"ISA*00~" * 1500
        writer.write(request_head(testbed, len(body)))
        for offset in range(0, len(body), 2000):  # stalls for about 400 ms in each 450 ms
            writer.write(body[offset : offset + 2000])
            await asyncio.sleep(0.4)
        assert (await asyncio.wait_for(reader.readline(), 8)).startswith(b"HTTP/1.1 200")
        writer.close()


@async_test
async def test_a_client_that_sends_one_byte_at_a_time_is_served(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        message = testbed.make_message("safe")
        reader, writer = await testbed.connect()
        data = http1.encode_request("POST", "/as2", [("Host", "x"), *message.headers], message.body)
        for index, byte in enumerate(data):
            writer.write(bytes([byte]))
            if index % 8 == 0:
                await asyncio.sleep(0)
        assert b"200 OK" in await asyncio.wait_for(reader.read(200), 5)
        writer.close()


@async_test
async def test_a_client_that_stops_reading_its_answer_is_evicted() -> None:
    size = 8 * 2**20
    evicted: list[tuple[str, bool]] = []

    def record_eviction(connection: server.RequestConnection, limit: str) -> None:
        evicted.append((limit, connection.unsent_bytes > 0))

    listener = server.Server(
        reply_with_body(size),
        limits=server.ServerLimits(min_response_rate=2000, rate_grace_s=0.5, sweep_interval_s=0.1),
        on_connection_evicted=record_eviction,
    )
    port = await listener.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 4)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    await asyncio.sleep(0.2)
    (connection,) = listener.connections
    # The second request is not handled before the first answer is read, so only one of four bodies is in memory.
    assert connection.phase == "answer"
    assert connection.request_count == 1
    assert connection.unsent_bytes <= size + 4096
    await wait_until(lambda: not listener.connections, poll_s=0.05)
    assert evicted == [("answer_rate", True)]
    assert listener.counts["let_go_answer_rate"] == 1
    writer.close()
    # A client that reads slowly, but above the minimum rate, gets the complete answer.
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    received = 0
    while piece := await reader.read(512 * 1024):
        received += len(piece)
        await asyncio.sleep(0.05)
    assert received > size
    listener.close()


@async_test
async def test_a_silent_client_is_evicted() -> None:
    listener = server.Server(
        lambda request: None,
        limits=server.ServerLimits(
            head_timeout_s=0.2, idle_timeout_s=0.3, min_body_rate=100, rate_grace_s=0.2, sweep_interval_s=0.05
        ),
    )
    port = await listener.start()
    for first_bytes in (b"", b"GET / HT", b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc"):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(first_bytes)
        response = b""
        with contextlib.suppress(ConnectionError):
            response = await asyncio.wait_for(reader.read(), 3)
        assert response[:12] == (b"HTTP/1.1 408" if first_bytes else b"")  # no answer to a client that sent nothing
        writer.close()
    assert listener.counts == {"let_go_head": 2, "let_go_body_rate": 1}
    listener.close()
