"""Limits on connections and file descriptors: what is evicted, and that other peers are not affected."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from typing import Any

import pytest

from linnetstile.codec import http1
from linnetstile.config.relay import split_address
from linnetstile.net import client, server

from .relay_testbed import RelayTestbed, answer_kind, async_test


@async_test
async def test_a_full_listener_evicts_half_open_connections_and_keeps_serving(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, limits={"connections": 8}) as testbed:
        half_open = [await testbed.connect() for _ in range(20)]
        await asyncio.sleep(0.1)
        assert len(testbed.relays[0].listener.connections) <= 8
        # Half-open connections are evicted, the oldest first, so that they can't keep a client out.
        assert testbed.relays[0].listener.counts["let_go_full"] >= 12
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
        for _, writer in half_open:
            writer.close()


@async_test
async def test_a_client_is_served_beside_a_thousand_half_open_connections(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, limits={"connections": 300, "head_ms": 4000}) as testbed:
        writers = []
        for index in range(1000):
            _, writer = await testbed.connect()
            writer.write(b"POST / HTTP/1.1\r\n" if index % 2 else b"")
            writers.append(writer)
        answers = [await testbed.submit(testbed.make_message("safe")) for _ in range(10)]
        assert [answer_kind(answer) for answer in answers] == ["delivered"] * 10
        assert len(testbed.relays[0].listener.connections) <= 300
        for writer in writers:
            writer.close()


@async_test
async def test_a_new_connection_for_each_message_leaks_nothing(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        for _ in range(60):
            message = testbed.make_message("safe")
            headers = [("Host", "x"), ("Connection", "close"), *message.headers]
            data = http1.encode_request("POST", "/as2", headers, message.body)
            answer = await client.call_once(split_address(testbed.relays[0].address), "POST", data, 5.0)
            assert answer_kind(answer) == "delivered"
        await asyncio.sleep(0.1)
        relay = testbed.relays[0]
        assert len(relay.listener.connections) <= 2
        assert not relay.admission.reservations
        assert not relay.accepted


@async_test
async def test_running_out_of_descriptors_is_not_counted_as_a_partner_failure(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        relay = testbed.relays[0]
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection
        failures = [OSError(errno.EMFILE, "Too many open files") for _ in range(3)]

        async def fail_three_times(*args: Any, **options: Any) -> Any:
            if failures:
                raise failures.pop()
            return await create_connection(*args, **options)

        for address in list(relay.pool.idle_connections.by_address):
            relay.pool.close_idle(address)
        monkeypatch.setattr(loop, "create_connection", fail_three_times)
        # The testbed posts on an open connection, so that only the relay's connects fail.
        answer = await testbed.post(relay.address, testbed.make_message("safe"))
        assert answer_kind(answer) == "delivered"
        assert relay.pool.counts["no_descriptors"] >= 1
        assert relay.counts["outcome_not_sent"] >= 1
        assert "outcome_connect_failed" not in relay.counts


@async_test
async def test_a_dead_idle_connection_costs_no_attempt() -> None:
    """Nothing is written to a pooled connection that is already dead; the request is sent once, on another one."""
    received_targets: list[str] = []

    def record_request(request: server.RequestContext) -> None:
        received_targets.append(request.head.target)
        request.reply(200)

    listener = server.Server(record_request)
    address = ("127.0.0.1", await listener.start())
    pool = client.ConnectionPool()

    async def call(target: str) -> client.CallResult:
        done: asyncio.Future[client.CallResult] = asyncio.get_running_loop().create_future()
        pool.call(address, "POST", http1.encode_request("POST", target, [("Host", "x")]), done.set_result)
        return await asyncio.wait_for(done, 5)

    await call("/1")
    (idle_connection,) = pool.idle_connections.by_address[address]
    idle_connection.transport.abort()  # the connection is dead, but connection_lost has not run yet
    assert (await call("/2")).head is not None
    assert received_targets == ["/1", "/2"]
    for connection in list(listener.connections):
        connection.transport.abort()
    await asyncio.sleep(0.05)
    assert (await call("/3")).head is not None
    assert received_targets == ["/1", "/2", "/3"]
    assert pool.counts["connects"] == 3
    pool.close()
    listener.close()
