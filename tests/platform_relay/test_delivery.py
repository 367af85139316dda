"""Delivery: what endpoints receive, what their responses mean, and how many calls and connections are open."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from .http_messages import (
    OK_RESPONSE,
    READY_REQUEST,
    SERVER_ERROR_RESPONSE,
    read_http,
    request_status,
    submission,
    too_many_requests,
)
from .relay_testbed import SETTINGS, RelayTestbed, delivered_ids, run_scenario, wait_until, wait_until_idle


def test_message_is_forwarded_unchanged_without_a_notice(tmp_path: Path) -> None:
    body = bytes(range(256))

    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        assert await request_status(relay, READY_REQUEST) == 200
        assert await request_status(relay, submission("m1", "order", body=body, time_left="2500000u")) == 202
        await wait_until(lambda: not relay.accepted)
        (call,) = testbed.endpoint_calls
        assert call.destination == 1
        assert call.submission_id == "m1"
        assert call.fields["idempotency-key"] == "key-m1"
        assert call.body == body
        assert 0 < int(call.fields["x-time-left"].removesuffix("m")) <= 2500
        assert not testbed.notices
        assert not relay.reporter.pending_notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX: \x00\x01\r\n\r\n",
        b"HTTP/1.1 200 OK\nX: y\n\n",
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 9000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK_RESPONSE,
        OK_RESPONSE + OK_RESPONSE,
        OK_RESPONSE + b"\x00\xff noise",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: {{{\r\n\r\nok",
    ],
)
def test_response_with_status_200_counts_as_delivered_whatever_follows(tmp_path: Path, response: bytes) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_responses[1] = [response]
        assert await request_status(relay, submission("a", "pay")) == 202
        await wait_until(lambda: not relay.accepted, 1.0)
        for submission_id in ("b", "c"):  # the extra bytes above must not be read as their responses
            testbed.scripted_responses[1] = [too_many_requests(retry_after_s=0.05), OK_RESPONSE]
            assert await request_status(relay, submission(submission_id, "pay")) == 202
            await wait_until(lambda: not relay.accepted)
        assert delivered_ids(testbed) == ["a", "b", "b", "c", "c"]
        assert not testbed.notices

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "response",
    [
        b"\x16\x03\x01 noise\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nContent-Length: zero\r\n\r\n",
        SERVER_ERROR_RESPONSE,
    ],
)
def test_unclear_response_is_final_for_non_idempotent_classes_and_retried_for_others(
    tmp_path: Path, response: bytes
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_responses[1] = [response]
        assert await request_status(relay, submission("p", "pay")) == 202
        await wait_until(lambda: testbed.notices)
        assert testbed.notices == [{"ref": "p", "result": "dead"}]
        testbed.scripted_responses[1] = [response]
        assert await request_status(relay, submission("s", "order")) == 202
        await wait_until(lambda: not relay.accepted)
        assert delivered_ids(testbed) == ["p", "s", "s"]
        assert len({call.fields["idempotency-key"] for call in testbed.endpoint_calls[1:]}) == 1

    run_scenario(tmp_path, scenario)


def test_destination_that_accepts_batches_gets_no_more_calls_than_max_in_flight(tmp_path: Path) -> None:
    """Guards against sending a batch as one call per message: more than max_in_flight, which the platform rejects."""

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = SETTINGS | {"extra": {"call-slots": 2, "per-call": [10]}, "weight-kind": "silent"}
        in_flight_counts: list[int] = [0]

        async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_http(reader)
                in_flight_counts.append(in_flight_counts[-1] + 1)
                await asyncio.sleep(0.1)
                in_flight_counts.append(in_flight_counts[-1] - 1)
                writer.write(OK_RESPONSE)

        await testbed.add_endpoint(2, serve=serve_slowly)
        relay = await testbed.start_relay()
        requests = [submission(f"m{number}", destination=2) for number in range(6)]
        assert set(await asyncio.gather(*(request_status(relay, request) for request in requests))) == {202}
        await wait_until_idle(relay)
        assert max(in_flight_counts) == 2
        assert relay.counts == {"taken": 6, "attempts": 6, "ended_ok": 6}

    run_scenario(tmp_path, scenario)


def test_scarce_connections_are_reused_for_waiting_messages_and_closed_after_them(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = SETTINGS | {"extra": {"call-slots": 1}}
        ids_by_connection: list[str] = []

        async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            ids_by_connection.append("")
            while True:
                ids_by_connection[-1] += (await read_http(reader))[1]["x-correlation-id"]
                await asyncio.sleep(0.1)
                writer.write(OK_RESPONSE)

        await testbed.add_endpoint(2, serve=serve_slowly)
        relay = await testbed.start_relay()
        for _ in range(20):
            relay.engine.connections.scarcity[0].record(is_reused=False, is_rejected=True, has_retry_after=False)
        requests = [submission(f"m{number}", destination=2) for number in range(4)]
        assert set(await asyncio.gather(*(request_status(relay, request) for request in requests))) == {202}
        await wait_until_idle(relay)
        assert len(ids_by_connection) == 1
        assert not relay.endpoint_client.pool.idle_count
        assert await request_status(relay, submission("m4", destination=2)) == 202
        await wait_until_idle(relay)
        assert len(ids_by_connection) == 2
        assert ids_by_connection[1] == "m4"

    run_scenario(tmp_path, scenario)
