"""Slow partners: how incomplete requests are reported and retried, and which partners are evicted."""

from __future__ import annotations

import asyncio
from pathlib import Path

from linnetstile.codec import http1
from linnetstile.engine.attempt_outcome import WireResult
from linnetstile.engine.events import Outcome
from linnetstile.net.client import CallResult, ConnectionPool, MinimumRates

from .relay_testbed import RelayTestbed, answer_kind, async_test, wait_until
from .testbed_settings import STRICT_RATES, partner_fault


@async_test
async def test_a_request_that_was_not_sent_completely_is_reported_as_incomplete(tmp_path: Path) -> None:
    """The partner never reads: a request is incomplete until the kernel has accepted its last byte."""
    answers: list[CallResult] = []
    stop = asyncio.Event()

    async def never_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await stop.wait()
        writer.close()

    listener = await asyncio.start_server(never_read, "127.0.0.1", 0, limit=1024)
    address = listener.sockets[0].getsockname()[:2]
    evicted: list[str] = []
    pool = ConnectionPool(
        rates=MinimumRates(request_rate=10_000, response_rate=10_000, grace_s=0.5),
        on_connection_evicted=lambda _, limit: evicted.append(limit),
    )
    for size in (100, 64 * 2**20):
        pool.call(
            address,
            "POST",
            http1.encode_request_parts("POST", "/", [("Host", "x")], b"x" * size),
            answers.append,
            asyncio.get_running_loop().time() + 3,
        )
    await wait_until(lambda: len(answers) >= 2, poll_s=0.02)
    # The connection of the large request is closed for its low rate, long before the request's timeout. The small
    # request times out: the kernel has accepted all of it, so it is unknown whether the partner received it.
    assert [answer.wire_result for answer in answers] == [WireResult.REQUEST_INCOMPLETE, WireResult.TIMED_OUT]
    assert evicted == ["request_rate"]
    stop.set()
    pool.close()
    listener.close()


@async_test
async def test_an_answer_before_the_request_was_complete_reports_it_as_incomplete() -> None:
    async def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

    listener = await asyncio.start_server(refuse, "127.0.0.1", 0, limit=1024)
    answers: list[CallResult] = []
    pool = ConnectionPool()
    pool.call(
        listener.sockets[0].getsockname()[:2],
        "POST",
        http1.encode_request_parts("POST", "/", [("Host", "x")], b"x" * (64 * 2**20)),
        answers.append,
    )
    await wait_until(lambda: bool(answers), poll_s=0.02)
    assert answers[0].head is not None
    assert answers[0].head.status == 413
    assert not answers[0].request_complete
    pool.close()
    listener.close()


@async_test
async def test_a_non_idempotent_message_is_retried_if_its_request_was_incomplete(tmp_path: Path) -> None:
    """The attempt ended before the request was complete, so it had no effect and a retry is safe."""
    faults = [partner_fault("crawl", for_s=3, bytes=20_000)]
    classes = {
        "unsafe": {"effect": "unsafe", "aim_ms": 4000, "deadline_ms": 15_000},
        "safe": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 8000},
    }
    async with RelayTestbed(
        tmp_path, faults=faults, classes=classes, limits={**STRICT_RATES, "request_rate": 2_000_000}
    ) as testbed:
        answer = await testbed.submit(testbed.make_message("unsafe", b"ISA*00~" * 2_000_000))
        assert answer_kind(answer) == "delivered"
        relay = testbed.relays[0]
        assert relay.counts["partner_let_go_request_rate"] >= 1
        assert relay.counts[f"outcome_{Outcome.CONNECT_FAILED.value}"] >= 1
        assert len(testbed.partner_records("effect")) == 1
    assert not testbed.broken_rules()


@async_test
async def test_a_partner_below_the_minimum_response_rate_is_evicted(tmp_path: Path) -> None:
    faults = [partner_fault("trickle", for_s=2)]
    async with RelayTestbed(tmp_path, faults=faults, limits=STRICT_RATES) as testbed:
        assert answer_kind(await testbed.submit(testbed.make_message("keyed"))) == "delivered"
        assert testbed.relays[0].counts["partner_let_go_response_rate"] >= 1
    assert not testbed.broken_rules()
