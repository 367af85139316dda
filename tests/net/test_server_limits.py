"""Limits on the connections of a server: peers that stop in the middle of a request, and the checks of the limits."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from linnetstile.net.server import RequestContext, Server, ServerLimits
from linnetstile.net.server_connection import ServerConnection
from linnetstile.net.server_limits import LINGER_TIMEOUT_S

HALF_REQUEST = b"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhello"
NO_SWEEP_S = 3600.0  # the tests check the limits themselves, so that the order of events is the same each time
OnHead = Callable[[RequestContext], object]


def wait_for_body(request: RequestContext) -> None:
    """Accept the head: the body is read."""


ANSWERS_TO_HEAD: dict[str, OnHead] = {
    "none, as the body is expected": wait_for_body,
    "an error that closes the connection": lambda request: request.reply(400, close=True),
    "an error after which the body is skipped": lambda request: request.reply(400),
}


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():  # noqa: ASYNC110  a condition on any state has no event to wait for
            await asyncio.sleep(0.001)


def run_with_server(
    on_head: OnHead, scenario: Callable[[Server, int], Awaitable[None]], max_connections: int = 64
) -> None:
    """Run a scenario with a server that answers complete requests 200; fail if a callback raised an exception."""

    async def run() -> None:
        faults: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: faults.append(context.get("exception")))
        limits = ServerLimits(max_connections=max_connections, sweep_interval_s=NO_SWEEP_S, head_timeout_s=NO_SWEEP_S)
        server = Server(lambda request: request.answered or request.reply(200), on_head=on_head, limits=limits)
        port = await server.start()
        try:
            await scenario(server, port)
        finally:
            server.close()
            await asyncio.sleep(0)
        assert not faults

    asyncio.run(run())


def expire_body(connection: ServerConnection) -> None:
    """Let the deadline of the body of the current request have passed."""
    if connection.current_request is not None:
        connection.current_request.body_deadline = connection.server.loop.time() - 1.0


def expire_linger(connection: ServerConnection) -> None:
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

    run_with_server(ANSWERS_TO_HEAD[answer], scenario)
