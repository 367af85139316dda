"""Notices of results: posted until the platform accepts them, and in time."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from .http_messages import MALFORMED_RESPONSE, read_http, request_status, submission
from .relay_testbed import RelayTestbed, run_scenario, wait_until, wait_until_idle


def test_notice_is_posted_until_the_platform_accepts_it_also_after_a_restart_and_a_move(tmp_path: Path) -> None:
    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        first = await testbed.start_relay(discovery_address)
        testbed.notice_statuses = [500, 500, 400, 400, 204]
        testbed.scripted_responses[1] = [MALFORMED_RESPONSE]
        assert await request_status(first, submission("p", "pay")) == 202
        await wait_until(lambda: first.notice_sender.rejected_count == 1 and not first.reporter.pending_notices)
        testbed.notice_statuses = [500]
        testbed.scripted_responses[1] = [MALFORMED_RESPONSE]
        assert await request_status(first, submission("q", "pay")) == 202
        await wait_until(lambda: first.notice_sender.failures > 1)
        testbed.stop_relay(first)
        second = await testbed.start_relay(discovery_address)
        assert list(second.reporter.pending_notices)
        assert not testbed.notices
        testbed.notice_statuses = [204]
        second.move_discovery(await testbed.start_discovery())
        await wait_until(lambda: not second.reporter.pending_notices)
        assert [notice["ref"] for notice in testbed.notices] == ["q"]

    run_scenario(tmp_path, scenario)


def test_notice_whose_connection_gets_no_response_arrives_in_time_on_another_one(tmp_path: Path) -> None:
    """The message ends at its deadline: the platform counts the notice up to 0.3 s after that."""

    async def scenario(testbed: RelayTestbed) -> None:
        discovery_address = await testbed.start_discovery()
        relay = await testbed.start_relay(discovery_address)
        connection_count = 0

        async def serve_all_but_the_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connection_count
            _, _, body = await read_http(reader)
            connection_count += 1
            if connection_count > 1:
                testbed.notices.append({"received_at": time.monotonic(), "body": body.decode()})
                writer.write(b"HTTP/1.1 204 X\r\n\r\n")
            await reader.read()  # until the relay closes it

        relay.notice_sender.move(("127.0.0.1", await testbed.listen(serve_all_but_the_first)))
        testbed.scripted_responses[1] = [None]
        assert await request_status(relay, submission("m", "pay", time_left="500m")) == 202
        deadline = time.monotonic() + 0.5
        await wait_until_idle(relay)
        (notice,) = testbed.notices
        assert '"ref":"m"' in notice["body"]
        assert notice["received_at"] < deadline + 0.3

    run_scenario(tmp_path, scenario)
