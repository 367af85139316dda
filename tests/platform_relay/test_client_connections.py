"""Clients of the relay: malformed requests, idle and silent connections, clients that disconnect, floods."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from pathlib import Path

import pytest

from linnetstile.net import server
from linnetstile.net.request_rejection import close_for_limit
from linnetstile.platform_relay.relay import PlatformRelay
from linnetstile.platform_relay.submission import Submission

from .http_messages import connect, connect_and_submit, port_of, read_status, request_status, submission
from .relay_testbed import RelayTestbed, delivered_ids, is_idle, run_scenario, wait_until, wait_until_idle, with_limits

BAD_REQUESTS = [
    b"\x00\x01\x02 not http\r\n\r\n",
    b"POST /api HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40_000,
    submission("x", Content_Length="-1"),
    submission("x", Content_Length="99999999999999999999"),
    submission("x", Content_Length="62914560"),
    submission("x", Transfer_Encoding="chunked"),
    submission("x", "nonsense"),
    submission("x", destination=999),
    submission("x", Envelope="dest=one"),
    submission("x", time_left="soon"),
    submission("x", time_left="-5m"),
    submission("x", time_left="99999999m"),
    submission(""),
    submission("x", X_Account="nobody"),
    submission("x", "order", Idempotency_Key=""),
    submission("x").replace(b"/api", b"/other"),
    submission("x").replace(b"POST", b"GET"),
    submission("x", Content_Length="500"),
]


@pytest.mark.parametrize("number", range(len(BAD_REQUESTS)))
def test_bad_request_gets_an_error_or_a_close_in_time_and_nothing_is_accepted(tmp_path: Path, number: int) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        assert await request_status(relay, BAD_REQUESTS[number], 3.0) not in (200, 202)
        assert not relay.accepted
        assert not testbed.endpoint_calls
        assert await request_status(relay, submission("good")) == 202

    run_scenario(tmp_path, scenario)


def test_client_connections_use_at_most_a_third_of_the_descriptors_and_close_when_idle(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = with_limits(open_cap=200)  # so that no message is rejected for lack of capacity
        relay = await testbed.start_relay(sockets=120)
        writers = []
        for number in range(60):  # each client submits one message and stays connected
            reader, writer = await connect(relay)
            writer.write(submission(f"m{number}"))
            assert b" 202 " in await reader.readline()
            writers.append(writer)
            assert len(relay.frontend.server.connections) <= 40
        await asyncio.sleep(2.5)  # longer than the idle timeout of 2 s
        assert not relay.frontend.server.connections
        for writer in writers:
            writer.close()

    run_scenario(tmp_path, scenario)


def test_silent_clients_are_disconnected(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay(sockets=128)
        silent_clients = [await connect(relay) for _ in range(100)]
        assert await request_status(relay, submission("m")) == 202
        async with asyncio.timeout(3.0):
            for reader, _ in silent_clients:
                with contextlib.suppress(ConnectionError):
                    assert await reader.read() == b""
        for _, writer in silent_clients:
            writer.close()

    run_scenario(tmp_path, scenario)


def test_submission_id_of_a_pending_message_is_not_accepted_again(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay(sockets=128)
        testbed.scripted_responses[1] = [None]
        assert await request_status(relay, submission("m")) == 202
        assert await request_status(relay, submission("m", body=b"other")) == 409

    run_scenario(tmp_path, scenario)


def expire_idle_connections(relay: PlatformRelay) -> None:
    for connection in relay.frontend.server.connections:
        close_for_limit(connection, "idle")


def admit_another_connection(relay: PlatformRelay) -> None:
    arriving_connection = next(iter(relay.frontend.server.connections))
    relay.frontend.server.admit_connection(arriving_connection)


CLOSE_REASONS: dict[str, Callable[[PlatformRelay], None]] = {
    "shutdown": lambda relay: relay.frontend.stop_admitting(),
    "idle timeout": expire_idle_connections,
    "eviction for another connection": admit_another_connection,
}


@pytest.mark.parametrize("reason", CLOSE_REASONS)
def test_request_that_arrives_as_its_idle_connection_is_closed_is_answered(tmp_path: Path, reason: str) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay(sockets=64)
        client_count = relay.limits.max_client_connections if reason.startswith("eviction") else 1
        clients = [await connect_and_submit(relay, f"m{number}") for number in range(client_count)]
        for number, (_, writer) in enumerate(clients):
            writer.write(submission(f"next{number}"))
        CLOSE_REASONS[reason](relay)
        statuses = [await read_status(reader) for reader, _ in clients]
        assert statuses == ([503] if reason == "shutdown" else [202] * len(clients))
        for _, writer in clients:
            writer.close()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("destination", [1, 7])
def test_client_that_disconnects_before_its_response_leaves_no_message(tmp_path: Path, destination: int) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(7, "DRAINING")  # a known destination to which nothing may be sent
        relay = await testbed.start_relay()
        _, writer = await connect(relay)
        await wait_until(lambda: relay.frontend.server.connections)
        on_submission = relay.frontend.on_submission

        def submit_and_disconnect(request: server.RequestContext, submitted: Submission) -> None:
            on_submission(request, submitted)
            request.connection.transport.abort()

        relay.frontend.on_submission = submit_and_disconnect
        writer.write(submission("m", destination=destination))
        await wait_until(lambda: relay.counts.get("unheard"))
        await asyncio.sleep(0.05)
        assert not relay.accepted
        assert not relay.engine.queues.messages
        assert relay.journal.message_bytes == 0
        assert not relay.engine.in_flight
        assert not testbed.endpoint_calls
        assert not testbed.notices
        writer.close()

    run_scenario(tmp_path, scenario)


def test_message_whose_client_closes_as_it_is_acknowledged_has_one_result(tmp_path: Path) -> None:
    """The client's close has arrived but is not read yet when the 202 is written: the message is accepted."""

    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        _, writer = await connect_and_submit(relay)
        await wait_until_idle(relay)
        on_submission = relay.frontend.on_submission

        def submit_and_close(request: server.RequestContext, submitted: Submission) -> None:
            on_submission(request, submitted)
            writer.close()  # arrives before the engine's turn, at whose end the request is answered

        relay.frontend.on_submission = submit_and_close
        writer.write(submission("m", "pay"))
        await wait_until(lambda: "m" in relay.accepted.submission_ids)
        await wait_until_idle(relay)
        assert delivered_ids(testbed).count("m") == 1
        assert not testbed.notices
        assert not relay.engine.queues.messages

    run_scenario(tmp_path, scenario)


def test_flood_of_requests_on_one_connection_does_not_delay_other_clients(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = with_limits(open_cap=100_000)
        relay = await testbed.start_relay()
        _, flooding_writer = await connect(relay)
        requests = [submission(f"f{number}", destination=9, time_left="500m") for number in range(3000)]
        flooding_writer.write(b"".join(requests))
        for number in range(20):
            assert await request_status(relay, submission(f"m{number}"), 0.4) == 202
            connections = relay.frontend.server.connections
            assert all(connection.input.parser.buffered_bytes < 200_000 for connection in connections)
            assert all(connection.input.event_count < 100 for connection in connections)
        flooding_writer.transport.abort()
        await wait_until(lambda: is_idle(relay) and not relay.frontend.server.connections)
        assert len([submission_id for submission_id in delivered_ids(testbed) if submission_id.startswith("m")]) == 20

    run_scenario(tmp_path, scenario)


def test_small_writes_are_sent_without_delay(tmp_path: Path) -> None:
    """A delayed write could be lost: closing a connection with unread bytes resets it, and unsent bytes are dropped."""

    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        _, writer = await connect_and_submit(relay)
        await wait_until_idle(relay)
        connections = [*relay.frontend.server.connections, *relay.endpoint_client.pool.connections]
        assert len(connections) == 2
        for connection in connections:
            kernel_socket = connection.transport.get_extra_info("socket")
            assert kernel_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)  # type: ignore[attr-defined]
        writer.close()

    run_scenario(tmp_path, scenario)


def leave_with_a_reset(client: socket.socket) -> None:
    """Close a client's socket so that its peer is reset at once, as a client does that leaves answers unread."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def leave_in_order(client: socket.socket) -> None:
    client.close()


async def blocking_client(relay: PlatformRelay) -> socket.socket:
    """Return a client's connection that the relay has accepted, whose calls do not let the relay run."""
    client = socket.create_connection(("127.0.0.1", port_of(relay)), timeout=5)
    await wait_until(lambda: relay.frontend.server.connections)
    return client


@pytest.mark.parametrize("leave", [leave_with_a_reset, leave_in_order])
def test_requests_of_a_client_that_has_left_are_not_forwarded(
    tmp_path: Path, leave: Callable[[socket.socket], None]
) -> None:
    # Guards against requests that are sent on after their client has left, with many of them still unread.
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        client = await blocking_client(relay)
        client.sendall(b"".join(submission(f"m{number}") for number in range(20)))
        leave(client)  # before the relay runs again: all requests and the end of the connection have arrived
        await wait_until(lambda: not relay.frontend.server.connections)
        await wait_until_idle(relay)
        await asyncio.sleep(0.1)
        assert delivered_ids(testbed) in ([], ["m0"])
        assert not relay.engine.queues.messages
        assert not relay.engine.in_flight

    run_scenario(tmp_path, scenario)


def test_message_whose_acknowledgement_cannot_be_written_is_not_forwarded(tmp_path: Path) -> None:
    # Guards against a message that is forwarded although its client was reset before its 202.
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        client = await blocking_client(relay)
        on_submission = relay.frontend.on_submission

        def submit_and_leave(request: server.RequestContext, submitted: Submission) -> None:
            on_submission(request, submitted)
            leave_with_a_reset(client)

        relay.frontend.on_submission = submit_and_leave
        client.sendall(submission("m", "pay"))
        await wait_until(lambda: relay.counts.get("unheard"))
        await asyncio.sleep(0.1)
        assert not testbed.endpoint_calls
        assert not testbed.notices
        assert is_idle(relay)

    run_scenario(tmp_path, scenario)
