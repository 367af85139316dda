"""End to end: graceful shutdown with messages in flight, with a timeout, and with slow peers."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .raw_requests import request_head
from .relay_testbed import RelayTestbed, answer_kind, async_test
from .testbed_settings import STRICT_RATES, partner_fault


@async_test
async def test_shutdown_rejects_new_messages_and_finishes_accepted_ones(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, partner={"work_ms": 400}) as testbed:
        relay = testbed.relays[0]
        submissions = [asyncio.create_task(testbed.submit(testbed.make_message("unsafe"))) for _ in range(3)]
        await asyncio.sleep(0.1)
        relay.stop()
        rejected = await testbed.submit(testbed.make_message("safe"))
        assert rejected.head is not None
        assert rejected.head.status == 503
        assert b"stopping" in rejected.body
        assert [answer_kind(answer) for answer in await asyncio.gather(*submissions)] == ["delivered"] * 3
        await asyncio.wait_for(relay.stopped.wait(), 5)
        assert not relay.accepted
    assert testbed.broken_rules() == []


@async_test
async def test_shutdown_with_a_timeout_ends_in_time_and_reports_unfinished_messages(tmp_path: Path) -> None:
    faults = [partner_fault("hang")]
    async with RelayTestbed(tmp_path, faults=faults, limits={"stop_ms": 300}) as testbed:
        waiting = asyncio.create_task(testbed.submit(testbed.make_message("unsafe")))
        await asyncio.sleep(0.1)
        testbed.relays[0].stop()
        await asyncio.wait_for(testbed.relays[0].stopped.wait(), 2)
        assert len(testbed.relays[0].accepted) == 1
        testbed.kill_relay(0)
        assert answer_kind(await waiting) == "lost"


@async_test
async def test_shutdown_ends_in_time_with_a_slow_client_and_a_slow_partner(tmp_path: Path) -> None:
    """A submission whose body is incomplete when the relay is stopped gets an answer, and the shutdown ends in time."""
    faults = [partner_fault("crawl", for_s=20, bytes=4000)]
    async with RelayTestbed(tmp_path, faults=faults, limits={**STRICT_RATES, "stop_ms": 9000}) as testbed:
        reader, writer = await testbed.connect()
        body = b"ISA*00~" * 300
        writer.write(request_head(testbed, len(body)) + body[:1000])
        await asyncio.sleep(0.2)
        testbed.relays[0].stop()
        _, idle_writer = await testbed.connect()
        await asyncio.sleep(0.2)
        writer.write(body[1000:])
        response = await asyncio.wait_for(reader.read(), 10)
        assert response.startswith(b"HTTP/1.1 ")
        assert b"Linnetstile-Answer" in response
        await asyncio.wait_for(testbed.relays[0].stopped.wait(), 9)
        idle_writer.close()
