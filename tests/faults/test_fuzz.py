"""Random faults of clients and partners, such as stalls, wrong sizes, closes and garbage, may leak no resource."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

import pytest

from linnetstile.as2_relay.relay import As2Relay

from .relay_testbed import RelayTestbed, answer_kind, async_test, wait_until
from .testbed_settings import partner_fault

LIMITS = {
    "body_rate": 20_000,
    "answer_rate": 20_000,
    "request_rate": 50_000,
    "response_rate": 500,
    "stall_ms": 300,
    "head_ms": 500,
    "connections": 60,
    "body_bytes": 300_000,
    "hold_bytes": 700_000,
    "room_wait_ms": 200,
    "slots": 6,
    "hold": 40,
}
FAULTS = [
    partner_fault(kind, for_s=5, share=0.12, **more)
    for kind, more in (
        ("crawl", {"bytes": 20_000}),
        ("trickle", {}),
        ("reset", {"bytes": 30}),
        ("garbage", {}),
        ("hang", {}),
        ("answer_lost", {"how": "reset"}),
    )
]


def make_faulty_request(testbed: RelayTestbed, rng: random.Random) -> bytes:
    """Return a submission, perhaps with a wrong size, or random bytes instead; either may be sent three times."""
    message_class = rng.choice(("safe", "keyed", "unsafe"))
    content = rng.randbytes(rng.choice((10, 3000, 120_000)))
    message = testbed.make_message(message_class, content)
    lines = [f"{name}: {value}" for name, value in [("Host", "x"), *message.headers]]
    is_chunked = rng.random() < 0.3
    stated_size = len(message.body) + rng.choice((0, 0, 0, 7, -3))
    lines.append("Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {max(0, stated_size)}")
    body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(message.body), message.body) if is_chunked else message.body
    data = ("POST /as2 HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode() + body
    if rng.random() < 0.1:
        data = rng.randbytes(rng.randrange(1, 5000))
    if rng.random() < 0.2:
        data *= 3
    return data


async def send_in_pieces(writer: asyncio.StreamWriter, data: bytes, rng: random.Random) -> bool:
    """Send data in pieces with pauses; return False if the connection was aborted before the end."""
    offset = 0
    while offset < len(data):
        size = rng.choice((1, 100, 5000, 100_000))
        writer.write(data[offset : offset + size])
        offset += size
        if rng.random() < 0.15:
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.4)))
        if rng.random() < 0.03:
            writer.transport.abort()
            return False
        await writer.drain()
    return True


async def run_faulty_client(testbed: RelayTestbed, rng: random.Random) -> None:
    """Send one request with random faults, and perhaps read a part of the answer."""
    reader, writer = await testbed.connect()
    data = make_faulty_request(testbed, rng)
    if not await send_in_pieces(writer, data, rng):
        return
    if rng.random() < 0.3:
        writer.write_eof()
    if rng.random() < 0.7:
        await asyncio.wait_for(reader.read(rng.choice((1, 20, 100_000))), rng.choice((0.1, 3.0)))
    writer.close()


def assert_nothing_is_held(relay: As2Relay) -> None:
    """Assert that a relay without messages uses no memory, slot, timer or connection."""
    assert not relay.admission.reservations
    assert not relay.admission.waiting
    assert relay.admission.fair_share.used == [0.0, 0.0]
    assert not relay.delivery.receipt_endpoint.pending
    assert not relay.receipt_delivery.post_timers
    assert relay.engine.in_flight == 0
    assert not relay.engine.queues.messages
    assert not relay.engine.queues.queues
    assert all(not partner.in_flight for partner in relay.admission.slow_partners.partners.values())
    assert not [connection for connection in relay.listener.connections if connection.phase != "idle"]
    assert not [connection for connection in relay.pool.connections if connection.call is not None]


@pytest.mark.parametrize("seed", [1, 2, 3])
@async_test
async def test_random_faults_of_peers_leak_no_resource(tmp_path: Path, seed: int) -> None:
    """The relay checks its invariants every 50 ms (`limits.self_check_ms`), and uses no resource at the end."""
    rng = random.Random(seed)
    async with RelayTestbed(tmp_path, limits=LIMITS, faults=FAULTS, partner={"rate": 200.0, "work_ms": 5}) as testbed:
        relay = testbed.relays[0]
        task_count_before = len(asyncio.all_tasks())

        async def run_one(client_rng: random.Random) -> None:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await run_faulty_client(testbed, client_rng)

        tasks = []
        while testbed.elapsed_s() < 4.0:
            tasks.append(asyncio.create_task(run_one(random.Random(rng.random()))))
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.03)))
        await asyncio.gather(*tasks)
        assert len(tasks) > 100
        assert relay.counts["taken"] > 20
        await testbed.sleep_until(6.0)
        await wait_until(lambda: not relay.accepted, poll_s=0.05)  # the longest deadline is 8 s
        await asyncio.sleep(1.2)
        relay.verify_invariants()
        assert_nothing_is_held(relay)
        assert len(asyncio.all_tasks()) <= task_count_before
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"
    assert not [text for text in testbed.broken_rules() if "no final answer" not in text]
