"""Peers drawn by chance for a bounded time: stalls, sizes, closes, garbage, on both sides. Nothing may leak."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

import pytest

from linnetstile.config.relay import split

from .relay_testbed import RelayTestbed, answer_kind, run_test, wait_until

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
    {"kind": kind, "at_s": 0, "for_s": 5, "partners": ["firma"], "share": 0.12, **more}
    for kind, more in (
        ("crawl", {"bytes": 20_000}),
        ("trickle", {}),
        ("reset", {"bytes": 30}),
        ("garbage", {}),
        ("hang", {}),
        ("answer_lost", {"how": "reset"}),
    )
]


async def run_faulty_client(testbed: RelayTestbed, rng: random.Random) -> None:
    reader, writer = await asyncio.open_connection(*split(testbed.services[0].address))
    made = testbed.make(rng.choice(("safe", "keyed", "unsafe")), rng.randbytes(rng.choice((10, 3000, 120_000))))
    lines = [f"{n}: {v}" for n, v in [("Host", "x"), *made.headers]]
    chunked = rng.random() < 0.3
    size = len(made.body) + rng.choice((0, 0, 0, 7, -3))
    lines.append("Transfer-Encoding: chunked" if chunked else f"Content-Length: {max(0, size)}")
    body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(made.body), made.body) if chunked else made.body
    data = ("POST /as2 HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode() + body
    if rng.random() < 0.1:
        data = rng.randbytes(rng.randrange(1, 5000))
    if rng.random() < 0.2:
        data *= 3
    at = 0
    while at < len(data):
        step = rng.choice((1, 100, 5000, 100_000))
        writer.write(data[at : at + step])
        at += step
        if rng.random() < 0.15:
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.4)))
        if rng.random() < 0.03:
            writer.transport.abort()
            return
        await writer.drain()
    if rng.random() < 0.3:
        writer.write_eof()
    if rng.random() < 0.7:
        await asyncio.wait_for(reader.read(rng.choice((1, 20, 100_000))), rng.choice((0.1, 3.0)))
    writer.close()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_resource_leaks_whatever_peers_do(tmp_path: Path, seed: int) -> None:
    """The relay asserts its own books twenty times a second (limits.self_check_ms); at the end they are empty."""

    async def test() -> None:
        rng = random.Random(seed)
        async with RelayTestbed(
            tmp_path, limits=LIMITS, faults=FAULTS, partner={"rate": 200.0, "work_ms": 5}
        ) as testbed:
            service = testbed.services[0]
            before = len(asyncio.all_tasks())

            async def one(each: random.Random) -> None:
                with contextlib.suppress(OSError, asyncio.TimeoutError):
                    await run_faulty_client(testbed, each)

            tasks = []
            while testbed.seconds() < 4.0:
                tasks.append(asyncio.create_task(one(random.Random(rng.random()))))
                await asyncio.sleep(rng.choice((0.0, 0.01, 0.03)))
            await asyncio.gather(*tasks)
            assert len(tasks) > 100
            assert service.counts["taken"] > 20
            await testbed.until(6.0)
            await wait_until(lambda: not service.accepted, poll_s=0.05)  # the longest deadline is 8 s
            await asyncio.sleep(1.2)
            service.verify_invariants()
            assert not service.admission.reservations
            assert not service.admission.waiting
            assert service.admission.fair_share.used == [0.0, 0.0]
            assert not service.delivery.receipt_endpoint.pending
            assert not service.receipt_delivery.timers
            assert service.engine.in_flight == 0
            assert not service.engine.queues.messages
            assert not service.engine.queues.queues
            assert all(not office.in_flight for office in service.admission.slow_partners.partners.values())
            assert not [c for c in service.listener.open if c.phase != "idle"]
            assert not [c for c in service.pool.open if c.call is not None]
            assert len(asyncio.all_tasks()) <= before
            assert answer_kind(await testbed.hand(testbed.make("safe"))) == "delivered"
        assert not [text for text in testbed.broken() if "no final answer" not in text]

    run_test(test)
