"""Calls to endpoints whose end races with another event; each test forces the worse order."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from linnetstile.engine.attempt_outcome import AttemptVerdict, WireResult
from linnetstile.engine.events import Outcome
from linnetstile.engine.retry_policy import DEADLINE_MARGIN_MS
from linnetstile.net import client
from linnetstile.platform_relay.relay import PlatformRelay

from .http_messages import OK_RESPONSE, read_http, request_status, submission, too_many_requests
from .relay_testbed import (
    SETTINGS,
    EndpointCall,
    RelayTestbed,
    delivered_ids,
    is_idle,
    run_scenario,
    wait_until,
    wait_until_idle,
)

NOTICE_GRACE_S = 0.3
"""The platform still counts a notice that arrives this long after the deadline."""
CLOCK_ROUNDING_MS = 1.0
"""Allowed difference: deadlines are journaled in wall-clock time, rounded to tenths of a ms."""


@pytest.mark.parametrize(("class_name", "result"), [("pay", "dead"), ("order", "dead"), ("state", "bounced")])
def test_message_answered_at_its_deadline_has_one_result(tmp_path: Path, class_name: str, result: str) -> None:
    """The endpoint answers 200 as the deadline passes, and the relay is busy until then.

    The platform may or may not have counted the response.
    """

    async def scenario(testbed: RelayTestbed) -> None:
        async def serve_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            _, fields, _ = await read_http(reader)
            testbed.endpoint_calls.append(EndpointCall(2, fields, b""))
            time.sleep(0.45)  # noqa: ASYNC251  the loop has to be busy: relay and endpoint are one process here
            writer.write(OK_RESPONSE)

        await testbed.add_endpoint(2, serve=serve_late)
        relay = await testbed.start_relay()
        assert await request_status(relay, submission("m", class_name, destination=2, time_left="400m")) == 202
        await wait_until_idle(relay)
        assert testbed.notices == [{"ref": "m", "result": result}]
        assert delivered_ids(testbed) == ["m"]

    run_scenario(tmp_path, scenario)


def test_attempt_times_out_before_the_deadline_of_its_message(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        testbed.scripted_responses[1] = [None]
        send = relay.endpoint_client.send
        sent_times_ms: list[tuple[float, float]] = []

        def record_and_send(*arguments: Any, **options: Any) -> client.Call:
            sent_times_ms.append((options["timeout_ms"], options["remaining_ms"]))
            return send(*arguments, **options)

        monkeypatch.setattr(relay.endpoint_client, "send", record_and_send)
        submitted_at = time.monotonic()
        assert await request_status(relay, submission("m", "pay", time_left="400m")) == 202
        await wait_until(lambda: testbed.notices)
        ((timeout_ms, remaining_ms),) = sent_times_ms
        assert 0 < timeout_ms < remaining_ms - DEADLINE_MARGIN_MS + CLOCK_ROUNDING_MS
        assert time.monotonic() - submitted_at < 0.4 + NOTICE_GRACE_S
        assert testbed.notices == [{"ref": "m", "result": "dead"}]

    run_scenario(tmp_path, scenario)


def delay_connects(monkeypatch: pytest.MonkeyPatch, relay: PlatformRelay, delays_s: Iterator[float]) -> None:
    """Delay the opening of each further connection to an endpoint, each by the next of `delays_s`."""
    open_connection = relay.endpoint_client.pool._open

    async def open_late(*arguments: Any) -> client.ClientConnection:
        await asyncio.sleep(next(delays_s))
        return await open_connection(*arguments)

    monkeypatch.setattr(relay.endpoint_client.pool, "_open", open_late)


def test_retry_whose_connection_opens_after_the_deduplication_window_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a retry that is decided within the deduplication window but sent after it.

    In a fleet, the connection of a retry took a second to open, because the listener's queue was full.
    """
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][0]["window-ms"] = 1200.0
    settings["limits"]["connect-timeout-ms"] = 3000.0

    async def scenario(testbed: RelayTestbed) -> None:
        testbed.settings = settings
        testbed.scripted_responses[1] = [b"HTTP/1.1 500 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"]
        relay = await testbed.start_relay()
        assert await request_status(relay, submission("k", "order")) == 202
        await wait_until(lambda: delivered_ids(testbed) == ["k"])
        delay_connects(monkeypatch, relay, itertools.repeat(1.4))
        await wait_until(lambda: testbed.notices)
        await asyncio.sleep(1.6)
        assert relay.counts["attempts"] == 2  # the second attempt ended before it sent a byte
        assert delivered_ids(testbed) == ["k"]
        assert testbed.notices == [{"ref": "k", "result": "dead"}]

    run_scenario(tmp_path, scenario)


def test_attempt_whose_connection_opens_after_a_retry_after_waits_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        testbed.scripted_responses[1] = [too_many_requests(retry_after_s=0.9)]
        relay = await testbed.start_relay()
        delay_connects(monkeypatch, relay, itertools.chain((0.0, 0.3), itertools.repeat(0.0)))
        submitted_at = relay.loop.time()
        requests = [submission("a"), submission("b")]
        assert set(await asyncio.gather(*(request_status(relay, request) for request in requests))) == {202}
        await wait_until(lambda: relay.counts.get("attempts") == 2 and len(testbed.endpoint_calls) == 1)
        await wait_until(lambda: len(testbed.endpoint_calls) > 1)
        assert relay.loop.time() - submitted_at >= 0.9
        await wait_until(lambda: not relay.accepted)
        assert sorted(delivered_ids(testbed)) in (["a", "a", "b"], ["a", "b", "b"])

    run_scenario(tmp_path, scenario)


def test_connection_that_opens_as_its_call_times_out_is_closed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        connection_made = client.ClientConnection.connection_made

        def time_out_calls(connection: client.ClientConnection, transport: asyncio.BaseTransport) -> None:
            connection_made(connection, transport)
            # The task that waits for the connection has not run again yet.
            for message in list(relay.accepted.by_id.values()):
                if message.attempt and message.attempt.call:
                    message.attempt.call.abort(WireResult.TIMED_OUT)

        monkeypatch.setattr(client.ClientConnection, "connection_made", time_out_calls)
        assert await request_status(relay, submission("m", "pay")) == 202
        await wait_until(lambda: relay.counts.get("ended_connect_failed"))
        monkeypatch.setattr(client.ClientConnection, "connection_made", connection_made)
        await wait_until_idle(relay)  # a failed connect proves that there was no effect, so the message is retried
        assert delivered_ids(testbed) == ["m"]
        assert not testbed.notices
        await wait_until(lambda: len(relay.endpoint_client.pool.connections) == relay.endpoint_client.pool.idle_count)

    run_scenario(tmp_path, scenario)


def test_call_on_an_idle_connection_that_its_peer_closes_between_the_check_and_the_write_may_have_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        assert await request_status(relay, submission("first")) == 202
        await wait_until(lambda: is_idle(relay) and relay.endpoint_client.pool.idle_count)
        await asyncio.sleep(relay.endpoint_client.pool.min_idle_s)  # from now on the connection may be reused
        (endpoint_id,) = relay.directory
        address = relay.directory.address_of(endpoint_id)
        assert address is not None
        verdicts: list[AttemptVerdict] = []
        (peer_writer,) = testbed.writers - set(testbed.watch_writers)
        with monkeypatch.context() as patch:
            patch.setattr(client.ClientConnection, "has_unread_input", False)  # as if checked before the close
            # The relay's kernel has received the close, but the relay has not read it yet.
            peer_writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            relay.endpoint_client.send(
                address,
                [("X-Correlation-Id", "m")],
                b"",
                timeout_ms=1000.0,
                last_byte_delay_ms=0.0,
                send_within_ms=math.inf,
                remaining_ms=1000.0,
                on_ended=lambda result: verdicts.append(result.verdict),
            )
        await wait_until(lambda: verdicts)
        assert verdicts[0].outcome is Outcome.RESET
        assert not verdicts[0].outcome.proves_no_effect

    run_scenario(tmp_path, scenario)


def test_connection_whose_200_stays_incomplete_is_not_reused_and_its_message_is_delivered(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        relay = await testbed.start_relay()
        pool = relay.endpoint_client.pool
        testbed.scripted_responses[1] = [b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nhalf"]
        assert await request_status(relay, submission("m", "pay")) == 202
        await wait_until_idle(relay)
        assert len(pool.connections) == 1
        assert not pool.idle_count
        assert await request_status(relay, submission("n", "pay")) == 202  # on a new connection
        await wait_until_idle(relay)
        await wait_until(lambda: len(pool.connections) == pool.idle_count == 1)
        assert delivered_ids(testbed) == ["m", "n"]
        assert not testbed.notices

    run_scenario(tmp_path, scenario)
